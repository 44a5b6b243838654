"""Checks that decide whether this daemon accepts a request.

`Service` and `RunEngine` call them, each in a fixed order.
"""

import asyncio
import enum
import hashlib

import result

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor import limits
from citrondoor import refusals
from citrondoor.engine import _leases
from citrondoor.engine import _quantities
from citrondoor.engine import _view
from citrondoor.schema import declarations
from citrondoor.schema import messages

# Maximum wait for a rate lease of a request that found no token.
LEASE_WAIT_MS = 60
# A usable share of at least this much counts as the whole rate.
FULL_SHARE_THRESHOLD = 0.99
# Interval at which a waiting request checks whether the view is confirmed.
CONFIRM_POLL_MS = 20


class AdmissionState(enum.IntEnum):
    """Whether a daemon accepts requests."""

    JOINING = 1
    OPEN = 2
    LEAVING = 3


class Admission:
    """Authenticates requests and applies the limits of their contract.

    Args:
      view: This daemon's view of the cluster.
      rates: Rate limiters of all customers.
      leases: Requests rate leases from owners.
      quantities: Enforces monthly quantities.
      max_concurrent: Number of callers' requests in flight at which new
        searches, and runs at their arbiter, are refused.
    """

    __slots__ = (
        "_leases",
        "_max_concurrent",
        "_quantities",
        "_rates",
        "_view",
        "in_flight",
        "state",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        rates: limits.RateLimiterTable,
        leases: _leases.RateLeaseManager,
        quantities: _quantities.QuantityManager,
        max_concurrent: int,
    ):
        self._view = view
        self._rates = rates
        self._leases = leases
        self._quantities = quantities
        self._max_concurrent = max_concurrent
        self.in_flight = 0
        self.state = AdmissionState.JOINING

    def authenticate(
        self, key: str
    ) -> result.Result[declarations.Contract, messages.Refusal]:
        """Returns the contract that a customer's key belongs to."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        contract = self._view.catalogue.contracts_by_digest.get(digest)
        if contract is None:
            return result.Err(refusals.unauthenticated())
        return result.Ok(contract)

    def check_backend(
        self,
        contract: declarations.Contract,
        name: str,
        kind: declarations.BackendKind,
    ) -> messages.Refusal | None:
        """Returns a refusal if the contract may not use the back end.

        Args:
          contract: Contract of the customer.
          name: Name of the back end.
          kind: Kind of the request, which the back end must serve.
        """
        backend = self._view.catalogue.backends.get(name)
        if backend is None or name not in contract.backends:
            return refusals.forbidden_backend(contract.customer, name)
        if backend.kind != kind:
            is_search = backend.kind == declarations.BackendKind.SEARCH
            path = "/v1/search" if is_search else "/v1/run"
            return refusals.wrong_request_kind(name, path)
        return None

    def check_availability(self) -> messages.Refusal | None:
        """Returns a refusal if this daemon accepts no request now.

        It refuses while it joins or leaves, while its zone is out of service,
        and at the maximum number of concurrent requests.
        """
        if self.state == AdmissionState.JOINING:
            return refusals.not_ready("this entry has not joined the fleet")
        if self.state == AdmissionState.LEAVING:
            return refusals.leaving()
        if not self._view.catalogue.is_vm_in_service(self._view.vm):
            return refusals.zone_out(self._view.zone, self._other_entry_urls())
        if self.in_flight >= self._max_concurrent:
            return refusals.overloaded()
        return None

    async def confirm_view(self, deadline_at: int) -> messages.Refusal | None:
        """Waits until the view is confirmed, or refuses at the deadline."""
        clock = self._view.clock
        while not self._view.pause_detector.check_view(clock.now()):
            if clock.now() >= deadline_at:
                return refusals.not_ready(
                    "this entry has not confirmed its configuration"
                )
            await asyncio.sleep(CONFIRM_POLL_MS / clocks.MS_PER_S)
        return None

    async def acquire_rate_token(
        self, contract: declarations.Contract, deadline_at: int
    ) -> messages.Refusal | None:
        """Acquires a token of the customer's rate, or returns a refusal.

        Without a token it requests rate leases once and tries again.
        """
        clock = self._view.clock
        limiter = self._rates.limiter_of(contract.customer, clock.now())
        if limiter is None:
            return refusals.unauthenticated()
        if limiter.admit(clock.now()):
            return None
        remaining_ms = deadline_at - clock.now()
        wait_ms = min(LEASE_WAIT_MS, remaining_ms)
        # A daemon that already holds the whole rate can lease nothing more.
        if (
            wait_ms > 0
            and limiter.usable_share(clock.now()) < FULL_SHARE_THRESHOLD
        ):
            await self._leases.request_and_wait(wait_ms)
            if limiter.retry_admit(clock.now()):
                return None
        return refusals.rate_exceeded(
            contract.customer, limiter.retry_after_ms(clock.now())
        )

    async def consume_quantity(
        self, contract: declarations.Contract
    ) -> messages.Refusal | None:
        """Consumes one request of the monthly quantity or returns a refusal."""
        month = clocks.month_of(self._view.clock.unix_ms())
        if await self._quantities.try_consume(contract, month):
            return None
        return refusals.quantity_exceeded(contract.customer, month)

    def refund(self, contract: declarations.Contract) -> None:
        """Refunds one request of the current month's quantity.

        Called for a request that is refused without a receipt or whose id was
        counted before.
        """
        month = clocks.month_of(self._view.clock.unix_ms())
        self._quantities.refund(contract, month)

    def _other_entry_urls(self) -> list[str]:
        catalogue: declared.Catalogue = self._view.catalogue
        return [
            f"http://{catalogue.vms[name].address}:{catalogue.vms[name].http_port}"
            for name in self._view.members.live_vms()
            if name != self._view.vm and catalogue.is_vm_in_service(name)
        ]
