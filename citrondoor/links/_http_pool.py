"""Connections to all discovered searchers."""

from citrondoor import clock as clocks
from citrondoor.links import _exchanges
from citrondoor.links import _http_searcher
from citrondoor.schema import serving

# Part of a searcher's connections that daemons share; the rest covers daemons
# that have just started and those that do not know of them yet.
CONNECTION_SHARE = 0.85
# Connections that are opened before the first request.
EARLY_CONNECTIONS = 1
DEFAULT_MAX_CONNECTIONS = 16


class HttpPool:
    """Links to searchers, by id and incarnation.

    Args:
      dialect: How searchers are spoken to.
      clock: Clock of the daemon.
      members: Daemons that share a searcher's connections, at the start.
      on_unreachable: Called with a searcher when a connection fails.
    """

    __slots__ = (
        "_clock",
        "_dialect",
        "_links",
        "_members",
        "_on_unreachable",
        "_tokens",
        "counters",
    )

    def __init__(
        self,
        dialect: _exchanges.SearcherDialect,
        clock: clocks.Clock,
        members: int,
        on_unreachable,
    ):
        self._dialect = dialect
        self._clock = clock
        self._members = members
        self._on_unreachable = on_unreachable
        self._links: dict[tuple, _http_searcher.HttpSearcherLink] = {}
        self._tokens: dict[int, _http_searcher.HttpSearcherLink] = {}
        self.counters = _http_searcher.HttpCounters()

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        return sum(link.open_count for link in self._links.values())

    def set_members(self, members: int) -> None:
        """Takes the number of daemons that share connections."""
        self._members = max(1, members)

    def set_upstreams(
        self,
        upstreams: list[serving.Upstream],
        backends: dict[str, serving.RouteBackend],
    ) -> None:
        """Takes the searchers that may get work; opens early connections."""
        wanted = {_key(upstream): upstream for upstream in upstreams}
        for key, upstream in wanted.items():
            limit = self._limit(backends.get(upstream.backend))
            link = self._links.get(key)
            if link is None:
                link = self._open(upstream, limit)
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
            link = self._open(upstream, self._limit(None))
        self._tokens[exchange.token] = link
        link.submit(exchange)

    def release(self, token: int) -> None:
        """Forgets an exchange that has ended."""
        self._tokens.pop(token, None)

    def abandon(self, token: int) -> None:
        """Ends an exchange that nobody waits for, after a grace."""
        link = self._tokens.get(token)
        if link is not None:
            link.abandon(token)

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
            self._dialect,
            self._clock,
            self.counters,
            self._on_unreachable,
        )
        self._links[_key(upstream)] = link
        return link

    def _limit(self, backend: serving.RouteBackend | None) -> int:
        declared = DEFAULT_MAX_CONNECTIONS
        if backend is not None:
            declared = backend.max_connections
        return max(1, int(declared * CONNECTION_SHARE / self._members))


def _key(upstream: serving.Upstream) -> tuple:
    return (upstream.id, upstream.born_ms, upstream.host, upstream.port)
