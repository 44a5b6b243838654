"""Compares answers with a direct scan of the stand-ins' data."""

from citrondoor import declarations as declared
from citrondoor import merging
from citrondoor.standins import data


class Verifier:
    """Checks answers of search back ends.

    Args:
      catalogue: Declarations, with every snapshot that may be answered from.
    """

    __slots__ = ("_snapshots",)

    def __init__(self, catalogue: declared.Catalogue):
        self._snapshots: dict[tuple[str, str], declared.SnapshotIndex] = {}
        self.add(catalogue)

    def add(self, catalogue: declared.Catalogue) -> None:
        """Takes further snapshots; those known before stay valid."""
        for backend, snapshots in catalogue.snapshots.items():
            for snapshot in snapshots:
                self._snapshots[(backend, snapshot.name)] = snapshot

    def check(
        self, backend: str, query: str, top: int, content: dict
    ) -> str | None:
        """Returns what is wrong with an answer, or None.

        Args:
          backend: Back end that was asked.
          query: The query.
          top: Hits wanted; 0 is a full listing.
          content: JSON body of the answer.
        """
        snapshot = self._snapshots.get((backend, content["snapshot"]))
        if snapshot is None:
            return f"unknown snapshot {content['snapshot']!r}"
        shards = [shard for group in snapshot.groups for shard in group.shards]
        coverage = content["coverage"]
        missing = set(coverage["missing"])
        answered = [shard for shard in shards if shard.name not in missing]
        if not missing <= snapshot.shard_names:
            return f"missing shards that do not exist: {sorted(missing)[:3]}"
        expected = {
            "shards_answered": len(answered),
            "shards_total": len(shards),
            "records_answered": sum(shard.records for shard in answered),
            "records_total": snapshot.records,
        }
        for name, value in expected.items():
            if coverage[name] != value:
                return f"{name} is {coverage[name]} and should be {value}"
        return self._check_hits(snapshot.name, answered, query, top, content)

    def _check_hits(
        self, snapshot: str, shards, query: str, top: int, content: dict
    ) -> str | None:
        scanned = [
            data.search_shard(snapshot, shard.name, shard.records, query, 0)
            for shard in shards
        ]
        hits = content["hits"]
        wanted = top or len(hits)
        best = merging.merge_hits(scanned, 0)
        expected = [
            {"score": h.score, "record": h.record, "shard": h.shard}
            for h in best[:wanted]
        ]
        if hits != expected:
            return f"{len(hits)} hits differ from a direct scan"
        if top == 0 and content["truncated"] != (len(best) > len(hits)):
            return f"truncated is {content['truncated']}"
        return None
