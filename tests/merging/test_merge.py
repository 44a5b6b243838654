import random

import hypothesis
from hypothesis import strategies

from citrondoor import merging
from citrondoor.schema import messages


def random_answers(rng: random.Random) -> list[messages.ShardAnswer]:
    answers = []
    for shard in range(rng.randrange(6)):
        hits = sorted(
            (
                (float(rng.randrange(4)), f"r{rng.randrange(30):02d}")
                for _ in range(rng.randrange(8))
            ),
            key=lambda hit: (-hit[0], hit[1]),
        )
        answers.append(
            messages.ShardAnswer(
                f"s{shard}", 9, [s for s, _ in hits], [r for _, r in hits]
            )
        )
    return answers


@hypothesis.given(
    seed=strategies.integers(0, 1 << 30), top=strategies.integers(0, 12)
)
def test_merged_hits_are_the_first_of_all_hits_in_order(seed, top):
    answers = random_answers(random.Random(seed))
    rows = [
        (-score, record, answer.shard)
        for answer in answers
        for score, record in zip(answer.scores, answer.ids, strict=True)
    ]
    expected = sorted(rows)[: top or None]
    random.Random(seed).shuffle(answers)
    merged = merging.merge_hits(answers, top)
    assert [(-h.score, h.record, h.shard) for h in merged] == expected
