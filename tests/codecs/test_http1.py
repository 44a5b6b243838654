import contextlib
import gc
import time
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies

from citrondoor.codecs import http1

TOKENS = strategies.text("abcxyz", min_size=1, max_size=8)
BODIES = strategies.binary(max_size=200)


def read_requests(data, chunk_bytes=7):
    reader = http1.RequestReader(10_000, 10_000)
    requests = []
    for start in range(0, len(data), chunk_bytes):
        requests += reader.feed(data[start : start + chunk_bytes])
    return requests


@hypothesis.given(
    strategies.lists(strategies.tuples(TOKENS, BODIES), max_size=4),
    strategies.integers(1, 50),
)
def test_requests_are_parsed_however_the_bytes_are_split(expected, chunk_bytes):
    data = b"".join(
        http1.encode_request(
            b"POST", b"/" + name.encode(), [(b"host", b"h")], body
        )
        for name, body in expected
    )
    requests = read_requests(data, chunk_bytes)
    assert [
        (request.path[1:], request.body) for request in requests
    ] == expected


@hypothesis.given(BODIES, strategies.integers(1, 50))
def test_responses_are_parsed_however_the_bytes_are_split(body, chunk_bytes):
    response = http1.Response(200, [(b"x-a", b"1")], body)
    data = http1.encode_response(response, True) * 2
    reader = http1.ResponseReader()
    responses = []
    for start in range(0, len(data), chunk_bytes):
        responses += reader.feed(data[start : start + chunk_bytes])
    assert [received.body for received in responses] == [body, body]
    assert responses[0].header_value(b"x-a") == b"1"


@hypothesis.given(strategies.binary(max_size=300))
def test_random_bytes_give_requests_or_a_protocol_error(data):
    try:
        read_requests(data)
    except http1.ProtocolError as error:
        assert error.status in (400, 413, 431)


def test_response_without_a_length_ends_with_its_connection():
    reader = http1.ResponseReader()
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc") == []
    assert reader.finish().body == b"abc"


