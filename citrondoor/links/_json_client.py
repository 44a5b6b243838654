"""HTTP client for the JSON APIs of the platform.

Every request uses its own connection: the platform may send a response after
the client has timed out, and on a reused connection it would be read as the
response to the next request.
"""

import asyncio
import functools
import http
import urllib.parse

from citrondoor import addresses
from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor import limits
from citrondoor.codecs import bounded_json
from citrondoor.codecs import http1
from citrondoor.links import _listening
from citrondoor.links import _read_turns
from citrondoor.schema import serving

READ_CHUNK_BYTES = 65_536
# Bytes that are read at a time of a response that comes in tiny parts, and the
# limit on such a response.
WASTEFUL_READ_BYTES = 4096
MAX_WASTEFUL_BYTES = 262_144
# Limits on a response: bytes received, whatever its framing, and the estimated
# memory of its decoded body. A page of the store has about 1 MB of items, and a
# configuration of 1 MB may be one of them.
MAX_RESPONSE_BYTES = 8_388_608
MAX_DECODED_BYTES = 33_554_432


class JsonClient:
    """Sends GET requests, each on a connection of its own.

    Args:
      url: Scheme, host and port.
      timeout_ms: Time limit for connecting and reading the response.
      setting: Name of the setting that error messages tell operators to check.
      account: Where the memory of partial responses is recorded; None leaves
        them to the limits of each response.
      turns: Turns of the connections that send wastefully; None for turns of
        this client alone.
    """

    __slots__ = (
        "_account",
        "_address",
        "_setting",
        "_timeout_ms",
        "_turns",
        "read_count",
    )

    def __init__(
        self,
        url: str,
        timeout_ms: int,
        setting: str,
        account: limits.MemoryAccount | None = None,
        turns: _read_turns.ReadTurns | None = None,
    ):
        self._turns = turns or _read_turns.ReadTurns(clocks.Clock())
        self._account = account or limits.MemoryAccount()
        self._address = addresses.split_address(
            urllib.parse.urlsplit(url).netloc
        )
        self._timeout_ms = timeout_ms
        self._setting = setting
        self.read_count = 0

    async def get(self, path: str, extra_ms: int = 0) -> dict:
        """Sends a GET request and returns the decoded body of the response.

        Args:
          path: Path and query.
          extra_ms: Time added to the timeout, for a long poll.

        Raises:
          errors.PlatformError: The request failed or timed out, or the response
            is not JSON with status 200.
        """
        return self.decode(await self.fetch(path, extra_ms))

    async def fetch(self, path: str, extra_ms: int = 0) -> http1.Response:
        """Sends a GET request and returns the response, whatever its status.

        Args:
          path: Path and query.
          extra_ms: Time added to the timeout, for a long poll.

        Raises:
          errors.PlatformError: The request failed or timed out.
        """
        self.read_count += 1
        timeout_s = (self._timeout_ms + extra_ms) / clocks.MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(path.encode())
        except TimeoutError as error:
            raise self.make_error(
                f"no response within {timeout_s:g} s"
            ) from error
        except (OSError, EOFError, http1.ProtocolError) as error:
            raise self.make_error(f"{type(error).__name__}: {error}") from error

    def decode(self, response: http1.Response) -> dict:
        """Returns the decoded body of a response.

        Raises:
          errors.PlatformError: The response is not JSON with status 200.
        """
        if response.status != http.HTTPStatus.OK:
            raise self.make_error(f"status {response.status}")
        try:
            return bounded_json.decode(response.body, MAX_DECODED_BYTES)
        except ValueError as error:
            raise self.make_error(f"the body is unusable: {error}") from error

    def make_error(self, problem: str) -> errors.PlatformError:
        """Returns the error for a failed request or an unusable response."""
        return errors.PlatformError(
            f"no usable answer from the platform: {problem}; the last usable"
            f" answer, if any, stays in use; check {self._setting} and the"
            " service at this address"
        )

    async def _exchange(self, target: bytes) -> http1.Response:
        reader, writer = await _listening.open_connection(*self._address)
        holder = self._account.open(
            serving.Sender.STORE,
            functools.partial(
                reader.set_exception,
                http1.ProtocolError(
                    502,
                    "the messages of all senders need too much memory, and the"
                    " response the most",
                ),
            ),
        )
        received_bytes = 0
        read_bytes = READ_CHUNK_BYTES
        effort = limits.MessageEffort()
        parser = http1.ResponseReader(MAX_RESPONSE_BYTES)
        try:
            host = "{}:{}".format(*self._address).encode()
            headers = [(b"host", host), (b"connection", b"close")]
            writer.write(http1.encode_request(b"GET", target, headers, b""))
            while data := await reader.read(read_bytes):
                received_bytes += len(data)
                if received_bytes > MAX_RESPONSE_BYTES:
                    raise http1.ProtocolError(
                        502, f"a response over {MAX_RESPONSE_BYTES} bytes"
                    )
                for response in parser.feed(data):
                    return response
                holder.record(parser.kept_bytes, parser.is_endless)
                pieces, parser.pieces = parser.pieces, 0
                wasteful = effort.record(pieces + limits.READ_PIECES, len(data))
                if wasteful:
                    if received_bytes > MAX_WASTEFUL_BYTES:
                        raise http1.ProtocolError(
                            502,
                            f"a response over {MAX_WASTEFUL_BYTES} bytes in"
                            " tiny parts",
                        )
                    read_bytes = WASTEFUL_READ_BYTES
                    if not self._turns.spend(wasteful):
                        await self._turns.wait_for_turn()
            response = parser.finish()
            if response is None:
                raise EOFError("connection closed before a complete response")
            return response
        finally:
            holder.close()
            parser.drop()
            writer.transport.abort()
