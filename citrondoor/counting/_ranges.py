"""A set of integers kept as ranges; callers number their requests upwards."""

import bisect

from citrondoor.schema import messages


class RangeSet:
    """A mergeable set of integers.

    Consecutive numbers take the space of one range, however many they are.
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
        """Ranges that the set takes."""
        return len(self._firsts)

    def add(self, number: int) -> bool:
        """Adds one number; returns False when it was there."""
        return self.add_range(number, number) > 0

    def add_range(self, first: int, last: int) -> int:
        """Adds all numbers of a range; returns how many were new."""
        # All ranges from `low` to `high` touch or overlap the new one.
        low = bisect.bisect_left(self._lasts, first - 1)
        high = bisect.bisect_right(self._firsts, last + 1)
        covered = sum(
            self._lasts[i] - self._firsts[i] + 1 for i in range(low, high)
        )
        if low < high:
            first = min(first, self._firsts[low])
            last = max(last, self._lasts[high - 1])
        self._firsts[low:high] = [first]
        self._lasts[low:high] = [last]
        added = last - first + 1 - covered
        self._size += added
        return added

    def ranges(self) -> list[messages.NumberRange]:
        """Returns the ranges, ascending and disjoint."""
        return [
            messages.NumberRange(first, last)
            for first, last in zip(self._firsts, self._lasts, strict=True)
        ]
