"""Tests the HTTP API over a real TCP connection."""

import asyncio
import hashlib
import time

import orjson
import pytest

from citrondoor import front
from citrondoor import limits
from citrondoor import links
from citrondoor import telemetry
from citrondoor.schema import settings as schema_settings
from tests import fakes
from tests import samples

OPERATOR_KEY = "operators"
SETTINGS = schema_settings.CallerSettings(
    max_body_bytes=2000, header_timeout_ms=100, body_timeout_ms=100
)


class ServedApi:
    """An API server on a TCP port, for a daemon of an in-process cluster."""

    def __init__(self, settings=SETTINGS, bound=None, account=None):
        self.cluster = fakes.FakeCluster()
        daemon = self.cluster.daemons["vm-0"]
        status = front.StatusReporter(
            daemon.view, daemon.pool, 1, lambda: "serving", lambda: 1, {}
        )
        handlers = front.ApiHandlers(
            daemon.service,
            status,
            telemetry.Metrics("vm-0", "za"),
            self.cluster.clock,
            settings,
            hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
            account or limits.MemoryAccount(),
        )
        self.server = front.ApiServer(
            front.make_app(handlers), settings, bound, front.turn_away
        )
        self.port = 0

    async def start(self):
        self.server.serve(links.open_listener("127.0.0.1", 0))
        self.port = await self.server.wait_port()

    async def exchange(self, data: bytes) -> tuple[int, dict]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        received = await reader.read()
        writer.close()
        head, _, body = received.partition(b"\r\n\r\n")
        if not head:
            return 0, {}
        return int(head.split()[1]), orjson.loads(body)


def make_post(path: str, body: bytes, key: str = samples.KEY, length=None):
    size = len(body) if length is None else length
    head = (
        f"POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
        f"authorization: Bearer {key}\r\ncontent-length: {size}\r\n\r\n"
    )
    return head.encode() + body


def search_body(number: int = 1, **changes) -> bytes:
    content = {"id": f"s.{number}", "backend": "desk", "query": "q"}
    return orjson.dumps({**content, **changes})


def run_scenario(scenario, settings=SETTINGS, bound=None, account=None):
    async def run_with_server():
        api = ServedApi(settings, bound, account)
        await api.start()
        try:
            await scenario(api)
        finally:
            await api.server.close()

    asyncio.run(run_with_server())


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        (make_post("/v1/search", b"{"), 400, "malformed"),
        (make_post("/v1/search", b"x" * 3000), 413, "too_large"),
        (
            make_post("/v1/search", search_body(), length=1500),
            408,
            "too_slow",
        ),
        (
            make_post("/v1/search", search_body(), key="x"),
            401,
            "unauthenticated",
        ),
        (
            make_post("/v1/search", search_body(backend="vault")),
            403,
            "forbidden_backend",
        ),
        (
            make_post("/v1/search", search_body(backend="notices")),
            403,
            "forbidden_backend",
        ),
        (make_post("/v1/run", orjson.dumps({"id": "s.1"})), 400, "malformed"),
        (
            make_post(
                "/v1/run",
                orjson.dumps(
                    {"id": "mine.1", "backend": "notices", "body": "b"}
                ),
            ),
            400,
            "malformed",
        ),
    ],
)
def test_bad_request_is_refused_without_affecting_a_concurrent_one(
    data, status, kind
):
    async def scenario(api):
        good = make_post("/v1/search", search_body())
        refused, answered = await asyncio.gather(
            api.exchange(data), api.exchange(good)
        )
        assert refused[0] == status
        assert refused[1]["refused"] == kind
        assert refused[1]["ran"] == "no"
        assert refused[1]["remedy"]
        assert answered[0] == 200
        assert answered[1]["receipt"]["counted"]

    run_scenario(scenario)


def test_connection_with_incomplete_head_is_closed_after_timeout():
    async def scenario(api):
        status, _ = await api.exchange(b"POST /v1/search HTTP/1.1\r\nhost:")
        assert status == 0
        assert api.server.header_timeout_count == 1
        status_without_data, _ = await api.exchange(b"")
        assert status_without_data == 0

    run_scenario(scenario)


def test_operator_routes_require_the_operator_key():
    async def scenario(api):
        for path in ("status", "timeline", "configuration", "counts?month=x"):
            get = f"GET /v1/{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
            refused = await api.exchange(f"{get}\r\n".encode())
            assert refused[0] == 401
            with_key = f"{get}authorization: Bearer {OPERATOR_KEY}\r\n\r\n"
            allowed = await api.exchange(with_key.encode())
            assert allowed[0] == (400 if "counts" in path else 200)

    run_scenario(scenario)


