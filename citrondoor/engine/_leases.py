"""Asks other homes for shares of the rates that this daemon needs."""

import asyncio

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor import limits
from citrondoor.engine import _peering
from citrondoor.engine import _view
from citrondoor.schema import messages

# Well below the length of a lease, so that one lost message loses nothing.
ASK_EVERY_MS = 300
# Requests without a token make the daemon ask at most this often.
URGENT_EVERY_MS = 50


class RateLeaseManager:
    """Borrows and lends shares of rates.

    Args:
      view: What this daemon knows.
      peering: Links to peers.
      rates: Rates of all customers.
    """

    __slots__ = (
        "_peering",
        "_rates",
        "_tasks",
        "_urgent",
        "_urgent_at",
        "_view",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        peering: _peering.Peering,
        rates: limits.RateLimiterTable,
    ):
        self._view = view
        self._peering = peering
        self._rates = rates
        self._tasks: set[asyncio.Task] = set()
        self._urgent: asyncio.Future | None = None
        self._urgent_at = -URGENT_EVERY_MS
        peering.register(messages.LeaseRequests, self._on_requests)

    async def run(self) -> None:
        """Renews leases regularly."""
        while True:
            self.ask_now()
            await asyncio.sleep(ASK_EVERY_MS / clocks.MS_PER_S)

    def ask_now(self) -> list[asyncio.Task]:
        """Asks every home whose share is needed; does not wait."""
        now = self._view.clock.now()
        started = []
        for vm, requests in self._rates.lease_requests(now).items():
            if not self._peering.can_ask(vm):
                continue
            task = asyncio.create_task(self._ask(vm, requests))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            started.append(task)
        return started

    async def ask_and_wait(self, timeout_ms: int) -> None:
        """Asks at once, for a request that found no token, and waits."""
        now = self._view.clock.now()
        if self._urgent is None or self._urgent.done():
            if now - self._urgent_at < URGENT_EVERY_MS:
                # Asked just before: another answer would be the same.
                return
            self._urgent_at = now
            self._urgent = asyncio.ensure_future(self._ask_all())
        await asyncio.wait([self._urgent], timeout=timeout_ms / clocks.MS_PER_S)

    async def _ask_all(self) -> None:
        await asyncio.gather(*self.ask_now())

    async def _ask(
        self, vm: str, requests: list[messages.LeaseRequest]
    ) -> None:
        asked_at = self._view.clock.now()
        question = messages.LeaseRequests(
            self._view.vm, self._view.members.own_record().incarnation, requests
        )
        try:
            reply = await self._peering.request(vm, question)
        except errors.CitrondoorError:
            # The share is lost for the length of one lease.
            return
        now = self._view.clock.now()
        for grant in reply.grants:
            rate = self._rates.limiter_of(grant.customer, now)
            if rate is not None:
                rate.apply_grant(vm, grant, asked_at, now)

    async def _on_requests(
        self, question: messages.LeaseRequests, sender: str
    ) -> messages.LeaseGrants:
        now = self._view.clock.now()
        grants = []
        for request in question.requests:
            rate = self._rates.limiter_of(request.customer, now)
            if rate is not None:
                grant = rate.grant_lease(
                    sender, question.incarnation, request, now
                )
                grants.append(grant)
        return messages.LeaseGrants(grants)
