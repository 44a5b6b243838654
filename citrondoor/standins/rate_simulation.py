"""A fleet of rate tables without sockets: messages are delayed and lost."""

import heapq
import itertools
import random

from citrondoor import declarations as declared
from citrondoor import limits
from citrondoor.schema import declarations

CUSTOMER = "acme"
ROUNDS = 12
VMS = 5
RATE_PER_S = 100.0
BURST = 20
ASK_EVERY_MS = 300


def catalogue_of(vms: int, revision: int) -> declared.Catalogue:
    """Returns declarations with some entry VMs and one customer."""
    contract = declarations.Contract(
        customer=CUSTOMER,
        key_digests=["0" * 64],
        backends=[],
        rate_per_s=RATE_PER_S,
        burst=BURST,
        monthly_quantity=0,
        max_shards=1,
        max_results=1,
        policy=declarations.AnswerPolicy(
            coverage_first=declarations.CoverageFirst()
        ),
    )
    zone = declarations.Zone("za", "north")
    members = [
        declarations.Vm(f"vm-{n}", "za", "127.0.0.1", 1, 1) for n in range(vms)
    ]
    documents = [
        declarations.Document("zones", 1, zones=declarations.Zones([zone])),
        declarations.Document("vms", revision, vms=declarations.Vms(members)),
        declarations.Document(
            "contracts/all", 1, contracts=declarations.Contracts([contract])
        ),
    ]
    return declared.Catalogue(documents)


class RateSimulation:
    """Daemons whose messages are delayed and lost.

    Args:
      vms: Number of daemons.
      rng: Random source.
      loss: Share of messages that are lost.
    """

    __slots__ = (
        "_events",
        "_order",
        "admitted",
        "catalogue",
        "groups",
        "incarnations",
        "loss",
        "now",
        "refused",
        "revisions",
        "rng",
        "tables",
    )

    def __init__(self, vms: int, rng: random.Random, loss: float = 0.0):
        self.rng = rng
        self.loss = loss
        self.now = 0
        self.catalogue = catalogue_of(vms, 1)
        self.revisions: dict[str, int] = {}
        self.tables: dict[str, limits.RateLimiterTable] = {}
        self.admitted: list[int] = []
        self.incarnations: dict[str, int] = {}
        self.refused = 0
        self.groups: list[set[str]] = []
        self._events: list[tuple] = []
        self._order = itertools.count()
        for name in self.catalogue.vms:
            self.start(name)

    def start(self, vm: str) -> None:
        """Starts a daemon, or its next incarnation."""
        table = limits.RateLimiterTable(
            vm, self.now, lambda other: self.revisions.get(other, -1)
        )
        self.tables[vm] = table
        self.incarnations[vm] = self.incarnations.get(vm, 0) + 1
        self.adopt(vm, self.catalogue)

    def adopt(self, vm: str, catalogue: declared.Catalogue) -> None:
        """Gives a daemon declarations."""
        self.tables[vm].set_catalogue(catalogue, self.now)
        self.revisions[vm] = catalogue.vms_revision

    def crash(self, vm: str) -> None:
        """Loses a daemon."""
        del self.tables[vm]

    def request(self, vm: str) -> bool:
        """Sends one request to a daemon; returns whether it was admitted."""
        rate = self.tables[vm].limiter_of(CUSTOMER, self.now)
        if rate.admit(self.now):
            self.admitted.append(self.now)
            return True
        self.refused += 1
        return False

    def run(self, until: int, load: dict[str, float]) -> None:
        """Runs with a load in requests a second for each VM."""
        start = self.now
        for vm, per_s in load.items():
            self._at(start, self._arrive, vm, per_s, until)
        for vm in list(self.tables):
            self._at(start, self._ask, vm, until)
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self._events.clear()
        self.now = until

    def _at(self, when: int, action, *arguments) -> None:
        heapq.heappush(
            self._events, (when, next(self._order), action, arguments)
        )

    def _arrive(self, vm: str, per_s: float, until: int) -> None:
        if vm in self.tables:
            self.request(vm)
        gap = max(1, round(self.rng.expovariate(per_s) * 1000))
        self._at(self.now + gap, self._arrive, vm, per_s, until)

    def _ask(self, vm: str, until: int) -> None:
        table = self.tables.get(vm)
        if table is None:
            return
        table.refill(self.now)
        for lender, requests in table.lease_requests(self.now).items():
            question = (vm, self.incarnations[vm], lender, requests, self.now)
            self._send(vm, lender, self._lend, *question)
        self._at(self.now + ASK_EVERY_MS, self._ask, vm, until)

    def _send(self, sender: str, receiver: str, action, *arguments) -> None:
        is_cut = any(
            (sender in group) != (receiver in group) for group in self.groups
        )
        if not is_cut and self.rng.random() >= self.loss:
            delay = self.rng.choice((1, 2, 5, 40, 400))
            self._at(self.now + delay, action, *arguments)

    def _lend(self, vm, incarnation, lender, requests, asked_at) -> None:
        table = self.tables.get(lender)
        if table is None:
            return
        grants = [
            table.limiter_of(r.customer, self.now).grant_lease(
                vm, incarnation, r, self.now
            )
            for r in requests
        ]
        self._send(lender, vm, self._receive, vm, lender, grants, asked_at)

    def _receive(self, vm, lender, grants, asked_at) -> None:
        table = self.tables.get(vm)
        if table is None:
            return
        for grant in grants:
            rate = table.limiter_of(grant.customer, self.now)
            rate.apply_grant(lender, grant, asked_at, self.now)

    def max_contract_excess(self) -> float:
        """Returns the most by which any window is over the contract."""
        # For windows from i to j: (j - i + 1) - burst - rate * (t_j - t_i).
        worst = 0.0
        least = float("inf")
        for index, at in enumerate(sorted(self.admitted)):
            start = index - RATE_PER_S * at / 1000
            least = min(least, start)
            worst = max(worst, start + 1 - least - BURST)
        return worst


def simulate_faults(rng: random.Random) -> RateSimulation:
    """Returns a fleet after crashes, restarts, cuts and changed homes."""
    simulation = RateSimulation(VMS, rng, loss=rng.choice((0.0, 0.1, 0.5)))
    names = list(simulation.tables)
    revision = 1
    for _ in range(ROUNDS):
        fault = rng.choice(("crash", "restart", "cut", "change", "heal"))
        vm = rng.choice(names)
        if (
            fault == "crash"
            and len(simulation.tables) > 1
            and vm in simulation.tables
        ):
            simulation.crash(vm)
        elif fault == "restart" and vm not in simulation.tables:
            simulation.start(vm)
        elif fault == "cut":
            simulation.groups = [set(rng.sample(names, 2))]
        elif fault == "heal":
            simulation.groups = []
        elif fault == "change":
            # Some daemons learn of the new VMs, the others later or never.
            revision += 1
            simulation.catalogue = catalogue_of(rng.choice((3, 4, 5)), revision)
        _spread(simulation, rng)
        load = {
            name: rng.choice((0.5, 50, 300))
            for name in simulation.tables
            if rng.random() < 0.7
        }
        simulation.run(simulation.now + rng.randrange(50, 2500), load)
    return simulation


def _spread(simulation: RateSimulation, rng: random.Random) -> None:
    for name in list(simulation.tables):
        if rng.random() < 0.5:
            simulation.adopt(name, simulation.catalogue)
