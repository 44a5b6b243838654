"""Chooses the few daemons that read the platform."""

from citrondoor import rendezvous

# Without news for this long, the number of readers doubles.
ESCALATION_MS = 3000
# All readers together must stay below 2,000 reads a second; one that gets no
# answer reads about once a second.
MAX_READERS = 1000


class ReaderSelector:
    """Decides whether this daemon watches the platform.

    Readers rotate by epoch. While nobody has heard from the platform, more
    daemons try, doubling every `ESCALATION_MS`, so that a few readers which
    are cut off do not blind the fleet.

    Args:
      vm: Name of this daemon's VM.
      readers: Daemons that read in ordinary times.
      epoch_ms: Time after which the readers are chosen anew, in milliseconds.
    """

    __slots__ = ("_epoch_ms", "_readers", "_vm")

    def __init__(self, vm: str, readers: int, epoch_ms: int):
        self._vm = vm
        self._readers = readers
        self._epoch_ms = epoch_ms

    def is_reader(self, live_vms, wall_ms: int, silence_ms: int) -> bool:
        """Returns whether to read now.

        Args:
          live_vms: Names of the VMs believed alive, this one included.
          wall_ms: Wall reading; it only selects the epoch.
          silence_ms: Age of the newest reading that is known in the fleet.
        """
        epoch = wall_ms // self._epoch_ms
        doublings = min(silence_ms // ESCALATION_MS, len(live_vms).bit_length())
        wanted = min(MAX_READERS, self._readers << doublings)
        ranking = rendezvous.rank(f"reader/{epoch}", live_vms)
        return self._vm in ranking[:wanted]
