"""Carries decisions out: asks searchers, peers and the platform.

Nothing here encodes or parses messages of callers, so every front end can
share it.
"""

from citrondoor.engine._admission import Admission
from citrondoor.engine._admission import Doors
from citrondoor.engine._configuration import ConfigurationKeeper
from citrondoor.engine._counting import CountKeeper
from citrondoor.engine._leases import LeaseKeeper
from citrondoor.engine._peering import Peering
from citrondoor.engine._quantities import QuantityKeeper
from citrondoor.engine._runs import RunEngine
from citrondoor.engine._search import SearchEngine
from citrondoor.engine._service import Service
from citrondoor.engine._view import View
from citrondoor.engine._warmth import WarmthKeeper

__all__ = [
    "Admission",
    "ConfigurationKeeper",
    "CountKeeper",
    "Doors",
    "LeaseKeeper",
    "Peering",
    "QuantityKeeper",
    "RunEngine",
    "SearchEngine",
    "Service",
    "View",
    "WarmthKeeper",
]
