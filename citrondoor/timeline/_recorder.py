"""Bounded in-memory buffer of state change events."""

import collections
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor.schema import messages

MAX_EVENTS = 4096


class Recorder:
    """Keeps the newest MAX_EVENTS events of a daemon.

    Args:
      vm: Name of this VM.
      incarnation: Incarnation number of this start of the daemon.
      clock: Clock whose Unix time stamps the events.
      on_event: Called with each new event; the daemon logs it.
    """

    __slots__ = ("_clock", "_events", "_incarnation", "_on_event", "_vm")

    def __init__(
        self,
        vm: str,
        incarnation: int,
        clock: clocks.Clock,
        on_event: Callable[[messages.Event], None],
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._on_event = on_event
        self._events: collections.deque[messages.Event] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def record(self, kind: str, detail: str) -> None:
        """Adds an event with the current Unix time.

        Once the buffer is full, the oldest event is discarded.

        Args:
          kind: Kind of the event, such as `member_seen`.
          detail: Text for operators.
        """
        event = messages.Event(
            self._clock.unix_ms(), self._vm, self._incarnation, kind, detail
        )
        self._events.append(event)
        self._on_event(event)

    def events_after(self, unix_ms: int) -> list[messages.Event]:
        """Returns the events after a Unix time in ms, oldest first."""
        return [event for event in self._events if event.wall_ms > unix_ms]
