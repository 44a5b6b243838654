"""What the daemon knows of a request while it is being served."""

import asyncio

from citrondoor import fanout
from citrondoor import links
from citrondoor import routes


class Running:
    """A request that is being served.

    Args:
      route: Its route.
      options: Limits of its fanout.
      outbound: What searchers get.
    """

    __slots__ = (
        "failure",
        "fanout",
        "is_over",
        "median_ms",
        "outbound",
        "replies",
        "route",
        "wakes_at",
        "woken",
    )

    def __init__(
        self,
        route: routes.ResolvedRoute,
        options: fanout.FanoutOptions,
        outbound: links.OutboundRequest,
    ):
        self.route = route
        self.median_ms = options.median_ms
        self.outbound = outbound
        self.fanout: fanout.Fanout | None = None
        self.replies: dict[str, links.ExchangeResult] = {}
        # The last failure that a searcher answered with.
        self.failure: links.ExchangeResult | None = None
        # Ends of further sends change nothing any more.
        self.is_over = False
        self.wakes_at = 0.0
        self.woken: asyncio.Future | None = None
