import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from citrondoor import errors
from citrondoor import membership
from citrondoor.codecs import peers as codec
from citrondoor.schema import messages
from citrondoor.schema import serving
from citrondoor.schema import settings as schema_settings

STATE = messages.MemberState
SETTINGS = schema_settings.PeerSettings(key="00")
HEARTBEAT_MS = SETTINGS.heartbeat_ms


class FakeCluster:
    """Members that exchange heartbeats over links that a test can cut."""

    def __init__(self, size: int):
        self.names = [f"vm-{number}" for number in range(size)]
        self.now = 0
        self.members_of: dict[str, membership.Members] = {}
        # Pairs of members whose link is down.
        self.cut: set[frozenset[str]] = set()
        # Numbers of records in heartbeats, by sender, receiver and record.
        self.record_counts = collections.Counter()
        for name in self.names:
            self.start(name, 1)
        self.run(2000)

    def start(self, name: str, incarnation: int) -> None:
        members = membership.Members(
            name, incarnation, SETTINGS, lambda kind, detail: None
        )
        members.set_declared(self.names, 1, self.now)
        self.members_of[name] = members

    def run(self, duration_ms: int) -> None:
        end_at = self.now + duration_ms
        while self.now < end_at:
            self.now += HEARTBEAT_MS
            for name, members in self.members_of.items():
                for other in members.neighbours:
                    if frozenset((name, other)) not in self.cut:
                        self.exchange_heartbeat(name, other)
                members.tick(self.now)

    def exchange_heartbeat(self, name: str, other: str) -> None:
        if other not in self.members_of:
            return
        sender, receiver = self.members_of[name], self.members_of[other]
        is_joining = len(sender.all_members) == 1
        updates = sender.next_updates(other)
        self.count_records(name, other, updates)
        receiver.on_heartbeat(sender.own_record(), updates, self.now)
        updates = (
            receiver.take_all_members(name)
            if is_joining
            else receiver.next_updates(name)
        )
        self.count_records(other, name, updates)
        sender.on_heartbeat(receiver.own_record(), updates, self.now)

    def count_records(self, sender: str, receiver: str, updates) -> None:
        self.record_counts.update(
            (sender, receiver, member.vm, member.incarnation, member.state)
            for member in updates
        )

    def states(self, vm: str) -> set:
        return {
            members.state_of(vm)
            for name, members in self.members_of.items()
            if name != vm
        }


@pytest.mark.parametrize("size", [5, 78, 300])
def test_peers_get_each_record_once_when_all_daemons_start(size):
    # Records sent again and again took half of the bytes between zones on a
    # calm day of 78 daemons.
    cluster = FakeCluster(size)
    for members in cluster.members_of.values():
        assert members.live_vms() == sorted(cluster.names)
    assert set(cluster.record_counts.values()) == {1}


@pytest.mark.parametrize("seed", range(5))
def test_views_agree_after_daemons_restart_while_updates_spread(seed):
    # A daemon that restarts has forgotten what its peers have sent to it.
    cluster = FakeCluster(40)
    rng = random.Random(seed)
    incarnations = collections.Counter(cluster.names)
    for _ in range(6):
        for name in rng.sample(cluster.names, 8):
            incarnations[name] += 1
            cluster.start(name, incarnations[name])
            for members in cluster.members_of.values():
                members.forget_sent(name)
        cluster.run(HEARTBEAT_MS)
    cluster.run(2000)
    for members in cluster.members_of.values():
        assert members.live_vms() == sorted(cluster.names)
        assert incarnations == {
            member.vm: member.incarnation for member in members.all_members
        }


def test_updates_that_may_have_been_lost_are_sent_again():
    cluster = FakeCluster(3)
    members = cluster.members_of["vm-0"]
    while members.next_updates():
        pass
    members.suspect_unreachable("vm-2", cluster.now)
    (update,) = members.next_updates("vm-1")
    assert not members.next_updates("vm-1")
    members.forget_sent("vm-1")
    assert members.next_updates("vm-1") == [update]


