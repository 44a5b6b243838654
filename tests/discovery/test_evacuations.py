from citrondoor import discovery


def test_the_newest_reading_wins():
    evacuated_zones = discovery.EvacuatedZones()
    assert evacuated_zones.offer(["a"], 5)
    assert not evacuated_zones.offer([], 4)
    assert evacuated_zones.zones == {"a"}
    assert evacuated_zones.offer([], 6)
    assert evacuated_zones.zones == set()
