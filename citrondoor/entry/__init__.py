"""Carries out the decisions for discovered searchers and entry daemons.

Nothing here encodes a message of callers, searchers or the platform.
"""

from citrondoor.entry._dispatcher import Dispatcher
from citrondoor.entry._fleet import Fleet
from citrondoor.entry._messages import Answer
from citrondoor.entry._messages import CallerRequest
from citrondoor.entry._messages import Gathered
from citrondoor.entry._messages import Relayed
from citrondoor.entry._messages import StoreReading
from citrondoor.entry._recording import DecisionLog
from citrondoor.entry._relay import Relay
from citrondoor.entry._view import LocalView
from citrondoor.entry._view_keeper import ViewKeeper

__all__ = [
    "Answer",
    "CallerRequest",
    "DecisionLog",
    "Dispatcher",
    "Fleet",
    "Gathered",
    "LocalView",
    "Relay",
    "Relayed",
    "StoreReading",
    "ViewKeeper",
]
