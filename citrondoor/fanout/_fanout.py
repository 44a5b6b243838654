"""Decides the sends of a request to a searcher of each of several back ends.

A state machine without I/O: it receives ended sends and clock readings, and
returns further sends and a status. A back end of the request is called a group;
a request to one back end is a fanout with one group.

Handles a query to many shards, of which one is nearly always paused. A late
send is hedged with a sibling, and at the latency target the request is answered
from the shards that have answered, if there are enough of them.
"""

import enum
import heapq
import itertools
from collections.abc import Callable

from citrondoor.fanout import _budget
from citrondoor.fanout import _replicas
from citrondoor.schema import serving

# Delay before a send is tried again that no searcher could get, that exceeded
# the limit of hedges and retries, or that was a hedge to a late searcher.
RECHECK_DELAY_MS = 20
# Limit of sends to the same searcher for one request, without those that did
# not run. The route only limits the number of different searchers. If answers
# get lost, each of these has often failed once, and gets the request again.
MAX_SENDS_PER_SEARCHER = 3


class Outcome(enum.Enum):
    """How one send ended."""

    ANSWERED = 1
    # The searcher did not run the request and never will.
    NOT_RUN = 2
    # The request may have run.
    FAILED = 3


class FanoutStatus(enum.Enum):
    """Progress of a request, which decides the answer to its caller."""

    PENDING = 0
    COMPLETE = 1
    # Enough groups answered, but not all.
    PARTIAL = 2
    # Too few groups answered; a send may have run.
    FAILED = 3
    # Too few groups answered; no send has run or ever will.
    NOT_RUN = 4


class FanoutOptions:
    """Limits of one fanout.

    Args:
      min_groups: Number of groups that must answer.
      max_searchers: Number of different searchers of a group that may run the
        request.
      is_idempotent: Whether the request may run more than once.
      target_at: Clock reading at which a request with enough groups is
        answered without the others.
      give_up_at: Clock reading at which the request ends, even if too few
        groups have answered.
      hedge_delay_ms: Age at which a send counts as late.
      median_ms: Median latency on the route.
      remote_cost_ms: Cost added to searchers of other zones, in ms.
      is_saturated: Whether the route is saturated, see `RouteLatencies`; the
        request then earns fewer hedges.
    """

    __slots__ = (
        "give_up_at",
        "hedge_delay_ms",
        "is_idempotent",
        "is_saturated",
        "max_searchers",
        "median_ms",
        "min_groups",
        "remote_cost_ms",
        "target_at",
    )

    def __init__(
        self,
        min_groups: int,
        max_searchers: int,
        is_idempotent: bool,
        target_at: int,
        give_up_at: int,
        hedge_delay_ms: float,
        median_ms: float,
        remote_cost_ms: float,
        is_saturated: bool = True,
    ):
        self.min_groups = min_groups
        self.max_searchers = max_searchers
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
      group: The back end.
      replica: State of the searcher.
      is_hedge: Whether an earlier send to the group is late but has not ended.
      sent_at: Clock reading at which the send was decided.
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
    """State of the request at one back end."""

    __slots__ = (
        "due_at",
        "is_answered",
        "is_retry_due",
        "is_unavailable",
        "name",
        "pending",
        "send_counts",
        "was_sent",
    )

    def __init__(self, name: str):
        self.name = name
        # Number of sends to each searcher that may have run the request.
        self.send_counts: dict[str, int] = {}
        self.pending: dict[int, Send] = {}
        # When the next retry or hedge is due; None if none is.
        self.due_at: float | None = None
        self.is_retry_due = False
        self.is_answered = False
        # Whether the request does not wait for this group: no send is pending,
        # and no further one is allowed, no searcher is unblocked, or nothing
        # was sent because too few groups had an unblocked searcher.
        self.is_unavailable = False
        # Whether the request was sent here; any further send is a hedge or a
        # retry and needs budget.
        self.was_sent = False


