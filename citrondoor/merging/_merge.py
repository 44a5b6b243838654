"""Merges hits by descending score; ties by ascending record, then shard."""

import itertools
import operator

from citrondoor.schema import messages


def merge_hits(
    answers: list[messages.ShardAnswer], top: int
) -> list[messages.Hit]:
    """Returns the best `top` hits of all shards, best first.

    Args:
      answers: One answer per shard, with its hits in order of descending
        score.
      top: Number of hits to return; 0 returns all.
    """
    min_score = _min_score(answers, top)
    rows: list[tuple[str, str, float]] = []
    for answer in answers:
        hit_count = _prefix_length(answer.scores, min_score)
        if hit_count:
            shard = itertools.repeat(answer.shard, hit_count)
            rows += zip(answer.ids, shard, answer.scores, strict=False)
    # The second sort is stable: rows of equal score stay in order of record
    # and shard.
    rows.sort()
    rows.sort(key=operator.itemgetter(2), reverse=True)
    top_rows = rows[:top] if top else rows
    return [
        messages.Hit(score, record, shard) for record, shard, score in top_rows
    ]


def _min_score(answers: list[messages.ShardAnswer], top: int) -> float:
    """Returns the score that a hit needs to be among the best `top` hits.

    Negative infinity when all hits are among them.
    """
    if not top:
        return float("-inf")
    # The sort merges the lists in few comparisons, as each is sorted already.
    score_lists = [answer.scores for answer in answers]
    scores = sorted(itertools.chain.from_iterable(score_lists), reverse=True)
    return scores[top - 1] if len(scores) >= top else float("-inf")


def _prefix_length(scores: list[float], min_score: float) -> int:
    """Returns how many leading scores are not below `min_score`."""
    for index, score in enumerate(scores):
        if score < min_score:
            return index
    return len(scores)
