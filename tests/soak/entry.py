"""A randomised soak test of the platform's daemon, as real processes.

Callers, searchers and the store run in this process; each daemon is a process
of its own. Random faults are injected into searchers, daemons and the store.
What callers and searchers receive is checked during the run:

- A merged answer accounts for each shard of one configuration version once, as
  answered or as missing. Its stamps were made for this request, and its records
  are the highest of the shards that answered.
- A non-idempotent request runs at most once. No request runs after a response
  whose status says that it has not run.
- A request that reached a searcher is answered, unless its daemon was killed or
  paused; a daemon that shuts down as planned answers all that it has accepted.
- After the faults, every daemon answers from all shards again and names all
  daemons to callers, and a draining searcher gets no new requests.
- No daemon ends unless a signal of the soak explains it, exceeds its memory, or
  does not start to serve in time.
"""

import asyncio
import collections
import pathlib
import random
import sys
import tempfile
import time

import click
import orjson

from citrondoor.codecs import http1
from tests.platform import deployment as deployments
from tests.soak import daemon_faults
from tests.soak import daemons
from tests.soak import floods
from tests.soak import proxy as proxies

SHARD_SETS = (("a0", "a1", "a2", "a3"), ("b0", "b1", "b2", "b3", "b4"))
REPLICAS = 2
DAEMON_COUNT = 3
CALLER_COUNT = 8
TOP_RECORDS = 3
MIN_SHARD_SHARE = 0.5
# Statuses which say that a request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Callers wait for one of these times; the second is longer than `GRACE_S`.
DEADLINES_MS = (900, 2500)
# Listings of the store take several pages.
STORE_PAGE_ITEMS = 5
STORE_ANSWER_S = 0.004
ROUTE_TIMEOUT_MS = 2500
ZONES = ("a", "b", "c")
ANSWER_TIMEOUT_S = 3.0
GRACE_S = 2.0
# Maximum time from the last fault until a daemon answers from all shards:
# removals are delayed, updates spread between daemons, and processes start.
RECOVERY_TIMEOUT_S = 12.0
# Time until a draining searcher gets no new requests. A store poll of 200 ms,
# two heartbeats and the limit of the platform are well below it.
DRAIN_TIMEOUT_S = 3.0
# A searcher's limit, the time until all daemons keep it, and the window in
# which one and a half times the limit and five requests more are tolerated.
LIMIT_PER_S = 8
CONTACT_S = 1.0
LIMIT_WINDOW_S = 3.0
# Interval at which the event loop is checked, and the delay that is a stall:
# less than an answer to the longest request may come before its time limit.
WATCH_INTERVAL_S = 0.05
MAX_STALL_S = 0.3
# Usual time of a searcher's work.
WORK_S = 0.005


class Searcher(deployments.Searcher):
    """Fake searcher that records which request each of its stamps is for."""

    def __init__(self, name, service, soak):
        super().__init__(name, service)
        self.soak = soak
        self.proxy = None
        # The searchers of a service are in different zones.
        self.zone = ZONES[len(soak.searchers) % len(ZONES)]
        self.last_at = 0.0
        self.pause_s = 0.0
        self.shed_share = 0.0
        self.requested_at = []

    def refuse(self, error):
        self.soak.problems.append(f"{self.id} received a malformed request")
        return http1.Response(400, [], b"")

    async def handle(self, request, disconnected):
        if request.header_values(b"x-expect-instance") != [self.id.encode()]:
            return http1.Response(421, [], b"")
        request_id = request.header_values(b"x-request-id")[0]
        self.last_at = time.monotonic()
        self.requested_at.append(self.last_at)
        not_run = [(b"x-request-id", request_id), (b"x-not-run", b"1")]
        if self.pause_s:
            retry_after = (b"retry-after", b"%.2f" % self.pause_s)
            return http1.Response(503, [*not_run, retry_after], b"")
        if self.soak.rng.random() < self.shed_share:
            return http1.Response(503, not_run, b"")
        self.soak.record_run(self, request_id)
        await asyncio.wait((disconnected,), timeout=self.work_s)
        if self.soak.rng.random() < self.soak.failure_rates.get(self.id, 0):
            stamp = self.soak.make_stamp(self, request_id, is_success=False)
            return http1.Response(500, [(b"x-server-stamp", stamp)], b"")
        stamp = self.soak.make_stamp(self, request_id, is_success=True)
        headers = [
            (b"x-request-id", request_id),
            (b"x-server-stamp", stamp),
            *self.said,
        ]
        return http1.Response(200, headers, self.record)

    @property
    def record(self):
        return self.id.encode().ljust(16, b"-")

    def registration(self, state="ready"):
        registration = super().registration(state)
        return registration | {
            "address": f"{deployments.HOST}:{self.proxy.port}",
            "zone": self.zone,
        }


