import asyncio
import base64
import contextlib

import hypothesis
import orjson
import pytest
from hypothesis import strategies

from citrondoor import discovery
from citrondoor import errors
from citrondoor import limits
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.codecs import peers
from citrondoor.platform import _store
from citrondoor.schema import serving
from tests import garbage

REGISTRATION = {
    "service": "store",
    "address": "10.0.0.1:9000",
    "zone": "a",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "warmup-left-ms": 40,
    "seq": 4,
    "born": 17,
}
ROUTE = {
    "name": "r",
    "host": "shop.example",
    "prefix": "/g/",
    "kind": "idempotent",
    "timeout-ms": 500,
    "goal-ms": 95,
    "priority": 2,
    "gather": ["s1", "s2"],
    "max-attempts": 2,
    "top-k": 5,
    "min-part-share": 0.75,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "s1",
            "health-path": "/healthz",
            "max-connections": 31,
            "warmup-s": 3.0,
            "warmup-per-s": 2.5,
        }
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


def item(key, value, rev=1, created=1):
    data = value if isinstance(value, bytes) else orjson.dumps(value)
    return {
        "key": key,
        "value": base64.b64encode(data).decode(),
        "rev": rev,
        "created": created,
        "lease": 0,
    }


class FakeStore:
    """Fake store; lists two items a page unless told otherwise.

    Attributes:
      page_items: Items of a page.
      status: HTTP status of its responses.
      body: Body of all responses; None sends the listing.
    """

    def __init__(self, items, page_items=2, body=None):
        self.items = sorted(items, key=lambda entry: entry["key"])
        self.page_items = page_items
        self.status = 200
        self.body: bytes | None = body
        # Of each answer, in turn; the last one of all that follow.
        self.revisions = [30]
        self.eras = [None]

    async def handle(self, request, disconnected):
        revision = self.revisions[0]
        if len(self.revisions) > 1:
            del self.revisions[0]
        era = self.eras[0]
        if len(self.eras) > 1:
            del self.eras[0]
        headers = [] if era is None else [(b"Store-Era", era)]
        query = request.target.decode().partition("?")[2]
        after_key = dict(
            parameter.split("=") for parameter in query.split("&")
        ).get("after", "")
        after_key = after_key.replace("%2F", "/")
        remaining = [entry for entry in self.items if entry["key"] > after_key]
        page = {
            "items": remaining[: self.page_items],
            "truncated": len(remaining) > self.page_items,
            "store-revision": revision,
        }
        body = self.body if self.body is not None else orjson.dumps(page)
        return http1.Response(self.status, headers, body)


@contextlib.asynccontextmanager
async def serve_store(fake, on_unreadable=lambda *args: None, account=None):
    """Serves a fake store; returns a client of it."""
    server = links.HttpServer(fake)
    await server.start("127.0.0.1", 0)
    try:
        yield _store.StoreClient(
            serving.StoreSettings(f"127.0.0.1:{server.port}"),
            on_unreadable,
            account or limits.MemoryAccount(2**30),
        )
    finally:
        await server.close(0)


def read(fake, times=1, account=None):
    unreadable = []

    async def body():
        async with serve_store(
            fake, lambda key, *args: unreadable.append(key), account
        ) as client:
            for _ in range(times):
                contents = await client.read()
        return contents, unreadable

    return asyncio.run(body())


def test_each_searcher_has_the_revision_of_its_page():
    # Guards against changes between two pages that are taken for older ones.
    fake = FakeStore(
        [item(f"servers/i-{n}", REGISTRATION, created=n) for n in range(5)]
        + [item("op/config", CONFIG), item("op/evacuate/b", {})]
    )
    fake.revisions = [30, 31, 33, 36]
    contents, _ = read(fake)
    assert contents.position.revision == 30
    revisions = contents.listing_revisions
    ids = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"]
    assert [revisions.revision_of(i) for i in ids] == [31, 31, 33, 33, 36, 36]
    assert revisions.created_at("i-3") == 3


