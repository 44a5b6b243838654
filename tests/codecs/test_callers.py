import hypothesis
import orjson
import pytest
from hypothesis import strategies

from citrondoor.codecs import callers
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

SETTINGS = schema_settings.CallerSettings()
VALID_SEARCH = {"id": "vm~1~1.7", "backend": "desk", "query": "valve", "top": 5}


def decode_content(content):
    return callers.decode_search(orjson.dumps(content), 100, SETTINGS)


def test_valid_search_is_decoded():
    request = decode_content(VALID_SEARCH).unwrap()
    assert request.id == messages.RequestId("vm~1~1", 7)
    assert request.deadline_at == 100 + SETTINGS.default_deadline_ms
    assert callers.format_id(request.id) == VALID_SEARCH["id"]


@pytest.mark.parametrize(
    "change",
    [
        {"id": "no-number"},
        {"id": "s.0"},
        {"id": "s.99999999999999999"},
        {"id": "s p.1"},
        {"id": 7},
        {"backend": ""},
        {"query": ""},
        {"query": "x" * 20_000},
        {"top": -1},
        {"top": "5"},
        {"top": True},
        {"shards": "s1"},
        {"shards": [1]},
        {"deadline_ms": 0},
        {"deadline_ms": 10**9},
        {"deadline_ms": 1.5},
        {"color": "red"},
    ],
)
def test_invalid_fields_are_refused_with_a_remedy(change):
    refusal = decode_content({**VALID_SEARCH, **change}).unwrap_err()
    assert refusal.kind == messages.RefusalKind.MALFORMED
    assert refusal.ran == messages.Ran.NO
    assert refusal.remedy


@hypothesis.given(data=strategies.binary(max_size=200))
def test_random_bytes_are_refused_without_an_exception(data):
    for decoder in (callers.decode_search, callers.decode_run):
        outcome = decoder(data, 0, SETTINGS)
        assert outcome.is_err()


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**60), 2**60)
    | strategies.text(max_size=10),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(list(VALID_SEARCH)), children
        )
    ),
    max_leaves=8,
)


@hypothesis.given(content=JSON_VALUES)
def test_random_json_never_raises(content):
    callers.decode_search(orjson.dumps(content), 0, SETTINGS)
    callers.decode_run(orjson.dumps(content), 0, SETTINGS)


def test_every_refusal_kind_has_a_status():
    assert set(callers.STATUS_BY_REFUSAL_KIND) == set(messages.RefusalKind)