class Deployment(deployments.Deployment):
    """A deployment whose route versions alternate between the shard sets."""

    max_connections = 31
    max_fds = 512
    store_proxy = None

    def make_daemon(self, name, folder, store_port, *arguments):
        self.store_proxy.target_port = store_port
        return daemons.Daemon(
            self.max_fds, name, folder, self.store_proxy.port, *arguments
        )

    def config(self, version, **changes):
        config = super().config(version, **changes)
        scatter_route, _ = config["routes"]
        scatter_route |= {
            "gather": list(SHARD_SETS[version % 2]),
            "top-k": TOP_RECORDS,
            "min-part-share": MIN_SHARD_SHARE,
        }
        for route in config["routes"]:
            route["timeout-ms"] = ROUTE_TIMEOUT_MS
        services = {s for shards in SHARD_SETS for s in shards} | {"one"}
        config["services"] = [
            {"name": name, "max-connections": self.max_connections}
            for name in sorted(services)
        ]
        return config


class Soak:
    """One run of the soak test.

    Args:
      seconds: Time during which faults are injected.
      folder: Folder for the daemons' settings and logs.

    Attributes:
      failure_rates: Probability of a response with status 500, by searcher id.
      run_counts: Number of searchers that ran a request, by request id.
      stamps: Searcher, request id and success of each stamp.
      refused_ids: Ids of requests whose response says that they have not run.
      once: Ids of the non-idempotent requests.
      busy_daemons: Daemons that are paused, killed or restarted at present.
      disturbed_at: Monotonic time at which each daemon was last paused or
        killed, in seconds, by name.
      stalled_at: Monotonic time at which this process last stalled, in seconds:
        the machine then gave it no processor time for over `MAX_STALL_S`.
    """

    def __init__(self, seed, seconds, folder, memory_log=None):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.deployment = Deployment(
            folder, daemons=DAEMON_COUNT, grace_s=GRACE_S, zones=ZONES
        )
        # The store changes while a listing of several pages is read.
        self.deployment.store.page_items = STORE_PAGE_ITEMS
        self.deployment.store.answer_s = STORE_ANSWER_S
        # With 4, each daemon has one connection to a searcher.
        self.deployment.max_connections = self.rng.choice([4, 31])
        self.deployment.max_fds = self.rng.choice([512, 2048])
        self.searchers = {}
        self.failure_rates = {}
        self.version = 1
        self.run_counts = collections.Counter()
        self.stamps = {}
        self.refused_ids = set()
        self.once = set()
        self.outcomes = collections.Counter()
        self.faults = collections.Counter()
        self.problems = []
        self.busy_daemons = set()
        self.watch = daemons.Watch(self, memory_log)
        self.disturbed_at = {}
        self.stalled_at = 0.0
        self.numbers = iter(range(1, 1 << 40))

    # Called by searchers.

    def record_run(self, searcher, request_id):
        self.run_counts[request_id] += 1
        if request_id in self.once and self.run_counts[request_id] > 1:
            self.problems.append(f"{request_id} ran twice, at {searcher.id}")
        if request_id in self.refused_ids:
            self.problems.append(f"{request_id} ran after it was refused")

    def make_stamp(self, searcher, request_id, is_success):
        stamp = f"{searcher.id}.{next(self.numbers)}".encode()
        self.stamps[stamp] = (searcher, request_id, is_success)
        return stamp

    # Changes to the deployment.

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
            for _ in range(REPLICAS):
                await self.add_searcher(service)
        deployment.store_proxy = proxies.Proxy(0)
        await deployment.store_proxy.start()
        async with deployment:
            self.watch.start()
            callers = [
                asyncio.create_task(self.send_requests(random.Random(n)))
                for n in range(CALLER_COUNT)
            ]
            callers.append(asyncio.create_task(self.watch_stalls()))
            await self.inject_faults()
            await self.check_recovery()
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self.check_drain()
            await self.check_statements()
            await self.watch.close()
        for daemon in deployment.daemons:
            daemon.close()
        await deployment.store_proxy.close()
        for searcher in self.searchers.values():
            await searcher.proxy.close()
            await searcher.server.close(0)
        return self

    # Callers reuse a connection until it is closed or fails.

    async def send_requests(self, rng):
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
                while await self.send_request(
                    daemon, reader, writer, parser, rng
                ):
                    await asyncio.sleep(rng.expovariate(15))
            finally:
                writer.transport.abort()

    async def send_request(self, daemon, reader, writer, parser, rng):
        """Sends one request; returns whether the connection can be reused."""
        is_once = rng.random() < 0.3
        # `Deployment.send_request` uses the ids q1, q2, ...
        request_id = b"c%d" % next(self.numbers)
        if is_once:
            self.once.add(request_id)
        headers = [
            (b"host", b"shop.example"),
            (b"x-request-id", request_id),
            (b"x-request-deadline", b"%d" % rng.choice(DEADLINES_MS)),
        ]
        sent_at = time.monotonic()
        method, target = (
            (b"POST", b"/once/x") if is_once else (b"GET", b"/all/x")
        )
        writer.write(http1.encode_request(method, target, headers, b""))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not (responses := parser.feed(await self.read(reader))):
                    pass
        except (OSError, EOFError, TimeoutError, http1.ProtocolError) as error:
            self.outcomes[type(error).__name__] += 1
            self.check_unanswered(daemon, request_id, sent_at, error)
            return False
        if len(responses) != 1:
            self.problems.append(f"{request_id} got {len(responses)} responses")
        self.check_response(request_id, is_once, responses[0])
        closes = responses[0].header_value(b"connection") == b"close"
        return not closes

    def check_unanswered(self, daemon, request_id, sent_at, error):
        """Checks that a request without an answer had not been accepted.

        An answer that takes too long is not judged if this process stalled, as
        the daemons may have stalled as well. A closed connection always is.
        """
        disturbed_at = self.disturbed_at.get(daemon.name, 0.0)
        if isinstance(error, TimeoutError):
            disturbed_at = max(disturbed_at, self.stalled_at)
        if self.run_counts[request_id] and disturbed_at < sent_at:
            self.problems.append(
                f"{request_id} of {daemon.name} ran and got no answer:"
                f" {error!r} after {time.monotonic() - sent_at:.2f} s"
            )

    async def watch_stalls(self):
        while True:
            due_at = time.monotonic() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            if time.monotonic() > due_at + MAX_STALL_S:
                self.stalled_at = time.monotonic()
                self.outcomes["stalls"] += 1

    async def read(self, reader):
        data = await reader.read(65536)
        if not data:
            raise EOFError("closed")
        return data

    def check_response(self, request_id, is_once, response):
        self.outcomes[response.status] += 1
        problem = None
        if response.status in NOT_RUN_STATUSES:
            self.refused_ids.add(request_id)
            if is_once and self.run_counts[request_id]:
                problem = (
                    f"ran, but its response has the status {response.status}"
                )
        elif response.status == 200 and is_once:
            problem = self.check_single(request_id, response)
        elif response.status == 200:
            problem = self.check_merged(request_id, response)
        if problem is not None:
            self.problems.append(f"{request_id.decode()} {problem}")

    def check_single(self, request_id, response):
        stamp = response.header_value(b"x-server-stamp")
        searcher, stamped_id, is_success = self.stamps.get(
            stamp, (None, None, False)
        )
        if stamped_id != request_id or not is_success:
            return f"got the stamp {stamp!r} of request {stamped_id!r}"
        if response.body != searcher.record:
            return f"got the body {response.body!r} of another searcher"
        return None

    def check_merged(self, request_id, response):
        stamps = (response.header_value(b"x-part-stamps") or b"").split(b", ")
        missing = int(response.header_value(b"x-missing-parts") or b"0")
        answers = [
            self.stamps.get(stamp, (None, None, False)) for stamp in stamps
        ]
        if any(
            stamped_id != request_id or not is_success
            for _, stamped_id, is_success in answers
        ):
            return f"got stamps of other requests or of failures: {stamps}"
        services = {searcher.service for searcher, _, _ in answers}
        possible_sets = [
            shards
            for shards in SHARD_SETS
            if services <= set(shards) and len(shards) == len(stamps) + missing
        ]
        if len(services) != len(stamps) or not possible_sets:
            return f"has stamps of {sorted(services)}; missing: {missing}"
        if len(services) < MIN_SHARD_SHARE * len(possible_sets[0]):
            return f"has only {len(services)} of {len(possible_sets[0])} shards"
        records = sorted(
            (searcher.record for searcher, _, _ in answers), reverse=True
        )
        if response.body != b"".join(records[:TOP_RECORDS]):
            return "does not have the highest records of its shards"
        return None

    # Each fault runs in a task of its own, so that faults can overlap.

    async def inject_faults(self):
        end_at = time.monotonic() + self.seconds
        # Callers and searchers do not draw from it, so that the series of
        # faults does not depend on their order.
        rng = random.Random(f"{self.seed}/faults")
        of_daemons = daemon_faults.DaemonFaults(self)
        of_senders = floods.FloodFaults(self)
        faults = [
            self.break_searcher,
            self.fail_requests,
            self.slow_searcher,
            self.block_service,
            self.stutter_searcher,
            self.replace_searcher,
            self.limit_searcher,
            self.pause_searcher,
            self.shed_service,
            self.fail_store,
            self.change_config,
            of_daemons.pause_daemon,
            of_daemons.restart_daemon,
            of_daemons.kill_daemon,
            of_daemons.kill_daemons,
            of_daemons.signal_at_start,
            of_daemons.signal_at_end,
            of_daemons.take_address,
            of_daemons.fill_output,
            of_daemons.close_output,
            of_senders.flood_as_callers,
            of_senders.flood_as_peers,
            of_senders.flood_as_searchers,
            of_senders.flood_as_store,
        ]
        tasks = []
        while time.monotonic() < end_at:
            await asyncio.sleep(rng.uniform(0.1, 0.6))
            fault = rng.choice(faults)
            self.faults[fault.__name__] += 1
            tasks.append(asyncio.create_task(fault()))
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                self.problems.append(
                    f"injection of a fault failed: {outcome!r}"
                )

    def choose_searcher(self):
        return self.rng.choice(list(self.searchers.values()))

    def sleep_random(self, max_s=2.0):
        return asyncio.sleep(self.rng.uniform(0.1, max_s))

    async def break_searcher(self):
        proxy = self.choose_searcher().proxy
        mode = self.rng.choice(["reset", "refuse", "mute", "deaf"])
        proxy.set_mode(mode)
        await self.sleep_random()
        proxy.set_mode("pass")

    async def slow_searcher(self):
        proxy = self.choose_searcher().proxy
        proxy.set_mode("pass", delay_s=self.rng.uniform(0.02, 0.5))
        await self.sleep_random()
        proxy.set_mode("pass")

    async def block_service(self):
        """Makes all searchers of a service work until the deadline."""
        service = self.choose_searcher().service
        searchers = [s for s in self.searchers.values() if s.service == service]
        for searcher in searchers:
            searcher.work_s = ANSWER_TIMEOUT_S
        await self.sleep_random()
        for searcher in searchers:
            searcher.work_s = WORK_S

    async def shed_service(self):
        """Makes all searchers of a service turn requests away and stutter."""
        service = self.choose_searcher().service
        searchers = [s for s in self.searchers.values() if s.service == service]
        for searcher in searchers:
            searcher.shed_share = 0.5
            searcher.proxy.stutter_share = 0.3
        await self.sleep_random()
        for searcher in searchers:
            searcher.shed_share = 0.0
            searcher.proxy.stutter_share = 0.0

    async def stutter_searcher(self):
        proxy = self.choose_searcher().proxy
        proxy.stutter_share = self.rng.choice([0.05, 0.3])
        await self.sleep_random()
        proxy.stutter_share = 0.0

    async def fail_requests(self):
        searcher_id = self.choose_searcher().id
        self.failure_rates[searcher_id] = self.rng.uniform(0.1, 1.0)
        await self.sleep_random()
        self.failure_rates.pop(searcher_id, None)

    async def limit_searcher(self):
        searcher = self.choose_searcher()
        rate_per_s = self.rng.choice([b"0", b"2.5", b"20", b"no number"])
        searcher.said = [(b"server-limit", rate_per_s)]
        await self.sleep_random()
        searcher.said = []

    async def pause_searcher(self):
        searcher = self.choose_searcher()
        searcher.pause_s = self.rng.uniform(0.1, 1.0)
        await self.sleep_random()
        searcher.pause_s = 0.0

    async def replace_searcher(self):
        old = self.choose_searcher()
        if (
            self.deployment.store.items[f"servers/{old.id}"][2]["state"]
            != "ready"
        ):
            return
        await self.add_searcher(old.service)
        if self.rng.random() < 0.5:
            self.publish(old, "draining")
            await asyncio.sleep(DRAIN_TIMEOUT_S)
        self.searchers.pop(old.id, None)
        self.deployment.store.remove(f"servers/{old.id}")
        await old.proxy.close()
        await old.server.close(0)

    def is_start_hindered(self, daemon):
        """Returns whether something may keep a daemon from starting now."""
        return (
            bool(daemon.hindrances)
            or self.deployment.store.status != 200
            or self.deployment.store_proxy.endless is not None
            or time.monotonic() < self.stalled_at + MAX_STALL_S
        )

    async def fail_store(self):
        self.deployment.store.status = self.rng.choice([503, 429, 500])
        await self.sleep_random(4.0)
        self.deployment.store.status = 200

    async def change_config(self):
        self.version += 1
        config = self.deployment.config(self.version)
        self.deployment.store.put("op/config", config)

    # Checks after the faults.

    async def check_recovery(self):
        """Ends all faults; checks that each daemon answers from all shards."""
        self.failure_rates.clear()
        self.deployment.store.status = 200
        for searcher in self.searchers.values():
            searcher.proxy.set_mode("pass")
            searcher.proxy.stutter_share = 0.0
            searcher.shed_share = 0.0
            searcher.work_s = WORK_S
            searcher.said = []
            searcher.pause_s = 0.0
        for daemon in self.deployment.daemons:
            try:
                await self.deployment.wait_until(
                    lambda d=daemon: self.serves_all_shards(d),
                    RECOVERY_TIMEOUT_S,
                )
            except TimeoutError:
                self.problems.append(
                    f"{daemon.name} does not answer from all shards"
                )
        await self.check_members()

    async def check_members(self):
        """Checks that each daemon names all daemons to callers."""
        fronts = {
            f"{deployments.HOST}:{d.front}" for d in self.deployment.daemons
        }
        for daemon in self.deployment.daemons:
            try:
                await self.deployment.wait_until(
                    lambda d=daemon: self.names(d, fronts), RECOVERY_TIMEOUT_S
                )
            except TimeoutError:
                self.problems.append(
                    f"{daemon.name} does not name all daemons to callers"
                )

    async def names(self, daemon, fronts):
        try:
            return await self.deployment.addresses(daemon) == fronts
        except (OSError, AttributeError, ValueError):
            # Closed without an answer, or refused.
            return False

    async def serves_all_shards(self, daemon):
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
        """Checks that a draining searcher soon gets no new requests."""
        shard = SHARD_SETS[self.version % 2][0]
        old = next(s for s in self.searchers.values() if s.service == shard)
        self.publish(old, "draining")
        published_at = time.monotonic()
        while time.monotonic() < published_at + DRAIN_TIMEOUT_S + 1:
            await self.request_from_all()
        if old.last_at > published_at + DRAIN_TIMEOUT_S:
            self.problems.append(f"{old.id} got a request while draining")

    async def request_from_all(self):
        """Sends a request to each daemon, while no fault is active."""
        for daemon in self.deployment.daemons:
            try:
                await self.deployment.send_request(daemon)
            except (OSError, TimeoutError) as error:
                self.problems.append(
                    f"{daemon.name} does not answer: {error!r}"
                )

    async def check_statements(self):
        """Checks that searchers get no more requests than they say they want.

        No other fault is active. A limit holds from `CONTACT_S` after the first
        answer that names it.
        """
        shards = SHARD_SETS[self.version % 2]
        limited, leaving = (
            next(s for s in self.searchers.values() if s.service == shard)
            for shard in shards[1:3]
        )
        limited.said = [(b"server-limit", b"%d" % LIMIT_PER_S)]
        leaving.said = [(b"server-leaving", b"1")]
        began_at = time.monotonic()
        while time.monotonic() < began_at + CONTACT_S + LIMIT_WINDOW_S:
            await self.request_from_all()
        judged_count = sum(
            at >= began_at + CONTACT_S for at in limited.requested_at
        )
        if judged_count > LIMIT_PER_S * 1.5 * LIMIT_WINDOW_S + 5:
            self.problems.append(
                f"{limited.id} got {judged_count} requests over its limit"
            )
        if leaving.last_at > began_at + DRAIN_TIMEOUT_S:
            self.problems.append(f"{leaving.id} got a request while leaving")

    def report(self):
        return {
            "seed": self.seed,
            "outcomes": {str(k): v for k, v in self.outcomes.items()},
            "faults": dict(self.faults),
            "once": len(self.once),
            "ends": self.watch.ends,
            "peak_mb": [round(d.peak_mb) for d in self.deployment.daemons],
            "problems": self.problems[:10],
            "problem_count": len(self.problems),
        }


def run(seed, seconds, folder, memory_log=None):
    """Runs a soak test and returns it."""
    soak = Soak(seed, seconds, pathlib.Path(folder), memory_log)
    return asyncio.run(soak.run())


@click.command()
@click.option("--seed", type=int, required=True)
@click.option(
    "--seeds", type=int, default=1, help="Number of consecutive seeds."
)
@click.option("--seconds", type=float, default=20.0)
@click.option(
    "--memory-log", help="File for each daemon's memory by second (JSON lines)."
)
def main(seed, seeds, seconds, memory_log):
    """Runs the soak test; exits with 1 if it found a violation."""
    failed = 0
    for run_seed in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="citrondoor-soak-"))
        soak = run(run_seed, seconds, folder, memory_log)
        failed += bool(soak.problems)
        report = soak.report()
        if soak.problems:
            report["logs"] = str(folder)
        print(orjson.dumps(report).decode(), flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
