"""Decides which sub-requests a query sends, and what it answers.

A state machine without input and output: its methods get sub-answers and clock
readings, and return the sub-requests to send next.
"""

import itertools

import result

from citrondoor import declarations as declared
from citrondoor import merging
from citrondoor import refusals
from citrondoor.routing import _budget
from citrondoor.routing import _chooser
from citrondoor.routing import _parts
from citrondoor.routing import _policies
from citrondoor.routing import _snapshots
from citrondoor.schema import declarations
from citrondoor.schema import messages

MAX_SNAPSHOT_RESTARTS = 3
# A sub-request is hedged when it takes longer than this share of all
# sub-requests to the back end.
HEDGE_QUANTILE = 0.98
# Pause before a new round, in which all replicas of a group may be chosen
# again; doubles with each round.
RETRY_PAUSE_MS = 10
MAX_RETRY_PAUSE_MS = 320
# Pause before a group is tried again of which no replica has been usable yet.
UNUSABLE_PAUSE_MS = 20

_Outcome = messages.SubOutcome


class Query:
    """Runs one request on one snapshot, so that all hits are of one version.

    Each replica group is a part, which is answered by one sub-request. A query
    starts over on another snapshot when no replica of a group holds the
    present one. Clock readings are in ms.

    Args:
      request: The caller's request.
      contract: Contract of the customer.
      chooser: Chooser of the back end's replicas.
      snapshots: Chooser of the back end's snapshots.
      budget: Hedges and retries allowed at the back end.
      hedge_floor_ms: Minimum delay of a hedge.
      attempt_numbers: Counter that all queries of this daemon share.
    """

    __slots__ = (
        "_answer_due_at",
        "_answers",
        "_attempt_numbers",
        "_attempts",
        "_budget",
        "_cancelled",
        "_chooser",
        "_contract",
        "_dropped_count",
        "_hedge_floor_ms",
        "_open_part_count",
        "_parts",
        "_policy",
        "_request",
        "_restart_count",
        "_sent_count",
        "_snapshot",
        "_snapshots",
        "_started_at",
        "_tried_snapshots",
    )

    def __init__(
        self,
        request: messages.SearchRequest,
        contract: declarations.Contract,
        chooser: _chooser.ReplicaChooser,
        snapshots: _snapshots.SnapshotChooser,
        budget: _budget.HedgeRetryBudget,
        hedge_floor_ms: int,
        attempt_numbers: itertools.count,
    ):
        self._request = request
        self._contract = contract
        self._policy = _policies.policy_of(contract)
        self._chooser = chooser
        self._snapshots = snapshots
        self._budget = budget
        self._hedge_floor_ms = hedge_floor_ms
        self._attempt_numbers = attempt_numbers
        self._snapshot: declared.SnapshotIndex | None = None
        self._parts: list[_parts.Part] = []
        self._open_part_count = 0
        self._attempts: dict[int, _parts.Attempt] = {}
        self._answers: list[messages.ShardAnswer] = []
        self._cancelled: list[int] = []
        self._tried_snapshots: set[str] = set()
        self._restart_count = 0
        self._sent_count = 0
        self._dropped_count = 0
        self._started_at = 0
        self._answer_due_at = 0

    @property
    def snapshot_name(self) -> str:
        """Name of the snapshot that is searched; empty before the start."""
        return self._snapshot.name if self._snapshot else ""

    @property
    def is_done(self) -> bool:
        """Whether every part is answered or given up."""
        return self._open_part_count == 0

    @property
    def answer_due_at(self) -> int:
        """Clock reading at which to answer with the parts answered by then."""
        return self._answer_due_at

    @property
    def dropped_count(self) -> int:
        """Sub-answers that were ignored.

        They were for an attempt that is not open, for a part that is answered
        already, or from another snapshot.
        """
        return self._dropped_count

    @property
    def has_any_answer(self) -> bool:
        """Whether at least one shard has answered."""
        return bool(self._answers)

    def start(
        self, now: int
    ) -> result.Result[list[messages.SubRequest], messages.Refusal]:
        """Chooses a snapshot and returns the first sub-requests.

        Returns a refusal when there is no snapshot, or the request names an
        unknown shard or would search more shards than the contract allows. A
        request that names no shards searches all.
        """
        self._started_at = now
        self._answer_due_at = _policies.answer_due_at(
            self._policy, now, self._request.deadline_at
        )
        snapshot = self._snapshots.newest
        if snapshot is None:
            return result.Err(refusals.no_snapshot(self._request.backend))
        refusal = self._check_shards(snapshot)
        if refusal is not None:
            return result.Err(refusal)
        sub_requests = self._start_on(snapshot, now)
        if len(sub_requests) < len(self._parts):
            # A group has no usable replica. All groups of an older snapshot
            # may have one.
            older_snapshot = self._snapshots.choose((), now)
            if older_snapshot is not self._snapshot and not self._check_shards(
                older_snapshot
            ):
                self._cancel_attempts()
                sub_requests = self._start_on(older_snapshot, now)
        return result.Ok(sub_requests)

    def on_answer(
        self, answer: messages.SubAnswer, now: int
    ) -> list[messages.SubRequest]:
        """Applies a sub-answer; returns the sub-requests to send next."""
        attempt = self._attempts.pop(answer.attempt, None)
        if attempt is None:
            self._dropped_count += 1
            return []
        part = attempt.part
        part.open_attempt_count -= 1
        if part.answered:
            self._dropped_count += 1
            return []
        if answer.outcome == _Outcome.ANSWERED and self._accept(part, answer):
            return []
        if answer.outcome == _Outcome.SNAPSHOT_MISSING:
            part.searchers_without_snapshot.add(attempt.searcher)
            self._snapshots.record_missing(
                attempt.searcher, self.snapshot_name, now
            )
        return self._retry(part, now)

    def on_timer(self, now: int) -> list[messages.SubRequest]:
        """Returns the hedges and retries that are due."""
        if now >= self._answer_due_at:
            return []
        due = []
        snapshot = self._snapshot
        for part in self._parts:
            if part.answered or part.is_exhausted:
                continue
            sub_requests = self._run_due_timer(part, now)
            if self._snapshot is not snapshot:
                # The query started over on another snapshot and cancelled all
                # earlier attempts, including those in `due`.
                return sub_requests
            due += sub_requests
        return due

    def next_timer_at(self) -> int:
        """Returns the clock reading at which `on_timer` is due next."""
        next_at = self._answer_due_at
        for part in self._parts:
            if part.answered or part.is_exhausted:
                continue
            for timer_at in (part.hedge_at, part.retry_at):
                if timer_at is not None and timer_at < next_at:
                    next_at = timer_at
        return next_at

    def drain_cancelled(self) -> list[int]:
        """Returns the attempts cancelled since the last call."""
        cancelled = self._cancelled
        self._cancelled = []
        return cancelled

    def cancel_all(self) -> list[int]:
        """Cancels the open attempts when the query ends.

        Returns:
          All attempts that are cancelled and were not yet drained.
        """
        open_attempts = list(self._attempts)
        self._attempts.clear()
        return open_attempts + self.drain_cancelled()

    def finish(
        self,
    ) -> result.Result[messages.SearchAnswer, messages.Refusal]:
        """Returns the merged answer of the answered parts.

        Returns a refusal when no part has been answered; it tells whether any
        sub-request was sent, so that a searcher may have run the request.
        """
        if not self._answers and self._parts:
            ran = messages.Ran.UNKNOWN if self._sent_count else messages.Ran.NO
            return result.Err(refusals.unavailable(self._request.backend, ran))
        limit = self._contract.max_results
        top = min(self._request.top or limit, limit)
        # A full listing (`top` of 0) is merged with one hit more than the
        # contract allows, to tell whether it was truncated.
        is_full_listing = self._request.top == 0
        hits = merging.merge_hits(
            self._answers, top + 1 if is_full_listing else top
        )
        answer = messages.SearchAnswer(
            id=self._request.id,
            snapshot=self.snapshot_name,
            hits=hits[:top],
            coverage=_parts.coverage_of(self._parts),
            truncated=len(hits) > top,
        )
        return result.Ok(answer)

    def _run_due_timer(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        if part.retry_at is not None and part.retry_at <= now:
            return self._start_retry_round(part, now)
        if part.hedge_at is not None and part.hedge_at <= now:
            return self._hedge(part, now)
        return []

    def _check_shards(
        self, snapshot: declared.SnapshotIndex
    ) -> messages.Refusal | None:
        wanted = self._request.shards
        unknown = [name for name in wanted if name not in snapshot.shard_names]
        if unknown:
            return refusals.unknown_shard(unknown[0], snapshot.name)
        width = len(wanted) or len(snapshot.shard_names)
        if width > self._contract.max_shards:
            return refusals.too_wide(width, self._contract.max_shards)
        return None

    def _start_on(
        self, snapshot: declared.SnapshotIndex, now: int
    ) -> list[messages.SubRequest]:
        """Discards all answers and returns first sub-requests on a snapshot.

        If none of a group's replicas has the snapshot, the query may start over
        on another one and return the sub-requests on that.
        """
        self._snapshot = snapshot
        self._tried_snapshots.add(snapshot.name)
        self._answers = []
        groups = self._select_groups(snapshot)
        self._parts = [_parts.Part(group) for group in groups]
        self._open_part_count = len(self._parts)
        self._budget.record_sub_requests(len(groups))
        sub_requests = []
        for part in self._parts:
            part_requests = self._send_first(part, now)
            if self._snapshot is not snapshot:
                return part_requests
            sub_requests += part_requests
        return sub_requests

    def _select_groups(
        self, snapshot: declared.SnapshotIndex
    ) -> list[declared.ReplicaGroup]:
        if not self._request.shards:
            return snapshot.groups
        wanted = set(self._request.shards)
        groups = []
        for group in snapshot.groups:
            shards = [shard for shard in group.shards if shard.name in wanted]
            if shards:
                groups.append(declared.ReplicaGroup(shards, group.replicas))
        return groups

    def _send_first(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        searcher = self._choose(part, now)
        if searcher is None:
            return self._end_round(part, now)
        return [self._send(part, searcher, now, hedge=False)]

    def _choose(self, part: _parts.Part, now: int) -> str | None:
        if self._snapshots.has_missing_reports():
            self._apply_missing_reports(part, now)
        excluded = part.tried_searchers
        if part.searchers_without_snapshot:
            excluded = part.tried_searchers | part.searchers_without_snapshot
        return self._chooser.choose(part.group.replicas, excluded, now)

    def _apply_missing_reports(self, part: _parts.Part, now: int) -> None:
        snapshot_name = self.snapshot_name
        for name in part.group.replicas:
            if self._snapshots.lacks(name, snapshot_name, now):
                part.searchers_without_snapshot.add(name)

    def _send(
        self, part: _parts.Part, searcher: str, now: int, hedge: bool
    ) -> messages.SubRequest:
        attempt_number = next(self._attempt_numbers)
        part.tried_searchers.add(searcher)
        part.was_sent = True
        part.open_attempt_count += 1
        part.retry_at = None
        part.hedge_at = None if hedge else self._hedge_due_at(part, now)
        self._attempts[attempt_number] = _parts.Attempt(part, searcher, now)
        self._sent_count += 1
        shards = part.group.shard_names
        return messages.SubRequest(attempt_number, searcher, shards, hedge)

    def _hedge_due_at(self, part: _parts.Part, now: int) -> int | None:
        if len(part.group.replicas) < 2:
            return None
        histogram = self._chooser.latencies.histogram
        wait_ms = histogram.quantile(HEDGE_QUANTILE)
        if wait_ms is None:
            return None
        return now + max(self._hedge_floor_ms, round(wait_ms))

    def _hedge(self, part: _parts.Part, now: int) -> list[messages.SubRequest]:
        part.hedge_at = None
        searcher = self._choose(part, now)
        if searcher is None or not self._budget.try_acquire_hedge():
            return []
        self._penalize_open(part, now)
        return [self._send(part, searcher, now, hedge=True)]

    def _penalize_open(self, part: _parts.Part, now: int) -> None:
        for attempt in self._attempts.values():
            if attempt.part is part:
                self._chooser.latencies.penalize(
                    attempt.searcher, now - attempt.sent_at, now
                )

    def _accept(self, part: _parts.Part, answer: messages.SubAnswer) -> bool:
        if answer.snapshot != self.snapshot_name:
            self._dropped_count += 1
            return False
        # An answer with another record count than declared is not from the
        # declared shard.
        expected = part.group.records_by_shard
        matching = [
            s for s in answer.shards if expected.get(s.shard) == s.records
        ]
        if len(matching) != len(expected):
            matching = list({shard.shard: shard for shard in matching}.values())
        if len({shard.shard for shard in matching}) < len(expected):
            return False
        self._answers += matching
        part.answered = True
        self._open_part_count -= 1
        if part.open_attempt_count:
            self._cancel_part(part)
        return True

    def _cancel_part(self, part: _parts.Part) -> None:
        attempt_numbers = [
            n for n, a in self._attempts.items() if a.part is part
        ]
        for attempt_number in attempt_numbers:
            del self._attempts[attempt_number]
        self._cancelled += attempt_numbers

    def _retry(self, part: _parts.Part, now: int) -> list[messages.SubRequest]:
        if (
            part.is_exhausted
            or part.open_attempt_count
            or now >= self._answer_due_at
        ):
            return []
        searcher = self._choose(part, now)
        if searcher is None:
            return self._end_round(part, now)
        if not self._budget.try_acquire_retry():
            return self._pause(part, now)
        return [self._send(part, searcher, now, hedge=False)]

    def _end_round(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        replicas_with_snapshot = [
            n
            for n in part.group.replicas
            if n not in part.searchers_without_snapshot
        ]
        if not replicas_with_snapshot:
            return self._restart_on_other_snapshot(part, now)
        return self._pause(part, now)

    def _pause(self, part: _parts.Part, now: int) -> list[messages.SubRequest]:
        # If the policy does not retry until the answer is due, a group is given
        # up instead of paused again, unless nothing was sent for it yet.
        is_limited = not _policies.retries_until_due(self._policy)
        if is_limited and part.was_sent and part.pause_count:
            self._give_up(part)
            return []
        pause_ms = min(RETRY_PAUSE_MS << part.pause_count, MAX_RETRY_PAUSE_MS)
        if not part.was_sent:
            pause_ms = UNUSABLE_PAUSE_MS
        part.pause_count += 1
        part.hedge_at = None
        part.retry_at = now + pause_ms
        return []

    def _start_retry_round(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        part.retry_at = None
        part.tried_searchers.clear()
        searcher = self._choose(part, now)
        if searcher is None:
            return self._end_round(part, now)
        # The first attempt for a part is an ordinary sub-request and takes
        # nothing from the retry budget, even after a pause.
        if part.was_sent and not self._budget.try_acquire_retry():
            return self._pause(part, now)
        return [self._send(part, searcher, now, hedge=False)]

    def _give_up(self, part: _parts.Part) -> None:
        part.is_exhausted = True
        part.hedge_at = None
        part.retry_at = None
        self._open_part_count -= 1

    def _restart_on_other_snapshot(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        snapshot = self._snapshots.choose(self._tried_snapshots, now)
        is_answer_due = now >= self._answer_due_at
        if (
            snapshot is None
            or is_answer_due
            or self._restart_count >= MAX_SNAPSHOT_RESTARTS
        ):
            self._give_up(part)
            return []
        if self._check_shards(snapshot) is not None:
            self._give_up(part)
            return []
        self._restart_count += 1
        self._cancel_attempts()
        return self._start_on(snapshot, now)

    def _cancel_attempts(self) -> None:
        self._cancelled += list(self._attempts)
        self._attempts.clear()
