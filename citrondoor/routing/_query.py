"""One query: which sub-requests to send, and what to answer.

The query knows nothing of sockets or encodings: it is told of answers and of
time, and returns the sub-requests to send next.
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

MAX_RESTARTS = 3
# A sub-request is hedged once it takes longer than this share of all.
HEDGE_QUANTILE = 0.98
# Pause before every replica of a group is tried again; doubles each round.
RETRY_PAUSE_MS = 10
MAX_RETRY_PAUSE_MS = 320
# Pause before looking again whether any replica may receive work.
LOOK_PAUSE_MS = 20

_Outcome = messages.SubOutcome


class Query:
    """Reads one snapshot for one request.

    Args:
      request: The caller's request.
      contract: Contract of the customer.
      chooser: Chooser of the back end.
      snapshots: Snapshots of the back end.
      budget: Budget of extra sub-requests.
      hedge_floor_ms: Shortest wait before a hedge, in milliseconds.
      attempt_numbers: Numbers that no other query of this daemon uses.
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
        "_dropped",
        "_hedge_floor_ms",
        "_open_parts",
        "_parts",
        "_policy",
        "_request",
        "_restarts",
        "_sent",
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
        self._open_parts = 0
        self._attempts: dict[int, _parts.Attempt] = {}
        self._answers: list[messages.ShardAnswer] = []
        self._cancelled: list[int] = []
        self._tried_snapshots: set[str] = set()
        self._restarts = 0
        self._sent = 0
        self._dropped = 0
        self._started_at = 0
        self._answer_due_at = 0

    @property
    def snapshot_name(self) -> str:
        """Name of the snapshot that is being read; empty before the start."""
        return self._snapshot.name if self._snapshot else ""

    @property
    def is_done(self) -> bool:
        """Whether nothing more can come."""
        return self._open_parts == 0

    @property
    def answer_due_at(self) -> int:
        """Clock reading at which to answer with what has come."""
        return self._answer_due_at

    @property
    def dropped_count(self) -> int:
        """Late and foreign answers that were dropped."""
        return self._dropped

    @property
    def has_any_answer(self) -> bool:
        """Whether at least one shard has answered."""
        return bool(self._answers)

    def start(
        self, now: int
    ) -> result.Result[list[messages.SubRequest], messages.Refusal]:
        """Pins a snapshot and returns the first sub-requests."""
        self._started_at = now
        self._answer_due_at = _policies.answer_by(
            self._policy, now, self._request.deadline_at
        )
        snapshot = self._snapshots.newest
        if snapshot is None:
            return result.Err(refusals.no_snapshot(self._request.backend))
        refusal = self._check_width(snapshot)
        if refusal is not None:
            return result.Err(refusal)
        first = self._pin(snapshot, now)
        if len(first) < len(self._parts):
            # A group has no usable holder: an older snapshot may be whole.
            older = self._snapshots.choose((), now)
            if older is not self._snapshot and not self._check_width(older):
                self._forget_attempts()
                first = self._pin(older, now)
        return result.Ok(first)

    def on_answer(
        self, answer: messages.SubAnswer, now: int
    ) -> list[messages.SubRequest]:
        """Takes one sub-answer and returns what to send because of it."""
        attempt = self._attempts.pop(answer.attempt, None)
        if attempt is None:
            self._dropped += 1
            return []
        part = attempt.part
        part.open_attempts -= 1
        if part.answered:
            self._dropped += 1
            return []
        if answer.outcome == _Outcome.ANSWERED and self._accept(part, answer):
            return []
        if answer.outcome == _Outcome.SNAPSHOT_MISSING:
            part.lacking.add(attempt.searcher)
            self._snapshots.note_missing(
                attempt.searcher, self.snapshot_name, now
            )
        return self._send_again(part, now)

    def on_timer(self, now: int) -> list[messages.SubRequest]:
        """Returns the hedges and retries that are due."""
        if now >= self._answer_due_at:
            return []
        due = []
        snapshot = self._snapshot
        for part in self._parts:
            if part.answered or part.exhausted:
                continue
            sub_requests = self._act_on_time(part, now)
            if self._snapshot is not snapshot:
                # The query started again: what it sent before is withdrawn.
                return sub_requests
            due += sub_requests
        return due

    def next_timer_at(self) -> int:
        """Returns the clock reading at which `on_timer` is due next."""
        soonest = self._answer_due_at
        for part in self._parts:
            if part.answered or part.exhausted:
                continue
            for at in (part.hedge_at, part.retry_at):
                if at is not None and at < soonest:
                    soonest = at
        return soonest

    def drain_cancelled(self) -> list[int]:
        """Returns attempts whose answers are no longer needed, once each."""
        cancelled = self._cancelled
        self._cancelled = []
        return cancelled

    def cancel_all(self) -> list[int]:
        """Returns every open attempt: the caller left or the time is up."""
        left = list(self._attempts)
        self._attempts.clear()
        return left + self.drain_cancelled()

    def finish(
        self,
    ) -> result.Result[messages.SearchAnswer, messages.Refusal]:
        """Returns the answer from what has come."""
        if not self._answers and self._parts:
            ran = messages.Ran.UNKNOWN if self._sent else messages.Ran.NO
            return result.Err(refusals.unavailable(self._request.backend, ran))
        limit = self._contract.max_results
        top = min(self._request.top or limit, limit)
        # One hit more tells whether a full listing was cut off.
        listing = self._request.top == 0
        hits = merging.merge_hits(self._answers, top + 1 if listing else top)
        answer = messages.SearchAnswer(
            id=self._request.id,
            snapshot=self.snapshot_name,
            hits=hits[:top],
            coverage=_parts.coverage_of(self._parts),
            truncated=len(hits) > top,
        )
        return result.Ok(answer)

    def _act_on_time(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        if part.retry_at is not None and part.retry_at <= now:
            return self._retry_round(part, now)
        if part.hedge_at is not None and part.hedge_at <= now:
            return self._hedge(part, now)
        return []

    def _check_width(
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

    def _pin(
        self, snapshot: declared.SnapshotIndex, now: int
    ) -> list[messages.SubRequest]:
        self._snapshot = snapshot
        self._tried_snapshots.add(snapshot.name)
        self._answers = []
        groups = self._wanted_groups(snapshot)
        self._parts = [_parts.Part(group) for group in groups]
        self._open_parts = len(self._parts)
        self._budget.earn(len(groups))
        sub_requests = []
        for part in self._parts:
            first = self._send_first(part, now)
            if self._snapshot is not snapshot:
                return first
            sub_requests += first
        return sub_requests

    def _wanted_groups(
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
            return self._give_up_round(part, now)
        return [self._send(part, searcher, now, hedge=False)]

    def _choose(self, part: _parts.Part, now: int) -> str | None:
        if self._snapshots.may_lack():
            self._note_lacking(part, now)
        excluded = part.tried
        if part.lacking:
            excluded = part.tried | part.lacking
        return self._chooser.choose(part.group.replicas, excluded, now)

    def _note_lacking(self, part: _parts.Part, now: int) -> None:
        name_of_snapshot = self.snapshot_name
        for name in part.group.replicas:
            if self._snapshots.lacks(name, name_of_snapshot, now):
                part.lacking.add(name)

    def _send(
        self, part: _parts.Part, searcher: str, now: int, hedge: bool
    ) -> messages.SubRequest:
        number = next(self._attempt_numbers)
        part.tried.add(searcher)
        part.was_sent = True
        part.open_attempts += 1
        part.retry_at = None
        part.hedge_at = None if hedge else self._hedge_time(part, now)
        self._attempts[number] = _parts.Attempt(part, searcher, now)
        self._sent += 1
        shards = part.group.shard_names
        return messages.SubRequest(number, searcher, shards, hedge)

    def _hedge_time(self, part: _parts.Part, now: int) -> int | None:
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
        if searcher is None or not self._budget.take_hedge():
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
            self._dropped += 1
            return False
        # A shard with another number of records is not the one declared.
        expected = part.group.records_by_shard
        kept = [s for s in answer.shards if expected.get(s.shard) == s.records]
        if len(kept) != len(expected):
            kept = list({shard.shard: shard for shard in kept}.values())
        if len({shard.shard for shard in kept}) < len(expected):
            return False
        self._answers += kept
        part.answered = True
        self._open_parts -= 1
        if part.open_attempts:
            self._withdraw(part)
        return True

    def _withdraw(self, part: _parts.Part) -> None:
        numbers = [n for n, a in self._attempts.items() if a.part is part]
        for number in numbers:
            del self._attempts[number]
        self._cancelled += numbers

    def _send_again(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        if part.exhausted or part.open_attempts or now >= self._answer_due_at:
            return []
        searcher = self._choose(part, now)
        if searcher is None:
            return self._give_up_round(part, now)
        if not self._budget.take_retry():
            return self._pause(part, now)
        return [self._send(part, searcher, now, hedge=False)]

    def _give_up_round(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        holders = [n for n in part.group.replicas if n not in part.lacking]
        if not holders:
            return self._restart(part, now)
        return self._pause(part, now)

    def _pause(self, part: _parts.Part, now: int) -> list[messages.SubRequest]:
        gives_up = not _policies.retries_missing(self._policy)
        if gives_up and part.was_sent and part.rounds:
            self._exhaust(part)
            return []
        pause = min(RETRY_PAUSE_MS << part.rounds, MAX_RETRY_PAUSE_MS)
        if not part.was_sent:
            pause = LOOK_PAUSE_MS
        part.rounds += 1
        part.hedge_at = None
        part.retry_at = now + pause
        return []

    def _retry_round(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        part.retry_at = None
        part.tried.clear()
        searcher = self._choose(part, now)
        if searcher is None:
            return self._give_up_round(part, now)
        # A first attempt that had to wait is no extra work.
        if part.was_sent and not self._budget.take_retry():
            return self._pause(part, now)
        return [self._send(part, searcher, now, hedge=False)]

    def _exhaust(self, part: _parts.Part) -> None:
        part.exhausted = True
        part.hedge_at = None
        part.retry_at = None
        self._open_parts -= 1

    def _restart(
        self, part: _parts.Part, now: int
    ) -> list[messages.SubRequest]:
        snapshot = self._snapshots.choose(self._tried_snapshots, now)
        is_late = now >= self._answer_due_at
        if snapshot is None or is_late or self._restarts >= MAX_RESTARTS:
            self._exhaust(part)
            return []
        if self._check_width(snapshot) is not None:
            self._exhaust(part)
            return []
        self._restarts += 1
        self._forget_attempts()
        return self._pin(snapshot, now)

    def _forget_attempts(self) -> None:
        self._cancelled += list(self._attempts)
        self._attempts.clear()
