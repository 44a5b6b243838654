"""States of a daemon's life."""

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
    """Moves through the states and reports each change.

    Args:
      listener: Called with the kind and detail of each change of state.
    """

    __slots__ = ("_listener", "_machine")

    def __init__(self, listener: Callable[[str, str], None]):
        self._listener = listener
        self._machine = transitions.Machine(
            states=_STATES,
            transitions=_TRANSITIONS,
            initial="starting",
            auto_transitions=False,
            after_state_change=self._report,
        )

    @property
    def state(self) -> str:
        """The present state."""
        return self._machine.state

    def join(self) -> None:
        """Begins to look for peers and configuration."""
        self._machine.trigger("join")

    def serve(self) -> None:
        """Begins to take requests."""
        self._machine.trigger("serve")

    def leave(self) -> None:
        """Begins to shut down."""
        self._machine.trigger("leave")

    def stop(self) -> None:
        """Ends."""
        self._machine.trigger("stop")

    def _report(self) -> None:
        self._listener("daemon_state", self._machine.state)