def test_incomplete_response_is_dropped_when_the_connection_ends():
    reader = http1.ResponseReader()
    reader.feed(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc")
    assert reader.finish() is None
    assert not reader.is_between_responses


def test_bytes_after_a_response_are_a_protocol_error():
    reader = http1.ResponseReader()
    with pytest.raises(http1.ProtocolError):
        reader.feed(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nabcdef")


def test_hop_by_hop_headers_are_not_forwarded():
    headers = [
        (b"connection", b"close, X-Hop"),
        (b"x-hop", b"1"),
        (b"te", b"trailers"),
        (b"x-kept", b"2"),
    ]
    assert http1.end_to_end_headers(headers) == [(b"x-kept", b"2")]


@pytest.mark.parametrize(
    ("value", "timeout_ms"),
    [
        (b"timeout=0", 0),
        (b"max=5, timeout = 2.5", 2500),
        (b"timeout=" + b"9" * 900, 86_400_000),
        (b"timeout=soon", None),
    ],
)
def test_keep_alive_timeout_is_read_in_each_usual_form(value, timeout_ms):
    response = http1.Response(200, [(b"keep-alive", value)], b"")
    assert http1.keep_alive_ms(response) == timeout_ms


def test_keep_alive_timeout_is_returned_in_ms():
    response = http1.Response(200, [(b"keep-alive", b"timeout=5, max=9")], b"")
    assert http1.keep_alive_ms(response) == 5000
    assert http1.keep_alive_ms(http1.Response(200, [], b"")) is None


PIECE = 65_536
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
ENDLESS_RESPONSES = {
    "header value": (b"HTTP/1.1 200 OK\r\nx-a: ", b"a" * PIECE),
    "header name": (b"HTTP/1.1 200 OK\r\nx", b"a" * PIECE),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x-a: 1\r\n" * 8192),
    "reason phrase": (b"HTTP/1.1 200 ", b"a" * PIECE),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2500),
    "empty lines": (b"", b"\r\n" * 32_768),
    "chunk extension": (CHUNKED + b"1;", b"a" * PIECE),
    "chunk length": (CHUNKED, b"0" * PIECE),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: 1\r\n" * 8192),
    "trailer value": (CHUNKED + b"0\r\nx-a: ", b"a" * PIECE),
}


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
def test_bytes_without_end_that_are_no_body_are_a_protocol_error(name):
    start, piece = ENDLESS_RESPONSES[name]
    reader = http1.ResponseReader()
    with pytest.raises(http1.ProtocolError):
        reader.feed(start)
        for _ in range(1 + http1.MAX_RESPONSE_HEAD_BYTES // PIECE + 1):
            assert reader.feed(piece) == []


def test_a_body_without_end_is_a_protocol_error_at_the_limit():
    reader = http1.ResponseReader(max_body_bytes=4 * PIECE)
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    reader.feed(head)
    for _ in range(4):
        reader.feed(b"a" * PIECE)
    assert len(head) + 4 * PIECE <= reader.kept_bytes <= 5 * PIECE
    with pytest.raises(http1.ProtocolError):
        reader.feed(b"a")


def test_a_declared_body_over_the_limit_is_refused_before_it_arrives():
    reader = http1.ResponseReader(max_body_bytes=PIECE)
    with pytest.raises(http1.ProtocolError):
        reader.feed(b"HTTP/1.1 200 OK\r\ncontent-length: 65537\r\n\r\n")


def test_a_body_in_small_chunks_is_within_the_limits():
    body = b"abcdefgh" * 20_000
    reader = http1.ResponseReader()
    data = CHUNKED + b"".join(
        b"1\r\n%b\r\n" % body[n : n + 1] for n in range(len(body))
    )
    (response,) = reader.feed(data + b"0\r\n\r\n")
    assert response.body == body
    assert reader.kept_bytes == 0


def test_a_long_connection_does_not_add_up_to_a_limit():
    reader = http1.ResponseReader()
    data = http1.encode_response(
        http1.Response(200, [(b"x-a", b"1" * 1000)], b"b"), True
    )
    for _ in range(200):
        (response,) = reader.feed(data)
        assert response.body == b"b"


def test_a_response_before_malformed_bytes_is_not_lost():
    reader = http1.ResponseReader()
    data = http1.encode_response(http1.Response(200, [], b"whole"), True)
    with pytest.raises(http1.ProtocolError):
        reader.feed(data + b"\x07 rubbish")
    (response,) = reader.take_responses()
    assert response.body == b"whole"


ENDLESS_REQUESTS = {
    "target": (b"GET /", b"a" * 500),
    "header value": (b"GET / HTTP/1.1\r\nx-a: ", b"a" * 500),
    "chunk extension": (
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1;",
        b"a" * 500,
    ),
    "trailers": (
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        b"x-a: 1\r\n" * 60,
    ),
    "empty lines": (b"", b"\r\n" * 250),
    "many headers": (b"GET / HTTP/1.1\r\n", b"a:\r\n" * 90),
}


@pytest.mark.parametrize("name", ENDLESS_REQUESTS)
def test_bytes_without_end_of_a_caller_are_a_protocol_error(name):
    start, piece = ENDLESS_REQUESTS[name]
    reader = http1.RequestReader(2000, 2000)
    with pytest.raises(http1.ProtocolError) as caught:
        reader.feed(start)
        for _ in range(6):
            assert reader.feed(piece) == []
    assert caught.value.status == 431


@hypothesis.given(
    BODIES,
    strategies.integers(0, 150),
    strategies.binary(max_size=6),
    strategies.integers(1, 50),
)
def test_corrupted_responses_give_responses_or_a_protocol_error(
    body, position, inserted, chunk_bytes
):
    whole = http1.encode_response(http1.Response(200, [], body), True) * 3
    data = whole[:position] + inserted + whole[position + 1 :]
    reader = http1.ResponseReader()
    responses = []
    try:
        for start in range(0, len(data), chunk_bytes):
            responses += reader.feed(data[start : start + chunk_bytes])
    except http1.ProtocolError:
        responses += reader.take_responses()
    finished = reader.finish()
    assert len(responses) <= 3 + len(inserted) // 2
    assert finished is None or finished.status


@hypothesis.given(
    BODIES,
    strategies.integers(0, 150),
    strategies.binary(max_size=6),
    strategies.integers(1, 50),
)
def test_corrupted_requests_give_requests_or_a_protocol_error(
    body, position, inserted, chunk_bytes
):
    whole = 3 * http1.encode_request(b"POST", b"/a", [(b"host", b"h")], body)
    data = whole[:position] + inserted + whole[position + 1 :]
    try:
        requests = read_requests(data, chunk_bytes)
    except http1.ProtocolError as error:
        assert error.status in (400, 413, 431)
    else:
        assert len(requests) <= 3 + len(inserted) // 2


STATUS_LINE_BYTES = len(b"HTTP/1.1 500 ")


def encode_stamped(status, request_id, body):
    headers = [
        (b"Date", b"Sat, 05 Dec 2026 11:00:00 GMT"),
        (b"X-Request-Id", request_id),
        (b"X-Server-Stamp", b"stamp-" + request_id),
        (b"Keep-Alive", b"timeout=5"),
    ]
    return http1.encode_response(http1.Response(status, headers, body), True)


@hypothesis.given(
    strategies.binary(min_size=1, max_size=300),
    BODIES,
    strategies.data(),
    strategies.integers(1, 600),
)
def test_no_response_is_put_together_out_of_two(
    first_body, second_body, data, chunk_bytes
):
    # MIXED: a response that broke off was completed by the one after it.
    first = encode_stamped(200, b"aa", first_body)
    second = encode_stamped(500, b"bb", second_body)
    cut = data.draw(strategies.integers(1, len(first) - 1))
    received = first[:cut] + second
    reader = http1.ResponseReader()
    responses = []
    try:
        for start in range(0, len(received), chunk_bytes):
            responses += reader.feed(received[start : start + chunk_bytes])
    except http1.ProtocolError:
        responses += reader.take_responses()
    if chunk_bytes >= len(received):
        assert responses == []
    elif cut <= len(first) - STATUS_LINE_BYTES:
        # What was filled up is marked until the rest shows that it is two.
        assert all(response.may_be_spliced for response in responses)


def test_no_response_is_put_together_wherever_it_breaks_off():
    first = encode_stamped(200, b"aa", b"0123456789" * 30)
    second = encode_stamped(500, b"bb", b"no")
    for cut in range(1, len(first)):
        reader = http1.ResponseReader()
        responses = []
        # A body that the second response does not fill up stays incomplete.
        with contextlib.suppress(http1.ProtocolError):
            responses = reader.feed(first[:cut] + second)
        assert reader.take_responses() == []
        # One that it fills up to the byte cannot be told, and is marked.
        is_exact = len(first) - cut == len(second)
        assert [r.may_be_spliced for r in responses] == [True] * is_exact


@pytest.mark.parametrize("cut", range(1, 40))
def test_the_begin_of_a_response_is_not_the_end_of_the_one_before(cut):
    reader = http1.ResponseReader()
    whole = encode_stamped(200, b"aa", b"x")
    assert len(reader.feed(whole)) == 1
    assert reader.is_between_responses
    reader.feed(whole[:cut])
    assert not reader.is_between_responses


def test_a_body_without_a_length_that_holds_another_response_is_dropped():
    reader = http1.ResponseReader()
    second = encode_stamped(500, b"bb", b"no")
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nrecords" + second) == []
    assert reader.finish() is None


def test_a_whole_body_that_quotes_a_response_is_only_marked():
    reader = http1.ResponseReader()
    quoted = encode_stamped(500, b"bb", b"no")
    data = http1.encode_response(http1.Response(200, [], quoted), True)
    (response,) = reader.feed(data)
    assert response.body == quoted
    assert response.may_be_spliced


LENGTH = b"HTTP/1.1 200 OK\r\ncontent-length: 16000000\r\n\r\n"
# First bytes, a piece, and how many of these; none completes a response.
PARTIAL_RESPONSES = {
    "length": (LENGTH, b"a" * PIECE, 100),
    "length, in small pieces": (LENGTH, b"a" * 100, 20_000),
    "chunks of 1 byte": (CHUNKED, b"1\r\na\r\n" * 10_000, 15),
    "chunks of 2 bytes": (CHUNKED, b"2\r\nab\r\n" * 10_000, 15),
    "chunks of 16 bytes": (CHUNKED, b"10\r\n%b\r\n" % (b"a" * 16) * 3000, 50),
    "chunks of 5 kB": (CHUNKED, b"1388\r\n%b\r\n" % (b"a" * 5000) * 10, 30),
    "chunks of 64 kB": (CHUNKED, b"10000\r\n%b\r\n" % (b"a" * PIECE), 30),
    "chunk extensions": (
        CHUNKED,
        b"10;%b\r\n%b\r\n" % (b"a" * 8, b"a" * 16),
        99,
    ),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"abc: def\r\n" * 50, 100),
    "empty headers": (b"HTTP/1.1 200 OK\r\n", b"a:\r\n" * 100, 130),
    "header value": (b"HTTP/1.1 200 OK\r\na: ", b"a" * 1000, 64),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", b"abc: def\r\n" * 50, 100),
}


@pytest.mark.parametrize("name", PARTIAL_RESPONSES)
def test_a_partial_response_keeps_no_more_memory_than_it_says(name):
    start, piece, count = PARTIAL_RESPONSES[name]
    tracemalloc.start()
    try:
        reader = http1.ResponseReader()
        before_bytes, _ = tracemalloc.get_traced_memory()
        assert reader.feed(start) == []
        for _ in range(count):
            assert reader.feed(bytes(bytearray(piece))) == []
        kept_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
        assert kept_bytes <= reader.kept_bytes <= 3 * kept_bytes + 2 * PIECE
        reader.drop()
        assert reader.kept_bytes == 0
        assert tracemalloc.get_traced_memory()[0] - before_bytes < 2 * PIECE
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    ("data", "is_endless"),
    [
        (b"", False),
        (b"HTTP/1.1 200 OK\r\nx-a: 1", True),
        (LENGTH + b"a" * 1000, False),
        (CHUNKED + b"400\r\n", True),
        (b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * 1000, True),
        (LENGTH[:-2] + b"a: 1\r\n" * 99 + b"\r\n" + b"a" * 99, True),
        (http1.encode_response(http1.Response(200, [], b"b"), True), False),
    ],
)
def test_a_response_without_an_end_in_sight_is_told(data, is_endless):
    reader = http1.ResponseReader()
    reader.feed(data)
    assert reader.is_endless == is_endless


