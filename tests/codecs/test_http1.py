import hypothesis
import pytest
from hypothesis import strategies

from citrondoor.codecs import http1

TOKENS = strategies.text("abcxyz", min_size=1, max_size=8)
BODIES = strategies.binary(max_size=200)


def read_requests(data, size=7):
    reader = http1.RequestReader(10_000, 10_000)
    found = []
    for start in range(0, len(data), size):
        found += reader.feed(data[start : start + size])
    return found


@hypothesis.given(
    strategies.lists(strategies.tuples(TOKENS, BODIES), max_size=4),
    strategies.integers(1, 50),
)
def test_requests_survive_any_split_into_reads(parts, size):
    data = b"".join(
        http1.encode_request(
            b"POST", b"/" + name.encode(), [(b"host", b"h")], body
        )
        for name, body in parts
    )
    found = read_requests(data, size)
    assert [(r.path[1:], r.body) for r in found] == parts


@hypothesis.given(BODIES, strategies.integers(1, 50))
def test_responses_survive_any_split_into_reads(body, size):
    response = http1.Response(200, [(b"x-a", b"1")], body)
    data = http1.encode_response(response, True) * 2
    reader = http1.ResponseReader()
    found = []
    for start in range(0, len(data), size):
        found += reader.feed(data[start : start + size])
    assert [r.body for r in found] == [body, body]
    assert found[0].header_value(b"x-a") == b"1"


@hypothesis.given(strategies.binary(max_size=300))
def test_any_bytes_give_requests_or_a_protocol_error(data):
    try:
        read_requests(data)
    except http1.ProtocolError as error:
        assert error.status in (400, 413, 431)


def test_a_response_without_a_length_ends_with_its_connection():
    reader = http1.ResponseReader()
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc") == []
    assert reader.finish().body == b"abc"


def test_a_response_that_breaks_off_is_none():
    reader = http1.ResponseReader()
    reader.feed(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc")
    assert reader.finish() is None
    assert not reader.is_between_responses


def test_bytes_after_a_response_are_an_error():
    reader = http1.ResponseReader()
    with pytest.raises(http1.ProtocolError):
        reader.feed(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nabcdef")


def test_headers_of_one_connection_are_not_passed_on():
    headers = [
        (b"connection", b"close, X-Hop"),
        (b"x-hop", b"1"),
        (b"te", b"trailers"),
        (b"x-kept", b"2"),
    ]
    assert http1.end_to_end_headers(headers) == [(b"x-kept", b"2")]


def test_the_stated_idle_time_is_read_in_ms():
    response = http1.Response(200, [(b"keep-alive", b"timeout=5, max=9")], b"")
    assert http1.keep_alive_ms(response) == 5000
    assert http1.keep_alive_ms(http1.Response(200, [], b"")) is None
