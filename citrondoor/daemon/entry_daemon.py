"""Builds and runs the `EntryDaemon`.

It reads its routes and searchers from the platform's store.
"""

import asyncio
import concurrent.futures
import pathlib
import random
import signal
import typing
from collections.abc import Callable

from citrondoor import addresses
from citrondoor import clock as clocks
from citrondoor import discovery
from citrondoor import documents
from citrondoor import entry
from citrondoor import errors
from citrondoor import limits
from citrondoor import links
from citrondoor import membership
from citrondoor import signals
from citrondoor.daemon import _descriptors
from citrondoor.daemon import _entry_metrics
from citrondoor.daemon import _lifecycle
from citrondoor.daemon import _loop_watch
from citrondoor.daemon import _settings
from citrondoor.daemon import _settings_watch
from citrondoor.daemon import _shutdown_step
from citrondoor.daemon import _supervisor
from citrondoor.daemon import endings
from citrondoor.schema import messages
from citrondoor.schema import serving

TICK_MS = 100
# Interval of the log event that reports the counters.
SUMMARY_INTERVAL_S = 5.0
# Interval at which the settings file is checked for a change.
SETTINGS_CHECK_INTERVAL_S = 1.0
# Fractions of `grace_s`, from the start of a shutdown. Until the first, the
# daemon accepts requests that it can finish, because callers may still use an
# older list of entries. At the second, it answers all that are unfinished.
# Until the third, it waits for callers to receive their answers.
ACCEPT_FRACTION = 0.6
ANSWER_FRACTION = 0.92
FINISH_FRACTION = 0.95
# Part of an unreadable header value that is written to the log.
MAX_LOGGED_HEADER_BYTES = 64
# Interval at which a starting daemon checks whether its view is complete.
JOIN_POLL_MS = 10
# Addresses without which the daemon is not ready.
ADDRESSES_OF_A_READY_DAEMON = ("front", "readiness", "directory", "peers")


def read_entry_settings(
    path: pathlib.Path,
    on_unknown: Callable[[errors.DocumentError], None] | None = None,
) -> serving.EntrySettings:
    """Reads and checks a settings file.

    Args:
      path: The settings file.
      on_unknown: Called with the error of each unknown setting, which is
        ignored then; None means that an unknown setting is an error.

    Raises:
      errors.DocumentError: The file is missing or a setting is invalid.
    """
    settings = documents.read_file(serving.EntrySettings, path, on_unknown)
    addresses_by_name = {
        name: getattr(settings, name)
        for name in ("front", "readiness", "directory", "peers", "metrics")
    }
    addresses_by_name["store.address"] = settings.store.address
    for index, seed in enumerate(settings.seeds):
        addresses_by_name[f"seeds[{index}]"] = seed
    for name, text in addresses_by_name.items():
        try:
            addresses.split_address(text)
        except errors.ParameterError as error:
            raise errors.DocumentError(
                str(path), 1, f"{name} is {text!r}", "write IP:PORT"
            ) from error
    key = settings.peer_key
    if key and not _settings.KEY_PATTERN.fullmatch(key):
        raise errors.DocumentError(
            str(path),
            1,
            f"peer_key, of {len(key)} characters, is invalid",
            "use 32 hexadecimal digits or more, an even number, lower case, or"
            " leave out peer_key",
        )
    return settings


