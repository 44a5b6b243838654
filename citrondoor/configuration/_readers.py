"""Chooses the few daemons that read the platform."""

from citrondoor import rendezvous

# The number of readers doubles each time that no read succeeded for this long.
READER_DOUBLING_INTERVAL_MS = 3000
# All readers together must stay below 2,000 reads per second, also while none
# succeeds. A reader of the configuration that fails repeatedly waits 2 s before
# it reads again, so this many of them send at most about 500 per second.
MAX_READERS = 1000


class ReaderSelector:
    """Decides whether this daemon reads the platform.

    Daemons rank by rendezvous hashing, anew in each epoch, and the first ones
    read. While no daemon reads successfully, the number of readers doubles
    every `READER_DOUBLING_INTERVAL_MS`, so that the cluster still gets updates
    when the first readers cannot reach the platform.

    Args:
      vm: Name of this VM.
      readers: Number of readers while reads succeed.
      epoch_ms: Length of an epoch.
    """

    __slots__ = ("_epoch_ms", "_readers", "_vm")

    def __init__(self, vm: str, readers: int, epoch_ms: int):
        self._vm = vm
        self._readers = readers
        self._epoch_ms = epoch_ms

    def is_reader(self, live_vms, unix_ms: int, read_age_ms: int) -> bool:
        """Returns whether this daemon is a reader now.

        Args:
          live_vms: Names of the live VMs in the local view, including this one.
          unix_ms: Unix time; it only selects the epoch.
          read_age_ms: Time since the last successful read by any daemon.
        """
        epoch = unix_ms // self._epoch_ms
        doublings = min(
            read_age_ms // READER_DOUBLING_INTERVAL_MS,
            len(live_vms).bit_length(),
        )
        reader_count = min(MAX_READERS, self._readers << doublings)
        ranking = rendezvous.rank(f"reader/{epoch}", live_vms)
        return self._vm in ranking[:reader_count]
