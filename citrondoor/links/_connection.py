"""One kept connection to a searcher: one task, one call at a time."""

import asyncio
import typing

from citrondoor.codecs import upstreams as codec
from citrondoor.links import _calls
from citrondoor.schema import declarations


class Owner(typing.Protocol):
    """What a connection tells of itself, and to whom."""

    searcher: declarations.Searcher
    counters: _calls.UpstreamCounters
    connect_timeout_s: float

    def on_dialed(self) -> None:
        """Notes a new connection."""

    def on_dial_failed(self) -> None:
        """Notes a failed attempt."""

    def on_response(
        self, call: _calls.Call, response: codec.Response
    ) -> _calls.Call | None:
        """Takes a response and returns the connection's next call."""

    def on_idle(self, connection: "Connection") -> None:
        """Takes a connection that has nothing to do."""

    def on_closed(self, connection: "Connection") -> None:
        """Takes a connection out."""


class _Channel(asyncio.Protocol):
    """Splits what a searcher sends and hands over the awaited response.

    Args:
      counters: Counts of the daemon.
    """

    __slots__ = ("_awaited", "_counters", "_reader", "_waiter", "transport")

    def __init__(self, counters: _calls.UpstreamCounters):
        self._counters = counters
        self._reader = codec.ResponseReader()
        self._awaited = -1
        self._waiter: asyncio.Future[codec.Response] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Takes the open transport; called by the event loop."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Takes bytes; called by the event loop."""
        try:
            responses = self._reader.feed(data)
        except ValueError as error:
            self._fail(error)
            return
        for response in responses:
            waiter = self._waiter
            is_awaited = response.attempt == self._awaited
            if is_awaited and waiter is not None and not waiter.done():
                self._awaited = -1
                waiter.set_result(response)
            else:
                # Late, repeated or foreign: never handed to another call.
                self._counters.unmatched += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what waits; called by the event loop."""
        self._fail(EOFError("the searcher closed the connection"))

    def send(self, call: _calls.Call) -> None:
        """Sends a call; `response` then waits for its response."""
        self._awaited = call.number
        if not self.transport.is_closing():
            self.transport.write(call.payload)
            call.was_sent = True

    def response(self) -> "asyncio.Future[codec.Response]":
        """Returns a future that ends with the response to the next call."""
        waiter = self._waiter = asyncio.get_running_loop().create_future()
        if self.transport.is_closing():
            waiter.set_exception(EOFError("the connection is closed"))
        return waiter

    def _fail(self, error: Exception) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
        self.transport.abort()


class Connection:
    """One connection; its task serves one call after the other."""

    __slots__ = ("_channel", "_link", "call", "task")

    def __init__(self, link: Owner):
        self._link = link
        self._channel = _Channel(link.counters)
        self.call: _calls.Call | None = None
        self.task: asyncio.Task | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the searcher or this side has closed it."""
        transport = self._channel.transport
        return transport is not None and transport.is_closing()

    def start(self, call: _calls.Call) -> None:
        """Opens the connection and serves a first call."""
        self.call = call
        self.task = asyncio.create_task(self._run())

    def assign(self, call: _calls.Call) -> None:
        """Gives an idle connection its next call."""
        self.call = call
        self._channel.send(call)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._channel.transport is not None:
            self._channel.transport.abort()
        else:
            self.task.cancel()

    async def _run(self) -> None:
        try:
            await self._open()
            await self._serve()
        except (OSError, ValueError, EOFError):
            pass
        finally:
            if self._channel.transport is not None:
                self._channel.transport.abort()
            self._link.on_closed(self)

    async def _open(self) -> None:
        link = self._link
        searcher = link.searcher
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(link.connect_timeout_s):
                await loop.create_connection(
                    lambda: self._channel, searcher.address, searcher.port
                )
        except (OSError, TimeoutError):
            link.on_dial_failed()
            raise
        link.on_dialed()

    async def _serve(self) -> None:
        link = self._link
        channel = self._channel
        channel.send(self.call)
        while True:
            # While idle this waits for the next call's response as well.
            response = await channel.response()
            self.call = link.on_response(self.call, response)
            if self.call is None:
                link.on_idle(self)
            else:
                channel.send(self.call)
