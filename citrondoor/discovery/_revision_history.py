"""Remembers which revisions of the store a registry has known in full.

A registry advances from one known revision to a later one. What was registered
and removed between the two it may never have seen, while another daemon that
read the store in between has. That daemon keeps the searcher until it learns
that the registry, which knows all that is there, does not have it.
"""

import bisect
import collections

# Some minutes of readings and exchanges; tombstones are kept for one.
MAX_REVISIONS = 256
# Newest entries whose creation is remembered; as many as register in some
# minutes when a set of shards is replaced, and more.
MAX_CREATED = 4096


class RevisionHistory:
    """The latest known revisions, and the entries that were created last."""

    __slots__ = ("_created", "_known")

    def __init__(self):
        self._known: collections.deque[int] = collections.deque(
            maxlen=MAX_REVISIONS
        )
        # Revision of the creation and id of each entry, in ascending order.
        self._created: list[tuple[int, str]] = []

    @property
    def known_since(self) -> int | None:
        """The lowest known revision; None before the first."""
        return self._known[0] if self._known else None

    def advance(self, revision: int) -> None:
        """Adds a revision up to which all changes are known now."""
        if self._known and revision <= self._known[-1]:
            return
        self._known.append(revision)

    def add_created(self, upstream_id: str, revision: int) -> None:
        """Adds an entry and the revision of the store that created it."""
        entry = (revision, upstream_id)
        place = bisect.bisect_left(self._created, entry)
        if self._created[place : place + 1] != [entry]:
            self._created.insert(place, entry)
            del self._created[:-MAX_CREATED]

    def last_known(self, revision: int) -> int | None:
        """Returns the last known revision that is not above another one.

        Returns:
          The revision, or None if none was that low or it was too long ago.
        """
        return max(
            (known for known in self._known if known <= revision), default=None
        )

    def created_after(self, revision: int) -> list[str]:
        """Returns the ids of entries that were created after a revision."""
        first = bisect.bisect_left(self._created, (revision + 1,))
        return [upstream_id for _, upstream_id in self._created[first:]]
