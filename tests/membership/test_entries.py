import random

from citrondoor import declarations as declared
from citrondoor import membership
from tests import samples

CATALOGUE = declared.Catalogue(samples.documents(6))
LIVE = [f"vm-{number}" for number in range(6)]


def choose(live=LIVE, zone="", session="", seed=1, catalogue=CATALOGUE):
    found = membership.choose_entry_vms(
        catalogue, live, zone, None, session, random.Random(seed)
    )
    return [vm.name for vm in found]


def test_callers_are_spread():
    assert len({choose(seed=seed)[0] for seed in range(60)}) == 6


def test_near_entries_come_first():
    near = {vm.name for vm in CATALOGUE.vms.values() if vm.zone == "zb"}
    for seed in range(20):
        assert set(choose(zone="zb", seed=seed)[:2]) == near


def test_a_session_keeps_its_entry_while_that_is_there():
    first = choose(session="s", seed=1)
    assert choose(session="s", seed=2) == first
    left = [name for name in LIVE if name != first[0]]
    assert choose(live=left, session="s")[0] == first[1]


def test_entries_out_of_service_are_not_named():
    documents = samples.documents(6)
    documents[0].zones = samples.zones("za")
    changed = declared.Catalogue(documents)
    zones = {changed.vms[n].zone for n in choose(catalogue=changed)}
    assert zones == {"zb", "zc"}
