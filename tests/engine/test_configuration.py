import asyncio
import types

from citrondoor import configuration
from citrondoor import engine
from citrondoor.schema import declarations
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings
from tests import fakes
from tests import samples


class FakePlatform:
    """A platform whose `values` a test sets."""

    def __init__(self):
        self.values = []

    async def list_vms(self):
        return types.SimpleNamespace(live=[], leaving=[])

    async def watch(self, after: int):
        return [v for v in self.values if v.revision > after]


def value(key: str, revision: int, text: str):
    return types.SimpleNamespace(key=key, revision=revision, text=text)


class Synchronizers:
    """Configuration synchronizers whose neighbours form a one-way ring."""

    def __init__(self):
        self.cluster = fakes.FakeCluster()
        self.platform = FakePlatform()
        self.synchronizers = {}
        for vm, daemon in self.cluster.daemons.items():
            daemon.peering.set_revision_callbacks = lambda revision_of, on: None
            daemon.peering.record_platform_read = lambda now: None
            store = configuration.Store()
            store.offer(fakes.cluster_documents())
            self.synchronizers[vm] = engine.ConfigurationSynchronizer(
                daemon.view,
                store,
                self.platform,
                daemon.peering,
                schema_settings.PlatformSettings(url=""),
            )
        names = list(self.synchronizers)
        for position, vm in enumerate(names):
            successor = names[(position + 1) % len(names)]
            self.cluster.daemons[vm].members._neighbours = [successor]

    def read(self, vm: str) -> None:
        async def run():
            synchronizer = self.synchronizers[vm]
            await synchronizer._read_once()
            while any(s._tasks for s in self.synchronizers.values()):
                await asyncio.sleep(0)

        asyncio.run(run())

    def is_zone_out(self, vm: str, zone: str) -> bool:
        return not self.synchronizers[vm].store.catalogue.is_zone_in_service(
            zone
        )


def zones_text(zone_out: str) -> str:
    lines = [
        f"- {{name: {name}, region: north, state: "
        f"{'out' if name == zone_out else 'in'}}}"
        for name in ("za", "zb", "zc")
    ]
    return "zones:\n" + "\n".join(lines)


def test_change_read_by_one_daemon_becomes_active_on_all():
    synchronizers = Synchronizers()
    synchronizers.platform.values = [value("zones", 5, zones_text("zb"))]
    synchronizers.read("vm-1")
    assert all(
        synchronizers.is_zone_out(vm, "zb")
        for vm in synchronizers.synchronizers
    )


def test_older_platform_revision_does_not_replace_a_newer_one():
    synchronizers = Synchronizers()
    synchronizers.platform.values = [value("zones", 5, zones_text("zb"))]
    synchronizers.read("vm-1")
    synchronizers.platform.values = [value("zones", 3, zones_text("za"))]
    for vm in synchronizers.synchronizers:
        synchronizers.read(vm)
        assert synchronizers.is_zone_out(vm, "zb")
        assert not synchronizers.is_zone_out(vm, "za")


def test_unparseable_value_is_recorded_once_and_not_read_again():
    synchronizers = Synchronizers()
    synchronizers.platform.values = [value("zones", 6, "zones: [")]
    synchronizer = synchronizers.synchronizers["vm-0"]
    synchronizers.read("vm-0")
    synchronizers.read("vm-0")
    assert synchronizer.rejected_count == 1
    assert (
        asyncio.run(
            synchronizers.platform.watch(synchronizer._last_platform_revision)
        )
        == []
    )
    events = synchronizers.cluster.daemons["vm-0"].view.recorder.events_after(0)
    rejected = [e for e in events if e.kind == "configuration_rejected"]
    assert len(rejected) == 1
    assert rejected[0].detail.startswith("zones:2: invalid YAML")


def test_newer_document_pushed_by_a_peer_becomes_active():
    synchronizers = Synchronizers()
    document = declarations.Document("zones", 7, zones=samples.zones("zc"))
    sender = synchronizers.cluster.daemons["vm-0"].peering

    async def push():
        return await sender.request(
            "vm-2", messages.ConfigDocuments(7, [document])
        )

    assert asyncio.run(push()).revision == 7
    assert synchronizers.is_zone_out("vm-2", "zc")
