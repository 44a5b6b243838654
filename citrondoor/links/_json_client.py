"""Reads JSON values of the platform over HTTP."""

import aiosonic
import orjson

from citrondoor import clock as clocks
from citrondoor import errors


class JsonClient:
    """Sends GET requests; after a failure it connects anew.

    Args:
      url: Scheme, host and port.
      timeout_ms: Longest time for a connection, and for a response.
      setting: Setting that errors name as the remedy.
    """

    __slots__ = ("_client", "_setting", "_timeout_ms", "_url", "read_count")

    def __init__(self, url: str, timeout_ms: int, setting: str):
        self._url = url
        self._timeout_ms = timeout_ms
        self._setting = setting
        self._client = aiosonic.HTTPClient()
        self.read_count = 0

    async def get(self, path: str, extra_ms: int = 0) -> dict:
        """Returns the decoded body of a response.

        Args:
          path: Path and query.
          extra_ms: Time that the platform may take beside the usual.

        Raises:
          errors.PlatformError: The platform gave no usable answer.
        """
        limit_s = (self._timeout_ms + extra_ms) / clocks.MS_PER_S
        timeouts = aiosonic.Timeouts(
            sock_connect=self._timeout_ms / clocks.MS_PER_S,
            sock_read=limit_s,
            request_timeout=limit_s,
        )
        self.read_count += 1
        try:
            response = await self._client.get(
                self._url + path, timeouts=timeouts
            )
            body = await response.content()
        except Exception as error:  # The client raises many kinds.
            await self._replace_client()
            raise self.unusable(f"{type(error).__name__}: {error}") from error
        if response.status_code != 200:
            raise self.unusable(f"status {response.status_code}")
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise self.unusable("a body that is no JSON") from error

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.connector.cleanup()

    def unusable(self, found: str) -> errors.PlatformError:
        """Returns the error for an answer that cannot be used."""
        return errors.PlatformError(
            f"the platform gave {found}; the configuration in force stays,"
            f" check {self._setting} and the service"
        )

    async def _replace_client(self) -> None:
        # The library may reuse a connection whose response is still to come:
        # that response would be taken for the next one.
        await self._client.connector.cleanup()
        self._client = aiosonic.HTTPClient()
