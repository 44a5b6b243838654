"""Reads the configuration, searchers and evacuated zones from the store."""

import base64
import ipaddress
import re
import reprlib
import urllib.parse

from citrondoor import clock as clocks
from citrondoor import discovery
from citrondoor import entry
from citrondoor import limits
from citrondoor import links
from citrondoor import routes as routing
from citrondoor.codecs import bounded_json
from citrondoor.codecs import http1
from citrondoor.platform import _headers
from citrondoor.schema import serving

# Store keys. A prefix is followed by the name of a zone or id of a searcher.
_CONFIG_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
_SEARCHER_PREFIX = "servers/"
_ROUTE_KINDS = {
    "idempotent": serving.RouteKind.IDEMPOTENT,
    "non_idempotent": serving.RouteKind.NON_IDEMPOTENT,
}
_UPSTREAM_STATES = {
    "ready": serving.UpstreamState.READY,
    "draining": serving.UpstreamState.DRAINING,
}
# Ids go into a header of each request, so they may not contain a line break.
_UPSTREAM_ID = re.compile(r"[!-~]+")
# Largest numbers that messages to peers can carry.
_MAX_I32 = 2**31 - 1
_MAX_I64 = 2**63 - 1
# Maximum number of pages in one read, in case the store's listing never ends;
# 63,000 searchers take 130 pages.
_MAX_PAGES = 1000
# Limit on the estimated memory of a decoded value.
_MAX_DECODED_BYTES = 33_554_432
# Part of the account that one read may keep, and the estimated memory of an
# item beside its text.
_MAX_READ_SHARE = 0.5
_ITEM_BYTES = 512
# Unreadable keys that are remembered; further ones are not reported.
_MAX_REPORTED_KEYS = 1000
_MAX_REPORTED_CHARACTERS = 256


