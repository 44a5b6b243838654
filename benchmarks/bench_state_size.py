"""Memory and CPU time per item of a daemon's state, for docs/CAPACITY.md.

For figures per item, each kind of state is built with `SMALL_COUNT` and
`LARGE_COUNT` items in one process; the figure is the difference in memory or
time over the difference in items. Memory is that of Python objects as
`tracemalloc` counts it. `ms_neighbours_of_6300` is the time of one call, and
`wire_bytes_*` are encoded sizes.
"""

import gc
import time
import tracemalloc

import click

from benchmarks import _report
from citrondoor import clock as clocks
from citrondoor import configuration
from citrondoor import counting
from citrondoor import declarations as declared
from citrondoor import limits
from citrondoor import links
from citrondoor import membership
from citrondoor.codecs import peers as codec
from citrondoor.schema import declarations
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

SMALL_COUNT = 500
LARGE_COUNT = 2000
DAEMON_COUNT = 6300
MONTH = "2026-12"
MS_PER_S = 1000
CHANGE_COUNT = 10


def _build_members(count: int) -> object:
    settings = schema_settings.PeerSettings(key="00")
    members = membership.Members("vm-0", 1, settings, lambda kind, text: None)
    members.set_declared([f"vm-{n}" for n in range(count)], 1, 0)
    for number in range(1, count):
        name = f"vm-{number}"
        members.on_heartbeat(messages.Member(name, 1, 0, 1, 1), [], 0)
    return members


def _build_backend(count: int) -> declarations.Backend:
    searchers = [
        declarations.Searcher(f"searcher-{n:06d}", "za", "127.0.0.1", 1000)
        for n in range(count)
    ]
    kind = declarations.BackendKind.SEARCH
    return declarations.Backend("desk", kind, searchers, 3, 30, 6)


def _build_documents(count: int) -> list[declarations.Document]:
    zones = declarations.Zones([declarations.Zone("za", "north")])
    vms = declarations.Vms([declarations.Vm("vm-0", "za", "127.0.0.1", 1, 1)])
    shards = [
        declarations.Shard(
            f"s{n}", 100, [f"searcher-{n:06d}", f"searcher-{n + 1:06d}"]
        )
        for n in range(0, count - 1, 2)
    ]
    snapshots = declarations.Snapshots(
        "desk", [declarations.Snapshot("gen-1", shards)]
    )
    return [
        declarations.Document("zones", 1, zones=zones),
        declarations.Document("vms", 1, vms=vms),
        declarations.Document(
            "backends/desk", 1, backend=_build_backend(count)
        ),
        declarations.Document("snapshots/desk", 1, snapshots=snapshots),
    ]


def _build_store(count: int) -> object:
    store = configuration.Store()
    store.offer(_build_documents(count))
    return store


def _build_searcher_links(count: int) -> object:
    catalogue = declared.Catalogue(_build_documents(count))
    pool = links.UpstreamPool(
        "vm-0",
        schema_settings.UpstreamSettings(),
        limits.WarmupLimiter("vm-0"),
        clocks.Clock(),
        lambda now: True,
    )
    gc.collect()
    return pool, pool.set_catalogue(catalogue), catalogue


def _build_rate_limiters(count: int) -> object:
    policy = declarations.AnswerPolicy(
        coverage_first=declarations.CoverageFirst()
    )
    contracts = [
        declarations.Contract(
            f"customer-{n}", ["0" * 64], [], 10.0, 10, 0, 1, 1, policy
        )
        for n in range(count)
    ]
    documents = _build_documents(2)
    documents.append(
        declarations.Document(
            "contracts/all", 1, contracts=declarations.Contracts(contracts)
        )
    )
    table = limits.RateLimiterTable("vm-0", 0, lambda vm: 1)
    table.set_catalogue(declared.Catalogue(documents), 0)
    return table


def _ms_per_change(count: int) -> float:
    """Returns the CPU time of applying a change of zones, in milliseconds."""
    store = _build_store(count)
    zones = declarations.Zones([declarations.Zone("za", "north")])
    started = time.process_time()
    for revision in range(2, 2 + CHANGE_COUNT):
        store.offer([declarations.Document("zones", revision, zones=zones)])
    return (time.process_time() - started) * MS_PER_S / CHANGE_COUNT


def _build_sessions(count: int) -> object:
    """Returns a ledger of `count` sessions with three requests each."""
    ledger = counting.Ledger()
    for number in range(count):
        for request in range(1, 4):
            request_id = messages.RequestId(f"vm-1~1~{number}", request)
            ledger.add("customer-1", MONTH, request_id)
    return ledger


def _bytes_per_item(build) -> float:
    traced_bytes = {}
    for count in (SMALL_COUNT, LARGE_COUNT):
        gc.collect()
        tracemalloc.start()
        state = build(count)
        gc.collect()
        traced_bytes[count] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del state
    return (traced_bytes[LARGE_COUNT] - traced_bytes[SMALL_COUNT]) / (
        LARGE_COUNT - SMALL_COUNT
    )


def _ms_per_item(build) -> float:
    cpu_s = {}
    for count in (SMALL_COUNT, LARGE_COUNT):
        started = time.process_time()
        build(count)
        cpu_s[count] = time.process_time() - started
    return (
        (cpu_s[LARGE_COUNT] - cpu_s[SMALL_COUNT])
        / (LARGE_COUNT - SMALL_COUNT)
        * MS_PER_S
    )


def _choose_neighbours_ms() -> float:
    names = [f"entry-{number}" for number in range(DAEMON_COUNT)]
    started = time.process_time()
    membership.choose_neighbours("entry-7", names, 8)
    return (time.process_time() - started) * MS_PER_S


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    zones = _build_documents(2)[0]
    bytes_per_searcher = len(codec.encode(_build_backend(1000))) / 1000
    figures = {
        "bytes_per_member": _bytes_per_item(_build_members),
        "bytes_per_searcher_declared": _bytes_per_item(_build_store),
        # The builder also returns the catalogue, whose size is subtracted.
        "bytes_per_searcher_link": _bytes_per_item(_build_searcher_links)
        - _bytes_per_item(lambda n: declared.Catalogue(_build_documents(n))),
        "bytes_per_homed_customer": _bytes_per_item(_build_rate_limiters),
        "bytes_per_session": _bytes_per_item(_build_sessions),
        "ms_per_searcher_checked_and_indexed": _ms_per_item(_build_store),
        "ms_per_searcher_and_change": (
            _ms_per_change(LARGE_COUNT) - _ms_per_change(SMALL_COUNT)
        )
        / (LARGE_COUNT - SMALL_COUNT),
        "ms_neighbours_of_6300": _choose_neighbours_ms(),
        "wire_bytes_per_searcher": bytes_per_searcher,
        "wire_bytes_zones_document": len(codec.encode(zones)),
    }
    _report.print_report("state_size", seed, figures, {}, {})


if __name__ == "__main__":
    main()
