"""Ranks members for a key by rendezvous hashing.

Adding or removing a member leaves the order of the others unchanged.
"""

import hashlib

_SCORE_BYTES = 8


def score(key: str, member: str) -> int:
    """Returns the weight of a member for a key, equal on all daemons."""
    digest = hashlib.blake2b(
        f"{key}\0{member}".encode(), digest_size=_SCORE_BYTES
    )
    return int.from_bytes(digest.digest(), "big")


def rank(key: str, members) -> list[str]:
    """Returns the members sorted by descending weight for a key."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)