def test_a_listing_with_keys_of_others_after_the_searchers_has_revisions():
    fake = FakeStore(
        [item(f"servers/i-{n}", REGISTRATION) for n in range(3)]
        + [item(f"zones/{n}", {}) for n in range(3)]
    )
    fake.revisions = [30, 31, 33]
    contents, _ = read(fake)
    revisions = contents.listing_revisions
    ids = ["i-0", "i-1", "i-2", "i-3"]
    assert [revisions.revision_of(i) for i in ids] == [30, 30, 31, 31]


def test_a_revision_that_falls_within_a_listing_is_an_error():
    # The pages are of two histories of the store.
    fake = FakeStore([item(f"servers/i-{n}", REGISTRATION) for n in range(5)])
    fake.revisions = [30, 29]
    with pytest.raises(errors.PlatformError, match="fell from 30 to 29"):
        read(fake)


def test_a_configuration_at_a_revision_that_is_given_out_again_is_read():
    # Guards against routes that stay as they were because the store, back from
    # a copy, gave their revision to another version.
    fake = FakeStore([item("op/config", CONFIG, 30)])
    fake.eras = [b"1", b"2"]

    async def body():
        async with serve_store(fake) as client:
            versions = [(await client.read()).routes.version]
            fake.items = [item("op/config", CONFIG | {"version": 9}, 30)]
            contents = await client.read()
            return [*versions, contents.routes.version], contents.position

    versions, position = asyncio.run(body())
    assert versions == [7, 9]
    assert position == discovery.Position(2, 30)


def test_an_unreadable_configuration_is_reported_in_each_era():
    # Guards against a report that is left out as one of its revision was made.
    fake = FakeStore([item("op/config", {}, 30)])
    fake.eras = [b"1", b"1", b"2"]
    _, unreadable = read(fake, times=3)
    assert unreadable == ["op/config"] * 2


def test_a_store_that_states_no_era_is_in_era_0():
    contents, _ = read(FakeStore([]))
    assert contents.position == discovery.Position(0, 30)


def test_a_listing_of_two_eras_is_not_used():
    # Guards against searchers that count as removed because the pages before
    # the return from a copy and those after it are taken for one listing.
    fake = FakeStore([item(f"servers/i-{n}", REGISTRATION) for n in range(5)])
    fake.eras = [b"1", b"2"]
    with pytest.raises(errors.PlatformError, match="era 1 and the next one"):
        read(fake)


@pytest.mark.parametrize("status", [200, 410, 429, 503])
def test_a_response_of_an_older_era_than_any_other_is_not_used(status):
    # Guards against a late response that brings back what a copy replaced.
    fake = FakeStore([])
    fake.eras = [b"4", b"3"]
    fake.status = status

    async def body():
        async with serve_store(fake) as client:
            with contextlib.suppress(errors.PlatformError):
                await client.read()
            fake.status = 200
            with pytest.raises(errors.PlatformError, match="is in era 4"):
                await client.read()

    asyncio.run(body())


def test_a_refusal_without_an_era_is_reported_by_its_status():
    fake = FakeStore([])
    fake.eras = [b"4", None]

    async def body():
        async with serve_store(fake) as client:
            await client.read()
            fake.status = 503
            with pytest.raises(errors.PlatformError, match="status 503"):
                await client.read()

    asyncio.run(body())


@pytest.mark.parametrize("era", [b"", b"-1", b"1.5", b"new", b"9" * 20])
def test_an_unreadable_era_fails_the_read(era):
    fake = FakeStore([])
    fake.eras = [era]
    with pytest.raises(errors.PlatformError, match="is "):
        read(fake)


def test_all_pages_of_a_listing_are_read():
    fake = FakeStore(
        [item(f"servers/i-{n}", REGISTRATION) for n in range(5)]
        + [item("op/config", CONFIG), item("op/evacuate/b", {})]
    )
    contents, unreadable = read(fake)
    assert contents.position.revision == 30
    assert [u.id for u in contents.upstreams] == [f"i-{n}" for n in range(5)]
    assert contents.evacuated_zones == ["b"]
    assert contents.routes.version == 7
    assert unreadable == []


