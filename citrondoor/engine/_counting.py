"""Stores each count on peers in other zones before its answer leaves."""

import asyncio
import random

from citrondoor import clock as clocks
from citrondoor import counting
from citrondoor import errors
from citrondoor.engine import _peering
from citrondoor.engine import _view
from citrondoor.schema import messages

# Counts of about this time leave in one message.
BATCH_MS = 2
STORE_TIMEOUT_MS = 200
STORE_ATTEMPTS = 3
EXCHANGE_EVERY_MS = 1000


class CountedTotals:
    """Totals of one month over the fleet.

    Args:
      totals: Requests of each customer.
      unreachable_vms: VMs whose counts could not be asked for.
      is_complete: Whether no counted request can be missing.
    """

    __slots__ = ("is_complete", "totals", "unreachable_vms")

    def __init__(
        self,
        totals: list[messages.CustomerTotal],
        unreachable_vms: list[str],
        is_complete: bool,
    ):
        self.totals = totals
        self.unreachable_vms = unreachable_vms
        self.is_complete = is_complete


class _Pending:
    __slots__ = ("batch", "stored")

    def __init__(self, stored: asyncio.Future):
        self.batch = counting.BatchBuilder()
        self.stored = stored


class CountReplicator:
    """Counts requests and keeps the ledger the same on all daemons.

    Args:
      view: What this daemon knows.
      peering: Links to peers.
      ledger: Counted requests.
      quantities: Use of monthly quantities.
      rng: Random source.
    """

    __slots__ = (
        "_ledger",
        "_peering",
        "_pending",
        "_quantities",
        "_replication_policy",
        "_rng",
        "_tasks",
        "_view",
        "duplicate_count",
        "store_failure_count",
        "stored_count",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        peering: _peering.Peering,
        ledger: counting.Ledger,
        quantities: counting.QuantityTable,
        rng: random.Random,
    ):
        self._view = view
        self._peering = peering
        self._ledger = ledger
        self._quantities = quantities
        self._rng = rng
        self._replication_policy = counting.ReplicationPolicy(
            view.vm, view.zone
        )
        self._pending: _Pending | None = None
        self._tasks: set[asyncio.Task] = set()
        self.stored_count = 0
        self.store_failure_count = 0
        self.duplicate_count = 0
        peering.register(messages.CountBatch, self._on_batch)
        peering.register(messages.LedgerDigest, self._on_digest)
        peering.register(messages.LedgerCounts, self._on_counts)

    @property
    def ledger(self) -> counting.Ledger:
        """Counted requests."""
        return self._ledger

    async def count(
        self, customer: str, request_id: messages.RequestId
    ) -> messages.Receipt | None:
        """Counts a request; returns its receipt once peers hold the count.

        Returns None when no peer in another zone could store it; the caller
        must not get an answer then.
        """
        month = clocks.month_of(self._view.clock.wall())
        is_new = self._ledger.add(customer, month, request_id)
        self.duplicate_count += not is_new
        if not await self._store_count(customer, month, request_id):
            self.store_failure_count += 1
            return None
        self.stored_count += 1
        return messages.Receipt(True, month, request_id, not is_new)

    async def find_receipt(
        self, customer: str, request_id: messages.RequestId
    ) -> messages.Receipt | None:
        """Returns the receipt of a request that some daemon has counted.

        The count may stand on one daemon only, which could not store it: it is
        stored anew before the receipt is given.
        """
        month = self._ledger.month_of(customer, request_id)
        if month is None:
            await self.sync_from_peers()
            month = self._ledger.month_of(customer, request_id)
        if month is None or not await self._store_count(
            customer, month, request_id
        ):
            return None
        return messages.Receipt(True, month, request_id, True)

    async def _store_count(
        self, customer: str, month: str, request_id: messages.RequestId
    ) -> bool:
        pending = self._pending or self._open_batch()
        pending.batch.add(customer, month, request_id)
        pending.batch.uses[(customer, month)] = self._quantities.local_use(
            customer, month
        )
        # Several requests wait for one batch: none may cancel it.
        return await asyncio.shield(pending.stored)

    async def store_use(self, customer: str, month: str) -> bool:
        """Stores this VM's quantity use on peers; returns whether it stands."""
        pending = self._pending or self._open_batch()
        pending.batch.uses[(customer, month)] = self._quantities.local_use(
            customer, month
        )
        return await asyncio.shield(pending.stored)

    async def run(self) -> None:
        """Compares the ledger with a random peer now and then."""
        while True:
            await asyncio.sleep(EXCHANGE_EVERY_MS / clocks.MS_PER_S)
            reachable = self._peering.reachable_peers
            if not reachable:
                continue
            try:
                await self._exchange(self._rng.choice(reachable))
            except errors.CitrondoorError:
                # Another peer is asked next time.
                pass

    async def sync_from_peers(self) -> list[str]:
        """Takes the counts of all peers; returns the peers that replied."""
        heard = []
        for vm in self._peering.reachable_peers:
            try:
                await self._exchange(vm)
            except errors.CitrondoorError:
                continue
            heard.append(vm)
        return heard

    async def push_to_peers(self) -> int:
        """Gives all counts to all peers; returns how many took them."""
        counts = messages.LedgerCounts(
            self._ledger.all_counts(), self._quantities.all_uses()
        )
        taken = 0
        for vm in self._peering.reachable_peers:
            try:
                await self._peering.request(vm, counts)
            except errors.CitrondoorError:
                continue
            taken += 1
        return taken

    async def totals(self, month: str) -> CountedTotals:
        """Returns the totals of a month, after asking every daemon.

        Each count stands on at least two VMs before its answer leaves, so the
        totals are complete while at most one VM is not heard.
        """
        heard = set(await self.sync_from_peers()) | {self._view.vm}
        unreachable_vms = sorted(set(self._view.catalogue.vms) - heard)
        return CountedTotals(
            self._ledger.totals(month),
            unreachable_vms,
            len(unreachable_vms) <= 1,
        )

    def _open_batch(self) -> _Pending:
        loop = asyncio.get_running_loop()
        pending = _Pending(loop.create_future())
        self._pending = pending
        task = asyncio.create_task(self._close_batch(pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return pending

    async def _close_batch(self, pending: _Pending) -> None:
        is_stored = False
        try:
            await asyncio.sleep(BATCH_MS / clocks.MS_PER_S)
            self._pending = None
            is_stored = await self._store(pending.batch.build())
        finally:
            pending.stored.set_result(is_stored)

    async def _store(self, batch: messages.CountBatch) -> bool:
        acknowledged: set[str] = set()
        failed: set[str] = set()
        for _ in range(STORE_ATTEMPTS):
            catalogue = self._view.catalogue
            reachable = self._peering.reachable_peers
            chosen = self._replication_policy.choose(
                catalogue, reachable, failed | acknowledged
            )
            results = await asyncio.gather(
                *(self._store_on(vm, batch) for vm in chosen)
            )
            for vm, is_stored in zip(chosen, results, strict=True):
                (acknowledged if is_stored else failed).add(vm)
            lost = self._lost_zones(set(reachable) - failed)
            if self._replication_policy.has_quorum(
                catalogue, acknowledged, lost
            ):
                return True
        return False

    async def _store_on(self, vm: str, batch: messages.CountBatch) -> bool:
        try:
            await self._peering.request(vm, batch, STORE_TIMEOUT_MS)
        except errors.CitrondoorError:
            return False
        return True

    def _lost_zones(self, usable: set[str]) -> set[str]:
        vms = self._view.catalogue.vms
        zones = {vm.zone for vm in vms.values()}
        return zones - {vms[name].zone for name in usable if name in vms}

    async def _exchange(self, vm: str) -> None:
        digest = messages.LedgerDigest(self._ledger.digests())
        reply = await self._peering.request(vm, digest)
        self._ledger.merge(reply.counts)
        self._quantities.merge(reply.uses)

    async def _on_batch(
        self, batch: messages.CountBatch, sender: str
    ) -> messages.CountAck:
        stored = self._ledger.merge(batch.counts)
        self._quantities.merge(batch.uses)
        return messages.CountAck(stored)

    async def _on_counts(
        self, counts: messages.LedgerCounts, sender: str
    ) -> messages.CountAck:
        stored = self._ledger.merge(counts.counts)
        self._quantities.merge(counts.uses)
        return messages.CountAck(stored)

    async def _on_digest(
        self, digest: messages.LedgerDigest, sender: str
    ) -> messages.LedgerCounts:
        own = self._ledger.digests()
        differing = [
            bucket
            for bucket, (mine, other) in enumerate(
                zip(own, digest.buckets, strict=True)
            )
            if mine != other
        ]
        counts = self._ledger.counts_in(differing) if differing else []
        return messages.LedgerCounts(counts, self._quantities.all_uses())
