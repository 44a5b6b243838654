"""Compares two sets of documents."""

from citrondoor.schema import declarations


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


def compare(
    before: list[declarations.Document], after: list[declarations.Document]
) -> list[Difference]:
    """Returns the differences by key; revisions are not compared."""
    old = {document.key: document for document in before}
    new = {document.key: document for document in after}
    found = []
    for key in sorted(old.keys() | new.keys()):
        if key not in old:
            found.append(Difference(key, "added", []))
        elif key not in new:
            found.append(Difference(key, "removed", []))
        else:
            details = _compare_documents(old[key], new[key])
            if details:
                found.append(Difference(key, "changed", details))
    return found


def _compare_documents(
    old: declarations.Document, new: declarations.Document
) -> list[str]:
    old_items = _items_of(old)
    new_items = _items_of(new)
    details = []
    for name in sorted(old_items.keys() | new_items.keys()):
        if name not in old_items:
            details.append(f"+ {name}")
        elif name not in new_items:
            details.append(f"- {name}")
        elif old_items[name] != new_items[name]:
            details.append(f"~ {name}")
    return details


def _items_of(document: declarations.Document) -> dict[str, object]:
    if document.zones:
        return {zone.name: zone for zone in document.zones.zones}
    if document.vms:
        return {vm.name: vm for vm in document.vms.vms}
    if document.contracts:
        return {c.customer: c for c in document.contracts.contracts}
    if document.snapshots:
        return {s.name: s for s in document.snapshots.snapshots}
    if document.backend:
        return _backend_items(document.backend)
    return {}


def _backend_items(backend: declarations.Backend) -> dict[str, object]:
    items: dict[str, object] = {s.name: s for s in backend.searchers}
    items["(limits)"] = [
        backend.kind,
        backend.slots,
        backend.connections,
        backend.connect_cost_ms,
    ]
    return items
