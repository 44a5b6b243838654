"""Reads one YAML document from a text or a file."""

import pathlib
from collections.abc import Callable

from citrondoor import errors
from citrondoor.documents import _build
from citrondoor.documents import _nodes


def read_text(
    schema_class: type,
    path: str,
    text: str,
    on_unknown: Callable[[errors.DocumentError], None] | None = None,
):
    """Returns an instance of a generated class from YAML text.

    Args:
      schema_class: Generated class of the schema.
      path: File or key of the document, for error messages.
      text: The YAML text.
      on_unknown: Called with the error of each unknown key, which is ignored
        then; None means that an unknown key is an error.

    Raises:
      errors.DocumentError: The text does not match the schema. The message
        has one line with the path, line, fault and remedy.
    """
    builder = _build.Builder(path, on_unknown)
    return builder.build(schema_class, _nodes.compose(path, text))


def read_file(
    schema_class: type,
    path: pathlib.Path,
    on_unknown: Callable[[errors.DocumentError], None] | None = None,
):
    """Returns an instance of a generated class from a YAML file.

    Args:
      schema_class: Generated class of the schema.
      path: The file, in UTF-8.
      on_unknown: As in `read_text`.

    Raises:
      errors.DocumentError: The file cannot be read, is not UTF-8, is too large
        or does not match the schema. Only the beginning of a file that is too
        large is read; if that ends within a character, the error is that the
        file is not UTF-8.
    """
    try:
        with path.open("rb") as file:
            data = file.read(_nodes.MAX_DOCUMENT_BYTES + 1)
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
    return read_text(schema_class, str(path), text, on_unknown)
