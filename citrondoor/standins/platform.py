"""Stand-in of the platform.

It serves a configuration service, read by long polling, and a VM list.
"""

import asyncio
import collections
import contextlib

import orjson
import uvicorn
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from citrondoor import clock as clocks

MAX_VALUE_BYTES = 1_048_576
MAX_READS_PER_S = 2000
# Readers see a change of the VM list after this delay.
VM_LIST_LAG_MS = 1000


class _Value:
    __slots__ = ("key", "revision", "text")

    def __init__(self, key: str, revision: int, text: str):
        self.key = key
        self.revision = revision
        self.text = text


class _VmList:
    __slots__ = ("leaving", "live", "set_at")

    def __init__(self, set_at: int, live: list[str], leaving: list[str]):
        self.set_at = set_at
        self.live = live
        self.leaving = leaving


class Platform:
    """Stores values by key, each with the revision that its write created.

    Args:
      clock: Clock of this process.

    Attributes:
      frozen_at: While set, readers see no revision later than this one.
      is_down: Whether all reads fail.
      most_reads_per_s: Largest number of reads within any second so far.
      read_count: Number of reads, failed ones included.
      revision: Revision of the last write; 0 before the first one.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_history",
        "_read_times",
        "_vm_lists",
        "frozen_at",
        "is_down",
        "most_reads_per_s",
        "read_count",
        "revision",
    )

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._history: list[_Value] = []
        self._vm_lists: list[_VmList] = [_VmList(0, [], [])]
        self._changed = asyncio.Event()
        self._read_times: collections.deque[int] = collections.deque()
        self.revision = 0
        self.is_down = False
        self.frozen_at: int | None = None
        self.read_count = 0
        self.most_reads_per_s = 0

    def publish(self, key: str, text: str) -> int:
        """Writes a value for an operator and returns its revision.

        Raises:
          ValueError: The value has more than `MAX_VALUE_BYTES`.
        """
        if len(text.encode()) > MAX_VALUE_BYTES:
            raise ValueError(f"{key} has more than {MAX_VALUE_BYTES} bytes")
        self.revision += 1
        self._history.append(_Value(key, self.revision, text))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def set_vms(self, live: list[str], leaving: list[str]) -> None:
        """Sets the VM list, which readers see after `VM_LIST_LAG_MS`."""
        self._vm_lists.append(_VmList(self._clock.now(), live, leaving))

    def vm_list(self) -> _VmList:
        """Returns the VM list that readers see now."""
        visible_until = self._clock.now() - VM_LIST_LAG_MS
        visible = [
            vm_list
            for vm_list in self._vm_lists
            if vm_list.set_at <= visible_until
        ]
        return visible[-1] if visible else self._vm_lists[0]

    def record_read(self) -> bool:
        """Counts a read.

        Returns:
          Whether it is served. It fails while the platform is down and beyond
          `MAX_READS_PER_S` reads in the last second.
        """
        now = self._clock.now()
        self.read_count += 1
        self._read_times.append(now)
        while self._read_times[0] <= now - clocks.MS_PER_S:
            self._read_times.popleft()
        self.most_reads_per_s = max(
            self.most_reads_per_s, len(self._read_times)
        )
        return not self.is_down and len(self._read_times) <= MAX_READS_PER_S

    def changed_after(self, revision: int) -> list[_Value]:
        """Returns the newest value of each key that changed after `revision`.

        The values are in order of their revisions.
        """
        last_visible = (
            self.revision if self.frozen_at is None else self.frozen_at
        )
        newest = {
            value.key: value
            for value in self._history
            if value.revision <= last_visible
        }
        changes = [
            value for value in newest.values() if value.revision > revision
        ]
        return sorted(changes, key=lambda value: value.revision)

    async def wait_for_change(
        self, revision: int, wait_ms: int
    ) -> list[_Value]:
        """Returns the changes after a revision, waiting up to `wait_ms`.

        The list may be empty after a timeout or when the platform is down.
        """
        timeout_at = self._clock.now() + wait_ms
        while True:
            changes = self.changed_after(revision)
            remaining_ms = timeout_at - self._clock.now()
            if changes or remaining_ms <= 0 or self.is_down:
                return changes
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_ms / clocks.MS_PER_S):
                    await self._changed.wait()


class _Handlers:
    __slots__ = ("_platform",)

    def __init__(self, platform: Platform):
        self._platform = platform

    async def changes(self, request: requests.Request) -> responses.Response:
        if not self._platform.record_read():
            return responses.Response(status_code=503)
        values = await self._platform.wait_for_change(
            int(request.query_params["after"]),
            int(request.query_params["wait_ms"]),
        )
        if self._platform.is_down:
            return responses.Response(status_code=503)
        changes = [
            {
                "key": value.key,
                "revision": value.revision,
                "value": value.text,
            }
            for value in values
        ]
        return _json({"changes": changes})

    async def vms(self, request: requests.Request) -> responses.Response:
        if not self._platform.record_read():
            return responses.Response(status_code=503)
        vm_list = self._platform.vm_list()
        return _json({"live": vm_list.live, "leaving": vm_list.leaving})

    async def publish(self, request: requests.Request) -> responses.Response:
        key = request.path_params["key"]
        text = (await request.body()).decode()
        return _json({"revision": self._platform.publish(key, text)})

    async def set_vms(self, request: requests.Request) -> responses.Response:
        content = orjson.loads(await request.body())
        self._platform.set_vms(content["live"], content["leaving"])
        return _json({})

    async def control(self, request: requests.Request) -> responses.Response:
        """Makes reads fail or return old revisions, and returns counters."""
        content = orjson.loads(await request.body())
        platform = self._platform
        platform.is_down = content.get("down", platform.is_down)
        if "frozen" in content:
            is_frozen = content["frozen"]
            platform.frozen_at = platform.revision if is_frozen else None
        if "frozen_at" in content:
            platform.frozen_at = content["frozen_at"]
        return _json(
            {
                "revision": platform.revision,
                "reads": platform.read_count,
                "most_reads_per_s": platform.most_reads_per_s,
            }
        )


def make_app(platform: Platform) -> applications.Starlette:
    """Returns the ASGI application that serves a platform."""
    handlers = _Handlers(platform)
    return applications.Starlette(
        routes=[
            routing.Route("/v1/changes", handlers.changes),
            routing.Route("/v1/vms", handlers.vms),
            routing.Route(
                "/operators/values/{key:path}",
                handlers.publish,
                methods=["PUT"],
            ),
            routing.Route("/operators/vms", handlers.set_vms, methods=["PUT"]),
            routing.Route(
                "/operators/control", handlers.control, methods=["POST"]
            ),
        ]
    )


def serve(address: str, port: int) -> None:
    """Serves an empty platform until SIGINT or SIGTERM."""
    uvicorn.run(
        make_app(Platform(clocks.Clock())),
        host=address,
        port=port,
        loop="asyncio",
        lifespan="off",
        log_level="error",
        timeout_graceful_shutdown=1,
    )


def _json(content: dict) -> responses.Response:
    return responses.Response(
        orjson.dumps(content), media_type="application/json"
    )
