"""CPU that the path to searchers costs the daemon, per sub-request.

One process runs the path under test; echo servers and searchers run in
another, so only the side of the daemon is measured. Baselines of the same run:
a length-framed asyncio TCP echo with 20 connections and 220-byte bodies, and
bare aiosonic POSTs.
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

CONNECTIONS = 20
BODY_BYTES = 220
SEARCHERS = 40
RECORDS = 120
TOP = 10
QUERIES_AT_ONCE = 4
FIRST_PORT = 25000
ECHO_PORT = 25900
HTTP_PORT = 25901
_LENGTH = struct.Struct(">I")
TARGET_RATIO = 1.5
_MANAGERS: list[asyncio.Future] = []


# ---- the other side ----


async def _serve_echo(reader, writer) -> None:
    try:
        while True:
            head = await reader.readexactly(4)
            body = await reader.readexactly(_LENGTH.unpack(head)[0])
            writer.write(head + body)
    except (EOFError, OSError):
        writer.close()


async def _serve_other_side(ready) -> None:
    await asyncio.start_server(_serve_echo, "127.0.0.1", ECHO_PORT)
    shards = {"gen-1": {f"s{n}": RECORDS for n in range(SEARCHERS)}}
    behaviour = searcher_module.Behaviour(
        service_ms=0, slots=64, connections=500, connect_cost_ms=0
    )
    for number in range(SEARCHERS):
        made = searcher_module.Searcher(
            f"desk-{number}",
            behaviour,
            shards,
            random.Random(number),
            clocks.Clock(),
        )
        await searcher_module.listen(made, "127.0.0.1", FIRST_PORT + number)
    made = searcher_module.Searcher(
        "http", behaviour, shards, random.Random(1), clocks.Clock()
    )
    await searcher_module.listen(made, "127.0.0.1", HTTP_PORT)
    ready.set()
    await asyncio.Event().wait()


def _other_side(ready) -> None:
    asyncio.run(_serve_other_side(ready))


# ---- the paths ----


async def _measure(work, count: int) -> float:
    """Returns the CPU in microseconds for each of `count` units."""
    started = time.process_time()
    await work
    return (time.process_time() - started) / count * 1e6


async def _echo(requests: int) -> None:
    body = b"x" * BODY_BYTES
    left = itertools.count()

    async def one() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", ECHO_PORT)
        while next(left) < requests:
            writer.write(_LENGTH.pack(len(body)) + body)
            await writer.drain()
            head = await reader.readexactly(4)
            await reader.readexactly(_LENGTH.unpack(head)[0])
        writer.close()

    await asyncio.gather(*(one() for _ in range(CONNECTIONS)))


async def _bare_aiosonic(requests: int) -> None:
    pools = {":default": aiosonic.pools.PoolConfig(size=CONNECTIONS)}
    client = aiosonic.HTTPClient(aiosonic.TCPConnector(pool_configs=pools))
    url = f"http://127.0.0.1:{HTTP_PORT}/v1/subsearch"
    body = json.dumps(
        {
            "id": 1,
            "query": "valve pump",
            "snapshot": "gen-1",
            "top": TOP,
            "shards": ["s1"],
            "padding": "x" * 120,
        }
    )
    left = itertools.count()

    async def one() -> None:
        while next(left) < requests:
            response = await client.post(url, data=body)
            await response.content()

    await asyncio.gather(*(one() for _ in range(CONNECTIONS)))
    await client.connector.cleanup()


def _documents() -> list[declarations.Document]:
    zones = [declarations.Zone("za", "north")]
    vms = [declarations.Vm("vm-0", "za", "127.0.0.1", 25950, 25951)]
    searchers = [
        declarations.Searcher(f"desk-{n}", "za", "127.0.0.1", FIRST_PORT + n)
        for n in range(SEARCHERS)
    ]
    shards = [
        declarations.Shard(f"s{n}", RECORDS, [f"desk-{n}"])
        for n in range(SEARCHERS)
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
    """Stands for the links to peers: there are none."""

    __slots__ = ()

    def register(self, kind: type, handler) -> None:
        """Takes a handler that nobody will ask."""


def make_engine(seed: int) -> tuple[engine.SearchEngine, links.UpstreamPool]:
    """Returns an engine over the searchers of the other side."""
    clock = clocks.Clock()
    settings = schema_settings.PeerSettings(key="00" * 16)
    recorder = timeline.Recorder("vm-0", 1, clock, lambda event: None)
    members = membership.Members("vm-0", 1, settings, recorder.record)
    pause_detector = membership.PauseDetector(10_000, 10_000, recorder.record)
    view = engine.ClusterView(
        "vm-0", "za", clock, members, pause_detector, recorder
    )
    wake: list[Callable[[], None]] = []
    warmup = limits.WarmupLimiter("vm-0", on_lease_wanted=lambda: wake[0]())
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
    # A searcher that answers slowly at first counts as cold until it is warm.
    manager = engine.WarmupLeaseManager(
        view, _NoPeers(), warmup, pool.in_flight
    )
    wake.append(manager.signal_demand)
    _MANAGERS.append(asyncio.ensure_future(manager.run()))
    return search_engine, pool


def _contract() -> declarations.Contract:
    return declarations.Contract(
        "acme",
        ["0" * 64],
        ["desk"],
        1e6,
        1000,
        0,
        SEARCHERS,
        100,
        declarations.AnswerPolicy(coverage_first=declarations.CoverageFirst()),
    )


async def _our_path(search_engine: engine.SearchEngine, queries: int) -> None:
    contract = _contract()
    left = itertools.count()

    async def one() -> None:
        while (number := next(left)) < queries:
            request = messages.SearchRequest(
                messages.RequestId("bench", number + 1),
                "desk",
                "valve pump",
                TOP,
                [],
                search_engine.view.clock.now() + 5000,
            )
            outcome = await search_engine.search(
                request, contract, lambda: None
            )
            coverage = outcome.unwrap().coverage
            if coverage.shards_answered != SEARCHERS:
                raise RuntimeError(f"incomplete: {coverage.missing}")

    await asyncio.gather(*(one() for _ in range(QUERIES_AT_ONCE)))


async def _run(seed: int, rounds: int) -> None:
    queries = 100 if _report.is_quick() else 250
    requests = queries * SEARCHERS
    search_engine, pool = make_engine(seed)
    # As the daemon does; the baselines gain from it as well.
    gc_tuning.tune()
    await _our_path(search_engine, 20)
    echo, sonic, ours = [], [], []
    for _ in range(rounds):
        echo.append(await _measure(_echo(requests), requests))
        sonic.append(
            await _measure(_bare_aiosonic(requests // 4), requests // 4)
        )
        ours.append(await _measure(_our_path(search_engine, queries), requests))
    pool.close()
    for manager in _MANAGERS:
        manager.cancel()
    await asyncio.sleep(0)
    ratios = [a / b for a, b in zip(ours, echo, strict=True)]
    _report.print_report(
        "path_cost",
        seed,
        _figures(statistics.median(ours), statistics.median(ratios)),
        {
            "framed_echo": _figures(statistics.median(echo), 1.0),
            "bare_aiosonic": _figures(
                statistics.median(sonic),
                statistics.median(
                    a / b for a, b in zip(sonic, echo, strict=True)
                ),
            ),
        },
        {"ratio_to_framed_echo": TARGET_RATIO},
    )


def _figures(cpu_us: float, ratio: float) -> dict[str, float]:
    return {
        "cpu_us_per_subrequest": cpu_us,
        "cpu_ms_per_query": cpu_us * SEARCHERS / 1000,
        "ratio_to_framed_echo": ratio,
    }


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    context = multiprocessing.get_context("spawn")
    ready = context.Event()
    other = context.Process(target=_other_side, args=(ready,), daemon=True)
    other.start()
    try:
        ready.wait(20)
        asyncio.run(_run(seed, 3 if _report.is_quick() else 7))
    finally:
        other.kill()
        other.join()


if __name__ == "__main__":
    main()
