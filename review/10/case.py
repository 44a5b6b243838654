"""LIMIT: a searcher that names its limit with all its decimals."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage2"))

import stage as stages  # noqa: E402

# Requests a second that the searcher takes: a third of 10.
LIMIT_PER_S = 10 / 3
# The rule: in some 4 s, one and a half times what that allows, and 5 more.
SPAN_S = 4.0
BOUND = 1.5 * LIMIT_PER_S * SPAN_S + 5
CONTACT_S = 4.0
HALF_SECOND_S = 0.5
# `item-fetch` of the sheet.
WORK_S = 0.135
REQUESTS_PER_S = 60
CALLERS_PER_DAEMON = 6
PLAY_S = 20.0

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "fetch",
            "host": stages.HOST,
            "prefix": "/fetch/",
            "kind": "idempotent",
            "timeout-ms": 5000,
            "goal-ms": 800,
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
    """Sends requests; waits as long as an answer says."""
    record = caller.stage.record
    pause_s = 5 * CALLERS_PER_DAEMON / REQUESTS_PER_S
    due_at = record.now() + delay_s
    while True:
        await asyncio.sleep(max(0.0, due_at - record.now()))
        _, response = await caller.send("/fetch/a", 5000)
        due_at = max(due_at + pause_s, record.now())
        if response is not None and "retry-after" in response.headers:
            due_at += float(response.headers["retry-after"])


async def play() -> bool:
    """Returns whether no searcher got more than its limit allows."""
    async with stages.Stage(HERE) as stage:
        stage.store.put("op/config", CONFIG)
        for number, zone in enumerate(stages.ZONES):
            await stage.add_searcher(f"i-{number}", "reserve", zone, WORK_S)
        await stage.start_daemons(5)
        callers = [
            stages.Caller(stage, daemon)
            for daemon in stage.daemons
            for _ in range(CALLERS_PER_DAEMON)
        ]
        for number, caller in enumerate(callers):
            stage.run_in_background(_call(caller, number / REQUESTS_PER_S))
        await asyncio.sleep(3)
        named = stage.searchers[0]
        text = f"{LIMIT_PER_S:.3f}"
        if stages.is_troubled():
            # As most programs write the number.
            text = repr(LIMIT_PER_S)
        named.said.append(("Server-Limit", text))
        await asyncio.sleep(PLAY_S)
        worst = 0.0
        for searcher in stage.searchers:
            if not searcher.named:
                continue
            first_at = searcher.named[0][0]
            by_daemon = {}
            for at, daemon in searcher.named:
                by_daemon.setdefault(daemon, at)
            times = [
                at
                for at, request_id, _ in searcher.arrivals
                if at > first_at + CONTACT_S
                and by_daemon.get(stage.sent_to[request_id], at)
                < at - HALF_SECOND_S
            ]
            most, most_at = stages.most_within(times, SPAN_S)
            worst = max(worst, most)
            stage.record.write("limited", searcher=searcher.id, most=most)
            print(
                f"{searcher.id}, which named {text}, got at most {most}"
                f" requests in {SPAN_S:g} s,"
                f" from {most_at:.1f} s on; bound {BOUND:.1f}"
            )
        print(f"statuses {dict(stage.statuses)}")
        return worst <= BOUND


stages.run(play)
