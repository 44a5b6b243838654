"""Builds the components of a `Daemon` and runs them."""

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
from citrondoor import signals
from citrondoor import telemetry
from citrondoor import timeline
from citrondoor.daemon import _counters
from citrondoor.daemon import _descriptors
from citrondoor.daemon import _lifecycle
from citrondoor.daemon import _shutdown_step
from citrondoor.daemon import _supervisor
from citrondoor.daemon import endings
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

# Interval of timeouts and token refills. Must be shorter than the setting
# `pause_ms`: the pause detector takes a longer gap between ticks for a pause.
TICK_MS = 100
# The first sub-request's number is a multiple of 2**ATTEMPT_BITS. At most 21:
# the hash above these bits has 32, and a JSON number holds 53 bits exactly.
ATTEMPT_BITS = 20
# Interval at which a starting or stopping daemon checks what it waits for.
POLL_INTERVAL_MS = 50
# Token buckets start empty. They fill for this long before the daemon accepts
# requests, so that the first callers aren't rejected for their rate.
TOKEN_FILL_MS = 300
# Longest wait for a record of every declared VM. After it the daemon joins
# without the missing ones; without any, it assumes that it is the first daemon.
DISCOVERY_TIMEOUT_MS = 2000
# The cluster counts as serving if a peer started this long before this daemon.
MIN_CLUSTER_AGE_MS = 5000
# Time limit of each step of a shutdown, and what the steps that wait for
# callers' requests have beyond the latest deadline of one.
STEP_LIMIT_MS = 5000