def test_a_crashed_member_is_dead_in_all_views_within_the_time_limit():
    cluster = FakeCluster(5)
    del cluster.members_of["vm-3"]
    cluster.run(SETTINGS.dead_ms + 4 * HEARTBEAT_MS)
    assert cluster.states("vm-3") == {STATE.DEAD}
    assert "vm-3" not in cluster.members_of["vm-0"].live_vms()


def test_one_cut_link_removes_no_member():
    cluster = FakeCluster(5)
    cluster.cut = {frozenset(("vm-0", "vm-1"))}
    for _ in range(60):
        cluster.run(HEARTBEAT_MS)
        for members in cluster.members_of.values():
            assert members.live_vms() == cluster.names


def test_views_agree_again_after_a_partition():
    cluster = FakeCluster(5)
    side, other_side = cluster.names[:2], cluster.names[2:]
    cluster.cut = {frozenset((a, b)) for a in side for b in other_side}
    cluster.run(6000)
    assert cluster.members_of["vm-0"].live_vms() == side
    assert cluster.members_of["vm-4"].live_vms() == other_side
    cluster.cut = set()
    cluster.run(3000)
    for members in cluster.members_of.values():
        assert members.live_vms() == cluster.names


def test_a_later_incarnation_replaces_a_dead_member():
    cluster = FakeCluster(3)
    del cluster.members_of["vm-1"]
    cluster.run(4000)
    cluster.start("vm-1", 2)
    cluster.run(2000)
    assert cluster.members_of["vm-0"].live_vms() == cluster.names


def test_an_older_incarnation_detects_that_it_is_superseded():
    cluster = FakeCluster(3)
    old = cluster.members_of["vm-1"]
    cluster.start("vm-1", 2)
    cluster.run(1000)
    old.on_heartbeat(
        cluster.members_of["vm-0"].own_record(),
        cluster.members_of["vm-0"].all_members,
        cluster.now,
    )
    assert old.is_superseded
    assert not cluster.members_of["vm-1"].is_superseded


def test_a_leaving_member_is_not_live_any_more():
    cluster = FakeCluster(4)
    cluster.members_of["vm-2"].set_leaving()
    cluster.run(1000)
    assert cluster.states("vm-2") == {STATE.LEAVING}
    assert "vm-2" not in cluster.members_of["vm-0"].live_vms()


def test_a_vm_counts_as_removed_only_after_it_was_listed():
    members = FakeCluster(3).members_of["vm-0"]
    revision = members.applied_revision_of("vm-1")
    members.apply_vm_list(["vm-0"], [])
    assert members.applied_revision_of("vm-1") == revision
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


def test_each_other_zone_has_the_wanted_number_of_links():
    zone_of = {f"vm-{n}": "abcde"[n % 5] for n in range(33)}
    for name, zone in zone_of.items():
        neighbours = membership.choose_neighbours(name, list(zone_of), 8)
        cross_zone = membership.choose_cross_zone_peers(
            name, zone, zone_of, "abcdefg", neighbours, 2
        )
        linked = {*neighbours, *cross_zone}
        assert not set(cross_zone) & set(neighbours)
        for other in "abcde":
            link_count = sum(zone_of[peer] == other for peer in linked)
            assert other == zone or link_count >= 2
        # 8 neighbours and at most 2 links to each of 4 other zones. Heartbeats
        # to all 32 peers would take two thirds of the bytes between zones.
        assert len(linked) <= 16


def test_zones_without_searchers_need_no_links():
    zone_of = {f"vm-{n}": "abcdefg"[n % 7] for n in range(78)}
    chosen = membership.choose_cross_zone_peers(
        "vm-0", "a", zone_of, "abf", [], 2
    )
    assert [zone_of[name] for name in chosen] == ["b", "b", "f", "f"]


def links_of(zone_of):
    """Returns the peers that each daemon of a large cluster links to."""
    links = {}
    for name, zone in zone_of.items():
        neighbours = membership.choose_neighbours(name, list(zone_of), 8)
        links[name] = {
            *neighbours,
            *membership.choose_cross_zone_peers(
                name, zone, zone_of, "abcdefg", neighbours, 2
            ),
        }
    return links


