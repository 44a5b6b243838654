"""Reads the platform: published values, and the list of VMs."""

from citrondoor import errors
from citrondoor.links import _json_client
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

    __slots__ = ("_client", "_settings")

    def __init__(self, settings: schema_settings.PlatformSettings):
        self._settings = settings
        self._client = _json_client.JsonClient(
            settings.url, settings.timeout_ms, "`platform.url`"
        )

    @property
    def read_count(self) -> int:
        """Calls of the platform so far, watches included."""
        return self._client.read_count

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
            raise self._unusable(f"changes without {error}") from error

    async def list_vms(self) -> VmList:
        """Returns the lagging list of VMs.

        Raises:
          errors.PlatformError: The service gave no usable answer.
        """
        content = await self._get("/v1/vms", 0)
        try:
            return VmList(list(content["live"]), list(content["leaving"]))
        except (KeyError, TypeError) as error:
            raise self._unusable(f"a VM list without {error}") from error

    async def close(self) -> None:
        """Ends nothing: each connection ends with its answer."""

    async def _get(self, path: str, extra_ms: int) -> dict:
        return await self._client.get(path, extra_ms)

    def _unusable(self, found: str) -> errors.PlatformError:
        return self._client.make_error(found)