def test_a_body_in_tiny_chunks_without_end_takes_little_processor_time():
    piece = b"1\r\na\r\n" * 10_000
    reader = http1.ResponseReader()
    reader.feed(CHUNKED)
    fed_bytes = 0
    with pytest.raises(http1.ProtocolError):
        while fed_bytes < http1.MAX_RESPONSE_BODY_BYTES:
            reader.feed(piece)
            fed_bytes += len(piece)
    assert fed_bytes < 2 * http1.MAX_RESPONSE_CHUNK_FRAMING_BYTES


def test_a_large_body_in_chunks_of_one_record_is_within_the_limits():
    record = b"10\r\n0123456789abcdef\r\n"
    count = http1.MAX_RESPONSE_BODY_BYTES // 16
    reader = http1.ResponseReader()
    reader.feed(CHUNKED)
    for _ in range(16):
        assert reader.feed(record * (count // 16)) == []
    (response,) = reader.feed(b"0\r\n\r\n")
    assert response.body == b"0123456789abcdef" * count


def test_trailers_are_limited_whatever_the_body_allows():
    reader = http1.ResponseReader()
    reader.feed(CHUNKED + b"80000\r\n%b\r\n0\r\n" % (b"a" * 8 * PIECE))
    with pytest.raises(http1.ProtocolError):
        for _ in range(5):
            reader.feed(b"a:\r\n" * 8192)


def test_many_responses_at_once_are_a_protocol_error():
    data = http1.encode_response(http1.Response(200, [], b""), True)
    reader = http1.ResponseReader()
    assert len(reader.feed(data * http1.MAX_RESPONSES_AT_ONCE)) == (
        http1.MAX_RESPONSES_AT_ONCE
    )
    with pytest.raises(http1.ProtocolError):
        reader.feed(data * 10_000)
    assert len(reader.take_responses()) <= http1.MAX_RESPONSES_AT_ONCE


def test_a_long_line_of_status_lines_takes_little_time():
    # Each status line was searched to the end of the line.
    body = b"HTTP/1.1 200 " * 80_000 + b"\r\n "
    started_cpu_s = time.process_time()
    assert not http1.Response(200, [], body).may_be_spliced
    assert http1.Response(200, [], body + body[:30] + b"\r\nx").may_be_spliced
    assert time.process_time() - started_cpu_s < 1


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [b"HTTP/1.1 200 ", b"HTTP/1.0 200\r", b"\r\n", b"\r", b"\n"]
            + [b"x:", b" ", b"a", b":"]
        ),
        max_size=12,
    ).map(b"".join)
)
def test_a_response_within_a_body_is_found_as_by_one_search(body):
    found = http1._RESPONSE_START.search(body) is not None
    assert http1.Response(200, [], body).may_be_spliced == found