@pytest.mark.parametrize("size", [78, 300])
def test_a_daemon_that_leaves_moves_only_the_links_to_it(size):
    zone_of = {f"vm-{n}": "abcdefg"[n % 7] for n in range(size)}
    before = links_of(zone_of)
    zone_of.pop("vm-10")
    after = links_of(zone_of)
    moved = {name for name in after if after[name] != before[name]}
    # Each daemon that linked to it chooses another peer. A new neighbour may
    # make a link to its zone needless, or the other way round.
    linked = {name for name in after if "vm-10" in before[name]}
    assert linked <= moved
    assert len(moved) <= len(linked) + 8
    # Some have it as a neighbour on more than one ring.
    new_count = sum(len(after[name] - before[name]) for name in moved)
    assert new_count <= 2 * len(linked)


def test_cross_zone_links_are_spread_over_the_peers_of_a_zone():
    zone_of = {f"vm-{n}": "abcde"[n % 5] for n in range(50)}
    link_counts = collections.Counter()
    for name, zone in zone_of.items():
        link_counts.update(
            membership.choose_cross_zone_peers(
                name, zone, zone_of, "abcde", [], 2
            )
        )
    # The 40 daemons of other zones have 2 links each to the 10 peers of a zone;
    # 3 times the mean is allowed.
    assert max(link_counts.values()) <= 3 * 2 * 40 / 10


def test_an_unreachable_member_is_suspected_without_a_wait():
    members = FakeCluster(1).members_of["vm-0"]
    other = messages.Member("b", 1, 0, messages.MemberState.ALIVE, 0)
    members.on_heartbeat(other, [], 10)
    members.suspect_unreachable("b", 20)
    assert members.state_of("b") == messages.MemberState.SUSPECT
    members.suspect_unreachable("unknown", 20)


def test_a_heartbeat_without_a_record_keeps_a_member_alive():
    cluster = FakeCluster(3)
    members = cluster.members_of["vm-0"]
    now = cluster.now
    for _ in range(8):
        now += HEARTBEAT_MS
        members.on_heartbeat_without_record("vm-1", now)
        members.tick(now)
    assert members.state_of("vm-1") == STATE.ALIVE
    assert members.state_of("vm-2") != STATE.ALIVE


def test_a_suspect_that_sends_no_record_is_notified_of_the_suspicion():
    cluster = FakeCluster(3)
    members = cluster.members_of["vm-0"]
    while members.next_updates():
        pass
    members.suspect_unreachable("vm-1", cluster.now)
    while members.next_updates():
        pass
    members.on_heartbeat_without_record("vm-1", cluster.now + 10)
    (update,) = members.next_updates()
    assert (update.vm, update.state) == ("vm-1", STATE.SUSPECT)


STAMP = serving.ViewStamp(1, 1, 1)
ODD_NUMBERS = strategies.sampled_from([None, -1, 0, 1, 2, 2**31 - 1])
ODD_LONG_NUMBERS = ODD_NUMBERS | strategies.just(2**63 - 1)


@hypothesis.given(
    strategies.builds(
        messages.Member,
        vm=strategies.sampled_from([None, "", "vm-0", "vm-1", "new"]),
        incarnation=ODD_LONG_NUMBERS,
        refutation=ODD_NUMBERS,
        state=strategies.sampled_from([None, 0, *STATE, 99]),
        vms_revision=ODD_LONG_NUMBERS,
    )
)
def test_no_record_of_a_peer_ends_the_heartbeats(record):
    data = codec.encode(messages.EntryBeat(record, [record], STAMP, 0, False))
    heartbeat = codec.decode(messages.EntryBeat, data)
    cluster = FakeCluster(3)
    members = cluster.members_of["vm-0"]
    members.merge_updates(heartbeat.news, "vm-2", cluster.now)
    try:
        members.on_heartbeat(heartbeat.sender, heartbeat.news, cluster.now)
    except errors.FrameError:
        pass
    if members.is_superseded:
        members.raise_incarnation()
    names = [member.vm for member in members.all_members]
    members.set_declared(names, 1, cluster.now)
    cluster.run(2000)
    for member in members.all_members:
        codec.encode(member)
    assert "vm-2" in members.live_vms()
