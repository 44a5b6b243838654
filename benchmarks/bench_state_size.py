"""Memory and CPU of a daemon's state, by item: the slopes of docs/CAPACITY.md.

Each kind of state is built at two sizes in one process; the slope is the
difference over the difference of the sizes.
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

SMALL = 500
LARGE = 2000
FLEET = 6300
MONTH = "2026-12"
SECONDS_TO_MS = 1000
CHANGES = 10


def _members(count: int) -> object:
    settings = schema_settings.PeerSettings(key="00")
    members = membership.Members("vm-0", 1, settings, lambda kind, text: None)
    members.set_declared([f"vm-{n}" for n in range(count)], 1, 0)
    for number in range(1, count):
        name = f"vm-{number}"
        members.on_heartbeat(messages.Member(name, 1, 0, 1, 1), [], 0)
    return members


def _backend(count: int) -> declarations.Backend:
    searchers = [
        declarations.Searcher(f"searcher-{n:06d}", "za", "127.0.0.1", 1000)
        for n in range(count)
    ]
    kind = declarations.BackendKind.SEARCH
    return declarations.Backend("desk", kind, searchers, 3, 30, 6)


def _documents(count: int) -> list[declarations.Document]:
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
        declarations.Document("backends/desk", 1, backend=_backend(count)),
        declarations.Document("snapshots/desk", 1, snapshots=snapshots),
    ]


def _catalogue(count: int) -> object:
    store = configuration.Store()
    store.offer(_documents(count))
    return store


def _searcher_links(count: int) -> object:
    catalogue = declared.Catalogue(_documents(count))
    pool = links.UpstreamPool(
        "vm-0",
        schema_settings.UpstreamSettings(),
        limits.WarmupLimiter("vm-0"),
        clocks.Clock(),
        lambda now: True,
    )
    gc.collect()
    return pool, pool.set_catalogue(catalogue), catalogue


def _rates(count: int) -> object:
    policy = declarations.AnswerPolicy(
        coverage_first=declarations.CoverageFirst()
    )
    contracts = [
        declarations.Contract(
            f"customer-{n}", ["0" * 64], [], 10.0, 10, 0, 1, 1, policy
        )
        for n in range(count)
    ]
    documents = _documents(2)
    documents.append(
        declarations.Document(
            "contracts/all", 1, contracts=declarations.Contracts(contracts)
        )
    )
    table = limits.RateLimiterTable("vm-0", 0, lambda vm: 1)
    table.set_catalogue(declared.Catalogue(documents), 0)
    return table


def _ms_per_change(count: int) -> float:
    """Returns the CPU of taking a change of zones, in milliseconds."""
    store = _catalogue(count)
    zones = declarations.Zones([declarations.Zone("za", "north")])
    started = time.process_time()
    for revision in range(2, 2 + CHANGES):
        store.offer([declarations.Document("zones", revision, zones=zones)])
    return (time.process_time() - started) * SECONDS_TO_MS / CHANGES


def _sessions(count: int) -> object:
    ledger = counting.Ledger()
    for number in range(count):
        for request in range(1, 4):
            request_id = messages.RequestId(f"vm-1~1~{number}", request)
            ledger.add("customer-1", MONTH, request_id)
    return ledger


def _bytes_each(build) -> float:
    sizes = {}
    for count in (SMALL, LARGE):
        gc.collect()
        tracemalloc.start()
        kept = build(count)
        gc.collect()
        sizes[count] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del kept
    return (sizes[LARGE] - sizes[SMALL]) / (LARGE - SMALL)


def _ms_each(build) -> float:
    spent = {}
    for count in (SMALL, LARGE):
        started = time.process_time()
        build(count)
        spent[count] = time.process_time() - started
    return (spent[LARGE] - spent[SMALL]) / (LARGE - SMALL) * SECONDS_TO_MS


def _neighbours_ms() -> float:
    names = [f"entry-{number}" for number in range(FLEET)]
    started = time.process_time()
    membership.choose_neighbours("entry-7", names, 8)
    return (time.process_time() - started) * SECONDS_TO_MS


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    zones = _documents(2)[0]
    backend_bytes = len(codec.encode(_backend(1000))) / 1000
    figures = {
        "bytes_per_member": _bytes_each(_members),
        "bytes_per_searcher_declared": _bytes_each(_catalogue),
        "bytes_per_searcher_link": _bytes_each(_searcher_links)
        - _bytes_each(lambda n: declared.Catalogue(_documents(n))),
        "bytes_per_homed_customer": _bytes_each(_rates),
        "bytes_per_session": _bytes_each(_sessions),
        "ms_per_searcher_checked_and_indexed": _ms_each(_catalogue),
        "ms_per_searcher_and_change": (
            _ms_per_change(LARGE) - _ms_per_change(SMALL)
        )
        / (LARGE - SMALL),
        "ms_neighbours_of_6300": _neighbours_ms(),
        "wire_bytes_per_searcher": backend_bytes,
        "wire_bytes_zones_document": len(codec.encode(zones)),
    }
    _report.print_report("state_size", seed, figures, {}, {})


if __name__ == "__main__":
    main()
