"""Chooses the declared VMs whose daemons callers should use."""

import random

from citrondoor import declarations as declared
from citrondoor import limits
from citrondoor import rendezvous
from citrondoor.schema import declarations

MAX_ENTRIES = 5


def choose_entry_vms(
    catalogue: declared.Catalogue,
    live_vms: list[str],
    near_zone: str,
    customer: str | None,
    session: str,
    rng: random.Random,
) -> list[declarations.Vm]:
    """Returns up to `MAX_ENTRIES` live VMs in service, preferred first.

    Callers in one zone are spread over the VMs of that zone, and over all
    others when it has none. Rendezvous hashing of the session orders the VMs of
    the same preference, so a caller's first VM changes only if that VM leaves
    the candidates or one that precedes it joins them. With more than
    `limits.MAX_OWNERS` live VMs in service, a known customer is sent to the VMs
    that own shares of its contract.

    Args:
      catalogue: Active declarations.
      live_vms: Names of VMs that are alive according to the local view.
      near_zone: Zone of the caller; empty when unknown.
      customer: Name of the customer; None when unknown.
      session: Session of the caller; empty when it has none yet.
      rng: Random number generator; spreads callers without a session.
    """
    names = [name for name in live_vms if catalogue.is_vm_in_service(name)]
    if customer is not None and len(names) > limits.MAX_OWNERS:
        owners = set(limits.assign_owners(catalogue, customer))
        names = [name for name in names if name in owners] or names
    if session:
        names = rendezvous.rank(f"entry/{session}", names)
    else:
        rng.shuffle(names)
    vms = [catalogue.vms[name] for name in names]
    vms.sort(key=lambda vm: vm.zone != near_zone)
    return vms[:MAX_ENTRIES]
