"""Notices when the store was out of everybody's reach."""

# Entries lapse after three heartbeats of silence, 3.6 s on today's platform: a
# store that nobody reached for less than this has lost none.
LAPSE_MS = 3000


class StoreOutageDetector:
    """Follows the newest reading that anybody in the fleet made.

    One daemon that is refused learns from the others that the store serves;
    one that comes late after an outage for all learns that there was one.
    """

    __slots__ = ("_last_read_at",)

    def __init__(self):
        self._last_read_at: int | None = None

    @property
    def last_read_at(self) -> int | None:
        """Clock reading of the newest reading; None before the first."""
        return self._last_read_at

    def record_read(self, read_at: int) -> bool:
        """Notes a reading, own or a peer's.

        Args:
          read_at: When it was made, by this daemon's clock.

        Returns:
          Whether an outage for all has ended with it.
        """
        before = self._last_read_at
        if before is not None and read_at <= before:
            return False
        self._last_read_at = read_at
        return before is not None and read_at - before > LAPSE_MS
