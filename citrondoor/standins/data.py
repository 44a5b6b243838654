"""Generated records of the stand-in searchers.

The records of a shard are generated from the names of its snapshot and shard.
Searchers and tests therefore get the same records without sharing a store, and
a test can compare an answer with a direct scan.
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
    """One record of a shard.

    Args:
      name: Name of the record, unique in the snapshot.
      words: Words that a query can match.
    """

    __slots__ = ("name", "words")

    def __init__(self, name: str, words: list[str]):
        self.name = name
        self.words = words


@functools.lru_cache(maxsize=4096)
def records_of(snapshot: str, shard: str, count: int) -> tuple[Record, ...]:
    """Returns the `count` records of a shard, the same in every process."""
    rng = random.Random(f"{snapshot}/{shard}")
    return tuple(
        Record(
            f"{shard}-{number}-{snapshot}",
            rng.sample(WORDS, WORDS_PER_RECORD),
        )
        for number in range(count)
    )


class _Index:
    """Inverted index of one shard: names of records by word.

    Args:
      records: Records of the shard.
    """

    __slots__ = ("_by_word", "_score_fractions")

    def __init__(self, records: tuple[Record, ...]):
        self._by_word: dict[str, list[str]] = {}
        # Fraction of the score. It has only 8 values, so that many records have
        # equal scores and tests cover how the merge orders ties.
        self._score_fractions: dict[str, float] = {}
        for record in records:
            tenths = zlib.crc32(record.name.encode()) % 8
            self._score_fractions[record.name] = tenths / 10
            for word in record.words:
                self._by_word.setdefault(word, []).append(record.name)

    def hits(self, words: frozenset[str]) -> list[tuple[float, str]]:
        """Returns score and name of each record that has one of the words.

        The score is the number of matching words plus a fraction below 1.
        """
        match_counts: collections.Counter[str] = collections.Counter()
        for word in words:
            match_counts.update(self._by_word.get(word, ()))
        return [
            (count + self._score_fractions[name], name)
            for name, count in match_counts.items()
        ]


@functools.lru_cache(maxsize=4096)
def _index_of(snapshot: str, shard: str, count: int) -> _Index:
    return _Index(records_of(snapshot, shard, count))


@functools.lru_cache(maxsize=65536)
def search_shard(
    snapshot: str, shard: str, count: int, query: str, top: int
) -> messages.ShardAnswer:
    """Returns the hits of one shard with the highest scores.

    Args:
      snapshot: Name of the snapshot.
      shard: Name of the shard.
      count: Number of records in the shard.
      query: Words separated by spaces.
      top: Maximum number of hits; 0 returns all.

    Returns:
      The scores and names of the hits, in descending order of score; hits with
      equal scores are in ascending order of name.
    """
    index = _index_of(snapshot, shard, count)
    hits = index.hits(frozenset(query.split()))
    hits.sort(key=lambda hit: (-hit[0], hit[1]))
    top_hits = hits[:top] if top else hits
    return messages.ShardAnswer(
        shard,
        count,
        [score for score, _ in top_hits],
        [name for _, name in top_hits],
    )
