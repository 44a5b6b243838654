"""Takes monthly quantity, and asks other homes for what they have left."""

from citrondoor import counting
from citrondoor import errors
from citrondoor import limits
from citrondoor.engine import _counting
from citrondoor.engine import _peering
from citrondoor.engine import _view
from citrondoor.schema import declarations
from citrondoor.schema import messages

# Asked for at once, so that few requests have to wait for a gift.
ASK_SHARE = 0.1
MIN_ASK = 16


class QuantityManager:
    """Admits requests within the monthly quantity of a contract.

    Args:
      view: What this daemon knows.
      peering: Links to peers.
      table: Use of every VM.
      counts: Stores this VM's use on peers.
      rates: Knows the homes of customers.
    """

    __slots__ = (
        "_counts",
        "_peering",
        "_rates",
        "_table",
        "_view",
        "is_synced",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        peering: _peering.Peering,
        table: counting.QuantityTable,
        counts: _counting.CountReplicator,
        rates: limits.RateLimiterTable,
    ):
        self._rates = rates
        self._view = view
        self._peering = peering
        self._table = table
        self._counts = counts
        # Until peers have told what a predecessor used, nothing is left here.
        self.is_synced = False
        peering.register(messages.QuantityRequest, self._on_request)

    async def take(self, contract: declarations.Contract, month: str) -> bool:
        """Takes one of the quantity; returns False when none is left."""
        if contract.monthly_quantity == 0:
            return True
        if self._remaining(contract, month) < 1:
            await self._borrow(contract, month)
        if self._remaining(contract, month) < 1:
            return False
        self._table.consume(contract.customer, month)
        return True

    def refund(self, contract: declarations.Contract, month: str) -> None:
        """Returns one request that was not counted."""
        if contract.monthly_quantity:
            self._table.refund(contract.customer, month)

    def _remaining(self, contract: declarations.Contract, month: str) -> int:
        if not self.is_synced:
            return 0
        owners = self._rates.owners_of(contract.customer)
        return self._table.remaining(
            contract.customer, month, contract.monthly_quantity, owners
        )

    async def _borrow(
        self, contract: declarations.Contract, month: str
    ) -> None:
        owners = self._rates.owners_of(contract.customer)
        share = contract.monthly_quantity // max(1, len(owners))
        wanted = max(MIN_ASK, int(share * ASK_SHARE))
        request = messages.QuantityRequest(
            contract.customer, month, self._view.vm, wanted
        )
        for vm in owners:
            if not self._peering.can_ask(vm):
                continue
            try:
                grant = await self._peering.request(vm, request)
            except errors.CitrondoorError:
                continue
            self._table.merge([grant.lender_use])
            if self._remaining(contract, month) >= 1:
                return

    async def _on_request(
        self, request: messages.QuantityRequest, sender: str
    ) -> messages.QuantityGrant:
        contract = self._view.catalogue.contracts.get(request.customer)
        request.borrower = sender
        if contract is None or self._remaining(contract, request.month) < 1:
            return self._grant(request, None)
        owners = self._rates.owners_of(request.customer)
        before = self._table.copy_local_use(request.customer, request.month)
        if not self._table.transfer(request, contract.monthly_quantity, owners):
            return self._grant(request, None)
        if await self._counts.store_use(request.customer, request.month):
            return self._grant(request, None)
        # Deducted here, but not told: the gift is lost rather than doubled.
        return self._grant(request, before)

    def _grant(
        self,
        request: messages.QuantityRequest,
        use: messages.QuantityUse | None,
    ) -> messages.QuantityGrant:
        shown = use or self._table.local_use(request.customer, request.month)
        return messages.QuantityGrant(shown)
