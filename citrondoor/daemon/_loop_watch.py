"""Measures how late the event loop is.

Handles work that holds up everything else in the process: what a flood of
bytes costs, a long garbage collection, or a machine without processor time.
"""

import asyncio

from citrondoor import clock as clocks

INTERVAL_MS = 50


class LoopWatch:
    """How late the event loop was at the end of short pauses.

    Args:
      clock: Clock of the daemon.

    Attributes:
      total_ms: Sum of all delays, in ms.
      longest_ms: Longest delay since the start, in ms.
    """

    __slots__ = ("_clock", "_recent_ms", "longest_ms", "total_ms")

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._recent_ms = 0
        self.longest_ms = 0
        self.total_ms = 0

    async def run(self) -> None:
        """Measures forever."""
        while True:
            due_at = self._clock.now() + INTERVAL_MS
            await asyncio.sleep(INTERVAL_MS / clocks.MS_PER_S)
            self.record(self._clock.now() - due_at)

    def record(self, late_ms: int) -> None:
        """Records the delay at the end of one pause."""
        late_ms = max(0, late_ms)
        self.total_ms += late_ms
        self.longest_ms = max(self.longest_ms, late_ms)
        self._recent_ms = max(self._recent_ms, late_ms)

    def take_recent_ms(self) -> int:
        """Returns the longest delay since the last call."""
        recent_ms, self._recent_ms = self._recent_ms, 0
        return recent_ms
