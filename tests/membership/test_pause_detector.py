from citrondoor import membership


def make_confirmed(events=None) -> membership.PauseDetector:
    kinds = [] if events is None else events
    pause_detector = membership.PauseDetector(
        1000, 2000, lambda kind, detail: kinds.append(kind)
    )
    pause_detector.check_view(0)
    pause_detector.confirm_view(0, 10)
    return pause_detector


def test_the_first_check_after_a_pause_detects_it():
    events: list[str] = []
    pause_detector = make_confirmed(events)
    assert pause_detector.check_view(900)
    assert not pause_detector.check_view(2500)
    assert events[-1] == "paused"


def test_a_reply_to_a_request_sent_before_the_pause_confirms_nothing():
    pause_detector = make_confirmed()
    pause_detector.check_view(5000)
    pause_detector.confirm_view(4000, 5010)
    assert not pause_detector.check_view(5020)
    pause_detector.confirm_view(5015, 5030)
    assert pause_detector.check_view(5040)


def test_the_wait_for_a_confirmation_is_bounded():
    pause_detector = make_confirmed()
    now = 5000
    assert not pause_detector.check_view(now)
    while now < 7000:
        now += 100
        assert not pause_detector.check_view(now)
    assert pause_detector.check_view(now + 100)


def test_the_view_of_a_new_daemon_is_not_trusted():
    pause_detector = membership.PauseDetector(
        1000, 2000, lambda kind, detail: None
    )
    assert not pause_detector.check_view(0)
