"""Ranks members for a key by rendezvous hashing.

Adding or removing a member leaves the order of the others unchanged.
"""

import hashlib

# Must be equal on all daemons, so that they rank alike. `Daemon` uses the high
# half of a 64-bit score.
_SCORE_BYTES = 8


def score(key: str, member: str) -> int:
    """Returns a member's 64-bit score for a key, equal on all daemons."""
    digest = hashlib.blake2b(
        f"{key}\0{member}".encode(), digest_size=_SCORE_BYTES
    )
    return int.from_bytes(digest.digest(), "big")


def rank(key: str, members) -> list[str]:
    """Returns the members sorted by descending score for a key."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)
