"""HTTP/1.1 server: one task for each connection, one request at a time.

starlette and uvicorn answer oversized and slow requests themselves, and do not
report that a caller has disconnected before its answer. This server leaves the
responses to malformed, oversized and stalled requests to the handler's `refuse`
and passes the handler a future that completes when the caller disconnects.
"""

import asyncio
import collections
import contextlib
import fcntl
import http
import socket
import struct
import termios
import typing
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import limits as limiting
from citrondoor.codecs import http1
from citrondoor.links import _listening
from citrondoor.links import _read_turns
from citrondoor.links import _transports
from citrondoor.schema import serving

# Limits until the daemon has read its configuration: bytes of a head and of a
# body, and timeouts in ms of an incomplete request and of an idle connection.
DEFAULT_LIMITS = serving.CallerLimits(16_384, 262_144, 5_000, 75_000)
# Limits of servers whose requests need no body.
SMALL_LIMITS = serving.CallerLimits(8_192, 0, 5_000, 75_000)
# Complete requests that may be queued on one connection; with more, the server
# parses no further ones, and stops reading from it.
MAX_PIPELINED_REQUESTS = 16
# Received bytes are parsed in parts of this size, so that few requests are
# queued above the limit.
PARSED_AT_ONCE_BYTES = 4096
# Likewise for the first part of received bytes, which holds most requests, and
# for parts of a request that comes in tiny ones: the cost is known afterwards.
FIRST_PARSED_BYTES = 1024
DENSE_PARSED_BYTES = 512
# What the kernel may receive on a connection that waits for its turn.
WAITING_RECEIVE_BYTES = 16_384
# Bytes that are read at a time: a connection that may not go on keeps them.
MAX_READ_BYTES = 65_536
# An answer that the caller has not read after this time has no end in sight.
UNREAD_ANSWER_MS = 250
# After a refusal, the caller may go on sending for this long; closing the
# connection while bytes arrive would reset it and lose the refusal.
REFUSAL_LINGER_MS = 300
# Once the server no longer listens, a connection without a request stays open
# for this long: its caller may have connected or sent a request just before.
LATE_REQUEST_MS = 300
# Time limit of each wait for the request of a connection beyond the bound.
SURPLUS_TIMEOUT_MS = 1000
# Type and byte offset of `tcpi_rtt` (microseconds) in Linux's
# `struct tcp_info`.
_TCP_INFO_RTT = struct.Struct("I")
_TCP_INFO_RTT_OFFSET = 68
_US_PER_MS = 1000
_INT = struct.Struct("i")
_INTERNAL_ERROR = http.HTTPStatus.INTERNAL_SERVER_ERROR.value


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

    def turn_away(self, request: http1.Request) -> http1.Response:
        """Returns the refusal of a request on a connection beyond the bound.

        Handlers of servers whose bound allows no such connection have none.
        """


