"""Shares the processor time of reading between all connections of a daemon.

Handles senders who make each byte expensive: chunks of one byte, tiny headers,
tiny segments. Each of them is within the limits of its own connection, while
all of them together leave no time for anything else in the process.

Work is counted in pieces: calls of a parser, each about a microsecond.
"""

from citrondoor import clock as clocks

# A read costs as much as this number of pieces.
READ_PIECES = 16
# A message may cost this much, and a piece for each of these bytes; what goes
# beyond is wasteful. Proper messages are far below it.
FREE_PIECES = 256
BYTES_PER_PIECE = 32
# Wasteful work of all connections, about 2% of one processor.
WASTEFUL_PIECES_PER_S = 20_000
BURST_PIECES = 2_000
# The most that can be overdrawn: work that has been done is not repaid by
# seconds in which no connection has a turn.
MAX_OVERDRAFT_PIECES = 10_000


class MessageEffort:
    """What the message that one connection receives has cost so far."""

    __slots__ = ("_bytes", "_pieces")

    def __init__(self):
        self._pieces = 0
        self._bytes = 0

    @property
    def is_dense(self) -> bool:
        """Whether few further pieces would be wasteful.

        Such a message is parsed in smaller parts: the cost of a part is known
        only afterwards.
        """
        return self._pieces > FREE_PIECES // 2 + self._bytes // BYTES_PER_PIECE

    def record(self, pieces: int, byte_count: int) -> int:
        """Records work, and returns how much of it is wasteful.

        Args:
          pieces: Work, in pieces.
          byte_count: Bytes of the message that were parsed.
        """
        self._pieces += pieces
        self._bytes += byte_count
        allowed = FREE_PIECES + self._bytes // BYTES_PER_PIECE
        wasteful = max(0, self._pieces - allowed)
        # Recorded in the budget instead.
        self._pieces -= wasteful
        return wasteful

    def reset(self) -> None:
        """Starts with the next message."""
        self._pieces = 0
        self._bytes = 0


class ReadBudget:
    """Wasteful work that all connections together may still do.

    It may be overdrawn, as the cost of a read is known only after it.

    Args:
      now: Clock reading, in ms.

    Attributes:
      wasted_pieces: All wasteful work so far.
    """

    __slots__ = ("_level", "_refilled_at", "wasted_pieces")

    def __init__(self, now: int):
        self._level = float(BURST_PIECES)
        self._refilled_at = now
        self.wasted_pieces = 0

    def spend(self, pieces: int, now: int) -> None:
        """Records wasteful work."""
        self._refill(now)
        self._level = max(-MAX_OVERDRAFT_PIECES, self._level - pieces)
        self.wasted_pieces += pieces

    def wait_ms(self, now: int) -> int:
        """Returns the time until more wasteful work may be done, in ms."""
        self._refill(now)
        if self._level > 0:
            return 0
        missing = 1 - self._level
        return int(missing * clocks.MS_PER_S / WASTEFUL_PIECES_PER_S) + 1

    def _refill(self, now: int) -> None:
        earned = (now - self._refilled_at) * WASTEFUL_PIECES_PER_S
        self._refilled_at = now
        self._level = min(BURST_PIECES, self._level + earned / clocks.MS_PER_S)
