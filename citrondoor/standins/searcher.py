"""Stand-in of searchers over HTTP/1.1.

It simulates limited slots, cold starts, rejection under overload and
stragglers. One process serves many searchers, each on a port of its own.
"""

import asyncio
import collections
import random

import httptools
import orjson

from citrondoor import clock as clocks
from citrondoor.standins import data

_REASONS = {
    200: "OK",
    400: "Bad Request",
    409: "Conflict",
    499: "Client Closed Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
# Requests that may wait for a slot of one searcher; further ones are rejected
# with status 503.
MAX_QUEUED_REQUESTS = 32


class Behaviour:
    """Parameters of one searcher, which tests and benchmarks may change.

    Args:
      service_ms: Service time of a request; a cold searcher takes 3 times as
        long.
      slots: Maximum number of requests served at a time.
      connections: Maximum number of open connections from all daemons.
      connect_cost_ms: Extra service time of the first request on a connection.
      straggler_share: Share of requests that are slow.
      straggler_factor: Factor of the service time of slow requests.

    Attributes:
      cold_answers_per_slot: Answers of a cold searcher that open one more slot.
      health_load: Load that the health endpoint reports, whatever the real one.
      is_down: Whether new connections are closed at once; connections that are
        already open are still served.
      missing_snapshots: Snapshots that the searcher reports as not held.
    """

    __slots__ = (
        "cold_answers_per_slot",
        "connect_cost_ms",
        "connections",
        "health_load",
        "is_down",
        "missing_snapshots",
        "service_ms",
        "slots",
        "straggler_factor",
        "straggler_share",
    )

    def __init__(
        self,
        service_ms: float = 2.0,
        slots: int = 3,
        connections: int = 30,
        connect_cost_ms: float = 6.0,
        straggler_share: float = 0.0,
        straggler_factor: float = 50.0,
    ):
        self.service_ms = service_ms
        self.slots = slots
        self.connections = connections
        self.connect_cost_ms = connect_cost_ms
        self.straggler_share = straggler_share
        self.straggler_factor = straggler_factor
        self.cold_answers_per_slot = 10
        self.missing_snapshots: set[str] = set()
        self.is_down = False
        self.health_load = 0.0


class SearcherCounters:
    """Counters of one searcher.

    `/tallies` writes the attributes under their names.

    Attributes:
      answered: Sub-requests and runs that were replied to with status 200 or
        409.
      beyond_cold_capacity: Requests rejected because all open slots of the
        cold searcher were in use.
      cancelled: Requests that a cancel message ended.
      health_reads: Requests to the health endpoint.
      last_work_ms: Unix time in ms at which the last sub-request or run
        arrived, rejected ones included; 0 before the first one.
      most_connections: Largest number of connections open at a time.
      refused_connections: Connections above the limit.
      runs: Executions of non-idempotent requests by request id.
      shed: Requests rejected under overload, those of a cold searcher included.
    """

    __slots__ = (
        "answered",
        "beyond_cold_capacity",
        "cancelled",
        "health_reads",
        "last_work_ms",
        "most_connections",
        "refused_connections",
        "runs",
        "shed",
    )

    def __init__(self):
        self.answered = 0
        self.shed = 0
        self.cancelled = 0
        self.beyond_cold_capacity = 0
        self.most_connections = 0
        self.refused_connections = 0
        self.last_work_ms = 0
        self.health_reads = 0
        self.runs: collections.Counter[str] = collections.Counter()


class Searcher:
    """One simulated searcher, shared by all its connections.

    Args:
      name: Name of the searcher.
      behaviour: Its parameters.
      shard_records: Number of records by snapshot and shard that it holds.
      rng: Random generator that chooses the stragglers.
      clock: Clock of this process.

    Attributes:
      busy_slots: Number of slots in use.
      warm_slots: Open slots; a fraction counts towards the next one.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_rng",
        "_slot_queue",
        "_tasks",
        "behaviour",
        "busy_slots",
        "counters",
        "name",
        "shard_records",
        "warm_slots",
    )

    def __init__(
        self,
        name: str,
        behaviour: Behaviour,
        shard_records: dict[str, dict[str, int]],
        rng: random.Random,
        clock: clocks.Clock,
    ):
        self.name = name
        self.behaviour = behaviour
        self.shard_records = shard_records
        self.counters = SearcherCounters()
        self.busy_slots = 0
        self.warm_slots = float(behaviour.slots)
        self._clock = clock
        self._rng = rng
        self._slot_queue: collections.deque[asyncio.Future] = (
            collections.deque()
        )
        self._tasks: dict[int, asyncio.Task] = {}
        self._connections = 0

    @property
    def is_cold(self) -> bool:
        """Whether fewer than all slots are open."""
        return self.warm_slots < self.behaviour.slots

    def turn_cold(self) -> None:
        """Simulates a restart with empty caches: only one slot is open."""
        self.warm_slots = 1.0

    def open_connection(self) -> bool:
        """Counts a new connection.

        Returns:
          Whether to serve it; False above the limit or while the searcher is
          down.
        """
        if self._connections >= self.behaviour.connections:
            self.counters.refused_connections += 1
            return False
        self._connections += 1
        max_connections = max(self.counters.most_connections, self._connections)
        self.counters.most_connections = max_connections
        return not self.behaviour.is_down

    def close_connection(self) -> None:
        """Records the end of a connection."""
        self._connections -= 1

    def cancel(self, number: int) -> bool:
        """Cancels a request of any connection; returns whether it was active.

        Args:
          number: The `id` of the request.
        """
        task = self._tasks.pop(number, None)
        if task is None:
            return False
        task.cancel()
        self.counters.cancelled += 1
        return True

    def health(self) -> "Reply":
        """Returns the reply of the health endpoint."""
        self.counters.health_reads += 1
        return Reply(200, {"load": self.behaviour.health_load})

    async def serve(self, work: dict, is_first: bool) -> "Reply":
        """Serves one sub-request of a search or one run.

        Args:
          work: JSON body of the request.
          is_first: Whether it is the first request on its connection.

        Returns:
          A reply with status 200, 409 when a snapshot or shard isn't held, 499
          when the request was cancelled, or 503 when it was rejected.
        """
        number = work["id"]
        self._tasks[number] = asyncio.current_task()
        try:
            return await self._serve(work, number, is_first)
        except asyncio.CancelledError:
            return Reply(499, {"id": number})
        finally:
            self._tasks.pop(number, None)

    async def _serve(self, work: dict, number: int, is_first: bool) -> "Reply":
        self.counters.last_work_ms = self._clock.unix_ms()
        if not await self._acquire_slot():
            self.counters.shed += 1
            return Reply(503, {"id": number})
        try:
            delay_ms = self._delay_ms()
            if is_first:
                delay_ms += self.behaviour.connect_cost_ms
            await asyncio.sleep(delay_ms / clocks.MS_PER_S)
            reply = self._execute(work, number)
        finally:
            self._release_slot()
        self.counters.answered += 1
        self._warm_up()
        return reply

    def _execute(self, work: dict, number: int) -> "Reply":
        if "body" in work:
            request_id = work["request_id"]
            self.counters.runs[request_id] += 1
            return Reply(200, {"id": number, "result": f"done {work['body']}"})
        snapshot = work["snapshot"]
        shards = self.shard_records.get(snapshot)
        if shards is None or snapshot in self.behaviour.missing_snapshots:
            return Reply(409, {"id": number})
        answers = []
        for name in work["shards"]:
            if name not in shards:
                return Reply(409, {"id": number})
            shard_answer = data.search_shard(
                snapshot, name, shards[name], work["query"], work["top"]
            )
            answers.append(
                {
                    "shard": name,
                    "records": shard_answer.records,
                    "scores": shard_answer.scores,
                    "ids": shard_answer.ids,
                }
            )
        return Reply(
            200, {"id": number, "snapshot": snapshot, "shards": answers}
        )

    async def _acquire_slot(self) -> bool:
        if self.is_cold and self.busy_slots >= int(self.warm_slots):
            # Too many requests at a time make a cold searcher lose the progress
            # of its warm-up.
            self.counters.beyond_cold_capacity += 1
            self.warm_slots = 1.0
            return False
        if self.busy_slots < int(self.warm_slots):
            self.busy_slots += 1
            return True
        if len(self._slot_queue) >= MAX_QUEUED_REQUESTS:
            return False
        future = asyncio.get_running_loop().create_future()
        self._slot_queue.append(future)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                # The slot was passed on to this request before the cancellation
                # was delivered.
                self._release_slot()
            raise
        return True

    def _release_slot(self) -> None:
        while self._slot_queue:
            future = self._slot_queue.popleft()
            if not future.done():
                # The slot passes to the next queued request and stays in use.
                future.set_result(None)
                return
        self.busy_slots -= 1

    def _delay_ms(self) -> float:
        delay_ms = self.behaviour.service_ms
        if self._rng.random() < self.behaviour.straggler_share:
            delay_ms *= self.behaviour.straggler_factor
        if self.is_cold:
            delay_ms *= 3
        return delay_ms

    def _warm_up(self) -> None:
        if self.is_cold:
            step = 1 / self.behaviour.cold_answers_per_slot
            self.warm_slots = min(
                float(self.behaviour.slots), self.warm_slots + step
            )


class Reply:
    """One HTTP response with a JSON body.

    Args:
      status: HTTP status.
      content: Content of the body.
    """

    __slots__ = ("content", "status")

    def __init__(self, status: int, content: dict):
        self.status = status
        self.content = content

    def encode(self) -> bytes:
        """Returns the HTTP/1.1 response with its head."""
        body = orjson.dumps(self.content)
        head = (
            f"HTTP/1.1 {self.status} {_REASONS[self.status]}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class _Connection:
    """One accepted connection, whose requests are served one after another."""

    __slots__ = ("_body", "_parser", "_path", "_requests", "_searcher")

    def __init__(self, searcher: Searcher):
        self._searcher = searcher
        self._parser = httptools.HttpRequestParser(self)
        self._path = ""
        self._body: list[bytes] = []
        self._requests: list[tuple[str, bytes]] = []

    def on_url(self, url: bytes) -> None:
        """Records the path; called by the parser."""
        self._path = url.decode()

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body; called by the parser."""
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Queues the complete request; called by the parser."""
        self._requests.append((self._path, b"".join(self._body)))
        self._body = []

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves requests until the daemon closes the connection."""
        is_first = True
        while chunk := await reader.read(65536):
            self._parser.feed_data(chunk)
            requests, self._requests = self._requests, []
            for path, body in requests:
                reply = await self._serve(path, body, is_first)
                is_first = False
                writer.write(reply.encode())

    async def _serve(self, path: str, body: bytes, is_first: bool) -> Reply:
        if path == "/health":
            return self._searcher.health()
        work = orjson.loads(body)
        if path == "/v1/cancel":
            self._searcher.cancel(work["cancel"])
            return Reply(200, {"id": work["id"], "result": "cancelled"})
        return await self._searcher.serve(work, is_first)


async def listen(searcher: Searcher, address: str, port: int) -> asyncio.Server:
    """Starts serving one searcher and returns the server."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_accepted = searcher.open_connection()
        try:
            if is_accepted:
                await _Connection(searcher).run(reader, writer)
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            searcher.close_connection()
            writer.transport.abort()

    return await asyncio.start_server(serve, address, port)
