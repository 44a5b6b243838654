import asyncio

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import errors
from citrondoor.entry import _store_poller
from tests import serving_samples as samples
from tests.entry import test_dispatcher


class FakePeerNetwork:
    """Stands in for the peer network of a cluster of one daemon."""

    def __init__(self):
        self.read_at = None

    def store_age_ms(self, now):
        return 0

    def record_store_read(self, read_at, reported_by="", ended_at=None):
        self.read_at = read_at

    def live_vms(self):
        return [test_dispatcher.SETTINGS.vm]


class FakeStore:
    """Returns the store contents of a list; None stands for a failed read."""

    def __init__(self, results):
        self.results = results

    async def read(self):
        contents = self.results.pop(0)
        if contents is None:
            raise errors.PlatformError("no answer")
        return contents


def make_contents(revision, *upstreams, era=0):
    return entry.StoreContents(
        samples.position(revision, era),
        samples.route_set(1),
        list(upstreams),
        [],
    )


def read_all(results, view=None):
    """Returns the log after as many reads as there are results."""
    log = test_dispatcher.FakeLog()
    poller = entry.StorePoller(
        view or entry.LocalView(lambda kind, detail: None, {}),
        FakeStore(list(results)),
        FakePeerNetwork(),
        test_dispatcher.SETTINGS,
        clocks.Clock(),
        log,
    )

    async def body():
        for _ in results:
            await poller._read()

    asyncio.run(body())
    return log


UPSTREAM = samples.upstream("i-1")


def test_an_outage_logs_one_line_at_its_start_and_one_at_its_end():
    log = read_all([make_contents(1), None, None, None, make_contents(2)])
    assert [event for event, _ in log.lines] == ["store_lost", "store_regained"]


def test_reads_that_hang_do_not_delay_the_first_complete_view():
    class HangingStore:
        """Hangs until it recovers; reads begun before that never return."""

        def __init__(self):
            self.is_recovered = False
            self.read_count = 0

        async def read(self):
            self.read_count += 1
            if not self.is_recovered:
                await asyncio.sleep(60)
            return make_contents(4, UPSTREAM)

    async def body():
        store = HangingStore()
        view = entry.LocalView(lambda kind, detail: None, {})
        poller = entry.StorePoller(
            view,
            store,
            FakePeerNetwork(),
            test_dispatcher.SETTINGS,
            clocks.Clock(),
            test_dispatcher.FakeLog(),
        )
        task = asyncio.create_task(poller.run())
        await asyncio.sleep(0.3)
        store.is_recovered = True
        await asyncio.sleep(1.2 * _store_poller.FIRST_READ_INTERVAL_MS / 1000)
        task.cancel()
        return view.is_complete, store.read_count

    is_complete, read_count = asyncio.run(body())
    assert is_complete
    assert read_count <= _store_poller.MAX_CONCURRENT_FIRST_READS


def test_contents_are_as_old_as_the_start_of_their_read():
    # The VM is suspended between two pages of the listing.
    clock = clocks.ManualClock(now=1000)
    peers = FakePeerNetwork()

    class SuspendedStore:
        async def read(self):
            clock.advance(8000)
            return make_contents(1)

    poller = entry.StorePoller(
        entry.LocalView(lambda kind, detail: None, {}),
        SuspendedStore(),
        peers,
        test_dispatcher.SETTINGS,
        clock,
        test_dispatcher.FakeLog(),
    )
    assert asyncio.run(poller._read())
    assert peers.read_at == 1000


def test_a_view_that_takes_too_much_memory_is_refused_and_the_old_one_stays():
    # What the store lists was kept whatever its size.
    view = entry.LocalView(lambda kind, detail: None, {}, 100_000)
    few = [samples.upstream(f"i-{n}") for n in range(20)]
    many = [samples.upstream(f"i-{n}") for n in range(200)]
    log = read_all([make_contents(1, *few), make_contents(2, *many)], view)
    assert len(view.registry.all_usable_upstreams()) == 20
    assert view.registry.revision == 1
    ((event, fields),) = log.lines
    assert event == "store_lost"
    assert "raise `memory_mb`" in fields["reason"]
    log = read_all([make_contents(3, *few[:10])], view)
    assert len(view.registry.all_usable_upstreams()) == 10
    assert not log.lines


def test_a_read_of_an_older_era_counts_as_failed():
    # Guards against a store that is ignored while its reads look sound.
    view = entry.LocalView(lambda kind, detail: None, {})
    log = read_all(
        [make_contents(5, UPSTREAM, era=2), make_contents(90, era=1)], view
    )
    ((event, fields),) = log.lines
    assert event == "store_lost"
    assert "of era 1, while era 2" in fields["reason"]
    assert (fields["store_era"], fields["upstream_revision"]) == (2, 5)
    assert len(view.registry.all_usable_upstreams()) == 1


def test_searchers_that_a_new_era_lacks_are_removed_once_they_had_time():
    # Guards against searchers that are carried over for ever.
    clock = clocks.ManualClock(now=1000)
    view = entry.LocalView(lambda kind, detail: None, {})
    view.apply_store_contents(make_contents(9, UPSTREAM, era=1), clock.now())
    view.apply_store_contents(make_contents(5, era=2), clock.now())

    class ReadStore:
        async def read(self):
            return make_contents(5, era=2)

    poller = entry.StorePoller(
        view,
        ReadStore(),
        FakePeerNetwork(),
        test_dispatcher.SETTINGS,
        clock,
        test_dispatcher.FakeLog(),
    )

    async def body():
        task = asyncio.create_task(poller.run())
        await asyncio.sleep(0.01)
        count_before = len(view.registry.all_usable_upstreams())
        clock.advance(10_000)
        await asyncio.sleep(0.3)
        task.cancel()
        return count_before, len(view.registry.all_usable_upstreams())

    assert asyncio.run(body()) == (1, 0)
