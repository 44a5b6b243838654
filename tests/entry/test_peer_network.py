import asyncio
import collections

import pytest

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import limits
from citrondoor import links
from citrondoor import membership
from citrondoor.codecs import envelopes
from citrondoor.entry import _decision_log
from citrondoor.entry import _peer_network
from citrondoor.schema import messages
from citrondoor.schema import serving
from tests import serving_samples as samples
from tests.entry import test_dispatcher
from tests.platform import deployment


class Node:
    """A daemon's peer network and view, on the loopback interface."""

    def __init__(self, number, ports, seeds, incarnation=None, link_bound=None):
        self.writers = []
        self.cut_ports = set()
        self.port = ports[number]
        zone = "abc"[number % 3]
        self.settings = serving.EntrySettings(
            vm=f"vm-{number}",
            zone=zone,
            region="r",
            front=f"127.0.0.1:{20000 + number}",
            readiness="127.0.0.1:2",
            directory="127.0.0.1:3",
            peers=f"127.0.0.1:{self.port}",
            metrics="127.0.0.1:5",
            store=serving.StoreSettings("127.0.0.1:6"),
            seeds=seeds,
        )
        self.clock = clocks.Clock()
        self.view = entry.LocalView(lambda kind, detail: None, {})
        self.peers = entry.PeerNetwork(
            self.settings,
            incarnation or self.clock.unix_ms(),
            self.view,
            self.clock,
            test_dispatcher.FakeLog(),
            connector=self.connect,
            link_bound=link_bound,
        )
        self.tick_task = None

    async def connect(self, host, port):
        if port in self.cut_ports:
            raise OSError("the network is cut")
        reader, writer = await asyncio.open_connection(host, port)
        self.writers.append((port, writer))
        return reader, writer

    def cut_off(self, ports):
        self.cut_ports = set(ports)
        for port, writer in self.writers:
            if port in self.cut_ports:
                writer.transport.abort()

    async def start(self):
        self.peers.serve(links.open_listener("127.0.0.1", self.port))
        self.peers.connect()
        self.peers.set_searcher_zones(frozenset("abc"))
        self.peers.announce_endpoint(
            serving.EntryPlace(
                "127.0.0.1",
                20000,
                self.port,
                self.settings.zone,
                "r",
                True,
            )
        )
        self.tick_task = asyncio.create_task(self.tick())

    async def tick(self):
        while True:
            self.peers.tick(self.clock.now())
            await asyncio.sleep(0.02)

    async def stop(self):
        self.tick_task.cancel()
        await self.peers.close()


