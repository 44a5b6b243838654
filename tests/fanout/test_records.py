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
