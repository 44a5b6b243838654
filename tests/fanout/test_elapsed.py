from citrondoor import fanout
from citrondoor.fanout import _elapsed

TARGET_MS = 100


def test_what_is_missing_from_the_longest_wait_is_spent():
    times = fanout.ElapsedTimeEstimator()
    assert times.estimate_elapsed_ms("r", 1500, TARGET_MS, 0) == 0
    assert times.estimate_elapsed_ms("r", 1478, TARGET_MS, 10) == 22
    assert times.estimate_elapsed_ms("r", 1500, TARGET_MS, 20) == 0


def test_routes_do_not_mix_and_callers_may_be_silent():
    times = fanout.ElapsedTimeEstimator()
    times.estimate_elapsed_ms("slow", 1500, TARGET_MS, 0)
    assert times.estimate_elapsed_ms("fast", 800, TARGET_MS, 0) == 0
    assert times.estimate_elapsed_ms("slow", None, TARGET_MS, 0) == 0


def test_a_much_shorter_wait_belongs_to_another_kind_of_caller():
    times = fanout.ElapsedTimeEstimator()
    times.estimate_elapsed_ms("r", 1500, TARGET_MS, 0)
    assert times.estimate_elapsed_ms("r", 500, TARGET_MS, 0) == 0


def test_a_wait_that_callers_have_shortened_is_forgotten():
    times = fanout.ElapsedTimeEstimator()
    times.estimate_elapsed_ms("r", 1500, TARGET_MS, 0)
    later = _elapsed.EPOCH_MS
    assert times.estimate_elapsed_ms("r", 1450, TARGET_MS, later) == 50
    assert times.estimate_elapsed_ms("r", 1450, TARGET_MS, 2 * later) == 0


def test_an_answer_leaves_early_enough_to_arrive_at_the_target():
    assert fanout.remaining_target_ms(100, 0, 10) == 90
    assert fanout.remaining_target_ms(100, 22, 10) == 68


def test_a_target_that_cannot_be_met_costs_no_shards():
    assert fanout.remaining_target_ms(100, 0, 95) == 100
