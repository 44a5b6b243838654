"""One request to one searcher of each of several groups.

A plain state machine: sends, answers and clock readings in; sends and a
verdict out. A relayed request is a fanout with one group.

Answers the load of a query that touches many shards, of which one is nearly
always paused: what is late is sent to a sibling, and near the latency target
the answer leaves with the shards that are in, if they suffice.
"""

import enum
import heapq
import itertools
from collections.abc import Callable

from citrondoor.fanout import _budget
from citrondoor.fanout import _replicas
from citrondoor.schema import serving

# A group without a searcher or budget is tried again after this time.
RETRY_MS = 20
# Sends of a request to one searcher. A route bounds the searchers; where
# answers are lost, all that may be asked have often failed once.
SENDS_TO_ONE = 3


class Outcome(enum.Enum):
    """What became of one send."""

    ANSWERED = 1
    # The searcher did not run it and never will.
    NOT_RUN = 2
    # It may have run.
    FAILED = 3


class FanoutStatus(enum.Enum):
    """What to tell the caller."""

    PENDING = 0
    COMPLETE = 1
    # Enough groups, not all.
    PARTIAL = 2
    # Too few groups; something was sent that may have run.
    FAILED = 3
    # Too few groups; nothing ran or ever will.
    NOT_RUN = 4


class FanoutOptions:
    """Limits of one fanout.

    Args:
      least_groups: Groups that must answer.
      max_attempts: Searchers of a group that may run it.
      is_idempotent: Whether it may run more than once.
      target_at: Clock reading after which an answer is worth little.
      give_up_at: Clock reading at which the caller gets the final answer.
      hedge_delay_ms: Age at which a send counts as late.
      median_ms: Usual latency on the route.
      remote_cost_ms: Handicap of searchers of other zones.
      is_saturated: Whether most searchers have no slot free: hedges are few
        then.
    """

    __slots__ = (
        "give_up_at",
        "hedge_delay_ms",
        "is_idempotent",
        "is_saturated",
        "least_groups",
        "max_attempts",
        "median_ms",
        "remote_cost_ms",
        "target_at",
    )

    def __init__(
        self,
        least_groups: int,
        max_attempts: int,
        is_idempotent: bool,
        target_at: int,
        give_up_at: int,
        hedge_delay_ms: float,
        median_ms: float,
        remote_cost_ms: float,
        is_saturated: bool = True,
    ):
        self.least_groups = least_groups
        self.max_attempts = max_attempts
        self.is_idempotent = is_idempotent
        self.target_at = target_at
        self.give_up_at = give_up_at
        self.hedge_delay_ms = hedge_delay_ms
        self.median_ms = median_ms
        self.remote_cost_ms = remote_cost_ms
        self.is_saturated = is_saturated


class Send:
    """One request to one searcher.

    Args:
      token: Number that no other send of this daemon has.
      group: Back end.
      replica: The searcher.
      is_hedge: Whether another searcher is at work on the same.
      sent_at: Clock reading at which it was decided.
    """

    __slots__ = ("group", "is_hedge", "replica", "sent_at", "token")

    def __init__(
        self,
        token: int,
        group: str,
        replica: _replicas.ReplicaState,
        is_hedge: bool = False,
        sent_at: int = 0,
    ):
        self.token = token
        self.group = group
        self.replica = replica
        self.is_hedge = is_hedge
        self.sent_at = sent_at


class _Group:
    __slots__ = (
        "due_at",
        "has_arrived",
        "is_answered",
        "is_lost",
        "is_retry",
        "name",
        "pending",
        "tried",
    )

    def __init__(self, name: str):
        self.name = name
        # How often it was sent to each searcher that may have run it.
        self.tried: dict[str, int] = {}
        self.pending: dict[int, Send] = {}
        # When something is to be done, and whether that is a retry or a hedge.
        self.due_at: float | None = None
        self.is_retry = False
        self.is_answered = False
        # No searcher can be asked now and none is at work.
        self.is_lost = False
        self.has_arrived = False


