"""Which peers must hold a count before its answer may leave."""

from citrondoor import declarations as declared
from citrondoor import rendezvous
from citrondoor.schema import messages

# Other zones that must hold a count, where so many exist.
COPIES = 2
# Held by this many other zones even while the rest cannot be reached.
MIN_COPIES = 1


class BatchBuilder:
    """Counts that leave together.

    Args:
      counts: The counts.
      uses: The quantity that this VM has used, for the same customers.
    """

    __slots__ = ("counts", "uses")

    def __init__(self):
        self.counts: dict[tuple[str, str, str], list[int]] = {}
        self.uses: dict[tuple[str, str], messages.QuantityUse] = {}

    def add(
        self, customer: str, month: str, request_id: messages.RequestId
    ) -> None:
        """Adds one count."""
        key = (customer, month, request_id.session)
        self.counts.setdefault(key, []).append(request_id.number)

    def build(self) -> messages.CountBatch:
        """Returns the batch as a message."""
        counts = [
            messages.SessionCount(
                customer,
                month,
                session,
                [messages.NumberRange(number, number) for number in numbers],
            )
            for (customer, month, session), numbers in self.counts.items()
        ]
        return messages.CountBatch(counts, list(self.uses.values()))


class ReplicationPolicy:
    """Chooses the peers that store the counts of this daemon.

    Args:
      vm: Name of this VM.
      zone: Its zone.
    """

    __slots__ = ("_vm", "_zone")

    def __init__(self, vm: str, zone: str):
        self._vm = vm
        self._zone = zone

    def copies_wanted(self, catalogue: declared.Catalogue) -> int:
        """Returns how many other zones must hold a count."""
        others = {vm.zone for vm in catalogue.vms.values()} - {self._zone}
        return min(COPIES, len(others))

    def choose(
        self, catalogue: declared.Catalogue, reachable, excluded=frozenset()
    ) -> list[str]:
        """Returns peers in distinct other zones, in order of preference.

        Args:
          catalogue: Declarations in force.
          reachable: Names of peers with a link that is up.
          excluded: Peers that failed to store the batch.
        """
        wanted = self.copies_wanted(catalogue)
        chosen: list[str] = []
        zones = {self._zone}
        for name in rendezvous.rank(f"count/{self._vm}", reachable):
            vm = catalogue.vms.get(name)
            if vm is None or name in excluded or vm.zone in zones:
                continue
            zones.add(vm.zone)
            chosen.append(name)
            if len(chosen) == wanted:
                break
        return chosen

    def has_quorum(
        self, catalogue: declared.Catalogue, acknowledged, lost_zones
    ) -> bool:
        """Returns whether enough zones hold a batch.

        Zones that cannot be reached are not waited for, but at least one
        other zone must hold the batch.

        Args:
          catalogue: Declarations in force.
          acknowledged: Peers that stored the batch.
          lost_zones: Zones without a reachable peer.
        """
        zones = {catalogue.vms[name].zone for name in acknowledged}
        zones.discard(self._zone)
        others = {vm.zone for vm in catalogue.vms.values()} - {self._zone}
        reachable = len(others - set(lost_zones))
        wanted = min(self.copies_wanted(catalogue), max(MIN_COPIES, reachable))
        return len(zones) >= wanted
