"""Merges the records of several searchers."""

import heapq
from collections.abc import Iterator

# Length of one record in the body of a shard.
RECORD_BYTES = 16
# Bodies above this size are read record by record: a list of the records takes
# five times the memory of the body.
MAX_LISTED_BYTES = 4096


def split_records(body: bytes) -> list[bytes]:
    """Returns the records of a shard, without a shorter remainder."""
    last_start = len(body) - RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, last_start + 1, RECORD_BYTES)
    ]


def trim_records(body: bytes, top: int) -> bytes:
    """Returns the greatest records of a long body; a short one as it is.

    Args:
      body: Records, in any order.
      top: Number of records that can be in an answer.
    """
    if len(body) <= max(MAX_LISTED_BYTES, top * RECORD_BYTES):
        return body
    # Without a length, `nlargest` keeps no more than `top` records.
    return b"".join(heapq.nlargest(top, _iterate_records(body)))


def _iterate_records(body: bytes) -> Iterator[bytes]:
    last_start = len(body) - RECORD_BYTES
    for start in range(0, last_start + 1, RECORD_BYTES):
        yield body[start : start + RECORD_BYTES]


def merge_top_records(bodies: list[bytes], top: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
      bodies: Records of `RECORD_BYTES` bytes each, in any order; a shorter
        remainder is ignored.
      top: Number of records to return; equal records are all kept.
    """
    records = [
        record
        for body in bodies
        for record in split_records(trim_records(body, top))
    ]
    return b"".join(heapq.nlargest(top, records))
