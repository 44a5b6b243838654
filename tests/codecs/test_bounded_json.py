import tracemalloc

import orjson
import pytest

from citrondoor.codecs import bounded_json

COUNT = 20_000
DENSE = {
    "lists": b"[" + b"[]," * COUNT + b"[]]",
    "mappings": b"[" + b"{}," * COUNT + b"{}]",
    "mappings of lists": b"[" + b'{"ab":[1]},' * COUNT + b"{}]",
    "strings": b"[" + b'"ab",' * COUNT + b"1]",
    "numbers": b"[" + b"999," * COUNT + b"1]",
    "keys": orjson.dumps({f"k{n}": 1.5 for n in range(COUNT)}),
}


@pytest.mark.parametrize("name", DENSE)
def test_the_estimate_is_at_least_what_decoded_values_take(name):
    data = DENSE[name]
    tracemalloc.start()
    decoded = orjson.loads(data)
    taken_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert decoded
    assert taken_bytes <= bounded_json.estimate_decoded_bytes(data)


def test_json_that_takes_too_much_memory_is_refused_before_it_is_decoded():
    with pytest.raises(ValueError, match="at most 1000000 are allowed"):
        bounded_json.decode(DENSE["lists"], 1_000_000)
    assert bounded_json.decode(b'{"a": [1]}', 1_000_000) == {"a": [1]}
