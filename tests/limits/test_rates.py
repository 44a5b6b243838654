"""Tests rate limits under simulated message loss, crashes and VM changes."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from citrondoor import limits
from citrondoor.standins import rate_simulation

RATE_PER_S = rate_simulation.RATE_PER_S


@pytest.mark.parametrize("vms", [1, 3, 5])
def test_load_below_the_contract_on_one_daemon_is_admitted(vms):
    simulation = rate_simulation.RateSimulation(vms, random.Random(vms))
    simulation.run(4000, {"vm-0": RATE_PER_S * 0.9})
    admitted_before = len(simulation.admitted)
    refused_before = simulation.refused
    simulation.run(24_000, {"vm-0": RATE_PER_S * 0.9})
    offered = (
        len(simulation.admitted)
        - admitted_before
        + simulation.refused
        - refused_before
    )
    assert (len(simulation.admitted) - admitted_before) / offered >= 0.97
    assert simulation.max_contract_excess() <= 1e-6


def test_overload_is_admitted_up_to_the_contracted_rate():
    simulation = rate_simulation.RateSimulation(5, random.Random(3))
    simulation.run(4000, {"vm-0": 300})
    admitted_before = len(simulation.admitted)
    simulation.run(24_000, {"vm-0": 300})
    assert len(simulation.admitted) - admitted_before >= 0.97 * RATE_PER_S * 20
    assert simulation.max_contract_excess() <= 1e-6


def test_remaining_shares_are_used_within_two_seconds_after_a_crash():
    simulation = rate_simulation.RateSimulation(5, random.Random(4))
    simulation.run(5000, {"vm-0": 300})
    simulation.crash("vm-0")
    simulation.run(7000, {"vm-1": 300})
    admitted_before = len(simulation.admitted)
    simulation.run(17_000, {"vm-1": 300})
    assert (
        len(simulation.admitted) - admitted_before
        >= 0.97 * 0.8 * RATE_PER_S * 10
    )


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_faults_never_admit_more_than_the_contract(seed):
    simulation = rate_simulation.simulate_faults(random.Random(seed))
    assert simulation.max_contract_excess() <= 1e-6


def test_a_new_incarnation_waits_until_old_leases_have_ended():
    simulation = rate_simulation.RateSimulation(1, random.Random(1))
    assert not simulation.request("vm-0")
    simulation.now = limits.STARTUP_LEASE_WAIT_MS - 1
    assert not simulation.request("vm-0")
    simulation.now = limits.STARTUP_LEASE_WAIT_MS + 1000
    simulation.request("vm-0")
    simulation.now += 100
    assert simulation.request("vm-0")


def test_a_share_grows_only_after_the_others_applied_the_change():
    shares = limits.OwnerShares("vm-0")
    shares.assign(1, ["vm-0", "vm-1"])
    applied_revisions = {"vm-1": 0}
    assert shares.share(applied_revisions.__getitem__) == 0
    applied_revisions["vm-1"] = 1
    assert shares.share(applied_revisions.__getitem__) == 0.5
    shares.assign(2, ["vm-0"])
    assert shares.share(applied_revisions.__getitem__) == 0.5
    applied_revisions["vm-1"] = 2
    assert shares.share(applied_revisions.__getitem__) == 1.0
    shares.assign(3, ["vm-0", "vm-1"])
    assert shares.share(applied_revisions.__getitem__) == 0.5
