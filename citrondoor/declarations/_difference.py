"""Compares two sets of documents by digests of their items."""

import hashlib

from citrondoor.schema import declarations

# `diff` compares digests from daemons with its own. After a change, all items
# differ between a daemon and a command line of different versions.
DIGEST_BYTES = 8


class Summary:
    """Digests of the items that one document declares.

    Args:
      key: Key of the document.
      items: Hexadecimal digest of each item, by the item's name.
    """

    __slots__ = ("items", "key")

    def __init__(self, key: str, items: dict[str, str]):
        self.key = key
        self.items = items


class Difference:
    """Difference of one document between two sets.

    Args:
      key: Key of the document.
      change: `added`, `removed` or `changed`.
      details: For a changed document, one line for each item that differs:
        `+ name`, `- name` or `~ name` for an added, removed or changed item.
        Otherwise empty.
    """

    __slots__ = ("change", "details", "key")

    def __init__(self, key: str, change: str, details: list[str]):
        self.key = key
        self.change = change
        self.details = details


def summarize(documents: list[declarations.Document]) -> list[Summary]:
    """Returns the summaries of the documents that declare any item."""
    summaries = [
        Summary(document.key, _items_of(document)) for document in documents
    ]
    return [summary for summary in summaries if summary.items]


def compare(before: list[Summary], after: list[Summary]) -> list[Difference]:
    """Returns the documents that differ, in order of their keys."""
    old = {summary.key: summary for summary in before}
    new = {summary.key: summary for summary in after}
    differences = []
    for key in sorted(old.keys() | new.keys()):
        if key not in old:
            differences.append(Difference(key, "added", []))
        elif key not in new:
            differences.append(Difference(key, "removed", []))
        else:
            details = _compare_items(old[key].items, new[key].items)
            if details:
                differences.append(Difference(key, "changed", details))
    return differences


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
        return _digests({zone.name: zone for zone in document.zones.zones})
    if document.vms:
        return _digests({vm.name: vm for vm in document.vms.vms})
    if document.contracts:
        return _digests(
            {
                contract.customer: contract
                for contract in document.contracts.contracts
            }
        )
    if document.snapshots:
        return _digests(
            {
                snapshot.name: snapshot
                for snapshot in document.snapshots.snapshots
            }
        )
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
    # An enumeration value that was decoded from a message is a plain integer
    # and has another repr than the member. Both must give the same digest.
    text = repr(item)
    for member in (*declarations.ZoneState, *declarations.VmState):
        text = text.replace(repr(member), str(int(member)))
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return digest.hexdigest()
