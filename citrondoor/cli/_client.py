"""Asks daemons over HTTP."""

import asyncio

import aiosonic
import orjson

from citrondoor import clock as clocks
from citrondoor import errors

TIMEOUT_MS = 5000


class Reply:
    """A daemon's reply.

    Args:
      url: URL of the daemon.
      status: HTTP status; 0 when it could not be reached.
      content: JSON body.
    """

    __slots__ = ("content", "status", "url")

    def __init__(self, url: str, status: int, content: dict):
        self.url = url
        self.status = status
        self.content = content

    @property
    def is_ok(self) -> bool:
        """Whether the daemon answered."""
        return self.status == 200


class DaemonClient:
    """Asks some daemons.

    Args:
      urls: URLs of the daemons.
      key: Key of a customer or of the operators.
    """

    __slots__ = ("_key", "_urls")

    def __init__(self, urls: list[str], key: str):
        self._urls = urls
        self._key = key

    def ask_all(self, path: str) -> list[Reply]:
        """Returns the reply of every daemon."""
        return asyncio.run(self._ask_all(path))

    def ask_first(
        self,
        path: str,
        content: dict | None = None,
        timeout_ms: int = TIMEOUT_MS,
    ) -> Reply:
        """Returns the reply of the first daemon that can be reached.

        Raises:
          errors.PlatformError: None could be reached.
        """
        return asyncio.run(self._ask_first(path, content, timeout_ms))

    async def _ask_all(self, path: str) -> list[Reply]:
        client = aiosonic.HTTPClient()
        asks = [
            self._ask(client, url, path, None, TIMEOUT_MS) for url in self._urls
        ]
        replies = await asyncio.gather(*asks)
        await client.connector.cleanup()
        return list(replies)

    async def _ask_first(
        self, path: str, content: dict | None, timeout_ms: int
    ) -> Reply:
        client = aiosonic.HTTPClient()
        try:
            for url in self._urls:
                reply = await self._ask(client, url, path, content, timeout_ms)
                if reply.status:
                    return reply
        finally:
            await client.connector.cleanup()
        raise errors.PeerUnreachableError(
            f"none of {', '.join(self._urls)} can be reached; name running"
            " daemons with --entry"
        )

    async def _ask(
        self,
        client: aiosonic.HTTPClient,
        url: str,
        path: str,
        content: dict | None,
        timeout_ms: int,
    ) -> Reply:
        limit_s = timeout_ms / clocks.MS_PER_S
        timeouts = aiosonic.Timeouts(
            sock_connect=limit_s, sock_read=limit_s, request_timeout=limit_s
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
        except Exception:  # The client raises many kinds.
            return Reply(url, 0, {})
