"""Admits requests within the rate and burst of a contract, fleet-wide."""

from collections.abc import Callable

from citrondoor import clock
from citrondoor import declarations as declared
from citrondoor.limits import _leases
from citrondoor.limits import _shares
from citrondoor.limits import _token_bucket
from citrondoor.schema import declarations
from citrondoor.schema import messages

# Demand is averaged over about this time.
DEMAND_WINDOW_MS = 1000
# A daemon keeps or asks for this much more than its measured demand.
HEADROOM = 1.3
# Some homes may have nothing to lend: each is asked for more than its part.
ASK_MARGIN = 1.5
# After a request found no token, a daemon asks for a multiple of its share, so
# that sudden demand does not wait until it is measured.
SHORT_MS = 500
SHORT_FACTOR = 2.0
# A customer without demand for this long asks for no lease.
IDLE_MS = 3000
# A new incarnation waits until leases of its predecessor have ended.
STARTUP_LEASE_WAIT_MS = _leases.LEASE_MS + _leases.LEASE_MARGIN_MS


class CustomerRateLimiter:
    """This daemon's part of one customer's rate.

    Args:
      vm: Name of this VM.
      contract: The contract in force.
      started_at: When this incarnation started, a clock reading in ms.
      applied_revision_of: Returns the revision that a VM is known to have
        taken.
    """

    __slots__ = (
        "_applied_revision_of",
        "_borrower",
        "_bucket",
        "_contract",
        "_demand",
        "_demand_at",
        "_lender",
        "_open_at",
        "_owner_shares",
        "_resized_at",
        "_short_until",
        "_size",
        "_vm",
        "_wanted_at",
    )

    def __init__(
        self,
        vm: str,
        contract: declarations.Contract,
        started_at: int,
        applied_revision_of: Callable[[str], int],
    ):
        self._vm = vm
        self._contract = contract
        self._applied_revision_of = applied_revision_of
        self._owner_shares = _shares.OwnerShares(vm)
        self._lender = _leases.Lender()
        self._borrower = _leases.Borrower()
        self._bucket = _token_bucket.TokenBucket(started_at)
        self._open_at = started_at + STARTUP_LEASE_WAIT_MS
        self._demand = 0.0
        self._demand_at = started_at
        self._wanted_at = started_at - IDLE_MS
        self._size = 0.0
        self._resized_at = started_at
        self._short_until = started_at

    @property
    def owners(self) -> list[str]:
        """VMs that hold shares of this customer."""
        return self._owner_shares.owners

    def set_contract(
        self,
        contract: declarations.Contract,
        revision: int,
        owners: list[str],
        now: int,
    ) -> None:
        """Takes a new contract or a new assignment of homes."""
        self._contract = contract
        self._owner_shares.assign(revision, owners)
        self._resize(now)

    def admit(self, now: int) -> bool:
        """Takes a token for one request; returns False when there is none."""
        self._note_demand(now)
        return self.retry_admit(now)

    def retry_admit(self, now: int) -> bool:
        """Like `admit`, for a request whose demand was noted before."""
        self._resize(now)
        is_admitted = self._bucket.try_acquire(now)
        if not is_admitted:
            self._short_until = now + SHORT_MS
        return is_admitted

    def retry_after_ms(self, now: int) -> int:
        """Returns when a refused request may be admitted."""
        wait = self._bucket.wait_ms(now)
        return _leases.LEASE_MS if wait is None else wait

    def has_demand(self, now: int) -> bool:
        """Returns whether requests came lately."""
        return now - self._wanted_at < IDLE_MS

    def is_active(self, now: int) -> bool:
        """Returns whether there is anything to ask for or to give back."""
        return self.has_demand(now) or bool(self._borrower.lenders)

    def wanted_share(self, now: int) -> float:
        """Returns the share that the measured demand needs, up to 1."""
        if not self.has_demand(now):
            return 0.0
        demand_per_s = self._demand_now(now) * clock.MS_PER_S
        needed = demand_per_s * HEADROOM / self._contract.rate_per_s
        # A share of less than one token of the burst admits nothing.
        least = HEADROOM / self._contract.burst
        if now < self._short_until:
            grown = SHORT_FACTOR * self.usable_share(now)
            least = max(
                least, grown, 1 / max(1, len(self._owner_shares.owners))
            )
        return min(1.0, max(needed, least))

    def lease_requests(self, now: int) -> dict[str, messages.LeaseRequest]:
        """Returns what to ask of each home, this VM left out.

        What is not needed any more is given back with the question.
        """
        missing = max(0.0, self.wanted_share(now) - self._own_share(now))
        others = [vm for vm in self._owner_shares.owners if vm != self._vm]
        share = 0.0
        if others:
            part = 1 / len(self._owner_shares.owners)
            share = min(part, ASK_MARGIN * missing / len(others))
        held = {
            vm: self._borrower.reduce_to(vm, share, now)
            for vm in self._borrower.lenders
        }
        self._resize(now)
        customer = self._contract.customer
        return {
            vm: messages.LeaseRequest(customer, share, held.get(vm, 0.0), now)
            for vm in (others if share else held)
        }

    def grant_lease(
        self,
        borrower: str,
        incarnation: int,
        request: messages.LeaseRequest,
        now: int,
    ) -> messages.LeaseGrant:
        """Grants what this VM does not need itself, and deducts it first."""
        self._lender.drop_ended(now)
        self._lender.reduce_to(
            borrower, incarnation, request.asked_at, request.held
        )
        before = self._lender.lent_to(borrower, now)
        others = self._lender.lent(now) - before
        reserve = min(self._owner_share(now), self.wanted_share(now))
        free = self._owner_share(now) - others - reserve
        share = max(0.0, min(request.share, free))
        if share < _leases.MIN_GRANT_SHARE:
            share = 0.0
        tokens = self._take_for(max(0.0, share - before), now)
        if share:
            self._lender.grant_lease(borrower, share, now)
        self._resize(now)
        return messages.LeaseGrant(
            self._contract.customer, share, tokens, _leases.LEASE_MS
        )

    def apply_grant(
        self, lender: str, grant: messages.LeaseGrant, asked_at: int, now: int
    ) -> None:
        """Takes a grant that was asked for at `asked_at`."""
        self._borrower.apply_grant(
            lender, grant.share, grant.lease_ms, asked_at
        )
        self._resize(now)
        if self._borrower.borrowed_from(lender, now):
            self._bucket.add(grant.tokens, now)

    def refill(self, now: int) -> None:
        """Lets tokens fill at the share of this time."""
        self._resize(now)

    def usable_share(self, now: int) -> float:
        """Returns the share that this daemon may use now."""
        return self._own_share(now) + self._borrower.borrowed(now)

    def _owner_share(self, now: int) -> float:
        if now < self._open_at:
            return 0.0
        return self._owner_shares.share(self._applied_revision_of)

    def _own_share(self, now: int) -> float:
        return max(0.0, self._owner_share(now) - self._lender.lent(now))

    def _take_for(self, share: float, now: int) -> float:
        if share <= 0 or self._size <= 0:
            return 0.0
        part = min(1.0, share / self._size)
        return self._bucket.remove(self._bucket.level * part, now)

    def _resize(self, now: int) -> None:
        # A lease that ended since the last call must not refill until now.
        for ended_at in self._borrower.ends_between(self._resized_at, now):
            self._resize_at(ended_at)
        self._resize_at(now)
        self._borrower.drop_ended(now)

    def _resize_at(self, at: int) -> None:
        size = self.usable_share(at)
        self._size = size
        self._resized_at = at
        self._bucket.resize(
            self._contract.rate_per_s * size, self._contract.burst * size, at
        )

    def _note_demand(self, now: int) -> None:
        self._demand = self._demand_now(now) + 1 / DEMAND_WINDOW_MS
        self._demand_at = now
        self._wanted_at = now

    def _demand_now(self, now: int) -> float:
        elapsed = max(0, now - self._demand_at)
        return self._demand * max(0.0, 1 - elapsed / DEMAND_WINDOW_MS)


