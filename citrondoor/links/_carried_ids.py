"""Ids of the requests that one connection has carried.

Handles searchers that send a second copy of an answer, late. The copy names the
request and not the attempt, so a request that is sent again must not use a
connection that may still deliver a copy of the answer to an earlier attempt.
"""


class CarriedIds:
    """Remembers each id until the request's deadline, when no attempt follows.

    All times are readings of the daemon's clock in milliseconds.
    """

    __slots__ = ("_expiries",)

    def __init__(self):
        # In the order of first use.
        self._expiries: dict[bytes, int] = {}

    def __contains__(self, request_id: bytes) -> bool:
        """Returns whether the connection has carried a request lately."""
        return request_id in self._expiries

    def __len__(self) -> int:
        """Returns the number of ids that are remembered."""
        return len(self._expiries)

    def add(self, request_id: bytes, deadline_at: int, now: int) -> None:
        """Adds the id of a request, and forgets those that have expired."""
        while self._expiries:
            oldest = next(iter(self._expiries))
            if self._expiries[oldest] > now:
                break
            del self._expiries[oldest]
        self._expiries[request_id] = deadline_at
