"""Keeps each customer within its monthly quantity over all daemons.

A VM may use its share of the quantity, plus what other VMs transferred to it,
minus what it transferred and used itself. The transferred amounts only grow and
the used amount grows except by refunds, so merging takes the maximum of each.
Where other zones have VMs, both are replicated there before an answer or a
grant is sent, so a new incarnation of a daemon learns from its peers what the
previous one used.
"""

from citrondoor.schema import messages

# Minimum number of requests in one transfer.
MIN_TRANSFER = 1


class QuantityTable:
    """Quantity that each VM has used and transferred of each contract.

    Args:
      vm: Name of this VM.
    """

    __slots__ = ("_uses", "_vm")

    def __init__(self, vm: str):
        self._vm = vm
        self._uses: dict[tuple[str, str], dict[str, messages.QuantityUse]] = {}

    def local_use(self, customer: str, month: str) -> messages.QuantityUse:
        """Returns the record of this VM, which later calls update."""
        return self._use(customer, month, self._vm)

    def copy_local_use(self, customer: str, month: str) -> messages.QuantityUse:
        """Returns a copy of the record of this VM."""
        use = self.local_use(customer, month)
        return messages.QuantityUse(
            customer, month, self._vm, use.used, dict(use.given)
        )

    def remaining(
        self, customer: str, month: str, quantity: int, owners: list[str]
    ) -> int:
        """Returns how many more requests this VM may admit.

        Args:
          customer: Name of the customer.
          month: UTC month, `YYYY-MM`.
          quantity: Monthly quantity of the contract.
          owners: VMs that hold equal shares of the quantity.
        """
        use = self.local_use(customer, month)
        received = sum(
            other.given.get(self._vm, 0)
            for other in self._uses[(customer, month)].values()
        )
        share = self._share(quantity, owners)
        return share + received - use.used - sum(use.given.values())

    def consume(self, customer: str, month: str) -> None:
        """Records that this VM used one request of the quantity."""
        self.local_use(customer, month).used += 1

    def refund(self, customer: str, month: str) -> None:
        """Subtracts one use from the record of this VM.

        A peer that merged the use before keeps the higher amount, and `merge`
        of that peer's record restores it here.
        """
        self.local_use(customer, month).used -= 1

    def transfer(
        self,
        request: messages.QuantityRequest,
        quantity: int,
        owners: list[str],
    ) -> int:
        """Transfers up to half of the remaining quantity, rounded up.

        The caller must replicate `local_use` to peers before it tells the
        borrower of the transfer.

        Returns:
          The transferred number of requests, 0 if too little remains.
        """
        remaining = self.remaining(
            request.customer, request.month, quantity, owners
        )
        amount = min(request.wanted, (remaining + 1) // 2)
        if amount < MIN_TRANSFER:
            return 0
        given = self.local_use(request.customer, request.month).given
        given[request.borrower] = given.get(request.borrower, 0) + amount
        return amount

    def merge(self, uses: list[messages.QuantityUse]) -> None:
        """Merges records of other daemons by the maximum of each amount."""
        for other in uses:
            use = self._use(other.customer, other.month, other.vm)
            use.used = max(use.used, other.used)
            for borrower, given in other.given.items():
                use.given[borrower] = max(use.given.get(borrower, 0), given)

    def all_uses(self) -> list[messages.QuantityUse]:
        """Returns the records of all VMs and customers."""
        return [use for by_vm in self._uses.values() for use in by_vm.values()]

    def _use(self, customer: str, month: str, vm: str) -> messages.QuantityUse:
        by_vm = self._uses.setdefault((customer, month), {})
        if vm not in by_vm:
            by_vm[vm] = messages.QuantityUse(customer, month, vm, 0, {})
        return by_vm[vm]

    def _share(self, quantity: int, owners: list[str]) -> int:
        if self._vm not in owners:
            return 0
        base_share, remainder = divmod(quantity, len(owners))
        return base_share + (1 if owners.index(self._vm) < remainder else 0)
