from citrondoor import membership


def fresh(events=None) -> membership.Freshness:
    heard = [] if events is None else events
    freshness = membership.Freshness(
        1000, 2000, lambda kind, detail: heard.append(kind)
    )
    freshness.check(0)
    freshness.confirm(0, 10)
    return freshness


def test_a_pause_is_noticed_by_the_first_use_after_it():
    events: list[str] = []
    freshness = fresh(events)
    assert freshness.check(900)
    assert not freshness.check(2500)
    assert events[-1] == "paused"


def test_an_answer_to_an_older_question_confirms_nothing():
    freshness = fresh()
    freshness.check(5000)
    freshness.confirm(4000, 5010)
    assert not freshness.check(5020)
    freshness.confirm(5015, 5030)
    assert freshness.check(5040)


def test_the_wait_for_a_confirmation_is_bounded():
    freshness = fresh()
    now = 5000
    assert not freshness.check(now)
    while now < 7000:
        now += 100
        assert not freshness.check(now)
    assert freshness.check(now + 100)


def test_a_new_daemon_is_not_confirmed():
    freshness = membership.Freshness(1000, 2000, lambda kind, detail: None)
    assert not freshness.check(0)
