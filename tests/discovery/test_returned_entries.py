from citrondoor.discovery import _returned_entries
from tests import serving_samples as samples


def test_an_incarnation_is_held_until_its_time():
    entries = _returned_entries.ReturnedEntries()
    entries.add("i-1", 1, 500)
    assert entries.includes(samples.upstream("i-1"))
    assert not entries.includes(samples.upstream("i-1", born_ms=2))
    assert entries.remaining_ms(samples.upstream("i-1"), 200) == 300
    assert entries.remaining_ms(samples.upstream("i-2"), 200) is None
    assert not entries.drop_old(499)
    assert entries.drop_old(500)
    assert not entries.includes(samples.upstream("i-1"))


def test_a_shorter_time_does_not_replace_a_longer_one():
    entries = _returned_entries.ReturnedEntries()
    entries.add("i-1", 1, 500)
    entries.add("i-1", 1, 300)
    assert not entries.drop_old(400)
    assert entries.kept_bytes > 0
    assert entries.drop_old(500)
    assert (entries.count, entries.kept_bytes) == (0, 0)
