"""Sessions name the incarnation that arbitrates their requests.

A session reads `VM~INCARNATION~NUMBER`. Request ids are `SESSION.NUMBER`.
"""

import itertools
import re

_PATTERN = re.compile(
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
    """Returns the session, or None when the fleet did not issue it."""
    match = _PATTERN.fullmatch(text)
    if match is None:
        return None
    return Session(match.group(1), int(match.group(2)))


class SessionIssuer:
    """Issues sessions that no other incarnation issues.

    Args:
      vm: Name of this VM.
      incarnation: This incarnation.
    """

    __slots__ = ("_incarnation", "_numbers", "_vm")

    def __init__(self, vm: str, incarnation: int):
        self._vm = vm
        self._incarnation = incarnation
        self._numbers = itertools.count(1)

    def issue(self) -> str:
        """Returns a new session."""
        return f"{self._vm}~{self._incarnation}~{next(self._numbers)}"
