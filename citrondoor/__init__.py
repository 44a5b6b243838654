"""A query tier that scatters searches over many shards."""

__version__ = "0.1.0"
