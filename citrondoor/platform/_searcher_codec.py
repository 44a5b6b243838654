"""Encodes and decodes the platform's protocol between daemon and searcher."""

import http
import math
import re
from collections.abc import Callable
from collections.abc import Collection

from citrondoor import clock as clocks
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.platform import _headers
from citrondoor.schema import messages

# Longer pauses are taken for this one; a searcher that still wants none then
# says so again.
MAX_PAUSE_MS = 3_600_000
# A longer warm-up time is malformed: messages to peers carry 31 bits.
_MILLISECONDS = re.compile(rb"\d{1,9}")
_SUCCESS_STATUSES = range(200, 300)
# Neither a sign nor an exponent; nine digits are far above any real rate.
_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")


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
        cold_ms = _parse_ms(headers.get(_headers.WARMUP_REMAINING))
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
            headers, _headers.RATE_LIMIT
        )
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            pause_s = self._decimal(headers, _headers.RETRY_AFTER) or 0
            statements.pause_ms = min(
                math.ceil(pause_s * clocks.MS_PER_S), MAX_PAUSE_MS
            )
        return statements

    def _decimal(
        self, headers: dict[bytes, bytes], name: bytes
    ) -> float | None:
        """Returns a header's number; None if it is missing or unreadable."""
        value = headers.get(name)
        if value is not None and _DECIMAL.fullmatch(value):
            return float(value)
        if value is not None:
            self._on_unreadable(name, value)
        return None


def _parse_ms(value: bytes | None) -> int:
    """Returns the number, or 0 if it is missing or malformed."""
    if value is None or not _MILLISECONDS.fullmatch(value):
        return 0
    return int(value)
