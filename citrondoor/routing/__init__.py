"""Chooses the replicas of a query, and when to send hedges and retries.

The replicas are declared with the snapshot that the query searches. HTTP
requests of routes are handled in `fanout`.
"""

from citrondoor.routing._budget import HedgeRetryBudget
from citrondoor.routing._chooser import ReplicaChooser
from citrondoor.routing._latencies import DEFAULT_LATENCY_MS
from citrondoor.routing._latencies import LatencyHistogram
from citrondoor.routing._latencies import SearcherLatencies
from citrondoor.routing._policies import answer_due_at
from citrondoor.routing._policies import policy_of
from citrondoor.routing._policies import retries_until_due
from citrondoor.routing._query import Query
from citrondoor.routing._snapshots import SnapshotChooser
from citrondoor.routing._subset import connection_share
from citrondoor.routing._subset import is_in_connection_subset

__all__ = [
    "DEFAULT_LATENCY_MS",
    "HedgeRetryBudget",
    "LatencyHistogram",
    "Query",
    "ReplicaChooser",
    "SearcherLatencies",
    "SnapshotChooser",
    "answer_due_at",
    "connection_share",
    "is_in_connection_subset",
    "policy_of",
    "retries_until_due",
]
