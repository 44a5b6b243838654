"""Serves the application; connections with slow heads are closed."""

import asyncio
import contextlib
import logging

import uvicorn
from uvicorn.protocols.http import httptools_impl

from citrondoor import clock as clocks
from citrondoor.schema import settings as schema_settings

KEEP_ALIVE_S = 75
BACKLOG = 1024
# Streams of requests that never end are cut after this time, at shutdown.
SHUTDOWN_TIMEOUT_S = 60


def guarded_protocol(header_timeout_ms: int, on_slow) -> type:
    """Returns a protocol class that closes connections with slow heads.

    Args:
      header_timeout_ms: Time for the head of a request, in milliseconds.
      on_slow: Called for each connection that was closed.
    """
    timeout_s = header_timeout_ms / clocks.MS_PER_S

    class GuardedProtocol(httptools_impl.HttpToolsProtocol):
        __slots__ = ("_head_timer",)

        def connection_made(self, transport) -> None:
            super().connection_made(transport)
            self._head_timer = self.loop.call_later(timeout_s, self._drop)

        def connection_lost(self, exc) -> None:
            self._head_timer.cancel()
            super().connection_lost(exc)

        def on_message_begin(self) -> None:
            super().on_message_begin()
            self._head_timer.cancel()
            self._head_timer = self.loop.call_later(timeout_s, self._drop)

        def on_headers_complete(self) -> None:
            self._head_timer.cancel()
            super().on_headers_complete()

        def _drop(self) -> None:
            on_slow()
            self.transport.abort()

    return GuardedProtocol


class _Server(uvicorn.Server):
    """A server whose signals are handled by the daemon."""

    __slots__ = ()

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class ApiServer:
    """Listens for callers.

    Args:
      app: The ASGI application.
      address: IP number.
      port: TCP port.
      settings: Limits of callers.
    """

    __slots__ = ("_server", "_task", "slow_count")

    def __init__(
        self,
        app,
        address: str,
        port: int,
        settings: schema_settings.CallerSettings,
    ):
        self.slow_count = 0
        # The daemon logs changes of state itself.
        logging.getLogger("uvicorn").setLevel(logging.ERROR)
        config = uvicorn.Config(
            app,
            host=address,
            port=port,
            loop="asyncio",
            http=guarded_protocol(settings.header_timeout_ms, self._on_slow),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
            backlog=BACKLOG,
        )
        self._server = _Server(config)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts listening."""
        self._task = asyncio.create_task(self._server.serve())

    async def wait_port(self) -> int:
        """Returns the TCP port once it listens; for port 0."""
        while not self._server.started:
            await asyncio.sleep(0)
        return self._server.servers[0].sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Ends after the requests in flight have been answered."""
        self._server.should_exit = True
        await self._task

    def _on_slow(self) -> None:
        self.slow_count += 1
