import hypothesis
from hypothesis import strategies

from citrondoor import counting

RANGES = strategies.lists(
    strategies.tuples(strategies.integers(0, 60), strategies.integers(0, 12)),
    max_size=30,
)


@hypothesis.given(parts=RANGES)
def test_it_is_the_set_of_its_numbers(parts):
    ranges = counting.RangeSet()
    plain: set[int] = set()
    for first, length in parts:
        numbers = set(range(first, first + length + 1))
        added = ranges.add_range(first, first + length)
        assert added == len(numbers - plain)
        plain |= numbers
        assert len(ranges) == len(plain)
    assert all((n in ranges) == (n in plain) for n in range(80))
    flat = [n for r in ranges.ranges() for n in range(r.first, r.last + 1)]
    assert flat == sorted(plain)


def test_consecutive_numbers_take_one_range():
    ranges = counting.RangeSet()
    for number in (1, 3, 2, 5, 4):
        assert ranges.add(number)
    assert not ranges.add(3)
    assert ranges.range_count == 1
