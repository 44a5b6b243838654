"""Connections to searchers, to other daemons and to the platform."""

from citrondoor.links._calls import Call
from citrondoor.links._calls import UpstreamCounters
from citrondoor.links._exchanges import Exchange
from citrondoor.links._exchanges import Outbound
from citrondoor.links._exchanges import Reply
from citrondoor.links._exchanges import ReplyKind
from citrondoor.links._exchanges import SearcherDialect
from citrondoor.links._http_pool import HttpPool
from citrondoor.links._http_server import HttpServer
from citrondoor.links._json_client import JsonClient
from citrondoor.links._peers import PeerLink
from citrondoor.links._peers import PeerServer
from citrondoor.links._peers import PeerSettings
from citrondoor.links._platform import PlatformClient
from citrondoor.links._searcher import SearcherLink
from citrondoor.links._upstreams import UpstreamPool

__all__ = [
    "Call",
    "Exchange",
    "HttpPool",
    "HttpServer",
    "JsonClient",
    "Outbound",
    "PeerLink",
    "PeerServer",
    "PeerSettings",
    "PlatformClient",
    "Reply",
    "ReplyKind",
    "SearcherDialect",
    "SearcherLink",
    "UpstreamCounters",
    "UpstreamPool",
]
