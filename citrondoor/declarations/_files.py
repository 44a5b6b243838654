"""Maps keys of the configuration to documents.

A key is the path of the document's file below the declarations' directory,
without its suffix: `zones`, `vms`, `backends/NAME`, `snapshots/NAME` and
`contracts/NAME`.
"""

import pathlib

from citrondoor import documents
from citrondoor import errors
from citrondoor.schema import declarations

SUFFIX = ".yaml"

_BODIES = {
    "zones": declarations.Zones,
    "vms": declarations.Vms,
    "backends": declarations.Backend,
    "snapshots": declarations.Snapshots,
    "contracts": declarations.Contracts,
}
_FIELDS = {"backends": "backend"}


def parse(key: str, revision: int, text: str) -> declarations.Document:
    """Returns the document published under a key.

    Args:
      key: Key of the configuration service.
      revision: The service's revision of this value.
      text: YAML text; empty when the value was removed.

    Raises:
      errors.DocumentError: The key is unknown or the text breaks the schema.
    """
    topic = key.split("/", 1)[0]
    if topic not in _BODIES:
        raise errors.DocumentError(
            key, 1, f"unknown topic {topic!r}", f"use one of {sorted(_BODIES)}"
        )
    document = declarations.Document(key=key, revision=revision)
    if text:
        body = documents.read_text(_BODIES[topic], key, text)
        setattr(document, _FIELDS.get(topic, topic), body)
    return document


def read_directory(root: pathlib.Path) -> list[declarations.Document]:
    """Reads every declaration below a directory, as revision 0.

    Raises:
      errors.DocumentError: The first document that breaks the schema.
    """
    paths = sorted(root.rglob(f"*{SUFFIX}"))
    if not paths:
        raise errors.DocumentError(
            str(root), 1, "no declarations found", f"add *{SUFFIX} files"
        )
    found = []
    for path in paths:
        key = str(path.relative_to(root).with_suffix(""))
        topic = key.split("/", 1)[0]
        if topic not in _BODIES:
            raise errors.DocumentError(
                str(path),
                1,
                f"unknown topic {topic!r}",
                f"use one of {sorted(_BODIES)}",
            )
        body = documents.read_file(_BODIES[topic], path)
        document = declarations.Document(key=key, revision=0)
        setattr(document, _FIELDS.get(topic, topic), body)
        found.append(document)
    return found
