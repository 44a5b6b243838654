from citrondoor import fanout
from citrondoor.fanout import _elapsed

TARGET_MS = 100


def test_elapsed_time_is_the_difference_to_the_longest_wait():
    estimator = fanout.ElapsedTimeEstimator()
    assert estimator.estimate_elapsed_ms("r", 1500, TARGET_MS, 0) == 0
    assert estimator.estimate_elapsed_ms("r", 1478, TARGET_MS, 10) == 22
    assert estimator.estimate_elapsed_ms("r", 1500, TARGET_MS, 20) == 0


def test_routes_are_independent_and_a_missing_wait_means_no_elapsed_time():
    estimator = fanout.ElapsedTimeEstimator()
    estimator.estimate_elapsed_ms("slow", 1500, TARGET_MS, 0)
    assert estimator.estimate_elapsed_ms("fast", 800, TARGET_MS, 0) == 0
    assert estimator.estimate_elapsed_ms("slow", None, TARGET_MS, 0) == 0


def test_a_much_shorter_wait_is_not_taken_for_elapsed_time():
    estimator = fanout.ElapsedTimeEstimator()
    estimator.estimate_elapsed_ms("r", 1500, TARGET_MS, 0)
    assert estimator.estimate_elapsed_ms("r", 500, TARGET_MS, 0) == 0


def test_a_longest_wait_expires_after_the_next_window():
    estimator = fanout.ElapsedTimeEstimator()
    estimator.estimate_elapsed_ms("r", 1500, TARGET_MS, 0)
    window_ms = _elapsed.WINDOW_MS
    assert estimator.estimate_elapsed_ms("r", 1450, TARGET_MS, window_ms) == 50
    assert (
        estimator.estimate_elapsed_ms("r", 1450, TARGET_MS, 2 * window_ms) == 0
    )


def test_an_answer_is_due_early_enough_to_arrive_at_the_target():
    assert fanout.remaining_target_ms(100, 0, 10) == 90
    assert fanout.remaining_target_ms(100, 22, 10) == 68


def test_the_whole_target_is_used_if_it_cannot_be_met():
    assert fanout.remaining_target_ms(100, 0, 95) == 100
