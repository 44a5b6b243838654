"""Exchanges leases of calls to cold searchers with warm-up coordinators."""

import asyncio
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor import limits
from citrondoor.engine import _peering
from citrondoor.engine import _view
from citrondoor.schema import messages

REQUEST_INTERVAL_MS = 20
# Concurrent calls that one daemon requests for one cold searcher.
CALLS_PER_LEASE_REQUEST = 8


class WarmupLeaseManager:
    """Requests warm-up leases from coordinators and grants them to daemons.

    A lease allows a number of concurrent calls to one cold searcher.

    Args:
      view: This daemon's view of the cluster.
      peering: Links to peers.
      warmup: Concurrency limits and leases of cold searchers.
      in_flight: Returns this daemon's calls in flight at a searcher.
    """

    __slots__ = (
        "_demand_event",
        "_in_flight",
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
        self._demand_event = asyncio.Event()
        self._view = view
        self._peering = peering
        self._warmup = warmup
        self._tasks: set[asyncio.Task] = set()
        peering.register(messages.WarmthAsks, self._on_lease_requests)

    async def run(self) -> None:
        """Requests leases while queries choose cold searchers."""
        while True:
            await self._demand_event.wait()
            self._send_lease_requests()
            if not self._warmup.wanted_searcher_count:
                self._demand_event.clear()
            await asyncio.sleep(REQUEST_INTERVAL_MS / clocks.MS_PER_S)

    def signal_demand(self) -> None:
        """Resumes lease requests, because a query chose a cold searcher."""
        self._demand_event.set()

    def _send_lease_requests(self) -> None:
        now = self._view.clock.now()
        requests_by_coordinator = self._warmup.lease_requests(
            CALLS_PER_LEASE_REQUEST, self._in_flight, now
        )
        for coordinator, requests in requests_by_coordinator.items():
            if coordinator == self._view.vm:
                for request in requests:
                    grant = self._warmup.grant_lease(request, coordinator, now)
                    self._warmup.apply_grant(grant, now, now)
                continue
            task = asyncio.create_task(
                self._request_from(coordinator, requests)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _request_from(
        self, coordinator: str, requests: list[messages.WarmthAsk]
    ) -> None:
        requested_at = self._view.clock.now()
        try:
            reply = await self._peering.request(
                coordinator, messages.WarmthAsks(requests)
            )
        except errors.CitrondoorError:
            # Without a lease this daemon sends the searcher no calls; the next
            # round requests one again.
            return
        now = self._view.clock.now()
        for grant in reply.grants:
            self._warmup.apply_grant(grant, requested_at, now)

    async def _on_lease_requests(
        self, message: messages.WarmthAsks, sender: str
    ) -> messages.WarmthGrants:
        now = self._view.clock.now()
        return messages.WarmthGrants(
            [
                self._warmup.grant_lease(request, sender, now)
                for request in message.asks
            ]
        )
