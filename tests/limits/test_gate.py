from citrondoor import limits
from citrondoor.schema import messages

OUTCOME = messages.SubOutcome
MANY = limits.Warmth("vm").allowed("warm", 0)


def offer(gate, number, customer="acme", deadline_at=1000):
    return gate.offer(number, number, customer, deadline_at, MANY)


def test_it_starts_queues_and_sheds_in_this_order():
    gate = limits.Gate(1, 1, 1)
    assert offer(gate, 1) == limits.Verdict.START
    assert offer(gate, 2) == limits.Verdict.QUEUED
    assert offer(gate, 3) == limits.Verdict.SHED
    gate.finish(OUTCOME.ANSWERED, 2, 10)
    assert gate.next_ready(10, MANY) == 2
    assert gate.next_ready(10, MANY) is None


def test_a_call_past_its_deadline_is_never_started():
    gate = limits.Gate(1, 1, 10)
    offer(gate, 1)
    offer(gate, 2, deadline_at=50)
    offer(gate, 3, deadline_at=500)
    gate.finish(OUTCOME.ANSWERED, 2, 100)
    assert gate.next_ready(100, MANY) == 3
    assert gate.take_expired(1000) == []


def test_customers_take_turns():
    gate = limits.Gate(1, 1, 100)
    offer(gate, 0)
    for number in range(1, 21):
        offer(gate, number, "greedy")
    offer(gate, 99, "modest")
    gate.finish(OUTCOME.ANSWERED, 2, 10)
    first_two = []
    for _ in range(2):
        first_two.append(gate.next_ready(10, MANY))
        gate.finish(OUTCOME.ANSWERED, 2, 10)
    assert 99 in first_two


def test_a_shed_halts_new_work_and_shrinks_the_limit():
    gate = limits.Gate(8, 8, 10)
    offer(gate, 1)
    gate.finish(OUTCOME.SHED, 1, 100)
    assert gate.is_paused(100)
    assert gate.limit < 8
    assert not gate.is_paused(gate.paused_until)


def test_the_limit_grows_only_under_load_and_stays_in_bounds():
    gate = limits.Gate(4, 2, 10)
    offer(gate, 1)
    gate.finish(OUTCOME.ANSWERED, 2, 0)
    assert gate.limit == 2
    for number in range(200):
        offer(gate, number)
        offer(gate, 1000 + number)
        offer(gate, 2000 + number)
        offer(gate, 3000 + number)
        while gate.in_flight:
            gate.finish(OUTCOME.ANSWERED, 2, number)
            gate.next_ready(number, MANY)
    assert gate.limit == 4
    for number in range(50):
        offer(gate, number)
        gate.finish(OUTCOME.FAILED, 0, number)
    assert gate.limit == 1


def test_withdrawn_calls_do_not_start():
    gate = limits.Gate(1, 1, 10)
    offer(gate, 1)
    offer(gate, 2)
    assert gate.withdraw(2) == 2
    assert gate.withdraw(2) is None
    gate.finish(OUTCOME.ANSWERED, 2, 5)
    assert gate.next_ready(5, MANY) is None
