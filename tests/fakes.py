"""Fakes at the interfaces: a network between daemons, and searchers."""

import asyncio
import itertools
import random

import orjson

from citrondoor import clock as clocks
from citrondoor import configuration
from citrondoor import counting
from citrondoor import engine
from citrondoor import errors
from citrondoor import limits
from citrondoor import membership
from citrondoor import routing
from citrondoor import runs
from citrondoor import timeline
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings
from tests import samples

OUTCOME = messages.SubOutcome
UNIX_MS = 1_796_000_000_000


class FakeNetwork:
    """Carries questions between daemons of one process."""

    def __init__(self):
        self.peerings: dict[str, FakePeering] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.crashed_vms: set[str] = set()

    def is_up(self, one: str, other: str) -> bool:
        if one in self.crashed_vms or other in self.crashed_vms:
            return False
        return (
            other in self.peerings
            and frozenset((one, other)) not in self.cut_links
        )


class FakePeering:
    """Stands for the links of one daemon."""

    def __init__(self, network: FakeNetwork, vm: str):
        self.network = network
        self.vm = vm
        self.handlers: dict[type, object] = {}
        network.peerings[vm] = self

    @property
    def reachable_peers(self) -> list[str]:
        others = sorted(self.network.peerings)
        return [n for n in others if n != self.vm and self.link_to(n)]

    def register(self, kind: type, handler) -> None:
        self.handlers[kind] = handler

    def may_reach(self, vm: str) -> bool:
        return self.network.is_up(self.vm, vm)

    def link_to(self, vm: str):
        return vm if self.network.is_up(self.vm, vm) else None

    async def request(self, vm: str, message, timeout_ms: int = 0):
        await asyncio.sleep(0)
        if not self.network.is_up(self.vm, vm):
            raise errors.PeerUnreachableError(f"{vm} does not reply")
        handler = self.network.peerings[vm].handlers[type(message)]
        reply = await handler(message, self.vm)
        if not self.network.is_up(self.vm, vm):
            raise errors.PeerUnreachableError(f"{vm} does not reply")
        return reply


class FakeSearchers:
    """Answers calls at once, as it is told to."""

    def __init__(self):
        self.outcomes: dict[str, messages.SubOutcome] = {}
        self.calls: list[tuple[str, str]] = []
        self.records: dict[str, int] = {}
        self.release_event: asyncio.Event | None = None


