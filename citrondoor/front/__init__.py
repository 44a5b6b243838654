"""The HTTP interface of callers and operators."""

from citrondoor.front._app import Front
from citrondoor.front._app import make_app
from citrondoor.front._server import FrontServer
from citrondoor.front._status import StatusSource

__all__ = ["Front", "FrontServer", "StatusSource", "make_app"]
