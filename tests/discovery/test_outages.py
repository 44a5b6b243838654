from citrondoor import discovery
from citrondoor.discovery import _outages


def test_regular_readings_are_no_outage():
    detector = discovery.StoreOutageDetector()
    assert not any(detector.record_read(at) for at in range(0, 20_000, 1900))


def test_the_first_reading_after_a_gap_ends_an_outage_once():
    detector = discovery.StoreOutageDetector()
    detector.record_read(1000)
    back_at = 1000 + _outages.LAPSE_MS + 1
    assert detector.record_read(back_at)
    assert not detector.record_read(back_at)
    assert not detector.record_read(back_at + 100)


def test_a_peer_that_was_late_with_its_news_changes_nothing():
    detector = discovery.StoreOutageDetector()
    detector.record_read(10_000)
    assert not detector.record_read(5000)
    assert detector.last_read_at == 10_000


def test_the_first_reading_of_all_ends_no_outage():
    assert not discovery.StoreOutageDetector().record_read(50_000)
