"""A small HTTP/1.1 client that closes a connection after any failure."""

import asyncio
import urllib.parse

import httptools

from citrondoor import clock as clocks

READ_BYTES = 65536


class Response:
    """One HTTP response.

    Args:
      status: HTTP status.
      body: Response body.
    """

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes):
        self.status = status
        self.body = body


class _Connection:
    """One connection with at most one request in flight."""

    __slots__ = ("_body", "_is_complete", "_parser", "_reader", "_writer")

    def __init__(self):
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._is_complete = False

    @property
    def is_open(self) -> bool:
        return not (self._writer.is_closing() or self._reader.at_eof())

    async def open(self, address: str, port: int) -> None:
        self._reader, self._writer = await asyncio.open_connection(
            address, port
        )

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()

    def on_body(self, part: bytes) -> None:
        self._body.append(part)

    def on_message_complete(self) -> None:
        self._is_complete = True

    async def exchange(self, request: bytes) -> Response:
        self._body = []
        self._is_complete = False
        self._writer.write(request)
        while not self._is_complete:
            data = await self._reader.read(READ_BYTES)
            if not data:
                raise EOFError("the server closed the connection")
            self._parser.feed_data(data)
        status = self._parser.get_status_code()
        return Response(status, b"".join(self._body))


class HttpClient:
    """Sends requests and keeps idle connections by address and port."""

    __slots__ = ("_idle_by_endpoint",)

    def __init__(self):
        self._idle_by_endpoint: dict[tuple[str, int], list[_Connection]] = {}

    async def request(
        self,
        method: str,
        url: str,
        key: str,
        body: bytes,
        timeout_ms: int,
    ) -> Response:
        """Sends a request and returns the response.

        Args:
          method: HTTP method.
          url: URL with an IP address and a port.
          key: Bearer token of the authorization header.
          body: Request body; empty for none.
          timeout_ms: Time to connect, send and read the whole response, in ms.

        Raises:
          OSError: The server can't be reached.
          TimeoutError: The response wasn't complete after `timeout_ms`.
          EOFError: The server closed the connection before the response ended.
          httptools.HttpParserError: The response isn't valid HTTP.
        """
        parts = urllib.parse.urlsplit(url)
        endpoint = (parts.hostname, parts.port)
        path = parts.path + (f"?{parts.query}" if parts.query else "")
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {parts.netloc}\r\n"
            f"authorization: Bearer {key}\r\n"
            f"content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        connection = self._pop_idle(endpoint)
        try:
            async with asyncio.timeout(timeout_ms / clocks.MS_PER_S):
                if connection is None:
                    connection = _Connection()
                    await connection.open(*endpoint)
                response = await connection.exchange(head.encode() + body)
        except BaseException:
            # On a reused connection, a late response to this request would be
            # read as the response to the next one.
            if connection is not None:
                connection.close()
            raise
        self._idle_by_endpoint.setdefault(endpoint, []).append(connection)
        return response

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self._idle_by_endpoint.values():
            for connection in connections:
                connection.close()
        self._idle_by_endpoint.clear()

    def _pop_idle(self, endpoint: tuple[str, int]) -> _Connection | None:
        connections = self._idle_by_endpoint.get(endpoint, [])
        while connections:
            connection = connections.pop()
            if connection.is_open:
                return connection
            connection.close()
        return None
