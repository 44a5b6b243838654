"""HTTP connections to one discovered searcher.

Each connection has a task that serves one exchange at a time.
"""

import asyncio
import collections
import socket
from collections.abc import Collection

from citrondoor import clock as clocks
from citrondoor import limits
from citrondoor.codecs import http1
from citrondoor.links import _carried_ids
from citrondoor.links import _exchanges
from citrondoor.links import _listening
from citrondoor.links import _read_turns
from citrondoor.links import _response_memory
from citrondoor.links import _transports
from citrondoor.schema import serving

CONNECT_TIMEOUT_S = 1.0
# Time for which the response to a cancelled request is still awaited, so that
# its connection can be reused: opening a new one occupies a slot of the
# searcher for several ms. The platform's rules allow half a second of work
# after a caller has disconnected.
CANCEL_GRACE_S = 0.3
# Idle connections are closed this long before the searcher's keep-alive
# timeout, which it states in whole seconds: a request must not be on its way
# while the searcher closes the connection.
IDLE_MARGIN_MS = 500
# Non-idempotent requests are not sent on a connection that has been idle for
# this long: if the searcher closes it as the request arrives, it is unknown
# whether the request has run, and it must not be repeated.
NON_IDEMPOTENT_MAX_IDLE_MS = 1000
# Keep-alive timeout of a searcher whose responses state none.
DEFAULT_KEEP_ALIVE_MS = 5000
# A response that may be spliced from two counts if no rest of the second one
# follows within this time. Searchers write a response at once, so that its
# parts arrive together.
SPLICE_WAIT_S = 0.05
# Bytes that are read at a time from a searcher that sends wastefully.
WASTEFUL_READ_BYTES = 4096
# Stamps that a connection remembers. A copy of an answer without an id that
# comes later than as many further answers is not recognised.
RECENT_STAMPS = 16
# A connection whose sent bytes are not acknowledged for this long is closed.
TCP_USER_TIMEOUT_MS = 3000


class HttpCounters:
    """Counts of one daemon's connections and exchanges with searchers.

    Attributes:
      connects: Connections that were opened.
      dial_failures: Connections that could not be opened.
      unmatched: Responses that belong to another request.
      malformed: Connections closed because the searcher sent bytes that are no
        response, or too many.
      lost_in_flight: Exchanges whose connection ended after the request was
        sent and before a complete response, those in `aborts` included.
      aborts: Connections closed because a cancelled exchange had no response
        within `CANCEL_GRACE_S`.
    """

    __slots__ = (
        "aborts",
        "connects",
        "dial_failures",
        "lost_in_flight",
        "malformed",
        "unmatched",
    )

    def __init__(self):
        self.connects = 0
        self.dial_failures = 0
        self.unmatched = 0
        self.malformed = 0
        self.lost_in_flight = 0
        self.aborts = 0


class _ReadSize:
    """Bytes that are read at a time from one searcher.

    A new connection to a searcher that sent wastefully on an earlier one does
    not begin with a long read.
    """

    __slots__ = ("byte_count",)

    def __init__(self):
        self.byte_count = _response_memory.MAX_READ_BYTES


