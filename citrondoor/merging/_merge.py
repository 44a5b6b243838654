"""Top-k by descending score; ties by ascending record, then shard."""

import itertools
import operator

from citrondoor.schema import messages


def merge_hits(
    answers: list[messages.ShardAnswer], top: int
) -> list[messages.Hit]:
    """Returns the best `top` hits of all shards, best first.

    Args:
      answers: One answer a shard, each with its best hit first.
      top: Number of hits to return; 0 returns all.
    """
    rows = list(itertools.chain.from_iterable(map(_rows, answers)))
    # Two stable sorts are faster here than one with a composite key.
    rows.sort(key=operator.itemgetter(1, 2))
    rows.sort(key=operator.itemgetter(0), reverse=True)
    chosen = rows[:top] if top else rows
    return [
        messages.Hit(score, record, shard) for score, record, shard in chosen
    ]


def _rows(answer: messages.ShardAnswer):
    return zip(
        answer.scores, answer.ids, itertools.repeat(answer.shard), strict=False
    )
