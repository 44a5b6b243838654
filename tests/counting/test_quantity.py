import random

import hypothesis
from hypothesis import strategies

from citrondoor import counting
from citrondoor.schema import messages

MONTH = "2026-12"
VMS = ["vm-0", "vm-1", "vm-2"]
QUANTITY = 50


class Fleet:
    """Three VMs that gossip sometimes and are replaced."""

    def __init__(self, rng):
        self.rng = rng
        self.tables = {vm: counting.QuantityTable(vm) for vm in VMS}
        self.used = 0

    def spread(self, vm: str) -> None:
        for other in self.tables.values():
            other.merge(self.tables[vm].all_uses())

    def use(self, vm: str) -> None:
        table = self.tables[vm]
        if table.remaining("acme", MONTH, QUANTITY, VMS) < 1:
            lender = self.rng.choice([v for v in VMS if v != vm])
            request = messages.QuantityRequest("acme", MONTH, vm, 5)
            gift = self.tables[lender].transfer(request, QUANTITY, VMS)
            if gift:
                self.spread(lender)
        if table.remaining("acme", MONTH, QUANTITY, VMS) >= 1:
            table.consume("acme", MONTH)
            # A use stands on peers before its answer leaves.
            self.spread(vm)
            self.used += 1

    def replace(self, vm: str) -> None:
        table = counting.QuantityTable(vm)
        for other, known in self.tables.items():
            if other != vm:
                table.merge(known.all_uses())
        self.tables[vm] = table


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_no_order_of_uses_and_replacements_exceeds_the_quantity(seed):
    rng = random.Random(seed)
    fleet = Fleet(rng)
    for _ in range(150):
        vm = rng.choice(VMS)
        if rng.random() < 0.1:
            fleet.replace(vm)
        else:
            fleet.use(vm)
    assert fleet.used <= QUANTITY


def test_all_of_it_can_be_used_at_one_vm():
    fleet = Fleet(random.Random(1))
    for _ in range(400):
        fleet.use("vm-1")
    assert fleet.used == QUANTITY


def test_a_use_that_was_not_counted_is_given_back():
    table = counting.QuantityTable("vm-0")
    before = table.remaining("acme", MONTH, QUANTITY, VMS)
    table.consume("acme", MONTH)
    table.refund("acme", MONTH)
    assert table.remaining("acme", MONTH, QUANTITY, VMS) == before
