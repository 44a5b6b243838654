import time

from citrondoor.codecs import http1
from tests.soak import store_changes


class FakeDaemon:
    name = "vm-0"


def make_play(tmp_path):
    """Returns a play, its searcher and a request that was sent just now."""
    play = store_changes.Play(1, tmp_path)
    play.acked = [(1, time.monotonic() - 2 * store_changes.APPLY_S)]
    play.version = 1
    searcher = store_changes.Searcher(1, store_changes.service_of(1), play)
    sent = play.sent[b"r1"] = store_changes.Sent(FakeDaemon, "moved")
    return play, searcher, sent


def test_a_request_at_a_searcher_in_service_is_no_violation(tmp_path):
    play, searcher, sent = make_play(tmp_path)
    play.check_run(searcher, b"r1")
    play.check_response(sent, http1.Response(200, [], b""))
    play.check_response(sent, http1.Response(503, [], b""))
    assert play.examples == []


def test_a_late_request_to_a_draining_searcher_is_reported(tmp_path):
    play, searcher, sent = make_play(tmp_path)
    searcher.left_at = sent.at - store_changes.DRAIN_S + 0.1
    play.check_run(searcher, b"r1")
    assert play.examples == []
    searcher.left_at -= 0.2
    play.check_run(searcher, b"r1")
    assert play.counts["drain"] == 1


def test_a_run_by_the_service_of_an_older_version_is_reported(tmp_path):
    play, searcher, _ = make_play(tmp_path)
    searcher.service = store_changes.service_of(0)
    play.check_run(searcher, b"r1")
    assert play.counts["older version"] == 1
    # Version 1 is not due yet.
    play.acked = [(1, time.monotonic())]
    play.check_run(searcher, b"r1")
    assert play.counts["older version"] == 1


def test_refusals_of_proper_requests_are_reported(tmp_path):
    play, _, sent = make_play(tmp_path)
    for status in (404, 400):
        play.check_response(sent, http1.Response(status, [], b""))
    assert (play.counts["refused"], play.counts["denied"]) == (1, 1)


def test_a_daemon_that_was_disturbed_is_not_judged(tmp_path):
    play, _, sent = make_play(tmp_path)
    play.judged_from["vm-0"] = sent.at + 1
    play.check_response(sent, http1.Response(404, [], b""))
    assert play.examples == []
    assert play.counts["refused, not judged"] == 1


def test_short_drill_finds_no_problems(tmp_path):
    # FAULT: daemons ignored a store that came back with lower revisions.
    play = store_changes.run(2, "drill-short", 1, tmp_path)
    assert play.examples == [], play.counts
    assert play.counts[200] > 500
