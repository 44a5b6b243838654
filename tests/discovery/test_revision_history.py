from citrondoor.discovery import _revision_history


def make_history(*revisions):
    history = _revision_history.RevisionHistory()
    for revision in revisions:
        history.advance(revision)
    return history


def test_the_last_known_revision_is_not_above_the_one_asked_for():
    history = make_history(5, 8, 8, 12)
    asked = [4, 5, 7, 8, 20]
    assert [history.last_known(revision) for revision in asked] == [
        None,
        5,
        5,
        8,
        12,
    ]


def test_revisions_of_long_ago_are_forgotten():
    count = _revision_history.MAX_REVISIONS
    history = make_history(*range(count + 3))
    assert history.last_known(2) is None
    assert history.last_known(3) == 3


def test_entries_created_after_a_revision_are_found_once():
    history = make_history(5, 8)
    for upstream_id, revision in (("i-2", 9), ("i-1", 7), ("i-2", 9)):
        history.add_created(upstream_id, revision)
    history.add_created("i-0", 5)
    assert history.created_after(4) == ["i-0", "i-1", "i-2"]
    assert history.created_after(5) == ["i-1", "i-2"]
    assert history.created_after(7) == ["i-2"]
    assert history.created_after(9) == []


def test_only_the_entries_created_last_are_remembered():
    history = make_history(5)
    count = _revision_history.MAX_CREATED
    for revision in reversed(range(count + 2)):
        history.add_created(f"i-{revision}", revision)
    assert history.created_after(-1)[0] == "i-2"
    assert len(history.created_after(-1)) == count
