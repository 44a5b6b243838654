"""Simulates the rate limiters of several daemons without sockets.

Lease messages between the daemons are delayed and lost at random. All times are
in ms of a simulated clock.
"""

import heapq
import itertools
import random

from citrondoor import declarations as declared
from citrondoor import limits
from citrondoor.schema import declarations

CUSTOMER = "acme"
# Rounds of `simulate_faults`; each has at most one fault and a period of load.
ROUND_COUNT = 12
VM_COUNT = 5
RATE_PER_S = 100.0
BURST = 20
# Same interval as in `engine/_leases.py`.
RENEWAL_INTERVAL_MS = 300


def make_catalogue(vm_count: int, revision: int) -> declared.Catalogue:
    """Returns declarations of entry VMs and one customer's contract.

    Args:
      vm_count: Number of entry VMs.
      revision: Revision of the document that declares the VMs.
    """
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
        declarations.Vm(f"vm-{number}", "za", "127.0.0.1", 1, 1)
        for number in range(vm_count)
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
    """Rate limiter tables of daemons whose messages are delayed and lost.

    Args:
      vm_count: Number of daemons.
      rng: Random generator for arrivals, delays and losses.
      loss_share: Share of messages that are lost.

    Attributes:
      admitted: Times of admitted requests.
      catalogue: The newest declarations; each daemon may have older ones.
      groups: Sets of VMs that exchange no messages with VMs outside the set.
      incarnations: Number of starts of each VM's daemon.
      loss_share: Share of messages that are lost.
      now: Current time of the simulated clock.
      refused: Number of refused requests.
      revisions: Revision of the declared VMs that each daemon applied last.
      rng: Random generator.
      tables: Limiter tables of the running daemons, by VM.
    """

    __slots__ = (
        "_events",
        "_order",
        "admitted",
        "catalogue",
        "groups",
        "incarnations",
        "loss_share",
        "now",
        "refused",
        "revisions",
        "rng",
        "tables",
    )

    def __init__(
        self, vm_count: int, rng: random.Random, loss_share: float = 0.0
    ):
        self.rng = rng
        self.loss_share = loss_share
        self.now = 0
        self.catalogue = make_catalogue(vm_count, 1)
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
        """Starts the next incarnation of a daemon with an empty table."""
        table = limits.RateLimiterTable(
            vm, self.now, lambda other: self.revisions.get(other, -1)
        )
        self.tables[vm] = table
        self.incarnations[vm] = self.incarnations.get(vm, 0) + 1
        self.set_catalogue(vm, self.catalogue)

    def set_catalogue(self, vm: str, catalogue: declared.Catalogue) -> None:
        """Applies declarations to one daemon."""
        self.tables[vm].set_catalogue(catalogue, self.now)
        self.revisions[vm] = catalogue.vms_revision

    def crash(self, vm: str) -> None:
        """Stops a daemon; its table is lost."""
        del self.tables[vm]

    def request(self, vm: str) -> bool:
        """Sends one request to a daemon; returns whether it was admitted."""
        limiter = self.tables[vm].limiter_of(CUSTOMER, self.now)
        if limiter.admit(self.now):
            self.admitted.append(self.now)
            return True
        self.refused += 1
        return False

    def run(self, until: int, load: dict[str, float]) -> None:
        """Advances the clock, with requests and lease renewals.

        Messages that would arrive after `until` are dropped.

        Args:
          until: Time at which to stop.
          load: Mean rate of requests by VM, in requests per second.
        """
        started_at = self.now
        for vm, rate_per_s in load.items():
            self._schedule(
                started_at, self._send_request, vm, rate_per_s, until
            )
        for vm in list(self.tables):
            self._schedule(started_at, self._renew_leases, vm, until)
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self._events.clear()
        self.now = until

    def _schedule(self, due_at: int, action, *arguments) -> None:
        heapq.heappush(
            self._events, (due_at, next(self._order), action, arguments)
        )

    def _send_request(self, vm: str, rate_per_s: float, until: int) -> None:
        if vm in self.tables:
            self.request(vm)
        interval_ms = max(1, round(self.rng.expovariate(rate_per_s) * 1000))
        self._schedule(
            self.now + interval_ms, self._send_request, vm, rate_per_s, until
        )

    def _renew_leases(self, vm: str, until: int) -> None:
        table = self.tables.get(vm)
        if table is None:
            return
        table.refill(self.now)
        for lender, requests in table.lease_requests(self.now).items():
            arguments = (vm, self.incarnations[vm], lender, requests, self.now)
            self._send(vm, lender, self._grant_leases, *arguments)
        self._schedule(
            self.now + RENEWAL_INTERVAL_MS, self._renew_leases, vm, until
        )

    def _send(self, sender: str, receiver: str, action, *arguments) -> None:
        is_cut = any(
            (sender in group) != (receiver in group) for group in self.groups
        )
        if not is_cut and self.rng.random() >= self.loss_share:
            delay_ms = self.rng.choice((1, 2, 5, 40, 400))
            self._schedule(self.now + delay_ms, action, *arguments)

    def _grant_leases(
        self, vm, incarnation, lender, requests, requested_at
    ) -> None:
        table = self.tables.get(lender)
        if table is None:
            return
        grants = [
            table.limiter_of(request.customer, self.now).grant_lease(
                vm, incarnation, request, self.now
            )
            for request in requests
        ]
        self._send(
            lender, vm, self._apply_grants, vm, lender, grants, requested_at
        )

    def _apply_grants(self, vm, lender, grants, requested_at) -> None:
        table = self.tables.get(vm)
        if table is None:
            return
        for grant in grants:
            limiter = table.limiter_of(grant.customer, self.now)
            limiter.apply_grant(lender, grant, requested_at, self.now)

    def max_contract_excess(self) -> float:
        """Returns the largest excess of admitted requests in any time window.

        A window of length t may admit burst + rate * t requests. The excess is
        0 when no window has more.
        """
        # The window from the i-th to the j-th admitted request exceeds the
        # contract by (j - i + 1) - burst - rate * (t_j - t_i). With
        # f(i) = i - rate * t_i, that is f(j) + 1 - f(i) - burst, which is
        # largest for the smallest f(i) with i <= j.
        max_excess = 0.0
        min_offset = float("inf")
        for index, admitted_at in enumerate(sorted(self.admitted)):
            offset = index - RATE_PER_S * admitted_at / 1000
            min_offset = min(min_offset, offset)
            max_excess = max(max_excess, offset + 1 - min_offset - BURST)
        return max_excess


def simulate_faults(rng: random.Random) -> RateSimulation:
    """Returns a simulation after random faults under random load.

    The faults are crashes, restarts, partitions, and changes of the declared
    VMs, which change the VMs that own shares of the customer's contract.
    """
    simulation = RateSimulation(
        VM_COUNT, rng, loss_share=rng.choice((0.0, 0.1, 0.5))
    )
    names = list(simulation.tables)
    revision = 1
    for _ in range(ROUND_COUNT):
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
            # Only some daemons apply the new declarations now, the others in a
            # later round or never.
            revision += 1
            simulation.catalogue = make_catalogue(
                rng.choice((3, 4, 5)), revision
            )
        _apply_catalogue_to_some(simulation, rng)
        load = {
            name: rng.choice((0.5, 50, 300))
            for name in simulation.tables
            if rng.random() < 0.7
        }
        simulation.run(simulation.now + rng.randrange(50, 2500), load)
    return simulation


def _apply_catalogue_to_some(
    simulation: RateSimulation, rng: random.Random
) -> None:
    for name in list(simulation.tables):
        if rng.random() < 0.5:
            simulation.set_catalogue(name, simulation.catalogue)
