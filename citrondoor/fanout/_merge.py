"""Merges the records of several searchers."""

import heapq

# The shards' records have this length; a shorter rest is none.
RECORD_BYTES = 16


def greatest_records(bodies: list[bytes], top: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
      bodies: Records of `RECORD_BYTES` bytes each, in no order; a shorter
        remainder is ignored.
      top: Number of records to return; equal records all count.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top, records))
