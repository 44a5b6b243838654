"""A loopback proxy that delays, holds back, resets or refuses connections.

It can also make a searcher stutter: send some responses a second time, and
break off responses and go on with another one on the same connection.
"""

import asyncio
import contextlib
import random

from tests.platform import deployment as deployments

BUFFER_BYTES = 65536
# Largest delay of a second copy of a response, in seconds.
MAX_COPY_DELAY_S = 0.03


class Stutter:
    """Spoils some of the responses that pass through one connection.

    Each piece of data is taken for a whole response, as searchers write them.

    Args:
      share: Share of the responses that are spoiled.
      rng: Random number generator.
    """

    def __init__(self, share, rng):
        self.share = share
        self.rng = rng
        # What is sent before the next response.
        self.kept = b""

    def spoil(self, response):
        """Returns what is sent now, and what is sent a little later."""
        now, self.kept = self.kept + response, b""
        if self.rng.random() >= self.share:
            return now, b""
        broken_off = response[: self.rng.randrange(1, len(response))]
        copy = self.rng.choice([response, broken_off])
        moment = self.rng.choice(["late", "expected", "first"])
        if moment == "late":
            return now, copy
        if moment == "expected":
            self.kept = copy
            return now, b""
        # The response breaks off, and comes again as a whole.
        return now[: -len(response)] + broken_off + response, b""


class Proxy:
    """Forwards connections to one port.

    Args:
      port: Port of the server that connections are forwarded to.
    """

    def __init__(self, port):
        self.target_port = port
        self.mode = "pass"
        self.delay_s = 0.0
        # Answers without end to all requests, instead of the server's.
        self.endless = None
        self.stutter_share = 0.0
        self.stutter_rng = random.Random(port)
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
                asyncio.create_task(
                    self.copy(reader, target[1], "deaf", writer)
                ),
                asyncio.create_task(
                    self.copy(target[0], writer, "mute", target[1])
                ),
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

    async def copy(self, reader, writer, hold_mode, back_writer):
        stutter = Stutter(0.0, self.stutter_rng)
        is_response = hold_mode == "mute"
        with contextlib.suppress(OSError):
            while data := await reader.read(BUFFER_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s * random.random())
                while self.mode == hold_mode:
                    await asyncio.sleep(0.02)
                if self.endless is not None and not is_response:
                    await self.endless.send(data, back_writer)
                    return
                late = b""
                if is_response:
                    stutter.share = self.stutter_share
                    data, late = stutter.spoil(data)
                writer.write(data)
                await writer.drain()
                if late:
                    delay_s = MAX_COPY_DELAY_S * self.stutter_rng.random()
                    await asyncio.sleep(delay_s)
                    writer.write(late)
