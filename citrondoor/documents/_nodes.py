"""Parses YAML text to nodes that know their lines."""

import yaml

from citrondoor import errors

MAX_DOCUMENT_BYTES = 1_048_576

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def compose(path: str, text: str) -> yaml.Node:
    """Returns the root node of a document.

    Raises:
      errors.DocumentError: The text is no single YAML document.
    """
    size = len(text.encode())
    if size > MAX_DOCUMENT_BYTES:
        raise errors.DocumentError(
            path,
            1,
            f"the document has {size} bytes",
            f"split it to at most {MAX_DOCUMENT_BYTES} bytes",
        )
    try:
        node = yaml.compose(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        raise errors.DocumentError(
            path, line, f"no YAML: {error.problem}", "mend the syntax"
        ) from error
    except yaml.YAMLError as error:
        raise errors.DocumentError(
            path, 1, f"no YAML: {error}".splitlines()[0], "mend the syntax"
        ) from error
    if node is None:
        raise errors.DocumentError(
            path, 1, "the document is empty", "write its settings"
        )
    return node


def line_of(node: yaml.Node) -> int:
    """Returns the line of a node, from 1."""
    return node.start_mark.line + 1
