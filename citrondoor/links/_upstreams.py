"""The links to the searchers that this daemon uses."""

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
    """The links to the searchers that this daemon uses.

    Args:
      vm: Name of this VM.
      settings: Timeouts and the queue limit of each searcher.
      warmup: Limits the calls to cold searchers.
      clock: Clock of the daemon.
      check_view: Takes a clock reading; returns False after the start and
        after a pause of this daemon, until its view of the cluster is confirmed
        or a timeout has elapsed. Queued calls are not started while it is
        False.
      account: Account of the memory that messages keep; None makes one of
        `response_memory_mb` of the settings.
    """

    __slots__ = (
        "_account",
        "_check_view",
        "_clock",
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
        check_view: Callable[[int], bool],
        account: limits.MemoryAccount | None = None,
    ):
        self._check_view = check_view
        self._vm = vm
        self._settings = settings
        self._account = account or limits.MemoryAccount(
            settings.response_memory_mb * limits.BYTES_PER_MB
        )
        self._warmup = warmup
        self._clock = clock
        self._links: dict[str, _searcher.SearcherLink] = {}
        self._latencies: dict[str, routing.SearcherLatencies] = {}
        self.counters = _calls.UpstreamCounters()

    @property
    def links(self) -> dict[str, _searcher.SearcherLink]:
        """Links by searcher name."""
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
        """Creates, updates and retires links to match a catalogue.

        Only searchers in service whose connection subset includes this VM get
        a link. The link of a searcher whose address or port has changed is
        replaced without being retired.

        Returns:
          Names of the searchers that got a new link.
        """
        vms = list(catalogue.vms)
        new_names = []
        selected: set[str] = set()
        for backend in catalogue.backends.values():
            capacity = routing.connection_share(backend.connections, len(vms))
            for searcher in backend.searchers:
                if not catalogue.is_searcher_in_service(searcher.name):
                    continue
                if not routing.is_in_connection_subset(
                    self._vm, searcher.name, backend.connections, vms
                ):
                    continue
                selected.add(searcher.name)
                self._warmup.set_warm_level(searcher.name, backend.slots)
                if self._update_link(searcher, capacity):
                    continue
                self._links[searcher.name] = self._make_link(
                    backend, searcher, capacity, len(vms)
                )
                new_names.append(searcher.name)
        self._retire_all_except(selected)
        return new_names

    def sweep(self, now: int) -> None:
        """Ends expired calls and starts queued ones on all links."""
        for link in self._links.values():
            link.sweep(now)

    def close(self) -> None:
        """Closes every connection."""
        for link in self._links.values():
            link.close()

    def _update_link(
        self, searcher: declarations.Searcher, capacity: int
    ) -> bool:
        """Sets the capacity of the link to a searcher.

        Returns False, and changes nothing, if there is no link or if the
        searcher's address or port has changed.
        """
        link = self._links.get(searcher.name)
        if link is None:
            return False
        if (link.searcher.address, link.searcher.port) != (
            searcher.address,
            searcher.port,
        ):
            return False
        link.limiter.set_capacity(capacity)
        return True

    def _make_link(
        self,
        backend: declarations.Backend,
        searcher: declarations.Searcher,
        capacity: int,
        daemon_count: int,
    ) -> _searcher.SearcherLink:
        limiter = limits.ConcurrencyLimiter(
            capacity, backend.slots, self._settings.max_queue
        )
        return _searcher.SearcherLink(
            searcher,
            limiter,
            self._warmup,
            self.latencies_of(backend.name),
            self._settings,
            self.counters,
            self._clock,
            max(1, backend.slots // max(1, daemon_count)),
            self._check_view,
            self._account,
        )

    def _retire_all_except(self, selected: set[str]) -> None:
        # Retiring closes idle connections now and lets calls in flight end.
        for name in list(self._links):
            if name not in selected:
                link = self._links.pop(name)
                link.retire()
