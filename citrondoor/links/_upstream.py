"""Kept connections to searchers: one task each, one call at a time on each."""

import asyncio
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import limits
from citrondoor import routing
from citrondoor.codecs import upstreams as codec
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


class Call:
    """One request to one searcher.

    Args:
      number: Number that no other call of this daemon has.
      payload: Bytes to send.
      customer: Customer for whom it is sent.
      deadline_at: Clock reading after which nobody wants the answer.
      decode: Turns the response into a sub-answer.
      deliver: Takes the sub-answer; called exactly once.
    """

    __slots__ = (
        "customer",
        "deadline_at",
        "decode",
        "deliver",
        "number",
        "payload",
        "started_at",
        "was_sent",
    )

    def __init__(
        self,
        number: int,
        payload: bytes,
        customer: str,
        deadline_at: int,
        decode: Callable[[codec.Response], messages.SubAnswer],
        deliver: Callable[[messages.SubAnswer], None],
    ):
        self.number = number
        self.payload = payload
        self.customer = customer
        self.deadline_at = deadline_at
        self.decode = decode
        self.deliver = deliver
        self.started_at = 0
        self.was_sent = False


class UpstreamCounters:
    """Counts of one daemon's work at all searchers."""

    __slots__ = (
        "cancels",
        "connects",
        "failures",
        "foreign",
        "searches",
        "sheds",
        "skipped_cancels",
    )

    def __init__(self):
        self.searches = 0
        self.sheds = 0
        self.failures = 0
        self.foreign = 0
        self.connects = 0
        self.cancels = 0
        self.skipped_cancels = 0


class _Channel(asyncio.Protocol):
    """Splits what a searcher sends and hands over the awaited response.

    Args:
      counters: Counts of the daemon.
    """

    __slots__ = ("_awaited", "_counters", "_reader", "_waiter", "transport")

    def __init__(self, counters: UpstreamCounters):
        self._counters = counters
        self._reader = codec.ResponseReader()
        self._awaited = -1
        self._waiter: asyncio.Future[codec.Response] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Takes the open transport; called by the event loop."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Takes bytes; called by the event loop."""
        try:
            responses = self._reader.feed(data)
        except ValueError as error:
            self._fail(error)
            return
        for response in responses:
            waiter = self._waiter
            is_awaited = response.attempt == self._awaited
            if is_awaited and waiter is not None and not waiter.done():
                self._awaited = -1
                waiter.set_result(response)
            else:
                # Late, repeated or foreign: never handed to another call.
                self._counters.foreign += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what waits; called by the event loop."""
        self._fail(EOFError("the searcher closed the connection"))

    def send(self, call: Call) -> None:
        """Sends a call; `response` then waits for its response."""
        self._awaited = call.number
        if not self.transport.is_closing():
            self.transport.write(call.payload)
            call.was_sent = True

    def response(self) -> "asyncio.Future[codec.Response]":
        """Returns a future that ends with the response to the next call."""
        waiter = self._waiter = asyncio.get_running_loop().create_future()
        if self.transport.is_closing():
            waiter.set_exception(EOFError("the connection is closed"))
        return waiter

    def _fail(self, error: Exception) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
        self.transport.abort()


class _Connection:
    """One connection; its task serves one call after the other."""

    __slots__ = ("_channel", "_link", "call", "task")

    def __init__(self, link: "SearcherLink"):
        self._link = link
        self._channel = _Channel(link.counters)
        self.call: Call | None = None
        self.task: asyncio.Task | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the searcher or this side has closed it."""
        transport = self._channel.transport
        return transport is not None and transport.is_closing()

    def start(self, call: Call) -> None:
        """Opens the connection and serves a first call."""
        self.call = call
        self.task = asyncio.create_task(self._run())

    def assign(self, call: Call) -> None:
        """Gives an idle connection its next call."""
        self.call = call
        self._channel.send(call)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._channel.transport is not None:
            self._channel.transport.abort()
        else:
            self.task.cancel()

    async def _run(self) -> None:
        try:
            await self._open()
            await self._serve()
        except (OSError, ValueError, EOFError):
            pass
        finally:
            if self._channel.transport is not None:
                self._channel.transport.abort()
            self._link.on_closed(self)

    async def _open(self) -> None:
        link = self._link
        searcher = link.searcher
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(link.connect_timeout_s):
                await loop.create_connection(
                    lambda: self._channel, searcher.address, searcher.port
                )
        except (OSError, TimeoutError):
            link.on_dial_failed()
            raise
        link.on_dialed()

    async def _serve(self) -> None:
        link = self._link
        channel = self._channel
        channel.send(self.call)
        while True:
            # While idle this waits for the next call's response as well.
            response = await channel.response()
            self.call = link.on_response(self.call, response)
            if self.call is None:
                link.on_idle(self)
            else:
                channel.send(self.call)


