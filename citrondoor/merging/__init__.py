"""Merges the hits of shards into one ordered list."""

from citrondoor.merging._merge import merge_hits

__all__ = ["merge_hits"]
