"""Serves callers from discovered searchers, together with peer daemons.

This package carries out the decisions. It does not encode messages of callers,
searchers or the platform.
"""

from citrondoor.entry._decision_log import DecisionLog
from citrondoor.entry._dispatcher import Dispatcher
from citrondoor.entry._messages import Answer
from citrondoor.entry._messages import CallerRequest
from citrondoor.entry._messages import ForwardedAnswer
from citrondoor.entry._messages import MergedAnswer
from citrondoor.entry._messages import StoreContents
from citrondoor.entry._peer_network import PeerNetwork
from citrondoor.entry._relay import Relay
from citrondoor.entry._searcher_reports import SearcherReports
from citrondoor.entry._store_poller import StorePoller
from citrondoor.entry._view import LocalView

__all__ = [
    "Answer",
    "CallerRequest",
    "DecisionLog",
    "Dispatcher",
    "ForwardedAnswer",
    "LocalView",
    "MergedAnswer",
    "PeerNetwork",
    "Relay",
    "StoreContents",
    "SearcherReports",
    "StorePoller",
]
