"""Removes records that cannot be among the top records of an answer."""

from citrondoor.fanout import _records


class Pruner:
    """Prunes the records of the shards of one answer, one shard at a time.

    An answer that contains a pruned shard must also contain all shards pruned
    before it: records are removed if `top` records of those shards are at least
    as great.

    Args:
      top: Number of records in the answer.
    """

    __slots__ = ("_top", "_top_records")

    def __init__(self, top: int):
        self._top = top
        # The greatest records so far, greatest first.
        self._top_records: list[bytes] = []

    def prune(self, body: bytes) -> bytes:
        """Returns the records of a shard that may be in the answer."""
        records = _records.split_records(_records.trim_records(body, self._top))
        is_full = len(self._top_records) >= self._top
        smallest = (
            self._top_records[-1] if is_full and self._top_records else b""
        )
        candidates = sorted(
            (record for record in records if record > smallest), reverse=True
        )
        candidates = candidates[: self._top]
        merged = sorted(self._top_records + candidates, reverse=True)
        self._top_records = merged[: self._top]
        return b"".join(candidates)
