"""Tracks the members of the cluster by a gossip protocol.

Members exchange heartbeats with their neighbours, suspect those that fall
silent, and refute suspicions of themselves.
"""

from collections.abc import Callable

from citrondoor import errors
from citrondoor.membership import _neighbours
from citrondoor.schema import messages
from citrondoor.schema import serving
from citrondoor.schema import settings as schema_settings

# Records of members in one heartbeat, besides the sender's own.
MAX_UPDATES_PER_HEARTBEAT = 64
# An update is considered for this many heartbeats for each binary digit of the
# number of members: gossip takes more hops to reach all daemons of a larger
# cluster. It is left out of those to peers that have it.
HEARTBEATS_PER_DOUBLING = 8
# Revision of a VM that was removed for good: higher than every real one, so
# that a change of owners doesn't wait for the VM to apply it.
REMOVED_VM_REVISION = 1 << 62

# Highest values that can still be raised in a message, which carries 63 bits of
# an incarnation and 31 of a refutation count.
_MAX_INCARNATION = 2**62
_MAX_REFUTATION = 2**30

_State = messages.MemberState
_STATES = frozenset(_State)


def _is_usable(member: messages.Member) -> bool:
    """Returns whether a record is complete and within its limits.

    The decoder does not check the records within a message, and gossip would
    spread one that is not usable to all daemons.
    """
    numbers = (member.incarnation, member.refutation, member.vms_revision)
    return (
        bool(member.vm)
        and member.state in _STATES
        and None not in numbers
        and member.incarnation <= _MAX_INCARNATION
        and member.refutation <= _MAX_REFUTATION
    )


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


class _PendingUpdate:
    """A record of a member that peers may not have yet.

    Args:
      heartbeat_count: Number of heartbeats that the update is considered for.
    """

    __slots__ = ("known_by", "remaining_heartbeats")

    def __init__(self, heartbeat_count: int):
        self.remaining_heartbeats = heartbeat_count
        # Peers that it was sent to or that sent it.
        self.known_by: set[str] = set()


