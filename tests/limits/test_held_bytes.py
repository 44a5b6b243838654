import hypothesis
from hypothesis import strategies

from citrondoor import limits

MAX_BYTES = 1000


def test_the_connection_that_holds_the_most_is_chosen():
    limiter = limits.HeldBytesLimiter(MAX_BYTES)
    assert limiter.record_held("large", 700) is None
    assert limiter.record_held("small", 300) is None
    assert limiter.record_held("small", 301) == "large"
    assert limiter.record_held("large", 0) is None
    assert limiter.total_bytes == 301


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 20), strategies.integers(0, 600)
        ),
        max_size=60,
    )
)
def test_closing_the_chosen_connections_keeps_the_total_within_the_limit(steps):
    limiter = limits.HeldBytesLimiter(MAX_BYTES)
    held = {}
    for holder, held_bytes in steps:
        held[holder] = held_bytes
        chosen = limiter.record_held(holder, held_bytes)
        while chosen is not None:
            assert held[chosen] == max(held.values())
            held[chosen] = 0
            chosen = limiter.record_held(chosen, 0)
        assert limiter.total_bytes == sum(held.values()) <= MAX_BYTES
