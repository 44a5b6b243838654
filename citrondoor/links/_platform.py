"""Reads the platform: published values, and the list of VMs."""

import aiosonic
import orjson

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor.schema import settings as schema_settings


class PublishedValue:
    """One value of the configuration service.

    Args:
      key: Its key.
      revision: Revision at which it was written.
      text: YAML text; empty when it was removed.
    """

    __slots__ = ("key", "revision", "text")

    def __init__(self, key: str, revision: int, text: str):
        self.key = key
        self.revision = revision
        self.text = text


class VmList:
    """The platform's lagging list of VMs.

    Args:
      live: Names of VMs that run.
      leaving: Names of VMs that will be stopped.
    """

    __slots__ = ("leaving", "live")

    def __init__(self, live: list[str], leaving: list[str]):
        self.live = live
        self.leaving = leaving


class PlatformClient:
    """Reads and watches; it never writes.

    Args:
      settings: Address and time limits.
    """

    __slots__ = ("_client", "_reads", "_settings")

    def __init__(self, settings: schema_settings.PlatformSettings):
        self._settings = settings
        self._client = aiosonic.HTTPClient()
        self._reads = 0

    @property
    def read_count(self) -> int:
        """Calls of the platform so far, watches included."""
        return self._reads

    async def watch(self, after: int) -> list[PublishedValue]:
        """Returns values newer than a revision; waits until there are some.

        Raises:
          errors.PlatformError: The service gave no usable answer.
        """
        wait_ms = self._settings.watch_ms
        content = await self._get(
            f"/v1/changes?after={after}&wait_ms={wait_ms}", wait_ms
        )
        try:
            return [
                PublishedValue(v["key"], int(v["revision"]), v["value"])
                for v in content["changes"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise _unusable(f"changes without {error}") from error

    async def list_vms(self) -> VmList:
        """Returns the lagging list of VMs.

        Raises:
          errors.PlatformError: The service gave no usable answer.
        """
        content = await self._get("/v1/vms", 0)
        try:
            return VmList(list(content["live"]), list(content["leaving"]))
        except (KeyError, TypeError) as error:
            raise _unusable(f"a VM list without {error}") from error

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.connector.cleanup()

    async def _replace_client(self) -> None:
        # The library may reuse a connection whose response is still to come:
        # that response would be taken for the next one.
        await self._client.connector.cleanup()
        self._client = aiosonic.HTTPClient()

    async def _get(self, path: str, extra_ms: int) -> dict:
        limit_s = (self._settings.timeout_ms + extra_ms) / clocks.MS_PER_S
        timeouts = aiosonic.Timeouts(
            sock_connect=self._settings.timeout_ms / clocks.MS_PER_S,
            sock_read=limit_s,
            request_timeout=limit_s,
        )
        self._reads += 1
        try:
            response = await self._client.get(
                self._settings.url + path, timeouts=timeouts
            )
            body = await response.content()
        except Exception as error:  # The client raises many kinds.
            await self._replace_client()
            raise _unusable(f"{type(error).__name__}: {error}") from error
        if response.status_code != 200:
            raise _unusable(f"status {response.status_code}")
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise _unusable("a body that is no JSON") from error


def _unusable(found: str) -> errors.PlatformError:
    return errors.PlatformError(
        f"the platform gave {found}; the configuration in force stays, check"
        " `platform.url` and the service"
    )
