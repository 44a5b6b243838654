"""Reads one document from text or a file."""

import pathlib

from citrondoor import errors
from citrondoor.documents import _build
from citrondoor.documents import _nodes


def read_text(kind: type, path: str, text: str):
    """Returns an instance of `kind` from YAML text.

    Args:
      kind: Generated class of the schema.
      path: File or key that errors name.
      text: The YAML text.

    Raises:
      errors.DocumentError: One line with place, value found and remedy.
    """
    return _build.Builder(path).build(kind, _nodes.compose(path, text))


def read_file(kind: type, path: pathlib.Path):
    """Returns an instance of `kind` from a YAML file.

    Raises:
      errors.DocumentError: The file is missing, too large or breaks the schema.
    """
    try:
        with path.open("rb") as source:
            data = source.read(_nodes.MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        raise errors.DocumentError(
            str(path),
            1,
            f"cannot be read: {error.strerror}",
            "name a readable file",
        ) from error
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise errors.DocumentError(
            str(path), 1, "is not UTF-8 text", "save it as UTF-8"
        ) from error
    return read_text(kind, str(path), text)
