import hypothesis
from hypothesis import strategies

from citrondoor import counting

FIRSTS_AND_LENGTHS = strategies.lists(
    strategies.tuples(strategies.integers(0, 60), strategies.integers(0, 12)),
    max_size=30,
)


@hypothesis.given(parts=FIRSTS_AND_LENGTHS)
def test_range_set_equals_the_set_of_added_numbers(parts):
    ranges = counting.RangeSet()
    expected: set[int] = set()
    for first, length in parts:
        numbers = set(range(first, first + length + 1))
        added = ranges.add_range(first, first + length)
        assert added == len(numbers - expected)
        expected |= numbers
        assert len(ranges) == len(expected)
    assert all(
        (number in ranges) == (number in expected) for number in range(80)
    )
    expanded = [
        number
        for number_range in ranges.ranges()
        for number in range(number_range.first, number_range.last + 1)
    ]
    assert expanded == sorted(expected)


def test_consecutive_numbers_are_stored_as_one_range():
    ranges = counting.RangeSet()
    for number in (1, 3, 2, 5, 4):
        assert ranges.add(number)
    assert not ranges.add(3)
    assert ranges.range_count == 1
