import hypothesis
from hypothesis import strategies

from citrondoor import clock as clocks
from citrondoor import fanout
from citrondoor.schema import serving

BOUNDS = serving.BoundSettings(warmup_factor=1.5, warmup_slack=5)


@hypothesis.given(strategies.integers(1, 30), strategies.floats(0.5, 40))
def test_all_daemons_together_stay_within_the_rate_of_a_cold_searcher(
    member_count, rate_per_s
):
    # All daemons send as much as the limit allows, for four seconds.
    names = [f"vm-{n}" for n in range(member_count)]
    daemons = [fanout.WarmupRateLimiter(BOUNDS, name) for name in names]
    for daemon in daemons:
        daemon.set_members(names)
    granted_at = []
    for now in range(0, 4000, 10):
        for daemon in daemons:
            while daemon.try_acquire("i-1", rate_per_s, now):
                granted_at.append(now)
    allowed = rate_per_s * BOUNDS.warmup_factor + BOUNDS.warmup_slack
    for start in range(0, 3000, 50):
        count = sum(start <= at < start + clocks.MS_PER_S for at in granted_at)
        assert count <= allowed


def test_a_searcher_without_a_declared_rate_is_not_limited():
    limiter = fanout.WarmupRateLimiter(BOUNDS, "vm-1")
    assert all(limiter.try_acquire("i-1", 0.0, 0) for _ in range(100))
