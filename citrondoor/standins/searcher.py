"""Stand-in of searchers: HTTP, slots, cold starts, sheds and stragglers.

One process serves many searchers, each on a port of its own.
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
MAX_WAITING = 32


class Behaviour:
    """How one searcher behaves; tests and benchmarks change it at run time.

    Args:
      service_ms: Time that a sub-request takes.
      slots: Sub-requests served at once.
      connections: Connections accepted from all daemons together.
      connect_cost_ms: Time of a connection's first request on top.
      straggler_share: Share of sub-requests that are slow.
      straggler_factor: How many times slower those are.
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
        # What the health endpoint claims, true or not.
        self.health_load = 0.0


class SearcherCounters:
    """What one searcher has seen."""

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
    """One searcher.

    Args:
      name: Name of the searcher.
      behaviour: How it behaves.
      shard_records: Records of each shard of each snapshot that it holds.
      rng: Random source.
      clock: Clock.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_rng",
        "_tasks",
        "_waiting",
        "behaviour",
        "busy",
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
        self.busy = 0
        # A cold searcher has one slot; more open as it answers.
        self.warm_slots = float(behaviour.slots)
        self._clock = clock
        self._rng = rng
        self._waiting: collections.deque[asyncio.Future] = collections.deque()
        self._tasks: dict[int, asyncio.Task] = {}
        self._connections = 0

    @property
    def is_cold(self) -> bool:
        """Whether it bears less than its full load."""
        return self.warm_slots < self.behaviour.slots

    def turn_cold(self) -> None:
        """Loses its caches."""
        self.warm_slots = 1.0

    def accept(self) -> bool:
        """Takes a connection; returns False over the limit."""
        if self._connections >= self.behaviour.connections:
            self.counters.refused_connections += 1
            return False
        self._connections += 1
        most = max(self.counters.most_connections, self._connections)
        self.counters.most_connections = most
        return not self.behaviour.is_down

    def leave(self) -> None:
        """Gives a connection back."""
        self._connections -= 1

    def cancel(self, number: int) -> bool:
        """Ends a sub-request, whatever connection it came on."""
        task = self._tasks.pop(number, None)
        if task is None:
            return False
        task.cancel()
        self.counters.cancelled += 1
        return True

    def health(self) -> "Reply":
        """Returns what the health endpoint claims."""
        self.counters.health_reads += 1
        return Reply(200, {"load": self.behaviour.health_load})

    async def serve(self, work: dict, is_first: bool) -> "Reply":
        """Returns the reply to one sub-request or run."""
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
        if not await self._take_slot():
            self.counters.shed += 1
            return Reply(503, {"id": number})
        try:
            delay_ms = self._delay_ms()
            if is_first:
                delay_ms += self.behaviour.connect_cost_ms
            await asyncio.sleep(delay_ms / clocks.MS_PER_S)
            reply = self._work(work, number)
        finally:
            self._give_slot()
        self.counters.answered += 1
        self._warm_up()
        return reply

    def _work(self, work: dict, number: int) -> "Reply":
        if "body" in work:
            name = work["request_id"]
            self.counters.runs[name] += 1
            return Reply(200, {"id": number, "result": f"done {work['body']}"})
        snapshot = work["snapshot"]
        shards = self.shard_records.get(snapshot)
        if shards is None or snapshot in self.behaviour.missing_snapshots:
            return Reply(409, {"id": number})
        answers = []
        for name in work["shards"]:
            if name not in shards:
                return Reply(409, {"id": number})
            found = data.search_shard(
                snapshot, name, shards[name], work["query"], work["top"]
            )
            answers.append(
                {
                    "shard": name,
                    "records": found.records,
                    "scores": found.scores,
                    "ids": found.ids,
                }
            )
        return Reply(
            200, {"id": number, "snapshot": snapshot, "shards": answers}
        )

    async def _take_slot(self) -> bool:
        if self.is_cold and self.busy >= int(self.warm_slots):
            # More than a cold searcher bears: it falls back to the start.
            self.counters.beyond_cold_capacity += 1
            self.warm_slots = 1.0
            return False
        if self.busy < int(self.warm_slots):
            self.busy += 1
            return True
        if len(self._waiting) >= MAX_WAITING:
            return False
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._give_slot()
            raise
        return True

    def _give_slot(self) -> None:
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                # The slot goes on to the next one that waits.
                future.set_result(None)
                return
        self.busy -= 1

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
    """One HTTP response.

    Args:
      status: HTTP status.
      content: JSON content.
    """

    __slots__ = ("content", "status")

    def __init__(self, status: int, content: dict):
        self.status = status
        self.content = content

    def encode(self) -> bytes:
        """Returns the response as bytes."""
        body = orjson.dumps(self.content)
        head = (
            f"HTTP/1.1 {self.status} {_REASONS[self.status]}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class _Connection:
    """One accepted connection: requests are answered in order."""

    __slots__ = ("_body", "_parser", "_path", "_requests", "_searcher")

    def __init__(self, searcher: Searcher):
        self._searcher = searcher
        self._parser = httptools.HttpRequestParser(self)
        self._path = ""
        self._body: list[bytes] = []
        self._requests: list[tuple[str, bytes]] = []

    def on_url(self, url: bytes) -> None:
        """Takes the path; called by the parser."""
        self._path = url.decode()

    def on_body(self, part: bytes) -> None:
        """Takes a part of a body; called by the parser."""
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Completes a request; called by the parser."""
        self._requests.append((self._path, b"".join(self._body)))
        self._body = []

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers requests until the daemon closes the connection."""
        is_first = True
        while data_read := await reader.read(65536):
            self._parser.feed_data(data_read)
            requests, self._requests = self._requests, []
            for path, body in requests:
                reply = await self._answer(path, body, is_first)
                is_first = False
                writer.write(reply.encode())

    async def _answer(self, path: str, body: bytes, is_first: bool) -> Reply:
        if path == "/health":
            return self._searcher.health()
        work = orjson.loads(body)
        if path == "/v1/cancel":
            self._searcher.cancel(work["cancel"])
            return Reply(200, {"id": work["id"], "result": "cancelled"})
        return await self._searcher.serve(work, is_first)


async def listen(searcher: Searcher, address: str, port: int) -> asyncio.Server:
    """Serves one searcher on a port."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_accepted = searcher.accept()
        try:
            if is_accepted:
                await _Connection(searcher).run(reader, writer)
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            searcher.leave()
            writer.transport.abort()

    return await asyncio.start_server(serve, address, port)
