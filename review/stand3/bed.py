"""Stand-ins for the users' platform, and daemons started as processes.

The stand-ins do what the pages say and nothing else: a store, searchers and
requesters on loopback addresses. All of them write what they saw to one record.
Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Figures of the deployment, as in `DEPLOY.md`.
CONTACT_S = 4.0
DRAIN_S = 3.0
EVACUATE_S = 5.0
APPLY_S = 3.0
HEARTBEAT_S = 1.2
GRACE_S = 6
PAGE_ITEMS = 50
# Requests that a searcher works on at once, and that wait there besides.
CAPACITY = 6
QUEUE = 24


class Record:
    """Writes what was sent, answered and run, with seconds since the start.

    Args:
      path: The file.
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> float:
        """Writes a line; returns its time."""
        now = self.now()
        self._file.write(f"{now:9.3f} {text}\n")
        self._file.flush()
        return now


def free_port(host: str) -> int:
    """Returns a TCP port that is free on an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Message:
    """The head and the body of a request or a response.

    Args:
      first: The first line.
      headers: Headers, with names in lower case.
      body: The body.
    """

    def __init__(self, first: str, headers: dict[str, str], body: bytes):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with a length, or without a body.

    Raises:
      asyncio.IncompleteReadError: The connection ended before its end.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(lines[0], headers, body)


def encode_message(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a message with a length."""
    lines = [first, *(f"{n}: {v}" for n, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store.

    An entry of which only `seq` changes gets no new revision: "The entry
    changes when more than `seq` changes."

    Args:
      record: The record.
    """

    def __init__(self, record: Record):
        self._record = record
        self._items: dict[str, tuple[bytes, int, int]] = {}
        self._revision = 50
        self._era = 1
        self._server: asyncio.Server | None = None
        self.host = "127.0.3.1"
        self.port = free_port(self.host)
        self.read_count = 0

    @property
    def revision(self) -> int:
        """The store's revision."""
        return self._revision

    @property
    def is_up(self) -> bool:
        """Whether it answers."""
        return self._server is not None

    async def start(self) -> None:
        """Begins to answer."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    async def stop(self) -> None:
        """Refuses connections."""
        self._server.close()
        self._server = None

    def copy(self) -> tuple[dict, int]:
        """Returns a copy of the contents and the revision."""
        return dict(self._items), self._revision

    def restore(self, copy: tuple[dict, int]) -> None:
        """Goes back to a copy; the era rises by one."""
        self._items, self._revision = dict(copy[0]), copy[1]
        self._era += 1

    def put(self, key: str, value: dict) -> int | None:
        """Writes a value; returns its revision, None while it is away."""
        if not self.is_up:
            return None
        old = self._items.get(key)
        data = json.dumps(value).encode()
        if old is not None and _without_seq(old[0]) == _without_seq(data):
            self._items[key] = (data, old[1], old[2])
            return old[1]
        self._revision += 1
        created = self._revision if old is None else old[2]
        self._items[key] = (data, self._revision, created)
        self._record.write(f"store rev {self._revision}: {key} {value}")
        return self._revision

    def delete(self, key: str) -> int | None:
        """Removes a key; returns the revision, None while it is away."""
        if not self.is_up or key not in self._items:
            return None
        del self._items[key]
        self._revision += 1
        self._record.write(f"store rev {self._revision}: {key} removed")
        return self._revision

    def has(self, key: str) -> bool:
        """Returns whether a key is there."""
        return key in self._items

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            request = await read_message(reader)
            self.read_count += 1
            await asyncio.sleep(0.004)
            if self.is_up:
                path, _, query = request.first.split(" ")[1].partition("?")
                parameters = dict(urllib.parse.parse_qsl(query))
                status, body = self._answer(path, parameters)
                writer.write(
                    encode_message(
                        f"HTTP/1.1 {status} X",
                        {
                            "Content-Type": "application/json",
                            "Store-Era": str(self._era),
                            "Connection": "close",
                        },
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    def _answer(self, path: str, parameters: dict) -> tuple[int, dict]:
        if path == "/-/kv-key":
            key = parameters.get("key", "")
            if key not in self._items:
                return 404, {"store-revision": self._revision}
            item = self._item(key)
            return 200, {**item, "store-revision": self._revision}
        if path != "/-/kv-range":
            return 404, {}
        prefix = parameters.get("prefix", "")
        after = parameters.get("after", "")
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        return 200, {
            "items": [self._item(key) for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "store-revision": self._revision,
        }

    def _item(self, key: str) -> dict:
        data, revision, created = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": revision,
            "created": created,
            "lease": 0,
        }


def _without_seq(data: bytes) -> dict:
    value = json.loads(data)
    value.pop("seq", None)
    return value


class Arrival:
    """A request that reached a searcher.

    Args:
      at: Time of arrival.
      searcher: The searcher.
      request_id: Its id.
      machine: Address of the daemon that sent it.
      has_run: Whether the searcher worked on it.
    """

    def __init__(
        self,
        at: float,
        searcher: "Searcher",
        request_id: str,
        machine: str,
        has_run: bool,
    ):
        self.at = at
        self.searcher = searcher
        self.request_id = request_id
        self.machine = machine
        self.has_run = has_run


class Searcher:
    """One searcher: an HTTP server that registers itself in the store.

    Args:
      store: The store.
      record: The record.
      arrivals: Gets each request that arrives.
      searcher_id: Its id.
      service: Its service.
      zone: Its zone.
      work_s: How long it works on a request.
      records: Returns the body of an answer to a request id.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        arrivals: list[Arrival],
        searcher_id: str,
        service: str,
        zone: str,
        work_s: float = 0.005,
        records: Callable[[str], bytes] = lambda request_id: b"x" * 64,
    ):
        self._store = store
        self._record = record
        self._arrivals = arrivals
        self.id = searcher_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self._records = records
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(CAPACITY)
        self._accepted_count = 0
        self.host = "127.0.4.1"
        self.port = free_port(self.host)
        self.state = "ready"
        # Headers that all its answers have.
        self.extra_headers: dict[str, str] = {}

    async def start(self) -> None:
        """Begins to serve, and registers."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self._record.write(
            f"searcher {self.id} ({self.service}, {self.zone}) starts"
        )
        self._beats = asyncio.create_task(self._beat())

    def warmup_left_ms(self) -> int:
        """Returns how long it stays slow after its start."""
        return 0

    def write_entry(self) -> int | None:
        """Writes its entry now."""
        self._seq += 1
        return self._store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "capacity": CAPACITY,
                "state": self.state,
                "warmup-left-ms": self.warmup_left_ms(),
                "seq": self._seq,
                "born": self._born,
            },
        )

    def drain(self) -> float:
        """Reports `draining`; returns the time of the ack."""
        self.state = "draining"
        if self.write_entry() is None:
            raise AssertionError("the store is away")
        return self._record.write(f"searcher {self.id}: draining is acked")

    async def leave(self) -> None:
        """Removes its entry and ends."""
        self._beats.cancel()
        self._store.delete(f"servers/{self.id}")
        self._server.close()
        for writer in self._writers:
            writer.close()
        self._record.write(f"searcher {self.id} ends")

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        machine = writer.get_extra_info("peername")[0]
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request, machine))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request: Message, machine: str) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id, **self.extra_headers}
        if request.headers.get("x-expect-instance", self.id) != self.id:
            self._arrive(request_id, machine, False)
            headers["X-Not-Run"] = "1"
            return encode_message("HTTP/1.1 421 X", headers, b"")
        if self._accepted_count >= CAPACITY + QUEUE:
            self._arrive(request_id, machine, False)
            headers["X-Not-Run"] = "1"
            return encode_message("HTTP/1.1 503 X", headers, b"")
        self._arrive(request_id, machine, True)
        work_s = self.work_s
        self._accepted_count += 1
        try:
            async with self._slots:
                await asyncio.sleep(work_s)
        finally:
            self._accepted_count -= 1
        headers["X-Server-Stamp"] = f"{self.id}.{secrets.token_hex(6)}"
        return encode_message(
            "HTTP/1.1 200 OK", headers, self._records(request_id)
        )

    def _arrive(self, request_id: str, machine: str, has_run: bool) -> None:
        at = self._record.write(
            f"request {request_id} reaches {self.id}"
            f"{'' if has_run else ' (not run)'}"
        )
        self._arrivals.append(Arrival(at, self, request_id, machine, has_run))


class Daemon:
    """One entry daemon, started with the command of the deploy file.

    Args:
      folder: Where its settings and its log are.
      name: Name of its machine.
      host: Its address.
      zone: Its zone.
    """

    PORTS = ("front", "readiness", "directory", "peers", "metrics")

    def __init__(self, folder: pathlib.Path, name: str, host: str, zone: str):
        self._folder = folder
        self.name = name
        self.host = host
        self.zone = zone
        self.ports = {part: free_port(host) for part in self.PORTS}
        self.process: subprocess.Popen | None = None

    def start(
        self, store: Store, seeds: list["Daemon"], zones: list[str]
    ) -> None:
        """Writes the settings and starts the process."""
        settings = [f'vm: "{self.name}"', f'zone: "{self.zone}"']
        settings.append('region: "north"')
        settings += [f'{p}: "{self.host}:{self.ports[p]}"' for p in self.PORTS]
        addresses = [f"{s.host}:{s.ports['peers']}" for s in seeds]
        settings += [f"seeds: {json.dumps(addresses)}"]
        settings += ["memory_mb: 430", "max_fds: 6150", "bounds:"]
        settings += [f"  grace_s: {GRACE_S}", "  extra_ratio: 0.2"]
        settings += ["  extra_window_s: 10", "  extra_slack: 56"]
        settings += ["  warmup_factor: 1.5", "  warmup_slack: 5"]
        settings += ["  entries_ttl_s: 2", "zones:"]
        for zone in zones:
            settings += [f'  - zone: "{zone}"', '    region: "north"']
        settings += ["store:", f'  address: "{store.host}:{store.port}"']
        path = self._folder / f"{self.name}.yaml"
        path.write_text("\n".join(settings) + "\n", encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CITRONDOOR_SETTINGS"] = str(path)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-P", "deploy/entry.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Returns whether its readiness check passes."""
        try:
            answer = await ask(
                self.host,
                self.ports["readiness"],
                "GET",
                "/-/readyz",
                {"Host": "ready"},
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)


async def ask(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> Message:
    """Sends a request on a connection of its own and returns the answer.

    Raises:
      OSError: The connection failed.
      EOFError: It ended without a complete answer.
      TimeoutError: There was none in time.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = {**headers, "Connection": "close"}
            writer.write(
                encode_message(f"{method} {path} HTTP/1.1", head, body)
            )
            return await read_message(reader)
        finally:
            writer.close()


class Bed:
    """All stand-ins and daemons of one case.

    Args:
      record_path: Where the record is written.
      zones: Zones of the deployment.
      daemon_zones: Zone of each daemon.
    """

    def __init__(
        self,
        record_path: pathlib.Path,
        zones: list[str],
        daemon_zones: list[str],
    ):
        self.record = Record(record_path)
        self.zones = zones
        self.store = Store(self.record)
        self.arrivals: list[Arrival] = []
        self.searchers: list[Searcher] = []
        # Requests that were not served, for cases that list them.
        self.failed: list[str] = []
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.daemons = [
            Daemon(self.folder, f"front-{zone}-{n}", f"127.0.2.{n + 1}", zone)
            for n, zone in enumerate(daemon_zones)
        ]

    async def add_searcher(self, *args, **options) -> Searcher:
        """Starts a searcher; the arguments are those of `Searcher`."""
        searcher = Searcher(
            self.store, self.record, self.arrivals, *args, **options
        )
        self.searchers.append(searcher)
        await searcher.start()
        return searcher

    def start_daemons(self) -> None:
        """Starts all daemons."""
        for daemon in self.daemons:
            daemon.start(self.store, self.daemons[:3], self.zones)

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until all daemons are ready.

        Raises:
          TimeoutError: They were not in time.
        """
        async with asyncio.timeout(timeout_s):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.1)
        self.record.write("all daemons are ready")

    def close(self) -> None:
        """Ends all processes."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.iterdir():
                target = pathlib.Path(keep) / path.name
                target.write_bytes(path.read_bytes())
        self._temporary.cleanup()


def service(name: str) -> dict:
    """Returns the declaration of a service."""
    return {
        "name": name,
        "health-path": "/healthz",
        "max-connections": 51,
        "warmup-s": 3,
        "warmup-per-s": 10,
    }


def config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [service(name) for name in services],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 60000,
        },
    }


def run(main: Callable) -> int:
    """Runs a case and returns its exit status, 3 if the rule was broken.

    An error that ends the interpreter gives 1, so that is no result.

    Args:
      main: Coroutine function that takes the path of the record, the argument
        of the script, and returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, _end)
    try:
        return 0 if asyncio.run(main(pathlib.Path(sys.argv[1]))) else 3
    except Exception as error:
        print(f"the case couldn't run: {error!r}")
        return 2


def _end(number: int, frame) -> None:
    """Ends the case, so that it ends its processes."""
    raise SystemExit(2)