def test_platform_fields_are_decoded_into_internal_fields():
    upstream = _store.decode_upstream("i-1", REGISTRATION)
    assert (upstream.host, upstream.port) == ("10.0.0.1", 9000)
    assert (upstream.backend, upstream.born_ms) == ("store", 17)
    assert upstream.warm_in_ms == 40
    (route,) = _store.decode_routes(CONFIG).routes
    assert (route.shards, route.top, route.target_ms) == (["s1", "s2"], 5, 95)
    (backend,) = _store.decode_routes(CONFIG).backends
    assert (backend.warmup_ms, backend.warmup_per_s) == (3000, 2.5)


def test_weights_and_kinds_of_routes_are_decoded():
    changed = {k: v for k, v in ROUTE.items() if k != "gather"}
    changed["backends"] = [
        {"service": "old", "weight": 3},
        {"service": "new", "weight": 1},
    ]
    changed["kind"] = "non_idempotent"
    (route,) = _store.decode_routes(CONFIG | {"routes": [changed]}).routes
    assert [(b.backend, b.weight) for b in route.backends] == [
        ("old", 3.0),
        ("new", 1.0),
    ]
    assert route.kind == serving.RouteKind.NON_IDEMPOTENT


ARBITRARY_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=2),
    max_leaves=3,
)


@hypothesis.given(
    strategies.sampled_from(sorted(REGISTRATION)),
    ARBITRARY_VALUES | strategies.just("absent"),
)
@hypothesis.example("capacity", 2**40)
@hypothesis.example("warmup-left-ms", 1e300)
@hypothesis.example("born", 2**63)
def test_a_registration_with_any_field_value_is_decoded_or_rejected(
    name, value
):
    changed = dict(REGISTRATION)
    if value == "absent":
        del changed[name]
    else:
        changed[name] = value
    try:
        upstream = _store.decode_upstream("i-1", changed)
    except (KeyError, TypeError, ValueError):
        return
    assert isinstance(upstream.capacity, int)
    assert 0 < upstream.port < 65536
    # One entry that cannot be sent would keep all peers from the view.
    peers.encode(serving.UpstreamNews("i-1", 1, upstream))


CONFIG_PARTS = {
    "config": lambda part: CONFIG | part,
    "route": lambda part: CONFIG | {"routes": [ROUTE | part]},
    "service": lambda part: (
        CONFIG | {"services": [CONFIG["services"][0] | part]}
    ),
    "limits": lambda part: CONFIG | {"limits": CONFIG["limits"] | part},
}
CONFIG_FIELDS = [
    *(("config", name) for name in CONFIG),
    *(("route", name) for name in ROUTE),
    ("route", "service"),
    ("route", "backends"),
    ("route", "allowed-regions"),
    *(("service", name) for name in CONFIG["services"][0]),
    *(("limits", name) for name in CONFIG["limits"]),
]


@hypothesis.given(
    strategies.sampled_from(CONFIG_FIELDS),
    ARBITRARY_VALUES
    | strategies.dictionaries(strategies.text(), strategies.integers()),
)
def test_a_configuration_with_any_field_value_is_decoded_or_rejected(
    field, value
):
    part, name = field
    try:
        route_set = _store.decode_routes(CONFIG_PARTS[part]({name: value}))
    except (KeyError, TypeError, ValueError):
        return
    peers.encode(route_set)


@pytest.mark.parametrize("upstream_id", ["", "a\r\nx-evil: 1", "a b", "\u00e9"])
def test_an_id_that_does_not_fit_a_header_names_no_searcher(upstream_id):
    with pytest.raises(ValueError, match="printable"):
        _store.decode_upstream(upstream_id, REGISTRATION)


def test_a_host_name_names_no_searcher():
    with pytest.raises(ValueError, match="IP:PORT"):
        _store.decode_upstream(
            "i-1", REGISTRATION | {"address": "x\x00.example:9000"}
        )


