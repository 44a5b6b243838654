"""Runs the parts of a daemon and restarts those that fail unexpectedly."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import errors

# Pause before a part is started again. It doubles with each failure up to the
# longest and is the shortest again after a part has run for `SOUND_MS`.
SHORTEST_PAUSE_MS = 100
LONGEST_PAUSE_MS = 2000
SOUND_MS = 10_000

Report = Callable[..., None]
Part = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs one part of a daemon and starts it again after an error.

    One malformed message or unexpected error must not take the process down,
    and with it all requests that it serves; nor must a part that fails again
    and again, since the next process would meet the same cause.

    Args:
      name: Name of the part, for the log.
      clock: Clock of the daemon.
      report: Called with the event `part_failed` and its fields.
    """

    __slots__ = ("_clock", "_failure_count", "_name", "_report")

    def __init__(self, name: str, clock: clocks.Clock, report: Report):
        self._name = name
        self._clock = clock
        self._report = report
        # Failures since the part last ran for `SOUND_MS`.
        self._failure_count = 0

    async def run(self, part: Part) -> None:
        """Runs the part until it ends without an error.

        Raises:
          errors.InvariantError: The state of the process can't be trusted.
        """
        while True:
            started_at = self._clock.now()
            try:
                await part()
                return
            except asyncio.CancelledError as error:
                if asyncio.current_task().cancelling():
                    raise
                # Something that the part awaited was cancelled, not the part.
                failure = error
            except Exception as error:
                failure = error
            if self._clock.now() - started_at >= SOUND_MS:
                self._failure_count = 0
            self._failure_count += 1
            is_final = isinstance(failure, errors.InvariantError)
            pause_ms = 0 if is_final else self._pause_ms()
            self._report_failure(failure, pause_ms, is_final)
            if is_final:
                raise failure
            await asyncio.sleep(pause_ms / clocks.MS_PER_S)

    def _report_failure(
        self, failure: BaseException, pause_ms: int, is_final: bool
    ) -> None:
        try:
            self._report(
                "part_failed",
                part=self._name,
                error=repr(failure),
                failures=self._failure_count,
                pause_ms=pause_ms,
                is_final=is_final,
            )
        except Exception:
            # The part starts again even if its failure can't be logged.
            pass

    def _pause_ms(self) -> int:
        pause_ms = SHORTEST_PAUSE_MS
        for _ in range(self._failure_count - 1):
            if pause_ms >= LONGEST_PAUSE_MS:
                break
            pause_ms *= 2
        return min(pause_ms, LONGEST_PAUSE_MS)


class Parts:
    """The tasks of a daemon that all its requests depend on.

    Args:
      clock: Clock of the daemon.
      report: Called with the event and the fields of each failure.
      on_end: Called with the name of a part that found an invariant broken and
        with its error. The daemon shuts down then.
    """

    __slots__ = ("_clock", "_on_end", "_report", "_tasks")

    def __init__(
        self,
        clock: clocks.Clock,
        report: Report,
        on_end: Callable[[str, Exception], None],
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
        task = asyncio.create_task(supervisor.run(part), name=name)
        task.add_done_callback(self._on_task_end)
        self._tasks.append(task)

    def cancel(self) -> None:
        """Cancels all parts."""
        for task in self._tasks:
            task.cancel()

    def _on_task_end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._on_end(task.get_name(), task.exception())
