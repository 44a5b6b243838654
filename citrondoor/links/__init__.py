"""Connections to searchers, other daemons, callers and the platform."""

from citrondoor.links._calls import Call
from citrondoor.links._calls import UpstreamCounters
from citrondoor.links._exchanges import Exchange
from citrondoor.links._exchanges import ExchangeOutcome
from citrondoor.links._exchanges import ExchangeResult
from citrondoor.links._exchanges import OutboundRequest
from citrondoor.links._exchanges import SearcherCodec
from citrondoor.links._http_pool import HttpPool
from citrondoor.links._http_server import SMALL_LIMITS
from citrondoor.links._http_server import HttpServer
from citrondoor.links._json_client import JsonClient
from citrondoor.links._listening import Listeners
from citrondoor.links._listening import open_connection
from citrondoor.links._listening import open_listener
from citrondoor.links._peers import Connector
from citrondoor.links._peers import PeerLink
from citrondoor.links._peers import PeerServer
from citrondoor.links._peers import PeerSettings
from citrondoor.links._platform import PlatformClient
from citrondoor.links._read_turns import ReadTurns
from citrondoor.links._searcher import SearcherLink
from citrondoor.links._upstreams import UpstreamPool

__all__ = [
    "SMALL_LIMITS",
    "Call",
    "Connector",
    "Exchange",
    "ExchangeOutcome",
    "ExchangeResult",
    "HttpPool",
    "HttpServer",
    "JsonClient",
    "Listeners",
    "OutboundRequest",
    "PeerLink",
    "PeerServer",
    "PeerSettings",
    "PlatformClient",
    "ReadTurns",
    "SearcherCodec",
    "SearcherLink",
    "UpstreamCounters",
    "UpstreamPool",
    "open_connection",
    "open_listener",
]
