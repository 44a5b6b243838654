"""Executes non-idempotent requests, each at most once."""

import asyncio

import result

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor import links
from citrondoor import refusals
from citrondoor import runs
from citrondoor.codecs import upstreams as codec
from citrondoor.engine import _admission
from citrondoor.engine import _counting
from citrondoor.engine import _peering
from citrondoor.engine import _search
from citrondoor.engine import _view
from citrondoor.schema import declarations
from citrondoor.schema import messages

# A forwarding daemon stops waiting for the arbiter's reply this long before
# the caller's deadline, so that its own reply is still in time.
FORWARD_MARGIN_MS = 10
RETRY_PAUSE_MS = 20

_Outcome = messages.SubOutcome


class RunCounters:
    """Totals over all non-idempotent requests of one daemon.

    Attributes:
      attempts: Attempts to send a request to a searcher, those included that
        the link rejected unsent. One request may take several.
      repeated: Requests that were answered with a stored reply.
      forwarded: Requests of callers that belong to an arbiter on another VM.
      unknown_outcomes: Requests whose arbiter is gone or did not reply, or
        whose execution the searcher did not confirm.
    """

    __slots__ = ("attempts", "forwarded", "repeated", "unknown_outcomes")

    def __init__(self):
        self.attempts = 0
        self.repeated = 0
        self.forwarded = 0
        self.unknown_outcomes = 0


