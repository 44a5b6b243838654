"""Asks wardens for calls at cold searchers."""

import asyncio
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor import limits
from citrondoor.engine import _peering
from citrondoor.engine import _view
from citrondoor.schema import messages

ASK_EVERY_MS = 20
# Calls that one daemon asks for at one cold searcher.
WANTED_CALLS = 8


class WarmupLeaseManager:
    """Borrows and lends calls at cold searchers.

    Args:
      view: What this daemon knows.
      peering: Links to peers.
      warmup: Levels and leases.
      in_flight: Returns this daemon's calls in flight at a searcher.
    """

    __slots__ = (
        "_in_flight",
        "_is_wanted",
        "_peering",
        "_tasks",
        "_view",
        "_warmup",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        peering: _peering.Peering,
        warmup: limits.WarmupLimiter,
        in_flight: Callable[[str], int],
    ):
        self._in_flight = in_flight
        self._is_wanted = asyncio.Event()
        self._view = view
        self._peering = peering
        self._warmup = warmup
        self._tasks: set[asyncio.Task] = set()
        peering.register(messages.WarmthAsks, self._on_asks)

    async def run(self) -> None:
        """Asks as long as queries want cold searchers."""
        while True:
            await self._is_wanted.wait()
            self._ask_all()
            if not self._warmup.wanted_searcher_count:
                self._is_wanted.clear()
            await asyncio.sleep(ASK_EVERY_MS / clocks.MS_PER_S)

    def signal_demand(self) -> None:
        """Begins to ask: a query wants a cold searcher."""
        self._is_wanted.set()

    def _ask_all(self) -> None:
        now = self._view.clock.now()
        wanted = self._warmup.lease_requests(WANTED_CALLS, self._in_flight, now)
        for warden, asks in wanted.items():
            if warden == self._view.vm:
                for ask in asks:
                    grant = self._warmup.grant_lease(ask, warden, now)
                    self._warmup.apply_grant(grant, now, now)
                continue
            task = asyncio.create_task(self._ask(warden, asks))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask(self, warden: str, asks: list[messages.WarmthAsk]) -> None:
        asked_at = self._view.clock.now()
        try:
            reply = await self._peering.request(
                warden, messages.WarmthAsks(asks)
            )
        except errors.CitrondoorError:
            # Without a grant nothing is sent; the next round asks again.
            return
        now = self._view.clock.now()
        for grant in reply.grants:
            self._warmup.apply_grant(grant, asked_at, now)

    async def _on_asks(
        self, question: messages.WarmthAsks, sender: str
    ) -> messages.WarmthGrants:
        now = self._view.clock.now()
        return messages.WarmthGrants(
            [
                self._warmup.grant_lease(ask, sender, now)
                for ask in question.asks
            ]
        )
