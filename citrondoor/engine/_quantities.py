"""Enforces monthly quantities, moving unused quantity between owners."""

from citrondoor import counting
from citrondoor import errors
from citrondoor import limits
from citrondoor.engine import _counting
from citrondoor.engine import _peering
from citrondoor.engine import _view
from citrondoor.schema import declarations
from citrondoor.schema import messages

# Part of one owner's share of a monthly quantity that is requested at a time,
# so that few customer requests have to wait for a transfer.
TRANSFER_FRACTION = 0.1
# Minimum quantity requested at a time.
MIN_TRANSFER_QUANTITY = 16


class QuantityManager:
    """Admits requests within the monthly quantity of a contract.

    Args:
      view: This daemon's view of the cluster.
      peering: Links to peers.
      table: Quantity that every VM has used and transferred.
      counts: Replicates this VM's use to peers.
      rates: Provides the owners of each customer.
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
        # Until counts are synced from peers, the use of an earlier incarnation
        # is unknown and the remaining quantity is taken as 0.
        self.is_synced = False
        peering.register(messages.QuantityRequest, self._on_request)

    async def try_consume(
        self, contract: declarations.Contract, month: str
    ) -> bool:
        """Consumes one request of the quantity; returns False if none remains.

        Requests a transfer from the other owners if this VM has none remaining.
        """
        if contract.monthly_quantity == 0:
            return True
        if self._remaining(contract, month) < 1:
            await self._request_transfer(contract, month)
        if self._remaining(contract, month) < 1:
            return False
        self._table.consume(contract.customer, month)
        return True

    def refund(self, contract: declarations.Contract, month: str) -> None:
        """Refunds one request of a month's quantity."""
        if contract.monthly_quantity:
            self._table.refund(contract.customer, month)

    def _remaining(self, contract: declarations.Contract, month: str) -> int:
        if not self.is_synced:
            return 0
        owners = self._rates.owners_of(contract.customer)
        return self._table.remaining(
            contract.customer, month, contract.monthly_quantity, owners
        )

    async def _request_transfer(
        self, contract: declarations.Contract, month: str
    ) -> None:
        owners = self._rates.owners_of(contract.customer)
        share = contract.monthly_quantity // max(1, len(owners))
        wanted_count = max(
            MIN_TRANSFER_QUANTITY, int(share * TRANSFER_FRACTION)
        )
        request = messages.QuantityRequest(
            contract.customer, month, self._view.vm, wanted_count
        )
        for vm in owners:
            if not self._peering.may_reach(vm):
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
            return self._make_grant(request, None)
        owners = self._rates.owners_of(request.customer)
        use_before_transfer = self._table.copy_local_use(
            request.customer, request.month
        )
        if not self._table.transfer(request, contract.monthly_quantity, owners):
            return self._make_grant(request, None)
        if await self._counts.replicate_use(request.customer, request.month):
            return self._make_grant(request, None)
        # Too few peers stored the transfer. It stays deducted here, but this
        # reply leaves it out: a new incarnation of this daemon might not learn
        # of the transfer and grant the same quantity again. Later exchanges
        # with peers carry it to the borrower.
        return self._make_grant(request, use_before_transfer)

    def _make_grant(
        self,
        request: messages.QuantityRequest,
        use: messages.QuantityUse | None,
    ) -> messages.QuantityGrant:
        reported_use = use or self._table.local_use(
            request.customer, request.month
        )
        return messages.QuantityGrant(reported_use)
