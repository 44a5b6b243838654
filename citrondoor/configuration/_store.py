"""Accepts documents by revision; what is in force never goes back."""

from citrondoor import declarations as declared
from citrondoor import errors
from citrondoor.schema import declarations


class UpdateResult:
    """What an offer of documents changed.

    Args:
      accepted_keys: Keys that came into force.
      stale_keys: Keys offered at a revision that is known already.
      problems: Why documents wait; empty when none does.
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
    """Holds the documents in force and those that wait.

    A document replaces another only at a higher revision of the platform. A
    set that contradicts itself is not taken: its documents wait, newest first
    kept, until a later document makes the whole agree.
    """

    __slots__ = ("_catalogue", "_checker", "_in_force", "_revision", "_waiting")

    def __init__(self):
        self._in_force: dict[str, declarations.Document] = {}
        self._waiting: dict[str, declarations.Document] = {}
        self._revision = 0
        self._checker = declared.DocumentChecker()
        self._catalogue = declared.Catalogue([])

    @property
    def revision(self) -> int:
        """Highest revision that was offered, in force or waiting."""
        return self._revision

    @property
    def catalogue(self) -> declared.Catalogue:
        """Index of the documents in force."""
        return self._catalogue

    @property
    def pending_count(self) -> int:
        """Documents that wait for the whole to agree."""
        return len(self._waiting)

    def changed_after(self, revision: int) -> list[declarations.Document]:
        """Returns documents newer than a revision, in order of revision."""
        newest = {**self._in_force, **self._waiting}
        found = [d for d in newest.values() if d.revision > revision]
        return sorted(found, key=lambda document: document.revision)

    def offer(self, documents: list[declarations.Document]) -> UpdateResult:
        """Takes what is newer and agrees with the rest."""
        stale_keys = [d.key for d in documents if not self._is_newer(d)]
        fresh = [d for d in documents if self._is_newer(d)]
        if not fresh:
            return UpdateResult([], stale_keys, [])
        for document in fresh:
            self._waiting[document.key] = document
            self._revision = max(self._revision, document.revision)
        return self._settle(stale_keys)

    def _is_newer(self, document: declarations.Document) -> bool:
        known = self._waiting.get(document.key) or self._in_force.get(
            document.key
        )
        return known is None or document.revision > known.revision

    def _settle(self, stale_keys: list[str]) -> UpdateResult:
        candidate = {**self._in_force, **self._waiting}
        problems = self._checker.check(_bodies(candidate))
        if not problems:
            return self._adopt(candidate, list(self._waiting), stale_keys, [])
        # One bad document must not hold back the others: take each that fits.
        candidate, accepted_keys = self._take_fitting()
        return self._adopt(candidate, accepted_keys, stale_keys, problems)

    def _take_fitting(
        self,
    ) -> tuple[dict[str, declarations.Document], list[str]]:
        candidate = dict(self._in_force)
        accepted_keys: list[str] = []
        progressed = True
        while progressed:
            progressed = False
            for document in self._waiting_by_revision():
                if document.key in accepted_keys:
                    continue
                trial = {**candidate, document.key: document}
                if not self._checker.check(_bodies(trial)):
                    candidate = trial
                    accepted_keys.append(document.key)
                    progressed = True
        return candidate, accepted_keys

    def _waiting_by_revision(self) -> list[declarations.Document]:
        return sorted(
            self._waiting.values(), key=lambda document: document.revision
        )

    def _adopt(
        self,
        candidate: dict[str, declarations.Document],
        accepted_keys: list[str],
        stale_keys: list[str],
        problems: list[declared.Problem],
    ) -> UpdateResult:
        for key in accepted_keys:
            old = self._in_force.get(key)
            new = self._waiting.pop(key)
            if old is not None and old.revision >= new.revision:
                raise errors.InvariantError(
                    f"{key} would go from revision {old.revision} back to"
                    f" {new.revision}; report this as a fault of the daemon"
                )
        if accepted_keys:
            self._in_force = candidate
            self._catalogue = declared.Catalogue(
                list(candidate.values()), self._catalogue
            )
        return UpdateResult(accepted_keys, stale_keys, problems)


def _bodies(
    documents: dict[str, declarations.Document],
) -> list[declarations.Document]:
    return list(documents.values())
