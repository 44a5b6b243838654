"""Typed errors. Each message states what was found and the remedy."""


class CitrondoorError(Exception):
    """Base of every error of the package."""


class DocumentError(CitrondoorError):
    """A YAML document breaks its schema.

    Args:
      path: File or key of the document.
      line: Line of the fault, from 1.
      found: What stands there.
      remedy: What to write instead.
    """

    def __init__(self, path: str, line: int, found: str, remedy: str):
        super().__init__(f"{path}:{line}: {found}; {remedy}")


class FrameError(CitrondoorError):
    """A peer sent bytes that are no valid frame."""


class PeerRefusedError(CitrondoorError):
    """A peer failed authentication or refused a request."""


class PeerUnreachableError(CitrondoorError):
    """No link to the peer is up, or it did not reply in time."""


class PlatformError(CitrondoorError):
    """The configuration service or the VM list gave no usable answer."""


class InvariantError(CitrondoorError):
    """A promise of the system is about to be broken; the daemon stops."""


class ParameterError(CitrondoorError):
    """A parameter is outside of its allowed range.

    Args:
      name: Name of the parameter.
      found: Its value.
      remedy: The allowed values.
    """

    def __init__(self, name: str, found: object, remedy: str):
        super().__init__(f"{name} is {found!r}; {remedy}")
