"""The operations of every front end, free of any encoding."""

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
    """Serves searches, runs, entries, sessions, totals and events.

    Args:
      view: This daemon's view of the cluster.
      admission: Authenticates requests and applies limits.
      search_engine: Executes queries.
      run_engine: Executes non-idempotent requests.
      counts: Counts requests and replicates the counts.
      sessions: Issues sessions.
      rng: Random number generator.
    """

    __slots__ = (
        "_admission",
        "_counts",
        "_rng",
        "_run_engine",
        "_search_engine",
        "_sessions",
        "_view",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        admission: _admission.Admission,
        search_engine: _search.SearchEngine,
        run_engine: _runs.RunEngine,
        counts: _counting.CountReplicator,
        sessions: runs.SessionIssuer,
        rng: random.Random,
    ):
        self._view = view
        self._admission = admission
        self._search_engine = search_engine
        self._run_engine = run_engine
        self._counts = counts
        self._sessions = sessions
        self._rng = rng

    async def search(
        self, key: str, request: messages.SearchRequest
    ) -> result.Result[messages.SearchAnswer, messages.Refusal]:
        """Executes a search; returns an answer with its receipt, or a refusal.

        Args:
          key: Key that the caller sent.
          request: The caller's request.
        """
        # Checked before the key, because a daemon that is joining does not know
        # the contracts yet and would refuse valid keys.
        availability_refusal = self._admission.check_availability()
        if availability_refusal is not None:
            return result.Err(availability_refusal)
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
        """Executes a non-idempotent request at most once.

        Args:
          key: Key that the caller sent.
          request: The caller's request.
        """
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
        """Returns the entry VMs for a caller, the preferred one first.

        Args:
          key: Key that the caller sent; may be invalid.
          zone: Zone of the caller; empty when unknown.
          session: Session of the caller; empty when it has none yet.
        """
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
        """Returns a new session, the first part of one caller's request ids."""
        return self._sessions.issue()

    async def totals(self, month: str) -> _counting.CountedTotals:
        """Returns the requests of a month that all daemons counted.

        Args:
          month: UTC month, `YYYY-MM`.
        """
        return await self._counts.totals(month)

    def events(self, after_wall_ms: int) -> list[messages.Event]:
        """Returns this daemon's events after a Unix time in milliseconds."""
        return self._view.recorder.events_after(after_wall_ms)

    async def _admit(
        self, request: messages.SearchRequest, contract: declarations.Contract
    ) -> messages.Refusal | None:
        admission = self._admission
        refusal = await admission.confirm_view(request.deadline_at)
        # After a pause, only the confirmed view shows whether this zone was
        # taken out of service.
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
        counting_task: asyncio.Task | None = None

        def start_counting() -> None:
            # Runs in parallel with the search: once one shard has answered, the
            # query normally ends with an answer, complete or partial.
            nonlocal counting_task
            counting_task = asyncio.create_task(
                self._counts.count(contract.customer, request.id)
            )

        outcome = await self._search_engine.search(
            request, contract, start_counting
        )
        if counting_task is None and outcome.is_ok():
            # A snapshot without shards is answered without any sub-request, so
            # no first answer has started the counting.
            start_counting()
        receipt = await counting_task if counting_task is not None else None
        if outcome.is_err():
            if receipt is None:
                self._admission.refund(contract)
            else:
                outcome.unwrap_err().receipt = receipt
            return outcome
        if receipt is None:
            self._admission.refund(contract)
            return result.Err(refusals.not_counted(messages.Ran.UNKNOWN))
        if receipt.repeated:
            self._admission.refund(contract)
        answer = outcome.unwrap()
        answer.receipt = receipt
        return result.Ok(answer)
