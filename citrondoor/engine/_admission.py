"""Decides whether this daemon takes a request, in one fixed order."""

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

# A request without a token waits this long for a lease, in milliseconds.
LEASE_WAIT_MS = 60
# A share that counts as the whole.
WHOLE_SHARE = 0.99
# How often a request looks whether a distrusted view was confirmed.
CONFIRM_POLL_MS = 20


class AdmissionState(enum.IntEnum):
    """Whether a daemon takes requests."""

    JOINING = 1
    OPEN = 2
    LEAVING = 3


class Admission:
    """Admits requests of customers.

    Args:
      view: What this daemon knows.
      rates: Rates of all customers.
      leases: Borrows shares of rates.
      quantities: Monthly quantities.
      max_concurrent: Requests that this daemon executes at once.
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
        """Returns the contract of a customer's key."""
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
        """Returns why a contract may not use a back end, or None."""
        backend = self._view.catalogue.backends.get(name)
        if backend is None or name not in contract.backends:
            return refusals.forbidden_backend(contract.customer, name)
        if backend.kind != kind:
            is_search = backend.kind == declarations.BackendKind.SEARCH
            path = "/v1/search" if is_search else "/v1/run"
            return refusals.wrong_request_kind(name, path)
        return None

    def check_room(self) -> messages.Refusal | None:
        """Returns why this daemon takes no request now, or None."""
        if self.state == AdmissionState.JOINING:
            return refusals.not_ready("this entry has not joined the fleet")
        if self.state == AdmissionState.LEAVING:
            return refusals.leaving()
        if not self._view.catalogue.is_vm_in_service(self._view.vm):
            return refusals.zone_out(self._view.zone, self._others())
        if self.in_flight >= self._max_concurrent:
            return refusals.overloaded()
        return None

    async def confirm_view(self, deadline_at: int) -> messages.Refusal | None:
        """Waits until this daemon's view may be trusted."""
        clock = self._view.clock
        while not self._view.pause_detector.check_view(clock.now()):
            if clock.now() >= deadline_at:
                return refusals.not_ready(
                    "this entry has not confirmed its configuration"
                )
            await asyncio.sleep(CONFIRM_POLL_MS / clocks.MS_PER_S)
        return None

    async def take_rate(
        self, contract: declarations.Contract, deadline_at: int
    ) -> messages.Refusal | None:
        """Takes a token of the customer's rate."""
        clock = self._view.clock
        rate = self._rates.limiter_of(contract.customer, clock.now())
        if rate is None:
            return refusals.unauthenticated()
        if rate.admit(clock.now()):
            return None
        left_ms = deadline_at - clock.now()
        wait_ms = min(LEASE_WAIT_MS, left_ms)
        # With the whole rate in hand there is nothing left to borrow.
        if wait_ms > 0 and rate.usable_share(clock.now()) < WHOLE_SHARE:
            await self._leases.ask_and_wait(wait_ms)
            if rate.retry_admit(clock.now()):
                return None
        return refusals.rate_exceeded(
            contract.customer, rate.retry_after_ms(clock.now())
        )

    async def take_quantity(
        self, contract: declarations.Contract
    ) -> messages.Refusal | None:
        """Takes one request of the customer's monthly quantity."""
        month = clocks.month_of(self._view.clock.wall())
        if await self._quantities.take(contract, month):
            return None
        return refusals.quantity_exceeded(contract.customer, month)

    def refund(self, contract: declarations.Contract) -> None:
        """Returns the quantity of a request that was not counted."""
        month = clocks.month_of(self._view.clock.wall())
        self._quantities.refund(contract, month)

    def _others(self) -> list[str]:
        catalogue: declared.Catalogue = self._view.catalogue
        return [
            f"http://{catalogue.vms[name].address}:{catalogue.vms[name].http_port}"
            for name in self._view.members.live_vms()
            if name != self._view.vm and catalogue.is_vm_in_service(name)
        ]
