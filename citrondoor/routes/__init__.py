"""Which back ends a request goes to: routes by host and longest prefix."""

from citrondoor.routes._holder import RouteHolder
from citrondoor.routes._table import RouteTable
from citrondoor.routes._targets import BoundRoute
from citrondoor.routes._targets import Scatter
from citrondoor.routes._targets import Single
from citrondoor.routes._targets import choose_groups

__all__ = [
    "BoundRoute",
    "RouteHolder",
    "RouteTable",
    "Scatter",
    "Single",
    "choose_groups",
]
