"""A persistent connection to a searcher that carries one call at a time."""

import asyncio
import typing

from citrondoor import limits
from citrondoor.codecs import http1
from citrondoor.codecs import upstreams as codec
from citrondoor.links import _calls
from citrondoor.links import _listening
from citrondoor.links import _response_memory
from citrondoor.links import _transports
from citrondoor.schema import declarations


class Link(typing.Protocol):
    """The settings a connection needs from its link, and its callbacks."""

    searcher: declarations.Searcher
    counters: _calls.UpstreamCounters
    connect_timeout_s: float
    account: limits.MemoryAccount

    def on_connected(self) -> None:
        """Called when the connection is open."""

    def on_connect_failed(self) -> None:
        """Called when the connection could not be opened."""

    def on_response(
        self, call: _calls.Call, response: codec.Response
    ) -> _calls.Call | None:
        """Handles a response; returns the connection's next call, if any."""

    def on_idle(self, connection: "Connection") -> None:
        """Called when a connection has no further call."""

    def on_closed(self, connection: "Connection") -> None:
        """Called when the connection has closed or failed to open."""


class _Channel(asyncio.Protocol):
    """Parses a searcher's responses.

    The response whose number matches completes the future of `next_response`.

    Args:
      counters: Counts responses that match no call, and connections closed
        because of what the searcher sent.
      account: Account of the memory that messages keep.
    """

    __slots__ = (
        "_awaited_number",
        "_counters",
        "_memory",
        "_reader",
        "_response_future",
        "transport",
    )

    def __init__(
        self,
        counters: _calls.UpstreamCounters,
        account: limits.MemoryAccount,
    ):
        self._counters = counters
        self._memory = _response_memory.ResponseMemory(account, self.fail)
        self._reader = codec.ResponseReader()
        self._awaited_number = -1
        self._response_future: asyncio.Future[codec.Response] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Stores the open transport; called by the event loop."""
        self.transport = transport
        _response_memory.limit_transport(transport)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; called by the event loop."""
        if self.transport.is_closing():
            return
        try:
            responses = self._reader.feed(data)
        except http1.ProtocolError as error:
            # A response that was complete before the malformed bytes counts.
            self._take(self._reader.take_responses())
            self.fail(error)
            return
        if self._reader.has_partial or self._memory.is_recorded:
            self._record_kept()
        self._take(responses)

    def _take(self, responses: list[codec.Response]) -> None:
        for response in responses:
            future = self._response_future
            is_awaited = response.attempt == self._awaited_number
            if is_awaited and future is not None and not future.done():
                self._awaited_number = -1
                future.set_result(response)
            else:
                # Late, duplicate or with an unknown number: dropped, so that
                # no other call gets it.
                self._counters.unmatched += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the awaited response; called by the event loop."""
        self._end(EOFError("the searcher closed the connection"))
        _transports.release(self.transport)

    def send(self, call: _calls.Call) -> None:
        """Sends a call, unless the connection is closing.

        Sets `was_sent` of a call that it sends. The response completes the
        future of `next_response`.
        """
        self._awaited_number = call.number
        if not self.transport.is_closing():
            call.was_sent = True
            self.transport.write(call.payload)
            if self._memory.is_recorded:
                self._record_kept()

    def next_response(self) -> "asyncio.Future[codec.Response]":
        """Returns a future for the response to the current or next call.

        It fails with EOFError when the connection closes, and with ValueError
        when the searcher sends bytes that are not HTTP.
        """
        future = self._response_future = (
            asyncio.get_running_loop().create_future()
        )
        if self.transport.is_closing():
            future.set_exception(EOFError("the connection is closed"))
        return future

    def close(self) -> None:
        """Closes the connection, if open; nobody awaits a response any more."""
        # Its error was raised, and the frames refer to this object.
        self._response_future = None
        if self.transport is not None:
            self.transport.abort()
        self._reader.drop()
        self._memory.close()

    def fail(self, error: http1.ProtocolError) -> None:
        """Closes the connection at once; the awaited response raises it."""
        self._counters.malformed += 1
        # The traceback would keep the received bytes.
        self._end(http1.ProtocolError(error.status, str(error)))

    def pause_writing(self) -> None:
        """Records that bytes are not sent yet; called by the event loop."""
        self._record_kept()

    def resume_writing(self) -> None:
        """Records that sent bytes left; called by the event loop."""
        self._record_kept()

    def _record_kept(self) -> None:
        self._memory.record(
            self._reader, self.transport.get_write_buffer_size()
        )

    def _end(self, error: Exception) -> None:
        future = self._response_future
        if future is not None and not future.done():
            future.set_exception(error)
        self.transport.abort()
        self._reader.drop()
        self._memory.close()


class Connection:
    """One connection, whose task handles one call after another.

    Args:
      link: Supplies the searcher and the settings, and gets the callbacks.
    """

    __slots__ = ("_channel", "_link", "call", "task")

    def __init__(self, link: Link):
        self._link = link
        self._channel = _Channel(link.counters, link.account)
        self.call: _calls.Call | None = None
        self.task: asyncio.Task | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the searcher or this side has closed it."""
        transport = self._channel.transport
        return transport is not None and transport.is_closing()

    def start(self, call: _calls.Call) -> None:
        """Opens the connection and sends its first call."""
        self.call = call
        self.task = asyncio.create_task(self._run())

    def assign(self, call: _calls.Call) -> None:
        """Sends a call on an idle connection."""
        self.call = call
        self._channel.send(call)

    def abort(self) -> None:
        """Closes the connection immediately, without flushing."""
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
            self._channel.close()
            self._link.on_closed(self)

    async def _open(self) -> None:
        link = self._link
        searcher = link.searcher
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(link.connect_timeout_s):
                transport, _ = await loop.create_connection(
                    lambda: self._channel, searcher.address, searcher.port
                )
            _listening.share_local_port(transport)
        except (OSError, TimeoutError):
            link.on_connect_failed()
            raise
        link.on_connected()

    async def _serve(self) -> None:
        link = self._link
        channel = self._channel
        channel.send(self.call)
        while True:
            # Also awaited while idle: `assign` sends the next call, and its
            # response completes this future.
            response = await channel.next_response()
            self.call = link.on_response(self.call, response)
            if self.call is None:
                link.on_idle(self)
            else:
                channel.send(self.call)
