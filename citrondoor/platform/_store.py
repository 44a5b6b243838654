"""The platform's store: configuration, searchers and evacuated zones."""

import base64
import binascii
import urllib.parse

import orjson

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import links
from citrondoor.schema import serving

_CONFIG_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
_SEARCHER_PREFIX = "servers/"
_KINDS = {
    "idempotent": serving.RouteKind.IDEMPOTENT,
    "non_idempotent": serving.RouteKind.NON_IDEMPOTENT,
}
_STATES = {
    "ready": serving.UpstreamState.READY,
    "draining": serving.UpstreamState.DRAINING,
}
# A listing that does not end is no listing; 63,000 searchers take 130 pages.
_MAX_PAGES = 1000


class StoreClient:
    """Reads the whole store page by page.

    Args:
      settings: Address and time limits.
      on_unreadable: Called with a key and the reason, once for each value.
    """

    __slots__ = ("_client", "_on_unreadable", "_reported", "_routes")

    def __init__(self, settings: serving.StoreSettings, on_unreadable):
        self._client = links.JsonClient(
            f"http://{settings.address}",
            settings.timeout_ms,
            "`store.address`",
        )
        self._on_unreadable = on_unreadable
        # Last change of each unreadable value that was reported.
        self._reported: dict[str, int] = {}
        # The newest readable configuration, and the change that brought it.
        self._routes: tuple[int, serving.RouteSet | None] = (-1, None)

    @property
    def read_count(self) -> int:
        """Calls of the store so far."""
        return self._client.read_count

    async def read(self) -> entry.StoreContents:
        """Returns everything that the store holds.

        Raises:
          errors.PlatformError: The store gave no usable answer.
        """
        revision: int | None = None
        after = ""
        reading = entry.StoreContents(0, None, [], [])
        for _ in range(_MAX_PAGES):
            query = {"prefix": ""}
            if after:
                query["after"] = after
            path = f"/-/kv-range?{urllib.parse.urlencode(query)}"
            page = await self._client.get(path)
            try:
                items = page["items"]
                if revision is None:
                    revision = int(page["store-revision"])
                for item in items:
                    self._take(item, reading)
                is_truncated = bool(page.get("truncated"))
                after = items[-1]["key"] if items else ""
            except (AttributeError, KeyError, TypeError, ValueError) as error:
                raise self._client.make_error(
                    f"a listing with {type(error).__name__} {error}"
                ) from error
            if not is_truncated or not after:
                break
        reading.revision = revision
        reading.routes = self._routes[1]
        return reading

    def _take(self, item: dict, reading: entry.StoreContents) -> None:
        key = item["key"]
        if key.startswith(_SEARCHER_PREFIX):
            try:
                upstream = decode_upstream(
                    key.removeprefix(_SEARCHER_PREFIX), _value_of(item)
                )
            except (KeyError, TypeError, ValueError) as error:
                self._report(item, error)
                return
            reading.upstreams.append(upstream)
        elif key.startswith(_EVACUATION_PREFIX):
            reading.evacuated_zones.append(key.removeprefix(_EVACUATION_PREFIX))
        elif key == _CONFIG_KEY and item["rev"] != self._routes[0]:
            try:
                routes = decode_routes(_value_of(item))
            except (KeyError, TypeError, ValueError) as error:
                self._report(item, error)
                return
            self._routes = (item["rev"], routes)

    def _report(self, item: dict, error: Exception) -> None:
        key, revision = item["key"], item["rev"]
        if key not in self._reported or key == _CONFIG_KEY:
            if self._reported.get(key) != revision:
                self._on_unreadable(
                    key, revision, f"{type(error).__name__}: {error}"
                )
            self._reported[key] = revision


def _value_of(item: dict) -> dict:
    try:
        value = orjson.loads(base64.b64decode(item["value"], validate=True))
    except (binascii.Error, orjson.JSONDecodeError) as error:
        raise ValueError(f"the value cannot be decoded: {error}") from error
    if not isinstance(value, dict):
        raise TypeError(f"the value is {type(value).__name__}, no object")
    return value


