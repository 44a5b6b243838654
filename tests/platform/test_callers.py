import asyncio

import pytest

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import limits
from citrondoor import refusals
from citrondoor.codecs import http1
from citrondoor.platform import _callers
from citrondoor.schema import messages
from citrondoor.schema import serving

REFUSAL_KIND = messages.RefusalKind
REQUIRED_HEADERS = [(b"host", b"shop.example"), (b"x-request-id", b"r1")]


def request(*headers, target=b"/a/b?q=1"):
    return http1.Request(b"GET", target, [*headers], b"", True)


def decode(*headers, target=b"/a/b?q=1"):
    return _callers.decode_request(request(*headers, target=target), 50)


def test_headers_set_for_each_searcher_are_not_forwarded():
    decoded = decode(
        *REQUIRED_HEADERS,
        (b"x-request-deadline", b"800"),
        (b"x-expect-instance", b"i-9"),
        (b"connection", b"keep-alive"),
        (b"x-other", b"kept"),
    )
    assert decoded.request_id == b"r1"
    assert decoded.host == "shop.example"
    assert decoded.deadline_ms == 800
    assert decoded.headers == [
        (b"host", b"shop.example"),
        (b"x-other", b"kept"),
    ]


@pytest.mark.parametrize(
    "headers",
    [
        [(b"host", b"h")],
        [*REQUIRED_HEADERS, (b"x-request-id", b"r2")],
        [(b"host", b"h"), (b"x-request-id", b"")],
        [(b"x-request-id", b"r1")],
        [*REQUIRED_HEADERS, (b"host", b"other")],
        [*REQUIRED_HEADERS, (b"x-request-deadline", b"soon")],
        [*REQUIRED_HEADERS, (b"x-request-deadline", b"nan")],
        [*REQUIRED_HEADERS, (b"x-request-deadline", b"inf")],
    ],
)
def test_a_malformed_request_is_refused(headers):
    refusal = decode(*headers)
    assert refusal.kind == REFUSAL_KIND.MALFORMED
    assert refusal.ran == messages.Ran.NO
    assert _callers.encode_answer(refusal).status == 400


def test_a_deadline_of_zero_is_expired_and_a_huge_one_is_accepted():
    expired = decode(*REQUIRED_HEADERS, (b"x-request-deadline", b"0"))
    assert expired.kind == REFUSAL_KIND.DEADLINE_EXPIRED
    assert (
        decode(*REQUIRED_HEADERS, (b"x-request-deadline", b"1e308")).deadline_ms
        > 10**300
    )


@pytest.mark.parametrize("target", [b"*", b"http://h/a"])
def test_a_target_without_a_leading_slash_is_refused(target):
    assert (
        decode(*REQUIRED_HEADERS, target=target).kind == REFUSAL_KIND.MALFORMED
    )


def test_a_merged_answer_has_the_stamps_and_the_missing_shard_count():
    answer = entry.MergedAnswer([b"s1", b"s2"], 3, b"records")
    response = _callers.encode_answer(answer)
    assert response.header_value(b"x-part-stamps") == b"s1, s2"
    assert response.header_value(b"x-missing-parts") == b"3"
    assert response.body == b"records"


def test_a_forwarded_answer_keeps_all_but_hop_by_hop_headers():
    original = http1.Response(
        201,
        [
            (b"x-server-stamp", b"s"),
            (b"keep-alive", b"timeout=5"),
            (b"content-length", b"3"),
        ],
        b"abc",
    )
    response = _callers.encode_answer(entry.ForwardedAnswer(original))
    assert response.status == 201
    assert response.headers == [(b"x-server-stamp", b"s")]
    assert response.body == b"abc"


# Statuses that guarantee that the request did not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def test_only_a_request_that_was_not_run_gets_a_status_that_says_so():
    not_run = refusals.no_searcher("r", ["s"], 300)
    may_have_run = refusals.upstream_failed("r", ["s"])
    response = _callers.encode_answer(not_run)
    assert response.status in NOT_RUN_STATUSES
    assert response.header_value(b"retry-after") == b"0.300"
    assert _callers.encode_answer(may_have_run).status not in NOT_RUN_STATUSES


def test_requests_are_refused_as_not_run_while_memory_is_short():
    account = limits.MemoryAccount(1000)
    refused = []
    # Without a dispatcher, a request that is dispatched fails the test.
    handler = _callers.CallerHandler(
        None, clocks.Clock(), refused.append, None, account
    )
    account.open(serving.Sender.SEARCHER, None).record(900, is_complete=True)
    response = asyncio.run(handler.handle(request(*REQUIRED_HEADERS), None))
    assert response.status == 503
    assert response.header_value(b"retry-after") == b"0.500"
    assert [refusal.ran for refusal in refused] == [messages.Ran.NO]


def test_a_request_that_gave_way_is_refused_with_a_time_to_retry():
    handler = _callers.CallerHandler(
        None, None, lambda refusal: None, None, None
    )
    response = handler.refuse(http1.ProtocolError(503, "too much memory"))
    assert response.status == 503
    assert response.header_value(b"retry-after") == b"0.500"


def test_a_wasteful_request_is_refused_as_not_run_and_the_reason_is_named():
    refused = []
    handler = _callers.CallerHandler(None, None, refused.append, None, None)
    response = handler.refuse(http1.WastefulError(503, "tiny parts"))
    assert response.status == 503
    assert response.header_value(b"retry-after") == b"1.000"
    assert [refusal.ran for refusal in refused] == [messages.Ran.NO]
    assert refused[0].detail == "tiny parts"
