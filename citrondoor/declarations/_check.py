"""Checks declared documents against each other."""

import collections
import re

from citrondoor.schema import declarations

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class Problem:
    """An invalid value or a contradiction in the declarations.

    Args:
      key: Key of the document to correct.
      found: What is wrong in the document.
      remedy: What to declare instead.
    """

    __slots__ = ("found", "key", "remedy")

    def __init__(self, key: str, found: str, remedy: str):
        self.key = key
        self.found = found
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.key}: {self.found}; {self.remedy}"


def check(documents: list[declarations.Document]) -> list[Problem]:
    """Returns all problems in a complete set of documents."""
    return DocumentChecker().check(documents)


class _CachedResult:
    """Problems of one document, with the inputs that they depend on."""

    __slots__ = ("backend", "document", "names", "problems")

    def __init__(
        self,
        document: declarations.Document,
        names: list[str],
        backend: declarations.Backend | None,
        problems: list[Problem],
    ):
        self.document = document
        self.names = names
        self.backend = backend
        self.problems = problems

    def is_valid(
        self,
        document: declarations.Document,
        names: list[str],
        backend: declarations.Backend | None,
    ) -> bool:
        # Documents are not changed after they are parsed, so the same object
        # has the same content.
        return (
            self.document is document
            and self.backend is backend
            and self.names == names
        )


class DocumentChecker:
    """Checks sets of documents and caches the result of each document.

    A document is checked again if it, or a declaration that its check refers
    to, has changed since the last call.
    """

    __slots__ = ("_results",)

    def __init__(self):
        self._results: dict[str, _CachedResult] = {}

    def check(self, documents: list[declarations.Document]) -> list[Problem]:
        """Returns all problems in a complete set of documents."""
        run = _CheckRun(documents)
        problems: list[Problem] = []
        for document in documents:
            names = run.referenced_names(document)
            backend = run.referenced_backend(document)
            cached = self._results.get(document.key)
            if cached is None or not cached.is_valid(document, names, backend):
                document_problems = run.check_document(document)
                cached = _CachedResult(
                    document, names, backend, document_problems
                )
                self._results[document.key] = cached
            problems += cached.problems
        return problems + run.check_duplicates()


