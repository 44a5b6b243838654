import pytest

from citrondoor import discovery


def test_each_id_has_the_revision_of_its_page():
    revisions = discovery.ListingRevisions(5)
    revisions.add_page(5, "")
    revisions.add_page(7, "i-3")
    revisions.add_page(9, "i-6")
    revisions.add_page(12, None)
    ids = ["i-1", "i-3", "i-4", "i-6", "i-7"]
    assert [revisions.revision_of(i) for i in ids] == [7, 7, 9, 9, 12]
    assert revisions.newest == 12


def test_pages_after_the_last_searcher_hold_no_ids():
    revisions = discovery.ListingRevisions(5)
    revisions.add_page(6, None)
    revisions.add_page(8, None)
    assert revisions.revision_of("i-1") == 6


def test_without_pages_all_ids_were_read_at_once():
    revisions = discovery.ListingRevisions(5)
    assert (revisions.revision_of("i-1"), revisions.newest) == (5, 5)


def test_a_revision_that_falls_between_pages_is_refused():
    revisions = discovery.ListingRevisions(5)
    revisions.add_page(6, "i-3")
    with pytest.raises(ValueError, match="fell from 6 to 4"):
        revisions.add_page(4, None)


def test_an_entry_without_a_creation_was_created_before_all():
    revisions = discovery.ListingRevisions(5)
    revisions.add_created("i-1", 4)
    assert revisions.created_at("i-1") == 4
    assert revisions.created_at("i-2") == -1