async def wait_until(condition, timeout_s=6.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


async def wait_closed():
    """Waits until the links that were closed have sent what was buffered.

    Else a busy machine leaves transports open at the end of the event loop.
    """
    # The event loop itself keeps one socket registered.
    sockets = asyncio.get_running_loop()._selector.get_map()
    await wait_until(
        lambda: len(asyncio.all_tasks()) == 1 and len(sockets) <= 1
    )
    await asyncio.sleep(0)


def run_cluster(body, count=3, seeds_of=lambda ports: ports[:1]):
    async def run_all():
        ports = deployment.free_ports(count + 1)
        seeds = [f"127.0.0.1:{port}" for port in seeds_of(ports)]
        nodes = [Node(number, ports, seeds) for number in range(count)]
        for node in nodes:
            await node.start()
        try:
            await wait_until(
                lambda: all(
                    len(node.peers.ready_endpoints())
                    == len(node.peers.live_vms())
                    == count
                    for node in nodes
                )
            )
            await body(nodes, ports, seeds)
        finally:
            for node in nodes:
                if not node.tick_task.cancelled():
                    await node.stop()
            await wait_closed()

    asyncio.run(run_all())


def test_daemons_with_one_common_seed_find_each_other():
    async def body(nodes, ports, seeds):
        assert all(len(node.peers.live_vms()) == 3 for node in nodes)

    run_cluster(body)


def test_an_unreachable_seed_does_not_prevent_discovery():
    async def body(nodes, ports, seeds):
        assert len(nodes[2].peers.live_vms()) == 3

    run_cluster(body, seeds_of=lambda ports: [ports[-1], ports[1]])


def test_store_contents_spread_from_the_reader_to_all_daemons():
    async def body(nodes, ports, seeds):
        upstreams = [samples.upstream()]
        contents = entry.StoreContents(
            samples.position(7), samples.route_set(3), upstreams, ["z"]
        )
        nodes[1].peers.record_store_read(nodes[1].clock.now())
        nodes[1].view.apply_store_contents(contents, nodes[1].clock.now())
        await wait_until(
            lambda: all(node.view.is_complete for node in nodes), 2.0
        )
        assert {node.view.routes.version for node in nodes} == {3}
        assert {node.view.evacuated_zones.zones for node in nodes} == {
            frozenset("z")
        }
        await wait_until(
            lambda: all(
                node.peers.store_age_ms(node.clock.now()) < 2000
                for node in nodes
            )
        )

    run_cluster(body)


def test_a_new_era_spreads_from_the_reader_to_all_daemons():
    # Guards against daemons that take the view of a peer for older than their
    # own because its revisions are lower.
    async def body(nodes, ports, seeds):
        def apply(position, *upstreams):
            contents = entry.StoreContents(
                position, samples.route_set(3), list(upstreams), []
            )
            now = nodes[1].clock.now()
            nodes[1].peers.record_store_read(now)
            nodes[1].view.apply_store_contents(contents, now)

        async def wait_for(position):
            await wait_until(
                lambda: all(n.view.position == position for n in nodes), 2.0
            )

        old_position = samples.position(90, era=1)
        apply(old_position, samples.upstream())
        await wait_for(old_position)
        position = samples.position(60, era=2)
        apply(position, samples.upstream(state=samples.DRAINING))
        await wait_for(position)
        for node in nodes:
            assert node.view.registry.all_usable_upstreams() == []

    run_cluster(body)


def test_a_leaving_daemon_is_left_out_of_endpoints_without_delay():
    async def body(nodes, ports, seeds):
        nodes[2].peers.announce_leaving()
        await wait_until(
            lambda: len(nodes[0].peers.ready_endpoints()) == 2, 0.3
        )

    run_cluster(body)


def test_a_stopped_daemon_is_left_out_of_endpoints():
    async def body(nodes, ports, seeds):
        await nodes[2].stop()
        await wait_until(
            lambda: len(nodes[0].peers.ready_endpoints()) == 2, 3.5
        )
        # Shared limits still count it, since it may only have lost its peers.
        assert nodes[0].peers.effective_member_count(nodes[0].clock.now()) == 3

    run_cluster(body)


def test_daemons_settle_once_they_know_all_others():
    async def body(nodes, ports, seeds):
        await wait_until(
            lambda: (
                not any(
                    node.peers.is_settling(node.clock.now()) for node in nodes
                )
            )
        )
        zones = {f"vm-{number}": "abc"[number] for number in range(3)}
        for node in nodes:
            assert node.peers.recent_zones(node.clock.now()) == zones
        # A member that goes or comes later is known to the others at once.
        await nodes[2].stop()
        assert not nodes[0].peers.is_settling(nodes[0].clock.now())

    run_cluster(body)


def test_a_daemon_alone_settles_after_the_discovery_timeout():
    node = Node(0, deployment.free_ports(1), [])
    now = node.clock.now()
    assert node.peers.is_settling(
        now + _peer_network.DISCOVERY_TIMEOUT_MS - 1000
    )
    assert not node.peers.is_settling(
        now + _peer_network.DISCOVERY_TIMEOUT_MS + 1
    )


def test_a_daemon_restarted_with_an_earlier_clock_rejoins():
    async def body(nodes, ports, seeds):
        await nodes[2].stop()
        restarted = Node(2, ports, seeds, incarnation=5)
        await restarted.start()
        nodes[2] = restarted
        await wait_until(lambda: len(nodes[0].peers.ready_endpoints()) == 3)
        state = nodes[0].peers.members.state_of("vm-2")
        assert state == messages.MemberState.ALIVE

    run_cluster(body)


def test_a_notification_reaches_the_peer():
    async def body(nodes, ports, seeds):
        senders = []
        nodes[1].peers.register_notification_handler(
            messages.RelayCancel, lambda message, sender: senders.append(sender)
        )
        notification = messages.RelayCancel([1])
        await wait_until(lambda: nodes[0].peers.notify("vm-1", notification))
        await wait_until(lambda: bool(senders), 1.0)
        assert senders[0] == "vm-0"

    run_cluster(body)


def test_peers_are_found_by_their_zone():
    async def body(nodes, ports, seeds):
        await wait_until(lambda: nodes[0].peers.reachable_in("b") == ["vm-1"])
        assert nodes[0].peers.reachable_in("nowhere") == []

    run_cluster(body)


def test_a_peer_that_restarted_and_has_no_endpoint_yet_is_not_reachable():
    async def body(nodes, ports, seeds):
        peers = nodes[0].peers
        await wait_until(lambda: peers.reachable_in("b") == ["vm-1"])
        restarted = messages.Member(
            "vm-1", 2**60, 0, messages.MemberState.ALIVE, 0
        )
        peers.members.merge_updates([restarted], "vm-2", 0)
        assert peers.reachable_in("b") == []

    run_cluster(body)


class SingleDaemon:
    """A peer network without links; the test records the store reads."""

    def __init__(self):
        self.clock = clocks.ManualClock(10_000)
        self.view = entry.LocalView(lambda kind, detail: None, {})
        self.peers = entry.PeerNetwork(
            test_dispatcher.SETTINGS,
            1,
            self.view,
            self.clock,
            test_dispatcher.FakeLog(),
        )
        self.revision = 0

    def read(self, *upstreams):
        """Applies a store read by this daemon; returns the usable searchers."""
        self.revision += 1
        self.peers.record_store_read(self.clock.now())
        contents = entry.StoreContents(
            samples.position(self.revision),
            samples.route_set(1),
            list(upstreams),
            [],
        )
        self.view.apply_store_contents(contents, self.clock.now())
        return [
            upstream.id
            for upstream in self.view.registry.usable_upstreams("store")
        ]

    def run_for(self, duration_ms):
        """Lets time pass in which this daemon runs."""
        for _ in range(duration_ms // 100):
            self.clock.advance(100)
            self.peers.tick(self.clock.now())

    def record_peer_read(self, age_ms):
        """Records that a peer read the store `age_ms` ago."""
        self.peers.record_store_read(self.clock.now() - age_ms)


UPSTREAM = samples.upstream("i-1")


def test_a_removal_applies_without_delay_if_peers_reached_the_store():
    # If the store refuses only some readers, for 9 s here, the reads of the
    # others show that there is no outage. A reader that takes it for one delays
    # a removal.
    daemon = SingleDaemon()
    assert daemon.read(UPSTREAM) == ["i-1"]
    for _ in range(9):
        daemon.run_for(1000)
        daemon.record_peer_read(age_ms=300)
    assert daemon.read() == []


def test_a_removal_is_delayed_after_a_store_outage_for_all_daemons():
    daemon = SingleDaemon()
    daemon.read(UPSTREAM)
    daemon.run_for(5000)
    assert daemon.read() == ["i-1"]


def test_a_removal_applies_without_delay_after_a_pause_of_this_daemon():
    # Guards against requests to removed searchers from all daemons: the others
    # trust the reads of one that was frozen, and it took its own pause for an
    # outage of the store.
    daemon = SingleDaemon()
    daemon.read(UPSTREAM)
    daemon.run_for(500)
    daemon.clock.advance(4000)
    assert daemon.read() == []


def test_a_removal_applies_without_delay_if_a_peer_ends_the_pause():
    daemon = SingleDaemon()
    daemon.read(UPSTREAM)
    daemon.run_for(500)
    daemon.clock.advance(4000)
    daemon.record_peer_read(age_ms=300)
    daemon.run_for(100)
    assert daemon.read() == []


def test_a_removal_is_delayed_if_a_peer_reads_first_after_an_outage():
    # The read of a peer ends the outage first. A daemon that reads the store
    # after it must not take entries that expired during the outage for removals
    # and send these to its peers. Found on hvk-search with
    # deploy/days/store.toml --vary --seed 549466515994.
    daemon = SingleDaemon()
    daemon.read(UPSTREAM)
    daemon.run_for(5000)
    daemon.record_peer_read(age_ms=100)
    daemon.run_for(100)
    assert daemon.read() == ["i-1"]


def test_views_agree_in_a_cluster_too_large_for_a_full_mesh():
    async def body(nodes, ports, seeds):
        for node in nodes:
            link_count = node.peers.link_count
            assert link_count < len(nodes) - 1
            for zone in {"a", "b", "c"} - {node.settings.zone}:
                assert len(node.peers.reachable_in(zone)) >= 2
        contents = entry.StoreContents(
            samples.position(7), samples.route_set(3), [], []
        )
        nodes[1].view.apply_store_contents(contents, nodes[1].clock.now())
        await wait_until(
            lambda: all(node.view.is_complete for node in nodes), 2.5
        )

    run_cluster(body, count=20)


def test_each_daemon_requests_a_change_of_the_view_from_one_peer(monkeypatch):
    # Of 78 daemons, each got the routes from two or three peers at once.
    request_count = 0
    updates_after = entry.LocalView.updates_after

    def count(view, known, now):
        nonlocal request_count
        request_count += 1
        return updates_after(view, known, now)

    async def body(nodes, ports, seeds):
        monkeypatch.setattr(entry.LocalView, "updates_after", count)
        contents = entry.StoreContents(
            samples.position(7), samples.route_set(3), [], []
        )
        nodes[1].view.apply_store_contents(contents, nodes[1].clock.now())
        await wait_until(
            lambda: all(node.view.is_complete for node in nodes), 2.5
        )

    run_cluster(body, count=20)
    assert request_count <= 20


def test_daemons_link_to_peers_of_zones_with_searchers_only():
    async def body(nodes, ports, seeds):
        names = [node.settings.vm for node in nodes]
        neighbour_counts = [
            len(membership.choose_neighbours(name, names, 8)) for name in names
        ]

        def extra_link_count():
            counts = [node.peers.link_count for node in nodes]
            return sum(counts) - sum(neighbour_counts)

        # Eight daemons have fewer than two neighbours in some zone.
        await wait_until(lambda: extra_link_count() == 10)
        for node in nodes:
            node.peers.set_searcher_zones(frozenset())
        await wait_until(lambda: extra_link_count() == 0)
        for node in nodes:
            node.peers.set_searcher_zones(frozenset("abc"))
        await wait_until(lambda: extra_link_count() == 10)

    run_cluster(body, count=20)


def test_a_link_carries_notifications_in_both_directions():
    # In a large cluster a peer may have no link of its own to the daemon that
    # delegates sends to it, so it must reply on that daemon's link. When it
    # could not, two thirds of the queries failed.
    async def body(nodes, ports, seeds):
        sender_counts = collections.Counter()
        for node in nodes:
            node.peers.register_notification_handler(
                messages.RelayCancel,
                lambda message, sender: sender_counts.update([sender]),
            )
        target = nodes[0]
        peers = target.peers.reachable_in("b") + target.peers.reachable_in("c")
        one_way = [
            peer
            for node in nodes
            if (peer := node.settings.vm) in peers
            and target.settings.vm not in node.peers.reachable_in("a")
        ]
        assert one_way
        by_name = {node.settings.vm: node for node in nodes}
        for peer in one_way:
            assert by_name[peer].peers.notify(
                target.settings.vm, messages.RelayCancel([1])
            )
        await wait_until(lambda: set(sender_counts) == set(one_way), 2.0)

    run_cluster(body, count=20)


def test_a_stopped_daemon_of_a_large_cluster_is_left_out_of_endpoints():
    async def body(nodes, ports, seeds):
        await nodes[7].stop()
        others = [node for node in nodes if node is not nodes[7]]
        await wait_until(
            lambda: all(
                len(node.peers.ready_endpoints()) == 19 for node in others
            ),
            2.5,
        )

    run_cluster(body, count=20)


def test_the_newest_read_names_the_daemon_that_reported_it():
    daemon = SingleDaemon()
    assert daemon.peers.store_read_by == ""
    daemon.read(UPSTREAM)
    own = daemon.peers.store_read_by
    daemon.peers.record_store_read(daemon.clock.now() - 10, "older")
    assert daemon.peers.store_read_by == own == test_dispatcher.SETTINGS.vm
    daemon.peers.record_store_read(daemon.clock.now() + 10, "newer")
    assert daemon.peers.store_read_by == "newer"


@pytest.fixture
def late_views(monkeypatch):
    """Keeps what peers know of routes and searchers from arriving."""

    async def keep_view(self, link):
        pass

    monkeypatch.setattr(_peer_network.PeerNetwork, "_update_view", keep_view)


@pytest.mark.usefixtures("late_views")
def test_a_restarted_daemon_does_not_make_a_view_count_as_up_to_date():
    # The restarted daemon has read nothing.
    async def body(nodes, ports, seeds):
        node = nodes[0]
        contents = entry.StoreContents(
            samples.position(7), samples.route_set(3), [], []
        )
        read_at = node.clock.now() - 60_000
        node.peers.record_store_read(read_at)
        node.view.apply_store_contents(contents, read_at)
        await asyncio.sleep(2 * _peer_network.HEARTBEAT_INTERVAL_MS / 1000)
        assert node.peers.store_age_ms(node.clock.now()) >= 60_000

    run_cluster(body, count=2)


@pytest.mark.usefixtures("late_views")
def test_a_view_with_older_routes_than_a_peers_is_not_up_to_date():
    async def body(nodes, ports, seeds):
        for node, version in zip(nodes, (3, 4), strict=True):
            read_at = node.clock.now() - (0 if version == 4 else 60_000)
            node.peers.record_store_read(read_at)
            contents = entry.StoreContents(
                samples.position(7), samples.route_set(version), [], []
            )
            node.view.apply_store_contents(contents, read_at)
        await asyncio.sleep(2 * _peer_network.HEARTBEAT_INTERVAL_MS / 1000)
        behind = nodes[0]
        assert behind.peers.store_age_ms(behind.clock.now()) >= 60_000

    run_cluster(body, count=2)


def test_a_peer_counts_as_disconnected_once_both_links_are_lost():
    async def body(nodes, ports, seeds):
        disconnected = []
        nodes[0].peers.add_disconnect_listener(disconnected.append)
        assert disconnected == []
        nodes[1].tick_task.cancel()
        await nodes[1].peers.close()
        await wait_until(lambda: disconnected)
        assert set(disconnected) == {"vm-1"}

    run_cluster(body)


def cut_apart(nodes, side_size):
    sides = (nodes[:side_size], nodes[side_size:])
    for side, other_side in (sides, sides[::-1]):
        for node in side:
            node.cut_off(other.port for other in other_side)


def count_members(nodes):
    return {len(node.peers.live_vms()) for node in nodes}


@pytest.mark.parametrize(("count", "side_size"), [(5, 2), (16, 5)])
def test_two_sides_of_a_cut_become_one_cluster_again(count, side_size):
    async def body(nodes, ports, seeds):
        cut_apart(nodes, side_size)
        await wait_until(
            lambda: (
                count_members(nodes[:side_size]) == {side_size}
                and count_members(nodes[side_size:]) == {count - side_size}
            ),
            10,
        )
        for node in nodes:
            node.cut_off([])
        await wait_until(lambda: count_members(nodes) == {count}, 5.0)

    run_cluster(body, count, seeds_of=lambda ports: ports[:3])


def test_seeds_that_replaced_all_others_are_tried_while_peers_are_known():
    async def body(nodes, ports, seeds):
        other = Node(4, [*ports, *deployment.free_ports(2)], [])
        await other.start()
        try:
            for node in nodes:
                node.peers.set_seeds([f"127.0.0.1:{other.port}"])
            await wait_until(lambda: count_members([*nodes, other]) == {4}, 5.0)
        finally:
            await other.stop()

    run_cluster(body)


def test_garbage_of_peers_writes_a_bounded_number_of_lines():
    # A soak: 114,149 lines in 5.5 s, while callers got no answer for 3 s.
    log = entry.DecisionLog("vm-1", clocks.ManualClock())
    peers = entry.PeerNetwork(
        test_dispatcher.SETTINGS,
        1,
        entry.LocalView(lambda kind, detail: None, {}),
        clocks.ManualClock(10_000),
        log,
    )
    unknown = envelopes.wrap(serving.ViewRequest(serving.ViewStamp(0, 0, 0)))
    for _ in range(300):
        peers._on_notification("vm-2", unknown)
        peers._on_protocol_error()
    assert log.dropped_count == 600 - _decision_log.MAX_LINES_PER_S


def test_a_daemon_with_many_seeds_dials_no_more_links_than_its_bound():
    # Each of 6,300 seeds took a descriptor of each daemon at its start.
    async def body():
        port, *seed_ports = deployment.free_ports(41)
        seeds = [f"127.0.0.1:{seed_port}" for seed_port in seed_ports]
        node = Node(0, [port], seeds, link_bound=limits.LinkBound(20))
        await node.start()
        assert node.peers.link_count == 10
        # Else it would be alone for good if those ten are lost.
        assert len(node.peers._lost_addresses()) == 30
        await node.stop()
        await wait_closed()

    asyncio.run(body())


def test_a_small_bound_of_links_leaves_no_daemon_that_none_dials():
    # The neighbours are sorted by name, and the first were kept.
    async def body():
        ports = deployment.free_ports(20)
        seeds = [f"127.0.0.1:{port}" for port in ports]
        nodes = [
            Node(number, ports, seeds, link_bound=limits.LinkBound(11))
            for number in range(20)
        ]
        for node in nodes:
            await node.start()
        await wait_until(lambda: count_members(nodes) == {20})
        names = {node.settings.vm for node in nodes}
        dialled = {name for node in nodes for name in node.peers._links}
        for node in nodes:
            await node.stop()
        await wait_closed()
        return names - dialled

    assert asyncio.run(body()) == set()
