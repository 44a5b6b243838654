"""Compares answers with a direct scan of the stand-in searchers' records."""

from citrondoor import declarations as declared
from citrondoor import merging
from citrondoor.standins import data


class Verifier:
    """Checks answers of search back ends.

    Args:
      catalogue: Declarations with all snapshots that an answer may name.
    """

    __slots__ = ("_snapshots",)

    def __init__(self, catalogue: declared.Catalogue):
        self._snapshots: dict[tuple[str, str], declared.SnapshotIndex] = {}
        self.add(catalogue)

    def add(self, catalogue: declared.Catalogue) -> None:
        """Adds the snapshots of newer declarations and keeps earlier ones."""
        for backend, snapshots in catalogue.snapshots.items():
            for snapshot in snapshots:
                self._snapshots[(backend, snapshot.name)] = snapshot

    def check(
        self, backend: str, query: str, top: int, content: dict
    ) -> str | None:
        """Checks the coverage and the hits of an answer.

        Args:
          backend: Name of the back end.
          query: Query of the request.
          top: Maximum number of hits of the request; 0 lists all.
          content: JSON body of the answer.

        Returns:
          The first problem found, or None if the answer is right.
        """
        snapshot = self._snapshots.get((backend, content["snapshot"]))
        if snapshot is None:
            return f"unknown snapshot {content['snapshot']!r}"
        shards = [shard for group in snapshot.groups for shard in group.shards]
        coverage = content["coverage"]
        missing = set(coverage["missing"])
        answered_shards = [
            shard for shard in shards if shard.name not in missing
        ]
        if not missing <= snapshot.shard_names:
            return f"unknown shards reported missing: {sorted(missing)[:3]}"
        expected = {
            "shards_answered": len(answered_shards),
            "shards_total": len(shards),
            "records_answered": sum(shard.records for shard in answered_shards),
            "records_total": snapshot.records,
        }
        for name, value in expected.items():
            if coverage[name] != value:
                return f"{name} is {coverage[name]}, expected {value}"
        return self._check_hits(
            snapshot.name, answered_shards, query, top, content
        )

    def _check_hits(
        self, snapshot: str, shards, query: str, top: int, content: dict
    ) -> str | None:
        shard_answers = [
            data.search_shard(snapshot, shard.name, shard.records, query, 0)
            for shard in shards
        ]
        hits = content["hits"]
        expected_count = top or len(hits)
        all_hits = merging.merge_hits(shard_answers, 0)
        expected = [
            {"score": hit.score, "record": hit.record, "shard": hit.shard}
            for hit in all_hits[:expected_count]
        ]
        if hits != expected:
            return f"the {len(hits)} hits differ from those of a direct scan"
        if top == 0 and content["truncated"] != (len(all_hits) > len(hits)):
            return f"truncated is {content['truncated']}, which is wrong"
        return None
