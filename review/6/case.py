"""DRAIN: searchers that drain while daemons read the store page by page."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage2"))

import stage as stages  # noqa: E402

DRAIN_S = 3.0
# The store's pages, as the site's file states them (`page`).
PAGE_ITEMS = 50
# An answer of the store, as the sheet states it.
ANSWER_S = 0.004
# In all as many searchers as the grown sites have.
OTHER_SERVICES = 86
REPLICAS = 3
USED = 430
# Searchers of the used service, as many as 135 shards have, drain some at a
# time.
DRAINED = 405
AT_A_TIME = 9
# The last ones go on to drain for some further moments.
BATCHES = DRAINED // AT_A_TIME + 6
GAP_S = 1.3
# `item-fetch` of the sheet.
WORK_S = 0.135
# One that drains goes on for this long, and exits when the next ones drain.
LEAVES_AFTER_S = 8.0
REQUESTS_PER_S = 300
CALLERS_PER_DAEMON = 8


def _config() -> dict:
    names = ["reserve", *[f"other-{n}" for n in range(OTHER_SERVICES)]]
    return {
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
                "name": name,
                "health-path": "/healthz",
                "max-connections": 51,
                "warmup-s": 3.0,
                "warmup-per-s": 0.0,
            }
            for name in names
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


def _exit(stage, searcher) -> None:
    searcher.end_heartbeats()
    stage.store.remove(searcher.key)
    searcher.stop()


async def play() -> bool:
    """Returns whether no request came later than `drain-ms`."""
    rng = random.Random()
    async with stages.Stage(HERE, PAGE_ITEMS, ANSWER_S) as stage:
        stage.store.put("op/config", _config())
        services = ["reserve"] * USED
        for n in range(OTHER_SERVICES):
            services += [f"other-{n}"] * REPLICAS
        used = []
        for n, service in enumerate(services):
            searcher = await stage.add_searcher(
                f"i-{rng.getrandbits(40):010x}",
                service,
                stages.ZONES[n % len(stages.ZONES)],
                WORK_S,
            )
            if service == "reserve":
                used.append(searcher)
        await stage.start_daemons(5)
        callers = [
            stages.Caller(stage, daemon)
            for daemon in stage.daemons
            for _ in range(CALLERS_PER_DAEMON)
        ]
        for number, caller in enumerate(callers):
            stage.run_in_background(_call(caller, number / REQUESTS_PER_S))
        await asyncio.sleep(2)
        drained = {}
        remaining = used[:DRAINED] if stages.is_troubled() else []
        serving = []
        for _ in range(BATCHES):
            now = stage.record.now()
            while serving and now - drained[serving[0]] > LEAVES_AFTER_S:
                _exit(stage, serving.pop(0))
            for searcher in remaining[:AT_A_TIME]:
                searcher.state = "draining"
                searcher.write_entry()
                drained[searcher] = stage.record.now()
                serving.append(searcher)
            del remaining[:AT_A_TIME]
            await asyncio.sleep(GAP_S * (0.5 + rng.random()))
        for searcher in serving:
            _exit(stage, searcher)
        await asyncio.sleep(1)
        late = {}
        for searcher, at in drained.items():
            by = [
                (round(t - at, 1), stage.sent_to[request_id])
                for t, request_id, _ in searcher.arrivals
                if t > at + DRAIN_S
            ]
            if by:
                late[searcher.id] = by
        count = sum(map(len, late.values()))
        lost = [s for s in stage.statuses if s not in (200, 503)]
        lost_count = sum(stage.statuses[status] for status in lost)
        stage.record.write("verdict", late=count, searchers=len(late))
        print(
            f"{count} requests reached {len(late)} of {len(drained)} draining"
            f" searchers later than {DRAIN_S:g} s; {lost_count} requests were"
            f" in progress when their searcher exited; statuses"
            f" {dict(stage.statuses)}"
        )
        for name, by in late.items():
            print(name, len(by), by[:2], by[-1], {d for _, d in by})
        return not count


stages.run(play)
