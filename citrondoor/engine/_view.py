"""This daemon's view of the declarations and of the other daemons."""

from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor import membership
from citrondoor import timeline


class ClusterView:
    """The local view of the cluster, shared by all parts of a daemon.

    Args:
      vm: Name of this VM.
      zone: Zone of this VM.
      clock: Clock of this daemon.
      members: Membership table of all daemons.
      pause_detector: Decides whether the view may be used for new work.
      recorder: Records events for the timeline.
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
        """Registers a listener, called with each catalogue made active."""
        self._subscribers.append(listener)

    def set_catalogue(self, catalogue: declared.Catalogue) -> None:
        """Makes a catalogue active and calls every listener with it."""
        self.catalogue = catalogue
        for listener in self._subscribers:
            listener(catalogue)
