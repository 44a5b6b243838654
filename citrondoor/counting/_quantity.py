"""Keeps each customer within its monthly quantity, fleet-wide.

Each VM may use its share of the quantity, plus what others gave it, less what
it gave and used. Both only grow and stand on peers before an answer or a gift
leaves, so a replaced VM learns what its predecessor used.
"""

from citrondoor.schema import messages

# Least quantity worth a message, where the lender has it.
MIN_GIFT = 1


class QuantityTable:
    """What every VM has used and given of every customer's quantity.

    Args:
      vm: Name of this VM.
    """

    __slots__ = ("_uses", "_vm")

    def __init__(self, vm: str):
        self._vm = vm
        self._uses: dict[tuple[str, str], dict[str, messages.QuantityUse]] = {}

    def local_use(self, customer: str, month: str) -> messages.QuantityUse:
        """Returns what this VM has used and given."""
        return self._use(customer, month, self._vm)

    def copy_local_use(self, customer: str, month: str) -> messages.QuantityUse:
        """Returns a copy of what this VM has used and given."""
        use = self.local_use(customer, month)
        return messages.QuantityUse(
            customer, month, self._vm, use.used, dict(use.given)
        )

    def remaining(
        self, customer: str, month: str, quantity: int, owners: list[str]
    ) -> int:
        """Returns how much this VM may still use.

        Args:
          customer: Name of the customer.
          month: UTC month, `YYYY-MM`.
          quantity: Monthly quantity of the contract.
          owners: VMs that hold equal shares of it.
        """
        use = self.local_use(customer, month)
        received = sum(
            other.given.get(self._vm, 0)
            for other in self._uses[(customer, month)].values()
        )
        share = self._share(quantity, owners)
        return share + received - use.used - sum(use.given.values())

    def consume(self, customer: str, month: str) -> None:
        """Notes that this VM used one."""
        self.local_use(customer, month).used += 1

    def refund(self, customer: str, month: str) -> None:
        """Takes one use back that was never spread to a peer."""
        self.local_use(customer, month).used -= 1

    def transfer(
        self,
        request: messages.QuantityRequest,
        quantity: int,
        owners: list[str],
    ) -> int:
        """Gives up to half of what is left; returns how much.

        The use must stand on peers before the gift is told to the borrower.
        """
        remaining = self.remaining(
            request.customer, request.month, quantity, owners
        )
        gift = min(request.wanted, (remaining + 1) // 2)
        if gift < MIN_GIFT:
            return 0
        given = self.local_use(request.customer, request.month).given
        given[request.borrower] = given.get(request.borrower, 0) + gift
        return gift

    def merge(self, uses: list[messages.QuantityUse]) -> None:
        """Takes uses that other daemons know of; each only grows."""
        for other in uses:
            known = self._use(other.customer, other.month, other.vm)
            known.used = max(known.used, other.used)
            for borrower, given in other.given.items():
                known.given[borrower] = max(known.given.get(borrower, 0), given)

    def all_uses(self) -> list[messages.QuantityUse]:
        """Returns what is known of every VM."""
        return [use for by_vm in self._uses.values() for use in by_vm.values()]

    def _use(self, customer: str, month: str, vm: str) -> messages.QuantityUse:
        by_vm = self._uses.setdefault((customer, month), {})
        if vm not in by_vm:
            by_vm[vm] = messages.QuantityUse(customer, month, vm, 0, {})
        return by_vm[vm]

    def _share(self, quantity: int, owners: list[str]) -> int:
        if self._vm not in owners:
            return 0
        each, rest = divmod(quantity, len(owners))
        return each + (1 if owners.index(self._vm) < rest else 0)
