import random

import hypothesis
from hypothesis import strategies

from citrondoor import counting
from citrondoor.schema import messages

MONTH = "2026-12"
VMS = ["vm-0", "vm-1", "vm-2"]
QUANTITY = 50


class QuantityCluster:
    """Quantity tables of three VMs, which replicate each use and transfer."""

    def __init__(self, rng):
        self.rng = rng
        self.tables = {vm: counting.QuantityTable(vm) for vm in VMS}
        self.used = 0

    def replicate(self, vm: str) -> None:
        for other in self.tables.values():
            other.merge(self.tables[vm].all_uses())

    def use(self, vm: str) -> None:
        table = self.tables[vm]
        if table.remaining("acme", MONTH, QUANTITY, VMS) < 1:
            lender = self.rng.choice([v for v in VMS if v != vm])
            request = messages.QuantityRequest("acme", MONTH, vm, 5)
            granted = self.tables[lender].transfer(request, QUANTITY, VMS)
            if granted:
                self.replicate(lender)
        if table.remaining("acme", MONTH, QUANTITY, VMS) >= 1:
            table.consume("acme", MONTH)
            # A use is replicated to peers before its request is answered.
            self.replicate(vm)
            self.used += 1

    def replace(self, vm: str) -> None:
        # A new daemon of the VM syncs from all peers.
        table = counting.QuantityTable(vm)
        for other, other_table in self.tables.items():
            if other != vm:
                table.merge(other_table.all_uses())
        self.tables[vm] = table


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_quantity_is_not_exceeded_in_any_order_of_uses_and_replacements(seed):
    rng = random.Random(seed)
    cluster = QuantityCluster(rng)
    for _ in range(150):
        vm = rng.choice(VMS)
        if rng.random() < 0.1:
            cluster.replace(vm)
        else:
            cluster.use(vm)
    assert cluster.used <= QUANTITY


def test_one_vm_can_use_the_whole_quantity():
    cluster = QuantityCluster(random.Random(1))
    for _ in range(400):
        cluster.use("vm-1")
    assert cluster.used == QUANTITY


def test_refund_restores_the_remaining_quantity():
    table = counting.QuantityTable("vm-0")
    before = table.remaining("acme", MONTH, QUANTITY, VMS)
    table.consume("acme", MONTH)
    table.refund("acme", MONTH)
    assert table.remaining("acme", MONTH, QUANTITY, VMS) == before
