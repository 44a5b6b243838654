"""Divides the descriptors of a daemon among those who connect to it.

Handles more callers than the process can have descriptors: each takes one, and
without a share of their own the store, peers and searchers would get none.
"""

import enum
from collections.abc import Callable
from collections.abc import Iterable

# Descriptors that the platform reserves for files, of those it allows.
PLATFORM_FILE_DESCRIPTORS = 200
# Descriptors of the process itself: files, event loop, listening sockets.
OWN_DESCRIPTORS = 32
# Parts of the descriptors for sockets. What they leave is for connections to
# searchers and the store, and to and from peers, which have half of it.
CALLER_SHARE = 0.7
SURPLUS_SHARE = 0.03
# For each of the addresses that are not for requests of callers.
SIDE_SHARE = 0.02
_LEAST_CONNECTIONS = 4
# Part of the idle time limit after which an idle connection gives way: its
# caller may still use it, and a request that is under way then is lost.
IDLE_SHARE = 0.5
# Links to and from one process of a peer: one that it keeps, and one with which
# it looks for a member that it takes for lost.
LINKS_PER_PEER = 2
# A link that has been silent for longer, which is several heartbeats, gives way
# before others.
SILENT_MS = 2000
# When all links are in use, none is chosen again within this time: to look at
# each of them for each connection that is closed would take long.
_FULL_MS = 100


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


class LinkUse:
    """An accepted link of a peer, as far as it matters for what gives way.

    Args:
      opened_at: Clock time in ms.
      give_way: Called when the link has to be closed.

    Attributes:
      give_way: As above.
      heard_at: Clock time of the last message in ms.
      is_replaced: Whether newer links of the same process take its place.
      peer: Name and incarnation of the peer; None before it has proved that it
        has the key of the cluster.
    """

    __slots__ = ("give_way", "heard_at", "is_replaced", "peer")

    def __init__(self, opened_at: int, give_way: Callable[[], None]):
        self.give_way = give_way
        self.heard_at = opened_at
        self.is_replaced = False
        self.peer: tuple[str, int] | None = None


class _Worth(enum.IntEnum):
    """What a link is worth; the least gives way first."""

    REPLACED = 1
    SILENT = 2
    # The peer is not a member that is alive, or not yet.
    NO_MEMBER = 3
    IN_USE = 4


class LinkBound:
    """Bounds the links to and from peers, and chooses which one gives way.

    Args:
      max_served: Links in both directions.

    Attributes:
      closed_count: Links that gave way to another one.
      refused_count: Connections closed at once, as all links are in use.
    """

    __slots__ = ("_full_at", "_max_served", "closed_count", "refused_count")

    def __init__(self, max_served: int):
        self._max_served = max_served
        # When all links were last found to be in use.
        self._full_at = -_FULL_MS
        self.closed_count = 0
        self.refused_count = 0

    @property
    def max_served(self) -> int:
        """Links in both directions."""
        return self._max_served

    @property
    def max_dialled(self) -> int:
        """Links that this daemon opens, so that peers can open theirs."""
        return max(1, self._max_served // 2)

    def admit(
        self,
        link_count: int,
        uses: Iterable[LinkUse],
        is_member: Callable[[str], bool],
        now: int,
    ) -> tuple[Admission, LinkUse | None]:
        """Decides on a further connection, and counts what is closed for it.

        Args:
          link_count: Open links in both directions, with those whose peer is
            not known yet.
          uses: Accepted links that may give way, the oldest first.
          is_member: Returns whether a VM is a member that is alive.
          now: Clock time in ms.

        Returns:
          `SERVE`, `CLOSE`, or `REPLACE` and the link that gives way.
        """
        if link_count < self._max_served:
            return Admission.SERVE, None
        if now - self._full_at >= _FULL_MS:
            loser = _choose_loser(uses, is_member, now)
            if loser is not None:
                self.closed_count += 1
                return Admission.REPLACE, loser
            self._full_at = now
        self.refused_count += 1
        return Admission.CLOSE, None

    def choose_replaced(
        self, uses: Iterable[LinkUse], new: LinkUse
    ) -> LinkUse | None:
        """Returns the link whose place a new one of the same process takes.

        Args:
          uses: Accepted links with the new one, the oldest first.
          new: The new one.
        """
        same = [u for u in uses if u.peer == new.peer and not u.is_replaced]
        if len(same) <= LINKS_PER_PEER:
            return None
        same[0].is_replaced = True
        self.closed_count += 1
        return same[0]


def _choose_loser(
    uses: Iterable[LinkUse], is_member: Callable[[str], bool], now: int
) -> LinkUse | None:
    loser = None
    least = (_Worth.IN_USE, 0)
    for use in uses:
        if use.peer is None:
            # Has not proved that it has the key of the cluster.
            return use
        worth = (_worth_of(use, is_member, now), use.heard_at)
        if worth[0] < _Worth.IN_USE and worth < least:
            loser, least = use, worth
    return loser


def _worth_of(
    use: LinkUse, is_member: Callable[[str], bool], now: int
) -> _Worth:
    if use.is_replaced:
        return _Worth.REPLACED
    if now - use.heard_at > SILENT_MS:
        return _Worth.SILENT
    return _Worth.IN_USE if is_member(use.peer[0]) else _Worth.NO_MEMBER


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

    def bounds(self) -> dict[str, ConnectionBound | LinkBound]:
        """Returns the bounds of the listening addresses, by name.

        That of `peers` includes the links that this daemon opens.
        """
        bounds: dict[str, ConnectionBound | LinkBound] = {
            name: ConnectionBound(self._part(SIDE_SHARE), 0)
            for name in ("readiness", "directory", "metrics")
        }
        bounds["front"] = ConnectionBound(
            self._part(CALLER_SHARE), self._part(SURPLUS_SHARE)
        )
        taken = sum(bound.max_served for bound in bounds.values())
        remaining = self._sockets - taken - self._part(SURPLUS_SHARE)
        bounds["peers"] = LinkBound(max(_LEAST_CONNECTIONS, remaining // 2))
        return bounds

    def _part(self, share: float) -> int:
        return max(_LEAST_CONNECTIONS, int(self._sockets * share))