class FakeLink:
    """Stands for the link to one searcher."""

    run_head = b""
    search_head = b""
    cancel_head = b""
    connection_count = 1
    is_cold = False

    def __init__(self, name: str, searchers: FakeSearchers):
        self.name = name
        self.searchers = searchers
        self.limiter = limits.ConcurrencyLimiter(10, 10, 10)
        self.tasks: set[asyncio.Task] = set()

    def is_usable(self, now: int) -> bool:
        return True

    def cancel(self, number: int) -> None:
        pass

    def submit(self, call, now: int) -> None:
        task = asyncio.ensure_future(self._answer(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, call) -> None:
        self.searchers.calls.append((self.name, call.customer))
        if self.searchers.release_event is not None:
            await self.searchers.release_event.wait()
        outcome = self.searchers.outcomes.get(self.name, OUTCOME.ANSWERED)
        call.deliver(self._sub_answer(call, outcome))

    def _sub_answer(self, call, outcome) -> messages.SubAnswer:
        answer = messages.SubAnswer(call.number, outcome)
        if outcome != OUTCOME.ANSWERED:
            return answer
        body = call.payload.split(b"\r\n\r\n", 1)[1]
        content = orjson.loads(body)
        if "body" in content:
            answer.result = f"did {content['body']}"
            return answer
        answer.snapshot = content["snapshot"]
        answer.shards = [
            messages.ShardAnswer(
                name, self.searchers.records[name], [1.0], [f"{name}-r"]
            )
            for name in content["shards"]
        ]
        return answer


class FakePool:
    """Stands for the links to all searchers."""

    def __init__(self, searchers: FakeSearchers):
        self.searchers = searchers
        self.links: dict[str, FakeLink] = {}
        self._latencies = {}

    def latencies_of(self, backend: str):
        return self._latencies.setdefault(backend, routing.SearcherLatencies())

    def set_catalogue(self, catalogue) -> None:
        self.links = {
            name: FakeLink(name, self.searchers)
            for name in catalogue.searchers
            if catalogue.is_searcher_in_service(name)
        }


class InProcessDaemon:
    """All parts of a daemon but its sockets."""

    def __init__(
        self,
        vm: str,
        network: FakeNetwork,
        searchers: FakeSearchers,
        clock: clocks.ManualClock,
        documents,
        incarnation: int = 1,
    ):
        self.vm = vm
        self.clock = clock
        self.network = network
        network.crashed_vms.discard(vm)
        rng = random.Random(vm)
        events = timeline.Recorder(vm, incarnation, clock, lambda event: None)
        settings = schema_settings.PeerSettings(key="00")
        self.members = membership.Members(
            vm, incarnation, settings, events.record
        )
        pause_detector = membership.PauseDetector(1000, 2000, events.record)
        zone = next(
            v.zone
            for d in documents
            if d.vms
            for v in d.vms.vms
            if v.name == vm
        )
        self.view = engine.ClusterView(
            vm, zone, clock, self.members, pause_detector, events
        )
        self.peering = FakePeering(network, vm)
        self.rates = limits.RateLimiterTable(
            vm, clock.now(), lambda other: 1 << 40
        )
        leases = engine.RateLeaseManager(self.view, self.peering, self.rates)
        self.ledger = counting.Ledger()
        self.table = counting.QuantityTable(vm)
        self.counts = engine.CountReplicator(
            self.view, self.peering, self.ledger, self.table, rng
        )
        quantities = engine.QuantityManager(
            self.view, self.peering, self.table, self.counts, self.rates
        )
        quantities.is_synced = True
        self.admission = engine.Admission(
            self.view, self.rates, leases, quantities, 100
        )
        self.admission.state = engine.AdmissionState.OPEN
        self.pool = FakePool(searchers)
        self.search_engine = engine.SearchEngine(
            self.view,
            self.pool,
            schema_settings.UpstreamSettings(),
            rng,
            1,
        )
        run_engine = engine.RunEngine(
            self.view,
            self.peering,
            self.search_engine,
            self.admission,
            self.counts,
            runs.Arbiter(),
            incarnation,
        )
        self.sessions = runs.SessionIssuer(vm, incarnation)
        self.service = engine.Service(
            self.view,
            self.admission,
            self.search_engine,
            run_engine,
            self.counts,
            self.sessions,
            rng,
        )
        self.store = configuration.Store()
        self.apply_documents(documents)
        pause_detector.check_view(clock.now())
        pause_detector.confirm_view(clock.now(), clock.now())

    def apply_documents(self, documents) -> None:
        self.store.offer(documents)
        catalogue = self.store.catalogue
        self.view.set_catalogue(catalogue)
        now = self.clock.now()
        self.members.set_declared(list(catalogue.vms), 1, now)
        for name in catalogue.vms:
            if name != self.vm:
                member = messages.Member(name, 1, 0, 1, 1)
                self.members.on_heartbeat(member, [], now)
        self.rates.set_catalogue(catalogue, now)
        self.pool.set_catalogue(catalogue)
        self.search_engine.set_catalogue(catalogue)


class FakeCluster:
    """Three daemons in three zones, with filled tokens."""

    def __init__(self, documents=None):
        self.clock = clocks.ManualClock(1000, UNIX_MS)
        self.network = FakeNetwork()
        self.searchers = FakeSearchers()
        self.documents = documents or cluster_documents()
        for document in self.documents:
            if document.snapshots:
                for snapshot in document.snapshots.snapshots:
                    for shard in snapshot.shards:
                        self.searchers.records[shard.name] = shard.records
        self.daemons = {
            vm: self._make(vm, 1) for vm in ("vm-0", "vm-1", "vm-2")
        }
        self.numbers = itertools.count(1)
        self.fill_token_buckets()

    def _make(self, vm: str, incarnation: int) -> InProcessDaemon:
        return InProcessDaemon(
            vm,
            self.network,
            self.searchers,
            self.clock,
            self.documents,
            incarnation,
        )

    def fill_token_buckets(self) -> None:
        """Lets time pass in steps that are no pauses, so that buckets fill."""
        for _ in range(40):
            self.clock.advance(100)
            for daemon in self.daemons.values():
                daemon.rates.refill(self.clock.now())
                daemon.view.pause_detector.check_view(self.clock.now())

    def restart(self, vm: str, incarnation: int) -> None:
        self.daemons[vm] = self._make(vm, incarnation)
        self.fill_token_buckets()

    def crash(self, vm: str) -> None:
        self.network.crashed_vms.add(vm)

    def search_request(self, session: str = "s", number: int = 0):
        return messages.SearchRequest(
            messages.RequestId(session, number or next(self.numbers)),
            "desk",
            "q",
            10,
            [],
            self.clock.now() + 1000,
        )

    def run_request(self, session: str, number: int = 1):
        return messages.RunRequest(
            messages.RequestId(session, number),
            "notices",
            "a notice",
            self.clock.now() + 1000,
        )

    def request_total(self, vm: str = "vm-0") -> int:
        month = clocks.month_of(self.clock.unix_ms())
        found = self.daemons[vm].ledger.totals(month)
        return sum(total.requests for total in found)


def cluster_documents():
    documents = samples.documents()
    kind = samples.declarations.BackendKind.RUN
    notices = samples.backend("notices", 2, kind)
    for searcher in notices.searchers:
        searcher.port += 100
    documents.append(
        samples.declarations.Document("backends/notices", 1, backend=notices)
    )
    documents[4].contracts.contracts[0].backends.append("notices")
    return documents
