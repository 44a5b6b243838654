"""Index of one set of documents; does not change once it is built."""

from citrondoor.schema import declarations


class ReplicaGroup:
    """Shards of one snapshot that have the same set of replicas.

    One request to any of the replicas can search all shards of the group.

    Args:
      shards: The shards.
      replicas: Names of the searchers that each hold all of the shards.
    """

    __slots__ = (
        "records",
        "records_by_shard",
        "replicas",
        "shard_names",
        "shards",
    )

    def __init__(
        self, shards: list[declarations.Shard], replicas: tuple[str, ...]
    ):
        self.shards = shards
        self.replicas = replicas
        self.shard_names = [shard.name for shard in shards]
        self.records_by_shard = {shard.name: shard.records for shard in shards}
        self.records = sum(self.records_by_shard.values())


class SnapshotIndex:
    """Index of one snapshot, with its shards grouped by replicas.

    Args:
      snapshot: The declared snapshot.
    """

    __slots__ = ("groups", "name", "records", "shard_names")

    def __init__(self, snapshot: declarations.Snapshot):
        self.name = snapshot.name
        self.shard_names = frozenset(shard.name for shard in snapshot.shards)
        self.records = sum(shard.records for shard in snapshot.shards)
        self.groups = group_shards(snapshot.shards)


def group_shards(shards: list[declarations.Shard]) -> list[ReplicaGroup]:
    """Returns the shards grouped by their set of replicas."""
    by_replicas: dict[tuple[str, ...], list[declarations.Shard]] = {}
    for shard in shards:
        replicas = tuple(sorted(shard.replicas))
        by_replicas.setdefault(replicas, []).append(shard)
    return [
        ReplicaGroup(group, replicas) for replicas, group in by_replicas.items()
    ]


class Catalogue:
    """Looks up zones, VMs, back ends, snapshots and contracts.

    Args:
      documents: All documents. They are not checked here: if two zones, VMs,
        back ends, searchers or customers have the same name, the last is used.
      previous: Catalogue whose snapshot indexes are reused for documents that
        are the same objects.
    """

    __slots__ = (
        "backends",
        "contract_revisions",
        "contracts",
        "contracts_by_digest",
        "documents",
        "indexed_snapshots",
        "revision",
        "searchers",
        "snapshots",
        "vms",
        "vms_revision",
        "zones",
    )

    def __init__(
        self,
        documents: list[declarations.Document],
        previous: "Catalogue | None" = None,
    ):
        self.documents = documents
        # Keyed by id(document). Documents are not changed after they are
        # parsed, so an index is valid as long as the same object is declared.
        # `documents` keeps the objects alive, so that no ID is reused.
        self.indexed_snapshots: dict[int, list[SnapshotIndex]] = {}
        self.revision = max(
            (document.revision for document in documents), default=0
        )
        self.zones: dict[str, declarations.Zone] = {}
        self.vms: dict[str, declarations.Vm] = {}
        self.vms_revision = 0
        self.backends: dict[str, declarations.Backend] = {}
        self.searchers: dict[str, declarations.Searcher] = {}
        self.snapshots: dict[str, list[SnapshotIndex]] = {}
        self.contracts: dict[str, declarations.Contract] = {}
        self.contract_revisions: dict[str, int] = {}
        self.contracts_by_digest: dict[str, declarations.Contract] = {}
        previous_snapshots = (
            previous.indexed_snapshots if previous is not None else {}
        )
        for document in documents:
            self._index(document, previous_snapshots)

    def is_zone_in_service(self, name: str) -> bool:
        """Returns whether a zone is declared and in service."""
        zone = self.zones.get(name)
        return zone is not None and zone.state == declarations.ZoneState.IN

    def is_vm_in_service(self, name: str) -> bool:
        """Returns whether a daemon's VM and its zone are in service."""
        vm = self.vms.get(name)
        if vm is None or vm.state != declarations.VmState.IN:
            return False
        return self.is_zone_in_service(vm.zone)

    def is_searcher_in_service(self, name: str) -> bool:
        """Returns whether a searcher may receive requests.

        The searcher and its zone must be in service.
        """
        searcher = self.searchers.get(name)
        if searcher is None or searcher.state != declarations.VmState.IN:
            return False
        return self.is_zone_in_service(searcher.zone)

    def _index(
        self,
        document: declarations.Document,
        previous_snapshots: dict[int, list[SnapshotIndex]],
    ) -> None:
        if document.zones:
            self.zones = {zone.name: zone for zone in document.zones.zones}
        if document.vms:
            self.vms = {vm.name: vm for vm in document.vms.vms}
            self.vms_revision = document.revision
        if document.backend:
            self._index_backend(document.backend)
        if document.snapshots:
            indexes = previous_snapshots.get(id(document)) or [
                SnapshotIndex(snapshot)
                for snapshot in document.snapshots.snapshots
            ]
            self.indexed_snapshots[id(document)] = indexes
            self.snapshots[document.snapshots.backend] = indexes
        if document.contracts:
            for contract in document.contracts.contracts:
                self._index_contract(contract, document.revision)

    def _index_backend(self, backend: declarations.Backend) -> None:
        self.backends[backend.name] = backend
        for searcher in backend.searchers:
            self.searchers[searcher.name] = searcher

    def _index_contract(
        self, contract: declarations.Contract, revision: int
    ) -> None:
        self.contracts[contract.customer] = contract
        self.contract_revisions[contract.customer] = revision
        for digest in contract.key_digests:
            self.contracts_by_digest[digest] = contract
