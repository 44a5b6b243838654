"""HTTP connections to all discovered searchers."""

from citrondoor import clock as clocks
from citrondoor import fanout
from citrondoor import limits
from citrondoor.links import _exchanges
from citrondoor.links import _http_searcher
from citrondoor.links import _read_turns
from citrondoor.schema import serving

# Connections that are opened to each searcher of the daemon's own zone before
# the first request. Those to other zones are opened on demand, because opening
# one occupies a slot of the searcher for several ms and most daemons never use
# it.
PREOPENED_CONNECTIONS = 1
# Connections that a searcher accepts from all daemons together, if its back end
# is not declared.
DEFAULT_MAX_CONNECTIONS = 16


class HttpPool:
    """Links to searchers; a restarted or moved searcher gets a new link.

    Args:
      codec: Encodes requests to searchers and decodes their responses.
      clock: Clock of the daemon.
      on_unreachable: Called with the searcher when a connection attempt fails.
      on_malformed: Called with the searcher and the error when a connection is
        closed because of what the searcher sent.
      vm: Name of this daemon's VM.
      zone: Its availability zone.
      account: Account of the memory that messages keep.
      turns: Turns of the connections that send wastefully; None for turns of
        this pool alone.
    """

    __slots__ = (
        "_account",
        "_allocator",
        "_backends",
        "_clock",
        "_codec",
        "_has_upstreams",
        "_links",
        "_links_by_token",
        "_on_malformed",
        "_on_unreachable",
        "_shard_backends",
        "_turns",
        "_unconnectable_count",
        "_vm",
        "_zone",
        "counters",
    )

    def __init__(
        self,
        codec: _exchanges.SearcherCodec,
        clock: clocks.Clock,
        on_unreachable,
        on_malformed,
        vm: str,
        zone: str,
        account: limits.MemoryAccount,
        turns: _read_turns.ReadTurns | None = None,
    ):
        self._turns = turns or _read_turns.ReadTurns(clock)
        self._vm = vm
        self._zone = zone
        self._codec = codec
        self._clock = clock
        # Until `set_members` tells the other daemons.
        self._allocator = fanout.ConnectionAllocator({vm: zone}, True)
        self._backends: dict[str, serving.RouteBackend] = {}
        self._shard_backends: frozenset[str] = frozenset()
        self._on_unreachable = on_unreachable
        self._on_malformed = on_malformed
        self._account = account
        self._links: dict[tuple, _http_searcher.HttpSearcherLink] = {}
        self._links_by_token: dict[int, _http_searcher.HttpSearcherLink] = {}
        # Whether it is known which searchers may get requests.
        self._has_upstreams = False
        self._unconnectable_count = 0
        self.counters = _http_searcher.HttpCounters()

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return sum(link.open_count for link in self._links.values())

    @property
    def is_subset(self) -> bool:
        """Whether this daemon may not connect to some of the searchers."""
        return self._unconnectable_count > 0

    def may_connect(self, upstream: serving.Upstream) -> bool:
        """Returns whether this daemon may keep connections to a searcher."""
        link = self._links.get(_link_key(upstream))
        if link is None:
            return self._own_limit(upstream) > 0
        return link.max_connections > 0

    def may_peer_connect(self, vm: str, upstream: serving.Upstream) -> bool:
        """Returns whether a peer may keep connections to a searcher."""
        return self._connection_limit(vm, upstream) > 0

    def set_members(
        self, zones_by_vm: dict[str, str], is_settling: bool
    ) -> None:
        """Sets the daemons that share connections and updates all limits.

        Args:
          zones_by_vm: Availability zone of each daemon's VM.
          is_settling: Whether further daemons may exist that are not known yet.
        """
        if self._allocator.is_for(zones_by_vm, is_settling):
            return
        self._allocator = fanout.ConnectionAllocator(zones_by_vm, is_settling)
        for link in self._links.values():
            link.set_max_connections(self._own_limit(link.upstream))
        self._count_unconnectable()

    def set_upstreams(
        self,
        upstreams: list[serving.Upstream],
        backends: dict[str, serving.RouteBackend],
        shard_backends: frozenset[str],
    ) -> None:
        """Sets the usable searchers and preopens connections to new ones.

        Searchers that are no longer listed get no request, also none that waits
        for a connection. Their links without open connections are removed.

        Args:
          upstreams: The searchers.
          backends: Declared back ends by name.
          shard_backends: Back ends to whose searchers the daemons of their
            zone also send requests for daemons of other zones.
        """
        self._backends = backends
        self._shard_backends = shard_backends
        upstreams_by_key = {
            _link_key(upstream): upstream for upstream in upstreams
        }
        for key, upstream in upstreams_by_key.items():
            limit = self._own_limit(upstream)
            link = self._links.get(key)
            if link is None:
                link = self._add_link(upstream, limit)
                if upstream.zone == self._zone:
                    for _ in range(min(PREOPENED_CONNECTIONS, limit)):
                        link.dial()
            link.set_max_connections(limit)
            link.set_in_use(True)
        self._has_upstreams = True
        for key in [key for key in self._links if key not in upstreams_by_key]:
            link = self._links[key]
            link.set_in_use(False)
            if not link.open_count:
                del self._links[key]
        self._count_unconnectable()

    def submit(
        self, upstream: serving.Upstream, exchange: _exchanges.Exchange
    ) -> None:
        """Sends an exchange's request to a searcher."""
        link = self._links.get(_link_key(upstream))
        if link is None:
            link = self._add_link(upstream, self._own_limit(upstream))
            # Each searcher that may get requests has a link.
            link.set_in_use(not self._has_upstreams)
        self._links_by_token[exchange.token] = link
        link.submit(exchange)

    def end_queued(self, upstream: serving.Upstream) -> None:
        """Ends the exchanges that wait for a connection, as unsent."""
        link = self._links.get(_link_key(upstream))
        if link is not None:
            link.end_queued()

    def release(self, token: int) -> None:
        """Removes a finished exchange, so that `cancel` ignores its token."""
        self._links_by_token.pop(token, None)

    def cancel(self, token: int) -> None:
        """Cancels an exchange whose result is no longer needed.

        If its request has been sent, the response may still arrive within
        `CANCEL_GRACE_S`; the connection is closed after that.
        """
        link = self._links_by_token.get(token)
        if link is not None:
            link.cancel(token)

    def sweep(self, now: int) -> None:
        """Closes idle connections before searchers time them out."""
        for link in self._links.values():
            link.close_expired_idle(now)

    def close(self) -> None:
        """Closes all connections."""
        for link in self._links.values():
            link.close()

    def _add_link(
        self, upstream: serving.Upstream, limit: int
    ) -> _http_searcher.HttpSearcherLink:
        link = _http_searcher.HttpSearcherLink(
            upstream,
            limit,
            self._codec,
            self._clock,
            self.counters,
            self._on_unreachable,
            self._on_malformed,
            self._account,
            self._turns,
        )
        self._links[_link_key(upstream)] = link
        return link

    def _count_unconnectable(self) -> None:
        self._unconnectable_count = sum(
            link.max_connections == 0 for link in self._links.values()
        )

    def _own_limit(self, upstream: serving.Upstream) -> int:
        return self._connection_limit(self._vm, upstream)

    def _connection_limit(self, vm: str, upstream: serving.Upstream) -> int:
        backend = self._backends.get(upstream.backend)
        declared = DEFAULT_MAX_CONNECTIONS
        if backend is not None:
            declared = backend.max_connections
        return self._allocator.limit(
            vm,
            upstream.id,
            upstream.zone,
            declared,
            upstream.backend in self._shard_backends,
        )


def _link_key(upstream: serving.Upstream) -> tuple:
    return (upstream.id, upstream.born_ms, upstream.host, upstream.port)
