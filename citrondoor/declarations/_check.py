"""Checks that documents agree with each other."""

import collections
import re

from citrondoor.schema import declarations

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class Problem:
    """One contradiction between declarations.

    Args:
      key: Key of the document at fault.
      found: What stands there.
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
    """Returns every contradiction in a whole set of documents."""
    return DocumentChecker().check(documents)


class _Checked:
    """The problems of one document, and what they depended on."""

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
        # Documents do not change: the same object has the same content.
        return (
            self.document is document
            and self.backend is backend
            and self.names == names
        )


class DocumentChecker:
    """Checks sets of documents; what did not change is not checked again."""

    __slots__ = ("_checked",)

    def __init__(self):
        self._checked: dict[str, _Checked] = {}

    def check(self, documents: list[declarations.Document]) -> list[Problem]:
        """Returns every contradiction in a whole set of documents."""
        checker = _Checker(documents)
        problems: list[Problem] = []
        for document in documents:
            names = checker.names_for(document)
            backend = checker.backend_for(document)
            known = self._checked.get(document.key)
            if known is None or not known.is_valid(document, names, backend):
                found = checker.check_document(document)
                known = _Checked(document, names, backend, found)
                self._checked[document.key] = known
            problems += known.problems
        return problems + checker.check_overlap()


class _Checker:
    __slots__ = ("_backends", "_documents", "_problems", "_zones")

    def __init__(self, documents: list[declarations.Document]):
        self._documents = documents
        self._problems: list[Problem] = []
        self._zones: set[str] = set()
        self._backends: dict[str, declarations.Backend] = {}
        self._collect()

    def names_for(self, document: declarations.Document) -> list[str]:
        """Returns the declared names that the check of a document uses."""
        if document.vms or document.backend:
            return sorted(self._zones)
        if document.contracts:
            return sorted(self._backends)
        return []

    def backend_for(
        self, document: declarations.Document
    ) -> declarations.Backend | None:
        """Returns the back end that the check of a document uses."""
        if document.snapshots is None:
            return None
        return self._backends.get(document.snapshots.backend)

    def check_document(self, document: declarations.Document) -> list[Problem]:
        """Returns the contradictions of one document."""
        self._problems = []
        self._check_document(document)
        return self._problems

    def check_overlap(self) -> list[Problem]:
        """Returns the contradictions between contracts."""
        self._problems = []
        self._check_contract_overlap()
        return self._problems

    def _add(self, key: str, found: str, remedy: str) -> None:
        self._problems.append(Problem(key, found, remedy))

    def _collect(self) -> None:
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
            self._check_placed(key, document.vms.vms)
        if document.backend:
            self._check_backend(key, document.backend)
        if document.snapshots:
            self._check_snapshots(key, document.snapshots)
        if document.contracts:
            for contract in document.contracts.contracts:
                self._check_contract(key, contract)

    def _check_names(self, key: str, items: list) -> None:
        for name, times in collections.Counter(i.name for i in items).items():
            if times > 1:
                self._add(
                    key, f"{name!r} is declared {times} times", "keep one"
                )
            if not NAME_PATTERN.fullmatch(name):
                self._add(
                    key,
                    f"the name {name!r} is not allowed",
                    "use lower case letters, digits, '.', '_' and '-'",
                )

    def _check_placed(self, key: str, items: list) -> None:
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
        self._check_placed(key, backend.searchers)
        if not backend.searchers:
            self._add(key, "it has no searcher", "declare at least one")

    def _check_snapshots(
        self, key: str, snapshots: declarations.Snapshots
    ) -> None:
        backend = self._backends.get(snapshots.backend)
        if backend is None or backend.kind != declarations.BackendKind.SEARCH:
            self._add(
                key,
                f"{snapshots.backend!r} is no declared search back end",
                "declare it in `backends` with kind: search",
            )
            return
        known = {searcher.name for searcher in backend.searchers}
        self._check_names(key, snapshots.snapshots)
        for snapshot in snapshots.snapshots:
            self._check_names(key, snapshot.shards)
            self._check_replicas(key, snapshot, known)

    def _check_replicas(
        self, key: str, snapshot: declarations.Snapshot, known: set[str]
    ) -> None:
        for shard in snapshot.shards:
            place = f"shard {shard.name!r} of snapshot {snapshot.name!r}"
            if not shard.replicas:
                self._add(key, f"{place} has no replica", "name a searcher")
            for replica in shard.replicas:
                if replica not in known:
                    self._add(
                        key,
                        f"{place} is on the unknown searcher {replica!r}",
                        "declare the searcher or correct the name",
                    )

    def _check_contract(
        self, key: str, contract: declarations.Contract
    ) -> None:
        place = f"contract of {contract.customer!r}"
        if not NAME_PATTERN.fullmatch(contract.customer):
            self._add(
                key,
                f"the customer's name {contract.customer!r} is not allowed",
                "use lower case letters, digits, '.', '_' and '-'",
            )
        for name in contract.backends:
            if name not in self._backends:
                self._add(
                    key,
                    f"{place} names the unknown back end {name!r}",
                    "declare it in `backends` or correct the name",
                )
        if not contract.key_digests:
            self._add(key, f"{place} has no key", "add a digest of its key")
        for digest in contract.key_digests:
            if not DIGEST_PATTERN.fullmatch(digest):
                self._add(
                    key,
                    f"{place} has the key digest {digest[:8]!r}...",
                    "give the key's SHA-256 as 64 hexadecimal digits",
                )
        policy = contract.policy
        if (policy.coverage_first is None) == (policy.latency_first is None):
            self._add(
                key,
                f"{place} sets not exactly one answer policy",
                "set either coverage_first or latency_first",
            )
        self._check_quantity(key, contract, place)

    def _check_quantity(
        self, key: str, contract: declarations.Contract, place: str
    ) -> None:
        if 0 < contract.monthly_quantity < contract.burst:
            self._add(
                key,
                f"{place} has a burst of {contract.burst} but only"
                f" {contract.monthly_quantity} requests a month",
                "raise monthly_quantity or lower burst",
            )

    def _check_contract_overlap(self) -> None:
        customers: dict[str, str] = {}
        digests: dict[str, str] = {}
        for document in self._documents:
            if not document.contracts:
                continue
            for contract in document.contracts.contracts:
                self._check_single(document.key, contract.customer, customers)
                for digest in contract.key_digests:
                    self._check_digest(document.key, contract, digest, digests)

    def _check_single(self, key: str, customer: str, seen: dict) -> None:
        if customer in seen:
            self._add(
                key,
                f"{customer!r} has a contract in {seen[customer]!r} already",
                "keep one contract a customer",
            )
        seen[customer] = key

    def _check_digest(
        self,
        key: str,
        contract: declarations.Contract,
        digest: str,
        seen: dict,
    ) -> None:
        if digest in seen:
            self._add(
                key,
                f"{contract.customer!r} has a key of {seen[digest]!r}",
                "give each customer a key of its own",
            )
        seen[digest] = contract.customer
