"""Exceptions of the package.

Their messages say what is wrong and, where there is one, the remedy.
"""


class CitrondoorError(Exception):
    """Base class of the package's exceptions."""


class DocumentError(CitrondoorError):
    """A YAML document is missing or invalid.

    Args:
      path: File or key of the document.
      line: Line of the error, from 1; 1 also if it isn't known.
      found: What is wrong there.
      remedy: What to write instead.
    """

    def __init__(self, path: str, line: int, found: str, remedy: str):
        super().__init__(f"{path}:{line}: {found}; {remedy}")


class FrameError(CitrondoorError):
    """A peer sent a malformed frame or an unexpected message."""


class MessageTooLargeError(FrameError):
    """A peer sent a message that would take too much memory once decoded."""


class PeerRefusedError(CitrondoorError):
    """A peer failed authentication, is the wrong VM, or refused a request."""


class PeerUnreachableError(CitrondoorError):
    """A daemon isn't declared, can't be reached, or did not reply in time."""


class PlatformError(CitrondoorError):
    """The configuration service, VM list or store gave no valid response."""


class ViewTooLargeError(PlatformError):
    """Routes and searchers would take more memory than they may."""


class OldEraError(PlatformError):
    """The store answered from an era before the one that is known.

    Args:
      found: Era of the answer.
      known: Era that this daemon knows of.
    """

    def __init__(self, found: int, known: int):
        super().__init__(
            f"an answer of era {found}, while era {known} of the store is"
            " known; the view stays as it is: check that all VMs use one store"
        )


class InvariantError(CitrondoorError):
    """It would be unsafe to continue.

    A later incarnation of this daemon is running, or a document would go back
    to an older revision. The daemon shuts down if this exception ends one of
    its main tasks.
    """


class ParameterError(CitrondoorError):
    """A parameter has an invalid value.

    Args:
      name: Name of the parameter.
      found: Its value.
      remedy: The allowed values.
    """

    def __init__(self, name: str, found: object, remedy: str):
        super().__init__(f"{name} is {found!r}; {remedy}")
