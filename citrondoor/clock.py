"""Clocks in whole milliseconds.

`now` is monotonic and keeps counting while the process or the machine is
suspended; time limits use it. `unix_ms` is Unix time, which may be set back. It
is used where daemons compare times, and for months, incarnations and events.
"""

import datetime
import time

NS_PER_MS = 1_000_000
MS_PER_S = 1000


class Clock:
    """Reads the machine's clocks."""

    __slots__ = ()

    def now(self) -> int:
        """Returns monotonic time in ms, including suspension of the machine."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def unix_ms(self) -> int:
        """Returns Unix time, in ms since 1970-01-01 UTC."""
        return time.time_ns() // NS_PER_MS


class ManualClock(Clock):
    """A clock for tests, which moves only when `advance` is called.

    Args:
      now: Initial monotonic time in ms.
      unix_ms: Initial Unix time in ms.
    """

    __slots__ = ("_now", "_unix_ms")

    def __init__(self, now: int = 0, unix_ms: int = 0):
        self._now = now
        self._unix_ms = unix_ms

    def now(self) -> int:
        """Returns the simulated monotonic time in ms."""
        return self._now

    def unix_ms(self) -> int:
        """Returns the simulated Unix time in ms."""
        return self._unix_ms

    def advance(self, ms: int) -> None:
        """Moves both times forward by `ms` milliseconds."""
        self._now += ms
        self._unix_ms += ms


def month_of(unix_ms: int) -> str:
    """Returns the UTC month of a Unix time in ms, as `YYYY-MM`."""
    time_utc = datetime.datetime.fromtimestamp(
        unix_ms / MS_PER_S, tz=datetime.UTC
    )
    return f"{time_utc.year:04d}-{time_utc.month:02d}"