@pytest.mark.parametrize(
    "end", [b"\r\nrubbish" * 9, b"\r\n0\r\nx: HTTP/1.1 200 OK\r\n\r\n"]
)
def test_a_refused_response_does_not_stay_until_garbage_is_collected(end):
    # The parser and its reader refer to each other.
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        for _ in range(20):
            reader = http1.ResponseReader()
            data = CHUNKED + b"8000\r\n" + bytes(32_768) + end
            with pytest.raises(http1.ProtocolError):
                reader.feed(data)
            reader.drop()
        del data, reader
        kept_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
        assert kept_bytes < PIECE
    finally:
        tracemalloc.stop()
        gc.enable()


PARTIAL_REQUESTS = {
    "tiny headers": (b"GET / HTTP/1.1\r\n", b"ab:cd\r\n" * 20, 12),
    "header value": (b"GET / HTTP/1.1\r\nx-a: ", b"a" * 500, 20),
    "body": (
        b"POST / HTTP/1.1\r\ncontent-length: 90000\r\n\r\n",
        b"x" * 999,
        80,
    ),
    "chunks": (
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 100,
        200,
    ),
}


def measure_partial_request(start, piece, count):
    """Returns the bytes that it says to keep, keeps, and keeps once dropped."""
    reader = http1.RequestReader(16_384, 262_144)
    tracemalloc.start()
    reader.feed(start)
    for _ in range(count):
        reader.feed(piece)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    said_bytes = reader.kept_bytes
    reader.drop()
    dropped_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert reader.kept_bytes == 0
    return said_bytes, kept_bytes, dropped_bytes


