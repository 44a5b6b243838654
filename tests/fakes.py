"""Fakes of the peer network, of searchers and of a cluster of daemons."""

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
INITIAL_UNIX_MS = 1_796_000_000_000


class FakeNetwork:
    """Connects the daemons of one process.

    Attributes:
      peerings: The peering of each VM, by VM name.
      cut_links: Pairs of VMs that can't reach each other.
      crashed_vms: VMs that no other VM can reach.
    """

    def __init__(self):
        self.peerings: dict[str, FakePeering] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.crashed_vms: set[str] = set()

    def is_connected(self, vm: str, other_vm: str) -> bool:
        if vm in self.crashed_vms or other_vm in self.crashed_vms:
            return False
        return (
            other_vm in self.peerings
            and frozenset((vm, other_vm)) not in self.cut_links
        )


class FakePeering:
    """Fake of `engine.Peering`: calls the handlers of the other daemons."""

    def __init__(self, network: FakeNetwork, vm: str):
        self.network = network
        self.vm = vm
        self.handlers: dict[type, object] = {}
        network.peerings[vm] = self

    @property
    def reachable_peers(self) -> list[str]:
        all_vms = sorted(self.network.peerings)
        return [vm for vm in all_vms if vm != self.vm and self.link_to(vm)]

    def register(self, message_type: type, handler) -> None:
        self.handlers[message_type] = handler

    def may_reach(self, vm: str) -> bool:
        return self.network.is_connected(self.vm, vm)

    def link_to(self, vm: str):
        return vm if self.network.is_connected(self.vm, vm) else None

    async def request(self, vm: str, message, timeout_ms: int = 0):
        await asyncio.sleep(0)
        if not self.network.is_connected(self.vm, vm):
            raise errors.PeerUnreachableError(f"{vm} is unreachable")
        handler = self.network.peerings[vm].handlers[type(message)]
        reply = await handler(message, self.vm)
        if not self.network.is_connected(self.vm, vm):
            raise errors.PeerUnreachableError(f"{vm} is unreachable")
        return reply


class FakeSearchers:
    """Behaviour and record of the calls of all fake searchers.

    Attributes:
      outcomes: Outcome of each call, by searcher name; by default ANSWERED.
      calls: Searcher name and customer of each call, in order of arrival.
      records: Number of records of each shard, by shard name.
      release_event: If set, calls are answered only after this event.
    """

    def __init__(self):
        self.outcomes: dict[str, messages.SubOutcome] = {}
        self.calls: list[tuple[str, str]] = []
        self.records: dict[str, int] = {}
        self.release_event: asyncio.Event | None = None


class FakeLink:
    """Fake link to one searcher, which answers calls without a connection."""

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
    """Fake pool of links to all searchers in service."""

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
    """All parts of a daemon except its sockets and timers."""

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
            declared.zone
            for document in documents
            if document.vms
            for declared in document.vms.vms
            if declared.name == vm
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
    """Three daemons in three zones, with filled token buckets."""

    def __init__(self, documents=None):
        self.clock = clocks.ManualClock(1000, INITIAL_UNIX_MS)
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
        """Advances the clock by 4 s, so that the token buckets fill.

        Steps of 100 ms are too short to count as a pause of the process.
        """
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
        totals = self.daemons[vm].ledger.totals(month)
        return sum(total.requests for total in totals)


def cluster_documents():
    """Returns the sample documents plus a back end `notices` for runs."""
    documents = samples.documents()
    run_kind = samples.declarations.BackendKind.RUN
    notices = samples.backend("notices", 2, run_kind)
    for searcher in notices.searchers:
        searcher.port += 100
    documents.append(
        samples.declarations.Document("backends/notices", 1, backend=notices)
    )
    documents[4].contracts.contracts[0].backends.append("notices")
    return documents
