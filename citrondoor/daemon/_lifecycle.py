"""State machine of a daemon from start to stop."""

from collections.abc import Callable

import transitions

_STATES = ["starting", "joining", "serving", "leaving", "stopped"]
_TRANSITIONS = [
    {"trigger": "join", "source": "starting", "dest": "joining"},
    {"trigger": "serve", "source": "joining", "dest": "serving"},
    {
        "trigger": "leave",
        "source": ["starting", "joining", "serving"],
        "dest": "leaving",
    },
    {"trigger": "stop", "source": "leaving", "dest": "stopped"},
]


class Lifecycle:
    """Lifecycle state of a daemon; each change is reported as an event.

    A method called in a state that doesn't allow it raises
    `transitions.MachineError`.

    Args:
      on_event: Called after each change with the event's kind, `daemon_state`,
        and its detail, the new state.
    """

    __slots__ = ("_on_event", "_machine")

    def __init__(self, on_event: Callable[[str, str], None]):
        self._on_event = on_event
        self._machine = transitions.Machine(
            states=_STATES,
            transitions=_TRANSITIONS,
            initial="starting",
            auto_transitions=False,
            after_state_change=self._report_state,
        )

    @property
    def state(self) -> str:
        """The current state."""
        return self._machine.state

    def join(self) -> None:
        """Enters `joining`, in which the daemon prepares to accept requests."""
        self._machine.trigger("join")

    def serve(self) -> None:
        """Enters `serving`, in which the daemon is ready for requests."""
        self._machine.trigger("serve")

    def leave(self) -> None:
        """Enters `leaving`, in which the daemon shuts down."""
        self._machine.trigger("leave")

    def stop(self) -> None:
        """Enters `stopped`."""
        self._machine.trigger("stop")

    def _report_state(self) -> None:
        self._on_event("daemon_state", self._machine.state)
