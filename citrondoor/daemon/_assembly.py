"""Builds the parts of a daemon and runs them."""

import asyncio
import random
import signal

import structlog

from citrondoor import clock as clocks
from citrondoor import configuration
from citrondoor import counting
from citrondoor import declarations as declared
from citrondoor import engine
from citrondoor import errors
from citrondoor import front
from citrondoor import limits
from citrondoor import links
from citrondoor import membership
from citrondoor import rendezvous
from citrondoor import runs
from citrondoor import telemetry
from citrondoor import timeline
from citrondoor.daemon import _counters
from citrondoor.daemon import _lifecycle
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

TICK_MS = 100
ATTEMPT_BITS = 20
JOIN_POLL_MS = 50
# Tokens fill for this long before callers are sent here.
FILL_MS = 300
# A daemon that hears of no peer in this time takes itself for the first one.
LONELY_MS = 2000
# A peer that is this much older makes the fleet one that serves already.
FLEET_AGE_MS = 5000


class Daemon:
    """All parts of one daemon.

    Args:
      settings: Checked settings.
      clock: Clock of the daemon.
      rng: Random source.
      connector: Opens connections to peers; tests cut links here.
    """

    __slots__ = (
        "_admission",
        "_clock",
        "_configuration",
        "_counts",
        "_front",
        "_incarnation",
        "_is_joined",
        "_leases",
        "_lifecycle",
        "_log",
        "_new_searchers",
        "_peering",
        "_platform",
        "_pool",
        "_quantities",
        "_rates",
        "_recorder",
        "_rng",
        "_run_engine",
        "_search_engine",
        "_service",
        "_settings",
        "_started_at",
        "_stop_signals",
        "_stopping",
        "_tasks",
        "_view",
        "_warmup",
        "_warmup_leases",
    )

    def __init__(
        self,
        settings: schema_settings.DaemonSettings,
        clock: clocks.Clock,
        rng: random.Random,
        connector=asyncio.open_connection,
    ):
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._log = structlog.get_logger(vm=settings.vm)
        self._incarnation = clock.wall()
        self._started_at = clock.now()
        self._is_joined = False
        self._new_searchers: list[str] = []
        self._tasks: list[asyncio.Task] = []
        self._stopping = asyncio.Event()
        self._stop_signals = 0
        self._build_view()
        self._build_peering(connector)
        self._build_limits()
        self._build_engines()
        self._build_front()

    async def run(self) -> None:
        """Joins, serves until a signal, and leaves."""
        self._handle_signals()
        self._lifecycle.join()
        settings = self._settings
        await self._peering.start(settings.address, settings.peer_port)
        await self._front.start()
        self._start_task(self._configuration.run())
        self._start_task(self._tick_forever())
        self._start_task(self._leases.run())
        self._start_task(self._warmup_leases.run())
        await self._join()
        if not self._stopping.is_set():
            self._start_task(self._counts.run())
            self._admission.state = engine.AdmissionState.OPEN
            self._lifecycle.serve()
            await self._stopping.wait()
        await self._leave()

    def _build_view(self) -> None:
        settings = self._settings
        self._recorder = timeline.Recorder(
            settings.vm, self._incarnation, self._clock, self._log_event
        )
        record = self._recorder.record
        self._lifecycle = _lifecycle.Lifecycle(record)
        members = membership.Members(
            settings.vm, self._incarnation, settings.peers, record
        )
        pause_detector = membership.PauseDetector(
            settings.pause_ms, settings.confirm_timeout_ms, record
        )
        self._view = engine.ClusterView(
            settings.vm,
            settings.zone,
            self._clock,
            members,
            pause_detector,
            self._recorder,
        )
        self._warmup = limits.WarmupLimiter(
            settings.vm, self._on_cold, self._on_lease_wanted
        )

    def _build_peering(self, connector) -> None:
        settings = self._settings
        link_settings = links.PeerSettings(
            settings.vm,
            self._incarnation,
            bytes.fromhex(settings.peers.key),
            settings.peers.max_frame_bytes,
            settings.peers.request_timeout_ms,
        )
        self._peering = engine.Peering(
            self._view,
            self._warmup,
            settings.peers,
            link_settings,
            connector,
            settings.seeds,
        )
        self._platform = links.PlatformClient(settings.platform)
        self._configuration = engine.ConfigurationSynchronizer(
            self._view,
            configuration.Store(),
            self._platform,
            self._peering,
            settings.platform,
        )
        self._view.subscribe(self._on_catalogue)

    def _build_limits(self) -> None:
        self._rates = limits.RateLimiterTable(
            self._settings.vm,
            self._started_at,
            self._view.members.applied_revision_of,
        )
        self._leases = engine.RateLeaseManager(
            self._view, self._peering, self._rates
        )
        table = counting.QuantityTable(self._settings.vm)
        self._counts = engine.CountReplicator(
            self._view,
            self._peering,
            counting.Ledger(),
            table,
            self._rng,
        )
        self._quantities = engine.QuantityManager(
            self._view, self._peering, table, self._counts, self._rates
        )
        self._admission = engine.Admission(
            self._view,
            self._rates,
            self._leases,
            self._quantities,
            self._settings.callers.max_concurrent,
        )

    def _build_engines(self) -> None:
        settings = self._settings
        self._pool = links.UpstreamPool(
            settings.vm,
            settings.upstreams,
            self._warmup,
            self._clock,
            self._view.pause_detector.check_view,
        )
        self._warmup_leases = engine.WarmupLeaseManager(
            self._view, self._peering, self._warmup, self._pool.in_flight
        )
        self._search_engine = engine.SearchEngine(
            self._view,
            self._pool,
            settings.upstreams,
            self._rng,
            self._first_attempt(),
        )
        self._run_engine = engine.RunEngine(
            self._view,
            self._peering,
            self._search_engine,
            self._admission,
            self._counts,
            runs.Arbiter(),
            self._incarnation,
        )
        self._service = engine.Service(
            self._view,
            self._admission,
            self._search_engine,
            self._run_engine,
            self._counts,
            runs.SessionIssuer(settings.vm, self._incarnation),
            self._rng,
        )

    def _first_attempt(self) -> int:
        # The high 32 bits differ between incarnations; with the low bits the
        # number still fits an exact JSON number.
        name = f"{self._settings.vm}/{self._incarnation}"
        high = rendezvous.score("attempt", name) >> 32
        return high << ATTEMPT_BITS

    def _build_front(self) -> None:
        settings = self._settings
        metrics = telemetry.Metrics(settings.vm, settings.zone)
        counters = _counters.collect(
            self._search_engine,
            self._run_engine,
            self._counts,
            self._peering,
            self._pool,
            self._platform,
            self._configuration,
            self._warmup,
            self._admission,
        )
        for counter in counters:
            add = metrics.add_gauge if counter.is_gauge else metrics.add_counter
            add(f"citrondoor.{counter.name}", counter.description, counter.read)
        status = front.StatusReporter(
            self._view,
            self._pool,
            self._incarnation,
            lambda: self._lifecycle.state,
            lambda: self._configuration.store.revision,
            {counter.name: counter.read for counter in counters},
        )
        parts = front.ApiHandlers(
            self._service,
            status,
            metrics,
            self._clock,
            settings.callers,
            settings.operator_key_digest,
        )
        self._front = front.ApiServer(
            front.make_app(parts),
            settings.address,
            settings.http_port,
            settings.callers,
        )

    def _on_cold(self) -> None:
        # The others send to this searcher as well, until they know.
        self._peering.send_heartbeats_soon()

    def _on_lease_wanted(self) -> None:
        self._warmup_leases.signal_demand()

    def _on_catalogue(self, catalogue: declared.Catalogue) -> None:
        now = self._clock.now()
        self._peering.set_catalogue(catalogue)
        self._rates.set_catalogue(catalogue, now)
        new_searchers = self._pool.set_catalogue(catalogue)
        self._search_engine.set_catalogue(catalogue)
        if self._is_joined:
            self._mark_cold(new_searchers)
        else:
            self._new_searchers += new_searchers

    def _mark_cold(self, searchers: list[str]) -> None:
        for name in searchers:
            self._warmup.mark_cold(name, self._clock.wall(), self._clock.now())
        if searchers:
            self._recorder.record(
                "searchers_cold", f"{len(searchers)} came into service"
            )

    async def _join(self) -> None:
        """Waits for configuration, peers, counts, and old leases to end."""
        while not self._has_view() and not self._stopping.is_set():
            await asyncio.sleep(JOIN_POLL_MS / clocks.MS_PER_S)
        if not self._is_fleet_serving():
            # Nobody can say which searchers are warm.
            self._mark_cold(self._new_searchers)
        self._is_joined = True
        await self._counts.sync_from_peers()
        self._quantities.is_synced = True
        hold_until = self._started_at + limits.STARTUP_LEASE_WAIT_MS + FILL_MS
        while self._clock.now() < hold_until and not self._stopping.is_set():
            await asyncio.sleep(JOIN_POLL_MS / clocks.MS_PER_S)

    def _has_view(self) -> bool:
        if self._settings.vm not in self._view.catalogue.vms:
            return False
        others = set(self._view.catalogue.vms) - {self._settings.vm}
        heard = {member.vm for member in self._view.members.all_members}
        is_alone = self._clock.now() - self._started_at > LONELY_MS
        return others <= heard or is_alone

    def _is_fleet_serving(self) -> bool:
        oldest = min(
            member.incarnation
            for member in self._view.members.all_members
            if member.state != messages.MemberState.DEAD
        )
        return oldest < self._incarnation - FLEET_AGE_MS

    async def _tick_forever(self) -> None:
        while True:
            now = self._clock.now()
            self._view.pause_detector.check_view(now)
            self._peering.tick(now)
            self._pool.sweep(now)
            self._rates.refill(now)
            if self._view.members.is_superseded:
                raise errors.InvariantError(
                    f"a later incarnation of {self._settings.vm!r} serves;"
                    " give each VM a name of its own"
                )
            await asyncio.sleep(TICK_MS / clocks.MS_PER_S)

    async def _leave(self) -> None:
        """Leaves the entries first, then the callers, then the peers."""
        self._lifecycle.leave()
        self._view.members.set_leaving()
        # Callers may use an answer of /v1/entries until it expires.
        ttl_ms = self._settings.callers.entries_ttl_ms
        await self._wait_or_second_signal(ttl_ms)
        self._admission.state = engine.AdmissionState.LEAVING
        await self._wait_for_requests()
        await self._run_engine.drain()
        await self._counts.push_to_peers()
        await self._front.close()
        for task in self._tasks:
            task.cancel()
        self._pool.close()
        await self._peering.close()
        await self._platform.close()
        self._lifecycle.stop()

    async def _wait_or_second_signal(self, ms: int) -> None:
        until = self._clock.now() + ms
        while self._clock.now() < until and self._stop_signals < 2:
            await asyncio.sleep(JOIN_POLL_MS / clocks.MS_PER_S)

    async def _wait_for_requests(self) -> None:
        while self._admission.in_flight:
            await asyncio.sleep(JOIN_POLL_MS / clocks.MS_PER_S)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    def _on_signal(self) -> None:
        self._stop_signals += 1
        self._stopping.set()

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._on_task_end)
        self._tasks.append(task)

    def _on_task_end(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # A daemon without one of its parts would break promises quietly.
        self._log.error("part_failed", error=str(task.exception()))
        self._recorder.record("part_failed", str(task.exception()))
        self._stopping.set()

    def _log_event(self, event: messages.Event) -> None:
        self._log.info(event.kind, detail=event.detail)