class SearcherLink:
    """All connections of this daemon to one searcher.

    Args:
      searcher: The searcher's declaration.
      gate: Bounds the calls in flight.
      warmth: Bounds them further while the searcher is cold.
      observations: Takes the latencies of the back end.
      settings: Time limits.
      counters: Counts of the daemon.
      clock: Clock of the daemon.
      fair_calls: Calls that are this daemon's part of the searcher's slots.
    """

    __slots__ = (
        "_busy",
        "_clock",
        "_dial_pause_ms",
        "_idle",
        "_is_retired",
        "_no_dial_until",
        "_observations",
        "_settings",
        "_slow_streak",
        "_fair_calls",
        "_warmth",
        "cancel_head",
        "connect_timeout_s",
        "counters",
        "gate",
        "run_head",
        "search_head",
        "searcher",
    )

    def __init__(
        self,
        searcher: declarations.Searcher,
        gate: limits.Gate,
        warmth: limits.Warmth,
        observations: routing.Observations,
        settings: schema_settings.UpstreamSettings,
        counters: UpstreamCounters,
        clock: clocks.Clock,
        fair_calls: int,
    ):
        self.searcher = searcher
        self.gate = gate
        self.counters = counters
        self.connect_timeout_s = settings.connect_timeout_ms / clocks.MS_PER_S
        host = f"{searcher.address}:{searcher.port}"
        self.search_head = codec.encode_head(SEARCH_PATH, host)
        self.run_head = codec.encode_head(RUN_PATH, host)
        self.cancel_head = codec.encode_head(CANCEL_PATH, host)
        self._warmth = warmth
        self._observations = observations
        self._settings = settings
        self._clock = clock
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        self._dial_pause_ms = DIAL_PAUSE_MS
        self._no_dial_until = 0
        self._is_retired = False
        self._slow_streak = 0
        self._fair_calls = fair_calls

    @property
    def connection_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self._idle) + len(self._busy)

    def is_usable(self, now: int) -> bool:
        """Returns whether the searcher may be given new work now."""
        if now < self.gate.paused_until or self._is_retired:
            return False
        if now < self._no_dial_until and not self._idle:
            return False
        name = self.searcher.name
        if not self._warmth.is_cold(name):
            return True
        return self.gate.in_flight < self._warmth.allowed(name, now)

    def submit(self, call: Call, now: int) -> None:
        """Starts a call, lets it wait, or sheds it."""
        verdict = self.gate.offer(
            call.number,
            call,
            call.customer,
            call.deadline_at,
            self._warmth.allowed(self.searcher.name, now),
        )
        if verdict == limits.Verdict.START:
            self._start(call, now)
        elif verdict == limits.Verdict.SHED:
            self.counters.sheds += 1
            call.deliver(messages.SubAnswer(call.number, _Outcome.UNSENT))

    def cancel(self, number: int) -> None:
        """Takes a call back; nobody wants its answer any more."""
        if self.gate.withdraw(number) is not None:
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
        call = Call(
            number, payload, "", deadline_at, codec.decode_run_answer, _ignore
        )
        call.started_at = -1
        self._place(call)

    def sweep(self, now: int) -> None:
        """Ends calls that are late: waiting ones, and stuck connections."""
        for call in self.gate.take_expired(now):
            call.deliver(messages.SubAnswer(call.number, _Outcome.UNSENT))
        grace = self._settings.cancel_grace_ms
        for connection in list(self._busy):
            call = connection.call
            if call is not None and now > call.deadline_at + grace:
                connection.abort()

    def close(self) -> None:
        """Closes every connection."""
        for connection in [*self._idle, *self._busy]:
            connection.task.cancel()

    def retire(self) -> None:
        """Sends nothing new; closes each connection when it has no call."""
        self._is_retired = True
        for call in self.gate.take_all():
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
        self._note_cold()

    def on_response(self, call: Call, response: codec.Response) -> Call | None:
        """Delivers a response and returns the connection's next call."""
        now = self._clock.now()
        if call.started_at < 0:
            return self._next_call(now)
        answer = call.decode(response)
        outcome = answer.outcome
        latency_ms = now - call.started_at
        self.gate.finish(outcome, latency_ms, now)
        if outcome == _Outcome.ANSWERED:
            name = self.searcher.name
            self._observations.observe(name, latency_ms, now)
            self._warmth.on_answered(name)
            if self._slow_streak or latency_ms > SLOW_FLOOR_MS:
                self._watch_slowness(latency_ms)
        else:
            self._note_failure(outcome)
        call.deliver(answer)
        return self._next_call(now)

    def on_idle(self, connection: _Connection) -> None:
        """Takes a connection that has nothing to do."""
        self._busy.discard(connection)
        self._idle.append(connection)
        if self._is_retired:
            connection.task.cancel()

    def on_closed(self, connection: _Connection) -> None:
        """Takes a connection out; its call failed."""
        self._busy.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        call = connection.call
        if call is None or call.started_at < 0:
            return
        now = self._clock.now()
        self.gate.finish(_Outcome.FAILED, 0, now)
        outcome = _Outcome.FAILED if call.was_sent else _Outcome.UNSENT
        self._note_failure(_Outcome.FAILED)
        call.deliver(messages.SubAnswer(call.number, outcome))
        waiting = self._next_call(now)
        if waiting is not None:
            self._place(waiting)

    def _start(self, call: Call, now: int) -> None:
        call.started_at = now
        self.counters.searches += 1
        self._place(call)

    def _place(self, call: Call) -> None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_closed:
                # Its task is about to end; the call goes on another one.
                continue
            self._busy.add(connection)
            connection.assign(call)
            return
        connection = _Connection(self)
        self._busy.add(connection)
        connection.start(call)

    def _next_call(self, now: int) -> Call | None:
        if not self.gate.has_waiting:
            return None
        allowed = self._warmth.allowed(self.searcher.name, now)
        call = self.gate.next_ready(now, allowed)
        if call is not None:
            call.started_at = now
            self.counters.searches += 1
        return call

    def _note_failure(self, outcome: messages.SubOutcome) -> None:
        if outcome == _Outcome.SHED:
            self.counters.sheds += 1
            # An overloaded searcher answers slowly before it sheds; one that
            # was fast until now bears less than a warm one.
            if self._was_fast() or self.gate.in_flight < self._fair_calls:
                self._note_cold()
        elif outcome == _Outcome.FAILED:
            self.counters.failures += 1
            self._note_cold()

    def _was_fast(self) -> bool:
        name = self.searcher.name
        expected = self._observations.expected_ms(name, self._clock.now())
        typical = self._observations.latency.median_ms
        return expected <= typical * SLOW_FACTOR + SLOW_FLOOR_MS

    def _watch_slowness(self, latency_ms: int) -> None:
        typical = self._observations.latency.median_ms
        if latency_ms <= typical * SLOW_FACTOR + SLOW_FLOOR_MS:
            self._slow_streak = 0
            return
        self._slow_streak += 1
        is_loaded = self.gate.in_flight >= self._fair_calls
        if self._slow_streak >= SLOW_STREAK and not is_loaded:
            self._slow_streak = 0
            self._note_cold()

    def _note_cold(self) -> None:
        self._warmth.note_cold(
            self.searcher.name, self._clock.wall(), self._clock.now()
        )


