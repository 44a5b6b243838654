"""What this daemon believes of routes, searchers and availability zones."""

from collections.abc import Callable

from citrondoor import discovery
from citrondoor import routes
from citrondoor.schema import serving


class LocalView:
    """Takes readings of the store and news of peers; the newest wins.

    Args:
      record: Called with the kind and detail of each change.
      regions: Region of each availability zone.
    """

    __slots__ = (
        "_record",
        "_regions",
        "_subscribers",
        "evacuated_zones",
        "registry",
        "routes",
    )

    def __init__(
        self, record: Callable[[str, str], None], regions: dict[str, str]
    ):
        self._record = record
        self._regions = regions
        self._subscribers: list[Callable[[], None]] = []
        self.routes = routes.CurrentRoutes()
        self.registry = discovery.Registry(record)
        self.evacuated_zones = discovery.EvacuatedZones()

    @property
    def is_complete(self) -> bool:
        """Whether requests can be served from it."""
        return self.routes.table is not None and self.registry.revision >= 0

    @property
    def stamp(self) -> serving.ViewStamp:
        """How new each part is."""
        return serving.ViewStamp(
            self.routes.version,
            self.registry.revision,
            self.evacuated_zones.revision,
        )

    def zones_of(self, regions: list[str]) -> set[str]:
        """Returns the availability zones of some regions."""
        return {z for z, region in self._regions.items() if region in regions}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change."""
        self._subscribers.append(listener)

    def take_reading(self, reading, now: int) -> None:
        """Takes a reading of the store."""
        before = self._marks()
        if reading.routes is not None:
            self._offer_routes(reading.routes, "store")
        self._offer_evacuated(
            reading.evacuated_zones, reading.revision, "store"
        )
        self.registry.apply_listing(reading.upstreams, reading.revision, now)
        self._notify(before)

    def apply_updates(
        self, news: serving.ViewNews, sender: str, now: int
    ) -> None:
        """Takes what a peer knows and this daemon may not."""
        before = self._marks()
        if news.routes is not None:
            self._offer_routes(news.routes, sender)
        if news.evacuated is not None:
            self._offer_evacuated(
                news.evacuated, news.stamp.evacuation_revision, sender
            )
        self.registry.apply_updates(
            news.upstreams, news.stamp.upstream_revision, now
        )
        self._notify(before)

    def news_after(
        self, known: serving.ViewStamp, now: int
    ) -> serving.ViewNews:
        """Returns what a peer with an older view lacks."""
        stamp = self.stamp
        table = self.routes.table
        is_older = known.route_version < stamp.route_version
        evacuated = None
        if known.evacuation_revision < stamp.evacuation_revision:
            evacuated = sorted(self.evacuated_zones.zones)
        return serving.ViewNews(
            stamp,
            table.route_set if table is not None and is_older else None,
            self.registry.changes_after(known.upstream_revision, now),
            evacuated,
        )

    def _offer_routes(self, route_set: serving.RouteSet, source: str) -> None:
        if self.routes.offer(route_set):
            self._record(
                "routes_in_force",
                f"version {route_set.version} with {len(route_set.routes)}"
                f" routes from {source}",
            )

    def _offer_evacuated(self, zones, revision: int, source: str) -> None:
        if self.evacuated_zones.offer(zones, revision):
            named = ", ".join(sorted(self.evacuated_zones.zones)) or "none"
            self._record(
                "zones_evacuated",
                f"{named} revision {revision} from {source}",
            )
            self.registry.set_evacuated(self.evacuated_zones.zones)

    def _marks(self) -> tuple[int, int]:
        return (self.routes.version, self.registry.version)

    def _notify(self, before: tuple[int, int]) -> None:
        if self._marks() != before:
            for listener in self._subscribers:
                listener()