class Fanout:
    """Decides the sends of one request.

    Args:
      groups: Back ends, of each of which one searcher must answer.
      options: Limits.
      usable: Returns the searchers of a back end that may receive work.
      replicas: What was seen of searchers.
      budgets: Bound of extra sends.
      may_send: Returns whether a searcher may get one more request now; it
        counts the request if so.
      numbers: Iterator of tokens.
    """

    __slots__ = (
        "_answered_count",
        "_budgets",
        "_by_token",
        "_due",
        "_groups",
        "_has_run",
        "_may_send",
        "_numbers",
        "_open",
        "_options",
        "_order",
        "_replicas",
        "_usable",
    )

    def __init__(
        self,
        groups: tuple[str, ...],
        options: FanoutOptions,
        usable: Callable[[str], list[serving.Upstream]],
        replicas: _replicas.ReplicaBalancer,
        budgets: _budget.HedgeRetryBudgets,
        may_send: Callable[[serving.Upstream, int], bool],
        numbers,
    ):
        self._groups = [_Group(name) for name in groups]
        self._by_token: dict[int, _Group] = {}
        self._options = options
        self._usable = usable
        self._replicas = replicas
        self._budgets = budgets
        self._may_send = may_send
        self._numbers = numbers
        self._answered_count = 0
        # Groups that are neither answered nor lost.
        self._open = len(self._groups)
        # (time, number, group), the first one in front; an entry counts while
        # the group has that time. Each reply looks here, so it must not cost a
        # walk over all groups.
        self._due: list[tuple[float, int, _Group]] = []
        self._order = itertools.count()
        # Whether a searcher may have worked on it.
        self._has_run = False

    @property
    def answered_count(self) -> int:
        """Groups that have answered."""
        return self._answered_count

    @property
    def missing_groups(self) -> list[str]:
        """Groups that have not answered."""
        return [g.name for g in self._groups if not g.is_answered]

    def pending(self) -> list[Send]:
        """Returns the sends that are not ended."""
        return [s for g in self._groups for s in g.pending.values()]

    def pending_unanswered(self) -> list[Send]:
        """Returns the sends to groups that have not answered."""
        return [
            send
            for group in self._groups
            if not group.is_answered
            for send in group.pending.values()
        ]

    def start(self, now: int) -> list[Send]:
        """Returns the first sends; counts the request at each back end."""
        for group in self._groups:
            self._budgets.record_request(
                group.name, now, self._options.is_saturated
            )
        if self._reachable(now) < self._options.least_groups:
            for group in self._groups:
                self._set_lost(group, True)
            return []
        sends: list[Send] = []
        for group in self._groups:
            self._try(group, now, sends)
        return sends

    def on_send_done(
        self, token: int, outcome: Outcome, now: int
    ) -> list[Send]:
        """Takes the end of a send; returns further ones."""
        group = self._by_token.pop(token, None)
        if group is None:
            return []
        send = group.pending.pop(token)
        if outcome != Outcome.NOT_RUN:
            self._has_run = True
        sends: list[Send] = []
        if outcome == Outcome.ANSWERED:
            if not group.is_answered:
                self._set_lost(group, False)
                group.is_answered = True
                self._answered_count += 1
                self._open -= 1
                if send.is_hedge:
                    self._budgets.record_hedge_won()
            group.due_at = None
            return sends
        if outcome == Outcome.NOT_RUN:
            self._forget_send(group, send.replica.upstream.id)
        if not group.is_answered and not group.pending:
            self._retry(group, send, outcome, now, sends)
        return sends

    def on_timer(self, now: int) -> list[Send]:
        """Returns the sends that are due."""
        sends: list[Send] = []
        while (due_at := self._next_due()) is not None and due_at <= now:
            _, _, group = heapq.heappop(self._due)
            group.due_at = None
            if group.is_retry:
                self._try(group, now, sends)
            else:
                self._hedge(group, now, sends)
        return sends

    def next_timer_at(self) -> float:
        """Returns the clock reading at which `on_timer` has work."""
        options = self._options
        next_at: float = options.give_up_at
        if self._answered_count >= options.least_groups:
            next_at = min(next_at, options.target_at)
        due_at = self._next_due()
        return next_at if due_at is None else min(next_at, due_at)

    def status(self, now: int) -> FanoutStatus:
        """Returns what to tell the caller now."""
        total = len(self._groups)
        if self._answered_count == total:
            return FanoutStatus.COMPLETE
        options = self._options
        is_enough = self._answered_count >= options.least_groups
        if is_enough and (self._open == 0 or now >= options.target_at):
            return FanoutStatus.PARTIAL
        is_over = now >= options.give_up_at
        can_be_enough = (
            self._answered_count + self._open >= options.least_groups
        )
        if can_be_enough and not is_over:
            return FanoutStatus.PENDING
        if is_enough:
            return FanoutStatus.PARTIAL
        may_run = self._has_run or any(g.pending for g in self._groups)
        return FanoutStatus.FAILED if may_run else FanoutStatus.NOT_RUN

    def _reachable(self, now: int) -> int:
        return sum(
            any(
                self._replicas.get(u).blocked_until <= now
                for u in self._usable(group.name)
            )
            for group in self._groups
        )

    def _candidates(self, group: _Group) -> list[serving.Upstream]:
        """Returns the searchers that may be asked, in any state."""
        options = self._options
        upstreams = self._usable(group.name)
        if not group.tried:
            return upstreams
        if not options.is_idempotent:
            return []
        if len(group.tried) < options.max_attempts:
            untried = [u for u in upstreams if u.id not in group.tried]
            if untried:
                return untried
        at_work = {s.replica.upstream.id for s in group.pending.values()}
        return [
            u
            for u in upstreams
            if 0 < group.tried.get(u.id, 0) < SENDS_TO_ONE
            and u.id not in at_work
        ]

    def _is_exhausted(self, group: _Group) -> bool:
        options = self._options
        if not options.is_idempotent:
            return bool(group.tried)
        return len(group.tried) >= options.max_attempts and all(
            sends >= SENDS_TO_ONE for sends in group.tried.values()
        )

    def _forget_send(self, group: _Group, upstream_id: str) -> None:
        group.tried[upstream_id] -= 1
        if not group.tried[upstream_id]:
            del group.tried[upstream_id]

    def _set_lost(self, group: _Group, is_lost: bool) -> None:
        if group.is_lost != is_lost:
            group.is_lost = is_lost
            self._open += -1 if is_lost else 1

    def _set_due(self, group: _Group, due_at: float, is_retry: bool) -> None:
        group.due_at = due_at
        group.is_retry = is_retry
        heapq.heappush(self._due, (due_at, next(self._order), group))

    def _next_due(self) -> float | None:
        while self._due:
            due_at, _, group = self._due[0]
            if group.due_at == due_at:
                return due_at
            heapq.heappop(self._due)
        return None

    def _try(self, group: _Group, now: int, sends: list[Send]) -> None:
        """Sends to the best searcher, or waits for one."""
        group.due_at = None
        if not self._send(group, now, sends):
            self._wait(group, now)

    def _wait(self, group: _Group, now: int) -> None:
        if self._is_exhausted(group):
            self._set_lost(group, not group.pending)
            group.due_at = None
            return
        usable = self._usable(group.name)
        # A blocked searcher is back later than this request can wait for.
        is_blocked = all(
            self._replicas.get(u).blocked_until > now for u in usable
        )
        self._set_lost(group, not group.pending and is_blocked)
        self._set_due(group, now + RETRY_MS, is_retry=True)

    def _send(
        self,
        group: _Group,
        now: int,
        sends: list[Send],
        avoided: str = "",
        is_hedge: bool = False,
    ) -> bool:
        options = self._options
        upstreams = self._candidates(group)
        excluded = {avoided}
        while True:
            replica = self._replicas.choose(
                upstreams,
                excluded,
                options.median_ms,
                options.remote_cost_ms,
                now,
            )
            if replica is None:
                return False
            upstream = replica.upstream
            if is_hedge and replica.is_late(now):
                # It would be late as well. Where all are late the load is too
                # high, and hedges would make it higher.
                return False
            if self._may_send(upstream, now):
                break
            excluded.add(upstream.id)
        if group.has_arrived:
            budgets = self._budgets
            take = (
                budgets.try_acquire_hedge if is_hedge else budgets.try_acquire
            )
            if not take(group.name, now):
                return False
        group.has_arrived = True
        send = Send(next(self._numbers), group.name, replica, is_hedge, now)
        replica.record_sent(send.token, options.hedge_delay_ms, now)
        group.tried[upstream.id] = group.tried.get(upstream.id, 0) + 1
        group.pending[send.token] = send
        self._set_lost(group, False)
        self._by_token[send.token] = group
        group.due_at = None
        if options.is_idempotent:
            self._set_due(group, now + options.hedge_delay_ms, is_retry=False)
        sends.append(send)
        return True

    def _hedge(self, group: _Group, now: int, sends: list[Send]) -> None:
        if not self._candidates(group):
            return
        if not self._send(group, now, sends, is_hedge=True):
            self._set_due(group, now + RETRY_MS, is_retry=False)

    def _retry(
        self,
        group: _Group,
        ended: Send,
        outcome: Outcome,
        now: int,
        sends: list[Send],
    ) -> None:
        may_repeat = self._options.is_idempotent or outcome == Outcome.NOT_RUN
        if not may_repeat:
            self._set_lost(group, True)
            group.due_at = None
            return
        group.due_at = None
        # One that has just rejected it is asked again only after a while.
        is_rejected = outcome == Outcome.NOT_RUN
        avoided = ended.replica.upstream.id if is_rejected else ""
        if not self._send(group, now, sends, avoided):
            self._wait(group, now)
