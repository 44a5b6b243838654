"""A request to one searcher, and the counts of all of them."""

from collections.abc import Callable

from citrondoor.codecs import upstreams as codec
from citrondoor.schema import messages


class Call:
    """One request to one searcher.

    Args:
      number: Number that no other call of this daemon has.
      payload: Bytes to send.
      customer: Customer for whom it is sent.
      deadline_at: Clock reading after which nobody wants the answer.
      decode: Turns the response into a sub-answer.
      deliver: Takes the sub-answer; called exactly once.
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
    """Counts of one daemon's work at all searchers."""

    __slots__ = (
        "cancels",
        "connects",
        "failures",
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
        self.connects = 0
        self.cancels = 0
        self.skipped_cancels = 0
