"""Limits the bytes of partly received messages over all connections.

Handles searchers in trouble that send bodies without end on many connections at
once: each body may be within its own limit while all of them together exceed
the VM's memory.
"""

from collections.abc import Hashable


class HeldBytesLimiter:
    """Chooses the connection to close when too many bytes are held.

    The connection that holds the most is chosen, so that those with ordinary
    messages are not affected by those in trouble.

    Args:
      max_bytes: Limit over all connections.
    """

    __slots__ = ("_held_by", "_max_bytes", "_total_bytes")

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._held_by: dict[Hashable, int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Bytes held by all connections."""
        return self._total_bytes

    def record_held(self, holder: Hashable, held_bytes: int):
        """Records the bytes that a connection holds.

        Args:
          holder: The connection.
          held_bytes: All bytes that it holds now; 0 removes it.

        Returns:
          The connection to close, which may be another one, or None.
        """
        self._total_bytes += held_bytes - self._held_by.pop(holder, 0)
        if held_bytes:
            self._held_by[holder] = held_bytes
        if self._total_bytes <= self._max_bytes:
            return None
        return max(self._held_by, key=self._held_by.get)
