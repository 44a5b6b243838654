"""Holds the active version of the routes."""

from citrondoor.routes import _table
from citrondoor.schema import serving


class CurrentRoutes:
    """The newest version of the routes that was offered."""

    __slots__ = ("_table",)

    def __init__(self):
        self._table: _table.RouteTable | None = None

    @property
    def table(self) -> _table.RouteTable | None:
        """The active routes, or None before the first version."""
        return self._table

    @property
    def version(self) -> int:
        """The active version, or -1 before the first one."""
        return -1 if self._table is None else self._table.version

    def offer(self, route_set: serving.RouteSet) -> bool:
        """Activates a version that is newer than the active one.

        Returns:
          Whether it was activated.
        """
        if route_set.version <= self.version:
            return False
        self._table = _table.RouteTable(route_set)
        return True
