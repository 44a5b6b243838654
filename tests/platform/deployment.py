"""A local platform for tests: fake store, fake searchers, real daemons."""

import asyncio
import base64
import contextlib
import os
import pathlib
import random
import socket
import sys
import urllib.parse

import orjson
import yaml

from citrondoor import links
from citrondoor.codecs import http1

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).parents[2]
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 262144,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


# Below the kernel's ephemeral ports: an outgoing connection could otherwise
# occupy the port of a daemon that is being restarted.
PORTS = range(25_000, 32_000)


def free_ports(count: int) -> list[int]:
    ports = []
    # Unseeded, so that test runs in parallel don't choose the same ports.
    candidates = iter(random.SystemRandom().sample(PORTS, len(PORTS)))
    while len(ports) < count:
        port = next(candidates)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            ports.append(port)
    return ports


class Store:
    """Fake of the platform's store: items by key, and a revision counter.

    Attributes:
      status: HTTP status of its responses.
      page_items: Items in one page of a listing.
      answer_s: Time before each response, in seconds.
      era: Number of returns from a copy, in the headers of its responses; None
        leaves it out.
    """

    def __init__(self):
        # Revision of the last change and of the creation, and the value.
        self.items: dict[str, tuple[int, int, dict]] = {}
        self.revision = 1
        self.status = 200
        self.page_items = 500
        self.answer_s = 0.0
        self.era = 1
        self.server = links.HttpServer(self)

    def copy(self):
        return dict(self.items), self.revision

    def restore(self, copy):
        """Comes back from a copy; what was written since then is lost."""
        items, self.revision = copy
        self.items = dict(items)
        self.era += 1

    def put(self, key, value):
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        self.items[key] = (self.revision, created, value)

    def remove(self, key):
        self.revision += 1
        del self.items[key]

    async def handle(self, request, disconnected):
        if self.answer_s:
            await asyncio.sleep(self.answer_s)
        target = urllib.parse.urlsplit(request.target.decode())
        after = dict(urllib.parse.parse_qsl(target.query)).get("after", "")
        remaining = sorted(key for key in self.items if key > after)
        items = []
        for key in remaining[: self.page_items]:
            revision, created, value = self.items[key]
            text = base64.b64encode(orjson.dumps(value)).decode()
            items.append(
                {
                    "key": key,
                    "value": text,
                    "rev": revision,
                    "created": created,
                    "lease": 0,
                }
            )
        body = {
            "items": items,
            "truncated": len(items) < len(remaining),
            "store-revision": self.revision,
        }
        headers = []
        if self.era is not None:
            headers.append((b"Store-Era", b"%d" % self.era))
        return http1.Response(self.status, headers, orjson.dumps(body))


class Searcher:
    """Fake searcher; returns one record, its id padded to 16 bytes.

    Attributes:
      work_s: Time before each response, in seconds.
      ran: Ids of the requests that it ran.
      ran_at: Time of the event loop at which each of them began, in seconds.
      said: Headers that it adds to its responses.
    """

    def __init__(self, searcher_id, service, work_s=0.005):
        self.id = searcher_id
        self.service = service
        self.work_s = work_s
        self.ran: list[bytes] = []
        self.ran_at: list[float] = []
        self.said: list[tuple[bytes, bytes]] = []
        self.server = links.HttpServer(self)

    async def handle(self, request, disconnected):
        expected = request.header_values(b"x-expect-instance")
        if expected != [self.id.encode()]:
            return http1.Response(421, [], b"")
        request_id = request.header_values(b"x-request-id")[0]
        self.ran.append(request_id)
        self.ran_at.append(asyncio.get_running_loop().time())
        await asyncio.wait((disconnected,), timeout=self.work_s)
        headers = [
            (b"x-request-id", request_id),
            (b"x-server-stamp", f"{self.id}.{len(self.ran)}".encode()),
            *self.said,
        ]
        body = self.id.encode().ljust(16, b"-")
        return http1.Response(200, headers, body)

    def registration(self, state="ready"):
        return {
            "service": self.service,
            "address": f"{HOST}:{self.server.port}",
            "zone": "a",
            "version": "v1",
            "capacity": 3,
            "state": state,
            "warmup-left-ms": 0,
            "seq": 1,
            "born": 1,
        }


class Daemon:
    """A daemon process, with its settings file and its log.

    Args:
      name: Name of its VM.
      folder: Folder for its settings and its log.
      store_port: Port of the store.
      seeds: Peer addresses of all daemons.
      ports: Ports for callers, readiness, directory, peers and metrics.
      grace_s: Setting `bounds.grace_s`, in seconds.
      zone: Its availability zone.

    Attributes:
      prefix: Command that starts the process as its arguments.
    """

    def __init__(
        self, name, folder, store_port, seeds, ports, grace_s, zone="a"
    ):
        self.name = name
        self.front, self.readiness, self.directory = ports[:3]
        self.peers, self.metrics = ports[3:5]
        settings = {
            "vm": name,
            "zone": zone,
            "region": "r",
            "front": f"{HOST}:{self.front}",
            "readiness": f"{HOST}:{self.readiness}",
            "directory": f"{HOST}:{self.directory}",
            "peers": f"{HOST}:{self.peers}",
            "metrics": f"{HOST}:{self.metrics}",
            "seeds": seeds,
            "store": {"address": f"{HOST}:{store_port}", "poll_ms": 200},
            "bounds": {"grace_s": grace_s, "extra_slack": 100},
            "zones": [{"zone": z, "region": "r"} for z in "abc"],
        }
        self.settings_path = folder / f"{name}.yaml"
        self.settings_path.write_text(yaml.safe_dump(settings))
        self.log_path = folder / f"{name}.log"
        self.prefix: list[str] = []
        self.process = None

    async def start(self, command=("-m", "citrondoor.platform")):
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.prefix,
                sys.executable,
                *command,
                "--settings",
                str(self.settings_path),
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
            )

    def log_records(self):
        return [
            orjson.loads(line)
            for line in self.log_path.read_bytes().splitlines()
        ]


