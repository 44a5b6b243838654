"""Merges the records of several searchers."""

import heapq

# Length of one record in the body of a shard.
RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Returns the records of a shard, without a shorter remainder."""
    last_start = len(body) - RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, last_start + 1, RECORD_BYTES)
    ]


def merge_top_records(bodies: list[bytes], top: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
      bodies: Records of `RECORD_BYTES` bytes each, in any order; a shorter
        remainder is ignored.
      top: Number of records to return; equal records are all kept.
    """
    records = [record for body in bodies for record in split_records(body)]
    return b"".join(heapq.nlargest(top, records))
