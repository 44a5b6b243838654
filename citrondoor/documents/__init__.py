"""Reads YAML documents into the generated classes of the schema."""

from citrondoor.documents._read import read_file
from citrondoor.documents._read import read_text

__all__ = ["read_file", "read_text"]
