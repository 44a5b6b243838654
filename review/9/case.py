"""DRAIN: searchers that say that they leave, and a write that is done late."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage2"))

import stage as stages  # noqa: E402

DRAIN_S = 3.0
PAGE_ITEMS = 50
# Searchers that serve at a time; each is replaced by a new one.
SERVING = 7
# The store does some writes late for this long, then none; six searchers leave
# in each such time.
LATE_FOR_S = 4.5
CALM_S = 4.0
EPISODES = 8
AT_A_TIME = 6
LEAVING = EPISODES * AT_A_TIME
# Other searchers, of which one is replaced this often.
OTHERS = 150
OTHER_GAP_S = 0.05
# Of the writes, this share is done late, by 1 to 6 s.
LATE_SHARE = 0.35
LATE_S = (1.0, 6.0)
# Three ping intervals of silence end an entry.
EXPIRY_S = 3 * stages.HEARTBEAT_S
# A searcher that leaves goes on for this long, and then exits.
LEAVES_AFTER_S = 14.0
WORK_S = 0.135
REQUESTS_PER_S = 300
CALLERS_PER_DAEMON = 16

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "fetch",
            "host": stages.HOST,
            "prefix": "/fetch/",
            "kind": "non_idempotent",
            "timeout-ms": 6000,
            "goal-ms": 500,
            "priority": 2,
            "service": "reserve",
            "max-attempts": 2,
        }
    ],
    "services": [
        {
            "name": "reserve",
            "health-path": "/healthz",
            "max-connections": 51,
            "warmup-s": 3.0,
            "warmup-per-s": 0.0,
        }
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


async def _call(caller, delay_s: float) -> None:
    record = caller.stage.record
    pause_s = 5 * CALLERS_PER_DAEMON / REQUESTS_PER_S
    due_at = record.now() + delay_s
    while True:
        await asyncio.sleep(max(0.0, due_at - record.now()))
        await caller.send("/fetch/a", 6000, "POST", b"x")
        due_at = max(due_at + pause_s, record.now())


async def _leave(stage, searcher, late_s: float) -> None:
    """Leaves without a report; its last write may be done late."""
    searcher.said.append(("Server-Leaving", "1"))
    searcher.end_heartbeats()
    entry = searcher.entry()
    stage.store.remove(searcher.key)
    left_at = stage.record.now()
    if late_s:
        await asyncio.sleep(late_s)
        stage.record.write("late_write", key=searcher.key)
        stage.store.put(searcher.key, entry)
        await asyncio.sleep(EXPIRY_S)
        stage.store.remove(searcher.key)
    await asyncio.sleep(left_at + LEAVES_AFTER_S - stage.record.now())
    searcher.stop()


async def _add(stage, rng, number: int):
    return await stage.add_searcher(
        f"i-{rng.getrandbits(40):010x}",
        "reserve",
        stages.ZONES[number % len(stages.ZONES)],
        WORK_S,
    )


async def _replace_others(stage, rng) -> None:
    """Plays a release of another service."""
    server = stages.Searcher(stage, "i-other", "other", stages.ZONES[0], 0, 1)
    await server.start()
    keys = []
    while True:
        server.id = f"i-{rng.getrandbits(40):010x}"
        keys.append(server.key)
        stage.store.put(server.key, server.entry())
        if len(keys) > OTHERS:
            stage.store.remove(keys.pop(0))
            await asyncio.sleep(OTHER_GAP_S * (0.5 + rng.random()))


async def play() -> bool:
    """Returns whether no request came later than `drain-ms`."""
    rng = random.Random()
    async with stages.Stage(HERE, PAGE_ITEMS) as stage:
        stage.store.put("op/config", CONFIG)
        for n in range(SERVING):
            await _add(stage, rng, n)
        stage.run_in_background(_replace_others(stage, rng))
        await stage.start_daemons(5)
        callers = [
            stages.Caller(stage, daemon)
            for daemon in stage.daemons
            for _ in range(CALLERS_PER_DAEMON)
        ]
        for number, caller in enumerate(callers):
            stage.run_in_background(_call(caller, number / REQUESTS_PER_S))
        await asyncio.sleep(2)
        late_count = 0
        for n in range(LEAVING):
            searcher = stage.searchers[n]
            if n and n % AT_A_TIME == 0:
                await asyncio.sleep(CALM_S)
            await _add(stage, rng, n)
            await asyncio.sleep(LATE_FOR_S / AT_A_TIME)
            is_late = stages.is_troubled() and rng.random() < LATE_SHARE
            late_count += is_late
            late_s = rng.uniform(*LATE_S) if is_late else 0.0
            stage.run_in_background(_leave(stage, searcher, late_s))
        await asyncio.sleep(LEAVES_AFTER_S)
        count = 0
        names = set()
        for searcher in stage.searchers[:LEAVING]:
            passed_on = {}
            for at, daemon in searcher.named:
                passed_on.setdefault(daemon, at)
            for _, request_id, _ in searcher.arrivals:
                at = passed_on.get(stage.sent_to[request_id])
                if at and stage.sent_at[request_id] > at + DRAIN_S:
                    count += 1
                    names.add(searcher.id)
        stage.record.write("verdict", late=count, searchers=len(names))
        print(
            f"{count} requests reached {len(names)} of {LEAVING} searchers"
            f" later than {DRAIN_S:g} s after the same daemon had passed on"
            f" that they leave; {late_count} writes were late; statuses"
            f" {dict(stage.statuses)}"
        )
        return not count


stages.run(play)
