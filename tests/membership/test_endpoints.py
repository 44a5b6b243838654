import random

from citrondoor import membership
from citrondoor.membership import _endpoints
from citrondoor.schema import serving


def make_endpoint(number, zone="a", region="r"):
    return serving.EntryPlace(f"10.0.0.{number}", 80, 81, zone, region, True)


def test_all_daemons_of_a_small_cluster_are_returned_nearest_first():
    endpoints = [
        make_endpoint(1, "b"),
        make_endpoint(2, "a"),
        make_endpoint(3, "c"),
    ]
    chosen = membership.choose_endpoints(endpoints, "r", "a", random.Random(1))
    assert chosen[0] is endpoints[1]
    assert len(chosen) == 3


def test_other_regions_are_returned_only_without_a_local_daemon():
    near, far = make_endpoint(1), make_endpoint(2, region="q")
    rng = random.Random(1)
    assert membership.choose_endpoints([near, far], "r", "a", rng) == [near]
    assert membership.choose_endpoints([far], "r", "a", rng) == [far]


def test_the_number_of_returned_daemons_is_bounded():
    endpoints = [make_endpoint(n % 250, "abcd"[n % 4]) for n in range(400)]
    chosen = membership.choose_endpoints(endpoints, "r", "c", random.Random(1))
    assert len(chosen) == _endpoints.MAX_ENDPOINTS
    assert {endpoint.zone for endpoint in chosen} == {"c"}
