"""Client of the platform's configuration service and list of VMs."""

from citrondoor import errors
from citrondoor.links import _json_client
from citrondoor.schema import settings as schema_settings


class PublishedValue:
    """One value of the configuration service.

    Args:
      key: Its key.
      revision: Revision at which it was written.
      text: YAML text; empty if the value was removed.
    """

    __slots__ = ("key", "revision", "text")

    def __init__(self, key: str, revision: int, text: str):
        self.key = key
        self.revision = revision
        self.text = text


class VmList:
    """The platform's list of VMs, which lags behind their actual state.

    Args:
      live: Names of running VMs.
      leaving: Names of VMs that are going to be stopped.
    """

    __slots__ = ("leaving", "live")

    def __init__(self, live: list[str], leaving: list[str]):
        self.live = live
        self.leaving = leaving


class PlatformClient:
    """Reads published values and the list of VMs; never writes.

    Args:
      settings: URL and time limits.
    """

    __slots__ = ("_client", "_settings")

    def __init__(self, settings: schema_settings.PlatformSettings):
        self._settings = settings
        self._client = _json_client.JsonClient(
            settings.url, settings.timeout_ms, "`platform.url`"
        )

    @property
    def read_count(self) -> int:
        """Number of requests to the platform so far, long polls included."""
        return self._client.read_count

    async def watch(self, after: int) -> list[PublishedValue]:
        """Returns the values published after a revision.

        The service holds the request open until there are new values or
        `watch_ms` has elapsed.

        Args:
          after: Revision up to which the values are known.

        Raises:
          errors.PlatformError: The request failed or the response is malformed.
        """
        wait_ms = self._settings.watch_ms
        content = await self._get(
            f"/v1/changes?after={after}&wait_ms={wait_ms}", wait_ms
        )
        try:
            return [
                PublishedValue(
                    change["key"], int(change["revision"]), change["value"]
                )
                for change in content["changes"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise self._make_error(
                f"malformed list of changes: {error}"
            ) from error

    async def list_vms(self) -> VmList:
        """Returns the platform's list of VMs.

        Raises:
          errors.PlatformError: The request failed or the response is malformed.
        """
        content = await self._get("/v1/vms", 0)
        try:
            return VmList(list(content["live"]), list(content["leaving"]))
        except (KeyError, TypeError) as error:
            raise self._make_error(f"malformed list of VMs: {error}") from error

    async def close(self) -> None:
        """Does nothing: each request closes its own connection."""

    async def _get(self, path: str, extra_ms: int) -> dict:
        return await self._client.get(path, extra_ms)

    def _make_error(self, problem: str) -> errors.PlatformError:
        return self._client.make_error(problem)
