import random

import hypothesis
from hypothesis import strategies

from citrondoor import limits

VMS = [f"vm-{number}" for number in range(5)]
FULL = 4
SEARCHER = "desk-1"
LEASE_END_MS = 300
# 36 good answers warm it; each ask here reports about three in two.
RAMP_LIMIT_MS = 60_000


def fleet_of() -> dict[str, limits.WarmupLimiter]:
    fleet = {}
    for vm in VMS:
        warmup = limits.WarmupLimiter(vm)
        warmup.set_warm_level(SEARCHER, FULL)
        warmup.set_members(VMS, 0)
        warmup.mark_cold(SEARCHER, 1000, 0)
        fleet[vm] = warmup
    return fleet


def ask(fleet, vm: str, now: int) -> None:
    fleet[vm].max_calls(SEARCHER, now)
    for warden, asks in (
        fleet[vm].lease_requests(8, lambda name: 0, now).items()
    ):
        for question in asks:
            grant = fleet[warden].grant_lease(question, vm, now)
            fleet[vm].apply_grant(grant, now, now)


def total_max_calls(fleet, now: int) -> int:
    return sum(w.max_calls(SEARCHER, now) for w in fleet.values())


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_all_daemons_together_stay_within_the_level(seed):
    rng = random.Random(seed)
    fleet = fleet_of()
    now = 0
    while now < RAMP_LIMIT_MS and any(
        w.is_cold(SEARCHER) for w in fleet.values()
    ):
        now += rng.randrange(1, 200)
        vm = rng.choice(VMS)
        ask(fleet, vm, now)
        for _ in range(rng.randrange(4)):
            if fleet[vm].max_calls(SEARCHER, now) > 0:
                fleet[vm].on_answered(SEARCHER)
        if rng.random() < 0.5:
            sender, receiver = rng.sample(VMS, 2)
            fleet[receiver].merge(fleet[sender].all_levels(), now)
        cold = [w for w in fleet.values() if w.is_cold(SEARCHER)]
        if len(cold) == len(VMS):
            level = max(w.level(SEARCHER) for w in cold)
            assert total_max_calls(fleet, now) <= level
    assert now < RAMP_LIMIT_MS


def test_a_warm_searcher_is_not_limited():
    warmup = limits.WarmupLimiter("vm-0")
    assert warmup.max_calls("other", 0) > 1_000_000


def test_a_later_fall_outranks_every_level_before():
    fleet = fleet_of()
    one, other = fleet["vm-0"], fleet["vm-1"]
    one.mark_cold(SEARCHER, 5000, 10)
    other.merge(one.all_levels(), 20)
    stale = fleet["vm-2"].all_levels()
    stale[0].level = FULL
    other.merge(stale, 30)
    assert other.is_cold(SEARCHER)


def test_a_relapse_asks_for_more_answers_at_each_level():
    needed = []
    fleet = fleet_of()
    warmup = fleet["vm-0"]
    warmup.set_members(["vm-0"], 0)
    now = 1000
    for fall in range(3):
        warmup.mark_cold(SEARCHER, 10_000 + fall, now)
        answers = 0
        while warmup.is_cold(SEARCHER):
            now += 10
            ask({"vm-0": warmup}, "vm-0", now)
            warmup.on_answered(SEARCHER)
            answers += 1
        needed.append(answers)
    assert needed[0] < needed[1] < needed[2]
    assert needed[1] <= 2 * needed[0] + FULL


def test_a_new_warden_waits_until_old_leases_have_ended():
    fleet = fleet_of()
    fleet["vm-0"].max_calls(SEARCHER, 10)
    warden = next(iter(fleet["vm-0"].lease_requests(8, lambda name: 0, 20)))
    others = [vm for vm in VMS if vm != warden]
    for vm in others:
        fleet[vm].set_members(others, 100)
    ask(fleet, others[0], 200)
    assert fleet[others[0]].max_calls(SEARCHER, 200) <= 1
    borrowed = total_max_calls(fleet, 200)
    assert borrowed <= 1
    later = 100 + LEASE_END_MS
    ask(fleet, others[0], later)
    assert fleet[others[0]].max_calls(SEARCHER, later) == 1


def test_changes_are_spread_a_bounded_number_of_times():
    warmup = fleet_of()["vm-0"]
    rounds = 0
    while warmup.next_updates():
        rounds += 1
    assert 0 < rounds < 50
    assert warmup.all_levels()
