import pytest

from citrondoor import entry
from citrondoor import refusals
from citrondoor.codecs import http1
from citrondoor.platform import _callers
from citrondoor.schema import messages

KIND = messages.RefusalKind
BASE = [(b"host", b"shop.example"), (b"x-request-id", b"r1")]


def request(*headers, target=b"/a/b?q=1"):
    return http1.Request(b"GET", target, [*headers], b"", True)


def decode(*headers, target=b"/a/b?q=1"):
    return _callers.decode_request(request(*headers, target=target), 50)


def test_a_request_keeps_what_searchers_must_see():
    decoded = decode(
        *BASE,
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
        [*BASE, (b"x-request-id", b"r2")],
        [(b"host", b"h"), (b"x-request-id", b"")],
        [(b"x-request-id", b"r1")],
        [*BASE, (b"host", b"other")],
        [*BASE, (b"x-request-deadline", b"soon")],
        [*BASE, (b"x-request-deadline", b"nan")],
        [*BASE, (b"x-request-deadline", b"inf")],
    ],
)
def test_a_request_that_cannot_be_read_is_refused(headers):
    refusal = decode(*headers)
    assert refusal.kind == KIND.MALFORMED
    assert refusal.ran == messages.Ran.NO
    assert _callers.encode_answer(refusal).status == 400


def test_a_deadline_of_nothing_is_expired_and_a_huge_one_is_taken():
    expired = decode(*BASE, (b"x-request-deadline", b"0"))
    assert expired.kind == KIND.DEADLINE_EXPIRED
    assert (
        decode(*BASE, (b"x-request-deadline", b"1e308")).deadline_ms > 10**300
    )


@pytest.mark.parametrize("target", [b"*", b"http://h/a"])
def test_a_target_that_is_no_path_is_refused(target):
    assert decode(*BASE, target=target).kind == KIND.MALFORMED


def test_a_gathered_answer_names_its_stamps_and_what_is_missing():
    answer = entry.MergedAnswer([b"s1", b"s2"], 3, b"records")
    response = _callers.encode_answer(answer)
    assert response.header_value(b"x-part-stamps") == b"s1, s2"
    assert response.header_value(b"x-missing-parts") == b"3"
    assert response.body == b"records"


def test_a_relayed_answer_is_the_searchers():
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


# What these statuses promise: the request has not run and never will.
PROMISES = (408, 421, 429, 503)


def test_only_a_refusal_that_is_not_run_has_a_status_that_says_so():
    not_run = refusals.no_searcher("r", ["s"], 300)
    may_have_run = refusals.upstream_failed("r", ["s"])
    response = _callers.encode_answer(not_run)
    assert response.status in PROMISES
    assert response.header_value(b"retry-after") == b"0.300"
    assert _callers.encode_answer(may_have_run).status not in PROMISES