class RateLimiterTable:
    """The rates of all customers on this daemon.

    Args:
      vm: Name of this VM.
      started_at: When this incarnation started, a clock reading in ms.
      applied_revision_of: Returns the revision that a VM is known to have
        taken.
    """

    __slots__ = (
        "_applied_revision_of",
        "_catalogue",
        "_owners",
        "_rates",
        "_started_at",
        "_vm",
    )

    def __init__(
        self,
        vm: str,
        started_at: int,
        applied_revision_of: Callable[[str], int],
    ):
        self._vm = vm
        self._started_at = started_at
        self._applied_revision_of = applied_revision_of
        self._rates: dict[str, CustomerRateLimiter] = {}
        self._owners: dict[str, list[str]] = {}
        self._catalogue = declared.Catalogue([])

    def set_catalogue(self, catalogue: declared.Catalogue, now: int) -> None:
        """Takes the contracts and VMs in force."""
        if catalogue.vms_revision != self._catalogue.vms_revision:
            self._owners.clear()
        before = self._catalogue
        self._catalogue = catalogue
        for customer in list(self._rates):
            if customer not in catalogue.contracts:
                del self._rates[customer]
                self._owners.pop(customer, None)
        for customer, contract in catalogue.contracts.items():
            # The same objects, the same homes: nothing to take.
            if customer in self._owners and (
                before.contracts.get(customer) is contract
            ):
                continue
            self._take(customer, contract, now)

    def _take(
        self, customer: str, contract: declarations.Contract, now: int
    ) -> None:
        owners = _shares.assign_owners(self._catalogue, customer)
        self._owners[customer] = owners
        rate = self._rates.get(customer)
        if rate is not None:
            rate.set_contract(
                contract, self._catalogue.vms_revision, owners, now
            )
        elif self._vm in owners:
            # Tokens of a home fill up before the first request comes.
            self.limiter_of(customer, now)

    def owners_of(self, customer: str) -> list[str]:
        """Returns the VMs that hold shares of a customer's contract."""
        return self._owners.get(customer, [])

    def refill(self, now: int) -> None:
        """Lets tokens fill at the shares of this time; call it regularly."""
        for rate in self._rates.values():
            rate.refill(now)

    def limiter_of(self, customer: str, now: int) -> CustomerRateLimiter | None:
        """Returns a customer's rate, or None without a contract."""
        rate = self._rates.get(customer)
        if rate is not None:
            return rate
        contract = self._catalogue.contracts.get(customer)
        if contract is None:
            return None
        rate = CustomerRateLimiter(
            self._vm, contract, self._started_at, self._applied_revision_of
        )
        rate.set_contract(
            contract, self._catalogue.vms_revision, self._owners[customer], now
        )
        self._rates[customer] = rate
        return rate

    def lease_requests(
        self, now: int
    ) -> dict[str, list[messages.LeaseRequest]]:
        """Returns the lease requests to send, by VM."""
        by_vm: dict[str, list[messages.LeaseRequest]] = {}
        for rate in self._rates.values():
            if not rate.is_active(now):
                continue
            for vm, request in rate.lease_requests(now).items():
                by_vm.setdefault(vm, []).append(request)
        return by_vm
