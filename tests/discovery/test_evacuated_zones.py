from citrondoor import discovery


def test_a_read_at_an_older_revision_changes_nothing():
    evacuated_zones = discovery.EvacuatedZones()
    assert evacuated_zones.apply_zones(["a"], 5)
    assert not evacuated_zones.apply_zones([], 4)
    assert evacuated_zones.zones == {"a"}
    assert evacuated_zones.apply_zones([], 6)
    assert evacuated_zones.zones == set()


def test_a_zone_that_a_new_era_lacks_stays_evacuated_for_a_while():
    # Guards against requests to a zone whose evacuation the copy lacks, until
    # the operator has written it again.
    evacuated_zones = discovery.EvacuatedZones()
    evacuated_zones.apply_zones(["a"], 9)
    evacuated_zones.begin_era()
    assert not evacuated_zones.apply_zones([], 4)
    assert evacuated_zones.zones == {"a"}
    assert evacuated_zones.listed == set()
    assert evacuated_zones.end_carry_over()
    assert evacuated_zones.zones == set()
    assert not evacuated_zones.end_carry_over()


def test_a_zone_that_was_evacuated_again_follows_the_store():
    evacuated_zones = discovery.EvacuatedZones()
    evacuated_zones.apply_zones(["a"], 9)
    evacuated_zones.begin_era()
    evacuated_zones.apply_zones([], 4)
    evacuated_zones.apply_zones(["a"], 5)
    assert evacuated_zones.apply_zones([], 6)
    assert evacuated_zones.zones == set()
