"""Remembers which searchers said in an answer that they are leaving.

What a searcher says of itself belongs to its incarnation, not to its entry in
the store: the entry may be removed, come back by a delayed write, or be
replaced by what a peer knows, while the same process is still leaving.
"""

from citrondoor.schema import serving

# Time for which a departure is kept once its searcher is not registered any
# more. It exceeds the delay of a late write to the store and the time for which
# a searcher serves after it said that it is leaving.
RETENTION_MS = 3_600_000
# At 5,000 restarts of searchers a day, 200 of them say so within an hour.
MAX_DEPARTURES = 10_000
# Estimated memory of a departure besides its id.
_DEPARTURE_BYTES = 256


class Departures:
    """Incarnations of searchers that are leaving.

    All `now` arguments are clock readings in milliseconds.
    """

    __slots__ = ("_gone_since", "_id_bytes")

    def __init__(self):
        # Id and start of the process in Unix ms, to the time since which it is
        # not registered; None if it is.
        self._gone_since: dict[tuple[str, int], int | None] = {}
        self._id_bytes = 0

    @property
    def kept_bytes(self) -> int:
        """Estimate of the memory of all departures."""
        return self._id_bytes + len(self._gone_since) * _DEPARTURE_BYTES

    def add(self, upstream_id: str, born_ms: int, now: int) -> bool:
        """Adds an incarnation, and drops the first one if there are too many.

        Returns:
          Whether it was not known.
        """
        key = (upstream_id, born_ms)
        if key in self._gone_since:
            return False
        if len(self._gone_since) >= MAX_DEPARTURES:
            self._drop(next(iter(self._gone_since)))
        self._gone_since[key] = now
        self._id_bytes += len(upstream_id)
        return True

    def includes(self, upstream: serving.Upstream) -> bool:
        """Returns whether this incarnation said that it is leaving."""
        return (upstream.id, upstream.born_ms) in self._gone_since

    def drop_old(self, find_registered, now: int) -> None:
        """Drops those whose searchers have not been registered for long.

        Args:
          find_registered: Returns the registered searcher with an id, or None.
          now: Clock reading.
        """
        for key, gone_since in list(self._gone_since.items()):
            upstream = find_registered(key[0])
            if upstream is not None and upstream.born_ms == key[1]:
                self._gone_since[key] = None
            elif gone_since is None:
                self._gone_since[key] = now
            elif now - gone_since > RETENTION_MS:
                self._drop(key)

    def _drop(self, key: tuple[str, int]) -> None:
        del self._gone_since[key]
        self._id_bytes -= len(key[0])
