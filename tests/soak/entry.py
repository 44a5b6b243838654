"""A randomised soak of the platform's daemon: real processes, outside faults.

Callers, searchers and the store live in this process; the daemons are processes
of their own. What callers and searchers see is checked while it runs:

- an answer names each shard of one version once, with stamps made for this
  request, and its records are the greatest of the shards that are in;
- what must not run twice runs at most once, and never after a refusal that says
  that it has not run;
- when all faults are over, every daemon serves whole answers again, and a
  searcher that drains gets nothing new.
"""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile
import time

import click
import orjson

from citrondoor.codecs import http1
from tests.platform import deployment as deployments
from tests.soak import proxy as proxies

SHARD_SETS = (("a0", "a1", "a2", "a3"), ("b0", "b1", "b2", "b3", "b4"))
COPIES = 2
DAEMONS = 3
CALLERS = 8
TOP = 3
LEAST_SHARE = 0.5
# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
DEADLINE_MS = 900
ANSWER_LIMIT_S = 3.0
GRACE_S = 2.0
# After the last fault: removals are held back, views travel, processes start.
RECOVERY_S = 12.0
# Store polls of 200 ms, two beats and the platform's bound leave this ample.
DRAIN_S = 3.0


class Searcher(deployments.Searcher):
    """Answers with one record, and notes which request each stamp is for."""

    def __init__(self, name, service, soak):
        super().__init__(name, service)
        self.soak = soak
        self.proxy = None
        self.last_at = 0.0

    def refuse(self, error):
        self.soak.problems.append(f"{self.id} got bytes that are no request")
        return http1.Response(400, [], b"")

    async def handle(self, request, disconnected):
        if request.header_values(b"x-expect-instance") != [self.id.encode()]:
            return http1.Response(421, [], b"")
        request_id = request.header_values(b"x-request-id")[0]
        self.last_at = time.monotonic()
        self.soak.note_run(self, request_id)
        await asyncio.wait((disconnected,), timeout=self.work_s)
        if self.soak.rng.random() < self.soak.failing.get(self.id, 0):
            stamp = self.soak.make_stamp(self, request_id, is_good=False)
            return http1.Response(500, [(b"x-server-stamp", stamp)], b"")
        stamp = self.soak.make_stamp(self, request_id, is_good=True)
        headers = [(b"x-request-id", request_id), (b"x-server-stamp", stamp)]
        return http1.Response(200, headers, self.record)

    @property
    def record(self):
        return self.id.encode().ljust(16, b"-")

    def registration(self, state="ready"):
        found = super().registration(state)
        return found | {"address": f"{deployments.HOST}:{self.proxy.port}"}


class Deployment(deployments.Deployment):
    """A deployment whose versions name one set of shards after the other."""

    def config(self, version, **changes):
        found = super().config(version, **changes)
        gather, _ = found["routes"]
        gather |= {
            "gather": list(SHARD_SETS[version % 2]),
            "top-k": TOP,
            "min-part-share": LEAST_SHARE,
        }
        services = {s for shards in SHARD_SETS for s in shards} | {"one"}
        found["services"] = [
            {"name": name, "max-connections": 31} for name in sorted(services)
        ]
        return found


