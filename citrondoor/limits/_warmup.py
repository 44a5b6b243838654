"""How much work cold searchers get, over all daemons together.

Each cold searcher has a warden: the live daemon that ranks first for it by
rendezvous. The warden alone hands out the calls that may be in flight there,
as short leases, and never more than the searcher's level. It raises the level
as good answers are reported. Any daemon that sees a shed or a lost connection
declares the searcher cold from now on; a later time outranks every level
before it. Heartbeats spread who is cold and the level.
"""

from collections.abc import Callable

from citrondoor import rendezvous
from citrondoor.limits import _leases
from citrondoor.schema import messages

START_LEVEL = 1
# Good answers at one level before the warden raises it. Doubles for a searcher
# that fell again while it was warming up or soon after.
ANSWERS_PER_LEVEL = 12
MAX_ANSWERS_PER_LEVEL = 384
RELAPSE_MS = 5000
UNLIMITED = 1 << 30
# Levels sent with one heartbeat, and how often each change is sent for each
# doubling of the fleet.
MAX_NEWS = 64
SENDS_PER_DOUBLING = 4
# Leases are short, so that daemons take turns at a searcher that bears little.
LEASE_MS = 200
# Calls that were on their way when a searcher turned cold end in this time.
DRAIN_MS = 50
# A searcher that no query chose for this long is not asked for any more.
WANT_MS = 100
# A borrower that was refused waits for its turn this long.
TURN_MS = 300


class _Cold:
    """What is known of one cold searcher."""

    __slots__ = (
        "answered",
        "answers_per_level",
        "calls",
        "calls_until",
        "last_borrower",
        "lender",
        "level",
        "refused_at",
        "reported",
        "since_ms",
        "wanted_until",
        "warden",
        "warden_since",
        "warm_level",
    )

    def __init__(self, since_ms: int, warm_level: int):
        self.since_ms = since_ms
        self.level = START_LEVEL
        self.warm_level = warm_level
        # As the warden.
        self.reported = 0
        self.answers_per_level = ANSWERS_PER_LEVEL
        self.lender = _leases.Lender(LEASE_MS)
        self.last_borrower = ""
        self.refused_at: dict[str, int] = {}
        self.warden: str | None = None
        self.warden_since = 0
        # As a borrower.
        self.answered = 0
        self.calls = 0
        self.calls_until = 0
        self.wanted_until = 0


class _Warmed:
    __slots__ = ("answers_per_level", "at")

    def __init__(self, answers_per_level: int, at: int):
        self.answers_per_level = answers_per_level
        self.at = at


