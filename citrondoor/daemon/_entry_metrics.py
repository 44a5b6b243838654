"""Metrics of the entry daemon and the HTTP server for them."""

import asyncio
import importlib
import resource
import socket

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import limits
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.daemon import _loop_watch
from citrondoor.schema import serving

METRICS_PATH = "/metrics"
# Delay before the metrics library is imported, so that callers are served
# first: its import takes longer than all other imports together.
IMPORT_DELAY_S = 1.0
_BYTES_PER_KB = 1024


class EntryMetrics:
    """Serves the daemon's metrics on their own address.

    Args:
      settings: Settings of the daemon.
      dispatcher: Has the counters of requests and of hedges and retries.
      pool: Has the counters of connections to searchers.
      relay: Has the counters of sends through peers.
      account: Has what messages keep in memory.
      bounds: Have the counters of connections that were turned away, by name
        of the address.
      listeners: Has the times at which the daemon began to listen.
      loop_watch: Has the delays of the event loop.
      turns: Has the counters of connections that send wastefully.
      log: Has the counter of dropped lines.
      clock: Clock of the daemon.
    """

    __slots__ = (
        "_account",
        "_bounds",
        "_clock",
        "_dispatcher",
        "_listeners",
        "_log",
        "_loop_watch",
        "_metrics",
        "_pool",
        "_relay",
        "_server",
        "_settings",
        "_turns",
    )

    def __init__(
        self,
        settings: serving.EntrySettings,
        dispatcher: entry.Dispatcher,
        pool: links.HttpPool,
        relay: entry.Relay,
        account: limits.MemoryAccount,
        bounds: dict[str, limits.ConnectionBound | limits.LinkBound],
        listeners: links.Listeners,
        loop_watch: _loop_watch.LoopWatch,
        turns: links.ReadTurns,
        log: entry.DecisionLog,
        clock: clocks.Clock,
    ):
        self._clock = clock
        self._settings = settings
        self._dispatcher = dispatcher
        self._pool = pool
        self._relay = relay
        self._account = account
        self._bounds = bounds
        self._listeners = listeners
        self._loop_watch = loop_watch
        self._turns = turns
        self._log = log
        self._metrics = None
        self._server = links.HttpServer(
            self,
            lambda: links.SMALL_LIMITS,
            account=account,
            bound=bounds["metrics"],
            turns=turns,
        )

    def serve(self, listener: socket.socket) -> None:
        """Serves the metrics on a listening socket."""
        self._server.serve(listener)

    async def run(
        self, poller: entry.StorePoller, peers: entry.PeerNetwork
    ) -> None:
        """Imports the metrics library after a delay, then has metrics."""
        await asyncio.sleep(IMPORT_DELAY_S)
        # The import takes over 100 ms of CPU time; in a thread, the event loop
        # keeps running meanwhile.
        telemetry = await asyncio.to_thread(
            importlib.import_module, "citrondoor.telemetry"
        )
        settings = self._settings
        metrics = telemetry.Metrics(settings.vm, settings.zone)
        for name, description, read in self._counters(poller):
            metrics.add_counter(f"citrondoor.{name}", description, read)
        metrics.add_gauge(
            "citrondoor.members",
            "Daemons that are believed alive.",
            lambda: len(peers.live_vms()),
        )
        metrics.add_gauge(
            "citrondoor.store.age",
            "Age of the newest read of the store in the view, ms.",
            lambda: peers.store_age_ms(self._clock.now()),
        )
        metrics.add_gauge(
            "citrondoor.searcher.connections",
            "Connections to searchers.",
            lambda: self._pool.open_count,
        )
        for sender in serving.Sender:
            metrics.add_gauge(
                f"citrondoor.memory.kept.{sender.name.lower()}",
                f"What messages of a {sender.name.lower()} keep, bytes.",
                lambda sender=sender: self._account.kept_bytes_of(sender),
            )
        metrics.add_gauge(
            "citrondoor.memory.kept.peak",
            "Most that all messages kept, bytes.",
            lambda: self._account.peak_bytes,
        )
        metrics.add_gauge(
            "citrondoor.memory.resident.peak",
            "Most that the process kept resident, bytes.",
            peak_resident_bytes,
        )
        metrics.add_gauge(
            "citrondoor.loop.late.longest",
            "Longest delay of the event loop since the start, ms.",
            lambda: self._loop_watch.longest_ms,
        )
        for name in ("front", "readiness", "directory", "peers", "metrics"):
            metrics.add_gauge(
                f"citrondoor.listening.{name}",
                "Time from the start of the process to listening, ms; 0 while"
                " the address is not available.",
                lambda name=name: self._listeners.listening_ms(name),
            )
        self._metrics = metrics

    def summary(self) -> dict[str, int | dict[str, int]]:
        """Returns the counters for the periodic log event `summary`."""
        counts = self._dispatcher.counters
        limiter = self._dispatcher.hedge_retry_limiter
        return {
            "requests": counts.requests,
            "partials": counts.partials,
            "refusals": counts.refusals,
            "failures": counts.failures,
            "withdrawn": counts.cancelled,
            "sends": counts.sends,
            "remote_sends": counts.cross_zone_sends,
            "relayed_sends": self._relay.counters.delegated,
            "relay_served": self._relay.counters.served_for_peers,
            "relay_lost": self._relay.counters.lost_replies,
            "relay_stale": self._relay.counters.stale_replies,
            "extra_sends": limiter.granted_count,
            "extra_denied": limiter.denied_count,
            "limited_sends": self._dispatcher.limited_send_count,
            "connects": self._pool.counters.connects,
            "aborts": self._pool.counters.aborts,
            "connections": self._pool.open_count,
            "log_dropped": self._log.dropped_count,
            "loop_late_ms": self._loop_watch.take_recent_ms(),
            "reads_waiting": self._turns.waiting_count,
            "reads_refused": self._turns.refused_count,
            "wasted_pieces": self._turns.wasted_pieces,
            "resident_peak_mb": peak_resident_bytes() // limits.BYTES_PER_MB,
            "kept_peak": self._account.peak_bytes,
            "kept": self._by_sender(self._account.kept_bytes_of),
            "gave_way": self._by_sender(self._account.gave_way_counts.get),
            "turned_away": self.turned_away(),
        }

    def turned_away(self) -> dict[str, int]:
        """Returns the connections that were turned away, by address."""
        return {
            name: count
            for name, bound in self._bounds.items()
            if (count := bound.refused_count + bound.closed_count)
        }

    def _by_sender(self, read) -> dict[str, int]:
        return {s.name.lower(): read(s) for s in serving.Sender if read(s)}

    def record_answer(self, status: int, latency_ms: int) -> None:
        """Records the latency of an answer once the library is imported."""
        if self._metrics is not None:
            self._metrics.record_latency(
                latency_ms / clocks.MS_PER_S, "all", str(status)
            )

    async def handle(
        self, request: http1.Request, disconnected: asyncio.Future
    ) -> http1.Response:
        """Returns all metrics in the Prometheus text format."""
        if request.path != METRICS_PATH or self._metrics is None:
            return http1.Response(404, [], b"")
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return http1.Response(200, headers, self._metrics.exposition())

    def refuse(self, error: http1.ProtocolError) -> http1.Response:
        """Returns the response to a request that could not be parsed."""
        return http1.Response(error.status, [], b"")

    def _counters(self, poller: entry.StorePoller):
        counts = self._dispatcher.counters
        limiter = self._dispatcher.hedge_retry_limiter
        pool = self._pool.counters
        yield "requests", "Requests of callers.", lambda: counts.requests
        yield "answers", "Requests answered.", lambda: counts.answers
        yield "partials", "Without all shards.", lambda: counts.partials
        yield "refusals", "Refused, not run.", lambda: counts.refusals
        yield "failures", "Failed, may have run.", lambda: counts.failures
        yield (
            "limited_sends",
            "Sends that a searcher's stated limit held back.",
            lambda: self._dispatcher.limited_send_count,
        )
        yield (
            "unreadable_headers",
            "Headers of searchers that were ignored.",
            lambda: counts.unreadable_headers,
        )
        yield "withdrawn", "Callers that left.", lambda: counts.cancelled
        yield "sends", "Sends to searchers.", lambda: counts.sends
        yield "remote_sends", "To other zones.", lambda: counts.cross_zone_sends
        relay = self._relay.counters
        yield "relayed_sends", "Through peers.", lambda: relay.delegated
        yield "relay_served", "For peers.", lambda: relay.served_for_peers
        yield "relay_lost", "With a lost peer.", lambda: relay.lost_replies
        yield (
            "relay_stale",
            "To an earlier process on this VM.",
            lambda: relay.stale_replies,
        )
        yield (
            "extra_sends",
            "Hedges and retries.",
            lambda: limiter.granted_count,
        )
        yield "extra_denied", "Over the budget.", lambda: limiter.denied_count
        yield "connects", "Connections opened.", lambda: pool.connects
        yield "dial_failures", "Not opened.", lambda: pool.dial_failures
        yield "broken", "Broken exchanges.", lambda: pool.lost_in_flight
        yield "aborts", "Withdrawn exchanges.", lambda: pool.aborts
        yield "malformed", "Misbehaving searchers.", lambda: pool.malformed
        yield "foreign", "Answers to others.", lambda: pool.unmatched
        yield "store_reads", "Readings of the store.", lambda: poller.read_count
        yield "store_failures", "That failed.", lambda: poller.failure_count
        for sender in serving.Sender:
            yield (
                f"memory.gave_way.{sender.name.lower()}",
                "Times that messages were dropped for want of memory.",
                lambda sender=sender: self._account.gave_way_counts[sender],
            )
        for name, bound in self._bounds.items():
            yield (
                f"connections.refused.{name}",
                "Connections whose request was refused for want of descriptors",
                lambda bound=bound: bound.refused_count,
            )
            yield (
                f"connections.closed.{name}",
                "Connections closed for want of descriptors.",
                lambda bound=bound: bound.closed_count,
            )
        yield (
            "loop.late",
            "Delays of the event loop, ms.",
            lambda: self._loop_watch.total_ms,
        )
        yield (
            "reads.refused",
            "Requests refused as their parts take too much processor time.",
            lambda: self._turns.refused_count,
        )
        yield (
            "reads.wasted",
            "Calls of parsers beyond those of proper messages.",
            lambda: self._turns.wasted_pieces,
        )
        yield (
            "connections.gave_way.front",
            "Idle connections closed for the request of a new caller.",
            lambda: self._bounds["front"].gave_way_count,
        )
        yield "log_dropped", "Lines left out.", lambda: self._log.dropped_count


def peak_resident_bytes() -> int:
    """Returns the most memory that the process kept resident, in bytes."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * _BYTES_PER_KB