class _Channel(asyncio.Protocol):
    """Parses a searcher's responses and wakes the task that awaits them.

    Args:
      account: Account of the memory that messages keep.
      turns: Turns of the connections that send wastefully.
      read_size: Of all connections to the searcher.
    """

    __slots__ = (
        "_effort",
        "_error",
        "_is_waiting",
        "_memory",
        "_read_size",
        "_reader",
        "_responses",
        "_turns",
        "_wake_future",
        "transport",
    )

    def __init__(
        self,
        account: limits.MemoryAccount,
        turns: _read_turns.ReadTurns,
        read_size: _ReadSize,
    ):
        self._turns = turns
        self._read_size = read_size
        self._effort = limits.MessageEffort()
        # Whether it is not read until its turn comes.
        self._is_waiting = False
        self._memory = _response_memory.ResponseMemory(account, self._give_way)
        self._reader = http1.ResponseReader()
        self._responses: collections.deque[http1.Response] = collections.deque()
        self._wake_future: asyncio.Future | None = None
        self._error: Exception | None = None
        self.transport: asyncio.Transport | None = None

    @property
    def is_usable(self) -> bool:
        """Whether the next response would belong to the next request.

        It is false once the connection has failed or is closing, and after
        unsolicited bytes have arrived.
        """
        return (
            self._error is None
            and not self._responses
            and self._reader.is_between_responses
            and not self.transport.is_closing()
        )

    def connection_made(self, transport) -> None:
        """Stores the open transport; called by the event loop."""
        self.transport = transport
        _response_memory.limit_transport(transport)
        transport.max_size = self._read_size.byte_count
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; called by the event loop."""
        if self._error is not None:
            return
        try:
            responses = self._reader.feed(data)
        except http1.ProtocolError as error:
            # A response that was complete before the malformed bytes counts.
            self._responses.extend(self._reader.take_responses())
            self.fail(error)
            return
        self._responses.extend(responses)
        self._charge(len(data), bool(responses))
        if len(self._responses) > http1.MAX_RESPONSES_AT_ONCE:
            self.fail(
                http1.ProtocolError(
                    502, f"{len(self._responses)} responses to one request"
                )
            )
            return
        self._record_kept()
        self.wake()

    def _charge(self, byte_count: int, is_complete: bool) -> None:
        """Records the cost of a read; after wasteful ones, further ones wait.

        Args:
          byte_count: Bytes that were read.
          is_complete: Whether they completed a response.
        """
        pieces, self._reader.pieces = self._reader.pieces, 0
        if is_complete:
            self._effort.reset()
            self._set_read_size(_response_memory.MAX_READ_BYTES)
            return
        wasteful = self._effort.record(pieces + limits.READ_PIECES, byte_count)
        if not wasteful:
            return
        self._set_read_size(WASTEFUL_READ_BYTES)
        if not self._turns.spend(wasteful) and not self.transport.is_closing():
            self._is_waiting = True
            self.transport.pause_reading()
            self._turns.wait(self._take_turn)

    def _set_read_size(self, byte_count: int) -> None:
        self._read_size.byte_count = byte_count
        self.transport.max_size = byte_count

    def _take_turn(self) -> None:
        self._is_waiting = False
        self.transport.resume_reading()

    def _leave_turns(self) -> None:
        if self._is_waiting:
            self._is_waiting = False
            self._turns.leave(self._take_turn)

    def write(self, data: bytes) -> None:
        """Sends the bytes of a request."""
        self.transport.write(data)
        if self._memory.is_recorded:
            self._record_kept()

    def pause_writing(self) -> None:
        """Records that bytes are not sent yet; called by the event loop."""
        self._record_kept()

    def resume_writing(self) -> None:
        """Records that sent bytes left; called by the event loop."""
        self._record_kept()

    def fail(self, error: http1.ProtocolError) -> None:
        """Closes the connection at once; `next_response` raises the error."""
        # The traceback would keep the received bytes.
        self._error = self._error or http1.ProtocolError(
            error.status, str(error)
        )
        self._reader.drop()
        self._leave_turns()
        self.transport.abort()
        self._record_kept()
        self.wake()

    def close(self) -> None:
        """Closes the connection, if open, and drops all that was received."""
        if self.transport is not None:
            self.transport.abort()
        # Replaces one that was raised, whose frames refer to this object.
        self._error = EOFError("the connection is closed")
        self._responses.clear()
        self._leave_turns()
        self._reader.drop()
        self._memory.close()

    def _record_kept(self) -> None:
        self._memory.record(
            self._reader,
            self.transport.get_write_buffer_size(),
            sum(response.kept_bytes for response in self._responses),
        )

    def _give_way(self, error: http1.ProtocolError) -> None:
        self._responses.clear()
        self.fail(error)

    def eof_received(self) -> None:
        """Completes a response without a length; called by the event loop."""
        response = self._reader.finish()
        if response is not None and self._error is None:
            self._responses.append(response)
            self._record_kept()
        self._error = self._error or EOFError(
            "the searcher closed the connection"
        )
        self.wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending `next_response`; called by the event loop."""
        self._error = self._error or exc or EOFError("the connection is closed")
        self._leave_turns()
        self._reader.drop()
        self._record_kept()
        self.wake()
        _transports.release(self.transport)

    async def next_response(self) -> http1.Response:
        """Returns the next response.

        One whose body holds the start of another response counts only if
        nothing follows that shows that it was put together out of two.

        Raises:
          OSError: The connection was reset.
          EOFError: The connection was closed.
          http1.ProtocolError: The searcher sent a malformed response.
        """
        while not self._responses:
            if self._error is not None:
                raise self._error
            await self.wait()
        response = self._responses[0]
        if response.may_be_spliced:
            # It counts as kept until it is returned.
            await asyncio.sleep(SPLICE_WAIT_S)
            if isinstance(self._error, http1.ProtocolError):
                raise self._error
        self._responses.popleft()
        self._record_kept()
        return response

    async def wait(self) -> None:
        """Waits until bytes arrive, the connection ends or `wake` is called."""
        self._wake_future = asyncio.get_running_loop().create_future()
        await self._wake_future

    def wake(self) -> None:
        """Wakes the task in `wait`."""
        if self._wake_future is not None and not self._wake_future.done():
            self._wake_future.set_result(None)


