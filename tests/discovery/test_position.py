import hypothesis
from hypothesis import strategies

from citrondoor import discovery

POSITIONS = strategies.builds(
    discovery.Position, strategies.integers(0, 2), strategies.integers(-1, 2)
)


def test_a_state_of_a_later_era_is_newer_whatever_its_revision():
    assert discovery.Position(2, 3) > discovery.Position(1, 90)
    assert discovery.Position(2, 3) < discovery.Position(2, 4)


@hypothesis.given(POSITIONS, POSITIONS)
def test_positions_are_totally_ordered(one, other):
    assert (one < other) + (one == other) + (one > other) == 1
    assert (one == other) == (hash(one) == hash(other))
