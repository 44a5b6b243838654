"""Exceptions of the package.

Their messages say what is wrong and, where there is one, the remedy.
"""


class CitrondoorError(Exception):
    """Base class of the package's exceptions."""


class DocumentError(CitrondoorError):
    """A YAML document is missing or violates its schema.

    Args:
      path: File or key of the document.
      line: Line of the error, from 1.
      found: What is wrong there.
      remedy: What to write instead.
    """

    def __init__(self, path: str, line: int, found: str, remedy: str):
        super().__init__(f"{path}:{line}: {found}; {remedy}")


class FrameError(CitrondoorError):
    """A peer sent a malformed frame or an unexpected message."""


class PeerRefusedError(CitrondoorError):
    """A peer failed authentication or refused a request."""


class PeerUnreachableError(CitrondoorError):
    """No link to the peer is connected, or it did not reply in time."""


class PlatformError(CitrondoorError):
    """The configuration service or the VM list gave no valid response."""


class InvariantError(CitrondoorError):
    """A guarantee of the system would be violated; the daemon shuts down."""


class ParameterError(CitrondoorError):
    """A parameter has an invalid value.

    Args:
      name: Name of the parameter.
      found: Its value.
      remedy: The allowed values.
    """

    def __init__(self, name: str, found: object, remedy: str):
        super().__init__(f"{name} is {found!r}; {remedy}")
