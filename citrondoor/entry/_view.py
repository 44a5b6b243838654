"""The local view of routes, searchers and evacuated availability zones."""

import sys
from collections.abc import Callable

from citrondoor import discovery
from citrondoor import errors
from citrondoor import routes
from citrondoor.schema import serving

# A daemon whose changes are incomplete for this long requests the whole view;
# a daemon reads the store itself after 1.7 s, which is cheaper.
WHOLE_AFTER_MS = 2500


class LocalView:
    """Merges store contents and peers' updates; the newest version wins.

    All `now` arguments are clock readings in milliseconds.

    Args:
      on_event: Called with the kind and detail of each change, for the log.
      regions: Region of each availability zone.
      max_bytes: Limit on the estimated memory of the view. What would exceed it
        is refused as a whole, and the view stays.
    """

    __slots__ = (
        "_era",
        "_era_began_at",
        "_max_bytes",
        "_on_event",
        "_regions",
        "_subscribers",
        "evacuated_zones",
        "registry",
        "routes",
    )

    def __init__(
        self,
        on_event: Callable[[str, str], None],
        regions: dict[str, str],
        max_bytes: int = sys.maxsize,
    ):
        self._era = 0
        # Clock time in ms; None once nothing is carried over any more.
        self._era_began_at: int | None = None
        self._max_bytes = max_bytes
        self._on_event = on_event
        self._regions = regions
        self._subscribers: list[Callable[[], None]] = []
        self.routes = routes.CurrentRoutes()
        self.registry = discovery.Registry(on_event)
        self.evacuated_zones = discovery.EvacuatedZones()

    @property
    def is_complete(self) -> bool:
        """Whether routes and searchers are known, so requests can be served."""
        return self.routes.table is not None and self.registry.revision >= 0

    @property
    def position(self) -> discovery.Position:
        """Position of the store up to which all searchers are known."""
        return discovery.Position(self._era, self.registry.revision)

    @property
    def stamp(self) -> serving.ViewStamp:
        """Version of the routes and positions of searchers and evacuations."""
        return serving.ViewStamp(
            self.routes.version,
            self.registry.revision,
            self.evacuated_zones.revision,
            self._era,
        )

    def needs_whole(self, now: int) -> bool:
        """Returns whether to request all searchers, as no peer has the changes.

        Before that, another peer or a read of the store mostly has them.
        """
        behind_since = self.registry.behind_since
        return behind_since is not None and now - behind_since >= WHOLE_AFTER_MS

    def whole_request(self) -> serving.ViewRequest:
        """Returns a request for all searchers that a peer knows."""
        stamp = self.stamp
        stamp.upstream_revision = -1
        return serving.ViewRequest(stamp)

    def zones_of(self, regions: list[str]) -> set[str]:
        """Returns the availability zones in the given regions."""
        return {
            zone for zone, region in self._regions.items() if region in regions
        }

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change of routes or searchers."""
        self._subscribers.append(listener)

    def mark_leaving(self, upstream_id: str, born_ms: int, now: int) -> bool:
        """Stops new work for an incarnation that says that it is leaving.

        Returns:
          Whether this was not known.
        """
        old_versions = self._versions()
        is_new = self.registry.mark_leaving(upstream_id, born_ms, now)
        self._notify_if_changed(old_versions)
        return is_new

    def check_store_contents(self, contents) -> None:
        """Checks that the view may take over the contents of the store.

        Raises:
          errors.OldEraError: They are of an older era than the view.
          errors.ViewTooLargeError: They take too much memory.
        """
        if contents.position.era < self._era:
            raise errors.OldEraError(contents.position.era, self._era)
        self._check_size(
            contents.routes,
            self.registry.estimate_listing(contents.upstreams),
        )

    def apply_store_contents(self, contents, now: int) -> None:
        """Applies the `StoreContents` of one store read.

        The routes stay if the store has no readable ones. Contents of an older
        era than that of the view have no effect.
        """
        position = contents.position
        if position.era < self._era:
            return
        old_versions = self._versions()
        if contents.routes is not None:
            self._offer_routes(contents.routes, "store")
        if position.era > self._era:
            self._begin_era(position, "store", now)
        self._offer_evacuated(
            contents.evacuated_zones, position.revision, "store"
        )
        self.registry.apply_listing(
            contents.upstreams,
            position.revision,
            now,
            contents.listing_revisions,
        )
        self._drop_tombstones()
        self._notify_if_changed(old_versions)

    def apply_updates(
        self,
        updates: serving.ViewNews,
        sender: str,
        now: int,
        is_whole: bool = False,
    ) -> None:
        """Applies the changes that a peer sent; older ones have no effect.

        Args:
          updates: The changes.
          sender: Name of the peer.
          now: Clock reading.
          is_whole: Whether they were requested with `whole_request`.

        Raises:
          errors.ViewTooLargeError: The view would take too much memory.
        """
        self._check_size(
            updates.routes, self.registry.estimate_updates(updates.upstreams)
        )
        old_versions = self._versions()
        if updates.routes is not None:
            self._offer_routes(updates.routes, sender)
        # A peer that has no view yet would leave this daemon without one.
        has_view = updates.stamp.upstream_revision >= 0
        if has_view and updates.stamp.era >= self._era:
            self._apply_store_updates(updates, sender, now, is_whole)
        self._drop_tombstones()
        self._notify_if_changed(old_versions)

    def _apply_store_updates(
        self,
        updates: serving.ViewNews,
        sender: str,
        now: int,
        is_whole: bool,
    ) -> None:
        """Applies what depends on a position of the store."""
        position = _position_of(updates.stamp)
        if position.era > self._era:
            self._begin_era(position, sender, now)
        if updates.evacuated is not None:
            self._offer_evacuated(
                updates.evacuated, updates.stamp.evacuation_revision, sender
            )
        self.registry.apply_updates(
            updates.upstreams,
            updates.stamp.upstream_revision,
            now,
            -1
            if updates.removals_known_after is None
            else updates.removals_known_after,
            is_whole,
            updates.listed_after,
            updates.known_since,
        )

    def end_carry_over(self, read_at: int, now: int) -> None:
        """Ends what a new era of the store has not confirmed in time.

        Args:
          read_at: Clock time in ms of the newest read of the store that the
            view includes.
          now: Clock reading.
        """
        old_versions = self._versions()
        self.registry.end_carry_over(read_at, now)
        began_at = self._era_began_at
        if began_at is not None and (
            read_at - began_at >= discovery.RETURNED_HOLD_MS
        ):
            self._era_began_at = None
            if self.evacuated_zones.end_carry_over():
                self._on_evacuated_changed("the end of the carry-over")
        self._notify_if_changed(old_versions)

    def updates_after(
        self, known: serving.ViewStamp, now: int
    ) -> serving.ViewNews:
        """Returns the changes since a peer's view.

        Args:
          known: Stamp of the peer's view.
          now: Clock reading.
        """
        stamp = self.stamp
        if known.era < stamp.era:
            # Revisions of its era say nothing of what it knows of this one.
            known = serving.ViewStamp(known.route_version, -1, -1, stamp.era)
        elif known.era > stamp.era:
            known = serving.ViewStamp(
                known.route_version,
                stamp.upstream_revision,
                stamp.evacuation_revision,
                stamp.era,
            )
        table = self.routes.table
        has_older_routes = known.route_version < stamp.route_version
        evacuated = None
        if known.evacuation_revision < stamp.evacuation_revision:
            evacuated = sorted(self.evacuated_zones.listed)
        listed_after = self.registry.listed_after(known.upstream_revision)
        changed_after = (
            known.upstream_revision if listed_after is None else listed_after
        )
        return serving.ViewNews(
            stamp,
            table.route_set if table is not None and has_older_routes else None,
            self.registry.changes_after(changed_after, now),
            evacuated,
            self.registry.removals_known_after,
            listed_after,
            self.registry.known_since if known.upstream_revision < 0 else None,
        )

    def _check_size(
        self, route_set: serving.RouteSet | None, upstream_bytes: int
    ) -> None:
        if route_set is None or route_set.version <= self.routes.version:
            route_bytes = self._route_bytes()
        else:
            route_bytes = routes.estimate_bytes(route_set)
        kept_bytes = route_bytes + upstream_bytes
        if kept_bytes > self._max_bytes:
            raise errors.ViewTooLargeError(
                f"routes and searchers take about {kept_bytes} bytes of memory,"
                f" of which {route_bytes} are for routes; at most"
                f" {self._max_bytes} are allowed, and the view stays as it is:"
                " raise `memory_mb`"
            )

    def _route_bytes(self) -> int:
        table = self.routes.table
        return 0 if table is None else table.kept_bytes

    def _drop_tombstones(self) -> None:
        self.registry.drop_tombstones(self._max_bytes - self._route_bytes())

    def _offer_routes(self, route_set: serving.RouteSet, source: str) -> None:
        if self.routes.offer(route_set):
            self._on_event(
                "routes_in_force",
                f"version {route_set.version} with {len(route_set.routes)}"
                f" routes from {source}",
            )

    def _begin_era(
        self, position: discovery.Position, source: str, now: int
    ) -> None:
        """Begins an era of the store; what is known is carried over."""
        old_position = self.position
        self._era = position.era
        self._era_began_at = now
        self.registry.begin_era(now)
        self.evacuated_zones.begin_era()
        self._on_event(
            "store_era_began",
            f"{position} from {source}, after {old_position}; carried over:"
            f" {self.registry.carried_over_count} searchers,"
            f" {len(self.evacuated_zones.zones)} evacuated zones; without"
            f" requests: {self.registry.held_count} that were leaving or gone",
        )

    def _offer_evacuated(self, zones, revision: int, source: str) -> None:
        if self.evacuated_zones.apply_zones(zones, revision):
            self._on_evacuated_changed(source)

    def _on_evacuated_changed(self, source: str) -> None:
        zones = self.evacuated_zones
        names = ", ".join(sorted(zones.zones)) or "none"
        self._on_event(
            "zones_evacuated",
            f"{names} revision {zones.revision} from {source}",
        )
        self.registry.set_evacuated(zones.zones)

    def _versions(self) -> tuple[int, int]:
        return (self.routes.version, self.registry.version)

    def _notify_if_changed(self, old_versions: tuple[int, int]) -> None:
        if self._versions() != old_versions:
            for listener in self._subscribers:
                listener()


def _position_of(stamp: serving.ViewStamp) -> discovery.Position:
    return discovery.Position(stamp.era, stamp.upstream_revision)


def is_newer(one: serving.ViewStamp, other: serving.ViewStamp) -> bool:
    """Returns whether one view has something that the other one lacks."""
    return (
        one.route_version > other.route_version
        or _position_of(one) > _position_of(other)
        or discovery.Position(one.era, one.evacuation_revision)
        > discovery.Position(other.era, other.evacuation_revision)
    )
