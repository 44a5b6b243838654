from citrondoor.links import _carried_ids


def test_an_id_is_remembered_until_its_deadline():
    carried = _carried_ids.CarriedIds()
    carried.add(b"a", 100, 0)
    carried.add(b"b", 500, 99)
    assert b"a" in carried
    carried.add(b"c", 500, 100)
    assert b"a" not in carried
    assert b"b" in carried


def test_a_busy_connection_remembers_the_requests_of_one_deadline_only():
    # 200 requests a second with a deadline of 6 s, for a minute.
    carried = _carried_ids.CarriedIds()
    for number in range(12_000):
        now = 5 * number
        carried.add(b"%d" % number, now + 6000, now)
        assert len(carried) <= 1200
