import asyncio
import time
import tracemalloc

import pytest

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor import limits
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.codecs import upstreams as codec
from citrondoor.links import _calls
from citrondoor.links import _connection
from citrondoor.links import _response_memory
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings
from tests import garbage
from tests import samples

OUTCOME = messages.SubOutcome
PIECE = b"y" * 65_536
SEARCHER = "desk-0"


class EndlessSearcher:
    """Starts each response as given, then sends until the caller closes.

    Args:
      head: First bytes of each response.
    """

    def __init__(self, head: bytes):
        self.head = head
        self.sent_bytes = 0

    async def serve(self, reader, writer):
        try:
            await reader.read(4096)
            writer.write(self.head)
            while not writer.transport.is_closing():
                writer.write(PIECE)
                self.sent_bytes += len(PIECE)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


def make_pool(port: int, settings: schema_settings.UpstreamSettings):
    """Returns a pool with a link to one searcher of the stand-in."""
    documents = samples.documents(1)
    (backend,) = [d.backend for d in documents if d.backend is not None]
    for searcher in backend.searchers:
        searcher.port = port
    pool = links.UpstreamPool(
        "vm-0",
        settings,
        limits.WarmupLimiter("vm-0"),
        clocks.Clock(),
        lambda now: True,
    )
    pool.set_catalogue(declared.Catalogue(documents))
    return pool


def send(pool, number: int) -> asyncio.Future:
    link = pool.links[SEARCHER]
    clock = clocks.Clock()
    future = asyncio.get_running_loop().create_future()
    payload = codec.encode_run(
        link.run_head,
        number,
        messages.RunRequest(messages.RequestId("s", number), "desk", "{}"),
        4000,
    )
    call = _calls.Call(
        number,
        payload,
        "acme",
        clock.now() + 4000,
        codec.decode_run_answer,
        future.set_result,
    )
    link.submit(call, clock.now())
    return future


def run_calls(head: bytes, settings, call_count: int, make=EndlessSearcher):
    async def body():
        searcher = make(head)
        server = await asyncio.start_server(searcher.serve, "127.0.0.1", 0)
        pool = make_pool(server.sockets[0].getsockname()[1], settings)
        try:
            async with asyncio.timeout(5):
                answers = await asyncio.gather(
                    *(send(pool, number) for number in range(call_count))
                )
            return answers, pool.counters, searcher.sent_bytes
        finally:
            pool.close()
            server.close()

    return asyncio.run(body())


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nx-a: ",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
    ],
)
def test_bytes_without_end_that_are_no_body_end_the_call_as_failed(head):
    # A head of 100 MB was read to its end, for 42 s of processor time.
    started_cpu_s = time.process_time()
    (answer,), counters, sent_bytes = run_calls(
        head, schema_settings.UpstreamSettings(), 1
    )
    assert answer.outcome == OUTCOME.FAILED
    assert counters.malformed == 1
    # What was sent before the close arrived is in socket buffers.
    assert sent_bytes < http1.MAX_RESPONSE_BODY_BYTES
    assert time.process_time() - started_cpu_s < 1


def test_endless_bodies_share_the_memory_of_all_responses():
    settings = schema_settings.UpstreamSettings(response_memory_mb=2)
    tracemalloc.start()
    answers, counters, _ = run_calls(
        b"HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n", settings, 3
    )
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert [answer.outcome for answer in answers] == [OUTCOME.FAILED] * 3
    assert counters.malformed == 3
    # Without a common limit, three bodies of 10 MB.
    assert peak_bytes < 10_000_000


class BrokenOffSearcher(EndlessSearcher):
    """Sends the start of a response and closes the connection."""

    async def serve(self, reader, writer):
        await reader.read(4096)
        writer.write(self.head)
        writer.close()


@pytest.mark.parametrize(
    "head",
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{"id":0,"result":"r"}',
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        b'15\r\n{"id":0,"result":"r"}\r\n',
        # Without a length, the end of the connection may be a break.
        b'HTTP/1.1 200 OK\r\n\r\n{"id":0,"result":"r"}',
    ],
)
def test_a_response_that_breaks_off_is_no_answer(head):
    # Its bytes are a whole JSON document, so only the framing tells.
    (answer,), _, _ = run_calls(
        head, schema_settings.UpstreamSettings(), 1, BrokenOffSearcher
    )
    assert answer.outcome == OUTCOME.FAILED


class OneTimeSearcher:
    """Sends the same bytes for each request, then closes the connection."""

    def __init__(self, data: bytes):
        self.data = data
        self.sent_bytes = 0

    async def serve(self, reader, writer):
        await reader.read(4096)
        writer.write(self.data)
        writer.close()


@pytest.mark.parametrize(
    "data",
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 22\r\n\r\n{"id":0,"result":"x"} ',
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nx",
        b"oops\r\n\r\n",
        b"",
    ],
)
def test_a_closed_connection_leaves_nothing_for_a_garbage_collection(data):
    async def body():
        searcher = OneTimeSearcher(data)
        server = await asyncio.start_server(searcher.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = make_pool(port, schema_settings.UpstreamSettings())
        try:
            with garbage.left_behind() as kinds:
                await asyncio.gather(*(send(pool, number) for number in (0, 1)))
                await asyncio.sleep(0.1)
            return kinds
        finally:
            pool.close()
            server.close()

    assert asyncio.run(body()) == []


def test_a_call_that_keeps_little_costs_no_record_of_memory(monkeypatch):
    # Two records for each cost 3% of the path's processor time.
    records = []
    monkeypatch.setattr(
        _response_memory.ResponseMemory,
        "record",
        lambda self, *kept: records.append(kept),
    )
    body = b'{"id":0,"result":"x"}'
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)

    async def scenario():
        searcher = OneTimeSearcher(head + body)
        server = await asyncio.start_server(searcher.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = make_pool(port, schema_settings.UpstreamSettings())
        try:
            return await send(pool, 0)
        finally:
            pool.close()
            server.close()

    assert asyncio.run(scenario()).outcome == OUTCOME.ANSWERED
    assert records == []


def test_a_request_that_is_not_sent_yet_counts_until_it_is():
    async def scenario():
        unread = asyncio.Event()

        async def serve(reader, writer):
            try:
                await unread.wait()
                while await reader.read(1_000_000):
                    pass
            except ConnectionError:
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1000)
        account = limits.MemoryAccount()
        channel = _connection._Channel(_calls.UpstreamCounters(), account)
        port = server.sockets[0].getsockname()[1]
        await asyncio.get_running_loop().create_connection(
            lambda: channel, "127.0.0.1", port
        )
        call = _calls.Call(
            1, bytes(16_000_000), "acme", 0, codec.decode_run_answer, print
        )
        channel.send(call)
        kept_bytes = account.kept_bytes
        unread.set()
        async with asyncio.timeout(5):
            while account.kept_bytes:
                await asyncio.sleep(0.01)
        channel.close()
        await asyncio.sleep(0.02)
        server.close()
        return kept_bytes

    assert asyncio.run(scenario()) > 1_000_000
