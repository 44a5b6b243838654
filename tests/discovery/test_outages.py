from citrondoor import discovery
from citrondoor.discovery import _outages


def test_regular_reads_are_no_outage():
    detector = discovery.StoreOutageDetector()
    assert not any(detector.record_read(at) for at in range(0, 20_000, 1900))


def test_only_the_first_read_after_a_gap_ends_an_outage():
    detector = discovery.StoreOutageDetector()
    detector.record_read(1000)
    recovered_at = 1000 + _outages.MIN_OUTAGE_MS + 1
    assert detector.record_read(recovered_at)
    assert not detector.record_read(recovered_at)
    assert not detector.record_read(recovered_at + 100)


def test_an_older_read_reported_late_by_a_peer_changes_nothing():
    detector = discovery.StoreOutageDetector()
    detector.record_read(10_000)
    assert not detector.record_read(5000)
    assert detector.last_read_at == 10_000


def test_the_first_read_since_the_start_ends_no_outage():
    assert not discovery.StoreOutageDetector().record_read(50_000)
