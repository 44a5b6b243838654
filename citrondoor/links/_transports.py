"""Frees the transports of connections when these close."""

import asyncio


def release(transport: asyncio.BaseTransport | None) -> None:
    """Breaks the reference of a closed transport to itself.

    asyncio's transport keeps a bound method of its own, which is not called any
    more once the connection is lost. With it, transport and socket would not be
    freed before a garbage collection.
    """
    if hasattr(transport, "_read_ready_cb"):
        transport._read_ready_cb = None


class StreamProtocol(asyncio.StreamReaderProtocol):
    """Feeds a stream, and releases the transport when the connection closes.

    It has attributes of the class that it extends, hence no slots.
    """

    def connection_made(self, transport) -> None:
        """Stores the open transport; called by the event loop."""
        self._open_transport = transport
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the stream; called by the event loop."""
        super().connection_lost(exc)
        release(self._open_transport)
        self._open_transport = None


async def open_streams(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection, as `asyncio.open_connection` does."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    protocol = StreamProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
