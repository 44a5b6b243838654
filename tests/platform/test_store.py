import asyncio
import base64

import hypothesis
import orjson
import pytest
from hypothesis import strategies

from citrondoor import errors
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.platform import _store
from citrondoor.schema import serving

ENTRY = {
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


def item(key, value, rev=1):
    data = value if isinstance(value, bytes) else orjson.dumps(value)
    return {
        "key": key,
        "value": base64.b64encode(data).decode(),
        "rev": rev,
        "created": 1,
        "lease": 0,
    }


class FakeStore:
    """Answers listings in pages of two, or as it is told."""

    def __init__(self, items):
        self.items = sorted(items, key=lambda i: i["key"])
        self.status = 200
        self.body: bytes | None = None

    async def handle(self, request, disconnected):
        query = request.target.decode().partition("?")[2]
        after = dict(p.split("=") for p in query.split("&")).get("after", "")
        after = after.replace("%2F", "/")
        later = [i for i in self.items if i["key"] > after]
        page = {
            "items": later[:2],
            "truncated": len(later) > 2,
            "store-revision": 30,
        }
        body = self.body if self.body is not None else orjson.dumps(page)
        return http1.Response(self.status, [], body)


def read(fake, times=1):
    async def body():
        server = links.HttpServer(fake)
        await server.start("127.0.0.1", 0)
        unreadable = []
        client = _store.StoreClient(
            serving.StoreSettings(f"127.0.0.1:{server.port}"),
            lambda key, revision, reason: unreadable.append(key),
        )
        try:
            for _ in range(times):
                reading = await client.read()
        finally:
            await server.close(0)
        return reading, unreadable

    return asyncio.run(body())


def test_all_pages_of_a_listing_are_read():
    fake = FakeStore(
        [item(f"servers/i-{n}", ENTRY) for n in range(5)]
        + [item("op/config", CONFIG), item("op/evacuate/b", {})]
    )
    reading, unreadable = read(fake)
    assert reading.revision == 30
    assert [u.id for u in reading.upstreams] == [f"i-{n}" for n in range(5)]
    assert reading.evacuated_zones == ["b"]
    assert reading.routes.version == 7
    assert unreadable == []


def test_names_are_decoded_into_the_projects_fields():
    upstream = _store.decode_upstream("i-1", ENTRY)
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


FOREIGN_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**40), 2**40)
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=2),
    max_leaves=3,
)


@hypothesis.given(
    strategies.sampled_from(sorted(ENTRY)),
    FOREIGN_VALUES | strategies.just("absent"),
)
def test_a_foreign_entry_is_decoded_or_refused_by_a_known_error(name, value):
    changed = dict(ENTRY)
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


@pytest.mark.parametrize(
    "foreign",
    [
        b"no json",
        [],
        ENTRY | {"state": "asleep"},
        ENTRY | {"born": 1.5},
        ENTRY | {"born": True},
        {k: v for k, v in ENTRY.items() if k != "seq"},
        ENTRY | {"address": "10.0.0.1"},
    ],
)
def test_an_unreadable_entry_names_nobody_and_the_others_hold(foreign):
    fake = FakeStore([item("servers/i-1", foreign), item("servers/i-2", ENTRY)])
    reading, unreadable = read(fake, times=3)
    assert [u.id for u in reading.upstreams] == ["i-2"]
    assert unreadable == ["servers/i-1"]


def test_an_unreadable_configuration_leaves_the_last_good_one():
    fake = FakeStore([item("op/config", CONFIG)])
    good, _ = read(fake)
    assert good.routes.version == 7
    fake.items = [item("op/config", CONFIG | {"routes": [{}]}, rev=2)]
    reading, unreadable = read(fake)
    assert reading.routes is None
    assert unreadable == ["op/config"]


@pytest.mark.parametrize(
    ("status", "body"),
    [(503, b""), (429, b""), (200, b"<html>"), (200, b"[]"), (200, b"{}")],
)
def test_an_unusable_answer_is_an_error_that_names_the_setting(status, body):
    fake = FakeStore([])
    fake.status, fake.body = status, body
    with pytest.raises(errors.PlatformError, match=r"store\.address"):
        read(fake)
