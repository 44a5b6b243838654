"""Connections to one discovered searcher: one task each, one call at a time."""

import asyncio
import collections
import socket

from citrondoor import clock as clocks
from citrondoor.codecs import http1
from citrondoor.links import _exchanges
from citrondoor.schema import serving

CONNECT_TIMEOUT_S = 1.0
# An exchange that nobody waits for keeps its connection for this long: a new
# one costs the searcher several ms of a slot. Callers' rules allow half a
# second of work after a caller has left.
CANCEL_GRACE_S = 0.3
# A searcher closes an idle connection after the time that it states, in whole
# seconds; a request must not cross that close.
IDLE_MARGIN_MS = 500
# Idle time after which a connection carries nothing that must not run twice.
FRESH_IDLE_MS = 1000
UNSTATED_IDLE_MS = 5000
# Unacknowledged bytes on a connection that went silent end it after this.
USER_TIMEOUT_MS = 3000


class HttpCounters:
    """Counts of one daemon's connections to discovered searchers."""

    __slots__ = (
        "aborts",
        "connects",
        "dial_failures",
        "lost_in_flight",
        "unmatched",
    )

    def __init__(self):
        self.connects = 0
        self.dial_failures = 0
        self.unmatched = 0
        self.lost_in_flight = 0
        self.aborts = 0


class _Channel(asyncio.Protocol):
    __slots__ = ("_arrived", "_error", "_reader", "_responses", "transport")

    def __init__(self):
        self._reader = http1.ResponseReader()
        self._responses: collections.deque[http1.Response] = collections.deque()
        self._arrived: asyncio.Future | None = None
        self._error: Exception | None = None
        self.transport: asyncio.Transport | None = None

    @property
    def is_usable(self) -> bool:
        """Whether the next response will be the one to the next request."""
        return (
            self._error is None
            and not self._responses
            and self._reader.is_between_responses
            and not self.transport.is_closing()
        )

    def connection_made(self, transport) -> None:
        """Takes the open transport; called by the event loop."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )

    def data_received(self, data: bytes) -> None:
        """Takes bytes; called by the event loop."""
        try:
            self._responses.extend(self._reader.feed(data))
        except http1.ProtocolError as error:
            self._error = error
        self.wake()

    def eof_received(self) -> None:
        """Ends a response without a length; called by the event loop."""
        last = self._reader.finish()
        if last is not None and self._error is None:
            self._responses.append(last)
        self._error = self._error or EOFError("closed by the searcher")
        self.wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what waits; called by the event loop."""
        self._error = self._error or exc or EOFError("the connection is closed")
        self.wake()

    async def next_response(self) -> http1.Response:
        """Returns the next response.

        Raises:
          OSError: The connection was reset.
          EOFError: The connection was closed.
          http1.ProtocolError: The searcher sent something else.
        """
        while not self._responses:
            if self._error is not None:
                raise self._error
            await self.wait()
        return self._responses.popleft()

    async def wait(self) -> None:
        """Waits until something has arrived or `wake` is called."""
        self._arrived = asyncio.get_running_loop().create_future()
        await self._arrived

    def wake(self) -> None:
        """Ends a wait."""
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)


class _Connection:
    """One connection; its task serves one exchange after the other.

    Args:
      link: The searcher's connections.
    """

    __slots__ = (
        "_channel",
        "_link",
        "_task",
        "exchange",
        "idle_limit_ms",
        "idle_since",
        "may_be_replaced",
        "was_sent",
    )

    def __init__(self, link: "HttpSearcherLink"):
        self._link = link
        self._channel = _Channel()
        self._task: asyncio.Task | None = None
        self.exchange: _exchanges.Exchange | None = None
        self.was_sent = False
        # The searcher has kept it, so that another one may take its place.
        self.may_be_replaced = False
        self.idle_since = 0
        self.idle_limit_ms = UNSTATED_IDLE_MS

    @property
    def is_usable(self) -> bool:
        """Whether it can carry another exchange."""
        return self._channel.transport is not None and self._channel.is_usable

    def start(self) -> None:
        """Starts the connection's task."""
        self._task = asyncio.create_task(self._run())

    def assign(self, exchange: _exchanges.Exchange) -> None:
        """Gives an idle connection its next exchange."""
        self.exchange = exchange
        self.was_sent = False
        self._channel.wake()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._channel.transport is not None:
            self._channel.transport.abort()
        elif self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            await self._open()
            while await self._serve_one():
                pass
        except (OSError, EOFError, TimeoutError, http1.ProtocolError):
            # The exchange is ended below and counted there.
            pass
        finally:
            self.abort_transport()
            self._link.on_closed(self)

    def abort_transport(self) -> None:
        """Closes the socket if there is one."""
        if self._channel.transport is not None:
            self._channel.transport.abort()

    async def _open(self) -> None:
        upstream = self._link.upstream
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: self._channel, upstream.host, upstream.port
                )
        except (OSError, TimeoutError):
            self._link.on_dial_failed()
            raise
        self._link.on_dialed(self)

    async def _serve_one(self) -> bool:
        """Serves one exchange; returns whether the connection stays."""
        if self.exchange is None and not await self._wait_idle():
            return False
        exchange = self.exchange
        self._channel.transport.write(self._link.encode(exchange))
        self.was_sent = True
        while True:
            response = await self._channel.next_response()
            reply = self._link.decode(exchange, response)
            if reply.kind != _exchanges.ExchangeOutcome.FOREIGN:
                break
        self.exchange = None
        self.may_be_replaced = True
        exchange.deliver(exchange.token, reply)
        self.idle_limit_ms = (
            http1.keep_alive_ms(response) or UNSTATED_IDLE_MS
        ) - IDLE_MARGIN_MS
        closes = (
            b"close" in (response.header_value(b"connection") or b"").lower()
        )
        return not closes and self._channel.is_usable

    async def _wait_idle(self) -> bool:
        """Waits for an exchange; returns whether there is one."""
        self._link.on_idle(self)
        while self.exchange is None:
            # A response that nobody asked for, or the end of the connection.
            if not self._channel.is_usable:
                return False
            await self._channel.wait()
        return True


