"""The parts of a query: one for each replica group of its snapshot."""

from citrondoor import declarations as declared
from citrondoor.schema import messages


class Part:
    """The shards of one replica group, and the attempts to read them."""

    __slots__ = (
        "answered",
        "exhausted",
        "group",
        "hedge_at",
        "lacking",
        "open_attempts",
        "retry_at",
        "rounds",
        "tried",
        "was_sent",
    )

    def __init__(self, group: declared.ReplicaGroup):
        self.group = group
        self.answered = False
        self.exhausted = False
        self.hedge_at: int | None = None
        self.retry_at: int | None = None
        self.rounds = 0
        self.open_attempts = 0
        self.tried: set[str] = set()
        self.lacking: set[str] = set()
        self.was_sent = False


class Attempt:
    """One sub-request that was sent for a part."""

    __slots__ = ("part", "searcher", "sent_at")

    def __init__(self, part: Part, searcher: str, sent_at: int):
        self.part = part
        self.searcher = searcher
        self.sent_at = sent_at


def coverage_of(parts: list[Part]) -> messages.Coverage:
    """Returns what the answered parts cover of all."""
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
