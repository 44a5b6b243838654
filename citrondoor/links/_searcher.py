"""All connections of this daemon to one searcher."""

from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import limits
from citrondoor import routing
from citrondoor.codecs import upstreams as codec
from citrondoor.links import _calls
from citrondoor.links import _connection
from citrondoor.schema import declarations
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

SEARCH_PATH = "/v1/subsearch"
RUN_PATH = "/v1/run"
CANCEL_PATH = "/v1/cancel"
# A searcher is marked as cold after SLOW_ANSWER_COUNT consecutive answers that
# each took longer than SLOW_FACTOR times the median latency of the back end's
# searchers plus SLOW_MARGIN_MS, if this daemon has fewer calls in flight there
# than its fair share.
SLOW_FACTOR = 5.0
SLOW_MARGIN_MS = 20
SLOW_ANSWER_COUNT = 3
# Time after a failed connection attempt for which `is_usable` is False, unless
# a connection is idle; doubles with each further failure. It delays no
# connection attempt: calls that are submitted or queued still open connections.
MIN_UNUSABLE_MS = 100
MAX_UNUSABLE_MS = 5000

_Outcome = messages.SubOutcome


class SearcherLink:
    """All connections of this daemon to one searcher.

    Args:
      searcher: The searcher's declaration.
      limiter: Limits and queues the calls to the searcher.
      warmup: Limits them further while the searcher is cold.
      latencies: Latencies of the back end's searchers.
      settings: Timeouts.
      counters: Counts the calls of this daemon to all searchers.
      clock: Clock of the daemon.
      fair_share: This daemon's equal share of the searcher's slots, in calls.
      check_view: Takes a clock reading; returns False after the start and
        after a pause of this daemon, until its view of the cluster is confirmed
        or a timeout has elapsed. Queued calls are not started while it is
        False.
      account: Account of the memory that messages keep.
    """

    __slots__ = (
        "_busy_connections",
        "_check_view",
        "_clock",
        "_fair_share",
        "_idle_connections",
        "_is_retired",
        "_latencies",
        "_settings",
        "_slow_streak",
        "_unusable_ms",
        "_unusable_until",
        "_warmup",
        "account",
        "cancel_head",
        "connect_timeout_s",
        "counters",
        "limiter",
        "run_head",
        "search_head",
        "searcher",
    )

    def __init__(
        self,
        searcher: declarations.Searcher,
        limiter: limits.ConcurrencyLimiter,
        warmup: limits.WarmupLimiter,
        latencies: routing.SearcherLatencies,
        settings: schema_settings.UpstreamSettings,
        counters: _calls.UpstreamCounters,
        clock: clocks.Clock,
        fair_share: int,
        check_view: Callable[[int], bool],
        account: limits.MemoryAccount,
    ):
        self.searcher = searcher
        self.account = account
        self.limiter = limiter
        self.counters = counters
        self.connect_timeout_s = settings.connect_timeout_ms / clocks.MS_PER_S
        host = f"{searcher.address}:{searcher.port}"
        self.search_head = codec.encode_head(SEARCH_PATH, host)
        self.run_head = codec.encode_head(RUN_PATH, host)
        self.cancel_head = codec.encode_head(CANCEL_PATH, host)
        self._warmup = warmup
        self._latencies = latencies
        self._settings = settings
        self._clock = clock
        self._idle_connections: list[_connection.Connection] = []
        self._busy_connections: set[_connection.Connection] = set()
        self._unusable_ms = MIN_UNUSABLE_MS
        self._unusable_until = 0
        self._is_retired = False
        self._slow_streak = 0
        self._fair_share = fair_share
        self._check_view = check_view

    @property
    def connection_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self._idle_connections) + len(self._busy_connections)

    @property
    def is_cold(self) -> bool:
        """Whether the searcher is warming up."""
        return self._warmup.is_cold(self.searcher.name)

    def is_usable(self, now: int) -> bool:
        """Returns whether the searcher accepts new calls.

        It does not shortly after it rejected a call or a connection attempt
        failed, after it was retired, or while it is cold and the warm-up
        lease allows no further call.
        """
        if now < self.limiter.paused_until or self._is_retired:
            return False
        if now < self._unusable_until and not self._idle_connections:
            return False
        name = self.searcher.name
        if not self._warmup.is_cold(name):
            return True
        return self.limiter.in_flight < self._warmup.max_calls(name, now)

    def submit(self, call: _calls.Call, now: int) -> None:
        """Starts a call, queues it, or rejects it as UNSENT if overloaded."""
        offer_result = self.limiter.offer(
            call.number,
            call,
            call.customer,
            call.deadline_at,
            self._warmup.max_calls(self.searcher.name, now),
        )
        if offer_result == limits.OfferResult.START:
            self._start(call, now)
        elif offer_result == limits.OfferResult.SHED:
            self.counters.sheds += 1
            call.deliver(messages.SubAnswer(call.number, _Outcome.UNSENT))

    def cancel(self, number: int) -> None:
        """Cancels a call whose answer is no longer needed.

        A queued call is dropped. For one in flight a cancellation is sent on
        an idle connection, if there is one.
        """
        if self.limiter.remove_queued(number) is not None:
            return
        if not any(
            connection.call and connection.call.number == number
            for connection in self._busy_connections
        ):
            return
        if not self._idle_connections:
            # No connection is opened just for a cancellation: that costs more
            # than the cancelled work.
            self.counters.skipped_cancels += 1
            return
        self.counters.cancels += 1
        payload = codec.encode_cancel(self.cancel_head, number, number)
        now = self._clock.now()
        deadline_at = now + self._settings.cancel_grace_ms
        call = _calls.Call(
            number,
            payload,
            "",
            deadline_at,
            codec.decode_run_answer,
            _discard_answer,
        )
        call.started_at = -1
        self._send(call)

    def sweep(self, now: int) -> None:
        """Ends expired calls, and starts queued ones that may now run.

        Connections whose call is overdue by more than the cancel grace period
        are closed. Queued calls may have been held back because `check_view`
        returned False or a warm-up lease was missing.
        """
        for call in self.limiter.remove_expired(now):
            call.deliver(messages.SubAnswer(call.number, _Outcome.UNSENT))
        grace_ms = self._settings.cancel_grace_ms
        for connection in list(self._busy_connections):
            call = connection.call
            if call is not None and now > call.deadline_at + grace_ms:
                connection.abort()
        while (queued_call := self._start_next_call(now)) is not None:
            self._send(queued_call)

    def close(self) -> None:
        """Closes every connection.

        Queued calls are not removed: one that may start when a call on a closed
        connection ends opens a new connection.
        """
        for connection in [*self._idle_connections, *self._busy_connections]:
            connection.task.cancel()

    def retire(self) -> None:
        """Rejects queued calls; each connection closes once it is idle."""
        self._is_retired = True
        for call in self.limiter.remove_all():
            call.deliver(messages.SubAnswer(call.number, _Outcome.UNSENT))
        for connection in list(self._idle_connections):
            connection.task.cancel()

    def on_connected(self) -> None:
        """Counts a new connection and makes the searcher usable again."""
        self.counters.connects += 1
        self._unusable_ms = MIN_UNUSABLE_MS
        self._unusable_until = 0

    def on_connect_failed(self) -> None:
        """Makes the searcher unusable for a while and marks it as cold."""
        self._unusable_until = self._clock.now() + self._unusable_ms
        self._unusable_ms = min(MAX_UNUSABLE_MS, self._unusable_ms * 2)
        self._mark_cold()

    def on_response(
        self, call: _calls.Call, response: codec.Response
    ) -> _calls.Call | None:
        """Delivers a response; returns the connection's next call, if any."""
        now = self._clock.now()
        if call.started_at < 0:
            return self._start_next_call(now)
        answer = call.decode(response)
        outcome = answer.outcome
        latency_ms = now - call.started_at
        self.limiter.finish(outcome, latency_ms, now)
        if outcome == _Outcome.ANSWERED:
            name = self.searcher.name
            self._latencies.observe(name, latency_ms, now)
            self._warmup.on_answered(name)
            if self._slow_streak or latency_ms > SLOW_MARGIN_MS:
                self._check_slowness(latency_ms)
        else:
            self._record_failure(outcome)
        call.deliver(answer)
        return self._start_next_call(now)

    def on_idle(self, connection: _connection.Connection) -> None:
        """Keeps a connection for later calls, or closes it when retired."""
        self._busy_connections.discard(connection)
        self._idle_connections.append(connection)
        if self._is_retired:
            connection.task.cancel()

    def on_closed(self, connection: _connection.Connection) -> None:
        """Removes a connection and fails its call, if it has one."""
        self._busy_connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        call = connection.call
        if call is None or call.started_at < 0:
            return
        now = self._clock.now()
        self.limiter.finish(_Outcome.FAILED, 0, now)
        outcome = _Outcome.FAILED if call.was_sent else _Outcome.UNSENT
        self._record_failure(_Outcome.FAILED)
        call.deliver(messages.SubAnswer(call.number, outcome))
        queued_call = self._start_next_call(now)
        if queued_call is not None:
            self._send(queued_call)

    def _start(self, call: _calls.Call, now: int) -> None:
        call.started_at = now
        self.counters.searches += 1
        self._send(call)

    def _send(self, call: _calls.Call) -> None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_closed:
                # Its task is about to end: use another connection.
                continue
            self._busy_connections.add(connection)
            connection.assign(call)
            return
        connection = _connection.Connection(self)
        self._busy_connections.add(connection)
        connection.start(call)

    def _start_next_call(self, now: int) -> _calls.Call | None:
        if not self.limiter.has_queued or not self._check_view(now):
            return None
        max_calls = self._warmup.max_calls(self.searcher.name, now)
        call = self.limiter.start_next(now, max_calls)
        if call is not None:
            call.started_at = now
            self.counters.searches += 1
        return call

    def _record_failure(self, outcome: messages.SubOutcome) -> None:
        if outcome == _Outcome.SHED:
            self.counters.sheds += 1
            # An overloaded searcher slows down before it rejects calls. One
            # that rejects at typical latency, or while this daemon uses less
            # than its fair share, has less capacity than a warm searcher.
            if (
                self._has_typical_latency()
                or self.limiter.in_flight < self._fair_share
            ):
                self._mark_cold()
        elif outcome == _Outcome.FAILED:
            self.counters.failures += 1
            self._mark_cold()

    def _has_typical_latency(self) -> bool:
        name = self.searcher.name
        expected_ms = self._latencies.expected_ms(name, self._clock.now())
        median_ms = self._latencies.histogram.median_ms
        return expected_ms <= median_ms * SLOW_FACTOR + SLOW_MARGIN_MS

    def _check_slowness(self, latency_ms: int) -> None:
        median_ms = self._latencies.histogram.median_ms
        if latency_ms <= median_ms * SLOW_FACTOR + SLOW_MARGIN_MS:
            self._slow_streak = 0
            return
        self._slow_streak += 1
        is_loaded = self.limiter.in_flight >= self._fair_share
        if self._slow_streak >= SLOW_ANSWER_COUNT and not is_loaded:
            self._slow_streak = 0
            self._mark_cold()

    def _mark_cold(self) -> None:
        self._warmup.mark_cold(
            self.searcher.name, self._clock.unix_ms(), self._clock.now()
        )


def _discard_answer(answer: messages.SubAnswer) -> None:
    """Discards the answer to a cancellation."""