class HttpSearcherLink:
    """All connections to one searcher.

    Args:
      upstream: The searcher.
      limit: Connections that this daemon may keep there.
      codec: How it is spoken to.
      clock: Clock of the daemon.
      counters: Counts of the daemon.
      on_unreachable: Called with the searcher when a connection fails.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_connections",
        "_counters",
        "_idle",
        "_on_unreachable",
        "_waiting",
        "limit",
        "upstream",
    )

    def __init__(
        self,
        upstream: serving.Upstream,
        limit: int,
        codec: _exchanges.SearcherCodec,
        clock: clocks.Clock,
        counters: HttpCounters,
        on_unreachable,
    ):
        self.upstream = upstream
        self.limit = limit
        self._codec = codec
        self._clock = clock
        self._counters = counters
        self._on_unreachable = on_unreachable
        self._connections: set[_Connection] = set()
        self._idle: list[_Connection] = []
        self._waiting: collections.deque[_exchanges.Exchange] = (
            collections.deque()
        )

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self._connections)

    def submit(self, exchange: _exchanges.Exchange) -> None:
        """Sends an exchange on an idle connection, a new one, or later."""
        connection = self._take_idle(exchange.outbound.is_idempotent)
        if connection is not None:
            connection.assign(exchange)
            return
        self._waiting.append(exchange)
        if len(self._connections) < self.limit:
            self.dial()
        elif self._idle:
            # It may be closed as the request arrives: a new one replaces it.
            oldest = self._idle.pop(0)
            oldest.may_be_replaced = True
            oldest.abort()

    def dial(self) -> None:
        """Opens one more connection."""
        connection = _Connection(self)
        self._connections.add(connection)
        connection.start()

    def cancel(self, token: int) -> None:
        """Ends an exchange that nobody waits for, after a grace."""
        for exchange in self._waiting:
            if exchange.token == token:
                self._waiting.remove(exchange)
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
                    CANCEL_GRACE_S, self._abort, connection, token
                )
                return

    def close_idle(self, now: int) -> None:
        """Closes connections that the searcher is about to close."""
        for connection in list(self._idle):
            if now - connection.idle_since >= connection.idle_limit_ms:
                self._idle.remove(connection)
                connection.abort()

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self._connections):
            connection.abort()

    def close_unused(self) -> None:
        """Closes connections without an exchange; the searcher is gone."""
        for connection in list(self._idle):
            connection.abort()

    def encode(self, exchange: _exchanges.Exchange) -> bytes:
        """Returns an exchange's request with the time that is left."""
        remaining_ms = exchange.outbound.deadline_at - self._clock.now()
        return self._codec.encode(
            exchange.outbound, self.upstream.id, max(1, remaining_ms)
        )

    def decode(
        self, exchange: _exchanges.Exchange, response: http1.Response
    ) -> _exchanges.ExchangeResult:
        """Returns what a response says of an exchange."""
        reply = self._codec.decode(exchange.outbound, response)
        if reply.kind == _exchanges.ExchangeOutcome.FOREIGN:
            self._counters.unmatched += 1
        return reply

    def on_dialed(self, connection: _Connection) -> None:
        """Takes a connection that is open now."""
        self._counters.connects += 1
        if self._waiting:
            connection.exchange = self._waiting.popleft()

    def on_dial_failed(self) -> None:
        """Notes that a connection could not be opened."""
        self._counters.dial_failures += 1
        self._on_unreachable(self.upstream)

    def on_idle(self, connection: _Connection) -> None:
        """Takes a connection that has nothing to do."""
        if self._waiting:
            connection.assign(self._waiting.popleft())
            return
        connection.idle_since = self._clock.now()
        self._idle.append(connection)

    def on_closed(self, connection: _Connection) -> None:
        """Takes a connection out and ends its exchange."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        exchange = connection.exchange
        connection.exchange = None
        if exchange is not None:
            kind = _exchanges.ExchangeOutcome.UNSENT
            if connection.was_sent:
                kind = _exchanges.ExchangeOutcome.BROKEN
                self._counters.lost_in_flight += 1
            exchange.deliver(exchange.token, _exchanges.ExchangeResult(kind))
        if not self._waiting:
            return
        if connection.may_be_replaced and len(self._connections) < self.limit:
            self.dial()
        if self._connections:
            return
        waiting, self._waiting = self._waiting, collections.deque()
        for exchange in waiting:
            exchange.deliver(
                exchange.token,
                _exchanges.ExchangeResult(_exchanges.ExchangeOutcome.UNSENT),
            )

    def _abort(self, connection: _Connection, token: int) -> None:
        if connection.exchange and connection.exchange.token == token:
            self._counters.aborts += 1
            connection.abort()

    def _take_idle(self, is_idempotent: bool) -> _Connection | None:
        now = self._clock.now()
        while self._idle:
            connection = self._idle.pop()
            idle_ms = now - connection.idle_since
            if not connection.is_usable or idle_ms >= connection.idle_limit_ms:
                connection.abort()
            elif is_idempotent or idle_ms < FRESH_IDLE_MS:
                return connection
            else:
                self._idle.append(connection)
                return None
        return None
