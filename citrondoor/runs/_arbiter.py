"""Decides whether a non-idempotent request may be sent to its back end."""

import enum

from citrondoor import counting
from citrondoor.schema import messages

# Results are kept this long for callers that ask again, in milliseconds.
RESULT_TTL_MS = 600_000
MAX_RESULTS = 100_000


class ClaimStatus(enum.IntEnum):
    """What a request with this id has come to."""

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
    """Remembers every id that this incarnation has let run.

    Which ids ran is never forgotten; results are, after `RESULT_TTL_MS`.
    """

    __slots__ = ("_claimed", "_in_progress", "_results")

    def __init__(self):
        self._claimed: dict[tuple[str, str], counting.RangeSet] = {}
        self._in_progress: set[tuple[str, str, int]] = set()
        self._results: dict[tuple[str, str, int], _Result] = {}

    def claim(
        self, customer: str, request_id: messages.RequestId
    ) -> ClaimStatus:
        """Claims the right to run an id; only `CLAIMED` may go upstream."""
        key = (customer, request_id.session, request_id.number)
        if key in self._in_progress:
            return ClaimStatus.IN_PROGRESS
        if key in self._results:
            return ClaimStatus.COMPLETED
        place = (customer, request_id.session)
        numbers = self._claimed.setdefault(place, counting.RangeSet())
        if not numbers.add(request_id.number):
            return ClaimStatus.RESULT_EXPIRED
        self._in_progress.add(key)
        return ClaimStatus.CLAIMED

    def finish(
        self,
        customer: str,
        request_id: messages.RequestId,
        reply: messages.RunReply,
        now: int,
    ) -> None:
        """Stores the reply of an id that was begun as `CLAIMED`."""
        key = (customer, request_id.session, request_id.number)
        self._in_progress.discard(key)
        self._results[key] = _Result(reply, now)
        self._drop_old(now)

    def stored_reply(
        self, customer: str, request_id: messages.RequestId
    ) -> messages.RunReply:
        """Returns the stored reply of an id that is `COMPLETED`."""
        key = (customer, request_id.session, request_id.number)
        return self._results[key].reply

    def _drop_old(self, now: int) -> None:
        # Insertion order is order of time: only the front can be old.
        while self._results:
            key = next(iter(self._results))
            is_old = now - self._results[key].stored_at > RESULT_TTL_MS
            if not is_old and len(self._results) <= MAX_RESULTS:
                return
            del self._results[key]
