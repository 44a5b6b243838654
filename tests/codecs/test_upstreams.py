import hypothesis
import orjson
import pytest
from hypothesis import strategies

from citrondoor.codecs import upstreams
from citrondoor.schema import messages

OUTCOME = messages.SubOutcome
SHARD = {"shard": "a", "records": 3, "scores": [2.0], "ids": ["r"]}
GOOD = {"id": 5, "snapshot": "gen-1", "shards": [SHARD]}


def response(content, status: int = 200) -> bytes:
    body = orjson.dumps(content)
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_responses_are_split_wherever_the_bytes_are_cut():
    data = response(GOOD) + response({"id": 6}, 503)
    for cut in range(1, len(data)):
        reader = upstreams.ResponseReader()
        found = reader.feed(data[:cut]) + reader.feed(data[cut:])
        assert [(r.attempt, r.status) for r in found] == [(5, 200), (6, 503)]


def test_a_good_answer_is_decoded():
    (found,) = upstreams.ResponseReader().feed(response(GOOD))
    answer = upstreams.decode_sub_answer(found)
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
def test_a_status_is_an_outcome(status, outcome):
    (found,) = upstreams.ResponseReader().feed(response({"id": 1}, status))
    assert upstreams.decode_sub_answer(found).outcome == outcome


@pytest.mark.parametrize(
    "content",
    [
        {"id": 1},
        {"id": 1, "snapshot": "g", "shards": [{**SHARD, "ids": []}]},
        {"id": 1, "snapshot": "g", "shards": [5]},
        {"id": 1, "snapshot": "g", "shards": None},
    ],
)
def test_an_unreadable_answer_is_a_failure(content):
    (found,) = upstreams.ResponseReader().feed(response(content))
    assert upstreams.decode_sub_answer(found).outcome == OUTCOME.FAILED


def test_a_body_without_an_id_belongs_to_no_call():
    for content in ({}, [1], {"id": "5"}, {"id": True}):
        (found,) = upstreams.ResponseReader().feed(response(content))
        assert found.attempt == -1


def test_what_is_no_http_is_one_typed_error():
    with pytest.raises(ValueError):
        upstreams.ResponseReader().feed(b"\x00\x01 garbage\r\n\r\n")


@hypothesis.given(data=strategies.binary(max_size=300))
def test_no_bytes_raise_anything_else(data):
    reader = upstreams.ResponseReader()
    try:
        reader.feed(data)
    except ValueError:
        return


def test_a_run_without_a_text_as_result_is_a_failure():
    (found,) = upstreams.ResponseReader().feed(response({"id": 1}))
    assert upstreams.decode_run_answer(found).outcome == OUTCOME.FAILED
    (found,) = upstreams.ResponseReader().feed(
        response({"id": 1, "result": "done"})
    )
    assert upstreams.decode_run_answer(found).result == "done"
