import asyncio
import itertools
import time
import tracemalloc

import pytest

from citrondoor import clock as clocks
from citrondoor import limits
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.links import _http_searcher
from citrondoor.platform import _searcher_codec
from citrondoor.schema import serving
from tests import garbage
from tests import serving_samples as samples

OUTCOME = links.ExchangeOutcome
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nx-server-stamp: s\r\nx-request-id: %b\r\n"


STARTED_SERVERS: list[asyncio.Server] = []


def run_and_close(coroutine):
    async def body():
        try:
            return await coroutine
        finally:
            while STARTED_SERVERS:
                STARTED_SERVERS.pop().close()

    return asyncio.run(body())


class Searcher:
    """A server that handles each request as the test defines.

    Args:
      behave: Async function of the request and the writer.
    """

    def __init__(self, behave):
        self.behave = behave
        self.requests: list[http1.Request] = []
        self.connections = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        STARTED_SERVERS.append(self.server)
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
            parser.drop()
            writer.close()


def encode_answer(request, body=b"x", extra=b"") -> bytes:
    head = ANSWER_HEAD % request.header_values(b"x-request-id")[0]
    length = b"content-length: %d\r\n\r\n" % len(body)
    return head + extra + length + body


class PoolHarness:
    """A pool with one searcher, and the results of its exchanges."""

    def __init__(self, searcher, upstream, daemon_count=1, kept_mb=32):
        self.searcher = searcher
        self.upstream = upstream
        self.unreachable = []
        self.malformed = []
        self.results: dict[int, asyncio.Future] = {}
        self.account = limits.MemoryAccount(kept_mb * limits.BYTES_PER_MB)
        self.pool = links.HttpPool(
            _searcher_codec.PlatformSearcherCodec(lambda name, value: None),
            clocks.Clock(),
            self.unreachable.append,
            lambda upstream, error: self.malformed.append(str(error)),
            "vm-1",
            "a",
            self.account,
        )
        self.set_daemon_count(daemon_count)

    def set_daemon_count(self, count):
        self.pool.set_members(
            {f"vm-{number}": "a" for number in range(1, count + 1)},
            is_settling=False,
        )

    def send(
        self,
        token,
        is_idempotent=True,
        target=b"/a",
        request_id=b"",
        body=b"",
    ):
        clock = clocks.Clock()
        outbound = links.OutboundRequest(
            request_id or b"r%d" % token,
            b"GET",
            target,
            [(b"host", b"h")],
            body,
            clock.now() + 2000,
            is_idempotent,
        )
        future = asyncio.get_running_loop().create_future()
        self.results[token] = future
        self.pool.submit(
            self.upstream, links.Exchange(token, outbound, self.deliver)
        )
        return future

    def deliver(self, token, result):
        self.pool.release(token)
        self.results[token].set_result(result)


def run(behave, body, kept_mb=32):
    async def run_body():
        searcher = Searcher(behave)
        harness = PoolHarness(searcher, await searcher.start(), kept_mb=kept_mb)
        try:
            async with asyncio.timeout(5):
                return await body(harness)
        finally:
            harness.pool.close()

    return run_and_close(run_body())


async def answer(request, writer):
    writer.write(encode_answer(request))


def test_an_idle_connection_is_reused():
    async def body(harness):
        for token in range(5):
            result = await harness.send(token)
            assert result.outcome == OUTCOME.ANSWERED
        return harness.searcher.connections

    assert run(answer, body) == 1


def test_a_connection_without_an_idle_timeout_is_not_reused():
    # Guards against a timeout of 0 that is taken for a missing one.
    async def answer_once(request, writer):
        writer.write(encode_answer(request, extra=b"keep-alive: timeout=0\r\n"))

    async def body(harness):
        for token in range(3):
            result = await harness.send(token)
            assert result.outcome == OUTCOME.ANSWERED
        return harness.searcher.connections

    assert run(answer_once, body) == 3


def test_requests_beyond_the_limit_wait_for_a_connection():
    async def answer_slowly(request, writer):
        await asyncio.sleep(0.03)
        writer.write(encode_answer(request))

    async def body(harness):
        results = await asyncio.gather(
            *[harness.send(token) for token in range(40)]
        )
        assert {result.outcome for result in results} == {OUTCOME.ANSWERED}
        return harness.searcher.connections

    # Daemons use 85% of the 16 connections that a searcher of an undeclared
    # back end accepts.
    limit = int(16 * 0.85)
    assert run(answer_slowly, body) == limit