class StoreClient:
    """Reads the whole store page by page.

    Args:
      settings: Address and time limits.
      on_unreadable: Called with the key, the position and the reason if a value
        cannot be decoded. Each searcher is reported once, the configuration
        once for each position.
      account: Where the memory of reads in progress is recorded.
      turns: Turns of the connections that send wastefully; None for turns of
        this client alone.
    """

    __slots__ = (
        "_account",
        "_client",
        "_newest_era",
        "_newest_routes",
        "_on_unreadable",
        "_reported",
    )

    def __init__(
        self,
        settings: serving.StoreSettings,
        on_unreadable,
        account: limits.MemoryAccount,
        turns: links.ReadTurns | None = None,
    ):
        self._account = account
        self._client = links.JsonClient(
            f"http://{settings.address}",
            settings.timeout_ms,
            "`store.address`",
            account,
            turns,
        )
        self._on_unreadable = on_unreadable
        # Highest era in any response, refusals included.
        self._newest_era = 0
        # Position at which each unreadable key was last reported.
        self._reported: dict[str, discovery.Position] = {}
        # Position and routes of the newest readable configuration.
        self._newest_routes: tuple[
            discovery.Position, serving.RouteSet | None
        ] = (discovery.Position(0, -1), None)

    @property
    def read_count(self) -> int:
        """Number of requests sent to the store."""
        return self._client.read_count

    async def read(self) -> entry.StoreContents:
        """Returns the contents of the store.

        Values that cannot be decoded are reported and skipped; an unreadable
        configuration leaves the last readable one in place.

        Raises:
          errors.PlatformError: The store did not answer in time, or its answer
            could not be used.
        """
        reading = _Reading(self._account)
        try:
            for _ in range(_MAX_PAGES):
                # Not in a variable: the next page would be kept beside it.
                self._add_page(await self._get_page(reading), reading)
                if not reading.is_truncated:
                    return reading.contents
        finally:
            reading.holder.close()
        # Searchers that are missing in a part would be taken for gone.
        raise self._client.make_error(
            f"a listing of more than {_MAX_PAGES} pages"
        )

    async def _get_page(self, reading: "_Reading") -> dict:
        query = {"prefix": ""}
        if reading.after_key:
            query["after"] = reading.after_key
        response = await self._client.fetch(
            f"/-/kv-range?{urllib.parse.urlencode(query)}"
        )
        era = self._read_era(response)
        page = self._client.decode(response)
        if era < self._newest_era:
            raise self._client.make_error(
                f"a response of era {era}, while the store is in era"
                f" {self._newest_era}"
            )
        if reading.era not in (None, era):
            raise self._client.make_error(
                f"a listing of which one page is of era {reading.era} and the"
                f" next one of era {era}"
            )
        reading.era = era
        return page

    def _read_era(self, response: http1.Response) -> int:
        """Returns the era that a response states, whatever its status.

        Raises:
          errors.PlatformError: It is unreadable.
        """
        try:
            era = _decode_era(response.headers)
        except ValueError as error:
            raise self._client.make_error(str(error)) from error
        self._newest_era = max(self._newest_era, era)
        return era

    def _add_page(self, page: dict, reading: "_Reading") -> None:
        """Adds the items of a page to a read.

        Raises:
          errors.PlatformError: The page is unreadable, or the read keeps too
            much memory.
        """
        try:
            items = page["items"]
            revision = _revision(page["store-revision"])
            if reading.contents is None:
                reading.begin(revision)
            for item in items:
                self._add_item(item, reading)
            reading.is_truncated = bool(page.get("truncated"))
            last_key = items[-1]["key"] if items else ""
            if reading.is_truncated and last_key <= reading.after_key:
                raise ValueError(
                    f"the page after {reprlib.repr(reading.after_key)} ends at"
                    f" {reprlib.repr(last_key)} and is not the last one"
                )
            reading.contents.listing_revisions.add_page(
                revision,
                _last_searcher_id(last_key) if reading.is_truncated else None,
            )
            reading.after_key = last_key
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise self._client.make_error(
                f"an unreadable listing ({type(error).__name__}: {error})"
            ) from error
        reading.holder.record(reading.kept_bytes)
        if reading.has_given_way or reading.kept_bytes > reading.max_bytes:
            raise self._client.make_error(
                f"a listing that keeps {reading.kept_bytes} bytes, of"
                f" {reading.max_bytes} allowed, while other messages are kept"
            )

    def _add_item(self, item: dict, reading: "_Reading") -> None:
        key = item["key"]
        contents = reading.contents
        if key.startswith(_SEARCHER_PREFIX):
            try:
                upstream_id = key.removeprefix(_SEARCHER_PREFIX)
                upstream = decode_upstream(upstream_id, _decode_value(item))
            except (KeyError, TypeError, ValueError) as error:
                self._report_unreadable(item, reading, error)
                return
            contents.upstreams.append(upstream)
            contents.listing_revisions.add_created(
                upstream_id, _revision(item["created"])
            )
            reading.kept_bytes += _ITEM_BYTES + len(item["value"])
        elif key.startswith(_EVACUATION_PREFIX):
            contents.evacuated_zones.append(
                key.removeprefix(_EVACUATION_PREFIX)
            )
            reading.kept_bytes += _ITEM_BYTES + len(key)
        elif key == _CONFIG_KEY:
            contents.routes = self._decode_routes(item, reading)

    def _decode_routes(
        self, item: dict, reading: "_Reading"
    ) -> serving.RouteSet | None:
        """Returns the item's routes, or the newest ones if it is unreadable.

        Those that take more memory than the read has left are unreadable.
        """
        newest_at, routes = self._newest_routes
        position = discovery.Position(reading.era, _revision(item["rev"]))
        if position == newest_at:
            return routes
        try:
            room = max(0, reading.max_bytes - reading.kept_bytes)
            decoded = decode_routes(
                _decode_value(item, min(_MAX_DECODED_BYTES, room))
            )
            reading.kept_bytes += routing.estimate_bytes(decoded)
        except (KeyError, TypeError, ValueError) as error:
            self._report_unreadable(item, reading, error)
            return routes
        # A read that overlaps a newer one must not replace the newer routes.
        if position > newest_at:
            self._newest_routes = (position, decoded)
        return decoded

    def _report_unreadable(
        self, item: dict, reading: "_Reading", error: Exception
    ) -> None:
        key = item["key"][:_MAX_REPORTED_CHARACTERS]
        position = discovery.Position(reading.era, _revision(item["rev"]))
        if key not in self._reported:
            if len(self._reported) >= _MAX_REPORTED_KEYS:
                return
        elif key != _CONFIG_KEY or self._reported[key] == position:
            return
        self._reported[key] = position
        reason = f"{type(error).__name__}: {error}"
        self._on_unreadable(key, position, reason[:_MAX_REPORTED_CHARACTERS])


