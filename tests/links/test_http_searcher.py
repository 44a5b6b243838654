import asyncio

from citrondoor import clock as clocks
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.links import _http_searcher
from citrondoor.platform import _searcher_codec
from tests import serving_samples as samples

KIND = links.ExchangeOutcome
GOOD = b"HTTP/1.1 200 OK\r\nx-server-stamp: s\r\nx-request-id: %b\r\n"


class Searcher:
    """A searcher whose behaviour a test writes down.

    Args:
      behave: Async function of the request, the reader and the writer.
    """

    def __init__(self, behave):
        self.behave = behave
        self.requests: list[http1.Request] = []
        self.connections = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return samples.upstream(port=port)

    async def serve(self, reader, writer):
        self.connections += 1
        parser = http1.RequestReader(9999, 9999)
        try:
            while data := await reader.read(4096):
                for request in parser.feed(data):
                    self.requests.append(request)
                    await self.behave(request, writer)
        except (OSError, ConnectionError):
            pass
        finally:
            writer.close()


def good(request, body=b"x", extra=b"") -> bytes:
    head = GOOD % request.header_values(b"x-request-id")[0]
    length = b"content-length: %d\r\n\r\n" % len(body)
    return head + extra + length + body


class Rig:
    """A pool with one searcher."""

    def __init__(self, searcher, upstream, members=1, cap=40):
        self.searcher = searcher
        self.upstream = upstream
        self.unreachable = []
        self.replies: dict[int, asyncio.Future] = {}
        self.pool = links.HttpPool(
            _searcher_codec.PlatformSearcherCodec(),
            clocks.Clock(),
            {"a": members},
            self.unreachable.append,
            "a",
        )

    def send(self, token, is_idempotent=True):
        clock = clocks.Clock()
        outbound = links.OutboundRequest(
            b"r%d" % token,
            b"GET",
            b"/a",
            [(b"host", b"h")],
            b"",
            clock.now() + 2000,
            is_idempotent,
        )
        future = asyncio.get_running_loop().create_future()
        self.replies[token] = future
        self.pool.submit(
            self.upstream, links.Exchange(token, outbound, self.deliver)
        )
        return future

    def deliver(self, token, reply):
        self.pool.release(token)
        self.replies[token].set_result(reply)


def run(behave, body):
    async def whole():
        searcher = Searcher(behave)
        rig = Rig(searcher, await searcher.start())
        try:
            async with asyncio.timeout(5):
                return await body(rig)
        finally:
            rig.pool.close()
            searcher.server.close()

    return asyncio.run(whole())


async def answer(request, writer):
    writer.write(good(request))


def test_a_kept_connection_is_used_again():
    async def body(rig):
        for token in range(5):
            reply = await rig.send(token)
            assert reply.kind == KIND.ANSWERED
        return rig.searcher.connections

    assert run(answer, body) == 1


def test_requests_beyond_the_limit_wait_for_a_connection():
    async def slow(request, writer):
        await asyncio.sleep(0.03)
        writer.write(good(request))

    async def body(rig):
        replies = await asyncio.gather(*[rig.send(t) for t in range(40)])
        assert {r.kind for r in replies} == {KIND.ANSWERED}
        return rig.searcher.connections

    limit = int(16 * 0.85)
    assert run(slow, body) == limit


def test_a_late_extra_answer_is_never_taken_for_the_next_one():
    async def twice(request, writer):
        writer.write(good(request, b"one"))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(good(request, b"again"))

    async def body(rig):
        bodies = []
        for token in range(4):
            reply = await rig.send(token)
            if reply.kind == KIND.ANSWERED:
                assert (
                    reply.response.header_value(b"x-request-id")
                    == b"r%d" % token
                )
                bodies.append(reply.response.body)
            await asyncio.sleep(0.005)
        return bodies

    assert set(run(twice, body)) == {b"one"}


def test_an_extra_answer_right_behind_closes_the_connection():
    async def twice(request, writer):
        writer.write(good(request, b"one") + good(request, b"again"))

    async def body(rig):
        first = await rig.send(1)
        second = await rig.send(2)
        return first, second

    first, second = run(twice, body)
    assert (first.response.body, second.response.body) == (b"one", b"one")
    assert second.response.header_value(b"x-request-id") == b"r2"


def test_an_answer_that_breaks_off_is_broken():
    async def break_off(request, writer):
        writer.write(good(request, b"whole")[:-2])
        writer.close()

    async def body(rig):
        return await rig.send(1)

    assert run(break_off, body).kind == KIND.BROKEN


def test_bytes_that_are_no_answer_are_broken():
    async def garble(request, writer):
        writer.write(b"\x07\x01 rubbish\r\n\r\n")

    async def body(rig):
        return await rig.send(1)

    assert run(garble, body).kind == KIND.BROKEN


def test_an_answer_without_a_length_ends_with_its_connection():
    async def unframed(request, writer):
        head = GOOD % request.header_values(b"x-request-id")[0]
        writer.write(head + b"\r\nabc")
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(b"def")
        writer.close()

    async def body(rig):
        return await rig.send(1)

    reply = run(unframed, body)
    assert (reply.kind, reply.response.body) == (KIND.ANSWERED, b"abcdef")