def test_a_late_duplicate_response_is_not_matched_to_the_next_request():
    async def answer_twice(request, writer):
        writer.write(encode_answer(request, b"one"))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(encode_answer(request, b"again"))

    async def body(harness):
        bodies = []
        for token in range(4):
            result = await harness.send(token)
            if result.outcome == OUTCOME.ANSWERED:
                assert (
                    result.response.header_value(b"x-request-id")
                    == b"r%d" % token
                )
                bodies.append(result.response.body)
            await asyncio.sleep(0.005)
        return bodies

    assert set(run(answer_twice, body)) == {b"one"}


def test_an_immediate_duplicate_response_is_not_matched_to_the_next_request():
    async def answer_twice(request, writer):
        writer.write(
            encode_answer(request, b"one") + encode_answer(request, b"again")
        )

    async def body(harness):
        first = await harness.send(1)
        second = await harness.send(2)
        return first, second

    first, second = run(answer_twice, body)
    assert (first.response.body, second.response.body) == (b"one", b"one")
    assert second.response.header_value(b"x-request-id") == b"r2"


def test_a_truncated_response_ends_the_exchange_as_broken():
    async def truncate(request, writer):
        writer.write(encode_answer(request, b"whole")[:-2])
        writer.close()

    async def body(harness):
        return await harness.send(1)

    assert run(truncate, body).outcome == OUTCOME.BROKEN


def test_a_malformed_response_ends_the_exchange_as_broken():
    async def send_garbage(request, writer):
        writer.write(b"\x07\x01 rubbish\r\n\r\n")

    async def body(harness):
        return await harness.send(1)

    assert run(send_garbage, body).outcome == OUTCOME.BROKEN


def test_a_response_without_a_length_ends_when_the_connection_closes():
    async def answer_without_length(request, writer):
        head = ANSWER_HEAD % request.header_values(b"x-request-id")[0]
        writer.write(head + b"\r\nabc")
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(b"def")
        writer.close()

    async def body(harness):
        return await harness.send(1)

    result = run(answer_without_length, body)
    assert (result.outcome, result.response.body) == (
        OUTCOME.ANSWERED,
        b"abcdef",
    )


def test_a_reset_in_a_response_without_a_length_ends_the_exchange_as_broken():
    async def abort_response(request, writer):
        head = ANSWER_HEAD % request.header_values(b"x-request-id")[0]
        writer.write(head + b"\r\nabc")
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.transport.abort()

    async def body(harness):
        return await harness.send(1)

    async def reset_connection(request, writer):
        import socket
        import struct

        sock = writer.get_extra_info("socket")
        # With a linger time of 0, closing the socket resets the connection.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        await abort_response(request, writer)

    assert run(reset_connection, body).outcome == OUTCOME.BROKEN


def test_a_refused_connection_ends_the_exchange_as_unsent():
    async def body(harness):
        harness.searcher.server.close()
        await harness.searcher.server.wait_closed()
        result = await harness.send(1)
        return result.outcome, len(harness.unreachable)

    assert run(answer, body) == (OUTCOME.UNSENT, 1)


def test_a_cancelled_exchange_answered_within_the_grace_keeps_its_connection():
    async def answer_slowly(request, writer):
        await asyncio.sleep(0.1)
        writer.write(encode_answer(request))

    async def body(harness):
        result = harness.send(1)
        await asyncio.sleep(0.02)
        harness.pool.cancel(1)
        assert (await result).outcome == OUTCOME.ANSWERED
        await harness.send(2)
        return harness.searcher.connections

    assert run(answer_slowly, body) == 1


def test_a_cancelled_exchange_without_a_response_is_aborted_after_the_grace():
    async def never_answer(request, writer):
        await asyncio.sleep(30)

    async def body(harness):
        loop = asyncio.get_running_loop()
        result = harness.send(1)
        await asyncio.sleep(0.02)
        started_at = loop.time()
        harness.pool.cancel(1)
        outcome = (await result).outcome
        return outcome, loop.time() - started_at

    outcome, elapsed_s = run(never_answer, body)
    assert outcome == OUTCOME.BROKEN
    # The platform allows half a second of work after a caller disconnects.
    assert _http_searcher.CANCEL_GRACE_S <= elapsed_s < 0.5


def test_exchanges_that_wait_for_a_searcher_that_wants_none_are_unsent():
    async def answer_slowly(request, writer):
        await asyncio.sleep(0.1)
        writer.write(encode_answer(request))

    async def body(harness):
        results = [harness.send(token) for token in range(40)]
        await asyncio.sleep(0.05)
        harness.pool.end_queued(harness.upstream)
        outcomes = [(await result).outcome for result in results]
        sent_count = outcomes.count(OUTCOME.ANSWERED)
        assert outcomes.count(OUTCOME.UNSENT) == 40 - sent_count
        assert sent_count == harness.searcher.connections < 40

    run(answer_slowly, body)


