"""A bounded record of changes of state."""

import collections
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor.schema import messages

MAX_EVENTS = 4096


class Recorder:
    """Keeps the newest events of this daemon.

    Args:
      vm: Name of this VM.
      incarnation: This incarnation.
      clock: Clock of the daemon.
      listener: Called with each event, to log it.
    """

    __slots__ = ("_clock", "_events", "_incarnation", "_listener", "_vm")

    def __init__(
        self,
        vm: str,
        incarnation: int,
        clock: clocks.Clock,
        listener: Callable[[messages.Event], None],
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._listener = listener
        self._events: collections.deque[messages.Event] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def record(self, kind: str, detail: str) -> None:
        """Adds an event."""
        event = messages.Event(
            self._clock.unix_ms(), self._vm, self._incarnation, kind, detail
        )
        self._events.append(event)
        self._listener(event)

    def events_after(self, wall_ms: int) -> list[messages.Event]:
        """Returns events later than a wall reading, oldest first."""
        return [event for event in self._events if event.wall_ms > wall_ms]