def test_a_reset_answer_without_a_length_is_broken():
    async def reset(request, writer):
        head = GOOD % request.header_values(b"x-request-id")[0]
        writer.write(head + b"\r\nabc")
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.transport.abort()

    async def body(rig):
        # SO_LINGER makes the close a reset.
        return await rig.send(1)

    async def with_linger(request, writer):
        import socket
        import struct

        sock = writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        await reset(request, writer)

    assert run(with_linger, body).kind == KIND.BROKEN


def test_nothing_was_sent_to_a_searcher_that_refuses_connections():
    async def body(rig):
        rig.searcher.server.close()
        await rig.searcher.server.wait_closed()
        reply = await rig.send(1)
        return reply.kind, len(rig.unreachable)

    assert run(answer, body) == (KIND.UNSENT, 1)


def test_an_abandoned_exchange_keeps_its_connection_for_a_grace():
    async def slow(request, writer):
        await asyncio.sleep(0.1)
        writer.write(good(request))

    async def body(rig):
        reply = rig.send(1)
        await asyncio.sleep(0.02)
        rig.pool.cancel(1)
        assert (await reply).kind == KIND.ANSWERED
        await rig.send(2)
        return rig.searcher.connections

    assert run(slow, body) == 1


def test_an_abandoned_exchange_that_goes_on_is_taken_back():
    async def stuck(request, writer):
        await asyncio.sleep(30)

    async def body(rig):
        loop = asyncio.get_running_loop()
        reply = rig.send(1)
        await asyncio.sleep(0.02)
        started_at = loop.time()
        rig.pool.cancel(1)
        kind = (await reply).kind
        return kind, loop.time() - started_at

    kind, took_s = run(stuck, body)
    assert kind == KIND.BROKEN
    # The platform allows half a second of work after a caller has left.
    assert _http_searcher.CANCEL_GRACE_S <= took_s < 0.5


def test_a_searcher_that_asks_for_it_gets_a_new_connection():
    async def close(request, writer):
        writer.write(good(request, extra=b"connection: close\r\n"))

    async def body(rig):
        for token in range(3):
            assert (await rig.send(token)).kind == KIND.ANSWERED
        return rig.searcher.connections

    assert run(close, body) == 3


def test_what_must_not_run_twice_goes_on_no_old_connection():
    async def body(rig):
        await rig.send(1)
        # As if the connection had been idle for long.
        (link,) = rig.pool._links.values()
        link._idle[0].idle_since -= _http_searcher.FRESH_IDLE_MS
        await rig.send(2, is_idempotent=False)
        return rig.searcher.connections

    assert run(answer, body) == 2


def test_daemons_share_the_connections_of_a_searcher():
    backend = samples.serving.RouteBackend("store", "/h", 31, 0, 0.0)

    async def body(rig):
        rig.pool.set_upstreams([rig.upstream], {"store": backend}, frozenset())
        rig.pool.set_daemon_counts({"a": 5})
        (link,) = rig.pool._links.values()
        return link.limit

    assert 1 <= 5 * run(answer, body) <= 31


def test_connections_to_the_own_zone_are_open_before_the_first_request():
    async def behave(request, writer):
        writer.write(good(request))

    async def body():
        searcher = Searcher(behave)
        near = await searcher.start()
        far = samples.upstream("i-2", port=near.port, zone="b")
        rig = Rig(searcher, near)
        rig.pool.set_upstreams([near, far], {}, frozenset())
        await asyncio.sleep(0.1)
        assert searcher.connections == 1
        rig.upstream = far
        assert (await rig.send(1)).kind == KIND.ANSWERED
        assert searcher.connections == 2
        rig.pool.close()

    asyncio.run(body())


def test_what_must_not_run_twice_gets_a_new_connection_at_the_limit():
    # Found by the bench: hvk-search-grown scale-1, a trial. The one connection
    # that was allowed had been idle for long, and the request waited for ever.
    async def behave(request, writer):
        writer.write(good(request))

    async def body():
        searcher = Searcher(behave)
        rig = Rig(searcher, await searcher.start(), members=40)
        rig.pool.set_upstreams([rig.upstream], {}, frozenset())
        await asyncio.sleep(0.05)
        (link,) = rig.pool._links.values()
        for token in (1, 2):
            (connection,) = link._idle
            connection.idle_since -= _http_searcher.FRESH_IDLE_MS
            async with asyncio.timeout(2):
                reply = await rig.send(token, is_idempotent=False)
            assert reply.kind == KIND.ANSWERED
            await asyncio.sleep(0)
            assert searcher.connections == token + 1
        rig.pool.close()

    asyncio.run(body())


def test_a_request_that_waits_goes_on_when_the_connection_is_closed():
    async def behave(request, writer):
        if request.header_values(b"x-request-id") == [b"r1"]:
            await asyncio.sleep(0.05)
            writer.write(good(request, extra=b"connection: close\r\n"))
            writer.close()
        else:
            writer.write(good(request))

    async def body():
        searcher = Searcher(behave)
        rig = Rig(searcher, await searcher.start(), members=40)
        first = rig.send(1)
        await asyncio.sleep(0.02)
        second = rig.send(2)
        assert (await first).kind == KIND.ANSWERED
        async with asyncio.timeout(2):
            assert (await second).kind == KIND.ANSWERED
        assert searcher.connections == 2
        rig.pool.close()

    asyncio.run(body())