class _Connection:
    """One connection; its task serves one exchange after the other.

    Args:
      link: Owner of the connection.
    """

    __slots__ = (
        "_carried_ids",
        "_channel",
        "_link",
        "_recent_stamps",
        "_task",
        "exchange",
        "idle_limit_ms",
        "idle_since",
        "replace_on_close",
        "was_aborted",
        "was_sent",
    )

    def __init__(self, link: "HttpSearcherLink"):
        self._link = link
        self._channel = _Channel(link.account, link.turns, link.read_size)
        self._carried_ids = _carried_ids.CarriedIds()
        self._recent_stamps: collections.deque[bytes] = collections.deque(
            maxlen=RECENT_STAMPS
        )
        self._task: asyncio.Task | None = None
        self.exchange: _exchanges.Exchange | None = None
        self.was_sent = False
        self.was_aborted = False
        # Whether a new connection is opened for queued exchanges when this one
        # closes. Set after the first response, so that no connections are
        # opened in a loop to a searcher that refuses or drops them. Also set by
        # `submit` on an idle connection that it closes to make room.
        self.replace_on_close = False
        self.idle_since = 0
        self.idle_limit_ms = DEFAULT_KEEP_ALIVE_MS

    @property
    def is_usable(self) -> bool:
        """Whether it is open and can serve another exchange."""
        return self._channel.transport is not None and self._channel.is_usable

    def may_carry(self, outbound: _exchanges.OutboundRequest) -> bool:
        """Returns whether it has not carried an earlier attempt of a request.

        A second copy of the answer to that attempt may still arrive.
        """
        return outbound.request_id not in self._carried_ids

    def start(self) -> None:
        """Starts the connection's task."""
        self._task = asyncio.create_task(self._run())

    def assign(self, exchange: _exchanges.Exchange) -> None:
        """Starts an exchange on this idle connection."""
        self.exchange = exchange
        self.was_sent = False
        self._channel.wake()

    def abort(self) -> None:
        """Closes the connection at once, or stops opening it."""
        self.was_aborted = True
        if self._channel.transport is not None:
            self._channel.transport.abort()
        elif self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            await self._open()
            while await self._serve_one():
                pass
        except (OSError, EOFError, TimeoutError):
            # `on_closed` ends the exchange and counts the failure.
            pass
        except Exception as error:  # noqa: BLE001
            # Whatever a searcher causes ends its connection, nothing else.
            self._link.on_malformed(error)
        finally:
            self._channel.close()
            self._link.on_closed(self)

    async def _open(self) -> None:
        upstream = self._link.upstream
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await loop.create_connection(
                    lambda: self._channel, upstream.host, upstream.port
                )
            _listening.share_local_port(transport)
        except (OSError, TimeoutError):
            self._link.on_connect_failed()
            raise
        self._link.on_connected(self)

    async def _serve_one(self) -> bool:
        """Serves one exchange; returns whether the connection stays open."""
        if self.exchange is None and not await self._wait_idle():
            return False
        exchange = self.exchange
        if not self._channel.is_usable or not self._link.is_in_use:
            # Bytes arrived, the connection failed or the searcher went out of
            # use after the exchange was assigned. It ends as unsent, or on
            # another connection.
            self._link.requeue(self)
            return False
        self._link.record_carried(exchange, self._carried_ids)
        self._channel.write(self._link.encode(exchange))
        self.was_sent = True
        while True:
            response = await self._channel.next_response()
            result = self._link.decode(exchange, response, self._recent_stamps)
            if result.outcome != _exchanges.ExchangeOutcome.FOREIGN:
                break
        if result.stamp:
            self._recent_stamps.append(result.stamp)
        self.exchange = None
        self.replace_on_close = True
        exchange.deliver(exchange.token, result)
        keep_alive_ms = http1.keep_alive_ms(response)
        if keep_alive_ms is None:
            keep_alive_ms = DEFAULT_KEEP_ALIVE_MS
        self.idle_limit_ms = keep_alive_ms - IDLE_MARGIN_MS
        is_close_announced = (
            b"close" in (response.header_value(b"connection") or b"").lower()
        )
        return not is_close_announced and self._channel.is_usable

    async def _wait_idle(self) -> bool:
        """Waits for an exchange; returns False if the connection ends first."""
        self._link.on_idle(self)
        while self.exchange is None:
            # The searcher sent unsolicited bytes or closed the connection.
            if not self._channel.is_usable:
                return False
            await self._channel.wait()
        return True


