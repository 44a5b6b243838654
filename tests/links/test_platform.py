import asyncio

import pytest

from citrondoor import errors
from citrondoor import links
from citrondoor.schema import settings as schema_settings

LATE = b'{"changes": [{"key": "zones", "revision": 9, "value": ""}]}'
PROMPT = b'{"live": ["vm-0"], "leaving": []}'


def reply(body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class LatePlatform:
    """Answers the first request only when the second one has come."""

    def __init__(self):
        self.connections = 0
        self.second = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if number == 1:
                    await self.second.wait()
                    writer.write(reply(LATE))
                else:
                    self.second.set()
                    writer.write(reply(PROMPT))
        except (EOFError, OSError):
            writer.close()


async def ask_twice() -> tuple[LatePlatform, object]:
    platform = LatePlatform()
    server = await asyncio.start_server(platform.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    settings = schema_settings.PlatformSettings(
        url=f"http://127.0.0.1:{port}", watch_ms=0, timeout_ms=50
    )
    client = links.PlatformClient(settings)
    with pytest.raises(errors.PlatformError, match="stays"):
        await client.watch(0)
    listed = await client.list_vms()
    await client.close()
    server.close()
    return platform, listed


def test_a_late_response_is_not_taken_for_the_next_one():
    platform, listed = asyncio.run(ask_twice())
    assert listed.live == ["vm-0"]
    assert platform.connections == 2


def test_an_unreachable_platform_is_one_typed_error():
    async def ask():
        settings = schema_settings.PlatformSettings(url="http://127.0.0.1:9")
        client = links.PlatformClient(settings)
        await client.watch(0)

    with pytest.raises(errors.PlatformError, match=r"platform\.url"):
        asyncio.run(ask())
