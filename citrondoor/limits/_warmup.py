"""Limits the calls in flight at cold searchers, over all daemons together.

A searcher is cold from when a daemon marks it cold, for example because it is
new in service, can't be connected to, or failed or rejected a call, until its
level reaches its warm level. The Unix time of the marking is its cold time.

Each cold searcher has a warm-up coordinator: the live daemon that ranks first
for it by rendezvous hashing. Only the coordinator grants leases for calls in
flight there. It grants no additional call above the searcher's level, which is
its concurrency limit over all daemons. Calls that a borrower already has in
flight stay leased, even above the level, as when the warm-up has started again.
The coordinator raises the level as daemons report successful answers.

Any daemon may mark a searcher cold. The warm-up then starts again, because the
later of two cold times overrides every level of the earlier one. Heartbeats
carry these times and the levels.
"""

from collections.abc import Callable

from citrondoor import rendezvous
from citrondoor.limits import _leases
from citrondoor.schema import messages

INITIAL_LEVEL = 1
# Successful answers at one level before the coordinator raises it. The number
# doubles, up to the maximum, for a searcher that turns cold again after its
# level was raised, or within RELAPSE_WINDOW_MS after its warm-up finished.
MIN_ANSWERS_PER_LEVEL = 12
MAX_ANSWERS_PER_LEVEL = 384
RELAPSE_WINDOW_MS = 5000
UNLIMITED_CALLS = 1 << 30
MAX_LEVELS_PER_HEARTBEAT = 64
# A changed level is sent in this many heartbeats for each binary digit of the
# number of daemons: gossip takes more hops to reach all daemons of a larger
# cluster.
SENDS_PER_DOUBLING = 4
# Short, so that daemons take turns at a searcher with a low level.
LEASE_MS = 200
# When a warm-up starts, the coordinator grants no lease for this long, so that
# calls in flight can end. Nothing ends longer ones.
DRAIN_MS = 50
# No lease is requested for a searcher that no query considered for this long,
# unless calls are in flight there.
DEMAND_TIMEOUT_MS = 100
# A borrower that was granted no calls counts as waiting for this long.
WAITING_BORROWER_MS = 300


class _ColdSearcher:
    """Warm-up state of one cold searcher."""

    __slots__ = (
        "answers_per_level",
        "cold_since_ms",
        "coordinator",
        "grant_wait_from",
        "last_borrower",
        "lease_ends_at",
        "leased_calls",
        "lender",
        "level",
        "refused_at",
        "reported_answers",
        "unreported_answers",
        "wanted_until",
        "warm_level",
    )

    def __init__(self, cold_since_ms: int, warm_level: int):
        self.cold_since_ms = cold_since_ms
        self.level = INITIAL_LEVEL
        self.warm_level = warm_level
        # Used by the coordinator.
        self.reported_answers = 0
        self.answers_per_level = MIN_ANSWERS_PER_LEVEL
        self.lender = _leases.Lender(LEASE_MS)
        self.last_borrower = ""
        self.refused_at: dict[str, int] = {}
        # Set by every daemon.
        self.coordinator: str | None = None
        # The coordinator grants leases from LEASE_MS + LEASE_MARGIN_MS after
        # this clock time in ms.
        self.grant_wait_from = 0
        # Used by a borrower.
        self.unreported_answers = 0
        self.leased_calls = 0
        self.lease_ends_at = 0
        self.wanted_until = 0


class _FinishedWarmup:
    """End of a searcher's last warm-up.

    Args:
      answers_per_level: Successful answers that it required at each level.
      at: Clock time in ms at which it finished.
    """

    __slots__ = ("answers_per_level", "at")

    def __init__(self, answers_per_level: int, at: int):
        self.answers_per_level = answers_per_level
        self.at = at


