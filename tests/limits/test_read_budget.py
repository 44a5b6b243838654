from citrondoor import limits
from citrondoor.limits import _read_budget

SECOND_MS = 1000


def test_a_proper_message_is_not_wasteful():
    effort = limits.MessageEffort()
    # A head of 30 headers, then a body of 256 KB in reads of 4 KB.
    assert effort.record(limits.READ_PIECES + 30, 2000) == 0
    assert not any(
        effort.record(limits.READ_PIECES + 1, 4096) for _ in range(64)
    )


def test_chunks_of_one_byte_are_wasteful_beyond_the_allowance():
    effort = limits.MessageEffort()
    wasted = sum(effort.record(682, 4096) for _ in range(10))
    allowed = _read_budget.FREE_PIECES + 40_960 // _read_budget.BYTES_PER_PIECE
    assert wasted == 6820 - allowed


def test_the_next_message_has_an_allowance_of_its_own():
    effort = limits.MessageEffort()
    assert effort.record(10_000, 0) > 0
    effort.reset()
    assert effort.record(limits.READ_PIECES, 100) == 0


def test_wasteful_work_of_all_connections_is_bounded_over_time():
    budget = limits.ReadBudget(0)
    now = 0
    while now < 10 * SECOND_MS:
        wait_ms = budget.wait_ms(now)
        now += wait_ms
        if not wait_ms:
            budget.spend(700, now)
    most = _read_budget.WASTEFUL_PIECES_PER_S * 10 + _read_budget.BURST_PIECES
    assert most * 0.9 < budget.wasted_pieces <= most + 700


def test_an_idle_daemon_earns_no_more_than_the_burst():
    budget = limits.ReadBudget(0)
    budget.spend(_read_budget.BURST_PIECES, 3600 * SECOND_MS)
    assert budget.wait_ms(3600 * SECOND_MS) > 0


def test_an_overdrawn_budget_says_how_long_to_wait():
    budget = limits.ReadBudget(0)
    budget.spend(_read_budget.BURST_PIECES + 5000, 0)
    wait_ms = budget.wait_ms(0)
    assert budget.wait_ms(wait_ms - 2) > 0
    assert budget.wait_ms(wait_ms) == 0


def test_work_that_cost_much_is_not_repaid_by_a_long_wait():
    budget = limits.ReadBudget(0)
    budget.spend(1_000_000, 0)
    assert budget.wait_ms(0) < SECOND_MS
