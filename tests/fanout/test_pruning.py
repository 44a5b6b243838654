import hypothesis
from hypothesis import strategies

from citrondoor import fanout

RECORDS = strategies.lists(
    strategies.integers(0, 30).map(lambda n: b"%016d" % n), max_size=8
).map(b"".join)


@hypothesis.given(
    strategies.lists(RECORDS, max_size=8),
    strategies.lists(RECORDS, max_size=3),
    strategies.integers(1, 10),
)
def test_what_is_left_out_never_changes_an_answer(relayed, direct, top):
    pruner = fanout.Pruner(top)
    pruned = [pruner.prune(body) for body in relayed]
    whole = fanout.merge_top_records(relayed + direct, top)
    assert fanout.merge_top_records(pruned + direct, top) == whole


@hypothesis.given(
    strategies.lists(RECORDS, max_size=8),
    strategies.integers(0, 8),
    strategies.integers(1, 10),
)
def test_an_answer_that_leaves_early_is_whole_as_well(bodies, seen, top):
    # The answer has the first replies only, as they came.
    pruner = fanout.Pruner(top)
    pruned = [pruner.prune(body) for body in bodies][:seen]
    whole = fanout.merge_top_records(bodies[:seen], top)
    assert fanout.merge_top_records(pruned, top) == whole


def test_later_shards_send_less():
    pruner = fanout.Pruner(20)
    bodies = [
        b"".join(b"%016d" % (n * 7919 % 1009) for n in range(k, k + 25))
        for k in range(0, 250, 25)
    ]
    sizes = [len(pruner.prune(body)) for body in bodies]
    assert sum(sizes) < 0.6 * sum(len(body) for body in bodies)
