"""Assigns shares of a customer's contract to VMs, its owners.

The assignment is computed from the declarations alone. Daemons apply a change
of the declarations at different times, so the share of a VM grows only once
every other VM of the old and the new assignment is known to have applied the
change: the shares in use never add up to more than the contract.
"""

from collections.abc import Callable

from citrondoor import declarations as declared
from citrondoor import rendezvous
from citrondoor.schema import declarations

# Maximum number of VMs that own shares of one customer's contract. A daemon
# that needs a larger share sends lease requests to all other owners. The value
# must be the same on all daemons: otherwise they disagree on the owners, and
# their shares may add up to more than the contract.
MAX_OWNERS = 8


def assign_owners(catalogue: declared.Catalogue, customer: str) -> list[str]:
    """Returns the VMs that own equal shares of a customer's contract.

    With more than MAX_OWNERS VMs in service, rendezvous hashing of the customer
    selects them.

    Args:
      catalogue: Declarations with the VMs.
      customer: Name of the customer.

    Returns:
      Names of the VMs, sorted.
    """
    vms_in_service = [
        vm.name
        for vm in catalogue.vms.values()
        if vm.state == declarations.VmState.IN
    ]
    if len(vms_in_service) <= MAX_OWNERS:
        return sorted(vms_in_service)
    return sorted(
        rendezvous.rank(f"home/{customer}", vms_in_service)[:MAX_OWNERS]
    )


class _Assignment:
    __slots__ = ("owners", "revision")

    def __init__(self, revision: int, owners: list[str]):
        self.revision = revision
        self.owners = owners

    def share_of(self, vm: str) -> float:
        return 1 / len(self.owners) if vm in self.owners else 0.0


class OwnerShares:
    """The share that this VM may use of one customer's contract.

    Args:
      vm: Name of this VM.
    """

    __slots__ = ("_assignments", "_vm")

    def __init__(self, vm: str):
        self._vm = vm
        # It isn't known at first which shares other VMs use. This empty
        # assignment keeps the share at 0 until all other owners are known to
        # have applied the revision of the first assignment that is added.
        self._assignments = [_Assignment(0, [])]

    @property
    def owners(self) -> list[str]:
        """Owners in the newest assignment."""
        return self._assignments[-1].owners

    def assign(self, revision: int, owners: list[str]) -> None:
        """Adds an assignment, unless the owners are the same as before.

        Args:
          revision: Revision of the declared VMs that it was computed from.
          owners: VMs with equal shares.
        """
        if owners != self._assignments[-1].owners:
            self._assignments.append(_Assignment(revision, owners))

    def share(self, applied_revision_of: Callable[[str], int]) -> float:
        """Returns the share that this VM may use now, from 0 to 1.

        It is the smallest share in any assignment that another VM may still
        use. Drops assignments that every other owner has replaced.

        Args:
          applied_revision_of: Returns the revision of the declared VMs that a
            VM is known to have applied; -1 for an unknown VM, and a value above
            every revision for one that was removed for good.
        """
        while len(self._assignments) > 1 and self._is_settled(
            applied_revision_of
        ):
            self._assignments.pop(0)
        return min(
            assignment.share_of(self._vm) for assignment in self._assignments
        )

    def _is_settled(self, applied_revision_of: Callable[[str], int]) -> bool:
        oldest, following = self._assignments[0], self._assignments[1]
        other_owners = set(oldest.owners) | set(following.owners)
        other_owners.discard(self._vm)
        return all(
            applied_revision_of(vm) >= following.revision for vm in other_owners
        )
