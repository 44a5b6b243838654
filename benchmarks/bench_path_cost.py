"""CPU time of a daemon's search path per sub-request to a searcher.

This process runs the search engine and its links to searchers, without the HTTP
front end and without peers; the echo server and searchers run in another
process, so that their CPU time isn't measured. Baselines of the same run: a
length-prefixed TCP echo over asyncio with 20 connections and 220-byte bodies,
and POSTs with aiosonic alone.
"""

import asyncio
import itertools
import json
import multiprocessing
import random
import statistics
import struct
import time
from collections.abc import Callable

import aiosonic
import aiosonic.pools
import click

from benchmarks import _report
from citrondoor import clock as clocks
from citrondoor import configuration
from citrondoor import engine
from citrondoor import gc_tuning
from citrondoor import limits
from citrondoor import links
from citrondoor import membership
from citrondoor import timeline
from citrondoor.schema import declarations
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings
from citrondoor.standins import searcher as searcher_module

CONNECTION_COUNT = 20
BODY_BYTES = 220
SEARCHER_COUNT = 40
RECORDS_PER_SHARD = 120
TOP_HITS = 10
QUERY_CONCURRENCY = 4
FIRST_SEARCHER_PORT = 25000
ECHO_PORT = 25900
HTTP_BASELINE_PORT = 25901
_LENGTH_PREFIX = struct.Struct(">I")
TARGET_RATIO_TO_ECHO = 1.5
# Started by `make_engine`, cancelled by `_run_rounds`.
_LEASE_MANAGER_TASKS: list[asyncio.Future] = []


# ---- Upstream process ----


async def _serve_echo(reader, writer) -> None:
    try:
        while True:
            prefix = await reader.readexactly(4)
            body = await reader.readexactly(_LENGTH_PREFIX.unpack(prefix)[0])
            writer.write(prefix + body)
    except (EOFError, OSError):
        writer.close()


async def _serve_upstreams(ready) -> None:
    await asyncio.start_server(_serve_echo, "127.0.0.1", ECHO_PORT)
    shards = {
        "gen-1": {f"s{n}": RECORDS_PER_SHARD for n in range(SEARCHER_COUNT)}
    }
    behaviour = searcher_module.Behaviour(
        service_ms=0, slots=64, connections=500, connect_cost_ms=0
    )
    for number in range(SEARCHER_COUNT):
        searcher = searcher_module.Searcher(
            f"desk-{number}",
            behaviour,
            shards,
            random.Random(number),
            clocks.Clock(),
        )
        await searcher_module.listen(
            searcher, "127.0.0.1", FIRST_SEARCHER_PORT + number
        )
    searcher = searcher_module.Searcher(
        "http", behaviour, shards, random.Random(1), clocks.Clock()
    )
    await searcher_module.listen(searcher, "127.0.0.1", HTTP_BASELINE_PORT)
    ready.set()
    await asyncio.Event().wait()


def _run_upstream_process(ready) -> None:
    asyncio.run(_serve_upstreams(ready))


# ---- Measured paths ----


async def _measure(path, unit_count: int) -> float:
    """Awaits `path`; returns its CPU time per unit in microseconds."""
    started = time.process_time()
    await path
    return (time.process_time() - started) / unit_count * 1e6


async def _run_echo(request_count: int) -> None:
    body = b"x" * BODY_BYTES
    request_numbers = itertools.count()

    async def run_worker() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", ECHO_PORT)
        while next(request_numbers) < request_count:
            writer.write(_LENGTH_PREFIX.pack(len(body)) + body)
            await writer.drain()
            prefix = await reader.readexactly(4)
            await reader.readexactly(_LENGTH_PREFIX.unpack(prefix)[0])
        writer.close()

    await asyncio.gather(*(run_worker() for _ in range(CONNECTION_COUNT)))


async def _run_bare_aiosonic(request_count: int) -> None:
    pools = {":default": aiosonic.pools.PoolConfig(size=CONNECTION_COUNT)}
    client = aiosonic.HTTPClient(aiosonic.TCPConnector(pool_configs=pools))
    url = f"http://127.0.0.1:{HTTP_BASELINE_PORT}/v1/subsearch"
    body = json.dumps(
        {
            "id": 1,
            "query": "valve pump",
            "snapshot": "gen-1",
            "top": TOP_HITS,
            "shards": ["s1"],
            "padding": "x" * 120,
        }
    )
    request_numbers = itertools.count()

    async def run_worker() -> None:
        while next(request_numbers) < request_count:
            response = await client.post(url, data=body)
            await response.content()

    await asyncio.gather(*(run_worker() for _ in range(CONNECTION_COUNT)))
    await client.connector.cleanup()


def _documents() -> list[declarations.Document]:
    zones = [declarations.Zone("za", "north")]
    vms = [declarations.Vm("vm-0", "za", "127.0.0.1", 25950, 25951)]
    searchers = [
        declarations.Searcher(
            f"desk-{n}", "za", "127.0.0.1", FIRST_SEARCHER_PORT + n
        )
        for n in range(SEARCHER_COUNT)
    ]
    shards = [
        declarations.Shard(f"s{n}", RECORDS_PER_SHARD, [f"desk-{n}"])
        for n in range(SEARCHER_COUNT)
    ]
    snapshots = [declarations.Snapshot("gen-1", shards)]
    kind = declarations.BackendKind.SEARCH
    return [
        declarations.Document("zones", 1, zones=declarations.Zones(zones)),
        declarations.Document("vms", 1, vms=declarations.Vms(vms)),
        declarations.Document(
            "backends/desk",
            1,
            backend=declarations.Backend("desk", kind, searchers, 8, 30, 0),
        ),
        declarations.Document(
            "snapshots/desk",
            1,
            snapshots=declarations.Snapshots("desk", snapshots),
        ),
    ]