@pytest.mark.parametrize("name", PARTIAL_REQUESTS)
def test_a_partial_request_keeps_at_most_what_it_says_and_nothing_once_dropped(
    name,
):
    # The interpreter keeps freed tuples; the first reader fills that store.
    measure_partial_request(*PARTIAL_REQUESTS[name])
    said_bytes, kept_bytes, dropped_bytes = measure_partial_request(
        *PARTIAL_REQUESTS[name]
    )
    assert kept_bytes <= said_bytes <= 100_000
    assert dropped_bytes < 2000


def test_many_tiny_headers_are_refused_within_one_piece():
    reader = http1.RequestReader(16_384, 1000)
    head = b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 50_000
    tracemalloc.start()
    try:
        with pytest.raises(http1.ProtocolError, match="a head over") as caught:
            reader.feed(head)
        # 16,384 bytes of them, not all that arrived at once.
        assert tracemalloc.get_traced_memory()[1] < 1_000_000
    finally:
        tracemalloc.stop()
    assert caught.value.status == 431


def test_many_short_headers_within_the_limit_are_accepted():
    # DENIED: the operators limit the bytes of a head, not its headers.
    reader = http1.RequestReader(16_384, 1000)
    (request,) = reader.feed(
        b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 400 + b"\r\n"
    )
    assert len(request.headers) == 400


