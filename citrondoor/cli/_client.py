"""Blocking HTTP client for the API of one or more daemons."""

import asyncio

import aiosonic
import orjson

from citrondoor import clock as clocks
from citrondoor import errors

TIMEOUT_MS = 5000


class Reply:
    """A daemon's reply, or the failure to get one.

    Args:
      url: URL of the daemon.
      status: HTTP status; 0 when no complete reply arrived in time.
      content: JSON body; empty when there is none or it is not JSON.
    """

    __slots__ = ("content", "status", "url")

    def __init__(self, url: str, status: int, content: dict):
        self.url = url
        self.status = status
        self.content = content

    @property
    def is_ok(self) -> bool:
        """Whether the HTTP status is 200."""
        return self.status == 200


class DaemonClient:
    """Sends requests to a list of daemons.

    Args:
      urls: Base URLs of the daemons.
      key: Key of a customer or of the operators, sent as bearer token.
    """

    __slots__ = ("_key", "_urls")

    def __init__(self, urls: list[str], key: str):
        self._urls = urls
        self._key = key

    def request_all(self, path: str) -> list[Reply]:
        """Sends a GET request to all daemons at once; returns every reply."""
        return asyncio.run(self._request_all(path))

    def request_first(
        self,
        path: str,
        content: dict | None = None,
        timeout_ms: int = TIMEOUT_MS,
    ) -> Reply:
        """Tries the daemons in order until one replies; returns its reply.

        Args:
          path: Path and query of the URL.
          content: JSON body of a POST request; None sends a GET request.
          timeout_ms: Time limit for each daemon, in milliseconds.

        Raises:
          errors.PeerUnreachableError: No daemon replied.
        """
        return asyncio.run(self._request_first(path, content, timeout_ms))

    async def _request_all(self, path: str) -> list[Reply]:
        client = aiosonic.HTTPClient()
        pending = [
            self._request(client, url, path, None, TIMEOUT_MS)
            for url in self._urls
        ]
        replies = await asyncio.gather(*pending)
        await client.connector.cleanup()
        return list(replies)

    async def _request_first(
        self, path: str, content: dict | None, timeout_ms: int
    ) -> Reply:
        client = aiosonic.HTTPClient()
        try:
            for url in self._urls:
                reply = await self._request(
                    client, url, path, content, timeout_ms
                )
                if reply.status:
                    return reply
        finally:
            await client.connector.cleanup()
        raise errors.PeerUnreachableError(
            f"none of {', '.join(self._urls)} was reached and replied in time;"
            " name running daemons with --entry, and repeat a run only with the"
            " same --id, because it may have been executed"
        )

    async def _request(
        self,
        client: aiosonic.HTTPClient,
        url: str,
        path: str,
        content: dict | None,
        timeout_ms: int,
    ) -> Reply:
        timeout_s = timeout_ms / clocks.MS_PER_S
        timeouts = aiosonic.Timeouts(
            sock_connect=timeout_s,
            sock_read=timeout_s,
            request_timeout=timeout_s,
        )
        headers = {"authorization": f"Bearer {self._key}"}
        try:
            response = await client.request(
                url + path,
                method="POST" if content is not None else "GET",
                headers=headers,
                data=orjson.dumps(content) if content is not None else None,
                timeouts=timeouts,
            )
            body = await response.content()
            return Reply(url, response.status_code, orjson.loads(body))
        except orjson.JSONDecodeError:
            return Reply(url, response.status_code, {})
        except Exception:  # aiosonic raises many unrelated types.
            return Reply(url, 0, {})
