"""The set of counted requests, as a state-based CRDT.

Merging is commutative, associative and idempotent. A request is identified by
customer, session and number. The same request may be recorded in two months,
when another daemon counts a retry after the month has changed; it counts in
the earlier one.
"""

import hashlib
import zlib

from citrondoor.counting import _ranges
from citrondoor.schema import messages

# Both must be the same on all daemons, which compare their digests bucket by
# bucket. Digests are sent as signed 64-bit integers.
DIGEST_BUCKETS = 64
DIGEST_BYTES = 8


class Key:
    """Identifies the set of counted numbers of one session in one month.

    Args:
      customer: Name of the customer.
      month: UTC month, `YYYY-MM`.
      session: Session part of the request ids.
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
    """Counted requests of all customers in this daemon's local copy."""

    __slots__ = ("_digests", "_sets")

    def __init__(self):
        self._sets: dict[Key, _ranges.RangeSet] = {}
        self._digests: list[int | None] = [0] * DIGEST_BUCKETS

    @property
    def range_count(self) -> int:
        """Number of ranges that are stored for all sessions."""
        return sum(numbers.range_count for numbers in self._sets.values())

    def add(
        self, customer: str, month: str, request_id: messages.RequestId
    ) -> bool:
        """Counts one request; returns whether it is new in this month."""
        key = Key(customer, month, request_id.session)
        numbers = self._sets.get(key)
        if numbers is None:
            numbers = self._sets[key] = _ranges.RangeSet()
        added = numbers.add(request_id.number)
        if added:
            self._digests[key.bucket] = None
        return added

    def merge(self, counts: list[messages.SessionCount]) -> int:
        """Merges counts of another daemon; returns how many were new."""
        added = 0
        for count in counts:
            key = Key(count.customer, count.month, count.session)
            numbers = self._sets.get(key)
            if numbers is None:
                numbers = self._sets[key] = _ranges.RangeSet()
            new_count = sum(
                numbers.add_range(number_range.first, number_range.last)
                for number_range in count.ranges
            )
            if new_count:
                added += new_count
                self._digests[key.bucket] = None
        return added

    def month_of(
        self, customer: str, request_id: messages.RequestId
    ) -> str | None:
        """Returns the earliest month that counts a request, or None."""
        months = [
            key.month
            for key, numbers in self._sets.items()
            if key.session == request_id.session
            and key.customer == customer
            and request_id.number in numbers
        ]
        return min(months, default=None)

    def digests(self) -> list[int]:
        """Returns one hash for each bucket of sessions.

        Ledgers of equal contents have equal hashes.
        """
        for bucket, digest in enumerate(self._digests):
            if digest is None:
                self._digests[bucket] = self._hash_bucket(bucket)
        return list(self._digests)

    def counts_in(self, buckets) -> list[messages.SessionCount]:
        """Returns the counts of the sessions in some buckets."""
        bucket_set = set(buckets)
        return [
            self._make_count(key, numbers)
            for key, numbers in self._sets.items()
            if key.bucket in bucket_set
        ]

    def all_counts(self) -> list[messages.SessionCount]:
        """Returns the counts of all sessions."""
        return [
            self._make_count(key, numbers)
            for key, numbers in self._sets.items()
        ]

    def totals(self, month: str) -> list[messages.CustomerTotal]:
        """Returns the requests of each customer that count in a month."""
        totals: dict[str, int] = {}
        earlier = self._earlier_sets(month)
        for key, numbers in self._sets.items():
            if key.month != month:
                continue
            overlap = self._count_overlap(
                numbers, earlier.get((key.customer, key.session), ())
            )
            totals[key.customer] = (
                totals.get(key.customer, 0) + len(numbers) - overlap
            )
        return [
            messages.CustomerTotal(customer, month, requests)
            for customer, requests in sorted(totals.items())
        ]

    def _earlier_sets(
        self, month: str
    ) -> dict[tuple[str, str], list[_ranges.RangeSet]]:
        sets_by_session: dict[tuple[str, str], list[_ranges.RangeSet]] = {}
        for key, numbers in self._sets.items():
            if key.month < month:
                customer_session = (key.customer, key.session)
                sets_by_session.setdefault(customer_session, []).append(numbers)
        return sets_by_session

    def _count_overlap(self, numbers: _ranges.RangeSet, earlier) -> int:
        if not earlier:
            return 0
        union = _ranges.RangeSet()
        for other in earlier:
            for number_range in other.ranges():
                union.add_range(number_range.first, number_range.last)
        size_before = len(union)
        for number_range in numbers.ranges():
            union.add_range(number_range.first, number_range.last)
        return len(numbers) - (len(union) - size_before)

    def _hash_bucket(self, bucket: int) -> int:
        # Exclusive or does not depend on the order of the sessions, which
        # differs between daemons.
        combined = 0
        for key, numbers in self._sets.items():
            if key.bucket == bucket:
                combined ^= self._hash_session(key, numbers)
        return combined

    def _hash_session(self, key: Key, numbers: _ranges.RangeSet) -> int:
        content = f"{key.customer}/{key.month}/{key.session}:" + ",".join(
            f"{number_range.first}-{number_range.last}"
            for number_range in numbers.ranges()
        )
        # The hashes of a bucket are combined by exclusive or, which rules out a
        # linear checksum: equal differences in two sessions would change both
        # checksums equally and cancel out.
        digest = hashlib.blake2b(content.encode(), digest_size=DIGEST_BYTES)
        return int.from_bytes(digest.digest(), "big", signed=True)

    def _make_count(
        self, key: Key, numbers: _ranges.RangeSet
    ) -> messages.SessionCount:
        return messages.SessionCount(
            key.customer, key.month, key.session, numbers.ranges()
        )