def test_a_malformed_configuration_leaves_the_searchers_readable():
    broken = CONFIG | {"routes": ["no object"]}
    fake = FakeStore(
        [item("op/config", broken), item("servers/i-1", REGISTRATION)]
    )
    contents, unreadable = read(fake)
    assert [upstream.id for upstream in contents.upstreams] == ["i-1"]
    assert unreadable == ["op/config"]


@pytest.mark.parametrize(
    "malformed",
    [
        b"no json",
        [],
        REGISTRATION | {"state": "asleep"},
        REGISTRATION | {"born": 1.5},
        REGISTRATION | {"born": True},
        {k: v for k, v in REGISTRATION.items() if k != "seq"},
        REGISTRATION | {"address": "10.0.0.1"},
    ],
)
def test_an_unreadable_registration_is_reported_once_and_skipped(malformed):
    fake = FakeStore(
        [item("servers/i-1", malformed), item("servers/i-2", REGISTRATION)]
    )
    contents, unreadable = read(fake, times=3)
    assert [u.id for u in contents.upstreams] == ["i-2"]
    assert unreadable == ["servers/i-1"]


def test_an_unreadable_first_configuration_is_reported_and_yields_no_routes():
    fake = FakeStore([item("op/config", CONFIG)])
    good, _ = read(fake)
    assert good.routes.version == 7
    fake.items = [item("op/config", CONFIG | {"routes": [{}]}, rev=2)]
    contents, unreadable = read(fake)
    assert contents.routes is None
    assert unreadable == ["op/config"]


@pytest.mark.parametrize(
    ("status", "body"),
    [(503, b""), (429, b""), (200, b"<html>"), (200, b"[]"), (200, b"{}")],
)
def test_an_unusable_response_raises_an_error_that_names_the_setting(
    status, body
):
    fake = FakeStore([])
    fake.status, fake.body = status, body
    with pytest.raises(errors.PlatformError, match=r"store\.address"):
        read(fake)


@pytest.mark.parametrize(
    "items",
    [
        # The same page again and again.
        [item("op/config", CONFIG)],
        # Truncated before the first item, so there is no next page to ask for.
        [],
    ],
)
def test_a_listing_that_does_not_advance_is_an_error(items):
    # It was read 1,000 times, or taken for the whole one, and the searchers
    # that it lacked were taken for gone.
    fake = FakeStore([])
    fake.body = orjson.dumps(
        {"items": items, "truncated": True, "store-revision": 30}
    )
    with pytest.raises(errors.PlatformError, match="page"):
        read(fake)


class EndlessStore(FakeStore):
    """Lists new searchers without end."""

    def __init__(self):
        super().__init__([])
        self.page_count = 0

    async def handle(self, request, disconnected):
        self.page_count += 1
        key = f"servers/i-{self.page_count:06}"
        page = {
            "items": [item(key, REGISTRATION)],
            "truncated": True,
            "store-revision": 30,
        }
        return http1.Response(200, [], orjson.dumps(page))


def test_a_listing_without_end_is_an_error():
    # The pages up to the limit were taken for the whole listing.
    fake = EndlessStore()
    with pytest.raises(errors.PlatformError, match="page"):
        read(fake)
    assert fake.page_count <= 1000


def test_overlapping_reads_keep_their_own_configuration():
    class PagedClient:
        """Answers each request when the test resolves its future."""

        def __init__(self):
            self.requests = []

        async def fetch(self, path):
            self.requests.append(asyncio.get_running_loop().create_future())
            return http1.Response(200, [], await self.requests[-1])

        def decode(self, response):
            return response.body

    def make_page(version, is_truncated):
        config = item("op/config", CONFIG | {"version": version}, version)
        return {
            "items": [config],
            "truncated": is_truncated,
            "store-revision": version,
        }

    async def body():
        client = _store.StoreClient(
            serving.StoreSettings("127.0.0.1:1"),
            lambda *args: None,
            limits.MemoryAccount(2**30),
        )
        client._client = paged = PagedClient()
        older = asyncio.create_task(client.read())
        newer = asyncio.create_task(client.read())
        await asyncio.sleep(0)
        older_request, newer_request = paged.requests
        newer_request.set_result(make_page(8, True))
        await asyncio.sleep(0.01)
        older_request.set_result(make_page(7, False))
        assert (await older).routes.version == 7
        paged.requests[-1].set_result(
            {"items": [], "truncated": False, "store-revision": 9}
        )
        contents = await newer
        assert (contents.position.revision, contents.routes.version) == (8, 8)

    asyncio.run(body())


