import pytest

from citrondoor.codecs import http1
from tests.soak import entry

SHARDS = entry.SHARD_SETS[0]


class Gathered:
    """An answer over the first set of shards, as a daemon would make it."""

    def __init__(self, tmp_path):
        self.soak = entry.Soak(1, 0, tmp_path)
        self.found = []
        for shard in SHARDS:
            searcher = entry.Searcher(f"{shard}-1", shard, self.soak)
            stamp = self.soak.make_stamp(searcher, b"c1", is_good=True)
            self.found.append((searcher, stamp))

    def check(self, found=None, missing=0, body=None):
        found = self.found if found is None else found
        records = sorted((s.record for s, _ in found), reverse=True)
        if body is None:
            body = b"".join(records[: entry.TOP])
        headers = [
            (b"x-part-stamps", b", ".join(stamp for _, stamp in found)),
            (b"x-missing-parts", b"%d" % missing),
        ]
        response = http1.Response(200, headers, body)
        self.soak.check(b"c1", False, response)
        return self.soak.problems


def test_a_true_answer_is_no_problem(tmp_path):
    gathered = Gathered(tmp_path)
    assert gathered.check() == []
    assert gathered.check(gathered.found[:3], missing=1) == []


def test_a_shard_that_is_not_stated_as_missing_is_noticed(tmp_path):
    gathered = Gathered(tmp_path)
    assert gathered.check(gathered.found[:3])


def test_too_few_shards_are_noticed(tmp_path):
    gathered = Gathered(tmp_path)
    assert gathered.check(gathered.found[:1], missing=3)


def test_a_shard_that_is_in_twice_is_noticed(tmp_path):
    gathered = Gathered(tmp_path)
    found = [*gathered.found[:3], gathered.found[0]]
    assert gathered.check(found)


def test_records_that_are_not_the_greatest_are_noticed(tmp_path):
    gathered = Gathered(tmp_path)
    records = sorted(s.record for s, _ in gathered.found)
    assert gathered.check(body=b"".join(records[: entry.TOP]))


def test_the_answer_to_another_request_is_noticed(tmp_path):
    gathered = Gathered(tmp_path)
    searcher, _ = gathered.found[0]
    stamp = gathered.soak.make_stamp(searcher, b"c2", is_good=True)
    assert gathered.check([(searcher, stamp), *gathered.found[1:]])


def test_the_stamp_of_a_failure_is_noticed(tmp_path):
    gathered = Gathered(tmp_path)
    searcher, _ = gathered.found[0]
    stamp = gathered.soak.make_stamp(searcher, b"c1", is_good=False)
    assert gathered.check([(searcher, stamp), *gathered.found[1:]])


def test_what_runs_twice_or_after_a_refusal_is_noticed(tmp_path):
    soak = entry.Soak(1, 0, tmp_path)
    searcher = entry.Searcher("one-1", "one", soak)
    soak.once.add(b"c1")
    soak.note_run(searcher, b"c1")
    assert soak.problems == []
    soak.note_run(searcher, b"c1")
    assert len(soak.problems) == 1
    soak.check(b"c2", True, http1.Response(503, [], b""))
    soak.note_run(searcher, b"c2")
    assert len(soak.problems) == 2


@pytest.mark.parametrize("status", entry.NOT_RUN)
def test_a_refusal_of_what_has_run_is_noticed(tmp_path, status):
    soak = entry.Soak(1, 0, tmp_path)
    soak.once.add(b"c1")
    soak.note_run(entry.Searcher("one-1", "one", soak), b"c1")
    soak.check(b"c1", True, http1.Response(status, [], b""))
    assert soak.problems


def test_a_short_run_breaks_no_promise(tmp_path):
    soak = entry.run(1, 4.0, tmp_path)
    assert soak.problems == [], soak.report()
    assert soak.outcomes[200] > 50
    assert soak.faults
