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


def test_a_pause_of_this_process_is_no_outage():
    # Guards against removals that are held back because the daemon takes the
    # time for which it was frozen for an outage of the store.
    detector = discovery.StoreOutageDetector()
    for now in range(0, 2000, 100):
        detector.record_running(now)
    detector.record_read(1900)
    detector.record_running(9000)
    assert not detector.record_read(8900)
    assert not detector.record_read(9000)


def test_an_outage_beside_a_pause_is_one():
    detector = discovery.StoreOutageDetector()
    detector.record_running(0)
    detector.record_read(0)
    for now in [*range(100, 4100, 100), *range(9000, 9300, 100)]:
        detector.record_running(now)
    assert detector.record_read(9200)


def test_pauses_before_the_newest_read_do_not_count():
    detector = discovery.StoreOutageDetector()
    detector.record_running(0)
    detector.record_running(8000)
    detector.record_read(8000)
    for now in range(8100, 12_000, 100):
        detector.record_running(now)
    assert detector.record_read(11_900)
