"""Tells at which revision of the store each part of a listing was read.

A listing arrives page by page, and the store changes meanwhile. Each page shows
its part of the searchers as of the store's revision at that moment: their
entries, and that there are no others. All changes up to the revision of the
first page are in the listing; of later ones, those in pages read after them.
"""

import bisect


class ListingRevisions:
    """The revisions of the pages of one listing.

    Args:
      revision: Revision of the first page.
    """

    __slots__ = ("_created_at", "_last_ids", "_page_revisions", "_revision")

    def __init__(self, revision: int):
        self._revision = revision
        # Last id and revision of each page; the last page has no last id.
        self._last_ids: list[str] = []
        self._page_revisions: list[int] = []
        self._created_at: dict[str, int] = {}

    @property
    def newest(self) -> int:
        """Revision of the last page."""
        return (
            self._page_revisions[-1] if self._page_revisions else self._revision
        )

    def add_page(self, revision: int, last_id: str | None) -> None:
        """Adds the next page.

        Args:
          revision: Revision of the store when the page was read.
          last_id: All ids up to this one, in the order of the listing, are in
            this page or an earlier one; None if these are all ids.

        Raises:
          ValueError: The revision is lower than that of the page before.
        """
        if revision < self.newest:
            raise ValueError(
                f"the store's revision fell from {self.newest} to {revision}"
                " between two pages"
            )
        self._page_revisions.append(revision)
        if last_id is not None:
            self._last_ids.append(last_id)

    def add_created(self, upstream_id: str, revision: int) -> None:
        """Adds the revision at which a searcher's entry was created."""
        self._created_at[upstream_id] = revision

    def revision_of(self, upstream_id: str) -> int:
        """Returns the revision at which an id was read, or was missing."""
        page = bisect.bisect_left(self._last_ids, upstream_id)
        if page < len(self._page_revisions):
            return self._page_revisions[page]
        return self.newest

    def created_at(self, upstream_id: str) -> int:
        """Returns the revision at which an entry was created, -1 if unknown."""
        return self._created_at.get(upstream_id, -1)