class WarmupLimiter:
    """Levels and leases of the cold searchers.

    Args:
      vm: Name of this VM.
      on_cold: Called when this daemon itself marks a searcher cold.
      on_lease_wanted: Called when a query considers a cold searcher for which
        no lease is being requested yet.
    """

    __slots__ = (
        "_cold",
        "_finished_warmups",
        "_last_cold_ms",
        "_live_vms",
        "_on_cold",
        "_on_lease_wanted",
        "_pending_sends",
        "_vm",
        "_wanted_searchers",
        "_warm_levels",
    )

    def __init__(
        self,
        vm: str,
        on_cold: Callable[[], None] = lambda: None,
        on_lease_wanted: Callable[[], None] = lambda: None,
    ):
        self._on_lease_wanted = on_lease_wanted
        # Cold searchers that queries considered lately or that have calls of
        # this daemon in flight.
        self._wanted_searchers: set[str] = set()
        self._vm = vm
        self._on_cold = on_cold
        self._cold: dict[str, _ColdSearcher] = {}
        # When searchers that are warm now last turned cold, Unix time in ms.
        self._last_cold_ms: dict[str, int] = {}
        self._finished_warmups: dict[str, _FinishedWarmup] = {}
        self._warm_levels: dict[str, int] = {}
        self._live_vms: list[str] = [vm]
        # How many more times each changed level is to be sent.
        self._pending_sends: dict[str, int] = {}

    @property
    def cold_count(self) -> int:
        """Number of cold searchers."""
        return len(self._cold)

    @property
    def wanted_searcher_count(self) -> int:
        """Number of cold searchers for which leases are requested."""
        return len(self._wanted_searchers)

    def is_cold(self, searcher: str) -> bool:
        """Returns whether a searcher is cold."""
        return searcher in self._cold

    def level(self, searcher: str) -> int:
        """Returns the calls that all daemons together may have in flight."""
        cold = self._cold.get(searcher)
        return UNLIMITED_CALLS if cold is None else cold.level

    def set_live_vms(self, live_vms: list[str], now: int) -> None:
        """Sets the VMs of live daemons; chooses coordinators among them."""
        if live_vms == self._live_vms:
            return
        self._live_vms = live_vms
        for name, cold in self._cold.items():
            self._set_coordinator(name, cold, now)

    def set_warm_level(self, searcher: str, level: int) -> None:
        """Sets the level at which a searcher counts as warm."""
        self._warm_levels[searcher] = level

    def mark_cold(self, searcher: str, unix_ms: int, now: int) -> None:
        """Marks a searcher cold from now on and starts its warm-up.

        Args:
          searcher: Name of the searcher.
          unix_ms: Unix time in ms, for comparison with other daemons.
          now: Clock time in ms.
        """
        self._start_warmup(searcher, unix_ms, now)
        self._on_cold()

    def _start_warmup(self, searcher: str, unix_ms: int, now: int) -> None:
        previous = self._cold.get(searcher)
        warm_level = self._warm_levels.get(searcher, INITIAL_LEVEL + 1)
        cold = _ColdSearcher(unix_ms, warm_level)
        if previous is not None:
            # Leases that were granted before are still in use.
            cold.lender = previous.lender
            cold.wanted_until = previous.wanted_until
        cold.answers_per_level = self._required_answers(searcher, previous, now)
        self._set_coordinator(searcher, cold, now)
        self._cold[searcher] = cold
        self._last_cold_ms.pop(searcher, None)
        self._schedule_updates(searcher)

    def _required_answers(
        self, searcher: str, previous: _ColdSearcher | None, now: int
    ) -> int:
        """Returns the successful answers required at each level."""
        finished = self._finished_warmups.get(searcher)
        if previous is not None and previous.level > INITIAL_LEVEL:
            last_answers = previous.answers_per_level
        elif previous is not None:
            return previous.answers_per_level
        elif finished is not None and now - finished.at < RELAPSE_WINDOW_MS:
            last_answers = finished.answers_per_level
        else:
            return MIN_ANSWERS_PER_LEVEL
        return min(MAX_ANSWERS_PER_LEVEL, last_answers * 2)

    def max_calls(self, searcher: str, now: int) -> int:
        """Returns how many calls this daemon may have in flight there.

        For a cold searcher, this also records that a lease is wanted, even if
        the query then chooses another searcher.
        """
        cold = self._cold.get(searcher)
        if cold is None:
            return UNLIMITED_CALLS
        cold.wanted_until = now + DEMAND_TIMEOUT_MS
        if searcher not in self._wanted_searchers:
            self._wanted_searchers.add(searcher)
            self._on_lease_wanted()
        return cold.leased_calls if now < cold.lease_ends_at else 0

    def on_answered(self, searcher: str) -> None:
        """Records a successful answer, to be reported to the coordinator."""
        cold = self._cold.get(searcher)
        if cold is not None:
            cold.unreported_answers += 1

    def lease_requests(
        self, wanted_calls: int, in_flight: Callable[[str], int], now: int
    ) -> dict[str, list[messages.WarmthAsk]]:
        """Returns the lease requests to send, by coordinator.

        This VM may be among the coordinators. A request for 0 calls releases
        the lease.

        Args:
          wanted_calls: Calls to request at each searcher that queries
            considered.
          in_flight: Returns this daemon's calls in flight at a searcher.
          now: Clock time in ms.
        """
        by_coordinator: dict[str, list[messages.WarmthAsk]] = {}
        for name in list(self._wanted_searchers):
            cold = self._cold.get(name)
            calls_in_flight = in_flight(name)
            is_wanted = cold is not None and (
                now < cold.wanted_until or calls_in_flight > 0
            )
            if not is_wanted:
                self._wanted_searchers.discard(name)
            if cold is None or cold.coordinator is None:
                continue
            if not (is_wanted or cold.leased_calls):
                continue
            calls = wanted_calls if is_wanted else 0
            if not is_wanted:
                # Stop using the lease before the coordinator can grant the
                # calls to others.
                cold.leased_calls = 0
            request = messages.WarmthAsk(
                name, calls, cold.unreported_answers, calls_in_flight
            )
            cold.unreported_answers = 0
            by_coordinator.setdefault(cold.coordinator, []).append(request)
        return by_coordinator

    def grant_lease(
        self, request: messages.WarmthAsk, borrower: str, now: int
    ) -> messages.WarmthGrant:
        """Grants calls at a searcher that this daemon coordinates.

        Also counts the reported answers. A request for 0 calls releases the
        borrower's leases.

        Returns:
          The grant; 0 calls if nothing is granted or this daemon may not grant.
        """
        calls = 0
        cold = self._cold.get(request.searcher)
        if cold is not None and self._may_grant(cold, now):
            self._apply_report(request.searcher, cold, request.answered, now)
            if request.calls == 0:
                cold.lender.release(borrower)
            else:
                calls = self._grant_calls(cold, request, borrower, now)
        return messages.WarmthGrant(request.searcher, calls, LEASE_MS)

    def apply_grant(
        self, grant: messages.WarmthGrant, asked_at: int, now: int
    ) -> None:
        """Applies a grant for a request sent at `asked_at`, in clock ms."""
        cold = self._cold.get(grant.searcher)
        if cold is not None:
            cold.leased_calls = grant.calls
            cold.lease_ends_at = asked_at + grant.lease_ms

    def all_levels(self) -> list[messages.SearcherLevel]:
        """Returns all known cold times with their levels, for a joining daemon.

        They are those of the cold searchers, and of the warm ones whose cold
        time has not been forgotten.
        """
        return [
            self._level_message(name)
            for name in [*self._cold, *self._last_cold_ms]
        ]

    def next_updates(self) -> list[messages.SearcherLevel]:
        """Returns changed levels for one heartbeat and counts them as sent."""
        names = sorted(
            self._pending_sends, key=self._pending_sends.get, reverse=True
        )[:MAX_LEVELS_PER_HEARTBEAT]
        for name in names:
            self._pending_sends[name] -= 1
            if self._pending_sends[name] <= 0:
                del self._pending_sends[name]
        return [
            self._level_message(name)
            for name in names
            if name in self._cold or name in self._last_cold_ms
        ]

    def merge_levels(
        self, levels: list[messages.SearcherLevel], now: int
    ) -> None:
        """Applies levels received from other daemons.

        The level with the later cold time counts, and of two with the same time
        the higher one. Levels of unknown searchers are ignored.
        """
        for level in levels:
            if level.searcher in self._warm_levels:
                self._merge_level(level, now)

    def forget_warm_before(self, unix_ms: int) -> None:
        """Forgets cold times of warm searchers from before a Unix time in ms.

        The levels of these searchers are no longer sent.
        """
        self._last_cold_ms = {
            name: cold_since_ms
            for name, cold_since_ms in self._last_cold_ms.items()
            if cold_since_ms >= unix_ms
        }

    def _merge_level(self, other: messages.SearcherLevel, now: int) -> None:
        name = other.searcher
        cold = self._cold.get(name)
        known_since = (
            cold.cold_since_ms if cold else self._last_cold_ms.get(name, -1)
        )
        if other.cold_since_ms < known_since:
            return
        if other.cold_since_ms > known_since:
            self._start_warmup(name, other.cold_since_ms, now)
            cold = self._cold[name]
        if cold is not None and other.level > cold.level:
            self._raise_level(name, cold, other.level, now)

    def _level_message(self, searcher: str) -> messages.SearcherLevel:
        cold = self._cold.get(searcher)
        if cold is not None:
            return messages.SearcherLevel(
                searcher, cold.cold_since_ms, cold.level
            )
        warm_level = self._warm_levels.get(searcher, INITIAL_LEVEL + 1)
        return messages.SearcherLevel(
            searcher, self._last_cold_ms[searcher], warm_level
        )

    def _schedule_updates(self, searcher: str) -> None:
        doublings = max(1, len(self._live_vms).bit_length())
        self._pending_sends[searcher] = SENDS_PER_DOUBLING * doublings

    def _may_grant(self, cold: _ColdSearcher, now: int) -> bool:
        ready_at = cold.grant_wait_from + LEASE_MS + _leases.LEASE_MARGIN_MS
        return cold.coordinator == self._vm and now >= ready_at

    def _grant_calls(
        self,
        cold: _ColdSearcher,
        request: messages.WarmthAsk,
        borrower: str,
        now: int,
    ) -> int:
        lender = cold.lender
        lender.drop_ended(now)
        lent_to_others = int(lender.lent(now) - lender.lent_to(borrower, now))
        available = cold.level - lent_to_others
        waiting_count = self._count_waiting_borrowers(cold, borrower, now)
        fair_share = max(1, cold.level // (1 + waiting_count))
        if waiting_count and available < 2 and cold.last_borrower == borrower:
            # Another borrower waits for the only available call.
            fair_share = 0
        # Calls in flight stay leased, also when another borrower waits.
        calls = max(
            0, min(request.calls, available, fair_share), request.in_flight
        )
        if calls:
            lender.grant_lease(borrower, calls, now)
            cold.last_borrower = borrower
            cold.refused_at.pop(borrower, None)
        else:
            cold.refused_at[borrower] = now
        return calls

    def _count_waiting_borrowers(
        self, cold: _ColdSearcher, borrower: str, now: int
    ) -> int:
        return sum(
            name != borrower and now - refused_at < WAITING_BORROWER_MS
            for name, refused_at in cold.refused_at.items()
        )

    def _apply_report(
        self, searcher: str, cold: _ColdSearcher, answered: int, now: int
    ) -> None:
        cold.reported_answers += answered
        if cold.reported_answers >= cold.answers_per_level:
            self._raise_level(searcher, cold, cold.level + 1, now)

    def _raise_level(
        self, searcher: str, cold: _ColdSearcher, level: int, now: int
    ) -> None:
        cold.level = level
        cold.reported_answers = 0
        self._schedule_updates(searcher)
        if level >= cold.warm_level:
            del self._cold[searcher]
            self._last_cold_ms[searcher] = cold.cold_since_ms
            self._finished_warmups[searcher] = _FinishedWarmup(
                cold.answers_per_level, now
            )

    def _set_coordinator(
        self, searcher: str, cold: _ColdSearcher, now: int
    ) -> None:
        ranking = rendezvous.rank(f"warm/{searcher}", self._live_vms)
        coordinator = ranking[0] if ranking else None
        if coordinator == cold.coordinator:
            return
        # After a change of coordinator, the new one waits until the leases that
        # the previous one granted have ended. When a warm-up starts, or starts
        # again, the coordinator waits only DRAIN_MS for the calls in flight.
        had_no_coordinator = cold.coordinator is None
        cold.coordinator = coordinator
        cold.grant_wait_from = now
        if had_no_coordinator:
            cold.grant_wait_from += (
                DRAIN_MS - LEASE_MS - _leases.LEASE_MARGIN_MS
            )
