import hypothesis
from hypothesis import strategies

from citrondoor import fanout

ZONES = "abcde"


def total_limit(max_connections, daemons_by_zone, zone, is_shard=True):
    return sum(
        count
        * fanout.connection_limit(
            max_connections, daemons_by_zone, own_zone, zone, is_shard
        )
        for own_zone, count in daemons_by_zone.items()
    )


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(ZONES),
        strategies.integers(1, 8),
        min_size=1,
    ),
    strategies.sampled_from(ZONES),
    strategies.integers(120, 1000),
    strategies.booleans(),
)
def test_all_daemons_together_stay_within_what_a_searcher_accepts(
    daemons_by_zone, zone, max_connections, is_shard
):
    # Each daemon gets at least one connection, so with fewer connections than
    # daemons the total would exceed what the searcher accepts.
    assert (
        total_limit(max_connections, daemons_by_zone, zone, is_shard)
        <= max_connections
    )


def test_a_daemon_in_the_searchers_zone_gets_several_connections():
    # If 33 daemons share 64 connections evenly, each gets one, and a delegated
    # sub-request queues behind a cancelled one.
    daemons_by_zone = {"a": 7, "b": 6, "c": 6, "d": 7, "e": 7}
    assert fanout.connection_limit(64, daemons_by_zone, "a", "a", True) >= 4
    assert total_limit(64, daemons_by_zone, "a") <= 64


def test_daemons_share_all_connections_if_the_searchers_zone_has_none():
    assert fanout.connection_limit(20, {"a": 2, "b": 2}, "a", "c", True) == 4


def test_daemons_in_one_zone_share_evenly():
    assert fanout.connection_limit(20, {"a": 4}, "a", "a", True) == 4


def test_a_back_end_that_is_no_shard_is_shared_evenly_by_all_daemons():
    # With the unequal shares of a shard, daemons of other zones would have one
    # connection to a searcher, which is too few for requests that must not run
    # twice.
    daemons_by_zone = {"a": 7, "b": 6, "c": 6, "d": 7, "e": 7}
    same_zone = fanout.connection_limit(120, daemons_by_zone, "a", "a", False)
    assert (
        same_zone
        == fanout.connection_limit(120, daemons_by_zone, "a", "b", False)
        == 3
    )
