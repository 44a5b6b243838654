"""Records that every stand-in derives from names alone.

The records of a shard follow from the names of snapshot and shard, so a test
can scan them directly and compare.
"""

import functools
import random
import zlib

from citrondoor.schema import messages

WORDS = [
    "valve",
    "riser",
    "sprinkler",
    "head",
    "pump",
    "gauge",
    "hydrant",
    "alarm",
    "flow",
    "corroded",
    "replaced",
    "tested",
    "leaking",
    "painted",
    "blocked",
    "wool",
    "denim",
    "silk",
    "cotton",
    "linen",
    "coat",
    "dress",
    "shirt",
    "boots",
    "belt",
    "scarf",
    "jacket",
    "red",
    "blue",
    "green",
    "black",
    "large",
    "medium",
    "small",
    "striped",
    "bale",
]
WORDS_PER_RECORD = 4


class Record:
    """One record.

    Args:
      name: Its name, unique in the snapshot.
      words: Its words.
    """

    __slots__ = ("name", "words")

    def __init__(self, name: str, words: list[str]):
        self.name = name
        self.words = words


@functools.lru_cache(maxsize=4096)
def records_of(snapshot: str, shard: str, count: int) -> tuple[Record, ...]:
    """Returns the records of a shard in a snapshot."""
    source = random.Random(f"{snapshot}/{shard}")
    return tuple(
        Record(
            f"{shard}-{number}-{snapshot}",
            source.sample(WORDS, WORDS_PER_RECORD),
        )
        for number in range(count)
    )


def score(query_words: frozenset[str], record: Record) -> float:
    """Returns how well a record matches; 0 is no match."""
    shared = len(query_words.intersection(record.words))
    if not shared:
        return 0.0
    # A coarse second part makes ties, which the merge must order stably.
    tie_breaker = zlib.crc32(record.name.encode()) % 8
    return shared + tie_breaker / 10


@functools.lru_cache(maxsize=65536)
def search_shard(
    snapshot: str, shard: str, count: int, query: str, top: int
) -> messages.ShardAnswer:
    """Returns the best hits of one shard by a direct scan; top 0 is all."""
    words = frozenset(query.split())
    scored = [
        (score(words, r), r.name) for r in records_of(snapshot, shard, count)
    ]
    hits = sorted((s for s in scored if s[0] > 0), key=lambda s: (-s[0], s[1]))
    chosen = hits[:top] if top else hits
    return messages.ShardAnswer(
        shard, count, [s for s, _ in chosen], [name for _, name in chosen]
    )
