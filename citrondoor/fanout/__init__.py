"""Decides to which searchers the parts of a request are sent, and when."""

from citrondoor.fanout._budget import HedgeRetryBudgets
from citrondoor.fanout._connections import connection_limit
from citrondoor.fanout._elapsed import ElapsedTimeEstimator
from citrondoor.fanout._elapsed import remaining_target_ms
from citrondoor.fanout._fanout import Fanout
from citrondoor.fanout._fanout import FanoutOptions
from citrondoor.fanout._fanout import FanoutStatus
from citrondoor.fanout._fanout import Outcome
from citrondoor.fanout._fanout import Send
from citrondoor.fanout._latency import RouteLatencies
from citrondoor.fanout._pruning import Pruner
from citrondoor.fanout._records import merge_top_records
from citrondoor.fanout._replicas import ReplicaBalancer
from citrondoor.fanout._replicas import ReplicaState
from citrondoor.fanout._warmup_rate import WarmupRateLimiter

__all__ = [
    "ElapsedTimeEstimator",
    "Fanout",
    "FanoutOptions",
    "FanoutStatus",
    "HedgeRetryBudgets",
    "Outcome",
    "Pruner",
    "ReplicaBalancer",
    "ReplicaState",
    "RouteLatencies",
    "Send",
    "WarmupRateLimiter",
    "connection_limit",
    "merge_top_records",
    "remaining_target_ms",
]
