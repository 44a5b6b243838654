"""Exchanges leases of customers' rate shares with other daemons."""

import asyncio

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor import limits
from citrondoor.engine import _peering
from citrondoor.engine import _view
from citrondoor.schema import messages

# Well below the length of a lease, so that a lease survives one lost renewal.
RENEWAL_INTERVAL_MS = 300
# Minimum time between lease requests sent for requests that found no token.
MIN_URGENT_INTERVAL_MS = 50


class RateLeaseManager:
    """Requests rate leases from owners and grants leases to other daemons.

    Args:
      view: This daemon's view of the cluster.
      peering: Links to peers.
      rates: Rate limiters of all customers.
    """

    __slots__ = (
        "_peering",
        "_rates",
        "_tasks",
        "_urgent_request",
        "_urgent_requested_at",
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
        self._urgent_request: asyncio.Future | None = None
        self._urgent_requested_at = -MIN_URGENT_INTERVAL_MS
        peering.register(messages.LeaseRequests, self._on_lease_requests)

    async def run(self) -> None:
        """Renews leases at a fixed interval."""
        while True:
            self.start_requests()
            await asyncio.sleep(RENEWAL_INTERVAL_MS / clocks.MS_PER_S)

    def start_requests(self) -> list[asyncio.Task]:
        """Starts the lease requests that are due, which also release shares.

        Owners that cannot be reached are left out.

        Returns:
          The tasks of the requests that were started.
        """
        now = self._view.clock.now()
        tasks = []
        for vm, requests in self._rates.lease_requests(now).items():
            if not self._peering.may_reach(vm):
                continue
            task = asyncio.create_task(self._request_from(vm, requests))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            tasks.append(task)
        return tasks

    async def request_and_wait(self, timeout_ms: int) -> None:
        """Requests leases for a request that found no token, and waits.

        Requests that come while one is running wait for the same one.

        Args:
          timeout_ms: Maximum time to wait, in milliseconds.
        """
        now = self._view.clock.now()
        if self._urgent_request is None or self._urgent_request.done():
            if now - self._urgent_requested_at < MIN_URGENT_INTERVAL_MS:
                # Too soon after the previous request for a different reply.
                return
            self._urgent_requested_at = now
            self._urgent_request = asyncio.ensure_future(
                self._request_from_all()
            )
        await asyncio.wait(
            [self._urgent_request], timeout=timeout_ms / clocks.MS_PER_S
        )

    async def _request_from_all(self) -> None:
        await asyncio.gather(*self.start_requests())

    async def _request_from(
        self, vm: str, requests: list[messages.LeaseRequest]
    ) -> None:
        requested_at = self._view.clock.now()
        message = messages.LeaseRequests(
            self._view.vm, self._view.members.own_record().incarnation, requests
        )
        try:
            reply = await self._peering.request(vm, message)
        except errors.CitrondoorError:
            # If the owner granted the share and only its reply was lost, no
            # daemon can use that share until the lease ends or the next request
            # to this owner reports that it is not held.
            return
        now = self._view.clock.now()
        for grant in reply.grants:
            limiter = self._rates.limiter_of(grant.customer, now)
            if limiter is not None:
                limiter.apply_grant(vm, grant, requested_at, now)

    async def _on_lease_requests(
        self, message: messages.LeaseRequests, sender: str
    ) -> messages.LeaseGrants:
        now = self._view.clock.now()
        grants = []
        for request in message.requests:
            limiter = self._rates.limiter_of(request.customer, now)
            if limiter is not None:
                grant = limiter.grant_lease(
                    sender, message.incarnation, request, now
                )
                grants.append(grant)
        return messages.LeaseGrants(grants)
