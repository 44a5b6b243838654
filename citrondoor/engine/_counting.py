"""Replicates each count to other zones before its request is answered."""

import asyncio
import random

from citrondoor import clock as clocks
from citrondoor import counting
from citrondoor import errors
from citrondoor.engine import _peering
from citrondoor.engine import _view
from citrondoor.schema import messages

# Counts that arrive within this time are sent in one message.
BATCH_WINDOW_MS = 2
# Timeout of one attempt to store a batch on peers that have not been tried.
STORE_TIMEOUT_MS = 200
# If too few peers stored the batch after these, its requests are refused as not
# counted.
STORE_ATTEMPTS = 3
EXCHANGE_INTERVAL_MS = 1000


class CountedTotals:
    """Request totals of one month over all daemons.

    Args:
      totals: Counted requests of each customer.
      unreachable_vms: Declared VMs that did not reply, or to which this daemon
        has no connected link.
      is_complete: Whether the totals include every counted request.
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


class _PendingBatch:
    """A batch that still accepts counts.

    Args:
      outcome: Completes with whether the batch was replicated.
    """

    __slots__ = ("batch", "outcome")

    def __init__(self, outcome: asyncio.Future):
        self.batch = counting.BatchBuilder()
        self.outcome = outcome


class CountReplicator:
    """Counts requests and replicates the ledger to the other daemons.

    Args:
      view: Local view of the cluster.
      peering: Links to peers.
      ledger: Counted requests.
      quantities: Use of monthly quantities, replicated with the counts.
      rng: Chooses the peers of anti-entropy exchanges.
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
        self._pending: _PendingBatch | None = None
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
        """Counts a request and replicates the count.

        Returns:
          The receipt, or None when too few peers in other zones stored the
          count; the request must not be answered then.
        """
        month = clocks.month_of(self._view.clock.unix_ms())
        is_new = self._ledger.add(customer, month, request_id)
        self.duplicate_count += not is_new
        if not await self._replicate_count(customer, month, request_id):
            self.store_failure_count += 1
            return None
        self.stored_count += 1
        return messages.Receipt(True, month, request_id, not is_new)

    async def find_receipt(
        self, customer: str, request_id: messages.RequestId
    ) -> messages.Receipt | None:
        """Returns the receipt of a request that some daemon has counted.

        The count is replicated again first: if its replication failed, it may
        exist on one daemon only.

        Returns:
          The receipt, or None when the request is not known to be counted or
          its count could not be replicated.
        """
        month = self._ledger.month_of(customer, request_id)
        if month is None:
            await self.sync_from_peers()
            month = self._ledger.month_of(customer, request_id)
        if month is None or not await self._replicate_count(
            customer, month, request_id
        ):
            return None
        return messages.Receipt(True, month, request_id, True)

    async def _replicate_count(
        self, customer: str, month: str, request_id: messages.RequestId
    ) -> bool:
        pending = self._pending or self._open_batch()
        pending.batch.add(customer, month, request_id)
        pending.batch.uses[(customer, month)] = self._quantities.local_use(
            customer, month
        )
        # Several requests await this future; without the shield, cancelling
        # one of them would cancel it for all.
        return await asyncio.shield(pending.outcome)

    async def replicate_use(self, customer: str, month: str) -> bool:
        """Replicates this VM's quantity use; returns whether that succeeded."""
        pending = self._pending or self._open_batch()
        pending.batch.uses[(customer, month)] = self._quantities.local_use(
            customer, month
        )
        return await asyncio.shield(pending.outcome)

    async def run(self) -> None:
        """Pulls missing counts from a random peer at regular intervals."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_MS / clocks.MS_PER_S)
            reachable = self._peering.reachable_peers
            if not reachable:
                continue
            try:
                await self._pull_missing_counts(self._rng.choice(reachable))
            except errors.CitrondoorError:
                # The next exchange chooses a peer again.
                pass

    async def sync_from_peers(self) -> list[str]:
        """Merges the counts of all peers with a connected link.

        Returns:
          The peers that replied.
        """
        replied = []
        for vm in self._peering.reachable_peers:
            try:
                await self._pull_missing_counts(vm)
            except errors.CitrondoorError:
                continue
            replied.append(vm)
        return replied

    async def push_to_peers(self) -> int:
        """Sends all counts to the peers with a connected link.

        Returns:
          How many peers accepted them.
        """
        counts = messages.LedgerCounts(
            self._ledger.all_counts(), self._quantities.all_uses()
        )
        accepted_count = 0
        for vm in self._peering.reachable_peers:
            try:
                await self._peering.request(vm, counts)
            except errors.CitrondoorError:
                continue
            accepted_count += 1
        return accepted_count

    async def totals(self, month: str) -> CountedTotals:
        """Syncs from all reachable peers and returns the totals of a month.

        With VMs in two or more zones, each count is on at least two VMs before
        its request is answered, so the totals are complete while at most one VM
        does not reply.
        """
        replied = set(await self.sync_from_peers()) | {self._view.vm}
        unreachable_vms = sorted(set(self._view.catalogue.vms) - replied)
        return CountedTotals(
            self._ledger.totals(month),
            unreachable_vms,
            len(unreachable_vms) <= 1,
        )

    def _open_batch(self) -> _PendingBatch:
        loop = asyncio.get_running_loop()
        pending = _PendingBatch(loop.create_future())
        self._pending = pending
        task = asyncio.create_task(self._replicate_batch(pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return pending

    async def _replicate_batch(self, pending: _PendingBatch) -> None:
        is_stored = False
        try:
            await asyncio.sleep(BATCH_WINDOW_MS / clocks.MS_PER_S)
            self._pending = None
            is_stored = await self._replicate(pending.batch.build())
        finally:
            pending.outcome.set_result(is_stored)

    async def _replicate(self, batch: messages.CountBatch) -> bool:
        acknowledged: set[str] = set()
        failed: set[str] = set()
        for _ in range(STORE_ATTEMPTS):
            catalogue = self._view.catalogue
            reachable = self._peering.reachable_peers
            chosen = self._replication_policy.choose(
                catalogue, reachable, failed | acknowledged
            )
            results = await asyncio.gather(
                *(self._store_on_peer(vm, batch) for vm in chosen)
            )
            for vm, is_stored in zip(chosen, results, strict=True):
                (acknowledged if is_stored else failed).add(vm)
            unreachable_zones = self._zones_without(set(reachable) - failed)
            if self._replication_policy.has_quorum(
                catalogue, acknowledged, unreachable_zones
            ):
                return True
        return False

    async def _store_on_peer(self, vm: str, batch: messages.CountBatch) -> bool:
        try:
            await self._peering.request(vm, batch, STORE_TIMEOUT_MS)
        except errors.CitrondoorError:
            return False
        return True

    def _zones_without(self, usable_peers: set[str]) -> set[str]:
        vms = self._view.catalogue.vms
        zones = {vm.zone for vm in vms.values()}
        return zones - {vms[name].zone for name in usable_peers if name in vms}

    async def _pull_missing_counts(self, vm: str) -> None:
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
        own_digests = self._ledger.digests()
        differing = [
            bucket
            for bucket, (own_digest, peer_digest) in enumerate(
                zip(own_digests, digest.buckets, strict=True)
            )
            if own_digest != peer_digest
        ]
        counts = self._ledger.counts_in(differing) if differing else []
        return messages.LedgerCounts(counts, self._quantities.all_uses())
