import asyncio
import contextlib
import tracemalloc

import pytest

from citrondoor import errors
from citrondoor import limits
from citrondoor import links
from citrondoor.links import _json_client
from citrondoor.schema import serving
from tests import garbage

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
# What a response begins with, and what follows without end.
ENDLESS = {
    "tiny chunks": (CHUNKED, b"1\r\n \r\n" * 10_000),
    "chunks": (CHUNKED, b"8000\r\n" + b" " * 32_768 + b"\r\n"),
    "body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b" " * 65_536),
    "head": (b"HTTP/1.1 200 OK\r\nx-a: ", b"a" * 65_536),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"a:\r\n" * 16_384),
}


@contextlib.asynccontextmanager
async def serve(first: bytes, following: bytes, times: int):
    """Yields the port of a server that answers so, and then closes."""
    tasks = set()

    async def respond(reader, writer):
        tasks.add(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            for _ in range(times):
                writer.write(following)
                await writer.drain()
            await reader.read()
        except OSError:
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The loop closes the aborted transports in its next step.
        await asyncio.sleep(0.01)


def make_client(port, account=None):
    return links.JsonClient(
        f"http://127.0.0.1:{port}", 10_000, "`store.address`", account
    )


@pytest.mark.parametrize("name", ENDLESS)
def test_a_response_without_end_fails_whatever_its_framing(name):
    async def body():
        account = limits.MemoryAccount(2**30)
        async with serve(*ENDLESS[name], 10_000) as port:
            tracemalloc.start()
            with pytest.raises(errors.PlatformError, match=r"over \d+ bytes"):
                await make_client(port, account).get("/")
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        return account.kept_bytes, peak_bytes

    kept_bytes, peak_bytes = asyncio.run(body())
    assert kept_bytes == 0
    assert peak_bytes < 100_000_000


@pytest.mark.parametrize("status", [b"000", b"600"])
def test_a_response_with_a_status_of_no_response_fails_at_once(status):
    # Guards against a read of the store that waits for its time limit.
    head = b"HTTP/1.1 %b Odd\r\ncontent-length: 2\r\n\r\n{}" % status

    async def body():
        async with serve(head, b"", 0) as port, asyncio.timeout(2):
            with pytest.raises(errors.PlatformError, match=status.decode()):
                await make_client(port).get("/")

    asyncio.run(body())


def test_overlapping_responses_give_way_to_the_limit_of_all_messages():
    async def body():
        account = limits.MemoryAccount(2_000_000)
        async with serve(*ENDLESS["body without a length"], 10_000) as port:
            client = make_client(port, account)
            results = await asyncio.gather(
                *(client.get("/") for _ in range(4)), return_exceptions=True
            )
        return account, results

    account, results = asyncio.run(body())
    assert all(isinstance(r, errors.PlatformError) for r in results)
    assert any("too much memory" in str(r) for r in results)
    assert account.gave_way_counts[serving.Sender.STORE] > 0
    assert account.kept_bytes == 0
    assert account.peak_bytes < 3_000_000


def test_json_that_is_large_once_decoded_fails():
    data = b"[" + b"[]," * 500_000 + b"[]]"
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(data)

    async def body():
        async with serve(head, data, 1) as port:
            with pytest.raises(errors.PlatformError, match="bytes decoded"):
                await make_client(port).get("/")

    assert len(data) < _json_client.MAX_RESPONSE_BYTES
    asyncio.run(body())


@pytest.mark.parametrize("name", ["answer", *ENDLESS])
def test_a_request_leaves_nothing_for_a_garbage_collection(name):
    answer = (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", b"")
    first, following = ENDLESS.get(name, answer)

    async def body():
        async with serve(first, following, 200) as port:
            with contextlib.suppress(errors.PlatformError):
                await make_client(port).get("/a")

    with garbage.left_behind() as kinds:
        asyncio.run(body())
    assert kinds == []


def test_tiny_chunks_of_a_response_do_not_hold_up_everything_else():
    async def body():
        loop = asyncio.get_running_loop()
        late_s = 0.0
        async with serve(*ENDLESS["tiny chunks"], 10_000) as port:
            client = make_client(port)

            async def read_forever():
                while True:
                    with contextlib.suppress(errors.PlatformError):
                        await client.get("/")

            task = asyncio.create_task(read_forever())
            end_at = loop.time() + 1
            while loop.time() < end_at:
                due_at = loop.time() + 0.005
                await asyncio.sleep(0.005)
                late_s += loop.time() - due_at
            task.cancel()
            await asyncio.wait((task,))
        return late_s

    assert asyncio.run(body()) < 0.4


def test_a_response_of_few_tiny_chunks_is_read_whole():
    async def body():
        following = b"1\r\n \r\n" * 8000 + b"2\r\n{}\r\n0\r\n\r\n"
        async with serve(CHUNKED, following, 1) as port:
            return await make_client(port).get("/")

    assert asyncio.run(body()) == {}
