"""The clock of every decision: whole milliseconds.

`now` never goes back and keeps running while the process is stopped; `wall`
is UTC and is only used for months, incarnations and the time line.
"""

import datetime
import time

NS_PER_MS = 1_000_000
MS_PER_S = 1000


class Clock:
    """Reads the machine's clocks."""

    __slots__ = ()

    def now(self) -> int:
        """Returns milliseconds since an arbitrary start; counts suspension."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall(self) -> int:
        """Returns milliseconds since 1970-01-01 UTC."""
        return time.time_ns() // NS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when told to.

    Args:
      now: First reading of `now`, in milliseconds.
      wall: First reading of `wall`, in milliseconds.
    """

    __slots__ = ("_now", "_wall")

    def __init__(self, now: int = 0, wall: int = 0):
        self._now = now
        self._wall = wall

    def now(self) -> int:
        """Returns the set reading."""
        return self._now

    def wall(self) -> int:
        """Returns the set wall reading."""
        return self._wall

    def advance(self, ms: int) -> None:
        """Moves both readings forward by `ms`."""
        self._now += ms
        self._wall += ms


def month_of(wall_ms: int) -> str:
    """Returns the UTC month of a wall reading, as `YYYY-MM`."""
    moment = datetime.datetime.fromtimestamp(
        wall_ms / MS_PER_S, tz=datetime.UTC
    )
    return f"{moment.year:04d}-{moment.month:02d}"
