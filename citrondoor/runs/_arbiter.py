"""Decides whether a non-idempotent request may be sent to its back end."""

import enum

from citrondoor import counting
from citrondoor.schema import messages

# Results are kept at least this long for callers that repeat a request, unless
# there are more than `MAX_RESULTS`.
RESULT_TTL_MS = 600_000
MAX_RESULTS = 100_000


class ClaimStatus(enum.IntEnum):
    """State of a request id, as returned by `Arbiter.claim`.

    Attributes:
      CLAIMED: The id was new and is claimed now; its request may be sent.
      IN_PROGRESS: An earlier claim has not finished.
      COMPLETED: The reply is stored.
      RESULT_EXPIRED: The id was claimed before; its reply is deleted.
    """

    CLAIMED = 1
    IN_PROGRESS = 2
    COMPLETED = 3
    RESULT_EXPIRED = 4


class _Result:
    __slots__ = ("reply", "stored_at")

    def __init__(self, reply: messages.RunReply, stored_at: int):
        self.reply = reply
        self.stored_at = stored_at


class Arbiter:
    """Records claimed request ids and their replies.

    Claimed ids are kept as long as the process runs. Whenever a request
    finishes, replies older than `RESULT_TTL_MS` are deleted, and the oldest
    ones beyond `MAX_RESULTS`.
    """

    __slots__ = ("_claimed", "_in_progress", "_results")

    def __init__(self):
        self._claimed: dict[tuple[str, str], counting.RangeSet] = {}
        self._in_progress: set[tuple[str, str, int]] = set()
        self._results: dict[tuple[str, str, int], _Result] = {}

    def claim(
        self, customer: str, request_id: messages.RequestId
    ) -> ClaimStatus:
        """Claims a request id.

        Only a request whose claim returns `CLAIMED` may be sent to a searcher.
        """
        request_key = (customer, request_id.session, request_id.number)
        if request_key in self._in_progress:
            return ClaimStatus.IN_PROGRESS
        if request_key in self._results:
            return ClaimStatus.COMPLETED
        session_key = (customer, request_id.session)
        claimed_numbers = self._claimed.setdefault(
            session_key, counting.RangeSet()
        )
        if not claimed_numbers.add(request_id.number):
            return ClaimStatus.RESULT_EXPIRED
        self._in_progress.add(request_key)
        return ClaimStatus.CLAIMED

    def finish(
        self,
        customer: str,
        request_id: messages.RequestId,
        reply: messages.RunReply,
        now: int,
    ) -> None:
        """Stores the reply of an id whose claim returned `CLAIMED`."""
        request_key = (customer, request_id.session, request_id.number)
        self._in_progress.discard(request_key)
        self._results[request_key] = _Result(reply, now)
        self._evict_results(now)

    def stored_reply(
        self, customer: str, request_id: messages.RequestId
    ) -> messages.RunReply:
        """Returns the stored reply of an id that is `COMPLETED`."""
        request_key = (customer, request_id.session, request_id.number)
        return self._results[request_key].reply

    def _evict_results(self, now: int) -> None:
        # Results are inserted in order of time, so the first one is the oldest.
        while self._results:
            request_key = next(iter(self._results))
            is_expired = (
                now - self._results[request_key].stored_at > RESULT_TTL_MS
            )
            if not is_expired and len(self._results) <= MAX_RESULTS:
                return
            del self._results[request_key]
