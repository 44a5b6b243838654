"""Stand-ins and daemons on loopback addresses, for the cases of this review.

One process plays the store, the searchers and the callers, with the standard
library only. The daemons are processes of their own, started with the command
of the deploy file and the settings of a small deployment. Nothing here is
needed by the project or its tests.
"""

import asyncio
import base64
import collections
import contextlib
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# `run` of deploy/system.toml.
COMMAND = ["python3", "-S", "-P", "deploy/entry.py"]
ZONES = ("loading-bay", "sorting-floor", "mezzanine", "counting-house")
REGION = "north-mill"
HOST = "shop.example"
# An answer of the store takes 4 ms, as the sheet of the site says, and a new
# connection and a request between zones four times the way of 1.4 ms.
STORE_ANSWER_S = 0.004 + 4 * 0.0014
# A searcher writes to the store about this often.
HEARTBEAT_S = 1.2
# A case that lasts longer could not run.
TIME_LIMIT_S = 112
# Below the ports that the kernel gives to outgoing connections.
_PORTS = range(21_000, 32_000)

HELD, BROKEN, NOT_RUN = 0, 1, 2


def is_troubled() -> bool:
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(host: str, count: int) -> list[int]:
    """Returns ports that nobody uses."""
    ports = []
    for port in random.SystemRandom().sample(_PORTS, len(_PORTS)):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free port")


class Record:
    """What was sent, answered and run, as lines of `record.txt`.

    Args:
      path: The file.
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Returns seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **fields) -> None:
        """Adds a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {event} {text}\n")

    def close(self) -> None:
        """Ends the file."""
        self._file.close()


class Message:
    """A received request or response.

    Args:
      first: The three words of the first line.
      headers: Values by name in lower case.
      body: The body.
    """

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first[1])


