import asyncio

import pytest

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor.daemon import _supervisor
from tests.entry import test_dispatcher


def run(part, clock=None):
    log = test_dispatcher.FakeLog()
    supervisor = _supervisor.Supervisor(
        "part", clock or clocks.Clock(), log.write
    )
    asyncio.run(supervisor.run(part))
    return log


def test_a_part_is_started_again_after_an_unexpected_error():
    starts = []

    async def part():
        starts.append(1)
        if len(starts) < 3:
            raise KeyError("unexpected")

    log = run(part)
    assert len(starts) == 3
    assert [event for event, _ in log.lines] == ["part_failed"] * 2


def test_a_part_that_always_fails_is_started_again_ever_more_rarely(
    monkeypatch,
):
    # FAULT: 20 failures in 10 s ended the daemon, and the next one as well.
    monkeypatch.setattr(_supervisor, "SHORTEST_PAUSE_MS", 1)
    monkeypatch.setattr(_supervisor, "LONGEST_PAUSE_MS", 5)
    starts = []

    async def part():
        starts.append(1)
        if len(starts) <= 60:
            raise KeyError("unexpected")

    log = run(part, clocks.ManualClock(0))
    pauses = [fields["pause_ms"] for _, fields in log.lines]
    assert pauses == [1, 2, 4] + [5] * 57
    assert [fields["failures"] for _, fields in log.lines] == list(range(1, 61))
    assert not any(fields["is_final"] for _, fields in log.lines)


def test_the_longest_pause_bounds_how_long_a_part_is_missing():
    pauses = []
    supervisor = _supervisor.Supervisor("part", clocks.Clock(), None)
    for failure_count in range(1, 1001):
        supervisor._failure_count = failure_count
        pauses.append(supervisor._pause_ms())
    assert pauses[:6] == [100, 200, 400, 800, 1600, 2000]
    assert set(pauses[6:]) == {2000}


def test_pauses_are_short_again_after_a_part_has_run_for_long(monkeypatch):
    monkeypatch.setattr(_supervisor, "SHORTEST_PAUSE_MS", 1)
    clock = clocks.ManualClock(0)
    starts = []

    async def part():
        starts.append(1)
        if len(starts) == 4:
            clock.advance(_supervisor.SOUND_MS)
        if len(starts) <= 5:
            raise KeyError("unexpected")

    log = run(part, clock)
    pauses = [fields["pause_ms"] for _, fields in log.lines]
    assert pauses == [1, 2, 4, 1, 2]


def test_a_part_starts_again_after_something_it_awaited_was_cancelled():
    # The part ended for good without a line in the log.
    starts = []

    async def part():
        starts.append(1)
        if len(starts) == 1:
            future = asyncio.get_running_loop().create_future()
            future.cancel()
            await future

    log = run(part)
    assert len(starts) == 2
    assert log.lines[0][1]["error"] == "CancelledError()"


def test_a_part_starts_again_if_its_failure_cannot_be_logged():
    starts = []

    async def part():
        starts.append(1)
        if len(starts) == 1:
            raise KeyError("unexpected")

    def report(event, **fields):
        raise BrokenPipeError

    supervisor = _supervisor.Supervisor("part", clocks.Clock(), report)
    asyncio.run(supervisor.run(part))
    assert len(starts) == 2


def test_a_broken_invariant_is_not_tried_again():
    starts = []

    async def part():
        starts.append(1)
        raise errors.InvariantError("two incarnations of vm-1")

    with pytest.raises(errors.InvariantError):
        run(part)
    assert len(starts) == 1


def test_only_a_broken_invariant_stops_the_daemon(monkeypatch):
    # Each daemon of the own interface stopped at the first unexpected error,
    # later at the twentieth.
    monkeypatch.setattr(_supervisor, "LONGEST_PAUSE_MS", 1)

    async def body(error):
        ends = []
        log = test_dispatcher.FakeLog()
        parts = _supervisor.Parts(
            clocks.Clock(), log.write, lambda *end: ends.append(end)
        )

        async def part():
            raise error

        parts.start("tick", part)
        await asyncio.sleep(0.3)
        parts.cancel()
        return ends, [fields["part"] for _, fields in log.lines]

    ends, reported = asyncio.run(body(KeyError("unexpected")))
    assert ends == []
    assert len(reported) > 20
    invariant = errors.InvariantError("two incarnations of vm-1")
    assert asyncio.run(body(invariant)) == ([("tick", invariant)], ["tick"])