class Adapter(typing.Protocol):
    """Creates the clients, codecs and handlers for the platform."""

    def make_store_client(
        self,
        settings: serving.StoreSettings,
        on_unreadable,
        account: limits.MemoryAccount,
        turns: links.ReadTurns,
    ):
        """Returns a client of the platform's store.

        Args:
          settings: Settings of the store.
          on_unreadable: Called with the key, position and reason of each value
            that can't be decoded.
          account: Where the memory of reads in progress is recorded.
          turns: Turns of the connections that send wastefully.
        """

    def make_searcher_codec(self, on_unreadable) -> links.SearcherCodec:
        """Returns the codec of requests to searchers and their responses.

        Args:
          on_unreadable: Called with the name and the value of a header that
            cannot be decoded and is ignored.
        """

    def make_caller_handler(
        self, dispatcher, clock, on_bad_request, on_answer, account
    ):
        """Returns the handler of callers' requests.

        Args:
          dispatcher: Answers requests.
          clock: Clock of the daemon.
          on_bad_request: Called with the refusal of a malformed request.
          on_answer: Called with the status and the latency in ms of an answer.
          account: While it is short of memory, requests are refused.
        """

    def make_readiness_handler(self, is_ready):
        """Returns the handler of readiness checks."""

    def make_directory_handler(self, choose_endpoints, ttl_s: float):
        """Returns the handler of callers' address look-ups.

        Args:
          choose_endpoints: Returns endpoints for a caller's region and zone.
          ttl_s: How long callers may use a response, in seconds.
        """


