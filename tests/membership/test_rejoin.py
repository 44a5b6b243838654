from citrondoor import membership
from citrondoor.membership import _rejoin

INTERVAL_MS = _rejoin.REJOIN_INTERVAL_MS
CANDIDATES = [(f"10.0.0.{n}", 7) for n in range(5)]


def test_every_candidate_is_tried_in_turn():
    schedule = membership.RejoinSchedule("vm-1")
    chosen = [
        schedule.choose(CANDIDATES, n * INTERVAL_MS)
        for n in range(len(CANDIDATES))
    ]
    assert sorted(chosen) == CANDIDATES


def test_the_rate_of_attempts_is_bounded():
    schedule = membership.RejoinSchedule("vm-1")
    chosen = [schedule.choose(CANDIDATES, now) for now in range(0, 5000, 20)]
    assert sum(c is not None for c in chosen) == 5000 / INTERVAL_MS


def test_daemons_do_not_all_try_the_same_member_first():
    first = {
        membership.RejoinSchedule(f"vm-{n}").choose(CANDIDATES, 0)
        for n in range(50)
    }
    assert first == set(CANDIDATES)


def test_nothing_is_tried_while_nobody_is_lost():
    schedule = membership.RejoinSchedule("vm-1")
    assert schedule.choose([], 0) is None
    assert schedule.choose(CANDIDATES, 1) is not None