class Soak:
    """One run.

    Args:
      seed: Seed of load and faults.
      seconds: Time during which faults come.
      folder: Where settings and logs are written.
    """

    def __init__(self, seed, seconds, folder):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.deployment = Deployment(folder, daemons=DAEMONS, grace_s=GRACE_S)
        self.searchers = {}
        self.failing = {}
        self.version = 1
        self.runs = collections.Counter()
        self.stamps = {}
        self.refused = set()
        self.once = set()
        self.outcomes = collections.Counter()
        self.faults = collections.Counter()
        self.problems = []
        self.busy = set()
        self.numbers = iter(range(1, 1 << 40))

    # What searchers report.

    def note_run(self, searcher, request_id):
        self.runs[request_id] += 1
        if request_id in self.once and self.runs[request_id] > 1:
            self.problems.append(f"{request_id} ran twice, at {searcher.id}")
        if request_id in self.refused:
            self.problems.append(f"{request_id} ran after it was refused")

    def make_stamp(self, searcher, request_id, is_good):
        stamp = f"{searcher.id}.{next(self.numbers)}".encode()
        self.stamps[stamp] = (searcher, request_id, is_good)
        return stamp

    # The deployment.

    async def add_searcher(self, service):
        number = next(self.numbers)
        searcher = Searcher(f"{service}-{number}", service, self)
        await searcher.server.start(deployments.HOST, 0)
        searcher.proxy = proxies.Proxy(searcher.server.port)
        await searcher.proxy.start()
        self.searchers[searcher.id] = searcher
        self.publish(searcher)
        return searcher

    def publish(self, searcher, state="ready"):
        self.deployment.store.put(
            f"servers/{searcher.id}", searcher.registration(state)
        )

    async def run(self):
        deployment = self.deployment
        deployment.searchers = []
        services = [s for shards in SHARD_SETS for s in shards] + ["one"]
        for service in services:
            for _ in range(COPIES):
                await self.add_searcher(service)
        async with deployment:
            callers = [
                asyncio.create_task(self.call_forever(random.Random(n)))
                for n in range(CALLERS)
            ]
            await self.break_things()
            await self.check_recovery()
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self.check_drain()
        for searcher in self.searchers.values():
            await searcher.proxy.close()
            await searcher.server.close(0)
        return self

    # Callers keep a connection until it ends.

    async def call_forever(self, rng):
        while True:
            daemon = rng.choice(self.deployment.daemons)
            try:
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(
                        deployments.HOST, daemon.front
                    )
            except (OSError, TimeoutError):
                self.outcomes["no connection"] += 1
                await asyncio.sleep(0.05)
                continue
            try:
                parser = http1.ResponseReader()
                while await self.call(reader, writer, parser, rng):
                    await asyncio.sleep(rng.expovariate(15))
            finally:
                writer.transport.abort()

    async def call(self, reader, writer, parser, rng):
        """Sends one request; returns whether the connection stays."""
        is_once = rng.random() < 0.3
        # The world counts its own requests as q1, q2, ...
        request_id = b"c%d" % next(self.numbers)
        if is_once:
            self.once.add(request_id)
        headers = [
            (b"host", b"shop.example"),
            (b"x-request-id", request_id),
            (b"x-request-deadline", b"%d" % DEADLINE_MS),
        ]
        method, target = (
            (b"POST", b"/once/x") if is_once else (b"GET", b"/all/x")
        )
        writer.write(http1.encode_request(method, target, headers, b""))
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                while not (found := parser.feed(await self.read(reader))):
                    pass
        except (OSError, EOFError, TimeoutError, http1.ProtocolError) as error:
            self.outcomes[type(error).__name__] += 1
            return False
        if len(found) != 1:
            self.problems.append(f"{request_id} got {len(found)} answers")
        self.check(request_id, is_once, found[0])
        closes = found[0].header_value(b"connection") == b"close"
        return not closes

    async def read(self, reader):
        data = await reader.read(65536)
        if not data:
            raise EOFError("closed")
        return data

    def check(self, request_id, is_once, response):
        self.outcomes[response.status] += 1
        problem = None
        if response.status in NOT_RUN:
            self.refused.add(request_id)
            if is_once and self.runs[request_id]:
                problem = f"was refused with {response.status} and has run"
        elif response.status == 200 and is_once:
            problem = self.check_relayed(request_id, response)
        elif response.status == 200:
            problem = self.check_gathered(request_id, response)
        if problem is not None:
            self.problems.append(f"{request_id.decode()} {problem}")

    def check_relayed(self, request_id, response):
        stamp = response.header_value(b"x-server-stamp")
        searcher, stamped, is_good = self.stamps.get(stamp, (None, None, False))
        if stamped != request_id or not is_good:
            return f"got the stamp {stamp!r} of {stamped!r}"
        if response.body != searcher.record:
            return f"got the body {response.body!r} of another searcher"
        return None

    def check_gathered(self, request_id, response):
        stamps = (response.header_value(b"x-part-stamps") or b"").split(b", ")
        missing = int(response.header_value(b"x-missing-parts") or b"0")
        found = [self.stamps.get(s, (None, None, False)) for s in stamps]
        if any(s != request_id or not good for _, s, good in found):
            return f"got stamps that are not its own: {stamps}"
        services = {searcher.service for searcher, _, _ in found}
        sets = [
            shards
            for shards in SHARD_SETS
            if services <= set(shards) and len(shards) == len(stamps) + missing
        ]
        if len(services) != len(stamps) or not sets:
            return f"names {sorted(services)} and {missing} missing"
        if len(services) < LEAST_SHARE * len(sets[0]):
            return f"has {len(services)} of {len(sets[0])} shards"
        records = sorted((s.record for s, _, _ in found), reverse=True)
        if response.body != b"".join(records[:TOP]):
            return "has other records than its shards gave"
        return None

    # Faults overlap: each has a task of its own.

    async def break_things(self):
        until = time.monotonic() + self.seconds
        faults = [
            self.break_searcher,
            self.fail_requests,
            self.slow_searcher,
            self.replace_searcher,
            self.pause_daemon,
            self.restart_daemon,
            self.kill_daemon,
            self.fail_store,
            self.change_config,
        ]
        tasks = []
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            fault = self.rng.choice(faults)
            self.faults[fault.__name__] += 1
            tasks.append(asyncio.create_task(fault()))
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                self.problems.append(f"a fault failed: {outcome!r}")

    def some_searcher(self):
        return self.rng.choice(list(self.searchers.values()))

    def some_time(self, longest_s=2.0):
        return asyncio.sleep(self.rng.uniform(0.1, longest_s))

    async def break_searcher(self):
        proxy = self.some_searcher().proxy
        mode = self.rng.choice(["reset", "refuse", "mute", "deaf"])
        proxy.set_mode(mode)
        await self.some_time()
        proxy.set_mode("pass")

    async def slow_searcher(self):
        proxy = self.some_searcher().proxy
        proxy.set_mode("pass", delay_s=self.rng.uniform(0.02, 0.5))
        await self.some_time()
        proxy.set_mode("pass")

    async def fail_requests(self):
        searcher_id = self.some_searcher().id
        self.failing[searcher_id] = self.rng.uniform(0.1, 1.0)
        await self.some_time()
        self.failing.pop(searcher_id, None)

    async def replace_searcher(self):
        old = self.some_searcher()
        if (
            self.deployment.store.items[f"servers/{old.id}"][1]["state"]
            != "ready"
        ):
            return
        await self.add_searcher(old.service)
        if self.rng.random() < 0.5:
            self.publish(old, "draining")
            await asyncio.sleep(DRAIN_S)
        self.searchers.pop(old.id, None)
        self.deployment.store.remove(f"servers/{old.id}")
        await old.proxy.close()
        await old.server.close(0)

    def free_daemon(self):
        free = [d for d in self.deployment.daemons if d not in self.busy]
        if not free:
            return None
        daemon = self.rng.choice(free)
        self.busy.add(daemon)
        return daemon

    async def pause_daemon(self):
        daemon = self.free_daemon()
        if daemon is None:
            return
        daemon.process.send_signal(signal.SIGSTOP)
        await self.some_time()
        daemon.process.send_signal(signal.SIGCONT)
        self.busy.discard(daemon)

    async def kill_daemon(self):
        daemon = self.free_daemon()
        if daemon is None:
            return
        daemon.process.kill()
        await daemon.process.wait()
        await self.some_time(1.0)
        await daemon.start()
        self.busy.discard(daemon)

    async def restart_daemon(self):
        daemon = self.free_daemon()
        if daemon is None:
            return
        daemon.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_S + ANSWER_LIMIT_S):
            status = await daemon.process.wait()
        # A signal that arrives before the daemon handles it ends it as usual.
        if status not in (0, -signal.SIGTERM):
            self.problems.append(f"{daemon.name} ended with {status}")
        await daemon.start()
        self.busy.discard(daemon)

    async def fail_store(self):
        self.deployment.store.status = self.rng.choice([503, 429, 500])
        await self.some_time(4.0)
        self.deployment.store.status = 200

    async def change_config(self):
        self.version += 1
        config = self.deployment.config(self.version)
        self.deployment.store.put("op/config", config)

    # After the faults.

    async def check_recovery(self):
        self.failing.clear()
        self.deployment.store.status = 200
        for searcher in self.searchers.values():
            searcher.proxy.set_mode("pass")
        for daemon in self.deployment.daemons:
            try:
                await self.deployment.wait_until(
                    lambda d=daemon: self.serves_whole(d), RECOVERY_S
                )
            except TimeoutError:
                self.problems.append(f"{daemon.name} does not recover")

    async def serves_whole(self, daemon):
        try:
            response = await self.deployment.send_request(daemon)
        except OSError:
            return False
        if response is None or response.status != 200:
            return False
        stamps = response.header_value(b"x-part-stamps").split(b", ")
        services = {self.stamps[stamp][0].service for stamp in stamps}
        return services == set(SHARD_SETS[self.version % 2])

    async def check_drain(self):
        shard = SHARD_SETS[self.version % 2][0]
        old = next(s for s in self.searchers.values() if s.service == shard)
        self.publish(old, "draining")
        published_at = time.monotonic()
        while time.monotonic() < published_at + DRAIN_S + 1:
            for daemon in self.deployment.daemons:
                await self.deployment.send_request(daemon)
        if old.last_at > published_at + DRAIN_S:
            self.problems.append(f"{old.id} drains and got new work")

    def report(self):
        return {
            "seed": self.seed,
            "outcomes": {str(k): v for k, v in self.outcomes.items()},
            "faults": dict(self.faults),
            "once": len(self.once),
            "problems": self.problems[:10],
            "problem_count": len(self.problems),
        }


def run(seed, seconds, folder):
    """Returns a soak that has run."""
    return asyncio.run(Soak(seed, seconds, pathlib.Path(folder)).run())


@click.command()
@click.option("--seed", type=int, required=True)
@click.option("--seeds", type=int, default=1, help="Seeds in a row.")
@click.option("--seconds", type=float, default=20.0)
def main(seed, seeds, seconds):
    """Soaks the platform's daemon; exits with 1 when a promise broke."""
    failed = 0
    for one in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="citrondoor-soak-"))
        soak = run(one, seconds, folder)
        failed += bool(soak.problems)
        report = soak.report()
        if soak.problems:
            report["logs"] = str(folder)
        print(orjson.dumps(report).decode(), flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
