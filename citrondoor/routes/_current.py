"""Which version of the routes is in force here."""

from citrondoor.routes import _table
from citrondoor.schema import serving


class CurrentRoutes:
    """Takes newer versions and never goes back."""

    __slots__ = ("_table",)

    def __init__(self):
        self._table: _table.RouteTable | None = None

    @property
    def table(self) -> _table.RouteTable | None:
        """The routes in force, or None before the first version."""
        return self._table

    @property
    def version(self) -> int:
        """The version in force; -1 before the first one."""
        return -1 if self._table is None else self._table.version

    def offer(self, route_set: serving.RouteSet) -> bool:
        """Takes a version; returns whether it is now in force."""
        if route_set.version <= self.version:
            return False
        self._table = _table.RouteTable(route_set)
        return True
