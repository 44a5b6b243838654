"""Compares two sets of documents by short summaries of their items."""

import hashlib

from citrondoor.schema import declarations

DIGEST_BYTES = 8


class Summary:
    """What one document declares.

    Args:
      key: Key of the document.
      items: A digest of each item by its name.
    """

    __slots__ = ("items", "key")

    def __init__(self, key: str, items: dict[str, str]):
        self.key = key
        self.items = items


class Difference:
    """How one document differs.

    Args:
      key: Key of the document.
      change: `added`, `removed` or `changed`.
      details: One line for each item that differs.
    """

    __slots__ = ("change", "details", "key")

    def __init__(self, key: str, change: str, details: list[str]):
        self.key = key
        self.change = change
        self.details = details


def summarize(documents: list[declarations.Document]) -> list[Summary]:
    """Returns the summaries of the documents that have content."""
    summaries = [Summary(d.key, _items_of(d)) for d in documents]
    return [summary for summary in summaries if summary.items]


def compare(before: list[Summary], after: list[Summary]) -> list[Difference]:
    """Returns the differences by key."""
    old = {summary.key: summary for summary in before}
    new = {summary.key: summary for summary in after}
    found = []
    for key in sorted(old.keys() | new.keys()):
        if key not in old:
            found.append(Difference(key, "added", []))
        elif key not in new:
            found.append(Difference(key, "removed", []))
        else:
            details = _compare_items(old[key].items, new[key].items)
            if details:
                found.append(Difference(key, "changed", details))
    return found


def _compare_items(old: dict[str, str], new: dict[str, str]) -> list[str]:
    details = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            details.append(f"+ {name}")
        elif name not in new:
            details.append(f"- {name}")
        elif old[name] != new[name]:
            details.append(f"~ {name}")
    return details


def _items_of(document: declarations.Document) -> dict[str, str]:
    if document.zones:
        return _digests({z.name: z for z in document.zones.zones})
    if document.vms:
        return _digests({vm.name: vm for vm in document.vms.vms})
    if document.contracts:
        return _digests({c.customer: c for c in document.contracts.contracts})
    if document.snapshots:
        return _digests({s.name: s for s in document.snapshots.snapshots})
    if document.backend:
        return _backend_items(document.backend)
    return {}


def _backend_items(backend: declarations.Backend) -> dict[str, str]:
    limits = [
        int(backend.kind),
        backend.slots,
        backend.connections,
        backend.connect_cost_ms,
    ]
    items = {searcher.name: searcher for searcher in backend.searchers}
    return {**_digests(items), **_digests({"(limits)": limits})}


def _digests(items: dict) -> dict[str, str]:
    return {name: _digest(item) for name, item in items.items()}


def _digest(item) -> str:
    # Enumerations print differently after they crossed a link.
    text = repr(item)
    for member in (*declarations.ZoneState, *declarations.VmState):
        text = text.replace(repr(member), str(int(member)))
    data = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return data.hexdigest()