class WarmupLimiter:
    """Levels and leases of the searchers that are cold.

    Args:
      vm: Name of this VM.
      on_cold: Called when this daemon itself finds a searcher cold.
      on_lease_wanted: Called when a query wants a searcher that no ask is due
        for.
    """

    __slots__ = (
        "_cold",
        "_members",
        "_news",
        "_on_cold",
        "_on_lease_wanted",
        "_vm",
        "_wanted",
        "_warm",
        "_warm_levels",
        "_warmed",
    )

    def __init__(
        self,
        vm: str,
        on_cold: Callable[[], None] = lambda: None,
        on_lease_wanted: Callable[[], None] = lambda: None,
    ):
        self._on_lease_wanted = on_lease_wanted
        # Cold searchers that queries want or that hold a lease.
        self._wanted: set[str] = set()
        self._vm = vm
        self._on_cold = on_cold
        self._cold: dict[str, _Cold] = {}
        # When searchers that are warm now were last cold.
        self._warm: dict[str, int] = {}
        # How the last warming of searchers ended: what it took, and when.
        self._warmed: dict[str, _Warmed] = {}
        self._warm_levels: dict[str, int] = {}
        self._members: list[str] = [vm]
        # How often each changed level is still to be sent.
        self._news: dict[str, int] = {}

    @property
    def cold_count(self) -> int:
        """Searchers that are not warm."""
        return len(self._cold)

    @property
    def wanted_searcher_count(self) -> int:
        """Cold searchers to ask wardens for."""
        return len(self._wanted)

    def is_cold(self, searcher: str) -> bool:
        """Returns whether a searcher is cold."""
        return searcher in self._cold

    def level(self, searcher: str) -> int:
        """Returns the calls that all daemons may have there together."""
        cold = self._cold.get(searcher)
        return UNLIMITED if cold is None else cold.level

    def set_members(self, members: list[str], now: int) -> None:
        """Takes the daemons that are believed to be alive."""
        if members == self._members:
            return
        self._members = members
        for name, cold in self._cold.items():
            self._set_warden(name, cold, now)

    def set_warm_level(self, searcher: str, level: int) -> None:
        """Declares the level at which a searcher counts as warm."""
        self._warm_levels[searcher] = level

    def mark_cold(self, searcher: str, wall_ms: int, now: int) -> None:
        """Notes that a searcher turned cold."""
        self._set_cold(searcher, wall_ms, now)
        self._on_cold()

    def _set_cold(self, searcher: str, wall_ms: int, now: int) -> None:
        known = self._cold.get(searcher)
        full = self._warm_levels.get(searcher, START_LEVEL + 1)
        cold = _Cold(wall_ms, full)
        if known is not None:
            # What was lent before is still in use.
            cold.lender = known.lender
            cold.wanted_until = known.wanted_until
        cold.answers_per_level = self._next_answers(searcher, known, now)
        self._set_warden(searcher, cold, now)
        self._cold[searcher] = cold
        self._warm.pop(searcher, None)
        self._spread(searcher)

    def _next_answers(
        self, searcher: str, known: _Cold | None, now: int
    ) -> int:
        """Returns the answers wanted at each level this time."""
        warmed = self._warmed.get(searcher)
        if known is not None and known.level > START_LEVEL:
            before = known.answers_per_level
        elif known is not None:
            return known.answers_per_level
        elif warmed is not None and now - warmed.at < RELAPSE_MS:
            before = warmed.answers_per_level
        else:
            return ANSWERS_PER_LEVEL
        return min(MAX_ANSWERS_PER_LEVEL, before * 2)

    def max_calls(self, searcher: str, now: int) -> int:
        """Returns how many calls this daemon may have there at once."""
        cold = self._cold.get(searcher)
        if cold is None:
            return UNLIMITED
        cold.wanted_until = now + WANT_MS
        if searcher not in self._wanted:
            self._wanted.add(searcher)
            self._on_lease_wanted()
        return cold.calls if now < cold.calls_until else 0

    def on_answered(self, searcher: str) -> None:
        """Notes a good answer, to be reported to the warden."""
        cold = self._cold.get(searcher)
        if cold is not None:
            cold.answered += 1

    def lease_requests(
        self, wanted_calls: int, in_flight: Callable[[str], int], now: int
    ) -> dict[str, list[messages.WarmthAsk]]:
        """Returns what to ask of which warden; this VM may be among them.

        Args:
          wanted_calls: Calls to ask for at each searcher that queries chose.
          in_flight: Returns this daemon's calls in flight at a searcher.
          now: Reading of the clock.
        """
        by_warden: dict[str, list[messages.WarmthAsk]] = {}
        for name in list(self._wanted):
            cold = self._cold.get(name)
            open_calls = in_flight(name)
            is_wanted = cold is not None and (
                now < cold.wanted_until or open_calls > 0
            )
            if not is_wanted:
                self._wanted.discard(name)
            if cold is None or cold.warden is None:
                continue
            if not (is_wanted or cold.calls):
                continue
            calls = wanted_calls if is_wanted else 0
            if not is_wanted:
                # Given back before the warden is told.
                cold.calls = 0
            ask = messages.WarmthAsk(name, calls, cold.answered, open_calls)
            cold.answered = 0
            by_warden.setdefault(cold.warden, []).append(ask)
        return by_warden

    def grant_lease(
        self, ask: messages.WarmthAsk, borrower: str, now: int
    ) -> messages.WarmthGrant:
        """Lends calls at a searcher that this daemon is the warden of."""
        calls = 0
        cold = self._cold.get(ask.searcher)
        if cold is not None and self._may_grant(cold, now):
            self._take_report(ask.searcher, cold, ask.answered, now)
            if ask.calls == 0:
                cold.lender.release(borrower)
            else:
                calls = self._lend(cold, ask, borrower, now)
        return messages.WarmthGrant(ask.searcher, calls, LEASE_MS)

    def apply_grant(
        self, grant: messages.WarmthGrant, asked_at: int, now: int
    ) -> None:
        """Takes a grant that was asked for at `asked_at`."""
        cold = self._cold.get(grant.searcher)
        if cold is not None:
            cold.calls = grant.calls
            cold.calls_until = asked_at + grant.lease_ms

    def all_levels(self) -> list[messages.SearcherLevel]:
        """Returns every level, for a daemon that joins."""
        return [self._level_message(n) for n in [*self._cold, *self._warm]]

    def next_updates(self) -> list[messages.SearcherLevel]:
        """Returns changed levels for one heartbeat, and counts them as sent."""
        chosen = sorted(self._news, key=self._news.get, reverse=True)[:MAX_NEWS]
        for name in chosen:
            self._news[name] -= 1
            if self._news[name] <= 0:
                del self._news[name]
        return [
            self._level_message(name)
            for name in chosen
            if name in self._cold or name in self._warm
        ]

    def merge(self, levels: list[messages.SearcherLevel], now: int) -> None:
        """Takes levels of other daemons; the later and higher one counts."""
        for level in levels:
            if level.searcher in self._warm_levels:
                self._merge_one(level, now)

    def forget_warm_before(self, wall_ms: int) -> None:
        """Stops spreading searchers that were last cold before a time."""
        self._warm = {n: at for n, at in self._warm.items() if at >= wall_ms}

    def _merge_one(self, other: messages.SearcherLevel, now: int) -> None:
        name = other.searcher
        cold = self._cold.get(name)
        known_since = cold.since_ms if cold else self._warm.get(name, -1)
        if other.cold_since_ms < known_since:
            return
        if other.cold_since_ms > known_since:
            self._set_cold(name, other.cold_since_ms, now)
            cold = self._cold[name]
        if cold is not None and other.level > cold.level:
            self._raise_to(name, cold, other.level, now)

    def _level_message(self, searcher: str) -> messages.SearcherLevel:
        cold = self._cold.get(searcher)
        if cold is not None:
            return messages.SearcherLevel(searcher, cold.since_ms, cold.level)
        full = self._warm_levels.get(searcher, START_LEVEL + 1)
        return messages.SearcherLevel(searcher, self._warm[searcher], full)

    def _spread(self, searcher: str) -> None:
        doublings = max(1, len(self._members).bit_length())
        self._news[searcher] = SENDS_PER_DOUBLING * doublings

    def _may_grant(self, cold: _Cold, now: int) -> bool:
        # Leases of the warden before must have ended.
        ready_at = cold.warden_since + LEASE_MS + _leases.LEASE_MARGIN_MS
        return cold.warden == self._vm and now >= ready_at

    def _lend(
        self, cold: _Cold, ask: messages.WarmthAsk, borrower: str, now: int
    ) -> int:
        lender = cold.lender
        lender.drop_ended(now)
        others = int(lender.lent(now) - lender.lent_to(borrower, now))
        free = cold.level - others
        waiting = self._waiting_borrowers(cold, borrower, now)
        fair = max(1, cold.level // (1 + waiting))
        if waiting and free < 2 and cold.last_borrower == borrower:
            # Somebody else waits for the only call: it is its turn.
            fair = 0
        # What is in flight stays lent, whatever the turn.
        calls = max(0, min(ask.calls, free, fair), ask.in_flight)
        if calls:
            lender.grant_lease(borrower, calls, now)
            cold.last_borrower = borrower
            cold.refused_at.pop(borrower, None)
        else:
            cold.refused_at[borrower] = now
        return calls

    def _waiting_borrowers(self, cold: _Cold, borrower: str, now: int) -> int:
        return sum(
            name != borrower and now - at < TURN_MS
            for name, at in cold.refused_at.items()
        )

    def _take_report(
        self, searcher: str, cold: _Cold, answered: int, now: int
    ) -> None:
        cold.reported += answered
        if cold.reported >= cold.answers_per_level:
            self._raise_to(searcher, cold, cold.level + 1, now)

    def _raise_to(
        self, searcher: str, cold: _Cold, level: int, now: int
    ) -> None:
        cold.level = level
        cold.reported = 0
        self._spread(searcher)
        if level >= cold.warm_level:
            del self._cold[searcher]
            self._warm[searcher] = cold.since_ms
            self._warmed[searcher] = _Warmed(cold.answers_per_level, now)

    def _set_warden(self, searcher: str, cold: _Cold, now: int) -> None:
        ranking = rendezvous.rank(f"warm/{searcher}", self._members)
        warden = ranking[0] if ranking else None
        if warden == cold.warden:
            return
        # The first warden waits for no leases, but for calls on their way.
        is_first = cold.warden is None
        cold.warden = warden
        cold.warden_since = now
        if is_first:
            cold.warden_since += DRAIN_MS - LEASE_MS - _leases.LEASE_MARGIN_MS
