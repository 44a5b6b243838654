"""Detects when no daemon could reach the platform's store."""

# A longer gap between reads of the store counts as an outage. The store drops
# an entry 3.6 s after its last heartbeat (three missed ones), so no entry
# expires in an undetected outage.
MIN_OUTAGE_MS = 3000
# A longer time between two signs that this process runs is a pause of it.
MIN_PAUSE_MS = 1000


class StoreOutageDetector:
    """Detects the end of a store outage from the reads of all daemons.

    While a single daemon cannot reach the store, the reads of its peers show
    that there is no outage. After an outage for all daemons, the first read of
    any of them shows its end, also to a daemon that reaches the store later.
    Time in which this process was paused does not count: others may have read
    the store, and it would take its own pause for an outage.
    """

    __slots__ = ("_last_read_at", "_paused_ms", "_running_at")

    def __init__(self):
        self._last_read_at: int | None = None
        self._running_at: int | None = None
        # Length of the pauses since the newest read.
        self._paused_ms = 0

    @property
    def last_read_at(self) -> int | None:
        """Clock time in ms of the newest read; None before the first."""
        return self._last_read_at

    def record_running(self, now: int) -> None:
        """Records that this process runs.

        Called regularly, and before each `record_read`.

        Args:
          now: Clock time in ms.
        """
        if self._running_at is not None:
            gap_ms = now - self._running_at
            if gap_ms > MIN_PAUSE_MS:
                self._paused_ms += gap_ms
        self._running_at = now

    def record_read(self, read_at: int) -> bool:
        """Records a read of the store by this daemon or a peer.

        Args:
          read_at: When the store was read, by this daemon's clock in ms.

        Returns:
          Whether this read ended an outage for all daemons.
        """
        previous = self._last_read_at
        if previous is not None and read_at <= previous:
            return False
        self._last_read_at = read_at
        paused_ms, self._paused_ms = self._paused_ms, 0
        if previous is None:
            return False
        return read_at - previous - paused_ms > MIN_OUTAGE_MS
