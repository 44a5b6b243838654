"""State of a request while it is being served."""

import asyncio

from citrondoor import fanout
from citrondoor import limits
from citrondoor import links
from citrondoor import routes
from citrondoor.schema import serving

# Replies that wait for others count in the account of memory from this size on.
MIN_RECORDED_BYTES = 4096


class RunningRequest:
    """A request that is being served.

    Args:
      route: Route that matched the request.
      options: Limits of its fanout.
      outbound: The request as searchers receive it.
      account: Account of the memory that messages keep.
    """

    __slots__ = (
        "_holder",
        "_reply_bytes",
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
        account: limits.MemoryAccount,
    ):
        self._holder = account.open(serving.Sender.SEARCHER, self._give_way)
        # Of the replies that are part of the answer.
        self._reply_bytes = 0
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

    def add_reply(self, group: str, reply: links.ExchangeResult) -> None:
        """Keeps the first reply of a back end until the answer is due."""
        self.replies.setdefault(group, reply)
        self._reply_bytes += reply.response.kept_bytes
        self._record_kept()

    def set_failure(self, reply: links.ExchangeResult) -> None:
        """Keeps a failure response in place of the one before."""
        self.last_failure = reply
        self._record_kept()

    def release(self) -> None:
        """Drops all replies."""
        self.replies.clear()
        self.last_failure = None
        self._holder.close()

    def _record_kept(self) -> None:
        kept_bytes = self._reply_bytes
        if self.last_failure is not None:
            kept_bytes += self.last_failure.response.kept_bytes
        if kept_bytes >= MIN_RECORDED_BYTES or self._holder.kept_bytes:
            self._holder.record(
                kept_bytes, is_complete=self.last_failure is None
            )

    def _give_way(self) -> None:
        """Drops the failure response, which no answer needs."""
        self.last_failure = None
        self._record_kept()