def test_a_searcher_that_goes_out_of_use_gets_no_request_that_waits():
    async def answer_slowly(request, writer):
        await asyncio.sleep(0.1)
        writer.write(encode_answer(request))

    async def body(harness):
        harness.pool.set_upstreams([harness.upstream], {}, frozenset())
        results = [harness.send(token) for token in range(40)]
        await asyncio.sleep(0.05)
        harness.pool.set_upstreams([], {}, frozenset())
        results += [harness.send(token) for token in range(40, 45)]
        outcomes = [(await result).outcome for result in results]
        sent_count = outcomes.count(OUTCOME.ANSWERED)
        assert outcomes.count(OUTCOME.UNSENT) == 45 - sent_count
        assert sent_count == len(harness.searcher.requests) < 40
        # Back in use, for example as its zone returns.
        harness.pool.set_upstreams([harness.upstream], {}, frozenset())
        assert (await harness.send(50)).outcome == OUTCOME.ANSWERED

    run(answer_slowly, body)


def test_a_request_that_was_assigned_is_not_sent_once_its_searcher_left():
    async def body(harness):
        harness.pool.set_upstreams([harness.upstream], {}, frozenset())
        await harness.send(1)
        result = harness.send(2)
        harness.pool.set_upstreams([], {}, frozenset())
        assert (await result).outcome == OUTCOME.UNSENT
        assert len(harness.searcher.requests) == 1

    run(answer, body)


def test_connection_close_makes_the_next_request_open_a_new_connection():
    async def close(request, writer):
        writer.write(encode_answer(request, extra=b"connection: close\r\n"))

    async def body(harness):
        for token in range(3):
            assert (await harness.send(token)).outcome == OUTCOME.ANSWERED
        return harness.searcher.connections

    assert run(close, body) == 3


def test_a_non_idempotent_request_avoids_a_connection_idle_for_too_long():
    async def body(harness):
        await harness.send(1)
        # Makes the connection look idle for too long.
        (link,) = harness.pool._links.values()
        link._idle[0].idle_since -= _http_searcher.NON_IDEMPOTENT_MAX_IDLE_MS
        await harness.send(2, is_idempotent=False)
        return harness.searcher.connections

    assert run(answer, body) == 2


def test_daemons_divide_the_connection_limit_of_a_searcher():
    backend = samples.serving.RouteBackend("store", "/h", 31, 0, 0.0)

    async def body(harness):
        harness.pool.set_upstreams(
            [harness.upstream], {"store": backend}, frozenset()
        )
        harness.set_daemon_count(5)
        (link,) = harness.pool._links.values()
        return link.max_connections

    assert 1 <= 5 * run(answer, body) <= 31


def test_connections_beyond_a_lowered_limit_close_once_they_are_idle():
    async def behave(request, writer):
        await asyncio.sleep(0.02)
        writer.write(encode_answer(request))

    async def body(harness):
        first = [harness.send(token) for token in range(4)]
        await asyncio.gather(*first)
        await asyncio.sleep(0.01)
        assert harness.pool.open_count == 4
        busy = harness.send(5)
        harness.set_daemon_count(7)
        assert (await busy).outcome == OUTCOME.ANSWERED
        await asyncio.sleep(0.05)
        return harness.pool.open_count

    # 13 of the 16 connections that are accepted are divided by 7 daemons.
    assert run(behave, body) == 1


def test_a_searcher_outside_the_subset_gets_no_connection():
    async def body(harness):
        harness.set_daemon_count(200)
        near = [
            samples.upstream(f"i-{number}", port=harness.upstream.port)
            for number in range(100)
        ]
        harness.pool.set_upstreams(near, {}, frozenset())
        allowed = [u for u in near if harness.pool.may_connect(u)]
        assert harness.pool.is_subset
        # Each searcher accepts 13 of the 200 daemons, so of 100 searchers 6.5
        # accept this one on average.
        assert 1 <= len(allowed) <= 20
        await asyncio.sleep(0.05)
        assert harness.pool.open_count == len(allowed)
        harness.upstream = next(u for u in near if u not in allowed)
        result = await harness.send(1)
        assert result.outcome == OUTCOME.UNSENT

    run(answer, body)


def test_connections_to_the_own_zone_are_open_before_the_first_request():
    async def behave(request, writer):
        writer.write(encode_answer(request))

    async def body():
        searcher = Searcher(behave)
        near = await searcher.start()
        far = samples.upstream("i-2", port=near.port, zone="b")
        harness = PoolHarness(searcher, near)
        harness.pool.set_upstreams([near, far], {}, frozenset())
        await asyncio.sleep(0.1)
        assert searcher.connections == 1
        harness.upstream = far
        assert (await harness.send(1)).outcome == OUTCOME.ANSWERED
        assert searcher.connections == 2
        harness.pool.close()

    run_and_close(body())


