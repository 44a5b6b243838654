"""A request to a discovered searcher, and how its answer is read."""

import enum
import typing
from collections.abc import Callable

from citrondoor.codecs import http1


class ExchangeOutcome(enum.Enum):
    """What became of an exchange."""

    ANSWERED = 1
    # The searcher says that it did not run the request and never will.
    NOT_RUN = 2
    # The searcher answered with a failure; the request may have run.
    FAILED = 3
    # No byte was sent.
    UNSENT = 4
    # No whole answer came; the request may have run.
    BROKEN = 5
    # A response to another request.
    FOREIGN = 6


class ExchangeResult:
    """The end of an exchange.

    Args:
      kind: What became of it.
      response: The searcher's response; None when there is no whole one.
      stamp: Proof of the searcher that it made the response.
      cold_ms: How long the searcher says that it stays cold.
      is_misdirected: Whether another searcher has the address.
    """

    __slots__ = ("cold_ms", "is_misdirected", "kind", "response", "stamp")

    def __init__(
        self,
        kind: ExchangeOutcome,
        response: http1.Response | None = None,
        stamp: bytes = b"",
        cold_ms: int = 0,
        is_misdirected: bool = False,
    ):
        self.kind = kind
        self.response = response
        self.stamp = stamp
        self.cold_ms = cold_ms
        self.is_misdirected = is_misdirected


class OutboundRequest:
    """A caller's request as every searcher gets it.

    Args:
      request_id: Id that the caller gave it.
      method: HTTP method.
      target: Path and query.
      headers: Headers that are passed on.
      body: Body.
      deadline_at: Clock reading at which the caller stops waiting.
      is_idempotent: Whether it may run more than once.
    """

    __slots__ = (
        "body",
        "deadline_at",
        "headers",
        "is_idempotent",
        "method",
        "request_id",
        "target",
    )

    def __init__(
        self,
        request_id: bytes,
        method: bytes,
        target: bytes,
        headers: http1.Headers,
        body: bytes,
        deadline_at: int,
        is_idempotent: bool,
    ):
        self.request_id = request_id
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.deadline_at = deadline_at
        self.is_idempotent = is_idempotent


class Exchange:
    """One request to one searcher.

    Args:
      token: Number that no other exchange of this daemon has.
      outbound: What is sent.
      deliver: Takes the token and the end; called exactly once.
    """

    __slots__ = ("deliver", "outbound", "token")

    def __init__(
        self,
        token: int,
        outbound: OutboundRequest,
        deliver: Callable[[int, ExchangeResult], None],
    ):
        self.token = token
        self.outbound = outbound
        self.deliver = deliver


class SearcherCodec(typing.Protocol):
    """How searchers are spoken to; the platform's adapter implements it."""

    def encode(
        self, outbound: OutboundRequest, upstream_id: str, remaining_ms: int
    ) -> bytes:
        """Returns a request as bytes."""

    def decode(
        self, outbound: OutboundRequest, response: http1.Response
    ) -> ExchangeResult:
        """Returns what a response says of a request."""
