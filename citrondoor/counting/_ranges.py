"""A set of integers stored as ranges.

Callers number the requests of a session in ascending order, so that a session
takes few ranges.
"""

import bisect

from citrondoor.schema import messages


class RangeSet:
    """A set of integers that stores consecutive numbers as one range.

    Membership takes a binary search over the ranges.
    """

    __slots__ = ("_firsts", "_lasts", "_size")

    def __init__(self):
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __contains__(self, number: int) -> bool:
        index = bisect.bisect_right(self._firsts, number) - 1
        return index >= 0 and number <= self._lasts[index]

    @property
    def range_count(self) -> int:
        """Number of ranges that the set is stored as."""
        return len(self._firsts)

    def add(self, number: int) -> bool:
        """Adds one number; returns whether it was new."""
        return self.add_range(number, number) > 0

    def add_range(self, first: int, last: int) -> int:
        """Adds the numbers `first` to `last`; returns how many were new."""
        # The ranges in [first_index, end_index) touch or overlap the new one
        # and are merged with it.
        first_index = bisect.bisect_left(self._lasts, first - 1)
        end_index = bisect.bisect_right(self._firsts, last + 1)
        covered_count = sum(
            self._lasts[index] - self._firsts[index] + 1
            for index in range(first_index, end_index)
        )
        if first_index < end_index:
            first = min(first, self._firsts[first_index])
            last = max(last, self._lasts[end_index - 1])
        self._firsts[first_index:end_index] = [first]
        self._lasts[first_index:end_index] = [last]
        added = last - first + 1 - covered_count
        self._size += added
        return added

    def ranges(self) -> list[messages.NumberRange]:
        """Returns the ranges, ascending, disjoint and not adjacent."""
        return [
            messages.NumberRange(first, last)
            for first, last in zip(self._firsts, self._lasts, strict=True)
        ]
