import hypothesis
import orjson
import pytest
from hypothesis import strategies

from citrondoor.codecs import upstreams
from citrondoor.schema import messages

OUTCOME = messages.SubOutcome
SHARD = {"shard": "a", "records": 3, "scores": [2.0], "ids": ["r"]}
VALID_ANSWER = {"id": 5, "snapshot": "gen-1", "shards": [SHARD]}


def encode_response(content, status: int = 200) -> bytes:
    body = orjson.dumps(content)
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_responses_are_parsed_however_the_bytes_are_split():
    data = encode_response(VALID_ANSWER) + encode_response({"id": 6}, 503)
    for split_at in range(1, len(data)):
        reader = upstreams.ResponseReader()
        received = reader.feed(data[:split_at]) + reader.feed(data[split_at:])
        assert [(parsed.attempt, parsed.status) for parsed in received] == [
            (5, 200),
            (6, 503),
        ]


def test_valid_answer_is_decoded():
    (received,) = upstreams.ResponseReader().feed(encode_response(VALID_ANSWER))
    answer = upstreams.decode_sub_answer(received)
    assert answer.outcome == OUTCOME.ANSWERED
    assert answer.shards == [messages.ShardAnswer("a", 3, [2.0], ["r"])]


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (409, OUTCOME.SNAPSHOT_MISSING),
        (499, OUTCOME.CANCELLED),
        (503, OUTCOME.SHED),
        (500, OUTCOME.FAILED),
        (301, OUTCOME.FAILED),
    ],
)
def test_status_determines_the_outcome(status, outcome):
    (received,) = upstreams.ResponseReader().feed(
        encode_response({"id": 1}, status)
    )
    assert upstreams.decode_sub_answer(received).outcome == outcome


@pytest.mark.parametrize(
    "content",
    [
        {"id": 1},
        {"id": 1, "snapshot": "g", "shards": [{**SHARD, "ids": []}]},
        {"id": 1, "snapshot": "g", "shards": [5]},
        {"id": 1, "snapshot": "g", "shards": None},
    ],
)
def test_malformed_answer_is_a_failure(content):
    (received,) = upstreams.ResponseReader().feed(encode_response(content))
    assert upstreams.decode_sub_answer(received).outcome == OUTCOME.FAILED


def test_body_without_an_integer_id_matches_no_call():
    for content in ({}, [1], {"id": "5"}, {"id": True}):
        (received,) = upstreams.ResponseReader().feed(encode_response(content))
        assert received.attempt == -1


def test_bytes_that_are_not_http_raise_value_error():
    with pytest.raises(ValueError):
        upstreams.ResponseReader().feed(b"\x00\x01 garbage\r\n\r\n")


@hypothesis.given(data=strategies.binary(max_size=300))
def test_random_bytes_raise_only_value_error(data):
    reader = upstreams.ResponseReader()
    try:
        reader.feed(data)
    except ValueError:
        return


def test_run_without_a_result_text_is_a_failure():
    (received,) = upstreams.ResponseReader().feed(encode_response({"id": 1}))
    assert upstreams.decode_run_answer(received).outcome == OUTCOME.FAILED
    (received,) = upstreams.ResponseReader().feed(
        encode_response({"id": 1, "result": "done"})
    )
    assert upstreams.decode_run_answer(received).result == "done"
