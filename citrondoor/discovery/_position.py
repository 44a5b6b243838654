"""Positions in the history of the platform's store."""

import functools


@functools.total_ordering
class Position:
    """A state of the store, in the order in which the store had them.

    After a return from a copy the store assigns some revisions a second time.
    Its era tells them apart: all states of an era are newer than those of the
    eras before it.

    Args:
      era: Number of returns from a copy; 0 for a store that does not state it.
      revision: Revision of the store within the era; -1 if none is known.
    """

    __slots__ = ("era", "revision")

    def __init__(self, era: int, revision: int):
        self.era = era
        self.revision = revision

    def __eq__(self, other):
        if not isinstance(other, Position):
            return NotImplemented
        return (self.era, self.revision) == (other.era, other.revision)

    def __lt__(self, other):
        if not isinstance(other, Position):
            return NotImplemented
        return (self.era, self.revision) < (other.era, other.revision)

    def __hash__(self) -> int:
        return hash((self.era, self.revision))

    def __repr__(self) -> str:
        return f"Position(era={self.era}, revision={self.revision})"
