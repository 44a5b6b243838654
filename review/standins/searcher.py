"""Stand-in of one searcher."""

import asyncio
import itertools
import time

from standins import record as records
from standins import store as stores
from standins import wire

RECORD_BYTES = 16
_RUN_NUMBERS = itertools.count(1)


class Searcher:
    """Serves `capacity` requests at a time and queues a few more.

    A request ends with status 504 at the deadline that it carries, and is
    dropped if its connection closes.

    Args:
      name: Its id, under which it registers.
      service: Its service.
      zone: Its zone.
      capacity: Requests that it serves at a time.
      queue: Further requests that may wait.
      work_ms: Time of one request.
      record: Where it writes what it ran.

    Attributes:
      slow_factor: Factor of `work_ms`.
      runs: Ids of the requests that it began to work on.
      arrived_at: When each request arrived, by the steady clock.
      cold_until: When it stops to be cold, by the steady clock.
      cold_bound: Requests in a second above which it crashes while cold.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        capacity: int,
        queue: int,
        work_ms: float,
        record: records.Record,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.work_ms = work_ms
        self.slow_factor = 1.0
        self.runs: list[str] = []
        self._capacity = capacity
        self._queue = queue
        self._record = record
        self._slots = asyncio.Semaphore(capacity)
        self._present = 0
        self._sequence = 0
        self._address = ""
        self._born_ms = int(time.time() * 1000)
        self.arrived_at: list[float] = []
        self.cold_until = 0.0
        self.cold_bound = float("inf")
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int, store: stores.Store) -> None:
        """Listens and registers in the store."""
        self._server = await asyncio.start_server(self._accept, host, port)
        self._address = f"{host}:{port}"
        self.register(store, 0)

    def register(
        self, store: stores.Store, cold_ms: int, state: str = "ready"
    ) -> None:
        """Writes the entry in the store.

        Args:
          store: The store.
          cold_ms: How much longer it is cold.
          state: "ready" or "draining".
        """
        self._sequence += 1
        self.cold_until = time.monotonic() + cold_ms / 1000
        store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self._address,
                "zone": self.zone,
                "version": "v1",
                "capacity": self._capacity,
                "state": state,
                "warmup-left-ms": cold_ms,
                "seq": self._sequence,
                "born": self._born_ms,
            },
        )

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                if not await self._serve(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve(self, request: wire.Message, reader, writer) -> bool:
        """Serves a request; returns whether the connection stays open."""
        work = asyncio.create_task(self._respond(request))
        # Nothing else is due on the connection before the response.
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, closed}, return_when="FIRST_COMPLETED")
        if not work.done():
            work.cancel()
            return False
        closed.cancel()
        await asyncio.wait({closed})
        writer.write(work.result())
        self._on_sent(writer, work.result())
        await writer.drain()
        return True

    def _on_sent(self, writer: asyncio.StreamWriter, response: bytes) -> None:
        """Called with each response that was sent on a connection."""

    async def _respond(self, request: wire.Message) -> bytes:
        headers = request.headers
        if request.first_line.split(" ")[1] == "/healthz":
            return wire.encode_response(200, {"X-Instance-Id": self.name})
        if headers.get("x-expect-instance", self.name) != self.name:
            return wire.encode_response(421, {"X-Instance-Id": self.name})
        request_id = headers["x-request-id"]
        self._count_arrival()
        if self._present >= self._capacity + self._queue:
            return wire.encode_response(
                503, {"X-Not-Run": "1", "X-Request-Id": request_id}
            )
        self._present += 1
        try:
            deadline_ms = float(headers.get("x-request-deadline", "60000"))
            async with asyncio.timeout(deadline_ms / 1000):
                return await self._run(request_id)
        except TimeoutError:
            return wire.encode_response(
                504,
                {
                    "X-Request-Id": request_id,
                    "X-Server-Stamp": self._make_stamp(request_id),
                },
            )
        finally:
            self._present -= 1

    def _count_arrival(self) -> None:
        """Counts a request; a cold searcher crashes if they are too many."""
        now = time.monotonic()
        self.arrived_at.append(now)
        recent = sum(now - at < 1 for at in self.arrived_at)
        if now < self.cold_until and recent > self.cold_bound:
            self._record.write("crash", searcher=self.name, in_a_second=recent)
            self.end()
            raise ConnectionAbortedError

    def end(self) -> None:
        """Ends like a process that exits or crashes."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _run(self, request_id: str) -> bytes:
        async with self._slots:
            self.runs.append(request_id)
            self._record.write("run", id=request_id, searcher=self.name)
            await asyncio.sleep(self.work_ms * self.slow_factor / 1000)
            return self._answer(request_id)

    def _answer(self, request_id: str) -> bytes:
        stamp = self._make_stamp(request_id)
        self._record.write("answer", id=request_id, searcher=self.name)
        return wire.encode_response(
            200,
            {"X-Request-Id": request_id, "X-Server-Stamp": stamp},
            make_body(self.service, request_id),
        )

    def _make_stamp(self, request_id: str) -> str:
        return f"{self.name}.{next(_RUN_NUMBERS)}.{request_id}"


def make_body(service: str, request_id: str) -> bytes:
    """Returns the records of a service for a request, three of 16 bytes."""
    return b"".join(
        f"{request_id[-6:]}{service[-6:]:>6}{number:04}".encode().ljust(16)[:16]
        for number in range(3)
    )
