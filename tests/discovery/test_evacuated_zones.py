from citrondoor import discovery


def test_a_read_at_an_older_revision_changes_nothing():
    evacuated_zones = discovery.EvacuatedZones()
    assert evacuated_zones.apply_zones(["a"], 5)
    assert not evacuated_zones.apply_zones([], 4)
    assert evacuated_zones.zones == {"a"}
    assert evacuated_zones.apply_zones([], 6)
    assert evacuated_zones.zones == set()