class _NoPeers:
    """Substitute for the peer links of a daemon without peers."""

    __slots__ = ()

    def register(self, kind: type, handler) -> None:
        """Ignores the handler, as no peer sends requests."""


def make_engine(seed: int) -> tuple[engine.SearchEngine, links.UpstreamPool]:
    """Returns an engine and its pool for the upstream process's searchers."""
    clock = clocks.Clock()
    settings = schema_settings.PeerSettings(key="00" * 16)
    recorder = timeline.Recorder("vm-0", 1, clock, lambda event: None)
    members = membership.Members("vm-0", 1, settings, recorder.record)
    pause_detector = membership.PauseDetector(10_000, 10_000, recorder.record)
    view = engine.ClusterView(
        "vm-0", "za", clock, members, pause_detector, recorder
    )
    demand_callbacks: list[Callable[[], None]] = []
    warmup = limits.WarmupLimiter(
        "vm-0", on_lease_wanted=lambda: demand_callbacks[0]()
    )
    upstreams = schema_settings.UpstreamSettings()
    pool = links.UpstreamPool(
        "vm-0", upstreams, warmup, clock, pause_detector.check_view
    )
    search_engine = engine.SearchEngine(
        view, pool, upstreams, random.Random(seed), 1
    )
    store = configuration.Store()
    store.offer(_documents())
    view.set_catalogue(store.catalogue)
    pool.set_catalogue(store.catalogue)
    search_engine.set_catalogue(store.catalogue)
    pause_detector.confirm_view(clock.now(), clock.now())
    # A searcher with several slow answers in a row is marked cold, and then is
    # used only under warm-up leases.
    lease_manager = engine.WarmupLeaseManager(
        view, _NoPeers(), warmup, pool.in_flight
    )
    demand_callbacks.append(lease_manager.signal_demand)
    _LEASE_MANAGER_TASKS.append(asyncio.ensure_future(lease_manager.run()))
    return search_engine, pool


def _contract() -> declarations.Contract:
    return declarations.Contract(
        "acme",
        ["0" * 64],
        ["desk"],
        1e6,
        1000,
        0,
        SEARCHER_COUNT,
        100,
        declarations.AnswerPolicy(coverage_first=declarations.CoverageFirst()),
    )


async def _run_search_path(
    search_engine: engine.SearchEngine, query_count: int
) -> None:
    contract = _contract()
    query_numbers = itertools.count()

    async def run_worker() -> None:
        while (number := next(query_numbers)) < query_count:
            request = messages.SearchRequest(
                messages.RequestId("bench", number + 1),
                "desk",
                "valve pump",
                TOP_HITS,
                [],
                search_engine.view.clock.now() + 5000,
            )
            outcome = await search_engine.search(
                request, contract, lambda: None
            )
            coverage = outcome.unwrap().coverage
            if coverage.shards_answered != SEARCHER_COUNT:
                raise RuntimeError(f"incomplete: {coverage.missing}")

    await asyncio.gather(*(run_worker() for _ in range(QUERY_CONCURRENCY)))


async def _run_rounds(seed: int, rounds: int) -> None:
    query_count = 100 if _report.is_quick() else 250
    request_count = query_count * SEARCHER_COUNT
    search_engine, pool = make_engine(seed)
    # The daemon does the same at start; the baselines benefit from it too.
    gc_tuning.tune()
    await _run_search_path(search_engine, 20)
    echo_cpu_us, aiosonic_cpu_us, search_cpu_us = [], [], []
    for _ in range(rounds):
        echo_cpu_us.append(
            await _measure(_run_echo(request_count), request_count)
        )
        aiosonic_cpu_us.append(
            await _measure(
                _run_bare_aiosonic(request_count // 4), request_count // 4
            )
        )
        search_cpu_us.append(
            await _measure(
                _run_search_path(search_engine, query_count), request_count
            )
        )
    pool.close()
    for task in _LEASE_MANAGER_TASKS:
        task.cancel()
    await asyncio.sleep(0)
    ratios = [
        cpu_us / echo_us
        for cpu_us, echo_us in zip(search_cpu_us, echo_cpu_us, strict=True)
    ]
    _report.print_report(
        "path_cost",
        seed,
        _figures(statistics.median(search_cpu_us), statistics.median(ratios)),
        {
            "framed_echo": _figures(statistics.median(echo_cpu_us), 1.0),
            "bare_aiosonic": _figures(
                statistics.median(aiosonic_cpu_us),
                statistics.median(
                    cpu_us / echo_us
                    for cpu_us, echo_us in zip(
                        aiosonic_cpu_us, echo_cpu_us, strict=True
                    )
                ),
            ),
        },
        {"ratio_to_framed_echo": TARGET_RATIO_TO_ECHO},
    )


def _figures(cpu_us: float, ratio: float) -> dict[str, float]:
    return {
        "cpu_us_per_subrequest": cpu_us,
        "cpu_ms_per_query": cpu_us * SEARCHER_COUNT / 1000,
        "ratio_to_framed_echo": ratio,
    }


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    context = multiprocessing.get_context("spawn")
    ready = context.Event()
    upstream_process = context.Process(
        target=_run_upstream_process, args=(ready,), daemon=True
    )
    upstream_process.start()
    try:
        ready.wait(20)
        asyncio.run(_run_rounds(seed, 3 if _report.is_quick() else 7))
    finally:
        upstream_process.kill()
        upstream_process.join()


if __name__ == "__main__":
    main()
