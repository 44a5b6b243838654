import random

import hypothesis
from hypothesis import strategies

from citrondoor import counting
from citrondoor.schema import messages

MONTH = "2026-12"


def total(ledger, customer="acme", month=MONTH) -> int:
    requests_by_customer = {
        t.customer: t.requests for t in ledger.totals(month)
    }
    return requests_by_customer.get(customer, 0)


def count(ledger, number, session="s", month=MONTH, customer="acme") -> bool:
    return ledger.add(customer, month, messages.RequestId(session, number))


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_each_request_counts_once_in_any_order_of_counts_and_merges(seed):
    rng = random.Random(seed)
    ledgers = [counting.Ledger() for _ in range(4)]
    distinct = set()
    for _ in range(80):
        ledger = rng.choice(ledgers)
        session = rng.choice(("a", "b", "c"))
        number = rng.randrange(1, 25)
        count(ledger, number, session)
        distinct.add((session, number))
        if rng.random() < 0.3:
            rng.choice(ledgers).merge(ledger.all_counts())
    for ledger in ledgers:
        for other in ledgers:
            ledger.merge(other.all_counts())
    assert {total(ledger) for ledger in ledgers} == {len(distinct)}
    assert len({tuple(ledger.digests()) for ledger in ledgers}) == 1


def test_digests_differ_only_in_buckets_with_different_counts():
    one, other = counting.Ledger(), counting.Ledger()
    count(one, 1, "x")
    count(other, 1, "x")
    assert one.digests() == other.digests()
    count(one, 2, "x")
    differing = [
        bucket
        for bucket, (a, b) in enumerate(
            zip(one.digests(), other.digests(), strict=True)
        )
        if a != b
    ]
    assert len(differing) == 1
    other.merge(one.counts_in(differing))
    assert one.digests() == other.digests()


def test_request_recorded_in_two_months_counts_in_the_earlier_one():
    ledger = counting.Ledger()
    count(ledger, 1, month="2026-11")
    count(ledger, 1)
    count(ledger, 2)
    assert total(ledger, month="2026-11") == 1
    assert total(ledger) == 1


def test_repeated_request_id_is_not_new():
    ledger = counting.Ledger()
    assert count(ledger, 7)
    assert not count(ledger, 7)
    assert count(ledger, 7, customer="other")


def test_equal_differences_in_two_sessions_change_the_digest():
    one, other = counting.Ledger(), counting.Ledger()
    # Each bucket of the 64 holds several of the sessions, which all differ in
    # the same way. With a linear checksum, combined by exclusive or, the
    # differences of an even number of sessions would cancel out.
    for number in range(200):
        session = f"vm-1~1~{number:03d}"
        for ledger in (one, other):
            for request in range(1, 6):
                count(ledger, request, session)
        count(one if number % 2 else other, 6, session)
    pairs = zip(one.digests(), other.digests(), strict=True)
    equal = [bucket for bucket, (a, b) in enumerate(pairs) if a == b]
    assert equal == []
