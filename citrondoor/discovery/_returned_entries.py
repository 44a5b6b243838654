"""Remembers searchers whose entries a copy of the store may bring back.

A store that comes back from a copy lists searchers as they were some seconds
before: as ready although they have reported since that they are draining, or at
all although they have left. Searchers write again what was lost, and the entry
of one that has ended expires.
"""

from citrondoor.schema import serving

# Estimated memory of an incarnation besides its id.
_INCARNATION_BYTES = 256


class ReturnedEntries:
    """Incarnations that get no requests for a while, whatever their entry says.

    All `now` arguments are clock readings in milliseconds.
    """

    __slots__ = ("_held_until", "_id_bytes")

    def __init__(self):
        # Id and start of the process in Unix ms, to a clock reading in ms.
        self._held_until: dict[tuple[str, int], int] = {}
        self._id_bytes = 0

    @property
    def count(self) -> int:
        """Number of incarnations."""
        return len(self._held_until)

    @property
    def kept_bytes(self) -> int:
        """Estimate of the memory of all incarnations."""
        return self._id_bytes + len(self._held_until) * _INCARNATION_BYTES

    def add(self, upstream_id: str, born_ms: int, until: int) -> None:
        """Adds an incarnation until a clock reading, or keeps a later one."""
        key = (upstream_id, born_ms)
        if key not in self._held_until:
            self._id_bytes += len(upstream_id)
        self._held_until[key] = max(until, self._held_until.get(key, until))

    def includes(self, upstream: serving.Upstream) -> bool:
        """Returns whether this incarnation gets no requests now."""
        return (upstream.id, upstream.born_ms) in self._held_until

    def remaining_ms(self, upstream: serving.Upstream, now: int) -> int | None:
        """Returns for how long it gets no requests; None if it may get some."""
        until = self._held_until.get((upstream.id, upstream.born_ms))
        return None if until is None else max(0, until - now)

    def drop_old(self, now: int) -> bool:
        """Drops those whose time is over; returns whether there were any."""
        old = [key for key, until in self._held_until.items() if until <= now]
        for key in old:
            del self._held_until[key]
            self._id_bytes -= len(key[0])
        return bool(old)