def test_a_non_idempotent_request_gets_a_new_connection_at_the_limit():
    # Guards against a request that is queued forever. With 13 daemons, each may
    # have one connection. If that has been idle for too long to carry the
    # request, it must be closed to make room for a new one.
    async def behave(request, writer):
        writer.write(encode_answer(request))

    async def body():
        searcher = Searcher(behave)
        harness = PoolHarness(searcher, await searcher.start(), daemon_count=13)
        harness.pool.set_upstreams([harness.upstream], {}, frozenset())
        await asyncio.sleep(0.05)
        (link,) = harness.pool._links.values()
        for token in (1, 2):
            (connection,) = link._idle
            connection.idle_since -= _http_searcher.NON_IDEMPOTENT_MAX_IDLE_MS
            async with asyncio.timeout(2):
                result = await harness.send(token, is_idempotent=False)
            assert result.outcome == OUTCOME.ANSWERED
            await asyncio.sleep(0)
            assert searcher.connections == token + 1
        harness.pool.close()

    run_and_close(body())


def test_a_queued_request_gets_a_new_connection_when_the_only_one_closes():
    async def behave(request, writer):
        if request.header_values(b"x-request-id") == [b"r1"]:
            await asyncio.sleep(0.05)
            writer.write(encode_answer(request, extra=b"connection: close\r\n"))
            writer.close()
        else:
            writer.write(encode_answer(request))

    async def body():
        searcher = Searcher(behave)
        harness = PoolHarness(searcher, await searcher.start(), daemon_count=13)
        first = harness.send(1)
        await asyncio.sleep(0.02)
        second = harness.send(2)
        assert (await first).outcome == OUTCOME.ANSWERED
        async with asyncio.timeout(2):
            assert (await second).outcome == OUTCOME.ANSWERED
        assert searcher.connections == 2
        harness.pool.close()

    run_and_close(body())


PIECE = b"a" * 65_536
ENDLESS_HEADS = {
    "no HTTP": b"rubbish ",
    "header value": b"HTTP/1.1 200 OK\r\nx-a: ",
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;"
    ),
    "body": b"HTTP/1.1 200 OK\r\nx-server-stamp: s\r\n\r\n",
}


@pytest.mark.parametrize("name", ENDLESS_HEADS)
def test_bytes_without_end_close_the_connection_and_delay_nobody(name):
    # One searcher sends until the caller closes; others must not be affected.
    sent_bytes = 0

    async def behave(request, writer):
        nonlocal sent_bytes
        if request.path != "/endless":
            writer.write(encode_answer(request))
            return
        writer.write(ENDLESS_HEADS[name])
        while not writer.transport.is_closing():
            writer.write(PIECE)
            sent_bytes += len(PIECE)
            await writer.drain()

    async def body(harness):
        harness.upstream = await Searcher(behave).start()
        others = harness.upstream
        endless = samples.upstream("i-2", port=others.port)
        await harness.send(1)
        started_cpu_s = time.process_time()
        harness.upstream = endless
        result = harness.send(2, target=b"/endless")
        harness.upstream = others
        latencies_s = []
        for token in range(3, 1000):
            started_at = time.monotonic()
            assert (await harness.send(token)).outcome == OUTCOME.ANSWERED
            latencies_s.append(time.monotonic() - started_at)
            if result.done():
                break
        assert (await result).outcome == OUTCOME.BROKEN
        (reason,) = harness.malformed
        assert harness.pool.counters.malformed == 1
        return max(latencies_s), time.process_time() - started_cpu_s

    tracemalloc.start()
    latency_s, cpu_s = run(answer, body)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # A body may fill its own limit, and is joined once at most.
    assert sent_bytes <= 2 * http1.MAX_RESPONSE_BODY_BYTES
    assert peak_bytes <= 4 * http1.MAX_RESPONSE_BODY_BYTES
    # The shortest deadline of a caller on the users' deployments.
    assert latency_s < 0.3
    assert cpu_s < 2


def test_endless_bodies_share_the_memory_that_responses_may_use():
    # 4 MB for all responses: without a common limit, 10 bodies of up to 16 MB.
    kept_mb = 4

    async def behave(request, writer):
        if request.path != "/endless":
            writer.write(encode_answer(request, b"x" * 100_000))
            return
        writer.write(ENDLESS_HEADS["body"])
        while not writer.transport.is_closing():
            writer.write(PIECE)
            await writer.drain()

    async def body(harness):
        results = [harness.send(n, target=b"/endless") for n in range(10)]
        harness.upstream = samples.upstream("i-2", port=harness.upstream.port)
        for token in range(10, 30):
            result = await harness.send(token)
            assert result.outcome == OUTCOME.ANSWERED
            assert len(result.response.body) == 100_000
        outcomes = [(await result).outcome for result in results]
        assert set(outcomes) == {OUTCOME.BROKEN}
        return harness.account.kept_bytes

    tracemalloc.start()
    assert run(behave, body, kept_mb) == 0
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # Besides the 4 MB: the stand-in's buffers and the segments being read.
    assert peak_bytes < 16_000_000


