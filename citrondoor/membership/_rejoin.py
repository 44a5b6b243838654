"""Chooses which address a daemon tries next to find members that it lost.

Handles partitions: both sides take the other one for dead, and without such
attempts they would stay apart after the network has recovered. Also handles
seeds that were replaced while a daemon was running.
"""

from collections.abc import Iterable

from citrondoor import rendezvous

# Interval of attempts, also while nothing is lost for long: an attempt is one
# connection, and an exchange of heartbeats if somebody answers.
REJOIN_INTERVAL_MS = 1000

Address = tuple[str, int]


class RejoinSchedule:
    """Takes all candidates in turn, each daemon in an order of its own.

    Args:
      vm: Name of the daemon's VM.
    """

    __slots__ = ("_attempt_count", "_next_at", "_vm")

    def __init__(self, vm: str):
        self._vm = vm
        self._attempt_count = 0
        self._next_at: int | None = None

    def is_due(self, now: int) -> bool:
        """Returns whether the next attempt may be made.

        Args:
          now: Clock reading in ms.
        """
        return self._next_at is None or now >= self._next_at

    def choose(self, candidates: Iterable[Address], now: int) -> Address | None:
        """Returns the address to try now, or None.

        Args:
          candidates: Addresses at which no member is known to be alive.
          now: Clock reading in ms.
        """
        if not self.is_due(now):
            return None
        addresses = {
            f"{host}:{port}": (host, port) for host, port in candidates
        }
        if not addresses:
            return None
        self._next_at = now + REJOIN_INTERVAL_MS
        ranking = rendezvous.rank(f"rejoin/{self._vm}", list(addresses))
        chosen = ranking[self._attempt_count % len(ranking)]
        self._attempt_count += 1
        return addresses[chosen]
