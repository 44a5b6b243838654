"""Connections to all discovered searchers."""

from citrondoor import clock as clocks
from citrondoor import fanout
from citrondoor.links import _exchanges
from citrondoor.links import _http_searcher
from citrondoor.schema import serving

# Connections to each searcher of the own zone that are opened before
# the first request. Those to other zones are opened on demand: a new connection
# holds a slot of the searcher for some ms, and most daemons never use one.
EARLY_CONNECTIONS = 1
DEFAULT_MAX_CONNECTIONS = 16


class HttpPool:
    """Links to searchers, by id and incarnation.

    Args:
      codec: How searchers are spoken to.
      clock: Clock of the daemon.
      daemons_by_zone: Number of daemons in each zone that share a searcher's
        connections, at the start.
      on_unreachable: Called with a searcher when a connection fails.
      zone: Availability zone of this daemon.
    """

    __slots__ = (
        "_backends",
        "_clock",
        "_codec",
        "_daemons_by_zone",
        "_links",
        "_on_unreachable",
        "_shards",
        "_tokens",
        "_zone",
        "counters",
    )

    def __init__(
        self,
        codec: _exchanges.SearcherCodec,
        clock: clocks.Clock,
        daemons_by_zone: dict[str, int],
        on_unreachable,
        zone: str,
    ):
        self._zone = zone
        self._codec = codec
        self._clock = clock
        self._daemons_by_zone = daemons_by_zone
        self._backends: dict[str, serving.RouteBackend] = {}
        self._shards: frozenset[str] = frozenset()
        self._on_unreachable = on_unreachable
        self._links: dict[tuple, _http_searcher.HttpSearcherLink] = {}
        self._tokens: dict[int, _http_searcher.HttpSearcherLink] = {}
        self.counters = _http_searcher.HttpCounters()

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        return sum(link.open_count for link in self._links.values())

    def set_daemon_counts(self, counts_by_zone: dict[str, int]) -> None:
        """Takes the number of daemons in each zone that share connections."""
        if counts_by_zone == self._daemons_by_zone:
            return
        self._daemons_by_zone = counts_by_zone
        for link in self._links.values():
            link.limit = self._limit(link.upstream)

    def set_upstreams(
        self,
        upstreams: list[serving.Upstream],
        backends: dict[str, serving.RouteBackend],
        shards: frozenset[str],
    ) -> None:
        """Takes the searchers that may get work; opens early connections.

        Args:
          upstreams: The searchers.
          backends: Declared back ends by name.
          shards: Back ends whose searchers are asked for other daemons too.
        """
        self._backends = backends
        self._shards = shards
        wanted = {_key(upstream): upstream for upstream in upstreams}
        for key, upstream in wanted.items():
            limit = self._limit(upstream)
            link = self._links.get(key)
            if link is None:
                link = self._open(upstream, limit)
                if upstream.zone == self._zone:
                    for _ in range(min(EARLY_CONNECTIONS, limit)):
                        link.dial()
            link.limit = limit
        for key in [k for k in self._links if k not in wanted]:
            link = self._links[key]
            link.close_unused()
            if not link.open_count:
                del self._links[key]

    def submit(
        self, upstream: serving.Upstream, exchange: _exchanges.Exchange
    ) -> None:
        """Sends an exchange to a searcher."""
        link = self._links.get(_key(upstream))
        if link is None:
            link = self._open(upstream, self._limit(upstream))
        self._tokens[exchange.token] = link
        link.submit(exchange)

    def release(self, token: int) -> None:
        """Forgets an exchange that has ended."""
        self._tokens.pop(token, None)

    def cancel(self, token: int) -> None:
        """Ends an exchange that nobody waits for, after a grace."""
        link = self._tokens.get(token)
        if link is not None:
            link.cancel(token)

    def sweep(self, now: int) -> None:
        """Closes connections that searchers are about to close."""
        for link in self._links.values():
            link.close_idle(now)

    def close(self) -> None:
        """Closes all connections."""
        for link in self._links.values():
            link.close()

    def _open(
        self, upstream: serving.Upstream, limit: int
    ) -> _http_searcher.HttpSearcherLink:
        link = _http_searcher.HttpSearcherLink(
            upstream,
            limit,
            self._codec,
            self._clock,
            self.counters,
            self._on_unreachable,
        )
        self._links[_key(upstream)] = link
        return link

    def _limit(self, upstream: serving.Upstream) -> int:
        backend = self._backends.get(upstream.backend)
        declared = DEFAULT_MAX_CONNECTIONS
        if backend is not None:
            declared = backend.max_connections
        return fanout.connection_limit(
            declared,
            self._daemons_by_zone,
            self._zone,
            upstream.zone,
            upstream.backend in self._shards,
        )


def _key(upstream: serving.Upstream) -> tuple:
    return (upstream.id, upstream.born_ms, upstream.host, upstream.port)
