"""Which VMs hold shares of a customer's contract.

Shares follow from the declarations alone. Daemons learn of a change at
different times, so a share grows only after every VM of the old assignment is
known to have taken the change: the sum never exceeds the whole.
"""

from collections.abc import Callable

from citrondoor import declarations as declared
from citrondoor import rendezvous
from citrondoor.schema import declarations

# A customer has shares on at most this many VMs.
MAX_OWNERS = 8


def assign_owners(catalogue: declared.Catalogue, customer: str) -> list[str]:
    """Returns the VMs that hold equal shares of a customer's contract."""
    members = [
        vm.name
        for vm in catalogue.vms.values()
        if vm.state == declarations.VmState.IN
    ]
    if len(members) <= MAX_OWNERS:
        return sorted(members)
    return sorted(rendezvous.rank(f"home/{customer}", members)[:MAX_OWNERS])


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
        # Before the first assignment nothing is known of what others use.
        self._assignments = [_Assignment(0, [])]

    @property
    def owners(self) -> list[str]:
        """VMs of the newest assignment."""
        return self._assignments[-1].owners

    def assign(self, revision: int, owners: list[str]) -> None:
        """Takes a new assignment; the same homes keep their assignment."""
        if owners != self._assignments[-1].owners:
            self._assignments.append(_Assignment(revision, owners))

    def share(self, applied_revision_of: Callable[[str], int]) -> float:
        """Returns the share of this VM, from 0 to 1.

        Args:
          applied_revision_of: Returns the highest configuration revision that
            a VM is known to have taken; infinite for one that is gone for good.
        """
        while len(self._assignments) > 1 and self._is_settled(
            applied_revision_of
        ):
            self._assignments.pop(0)
        return min(a.share_of(self._vm) for a in self._assignments)

    def _is_settled(self, applied_revision_of: Callable[[str], int]) -> bool:
        oldest, following = self._assignments[0], self._assignments[1]
        concerned = set(oldest.owners) | set(following.owners)
        concerned.discard(self._vm)
        return all(
            applied_revision_of(vm) >= following.revision for vm in concerned
        )