class Fanout:
    """Decides the sends of one request.

    Args:
      groups: Back ends; the request is sent to one searcher of each.
      options: Limits of the request.
      usable_upstreams: Returns the searchers of a back end that may receive
        requests.
      replicas: Chooses searchers and holds their state.
      limiter: Limits hedges and retries.
      may_send: Returns whether a searcher may get one more request now, and
        counts the request if so.
      tokens: Iterator of numbers that no other send of this daemon has.
      has_capacity: Returns whether a searcher may get one more request now,
        without counting any. One that may not is treated like a blocked one.
    """

    __slots__ = (
        "_answered_count",
        "_groups",
        "_groups_by_token",
        "_has_capacity",
        "_limiter",
        "_may_have_run",
        "_may_send",
        "_open_count",
        "_options",
        "_replicas",
        "_timer_numbers",
        "_timers",
        "_tokens",
        "_usable_upstreams",
    )

    def __init__(
        self,
        groups: tuple[str, ...],
        options: FanoutOptions,
        usable_upstreams: Callable[[str], list[serving.Upstream]],
        replicas: _replicas.ReplicaBalancer,
        limiter: _budget.HedgeRetryLimiter,
        may_send: Callable[[serving.Upstream, int], bool],
        tokens,
        has_capacity: Callable[[serving.Upstream, int], bool] = (
            lambda upstream, now: True
        ),
    ):
        self._groups = [_Group(name) for name in groups]
        self._groups_by_token: dict[int, _Group] = {}
        self._options = options
        self._usable_upstreams = usable_upstreams
        self._replicas = replicas
        self._limiter = limiter
        self._may_send = may_send
        self._tokens = tokens
        self._has_capacity = has_capacity
        self._answered_count = 0
        # Groups that have not answered and are not unavailable.
        self._open_count = len(self._groups)
        # Heap of (due_at, number, group); the number breaks ties. An entry is
        # valid while its due_at equals that of the group. Each reply looks up
        # the next timer, so this must not iterate over all groups.
        self._timers: list[tuple[float, int, _Group]] = []
        self._timer_numbers = itertools.count()
        # Whether a send that ended may have run.
        self._may_have_run = False

    @property
    def answered_count(self) -> int:
        """Number of groups that have answered."""
        return self._answered_count

    @property
    def missing_groups(self) -> list[str]:
        """Names of the groups that have not answered."""
        return [group.name for group in self._groups if not group.is_answered]

    def end_by(self, give_up_at: int) -> None:
        """Makes the request end at a clock reading, if not before."""
        self._options.give_up_at = min(self._options.give_up_at, give_up_at)

    def pending(self) -> list[Send]:
        """Returns the sends that have not ended."""
        return [
            send for group in self._groups for send in group.pending.values()
        ]

    def pending_unanswered(self) -> list[Send]:
        """Returns the pending sends to groups that have not answered."""
        return [
            send
            for group in self._groups
            if not group.is_answered
            for send in group.pending.values()
        ]

    def start(self, now: int) -> list[Send]:
        """Counts the request at each back end, and returns the first sends.

        Returns no sends if fewer groups than needed have a searcher that is
        not blocked.
        """
        for group in self._groups:
            self._limiter.record_request(
                group.name, now, self._options.is_saturated
            )
        if self._reachable_group_count(now) < self._options.min_groups:
            for group in self._groups:
                self._set_unavailable(group, True)
            return []
        sends: list[Send] = []
        for group in self._groups:
            self._send_or_schedule(group, now, sends)
        return sends

    def on_send_done(
        self, token: int, outcome: Outcome, now: int
    ) -> list[Send]:
        """Records how a send ended, and returns further sends."""
        group = self._groups_by_token.pop(token, None)
        if group is None:
            return []
        send = group.pending.pop(token)
        if outcome != Outcome.NOT_RUN:
            self._may_have_run = True
        sends: list[Send] = []
        if outcome == Outcome.ANSWERED:
            if not group.is_answered:
                self._set_unavailable(group, False)
                group.is_answered = True
                self._answered_count += 1
                self._open_count -= 1
                if send.is_hedge:
                    self._limiter.record_hedge_won()
            group.due_at = None
            return sends
        if outcome == Outcome.NOT_RUN:
            self._uncount_send(group, send.replica.upstream.id)
        if not group.is_answered and not group.pending:
            self._retry(group, send, outcome, now, sends)
        return sends

    def record_not_run(self, token: int) -> None:
        """Records that a send was cancelled before it could run.

        For a request that is over, so that no further send follows.
        """
        group = self._groups_by_token.pop(token, None)
        if group is not None:
            send = group.pending.pop(token)
            self._uncount_send(group, send.replica.upstream.id)

    def on_timer(self, now: int) -> list[Send]:
        """Returns the retries and hedges that are due."""
        sends: list[Send] = []
        while (due_at := self._next_due_at()) is not None and due_at <= now:
            _, _, group = heapq.heappop(self._timers)
            group.due_at = None
            if group.is_retry_due:
                self._send_or_schedule(group, now, sends)
            else:
                self._send_hedge(group, now, sends)
        return sends

    def next_timer_at(self) -> float:
        """Returns the clock reading at which to call `on_timer` next."""
        options = self._options
        next_at: float = options.give_up_at
        if self._answered_count >= options.min_groups:
            next_at = min(next_at, options.target_at)
        due_at = self._next_due_at()
        return next_at if due_at is None else min(next_at, due_at)

    def status(self, now: int) -> FanoutStatus:
        """Returns the status of the request at a clock reading."""
        total = len(self._groups)
        if self._answered_count == total:
            return FanoutStatus.COMPLETE
        options = self._options
        is_enough = self._answered_count >= options.min_groups
        if is_enough and (self._open_count == 0 or now >= options.target_at):
            return FanoutStatus.PARTIAL
        is_over = now >= options.give_up_at
        can_be_enough = (
            self._answered_count + self._open_count >= options.min_groups
        )
        if can_be_enough and not is_over:
            return FanoutStatus.PENDING
        if is_enough:
            return FanoutStatus.PARTIAL
        may_have_run = self._may_have_run or any(
            group.pending for group in self._groups
        )
        return FanoutStatus.FAILED if may_have_run else FanoutStatus.NOT_RUN

    def _reachable_group_count(self, now: int) -> int:
        return sum(
            any(
                self._is_open(upstream, now)
                for upstream in self._usable_upstreams(group.name)
            )
            for group in self._groups
        )

    def _is_open(self, upstream: serving.Upstream, now: int) -> bool:
        """Returns whether a searcher may get a request now."""
        is_open = self._replicas.get(upstream).is_open(now)
        return is_open and self._has_capacity(upstream, now)

    def _candidates(self, group: _Group) -> list[serving.Upstream]:
        """Returns the searchers that the limits of the request allow.

        Includes blocked searchers.
        """
        options = self._options
        upstreams = self._usable_upstreams(group.name)
        if not group.send_counts:
            return upstreams
        if not options.is_idempotent:
            return []
        if len(group.send_counts) < options.max_searchers:
            untried = [
                upstream
                for upstream in upstreams
                if upstream.id not in group.send_counts
            ]
            if untried:
                return untried
        pending_ids = {
            send.replica.upstream.id for send in group.pending.values()
        }
        return [
            upstream
            for upstream in upstreams
            if 0
            < group.send_counts.get(upstream.id, 0)
            < MAX_SENDS_PER_SEARCHER
            and upstream.id not in pending_ids
        ]

    def _is_exhausted(self, group: _Group) -> bool:
        options = self._options
        if not options.is_idempotent:
            return bool(group.send_counts)
        return len(group.send_counts) >= options.max_searchers and all(
            count >= MAX_SENDS_PER_SEARCHER
            for count in group.send_counts.values()
        )

    def _uncount_send(self, group: _Group, upstream_id: str) -> None:
        """Removes a send that did not run from the group's counts."""
        group.send_counts[upstream_id] -= 1
        if not group.send_counts[upstream_id]:
            del group.send_counts[upstream_id]

    def _set_unavailable(self, group: _Group, is_unavailable: bool) -> None:
        if group.is_unavailable != is_unavailable:
            group.is_unavailable = is_unavailable
            self._open_count += -1 if is_unavailable else 1

    def _set_timer(self, group: _Group, due_at: float, is_retry: bool) -> None:
        group.due_at = due_at
        group.is_retry_due = is_retry
        heapq.heappush(self._timers, (due_at, next(self._timer_numbers), group))

    def _next_due_at(self) -> float | None:
        while self._timers:
            due_at, _, group = self._timers[0]
            if group.due_at == due_at:
                return due_at
            heapq.heappop(self._timers)
        return None

    def _send_or_schedule(
        self, group: _Group, now: int, sends: list[Send]
    ) -> None:
        """Sends to the best searcher, or schedules a retry."""
        group.due_at = None
        if not self._add_send(group, now, sends):
            self._schedule_retry(group, now)

    def _schedule_retry(self, group: _Group, now: int) -> None:
        if self._is_exhausted(group):
            self._set_unavailable(group, not group.pending)
            group.due_at = None
            return
        upstreams = self._usable_upstreams(group.name)
        # Searchers that are blocked, paused or at a limit are expected back too
        # late for this request, so it does not wait for a group that has no
        # others. The group is still tried again while the request is pending.
        is_blocked = not any(
            self._is_open(upstream, now) for upstream in upstreams
        )
        self._set_unavailable(group, not group.pending and is_blocked)
        self._set_timer(group, now + RECHECK_DELAY_MS, is_retry=True)

    def _add_send(
        self,
        group: _Group,
        now: int,
        sends: list[Send],
        avoided_id: str = "",
        is_hedge: bool = False,
    ) -> bool:
        """Adds a send to the best searcher.

        Returns:
          False if no searcher can get it now, if a hedge would go to a late
          searcher, or if the budget of hedges and retries is used up.
        """
        options = self._options
        upstreams = self._candidates(group)
        excluded = {avoided_id}
        # A request that must not be repeated is lost with its only send.
        loss_ms = None if options.is_idempotent else options.give_up_at - now
        while True:
            replica = self._replicas.choose(
                upstreams,
                excluded,
                options.median_ms,
                options.remote_cost_ms,
                now,
                loss_ms,
            )
            if replica is None:
                return False
            upstream = replica.upstream
            if is_hedge and replica.is_late(now):
                # The hedge would be late as well. If all searchers are late,
                # the load is too high, and hedges would increase it.
                return False
            if self._may_send(upstream, now):
                break
            excluded.add(upstream.id)
        if group.was_sent:
            limiter = self._limiter
            try_acquire = (
                limiter.try_acquire_hedge if is_hedge else limiter.try_acquire
            )
            if not try_acquire(group.name, now):
                return False
        group.was_sent = True
        send = Send(next(self._tokens), group.name, replica, is_hedge, now)
        replica.record_sent(send.token, options.hedge_delay_ms, now)
        group.send_counts[upstream.id] = (
            group.send_counts.get(upstream.id, 0) + 1
        )
        group.pending[send.token] = send
        self._set_unavailable(group, False)
        self._groups_by_token[send.token] = group
        group.due_at = None
        if options.is_idempotent:
            self._set_timer(group, now + options.hedge_delay_ms, is_retry=False)
        sends.append(send)
        return True

    def _send_hedge(self, group: _Group, now: int, sends: list[Send]) -> None:
        if not self._candidates(group):
            return
        if not self._add_send(group, now, sends, is_hedge=True):
            self._set_timer(group, now + RECHECK_DELAY_MS, is_retry=False)

    def _retry(
        self,
        group: _Group,
        ended_send: Send,
        outcome: Outcome,
        now: int,
        sends: list[Send],
    ) -> None:
        may_repeat = self._options.is_idempotent or outcome == Outcome.NOT_RUN
        if not may_repeat:
            self._set_unavailable(group, True)
            group.due_at = None
            return
        group.due_at = None
        # A searcher that has just rejected the request does not get it again
        # at once, but after `RECHECK_DELAY_MS` if there is no other.
        is_rejected = outcome == Outcome.NOT_RUN
        avoided_id = ended_send.replica.upstream.id if is_rejected else ""
        if not self._add_send(group, now, sends, avoided_id):
            self._schedule_retry(group, now)
