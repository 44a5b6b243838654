"""A loopback proxy that delays, resets, silences or refuses connections."""

import asyncio
import contextlib
import random

from tests.platform import deployment as deployments

BUFFER_BYTES = 65536


class Proxy:
    """Stands before one address.

    Args:
      port: Port of what stands behind.
    """

    def __init__(self, port):
        self.behind = port
        self.mode = "pass"
        self.delay_s = 0.0
        self.server = None
        self.writers = set()

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, deployments.HOST, 0
        )

    async def close(self):
        self.server.close()
        self.reset()

    def set_mode(self, mode, delay_s=0.0):
        """Takes `pass`, `refuse`, `mute` (no answers) or `deaf` (no requests).

        `reset` breaks all connections once and goes on passing.
        """
        self.delay_s = delay_s
        if mode in ("reset", "refuse"):
            self.reset()
        self.mode = "pass" if mode == "reset" else mode

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            there = await asyncio.open_connection(deployments.HOST, self.behind)
            self.writers.add(there[1])
            ways = [
                asyncio.create_task(self.copy(reader, there[1], "deaf")),
                asyncio.create_task(self.copy(there[0], writer, "mute")),
            ]
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            for way in ways:
                way.cancel()
            there[1].transport.abort()
            self.writers.discard(there[1])
        except OSError:
            # What stands behind is gone: so is this connection.
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def copy(self, reader, writer, silencing):
        with contextlib.suppress(OSError):
            while data := await reader.read(BUFFER_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s * random.random())
                while self.mode == silencing:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
