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


def test_a_part_that_always_fails_ends_with_its_error(monkeypatch):
    monkeypatch.setattr(_supervisor, "RESTART_DELAY_MS", 0)
    starts = []

    async def part():
        starts.append(1)
        raise KeyError("unexpected")

    with pytest.raises(KeyError):
        run(part)
    assert len(starts) == _supervisor.MAX_FAILURES


def test_failures_that_lie_far_apart_are_not_added_up(monkeypatch):
    monkeypatch.setattr(_supervisor, "RESTART_DELAY_MS", 0)
    clock = clocks.ManualClock(0)
    starts = []

    async def part():
        starts.append(1)
        clock.advance(_supervisor.FAILURE_PERIOD_MS)
        if len(starts) <= 2 * _supervisor.MAX_FAILURES:
            raise KeyError("unexpected")

    run(part, clock)


def test_a_broken_invariant_is_not_tried_again():
    starts = []

    async def part():
        starts.append(1)
        raise errors.InvariantError("two incarnations of vm-1")

    with pytest.raises(errors.InvariantError):
        run(part)
    assert len(starts) == 1


def test_the_daemon_stops_only_when_a_part_has_failed_for_good(monkeypatch):
    # Each daemon of the own interface stopped at the first unexpected error.
    monkeypatch.setattr(_supervisor, "RESTART_DELAY_MS", 0)
    failures = {"once": 1, "always": _supervisor.MAX_FAILURES}

    async def body(name):
        ended = asyncio.Event()
        log = test_dispatcher.FakeLog()
        parts = _supervisor.Parts(clocks.Clock(), log.write, ended.set)

        async def part():
            if failures[name]:
                failures[name] -= 1
                raise KeyError("unexpected")
            await asyncio.sleep(1)

        parts.start(name, part)
        await asyncio.sleep(0.1)
        parts.cancel()
        return ended.is_set(), [fields["part"] for _, fields in log.lines]

    assert asyncio.run(body("once")) == (False, ["once"])
    has_ended, reported = asyncio.run(body("always"))
    assert has_ended
    assert len(reported) == _supervisor.MAX_FAILURES
