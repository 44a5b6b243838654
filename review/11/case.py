"""A store that comes back from a copy: do drains and evacuations still hold?"""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand3"))

import bed  # noqa: E402

HOST = "stock.example"
ZONES = ["a", "b", "c"]
# From the last searcher's end to the drill; daemons read the store meanwhile.
SETTLED_S = 2.0
AWAY_S = 1.0
# Entries of searchers that fell silent go after three heartbeats.
EXPIRY_S = 3 * bed.HEARTBEAT_S
REQUESTS_PER_S = 40


async def send_forever(bench: bed.Bed, sent: dict[str, float]) -> None:
    """Sends requests to the daemons in turn."""
    tasks = set()
    for number in itertools.count():
        daemon = bench.daemons[number % len(bench.daemons)]
        task = asyncio.create_task(send_one(bench, daemon, number, sent))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def send_one(
    bench: bed.Bed, daemon: bed.Daemon, number: int, sent: dict[str, float]
) -> None:
    """Sends one request and records the answer."""
    request_id = f"r{number:06d}"
    sent[request_id] = bench.record.write(
        f"request {request_id} sent to {daemon.name}"
    )
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Request-Deadline": "1000",
    }
    try:
        answer = await bed.ask(
            daemon.host, daemon.ports["front"], "POST", "/item/1", headers, b"1"
        )
        result = f"answered {answer.status}"
    except (OSError, EOFError, TimeoutError) as error:
        result = f"failed {error!r}"
    bench.record.write(f"request {request_id} {result}")
    if result != "answered 200":
        bench.failed.append(f"{request_id} {result}")


async def drill(bench: bed.Bed, copy: tuple, gone: list[bed.Searcher]) -> None:
    """Takes the store away for a moment; it comes back from the copy."""
    bench.record.write("drill: the store is away")
    await bench.store.stop()
    await asyncio.sleep(AWAY_S)
    bench.store.restore(copy)
    await bench.store.start()
    bench.record.write(
        f"drill: the store is back from its copy, at rev {bench.store.revision}"
    )
    # What the searchers wrote is written again: they go on with heartbeats.
    await asyncio.sleep(EXPIRY_S)
    for searcher in gone:
        bench.store.delete(f"servers/{searcher.id}")


async def play(bench: bed.Bed) -> bool:
    """Plays the case; returns whether the rules held."""
    store, record = bench.store, bench.record
    await store.start()
    route = {
        "name": "item",
        "host": HOST,
        "prefix": "/item/",
        "kind": "non_idempotent",
        "timeout-ms": 1000,
        "goal-ms": 400,
        "max-attempts": 1,
        "priority": 1,
        "service": "reserve",
    }
    store.put("op/config", bed.config(1, [route], ["reserve"]))
    for number in range(9):
        await bench.add_searcher(
            f"i-first{number}", "reserve", ZONES[number % 3], work_s=0.1
        )
    bench.start_daemons()
    await bench.wait_ready()
    sent: dict[str, float] = {}
    traffic = asyncio.create_task(send_forever(bench, sent))
    await asyncio.sleep(2)
    copy = store.copy()
    record.write(f"a copy of the store is made, at rev {store.revision}")
    # Planned work within the age of the copy: four searchers are replaced.
    old = bench.searchers[:4]
    for number, searcher in enumerate(old):
        await bench.add_searcher(
            f"i-next{number}", "reserve", searcher.zone, work_s=0.1
        )
    await asyncio.sleep(0.5)
    for searcher in old:
        searcher.drain()
    await asyncio.sleep(bed.DRAIN_S + 1)
    for searcher in old:
        await searcher.leave()
    await asyncio.sleep(SETTLED_S)
    if bed.TROUBLE:
        await drill(bench, copy, old)
    else:
        await asyncio.sleep(AWAY_S + EXPIRY_S)
    await asyncio.sleep(bed.CONTACT_S + 1)
    # The store has been sound for longer than `contact-ms`.
    # Two of the three searchers of zone c.
    drained_at = {
        s: s.drain() for s in (bench.searchers[5], bench.searchers[8])
    }
    if store.put("op/evacuate/a", {}) is None:
        raise AssertionError("the store is away")
    evacuated_at = record.write("the evacuation of zone a is acked")
    # They serve for longer than `drain-ms`, and then end.
    await asyncio.sleep(bed.DRAIN_S + 5)
    for searcher in drained_at:
        await searcher.leave()
    await asyncio.sleep(4)
    traffic.cancel()
    await asyncio.sleep(1)
    late_drain = [
        a
        for a in bench.arrivals
        if a.searcher in drained_at
        and a.has_run
        and sent[a.request_id] > drained_at[a.searcher] + bed.DRAIN_S
    ]
    late_evacuation = [
        a
        for a in bench.arrivals
        if a.searcher.zone == "a"
        and a.has_run
        and a.at > evacuated_at + bed.EVACUATE_S
    ]
    text = (
        f"DRAIN: {len(late_drain)} requests reached searchers that were"
        f" sent later than drain-ms after their draining was acked;"
        f" EVAC: {len(late_evacuation)} reached zone a later than evacuate-ms"
        f" after its evacuation was acked; of {len(sent)} sent;"
        f" not served: {bench.failed}"
    )
    record.write(text)
    print(text)
    return not late_drain and not late_evacuation


async def main(record_path: pathlib.Path) -> bool:
    """Runs the case; returns whether the rules held."""
    bench = bed.Bed(record_path, ZONES, ZONES)
    try:
        return await play(bench)
    finally:
        bench.close()


if __name__ == "__main__":
    sys.exit(bed.run(main))
