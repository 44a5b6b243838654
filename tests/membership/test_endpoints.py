import random

from citrondoor import membership
from citrondoor.membership import _endpoints
from citrondoor.schema import serving


def place(number, zone="a", region="r"):
    return serving.EntryPlace(f"10.0.0.{number}", 80, 81, zone, region, True)


def test_a_small_fleet_is_named_whole_nearest_first():
    endpoints = [place(1, "b"), place(2, "a"), place(3, "c")]
    chosen = membership.choose_endpoints(endpoints, "r", "a", random.Random(1))
    assert chosen[0] is endpoints[1]
    assert len(chosen) == 3


def test_other_regions_are_named_only_without_a_local_one():
    near, far = place(1), place(2, region="q")
    rng = random.Random(1)
    assert membership.choose_endpoints([near, far], "r", "a", rng) == [near]
    assert membership.choose_endpoints([far], "r", "a", rng) == [far]


def test_a_large_fleet_is_named_in_part():
    endpoints = [place(n % 250, "abcd"[n % 4]) for n in range(400)]
    chosen = membership.choose_endpoints(endpoints, "r", "c", random.Random(1))
    assert len(chosen) == _endpoints.MAX_ENDPOINTS
    assert {p.zone for p in chosen} == {"c"}
