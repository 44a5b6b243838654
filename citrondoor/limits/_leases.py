"""Moves shares between VMs for a short time.

The lender deducts a share before the grant leaves and takes it back after the
borrower's lease has ended: the borrower counts from before it asked, the
lender from after it granted, and adds a margin for clocks that run apart. A
lost message therefore loses a share for one lease and never doubles it.
"""

LEASE_MS = 1000
# Covers clocks whose rates differ by up to 5%.
LEASE_MARGIN_MS = 50
# Grants smaller than this share are not worth a message.
MIN_GRANT_SHARE = 0.001


class _Lease:
    __slots__ = ("ends_at", "share")

    def __init__(self, share: float, ends_at: int):
        self.share = share
        self.ends_at = ends_at


class _Asked:
    """When a borrower asked last."""

    __slots__ = ("asked_at", "incarnation")

    def __init__(self, incarnation: int, asked_at: int):
        self.incarnation = incarnation
        self.asked_at = asked_at

    def is_before(self, incarnation: int, asked_at: int) -> bool:
        if incarnation != self.incarnation:
            return incarnation > self.incarnation
        return asked_at > self.asked_at


class Lender:
    """What this VM lent to others: shares of a rate, or calls.

    Args:
      lease_ms: Length of a lease, in milliseconds.
    """

    __slots__ = ("_last_asked", "_lease_ms", "_leases")

    def __init__(self, lease_ms: int = LEASE_MS):
        self._lease_ms = lease_ms
        self._last_asked: dict[str, _Asked] = {}
        self._leases: dict[str, list[_Lease]] = {}

    def lent(self, now: int) -> float:
        """Returns the share that borrowers may still use."""
        return sum(self.lent_to(borrower, now) for borrower in self._leases)

    def lent_to(self, borrower: str, now: int) -> float:
        """Returns the share that one borrower may still use.

        A renewal replaces the lease before it, but the borrower may not have
        received it: the larger one counts until it has ended.
        """
        leases = self._leases.get(borrower, ())
        return max((x.share for x in leases if x.ends_at > now), default=0.0)

    def grant_lease(self, borrower: str, share: float, now: int) -> None:
        """Notes a lease that is about to be sent."""
        ends_at = now + self._lease_ms + LEASE_MARGIN_MS
        kept = [x for x in self._leases.get(borrower, ()) if x.ends_at > now]
        self._leases[borrower] = [*kept, _Lease(share, ends_at)]

    def trim(
        self, borrower: str, incarnation: int, asked_at: int, held: float
    ) -> None:
        """Takes back what a borrower says it does not use any more.

        A question that was overtaken by a later one takes nothing back.
        """
        last = self._last_asked.get(borrower)
        if last is not None and not last.is_before(incarnation, asked_at):
            return
        self._last_asked[borrower] = _Asked(incarnation, asked_at)
        for lease in self._leases.get(borrower, ()):
            lease.share = min(lease.share, held)

    def release(self, borrower: str) -> None:
        """Forgets the leases of a borrower that says it uses none."""
        self._leases.pop(borrower, None)

    def drop_ended(self, now: int) -> None:
        """Forgets leases that have ended."""
        for borrower in list(self._leases):
            kept = [x for x in self._leases[borrower] if x.ends_at > now]
            if kept:
                self._leases[borrower] = kept
            else:
                del self._leases[borrower]


class Borrower:
    """Shares that this VM borrowed from others, for one customer."""

    __slots__ = ("_leases", "_reduced_at")

    def __init__(self):
        self._leases: dict[str, _Lease] = {}
        # Grants that were asked for before do not count any more.
        self._reduced_at: dict[str, int] = {}

    @property
    def lenders(self) -> list[str]:
        """VMs whose leases are held."""
        return list(self._leases)

    def reduce(self, lender: str, share: float, now: int) -> float:
        """Uses at most a share from now on; returns what is held."""
        held = self.borrowed_from(lender, now)
        if held <= share:
            return held
        self._leases[lender].share = share
        self._reduced_at[lender] = now
        return share

    def borrowed(self, now: int) -> float:
        """Returns the borrowed share that may be used now."""
        return sum(x.share for x in self._leases.values() if x.ends_at > now)

    def ends_between(self, after: int, until: int) -> list[int]:
        """Returns when leases ended in `(after, until]`, in order."""
        ends = {x.ends_at for x in self._leases.values()}
        return sorted(end for end in ends if after < end <= until)

    def borrowed_from(self, lender: str, now: int) -> float:
        """Returns the share borrowed from one lender."""
        lease = self._leases.get(lender)
        return lease.share if lease and lease.ends_at > now else 0.0

    def apply_grant(
        self, lender: str, share: float, lease_ms: int, asked_at: int
    ) -> None:
        """Takes a grant; it counts from when the question was sent."""
        if asked_at >= self._reduced_at.get(lender, asked_at):
            self._leases[lender] = _Lease(share, asked_at + lease_ms)

    def drop_ended(self, now: int) -> None:
        """Forgets leases that have ended."""
        self._leases = {
            lender: lease
            for lender, lease in self._leases.items()
            if lease.ends_at > now
        }
