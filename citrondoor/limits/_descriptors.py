"""Divides the descriptors of a daemon among those who connect to it.

Handles more callers than the process can have descriptors: each takes one, and
without a share of their own the store, peers and searchers would get none.
"""

import enum

# Descriptors that the platform reserves for files, of those it allows.
PLATFORM_FILE_DESCRIPTORS = 200
# Descriptors of the process itself: files, event loop, listening sockets.
OWN_DESCRIPTORS = 32
# Parts of the descriptors for sockets. What they leave is for connections to
# searchers and the store, and to and from peers.
CALLER_SHARE = 0.7
SURPLUS_SHARE = 0.03
# For each of the addresses that are not for requests of callers.
SIDE_SHARE = 0.02
_LEAST_CONNECTIONS = 4
# Part of the idle time limit after which an idle connection gives way: its
# caller may still use it, and a request that is under way then is lost.
IDLE_SHARE = 0.5


class Admission(enum.Enum):
    """What happens to a connection that has been accepted."""

    # It is served.
    SERVE = 1
    # Its first request is refused, and it is closed.
    REFUSE = 2
    # It is closed at once.
    CLOSE = 3
    # It is served in place of the oldest one, which is closed.
    REPLACE = 4


class ConnectionBound:
    """Bounds the open connections of one listening address.

    Args:
      max_served: Connections that are served.
      max_surplus: Further connections, whose requests are refused; 0 lets
        the oldest connection give way to a new one.

    Attributes:
      refused_count: Connections whose requests were refused.
      closed_count: Connections closed without an answer.
      gave_way_count: Idle connections closed for a new caller's request.
    """

    __slots__ = (
        "_max_served",
        "_max_surplus",
        "closed_count",
        "gave_way_count",
        "refused_count",
    )

    def __init__(self, max_served: int, max_surplus: int):
        self._max_served = max_served
        self._max_surplus = max_surplus
        self.closed_count = 0
        self.gave_way_count = 0
        self.refused_count = 0

    @property
    def max_served(self) -> int:
        """Connections that are served."""
        return self._max_served

    def admit(self, served_count: int, surplus_count: int) -> Admission:
        """Decides on a further connection, and counts it if one is closed.

        Args:
          served_count: Open connections that are served.
          surplus_count: Open connections whose requests are refused.
        """
        if served_count < self._max_served:
            return Admission.SERVE
        if surplus_count < self._max_surplus:
            return Admission.REFUSE
        self.closed_count += 1
        return Admission.CLOSE if self._max_surplus else Admission.REPLACE

    def gives_way(self, idle_ms: float, idle_timeout_ms: int) -> bool:
        """Returns whether an idle connection gives way to a new caller.

        Args:
          idle_ms: How long no request has been in progress on it.
          idle_timeout_ms: Time limit of an idle connection.
        """
        return idle_ms >= idle_timeout_ms * IDLE_SHARE

    def record_giving_way(self) -> None:
        """Counts an idle connection that has given way."""
        self.gave_way_count += 1

    def record_refusal(self) -> None:
        """Counts a connection whose request was refused."""
        self.refused_count += 1


class DescriptorShares:
    """Shares of the descriptors of one daemon.

    Args:
      kernel_limit: Limit of the kernel, `RLIMIT_NOFILE`.
      max_fds: Limit of the platform; 0 if it states none.
    """

    __slots__ = ("_sockets", "limit")

    def __init__(self, kernel_limit: int, max_fds: int):
        self.limit = min(kernel_limit, max_fds or kernel_limit)
        self._sockets = kernel_limit - OWN_DESCRIPTORS
        if max_fds:
            # A small limit still leaves half of it for sockets.
            reserved = min(PLATFORM_FILE_DESCRIPTORS, max_fds // 2)
            self._sockets = min(self._sockets, max_fds - reserved)

    @property
    def sockets(self) -> int:
        """Descriptors for sockets."""
        return self._sockets

    def bounds(self) -> dict[str, ConnectionBound]:
        """Returns the bounds of the listening addresses, by name."""
        bounds = {
            name: ConnectionBound(self._part(SIDE_SHARE), 0)
            for name in ("readiness", "directory", "metrics")
        }
        bounds["front"] = ConnectionBound(
            self._part(CALLER_SHARE), self._part(SURPLUS_SHARE)
        )
        return bounds

    def _part(self, share: float) -> int:
        return max(_LEAST_CONNECTIONS, int(self._sockets * share))
