"""Operators' declarations: parsing, checking, comparing and indexing."""

from citrondoor.declarations._catalogue import Catalogue
from citrondoor.declarations._catalogue import ReplicaGroup
from citrondoor.declarations._catalogue import SnapshotIndex
from citrondoor.declarations._check import DocumentChecker
from citrondoor.declarations._check import Problem
from citrondoor.declarations._check import check
from citrondoor.declarations._difference import Difference
from citrondoor.declarations._difference import Summary
from citrondoor.declarations._difference import compare
from citrondoor.declarations._difference import summarize
from citrondoor.declarations._files import parse
from citrondoor.declarations._files import read_directory

__all__ = [
    "Catalogue",
    "Difference",
    "DocumentChecker",
    "Problem",
    "ReplicaGroup",
    "SnapshotIndex",
    "Summary",
    "check",
    "compare",
    "parse",
    "read_directory",
    "summarize",
]