async def read_message(reader) -> Message | None:
    """Returns the next message; None if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0].split(" ", 2), headers, body)


def encode_response(status, headers, body) -> bytes:
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Accepts connections on a loopback address."""

    def __init__(self):
        self.host = "127.0.0.1"
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self, host="127.0.0.1", port=0) -> None:
        """Starts to listen."""
        self.host = host
        self.port = port or free_ports(host, 1)[0]
        self._server = await asyncio.start_server(
            self._serve, host, self.port, reuse_address=True
        )

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        """Serves one connection."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stops to listen and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            self._reset(writer)

    @staticmethod
    def _reset(writer) -> None:
        connection = writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.transport.abort()


class StoreDoor(Server):
    """The store as one machine reaches it.

    Args:
      store: The store.

    Attributes:
      is_turned_away: Whether this machine gets 503.
      read_at: Time of its last read that was answered, by the loop's clock.
    """

    def __init__(self, store):
        super().__init__()
        self._store = store
        self.is_turned_away = False
        self.read_at = 0.0

    async def serve(self, reader, writer):
        """Answers reads."""
        while (request := await read_message(reader)) is not None:
            target = urllib.parse.urlsplit(request.first[1])
            query = dict(urllib.parse.parse_qsl(target.query))
            await asyncio.sleep(self._store.answer_s)
            status, body = 503, {}
            if not self.is_turned_away:
                status, body = self._store.answer(target.path, query)
                self.read_at = asyncio.get_running_loop().time()
            headers = [("Content-Type", "application/json")]
            writer.write(
                encode_response(status, headers, json.dumps(body).encode())
            )
            await writer.drain()


class Store:
    """The platform's store.

    Args:
      record: Where its writes are recorded.
      page_items: Items in one answer.
      answer_s: Time that an answer takes.

    Attributes:
      answer_s: As above.
    """

    def __init__(
        self,
        record: Record,
        page_items: int = 500,
        answer_s: float = STORE_ANSWER_S,
    ):
        self.answer_s = answer_s
        self.host = "127.0.0.1"
        self._record = record
        self._page_items = page_items
        self._items = {}
        self._doors = []
        self.revision = 100

    def put(self, key: str, value: dict) -> None:
        """Writes an item, and acknowledges it at once."""
        old = self._items.get(key)
        if old is not None and _without_seq(old[0]) == _without_seq(value):
            # An entry changes when more than `seq` changes.
            self._items[key] = (value, old[1], old[2])
            return
        self.revision += 1
        created = self.revision if old is None else old[2]
        self._items[key] = (value, self.revision, created)
        if key.startswith("servers/"):
            self._record.write(
                "store_put",
                key=key,
                rev=self.revision,
                state=value["state"],
                warmup_left_ms=value["warmup-left-ms"],
            )
        else:
            self._record.write("store_put", key=key, rev=self.revision)

    def remove(self, key: str) -> None:
        """Removes an item, and acknowledges it at once."""
        if key in self._items:
            self.revision += 1
            del self._items[key]
            self._record.write("store_remove", key=key, rev=self.revision)

    async def add_door(self) -> "StoreDoor":
        """Returns an address of the store for one machine."""
        door = StoreDoor(self)
        await door.start(self.host)
        self._doors.append(door)
        return door

    def stop(self) -> None:
        """Closes all doors."""
        for door in self._doors:
            door.stop()

    def answer(self, path: str, query: dict) -> tuple[int, dict]:
        """Returns the answer to a read."""
        if path != "/-/kv-range":
            return 404, {}
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = keys[: self._page_items]
        items = []
        for key in page:
            value, rev, created = self._items[key]
            text = base64.b64encode(json.dumps(value).encode()).decode()
            items.append(
                {
                    "key": key,
                    "value": text,
                    "rev": rev,
                    "created": created,
                    "lease": 0,
                }
            )
        return 200, {
            "items": items,
            "truncated": len(page) < len(keys),
            "store-revision": self.revision,
        }


def _without_seq(value: dict) -> dict:
    return {name: part for name, part in value.items() if name != "seq"}


class Searcher(Server):
    """A sound searcher.

    Args:
      stage: The deployment that it belongs to.
      name: Its id.
      service: Its service.
      zone: Its zone.
      work_s: Time that it works on a request.
      capacity: Requests that it works on at a time.

    Attributes:
      arrivals: Time, request id and run or not, of each request for it.
      said: Headers that it adds to its answers.
      named: Time and daemon of each answer that was given with these.
      cold_until: Time until which it is cold.
    """

    def __init__(self, stage, name, service, zone, work_s, capacity):
        super().__init__()
        self.stage = stage
        self._record = stage.record
        self.id = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.capacity = capacity
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.cold_until = 0.0
        self.said = []
        self.named = []
        self.arrivals = []
        self._slots = asyncio.Semaphore(capacity)
        self._seq = 0
        self._beat = None

    @property
    def key(self) -> str:
        """Key of its entry."""
        return f"servers/{self.id}"

    def entry(self) -> dict:
        """Returns what it says of itself."""
        self._seq += 1
        left_s = max(0.0, self.cold_until - self._record.now())
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmup-left-ms": int(left_s * 1000),
            "seq": self._seq,
            "born": self.born,
        }

    def write_entry(self) -> None:
        """Writes its entry now."""
        self.stage.store.put(self.key, self.entry())

    def begin(self) -> None:
        """Registers, and goes on to write to the store."""
        self._beat = asyncio.create_task(self._write_forever())

    async def _write_forever(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def renew(self) -> None:
        """Begins a new incarnation under the same id."""
        self.born = int(time.time() * 1000)
        self._seq = 0
        self._slots = asyncio.Semaphore(self.capacity)

    def end_heartbeats(self) -> None:
        """Writes nothing more to the store."""
        if self._beat is not None:
            self._beat.cancel()

    async def serve(self, reader, writer):
        """Serves one connection, one request at a time."""
        while (request := await read_message(reader)) is not None:
            headers = request.headers
            if request.first[1] == "/healthz":
                left_s = max(0.0, self.cold_until - self._record.now())
                said = [
                    ("X-Instance-Id", self.id),
                    ("X-Warmup-Left", int(left_s * 1000)),
                ]
                status = 200 if self.state == "ready" else 503
                writer.write(encode_response(status, said, b""))
                continue
            if headers.get("x-expect-instance", self.id) != self.id:
                said = [("X-Instance-Id", self.id)]
                writer.write(encode_response(421, said, b""))
                continue
            request_id = headers["x-request-id"]
            arrival = [self._record.now(), request_id, False]
            self.arrivals.append(arrival)
            self._record.write("arrived", searcher=self.id, request=request_id)
            self.on_arrival(request_id)
            async with self._slots:
                arrival[2] = True
                await asyncio.sleep(self.work_s)
            stamp = f"{self.id}.{len(self.arrivals)}.{request_id}"
            said = [
                ("X-Request-Id", request_id),
                ("X-Server-Stamp", stamp),
                ("Keep-Alive", "timeout=15"),
                *self.said,
            ]
            digest = hashlib.sha256(stamp.encode()).digest()[:16]
            writer.write(encode_response(200, said, digest))
            await writer.drain()
            if self.said:
                daemon = self.stage.sent_to[request_id]
                self.named.append((self._record.now(), daemon))

    def on_arrival(self, request_id: str) -> None:
        """Is called for each request that arrives; cases override it."""


class Daemon:
    """One process of the system.

    Args:
      stage: The deployment.
      number: Its number, from 0.
      address: Its loopback address.
      zone: Its zone.

    Attributes:
      door: The store as it reaches it.
    """

    def __init__(self, stage, number, address, zone):
        self.name = f"front-{zone}-{number}"
        self.address = address
        self.zone = zone
        self.door = None
        self.stage = stage
        self._process = None
        # All machines of a day have the same ports.
        front, readiness, directory, peers, metrics = stage.ports
        self.front = front
        self.readiness = readiness
        self.peers = f"{address}:{peers}"
        self._ports = (front, readiness, directory, peers, metrics)
        self._settings = stage.folder / f"{self.name}.yaml"
        self._log = stage.folder / f"{self.name}.log"

    def write_settings(self, seeds, bounds) -> None:
        """Writes the file that the template of the deploy file gives."""
        front, readiness, directory, peers, metrics = self._ports
        lines = [
            f'vm: "{self.name}"',
            f'zone: "{self.zone}"',
            f'region: "{REGION}"',
            f'front: "{self.address}:{front}"',
            f'readiness: "{self.address}:{readiness}"',
            f'directory: "{self.address}:{directory}"',
            f'peers: "{self.address}:{peers}"',
            f'metrics: "{self.address}:{metrics}"',
            f"seeds: {json.dumps(seeds)}",
            "memory_mb: 430",
            "max_fds: 6150",
            "bounds:",
            *[f"  {name}: {value}" for name, value in bounds.items()],
            "zones:",
        ]
        for zone in ZONES:
            lines += [f'  - zone: "{zone}"', f'    region: "{REGION}"']
        lines += ["store:", f'  address: "{self.door.host}:{self.door.port}"']
        self._settings.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CITRONDOOR_SETTINGS"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    async def end(self) -> None:
        """Ends the process."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Returns whether its liveness answer is 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.address, self.readiness
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            response = await read_message(reader)
            return response is not None and response.status == 200
        finally:
            writer.close()

    def log_lines(self) -> list[dict]:
        """Returns the lines of its log."""
        lines = []
        for line in self._log.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class Caller:
    """A caller with one kept connection to one daemon.

    Args:
      stage: The deployment.
      daemon: The daemon that it uses.
    """

    def __init__(self, stage, daemon):
        self.stage = stage
        self.daemon = daemon
        self._reader = None
        self._writer = None

    async def connect(self) -> None:
        """Opens the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            self.daemon.address, self.daemon.front
        )

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(
        self, target, deadline_ms=1500, method="GET", body=b""
    ) -> tuple[str, Message | None]:
        """Sends a request, and returns its id and the response, if any."""
        stage = self.stage
        request_id = stage.next_id()
        if self._writer is None:
            await self.connect()
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Request-Deadline: {deadline_ms}",
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        stage.record.write(
            "sent",
            request=request_id,
            daemon=self.daemon.name,
            method=method,
            target=target,
            body_bytes=len(body),
        )
        stage.sent_at[request_id] = stage.record.now()
        stage.sent_to[request_id] = self.daemon.name
        response = None
        try:
            self._writer.write(head + body)
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                response = await read_message(self._reader)
        except (TimeoutError, ConnectionError):
            pass
        status = 0 if response is None else response.status
        stage.record.write("answered", request=request_id, status=status)
        stage.statuses[status] += 1
        if response is None or "close" in response.headers.get(
            "connection", ""
        ):
            self.close()
        return request_id, response


class Stage:
    """A small deployment, ended with its context.

    Args:
      folder: Folder of the case, for `record.txt`.
      page_items: Items in one answer of the store.
      answer_s: Time that an answer of the store takes.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        page_items: int = 500,
        answer_s: float = STORE_ANSWER_S,
    ):
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="citrondoor-"))
        self.store = Store(self.record, page_items, answer_s)
        self.searchers = []
        self.daemons = []
        self.sent_at = {}
        self.sent_to = {}
        self.statuses = collections.Counter()
        self.ports = free_ports("127.0.0.1", 5)
        self._ids = 0
        self._tasks = []

    def next_id(self) -> str:
        """Returns the id of a new request."""
        self._ids += 1
        return f"{self._ids:016x}"

    async def add_searcher(
        self, name, service, zone, work_s=0.01, capacity=6, kind=Searcher
    ) -> Searcher:
        """Starts a searcher and registers it."""
        searcher = kind(self, name, service, zone, work_s, capacity)
        await searcher.start()
        searcher.begin()
        self.searchers.append(searcher)
        return searcher

    async def start_daemons(self, count, bounds=None, settle_s=5.0) -> None:
        """Starts daemons in the zones in turn, and waits until all serve."""
        known = {
            "grace_s": 6,
            "extra_ratio": 0.2,
            "extra_window_s": 10,
            "extra_slack": 56,
            "warmup_factor": 1.5,
            "warmup_slack": 5,
            "entries_ttl_s": 2,
        }
        known.update(bounds or {})
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            address = f"127.0.1.{number + 1}"
            self.daemons.append(Daemon(self, number, address, zone))
        seeds = [daemon.peers for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.door = await self.store.add_door()
            daemon.write_settings(seeds, known)
            await daemon.start()
        async with asyncio.timeout(20):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.05)
        # The daemons find each other and agree on how many there are.
        await asyncio.sleep(settle_s)

    def run_in_background(self, coroutine) -> asyncio.Task:
        """Starts a task that ends with the stage."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.end()
        for searcher in self.searchers:
            searcher.end_heartbeats()
            searcher.stop()
        self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def most_within(times: list[float], seconds: float) -> tuple[int, float]:
    """Returns the most times in a sliding span, and where that begins."""
    times = sorted(times)
    best, best_at, first = 0, 0.0, 0
    for last, at in enumerate(times):
        while at - times[first] >= seconds:
            first += 1
        if last - first + 1 > best:
            best, best_at = last - first + 1, times[first]
    return best, best_at


def run(play) -> None:
    """Plays a case and exits with its verdict.

    Args:
      play: Coroutine function that returns whether the rule was held.
    """

    async def bounded():
        # The context of the stage ends all processes then.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        async with asyncio.timeout(TIME_LIMIT_S):
            return await play()

    try:
        code = HELD if asyncio.run(bounded()) else BROKEN
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        code = NOT_RUN
    sys.exit(code)
