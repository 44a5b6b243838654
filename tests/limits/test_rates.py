"""Drives the rates of a whole fleet through losses, crashes and changes."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from citrondoor import limits
from citrondoor.standins import rate_fleet

RATE_PER_S = rate_fleet.RATE_PER_S


@pytest.mark.parametrize("vms", [1, 3, 5])
def test_all_load_on_one_entry_is_served_in_full(vms):
    fleet = rate_fleet.Fleet(vms, random.Random(vms))
    fleet.run(4000, {"vm-0": RATE_PER_S * 0.9})
    before = len(fleet.admitted)
    refused = fleet.refused
    fleet.run(24_000, {"vm-0": RATE_PER_S * 0.9})
    offered = len(fleet.admitted) - before + fleet.refused - refused
    assert (len(fleet.admitted) - before) / offered >= 0.97
    assert fleet.most_over_contract() <= 1e-6


def test_overload_is_served_to_the_contracted_rate():
    fleet = rate_fleet.Fleet(5, random.Random(3))
    fleet.run(4000, {"vm-0": 300})
    before = len(fleet.admitted)
    fleet.run(24_000, {"vm-0": 300})
    assert len(fleet.admitted) - before >= 0.97 * RATE_PER_S * 20
    assert fleet.most_over_contract() <= 1e-6


def test_after_a_crash_the_rest_of_the_share_is_served_within_two_seconds():
    fleet = rate_fleet.Fleet(5, random.Random(4))
    fleet.run(5000, {"vm-0": 300})
    fleet.crash("vm-0")
    fleet.run(7000, {"vm-1": 300})
    before = len(fleet.admitted)
    fleet.run(17_000, {"vm-1": 300})
    assert len(fleet.admitted) - before >= 0.97 * 0.8 * RATE_PER_S * 10


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_no_fault_admits_more_than_the_contract(seed):
    fleet = rate_fleet.play_faults(random.Random(seed))
    assert fleet.most_over_contract() <= 1e-6


def test_a_new_incarnation_waits_for_old_leases():
    fleet = rate_fleet.Fleet(1, random.Random(1))
    assert not fleet.request("vm-0")
    fleet.now = limits.STARTUP_LEASE_WAIT_MS - 1
    assert not fleet.request("vm-0")
    fleet.now = limits.STARTUP_LEASE_WAIT_MS + 1000
    fleet.request("vm-0")
    fleet.now += 100
    assert fleet.request("vm-0")


def test_a_share_grows_only_after_the_others_took_the_change():
    shares = limits.OwnerShares("vm-0")
    shares.assign(1, ["vm-0", "vm-1"])
    known = {"vm-1": 0}
    assert shares.share(known.__getitem__) == 0
    known["vm-1"] = 1
    assert shares.share(known.__getitem__) == 0.5
    shares.assign(2, ["vm-0"])
    assert shares.share(known.__getitem__) == 0.5
    known["vm-1"] = 2
    assert shares.share(known.__getitem__) == 1.0
    shares.assign(3, ["vm-0", "vm-1"])
    assert shares.share(known.__getitem__) == 0.5
