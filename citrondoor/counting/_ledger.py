"""The set of counted requests, mergeable in any order and any number of times.

A request is named by customer, session and number. The same request may be
recorded in two months, when a retry crosses midnight at another daemon; it
counts in the earlier one.
"""

import hashlib
import zlib

from citrondoor.counting import _ranges
from citrondoor.schema import messages

DIGEST_BUCKETS = 64
DIGEST_BYTES = 8


class Key:
    """Names the counted numbers of one session in one month.

    Args:
      customer: Name of the customer.
      month: UTC month, `YYYY-MM`.
      session: Session of the request ids.
    """

    __slots__ = ("bucket", "customer", "month", "session")

    def __init__(self, customer: str, month: str, session: str):
        self.customer = customer
        self.month = month
        self.session = session
        self.bucket = zlib.crc32(session.encode()) % DIGEST_BUCKETS

    def __eq__(self, other) -> bool:
        return (
            self.session == other.session
            and self.month == other.month
            and self.customer == other.customer
        )

    def __hash__(self) -> int:
        return hash(self.session)


class Ledger:
    """Counted requests of all customers that this daemon knows of."""

    __slots__ = ("_digests", "_sets")

    def __init__(self):
        self._sets: dict[Key, _ranges.RangeSet] = {}
        self._digests: list[int | None] = [0] * DIGEST_BUCKETS

    @property
    def range_count(self) -> int:
        """Ranges that all sessions take together."""
        return sum(numbers.range_count for numbers in self._sets.values())

    def add(
        self, customer: str, month: str, request_id: messages.RequestId
    ) -> bool:
        """Counts one request; returns False when it was counted already."""
        key = Key(customer, month, request_id.session)
        numbers = self._sets.get(key)
        if numbers is None:
            numbers = self._sets[key] = _ranges.RangeSet()
        added = numbers.add(request_id.number)
        if added:
            self._digests[key.bucket] = None
        return added

    def merge(self, counts: list[messages.SessionCount]) -> int:
        """Takes counts of another daemon; returns how many were new."""
        added = 0
        for count in counts:
            key = Key(count.customer, count.month, count.session)
            numbers = self._sets.get(key)
            if numbers is None:
                numbers = self._sets[key] = _ranges.RangeSet()
            grown = sum(
                numbers.add_range(r.first, r.last) for r in count.ranges
            )
            if grown:
                added += grown
                self._digests[key.bucket] = None
        return added

    def month_of(
        self, customer: str, request_id: messages.RequestId
    ) -> str | None:
        """Returns the month in which a request counts, or None."""
        months = [
            key.month
            for key, numbers in self._sets.items()
            if key.session == request_id.session
            and key.customer == customer
            and request_id.number in numbers
        ]
        return min(months, default=None)

    def digests(self) -> list[int]:
        """Returns one hash a bucket of sessions, equal for equal contents."""
        for bucket, digest in enumerate(self._digests):
            if digest is None:
                self._digests[bucket] = self._hash_bucket(bucket)
        return list(self._digests)

    def counts_in(self, buckets) -> list[messages.SessionCount]:
        """Returns the contents of some buckets."""
        wanted = set(buckets)
        return [
            self._count(key, numbers)
            for key, numbers in self._sets.items()
            if key.bucket in wanted
        ]

    def all_counts(self) -> list[messages.SessionCount]:
        """Returns the whole contents."""
        return [self._count(key, n) for key, n in self._sets.items()]

    def totals(self, month: str) -> list[messages.CustomerTotal]:
        """Returns the requests of each customer that count in a month."""
        totals: dict[str, int] = {}
        earlier = self._earlier_sets(month)
        for key, numbers in self._sets.items():
            if key.month != month:
                continue
            repeated = self._overlap(
                numbers, earlier.get((key.customer, key.session), ())
            )
            totals[key.customer] = (
                totals.get(key.customer, 0) + len(numbers) - repeated
            )
        return [
            messages.CustomerTotal(customer, month, requests)
            for customer, requests in sorted(totals.items())
        ]

    def _earlier_sets(
        self, month: str
    ) -> dict[tuple[str, str], list[_ranges.RangeSet]]:
        found: dict[tuple[str, str], list[_ranges.RangeSet]] = {}
        for key, numbers in self._sets.items():
            if key.month < month:
                place = (key.customer, key.session)
                found.setdefault(place, []).append(numbers)
        return found

    def _overlap(self, numbers: _ranges.RangeSet, earlier) -> int:
        if not earlier:
            return 0
        union = _ranges.RangeSet()
        for other in earlier:
            for r in other.ranges():
                union.add_range(r.first, r.last)
        before = len(union)
        for r in numbers.ranges():
            union.add_range(r.first, r.last)
        return len(numbers) - (len(union) - before)

    def _hash_bucket(self, bucket: int) -> int:
        # Order-independent: sessions arrive in different orders.
        mixed = 0
        for key, numbers in self._sets.items():
            if key.bucket == bucket:
                mixed ^= self._hash_session(key, numbers)
        return mixed

    def _hash_session(self, key: Key, numbers: _ranges.RangeSet) -> int:
        text = f"{key.customer}/{key.month}/{key.session}:" + ",".join(
            f"{r.first}-{r.last}" for r in numbers.ranges()
        )
        # Digests are joined by exclusive or. A checksum would not do: equal
        # differences in two sessions change it equally, and cancel out.
        digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
        return int.from_bytes(digest.digest(), "big", signed=True)

    def _count(
        self, key: Key, numbers: _ranges.RangeSet
    ) -> messages.SessionCount:
        return messages.SessionCount(
            key.customer, key.month, key.session, numbers.ranges()
        )
