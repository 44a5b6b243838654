"""Decides to which searchers an HTTP request of a route is sent, and when.

The searchers are those that discovery has found. Queries under a contract,
whose replicas are declared with their snapshots, are handled in `routing`.
"""

from citrondoor.fanout._budget import HedgeRetryLimiter
from citrondoor.fanout._connections import ConnectionAllocator
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
from citrondoor.fanout._records import trim_records
from citrondoor.fanout._replicas import ReplicaBalancer
from citrondoor.fanout._replicas import ReplicaState
from citrondoor.fanout._stated_rates import StatedRateLimiter
from citrondoor.fanout._warmup_rate import WarmupRateLimiter

__all__ = [
    "ConnectionAllocator",
    "ElapsedTimeEstimator",
    "Fanout",
    "FanoutOptions",
    "FanoutStatus",
    "HedgeRetryLimiter",
    "Outcome",
    "Pruner",
    "ReplicaBalancer",
    "ReplicaState",
    "RouteLatencies",
    "Send",
    "StatedRateLimiter",
    "WarmupRateLimiter",
    "merge_top_records",
    "remaining_target_ms",
    "trim_records",
]
