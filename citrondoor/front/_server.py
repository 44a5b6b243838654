"""HTTP server of the API, on top of uvicorn.

Closes connections whose request head does not arrive in time, and those that
send too much that is not part of a body.
"""

import asyncio
import contextlib
import logging
import socket

import uvicorn
from uvicorn.protocols.http import httptools_impl

from citrondoor import clock as clocks
from citrondoor import limits
from citrondoor.codecs import http1
from citrondoor.schema import settings as schema_settings

# uvicorn closes a connection that is idle this long after a response.
KEEP_ALIVE_S = 75
# Maximum number of connections that the kernel queues until they are accepted.
BACKLOG = 1024
# Bytes of one request that are not part of its body: its head, chunk extensions
# and trailers. uvicorn joins the pieces of a header again and again, and has no
# limit of its own.
MAX_HEAD_BYTES = 65_536
# uvicorn cancels requests that are unfinished this long after shutdown began.
# Without it, one request that never ends would block the shutdown.
SHUTDOWN_TIMEOUT_S = 60


class _Gate:
    """Admits connections, and counts those that are open.

    Args:
      bound: Bounds them; None for no bound.
      turn_away: ASGI application that refuses the requests of those beyond.
    """

    __slots__ = ("_bound", "_counts", "_turn_away")

    def __init__(self, bound: limits.ConnectionBound | None, turn_away):
        self._bound = bound
        self._turn_away = turn_away
        self._counts = dict.fromkeys(limits.Admission, 0)

    def admit(self) -> limits.Admission:
        """Decides on a new connection, which counts as open from now on."""
        admission = limits.Admission.SERVE
        if self._bound is not None:
            admission = self._bound.admit(
                self._counts[limits.Admission.SERVE],
                self._counts[limits.Admission.REFUSE],
            )
        self._counts[admission] += 1
        return admission

    def release(self, admission: limits.Admission) -> None:
        """Records that a connection has closed."""
        self._counts[admission] -= 1

    async def refuse(self, scope, receive, send) -> None:
        """Refuses a request of a connection beyond the bound."""
        self._bound.record_refusal()
        await self._turn_away(scope, receive, send)


def make_protocol_class(
    header_timeout_ms: int, on_header_timeout, on_oversized, gate: _Gate
) -> type:
    """Returns a uvicorn protocol class that limits heads in time and size.

    It also keeps to the bound of connections.

    The timer starts when the connection opens, restarts at the first byte of
    each request and stops when the request's head is complete.

    Args:
      header_timeout_ms: Time for the head of a request, in milliseconds.
      on_header_timeout: Called without arguments for each connection that is
        closed because of the timeout.
      on_oversized: Called without arguments for each connection that is closed
        because of `MAX_HEAD_BYTES`.
      gate: Admits connections.
    """
    timeout_s = header_timeout_ms / clocks.MS_PER_S

    class HeaderTimeoutProtocol(httptools_impl.HttpToolsProtocol):
        __slots__ = ("_admission", "_header_timer", "_meter")

        def connection_made(self, transport) -> None:
            super().connection_made(transport)
            self._admission = gate.admit()
            if self._admission is limits.Admission.REFUSE:
                self.app = gate.refuse
            elif self._admission is not limits.Admission.SERVE:
                transport.abort()
            self._meter = http1.FramingMeter(MAX_HEAD_BYTES)
            self._header_timer = self.loop.call_later(
                timeout_s, self._abort_connection
            )

        def connection_lost(self, exc) -> None:
            gate.release(self._admission)
            self._header_timer.cancel()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            if self.transport.is_closing():
                return
            self._meter.record_received(len(data))
            super().data_received(data)
            if self._meter.is_over_limit:
                on_oversized()
                self.transport.abort()

        def on_body(self, body: bytes) -> None:
            self._meter.record_body(len(body))
            super().on_body(body)

        def on_message_complete(self) -> None:
            self._meter.reset()
            super().on_message_complete()

        def on_message_begin(self) -> None:
            super().on_message_begin()
            self._header_timer.cancel()
            self._header_timer = self.loop.call_later(
                timeout_s, self._abort_connection
            )

        def on_headers_complete(self) -> None:
            self._header_timer.cancel()
            super().on_headers_complete()

        def _abort_connection(self) -> None:
            on_header_timeout()
            self.transport.abort()

    return HeaderTimeoutProtocol


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers; the daemon has its own."""

    __slots__ = ()

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class ApiServer:
    """Serves the HTTP API on a listening socket.

    Args:
      app: The ASGI application.
      settings: Timeouts and limits for callers' requests.
      bound: Bounds the open connections; None for no bound.
      turn_away: ASGI application that refuses the requests of connections
        beyond the bound.

    Attributes:
      header_timeout_count: Connections closed because a request head did not
        arrive in time.
      oversized_count: Connections closed because of `MAX_HEAD_BYTES`.
    """

    __slots__ = ("_server", "_task", "header_timeout_count", "oversized_count")

    def __init__(
        self,
        app,
        settings: schema_settings.CallerSettings,
        bound: limits.ConnectionBound | None = None,
        turn_away=None,
    ):
        self.header_timeout_count = 0
        self.oversized_count = 0
        # The daemon logs its state changes itself, so uvicorn logs only errors.
        logging.getLogger("uvicorn").setLevel(logging.ERROR)
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=make_protocol_class(
                settings.header_timeout_ms,
                self._on_header_timeout,
                self._on_oversized,
                _Gate(bound, turn_away),
            ),
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

    def serve(self, listener: socket.socket) -> None:
        """Serves the connections of a listening socket in a task."""
        self._task = asyncio.create_task(self._server.serve(sockets=[listener]))

    async def wait_port(self) -> int:
        """Waits until the server listens and returns its actual TCP port."""
        while not self._server.started:
            await asyncio.sleep(0)
        return self._server.servers[0].sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops accepting connections and waits for the requests in flight.

        Waits at most SHUTDOWN_TIMEOUT_S.
        """
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    def _on_header_timeout(self) -> None:
        self.header_timeout_count += 1

    def _on_oversized(self) -> None:
        self.oversized_count += 1
