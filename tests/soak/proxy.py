"""A loopback proxy that delays, holds back, resets or refuses connections."""

import asyncio
import contextlib
import random

from tests.platform import deployment as deployments

BUFFER_BYTES = 65536


class Proxy:
    """Forwards connections to one port.

    Args:
      port: Port of the server that connections are forwarded to.
    """

    def __init__(self, port):
        self.target_port = port
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
        """Sets the fault for open and new connections.

        Args:
          mode: `pass` forwards all data. `refuse` aborts open and new
            connections. `mute` holds back responses and `deaf` holds back
            requests, until the mode changes. `reset` aborts open connections
            once and then acts as `pass`.
          delay_s: Maximum of the random delay of each piece of data.
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
            target = await asyncio.open_connection(
                deployments.HOST, self.target_port
            )
            self.writers.add(target[1])
            copy_tasks = [
                asyncio.create_task(self.copy(reader, target[1], "deaf")),
                asyncio.create_task(self.copy(target[0], writer, "mute")),
            ]
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
            for copy_task in copy_tasks:
                copy_task.cancel()
            target[1].transport.abort()
            self.writers.discard(target[1])
        except OSError:
            # The server is down: the connection is closed without a response.
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def copy(self, reader, writer, hold_mode):
        with contextlib.suppress(OSError):
            while data := await reader.read(BUFFER_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s * random.random())
                while self.mode == hold_mode:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
