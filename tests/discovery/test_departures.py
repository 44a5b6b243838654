from citrondoor.discovery import _departures
from tests import serving_samples as samples


def test_an_incarnation_is_known_once_it_is_added():
    departures = _departures.Departures()
    assert departures.add("i-1", 1, 0)
    assert not departures.add("i-1", 1, 5)
    assert departures.includes(samples.upstream("i-1"))
    assert not departures.includes(samples.upstream("i-1", born_ms=2))


def test_a_late_answer_of_an_earlier_incarnation_keeps_the_later_one_marked():
    departures = _departures.Departures()
    departures.add("i-1", 2, 0)
    departures.add("i-1", 1, 5)
    assert departures.includes(samples.upstream("i-1", born_ms=2))


def test_a_departure_is_kept_while_its_searcher_is_registered():
    departures = _departures.Departures()
    departures.add("i-1", 1, 0)
    registered = {"i-1": samples.upstream("i-1")}
    departures.drop_old(registered.get, 0)
    # Nothing was listed for long before the entry was removed.
    gone_at = 3 * _departures.RETENTION_MS
    departures.drop_old({}.get, gone_at)
    departures.drop_old({}.get, gone_at + _departures.RETENTION_MS)
    assert departures.includes(registered["i-1"])
    departures.drop_old({}.get, gone_at + _departures.RETENTION_MS + 1)
    assert not departures.includes(registered["i-1"])
    assert departures.kept_bytes == 0


def test_the_number_of_departures_is_bounded():
    departures = _departures.Departures()
    for number in range(_departures.MAX_DEPARTURES + 5):
        departures.add(f"i-{number}", 1, number)
    assert not departures.includes(samples.upstream("i-4"))
    assert departures.includes(samples.upstream("i-5"))
    departures.drop_old({}.get, 2 * _departures.RETENTION_MS)
    assert departures.kept_bytes == 0
