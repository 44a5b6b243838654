"""Enforces rate and burst of a customer's contract over all daemons."""

from collections.abc import Callable

from citrondoor import clock
from citrondoor import declarations as declared
from citrondoor.limits import _leases
from citrondoor.limits import _shares
from citrondoor.limits import _token_bucket
from citrondoor.schema import declarations
from citrondoor.schema import messages

# Approximate time over which demand is averaged.
DEMAND_WINDOW_MS = 1000
# A daemon reserves or requests its measured demand times this factor.
DEMAND_HEADROOM_FACTOR = 1.3
# Each other owner is sent a request for its equal part of the missing share
# times this factor, because some owners may have nothing to lend.
REQUEST_FACTOR = 1.5
# For this long after a request found no token, a daemon wants this multiple of
# its usable share, so that a sudden demand is served before it is measured.
SHORTAGE_MS = 500
SHORTAGE_FACTOR = 2.0
# No lease is requested for a customer without requests for this long.
DEMAND_IDLE_MS = 3000
# A new incarnation of a daemon doesn't use its owner share until the leases
# that the previous incarnation granted have ended.
STARTUP_LEASE_WAIT_MS = _leases.LEASE_MS + _leases.LEASE_MARGIN_MS


class CustomerRateLimiter:
    """Admits this daemon's requests of one customer.

    A token bucket gets the part of the contract's rate and burst that this
    daemon may use: its owner share, less what it lent, plus what it borrowed.

    Args:
      vm: Name of this VM.
      contract: The active contract.
      started_at: When this incarnation started, a clock time in ms.
      applied_revision_of: Returns the revision of the declared VMs that a VM is
        known to have applied.
    """

    __slots__ = (
        "_applied_revision_of",
        "_borrower",
        "_bucket",
        "_bucket_share",
        "_contract",
        "_demand_per_ms",
        "_demand_updated_at",
        "_last_demand_at",
        "_lender",
        "_owner_share_usable_at",
        "_owner_shares",
        "_resized_at",
        "_shortage_until",
        "_vm",
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
        self._owner_share_usable_at = started_at + STARTUP_LEASE_WAIT_MS
        self._demand_per_ms = 0.0
        self._demand_updated_at = started_at
        self._last_demand_at = started_at - DEMAND_IDLE_MS
        self._bucket_share = 0.0
        self._resized_at = started_at
        self._shortage_until = started_at

    @property
    def owners(self) -> list[str]:
        """VMs that own shares of this customer's contract."""
        return self._owner_shares.owners

    def set_contract(
        self,
        contract: declarations.Contract,
        revision: int,
        owners: list[str],
        now: int,
    ) -> None:
        """Applies a changed contract or a changed assignment of owners."""
        self._contract = contract
        self._owner_shares.assign(revision, owners)
        self._resize(now)

    def admit(self, now: int) -> bool:
        """Records a request and takes a token; returns False without one."""
        self._record_demand(now)
        return self.retry_admit(now)

    def retry_admit(self, now: int) -> bool:
        """Like `admit`, for a request whose demand is already recorded."""
        self._resize(now)
        is_admitted = self._bucket.try_acquire(now)
        if not is_admitted:
            self._shortage_until = now + SHORTAGE_MS
        return is_admitted

    def retry_after_ms(self, now: int) -> int:
        """Returns the time in ms after which a refused request may succeed.

        If the usable share never yields a token, this is the length of a lease.
        """
        wait_ms = self._bucket.wait_ms(now)
        return _leases.LEASE_MS if wait_ms is None else wait_ms

    def has_demand(self, now: int) -> bool:
        """Returns whether a request arrived within DEMAND_IDLE_MS."""
        return now - self._last_demand_at < DEMAND_IDLE_MS

    def is_active(self, now: int) -> bool:
        """Returns whether a lease may have to be requested or reduced."""
        return self.has_demand(now) or bool(self._borrower.lenders)

    def wanted_share(self, now: int) -> float:
        """Returns the share that the recorded demand needs, from 0 to 1."""
        if not self.has_demand(now):
            return 0.0
        demand_per_s = self._current_demand_per_ms(now) * clock.MS_PER_S
        needed = (
            demand_per_s * DEMAND_HEADROOM_FACTOR / self._contract.rate_per_s
        )
        # A share whose burst is below one token admits nothing.
        min_share = DEMAND_HEADROOM_FACTOR / self._contract.burst
        if now < self._shortage_until:
            increased = SHORTAGE_FACTOR * self.usable_share(now)
            min_share = max(
                min_share, increased, 1 / max(1, len(self._owner_shares.owners))
            )
        return min(1.0, max(needed, min_share))

    def lease_requests(self, now: int) -> dict[str, messages.LeaseRequest]:
        """Returns the lease request to send to each other owner, by VM.

        Also reduces the borrowed leases to the share that is still requested;
        the requests report this to the lenders.
        """
        missing = max(0.0, self.wanted_share(now) - self._unlent_share(now))
        other_owners = [
            vm for vm in self._owner_shares.owners if vm != self._vm
        ]
        share = 0.0
        if other_owners:
            owner_share = 1 / len(self._owner_shares.owners)
            share = min(
                owner_share, REQUEST_FACTOR * missing / len(other_owners)
            )
        held = {
            vm: self._borrower.reduce_to(vm, share, now)
            for vm in self._borrower.lenders
        }
        self._resize(now)
        customer = self._contract.customer
        return {
            vm: messages.LeaseRequest(customer, share, held.get(vm, 0.0), now)
            for vm in (other_owners if share else held)
        }

    def grant_lease(
        self,
        borrower: str,
        incarnation: int,
        request: messages.LeaseRequest,
        now: int,
    ) -> messages.LeaseGrant:
        """Grants a share that this VM does not need for its own demand.

        The share and its part of the tokens are deducted before the grant is
        returned.

        Args:
          borrower: VM that sent the request.
          incarnation: The borrower's incarnation.
          request: The requested share and what the borrower still uses.
          now: Clock time in ms.

        Returns:
          The grant; its share is 0 if nothing is granted.
        """
        self._lender.drop_ended(now)
        self._lender.reduce_to(
            borrower, incarnation, request.asked_at, request.held
        )
        lent_before = self._lender.lent_to(borrower, now)
        lent_to_others = self._lender.lent(now) - lent_before
        reserved = min(self._owner_share(now), self.wanted_share(now))
        available = self._owner_share(now) - lent_to_others - reserved
        share = max(0.0, min(request.share, available))
        if share < _leases.MIN_GRANT_SHARE:
            share = 0.0
        tokens = self._remove_tokens_for(max(0.0, share - lent_before), now)
        if share:
            self._lender.grant_lease(borrower, share, now)
        self._resize(now)
        return messages.LeaseGrant(
            self._contract.customer, share, tokens, _leases.LEASE_MS
        )

    def apply_grant(
        self, lender: str, grant: messages.LeaseGrant, asked_at: int, now: int
    ) -> None:
        """Applies a grant for a request sent at `asked_at`, in clock ms."""
        self._borrower.apply_grant(
            lender, grant.share, grant.lease_ms, asked_at
        )
        self._resize(now)
        if self._borrower.borrowed_from(lender, now):
            self._bucket.add(grant.tokens, now)

    def refill(self, now: int) -> None:
        """Adds the tokens of the time since the last call."""
        self._resize(now)

    def usable_share(self, now: int) -> float:
        """Returns the share of the contract that this daemon may use now."""
        return self._unlent_share(now) + self._borrower.borrowed(now)

    def _owner_share(self, now: int) -> float:
        if now < self._owner_share_usable_at:
            return 0.0
        return self._owner_shares.share(self._applied_revision_of)

    def _unlent_share(self, now: int) -> float:
        return max(0.0, self._owner_share(now) - self._lender.lent(now))

    def _remove_tokens_for(self, share: float, now: int) -> float:
        if share <= 0 or self._bucket_share <= 0:
            return 0.0
        token_fraction = min(1.0, share / self._bucket_share)
        return self._bucket.remove(self._bucket.level * token_fraction, now)

    def _resize(self, now: int) -> None:
        # A lease that ended since the last call refills the bucket only up to
        # its end, not up to now.
        for ended_at in self._borrower.ends_between(self._resized_at, now):
            self._resize_at(ended_at)
        self._resize_at(now)
        self._borrower.drop_ended(now)

    def _resize_at(self, at: int) -> None:
        share = self.usable_share(at)
        self._bucket_share = share
        self._resized_at = at
        self._bucket.resize(
            self._contract.rate_per_s * share, self._contract.burst * share, at
        )

    def _record_demand(self, now: int) -> None:
        self._demand_per_ms = (
            self._current_demand_per_ms(now) + 1 / DEMAND_WINDOW_MS
        )
        self._demand_updated_at = now
        self._last_demand_at = now

    def _current_demand_per_ms(self, now: int) -> float:
        elapsed = max(0, now - self._demand_updated_at)
        return self._demand_per_ms * max(0.0, 1 - elapsed / DEMAND_WINDOW_MS)


class RateLimiterTable:
    """The rate limiters of all customers on this daemon.

    Args:
      vm: Name of this VM.
      started_at: When this incarnation started, a clock time in ms.
      applied_revision_of: Returns the revision of the declared VMs that a VM is
        known to have applied.
    """

    __slots__ = (
        "_applied_revision_of",
        "_catalogue",
        "_limiters",
        "_owners",
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
        self._limiters: dict[str, CustomerRateLimiter] = {}
        self._owners: dict[str, list[str]] = {}
        self._catalogue = declared.Catalogue([])

    def set_catalogue(self, catalogue: declared.Catalogue, now: int) -> None:
        """Applies the active contracts and VMs."""
        if catalogue.vms_revision != self._catalogue.vms_revision:
            self._owners.clear()
        previous = self._catalogue
        self._catalogue = catalogue
        for customer in list(self._limiters):
            if customer not in catalogue.contracts:
                del self._limiters[customer]
                self._owners.pop(customer, None)
        for customer, contract in catalogue.contracts.items():
            # Same contract object and same owners: nothing has changed.
            if customer in self._owners and (
                previous.contracts.get(customer) is contract
            ):
                continue
            self._apply_contract(customer, contract, now)

    def _apply_contract(
        self, customer: str, contract: declarations.Contract, now: int
    ) -> None:
        owners = _shares.assign_owners(self._catalogue, customer)
        self._owners[customer] = owners
        limiter = self._limiters.get(customer)
        if limiter is not None:
            limiter.set_contract(
                contract, self._catalogue.vms_revision, owners, now
            )
        elif self._vm in owners:
            # The limiter of an owner starts now, so that its bucket has tokens
            # when the first request arrives.
            self.limiter_of(customer, now)

    def owners_of(self, customer: str) -> list[str]:
        """Returns the VMs that own shares of a customer's contract."""
        return self._owners.get(customer, [])

    def refill(self, now: int) -> None:
        """Refills the buckets of all customers; call it regularly.

        Between calls a bucket fills at the rate of the share that was usable at
        the last one, even if a lent share has become usable again since then.
        """
        for limiter in self._limiters.values():
            limiter.refill(now)

    def limiter_of(self, customer: str, now: int) -> CustomerRateLimiter | None:
        """Returns a customer's limiter; None if it has no contract.

        Creates the limiter at the first call.
        """
        limiter = self._limiters.get(customer)
        if limiter is not None:
            return limiter
        contract = self._catalogue.contracts.get(customer)
        if contract is None:
            return None
        limiter = CustomerRateLimiter(
            self._vm, contract, self._started_at, self._applied_revision_of
        )
        limiter.set_contract(
            contract, self._catalogue.vms_revision, self._owners[customer], now
        )
        self._limiters[customer] = limiter
        return limiter

    def lease_requests(
        self, now: int
    ) -> dict[str, list[messages.LeaseRequest]]:
        """Returns the lease requests to send, by VM."""
        by_vm: dict[str, list[messages.LeaseRequest]] = {}
        for limiter in self._limiters.values():
            if not limiter.is_active(now):
                continue
            for vm, request in limiter.lease_requests(now).items():
                by_vm.setdefault(vm, []).append(request)
        return by_vm
