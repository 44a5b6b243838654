"""The state of a query for each replica group of its snapshot."""

from citrondoor import declarations as declared
from citrondoor.schema import messages


class Part:
    """The shards of one replica group, and the attempts to search them.

    Clock readings are in ms. After each of the `pause_count` pauses, the
    replicas are tried again if the retry budget allows it. `is_exhausted` is
    set when the query no longer tries to get an answer for the group.

    Args:
      group: The replica group, with the shards that the query searches.
    """

    __slots__ = (
        "answered",
        "group",
        "hedge_at",
        "is_exhausted",
        "open_attempt_count",
        "pause_count",
        "retry_at",
        "searchers_without_snapshot",
        "tried_searchers",
        "was_sent",
    )

    def __init__(self, group: declared.ReplicaGroup):
        self.group = group
        self.answered = False
        self.is_exhausted = False
        self.hedge_at: int | None = None
        self.retry_at: int | None = None
        self.pause_count = 0
        self.open_attempt_count = 0
        self.tried_searchers: set[str] = set()
        self.searchers_without_snapshot: set[str] = set()
        self.was_sent = False


class Attempt:
    """One sub-request that was sent for a part.

    Args:
      part: The part it was sent for.
      searcher: Name of the searcher.
      sent_at: Clock reading in ms.
    """

    __slots__ = ("part", "searcher", "sent_at")

    def __init__(self, part: Part, searcher: str, sent_at: int):
        self.part = part
        self.searcher = searcher
        self.sent_at = sent_at


def coverage_of(parts: list[Part]) -> messages.Coverage:
    """Returns the shards and records that the answered parts cover."""
    answered = [part for part in parts if part.answered]
    missing = [
        name
        for part in parts
        if not part.answered
        for name in part.group.shard_names
    ]
    return messages.Coverage(
        shards_answered=sum(len(part.group.shards) for part in answered),
        shards_total=sum(len(part.group.shards) for part in parts),
        records_answered=sum(part.group.records for part in answered),
        records_total=sum(part.group.records for part in parts),
        missing=sorted(missing),
    )