def _text(value: dict, name: str) -> str:
    found = value[name]
    if not isinstance(found, str) or not found:
        raise TypeError(f"{name} is {found!r}, no text")
    return found


def _number(value: dict, name: str, default: float | None = None) -> float:
    found = value[name] if default is None else value.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f"{name} is {found!r}, no number")
    if found != found or found in (float("inf"), float("-inf")):
        raise ValueError(f"{name} is {found!r}, not finite")
    return found


def _whole(value: dict, name: str, default: int | None = None) -> int:
    found = _number(value, name, default)
    if not isinstance(found, int) or found < 0:
        raise TypeError(f"{name} is {found!r}, no whole number from 0")
    return found


def decode_upstream(upstream_id: str, value: dict) -> serving.Upstream:
    """Returns a searcher's entry.

    Raises:
      KeyError: A field is missing.
      TypeError: A field has another type.
      ValueError: A field has a value that is not allowed.
    """
    host, _, port = _text(value, "address").rpartition(":")
    state = _text(value, "state")
    if state not in _STATES:
        raise ValueError(f"state is {state!r}")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"address is {value['address']!r}")
    capacity = _whole(value, "capacity")
    _whole(value, "seq")
    return serving.Upstream(
        upstream_id,
        _text(value, "service"),
        host,
        int(port),
        _text(value, "zone"),
        max(1, capacity),
        _STATES[state],
        int(_number(value, "warmup-left-ms")),
        # Unix ms of the start of the process, not of the entry.
        _whole(value, "born"),
    )


def decode_routes(value: dict) -> serving.RouteSet:
    """Returns a version of the configuration.

    Raises:
      KeyError: A field is missing.
      TypeError: A field has another type.
      ValueError: A field has a value that is not allowed.
    """
    limits = value["limits"]
    return serving.RouteSet(
        _whole(value, "version"),
        [_decode_route(route) for route in value["routes"]],
        [_decode_backend(service) for service in value["services"]],
        serving.CallerLimits(
            _whole(limits, "max-header-bytes"),
            _whole(limits, "max-body-bytes"),
            _whole(limits, "header-timeout-ms"),
            _whole(limits, "idle-timeout-ms"),
        ),
    )


def _decode_route(route: dict) -> serving.Route:
    # "gather" lists the shards; "backends" are weighted alternatives.
    shards = list(route.get("gather") or [])
    backends = [
        serving.WeightedBackend(
            _text(part, "service"), float(_number(part, "weight"))
        )
        for part in route.get("backends") or []
    ]
    if route.get("service"):
        backends = [serving.WeightedBackend(_text(route, "service"), 1.0)]
    if bool(shards) == bool(backends):
        raise ValueError(f"route {route.get('name')!r} names no back ends")
    kind = _text(route, "kind")
    if kind not in _KINDS:
        raise ValueError(f"kind is {kind!r}")
    timeout_ms = int(_number(route, "timeout-ms"))
    return serving.Route(
        _text(route, "name"),
        _text(route, "host"),
        _text(route, "prefix"),
        _KINDS[kind],
        timeout_ms,
        int(_number(route, "goal-ms", timeout_ms)),
        max(1, _whole(route, "max-attempts", 1)),
        _whole(route, "priority", 0),
        backends,
        shards,
        _whole(route, "top-k", 0),
        float(_number(route, "min-part-share", 1)),
        list(route.get("allowed-regions") or []),
    )


def _decode_backend(service: dict) -> serving.RouteBackend:
    seconds = _number(service, "warmup-s", 0)
    return serving.RouteBackend(
        _text(service, "name"),
        service.get("health-path", ""),
        max(1, _whole(service, "max-connections", 16)),
        int(seconds * clocks.MS_PER_S),
        float(_number(service, "warmup-per-s", 0)),
    )
