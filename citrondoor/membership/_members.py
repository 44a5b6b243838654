"""A table of members, kept by heartbeats, suspicion and refutation."""

from collections.abc import Callable

from citrondoor.membership import _neighbours
from citrondoor.schema import messages
from citrondoor.schema import serving
from citrondoor.schema import settings as schema_settings

# News sent with one heartbeat.
MAX_NEWS = 16
# Each piece of news is sent this often for each doubling of the fleet.
SENDS_PER_DOUBLING = 4
# The revision of a VM that is gone for good: it holds back nobody.
GONE_REVISION = 1 << 62

_State = messages.MemberState


def _precedence(member: messages.Member) -> tuple[int, int, int]:
    order = {
        _State.ALIVE: 0,
        _State.SUSPECT: 1,
        _State.LEAVING: 2,
        _State.DEAD: 3,
    }
    return (member.incarnation, member.refutation, order[member.state])


def _copy(member: messages.Member) -> messages.Member:
    return messages.Member(
        member.vm,
        member.incarnation,
        member.refutation,
        member.state,
        member.vms_revision,
        member.place,
    )


class Members:
    """What this daemon believes of every daemon.

    Args:
      vm: Name of this VM.
      incarnation: This incarnation; a later one of the same VM is higher.
      settings: Timing of heartbeats and suspicion.
      listener: Called with the kind and detail of each change of state.
    """

    __slots__ = (
        "_declared",
        "_gone",
        "_heard_at",
        "_highest_rumour",
        "_listed",
        "_listener",
        "_neighbours",
        "_news",
        "_self",
        "_settings",
        "_superseded",
        "_suspected_at",
        "_table",
        "_version",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        settings: schema_settings.PeerSettings,
        listener: Callable[[str, str], None],
    ):
        self._settings = settings
        self._listener = listener
        self._self = messages.Member(vm, incarnation, 0, _State.ALIVE, 0)
        self._table: dict[str, messages.Member] = {vm: self._self}
        self._heard_at: dict[str, int] = {}
        self._suspected_at: dict[str, int] = {}
        self._news: dict[str, int] = {vm: SENDS_PER_DOUBLING}
        self._declared: frozenset[str] = frozenset()
        self._neighbours: list[str] = []
        self._listed: set[str] = set()
        self._gone: set[str] = set()
        self._superseded = False
        self._highest_rumour = incarnation
        self._version = 0

    @property
    def neighbours(self) -> list[str]:
        """Peers to exchange heartbeats with."""
        return self._neighbours

    @property
    def is_superseded(self) -> bool:
        """Whether a later incarnation of this VM was heard of."""
        return self._superseded

    @property
    def version(self) -> int:
        """Grows with each change of who is alive."""
        return self._version

    @property
    def all_members(self) -> list[messages.Member]:
        """All members that were ever heard of."""
        return list(self._table.values())

    def set_declared(self, vms, vms_revision: int, now: int) -> None:
        """Takes the declared VMs; the neighbours follow from them."""
        self._declared = frozenset(vms)
        self._self.vms_revision = vms_revision
        self._spread(self._self.vm)
        self._neighbours = _neighbours.choose_neighbours(
            self._self.vm, vms, self._settings.neighbours
        )
        for name in self._neighbours:
            self._heard_at.setdefault(name, now)
        self._version += 1

    def set_endpoint(self, endpoint: serving.EntryPlace) -> None:
        """Tells the others where this daemon is reached and what it takes."""
        if endpoint == self._self.place:
            return
        self._self.place = endpoint
        # The same precedence as before would not replace what others hold.
        self._self.refutation += 1
        self._spread(self._self.vm)
        self._version += 1

    def raise_incarnation(self) -> None:
        """Becomes a later incarnation than any that was heard of.

        A VM whose time of day went back starts with a lower incarnation than
        its predecessor had.
        """
        self._self.incarnation = self._highest_rumour + 1
        self._superseded = False
        self._spread(self._self.vm)
        self._version += 1

    def endpoint_of(self, vm: str) -> serving.EntryPlace | None:
        """Returns where a VM is reached, or None if nobody said."""
        member = self._table.get(vm)
        return member.place if member else None

    def set_leaving(self) -> None:
        """Tells the others that this daemon shuts down."""
        self._self.state = _State.LEAVING
        self._spread(self._self.vm)
        self._version += 1

    def apply_vm_list(self, live, leaving) -> None:
        """Takes the platform's lagging list of VMs.

        A VM that was listed and is not any more is gone for good; one that
        was never listed may only be new.
        """
        listed = set(live) | set(leaving)
        self._gone = (self._gone | (self._listed - listed)) - listed
        self._listed |= listed
        for name in leaving:
            member = self._table.get(name)
            if member and member.state == _State.ALIVE:
                self._set_state(member, _State.LEAVING)

    def live_vms(self) -> list[str]:
        """Returns declared VMs that are alive or only suspected, sorted."""
        return sorted(
            name
            for name, member in self._table.items()
            if name in self._declared
            and member.state in (_State.ALIVE, _State.SUSPECT)
        )

    def state_of(self, vm: str) -> messages.MemberState | None:
        """Returns the believed state of a VM, or None before any news."""
        member = self._table.get(vm)
        return member.state if member else None

    def applied_revision_of(self, vm: str) -> int:
        """Returns the revision of the declared VMs that a VM has taken."""
        if vm in self._gone:
            return GONE_REVISION
        member = self._table.get(vm)
        return member.vms_revision if member else -1

    def own_record(self) -> messages.Member:
        """Returns this daemon's own record."""
        return _copy(self._self)

    def next_updates(self) -> list[messages.Member]:
        """Returns the news for one heartbeat, and counts it as sent."""
        chosen = sorted(self._news, key=self._news.get, reverse=True)[:MAX_NEWS]
        for name in chosen:
            self._news[name] -= 1
            if self._news[name] <= 0:
                del self._news[name]
        return [_copy(self._table[name]) for name in chosen]

    def on_heartbeat(
        self, sender: messages.Member, news: list[messages.Member], now: int
    ) -> None:
        """Takes a heartbeat or its reply."""
        self._heard_at[sender.vm] = now
        self._merge(sender, now)
        believed = self._table[sender.vm].state
        if believed != sender.state and sender.vm != self._self.vm:
            # It must hear what is believed of it, to refute that.
            self._spread(sender.vm)
        self.merge_updates(news, now)

    def merge_updates(self, news: list[messages.Member], now: int) -> None:
        """Takes records of other members."""
        for member in news:
            self._merge(member, now)

    @property
    def has_own_update_pending(self) -> bool:
        """Whether this daemon's own record has changed lately."""
        return self._self.vm in self._news

    def on_heartbeat_without_record(self, vm: str, now: int) -> None:
        """Takes a heartbeat without the sender's record."""
        self._heard_at[vm] = now
        if self.state_of(vm) not in (None, _State.ALIVE):
            # It must hear what is believed of it, to refute that.
            self._spread(vm)

    def suspect_unreachable(self, vm: str, now: int) -> None:
        """Suspects a member at once: its link is lost and stays so."""
        member = self._table.get(vm)
        if member is not None and member.state == _State.ALIVE:
            self._suspect(member, now)

    def tick(self, now: int) -> None:
        """Suspects silent neighbours; declares long suspected members dead."""
        for name in self._neighbours:
            member = self._table.get(name)
            if member is None or member.state != _State.ALIVE:
                continue
            if now - self._heard_at.get(name, now) > self._settings.suspect_ms:
                self._suspect(member, now)
        grace = self._settings.dead_ms - self._settings.suspect_ms
        for name, since in list(self._suspected_at.items()):
            member = self._table[name]
            if now - since > grace:
                self._set_state(member, _State.DEAD)

    def _suspect(self, member: messages.Member, now: int) -> None:
        self._set_state(member, _State.SUSPECT)
        self._suspected_at[member.vm] = now

    def _merge(self, other: messages.Member, now: int) -> None:
        if other.vm == self._self.vm:
            self._answer_rumour(other)
            return
        known = self._table.get(other.vm)
        if known is None:
            self._table[other.vm] = _copy(other)
            self._on_new(other, now)
            return
        known_revision = max(known.vms_revision, other.vms_revision)
        if _precedence(other) > _precedence(known):
            old_state = known.state
            renewed = _copy(other)
            renewed.vms_revision = known_revision
            self._table[other.vm] = renewed
            self._on_changed(renewed, old_state, now)
        elif known_revision > known.vms_revision:
            known.vms_revision = known_revision
            self._spread(other.vm)

    def _answer_rumour(self, other: messages.Member) -> None:
        if other.incarnation > self._self.incarnation:
            self._superseded = True
            self._highest_rumour = max(self._highest_rumour, other.incarnation)
            return
        if other.incarnation < self._self.incarnation:
            return
        is_doubted = other.state in (_State.SUSPECT, _State.DEAD)
        if is_doubted and other.refutation >= self._self.refutation:
            self._self.refutation = other.refutation + 1
            self._spread(self._self.vm)
            self._listener("member_refuted", self._self.vm)

    def _on_new(self, member: messages.Member, now: int) -> None:
        self._version += 1
        self._spread(member.vm)
        if member.state == _State.SUSPECT:
            self._suspected_at[member.vm] = now
        self._listener("member_seen", f"{member.vm} {member.incarnation}")

    def _on_changed(
        self,
        member: messages.Member,
        old_state: messages.MemberState,
        now: int,
    ) -> None:
        self._suspected_at.pop(member.vm, None)
        if member.state == _State.SUSPECT:
            self._suspected_at[member.vm] = now
        else:
            # Someone heard it: that counts as hearing it, for one period.
            self._heard_at[member.vm] = now
        self._spread(member.vm)
        self._version += 1
        if member.state != old_state:
            name = _State(member.state).name.lower()
            self._listener(f"member_{name}", member.vm)

    def _set_state(
        self, member: messages.Member, state: messages.MemberState
    ) -> None:
        member.state = state
        self._suspected_at.pop(member.vm, None)
        self._spread(member.vm)
        self._version += 1
        self._listener(f"member_{state.name.lower()}", member.vm)

    def _spread(self, vm: str) -> None:
        doublings = max(1, len(self._table).bit_length())
        self._news[vm] = SENDS_PER_DOUBLING * doublings
