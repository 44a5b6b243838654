from citrondoor import discovery


def test_the_newest_reading_wins():
    evacuations = discovery.Evacuations()
    assert evacuations.offer(["a"], 5)
    assert not evacuations.offer([], 4)
    assert evacuations.zones == {"a"}
    assert evacuations.offer([], 6)
    assert evacuations.zones == set()
