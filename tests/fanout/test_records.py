import tracemalloc

import hypothesis
from hypothesis import strategies

from citrondoor import fanout
from citrondoor.fanout import _records

RECORDS = strategies.lists(
    strategies.binary(
        min_size=_records.RECORD_BYTES, max_size=_records.RECORD_BYTES
    ),
    max_size=6,
)


@hypothesis.given(
    strategies.lists(RECORDS, max_size=5),
    strategies.integers(0, 12),
    strategies.binary(max_size=_records.RECORD_BYTES - 1),
)
def test_the_greatest_records_of_all_bodies_come_first(
    record_lists, top, remainder
):
    bodies = [b"".join(records) + remainder for records in record_lists]
    all_records = sorted(
        (record for records in record_lists for record in records), reverse=True
    )
    merged = fanout.merge_top_records(bodies, top)
    assert merged == b"".join(all_records[:top])


def test_equal_records_are_all_kept():
    record = b"x" * _records.RECORD_BYTES
    assert fanout.merge_top_records([record, record], 5) == record * 2


LONG_BODY = (
    b"".join(b"%016d" % (n * 7919 % 100_003) for n in range(100_003)) + b"rest"
)


def test_a_long_body_takes_little_memory_besides_its_own():
    expected = b"".join(b"%016d" % n for n in range(100_002, 99_992, -1))
    for function in (
        lambda: fanout.trim_records(LONG_BODY, 10),
        lambda: fanout.merge_top_records([LONG_BODY], 10),
        lambda: fanout.Pruner(10).prune(LONG_BODY),
    ):
        tracemalloc.start()
        assert function() == expected
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak_bytes < 100_000


def test_a_short_body_is_not_trimmed():
    body = LONG_BODY[: _records.MAX_LISTED_BYTES]
    assert fanout.trim_records(body, 1) is body