def test_entries_lists_live_daemons_and_issues_a_session():
    async def scenario(api):
        get = "GET /v1/entries?zone=zb HTTP/1.1\r\nhost: x\r\n"
        status, content = await api.exchange(
            f"{get}connection: close\r\n\r\n".encode()
        )
        assert status == 200
        assert content["entries"][0]["zone"] == "zb"
        assert len(content["entries"]) == 3
        assert content["session"].startswith("vm-0~1~")

    run_scenario(scenario)


@pytest.mark.parametrize(
    "start",
    [
        b"POST /v1/search HTTP/1.1\r\nx-a: ",
        make_post("/v1/search", b"").replace(
            b"content-length: 0\r\n\r\n",
            b"transfer-encoding: chunked\r\n\r\n1;",
        ),
    ],
)
def test_bytes_without_end_of_a_caller_close_its_connection(start):
    # A header in pieces of 64 KB kept the daemon busy until its time limit.
    async def scenario(api):
        _, writer = await asyncio.open_connection("127.0.0.1", api.port)
        writer.write(start)
        sent_bytes = 0
        started_at = time.monotonic()
        while not writer.transport.is_closing() and sent_bytes < 100_000_000:
            writer.write(b"y" * 65_536)
            sent_bytes += 65_536
            try:
                await writer.drain()
            except ConnectionError:
                break
        writer.close()
        assert api.server.oversized_count == 1
        # Socket buffers take what the daemon does not read any more.
        assert sent_bytes < 20_000_000
        assert time.monotonic() - started_at < 1

    run_scenario(
        scenario,
        schema_settings.CallerSettings(
            max_body_bytes=2000, header_timeout_ms=5000, body_timeout_ms=5000
        ),
    )


def test_connections_beyond_the_bound_are_refused_and_then_closed():
    # FAULT: callers could take each descriptor that others need.
    bound = limits.ConnectionBound(1, 1)

    async def scenario(api):
        first = await asyncio.open_connection("127.0.0.1", api.port)
        second = await asyncio.open_connection("127.0.0.1", api.port)
        third = await asyncio.open_connection("127.0.0.1", api.port)
        data = make_post("/v1/search", search_body())
        received = []
        for reader, writer in (third, second, first):
            writer.write(data)
            try:
                received.append(await reader.read())
            except ConnectionResetError:
                received.append(b"")
            writer.close()
        closed, refused, served = received
        assert closed == b""
        assert refused.startswith(b"HTTP/1.1 503 ")
        assert b"connection: close" in refused
        body = orjson.loads(refused.partition(b"\r\n\r\n")[2])
        assert (body["refused"], body["ran"]) == ("overloaded", "no")
        assert served.startswith(b"HTTP/1.1 200 ")
        assert (bound.refused_count, bound.closed_count) == (1, 1)
        await asyncio.sleep(0.05)
        assert (await api.exchange(data))[0] == 200

    settings = schema_settings.CallerSettings(max_body_bytes=2000)
    run_scenario(scenario, settings, bound)


def test_bodies_that_many_callers_hold_stay_within_the_account():
    # FAULT: each was within its own limit, and nobody added them up.
    account = limits.MemoryAccount(40_000)
    settings = schema_settings.CallerSettings(max_body_bytes=2000)

    async def scenario(api):
        partial = make_post("/v1/search", b"x" * 1500, length=1600)
        connections = []
        for _ in range(60):
            connections.append(
                await asyncio.open_connection("127.0.0.1", api.port)
            )
            connections[-1][1].write(partial)
        async with asyncio.timeout(2):
            while not account.kept_bytes:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        assert account.peak_bytes < 45_000
        status, content = await api.exchange(
            make_post("/v1/search", search_body())
        )
        assert (status, content["refused"]) == (503, "overloaded")
        assert content["ran"] == "no"
        for _, writer in connections:
            writer.close()
        async with asyncio.timeout(2):
            while account.kept_bytes:
                await asyncio.sleep(0.01)
        status, _ = await api.exchange(make_post("/v1/search", search_body()))
        assert status == 200
        assert account.kept_bytes == 0

    run_scenario(scenario, settings, None, account)


def test_a_body_that_gives_way_is_refused_as_not_run():
    account = limits.MemoryAccount(2000)
    settings = schema_settings.CallerSettings(max_body_bytes=2000)

    async def scenario(api):
        status, content = await api.exchange(
            make_post("/v1/search", b"x" * 1999)
        )
        assert (status, content["refused"]) == (503, "overloaded")
        assert content["ran"] == "no"
        assert account.kept_bytes == 0

    run_scenario(scenario, settings, None, account)
