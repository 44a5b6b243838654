"""State of a request while it is being served."""

import asyncio

from citrondoor import fanout
from citrondoor import links
from citrondoor import routes


class RunningRequest:
    """A request that is being served.

    Args:
      route: Route that matched the request.
      options: Limits of its fanout.
      outbound: The request as searchers receive it.
    """

    __slots__ = (
        "fanout",
        "is_finished",
        "last_failure",
        "median_ms",
        "next_wakeup_at",
        "outbound",
        "replies",
        "route",
        "wakeup",
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
        # One reply of each back end that has answered.
        self.replies: dict[str, links.ExchangeResult] = {}
        # Latest failure response of a searcher. If no other searcher answers, a
        # route with one back end forwards it to the caller.
        self.last_failure: links.ExchangeResult | None = None
        # Set once the answer is decided or the caller has disconnected. Results
        # of sends that end later are only recorded for their searchers.
        self.is_finished = False
        # Clock reading, in ms, until which the serving task sleeps, and the
        # future that wakes it earlier.
        self.next_wakeup_at = 0.0
        self.wakeup: asyncio.Future | None = None

    def wake(self) -> None:
        """Wakes the serving task if it sleeps."""
        if self.wakeup is not None and not self.wakeup.done():
            self.wakeup.set_result(None)
