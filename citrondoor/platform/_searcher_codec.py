"""Encodes and decodes the platform's protocol between daemon and searcher."""

import http
import math
from collections.abc import Callable
from collections.abc import Collection

from citrondoor import clock as clocks
from citrondoor import links
from citrondoor.codecs import header_numbers
from citrondoor.codecs import http1
from citrondoor.platform import _headers
from citrondoor.schema import messages

# Longer pauses are taken for this one; a searcher that still wants none then
# says so again.
MAX_PAUSE_MS = 3_600_000
# Longer warm-up times are taken for this one, for the same reason.
MAX_WARMUP_MS = 3_600_000
# Far above the requests that any searcher can serve.
MAX_RATE_PER_S = 999_999_999.0
_SUCCESS_STATUSES = range(200, 300)


class PlatformSearcherCodec:
    """Encodes requests to searchers and decodes their responses.

    Args:
      on_unreadable: Called with the name and the value of a header that cannot
        be decoded and is ignored.
    """

    __slots__ = ("_on_unreadable",)

    def __init__(self, on_unreadable: Callable[[bytes, bytes], None]):
        self._on_unreadable = on_unreadable

    def encode(
        self,
        outbound: links.OutboundRequest,
        upstream_id: str,
        remaining_ms: int,
    ) -> bytes:
        """Returns a request as bytes.

        The request names its searcher, so that another searcher at the same
        address rejects it.

        Args:
          outbound: The caller's request.
          upstream_id: Id of the searcher.
          remaining_ms: Time remaining until the caller stops waiting.
        """
        headers = [
            *outbound.headers,
            (_headers.REQUEST_ID, outbound.request_id),
            (_headers.DEADLINE, b"%d" % remaining_ms),
            (_headers.EXPECTED_SEARCHER, upstream_id.encode("latin-1")),
        ]
        return http1.encode_request(
            outbound.method, outbound.target, headers, outbound.body
        )

    def decode(
        self,
        outbound: links.OutboundRequest,
        response: http1.Response,
        recent_stamps: Collection[bytes] = (),
    ) -> links.ExchangeResult:
        """Returns the result of a request from its response.

        Args:
          outbound: The request.
          response: The next response on its connection.
          recent_stamps: Stamps of earlier responses on the connection.
        """
        # The first value of each header counts.
        headers = {}
        for name, value in response.headers:
            headers.setdefault(name, value)
        if headers.get(_headers.REQUEST_ID, outbound.request_id) != (
            outbound.request_id
        ):
            return links.ExchangeResult(links.ExchangeOutcome.FOREIGN)
        stamp = headers.get(_headers.STAMP, b"")
        if _headers.REQUEST_ID not in headers and stamp in recent_stamps:
            # A second copy of an earlier response. Stamps are unique.
            return links.ExchangeResult(links.ExchangeOutcome.FOREIGN)
        cold_ms = math.ceil(
            self._decimal(headers, _headers.WARMUP_REMAINING, MAX_WARMUP_MS)
            or 0
        )
        is_misdirected = response.status == http.HTTPStatus.MISDIRECTED_REQUEST
        # A misdirected request is answered by another searcher.
        statements = (
            None
            if is_misdirected
            else self._statements(response.status, headers)
        )
        if _headers.NOT_RUN in headers or is_misdirected:
            return links.ExchangeResult(
                links.ExchangeOutcome.NOT_RUN,
                response,
                cold_ms=cold_ms,
                is_misdirected=is_misdirected,
                statements=statements,
            )
        if response.status in _SUCCESS_STATUSES and stamp:
            return links.ExchangeResult(
                links.ExchangeOutcome.ANSWERED,
                response,
                stamp,
                cold_ms,
                statements=statements,
            )
        if not stamp:
            # Nothing proves that this is the searcher's complete answer.
            return links.ExchangeResult(
                links.ExchangeOutcome.BROKEN, response, is_broken_off=True
            )
        return links.ExchangeResult(
            links.ExchangeOutcome.FAILED,
            response,
            stamp,
            cold_ms,
            statements=statements,
        )

    def _statements(
        self, status: int, headers: dict[bytes, bytes]
    ) -> messages.SearcherStatements:
        statements = messages.SearcherStatements()
        leaving = headers.get(_headers.LEAVING)
        if leaving == b"1":
            statements.is_leaving = True
        elif leaving is not None:
            self._on_unreadable(_headers.LEAVING, leaving)
        statements.rate_limit_per_s = self._decimal(
            headers, _headers.RATE_LIMIT, MAX_RATE_PER_S
        )
        statements.is_rate_limit_unreadable = (
            _headers.RATE_LIMIT in headers
            and statements.rate_limit_per_s is None
        )
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            max_pause_s = MAX_PAUSE_MS / clocks.MS_PER_S
            pause_s = self._decimal(headers, _headers.RETRY_AFTER, max_pause_s)
            statements.pause_ms = math.ceil((pause_s or 0) * clocks.MS_PER_S)
        return statements

    def _decimal(
        self, headers: dict[bytes, bytes], name: bytes, maximum: float
    ) -> float | None:
        """Returns a header's number; None if it is missing or unreadable."""
        value = headers.get(name)
        if value is None:
            return None
        number = header_numbers.parse_decimal(value, maximum)
        if number is None:
            self._on_unreadable(name, value)
        return number
