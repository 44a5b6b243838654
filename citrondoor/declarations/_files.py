"""Parses declarations from the configuration service or from files.

A document's key is the path of its file relative to the directory of
declarations, without the suffix: `zones`, `vms`, `backends/NAME`,
`snapshots/NAME` and `contracts/NAME`. The part before the first `/` is the
document's topic; it determines the schema class.
"""

import pathlib

from citrondoor import documents
from citrondoor import errors
from citrondoor.schema import declarations

SUFFIX = ".yaml"

_CLASS_BY_TOPIC = {
    "zones": declarations.Zones,
    "vms": declarations.Vms,
    "backends": declarations.Backend,
    "snapshots": declarations.Snapshots,
    "contracts": declarations.Contracts,
}
_FIELD_BY_TOPIC = {"backends": "backend"}


def parse(key: str, revision: int, text: str) -> declarations.Document:
    """Returns the document that the configuration service has under a key.

    Args:
      key: Key in the configuration service.
      revision: Revision of the value in the service.
      text: YAML text; an empty text stands for a removed value and gives a
        document without content.

    Raises:
      errors.DocumentError: The key has an unknown topic, or the text does not
        match the schema.
    """
    topic = key.split("/", 1)[0]
    if topic not in _CLASS_BY_TOPIC:
        raise errors.DocumentError(
            key,
            1,
            f"unknown topic {topic!r}",
            f"use one of {sorted(_CLASS_BY_TOPIC)}",
        )
    document = declarations.Document(key=key, revision=revision)
    if text:
        body = documents.read_text(_CLASS_BY_TOPIC[topic], key, text)
        setattr(document, _FIELD_BY_TOPIC.get(topic, topic), body)
    return document


def read_directory(root: pathlib.Path) -> list[declarations.Document]:
    """Reads all YAML files below a directory, as documents of revision 0.

    Raises:
      errors.DocumentError: The directory has no declarations, a file has an
        unknown topic, or a document cannot be read or does not match the
        schema.
    """
    paths = sorted(root.rglob(f"*{SUFFIX}"))
    if not paths:
        raise errors.DocumentError(
            str(root), 1, "no declarations found", f"add *{SUFFIX} files"
        )
    parsed = []
    for path in paths:
        key = str(path.relative_to(root).with_suffix(""))
        topic = key.split("/", 1)[0]
        if topic not in _CLASS_BY_TOPIC:
            raise errors.DocumentError(
                str(path),
                1,
                f"unknown topic {topic!r}",
                f"use one of {sorted(_CLASS_BY_TOPIC)}",
            )
        body = documents.read_file(_CLASS_BY_TOPIC[topic], path)
        document = declarations.Document(key=key, revision=0)
        setattr(document, _FIELD_BY_TOPIC.get(topic, topic), body)
        parsed.append(document)
    return parsed
