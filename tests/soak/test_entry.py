import random

import pytest

from citrondoor.codecs import http1
from tests.soak import entry
from tests.soak import proxy

SHARDS = entry.SHARD_SETS[0]


class MergedAnswer:
    """A valid merged answer over the first shard set, one searcher per shard.

    Attributes:
      soak: The soak run whose checks are tested.
      answers: Searcher and stamp of each shard.
    """

    def __init__(self, tmp_path):
        self.soak = entry.Soak(1, 0, tmp_path)
        self.answers = []
        for shard in SHARDS:
            searcher = entry.Searcher(f"{shard}-1", shard, self.soak)
            stamp = self.soak.make_stamp(searcher, b"c1", is_success=True)
            self.answers.append((searcher, stamp))

    def check(self, answers=None, missing=0, body=None):
        """Returns the problems found in the answer with these changes."""
        answers = self.answers if answers is None else answers
        records = sorted(
            (searcher.record for searcher, _ in answers), reverse=True
        )
        if body is None:
            body = b"".join(records[: entry.TOP_RECORDS])
        headers = [
            (b"x-part-stamps", b", ".join(stamp for _, stamp in answers)),
            (b"x-missing-parts", b"%d" % missing),
        ]
        response = http1.Response(200, headers, body)
        self.soak.check_response(b"c1", False, response)
        return self.soak.problems


def test_valid_answers_are_accepted(tmp_path):
    merged = MergedAnswer(tmp_path)
    assert merged.check() == []
    assert merged.check(merged.answers[:3], missing=1) == []


def test_unreported_missing_shard_is_reported(tmp_path):
    merged = MergedAnswer(tmp_path)
    assert merged.check(merged.answers[:3])


def test_answer_from_too_few_shards_is_reported(tmp_path):
    merged = MergedAnswer(tmp_path)
    assert merged.check(merged.answers[:1], missing=3)


def test_duplicate_shard_is_reported(tmp_path):
    merged = MergedAnswer(tmp_path)
    answers = [*merged.answers[:3], merged.answers[0]]
    assert merged.check(answers)


def test_records_other_than_the_highest_are_reported(tmp_path):
    merged = MergedAnswer(tmp_path)
    records = sorted(searcher.record for searcher, _ in merged.answers)
    assert merged.check(body=b"".join(records[: entry.TOP_RECORDS]))


def test_stamp_of_another_request_is_reported(tmp_path):
    merged = MergedAnswer(tmp_path)
    searcher, _ = merged.answers[0]
    stamp = merged.soak.make_stamp(searcher, b"c2", is_success=True)
    assert merged.check([(searcher, stamp), *merged.answers[1:]])


def test_stamp_of_a_failure_is_reported(tmp_path):
    merged = MergedAnswer(tmp_path)
    searcher, _ = merged.answers[0]
    stamp = merged.soak.make_stamp(searcher, b"c1", is_success=False)
    assert merged.check([(searcher, stamp), *merged.answers[1:]])


def test_run_repeated_or_after_a_refusal_is_reported(tmp_path):
    soak = entry.Soak(1, 0, tmp_path)
    searcher = entry.Searcher("one-1", "one", soak)
    soak.once.add(b"c1")
    soak.record_run(searcher, b"c1")
    assert soak.problems == []
    soak.record_run(searcher, b"c1")
    assert len(soak.problems) == 1
    soak.check_response(b"c2", True, http1.Response(503, [], b""))
    soak.record_run(searcher, b"c2")
    assert len(soak.problems) == 2


@pytest.mark.parametrize("status", entry.NOT_RUN_STATUSES)
def test_refusal_of_a_request_that_ran_is_reported(tmp_path, status):
    soak = entry.Soak(1, 0, tmp_path)
    soak.once.add(b"c1")
    soak.record_run(entry.Searcher("one-1", "one", soak), b"c1")
    soak.check_response(b"c1", True, http1.Response(status, [], b""))
    assert soak.problems


class FakeDaemon:
    name = "vm-0"


def test_request_that_ran_and_got_no_answer_is_reported(tmp_path):
    soak = entry.Soak(1, 0, tmp_path)
    error = EOFError("closed")
    soak.check_unanswered(FakeDaemon, b"c1", 10.0, error)
    soak.record_run(entry.Searcher("one-1", "one", soak), b"c1")
    soak.disturbed_at["vm-0"] = 10.5
    soak.check_unanswered(FakeDaemon, b"c1", 10.0, error)
    assert soak.problems == []
    soak.check_unanswered(FakeDaemon, b"c1", 11.0, error)
    assert len(soak.problems) == 1
    # The machine stalled: an answer in time cannot be expected, but a closed
    # connection is a fault all the same.
    soak.stalled_at = 11.5
    soak.check_unanswered(FakeDaemon, b"c1", 11.0, TimeoutError())
    assert len(soak.problems) == 1
    soak.check_unanswered(FakeDaemon, b"c1", 11.0, error)
    assert len(soak.problems) == 2


def test_stuttering_searcher_sends_copies_and_broken_off_responses():
    stutter = proxy.Stutter(0.5, random.Random(1))
    response = b"0123456789"
    sent = [stutter.spoil(response) for _ in range(200)]
    now, late = (b"".join(parts) for parts in zip(*sent, strict=True))
    assert 0.4 < sum(part != (response, b"") for part in sent) / 200 < 0.8
    assert late.count(response) > 5
    assert len(late) % 10
    assert len(now) > 200 * 10
    stutter.share, stutter.kept = 0.0, b""
    assert stutter.spoil(response) == (response, b"")


def test_short_soak_finds_no_problems(tmp_path):
    soak = entry.run(88, 4.0, tmp_path)
    assert soak.problems == [], soak.report()
    assert soak.outcomes[200] > 50
    assert soak.faults
