"""Counts each request once, on several VMs before it is answered."""

from citrondoor.counting._ledger import Ledger
from citrondoor.counting._quantity import QuantityTable
from citrondoor.counting._ranges import RangeSet
from citrondoor.counting._replication_policy import BatchBuilder
from citrondoor.counting._replication_policy import ReplicationPolicy

__all__ = [
    "BatchBuilder",
    "Ledger",
    "QuantityTable",
    "RangeSet",
    "ReplicationPolicy",
]
