"""Where the parts of a query go, and when they are sent again."""

from citrondoor.routing._budget import Budget
from citrondoor.routing._chooser import Chooser
from citrondoor.routing._observations import DEFAULT_LATENCY_MS
from citrondoor.routing._observations import BackendLatency
from citrondoor.routing._observations import Observations
from citrondoor.routing._policies import answer_by
from citrondoor.routing._policies import policy_of
from citrondoor.routing._policies import retries_missing
from citrondoor.routing._query import Query
from citrondoor.routing._snapshots import SnapshotChoice
from citrondoor.routing._subset import connection_share
from citrondoor.routing._subset import may_connect

__all__ = [
    "DEFAULT_LATENCY_MS",
    "BackendLatency",
    "Budget",
    "Chooser",
    "Observations",
    "Query",
    "SnapshotChoice",
    "answer_by",
    "connection_share",
    "may_connect",
    "policy_of",
    "retries_missing",
]