async def send_http_request(port, target, headers=(), method=b"GET", body=b""):
    """Sends a request on a new connection.

    Returns:
      The response; None if the connection closed without one.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    all_headers = [
        (b"host", b"shop.example"),
        (b"connection", b"close"),
        *headers,
    ]
    writer.write(http1.encode_request(method, target, all_headers, body))
    parser = http1.ResponseReader()
    try:
        async with asyncio.timeout(5):
            while data := await reader.read(65536):
                for response in parser.feed(data):
                    return response
    finally:
        writer.close()
    return None


class Deployment:
    """A store, searchers and daemons, stopped when the context ends.

    Args:
      folder: Folder for the daemons' settings and logs.
      daemons: Number of daemons.
      shards: Number of shards of the scatter route.
      replicas: Number of searchers of each shard and of the back end `one`.
      grace_s: Setting `bounds.grace_s` of the daemons, in seconds.
      zones: Availability zones of the daemons, in turn.
    """

    def __init__(
        self,
        folder,
        daemons=2,
        shards=3,
        replicas=2,
        grace_s=1.0,
        zones=("a",),
    ):
        self.folder = folder
        self.store = Store()
        self.searchers = [
            Searcher(f"s{shard}-{replica}", f"s{shard}")
            for shard in range(shards)
            for replica in range(replicas)
        ]
        self.searchers += [Searcher(f"one-{n}", "one") for n in range(replicas)]
        self.shards = [f"s{n}" for n in range(shards)]
        self.daemons: list[Daemon] = []
        self.daemon_options = (daemons, grace_s)
        self.zones = zones
        self.request_count = 0

    def config(self, version, **changes):
        common = {
            "host": "shop.example",
            "kind": "idempotent",
            "timeout-ms": 1000,
            "goal-ms": 200,
            "priority": 1,
            "max-attempts": 2,
        }
        scatter_route = {
            "name": "all",
            "prefix": "/all/",
            "gather": self.shards,
            "top-k": 4,
            "min-part-share": 0.6,
        }
        single_route = {
            "name": "once",
            "prefix": "/once/",
            "kind": "non_idempotent",
            "service": "one",
        }
        services = [
            {"name": name, "max-connections": 31}
            for name in [*self.shards, "one"]
        ]
        return {
            "version": version,
            "routes": [common | scatter_route, common | single_route],
            "services": services,
            "limits": LIMITS,
        } | changes

    def make_daemon(self, *arguments):
        return Daemon(*arguments)

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException as error:
            # Else the sockets left open would fail the next test as well.
            await self.__aexit__()
            for daemon in self.daemons:
                lines = daemon.log_path.read_bytes().splitlines()
                error.add_note(f"last lines of a daemon: {lines[-5:]}")
            raise
        return self

    async def _start(self):
        await self.store.server.start(HOST, 0)
        for searcher in self.searchers:
            await searcher.server.start(HOST, 0)
            self.store.put(f"servers/{searcher.id}", searcher.registration())
        self.store.put("op/config", self.config(1))
        count, grace_s = self.daemon_options
        ports = free_ports(5 * count)
        seeds = [f"{HOST}:{ports[5 * n + 3]}" for n in range(count)]
        for number in range(count):
            daemon = self.make_daemon(
                f"vm-{number}",
                self.folder,
                self.store.server.port,
                seeds,
                ports[5 * number : 5 * number + 5],
                grace_s,
                self.zones[number % len(self.zones)],
            )
            self.daemons.append(daemon)
            self.prepare(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_until(lambda daemon=daemon: self.is_ready(daemon))

    def prepare(self, daemon):
        """Called before each daemon starts; tests override it."""

    async def __aexit__(self, *error):
        for daemon in self.daemons:
            if daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        for searcher in self.searchers:
            await searcher.server.close(0)
        await self.store.server.close(0)

    async def is_ready(self, daemon):
        try:
            response = await send_http_request(daemon.readiness, b"/-/readyz")
        except OSError:
            return False
        return response is not None and response.status == 200

    async def addresses(self, daemon):
        target = b"/-/resolve?name=shop.example&region=r&zone=a"
        response = await send_http_request(daemon.directory, target)
        return set(orjson.loads(response.body)["addrs"])

    async def wait_until(self, condition, timeout_s=8.0):
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(0.05)

    async def send_request(self, daemon, target=b"/all/x", method=b"GET"):
        self.request_count += 1
        headers = [
            (b"x-request-id", b"q%d" % self.request_count),
            (b"x-request-deadline", b"900"),
        ]
        return await send_http_request(daemon.front, target, headers, method)
