"""Sessions, which name the daemon incarnation that arbitrates their requests.

A session has the form `VM~INCARNATION~NUMBER`. Request ids have the form
`SESSION.NUMBER`.
"""

import itertools
import re

_SESSION_PATTERN = re.compile(
    r"([a-z0-9][a-z0-9._-]{0,62})~([0-9]{1,16})~([0-9]{1,12})"
)


class Session:
    """A parsed session.

    Args:
      vm: VM of the arbiter.
      incarnation: Incarnation of the arbiter.
    """

    __slots__ = ("incarnation", "vm")

    def __init__(self, vm: str, incarnation: int):
        self.vm = vm
        self.incarnation = incarnation


def parse_session(text: str) -> Session | None:
    """Returns the parsed session, or None if the text has another form."""
    match = _SESSION_PATTERN.fullmatch(text)
    if match is None:
        return None
    return Session(match.group(1), int(match.group(2)))


class SessionIssuer:
    """Issues sessions that are unique across VMs and incarnations.

    Args:
      vm: Name of this VM.
      incarnation: Incarnation of this daemon.
    """

    __slots__ = ("_incarnation", "_numbers", "_vm")

    def __init__(self, vm: str, incarnation: int):
        self._vm = vm
        self._incarnation = incarnation
        self._numbers = itertools.count(1)

    def issue(self) -> str:
        """Returns a session that was not issued before."""
        return f"{self._vm}~{self._incarnation}~{next(self._numbers)}"
