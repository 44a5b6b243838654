from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.platform import _searcher_codec

CODEC = _searcher_codec.PlatformSearcherCodec()
KIND = links.ExchangeOutcome
OUTBOUND = links.OutboundRequest(
    b"r1", b"GET", b"/a/b?q=1", [(b"host", b"h")], b"", 900, True
)


def decode(status, *headers, body=b"x"):
    response = http1.Response(status, list(headers), body)
    return CODEC.decode(OUTBOUND, response)


STAMP = (b"x-server-stamp", b"s")
OWN_ID = (b"x-request-id", b"r1")


def test_a_request_names_its_searcher_and_the_time_left():
    data = CODEC.encode(OUTBOUND, "i-7", 250)
    (request,) = http1.RequestReader(9999, 9999).feed(data)
    assert request.target == b"/a/b?q=1"
    assert request.header_values(b"x-request-id") == [b"r1"]
    assert request.header_values(b"x-request-deadline") == [b"250"]
    assert request.header_values(b"x-expect-instance") == [b"i-7"]


def test_a_stamped_success_is_an_answer():
    reply = decode(200, STAMP, OWN_ID)
    assert (reply.kind, reply.stamp) == (KIND.ANSWERED, b"s")


def test_a_success_without_its_stamp_is_none():
    assert decode(200, OWN_ID).kind == KIND.BROKEN


def test_a_response_to_another_request_is_foreign():
    assert decode(200, STAMP, (b"x-request-id", b"r2")).kind == KIND.FOREIGN


def test_only_what_searchers_say_they_did_not_run_was_not_run():
    marker = (b"x-not-run", b"1")
    assert decode(503, marker).kind == KIND.NOT_RUN
    assert decode(421).kind == KIND.NOT_RUN
    assert decode(421).is_misdirected
    assert decode(503, STAMP).kind == KIND.FAILED
    assert decode(500, STAMP).kind == KIND.FAILED
    assert decode(503).kind == KIND.BROKEN


def test_the_rest_of_a_warm_up_is_read():
    assert decode(200, STAMP, (b"x-warmup-left", b"700")).cold_ms == 700
    assert decode(200, STAMP, (b"x-warmup-left", b"soon")).cold_ms == 0
