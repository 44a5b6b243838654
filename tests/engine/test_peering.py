import asyncio

import pytest

from citrondoor import clock as clocks
from citrondoor import configuration
from citrondoor import engine
from citrondoor import errors
from citrondoor import limits
from citrondoor import links
from citrondoor import membership
from citrondoor import timeline
from citrondoor.engine import _peering
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings
from tests import samples

VM_COUNT = 20
LOOPBACK = "127.0.0.1"


class PeeringNode:
    """The peering of one daemon; it listens on a loopback port."""

    def __init__(self, vm: str):
        settings = schema_settings.PeerSettings(key="00", neighbours=4)
        recorder = timeline.Recorder(vm, 1, clocks.Clock(), lambda event: None)
        members = membership.Members(vm, 1, settings, recorder.record)
        pause_detector = membership.PauseDetector(
            10_000, 10_000, recorder.record
        )
        self.view = engine.ClusterView(
            vm, "za", clocks.Clock(), members, pause_detector, recorder
        )
        link_settings = links.PeerSettings(vm, 1, b"k" * 16, 65536, 2000)
        self.peering = engine.Peering(
            self.view,
            limits.WarmupLimiter(vm),
            settings,
            link_settings,
            asyncio.open_connection,
            [],
        )
        self.peering.set_revision_callbacks(
            lambda: 1, lambda link, revision: None
        )


def documents(port_by_vm) -> list:
    declared = samples.documents(VM_COUNT)
    for vm in declared[1].vms.vms:
        vm.peer_port = port_by_vm.get(vm.name, 9)
    return declared


async def start_two(first: str, second: str) -> tuple[PeeringNode, PeeringNode]:
    nodes = PeeringNode(first), PeeringNode(second)
    ports = {}
    for node in nodes:
        await node.peering.server.start(LOOPBACK, 0)
        ports[node.view.vm] = node.peering.server.port
    for node in nodes:
        store = configuration.Store()
        store.offer(documents(ports))
        node.view.set_catalogue(store.catalogue)
        node.peering.set_catalogue(store.catalogue)
    return nodes


def choose_non_neighbours() -> tuple[str, str]:
    names = [f"vm-{number}" for number in range(VM_COUNT)]
    neighbours = membership.choose_neighbours("vm-0", names, 4)
    non_neighbour = next(n for n in names[1:] if n not in neighbours)
    return "vm-0", non_neighbour


def test_large_cluster_links_to_neighbours_and_to_others_on_demand():
    async def scenario():
        first, second = await start_two(*choose_non_neighbours())
        peering = first.peering
        assert len(peering._links) == 4
        reply = await peering.request(second.view.vm, messages.EventsRequest(0))
        assert isinstance(reply, messages.Events)
        assert len(peering._links) == 5
        peering.tick(
            first.view.clock.now() + _peering.IDLE_LINK_TIMEOUT_MS + 1000
        )
        assert len(peering._links) == 4
        for node in (first, second):
            await node.peering.close()

    asyncio.run(scenario())


def test_request_to_an_undeclared_vm_raises():
    async def scenario():
        first, second = await start_two(*choose_non_neighbours())
        with pytest.raises(errors.PeerUnreachableError, match="no declared VM"):
            await first.peering.request("nobody", messages.EventsRequest(0))
        for node in (first, second):
            await node.peering.close()

    asyncio.run(scenario())


def test_unhandled_request_type_is_refused_and_the_link_stays_usable():
    async def scenario():
        first, second = await start_two(*choose_non_neighbours())
        peering = first.peering
        with pytest.raises(errors.PeerRefusedError, match="nobody answers"):
            await peering.request(second.view.vm, messages.ConfigRequest(0))
        await peering.request(second.view.vm, messages.EventsRequest(0))
        for node in (first, second):
            await node.peering.close()

    asyncio.run(scenario())
