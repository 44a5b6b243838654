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
    least = _least_score(answers, top)
    rows: list[tuple[str, str, float]] = []
    for answer in answers:
        kept = _prefix_length(answer.scores, least)
        if kept:
            shard = itertools.repeat(answer.shard, kept)
            rows += zip(answer.ids, shard, answer.scores, strict=False)
    # Two stable sorts: by record and shard, then by score alone.
    rows.sort()
    rows.sort(key=operator.itemgetter(2), reverse=True)
    chosen = rows[:top] if top else rows
    return [
        messages.Hit(score, record, shard) for record, shard, score in chosen
    ]


def _least_score(answers: list[messages.ShardAnswer], top: int) -> float:
    """Returns the score of the last hit that can be among the best."""
    if not top:
        return float("-inf")
    # The lists are sorted already, so sorting them together is cheap.
    lists = [answer.scores for answer in answers]
    scores = sorted(itertools.chain.from_iterable(lists), reverse=True)
    return scores[top - 1] if len(scores) >= top else float("-inf")


def _prefix_length(scores: list[float], least: float) -> int:
    """Returns how many leading scores reach the least one."""
    for index, score in enumerate(scores):
        if score < least:
            return index
    return len(scores)
