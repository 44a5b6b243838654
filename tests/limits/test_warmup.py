import random

import hypothesis
from hypothesis import strategies

from citrondoor import limits

VMS = [f"vm-{number}" for number in range(5)]
WARM_LEVEL = 4
SEARCHER = "desk-1"
# More than a lease of calls and its margin, 250 ms.
COORDINATOR_WAIT_MS = 300
# Far above the time of a warm-up here, which takes 36 successful answers (12 at
# each of 3 levels). An exchange reports at most 3, and 1.5 on average while the
# VM has a lease.
MAX_WARMUP_MS = 60_000


def make_limiters() -> dict[str, limits.WarmupLimiter]:
    limiters = {}
    for vm in VMS:
        warmup = limits.WarmupLimiter(vm)
        warmup.set_warm_level(SEARCHER, WARM_LEVEL)
        warmup.set_live_vms(VMS, 0)
        warmup.mark_cold(SEARCHER, 1000, 0)
        limiters[vm] = warmup
    return limiters


def exchange_lease(limiters, vm: str, now: int) -> None:
    limiters[vm].max_calls(SEARCHER, now)
    for coordinator, requests in (
        limiters[vm].lease_requests(8, lambda name: 0, now).items()
    ):
        for request in requests:
            grant = limiters[coordinator].grant_lease(request, vm, now)
            limiters[vm].apply_grant(grant, now, now)


def total_max_calls(limiters, now: int) -> int:
    return sum(warmup.max_calls(SEARCHER, now) for warmup in limiters.values())


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_leases_of_all_daemons_together_stay_within_the_level(seed):
    rng = random.Random(seed)
    limiters = make_limiters()
    now = 0
    while now < MAX_WARMUP_MS and any(
        warmup.is_cold(SEARCHER) for warmup in limiters.values()
    ):
        now += rng.randrange(1, 200)
        vm = rng.choice(VMS)
        exchange_lease(limiters, vm, now)
        for _ in range(rng.randrange(4)):
            if limiters[vm].max_calls(SEARCHER, now) > 0:
                limiters[vm].on_answered(SEARCHER)
        if rng.random() < 0.5:
            sender, receiver = rng.sample(VMS, 2)
            limiters[receiver].merge_levels(limiters[sender].all_levels(), now)
        cold = [
            warmup for warmup in limiters.values() if warmup.is_cold(SEARCHER)
        ]
        if len(cold) == len(VMS):
            level = max(warmup.level(SEARCHER) for warmup in cold)
            assert total_max_calls(limiters, now) <= level
    assert now < MAX_WARMUP_MS


def test_a_warm_searcher_is_not_limited():
    warmup = limits.WarmupLimiter("vm-0")
    assert warmup.max_calls("other", 0) > 1_000_000


def test_a_later_cold_time_overrides_earlier_levels():
    limiters = make_limiters()
    first, second = limiters["vm-0"], limiters["vm-1"]
    first.mark_cold(SEARCHER, 5000, 10)
    second.merge_levels(first.all_levels(), 20)
    stale = limiters["vm-2"].all_levels()
    stale[0].level = WARM_LEVEL
    second.merge_levels(stale, 30)
    assert second.is_cold(SEARCHER)


def test_a_relapse_requires_more_answers_at_each_level():
    needed = []
    limiters = make_limiters()
    warmup = limiters["vm-0"]
    warmup.set_live_vms(["vm-0"], 0)
    now = 1000
    for relapse in range(3):
        warmup.mark_cold(SEARCHER, 10_000 + relapse, now)
        answers = 0
        while warmup.is_cold(SEARCHER):
            now += 10
            exchange_lease({"vm-0": warmup}, "vm-0", now)
            warmup.on_answered(SEARCHER)
            answers += 1
        needed.append(answers)
    assert needed[0] < needed[1] < needed[2]
    assert needed[1] <= 2 * needed[0] + WARM_LEVEL


def test_a_new_coordinator_waits_until_old_leases_have_ended():
    limiters = make_limiters()
    limiters["vm-0"].max_calls(SEARCHER, 10)
    coordinator = next(
        iter(limiters["vm-0"].lease_requests(8, lambda name: 0, 20))
    )
    others = [vm for vm in VMS if vm != coordinator]
    for vm in others:
        limiters[vm].set_live_vms(others, 100)
    exchange_lease(limiters, others[0], 200)
    assert limiters[others[0]].max_calls(SEARCHER, 200) <= 1
    borrowed = total_max_calls(limiters, 200)
    assert borrowed <= 1
    later = 100 + COORDINATOR_WAIT_MS
    exchange_lease(limiters, others[0], later)
    assert limiters[others[0]].max_calls(SEARCHER, later) == 1


def test_changes_are_sent_a_bounded_number_of_times():
    warmup = make_limiters()["vm-0"]
    heartbeats = 0
    while warmup.next_updates():
        heartbeats += 1
    assert 0 < heartbeats < 50
    assert warmup.all_levels()
