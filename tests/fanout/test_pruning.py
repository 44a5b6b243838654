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
def test_pruned_records_never_change_an_answer(
    pruned_bodies, other_bodies, top
):
    pruner = fanout.Pruner(top)
    pruned = [pruner.prune(body) for body in pruned_bodies]
    expected = fanout.merge_top_records(pruned_bodies + other_bodies, top)
    assert fanout.merge_top_records(pruned + other_bodies, top) == expected


@hypothesis.given(
    strategies.lists(RECORDS, max_size=8),
    strategies.integers(0, 8),
    strategies.integers(1, 10),
)
def test_an_answer_from_the_first_shards_only_is_unchanged(
    bodies, answered_count, top
):
    # The answer contains only the replies that came first.
    pruner = fanout.Pruner(top)
    pruned = [pruner.prune(body) for body in bodies][:answered_count]
    expected = fanout.merge_top_records(bodies[:answered_count], top)
    assert fanout.merge_top_records(pruned, top) == expected


def test_later_shards_keep_fewer_records():
    pruner = fanout.Pruner(20)
    bodies = [
        b"".join(b"%016d" % (n * 7919 % 1009) for n in range(start, start + 25))
        for start in range(0, 250, 25)
    ]
    sizes = [len(pruner.prune(body)) for body in bodies]
    assert sum(sizes) < 0.6 * sum(len(body) for body in bodies)