class _Channel(asyncio.Protocol):
    """Parses the requests of one connection and queues them.

    Args:
      limits: Limits of a head and of a body.
      account: Where the memory of requests and answers is recorded.
      turns: Turns of the connections that send wastefully.

    Attributes:
      disconnected: Completes when the caller disconnects.
      in_use: Holder of the request in progress, then of its answer until the
        caller has read it.
      transport: The open transport, or None.
    """

    __slots__ = (
        "_effort",
        "_error",
        "_head_began_at",
        "_is_waiting",
        "_queued_bytes",
        "_reader",
        "_received",
        "_requests",
        "_stop_at",
        "_turns",
        "_unparsed",
        "_first_waited_at",
        "_wake_future",
        "_writable",
        "disconnected",
        "in_use",
        "transport",
    )

    def __init__(
        self,
        limits: serving.CallerLimits,
        account: limiting.MemoryAccount,
        turns: _read_turns.ReadTurns,
    ):
        self._turns = turns
        self._effort = limiting.MessageEffort()
        # Whether it is not read until its turn comes.
        self._is_waiting = False
        # Of requests that are partly received or queued.
        self._received = account.open(serving.Sender.CALLER, self._give_way)
        self.in_use = account.open(serving.Sender.CALLER, self._abort)
        self._queued_bytes = 0
        self._unparsed = b""
        self._reader = http1.RequestReader(
            limits.max_header_bytes, limits.max_body_bytes
        )
        self._requests: collections.deque[http1.Request] = collections.deque()
        self._wake_future: asyncio.Future | None = None
        self._writable: asyncio.Future | None = None
        self._error: http1.ProtocolError | None = None
        # Times of the event loop in seconds, or None. The second is when the
        # request in part first waited for its turn; it is kept until the
        # request is complete, as it limits all the rest of it.
        self._head_began_at: float | None = None
        self._first_waited_at: float | None = None
        self._stop_at: float | None = None
        self.disconnected = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Stores the open transport; called by the event loop."""
        self.transport = transport
        # `drain` waits until the kernel has all bytes of an answer.
        transport.set_write_buffer_limits(high=0)
        transport.max_size = MAX_READ_BYTES

    def pause_writing(self) -> None:
        """Makes `drain` wait; called by the event loop."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Ends the wait of `drain`; called by the event loop."""
        self._end_drain()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; called by the event loop."""
        if self._error is not None:
            if not self._turns.spend_discarded(len(data)):
                self._wait_turn()
            return
        self._unparsed = self._unparsed + data if self._unparsed else data
        # Charged with the first part, unless that completes a request.
        self._reader.pieces += limiting.READ_PIECES
        self._parse()
        if self._unparsed:
            self.transport.pause_reading()
        self._wake()

    def _charge(self, pieces: int, byte_count: int) -> None:
        """Records the cost of reading or parsing; wasteful work may wait."""
        wasteful = self._effort.record(pieces, byte_count)
        if (
            wasteful
            and not self._turns.spend(wasteful)
            and not self.transport.is_closing()
        ):
            if self._first_waited_at is None:
                self._first_waited_at = asyncio.get_running_loop().time()
                self._read_less()
            self._wait_turn()

    def _read_less(self) -> None:
        """Keeps little of a connection that is not read for long times."""
        self.transport.max_size = DENSE_PARSED_BYTES
        self.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, WAITING_RECEIVE_BYTES
        )

    def _wait_turn(self) -> None:
        if self.transport.is_closing():
            return
        self._is_waiting = True
        self.transport.pause_reading()
        self._turns.wait(self._take_turn)

    def _take_turn(self) -> None:
        self._is_waiting = False
        if self._error is None:
            self._parse()
            self._wake()
        if not self._unparsed and not self._is_waiting:
            self.transport.resume_reading()

    def _leave_turns(self) -> None:
        if self._is_waiting:
            self._is_waiting = False
            self._turns.leave(self._take_turn)

    def _parse(self) -> None:
        """Parses received bytes, until enough requests are queued."""
        data, self._unparsed = self._unparsed, b""
        position = 0
        size = FIRST_PARSED_BYTES
        try:
            while (
                position < len(data)
                and len(self._requests) <= MAX_PIPELINED_REQUESTS
                and not self._is_waiting
            ):
                if self._effort.is_dense:
                    size = DENSE_PARSED_BYTES
                part = data[position : position + size]
                size = PARSED_AT_ONCE_BYTES
                position += len(part)
                requests = self._reader.feed(part)
                for request in requests:
                    self._requests.append(request)
                    self._queued_bytes += request.kept_bytes
                pieces, self._reader.pieces = self._reader.pieces, 0
                if requests:
                    self._effort.reset()
                    if self._first_waited_at is not None:
                        self._first_waited_at = None
                        self.transport.max_size = MAX_READ_BYTES
                else:
                    self._charge(pieces, len(part))
        except http1.ProtocolError as error:
            # A new one: the frames of a raised one keep the received bytes.
            self._fail(http1.ProtocolError(error.status, str(error)))
            return
        self._unparsed = data[position:]
        if not self._reader.is_in_head:
            self._head_began_at = None
        elif self._head_began_at is None:
            self._head_began_at = asyncio.get_running_loop().time()
        if self._reader.expects_continue and self._reader.is_in_body:
            self._reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._record_received()

    def _fail(self, error: http1.ProtocolError) -> None:
        """Keeps nothing of the request that is partly received."""
        self._error = error
        self._head_began_at = None
        self._unparsed = b""
        self._leave_turns()
        self._reader.drop()
        self._record_received()
        if self.transport is not None:
            # What follows is dropped; the kernel would keep it.
            self.transport.resume_reading()

    def _record_received(self) -> None:
        kept_bytes = (
            self._queued_bytes + self._reader.kept_bytes + len(self._unparsed)
        )
        if self._unparsed and not self.transport.is_closing():
            # The connection is not read meanwhile, and the kernel goes on
            # receiving.
            kept_bytes += self.transport.get_extra_info("socket").getsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF
            )
        if kept_bytes != self._received.kept_bytes:
            # Its caller may never send the rest of a request.
            self._received.record(kept_bytes, is_endless=True)

    def _give_way(self) -> None:
        """Drops the requests that have not begun; `next_request` raises."""
        self._requests.clear()
        self._queued_bytes = 0
        self._fail(
            http1.ProtocolError(
                503,
                "the messages of all senders need too much memory, and this"
                " connection's requests the most",
            )
        )
        self._wake()

    def _abort(self) -> None:
        self.transport.abort()

    def release(self) -> None:
        """Drops all that is kept of the connection's messages."""
        self._requests.clear()
        self._queued_bytes = 0
        # Replaces one that was raised, whose frames refer to this object.
        self._fail(http1.ProtocolError(400, "the connection is closed"))
        self._received.close()
        self.in_use.close()

    def eof_received(self) -> None:
        """Marks the caller as disconnected; called by the event loop."""
        self._mark_disconnected()

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the caller as disconnected; called by the event loop."""
        self._leave_turns()
        self._mark_disconnected()
        self._end_drain()
        _transports.release(self.transport)

    @property
    def has_queued_request(self) -> bool:
        """Whether a complete request waits for the one in progress."""
        return bool(self._requests)

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has been received in part only."""
        return (
            self._reader.is_in_head
            or self._reader.is_in_body
            or self._first_waited_at is not None
        )

    @property
    def is_receiving(self) -> bool:
        """Whether anything has been received that is not answered."""
        if self._requests or self._unparsed or self.has_partial_request:
            return True
        if self.transport is None or self.transport.is_closing():
            return False
        unread = bytearray(_INT.size)
        connection = self.transport.get_extra_info("socket")
        fcntl.ioctl(connection.fileno(), termios.FIONREAD, unread)
        return any(unread)

    async def next_request(
        self, idle_timeout_ms: int, request_timeout_ms: int
    ) -> http1.Request | None:
        """Returns the next request, or None if the connection should close.

        It should close when it has been idle for too long, when the caller has
        disconnected, and when the server stops and no request is in progress.

        Args:
          idle_timeout_ms: Time limit for the first bytes of the request.
          request_timeout_ms: Time limit for the whole head, and for each
            further part of the body.

        Raises:
          http1.ProtocolError: The request is malformed, over a limit or
            stalled.
        """
        while not self._requests:
            if self._error is not None:
                raise self._error
            if self.disconnected.done():
                return None
            was_partial = self.has_partial_request
            timeout_s = self._remaining_s(idle_timeout_ms, request_timeout_ms)
            if timeout_s <= 0 or not await self._wait(timeout_s):
                if self._requests:
                    break
                if was_partial or self.has_partial_request:
                    self._fail(self._too_late())
                    raise self._error
                return None
        request = self._requests.popleft()
        self._queued_bytes -= request.kept_bytes
        if self._unparsed:
            self._parse()
        if not self._unparsed and not self._is_waiting:
            self.transport.resume_reading()
        self.in_use.record(request.kept_bytes, is_complete=True)
        self._record_received()
        return request

    async def drain(self, timeout_ms: int) -> None:
        """Waits until all written bytes are sent; a stalled caller is cut off.

        Otherwise the answers to a caller that sends requests and never reads
        would fill the memory, and a shutdown could cut off an answer.

        Args:
          timeout_ms: Longest wait; the connection is aborted after it.
        """
        unread_ms = min(UNREAD_ANSWER_MS, timeout_ms)
        if not await self._wait_written(unread_ms, is_endless=False):
            remaining_ms = timeout_ms - unread_ms
            if not await self._wait_written(remaining_ms, is_endless=True):
                self.transport.abort()
        self.in_use.release()

    async def _wait_written(self, timeout_ms: int, is_endless: bool) -> bool:
        """Returns whether all written bytes were sent in time."""
        if self._writable is None:
            return True
        self.in_use.record(
            self.transport.get_write_buffer_size(), is_endless=is_endless
        )
        await asyncio.wait(
            (self._writable,), timeout=timeout_ms / clocks.MS_PER_S
        )
        return self._writable is None

    async def linger(self) -> None:
        """Ends the answers, and ignores what the caller still sends."""
        if self.transport.is_closing():
            return
        with contextlib.suppress(OSError):
            # It fails if the caller has reset the connection.
            self.transport.write_eof()
        self.transport.resume_reading()
        await asyncio.wait(
            (self.disconnected,), timeout=REFUSAL_LINGER_MS / clocks.MS_PER_S
        )

    def _end_drain(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def _too_late(self) -> http1.ProtocolError:
        """Returns why a request that is not complete in time is refused."""
        if self._first_waited_at is None:
            return http1.ProtocolError(408, "a request that stalls")
        self._turns.refused_count += 1
        return http1.WastefulError(
            503,
            "the messages of all senders take too much processor time, and this"
            " request comes in too many tiny parts",
        )

    def _remaining_s(
        self, idle_timeout_ms: int, request_timeout_ms: int
    ) -> float:
        """Returns how long to wait for more bytes, in seconds."""
        now = asyncio.get_running_loop().time()
        if self.has_partial_request:
            timeout_s = request_timeout_ms / clocks.MS_PER_S
            began_at = self._head_began_at
            if began_at is None:
                began_at = self._first_waited_at
            if began_at is None:
                return timeout_s
            remaining_s = began_at + timeout_s - now
            if self._stop_at is None or self._first_waited_at is None:
                return remaining_s
            return min(remaining_s, self._stop_at - now)
        timeout_s = idle_timeout_ms / clocks.MS_PER_S
        if self._stop_at is None:
            return timeout_s
        return min(timeout_s, self._stop_at - now)

    async def _wait(self, timeout_s: float) -> bool:
        self._wake_future = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
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

    def abort(self) -> None:
        """Closes the connection at once."""
        self._mark_disconnected()
        if self.transport is not None:
            self.transport.abort()

    def finish(self, linger_ms: int) -> None:
        """Closes the connection after the requests that have begun.

        A request that waits for its turn is refused as not run at once.

        Args:
          linger_ms: Time in which another request may still begin.
        """
        self._stop_at = asyncio.get_running_loop().time()
        if self._first_waited_at is None:
            self._stop_at += linger_ms / clocks.MS_PER_S
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
      on_error: Called with each unexpected exception of the handler. The
        request is answered with status 500, which does not say whether it has
        run.
      account: Where the memory of requests and answers is recorded; None leaves
        them to the limits of each connection.
      bound: Bounds the open connections; None for no bound.
      turns: Turns of the connections that send wastefully; None for turns of
        this server alone.
    """

    __slots__ = (
        "_account",
        "_acceptor",
        "_bound",
        "_channels",
        "_get_limits",
        "_handler",
        "_idle",
        "_is_draining",
        "_on_error",
        "_surplus",
        "_tasks",
        "_turns",
        "accept_failures",
        "active_requests",
    )

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], serving.CallerLimits | None] = lambda: None,
        on_error: Callable[[Exception], None] = lambda error: None,
        account: limiting.MemoryAccount | None = None,
        bound: limiting.ConnectionBound | None = None,
        turns: _read_turns.ReadTurns | None = None,
    ):
        self._turns = turns or _read_turns.ReadTurns(clocks.Clock())
        self._account = account or limiting.MemoryAccount()
        self._bound = bound
        self._handler = handler
        self._get_limits = get_limits
        self._on_error = on_error
        self._acceptor: _listening.Acceptor | None = None
        # Open connections, the oldest first.
        self._channels: dict[_Channel, None] = {}
        # Those of them whose next request is awaited, the longest idle first,
        # and since when in seconds of the event loop.
        self._idle: dict[_Channel, float] = {}
        # Those of them that are beyond the bound.
        self._surplus: set[_Channel] = set()
        self._tasks: set[asyncio.Task] = set()
        self._is_draining = False
        self.accept_failures = 0
        self.active_requests = 0

    @property
    def port(self) -> int:
        """TCP port on which the server listens."""
        return self._acceptor.port

    async def start(self, host: str, port: int) -> None:
        """Starts to listen; port 0 selects a free port."""
        self.serve(_listening.open_listener(host, port))

    def serve(self, listener: socket.socket) -> None:
        """Serves the connections of a listening, non-blocking socket."""
        self._acceptor = _listening.Acceptor(
            listener, self._open_channel, self._on_accept_error
        )

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._channels)

    def begin_drain(self) -> None:
        """Closes each connection once its received requests are answered.

        The last response says `connection: close`, so that the caller connects
        to another daemon. New connections are still accepted.
        """
        self._is_draining = True

    async def close(self, timeout_ms: int) -> None:
        """Stops listening, and closes connections after their requests.

        Requests that have begun to arrive are still answered, and those that
        begin within `LATE_REQUEST_MS`.

        Args:
          timeout_ms: Longest wait; connections that are still busy after it are
            not aborted.
        """
        self._is_draining = True
        if self._acceptor is not None:
            self._acceptor.close()
        for channel in list(self._channels):
            channel.finish(min(LATE_REQUEST_MS, timeout_ms))
        if self._tasks:
            await asyncio.wait(
                list(self._tasks), timeout=timeout_ms / clocks.MS_PER_S
            )

    def _open_channel(self, connection: socket.socket) -> None:
        """Serves an accepted connection; it counts as open at once."""
        admission = self._admit()
        if admission is limiting.Admission.CLOSE:
            connection.close()
            return
        channel = _Channel(
            self._get_limits() or DEFAULT_LIMITS, self._account, self._turns
        )
        if admission is limiting.Admission.REPLACE:
            self._close_oldest()
        elif admission is limiting.Admission.REFUSE:
            self._surplus.add(channel)
        self._channels[channel] = None
        task = asyncio.create_task(self._serve(channel, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _admit(self) -> limiting.Admission:
        if self._bound is None:
            return limiting.Admission.SERVE
        surplus_count = len(self._surplus)
        return self._bound.admit(
            len(self._channels) - surplus_count, surplus_count
        )

    def _close_oldest(self) -> None:
        channel = next(iter(self._channels))
        del self._channels[channel]
        channel.abort()

    def _may_serve(self, channel: _Channel) -> bool:
        """Serves a connection beyond the bound if another leaves room."""
        if channel not in self._surplus:
            return True
        served_count = len(self._channels) - len(self._surplus)
        if served_count >= self._bound.max_served and not self._close_idle():
            return False
        self._surplus.discard(channel)
        return True

    def _close_idle(self) -> bool:
        """Closes the longest idle connection; returns whether one gave way."""
        now = asyncio.get_running_loop().time()
        limits = self._get_limits() or DEFAULT_LIMITS
        for channel, idle_since in self._idle.items():
            idle_ms = (now - idle_since) * clocks.MS_PER_S
            if not self._bound.gives_way(idle_ms, limits.idle_timeout_ms):
                return False
            if channel not in self._surplus and not channel.is_receiving:
                del self._idle[channel]
                del self._channels[channel]
                channel.finish(0)
                self._bound.record_giving_way()
                return True
        return False

    def _on_accept_error(self, error: OSError) -> None:
        self.accept_failures += 1

    async def _serve(
        self, channel: _Channel, connection: socket.socket
    ) -> None:
        """Serves the requests of one connection until it closes."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: channel, connection)
            while await self._serve_one(channel):
                pass
        finally:
            self._idle.pop(channel, None)
            self._channels.pop(channel, None)
            self._surplus.discard(channel)
            channel.release()
            if channel.transport is None:
                connection.close()
            else:
                channel.transport.close()

    async def _serve_one(self, channel: _Channel) -> bool:
        """Serves one request; returns whether the connection stays open."""
        limits = self._get_limits() or DEFAULT_LIMITS
        idle_timeout_ms = limits.idle_timeout_ms
        request_timeout_ms = limits.header_timeout_ms
        if channel in self._surplus:
            idle_timeout_ms = min(idle_timeout_ms, SURPLUS_TIMEOUT_MS)
            request_timeout_ms = min(request_timeout_ms, SURPLUS_TIMEOUT_MS)
        self._idle[channel] = asyncio.get_running_loop().time()
        try:
            request = await channel.next_request(
                idle_timeout_ms, request_timeout_ms
            )
        except http1.ProtocolError as error:
            response = self._handler.refuse(error)
            channel.transport.write(http1.encode_response(response, False))
            await channel.drain(limits.idle_timeout_ms)
            await channel.linger()
            return False
        self._idle.pop(channel, None)
        if request is None:
            return False
        if not self._may_serve(channel):
            self._bound.record_refusal()
            response = self._handler.turn_away(request)
            channel.transport.write(http1.encode_response(response, False))
            await channel.drain(SURPLUS_TIMEOUT_MS)
            await channel.linger()
            return False
        # A coroutine of its own, which keeps neither the request nor the
        # response while a slow caller reads.
        keeps_alive = await self._answer(channel, request)
        del request
        await channel.drain(limits.idle_timeout_ms)
        return keeps_alive

    async def _answer(self, channel: _Channel, request: http1.Request) -> bool:
        """Writes the answer; returns whether the connection stays open."""
        request.round_trip_ms = channel.round_trip_ms()
        self.active_requests += 1
        try:
            response = await self._handler.handle(request, channel.disconnected)
        except Exception as error:  # noqa: BLE001
            self._on_error(error)
            response = http1.Response(_INTERNAL_ERROR, [], b"")
        finally:
            self.active_requests -= 1
        if response is None or channel.transport.is_closing():
            return False
        # A request that has been received on the connection is answered first.
        keeps_alive = request.keeps_alive and (
            not self._is_draining or channel.has_queued_request
        )
        if request.method == b"HEAD":
            response.body = b""
        channel.transport.write(http1.encode_response(response, keeps_alive))
        return keeps_alive
