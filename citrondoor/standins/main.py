"""The command `python -m citrondoor.standins.main`."""

import asyncio
import pathlib
import random

import click
import orjson
import uvicorn
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor import gc_tuning
from citrondoor.schema import declarations
from citrondoor.standins import platform as platform_module
from citrondoor.standins import searcher as searcher_module

# Sub-requests take this long at the two kinds of back ends.
SEARCH_SERVICE_MS = 2.0
RUN_SERVICE_MS = 1.0


@click.group()
def main() -> None:
    """Stand-ins for tests, demonstrations and benchmarks."""


@main.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
def platform(address: str, port: int) -> None:
    """Serves an empty platform."""
    platform_module.serve(address, port)


@main.command()
@click.argument("directory", type=click.Path(path_type=pathlib.Path))
@click.option("--address", default="127.0.0.1", help="For the control port.")
@click.option("--control-port", type=int, required=True)
@click.option("--seed", type=int, default=1)
@click.option("--part", type=int, default=0, help="Which part to serve.")
@click.option("--parts", type=int, default=1, help="Processes that share them.")
def searchers(
    directory: pathlib.Path,
    address: str,
    control_port: int,
    seed: int,
    part: int,
    parts: int,
) -> None:
    """Serves the searchers that a directory of declarations names."""
    asyncio.run(
        _serve_searchers(directory, address, control_port, seed, part, parts)
    )


async def _serve_searchers(
    directory: pathlib.Path,
    address: str,
    control_port: int,
    seed: int,
    part: int,
    parts: int,
) -> None:
    catalogue = declared.Catalogue(declared.read_directory(directory))
    served = {}
    for backend in catalogue.backends.values():
        for number, searcher in enumerate(backend.searchers):
            if number % parts != part:
                continue
            made = _make(catalogue, backend, searcher, seed)
            served[searcher.name] = made
            await searcher_module.listen(made, searcher.address, searcher.port)
    gc_tuning.tune()
    config = uvicorn.Config(
        _control_app(served),
        host=address,
        port=control_port,
        loop="asyncio",
        lifespan="off",
        log_level="error",
    )
    await uvicorn.Server(config).serve()


def _make(
    catalogue: declared.Catalogue,
    backend: declarations.Backend,
    searcher: declarations.Searcher,
    seed: int,
) -> searcher_module.Searcher:
    is_search = backend.kind == declarations.BackendKind.SEARCH
    behaviour = searcher_module.Behaviour(
        service_ms=SEARCH_SERVICE_MS if is_search else RUN_SERVICE_MS,
        slots=backend.slots,
        connections=backend.connections,
        connect_cost_ms=backend.connect_cost_ms,
    )
    return searcher_module.Searcher(
        searcher.name,
        behaviour,
        _shards_of(catalogue, backend.name, searcher.name),
        random.Random(f"{seed}/{searcher.name}"),
        clocks.Clock(),
    )


def _shards_of(
    catalogue: declared.Catalogue, backend: str, searcher: str
) -> dict[str, dict[str, int]]:
    held: dict[str, dict[str, int]] = {}
    for snapshot in catalogue.snapshots.get(backend, []):
        held[snapshot.name] = {
            shard.name: shard.records
            for group in snapshot.groups
            if searcher in group.replicas
            for shard in group.shards
        }
    return held


def _control_app(
    served: dict[str, searcher_module.Searcher],
) -> applications.Starlette:
    """Returns the application by which tests change searchers."""

    async def change(request: requests.Request) -> responses.Response:
        content = orjson.loads(await request.body())
        names = content.pop("searchers", None) or list(served)
        is_cold = content.pop("turn_cold", False)
        snapshot = content.pop("add_snapshot", None)
        for name in names:
            if name not in served:
                continue
            searcher = served[name]
            if is_cold:
                searcher.turn_cold()
            if snapshot is not None:
                searcher.shard_records[snapshot["name"]] = snapshot["shards"]
            for key, value in content.items():
                if key == "missing_snapshots":
                    searcher.behaviour.missing_snapshots = set(value)
                else:
                    setattr(searcher.behaviour, key, value)
        return responses.Response(b"{}", media_type="application/json")

    async def counters(request: requests.Request) -> responses.Response:
        content = {}
        for name, searcher in served.items():
            seen = searcher.counters
            content[name] = {
                slot: getattr(seen, slot)
                for slot in seen.__slots__
                if slot != "runs"
            }
            content[name]["runs"] = dict(seen.runs)
            content[name]["is_cold"] = searcher.is_cold
        return responses.Response(
            orjson.dumps(content), media_type="application/json"
        )

    return applications.Starlette(
        routes=[
            routing.Route("/change", change, methods=["POST"]),
            routing.Route("/tallies", counters),
        ]
    )


if __name__ == "__main__":
    main()