FRAMINGS = {
    "length": b"content-length: 1\r\n\r\nx",
    "no length": b"\r\nx",
    "chunks": b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
}


def read_response(data, piece_bytes):
    reader = http1.ResponseReader()
    responses = []
    for start in range(0, len(data), piece_bytes):
        responses += reader.feed(data[start : start + piece_bytes])
    final = reader.finish()
    return responses if final is None else [*responses, final]


@pytest.mark.parametrize("piece_bytes", [1, 9999])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
def test_what_has_a_status_of_no_response_is_none(status, framing, piece_bytes):
    # Guards against a status of 000 that is taken for an interim response, so
    # that the request waits, and against one that is passed on.
    data = b"HTTP/1.1 %b Odd\r\n" % status + FRAMINGS[framing]
    with pytest.raises(http1.ProtocolError, match=status.decode()):
        read_response(data, piece_bytes)


def test_a_response_before_one_with_an_odd_status_counts():
    reader = http1.ResponseReader()
    with pytest.raises(http1.ProtocolError):
        reader.feed(
            b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"
            b"HTTP/1.1 000 Odd\r\n\r\n"
        )
    assert [response.status for response in reader.take_responses()] == [200]


@pytest.mark.parametrize("piece_bytes", [1, 9999])
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("status", [b"100", b"103", b"199"])
def test_an_interim_response_has_no_body(status, framing, piece_bytes):
    # Guards against an answer that is dropped as an interim one.
    data = b"HTTP/1.1 %b Odd\r\n" % status + FRAMINGS[framing]
    with pytest.raises(http1.ProtocolError):
        read_response(data, piece_bytes)


def test_a_few_interim_responses_are_skipped_and_more_are_malformed():
    # Guards against interim responses without end.
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    final = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"
    allowed = interim * http1.MAX_INTERIM_RESPONSES + final
    responses = read_response(allowed * 2, 9999)
    assert [response.status for response in responses] == [200, 200]
    with pytest.raises(http1.ProtocolError, match="interim"):
        read_response(interim + allowed, 9999)


BLANKS_AROUND = b"x-a: \t 3.5 \t \r\nx-b:\r\nx-c: a b \r\n\r\n"


@pytest.mark.parametrize("piece_bytes", [1, 9999])
def test_blanks_around_the_value_of_a_header_are_no_part_of_it(piece_bytes):
    # Guards against a number, an id or a host that does not match for a blank.
    expected = [b"3.5", b"", b"a b"]
    (response,) = read_response(
        b"HTTP/1.1 200 OK\r\ncontent-length: 0 \r\n" + BLANKS_AROUND,
        piece_bytes,
    )
    assert [value for _, value in response.headers[1:]] == expected
    reader = http1.RequestReader(9999, 9999)
    data = b"GET / HTTP/1.1\r\nhost: h \r\n" + BLANKS_AROUND
    requests = []
    for start in range(0, len(data), piece_bytes):
        requests += reader.feed(data[start : start + piece_bytes])
    (request,) = requests
    assert [value for _, value in request.headers] == [b"h", *expected]
