"""Reads JSON values of the platform over HTTP.

A connection serves one request: the platform may lose an answer and send it
later, on a connection that a library would use again.
"""

import asyncio
import http
import urllib.parse

import orjson

from citrondoor import addresses
from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor.codecs import http1

READ_BYTES = 262_144


class JsonClient:
    """Sends GET requests, each on a connection of its own.

    Args:
      url: Scheme, host and port.
      timeout_ms: Longest time for a connection and a response.
      setting: Setting that errors name as the remedy.
    """

    __slots__ = ("_address", "_setting", "_timeout_ms", "read_count")

    def __init__(self, url: str, timeout_ms: int, setting: str):
        self._address = addresses.split_address(
            urllib.parse.urlsplit(url).netloc
        )
        self._timeout_ms = timeout_ms
        self._setting = setting
        self.read_count = 0

    async def get(self, path: str, extra_ms: int = 0) -> dict:
        """Returns the decoded body of a response.

        Args:
          path: Path and query.
          extra_ms: Time that the platform may take beside the usual.

        Raises:
          errors.PlatformError: The platform gave no usable answer.
        """
        self.read_count += 1
        limit_s = (self._timeout_ms + extra_ms) / clocks.MS_PER_S
        try:
            async with asyncio.timeout(limit_s):
                response = await self._exchange(path.encode())
        except TimeoutError as error:
            raise self.make_error(f"nothing within {limit_s:g} s") from error
        except (OSError, EOFError, http1.ProtocolError) as error:
            raise self.make_error(f"{type(error).__name__}: {error}") from error
        if response.status != http.HTTPStatus.OK:
            raise self.make_error(f"status {response.status}")
        try:
            return orjson.loads(response.body)
        except orjson.JSONDecodeError as error:
            raise self.make_error("a body that is no JSON") from error

    def make_error(self, found: str) -> errors.PlatformError:
        """Returns the error for an answer that cannot be used."""
        return errors.PlatformError(
            f"the platform gave {found}; the configuration in force stays,"
            f" check {self._setting} and the service"
        )

    async def _exchange(self, target: bytes) -> http1.Response:
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            host = "{}:{}".format(*self._address).encode()
            headers = [(b"host", host), (b"connection", b"close")]
            writer.write(http1.encode_request(b"GET", target, headers, b""))
            parser = http1.ResponseReader()
            while data := await reader.read(READ_BYTES):
                for response in parser.feed(data):
                    return response
            last = parser.finish()
            if last is None:
                raise EOFError("the connection ended before the answer")
            return last
        finally:
            writer.transport.abort()
