"""Plays changes of the store beside one kind of trouble, on real daemons.

Searchers are replaced and configurations change all the while, and callers keep
their connections. For daemons that are in touch, these are checked:

- A request that is sent `APPLY_S` after the acknowledgement of a version is not
  run by a service of an older version, and a route in force is not refused.
- A request that is sent `DRAIN_S` after a searcher reported that it drains, or
  was removed, does not reach it.
- No proper request is refused with a 4xx status.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import signal
import sys
import tempfile
import time

import click
import orjson
import yaml

from citrondoor.codecs import http1
from tests.platform import deployment as deployments
from tests.soak import proxy as proxies

DAEMON_COUNT = 5
CALLER_COUNT = 10
SERVICES = ("red", "green", "blue")
SEARCHERS_PER_SERVICE = 4
ZONES = ("a", "b", "c")
# Bounds of the platform, with 50 ms for what callers and store measure.
APPLY_S = 3.05
DRAIN_S = 3.05
# Time for which a daemon, or the store, has been sound before it is judged.
CONTACT_S = 4.0
STORE_SETTLED_S = 4.5
# Until searchers and the operator have written again what a drill lost.
REWRITE_S = 2.0
# The store drops an entry after three missed heartbeats.
EXPIRY_S = 3.6
REPLACE_INTERVAL_S = 5.0
MAX_KEPT_REQUESTS = 40
# Interval at which the event loop is checked, and the delay that is a stall of
# this machine, which freezes the daemons as well.
WATCH_INTERVAL_S = 0.05
MAX_STALL_S = 0.3


class Searcher(deployments.Searcher):
    """Fake searcher that reports what reaches it.

    Attributes:
      left_at: Monotonic time at which the store acknowledged that it is
        draining or gone, in seconds; None before.
      drains: Whether it reported that it is draining.
    """

    def __init__(self, number, service, play):
        super().__init__(f"{service}-{number}", service)
        self.play = play
        self.zone = ZONES[number % len(ZONES)]
        self.born = number + 1
        self.left_at = None
        self.drains = False

    async def handle(self, request, disconnected):
        response = await super().handle(request, disconnected)
        if response.status == 200:
            request_id = request.header_values(b"x-request-id")[0]
            self.play.check_run(self, request_id)
        return response

    def registration(self, state="ready"):
        changes = {"zone": self.zone, "born": self.born}
        return super().registration(state) | changes


class Sent:
    """A request that was sent."""

    def __init__(self, daemon, route):
        self.daemon = daemon
        self.route = route
        self.at = time.monotonic()


class Deployment(deployments.Deployment):
    """Daemons that each reach the store through a proxy of their own."""

    def __init__(self, folder):
        super().__init__(folder, daemons=DAEMON_COUNT, zones=ZONES)
        self.proxies = []

    def make_daemon(self, name, folder, store_port, *arguments):
        proxy = self.proxies[len(self.daemons)]
        proxy.target_port = store_port
        daemon = deployments.Daemon(name, folder, proxy.port, *arguments)
        # As the deploy file does, the daemons keep the default interval.
        settings = yaml.safe_load(daemon.settings_path.read_text())
        del settings["store"]["poll_ms"]
        daemon.settings_path.write_text(yaml.safe_dump(settings))
        daemon.proxy = proxy
        return daemon


class Play:
    """One play.

    Args:
      seed: Seed of all random choices.
      folder: Folder for the daemons' settings and logs.
      routes: Number of further routes, which stay.
      entries: Number of further searchers, of a service without requests.

    Attributes:
      acked: Number and time of each version, in seconds, in ascending order.
      judged_from: Monotonic time from which requests to a daemon are judged, by
        its name, in seconds; that of the store by an empty name.
      config_interval_s: Time between two versions.
    """

    def __init__(self, seed, folder, routes=0, entries=0):
        self.rng = random.Random(seed)
        self.deployment = Deployment(folder)
        self.store = self.deployment.store
        self.store.answer_s = 0.004
        self.numbers = iter(range(1, 1 << 40))
        self.further_routes = routes
        self.further_entries = entries
        self.version = 0
        self.acked = []
        self.searchers = []
        self.sent = {}
        self.judged_from = collections.Counter()
        self.is_store_up = True
        self.config_interval_s = 2.0
        self.counts = collections.Counter()
        self.examples = []

    # What the operator and the searchers write.

    def config(self, version):
        route = {
            "host": "shop.example",
            "kind": "idempotent",
            "timeout-ms": 1000,
            "goal-ms": 200,
            "priority": 1,
            "max-attempts": 2,
        }
        routes = [
            route
            | {
                "name": "moved",
                "prefix": "/moved/",
                "service": service_of(version),
            }
        ]
        names = [f"added-{number}" for number in range(1, version + 1)]
        names += [f"other-{n}" for n in range(self.further_routes)]
        routes += [
            route | {"name": n, "prefix": f"/{n}/", "service": SERVICES[0]}
            for n in names
        ]
        return {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "max-connections": 51} for name in SERVICES
            ],
            "limits": deployments.LIMITS,
        }

    def write_config(self):
        self.store.put("op/config", self.config(self.version))

    def publish(self, searcher, state="ready"):
        self.store.put(f"servers/{searcher.id}", searcher.registration(state))

    async def add_searcher(self, service):
        searcher = Searcher(next(self.numbers), service, self)
        await searcher.server.start(deployments.HOST, 0)
        self.searchers.append(searcher)
        await self.wait_for_store()
        self.publish(searcher)

    async def wait_for_store(self):
        while not self.is_store_up:
            await asyncio.sleep(0.02)

    async def change_configs(self):
        while True:
            await asyncio.sleep(self.config_interval_s)
            await self.wait_for_store()
            self.version += 1
            self.write_config()
            self.acked.append((self.version, time.monotonic()))

    async def replace_searchers(self):
        while True:
            await asyncio.sleep(REPLACE_INTERVAL_S)
            await self.replace_searcher()

    async def replace_searcher(self):
        serving = [s for s in self.searchers if s.left_at is None]
        old = self.rng.choice(serving)
        await self.add_searcher(old.service)
        await asyncio.sleep(1)
        await self.wait_for_store()
        old.drains = self.rng.random() < 0.5
        if old.drains:
            self.publish(old, "draining")
        else:
            self.store.remove(f"servers/{old.id}")
        old.left_at = time.monotonic()
        # It serves for longer than it has to, so that late requests show.

    async def watch_stalls(self):
        while True:
            due_at = time.monotonic() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            now = time.monotonic()
            if now > due_at + MAX_STALL_S:
                self.counts["stalls"] += 1
                self.judged_from[""] = max(
                    self.judged_from[""], now + CONTACT_S
                )

    # What callers send.

    async def send_requests(self, rng):
        while True:
            daemon = rng.choice(self.deployment.daemons)
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(
                        deployments.HOST, daemon.front
                    )
                try:
                    for _ in range(rng.randrange(1, MAX_KEPT_REQUESTS)):
                        await self.send_request(daemon, reader, writer, rng)
                        await asyncio.sleep(rng.expovariate(20))
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.02)

    async def send_request(self, daemon, reader, writer, rng):
        request_id = b"r%d" % next(self.numbers)
        route = "moved"
        due = self.due_version(time.monotonic())
        if due and rng.random() < 0.5:
            route = f"added-{rng.randrange(max(1, due - 5), due + 1)}"
        sent = self.sent[request_id] = Sent(daemon, route)
        headers = [
            (b"host", b"shop.example"),
            (b"x-request-id", request_id),
            (b"x-request-deadline", b"1000"),
        ]
        target = f"/{route}/x".encode()
        writer.write(http1.encode_request(b"GET", target, headers, b""))
        parser = http1.ResponseReader()
        async with asyncio.timeout(3):
            while data := await reader.read(65536):
                for response in parser.feed(data):
                    self.check_response(sent, response)
                    return
        raise EOFError("closed")

    # Checks.

    def due_version(self, now):
        """Returns the version that is in force on all daemons in touch."""
        due = [v for v, acked_at in self.acked if now > acked_at + APPLY_S]
        return due[-1] if due else 0

    def is_judged(self, sent):
        return sent.at > max(
            self.judged_from[""], self.judged_from[sent.daemon.name]
        )

    def report(self, kind, sent, detail):
        if not self.is_judged(sent):
            self.counts[f"{kind}, not judged"] += 1
            return
        self.counts[kind] += 1
        if len(self.examples) < 10:
            self.examples.append(f"{kind}: {sent.daemon.name}: {detail}")

    def check_run(self, searcher, request_id):
        sent = self.sent.get(request_id)
        if sent is None:
            return
        self.counts["run"] += 1
        left_at = searcher.left_at
        if left_at is not None and sent.at > left_at + DRAIN_S:
            late_s = sent.at - left_at
            self.report("drain", sent, f"{searcher.id} after {late_s:.2f} s")
        if sent.route != "moved":
            return
        due = self.due_version(sent.at)
        allowed = {service_of(v) for v in range(due, self.version + 1)}
        if searcher.service not in allowed:
            self.report("older version", sent, f"{searcher.id}, {due} is due")

    def check_response(self, sent, response):
        self.counts[response.status] += 1
        if response.status == 404:
            self.report("refused", sent, sent.route)
        elif 400 <= response.status < 500 and response.status != 429:
            self.report("denied", sent, f"{response.status} on {sent.route}")

    # The play.

    async def run(self, trouble, seconds):
        deployment = self.deployment
        deployment.searchers = []
        for _ in range(DAEMON_COUNT):
            proxy = proxies.Proxy(0)
            await proxy.start()
            deployment.proxies.append(proxy)
        deployment.config = lambda version: self.config(0)
        for number in range(SEARCHERS_PER_SERVICE * len(SERVICES)):
            await self.add_searcher(SERVICES[number % len(SERVICES)])
        for number in range(self.further_entries):
            entry = self.searchers[0].registration() | {"service": "other"}
            self.store.put(f"servers/other-{number:05}", entry)
        async with deployment:
            tasks = [
                asyncio.create_task(self.send_requests(random.Random(n)))
                for n in range(CALLER_COUNT)
            ]
            tasks.append(asyncio.create_task(self.change_configs()))
            tasks.append(asyncio.create_task(self.replace_searchers()))
            tasks.append(asyncio.create_task(self.watch_stalls()))
            await asyncio.sleep(CONTACT_S)
            ends_at = time.monotonic() + seconds
            while time.monotonic() < ends_at:
                await TROUBLES[trouble](self)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for searcher in self.searchers:
            await searcher.server.close(0)
        for proxy in deployment.proxies:
            await proxy.close()


def service_of(version):
    return SERVICES[version % len(SERVICES)]


# Troubles. Each one begins, ends and leaves time in which it is judged.


async def have_none(play):
    await asyncio.sleep(5)


async def drill(play, age_s=10.0, beside=None, calm_s=20.0, before_s=0.33):
    """Brings the store back from a copy after many changes; few follow.

    Args:
      play: The play.
      age_s: Age of the copy when the store goes away.
      beside: Trouble that begins as the store goes away.
      calm_s: Time that is played after what was lost is written again.
      before_s: Time between two versions before the store goes away.
    """
    copy = play.store.copy()
    play.config_interval_s = before_s
    await asyncio.sleep(age_s)
    play.config_interval_s = 4.0
    play.is_store_up, play.store.status = False, 503
    beside_task = asyncio.create_task(
        beside(play) if beside else have_none(play)
    )
    await asyncio.sleep(play.rng.uniform(0.3, 1.0))
    play.store.restore(copy)
    play.is_store_up, play.store.status = True, 200
    play.judged_from[""] = time.monotonic() + STORE_SETTLED_S
    await write_again(play)
    await beside_task
    await asyncio.sleep(calm_s)


async def write_again(play):
    """Writes what a drill lost, each entry at its own moment."""

    async def write(searcher):
        await asyncio.sleep(play.rng.uniform(0.1, REWRITE_S))
        item = play.store.items.get(f"servers/{searcher.id}")
        if searcher.left_at is None:
            if item is None:
                play.publish(searcher)
        elif item is not None:
            if searcher.drains:
                play.publish(searcher, "draining")
            else:
                await asyncio.sleep(EXPIRY_S - REWRITE_S)
                if f"servers/{searcher.id}" in play.store.items:
                    play.store.remove(f"servers/{searcher.id}")

    play.write_config()
    await asyncio.gather(*map(write, list(play.searchers)))


async def disturb_two(play, begin, end, duration_s):
    """Disturbs two daemons and has them judged after `CONTACT_S`."""
    chosen = play.rng.sample(play.deployment.daemons, 2)
    for daemon in chosen:
        play.judged_from[daemon.name] = float("inf")
        await begin(daemon)
    await asyncio.sleep(duration_s)
    for daemon in chosen:
        await end(daemon)
        # A start takes a second or two.
        play.judged_from[daemon.name] = time.monotonic() + CONTACT_S + 2


async def kill_two(play):
    async def kill(daemon):
        daemon.process.kill()
        await daemon.process.wait()

    await disturb_two(play, kill, lambda daemon: daemon.start(), 0.3)


async def freeze_two(play, duration_s=4.0):
    async def freeze(daemon):
        daemon.process.send_signal(signal.SIGSTOP)

    async def wake(daemon):
        daemon.process.send_signal(signal.SIGCONT)

    await disturb_two(play, freeze, wake, duration_s)


async def cut_two_off(play, mode="refuse", duration_s=4.0):
    """Cuts two daemons off the store, as their peers are not."""

    async def cut(daemon):
        daemon.proxy.set_mode(mode)

    async def mend(daemon):
        daemon.proxy.set_mode("pass")

    await disturb_two(play, cut, mend, duration_s)


def followed_by_calm(fault):
    async def disturb(play):
        await fault(play)
        await asyncio.sleep(CONTACT_S + 4)

    return disturb


async def slow_store(play):
    """Lets each answer of the store take up to 0.6 s more."""
    play.judged_from[""] = float("inf")
    for proxy in play.deployment.proxies:
        proxy.delay_s = 0.3
    await asyncio.sleep(6)
    for proxy in play.deployment.proxies:
        proxy.delay_s = 0.0
    play.judged_from[""] = time.monotonic() + STORE_SETTLED_S
    await asyncio.sleep(8)


async def lose_store(play, mode="refuse", duration_s=5.0):
    play.judged_from[""] = float("inf")
    for proxy in play.deployment.proxies:
        proxy.set_mode(mode)
    await asyncio.sleep(duration_s)
    for proxy in play.deployment.proxies:
        proxy.set_mode("pass")
    play.judged_from[""] = time.monotonic() + STORE_SETTLED_S
    await asyncio.sleep(8)


TROUBLES = {
    "none": have_none,
    "drill": drill,
    "drill-12": lambda play: drill(play, 12.0),
    # Few versions are lost, so that their revisions are assigned again.
    "drill-reused": lambda play: drill(play, 5.0, None, 30.0, 1.0),
    "drill-short": lambda play: drill(play, 4.0, calm_s=8.0),
    "drill-kill": lambda play: drill(play, beside=kill_two),
    "drill-freeze": lambda play: drill(play, beside=freeze_two),
    "drill-cut": lambda play: drill(play, beside=cut_two_off),
    "kill": followed_by_calm(kill_two),
    "freeze": followed_by_calm(freeze_two),
    "cut": followed_by_calm(cut_two_off),
    "silent": followed_by_calm(lambda play: cut_two_off(play, "mute")),
    "slow": slow_store,
    "lost": lose_store,
    "lost-silent": lambda play: lose_store(play, "mute"),
}


def run(seed, trouble, seconds, folder, routes=0, entries=0):
    """Runs a play and returns it."""
    play = Play(seed, pathlib.Path(folder), routes, entries)
    asyncio.run(play.run(trouble, seconds))
    return play


@click.command()
@click.option("--seed", type=int, required=True)
@click.option("--trouble", type=click.Choice(list(TROUBLES)), default="drill")
@click.option("--seconds", type=float, default=30.0)
@click.option("--routes", type=int, default=0, help="Further routes.")
@click.option("--entries", type=int, default=0, help="Further searchers.")
def main(seed, trouble, seconds, routes, entries):
    """Runs a play; exits with 1 if it found a violation."""
    folder = tempfile.mkdtemp(prefix="citrondoor-changes-")
    play = run(seed, trouble, seconds, folder, routes, entries)
    report = {
        "seed": seed,
        "trouble": trouble,
        "routes": routes,
        "entries": entries,
        "counts": {str(k): v for k, v in play.counts.items()},
        "examples": play.examples,
        "logs": folder,
    }
    print(orjson.dumps(report).decode(), flush=True)
    sys.exit(1 if play.examples else 0)


if __name__ == "__main__":
    main()
