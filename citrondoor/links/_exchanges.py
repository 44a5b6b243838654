"""Requests to discovered searchers and the results of sending them."""

import enum
import typing
from collections.abc import Callable
from collections.abc import Collection

from citrondoor.codecs import http1
from citrondoor.schema import messages


class ExchangeOutcome(enum.Enum):
    """How an exchange ended."""

    ANSWERED = 1
    # The searcher reports that it has not run the request and never will.
    NOT_RUN = 2
    # The searcher reports a failure; the request may have run.
    FAILED = 3
    # No byte of the request was sent.
    UNSENT = 4
    # No complete response, or one without the searcher's stamp; the request may
    # have run.
    BROKEN = 5
    # The response belongs to another request.
    FOREIGN = 6


class ExchangeResult:
    """The result of an exchange.

    Args:
      outcome: How the exchange ended.
      response: The searcher's response; None for UNSENT and FOREIGN, and for
        BROKEN if no complete one arrived.
      stamp: The searcher's proof that it produced the response; may be empty.
      cold_ms: Remaining warm-up time that the searcher reports, in ms.
      is_misdirected: Whether a searcher with another id uses the address.
      is_broken_off: Whether a BROKEN exchange ended because the searcher closed
        the connection or sent something unusable, and not because this daemon
        cancelled it or lost the peer that carried it out.
      statements: What the searcher says of itself; None if no response of the
        searcher arrived.
    """

    __slots__ = (
        "cold_ms",
        "is_broken_off",
        "is_misdirected",
        "outcome",
        "response",
        "stamp",
        "statements",
    )

    def __init__(
        self,
        outcome: ExchangeOutcome,
        response: http1.Response | None = None,
        stamp: bytes = b"",
        cold_ms: int = 0,
        is_misdirected: bool = False,
        is_broken_off: bool = False,
        statements: messages.SearcherStatements | None = None,
    ):
        self.outcome = outcome
        self.response = response
        self.stamp = stamp
        self.cold_ms = cold_ms
        self.is_misdirected = is_misdirected
        self.is_broken_off = is_broken_off
        self.statements = statements


class OutboundRequest:
    """A caller's request in the form that is sent to each searcher.

    Args:
      request_id: Id assigned by the caller.
      method: HTTP method.
      target: Path and query.
      headers: Headers that are forwarded.
      body: Request body.
      deadline_at: Time on the daemon's clock at which the caller stops
        waiting, in ms.
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
      token: Number of the exchange, unique within this daemon.
      outbound: The request.
      deliver: Called exactly once, with the token and the result.
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
    """Encodes requests to searchers and decodes their responses.

    The adapter of each platform provides one.
    """

    def encode(
        self, outbound: OutboundRequest, upstream_id: str, remaining_ms: int
    ) -> bytes:
        """Returns the bytes of a request.

        Args:
          outbound: The request.
          upstream_id: Id of the searcher that it is sent to.
          remaining_ms: Time until the caller stops waiting.
        """

    def decode(
        self,
        outbound: OutboundRequest,
        response: http1.Response,
        recent_stamps: Collection[bytes] = (),
    ) -> ExchangeResult:
        """Returns the result of a request according to its response.

        Args:
          outbound: The request.
          response: The next response on its connection.
          recent_stamps: Stamps of earlier responses on the connection, which
            the searcher may repeat.
        """