class _Reading:
    """State of one read of the store.

    Args:
      account: Where what it keeps is recorded.

    Attributes:
      after_key: Last key of the last page.
      contents: Contents of the pages read so far; None before the first.
      era: Era of the store in all pages; None before the first.
      has_given_way: Whether the account chose it to be dropped.
      holder: Its holder in the account.
      is_truncated: Whether there are further pages.
      kept_bytes: Estimate of the memory that `contents` keeps.
      max_bytes: Limit on `kept_bytes`.
    """

    __slots__ = (
        "after_key",
        "contents",
        "era",
        "has_given_way",
        "holder",
        "is_truncated",
        "kept_bytes",
        "max_bytes",
    )

    def __init__(self, account: limits.MemoryAccount):
        self.after_key = ""
        self.contents: entry.StoreContents | None = None
        self.era: int | None = None
        self.has_given_way = False
        self.holder = account.open(serving.Sender.STORE, self._give_way)
        self.is_truncated = True
        self.kept_bytes = 0
        self.max_bytes = int(account.max_bytes * _MAX_READ_SHARE)

    def begin(self, revision: int) -> None:
        """Begins with a first page, read at this revision of the store."""
        self.contents = entry.StoreContents(
            discovery.Position(self.era, revision),
            None,
            [],
            [],
            discovery.ListingRevisions(revision),
        )

    def _give_way(self) -> None:
        self.has_given_way = True


def _last_searcher_id(last_key: str) -> str | None:
    """Returns the id up to which searchers are in pages that end at a key.

    It is empty if none is, and None if all are.
    """
    if last_key.startswith(_SEARCHER_PREFIX):
        return last_key.removeprefix(_SEARCHER_PREFIX)
    return "" if last_key < _SEARCHER_PREFIX else None


def _decode_value(item: dict, max_bytes: int = _MAX_DECODED_BYTES) -> dict:
    try:
        value = bounded_json.decode(
            base64.b64decode(item["value"], validate=True), max_bytes
        )
    except ValueError as error:
        raise ValueError(
            f"the value is not base64-encoded JSON: {error}"
        ) from error
    if not isinstance(value, dict):
        raise TypeError(
            f"the value is of type {type(value).__name__}, not an object"
        )
    return value


def _decode_era(headers: http1.Headers) -> int:
    """Returns the era that a response of the store states; 0 if none."""
    values = [value for name, value in headers if name == _headers.STORE_ERA]
    if not values:
        return 0
    if len(values) > 1 or not values[0].isdigit():
        raise ValueError(f"the era is {reprlib.repr(values)}")
    return _revision(values[0])


def _revision(value) -> int:
    revision = int(value)
    if not 0 <= revision <= _MAX_I64:
        raise ValueError(f"the revision is {reprlib.repr(value)}")
    return revision


def _mapping(value, what: str) -> dict:
    if not isinstance(value, dict):
        raise TypeError(f"{what} is {reprlib.repr(value)}, not an object")
    return value


def _text(value: dict, name: str) -> str:
    text = value[name]
    if not isinstance(text, str) or not text:
        raise TypeError(
            f"{name} is {reprlib.repr(text)}, not a non-empty string"
        )
    return text


def _texts(value: dict, name: str) -> list[str]:
    texts = value.get(name) or []
    if not isinstance(texts, list) or not all(
        isinstance(text, str) for text in texts
    ):
        raise TypeError(
            f"{name} is {reprlib.repr(texts)}, not a list of strings"
        )
    return texts


def _number(
    value: dict,
    name: str,
    default: float | None = None,
    limit: int = _MAX_I32,
) -> float:
    number = value[name] if default is None else value.get(name, default)
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise TypeError(f"{name} is {reprlib.repr(number)}, not a number")
    if not -limit <= number <= limit:
        raise ValueError(
            f"{name} is {reprlib.repr(number)}, not a number within {limit}"
        )
    return number


def _non_negative_int(
    value: dict,
    name: str,
    default: int | None = None,
    limit: int = _MAX_I32,
) -> int:
    number = _number(value, name, default, limit)
    if not isinstance(number, int) or number < 0:
        raise TypeError(
            f"{name} is {reprlib.repr(number)}, not a non-negative integer"
        )
    return number


