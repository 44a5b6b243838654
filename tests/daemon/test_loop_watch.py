import asyncio
import time

from citrondoor import clock as clocks
from citrondoor.daemon import _loop_watch

STALL_S = 0.3


def test_a_stall_of_the_event_loop_is_reported_once():
    async def run():
        watch = _loop_watch.LoopWatch(clocks.Clock())
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.01)
        time.sleep(STALL_S)
        await asyncio.sleep(0.1)
        task.cancel()
        return watch

    watch = asyncio.run(run())
    least_ms = STALL_S * clocks.MS_PER_S - _loop_watch.INTERVAL_MS
    assert watch.longest_ms >= least_ms
    assert watch.total_ms >= watch.longest_ms
    assert watch.take_recent_ms() == watch.longest_ms
    assert watch.take_recent_ms() == 0


def test_a_pause_that_ends_early_is_no_negative_delay():
    watch = _loop_watch.LoopWatch(clocks.Clock())
    watch.record(-1)
    assert (watch.longest_ms, watch.total_ms) == (0, 0)
