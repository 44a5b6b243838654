"""HTTP API for callers and operators."""

from citrondoor.front._app import ApiHandlers
from citrondoor.front._app import make_app
from citrondoor.front._app import turn_away
from citrondoor.front._server import ApiServer
from citrondoor.front._status import StatusReporter

__all__ = [
    "ApiHandlers",
    "ApiServer",
    "StatusReporter",
    "make_app",
    "turn_away",
]
