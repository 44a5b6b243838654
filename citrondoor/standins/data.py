"""Records that every stand-in derives from names alone.

The records of a shard follow from the names of snapshot and shard, so a test
can scan them directly and compare.
"""

import collections
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
    rng = random.Random(f"{snapshot}/{shard}")
    return tuple(
        Record(
            f"{shard}-{number}-{snapshot}",
            rng.sample(WORDS, WORDS_PER_RECORD),
        )
        for number in range(count)
    )


class _Index:
    """The records of one shard by word.

    Args:
      records: The records.
    """

    __slots__ = ("_by_word", "_tie_breakers")

    def __init__(self, records: tuple[Record, ...]):
        self._by_word: dict[str, list[str]] = {}
        # A coarse second part makes ties, which the merge must order stably.
        self._tie_breakers: dict[str, float] = {}
        for record in records:
            part = zlib.crc32(record.name.encode()) % 8
            self._tie_breakers[record.name] = part / 10
            for word in record.words:
                self._by_word.setdefault(word, []).append(record.name)

    def hits(self, words: frozenset[str]) -> list[tuple[float, str]]:
        """Returns score and name of each record that shares a word."""
        shared: collections.Counter[str] = collections.Counter()
        for word in words:
            shared.update(self._by_word.get(word, ()))
        return [
            (count + self._tie_breakers[name], name)
            for name, count in shared.items()
        ]


@functools.lru_cache(maxsize=4096)
def _index_of(snapshot: str, shard: str, count: int) -> _Index:
    return _Index(records_of(snapshot, shard, count))


@functools.lru_cache(maxsize=65536)
def search_shard(
    snapshot: str, shard: str, count: int, query: str, top: int
) -> messages.ShardAnswer:
    """Returns the best hits of one shard by a direct scan; top 0 is all."""
    index = _index_of(snapshot, shard, count)
    hits = index.hits(frozenset(query.split()))
    hits.sort(key=lambda hit: (-hit[0], hit[1]))
    chosen = hits[:top] if top else hits
    return messages.ShardAnswer(
        shard, count, [s for s, _ in chosen], [name for _, name in chosen]
    )