class Members:
    """The local view of every daemon's state.

    The highest record of a member wins, by incarnation, refutation count and
    state. All `now` arguments are clock readings in milliseconds.

    Args:
      vm: Name of this VM.
      incarnation: Incarnation of this daemon; a later start on the same VM has
        a higher one.
      settings: Timing of heartbeats and suspicion, number of neighbours.
      listener: Called with the kind and detail of each change of state.
    """

    __slots__ = (
        "_declared_vms",
        "_is_superseded",
        "_last_heartbeat_at",
        "_listed_vms",
        "_listener",
        "_max_incarnation",
        "_neighbours",
        "_own",
        "_pending",
        "_records",
        "_removed_vms",
        "_settings",
        "_suspected_at",
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
        self._own = messages.Member(vm, incarnation, 0, _State.ALIVE, 0)
        self._records: dict[str, messages.Member] = {vm: self._own}
        self._last_heartbeat_at: dict[str, int] = {}
        self._suspected_at: dict[str, int] = {}
        self._pending = {vm: _PendingUpdate(HEARTBEATS_PER_DOUBLING)}
        self._declared_vms: frozenset[str] = frozenset()
        self._neighbours: list[str] = []
        self._listed_vms: set[str] = set()
        self._removed_vms: set[str] = set()
        self._is_superseded = False
        self._max_incarnation = incarnation
        self._version = 0

    @property
    def neighbours(self) -> list[str]:
        """Names of the peers to exchange heartbeats with."""
        return self._neighbours

    @property
    def is_superseded(self) -> bool:
        """Whether an update named a later incarnation of this VM."""
        return self._is_superseded

    @property
    def version(self) -> int:
        """Increases with each change of a member's state or endpoint."""
        return self._version

    @property
    def all_members(self) -> list[messages.Member]:
        """Records of all known members, also dead ones and this daemon."""
        return list(self._records.values())

    def set_declared(self, vms, vms_revision: int, now: int) -> None:
        """Sets the declared VMs and chooses the neighbours among them.

        Args:
          vms: Names of the VMs, this one included.
          vms_revision: Revision of the declaration.
          now: Clock reading.
        """
        self._declared_vms = frozenset(vms)
        if vms_revision != self._own.vms_revision:
            self._own.vms_revision = vms_revision
            self._queue_update(self._own.vm)
        self._neighbours = _neighbours.choose_neighbours(
            self._own.vm, vms, self._settings.neighbours
        )
        for name in self._neighbours:
            self._last_heartbeat_at.setdefault(name, now)
        self._version += 1

    def set_endpoint(self, endpoint: serving.EntryPlace) -> None:
        """Sets this daemon's endpoint and queues the change for its peers."""
        if endpoint == self._own.place:
            return
        self._own.place = endpoint
        # Peers replace a record only by one of higher precedence.
        self._own.refutation += 1
        self._queue_update(self._own.vm)
        self._version += 1

    def raise_incarnation(self) -> None:
        """Makes this daemon's incarnation higher than any received one.

        A daemon derives its incarnation from the time of day: if that was set
        back, the daemon starts with a lower incarnation than its predecessor.
        """
        self._own.incarnation = self._max_incarnation + 1
        self._is_superseded = False
        self._queue_update(self._own.vm)
        self._version += 1

    def endpoint_of(self, vm: str) -> serving.EntryPlace | None:
        """Returns the endpoint of a VM, or None if it isn't known."""
        member = self._records.get(vm)
        return member.place if member else None

    def set_leaving(self) -> None:
        """Marks this daemon as leaving and queues that for its peers."""
        self._own.state = _State.LEAVING
        self._queue_update(self._own.vm)
        self._version += 1

    def apply_vm_list(self, live, leaving) -> None:
        """Applies the platform's list of VMs, which lags behind.

        A VM that was listed before and isn't any more was removed for good.
        One that was never listed may be too new for the list.

        Args:
          live: Names of the running VMs.
          leaving: Names of the VMs that are about to be removed.
        """
        listed = set(live) | set(leaving)
        self._removed_vms = (
            self._removed_vms | (self._listed_vms - listed)
        ) - listed
        self._listed_vms |= listed
        for name in leaving:
            member = self._records.get(name)
            if member and member.state == _State.ALIVE:
                self._set_state(member, _State.LEAVING)

    def live_vms(self) -> list[str]:
        """Returns declared VMs that are alive or only suspected, sorted."""
        return sorted(
            name
            for name, member in self._records.items()
            if name in self._declared_vms
            and member.state in (_State.ALIVE, _State.SUSPECT)
        )

    def state_of(self, vm: str) -> messages.MemberState | None:
        """Returns the state of a VM in the local view; None if unknown."""
        member = self._records.get(vm)
        return member.state if member else None

    def applied_revision_of(self, vm: str) -> int:
        """Returns the revision of the declared VMs that a VM has applied.

        Returns -1 for an unknown VM, and a value higher than every revision
        for one that was removed for good.
        """
        if vm in self._removed_vms:
            return REMOVED_VM_REVISION
        member = self._records.get(vm)
        return member.vms_revision if member else -1

    def own_record(self) -> messages.Member:
        """Returns a copy of this daemon's own record."""
        return _copy(self._own)

    def next_updates(self, peer: str = "") -> list[messages.Member]:
        """Returns the updates for one heartbeat and counts them as sent.

        This daemon's own record is never among them.

        Args:
          peer: VM of the receiver, which gets no update that it has; empty if
            unknown.
        """
        by_age = sorted(
            (name for name in self._pending if name != self._own.vm),
            key=lambda name: self._pending[name].remaining_heartbeats,
            reverse=True,
        )
        updates: list[messages.Member] = []
        for name in by_age:
            is_known = peer in self._pending[name].known_by
            if not is_known and len(updates) == MAX_UPDATES_PER_HEARTBEAT:
                continue
            if self._take_update(name, peer):
                updates.append(_copy(self._records[name]))
        return updates

    def take_all_members(self, peer: str) -> list[messages.Member]:
        """Returns all records, for a peer that has just started."""
        for update in self._pending.values():
            update.known_by.add(peer)
        return self.all_members

    def take_own_update(self, peer: str) -> bool:
        """Returns whether a heartbeat to a peer must carry the own record.

        A pending change of it is counted as sent.
        """
        own = self._own.vm
        return own in self._pending and self._take_update(own, peer)

    def forget_sent(self, peer: str) -> None:
        """Sends pending updates to a peer again, as some may have been lost."""
        for update in self._pending.values():
            update.known_by.discard(peer)

    def _send_again(self, vm: str) -> None:
        """Sends a member its own record, so that it can refute its state."""
        if vm in self._pending:
            self._pending[vm].known_by.discard(vm)
        else:
            self._queue_update(vm)

    def _take_update(self, vm: str, peer: str) -> bool:
        """Counts an update as sent; returns False if the peer has it."""
        update = self._pending[vm]
        update.remaining_heartbeats -= 1
        if update.remaining_heartbeats <= 0:
            del self._pending[vm]
        if peer in update.known_by:
            return False
        if peer:
            update.known_by.add(peer)
        return True

    def on_heartbeat(
        self, sender: messages.Member, updates: list[messages.Member], now: int
    ) -> None:
        """Applies a heartbeat or the reply to one.

        Args:
          sender: The sender's own record.
          updates: Records of other members that it sent along.
          now: Clock reading.

        Raises:
          errors.FrameError: The sender's record is not usable.
        """
        if not _is_usable(sender):
            raise errors.FrameError(
                f"{sender.vm!r} sent a record of itself that is incomplete or"
                " out of range; run compatible versions"
            )
        self._last_heartbeat_at[sender.vm] = now
        self._merge(sender, now)
        self._mark_known(sender, sender.vm)
        known_state = self._records[sender.vm].state
        if known_state != sender.state and sender.vm != self._own.vm:
            self._send_again(sender.vm)
        self.merge_updates(updates, sender.vm, now)

    def merge_updates(
        self, updates: list[messages.Member], sender: str, now: int
    ) -> None:
        """Merges the usable records of members that a peer sent."""
        for member in updates:
            if _is_usable(member):
                self._merge(member, now)
                self._mark_known(member, sender)

    def on_heartbeat_without_record(self, vm: str, now: int) -> None:
        """Applies a heartbeat that leaves out the sender's own record."""
        self._last_heartbeat_at[vm] = now
        if self.state_of(vm) not in (None, _State.ALIVE):
            self._send_again(vm)

    def suspect_unreachable(self, vm: str, now: int) -> None:
        """Suspects an alive member without waiting for `suspect_ms`.

        For a peer whose link is lost and hasn't been restored.
        """
        member = self._records.get(vm)
        if member is not None and member.state == _State.ALIVE:
            self._suspect(member, now)

    def tick(self, now: int) -> None:
        """Suspects silent neighbours and marks overdue suspects as dead.

        A neighbour is suspected after `suspect_ms` without a heartbeat. A
        suspect that doesn't refute that within `dead_ms - suspect_ms` is dead.
        """
        for name in self._neighbours:
            member = self._records.get(name)
            if member is None or member.state != _State.ALIVE:
                continue
            if (
                now - self._last_heartbeat_at.get(name, now)
                > self._settings.suspect_ms
            ):
                self._suspect(member, now)
        refute_ms = self._settings.dead_ms - self._settings.suspect_ms
        for name, suspected_at in list(self._suspected_at.items()):
            member = self._records[name]
            if now - suspected_at > refute_ms:
                self._set_state(member, _State.DEAD)

    def _suspect(self, member: messages.Member, now: int) -> None:
        self._set_state(member, _State.SUSPECT)
        self._suspected_at[member.vm] = now

    def _merge(self, other: messages.Member, now: int) -> None:
        if other.vm == self._own.vm:
            self._merge_own_record(other)
            return
        known = self._records.get(other.vm)
        if known is None:
            self._records[other.vm] = _copy(other)
            self._on_new(other, now)
            return
        max_revision = max(known.vms_revision, other.vms_revision)
        if _precedence(other) > _precedence(known):
            old_state = known.state
            merged = _copy(other)
            merged.vms_revision = max_revision
            self._records[other.vm] = merged
            self._on_changed(merged, old_state, now)
        elif max_revision > known.vms_revision:
            known.vms_revision = max_revision
            self._queue_update(other.vm)

    def _mark_known(self, member: messages.Member, peer: str) -> None:
        """Records that a peer has the pending update that it sent."""
        update = self._pending.get(member.vm)
        known = self._records[member.vm]
        if (
            update is not None
            and _precedence(member) == _precedence(known)
            and member.vms_revision >= known.vms_revision
        ):
            update.known_by.add(peer)

    def _merge_own_record(self, other: messages.Member) -> None:
        """Handles a peer's record of this daemon; refutes a suspicion."""
        if other.incarnation > self._own.incarnation:
            self._is_superseded = True
            self._max_incarnation = max(
                self._max_incarnation, other.incarnation
            )
            return
        if other.incarnation < self._own.incarnation:
            return
        is_suspected = other.state in (_State.SUSPECT, _State.DEAD)
        if is_suspected and other.refutation >= self._own.refutation:
            self._own.refutation = other.refutation + 1
            self._queue_update(self._own.vm)
            self._listener("member_refuted", self._own.vm)

    def _on_new(self, member: messages.Member, now: int) -> None:
        self._version += 1
        self._queue_update(member.vm)
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
            # Only the member itself raises its incarnation or refutation
            # count, so a higher ALIVE record counts as a heartbeat: its silence
            # is measured from now. For LEAVING and DEAD members the time has no
            # effect, because only ALIVE ones are checked.
            self._last_heartbeat_at[member.vm] = now
        self._queue_update(member.vm)
        self._version += 1
        if member.state != old_state:
            name = _State(member.state).name.lower()
            self._listener(f"member_{name}", member.vm)

    def _set_state(
        self, member: messages.Member, state: messages.MemberState
    ) -> None:
        member.state = state
        self._suspected_at.pop(member.vm, None)
        self._queue_update(member.vm)
        self._version += 1
        self._listener(f"member_{state.name.lower()}", member.vm)

    def _queue_update(self, vm: str) -> None:
        """Queues a member's record for the next heartbeats."""
        doublings = max(1, len(self._records).bit_length())
        self._pending[vm] = _PendingUpdate(HEARTBEATS_PER_DOUBLING * doublings)