def _ignore(answer: messages.SubAnswer) -> None:
    """Drops the answer to a cancellation."""


class UpstreamPool:
    """The links to all searchers in force.

    Args:
      vm: Name of this VM.
      settings: Time limits and bounds.
      warmth: Levels of cold searchers.
      clock: Clock of the daemon.
    """

    __slots__ = (
        "_clock",
        "_links",
        "_observations",
        "_settings",
        "_vm",
        "_warmth",
        "counters",
    )

    def __init__(
        self,
        vm: str,
        settings: schema_settings.UpstreamSettings,
        warmth: limits.Warmth,
        clock: clocks.Clock,
    ):
        self._vm = vm
        self._settings = settings
        self._warmth = warmth
        self._clock = clock
        self._links: dict[str, SearcherLink] = {}
        self._observations: dict[str, routing.Observations] = {}
        self.counters = UpstreamCounters()

    @property
    def links(self) -> dict[str, SearcherLink]:
        """Links by name of the searcher."""
        return self._links

    def in_flight(self, searcher: str) -> int:
        """Returns this daemon's calls in flight at a searcher."""
        link = self._links.get(searcher)
        return link.gate.in_flight if link is not None else 0

    def observations_of(self, backend: str) -> routing.Observations:
        """Returns the latencies measured at a back end."""
        if backend not in self._observations:
            self._observations[backend] = routing.Observations()
        return self._observations[backend]

    def set_catalogue(self, catalogue) -> list[str]:
        """Takes the searchers in force; returns the names of new ones."""
        daemons = list(catalogue.vms)
        fresh = []
        wanted: set[str] = set()
        for backend in catalogue.backends.values():
            share = routing.connection_share(backend.connections, len(daemons))
            for searcher in backend.searchers:
                if not catalogue.is_searcher_in(searcher.name):
                    continue
                if not routing.may_connect(
                    self._vm, searcher.name, backend.connections, daemons
                ):
                    continue
                wanted.add(searcher.name)
                self._warmth.set_full_level(searcher.name, backend.slots)
                if self._keep(searcher, share):
                    continue
                self._links[searcher.name] = self._make(
                    backend, searcher, share, len(daemons)
                )
                fresh.append(searcher.name)
        self._drop_all_but(wanted)
        return fresh

    def sweep(self, now: int) -> None:
        """Ends late calls on all links."""
        for link in self._links.values():
            link.sweep(now)

    def close(self) -> None:
        """Closes every connection."""
        for link in self._links.values():
            link.close()

    def _keep(self, searcher: declarations.Searcher, share: int) -> bool:
        link = self._links.get(searcher.name)
        if link is None:
            return False
        if (link.searcher.address, link.searcher.port) != (
            searcher.address,
            searcher.port,
        ):
            return False
        link.gate.set_capacity(share)
        return True

    def _make(
        self,
        backend: declarations.Backend,
        searcher: declarations.Searcher,
        share: int,
        daemons: int,
    ) -> SearcherLink:
        gate = limits.Gate(share, backend.slots, self._settings.max_queue)
        return SearcherLink(
            searcher,
            gate,
            self._warmth,
            self.observations_of(backend.name),
            self._settings,
            self.counters,
            self._clock,
            max(1, backend.slots // max(1, daemons)),
        )

    def _drop_all_but(self, wanted: set[str]) -> None:
        # Calls in flight end by themselves; idle connections close now.
        for name in list(self._links):
            if name not in wanted:
                link = self._links.pop(name)
                link.retire()
