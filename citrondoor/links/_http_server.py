"""HTTP/1.1 connections of callers: one task each, one request at a time.

starlette and uvicorn answer oversized and slow requests themselves and do not
tell when a caller leaves before its answer: this server does.
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
DEFAULT_LIMITS = serving.CallerLimits(16_384, 262_144, 5_000, 75_000)
# Whole requests that wait on one connection before reading pauses.
MAX_PIPELINED = 16
# `tcpi_rtt` of Linux's `struct tcp_info`: where it is, and how much is read.
_ROUND_TRIP = struct.Struct("I")
_ROUND_TRIP_OFFSET = 68
_US_PER_MS = 1000


class Handler(typing.Protocol):
    """Answers requests."""

    async def handle(
        self, request: http1.Request, disconnected: asyncio.Future
    ) -> http1.Response | None:
        """Returns the response, or None when the caller has left."""

    def refuse(self, error: http1.ProtocolError) -> http1.Response:
        """Returns the response to bytes that are no request."""


class _Channel(asyncio.Protocol):
    """Splits what a caller sends into requests."""

    __slots__ = (
        "_arrived",
        "_error",
        "_is_stopping",
        "_reader",
        "_requests",
        "_writable",
        "disconnected",
        "transport",
    )

    def __init__(self, limits: serving.CallerLimits, on_open):
        self._reader = http1.RequestReader(
            limits.max_header_bytes, limits.max_body_bytes
        )
        self._requests: collections.deque[http1.Request] = collections.deque()
        self._arrived: asyncio.Future | None = None
        self._writable: asyncio.Future | None = None
        self._error: http1.ProtocolError | None = None
        self._is_stopping = False
        self.disconnected = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None
        on_open(self)

    def connection_made(self, transport) -> None:
        """Takes the open transport; called by the event loop."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Takes bytes; called by the event loop."""
        if self._error is not None:
            return
        try:
            self._requests.extend(self._reader.feed(data))
        except http1.ProtocolError as error:
            self._error = error
        if len(self._requests) > MAX_PIPELINED:
            self.transport.pause_reading()
        if self._reader.expects_continue and self._reader.is_in_body:
            self._reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._wake()

    def eof_received(self) -> None:
        """Notes that the caller leaves; called by the event loop."""
        self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the caller has left; called by the event loop."""
        self._leave()

    @property
    def is_busy_reading(self) -> bool:
        """Whether a request has begun to arrive and is not whole."""
        return self._reader.is_in_head or self._reader.is_in_body

    async def next_request(
        self, idle_ms: int, whole_ms: int
    ) -> http1.Request | None:
        """Returns the next request; None after an idle time or the end.

        Args:
          idle_ms: Longest wait for its first byte.
          whole_ms: Longest wait from then until it is whole.

        Raises:
          http1.ProtocolError: The bytes are no request, or came too slowly.
        """
        while not self._requests:
            if self._error is not None:
                raise self._error
            if self.disconnected.done():
                return None
            if self._is_stopping and not self.is_busy_reading:
                return None
            was_reading = self.is_busy_reading
            limit_ms = whole_ms if was_reading else idle_ms
            if not await self._wait(limit_ms):
                if self._requests:
                    break
                if was_reading or self.is_busy_reading:
                    raise http1.ProtocolError(408, "a request that stalls")
                return None
        self.transport.resume_reading()
        return self._requests.popleft()

    async def _wait(self, limit_ms: int) -> bool:
        self._arrived = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(limit_ms / clocks.MS_PER_S):
                await self._arrived
        except TimeoutError:
            return False
        return True

    def round_trip_ms(self) -> int:
        """Returns the time of a packet to the caller and back, rounded up.

        It is 0 when the caller has closed the connection.
        """
        if self.transport.is_closing():
            return 0
        info = self.transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_INFO,
            _ROUND_TRIP_OFFSET + _ROUND_TRIP.size,
        )
        (microseconds,) = _ROUND_TRIP.unpack_from(info, _ROUND_TRIP_OFFSET)
        return -(-microseconds // _US_PER_MS)

    def _leave(self) -> None:
        if not self.disconnected.done():
            self.disconnected.set_result(None)
        self._wake()

    def stop_waiting(self) -> None:
        """Takes no further request unless it has begun to arrive."""
        self._is_stopping = True
        self._wake()

    def _wake(self) -> None:
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)


class HttpServer:
    """Listens on one address.

    Args:
      handler: Answers requests.
      limits: Returns the limits in force, or None before any are known.
    """

    __slots__ = (
        "_channels",
        "_handler",
        "_is_closing",
        "_limits",
        "_server",
        "_tasks",
        "busy",
    )

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], serving.CallerLimits | None] = lambda: None,
    ):
        self._handler = handler
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._channels: set[_Channel] = set()
        self._tasks: set[asyncio.Task] = set()
        self._is_closing = False
        self.busy = 0

    @property
    def port(self) -> int:
        """TCP port that it listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Listens; port 0 takes a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Channel(self._limits() or DEFAULT_LIMITS, self._on_open),
            host,
            port,
            backlog=BACKLOG,
        )

    def begin_drain(self) -> None:
        """Tells callers with each answer to connect elsewhere next."""
        self._is_closing = True

    async def close(self, timeout_ms: int) -> None:
        """Ends: requests that were read are answered, idle callers leave."""
        self._is_closing = True
        self._server.close()
        for channel in list(self._channels):
            channel.stop_waiting()
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
        """Answers the requests of one connection until it closes."""
        # The protocol is made before its transport is.
        await asyncio.sleep(0)
        try:
            while await self._serve_one(channel):
                pass
        finally:
            self._channels.discard(channel)
            if channel.transport is not None:
                channel.transport.close()

    async def _serve_one(self, channel: _Channel) -> bool:
        """Answers one request; returns whether the connection stays."""
        limits = self._limits() or DEFAULT_LIMITS
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
        self.busy += 1
        try:
            response = await self._handler.handle(request, channel.disconnected)
        finally:
            self.busy -= 1
        if response is None or channel.transport.is_closing():
            return False
        keeps_alive = request.keeps_alive and not self._is_closing
        if request.method == b"HEAD":
            response.body = b""
        channel.transport.write(http1.encode_response(response, keeps_alive))
        return keeps_alive
