"""Reads YAML documents into instances of the generated schema classes."""

from citrondoor.documents._read import read_file
from citrondoor.documents._read import read_text

__all__ = ["read_file", "read_text"]
