import collections
import random

import hypothesis
from hypothesis import strategies

from citrondoor import membership
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

STATE = messages.MemberState
SETTINGS = schema_settings.PeerSettings(key="00")
BEAT_MS = SETTINGS.heartbeat_ms


class Fleet:
    """Members that exchange heartbeats over links that can be cut."""

    def __init__(self, size: int):
        self.names = [f"vm-{number}" for number in range(size)]
        self.now = 0
        self.tables: dict[str, membership.Members] = {}
        self.cut: set[frozenset[str]] = set()
        for name in self.names:
            self.start(name, 1)
        self.run(2000)

    def start(self, name: str, incarnation: int) -> None:
        members = membership.Members(
            name, incarnation, SETTINGS, lambda kind, detail: None
        )
        members.set_declared(self.names, 1, self.now)
        self.tables[name] = members

    def run(self, ms: int) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += BEAT_MS
            for name, members in self.tables.items():
                for other in members.neighbours:
                    if frozenset((name, other)) not in self.cut:
                        self.beat(name, other)
                members.tick(self.now)

    def beat(self, name: str, other: str) -> None:
        if other not in self.tables:
            return
        asker, replier = self.tables[name], self.tables[other]
        joining = len(asker.all_members) == 1
        replier.on_heartbeat(asker.own_record(), asker.next_updates(), self.now)
        news = replier.all_members if joining else replier.next_updates()
        asker.on_heartbeat(replier.own_record(), news, self.now)

    def states(self, vm: str) -> set:
        return {m.state_of(vm) for name, m in self.tables.items() if name != vm}


def test_a_crashed_member_is_dead_to_all_within_the_bound():
    fleet = Fleet(5)
    del fleet.tables["vm-3"]
    fleet.run(SETTINGS.dead_ms + 4 * BEAT_MS)
    assert fleet.states("vm-3") == {STATE.DEAD}
    assert "vm-3" not in fleet.tables["vm-0"].live_vms()


def test_one_lossy_link_condemns_nobody():
    fleet = Fleet(5)
    fleet.cut = {frozenset(("vm-0", "vm-1"))}
    for _ in range(60):
        fleet.run(BEAT_MS)
        for members in fleet.tables.values():
            assert members.live_vms() == fleet.names


def test_a_partition_heals_to_one_view():
    fleet = Fleet(5)
    left, right = fleet.names[:2], fleet.names[2:]
    fleet.cut = {frozenset((a, b)) for a in left for b in right}
    fleet.run(6000)
    assert fleet.tables["vm-0"].live_vms() == left
    assert fleet.tables["vm-4"].live_vms() == right
    fleet.cut = set()
    fleet.run(3000)
    for members in fleet.tables.values():
        assert members.live_vms() == fleet.names


def test_a_later_incarnation_replaces_a_dead_one():
    fleet = Fleet(3)
    del fleet.tables["vm-1"]
    fleet.run(4000)
    fleet.start("vm-1", 2)
    fleet.run(2000)
    assert fleet.tables["vm-0"].live_vms() == fleet.names


def test_an_older_incarnation_learns_that_it_is_superseded():
    fleet = Fleet(3)
    old = fleet.tables["vm-1"]
    fleet.start("vm-1", 2)
    fleet.run(1000)
    old.on_heartbeat(
        fleet.tables["vm-0"].own_record(),
        fleet.tables["vm-0"].all_members,
        fleet.now,
    )
    assert old.is_superseded
    assert not fleet.tables["vm-1"].is_superseded


def test_a_leaving_member_is_no_entry_any_more():
    fleet = Fleet(4)
    fleet.tables["vm-2"].set_leaving()
    fleet.run(1000)
    assert fleet.states("vm-2") == {STATE.LEAVING}
    assert "vm-2" not in fleet.tables["vm-0"].live_vms()


def test_a_vm_is_gone_only_after_it_was_listed():
    members = Fleet(3).tables["vm-0"]
    before = members.applied_revision_of("vm-1")
    members.apply_vm_list(["vm-0"], [])
    assert members.applied_revision_of("vm-1") == before
    members.apply_vm_list(["vm-0", "vm-1"], [])
    members.apply_vm_list(["vm-0"], [])
    assert members.applied_revision_of("vm-1") > 1 << 40


@hypothesis.given(
    size=strategies.integers(2, 40), limit=strategies.integers(1, 8)
)
def test_neighbours_are_bounded_and_the_same_for_every_order(size, limit):
    names = [f"vm-{number}" for number in range(size)]
    shuffled = random.Random(size).sample(names, size)
    for name in names:
        chosen = membership.choose_neighbours(name, names, limit)
        assert len(chosen) <= limit
        assert name not in chosen
        assert chosen == membership.choose_neighbours(name, shuffled, limit)


def test_bridges_fill_up_the_links_to_each_other_zone():
    zone_of = {f"vm-{n}": "abcde"[n % 5] for n in range(33)}
    for name, zone in zone_of.items():
        neighbours = membership.choose_neighbours(name, list(zone_of), 8)
        bridges = membership.choose_bridges(name, zone, zone_of, neighbours, 2)
        linked = {*neighbours, *bridges}
        assert not set(bridges) & set(neighbours)
        for other in "abcde":
            count = sum(zone_of[peer] == other for peer in linked)
            assert other == zone or count >= 2
        # Beats to 32 peers took two thirds of the bytes between zones.
        assert len(linked) <= 16


def test_bridges_spread_over_the_peers_of_a_zone():
    zone_of = {f"vm-{n}": "abcde"[n % 5] for n in range(50)}
    asked = collections.Counter()
    for name, zone in zone_of.items():
        asked.update(membership.choose_bridges(name, zone, zone_of, [], 2))
    assert max(asked.values()) <= 3 * 2 * 40 / 10


def test_a_member_that_cannot_be_reached_is_suspected_at_once():
    members = Fleet(1).tables["vm-0"]
    other = messages.Member("b", 1, 0, messages.MemberState.ALIVE, 0)
    members.on_heartbeat(other, [], 10)
    members.suspect_unreachable("b", 20)
    assert members.state_of("b") == messages.MemberState.SUSPECT
    members.suspect_unreachable("unknown", 20)


def test_a_heartbeat_without_a_record_keeps_a_member_alive():
    fleet = Fleet(3)
    members = fleet.tables["vm-0"]
    now = fleet.now
    for _ in range(8):
        now += BEAT_MS
        members.on_heartbeat_without_record("vm-1", now)
        members.tick(now)
    assert members.state_of("vm-1") == STATE.ALIVE
    assert members.state_of("vm-2") != STATE.ALIVE


def test_a_doubted_member_that_sends_no_record_is_told_so():
    fleet = Fleet(3)
    members = fleet.tables["vm-0"]
    while members.next_updates():
        pass
    members.suspect_unreachable("vm-1", fleet.now)
    while members.next_updates():
        pass
    members.on_heartbeat_without_record("vm-1", fleet.now + 10)
    (told,) = members.next_updates()
    assert (told.vm, told.state) == ("vm-1", STATE.SUSPECT)
