"""Rendezvous hashing: a ranking that moves little when a member changes."""

import hashlib

_SCORE_BYTES = 8


def score(key: str, member: str) -> int:
    """Returns the weight of a member for a key; the same on every daemon."""
    digest = hashlib.blake2b(
        f"{key}\0{member}".encode(), digest_size=_SCORE_BYTES
    )
    return int.from_bytes(digest.digest(), "big")


def rank(key: str, members) -> list[str]:
    """Returns members by descending weight for a key."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)
