import asyncio
import gc
import socket
import weakref

import pytest

from citrondoor import clock as clocks
from citrondoor import limits
from citrondoor import links
from citrondoor.links import _calls
from citrondoor.links import _connection
from citrondoor.links import _http_searcher
from citrondoor.links import _http_server


async def connect(channel, port):
    await asyncio.get_running_loop().create_connection(
        lambda: channel, "127.0.0.1", port
    )
    return channel.transport


async def close_caller_connection(port):
    channel = _http_server._Channel(
        _http_server.DEFAULT_LIMITS,
        limits.MemoryAccount(),
        links.ReadTurns(clocks.Clock()),
    )
    transport = await connect(channel, port)
    channel.release()
    transport.close()
    return weakref.ref(transport)


async def close_searcher_connection(port):
    channel = _http_searcher._Channel(
        limits.MemoryAccount(),
        links.ReadTurns(clocks.Clock()),
        _http_searcher._ReadSize(),
    )
    transport = await connect(channel, port)
    channel.close()
    return weakref.ref(transport)


async def close_own_searcher_connection(port):
    channel = _connection._Channel(
        _calls.UpstreamCounters(), limits.MemoryAccount()
    )
    transport = await connect(channel, port)
    channel.close()
    return weakref.ref(transport)


async def close_stream(port):
    _, writer = await links.open_connection("127.0.0.1", port)
    writer.close()
    return weakref.ref(writer.transport)


@pytest.mark.parametrize(
    "open_and_close",
    [
        close_caller_connection,
        close_searcher_connection,
        close_own_searcher_connection,
        close_stream,
    ],
)
def test_a_closed_connection_does_not_keep_its_transport(open_and_close):
    async def body():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            reference = await open_and_close(listener.getsockname()[1])
            await asyncio.sleep(0.02)
            return reference()

    gc.disable()
    try:
        assert asyncio.run(body()) is None
    finally:
        gc.enable()
