"""CONFIG: another set of shards, which some daemons never learn of."""

import asyncio
import collections
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage2"))

import stage as stages  # noqa: E402

DAEMONS = 10
PAGE_ITEMS = 50
# In all as many searchers as the grown sites have.
FIRST_SHARDS = 20
NEXT_SHARDS = 30
COPIES = 2
OTHER_SERVICES = 216
OTHER_COPIES = 3
# Days of their own, until one breaks the rule or the time is over.
ROUNDS = 7
SETTLE_S = 3.0
TIME_S = 92.0
# The configuration names the next set so long after it started.
NAMED_AFTER_S = 3.0
# `config-apply-ms` and a little more.
APPLIED_AFTER_S = 3.3
REQUESTS = 4
LEAST = 0.89


def _config(version: int, next_shards: list[str]) -> dict:
    first = [f"first-{n}" for n in range(FIRST_SHARDS)]
    others = [f"other-{n}" for n in range(OTHER_SERVICES)]
    routes = [("first", first)]
    if next_shards:
        routes.append(("next", next_shards))
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": stages.HOST,
                "prefix": f"/{name}/",
                "kind": "idempotent",
                "timeout-ms": 1500,
                "goal-ms": 118,
                "priority": 1,
                "gather": shards,
                "max-attempts": 2,
                "top-k": 20,
                "min-part-share": LEAST,
            }
            for name, shards in routes
        ],
        "services": [
            {
                "name": name,
                "health-path": "/healthz",
                "max-connections": 61,
                "warmup-s": 3.0,
                "warmup-per-s": 0.0,
            }
            for name in [*first, *others, *next_shards]
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


async def _make(stage, rng, service: str, number: int):
    searcher = stages.Searcher(
        stage,
        f"i-{rng.getrandbits(40):010x}",
        service,
        stages.ZONES[number % len(stages.ZONES)],
        0.0165,
        6,
    )
    await searcher.start()
    stage.searchers.append(searcher)
    return searcher


async def _ask_all(stage, target: str) -> dict[str, int]:
    """Returns how many requests each daemon serves."""

    async def ask(daemon):
        caller = stages.Caller(stage, daemon)
        served = 0
        for _ in range(REQUESTS):
            _, response = await caller.send(target, 1500)
            served += response is not None and response.status == 200
            await asyncio.sleep(0.05)
        caller.close()
        return served

    served = await asyncio.gather(*[ask(daemon) for daemon in stage.daemons])
    names = [daemon.name for daemon in stage.daemons]
    return dict(zip(names, served, strict=True))


async def _play_round(stage, rng, number: int) -> bool:
    """Plays a day of its own; returns whether the added route is served."""
    stage.daemons.clear()
    stage.store.put("op/config", _config(2 * number + 1, []))
    await stage.start_daemons(DAEMONS, settle_s=SETTLE_S)
    served = collections.Counter()
    await asyncio.sleep(rng.random())
    if stages.is_troubled():
        shards = [f"next-{number}-{n}" for n in range(NEXT_SHARDS)]
        started = [
            await _make(stage, rng, shard, n)
            for n, shard in enumerate(shards * COPIES)
        ]
        await asyncio.sleep(1 + rng.random())
        for searcher in started:
            searcher.write_entry()
        for searcher in started:
            searcher.begin()
        await asyncio.sleep(NAMED_AFTER_S)
        stage.store.put("op/config", _config(2 * number + 2, shards))
        await asyncio.sleep(APPLIED_AFTER_S)
        served = await _ask_all(stage, "/next/a")
    first = await _ask_all(stage, "/first/a")
    asked = DAEMONS * REQUESTS
    share = sum(served.values()) / max(1, sum(first.values()))
    stage.record.write("round", number=number, added=served, first=first)
    if stages.is_troubled():
        print(
            f"round {number}: {sum(served.values())} of {asked} requests on"
            f" the added route served, {sum(first.values())} of {asked} on the"
            f" first one; daemons that serve it: "
            f"{sum(count > 0 for count in served.values())} of {DAEMONS}"
        )
    for daemon in stage.daemons:
        await daemon.end()
    for searcher in stage.searchers:
        if searcher.service.startswith("next-"):
            searcher.end_heartbeats()
            stage.store.remove(searcher.key)
            searcher.stop()
    stage.searchers[:] = [
        s for s in stage.searchers if not s.service.startswith("next-")
    ]
    return not stages.is_troubled() or share >= 0.25


async def play() -> bool:
    """Returns whether no day broke the rule."""
    rng = random.Random()
    async with stages.Stage(HERE, PAGE_ITEMS) as stage:
        services = [f"first-{n}" for n in range(FIRST_SHARDS)] * COPIES
        services += [f"other-{n}" for n in range(OTHER_SERVICES)] * OTHER_COPIES
        for number, service in enumerate(services):
            (await _make(stage, rng, service, number)).begin()
        for number in range(ROUNDS):
            if stage.record.now() > TIME_S:
                break
            if not await _play_round(stage, rng, number):
                return False
        return True


stages.run(play)
