import pytest

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor.daemon import settings_wait

INVALID = errors.DocumentError("s.yaml", 1, "is empty", "write settings")


class Start:
    """A start at which the file is invalid until `valid_at` ms."""

    def __init__(self, valid_at, end_at=None):
        self.clock = clocks.ManualClock(0)
        self.valid_at = valid_at
        self.end_at = end_at

    def read(self):
        if self.clock.now() < self.valid_at:
            raise INVALID
        return "settings"

    def is_end_requested(self):
        return self.end_at is not None and self.clock.now() >= self.end_at

    def sleep(self, seconds):
        self.clock.advance(int(seconds * clocks.MS_PER_S))

    def run(self):
        return settings_wait.read_when_complete(
            self.read, self.is_end_requested, self.clock, self.sleep
        )


@pytest.mark.parametrize("valid_at", [0, 1, 700, settings_wait.WAIT_MS])
def test_a_file_that_is_being_written_is_read_again(valid_at):
    start = Start(valid_at)
    assert start.run() == "settings"
    assert start.clock.now() - valid_at < settings_wait.POLL_MS


def test_a_file_that_stays_invalid_is_refused_after_a_bounded_time():
    start = Start(settings_wait.WAIT_MS + 1)
    with pytest.raises(errors.DocumentError, match="is empty"):
        start.run()
    assert start.clock.now() == settings_wait.WAIT_MS


def test_a_request_to_end_ends_the_wait():
    start = Start(1000, end_at=100)
    with pytest.raises(errors.DocumentError):
        start.run()
    assert start.clock.now() == 100
