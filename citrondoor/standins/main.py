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

# Service time of one request at a searcher, by kind of back end.
SEARCH_SERVICE_MS = 2.0
RUN_SERVICE_MS = 1.0


@click.group()
def main() -> None:
    """Stand-ins for tests, demonstrations and benchmarks."""


@main.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
def platform(address: str, port: int) -> None:
    """Serves a platform without values."""
    platform_module.serve(address, port)


@main.command()
@click.argument("directory", type=click.Path(path_type=pathlib.Path))
@click.option("--address", default="127.0.0.1", help="For the control port.")
@click.option("--control-port", type=int, required=True)
@click.option("--seed", type=int, default=1)
@click.option(
    "--part", type=int, default=0, help="Number of this process, from 0."
)
@click.option(
    "--parts",
    type=int,
    default=1,
    help="Number of processes that the searchers are divided among.",
)
def searchers(
    directory: pathlib.Path,
    address: str,
    control_port: int,
    seed: int,
    part: int,
    parts: int,
) -> None:
    """Serves the searchers declared in a directory."""
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
    searcher_by_name = {}
    for backend in catalogue.backends.values():
        for number, searcher in enumerate(backend.searchers):
            if number % parts != part:
                continue
            standin = _make_searcher(catalogue, backend, searcher, seed)
            searcher_by_name[searcher.name] = standin
            await searcher_module.listen(
                standin, searcher.address, searcher.port
            )
    gc_tuning.tune()
    config = uvicorn.Config(
        _make_control_app(searcher_by_name),
        host=address,
        port=control_port,
        loop="asyncio",
        lifespan="off",
        log_level="error",
    )
    await uvicorn.Server(config).serve()


def _make_searcher(
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
    records_by_shard: dict[str, dict[str, int]] = {}
    for snapshot in catalogue.snapshots.get(backend, []):
        records_by_shard[snapshot.name] = {
            shard.name: shard.records
            for group in snapshot.groups
            if searcher in group.replicas
            for shard in group.shards
        }
    return records_by_shard


def _make_control_app(
    searcher_by_name: dict[str, searcher_module.Searcher],
) -> applications.Starlette:
    """Returns the ASGI application by which tests control the searchers.

    POST /change sets attributes of their `Behaviour` by name, makes them cold
    and adds snapshots; GET /tallies returns their counters.
    """

    async def change(request: requests.Request) -> responses.Response:
        content = orjson.loads(await request.body())
        names = content.pop("searchers", None) or list(searcher_by_name)
        turns_cold = content.pop("turn_cold", False)
        snapshot = content.pop("add_snapshot", None)
        for name in names:
            if name not in searcher_by_name:
                continue
            searcher = searcher_by_name[name]
            if turns_cold:
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
        for name, searcher in searcher_by_name.items():
            searcher_counters = searcher.counters
            content[name] = {
                slot: getattr(searcher_counters, slot)
                for slot in searcher_counters.__slots__
                if slot != "runs"
            }
            content[name]["runs"] = dict(searcher_counters.runs)
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
