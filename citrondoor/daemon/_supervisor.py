"""Runs the parts of a daemon and restarts those that fail unexpectedly."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import errors

# Pause before a part is started again.
RESTART_DELAY_MS = 100
# A part that fails this many times within the period below is not started
# again: what it fails on is then in the state of the process, not in one
# message.
MAX_FAILURES = 20
FAILURE_PERIOD_MS = 10_000

Report = Callable[..., None]
Part = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs one part of a daemon and starts it again after an error.

    One malformed message or unexpected error must not take the process down,
    and with it all requests that it serves.

    Args:
      name: Name of the part, for the log.
      clock: Clock of the daemon.
      report: Called with the event `part_failed` and its fields.
    """

    __slots__ = ("_clock", "_failed_at", "_name", "_report")

    def __init__(self, name: str, clock: clocks.Clock, report: Report):
        self._name = name
        self._clock = clock
        self._report = report
        # Times of the failures within the period.
        self._failed_at: list[int] = []

    async def run(self, part: Part) -> None:
        """Runs the part until it ends without an error.

        Raises:
          Exception: The last error of a part that fails again and again, or
            an `errors.InvariantError`, after which the state of the process
            cannot be trusted.
        """
        while True:
            try:
                await part()
                return
            except Exception as error:
                is_final = self._record_failure(
                    self._clock.now()
                ) or isinstance(error, errors.InvariantError)
                self._report(
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


class Parts:
    """The tasks of a daemon that all its requests depend on.

    Args:
      clock: Clock of the daemon.
      report: Called with the event and the fields of each failure.
      on_end: Called when a part has failed for good. The daemon shuts down
        then: without its tick, for example, it would go on serving with an
        outdated view.
    """

    __slots__ = ("_clock", "_on_end", "_report", "_tasks")

    def __init__(
        self, clock: clocks.Clock, report: Report, on_end: Callable[[], None]
    ):
        self._clock = clock
        self._report = report
        self._on_end = on_end
        self._tasks: list[asyncio.Task] = []

    def start(self, name: str, part: Part) -> None:
        """Starts a part.

        Args:
          name: Name for the log.
          part: Coroutine function of the part.
        """
        supervisor = Supervisor(name, self._clock, self._report)
        task = asyncio.create_task(supervisor.run(part))
        task.add_done_callback(self._on_task_end)
        self._tasks.append(task)

    def cancel(self) -> None:
        """Cancels all parts."""
        for task in self._tasks:
            task.cancel()

    def _on_task_end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._on_end()