class Daemon:
    """The daemon that `citrondoord` runs, with all its components.

    Args:
      settings: Checked settings.
      clock: Clock of the daemon.
      rng: Random number generator.
      connector: Opens connections to peers, as `links.open_connection` does;
        tests pass one that cuts links.
    """

    __slots__ = (
        "_account",
        "_admission",
        "_api_server",
        "_clock",
        "_configuration_synchronizer",
        "_count_replicator",
        "_ending",
        "_incarnation",
        "_initial_searchers",
        "_lifecycle",
        "_listeners",
        "_log",
        "_marks_new_searchers_cold",
        "_parts",
        "_peering",
        "_platform",
        "_pool",
        "_quantities",
        "_rate_leases",
        "_rate_limiters",
        "_recorder",
        "_rng",
        "_run_engine",
        "_search_engine",
        "_service",
        "_settings",
        "_started_at",
        "_stop_signal_count",
        "_stopping",
        "_view",
        "_warmup",
        "_warmup_leases",
    )

    def __init__(
        self,
        settings: schema_settings.DaemonSettings,
        clock: clocks.Clock,
        rng: random.Random,
        connector=links.open_connection,
    ):
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._log = structlog.get_logger(vm=settings.vm)
        self._incarnation = clock.unix_ms()
        self._started_at = clock.now()
        self._marks_new_searchers_cold = False
        self._initial_searchers: list[str] = []
        self._stopping = asyncio.Event()
        self._ending: endings.Ending | None = None
        self._parts = _supervisor.Parts(
            clock, self._report_part, self._on_part_end
        )
        self._stop_signal_count = 0
        self._listeners = links.Listeners(clock, self._log.info)
        self._account = limits.MemoryAccount(limits.kept_limit_bytes(settings))
        self._build_view()
        self._build_peering(connector)
        self._build_limits()
        self._build_engines()
        self._build_api_server()

    async def run(self) -> endings.ExitCode:
        """Joins the cluster, serves until SIGTERM or SIGINT, and shuts down.

        The last log line, `ended`, says why. Afterwards the signals are
        blocked, because the event loop removes their handlers when it closes.
        """
        try:
            await self._run()
        except Exception as error:
            self._ending = endings.of_error(self._lifecycle.state, error)
        finally:
            signals.block()
        self._log.info("ended", **self._ending.fields)
        return self._ending.code

    async def _run(self) -> None:
        self._handle_signals()
        self._lifecycle.join()
        settings = self._settings
        # Before the first outgoing connection: it could get one of the ports.
        address = settings.address
        self._listeners.open(
            "peers", address, settings.peer_port, self._peering.server.serve
        )
        self._listeners.open(
            "api", address, settings.http_port, self._api_server.serve
        )
        self._peering.connect()
        self._parts.start("configuration", self._configuration_synchronizer.run)
        self._parts.start("tick", self._tick_forever)
        self._parts.start("rate_leases", self._rate_leases.run)
        self._parts.start("warmup_leases", self._warmup_leases.run)
        await self._join()
        if not self._stopping.is_set():
            self._parts.start("count_replication", self._count_replicator.run)
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
            self._account,
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
        self._configuration_synchronizer = engine.ConfigurationSynchronizer(
            self._view,
            configuration.Store(),
            self._platform,
            self._peering,
            settings.platform,
        )
        self._view.subscribe(self._on_catalogue)

    def _build_limits(self) -> None:
        self._rate_limiters = limits.RateLimiterTable(
            self._settings.vm,
            self._started_at,
            self._view.members.applied_revision_of,
        )
        self._rate_leases = engine.RateLeaseManager(
            self._view, self._peering, self._rate_limiters
        )
        table = counting.QuantityTable(self._settings.vm)
        self._count_replicator = engine.CountReplicator(
            self._view,
            self._peering,
            counting.Ledger(),
            table,
            self._rng,
        )
        self._quantities = engine.QuantityManager(
            self._view,
            self._peering,
            table,
            self._count_replicator,
            self._rate_limiters,
        )
        self._admission = engine.Admission(
            self._view,
            self._rate_limiters,
            self._rate_leases,
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
            self._count_replicator,
            runs.Arbiter(),
            self._incarnation,
        )
        self._service = engine.Service(
            self._view,
            self._admission,
            self._search_engine,
            self._run_engine,
            self._count_replicator,
            runs.SessionIssuer(settings.vm, self._incarnation),
            self._rng,
        )

    def _first_attempt(self) -> int:
        # Starts numbering sub-requests at a 32-bit hash of the incarnation, so
        # that two daemons are unlikely to use the same numbers. The first has
        # up to 52 bits, which a JSON number can hold exactly.
        name = f"{self._settings.vm}/{self._incarnation}"
        incarnation_hash = rendezvous.score("attempt", name) >> 32
        return incarnation_hash << ATTEMPT_BITS

    def _build_api_server(self) -> None:
        settings = self._settings
        metrics = telemetry.Metrics(settings.vm, settings.zone)
        shares = limits.DescriptorShares(_descriptors.raise_limit(), 0)
        bound = shares.bounds()["front"]
        counters = _counters.collect(
            self._search_engine,
            self._run_engine,
            self._count_replicator,
            self._peering,
            self._pool,
            self._platform,
            self._configuration_synchronizer,
            self._warmup,
            self._admission,
            bound,
            self._account,
        )
        for counter in counters:
            add_metric = (
                metrics.add_gauge if counter.is_gauge else metrics.add_counter
            )
            add_metric(
                f"citrondoor.{counter.name}", counter.description, counter.read
            )
        status = front.StatusReporter(
            self._view,
            self._pool,
            self._incarnation,
            lambda: self._lifecycle.state,
            lambda: self._configuration_synchronizer.store.revision,
            {counter.name: counter.read for counter in counters},
        )
        handlers = front.ApiHandlers(
            self._service,
            status,
            metrics,
            self._clock,
            settings.callers,
            settings.operator_key_digest,
            self._account,
        )
        self._api_server = front.ApiServer(
            front.make_app(handlers),
            settings.callers,
            bound,
            front.turn_away,
        )

    def _on_cold(self) -> None:
        # Peers don't limit their calls to the cold searcher until a heartbeat
        # tells them that it is cold.
        self._peering.send_heartbeats_soon()

    def _on_lease_wanted(self) -> None:
        self._warmup_leases.signal_demand()

    def _on_catalogue(self, catalogue: declared.Catalogue) -> None:
        now = self._clock.now()
        self._peering.set_catalogue(catalogue)
        self._rate_limiters.set_catalogue(catalogue, now)
        new_searchers = self._pool.set_catalogue(catalogue)
        self._search_engine.set_catalogue(catalogue)
        if self._marks_new_searchers_cold:
            self._mark_cold(new_searchers)
        else:
            self._initial_searchers += new_searchers

    def _mark_cold(self, searchers: list[str]) -> None:
        for name in searchers:
            self._warmup.mark_cold(
                name, self._clock.unix_ms(), self._clock.now()
            )
        if searchers:
            self._recorder.record(
                "searchers_cold",
                f"{len(searchers)} searchers came into service",
            )

    async def _join(self) -> None:
        """Prepares this daemon to accept requests.

        Waits for the configuration and records of the peers, syncs the counts,
        waits until the leases of a previous incarnation have ended, and lets
        the token buckets fill.
        """
        while not self._can_serve() and not self._stopping.is_set():
            await asyncio.sleep(POLL_INTERVAL_MS / clocks.MS_PER_S)
        if not self._is_cluster_serving():
            # No peer knows which searchers are warm, so all start cold.
            self._mark_cold(self._initial_searchers)
        self._marks_new_searchers_cold = True
        await self._count_replicator.sync_from_peers()
        self._quantities.is_synced = True
        ready_at = (
            self._started_at + limits.STARTUP_LEASE_WAIT_MS + TOKEN_FILL_MS
        )
        while self._clock.now() < ready_at and not self._stopping.is_set():
            await asyncio.sleep(POLL_INTERVAL_MS / clocks.MS_PER_S)

    def _can_serve(self) -> bool:
        return (
            self._listeners.is_listening("api")
            and self._listeners.is_listening("peers")
            and self._is_view_ready()
        )

    def _is_view_ready(self) -> bool:
        if self._settings.vm not in self._view.catalogue.vms:
            return False
        declared_peers = set(self._view.catalogue.vms) - {self._settings.vm}
        known_vms = {member.vm for member in self._view.members.all_members}
        has_timed_out = (
            self._clock.now() - self._started_at > DISCOVERY_TIMEOUT_MS
        )
        return declared_peers <= known_vms or has_timed_out

    def _is_cluster_serving(self) -> bool:
        # An incarnation is the Unix time in ms at which its daemon started.
        first_incarnation = min(
            member.incarnation
            for member in self._view.members.all_members
            if member.state != messages.MemberState.DEAD
        )
        return first_incarnation < self._incarnation - MIN_CLUSTER_AGE_MS

    async def _tick_forever(self) -> None:
        while True:
            now = self._clock.now()
            self._view.pause_detector.check_view(now)
            self._peering.tick(now)
            self._pool.sweep(now)
            self._rate_limiters.refill(now)
            if self._view.members.is_superseded:
                self._on_superseded()
            await asyncio.sleep(TICK_MS / clocks.MS_PER_S)

    def _on_superseded(self) -> None:
        """Takes over from a predecessor; ends if a later start took over.

        Peers may name a later incarnation while this daemon joins, because the
        time of day was set back after its predecessor had started. The next
        process would meet the same.
        """
        if self._lifecycle.state == "joining":
            self._log.warning("incarnation_raised", vm_name=self._settings.vm)
            self._view.members.raise_incarnation()
            return
        raise errors.InvariantError(
            f"a later incarnation of {self._settings.vm!r} is running;"
            " give each VM a unique name"
        )

    async def _leave(self) -> None:
        """Shuts down after requests have ended and their counts are copied.

        First announces the departure, so that peers leave this daemon out of
        /v1/entries. Goes on accepting requests for `entries_ttl_ms` or until a
        second signal; then rejects new ones, waits for those in flight, copies
        the counts to the peers, and closes the links.
        """
        self._lifecycle.leave()
        self._listeners.cancel()
        self._view.members.set_leaving()
        # Callers may send requests here until the response of /v1/entries that
        # they use expires.
        ttl_ms = self._settings.callers.entries_ttl_ms
        await self._wait_until_second_signal(ttl_ms)
        self._admission.state = engine.AdmissionState.LEAVING
        ends_at = self._clock.now() + self._settings.callers.max_deadline_ms
        await self._finish("requests", self._wait_for_requests(), ends_at)
        await self._finish("runs", self._run_engine.drain(), ends_at)
        await self._finish("counts", self._count_replicator.push_to_peers())
        await self._finish("api", self._api_server.close())
        self._parts.cancel()
        self._pool.close()
        await self._finish("peers", self._peering.close())
        await self._finish("platform", self._platform.close())
        self._lifecycle.stop()

    async def _finish(self, name: str, step, ends_at: int = 0) -> None:
        remaining_ms = max(0, ends_at - self._clock.now())
        await _shutdown_step.run(
            name, remaining_ms + STEP_LIMIT_MS, step, self._log.warning
        )

    async def _wait_until_second_signal(self, timeout_ms: int) -> None:
        ends_at = self._clock.now() + timeout_ms
        while self._clock.now() < ends_at and self._stop_signal_count < 2:
            await asyncio.sleep(POLL_INTERVAL_MS / clocks.MS_PER_S)

    async def _wait_for_requests(self) -> None:
        while self._admission.in_flight:
            await asyncio.sleep(POLL_INTERVAL_MS / clocks.MS_PER_S)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            ending = endings.of_signal(signal_number.name)
            loop.add_signal_handler(signal_number, self._on_signal, ending)
        loop.add_signal_handler(signal.SIGHUP, self._on_hangup)
        signals.allow_floods()
        signals.unblock()

    def _on_hangup(self) -> None:
        self._log.warning("reload_refused", reason="settings need a restart")

    def _on_signal(self, ending: endings.Ending) -> None:
        self._stop_signal_count += 1
        self._end(ending)

    def _on_part_end(self, part: str, error: Exception) -> None:
        self._end(endings.of_error(part, error))

    def _end(self, ending: endings.Ending) -> None:
        """Begins the shutdown; the first reason is the one that counts."""
        if self._ending is None:
            self._ending = ending
        self._stopping.set()

    def _report_part(self, event: str, **fields) -> None:
        self._log.error(event, **fields)
        self._recorder.record(event, f"{fields['part']}: {fields['error']}")

    def _log_event(self, event: messages.Event) -> None:
        self._log.info(event.kind, detail=event.detail)
