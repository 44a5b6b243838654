"""Sends the sub-requests of queries and gathers their answers."""

import asyncio
import itertools
import random
from collections.abc import Callable

import result

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor import links
from citrondoor import routing
from citrondoor.codecs import upstreams as codec
from citrondoor.engine import _view
from citrondoor.schema import declarations
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

# A sub-request that a pause has overtaken is chosen again after this time.
STALE_PAUSE_MS = 20


class QueryCounters:
    """Counts over all queries of one daemon."""

    __slots__ = ("hedges", "late_answers", "queries", "sub_requests")

    def __init__(self):
        self.queries = 0
        self.sub_requests = 0
        self.hedges = 0
        self.late_answers = 0


class _Backend:
    __slots__ = ("chooser", "snapshots")

    def __init__(
        self,
        chooser: routing.ReplicaChooser,
        snapshots: routing.SnapshotChooser,
    ):
        self.chooser = chooser
        self.snapshots = snapshots


class _Gathering:
    """One query while its answers come in.

    Args:
      engine: The engine that sends.
      query: Decides what to send.
      request: The caller's request.
      customer: Name of the customer.
      on_first: Called when the first shard has answered.
    """

    __slots__ = (
        "_customer",
        "_done",
        "_engine",
        "_has_first",
        "_on_first",
        "_places",
        "_prefix",
        "_prefix_snapshot",
        "_query",
        "_request",
        "_timer",
        "_top",
    )

    def __init__(
        self,
        engine: "SearchEngine",
        query: routing.Query,
        request: messages.SearchRequest,
        contract: declarations.Contract,
        on_first: Callable[[], None],
    ):
        self._engine = engine
        self._query = query
        self._request = request
        self._customer = contract.customer
        self._on_first = on_first
        self._has_first = False
        self._places: dict[int, str] = {}
        self._prefix = b""
        self._prefix_snapshot = ""
        # A full listing asks for one more, to see whether it was cut off.
        limit = contract.max_results
        self._top = min(request.top, limit) if request.top else limit + 1
        self._done = asyncio.get_running_loop().create_future()
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, first: list[messages.SubRequest]) -> None:
        """Sends the first sub-requests and waits until the query is done."""
        try:
            self._dispatch(first)
            self._arm()
            if not self._query.is_done:
                await self._done
        finally:
            self._end()

    def _dispatch(self, sub_requests: list[messages.SubRequest]) -> None:
        engine = self._engine
        now = engine.view.clock.now()
        if not engine.is_view_fresh(now):
            # Chosen on a view that a pause has made old: choose again later.
            for sub_request in sub_requests:
                self._hand_back(sub_request.attempt, STALE_PAUSE_MS)
            return
        if self._prefix_snapshot != self._query.snapshot_name:
            self._prefix_snapshot = self._query.snapshot_name
            self._prefix = codec.encode_search_prefix(
                self._request, self._prefix_snapshot, self._top
            )
        until = self._query.answer_due_at
        left_ms = max(1, until - now)
        for sub_request in sub_requests:
            number = sub_request.attempt
            link = engine.pool.links.get(sub_request.searcher)
            if link is None:
                # It left between the choice and now; the query tries another.
                self._hand_back(number, 0)
                continue
            self._places[number] = sub_request.searcher
            payload = codec.encode_sub_request(
                link.search_head, self._prefix, sub_request, left_ms
            )
            call = links.Call(
                number,
                payload,
                self._customer,
                until,
                codec.decode_sub_answer,
                self._on_answer,
            )
            engine.counters.sub_requests += 1
            engine.counters.hedges += sub_request.hedge
            link.submit(call, now)

    def _hand_back(self, number: int, pause_ms: int) -> None:
        asyncio.get_running_loop().call_later(
            pause_ms / clocks.MS_PER_S,
            self._on_answer,
            messages.SubAnswer(number, messages.SubOutcome.UNSENT),
        )

    def _on_answer(self, answer: messages.SubAnswer) -> None:
        now = self._engine.view.clock.now()
        more = self._query.on_answer(answer, now)
        if not self._has_first and self._query.has_any_answer:
            self._has_first = True
            self._on_first()
        self._withdraw(self._query.drain_cancelled())
        if self._query.is_done:
            self._finish()
        elif more:
            self._dispatch(more)
            self._arm()
        elif answer.outcome != messages.SubOutcome.ANSWERED:
            self._arm()

    def _on_timer(self) -> None:
        self._timer = None
        now = self._engine.view.clock.now()
        if now >= self._query.answer_due_at:
            self._finish()
            return
        if not self._engine.is_view_fresh(now):
            # The process was paused: nothing new leaves on the old view.
            self._arm_at(now + 1)
            return
        self._dispatch(self._query.on_timer(now))
        self._withdraw(self._query.drain_cancelled())
        if self._query.is_done:
            self._finish()
        else:
            self._arm()

    def _arm(self) -> None:
        self._arm_at(self._query.next_timer_at())

    def _arm_at(self, at: int) -> None:
        if self._done.done():
            return
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = max(0, at - self._engine.view.clock.now())
        self._timer = asyncio.get_running_loop().call_later(
            delay_ms / clocks.MS_PER_S, self._on_timer
        )

    def _finish(self) -> None:
        if not self._done.done():
            self._done.set_result(None)

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._withdraw(self._query.cancel_all())
        self._engine.counters.late_answers += self._query.dropped_count
        self._finish()

    def _withdraw(self, attempts: list[int]) -> None:
        for number in attempts:
            link = self._engine.pool.links.get(self._places.get(number, ""))
            if link is not None:
                link.cancel(number)


