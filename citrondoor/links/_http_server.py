"""HTTP/1.1 server: one task for each connection, one request at a time.

starlette and uvicorn answer oversized and slow requests themselves, and do not
report that a caller has disconnected before its answer. This server leaves the
responses to malformed, oversized and stalled requests to the handler's `refuse`
and passes the handler a future that completes when the caller disconnects.
"""

import asyncio
import collections
import socket
import struct
import typing
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor.codecs import http1
from citrondoor.schema import serving

BACKLOG = 1024
# Limits until the daemon has read its configuration: bytes of a head and of a
# body, and timeouts in ms of an incomplete request and of an idle connection.
DEFAULT_LIMITS = serving.CallerLimits(16_384, 262_144, 5_000, 75_000)
# Complete requests that may be queued on one connection; with more, the server
# stops reading from it.
MAX_PIPELINED_REQUESTS = 16
# Type and byte offset of `tcpi_rtt` (microseconds) in Linux's
# `struct tcp_info`.
_TCP_INFO_RTT = struct.Struct("I")
_TCP_INFO_RTT_OFFSET = 68
_US_PER_MS = 1000


class Handler(typing.Protocol):
    """Produces the responses of a server."""

    async def handle(
        self, request: http1.Request, disconnected: asyncio.Future
    ) -> http1.Response | None:
        """Returns the response, or None if the caller has disconnected.

        Args:
          request: The complete request.
          disconnected: Completes when the caller disconnects.
        """

    def refuse(self, error: http1.ProtocolError) -> http1.Response:
        """Returns the response to a malformed, oversized or stalled request."""