class _CheckRun:
    """One check of a complete set of documents."""

    __slots__ = ("_backends", "_documents", "_problems", "_zones")

    def __init__(self, documents: list[declarations.Document]):
        self._documents = documents
        self._problems: list[Problem] = []
        self._zones: set[str] = set()
        self._backends: dict[str, declarations.Backend] = {}
        self._collect_referenced()

    def referenced_names(self, document: declarations.Document) -> list[str]:
        """Returns the zones or back ends that a document may refer to."""
        if document.vms or document.backend:
            return sorted(self._zones)
        if document.contracts:
            return sorted(self._backends)
        return []

    def referenced_backend(
        self, document: declarations.Document
    ) -> declarations.Backend | None:
        """Returns the back end of a snapshots document, if it is declared."""
        if document.snapshots is None:
            return None
        return self._backends.get(document.snapshots.backend)

    def check_document(self, document: declarations.Document) -> list[Problem]:
        """Returns the problems of one document."""
        self._problems = []
        self._check_document(document)
        return self._problems

    def check_duplicates(self) -> list[Problem]:
        """Returns a problem for each repeated customer or key digest."""
        self._problems = []
        self._check_contract_duplicates()
        return self._problems

    def _add(self, key: str, found: str, remedy: str) -> None:
        self._problems.append(Problem(key, found, remedy))

    def _collect_referenced(self) -> None:
        for document in self._documents:
            if document.zones:
                names = [zone.name for zone in document.zones.zones]
                self._zones.update(names)
            if document.backend:
                self._backends[document.backend.name] = document.backend

    def _check_document(self, document: declarations.Document) -> None:
        key = document.key
        if document.zones:
            self._check_names(key, document.zones.zones)
        if document.vms:
            self._check_names(key, document.vms.vms)
            self._check_zones(key, document.vms.vms)
        if document.backend:
            self._check_backend(key, document.backend)
        if document.snapshots:
            self._check_snapshots(key, document.snapshots)
        if document.contracts:
            for contract in document.contracts.contracts:
                self._check_contract(key, contract)

    def _check_names(self, key: str, items: list) -> None:
        for name, count in collections.Counter(
            item.name for item in items
        ).items():
            if count > 1:
                self._add(
                    key, f"{name!r} is declared {count} times", "keep one"
                )
            if not NAME_PATTERN.fullmatch(name):
                self._add(
                    key,
                    f"the name {name!r} is not allowed",
                    "use at most 63 lower case letters, digits, '.', '_' and"
                    " '-', with a letter or digit first",
                )

    def _check_zones(self, key: str, items: list) -> None:
        for item in items:
            if item.zone not in self._zones:
                self._add(
                    key,
                    f"{item.name!r} is in the unknown zone {item.zone!r}",
                    "declare the zone in `zones` or correct the name",
                )

    def _check_backend(self, key: str, backend: declarations.Backend) -> None:
        if key != f"backends/{backend.name}":
            self._add(
                key,
                f"the back end is named {backend.name!r}",
                f"publish it as backends/{backend.name}",
            )
        self._check_names(key, backend.searchers)
        self._check_zones(key, backend.searchers)
        if not backend.searchers:
            self._add(
                key, "the back end has no searcher", "declare at least one"
            )

    def _check_snapshots(
        self, key: str, snapshots: declarations.Snapshots
    ) -> None:
        backend = self._backends.get(snapshots.backend)
        if backend is None or backend.kind != declarations.BackendKind.SEARCH:
            self._add(
                key,
                f"{snapshots.backend!r} is not a declared search back end",
                "declare it in `backends` with kind: search",
            )
            return
        searchers = {searcher.name for searcher in backend.searchers}
        self._check_names(key, snapshots.snapshots)
        for snapshot in snapshots.snapshots:
            self._check_names(key, snapshot.shards)
            self._check_replicas(key, snapshot, searchers)

    def _check_replicas(
        self, key: str, snapshot: declarations.Snapshot, searchers: set[str]
    ) -> None:
        for shard in snapshot.shards:
            subject = f"shard {shard.name!r} of snapshot {snapshot.name!r}"
            if not shard.replicas:
                self._add(key, f"{subject} has no replica", "name a searcher")
            for replica in shard.replicas:
                if replica not in searchers:
                    self._add(
                        key,
                        f"{subject} is on the unknown searcher {replica!r}",
                        "declare the searcher or correct the name",
                    )

    def _check_contract(
        self, key: str, contract: declarations.Contract
    ) -> None:
        subject = f"contract of {contract.customer!r}"
        if not NAME_PATTERN.fullmatch(contract.customer):
            self._add(
                key,
                f"the customer's name {contract.customer!r} is not allowed",
                "use at most 63 lower case letters, digits, '.', '_' and '-',"
                " with a letter or digit first",
            )
        for name in contract.backends:
            if name not in self._backends:
                self._add(
                    key,
                    f"{subject} names the unknown back end {name!r}",
                    "declare it in `backends` or correct the name",
                )
        if not contract.key_digests:
            self._add(key, f"{subject} has no key", "add a digest of its key")
        for digest in contract.key_digests:
            if not DIGEST_PATTERN.fullmatch(digest):
                self._add(
                    key,
                    f"{subject} has the invalid key digest {digest[:8]!r}...",
                    "declare the key's SHA-256 as 64 hexadecimal digits, lower"
                    " case",
                )
        policy = contract.policy
        if (policy.coverage_first is None) == (policy.latency_first is None):
            self._add(
                key,
                f"{subject} does not set exactly one answer policy",
                "set either coverage_first or latency_first",
            )
        self._check_quantity(key, contract, subject)

    def _check_quantity(
        self, key: str, contract: declarations.Contract, subject: str
    ) -> None:
        if 0 < contract.monthly_quantity < contract.burst:
            self._add(
                key,
                f"{subject} has a burst of {contract.burst} but only"
                f" {contract.monthly_quantity} requests per month",
                "raise monthly_quantity or lower burst",
            )

    def _check_contract_duplicates(self) -> None:
        customers: dict[str, str] = {}
        digests: dict[str, str] = {}
        for document in self._documents:
            if not document.contracts:
                continue
            for contract in document.contracts.contracts:
                self._check_customer_is_unique(
                    document.key, contract.customer, customers
                )
                for digest in contract.key_digests:
                    self._check_digest_is_unique(
                        document.key, contract, digest, digests
                    )

    def _check_customer_is_unique(
        self, key: str, customer: str, seen: dict
    ) -> None:
        if customer in seen:
            self._add(
                key,
                f"{customer!r} has a contract in {seen[customer]!r} already",
                "keep one contract per customer",
            )
        seen[customer] = key

    def _check_digest_is_unique(
        self,
        key: str,
        contract: declarations.Contract,
        digest: str,
        seen: dict,
    ) -> None:
        if digest in seen:
            self._add(
                key,
                f"{contract.customer!r} has a key digest that"
                f" {seen[digest]!r} has already",
                "give each customer its own key and list each digest once",
            )
        seen[digest] = contract.customer
