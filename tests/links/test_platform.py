import asyncio

import pytest

from citrondoor import errors
from citrondoor import links
from citrondoor.schema import settings as schema_settings

LATE_CHANGES = b'{"changes": [{"key": "zones", "revision": 9, "value": ""}]}'
VM_LIST = b'{"live": ["vm-0"], "leaving": []}'


def encode_response(body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class SlowPlatform:
    """Delays the response to the first request until the second one."""

    def __init__(self):
        self.connections = 0
        self.second_arrived = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if number == 1:
                    await self.second_arrived.wait()
                    writer.write(encode_response(LATE_CHANGES))
                else:
                    self.second_arrived.set()
                    writer.write(encode_response(VM_LIST))
        except (EOFError, OSError):
            # The client has closed the connection.
            pass
        finally:
            writer.close()


async def time_out_then_list_vms() -> tuple[SlowPlatform, object]:
    platform = SlowPlatform()
    server = await asyncio.start_server(platform.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    settings = schema_settings.PlatformSettings(
        url=f"http://127.0.0.1:{port}", watch_ms=0, timeout_ms=50
    )
    client = links.PlatformClient(settings)
    with pytest.raises(
        errors.PlatformError, match="last usable answer, if any, stays in use"
    ):
        await client.watch(0)
    vm_list = await client.list_vms()
    await client.close()
    server.close()
    return platform, vm_list


def test_a_late_response_is_not_matched_to_the_next_request():
    platform, vm_list = asyncio.run(time_out_then_list_vms())
    assert vm_list.live == ["vm-0"]
    assert platform.connections == 2


def test_an_unreachable_platform_raises_platform_error():
    async def watch():
        settings = schema_settings.PlatformSettings(url="http://127.0.0.1:9")
        client = links.PlatformClient(settings)
        await client.watch(0)

    with pytest.raises(errors.PlatformError, match=r"platform\.url"):
        asyncio.run(watch())
