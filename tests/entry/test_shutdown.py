import hypothesis
from hypothesis import strategies

from citrondoor.entry import _shutdown

MS = strategies.integers(0, 10_000)


def test_everything_is_accepted_until_the_shutdown_begins():
    shutdown = _shutdown.Shutdown()
    assert shutdown.missing_ms(False, 60_000, None, 0) == 0
    assert shutdown.limit(60_000) == 60_000


@hypothesis.given(left_ms=MS, longest_ms=MS, slow_ms=strategies.none() | MS)
def test_what_must_not_be_repeated_is_accepted_only_if_it_ends_in_time(
    left_ms, longest_ms, slow_ms
):
    shutdown = _shutdown.Shutdown()
    shutdown.begin(1000 + left_ms)
    is_accepted = not shutdown.missing_ms(False, longest_ms, slow_ms, 1000)
    assert is_accepted == (longest_ms <= left_ms)


@hypothesis.given(left_ms=MS, longest_ms=MS, slow_ms=MS)
def test_other_requests_are_accepted_if_most_like_them_end_in_time(
    left_ms, longest_ms, slow_ms
):
    shutdown = _shutdown.Shutdown()
    shutdown.begin(1000 + left_ms)
    is_accepted = not shutdown.missing_ms(True, longest_ms, slow_ms, 1000)
    assert is_accepted == (min(longest_ms, slow_ms) <= left_ms)
    # Without any answer so far, as if all of them took the longest time.
    is_accepted = not shutdown.missing_ms(True, longest_ms, None, 1000)
    assert is_accepted == (longest_ms <= left_ms)


def test_no_request_lasts_longer_than_the_daemon_answers():
    shutdown = _shutdown.Shutdown()
    shutdown.begin(5000)
    assert shutdown.limit(4000) == 4000
    assert shutdown.limit(9000) == 5000
    assert shutdown.missing_ms(False, 1, 1.0, 5000) == 1
