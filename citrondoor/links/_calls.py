"""One request to a searcher, and the counters of all such requests."""

from collections.abc import Callable

from citrondoor.codecs import upstreams as codec
from citrondoor.schema import messages


class Call:
    """One request to one searcher.

    Args:
      number: Identifies the call; the searcher repeats it in its response.
        Unique within this daemon, except that a cancellation has the number
        of the call that it cancels.
      payload: The encoded HTTP request.
      customer: Customer on whose behalf the request is sent.
      deadline_at: Clock reading, in milliseconds, after which the answer is
        no longer needed.
      decode: Converts the response into a sub-answer.
      deliver: Called at most once, with the sub-answer. Not called if the
        call is cancelled while it is queued, or if it is skipped because its
        deadline has passed when its turn comes. Calls that are still queued
        when the pool closes or replaces the link may get no answer either.

    Attributes:
      started_at: Clock reading at which the limiter admitted the call; -1
        marks a cancellation, which the limiter does not count.
      was_sent: Whether the payload was written to a connection.
    """

    __slots__ = (
        "customer",
        "deadline_at",
        "decode",
        "deliver",
        "number",
        "payload",
        "started_at",
        "was_sent",
    )

    def __init__(
        self,
        number: int,
        payload: bytes,
        customer: str,
        deadline_at: int,
        decode: Callable[[codec.Response], messages.SubAnswer],
        deliver: Callable[[messages.SubAnswer], None],
    ):
        self.number = number
        self.payload = payload
        self.customer = customer
        self.deadline_at = deadline_at
        self.decode = decode
        self.deliver = deliver
        self.started_at = 0
        self.was_sent = False


class UpstreamCounters:
    """Counts this daemon's calls to all searchers.

    Attributes:
      searches: Calls that were started, non-idempotent ones included.
      sheds: Calls rejected under overload, by a full local queue or by the
        searcher.
      failures: Calls with the outcome FAILED, and calls whose connection was
        lost or could not be opened.
      unmatched: Responses that match no call in flight on their connection.
      malformed: Connections closed because the searcher sent bytes that are no
        response, or too many.
      connects: Connections that were opened.
      cancels: Cancellations that were sent.
      skipped_cancels: Cancellations not sent for want of an idle connection.
    """

    __slots__ = (
        "cancels",
        "connects",
        "failures",
        "malformed",
        "searches",
        "sheds",
        "skipped_cancels",
        "unmatched",
    )

    def __init__(self):
        self.searches = 0
        self.sheds = 0
        self.failures = 0
        self.unmatched = 0
        self.malformed = 0
        self.connects = 0
        self.cancels = 0
        self.skipped_cancels = 0
