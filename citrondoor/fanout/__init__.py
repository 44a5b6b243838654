"""Which searcher gets which part of a request, when, and how often."""

from citrondoor.fanout._budget import ExtraBudgets
from citrondoor.fanout._cold import ColdShares
from citrondoor.fanout._connections import connection_limit
from citrondoor.fanout._fanout import Fanout
from citrondoor.fanout._fanout import Outcome
from citrondoor.fanout._fanout import Plan
from citrondoor.fanout._fanout import Send
from citrondoor.fanout._fanout import Verdict
from citrondoor.fanout._latency import RouteLatencies
from citrondoor.fanout._merge import greatest_records
from citrondoor.fanout._pruning import Pruner
from citrondoor.fanout._replicas import Replica
from citrondoor.fanout._replicas import Replicas
from citrondoor.fanout._spent import SpentTimes
from citrondoor.fanout._spent import time_to_target

__all__ = [
    "ColdShares",
    "ExtraBudgets",
    "Fanout",
    "Outcome",
    "Plan",
    "Pruner",
    "Replica",
    "Replicas",
    "RouteLatencies",
    "Send",
    "SpentTimes",
    "Verdict",
    "connection_limit",
    "greatest_records",
    "time_to_target",
]
