import asyncio

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import errors
from citrondoor.entry import _store_poller
from tests import serving_samples as samples
from tests.entry import test_dispatcher


class FakePeerNetwork:
    """Takes note of readings as a fleet of one daemon does."""

    def store_age_ms(self, now):
        return 0

    def record_store_read(self, read_at):
        pass

    def live_vms(self):
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
    return entry.StoreContents(
        revision, samples.route_set(1), list(upstreams), []
    )


def read_all(readings):
    """Returns the log after all readings."""
    log = test_dispatcher.FakeLog()
    poller = entry.StorePoller(
        entry.LocalView(lambda kind, detail: None, {}),
        FakeStore(list(readings)),
        FakePeerNetwork(),
        test_dispatcher.SETTINGS,
        clocks.Clock(),
        log,
    )

    async def body():
        for _ in readings:
            await poller._read()

    asyncio.run(body())
    return log


ONE = samples.upstream("i-1")


def test_a_lost_and_a_regained_store_leave_one_line_each():
    log = read_all([reading(1), None, None, None, reading(2)])
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
        store.is_back = True
        await asyncio.sleep(1.2 * _store_poller.FIRST_READ_MS / 1000)
        task.cancel()
        return view.is_complete, store.asked

    is_complete, asked = asyncio.run(body())
    assert is_complete
    assert asked <= _store_poller.MAX_FIRST_READS
