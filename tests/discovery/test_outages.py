from citrondoor import discovery
from citrondoor.discovery import _outages


def test_regular_readings_are_no_outage():
    watch = discovery.OutageWatch()
    assert not any(watch.note_read(at) for at in range(0, 20_000, 1900))


def test_the_first_reading_after_a_gap_ends_an_outage_once():
    watch = discovery.OutageWatch()
    watch.note_read(1000)
    back_at = 1000 + _outages.LAPSE_MS + 1
    assert watch.note_read(back_at)
    assert not watch.note_read(back_at)
    assert not watch.note_read(back_at + 100)


def test_a_peer_that_was_late_with_its_news_changes_nothing():
    watch = discovery.OutageWatch()
    watch.note_read(10_000)
    assert not watch.note_read(5000)
    assert watch.read_at == 10_000


def test_the_first_reading_of_all_ends_no_outage():
    assert not discovery.OutageWatch().note_read(50_000)
