import hypothesis
import pytest
from hypothesis import strategies

from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.codecs import peers
from citrondoor.platform import _searcher_codec
from citrondoor.schema import messages

UNREADABLE = []
CODEC = _searcher_codec.PlatformSearcherCodec(
    lambda name, value: UNREADABLE.append((name, value))
)
OUTCOME = links.ExchangeOutcome
OUTBOUND = links.OutboundRequest(
    b"r1", b"GET", b"/a/b?q=1", [(b"host", b"h")], b"", 900, True
)


def decode(status, *headers, body=b"x"):
    response = http1.Response(status, list(headers), body)
    return CODEC.decode(OUTBOUND, response)


STAMP_HEADER = (b"x-server-stamp", b"s")
MATCHING_ID_HEADER = (b"x-request-id", b"r1")


def test_a_request_carries_the_searcher_id_and_the_remaining_time():
    data = CODEC.encode(OUTBOUND, "i-7", 250)
    (request,) = http1.RequestReader(9999, 9999).feed(data)
    assert request.target == b"/a/b?q=1"
    assert request.header_values(b"x-request-id") == [b"r1"]
    assert request.header_values(b"x-request-deadline") == [b"250"]
    assert request.header_values(b"x-expect-instance") == [b"i-7"]


def test_a_success_with_a_stamp_is_an_answer():
    result = decode(200, STAMP_HEADER, MATCHING_ID_HEADER)
    assert (result.outcome, result.stamp) == (OUTCOME.ANSWERED, b"s")


def test_a_success_without_a_stamp_is_broken():
    assert decode(200, MATCHING_ID_HEADER).outcome == OUTCOME.BROKEN


def test_a_response_with_another_request_id_is_foreign():
    assert (
        decode(200, STAMP_HEADER, (b"x-request-id", b"r2")).outcome
        == OUTCOME.FOREIGN
    )


def test_a_request_counts_as_not_run_only_if_the_searcher_says_so():
    not_run_header = (b"x-not-run", b"1")
    assert decode(503, not_run_header).outcome == OUTCOME.NOT_RUN
    assert decode(421).outcome == OUTCOME.NOT_RUN
    assert decode(421).is_misdirected
    assert decode(503, STAMP_HEADER).outcome == OUTCOME.FAILED
    assert decode(500, STAMP_HEADER).outcome == OUTCOME.FAILED
    assert decode(503).outcome == OUTCOME.BROKEN


def test_the_remaining_warm_up_time_is_decoded_and_0_if_malformed():
    assert decode(200, STAMP_HEADER, (b"x-warmup-left", b"700")).cold_ms == 700
    assert decode(200, STAMP_HEADER, (b"x-warmup-left", b"soon")).cold_ms == 0


@pytest.mark.parametrize("digits", [10, 20, 5000])
def test_a_warm_up_time_of_any_length_can_be_passed_on_to_peers(digits):
    header = (b"x-warmup-left", b"9" * digits)
    result = decode(200, STAMP_HEADER, header)
    assert result.outcome == OUTCOME.ANSWERED
    reply = messages.RelayReply(1, 1, index=0, cold_ms=result.cold_ms)
    assert peers.decode(messages.RelayReply, peers.encode(reply)) == reply


def test_a_warm_up_time_with_decimals_is_rounded_up():
    header = (b"x-warmup-left", b"1499.5")
    assert decode(200, STAMP_HEADER, header).cold_ms == 1500


def test_an_unreadable_warm_up_time_is_reported():
    UNREADABLE.clear()
    decode(200, STAMP_HEADER, (b"x-warmup-left", b"soon"))
    assert UNREADABLE == [(b"x-warmup-left", b"soon")]


def decode_rate(*values):
    headers = [(b"server-limit", value) for value in values]
    result = decode(200, STAMP_HEADER, MATCHING_ID_HEADER, *headers)
    return result.statements.rate_limit_per_s


def test_the_limit_that_a_searcher_names_is_decoded():
    assert decode_rate(b"10.25") == 10.25
    assert decode_rate(b"0") == 0
    assert decode_rate() is None
    assert decode_rate(b"3", b"4") == 3


def test_a_limit_is_decoded_with_all_its_decimals():
    # Guards against a limit that has no effect, as it is written in full.
    assert decode_rate(b"3.3333333333333335") == 10 / 3
    assert decode_rate(b"1.0E1") == 10


def test_a_limit_that_cannot_be_read_differs_from_none():
    # Guards against a value that takes back the limit named before.
    def decode_statements(*headers):
        return decode(200, STAMP_HEADER, *headers).statements

    assert not decode_statements().is_rate_limit_unreadable
    assert not decode_statements(
        (b"server-limit", b"3")
    ).is_rate_limit_unreadable
    assert decode_statements((b"server-limit", b"?")).is_rate_limit_unreadable


def test_a_misdirected_request_tells_nothing_of_the_searcher():
    assert decode(421, (b"server-limit", b"3")).statements is None


@hypothesis.given(
    strategies.sampled_from(
        [b"", b"-1", b"nan", b"inf", b"1e9", b"1_0", b"1,5", b"9" * 400]
    )
    | strategies.binary(max_size=20)
)
def test_a_limit_that_is_no_decimal_number_is_ignored_and_reported(value):
    UNREADABLE.clear()
    rate = decode_rate(value)
    is_ignored = [(b"server-limit", value)] == UNREADABLE
    assert is_ignored == (rate is None)
    assert rate is None or 0 <= rate < 1e9


def test_a_searcher_is_leaving_only_if_it_says_so_with_1():
    def decode_leaving(*headers):
        return decode(200, STAMP_HEADER, *headers).statements.is_leaving

    assert decode_leaving((b"server-leaving", b"1"))
    assert not decode_leaving()
    UNREADABLE.clear()
    assert not decode_leaving((b"server-leaving", b"yes"))
    assert UNREADABLE == [(b"server-leaving", b"yes")]


def test_a_pause_is_decoded_from_a_503_only():
    def decode_pause(value, status=503):
        headers = [(b"x-not-run", b"1"), (b"retry-after", value)]
        return decode(status, *headers).statements.pause_ms

    assert decode_pause(b"2") == 2000
    assert decode_pause(b"0.25") == 250
    assert decode_pause(b"6.666666666666667") == 6667
    assert decode_pause(b"2", status=429) == 0
    assert decode_pause(b"999999999") == _searcher_codec.MAX_PAUSE_MS
    UNREADABLE.clear()
    for value in (b"-1", b"soon", b"Sat, 05 Dec 2026 04:00:00 GMT"):
        assert decode_pause(value) == 0
    assert len(UNREADABLE) == 3
