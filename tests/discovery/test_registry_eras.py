"""Tests of registries whose store comes back from a copy."""

from citrondoor import discovery
from citrondoor.discovery import _registry
from citrondoor.schema import serving
from tests import serving_samples as samples

GRACE_MS = _registry.RECOVERY_GRACE_MS
HOLD_MS = _registry.RETURNED_HOLD_MS


def make_registry(*upstreams, revision=90):
    """Returns a registry that has read these searchers in the first era."""
    registry = discovery.Registry(lambda kind, detail: None)
    registry.apply_listing(list(upstreams), revision, 0)
    return registry


def begin_era(registry, *upstreams, revision=60, now=0):
    registry.begin_era(now)
    registry.apply_listing(list(upstreams), revision, now)


def usable_ids(registry):
    return sorted(u.id for u in registry.usable_upstreams("store"))


def test_changes_at_lower_revisions_count_in_a_new_era():
    # Guards against a drain that counts only once the store has assigned as
    # many revisions as before.
    registry = make_registry(samples.upstream("i-1"))
    begin_era(registry, samples.upstream("i-1"))
    assert registry.revision == 60
    draining = samples.upstream("i-1", state=samples.DRAINING)
    registry.apply_listing([draining], 61, 10)
    assert usable_ids(registry) == []


def test_searchers_that_the_copy_lacks_have_time_to_write_again():
    # Guards against shards without searchers after a return from a copy.
    registry = make_registry(samples.upstream("i-1"), samples.upstream("i-2"))
    begin_era(registry)
    registry.apply_listing([samples.upstream("i-2")], 61, 500)
    registry.end_carry_over(GRACE_MS - 1, GRACE_MS)
    assert usable_ids(registry) == ["i-1", "i-2"]
    registry.end_carry_over(GRACE_MS, GRACE_MS)
    assert usable_ids(registry) == ["i-2"]


def test_only_a_read_after_that_time_removes_searchers():
    # Guards against a removal while the store, back for a moment, is away
    # again and no searcher can write.
    registry = make_registry(samples.upstream("i-1"))
    begin_era(registry, now=1000)
    registry.end_carry_over(1000, 1000 + 4 * GRACE_MS)
    assert usable_ids(registry) == ["i-1"]


def test_a_removal_in_a_new_era_needs_no_further_time():
    registry = make_registry(samples.upstream("i-1"))
    begin_era(registry, samples.upstream("i-1"))
    registry.apply_listing([], 61, 10)
    assert usable_ids(registry) == []


def test_an_incarnation_that_has_drained_is_not_used_when_the_copy_lists_it():
    # Guards against requests to a searcher whose report the copy lacks.
    draining = samples.upstream("i-1", state=samples.DRAINING)
    registry = make_registry(draining)
    begin_era(registry, samples.upstream("i-1"))
    assert usable_ids(registry) == []
    registry.end_carry_over(HOLD_MS - 1, HOLD_MS - 1)
    assert usable_ids(registry) == []


def test_an_incarnation_that_has_left_is_not_used_when_the_copy_lists_it():
    registry = make_registry(samples.upstream("i-1"))
    registry.apply_listing([], 91, 0)
    begin_era(registry, samples.upstream("i-1"))
    assert usable_ids(registry) == []


def test_an_incarnation_that_stays_registered_is_used_in_the_end():
    # Guards against a searcher that is unused for ever because its entry had
    # expired in the moment of the copy.
    registry = make_registry(samples.upstream("i-1"))
    registry.apply_listing([], 91, 0)
    begin_era(registry, samples.upstream("i-1"))
    registry.end_carry_over(HOLD_MS, HOLD_MS)
    assert usable_ids(registry) == ["i-1"]


def test_a_second_return_from_a_copy_holds_as_long_again():
    draining = samples.upstream("i-1", state=samples.DRAINING)
    registry = make_registry(draining)
    begin_era(registry, samples.upstream("i-1"))
    begin_era(registry, samples.upstream("i-1"), now=HOLD_MS - 1)
    registry.end_carry_over(HOLD_MS, HOLD_MS)
    assert usable_ids(registry) == []


def test_a_restarted_searcher_is_used_at_once():
    registry = make_registry(samples.upstream("i-1", state=samples.DRAINING))
    begin_era(registry, samples.upstream("i-1", born_ms=2))
    assert usable_ids(registry) == ["i-1"]


def test_an_earlier_incarnation_in_the_copy_does_not_replace_a_later_one():
    # Guards against a searcher that has restarted, at another address, and
    # gets no requests until it writes again.
    registry = make_registry(samples.upstream("i-1", born_ms=2, port=9001))
    begin_era(registry, samples.upstream("i-1", born_ms=1))
    assert registry.find("i-1").port == 9001
    registry.apply_listing(
        [samples.upstream("i-1", born_ms=2, port=9001)], 61, 500
    )
    registry.end_carry_over(GRACE_MS, GRACE_MS)
    assert registry.find("i-1").port == 9001


def test_an_earlier_incarnation_that_stays_listed_gets_no_requests():
    registry = make_registry(samples.upstream("i-1", born_ms=2))
    begin_era(registry, samples.upstream("i-1", born_ms=1))
    registry.end_carry_over(GRACE_MS, GRACE_MS)
    registry.apply_listing(
        [samples.upstream("i-1", born_ms=1)], 61, GRACE_MS + 1
    )
    assert usable_ids(registry) == []


def test_a_daemon_that_starts_learns_which_incarnations_are_held():
    # Guards against a daemon that was not there before the return, and takes
    # the entry from the copy for true.
    source = make_registry(samples.upstream("i-1", state=samples.DRAINING))
    begin_era(source, samples.upstream("i-1"))
    started = discovery.Registry(lambda kind, detail: None)
    started.apply_updates(source.changes_after(-1, 4000), 60, 4000)
    assert usable_ids(started) == []
    started.end_carry_over(HOLD_MS, HOLD_MS)
    assert usable_ids(started) == ["i-1"]


def test_a_peer_cannot_hold_a_searcher_for_longer():
    registry = make_registry()
    news = serving.UpstreamNews("i-1", 91, samples.upstream("i-1"), None, 2**62)
    registry.apply_updates([news], 91, 0)
    registry.end_carry_over(HOLD_MS, HOLD_MS)
    assert usable_ids(registry) == ["i-1"]


def test_a_whole_view_of_a_peer_leaves_searchers_their_time():
    registry = make_registry(samples.upstream("i-1"))
    registry.begin_era(0)
    registry.apply_updates([], 60, 0, is_whole=True)
    assert usable_ids(registry) == ["i-1"]


def test_an_outage_with_the_return_does_not_keep_the_view_from_being_known():
    # Guards against a daemon that stops serving because it knows no revision
    # of the new era.
    registry = make_registry(samples.upstream("i-1"))
    registry.on_store_recovered(5000)
    begin_era(registry, samples.upstream("i-1"), now=5000)
    assert registry.revision == 60


def test_the_memory_of_held_incarnations_is_counted():
    registry = make_registry(samples.upstream("i-1", state=samples.DRAINING))
    before = registry.kept_bytes
    begin_era(registry, samples.upstream("i-1"))
    assert registry.kept_bytes > before
    registry.end_carry_over(HOLD_MS, HOLD_MS)
    assert registry.kept_bytes == before
