"""Short leases by which VMs lend each other shares of a limit.

The lender deducts a share before it sends the grant. It uses the share again
only after the borrower's lease has ended, or after the borrower has reported
that it uses less. The borrower measures the lease from when it sent the
request, the lender from when it granted it, plus a margin for clocks that run
at different rates. A lost message can therefore leave a share unused until the
lease has ended or the borrower has reported that it does not use it, but never
lets two VMs use it.
"""

LEASE_MS = 1000
# Added by the lender; covers clocks whose rates differ by up to 5%.
LEASE_MARGIN_MS = 50
# Fraction of a contract. If less is available or requested, the lender records
# no lease and replies with a grant of 0.
MIN_GRANT_SHARE = 0.001


class _Lease:
    __slots__ = ("ends_at", "share")

    def __init__(self, share: float, ends_at: int):
        self.share = share
        self.ends_at = ends_at


class _RequestStamp:
    """Incarnation and clock of a borrower when it sent a lease request."""

    __slots__ = ("asked_at", "incarnation")

    def __init__(self, incarnation: int, asked_at: int):
        self.incarnation = incarnation
        self.asked_at = asked_at

    def is_before(self, incarnation: int, asked_at: int) -> bool:
        if incarnation != self.incarnation:
            return incarnation > self.incarnation
        return asked_at > self.asked_at


class Lender:
    """Leases that this VM granted to others, of rate shares or of calls.

    Args:
      lease_ms: Length of a lease in ms, without the margin.
    """

    __slots__ = ("_lease_ms", "_leases", "_newest_requests")

    def __init__(self, lease_ms: int = LEASE_MS):
        self._lease_ms = lease_ms
        self._newest_requests: dict[str, _RequestStamp] = {}
        self._leases: dict[str, list[_Lease]] = {}

    def lent(self, now: int) -> float:
        """Returns the share that all borrowers together may still use."""
        return sum(self.lent_to(borrower, now) for borrower in self._leases)

    def lent_to(self, borrower: str, now: int) -> float:
        """Returns the share that one borrower may still use.

        A renewal replaces the previous lease, but the borrower may not have
        received it: the largest share of the leases that have not ended counts.
        """
        leases = self._leases.get(borrower, ())
        return max(
            (lease.share for lease in leases if lease.ends_at > now),
            default=0.0,
        )

    def grant_lease(self, borrower: str, share: float, now: int) -> None:
        """Records a lease; call it before the grant is sent."""
        ends_at = now + self._lease_ms + LEASE_MARGIN_MS
        active = [
            lease
            for lease in self._leases.get(borrower, ())
            if lease.ends_at > now
        ]
        self._leases[borrower] = [*active, _Lease(share, ends_at)]

    def reduce_to(
        self, borrower: str, incarnation: int, asked_at: int, held: float
    ) -> None:
        """Reduces a borrower's leases to what it reports that it still uses.

        A request that arrives after a newer one of the same borrower changes
        nothing.

        Args:
          borrower: VM that sent the request.
          incarnation: The borrower's incarnation.
          asked_at: When it sent the request, by its own clock in ms.
          held: Share that it uses at most from then on.
        """
        newest = self._newest_requests.get(borrower)
        if newest is not None and not newest.is_before(incarnation, asked_at):
            return
        self._newest_requests[borrower] = _RequestStamp(incarnation, asked_at)
        for lease in self._leases.get(borrower, ()):
            lease.share = min(lease.share, held)

    def release(self, borrower: str) -> None:
        """Removes all leases of a borrower that reports it uses none."""
        self._leases.pop(borrower, None)

    def drop_ended(self, now: int) -> None:
        """Removes the leases that have ended."""
        for borrower in list(self._leases):
            active = [
                lease for lease in self._leases[borrower] if lease.ends_at > now
            ]
            if active:
                self._leases[borrower] = active
            else:
                del self._leases[borrower]


class Borrower:
    """Leases that other VMs granted to this VM, for one customer."""

    __slots__ = ("_leases", "_reduced_at")

    def __init__(self):
        self._leases: dict[str, _Lease] = {}
        # When the share of each lender was last reduced, a clock time in ms. A
        # grant for a request sent before that is ignored.
        self._reduced_at: dict[str, int] = {}

    @property
    def lenders(self) -> list[str]:
        """VMs that granted the recorded leases."""
        return list(self._leases)

    def reduce_to(self, lender: str, share: float, now: int) -> float:
        """Reduces the lease of a lender to a share that is still needed.

        Returns:
          The share that this VM may still use of the lender's lease.
        """
        held = self.borrowed_from(lender, now)
        if held <= share:
            return held
        self._leases[lender].share = share
        self._reduced_at[lender] = now
        return share

    def borrowed(self, now: int) -> float:
        """Returns the share that may be used now from all lenders together."""
        return sum(
            lease.share
            for lease in self._leases.values()
            if lease.ends_at > now
        )

    def ends_between(self, after: int, until: int) -> list[int]:
        """Returns the end times of leases in `(after, until]`, ascending."""
        end_times = {lease.ends_at for lease in self._leases.values()}
        return sorted(end for end in end_times if after < end <= until)

    def borrowed_from(self, lender: str, now: int) -> float:
        """Returns the share that may be used now from one lender."""
        lease = self._leases.get(lender)
        return lease.share if lease and lease.ends_at > now else 0.0

    def apply_grant(
        self, lender: str, share: float, lease_ms: int, asked_at: int
    ) -> None:
        """Records a grant; the lease starts when the request was sent.

        Ignores the grant if the lender's share was reduced since then.

        Args:
          lender: VM that granted the lease.
          share: Granted share.
          lease_ms: Length of the lease in ms.
          asked_at: When this VM sent the request, a clock time in ms.
        """
        if asked_at >= self._reduced_at.get(lender, asked_at):
            self._leases[lender] = _Lease(share, asked_at + lease_ms)

    def drop_ended(self, now: int) -> None:
        """Removes the leases that have ended."""
        self._leases = {
            lender: lease
            for lender, lease in self._leases.items()
            if lease.ends_at > now
        }
