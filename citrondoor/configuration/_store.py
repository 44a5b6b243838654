"""Activates configuration documents; no key returns to an older revision."""

from citrondoor import declarations as declared
from citrondoor import errors
from citrondoor.schema import declarations


class UpdateResult:
    """Outcome of `Store.offer`.

    Args:
      accepted_keys: Keys whose documents became active.
      stale_keys: Keys offered at a revision that is not above the known one.
      problems: Why documents are pending; empty if all became active or none
        was newer.
    """

    __slots__ = ("accepted_keys", "problems", "stale_keys")

    def __init__(
        self,
        accepted_keys: list[str],
        stale_keys: list[str],
        problems: list[declared.Problem],
    ):
        self.accepted_keys = accepted_keys
        self.stale_keys = stale_keys
        self.problems = problems


class Store:
    """Holds the active and the pending documents.

    A document replaces another of its key only at a higher revision of the
    platform, and becomes active only if it is consistent with the other active
    documents. Until then it is pending: the latest document of each key is
    kept and checked again with each later update.
    """

    __slots__ = ("_active", "_catalogue", "_checker", "_pending", "_revision")

    def __init__(self):
        self._active: dict[str, declarations.Document] = {}
        self._pending: dict[str, declarations.Document] = {}
        self._revision = 0
        self._checker = declared.DocumentChecker()
        self._catalogue = declared.Catalogue([])

    @property
    def revision(self) -> int:
        """Highest revision that was offered, active or pending."""
        return self._revision

    @property
    def catalogue(self) -> declared.Catalogue:
        """Index of the active documents."""
        return self._catalogue

    @property
    def pending_count(self) -> int:
        """Number of documents that contradict the active ones."""
        return len(self._pending)

    def changed_after(self, revision: int) -> list[declarations.Document]:
        """Returns active and pending documents above a revision, in order."""
        latest = {**self._active, **self._pending}
        changed = [d for d in latest.values() if d.revision > revision]
        return sorted(changed, key=lambda document: document.revision)

    def offer(self, documents: list[declarations.Document]) -> UpdateResult:
        """Stores newer documents and activates those that are consistent."""
        stale_keys = [d.key for d in documents if not self._is_newer(d)]
        newer = [d for d in documents if self._is_newer(d)]
        if not newer:
            return UpdateResult([], stale_keys, [])
        for document in newer:
            self._pending[document.key] = document
            self._revision = max(self._revision, document.revision)
        return self._activate_consistent(stale_keys)

    def _is_newer(self, document: declarations.Document) -> bool:
        current = self._pending.get(document.key) or self._active.get(
            document.key
        )
        return current is None or document.revision > current.revision

    def _activate_consistent(self, stale_keys: list[str]) -> UpdateResult:
        candidate = {**self._active, **self._pending}
        problems = self._checker.check(_document_list(candidate))
        if not problems:
            return self._activate(
                candidate, list(self._pending), stale_keys, []
            )
        # A bad document must not block the others: activates the documents that
        # are consistent without it.
        candidate, accepted_keys = self._select_consistent()
        return self._activate(candidate, accepted_keys, stale_keys, problems)

    def _select_consistent(
        self,
    ) -> tuple[dict[str, declarations.Document], list[str]]:
        candidate = dict(self._active)
        accepted_keys: list[str] = []
        has_progress = True
        while has_progress:
            has_progress = False
            for document in self._pending_by_revision():
                if document.key in accepted_keys:
                    continue
                extended = {**candidate, document.key: document}
                if not self._checker.check(_document_list(extended)):
                    candidate = extended
                    accepted_keys.append(document.key)
                    has_progress = True
        return candidate, accepted_keys

    def _pending_by_revision(self) -> list[declarations.Document]:
        return sorted(
            self._pending.values(), key=lambda document: document.revision
        )

    def _activate(
        self,
        candidate: dict[str, declarations.Document],
        accepted_keys: list[str],
        stale_keys: list[str],
        problems: list[declared.Problem],
    ) -> UpdateResult:
        for key in accepted_keys:
            old = self._active.get(key)
            new = self._pending.pop(key)
            if old is not None and old.revision >= new.revision:
                raise errors.InvariantError(
                    f"{key} would go from revision {old.revision} back to"
                    f" {new.revision}; report this as a fault of the daemon"
                )
        if accepted_keys:
            self._active = candidate
            self._catalogue = declared.Catalogue(
                list(candidate.values()), self._catalogue
            )
        return UpdateResult(accepted_keys, stale_keys, problems)


def _document_list(
    documents: dict[str, declarations.Document],
) -> list[declarations.Document]:
    return list(documents.values())
