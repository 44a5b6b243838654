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
# Answers this much slower than typical, several in a row and without load,
# show that a searcher turned cold.
SLOW_FACTOR = 5.0
SLOW_FLOOR_MS = 20
SLOW_STREAK = 3
# After a connection attempt failed, the next one waits; doubles each time.
DIAL_PAUSE_MS = 100
MAX_DIAL_PAUSE_MS = 5000

_Outcome = messages.SubOutcome


class SearcherLink:
    """All connections of this daemon to one searcher.

    Args:
      searcher: The searcher's declaration.
      limiter: Bounds the calls in flight.
      warmup: Bounds them further while the searcher is cold.
      latencies: Takes the latencies of the back end.
      settings: Time limits.
      counters: Counts of the daemon.
      clock: Clock of the daemon.
      fair_calls: Calls that are this daemon's part of the searcher's slots.
      is_fresh: Returns whether this daemon's view may be trusted now.
    """

    __slots__ = (
        "_busy",
        "_clock",
        "_dial_pause_ms",
        "_fair_calls",
        "_idle",
        "_is_fresh",
        "_is_retired",
        "_latencies",
        "_no_dial_until",
        "_settings",
        "_slow_streak",
        "_warmup",
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
        fair_calls: int,
        is_fresh: Callable[[int], bool],
    ):
        self.searcher = searcher
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
        self._idle: list[_connection.Connection] = []
        self._busy: set[_connection.Connection] = set()
        self._dial_pause_ms = DIAL_PAUSE_MS
        self._no_dial_until = 0
        self._is_retired = False
        self._slow_streak = 0
        self._fair_calls = fair_calls
        self._is_fresh = is_fresh

    @property
    def connection_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self._idle) + len(self._busy)

    @property
    def is_cold(self) -> bool:
        """Whether the searcher is warming up."""
        return self._warmup.is_cold(self.searcher.name)

    def is_usable(self, now: int) -> bool:
        """Returns whether the searcher may be given new work now."""
        if now < self.limiter.paused_until or self._is_retired:
            return False
        if now < self._no_dial_until and not self._idle:
            return False
        name = self.searcher.name
        if not self._warmup.is_cold(name):
            return True
        return self.limiter.in_flight < self._warmup.max_calls(name, now)

    def submit(self, call: _calls.Call, now: int) -> None:
        """Starts a call, lets it wait, or sheds it."""
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
        """Takes a call back; nobody wants its answer any more."""
        if self.limiter.remove_queued(number) is not None:
            return
        if not any(c.call and c.call.number == number for c in self._busy):
            return
        if not self._idle:
            # A new connection costs more than the cancelled work.
            self.counters.skipped_cancels += 1
            return
        self.counters.cancels += 1
        payload = codec.encode_cancel(self.cancel_head, number, number)
        now = self._clock.now()
        deadline_at = now + self._settings.cancel_grace_ms
        call = _calls.Call(
            number, payload, "", deadline_at, codec.decode_run_answer, _ignore
        )
        call.started_at = -1
        self._place(call)

    def sweep(self, now: int) -> None:
        """Ends calls that are late, and starts those that a pause held up."""
        for call in self.limiter.remove_expired(now):
            call.deliver(messages.SubAnswer(call.number, _Outcome.UNSENT))
        grace = self._settings.cancel_grace_ms
        for connection in list(self._busy):
            call = connection.call
            if call is not None and now > call.deadline_at + grace:
                connection.abort()
        while (waiting := self._next_call(now)) is not None:
            self._place(waiting)

    def close(self) -> None:
        """Closes every connection."""
        for connection in [*self._idle, *self._busy]:
            connection.task.cancel()

    def retire(self) -> None:
        """Sends nothing new; closes each connection when it has no call."""
        self._is_retired = True
        for call in self.limiter.remove_all():
            call.deliver(messages.SubAnswer(call.number, _Outcome.UNSENT))
        for connection in list(self._idle):
            connection.task.cancel()

    def on_dialed(self) -> None:
        """Notes a new connection."""
        self.counters.connects += 1
        self._dial_pause_ms = DIAL_PAUSE_MS
        self._no_dial_until = 0

    def on_dial_failed(self) -> None:
        """Notes a failed attempt; others wait before the next one."""
        self._no_dial_until = self._clock.now() + self._dial_pause_ms
        self._dial_pause_ms = min(MAX_DIAL_PAUSE_MS, self._dial_pause_ms * 2)
        self._mark_cold()

    def on_response(
        self, call: _calls.Call, response: codec.Response
    ) -> _calls.Call | None:
        """Delivers a response and returns the connection's next call."""
        now = self._clock.now()
        if call.started_at < 0:
            return self._next_call(now)
        answer = call.decode(response)
        outcome = answer.outcome
        latency_ms = now - call.started_at
        self.limiter.finish(outcome, latency_ms, now)
        if outcome == _Outcome.ANSWERED:
            name = self.searcher.name
            self._latencies.observe(name, latency_ms, now)
            self._warmup.on_answered(name)
            if self._slow_streak or latency_ms > SLOW_FLOOR_MS:
                self._watch_slowness(latency_ms)
        else:
            self._note_failure(outcome)
        call.deliver(answer)
        return self._next_call(now)

    def on_idle(self, connection: _connection.Connection) -> None:
        """Takes a connection that has nothing to do."""
        self._busy.discard(connection)
        self._idle.append(connection)
        if self._is_retired:
            connection.task.cancel()

    def on_closed(self, connection: _connection.Connection) -> None:
        """Takes a connection out; its call failed."""
        self._busy.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        call = connection.call
        if call is None or call.started_at < 0:
            return
        now = self._clock.now()
        self.limiter.finish(_Outcome.FAILED, 0, now)
        outcome = _Outcome.FAILED if call.was_sent else _Outcome.UNSENT
        self._note_failure(_Outcome.FAILED)
        call.deliver(messages.SubAnswer(call.number, outcome))
        waiting = self._next_call(now)
        if waiting is not None:
            self._place(waiting)

    def _start(self, call: _calls.Call, now: int) -> None:
        call.started_at = now
        self.counters.searches += 1
        self._place(call)

    def _place(self, call: _calls.Call) -> None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_closed:
                # Its task is about to end; the call goes on another one.
                continue
            self._busy.add(connection)
            connection.assign(call)
            return
        connection = _connection.Connection(self)
        self._busy.add(connection)
        connection.start(call)

    def _next_call(self, now: int) -> _calls.Call | None:
        if not self.limiter.has_queued or not self._is_fresh(now):
            return None
        max_calls = self._warmup.max_calls(self.searcher.name, now)
        call = self.limiter.start_next(now, max_calls)
        if call is not None:
            call.started_at = now
            self.counters.searches += 1
        return call

    def _note_failure(self, outcome: messages.SubOutcome) -> None:
        if outcome == _Outcome.SHED:
            self.counters.sheds += 1
            # An overloaded searcher answers slowly before it sheds; one that
            # was fast until now bears less than a warm one.
            if self._was_fast() or self.limiter.in_flight < self._fair_calls:
                self._mark_cold()
        elif outcome == _Outcome.FAILED:
            self.counters.failures += 1
            self._mark_cold()

    def _was_fast(self) -> bool:
        name = self.searcher.name
        expected = self._latencies.expected_ms(name, self._clock.now())
        typical = self._latencies.histogram.median_ms
        return expected <= typical * SLOW_FACTOR + SLOW_FLOOR_MS

    def _watch_slowness(self, latency_ms: int) -> None:
        typical = self._latencies.histogram.median_ms
        if latency_ms <= typical * SLOW_FACTOR + SLOW_FLOOR_MS:
            self._slow_streak = 0
            return
        self._slow_streak += 1
        is_loaded = self.limiter.in_flight >= self._fair_calls
        if self._slow_streak >= SLOW_STREAK and not is_loaded:
            self._slow_streak = 0
            self._mark_cold()

    def _mark_cold(self) -> None:
        self._warmup.mark_cold(
            self.searcher.name, self._clock.wall(), self._clock.now()
        )


def _ignore(answer: messages.SubAnswer) -> None:
    """Drops the answer to a cancellation."""
