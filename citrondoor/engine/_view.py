"""What this daemon knows of the declarations and of the other daemons."""

from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor import membership
from citrondoor import timeline


class ClusterView:
    """Shared by all parts of a daemon.

    Args:
      vm: Name of this VM.
      zone: Its zone.
      clock: Clock of the daemon.
      members: Table of daemons.
      pause_detector: Whether the view may be trusted.
      recorder: Takes events.
    """

    __slots__ = (
        "_subscribers",
        "catalogue",
        "clock",
        "members",
        "pause_detector",
        "recorder",
        "vm",
        "zone",
    )

    def __init__(
        self,
        vm: str,
        zone: str,
        clock: clocks.Clock,
        members: membership.Members,
        pause_detector: membership.PauseDetector,
        recorder: timeline.Recorder,
    ):
        self.vm = vm
        self.zone = zone
        self.clock = clock
        self.members = members
        self.pause_detector = pause_detector
        self.recorder = recorder
        self.catalogue = declared.Catalogue([])
        self._subscribers: list[Callable[[declared.Catalogue], None]] = []

    def subscribe(self, listener: Callable[[declared.Catalogue], None]) -> None:
        """Calls a listener with each catalogue that comes into force."""
        self._subscribers.append(listener)

    def set_catalogue(self, catalogue: declared.Catalogue) -> None:
        """Brings a catalogue into force."""
        self.catalogue = catalogue
        for listener in self._subscribers:
            listener(catalogue)
