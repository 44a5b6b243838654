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


def test_keep_alive_timeout_is_returned_in_ms():
    response = http1.Response(200, [(b"keep-alive", b"timeout=5, max=9")], b"")
    assert http1.keep_alive_ms(response) == 5000
    assert http1.keep_alive_ms(http1.Response(200, [], b"")) is None
