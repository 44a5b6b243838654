import functools

import hypothesis
from hypothesis import strategies

from citrondoor import limits
from citrondoor.schema import serving

MAX_BYTES = 1000
CALLER = serving.Sender.CALLER
SEARCHER = serving.Sender.SEARCHER


def make_holder(account, gave_way, name, sender=CALLER):
    return account.open(sender, lambda: gave_way.append(name))


def test_messages_of_all_senders_count_towards_one_limit():
    account = limits.MemoryAccount(MAX_BYTES)
    gave_way = []
    for sender in serving.Sender:
        make_holder(account, gave_way, sender, sender).record(250)
    assert account.kept_bytes == MAX_BYTES
    assert gave_way == []
    make_holder(account, gave_way, "last").record(1)
    assert len(gave_way) == 1


def test_a_message_without_end_gives_way_before_larger_ones_with_one():
    account = limits.MemoryAccount(MAX_BYTES)
    gave_way = []
    make_holder(account, gave_way, "endless", SEARCHER).record(100, True)
    make_holder(account, gave_way, "large").record(400)
    assert gave_way == []
    make_holder(account, gave_way, "new").record(1)
    assert gave_way == ["endless"]
    assert account.gave_way_counts[SEARCHER] == 1


def test_new_requests_are_refused_before_a_message_with_an_end_gives_way():
    account = limits.MemoryAccount(MAX_BYTES)
    gave_way = []
    holder = make_holder(account, gave_way, "one")
    holder.record(750)
    assert not account.is_short
    holder.record(751)
    assert account.is_short
    assert gave_way == []
    holder.release()
    assert not account.is_short
    assert account.peak_bytes == 751


def test_a_complete_message_in_use_never_gives_way():
    account = limits.MemoryAccount(MAX_BYTES)
    gave_way = []
    make_holder(account, gave_way, "running").record(900, is_complete=True)
    make_holder(account, gave_way, "partial").record(200)
    assert gave_way == ["partial"]


def test_a_holder_may_release_itself_when_it_gives_way():
    account = limits.MemoryAccount(MAX_BYTES)
    holder = account.open(CALLER, lambda: holder.release())
    holder.record(MAX_BYTES + 1)
    assert account.kept_bytes == 0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 20),
            strategies.integers(0, 600),
            strategies.booleans(),
            strategies.booleans(),
        ),
        max_size=60,
    )
)
def test_partial_messages_never_keep_more_than_the_limit(steps):
    account = limits.MemoryAccount(MAX_BYTES)
    holders = {}
    for name, kept_bytes, is_endless, is_complete in steps:
        holder = holders.setdefault(name, account.open(CALLER, lambda: None))
        holder.record(kept_bytes, is_endless, is_complete)
        complete = sum(h.kept_bytes for h in holders.values() if h.is_complete)
        kept = sum(h.kept_bytes for h in holders.values())
        assert account.kept_bytes == kept
        assert kept <= max(MAX_BYTES, complete)


def test_many_holders_that_record_a_rest_when_they_give_way():
    # FAULT: each one made the next give way inside its own call, until a
    # RecursionError ended the connection that had recorded something.
    account = limits.MemoryAccount(1_000_000)
    for _ in range(900):
        holder = account.open(SEARCHER, lambda: None)
        holder.give_way = functools.partial(holder.record, 1, False, True)
        holder.record(1000)
    account.open(CALLER, lambda: None).record(999_000, is_complete=True)
    assert account.gave_way_counts[SEARCHER] == 900
    assert account.kept_bytes == 999_900
