"""Chooses the addresses that callers should use."""

import random

from citrondoor import declarations as declared
from citrondoor import limits
from citrondoor import rendezvous
from citrondoor.schema import declarations

MAX_ENTRIES = 5


def choose_entry_vms(
    catalogue: declared.Catalogue,
    live: list[str],
    near_zone: str,
    customer: str | None,
    session: str,
    rng: random.Random,
) -> list[declarations.Vm]:
    """Returns live entry VMs in service, the one to use first in front.

    Callers in one zone are spread over the VMs of that zone, and over the
    others when it has none. A caller that names its session keeps its entry
    as long as that is there. In a large fleet a known customer is sent to the
    VMs that hold its shares.

    Args:
      catalogue: Declarations in force.
      live: Names of VMs that are believed alive.
      near_zone: Zone of the caller; empty when unknown.
      customer: Name of the customer; None when unknown.
      session: Session of the caller; empty when it has none yet.
      rng: Random source.
    """
    names = [name for name in live if catalogue.is_vm_in_service(name)]
    if customer is not None and len(names) > limits.MAX_OWNERS:
        owners = set(limits.assign_owners(catalogue, customer))
        names = [n for n in names if n in owners] or names
    if session:
        names = rendezvous.rank(f"entry/{session}", names)
    else:
        rng.shuffle(names)
    vms = [catalogue.vms[name] for name in names]
    vms.sort(key=lambda vm: vm.zone != near_zone)
    return vms[:MAX_ENTRIES]
