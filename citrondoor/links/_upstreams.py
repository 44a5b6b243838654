"""The links to all searchers in force."""

from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor import limits
from citrondoor import routing
from citrondoor.links import _calls
from citrondoor.links import _searcher
from citrondoor.schema import declarations
from citrondoor.schema import settings as schema_settings


class UpstreamPool:
    """The links to all searchers in force.

    Args:
      vm: Name of this VM.
      settings: Time limits and bounds.
      warmup: Levels of cold searchers.
      clock: Clock of the daemon.
      is_fresh: Returns whether this daemon's view may be trusted now.
    """

    __slots__ = (
        "_clock",
        "_is_fresh",
        "_latencies",
        "_links",
        "_settings",
        "_vm",
        "_warmup",
        "counters",
    )

    def __init__(
        self,
        vm: str,
        settings: schema_settings.UpstreamSettings,
        warmup: limits.WarmupLimiter,
        clock: clocks.Clock,
        is_fresh: Callable[[int], bool],
    ):
        self._is_fresh = is_fresh
        self._vm = vm
        self._settings = settings
        self._warmup = warmup
        self._clock = clock
        self._links: dict[str, _searcher.SearcherLink] = {}
        self._latencies: dict[str, routing.SearcherLatencies] = {}
        self.counters = _calls.UpstreamCounters()

    @property
    def links(self) -> dict[str, _searcher.SearcherLink]:
        """Links by name of the searcher."""
        return self._links

    def in_flight(self, searcher: str) -> int:
        """Returns this daemon's calls in flight at a searcher."""
        link = self._links.get(searcher)
        return link.limiter.in_flight if link is not None else 0

    def latencies_of(self, backend: str) -> routing.SearcherLatencies:
        """Returns the latencies measured at a back end."""
        if backend not in self._latencies:
            self._latencies[backend] = routing.SearcherLatencies()
        return self._latencies[backend]

    def set_catalogue(self, catalogue: declared.Catalogue) -> list[str]:
        """Takes the searchers in force; returns the names of new ones."""
        daemons = list(catalogue.vms)
        fresh = []
        wanted: set[str] = set()
        for backend in catalogue.backends.values():
            share = routing.connection_share(backend.connections, len(daemons))
            for searcher in backend.searchers:
                if not catalogue.is_searcher_in_service(searcher.name):
                    continue
                if not routing.is_in_connection_subset(
                    self._vm, searcher.name, backend.connections, daemons
                ):
                    continue
                wanted.add(searcher.name)
                self._warmup.set_warm_level(searcher.name, backend.slots)
                if self._keep(searcher, share):
                    continue
                self._links[searcher.name] = self._make(
                    backend, searcher, share, len(daemons)
                )
                fresh.append(searcher.name)
        self._drop_all_but(wanted)
        return fresh

    def sweep(self, now: int) -> None:
        """Ends late calls on all links."""
        for link in self._links.values():
            link.sweep(now)

    def close(self) -> None:
        """Closes every connection."""
        for link in self._links.values():
            link.close()

    def _keep(self, searcher: declarations.Searcher, share: int) -> bool:
        link = self._links.get(searcher.name)
        if link is None:
            return False
        if (link.searcher.address, link.searcher.port) != (
            searcher.address,
            searcher.port,
        ):
            return False
        link.limiter.set_capacity(share)
        return True

    def _make(
        self,
        backend: declarations.Backend,
        searcher: declarations.Searcher,
        share: int,
        daemons: int,
    ) -> _searcher.SearcherLink:
        limiter = limits.ConcurrencyLimiter(
            share, backend.slots, self._settings.max_queue
        )
        return _searcher.SearcherLink(
            searcher,
            limiter,
            self._warmup,
            self.latencies_of(backend.name),
            self._settings,
            self.counters,
            self._clock,
            max(1, backend.slots // max(1, daemons)),
            self._is_fresh,
        )

    def _drop_all_but(self, wanted: set[str]) -> None:
        # Calls in flight end by themselves; idle connections close now.
        for name in list(self._links):
            if name not in wanted:
                link = self._links.pop(name)
                link.retire()
