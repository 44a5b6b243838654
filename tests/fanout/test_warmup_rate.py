import hypothesis
from hypothesis import strategies

from citrondoor import clock as clocks
from citrondoor import fanout
from citrondoor.schema import serving

BOUNDS = serving.BoundSettings(warmup_factor=1.5, warmup_slack=5)


@hypothesis.given(strategies.integers(1, 30), strategies.floats(0.5, 40))
def test_a_cold_searcher_gets_no_more_than_it_bears(members, rate):
    # All daemons send as much as they may, for four seconds.
    names = [f"vm-{n}" for n in range(members)]
    daemons = [fanout.WarmupRateLimiter(BOUNDS, name) for name in names]
    for daemon in daemons:
        daemon.set_members(names)
    taken = []
    for now in range(0, 4000, 10):
        for daemon in daemons:
            while daemon.try_acquire("i-1", rate, now):
                taken.append(now)
    allowed = rate * BOUNDS.warmup_factor + BOUNDS.warmup_slack
    for start in range(0, 3000, 50):
        in_second = sum(start <= t < start + clocks.MS_PER_S for t in taken)
        assert in_second <= allowed


def test_no_declared_rate_sets_no_bound():
    shares = fanout.WarmupRateLimiter(BOUNDS, "vm-1")
    assert all(shares.try_acquire("i-1", 0.0, 0) for _ in range(100))
