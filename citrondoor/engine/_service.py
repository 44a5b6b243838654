"""What every front end offers: search, run, entries, counts and events."""

import asyncio
import random

import result

from citrondoor import membership
from citrondoor import refusals
from citrondoor import runs
from citrondoor.engine import _admission
from citrondoor.engine import _counting
from citrondoor.engine import _runs
from citrondoor.engine import _search
from citrondoor.engine import _view
from citrondoor.schema import declarations
from citrondoor.schema import messages


class Service:
    """The requests of callers, free of any encoding.

    Args:
      view: What this daemon knows.
      admission: Admits requests.
      engine: Runs queries.
      run_engine: Runs non-idempotent requests.
      counts: Counts requests.
      sessions: Issues sessions.
      rng: Random source.
    """

    __slots__ = (
        "_admission",
        "_counts",
        "_engine",
        "_rng",
        "_run_engine",
        "_sessions",
        "_view",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        admission: _admission.Admission,
        engine: _search.SearchEngine,
        run_engine: _runs.RunEngine,
        counts: _counting.CountReplicator,
        sessions: runs.SessionIssuer,
        rng: random.Random,
    ):
        self._view = view
        self._admission = admission
        self._engine = engine
        self._run_engine = run_engine
        self._counts = counts
        self._sessions = sessions
        self._rng = rng

    async def search(
        self, key: str, request: messages.SearchRequest
    ) -> result.Result[messages.SearchAnswer, messages.Refusal]:
        """Returns an answer with its receipt, or a refusal."""
        # A daemon that is joining does not know the contracts yet.
        closed = self._admission.check_availability()
        if closed is not None:
            return result.Err(closed)
        authenticated = self._admission.authenticate(key)
        if authenticated.is_err():
            return authenticated
        contract = authenticated.unwrap()
        refusal = self._admission.check_backend(
            contract, request.backend, declarations.BackendKind.SEARCH
        )
        refusal = refusal or await self._admit(request, contract)
        if refusal is not None:
            return result.Err(refusal)
        self._admission.in_flight += 1
        try:
            return await self._search_and_count(request, contract)
        finally:
            self._admission.in_flight -= 1

    async def run(
        self, key: str, request: messages.RunRequest
    ) -> result.Result[messages.RunAnswer, messages.Refusal]:
        """Runs a non-idempotent request at most once."""
        if self._admission.state == _admission.AdmissionState.JOINING:
            return result.Err(refusals.not_joined())
        authenticated = self._admission.authenticate(key)
        if authenticated.is_err():
            return authenticated
        contract = authenticated.unwrap()
        refusal = self._admission.check_backend(
            contract, request.backend, declarations.BackendKind.RUN
        )
        if refusal is not None:
            return result.Err(refusal)
        self._admission.in_flight += 1
        try:
            return await self._run_engine.run(request, contract)
        finally:
            self._admission.in_flight -= 1

    def entries(
        self, key: str, zone: str, session: str
    ) -> list[declarations.Vm]:
        """Returns the entry VMs to use, the first one first."""
        authenticated = self._admission.authenticate(key)
        customer = (
            authenticated.ok().customer if authenticated.is_ok() else None
        )
        return membership.choose_entry_vms(
            self._view.catalogue,
            self._view.members.live_vms(),
            zone,
            customer,
            session,
            self._rng,
        )

    def issue_session(self) -> str:
        """Returns a session for the ids of one caller."""
        return self._sessions.issue()

    async def totals(self, month: str) -> _counting.CountedTotals:
        """Returns the counted requests of a month over the fleet."""
        return await self._counts.totals(month)

    def events(self, after_wall_ms: int) -> list[messages.Event]:
        """Returns this daemon's events after a wall reading."""
        return self._view.recorder.events_after(after_wall_ms)

    async def _admit(
        self, request: messages.SearchRequest, contract: declarations.Contract
    ) -> messages.Refusal | None:
        admission = self._admission
        refusal = await admission.confirm_view(request.deadline_at)
        # The pause may have hidden that the operators took this zone out.
        refusal = refusal or admission.check_availability()
        if refusal is None:
            refusal = await admission.acquire_rate_token(
                contract, request.deadline_at
            )
        if refusal is None:
            refusal = await admission.consume_quantity(contract)
        if refusal is None and self._view.clock.now() >= request.deadline_at:
            admission.refund(contract)
            return refusals.deadline_expired()
        return refusal

    async def _search_and_count(
        self, request: messages.SearchRequest, contract: declarations.Contract
    ) -> result.Result[messages.SearchAnswer, messages.Refusal]:
        counting: asyncio.Task | None = None

        def start_counting() -> None:
            # Overlaps the search: an answer is certain once a shard answered.
            nonlocal counting
            counting = asyncio.create_task(
                self._counts.count(contract.customer, request.id)
            )

        found = await self._engine.search(request, contract, start_counting)
        if counting is None and found.is_ok():
            # A snapshot without shards is answered without any sub-request.
            start_counting()
        receipt = await counting if counting is not None else None
        if found.is_err():
            if receipt is None:
                self._admission.refund(contract)
            else:
                found.unwrap_err().receipt = receipt
            return found
        if receipt is None:
            self._admission.refund(contract)
            return result.Err(refusals.not_counted(messages.Ran.UNKNOWN))
        if receipt.repeated:
            self._admission.refund(contract)
        answer = found.unwrap()
        answer.receipt = receipt
        return result.Ok(answer)
