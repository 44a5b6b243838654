"""How searchers of the platform are spoken to."""

import http

from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.platform import _headers

_SUCCESS = range(200, 300)


class PlatformSearcherCodec:
    """Encodes requests to searchers and reads their responses."""

    __slots__ = ()

    def encode(
        self,
        outbound: links.OutboundRequest,
        upstream_id: str,
        remaining_ms: int,
    ) -> bytes:
        """Returns a request as bytes; only the named searcher will run it."""
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
        self, outbound: links.OutboundRequest, response: http1.Response
    ) -> links.ExchangeResult:
        """Returns what a response says of a request."""
        found = {}
        for name, value in response.headers:
            found.setdefault(name, value)
        if found.get(_headers.REQUEST_ID, outbound.request_id) != (
            outbound.request_id
        ):
            return links.ExchangeResult(links.ExchangeOutcome.FOREIGN)
        cold_ms = _number(found.get(_headers.COLD_LEFT))
        is_misdirected = response.status == http.HTTPStatus.MISDIRECTED_REQUEST
        if _headers.NOT_RUN in found or is_misdirected:
            return links.ExchangeResult(
                links.ExchangeOutcome.NOT_RUN,
                response,
                cold_ms=cold_ms,
                is_misdirected=is_misdirected,
            )
        stamp = found.get(_headers.STAMP, b"")
        if response.status in _SUCCESS and stamp:
            return links.ExchangeResult(
                links.ExchangeOutcome.ANSWERED, response, stamp, cold_ms
            )
        if not stamp:
            # Without the proof it is not the searcher's whole answer.
            return links.ExchangeResult(links.ExchangeOutcome.BROKEN, response)
        return links.ExchangeResult(
            links.ExchangeOutcome.FAILED, response, stamp, cold_ms
        )


def _number(value: bytes | None) -> int:
    return int(value) if value is not None and value.isdigit() else 0
