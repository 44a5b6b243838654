"""Leaves out records that cannot be among the greatest of an answer."""

from citrondoor.fanout import _records


class Pruner:
    """Sees the shards of one answer one after the other.

    Every shard that it has seen must be in the answer: what is left out of a
    later one is smaller than records of the earlier ones.

    Args:
      top: Number of records in the answer.
    """

    __slots__ = ("_kept", "_top")

    def __init__(self, top: int):
        self._top = top
        # The greatest records so far, greatest first.
        self._kept: list[bytes] = []

    def prune(self, body: bytes) -> bytes:
        """Returns the records of a shard that may be in the answer."""
        records = _records.split_records(body)
        is_full = len(self._kept) >= self._top
        least = self._kept[-1] if is_full and self._kept else b""
        useful = sorted((r for r in records if r > least), reverse=True)
        useful = useful[: self._top]
        merged = sorted(self._kept + useful, reverse=True)
        self._kept = merged[: self._top]
        return b"".join(useful)
