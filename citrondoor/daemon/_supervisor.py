"""Restarts a part of a daemon that ends with an unexpected error."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import entry

# Pause before a part is started again.
RESTART_DELAY_MS = 100
# A part that fails this many times within the period below is not started
# again: what it fails on is then in the state of the process, not in one
# message.
MAX_FAILURES = 20
FAILURE_PERIOD_MS = 10_000


class Supervisor:
    """Runs one part of a daemon and starts it again after an error.

    One malformed message or unexpected error must not take the process down,
    and with it all requests that it serves.

    Args:
      name: Name of the part, for the log.
      clock: Clock of the daemon.
      log: Log of decisions.
    """

    __slots__ = ("_clock", "_failed_at", "_log", "_name")

    def __init__(self, name: str, clock: clocks.Clock, log: entry.DecisionLog):
        self._name = name
        self._clock = clock
        self._log = log
        # Times of the failures within the period.
        self._failed_at: list[int] = []

    async def run(self, part: Callable[[], Awaitable[None]]) -> None:
        """Runs the part until it ends without an error.

        Raises:
          Exception: The last error of a part that fails again and again.
        """
        while True:
            try:
                await part()
                return
            except Exception as error:
                is_final = self._record_failure(self._clock.now())
                self._log.write(
                    "part_failed",
                    part=self._name,
                    error=repr(error),
                    failures=len(self._failed_at),
                    is_final=is_final,
                )
                if is_final:
                    raise
            await asyncio.sleep(RESTART_DELAY_MS / clocks.MS_PER_S)

    def _record_failure(self, now: int) -> bool:
        """Records a failure; returns whether there were too many."""
        self._failed_at = [
            failed_at
            for failed_at in self._failed_at
            if now - failed_at < FAILURE_PERIOD_MS
        ]
        self._failed_at.append(now)
        return len(self._failed_at) >= MAX_FAILURES
