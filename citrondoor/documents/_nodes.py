"""Parses YAML text into nodes, which carry their line numbers."""

import yaml

from citrondoor import errors

MAX_DOCUMENT_BYTES = 1_048_576

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def compose(path: str, text: str) -> yaml.Node:
    """Returns the root node of a YAML document.

    Args:
      path: File or key of the document, for error messages.
      text: The YAML text.

    Raises:
      errors.DocumentError: The text is empty, is larger than
        MAX_DOCUMENT_BYTES or is not exactly one valid YAML document.
    """
    size_bytes = len(text.encode())
    if size_bytes > MAX_DOCUMENT_BYTES:
        raise errors.DocumentError(
            path,
            1,
            f"the document has at least {size_bytes} bytes",
            f"split it to at most {MAX_DOCUMENT_BYTES} bytes",
        )
    try:
        node = yaml.compose(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        raise errors.DocumentError(
            path, line, f"invalid YAML: {error.problem}", "correct the syntax"
        ) from error
    except yaml.YAMLError as error:
        raise errors.DocumentError(
            path,
            1,
            f"invalid YAML: {error}".splitlines()[0],
            "correct the syntax",
        ) from error
    if node is None:
        raise errors.DocumentError(
            path, 1, "the document is empty", "add its content"
        )
    return node


def line_of(node: yaml.Node) -> int:
    """Returns the line where a node starts, counted from 1."""
    return node.start_mark.line + 1
