"""Connections to searchers, to other daemons and to the platform."""

from citrondoor.links._calls import Call
from citrondoor.links._calls import UpstreamCounters
from citrondoor.links._peers import PeerLink
from citrondoor.links._peers import PeerServer
from citrondoor.links._peers import PeerSettings
from citrondoor.links._platform import PlatformClient
from citrondoor.links._searcher import SearcherLink
from citrondoor.links._upstreams import UpstreamPool

__all__ = [
    "Call",
    "PeerLink",
    "PeerServer",
    "PeerSettings",
    "PlatformClient",
    "SearcherLink",
    "UpstreamCounters",
    "UpstreamPool",
]
