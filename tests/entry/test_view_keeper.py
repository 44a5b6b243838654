import asyncio

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import errors
from citrondoor.entry import _view_keeper
from tests import serving_samples as samples
from tests.entry import test_dispatcher


class FakeFleet:
    """Tells how old the newest reading of the fleet is."""

    def __init__(self, age_ms):
        self.age_ms = age_ms

    def store_age_ms(self, now):
        return self.age_ms

    def note_store_read(self, now):
        self.age_ms = 0

    def live(self):
        return [test_dispatcher.SETTINGS.vm]


class FakeStore:
    """Gives the readings of a list; None stands for no answer."""

    def __init__(self, readings):
        self.readings = readings

    async def read(self):
        reading = self.readings.pop(0)
        if reading is None:
            raise errors.PlatformError("no answer")
        return reading


def reading(revision, *upstreams):
    return entry.StoreReading(
        revision, samples.route_set(1), list(upstreams), []
    )


def read_all(readings, age_ms_at_return):
    """Returns ids that get work after all readings, one each."""
    view = entry.LocalView(lambda kind, detail: None, {})
    fleet = FakeFleet(0)
    log = test_dispatcher.FakeLog()
    keeper = entry.ViewKeeper(
        view,
        FakeStore(list(readings)),
        fleet,
        test_dispatcher.SETTINGS,
        clocks.Clock(),
        log,
    )

    async def body():
        for number in range(len(readings)):
            if number == len(readings) - 1:
                fleet.age_ms = age_ms_at_return
            await keeper._read()

    asyncio.run(body())
    return [u.id for u in view.registry.usable("store")], log


ONE = samples.upstream("i-1")


def test_a_removal_counts_at_once_while_peers_reached_the_store():
    # Found on hvk-search trouble-1, DRAIN: the store refused two readers for
    # 9 s and served the others; the readers then held back a removal.
    found, _ = read_all([reading(1, ONE), None, None, reading(9)], 900)
    assert found == []


def test_a_removal_waits_after_the_store_was_away_for_all():
    away_ms = _view_keeper.LAPSE_MS + 1
    found, _ = read_all([reading(1, ONE), None, None, reading(9)], away_ms)
    assert found == ["i-1"]


def test_a_lost_and_a_regained_store_leave_one_line_each():
    _, log = read_all([reading(1), None, None, None, reading(2)], 900)
    assert [event for event, _ in log.lines] == ["store_lost", "store_regained"]


def test_a_silent_store_delays_the_first_view_by_no_time_out():
    class SilentStore:
        """Hangs until it is back; what hangs then never ends."""

        def __init__(self):
            self.is_back = False
            self.asked = 0

        async def read(self):
            self.asked += 1
            if not self.is_back:
                await asyncio.sleep(60)
            return reading(4, ONE)

    async def body():
        store = SilentStore()
        view = entry.LocalView(lambda kind, detail: None, {})
        keeper = entry.ViewKeeper(
            view,
            store,
            FakeFleet(0),
            test_dispatcher.SETTINGS,
            clocks.Clock(),
            test_dispatcher.FakeLog(),
        )
        task = asyncio.create_task(keeper.run())
        await asyncio.sleep(0.3)
        store.is_back = True
        await asyncio.sleep(1.2 * _view_keeper.FIRST_READ_MS / 1000)
        task.cancel()
        return view.is_complete, store.asked

    is_complete, asked = asyncio.run(body())
    assert is_complete
    assert asked <= _view_keeper.MAX_FIRST_READS