def decode_upstream(upstream_id: str, value: dict) -> serving.Upstream:
    """Returns the searcher that a store value describes.

    Args:
      upstream_id: Id of the searcher, from the key.
      value: The searcher's registration in the store.

    Raises:
      KeyError: A field is missing.
      TypeError: A field has the wrong type.
      ValueError: A field has a value that is not allowed.
    """
    if not _UPSTREAM_ID.fullmatch(upstream_id):
        raise ValueError(
            f"the id {reprlib.repr(upstream_id)} is not printable ASCII"
        )
    host, _, port = _text(value, "address").rpartition(":")
    state = _text(value, "state")
    if state not in _UPSTREAM_STATES:
        raise ValueError(
            f"state is {reprlib.repr(state)}, not ready or draining"
        )
    if not _is_ip_address(host) or not 0 < int(port) < 65536:
        raise ValueError(
            f"address is {reprlib.repr(value['address'])}, not IP:PORT"
        )
    capacity = _non_negative_int(value, "capacity")
    # Required and checked, but not used.
    _non_negative_int(value, "seq", limit=_MAX_I64)
    return serving.Upstream(
        upstream_id,
        _text(value, "service"),
        host,
        int(port),
        _text(value, "zone"),
        max(1, capacity),
        _UPSTREAM_STATES[state],
        int(_number(value, "warmup-left-ms")),
        # Start of the searcher's process in Unix ms, not of its registration.
        _non_negative_int(value, "born", limit=_MAX_I64),
    )


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def decode_routes(value: dict) -> serving.RouteSet:
    """Returns the configuration that a store value describes.

    Raises:
      KeyError: A field is missing.
      TypeError: A field has the wrong type.
      ValueError: A field has a value that is not allowed.
    """
    limits = _mapping(value["limits"], "limits")
    return serving.RouteSet(
        _non_negative_int(value, "version", limit=_MAX_I64),
        [_decode_route(_mapping(r, "a route")) for r in value["routes"]],
        [_decode_backend(_mapping(b, "a service")) for b in value["services"]],
        serving.CallerLimits(
            _non_negative_int(limits, "max-header-bytes"),
            _non_negative_int(limits, "max-body-bytes"),
            _non_negative_int(limits, "header-timeout-ms"),
            _non_negative_int(limits, "idle-timeout-ms"),
        ),
    )


def _decode_route(route: dict) -> serving.Route:
    # "gather" lists shards, "backends" weighted alternatives; "service" names a
    # single back end and overrides "backends".
    shards = _texts(route, "gather")
    backends = [
        _decode_weighted_backend(_mapping(target, "a back end"))
        for target in route.get("backends") or []
    ]
    if route.get("service"):
        backends = [serving.WeightedBackend(_text(route, "service"), 1.0)]
    if bool(shards) == bool(backends):
        raise ValueError(
            f"route {reprlib.repr(route.get('name'))} needs either shards or"
            " back ends"
        )
    kind = _text(route, "kind")
    if kind not in _ROUTE_KINDS:
        raise ValueError(
            f"kind is {reprlib.repr(kind)}, not idempotent or non_idempotent"
        )
    timeout_ms = int(_number(route, "timeout-ms"))
    return serving.Route(
        _text(route, "name"),
        _text(route, "host"),
        _text(route, "prefix"),
        _ROUTE_KINDS[kind],
        timeout_ms,
        int(_number(route, "goal-ms", timeout_ms)),
        # Searchers per shard that may run one request, not attempts in all.
        max(1, _non_negative_int(route, "max-attempts", 1)),
        _non_negative_int(route, "priority", 0),
        backends,
        shards,
        _non_negative_int(route, "top-k", 0),
        # Minimum share of the shards, not of one shard's records.
        float(_number(route, "min-part-share", 1)),
        # Regions of the searchers, not of the callers; empty allows all.
        _texts(route, "allowed-regions"),
    )


def _decode_weighted_backend(target: dict) -> serving.WeightedBackend:
    return serving.WeightedBackend(
        _text(target, "service"), float(_number(target, "weight"))
    )


def _decode_backend(backend: dict) -> serving.RouteBackend:
    warmup_s = _number(backend, "warmup-s", 0)
    return serving.RouteBackend(
        _text(backend, "name"),
        _text(backend, "health-path") if backend.get("health-path") else "",
        # Connections to one searcher from all daemons, not from each.
        max(1, _non_negative_int(backend, "max-connections", 16)),
        int(warmup_s * clocks.MS_PER_S),
        # Maximum request rate of a cold searcher; 0 means no limit.
        float(_number(backend, "warmup-per-s", 0)),
    )
