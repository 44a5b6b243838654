"""Which peers must store a count before its request may be answered."""

from citrondoor import declarations as declared
from citrondoor import rendezvous
from citrondoor.schema import messages

# Number of other zones that must store a count, where so many exist.
REPLICA_ZONES = 2
# This many other zones must store it even while the rest are unreachable.
MIN_REPLICA_ZONES = 1


class BatchBuilder:
    """Collects counts that are sent in one message.

    Attributes:
      counts: Request numbers by customer, month and session.
      uses: This VM's quantity use by customer and month.
    """

    __slots__ = ("counts", "uses")

    def __init__(self):
        self.counts: dict[tuple[str, str, str], list[int]] = {}
        self.uses: dict[tuple[str, str], messages.QuantityUse] = {}

    def add(
        self, customer: str, month: str, request_id: messages.RequestId
    ) -> None:
        """Adds the count of one request."""
        key = (customer, month, request_id.session)
        self.counts.setdefault(key, []).append(request_id.number)

    def build(self) -> messages.CountBatch:
        """Returns the message that carries the batch."""
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

    def target_zone_count(self, catalogue: declared.Catalogue) -> int:
        """Returns the number of other zones that store a count if reachable."""
        other_zones = {vm.zone for vm in catalogue.vms.values()} - {self._zone}
        return min(REPLICA_ZONES, len(other_zones))

    def choose(
        self, catalogue: declared.Catalogue, reachable, excluded=frozenset()
    ) -> list[str]:
        """Returns the peers to store a batch on, one each in other zones.

        Args:
          catalogue: Active declarations.
          reachable: Names of peers with a connected link.
          excluded: Peers that have been tried already.
        """
        required_count = self.target_zone_count(catalogue)
        chosen: list[str] = []
        zones = {self._zone}
        for name in rendezvous.rank(f"count/{self._vm}", reachable):
            vm = catalogue.vms.get(name)
            if vm is None or name in excluded or vm.zone in zones:
                continue
            zones.add(vm.zone)
            chosen.append(name)
            if len(chosen) == required_count:
                break
        return chosen

    def has_quorum(
        self, catalogue: declared.Catalogue, acknowledged, unreachable_zones
    ) -> bool:
        """Returns whether enough zones store a batch.

        Zones that cannot store the batch are not required, but at least one
        other zone must store it, where one exists.

        Args:
          catalogue: Active declarations.
          acknowledged: Peers that stored the batch.
          unreachable_zones: Zones whose peers are all unreachable or failed to
            store the batch.
        """
        zones = {catalogue.vms[name].zone for name in acknowledged}
        zones.discard(self._zone)
        other_zones = {vm.zone for vm in catalogue.vms.values()} - {self._zone}
        reachable_count = len(other_zones - set(unreachable_zones))
        required_count = min(
            self.target_zone_count(catalogue),
            max(MIN_REPLICA_ZONES, reachable_count),
        )
        return len(zones) >= required_count
