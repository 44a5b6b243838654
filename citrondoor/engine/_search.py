"""Sends the sub-requests of queries and collects their answers."""

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

# A sub-request that was not sent because the view was not confirmed is chosen
# again after this time.
UNCONFIRMED_VIEW_RETRY_MS = 20


class QueryCounters:
    """Totals over all queries of one daemon.

    Attributes:
      queries: Queries that were started.
      sub_requests: Sub-requests passed to the links, hedges included.
      hedges: Sub-requests of these that are hedges.
      late_answers: Sub-answers that queries ignored while they ran, as
        `Query.dropped_count` counts them.
    """

    __slots__ = ("hedges", "late_answers", "queries", "sub_requests")

    def __init__(self):
        self.queries = 0
        self.sub_requests = 0
        self.hedges = 0
        self.late_answers = 0


class _BackendChoosers:
    """Replica and snapshot choosers of one back end."""

    __slots__ = ("replica_chooser", "snapshot_chooser")

    def __init__(
        self,
        replica_chooser: routing.ReplicaChooser,
        snapshot_chooser: routing.SnapshotChooser,
    ):
        self.replica_chooser = replica_chooser
        self.snapshot_chooser = snapshot_chooser


class _QueryExecution:
    """Executes one query: sends its sub-requests and runs its timer.

    Args:
      engine: Provides the links, the view and the counters.
      query: Decides which sub-requests to send.
      request: The caller's request.
      contract: Contract of the customer.
      on_first_answer: Called once, when the first shard has answered.
    """

    __slots__ = (
        "_customer",
        "_done",
        "_engine",
        "_has_reported_first_answer",
        "_on_first_answer",
        "_prefix",
        "_prefix_snapshot",
        "_query",
        "_request",
        "_searchers_by_attempt",
        "_timer",
        "_top",
    )

    def __init__(
        self,
        engine: "SearchEngine",
        query: routing.Query,
        request: messages.SearchRequest,
        contract: declarations.Contract,
        on_first_answer: Callable[[], None],
    ):
        self._engine = engine
        self._query = query
        self._request = request
        self._customer = contract.customer
        self._on_first_answer = on_first_answer
        self._has_reported_first_answer = False
        self._searchers_by_attempt: dict[int, str] = {}
        self._prefix = b""
        self._prefix_snapshot = ""
        # Without `top`, one hit more than the limit is requested, to detect
        # that the result was truncated.
        limit = contract.max_results
        self._top = min(request.top, limit) if request.top else limit + 1
        self._done = asyncio.get_running_loop().create_future()
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, first: list[messages.SubRequest]) -> None:
        """Sends the first sub-requests and waits until the query is done."""
        try:
            self._dispatch(first)
            self._set_timer()
            if not self._query.is_done:
                await self._done
        finally:
            self._clean_up()

    def _dispatch(self, sub_requests: list[messages.SubRequest]) -> None:
        engine = self._engine
        now = engine.view.clock.now()
        if not engine.is_view_current(now):
            # The process was paused after the query chose these searchers, so
            # the view may be outdated; the query chooses again later.
            for sub_request in sub_requests:
                self._report_unsent(
                    sub_request.attempt, UNCONFIRMED_VIEW_RETRY_MS
                )
            return
        if self._prefix_snapshot != self._query.snapshot_name:
            self._prefix_snapshot = self._query.snapshot_name
            self._prefix = codec.encode_search_prefix(
                self._request, self._prefix_snapshot, self._top
            )
        due_at = self._query.answer_due_at
        remaining_ms = max(1, due_at - now)
        for sub_request in sub_requests:
            number = sub_request.attempt
            link = engine.pool.links.get(sub_request.searcher)
            if link is None:
                # The searcher was removed after the query chose it; the query
                # chooses another one.
                self._report_unsent(number, 0)
                continue
            self._searchers_by_attempt[number] = sub_request.searcher
            payload = codec.encode_sub_request(
                link.search_head, self._prefix, sub_request, remaining_ms
            )
            call = links.Call(
                number,
                payload,
                self._customer,
                due_at,
                codec.decode_sub_answer,
                self._on_answer,
            )
            engine.counters.sub_requests += 1
            engine.counters.hedges += sub_request.hedge
            link.submit(call, now)

    def _report_unsent(self, number: int, wait_ms: int) -> None:
        asyncio.get_running_loop().call_later(
            wait_ms / clocks.MS_PER_S,
            self._on_answer,
            messages.SubAnswer(number, messages.SubOutcome.UNSENT),
        )

    def _on_answer(self, answer: messages.SubAnswer) -> None:
        now = self._engine.view.clock.now()
        next_sub_requests = self._query.on_answer(answer, now)
        if not self._has_reported_first_answer and self._query.has_any_answer:
            self._has_reported_first_answer = True
            self._on_first_answer()
        self._cancel_attempts(self._query.drain_cancelled())
        if self._query.is_done:
            self._finish()
        elif next_sub_requests:
            self._dispatch(next_sub_requests)
            self._set_timer()
        elif answer.outcome != messages.SubOutcome.ANSWERED:
            self._set_timer()

    def _on_timer(self) -> None:
        self._timer = None
        now = self._engine.view.clock.now()
        if now >= self._query.answer_due_at:
            self._finish()
            return
        if not self._engine.is_view_current(now):
            # The process was paused: no new sub-request is sent until the view
            # is confirmed.
            self._set_timer_at(now + 1)
            return
        self._dispatch(self._query.on_timer(now))
        self._cancel_attempts(self._query.drain_cancelled())
        if self._query.is_done:
            self._finish()
        else:
            self._set_timer()

    def _set_timer(self) -> None:
        self._set_timer_at(self._query.next_timer_at())

    def _set_timer_at(self, at: int) -> None:
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

    def _clean_up(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_attempts(self._query.cancel_all())
        self._engine.counters.late_answers += self._query.dropped_count
        self._finish()

    def _cancel_attempts(self, attempts: list[int]) -> None:
        for number in attempts:
            link = self._engine.pool.links.get(
                self._searchers_by_attempt.get(number, "")
            )
            if link is not None:
                link.cancel(number)


class SearchEngine:
    """Executes queries over the links to searchers.

    Args:
      view: This daemon's view of the cluster.
      pool: Links to searchers.
      settings: Minimum delay of a hedge, and hedges allowed per ordinary
        sub-request.
      rng: Random number generator.
      first_attempt: Number of the first sub-request. Ranges of daemons start
        far apart, so that their numbers differ.
    """

    __slots__ = (
        "_attempt_numbers",
        "_budgets",
        "_choosers",
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
        self._choosers: dict[str, _BackendChoosers] = {}
        self._budgets: dict[str, routing.HedgeRetryBudget] = {}
        self._attempt_numbers = itertools.count(first_attempt)
        self.counters = QueryCounters()

    @property
    def attempt_numbers(self) -> itertools.count:
        """Iterator over numbers of calls to searchers, each used once."""
        return self._attempt_numbers

    def set_catalogue(self, catalogue: declared.Catalogue) -> None:
        """Applies the active back ends and snapshots."""
        for name in catalogue.backends:
            choosers = self.choosers_of(name)
            choosers.snapshot_chooser.set_snapshots(
                catalogue.snapshots.get(name, [])
            )

    def choosers_of(self, name: str) -> _BackendChoosers:
        """Returns the choosers of a back end, made at the first use."""
        if name not in self._choosers:
            replica_chooser = routing.ReplicaChooser(
                self.pool.latencies_of(name),
                self._load_of,
                self._is_usable,
                self._is_cold,
                self._rng,
            )
            self._choosers[name] = _BackendChoosers(
                replica_chooser, routing.SnapshotChooser(replica_chooser)
            )
            self._budgets[name] = routing.HedgeRetryBudget(
                self._settings.hedge_budget_share
            )
        return self._choosers[name]

    def is_view_current(self, now: int) -> bool:
        """Returns whether new work may be sent based on the local view."""
        return self.view.pause_detector.check_view(now)

    async def search(
        self,
        request: messages.SearchRequest,
        contract: declarations.Contract,
        on_first_answer: Callable[[], None],
    ) -> result.Result[messages.SearchAnswer, messages.Refusal]:
        """Returns the answer from one snapshot, or a refusal.

        Args:
          request: The caller's request.
          contract: Contract of the customer.
          on_first_answer: Called once, when the first shard has answered.
        """
        self.counters.queries += 1
        choosers = self.choosers_of(request.backend)
        query = routing.Query(
            request,
            contract,
            choosers.replica_chooser,
            choosers.snapshot_chooser,
            self._budgets[request.backend],
            self._settings.hedge_floor_ms,
            self._attempt_numbers,
        )
        start_result = query.start(self.view.clock.now())
        if start_result.is_err():
            return start_result
        execution = _QueryExecution(
            self, query, request, contract, on_first_answer
        )
        await execution.run(start_result.unwrap())
        return query.finish()

    def _load_of(self, searcher: str) -> int:
        return self.pool.links[searcher].limiter.load

    def _is_cold(self, searcher: str) -> bool:
        return self.pool.links[searcher].is_cold

    def _is_usable(self, searcher: str, now: int) -> bool:
        link = self.pool.links.get(searcher)
        return link is not None and link.is_usable(now)