DEEP = b"[" * 1000 + b"]" * 1000


@pytest.mark.parametrize(
    "value",
    [
        {"limits": "DEEP"},
        CONFIG | {"routes": ["DEEP"]},
        CONFIG | {"version": "DEEP"},
        CONFIG | {"version": "x" * 1_000_000},
    ],
)
def test_deep_or_long_json_is_reported_shortly_and_does_not_end_the_reads(
    value,
):
    reasons = []

    def report(key, revision, reason):
        reasons.append(reason)

    account = limits.MemoryAccount()
    client = _store.StoreClient(
        serving.StoreSettings("127.0.0.1:1"), report, account
    )
    text = orjson.dumps(value).replace(b'"DEEP"', DEEP)
    entry = item("op/config", {}, 3)
    entry["value"] = base64.b64encode(text).decode()
    reading = _store._Reading(account)
    reading.era = 0
    assert client._decode_routes(entry, reading) is None
    assert len(reasons) == 1
    assert len(reasons[0]) < 300


def test_a_deep_listing_is_a_platform_error():
    body = b'{"items": [], "store-revision": %b}' % (b"[" * 900 + b"]" * 900)
    fake = FakeStore([], body=body)
    with pytest.raises(errors.PlatformError, match="unreadable listing"):
        read(fake)


def test_unreadable_keys_are_remembered_and_reported_up_to_a_limit():
    fake = FakeStore([item(f"servers/i-{n:04}", {}) for n in range(1500)], 500)
    contents, unreadable = read(fake, times=2)
    assert contents.upstreams == []
    assert len(unreadable) == _store._MAX_REPORTED_KEYS


def test_a_listing_that_keeps_too_much_memory_is_dropped():
    items = [item(f"servers/i-{n:04}", REGISTRATION) for n in range(1500)]
    account = limits.MemoryAccount(1_000_000)
    with pytest.raises(errors.PlatformError, match="of 500000 allowed"):
        read(FakeStore(items, 100), account=account)
    assert account.kept_bytes == 0
    assert account.peak_bytes > 400_000


@pytest.mark.parametrize("status", [200, 500])
def test_a_read_leaves_nothing_for_a_garbage_collection(status):
    fake = FakeStore([item("op/config", CONFIG)])
    fake.status = status

    async def body():
        server = links.HttpServer(fake)
        await server.start("127.0.0.1", 0)
        client = _store.StoreClient(
            serving.StoreSettings(f"127.0.0.1:{server.port}"),
            lambda key, revision, reason: None,
            limits.MemoryAccount(),
        )
        with garbage.left_behind() as kinds:
            with contextlib.suppress(errors.PlatformError):
                await client.read()
            await asyncio.sleep(0.05)
        await server.close(0)
        return kinds

    assert asyncio.run(body()) == []


def test_a_configuration_over_the_memory_of_a_read_leaves_the_last_one():
    # Up to 33 MB were decoded on no account.
    reasons = []

    def report(key, revision, reason):
        reasons.append(reason)

    client = _store.StoreClient(
        serving.StoreSettings("127.0.0.1:1"),
        report,
        limits.MemoryAccount(60_000),
    )
    reading = _store._Reading(client._account)
    reading.era = 0
    small = CONFIG | {"version": 3, "routes": [], "services": []}
    routes = client._decode_routes(item("op/config", small, 3), reading)
    assert routes.version == 3
    services = [{"name": f"service-{n}"} for n in range(300)]
    large = small | {"version": 4, "services": services}
    for _ in range(2):
        kept = client._decode_routes(item("op/config", large, 4), reading)
        assert kept is routes
    assert len(reasons) == 1
    assert "are allowed" in reasons[0]