class _Channel(asyncio.Protocol):
    """Parses the requests of one connection and queues them."""

    __slots__ = (
        "_error",
        "_is_stopping",
        "_reader",
        "_requests",
        "_wake_future",
        "_writable",
        "disconnected",
        "transport",
    )

    def __init__(self, limits: serving.CallerLimits, on_open):
        self._reader = http1.RequestReader(
            limits.max_header_bytes, limits.max_body_bytes
        )
        self._requests: collections.deque[http1.Request] = collections.deque()
        self._wake_future: asyncio.Future | None = None
        self._writable: asyncio.Future | None = None
        self._error: http1.ProtocolError | None = None
        self._is_stopping = False
        self.disconnected = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None
        on_open(self)

    def connection_made(self, transport) -> None:
        """Stores the open transport; called by the event loop."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; called by the event loop."""
        if self._error is not None:
            return
        try:
            self._requests.extend(self._reader.feed(data))
        except http1.ProtocolError as error:
            self._error = error
        if len(self._requests) > MAX_PIPELINED_REQUESTS:
            self.transport.pause_reading()
        if self._reader.expects_continue and self._reader.is_in_body:
            self._reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._wake()

    def eof_received(self) -> None:
        """Marks the caller as disconnected; called by the event loop."""
        self._mark_disconnected()

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the caller as disconnected; called by the event loop."""
        self._mark_disconnected()

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has been received in part only."""
        return self._reader.is_in_head or self._reader.is_in_body

    async def next_request(
        self, idle_timeout_ms: int, request_timeout_ms: int
    ) -> http1.Request | None:
        """Returns the next request, or None if the connection should close.

        It should close when it has been idle for too long, when the caller has
        disconnected, and when the server stops and no request is in progress.

        Args:
          idle_timeout_ms: Time limit for the first bytes of the request.
          request_timeout_ms: Time limit, while it is incomplete, for more bytes
            of the request.

        Raises:
          http1.ProtocolError: The request is malformed, over a limit or
            stalled.
        """
        while not self._requests:
            if self._error is not None:
                raise self._error
            if self.disconnected.done():
                return None
            if self._is_stopping and not self.has_partial_request:
                return None
            was_partial = self.has_partial_request
            timeout_ms = request_timeout_ms if was_partial else idle_timeout_ms
            if not await self._wait(timeout_ms):
                if self._requests:
                    break
                if was_partial or self.has_partial_request:
                    raise http1.ProtocolError(408, "a request that stalls")
                return None
        self.transport.resume_reading()
        return self._requests.popleft()

    async def _wait(self, timeout_ms: int) -> bool:
        self._wake_future = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_ms / clocks.MS_PER_S):
                await self._wake_future
        except TimeoutError:
            return False
        return True

    def round_trip_ms(self) -> int:
        """Returns the kernel's estimate of the round-trip time, rounded up.

        It is 0 if the connection is closing.
        """
        if self.transport.is_closing():
            return 0
        info = self.transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_INFO,
            _TCP_INFO_RTT_OFFSET + _TCP_INFO_RTT.size,
        )
        (microseconds,) = _TCP_INFO_RTT.unpack_from(info, _TCP_INFO_RTT_OFFSET)
        return -(-microseconds // _US_PER_MS)

    def _mark_disconnected(self) -> None:
        if not self.disconnected.done():
            self.disconnected.set_result(None)
        self._wake()

    def finish(self) -> None:
        """Closes the connection after the requests that have already begun."""
        self._is_stopping = True
        self._wake()

    def _wake(self) -> None:
        if self._wake_future is not None and not self._wake_future.done():
            self._wake_future.set_result(None)


class HttpServer:
    """HTTP/1.1 server on one address.

    Args:
      handler: Produces the responses.
      get_limits: Returns the active limits, or None before any are known;
        `DEFAULT_LIMITS` apply then.
    """

    __slots__ = (
        "_channels",
        "_get_limits",
        "_handler",
        "_is_draining",
        "_server",
        "_tasks",
        "active_requests",
    )

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], serving.CallerLimits | None] = lambda: None,
    ):
        self._handler = handler
        self._get_limits = get_limits
        self._server: asyncio.Server | None = None
        self._channels: set[_Channel] = set()
        self._tasks: set[asyncio.Task] = set()
        self._is_draining = False
        self.active_requests = 0

    @property
    def port(self) -> int:
        """TCP port on which the server listens."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Starts to listen; port 0 selects a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Channel(
                self._get_limits() or DEFAULT_LIMITS, self._on_open
            ),
            host,
            port,
            backlog=BACKLOG,
        )

    def begin_drain(self) -> None:
        """Closes each connection after its next response.

        The response says `connection: close`, so that the caller connects to
        another daemon. New connections are still accepted.
        """
        self._is_draining = True

    async def close(self, timeout_ms: int) -> None:
        """Stops listening, closes idle connections and waits for the others.

        Requests that have begun to arrive are still answered.

        Args:
          timeout_ms: Longest wait; connections that are still busy after it are
            not aborted.
        """
        self._is_draining = True
        self._server.close()
        for channel in list(self._channels):
            channel.finish()
        if self._tasks:
            await asyncio.wait(
                list(self._tasks), timeout=timeout_ms / clocks.MS_PER_S
            )

    def _on_open(self, channel: _Channel) -> None:
        task = asyncio.create_task(self._serve(channel))
        self._channels.add(channel)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel: _Channel) -> None:
        """Serves the requests of one connection until it closes."""
        # This task is started when the protocol object is made; the event loop
        # calls `connection_made`, which sets the transport, one step later.
        await asyncio.sleep(0)
        try:
            while await self._serve_one(channel):
                pass
        finally:
            self._channels.discard(channel)
            if channel.transport is not None:
                channel.transport.close()

    async def _serve_one(self, channel: _Channel) -> bool:
        """Serves one request; returns whether the connection stays open."""
        limits = self._get_limits() or DEFAULT_LIMITS
        try:
            request = await channel.next_request(
                limits.idle_timeout_ms, limits.header_timeout_ms
            )
        except http1.ProtocolError as error:
            response = self._handler.refuse(error)
            channel.transport.write(http1.encode_response(response, False))
            return False
        if request is None:
            return False
        request.round_trip_ms = channel.round_trip_ms()
        self.active_requests += 1
        try:
            response = await self._handler.handle(request, channel.disconnected)
        finally:
            self.active_requests -= 1
        if response is None or channel.transport.is_closing():
            return False
        keeps_alive = request.keeps_alive and not self._is_draining
        if request.method == b"HEAD":
            response.body = b""
        channel.transport.write(http1.encode_response(response, keeps_alive))
        return keeps_alive