class HttpSearcherLink:
    """All connections of this daemon to one searcher.

    Args:
      upstream: The searcher.
      max_connections: Limit on connections that are open or being opened.
      codec: Encodes requests to searchers and decodes their responses.
      clock: Clock of the daemon.
      counters: Counts of the daemon, updated by this link.
      on_unreachable: Called with the searcher when a connection attempt fails.
      on_malformed: Called with the searcher and the error when a connection is
        closed because of what the searcher sent.
      account: Account of the memory that messages keep.
      turns: Turns of the connections that send wastefully.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_connections",
        "_counters",
        "_idle",
        "_is_in_use",
        "_max_connections",
        "_on_malformed",
        "_on_unreachable",
        "_queued",
        "account",
        "read_size",
        "turns",
        "upstream",
    )

    def __init__(
        self,
        upstream: serving.Upstream,
        max_connections: int,
        codec: _exchanges.SearcherCodec,
        clock: clocks.Clock,
        counters: HttpCounters,
        on_unreachable,
        on_malformed,
        account: limits.MemoryAccount,
        turns: _read_turns.ReadTurns,
    ):
        self.upstream = upstream
        self.turns = turns
        self.read_size = _ReadSize()
        self._max_connections = max_connections
        self._is_in_use = True
        self.account = account
        self._on_malformed = on_malformed
        self._codec = codec
        self._clock = clock
        self._counters = counters
        self._on_unreachable = on_unreachable
        self._connections: set[_Connection] = set()
        self._idle: list[_Connection] = []
        self._queued: collections.deque[_exchanges.Exchange] = (
            collections.deque()
        )

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._connections)

    @property
    def max_connections(self) -> int:
        """Limit on connections that are open or being opened."""
        return self._max_connections

    @property
    def is_in_use(self) -> bool:
        """Whether the searcher may get requests."""
        return self._is_in_use

    def set_max_connections(self, limit: int) -> None:
        """Sets the limit; connections beyond it close once they are idle."""
        self._max_connections = limit
        excess = len(self._connections) - limit
        for connection in self._idle[: max(0, excess)]:
            connection.abort()

    def submit(self, exchange: _exchanges.Exchange) -> None:
        """Sends a request on an idle connection, or queues the exchange.

        A queued exchange is served by the next connection that is opened or
        becomes idle; a new one is opened if the limit allows. Without an open
        connection and with a limit of 0, the exchange ends at once, as unsent.
        """
        if not self._is_in_use:
            self._queued.append(exchange)
            self.end_queued()
            return
        connection = self._pop_idle(exchange.outbound)
        if connection is not None:
            connection.assign(exchange)
            return
        self._queued.append(exchange)
        if len(self._connections) < self._max_connections:
            self.dial()
        elif self._idle:
            # The idle connections have been idle for too long for this request
            # or have carried it before; closing one makes room for a new one.
            oldest = self._idle.pop(0)
            oldest.replace_on_close = True
            oldest.abort()
        elif not self._connections:
            self.end_queued()

    def dial(self) -> None:
        """Opens one more connection."""
        connection = _Connection(self)
        self._connections.add(connection)
        connection.start()

    def cancel(self, token: int) -> None:
        """Cancels an exchange whose result is no longer needed.

        A queued one ends at once, as unsent. If the request has been sent, the
        connection is closed unless the response arrives within
        `CANCEL_GRACE_S`.
        """
        for exchange in self._queued:
            if exchange.token == token:
                self._queued.remove(exchange)
                exchange.deliver(
                    token,
                    _exchanges.ExchangeResult(
                        _exchanges.ExchangeOutcome.UNSENT
                    ),
                )
                return
        for connection in self._connections:
            if connection.exchange and connection.exchange.token == token:
                asyncio.get_running_loop().call_later(
                    CANCEL_GRACE_S, self._abort_cancelled, connection, token
                )
                return

    def end_queued(self) -> None:
        """Ends all queued exchanges, as unsent."""
        queued, self._queued = self._queued, collections.deque()
        for exchange in queued:
            exchange.deliver(
                exchange.token,
                _exchanges.ExchangeResult(_exchanges.ExchangeOutcome.UNSENT),
            )

    def close_expired_idle(self, now: int) -> None:
        """Closes idle connections shortly before the searcher would."""
        for connection in list(self._idle):
            if now - connection.idle_since >= connection.idle_limit_ms:
                self._idle.remove(connection)
                connection.abort()

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self._connections):
            connection.abort()

    def set_in_use(self, is_in_use: bool) -> None:
        """Sets whether the searcher may get requests.

        If not, idle connections are closed, and no exchange is sent any more:
        those that wait end as unsent, so that another searcher gets them.
        """
        self._is_in_use = is_in_use
        if is_in_use:
            return
        for connection in list(self._idle):
            connection.abort()
        # Called later, as the caller may be about to end an exchange.
        asyncio.get_running_loop().call_soon(self._end_queued_if_not_in_use)

    def _end_queued_if_not_in_use(self) -> None:
        if not self._is_in_use:
            self.end_queued()

    def encode(self, exchange: _exchanges.Exchange) -> bytes:
        """Returns the bytes of an exchange's request.

        They state the time that remains until the deadline, at least 1 ms.
        """
        remaining_ms = exchange.outbound.deadline_at - self._clock.now()
        return self._codec.encode(
            exchange.outbound, self.upstream.id, max(1, remaining_ms)
        )

    def record_carried(
        self, exchange: _exchanges.Exchange, carried: _carried_ids.CarriedIds
    ) -> None:
        """Adds the request of an exchange to those of its connection."""
        outbound = exchange.outbound
        carried.add(
            outbound.request_id, outbound.deadline_at, self._clock.now()
        )

    def decode(
        self,
        exchange: _exchanges.Exchange,
        response: http1.Response,
        recent_stamps: Collection[bytes],
    ) -> _exchanges.ExchangeResult:
        """Returns the result of an exchange according to a response.

        Responses to other requests are counted.

        Args:
          exchange: The pending exchange.
          response: The next response on its connection.
          recent_stamps: Stamps of earlier responses on the connection.
        """
        result = self._codec.decode(exchange.outbound, response, recent_stamps)
        if result.outcome == _exchanges.ExchangeOutcome.FOREIGN:
            self._counters.unmatched += 1
        return result

    def on_connected(self, connection: _Connection) -> None:
        """Gives a newly opened connection the first queued exchange."""
        self._counters.connects += 1
        if self._queued:
            connection.exchange = self._queued.popleft()

    def requeue(self, connection: _Connection) -> None:
        """Queues the exchange of a connection that has not sent it.

        `on_closed` then serves it on another connection or ends it as unsent.
        """
        self._queued.appendleft(connection.exchange)
        connection.exchange = None

    def on_malformed(self, error: Exception) -> None:
        """Counts and reports a connection on which the searcher misbehaved."""
        self._counters.malformed += 1
        self._on_malformed(self.upstream, error)

    def on_connect_failed(self) -> None:
        """Counts and reports a failed attempt to open a connection."""
        self._counters.dial_failures += 1
        self._on_unreachable(self.upstream)

    def on_idle(self, connection: _Connection) -> None:
        """Gives a connection a queued exchange or adds it to the idle ones.

        If no connection may carry the first queued exchange, a new one is
        opened, and at the limit this one is closed to make room for it.
        """
        if self._queued and not self._may_carry(self._queued[0]):
            if len(self._connections) >= self._max_connections:
                connection.replace_on_close = True
                connection.abort()
                return
            self.dial()
        for exchange in self._queued:
            if connection.may_carry(exchange.outbound):
                self._queued.remove(exchange)
                connection.assign(exchange)
                return
        if len(self._connections) > self._max_connections:
            connection.abort()
            return
        connection.idle_since = self._clock.now()
        self._idle.append(connection)

    def on_closed(self, connection: _Connection) -> None:
        """Removes a connection and ends its exchange.

        Queued exchanges are served by a replacement or by other connections;
        if there are none, they end as unsent.
        """
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        exchange = connection.exchange
        connection.exchange = None
        if exchange is not None:
            outcome = _exchanges.ExchangeOutcome.UNSENT
            if connection.was_sent:
                outcome = _exchanges.ExchangeOutcome.BROKEN
                self._counters.lost_in_flight += 1
            exchange.deliver(
                exchange.token,
                _exchanges.ExchangeResult(
                    outcome,
                    is_broken_off=connection.was_sent
                    and not connection.was_aborted,
                ),
            )
        if not self._queued:
            return
        if not self._is_in_use:
            self.end_queued()
            return
        if (
            connection.replace_on_close
            and len(self._connections) < self._max_connections
        ):
            self.dial()
        if len(self._idle) == len(self._connections):
            # No connection is being opened or will become idle.
            self.end_queued()

    def _may_carry(self, exchange: _exchanges.Exchange) -> bool:
        """Whether a connection, open or being opened, may carry an exchange."""
        return any(
            connection.may_carry(exchange.outbound)
            for connection in self._connections
        )

    def _abort_cancelled(self, connection: _Connection, token: int) -> None:
        if connection.exchange and connection.exchange.token == token:
            self._counters.aborts += 1
            connection.abort()

    def _pop_idle(
        self, outbound: _exchanges.OutboundRequest
    ) -> _Connection | None:
        """Removes and returns the idle connection used last that suits."""
        now = self._clock.now()
        for connection in reversed(list(self._idle)):
            idle_ms = now - connection.idle_since
            if not connection.is_usable or idle_ms >= connection.idle_limit_ms:
                self._idle.remove(connection)
                connection.abort()
                continue
            if (
                not outbound.is_idempotent
                and idle_ms >= NON_IDEMPOTENT_MAX_IDLE_MS
            ):
                # The others have been idle for longer.
                return None
            if connection.may_carry(outbound):
                self._idle.remove(connection)
                return connection
        return None
