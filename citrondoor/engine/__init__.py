"""Executes requests: calls searchers, peers and the platform.

Callers' messages are encoded and parsed elsewhere, so every front end can use
this package.
"""

from citrondoor.engine._admission import Admission
from citrondoor.engine._admission import AdmissionState
from citrondoor.engine._configuration import ConfigurationSynchronizer
from citrondoor.engine._counting import CountReplicator
from citrondoor.engine._leases import RateLeaseManager
from citrondoor.engine._peering import Peering
from citrondoor.engine._quantities import QuantityManager
from citrondoor.engine._runs import RunEngine
from citrondoor.engine._search import SearchEngine
from citrondoor.engine._service import Service
from citrondoor.engine._view import ClusterView
from citrondoor.engine._warmup import WarmupLeaseManager

__all__ = [
    "Admission",
    "AdmissionState",
    "ClusterView",
    "ConfigurationSynchronizer",
    "CountReplicator",
    "Peering",
    "QuantityManager",
    "RateLeaseManager",
    "RunEngine",
    "SearchEngine",
    "Service",
    "WarmupLeaseManager",
]