class SearchEngine:
    """Runs queries over the links to searchers.

    Args:
      view: What this daemon knows.
      pool: Links to searchers.
      settings: Hedging.
      rng: Random source.
      first_attempt: First number of a sub-request; those of daemons are far
        apart.
    """

    __slots__ = (
        "_attempt_numbers",
        "_backends",
        "_budgets",
        "_rng",
        "_settings",
        "counters",
        "pool",
        "view",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        pool: links.UpstreamPool,
        settings: schema_settings.UpstreamSettings,
        rng: random.Random,
        first_attempt: int,
    ):
        self.view = view
        self.pool = pool
        self._settings = settings
        self._rng = rng
        self._backends: dict[str, _Backend] = {}
        self._budgets: dict[str, routing.HedgeRetryBudget] = {}
        self._attempt_numbers = itertools.count(first_attempt)
        self.counters = QueryCounters()

    @property
    def attempt_numbers(self) -> itertools.count:
        """Numbers for calls to searchers; each is used once."""
        return self._attempt_numbers

    def set_catalogue(self, catalogue: declared.Catalogue) -> None:
        """Takes the back ends and snapshots in force."""
        for name in catalogue.backends:
            backend = self.backend(name)
            backend.snapshots.set_snapshots(catalogue.snapshots.get(name, []))

    def backend(self, name: str) -> _Backend:
        """Returns the chooser and the snapshots of a back end."""
        if name not in self._backends:
            chooser = routing.ReplicaChooser(
                self.pool.latencies_of(name),
                self._load_of,
                self._is_usable,
                self._is_cold,
                self._rng,
            )
            self._backends[name] = _Backend(
                chooser, routing.SnapshotChooser(chooser)
            )
            self._budgets[name] = routing.HedgeRetryBudget(
                self._settings.hedge_budget_share
            )
        return self._backends[name]

    def is_view_fresh(self, now: int) -> bool:
        """Returns whether new work may leave on this daemon's view."""
        return self.view.pause_detector.check_view(now)

    async def search(
        self,
        request: messages.SearchRequest,
        contract: declarations.Contract,
        on_first: Callable[[], None],
    ) -> result.Result[messages.SearchAnswer, messages.Refusal]:
        """Returns the answer of one snapshot, or a refusal.

        Args:
          request: The caller's request.
          contract: Contract of the customer.
          on_first: Called when the first shard has answered.
        """
        self.counters.queries += 1
        backend = self.backend(request.backend)
        query = routing.Query(
            request,
            contract,
            backend.chooser,
            backend.snapshots,
            self._budgets[request.backend],
            self._settings.hedge_floor_ms,
            self._attempt_numbers,
        )
        started = query.start(self.view.clock.now())
        if started.is_err():
            return started
        gathering = _Gathering(self, query, request, contract, on_first)
        await gathering.run(started.unwrap())
        return query.finish()

    def _load_of(self, searcher: str) -> int:
        return self.pool.links[searcher].limiter.load

    def _is_cold(self, searcher: str) -> bool:
        return self.pool.links[searcher].is_cold

    def _is_usable(self, searcher: str, now: int) -> bool:
        link = self.pool.links.get(searcher)
        return link is not None and link.is_usable(now)