class RunEngine:
    """Executes non-idempotent requests, or forwards them to their arbiter.

    The arbiter of a request is the daemon incarnation that issued its session.
    It alone sends the request to a back end, and stores the result.

    Args:
      view: This daemon's view of the cluster.
      peering: Links to peers.
      search_engine: Provides the links to searchers and their choosers.
      admission: Checks availability and limits.
      counts: Counts requests and replicates the counts.
      arbiter: Decides which requests may be sent to a back end.
      incarnation: Incarnation of this daemon.
    """

    __slots__ = (
        "_admission",
        "_arbiter",
        "_counts",
        "_incarnation",
        "_peering",
        "_search_engine",
        "_tasks",
        "_view",
        "counters",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        peering: _peering.Peering,
        search_engine: _search.SearchEngine,
        admission: _admission.Admission,
        counts: _counting.CountReplicator,
        arbiter: runs.Arbiter,
        incarnation: int,
    ):
        self._view = view
        self._peering = peering
        self._search_engine = search_engine
        self._admission = admission
        self._counts = counts
        self._arbiter = arbiter
        self._incarnation = incarnation
        self._tasks: set[asyncio.Task] = set()
        self.counters = RunCounters()
        peering.register(messages.RunForward, self._on_forward)

    async def run(
        self, request: messages.RunRequest, contract: declarations.Contract
    ) -> result.Result[messages.RunAnswer, messages.Refusal]:
        """Executes a request here, or at the arbiter of its session."""
        session = runs.parse_session(request.id.session)
        if session is None:
            return result.Err(refusals.unknown_session())
        if session.vm == self._view.vm:
            outcome = await self._arbitrate(session, request, contract)
        else:
            outcome = await self._forward(session, request, contract)
        if outcome.is_err():
            await self._add_receipt(outcome.unwrap_err(), request, contract)
        return outcome

    async def _add_receipt(
        self,
        refusal: messages.Refusal,
        request: messages.RunRequest,
        contract: declarations.Contract,
    ) -> None:
        """Adds the receipt of a request of unknown outcome that was counted."""
        if refusal.kind == messages.RefusalKind.ARBITER_GONE:
            refusal.receipt = await self._counts.find_receipt(
                contract.customer, request.id
            )

    async def drain(self) -> None:
        """Waits until every execution that this daemon started has ended."""
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    async def _forward(
        self,
        session: runs.Session,
        request: messages.RunRequest,
        contract: declarations.Contract,
    ) -> result.Result[messages.RunAnswer, messages.Refusal]:
        remaining_ms = request.deadline_at - self._view.clock.now()
        self.counters.forwarded += 1
        message = messages.RunForward(request, contract.customer, remaining_ms)
        try:
            reply = await self._peering.request(
                session.vm, message, max(1, remaining_ms - FORWARD_MARGIN_MS)
            )
        except errors.CitrondoorError as error:
            self.counters.unknown_outcomes += 1
            return result.Err(refusals.outcome_unknown(str(error)))
        return _to_result(reply)

    async def _on_forward(
        self, forward: messages.RunForward, sender: str
    ) -> messages.RunReply:
        request = forward.request
        # Clocks of two machines differ, so the message carries the remaining
        # time and the deadline is set by the local clock.
        request.deadline_at = self._view.clock.now() + forward.deadline_ms
        contract = self._view.catalogue.contracts.get(forward.customer)
        session = runs.parse_session(request.id.session)
        if contract is None or session is None:
            refusal = refusals.outcome_unknown(
                "the arbiter does not know this contract or session"
            )
            return messages.RunReply(refusal=refusal)
        outcome = await self._arbitrate(session, request, contract)
        if outcome.is_ok():
            return messages.RunReply(answer=outcome.unwrap())
        return messages.RunReply(refusal=outcome.unwrap_err())

    async def _arbitrate(
        self,
        session: runs.Session,
        request: messages.RunRequest,
        contract: declarations.Contract,
    ) -> result.Result[messages.RunAnswer, messages.Refusal]:
        if session.incarnation != self._incarnation:
            self.counters.unknown_outcomes += 1
            return result.Err(
                refusals.outcome_unknown("the arbiter of this session is gone")
            )
        claim_status = self._arbiter.claim(contract.customer, request.id)
        if claim_status == runs.ClaimStatus.CLAIMED:
            task = asyncio.create_task(self._execute(request, contract))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            # If the caller disconnects, the execution still ends and its result
            # is stored.
            await asyncio.shield(task)
        elif claim_status == runs.ClaimStatus.IN_PROGRESS:
            return result.Err(refusals.in_progress())
        elif claim_status == runs.ClaimStatus.RESULT_EXPIRED:
            return result.Err(
                refusals.outcome_unknown("the result is not kept any more")
            )
        else:
            self.counters.repeated += 1
        reply = self._arbiter.stored_reply(contract.customer, request.id)
        return await self._count_and_reply(
            reply,
            contract,
            is_repeated=claim_status == runs.ClaimStatus.COMPLETED,
        )

    async def _count_and_reply(
        self,
        reply: messages.RunReply,
        contract: declarations.Contract,
        is_repeated: bool,
    ) -> result.Result[messages.RunAnswer, messages.Refusal]:
        if reply.answer is None:
            return result.Err(reply.refusal)
        answer = reply.answer
        receipt = await self._counts.count(contract.customer, answer.id)
        if receipt is None:
            return result.Err(refusals.not_counted(messages.Ran.UNKNOWN))
        return result.Ok(
            messages.RunAnswer(answer.id, answer.result, receipt, is_repeated)
        )

    async def _execute(
        self, request: messages.RunRequest, contract: declarations.Contract
    ) -> None:
        reply = messages.RunReply(
            refusal=refusals.outcome_unknown("the execution failed")
        )
        try:
            refusal = await self._admit(request, contract)
            if refusal is not None:
                # The refusal is stored as the result of this id, which never
                # runs later: the reported "not run" stays true.
                reply = messages.RunReply(refusal=refusal)
            else:
                reply = await self._send_until_deadline(request, contract)
                if reply.answer is None:
                    self._admission.refund(contract)
        finally:
            self._arbiter.finish(
                contract.customer, request.id, reply, self._view.clock.now()
            )

    async def _admit(
        self, request: messages.RunRequest, contract: declarations.Contract
    ) -> messages.Refusal | None:
        refusal = self._admission.check_availability()
        if refusal is None:
            refusal = await self._admission.confirm_view(request.deadline_at)
        if refusal is None:
            refusal = await self._admission.acquire_rate_token(
                contract, request.deadline_at
            )
        if refusal is None:
            refusal = await self._admission.consume_quantity(contract)
        if refusal is not None:
            refusal.remedy = (
                f"{refusal.remedy}; this id will never run, so send it under"
                " a new id"
            )
        return refusal

    async def _send_until_deadline(
        self, request: messages.RunRequest, contract: declarations.Contract
    ) -> messages.RunReply:
        """Sends the request until a searcher may have started it.

        Only `UNSENT` and `SHED` prove that the searcher did not start it; after
        any other outcome it is not sent again.
        """
        clock = self._view.clock
        choosers = self._search_engine.choosers_of(request.backend)
        declared_backend = self._view.catalogue.backends[request.backend]
        searcher_names = tuple(
            searcher.name for searcher in declared_backend.searchers
        )
        tried_searchers: set[str] = set()
        while clock.now() < request.deadline_at:
            if not self._search_engine.is_view_current(clock.now()):
                await asyncio.sleep(RETRY_PAUSE_MS / clocks.MS_PER_S)
                continue
            searcher = choosers.replica_chooser.choose(
                searcher_names, tried_searchers, clock.now()
            )
            if searcher is None:
                tried_searchers.clear()
                await asyncio.sleep(RETRY_PAUSE_MS / clocks.MS_PER_S)
                continue
            tried_searchers.add(searcher)
            answer = await self._send(searcher, request, contract)
            if answer.outcome in (_Outcome.UNSENT, _Outcome.SHED):
                continue
            return self._reply_for(request, answer)
        return messages.RunReply(
            refusal=refusals.unavailable(request.backend, messages.Ran.NO)
        )

    async def _send(
        self,
        searcher: str,
        request: messages.RunRequest,
        contract: declarations.Contract,
    ) -> messages.SubAnswer:
        link = self._search_engine.pool.links.get(searcher)
        attempt = next(self._search_engine.attempt_numbers)
        if link is None:
            return messages.SubAnswer(attempt, _Outcome.UNSENT)
        now = self._view.clock.now()
        future = asyncio.get_running_loop().create_future()
        payload = codec.encode_run(
            link.run_head, attempt, request, request.deadline_at - now
        )
        call = links.Call(
            attempt,
            payload,
            contract.customer,
            request.deadline_at,
            codec.decode_run_answer,
            future.set_result,
        )
        self.counters.attempts += 1
        link.submit(call, now)
        return await future

    def _reply_for(
        self, request: messages.RunRequest, answer: messages.SubAnswer
    ) -> messages.RunReply:
        if answer.outcome == _Outcome.ANSWERED:
            return messages.RunReply(
                answer=messages.RunAnswer(request.id, answer.result)
            )
        self.counters.unknown_outcomes += 1
        return messages.RunReply(
            refusal=refusals.outcome_unknown(
                f"the back end {request.backend!r} did not confirm the run"
            )
        )


def _to_result(
    reply: messages.RunReply,
) -> result.Result[messages.RunAnswer, messages.Refusal]:
    if reply.answer is not None:
        return result.Ok(reply.answer)
    return result.Err(reply.refusal)