class EntryDaemon:
    """The daemon that `citrondoor.platform` runs, with all its components.

    Args:
      path: The settings file.
      settings: Checked settings.
      unknown_settings: Errors of the settings that were ignored.
      adapter: Creates the components that depend on the platform.
      clock: Clock of the daemon.
      rng: Random number generator.
    """

    __slots__ = (
        "_account",
        "_adapter",
        "_bounds",
        "_caller_server",
        "_clock",
        "_descriptors",
        "_directory_server",
        "_dispatcher",
        "_ending",
        "_incarnation",
        "_lifecycle",
        "_listeners",
        "_log",
        "_loop_watch",
        "_metrics",
        "_parts",
        "_peers",
        "_poller",
        "_pool",
        "_readiness_server",
        "_relay",
        "_reported_turned_away",
        "_rng",
        "_searcher_reports",
        "_settings",
        "_settings_watch",
        "_stopping",
        "_store",
        "_turns",
        "_view",
    )

    def __init__(
        self,
        path: pathlib.Path,
        settings: serving.EntrySettings,
        unknown_settings: list[errors.DocumentError],
        adapter: Adapter,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._rng = rng
        self._incarnation = clock.unix_ms()
        self._log = entry.DecisionLog(settings.vm, clock)
        for error in unknown_settings:
            self._on_unknown_setting(error)
        self._loop_watch = _loop_watch.LoopWatch(clock)
        self._stopping = asyncio.Event()
        self._ending: endings.Ending | None = None
        self._parts = _supervisor.Parts(
            clock, self._log.write, self._on_part_end
        )
        self._lifecycle = _lifecycle.Lifecycle(self._record_event)
        self._listeners = links.Listeners(clock, self._log.write)
        self._settings_watch = _settings_watch.SettingsWatch(
            path,
            settings,
            lambda path: read_entry_settings(path, self._on_unknown_setting),
            self._on_settings,
            self._log.write,
        )
        self._turns = links.ReadTurns(clock)
        self._account = limits.MemoryAccount(limits.kept_limit_bytes(settings))
        self._descriptors = limits.DescriptorShares(
            _descriptors.raise_limit(), settings.max_fds
        )
        self._bounds = self._descriptors.bounds()
        self._reported_turned_away: dict[str, int] = {}
        self._build_view()
        self._build_dispatcher()
        self._build_servers()

    def _build_view(self) -> None:
        settings = self._settings
        regions_by_zone = {zone.zone: zone.region for zone in settings.zones}
        self._view = entry.LocalView(
            self._record_event,
            regions_by_zone,
            limits.view_limit_bytes(settings),
        )
        self._peers = entry.PeerNetwork(
            settings,
            self._incarnation,
            self._view,
            self._clock,
            self._log,
            self._account,
            link_bound=self._bounds["peers"],
        )
        self._store = self._adapter.make_store_client(
            settings.store, self._on_unreadable, self._account, self._turns
        )
        self._poller = entry.StorePoller(
            self._view,
            self._store,
            self._peers,
            settings,
            self._clock,
            self._log,
        )

    def _build_dispatcher(self) -> None:
        member_count = self._peers.effective_member_count(self._clock.now())
        self._dispatcher = entry.Dispatcher(
            self._settings,
            self._view,
            self._clock,
            self._rng,
            member_count,
            self._log,
            self._account,
        )
        self._pool = links.HttpPool(
            self._adapter.make_searcher_codec(self._on_unreadable_header),
            self._clock,
            self._dispatcher.on_unreachable,
            self._dispatcher.on_malformed,
            self._settings.vm,
            self._settings.zone,
            self._account,
            self._turns,
        )
        self._dispatcher.set_pool(self._pool)
        self._relay = entry.Relay(
            self._peers,
            self._view,
            self._incarnation,
            self._clock,
            self._rng,
            self._account,
        )
        self._relay.set_pool(self._pool)
        self._relay.set_searcher_state(
            self._dispatcher.record_statements, self._dispatcher.pause_ms
        )
        self._dispatcher.set_relay(self._relay)
        self._searcher_reports = entry.SearcherReports(
            self._peers, self._dispatcher
        )
        self._view.subscribe(self._on_view_changed)

    def _build_servers(self) -> None:
        self._metrics = _entry_metrics.EntryMetrics(
            self._settings,
            self._dispatcher,
            self._pool,
            self._relay,
            self._account,
            self._bounds,
            self._listeners,
            self._loop_watch,
            self._turns,
            self._log,
            self._clock,
        )
        self._caller_server = links.HttpServer(
            self._adapter.make_caller_handler(
                self._dispatcher,
                self._clock,
                self._on_bad_request,
                self._metrics.record_answer,
                self._account,
            ),
            self._caller_limits,
            self._on_request_error,
            self._account,
            self._bounds["front"],
            self._turns,
        )
        self._readiness_server = links.HttpServer(
            self._adapter.make_readiness_handler(lambda: self._is_ready),
            lambda: links.SMALL_LIMITS,
            account=self._account,
            bound=self._bounds["readiness"],
            turns=self._turns,
        )
        self._directory_server = links.HttpServer(
            self._adapter.make_directory_handler(
                self._choose_endpoints, self._settings.bounds.entries_ttl_s
            ),
            lambda: links.SMALL_LIMITS,
            account=self._account,
            bound=self._bounds["directory"],
            turns=self._turns,
        )

    @property
    def _is_ready(self) -> bool:
        return self._lifecycle.state == "serving"

    async def run(self) -> endings.ExitCode:
        """Joins the cluster, serves until SIGTERM or SIGINT, and shuts down.

        The last log line says why it ended: `stopped` after a shutdown, `ended`
        after an unexpected error. Afterwards the signals are blocked, because
        the event loop removes their handlers when it closes.
        """
        self._log.start()
        try:
            await self._run()
        except Exception as error:
            self._ending = endings.of_error(self._lifecycle.state, error)
            self._log.write("ended", **self._ending.fields)
        finally:
            signals.block()
            self._log.close()
        return self._ending.code

    async def _run(self) -> None:
        settings = self._settings
        asyncio.get_running_loop().set_exception_handler(self._on_loop_error)
        self._log.write(
            "started",
            incarnation=self._incarnation,
            zone=settings.zone,
            seeds=settings.seeds,
            authenticated_peers=bool(settings.peer_key),
            descriptors=self._descriptors.limit,
            caller_connections=self._bounds["front"].max_served,
            peer_links=self._bounds["peers"].max_served,
        )
        self._handle_signals()
        self._lifecycle.join()
        # Before the first outgoing connection: it could get one of the ports.
        self._listen()
        self._parts.start("store_poller", self._poller.run)
        self._peers.connect()
        self._peers.announce_endpoint(self._endpoint(is_ready=False))
        self._parts.start("loop_watch", self._loop_watch.run)
        self._parts.start("tick", self._tick_forever)
        self._parts.start("summary", self._summarize_forever)
        self._parts.start("settings_watch", self._watch_settings)
        await self._join()
        self._parts.start(
            "metrics", lambda: self._metrics.run(self._poller, self._peers)
        )
        await self._stopping.wait()
        await self._leave()

    def _listen(self) -> None:
        for name, serve in (
            ("front", self._caller_server.serve),
            ("readiness", self._readiness_server.serve),
            ("directory", self._directory_server.serve),
            ("peers", self._peers.serve),
            ("metrics", self._metrics.serve),
        ):
            address = getattr(self._settings, name)
            self._listeners.open(name, *addresses.split_address(address), serve)

    def _can_serve(self) -> bool:
        return self._view.is_complete and all(
            self._listeners.is_listening(name)
            for name in ADDRESSES_OF_A_READY_DAEMON
        )

    async def _join(self) -> None:
        while not self._can_serve() and not self._stopping.is_set():
            await asyncio.sleep(JOIN_POLL_MS / clocks.MS_PER_S)
        if self._stopping.is_set():
            return
        self._lifecycle.serve()
        self._peers.announce_endpoint(self._endpoint(is_ready=True))

    async def _tick_forever(self) -> None:
        while True:
            now = self._clock.now()
            self._peers.tick(now)
            member_count = self._peers.effective_member_count(now)
            self._dispatcher.set_members(self._peers.live_vms(), member_count)
            self._pool.set_members(
                self._peers.recent_zones(now), self._peers.is_settling(now)
            )
            self._pool.sweep(now)
            self._relay.sweep(now)
            self._searcher_reports.flush()
            await asyncio.sleep(TICK_MS / clocks.MS_PER_S)

    async def _summarize_forever(self) -> None:
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_S)
            self._log.write(
                "summary",
                members=self._peers.live_vms(),
                store_age_ms=self._peers.store_age_ms(self._clock.now()),
                store_read_by=self._peers.store_read_by,
                version=self._view.routes.version,
                store_era=self._view.position.era,
                upstream_revision=self._view.position.revision,
                **self._metrics.summary(),
            )
            self._report_turned_away()

    def _report_turned_away(self) -> None:
        turned_away = self._metrics.turned_away()
        if turned_away == self._reported_turned_away:
            return
        self._reported_turned_away = turned_away
        self._log.write(
            "connections_turned_away",
            total=turned_away,
            limits={n: b.max_served for n, b in self._bounds.items()},
            descriptors=self._descriptors.limit,
            remedy="add daemons, or raise `max_fds` and RLIMIT_NOFILE",
        )

    async def _leave(self) -> None:
        """Shuts down; accepted requests have `ANSWER_FRACTION` of `grace_s`.

        First announces the departure, so that peers leave this daemon out of
        the directory, and drains callers' connections; then waits until all
        accepted requests are answered, and closes the links to searchers and
        peers.
        """
        grace_s = self._settings.bounds.grace_s
        started_at = asyncio.get_running_loop().time()
        self._lifecycle.leave()
        self._listeners.cancel()
        answer_ms = int(grace_s * ANSWER_FRACTION * clocks.MS_PER_S)
        self._dispatcher.begin_shutdown(self._clock.now() + answer_ms)
        self._peers.announce_leaving()
        self._caller_server.begin_drain()
        await asyncio.sleep(grace_s * ACCEPT_FRACTION)
        elapsed_s = asyncio.get_running_loop().time() - started_at
        remaining_ms = (grace_s * FINISH_FRACTION - elapsed_s) * clocks.MS_PER_S
        await self._caller_server.close(max(0, int(remaining_ms)))
        self._parts.cancel()
        self._pool.close()
        elapsed_s = asyncio.get_running_loop().time() - started_at
        remaining_ms = (grace_s - elapsed_s) * clocks.MS_PER_S / 2
        await _shutdown_step.run(
            "peers", int(remaining_ms), self._peers.close(), self._log.write
        )
        self._lifecycle.stop()
        self._log.write(
            "stopped",
            unanswered=self._dispatcher.in_flight,
            requests=self._dispatcher.counters.requests,
            **self._ending.fields,
        )

    def _endpoint(self, is_ready: bool) -> serving.EntryPlace:
        settings = self._settings
        host, front_port = addresses.split_address(settings.front)
        return serving.EntryPlace(
            host,
            front_port,
            addresses.split_address(settings.peers)[1],
            settings.zone,
            settings.region,
            is_ready,
        )

    def _choose_endpoints(
        self, region: str, zone: str
    ) -> list[serving.EntryPlace]:
        return membership.choose_endpoints(
            self._peers.ready_endpoints(), region, zone, self._rng
        )

    def _caller_limits(self) -> serving.CallerLimits | None:
        table = self._view.routes.table
        return None if table is None else table.route_set.limits

    def _on_view_changed(self) -> None:
        table = self._view.routes.table
        upstreams = self._view.registry.all_usable_upstreams()
        if table is None:
            self._pool.set_upstreams(upstreams, {}, frozenset())
        else:
            self._pool.set_upstreams(
                upstreams, table.backends, table.shard_backends
            )
        self._peers.set_searcher_zones(frozenset(u.zone for u in upstreams))
        self._dispatcher.on_view_changed()

    def _on_bad_request(self, refusal: messages.Refusal) -> None:
        self._log.write_rate_limited("bad_request", detail=refusal.detail)

    def _on_request_error(self, error: Exception) -> None:
        self._log.write_rate_limited("request_error", error=repr(error))

    def _on_unreadable(
        self, key: str, position: discovery.Position, reason: str
    ) -> None:
        self._log.write(
            "value_unreadable",
            key=key,
            era=position.era,
            revision=position.revision,
            reason=reason,
        )

    def _on_unreadable_header(self, name: bytes, value: bytes) -> None:
        self._dispatcher.counters.unreadable_headers += 1
        self._log.write_rate_limited(
            "header_unreadable",
            name=name.decode("latin-1"),
            value=value[:MAX_LOGGED_HEADER_BYTES].decode("latin-1"),
        )

    def _record_event(self, kind: str, detail: str) -> None:
        self._log.write(kind, detail=detail)

    def _on_unknown_setting(self, error: errors.DocumentError) -> None:
        self._log.write("setting_unknown", reason=str(error))

    def _end(self, ending: endings.Ending) -> None:
        """Begins the shutdown; the first reason is the one that counts."""
        if self._ending is None:
            self._ending = ending
        self._stopping.set()

    def _on_part_end(self, part: str, error: Exception) -> None:
        self._end(endings.of_error(part, error))

    def _on_loop_error(self, loop, context: dict) -> None:
        # The default handler writes to standard error, which may block.
        self._log.write_rate_limited(
            "loop_error",
            message=context["message"],
            error=repr(context.get("exception")),
        )

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        # A thread that took signals could take one when the handlers are gone.
        loop.set_default_executor(
            concurrent.futures.ThreadPoolExecutor(initializer=signals.block)
        )
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            ending = endings.of_signal(signal_number.name)
            loop.add_signal_handler(signal_number, self._end, ending)
        loop.add_signal_handler(signal.SIGHUP, self._on_hangup)
        signals.allow_floods()
        signals.unblock()

    def _on_hangup(self) -> None:
        self._settings_watch.check(is_signalled=True)

    def _on_settings(self, settings: serving.EntrySettings) -> None:
        self._settings = settings
        self._peers.set_seeds(settings.seeds)
        self._dispatcher.set_bounds(settings.bounds)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            self._settings_watch.check()
