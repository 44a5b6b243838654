"""A store that comes back from a copy: does the next configuration hold?"""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand3"))

import bed  # noqa: E402

HOST = "stock.example"
ZONES = ["a", "b", "c"]
# Both read the store all the time; of more daemons, two do.
DAEMON_ZONES = ["a", "b"]
AWAY_S = 1.0
# Entries of searchers that fell silent go after three heartbeats.
EXPIRY_S = 3 * bed.HEARTBEAT_S
REQUESTS_PER_S = 40
JUDGED_S = 10.0
PATHS = {"item": "/item/", "order": "/order/"}


class Sent:
    """A request that was sent.

    Args:
      at: When it was sent.
      route: Name of its route.
    """

    def __init__(self, at: float, route: str):
        self.at = at
        self.route = route
        self.status = 0


def make_route(name: str, service: str) -> dict:
    """Returns a route."""
    return {
        "name": name,
        "host": HOST,
        "prefix": PATHS[name],
        "kind": "non_idempotent",
        "timeout-ms": 1000,
        "goal-ms": 400,
        "max-attempts": 1,
        "priority": 1,
        "service": service,
    }


def make_config(version: int, routes: list[dict]) -> dict:
    """Returns a configuration of both services."""
    return bed.config(version, routes, ["reserve", "dispatch"])


async def send_forever(
    bench: bed.Bed, sent: dict[str, Sent], routes: list[str]
) -> None:
    """Sends requests to the daemons in turn, and to the routes in turn."""
    tasks = set()
    for number in itertools.count():
        daemon = bench.daemons[number % len(bench.daemons)]
        route = routes[number // len(bench.daemons) % len(routes)]
        task = asyncio.create_task(send_one(bench, daemon, number, route, sent))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def send_one(
    bench: bed.Bed,
    daemon: bed.Daemon,
    number: int,
    route: str,
    sent: dict[str, Sent],
) -> None:
    """Sends one request and records the answer."""
    request_id = f"r{number:06d}"
    at = bench.record.write(
        f"request {request_id} on {route} sent to {daemon.name}"
    )
    sent[request_id] = Sent(at, route)
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Request-Deadline": "1000",
    }
    try:
        answer = await bed.ask(
            daemon.host,
            daemon.ports["front"],
            "POST",
            f"{PATHS[route]}1",
            headers,
            b"1",
        )
        sent[request_id].status = answer.status
        bench.record.write(f"request {request_id} answered {answer.status}")
    except (OSError, EOFError, TimeoutError) as error:
        bench.record.write(f"request {request_id} failed {error!r}")


async def play(bench: bed.Bed) -> bool:
    """Plays the case; returns whether the rule held."""
    store, record = bench.store, bench.record
    await store.start()
    first = make_config(1, [make_route("item", "reserve")])
    second = make_config(4, [make_route("item", "reserve")])
    second["routes"][0]["timeout-ms"] = 1200
    # The route `item` goes to another service, and `order` is new.
    third = make_config(
        6, [make_route("item", "dispatch"), make_route("order", "dispatch")]
    )
    store.put("op/config", first)
    for service in ("reserve", "dispatch"):
        for number in range(6):
            await bench.add_searcher(
                f"i-{service}{number}", service, ZONES[number % 3], work_s=0.02
            )
    bench.start_daemons()
    await bench.wait_ready()
    sent: dict[str, Sent] = {}
    routes = ["item"]
    traffic = asyncio.create_task(send_forever(bench, sent, routes))
    await asyncio.sleep(2)
    copy = store.copy()
    record.write(f"a copy of the store is made, at rev {store.revision}")
    # Planned work within the age of the copy: a searcher leaves, and the
    # configuration changes.
    leaving = bench.searchers[0]
    leaving.drain()
    await asyncio.sleep(bed.DRAIN_S + 0.5)
    await leaving.leave()
    store.put("op/config", second)
    await asyncio.sleep(2)
    if bed.TROUBLE:
        record.write("drill: the store is away")
        await store.stop()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        await store.start()
        record.write(f"drill: the store is back, at rev {store.revision}")
        # What the operator wrote is written again.
        store.put("op/config", second)
        await asyncio.sleep(EXPIRY_S)
        store.delete(f"servers/{leaving.id}")
    else:
        await asyncio.sleep(AWAY_S + EXPIRY_S)
    await asyncio.sleep(bed.CONTACT_S + 1)
    # The store has been sound for longer than `contact-ms`.
    if store.put("op/config", third) is None:
        raise AssertionError("the store is away")
    acked_at = record.write(f"version {third['version']} is acked")
    await asyncio.sleep(bed.APPLY_S)
    routes.append("order")
    await asyncio.sleep(JUDGED_S)
    traffic.cancel()
    await asyncio.sleep(1.5)
    due = {i: s for i, s in sent.items() if s.at > acked_at + bed.APPLY_S + 0.1}
    old = sum(
        1
        for a in bench.arrivals
        if a.request_id in due and a.has_run and a.searcher.service == "reserve"
    )
    missing = sum(
        1 for s in due.values() if s.route == "order" and s.status == 404
    )
    text = (
        f"CONFIG: of {len(due)} requests that were sent later than"
        f" config-apply-ms after the ack of version {third['version']}, {old}"
        f" were run by the old service and {missing} refused with 404 on the"
        " new route"
    )
    record.write(text)
    print(text)
    return not old and not missing


async def main(record_path: pathlib.Path) -> bool:
    """Runs the case; returns whether the rule held."""
    bench = bed.Bed(record_path, ZONES, DAEMON_ZONES)
    try:
        return await play(bench)
    finally:
        bench.close()


if __name__ == "__main__":
    sys.exit(bed.run(main))
