import random

from citrondoor import declarations as declared
from citrondoor import membership
from tests import samples

CATALOGUE = declared.Catalogue(samples.documents(6))
LIVE_VMS = [f"vm-{number}" for number in range(6)]


def choose(live_vms=LIVE_VMS, zone="", session="", seed=1, catalogue=CATALOGUE):
    chosen = membership.choose_entry_vms(
        catalogue, live_vms, zone, None, session, random.Random(seed)
    )
    return [vm.name for vm in chosen]


def test_callers_are_spread_over_all_vms():
    assert len({choose(seed=seed)[0] for seed in range(60)}) == 6


def test_vms_of_the_callers_zone_come_first():
    near = {vm.name for vm in CATALOGUE.vms.values() if vm.zone == "zb"}
    for seed in range(20):
        assert set(choose(zone="zb", seed=seed)[:2]) == near


def test_a_session_keeps_its_order_of_vms():
    first = choose(session="s", seed=1)
    assert choose(session="s", seed=2) == first
    remaining = [name for name in LIVE_VMS if name != first[0]]
    assert choose(live_vms=remaining, session="s")[0] == first[1]


def test_vms_out_of_service_are_not_returned():
    documents = samples.documents(6)
    documents[0].zones = samples.zones("za")
    changed = declared.Catalogue(documents)
    zones = {changed.vms[name].zone for name in choose(catalogue=changed)}
    assert zones == {"zb", "zc"}
