"""Counts each request once, on several VMs before its answer leaves."""

from citrondoor.counting._ledger import Ledger
from citrondoor.counting._quantity import QuantityTable
from citrondoor.counting._ranges import RangeSet
from citrondoor.counting._replication import Batch
from citrondoor.counting._replication import Replication

__all__ = ["Batch", "Ledger", "QuantityTable", "RangeSet", "Replication"]