def test_a_whole_answer_before_malformed_bytes_counts():
    async def append_rubbish(request, writer):
        writer.write(encode_answer(request, b"whole") + b"\x07 rubbish")

    async def body(harness):
        first = await harness.send(1, is_idempotent=False)
        second = await harness.send(2, is_idempotent=False)
        assert harness.searcher.connections == 2
        return first, second

    for result in run(append_rubbish, body):
        assert result.outcome == OUTCOME.ANSWERED
        assert result.response.body == b"whole"


def encode_answer_without_id(stamp: bytes, body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nx-server-stamp: %b\r\n" % stamp
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


def test_a_second_copy_that_arrives_before_the_next_request_is_not_its_answer():
    async def body(harness):
        await harness.send(1)
        (link,) = harness.pool._links.values()
        (connection,) = link._idle
        second = harness.send(2)
        # The connection is assigned; its task has not written yet.
        connection._channel.data_received(
            encode_answer_without_id(b"late", b"late")
        )
        return await second

    result = run(answer, body)
    assert result.response.header_value(b"x-request-id") == b"r2"


def test_a_late_second_copy_without_an_id_is_not_matched_to_the_next_request():
    async def behave(request, writer):
        (request_id,) = request.header_values(b"x-request-id")
        if request_id == b"r1":
            writer.write(encode_answer_without_id(b"s1", b"one"))
        else:
            writer.write(encode_answer_without_id(b"s1", b"one"))
            await asyncio.sleep(0.02)
            writer.write(encode_answer_without_id(b"s2", b"two"))

    async def body(harness):
        first = await harness.send(1)
        second = await harness.send(2)
        return first.response.body, second.response.body

    assert run(behave, body) == (b"one", b"two")


def test_an_error_in_decoding_ends_only_its_own_connection():
    class BrokenCodec(_searcher_codec.PlatformSearcherCodec):
        __slots__ = ()

        def decode(self, outbound, response, recent_stamps=()):
            if outbound.request_id == b"r1":
                raise KeyError("unexpected")
            return super().decode(outbound, response, recent_stamps)

    async def body(harness):
        harness.pool._codec = BrokenCodec(lambda name, value: None)
        first = await harness.send(1)
        second = await harness.send(2)
        return first.outcome, second.outcome, harness.malformed

    first, second, malformed = run(answer, body)
    assert (first, second) == (OUTCOME.BROKEN, OUTCOME.ANSWERED)
    assert malformed == ["'unexpected'"]


def make_repeating_refuser():
    """Returns a searcher's behaviour: it refuses each request at first.

    The first answer on each connection is repeated where the next is due.
    """
    seen = set()
    copies = {}

    async def behave(request, writer):
        request_id = request.header_values(b"x-request-id")[0]
        writer.write(copies.pop(writer, b""))
        if request_id in seen:
            writer.write(encode_answer(request))
            return
        seen.add(request_id)
        copies[writer] = (
            b"HTTP/1.1 503 Full\r\nx-not-run: 1\r\n"
            b"x-request-id: %b\r\ncontent-length: 0\r\n\r\n" % request_id
        )
        writer.write(copies[writer])

    return behave


@pytest.mark.parametrize("daemon_count", [1, 13])
def test_a_repeated_refusal_does_not_answer_the_next_attempt(daemon_count):
    # TWICE: the copy names the request, which the searcher ran this time. With
    # 13 daemons each has one connection to the searcher.
    async def body(harness):
        harness.set_daemon_count(daemon_count)
        for token in range(0, 10, 2):
            request_id = b"q%d" % token
            first = await harness.send(token, False, request_id=request_id)
            assert first.outcome == OUTCOME.NOT_RUN
            second = await harness.send(token + 1, False, request_id=request_id)
            assert second.outcome == OUTCOME.ANSWERED

    run(make_repeating_refuser(), body)


def test_attempts_of_one_request_wait_for_a_connection_without_the_others():
    # At the limit of one connection, the request that waits for another
    # connection does not keep those behind it waiting.
    async def body(harness):
        harness.set_daemon_count(13)
        first = await harness.send(0, request_id=b"q")
        assert first.outcome == OUTCOME.NOT_RUN
        results = await asyncio.gather(
            harness.send(1, request_id=b"other"),
            harness.send(2, request_id=b"q"),
            harness.send(3, request_id=b"third"),
        )
        outcomes = [result.outcome for result in results]
        assert outcomes == [
            OUTCOME.NOT_RUN,
            OUTCOME.ANSWERED,
            OUTCOME.NOT_RUN,
        ]

    run(make_repeating_refuser(), body)


def test_a_request_that_no_connection_may_carry_ends_as_unsent():
    # Its only connection has carried it, and no new one can be opened.
    async def body(harness):
        first = await harness.send(0, request_id=b"q")
        assert first.outcome == OUTCOME.NOT_RUN
        harness.searcher.server.close()
        second = await harness.send(1, request_id=b"q")
        assert second.outcome == OUTCOME.UNSENT
        assert harness.pool.open_count == 1

    run(make_repeating_refuser(), body)


def test_a_late_copy_without_an_id_is_told_by_its_stamp_after_a_refusal():
    # MIXED: the refusal between the answer and its copy has no stamp.
    copies = []

    async def behave(request, writer):
        if request.target == b"/refused":
            writer.write(
                b"HTTP/1.1 503 Full\r\nx-not-run: 1\r\n"
                b"content-length: 0\r\n\r\n"
            )
            return
        answer = (
            b"HTTP/1.1 200 OK\r\nx-server-stamp: s%d\r\n"
            b"content-length: 1\r\n\r\n%d" % (len(copies), len(copies))
        )
        copies.append(answer)
        writer.write(copies[0] if len(copies) > 1 else b"")
        writer.write(answer)

    async def body(harness):
        first = await harness.send(0)
        refused = await harness.send(1, target=b"/refused")
        second = await harness.send(2)
        assert refused.outcome == OUTCOME.NOT_RUN
        assert (first.response.body, second.response.body) == (b"0", b"1")

    run(behave, body)


def make_stutterer(cut_answer):
    """Returns a searcher's behaviour: it fails every other request.

    After each success it sends `cut_answer` of a second copy, at the time that
    it returns beside it: "idle" or "expected", where the next answer is due.
    """
    copies = {}
    count = itertools.count()

    async def behave(request, writer):
        writer.write(copies.pop(writer, b""))
        if next(count) % 2:
            failure = encode_answer(request, b"failure")
            writer.write(failure.replace(b"200 OK", b"500 Error"))
            return
        answer = encode_answer(request, b"records")
        part, moment = cut_answer(answer)
        writer.write(answer)
        if moment == "expected":
            copies[writer] = part
        else:
            await asyncio.sleep(0.005)
            writer.write(part)

    return behave


@pytest.mark.parametrize("moment", ["idle", "expected"])
@pytest.mark.parametrize("cut", [1, 9, 13, 15, 17, 30, 45, 70, 85, 90])
def test_a_broken_off_copy_does_not_become_a_success_with_the_next_answer(
    cut, moment
):
    # MIXED: the status line of the copy was read with the headers and the body
    # of the failure after it, and the caller got the failure as a success.
    async def body(harness):
        for token in range(0, 20, 2):
            success = await harness.send(token)
            assert success.outcome == OUTCOME.ANSWERED
            assert success.response.body == b"records"
            while moment == "idle" and harness.pool.open_count:
                # The copy closes the connection when it arrives.
                await asyncio.sleep(0.001)
            failure = await harness.send(token + 1)
            if moment == "idle":
                # It came on a new connection.
                assert failure.outcome == OUTCOME.FAILED
                assert failure.response.status == 500
            else:
                assert failure.outcome in (OUTCOME.FAILED, OUTCOME.BROKEN)

    run(make_stutterer(lambda answer: (answer[:cut], moment)), body)


@pytest.mark.parametrize("gap_s", [0.0, 0.01])
def test_a_body_that_another_answer_fills_up_is_not_an_answer(gap_s):
    # The rest of the other answer may arrive a little later.
    async def behave(request, writer):
        answer = encode_answer(request, b"r" * 150)
        writer.write(answer[:-100] + answer[:100])
        await asyncio.sleep(gap_s)
        writer.write(answer[100:])

    async def body(harness):
        return await harness.send(0)

    assert run(behave, body).outcome == OUTCOME.BROKEN


def test_a_whole_answer_that_quotes_another_one_counts():
    async def behave(request, writer):
        writer.write(encode_answer(request, encode_answer(request)))

    async def body(harness):
        first = await harness.send(0)
        second = await harness.send(1)
        assert first.outcome == second.outcome == OUTCOME.ANSWERED
        return harness.searcher.connections

    assert run(behave, body) == 1


def test_a_request_sent_again_is_not_overtaken_by_all_that_follow():
    # Its only connection has carried it, and always has another request next.
    async def body(harness):
        harness.set_daemon_count(13)
        first = await harness.send(0, request_id=b"q")
        assert first.outcome == OUTCOME.NOT_RUN
        results = [harness.send(1, request_id=b"other")]
        again = harness.send(2, request_id=b"q")
        for token in range(3, 60):
            results.append(harness.send(token))
            await results[-2]
            if again.done():
                break
        assert (await again).outcome == OUTCOME.ANSWERED
        await asyncio.gather(*results)
        return token

    assert run(make_repeating_refuser(), body) < 6


def test_a_copy_without_an_id_that_comes_two_answers_late_is_no_answer():
    # MIXED: only the stamp of the answer just before was known.
    answers = []

    async def behave(request, writer):
        number = len(answers)
        answers.append(
            b"HTTP/1.1 200 OK\r\nx-server-stamp: s%d\r\n"
            b"content-length: 1\r\n\r\n%d" % (number, number)
        )
        if number >= 2:
            writer.write(answers[number - 2])
        writer.write(answers[number])

    async def body(harness):
        results = [await harness.send(token) for token in range(8)]
        assert [r.response.body for r in results] == [
            b"%d" % n for n in range(8)
        ]

    run(behave, body)


PARTIAL = b"HTTP/1.1 200 OK\r\ncontent-length: 90000\r\n\r\n" + b"a" * 20_000


async def end_whole(harness, writer):
    writer.write(b"a" * 70_000)


async def end_closed(harness, writer):
    writer.close()


async def end_reset(harness, writer):
    writer.transport.abort()


async def end_malformed(harness, writer):
    writer.write(b"a" * 70_000 + b"rubbish")


async def end_cancelled(harness, writer):
    harness.pool.cancel(1)


async def end_pool(harness, writer):
    harness.pool.close()


async def end_over_limit(harness, writer):
    holder = harness.account.open(serving.Sender.CALLER, lambda: None)
    holder.record(harness.account.max_bytes, is_complete=True)
    holder.release()


@pytest.mark.parametrize(
    "end",
    [
        end_whole,
        end_closed,
        end_reset,
        end_malformed,
        end_cancelled,
        end_pool,
        end_over_limit,
    ],
)
def test_what_a_connection_keeps_is_released_however_it_ends(end):
    started = []

    async def behave(request, writer):
        writer.write(PARTIAL)
        started.append(writer)

    async def body(harness):
        result = harness.send(1)
        while not harness.account.kept_bytes:
            await asyncio.sleep(0.001)
        assert harness.account.kept_bytes_of(serving.Sender.SEARCHER) > 20_000
        await end(harness, started[0])
        outcome = (await result).outcome
        while harness.pool.open_count and end is not end_whole:
            await asyncio.sleep(0.001)
        assert harness.account.kept_bytes == 0
        return outcome

    # The whole answer has no stamp.
    assert run(behave, body) == OUTCOME.BROKEN


def test_complete_responses_that_nobody_asked_for_close_the_connection():
    async def behave(request, writer):
        foreign = ANSWER_HEAD % b"other" + b"content-length: 0\r\n\r\n"
        writer.write(foreign * 20_000)

    async def body(harness):
        result = await harness.send(1)
        assert result.outcome == OUTCOME.BROKEN
        assert harness.account.peak_bytes < 100_000
        return harness.malformed

    (reason,) = run(behave, body)
    assert "responses" in reason


def test_bytes_for_a_searcher_that_does_not_read_count():
    size = 20_000_000

    async def body():
        stalled = asyncio.Event()

        async def serve(reader, writer):
            await stalled.wait()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        STARTED_SERVERS.append(server)
        port = server.sockets[0].getsockname()[1]
        harness = PoolHarness(None, samples.upstream(port=port))
        result = harness.send(1, body=b"a" * size)
        while not harness.account.kept_bytes:
            await asyncio.sleep(0.001)
        # The rest is in socket buffers.
        assert size / 4 < harness.account.kept_bytes <= size + 1000
        harness.pool.close()
        assert (await result).outcome == OUTCOME.BROKEN
        assert harness.account.kept_bytes == 0
        stalled.set()

    run_and_close(asyncio.wait_for(body(), 5))


def test_a_searcher_is_read_in_small_parts(monkeypatch):
    # 40 searchers' chunks of 1 byte held up the event loop for 1.2 s at a time.
    sizes = []
    feed = http1.ResponseReader.feed

    def record_size(reader, data):
        sizes.append(len(data))
        return feed(reader, data)

    monkeypatch.setattr(http1.ResponseReader, "feed", record_size)

    async def behave(request, writer):
        writer.write(encode_answer(request, b"x" * 2_000_000))

    async def body(harness):
        assert (await harness.send(1)).outcome == OUTCOME.ANSWERED

    run(behave, body)
    assert max(sizes) <= 32_768


def test_large_responses_that_stop_do_not_make_a_daemon_refuse_requests():
    # All requests were refused while one searcher's answers filled the account.
    async def behave(request, writer):
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\n"
        writer.write(head + b"a" * 4_000_000)
        while not writer.transport.is_closing():
            await asyncio.sleep(0.01)

    async def body(harness):
        results = [harness.send(token) for token in range(10)]
        await asyncio.wait(results, timeout=1)
        assert 0 < harness.account.kept_bytes <= 16_000_000
        assert not harness.account.is_short
        assert {r.result().outcome for r in results if r.done()} == {
            OUTCOME.BROKEN
        }
        assert not all(result.done() for result in results)

    run(behave, body)


async def answer_whole(request, writer):
    writer.write(encode_answer(request))


async def answer_and_close(request, writer):
    writer.write(encode_answer(request, extra=b"connection: close\r\n"))


async def answer_nothing_and_close(request, writer):
    writer.close()


async def answer_a_part_and_reset(request, writer):
    writer.write(ANSWER_HEAD % b"r" + b"content-length: 9\r\n\r\nx")
    await writer.drain()
    writer.transport.abort()


async def answer_with_bytes_that_are_no_http(request, writer):
    writer.write(b"oops\r\n\r\n")


async def answer_with_too_many_responses(request, writer):
    writer.write(encode_answer(request) * 40)


@pytest.mark.parametrize(
    "behave",
    [
        answer_whole,
        answer_and_close,
        answer_nothing_and_close,
        answer_a_part_and_reset,
        answer_with_bytes_that_are_no_http,
        answer_with_too_many_responses,
    ],
)
def test_a_closed_connection_leaves_nothing_for_a_garbage_collection(behave):
    async def body(harness):
        with garbage.left_behind() as kinds:
            await asyncio.gather(*(harness.send(n) for n in range(3)))
            harness.pool.close()
            await asyncio.sleep(0.1)
            harness.results.clear()
        return kinds

    assert run(behave, body) == []


def encode_tiny_chunks(request, count) -> bytes:
    head = ANSWER_HEAD % request.header_values(b"x-request-id")[0]
    return head + b"transfer-encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * count


def test_tiny_chunks_of_a_searcher_do_not_hold_up_everything_else():
    async def behave(request, writer):
        writer.write(encode_tiny_chunks(request, 190_000))
        await writer.drain()

    async def body(harness):
        for token in range(13):
            harness.send(token)
        loop = asyncio.get_running_loop()
        late_s = 0.0
        end_at = loop.time() + 1
        while loop.time() < end_at:
            due_at = loop.time() + 0.005
            await asyncio.sleep(0.005)
            late_s += loop.time() - due_at
        return late_s

    assert run(behave, body) < 0.4


def test_a_connection_that_sent_tiny_chunks_carries_the_next_request():
    async def behave(request, writer):
        writer.write(encode_tiny_chunks(request, 10_000) + b"0\r\n\r\n")
        await writer.drain()

    async def body(harness):
        for token in range(3):
            result = await harness.send(token)
            assert result.outcome == OUTCOME.ANSWERED
            assert len(result.response.body) == 10_000
        return harness.searcher.connections

    assert run(behave, body) == 1


def test_a_connection_that_is_closed_while_it_waits_is_not_read_again():
    async def behave(request, writer):
        writer.write(encode_tiny_chunks(request, 150_000))
        await writer.drain()

    async def body(harness):
        result = harness.send(1)
        await asyncio.sleep(0.2)
        harness.pool.close()
        assert (await result).outcome == OUTCOME.BROKEN
        await asyncio.sleep(0.5)
        return harness.malformed

    assert run(behave, body) == []


@pytest.mark.parametrize("status", [b"000", b"099", b"600"])
def test_an_answer_with_a_status_of_no_response_ends_its_request_at_once(
    status,
):
    # Guards against a request that waits for its deadline, and against a status
    # that reaches the caller.
    async def answer_oddly(request, writer):
        answered = encode_answer(request)
        writer.write(answered.replace(b" 200 OK", b" %b Odd" % status))

    async def body(harness):
        async with asyncio.timeout(1):
            return await harness.send(1), harness.malformed

    result, malformed = run(answer_oddly, body)
    assert (result.outcome, result.response) == (OUTCOME.BROKEN, None)
    assert result.is_broken_off
    assert len(malformed) == 1
    assert f"the status {status.decode()}" in malformed[0]


def test_interim_answers_without_end_end_their_request_at_once():
    # Guards against a request that waits for its deadline.
    async def answer_never(request, writer):
        for _ in range(http1.MAX_INTERIM_RESPONSES + 1):
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")

    async def body(harness):
        async with asyncio.timeout(1):
            return await harness.send(1)

    assert run(answer_never, body).outcome == OUTCOME.BROKEN
