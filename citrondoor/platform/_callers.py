"""Handles callers' requests, readiness checks and address look-ups."""

import asyncio
import functools
import math

import orjson

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import limits
from citrondoor import refusals
from citrondoor.codecs import callers as codec
from citrondoor.codecs import http1
from citrondoor.platform import _headers
from citrondoor.schema import messages

_JSON_CONTENT_TYPE = (b"content-type", b"application/json")
# The searcher codec sets these for each searcher; callers' are not forwarded.
_REPLACED_HEADERS = frozenset(
    (_headers.REQUEST_ID, _headers.DEADLINE, _headers.EXPECTED_SEARCHER)
)
_MAX_REQUEST_ID_BYTES = 256


class CallerHandler:
    """Serves callers' requests.

    Args:
      dispatcher: Serves decoded requests.
      clock: Clock of the daemon.
      on_bad_request: Called with the refusal of each request that does not
        reach the dispatcher.
      on_answer: Called with the status and the latency in ms of each answer
        from the dispatcher.
      account: Memory that messages keep; while it is short, all requests are
        refused.
    """

    __slots__ = (
        "_account",
        "_clock",
        "_dispatcher",
        "_on_answer",
        "_on_bad_request",
    )

    def __init__(
        self,
        dispatcher: entry.Dispatcher,
        clock: clocks.Clock,
        on_bad_request,
        on_answer,
        account: limits.MemoryAccount,
    ):
        self._account = account
        self._dispatcher = dispatcher
        self._clock = clock
        self._on_bad_request = on_bad_request
        self._on_answer = on_answer

    async def handle(
        self, request: http1.Request, disconnected: asyncio.Future
    ) -> http1.Response | None:
        """Returns the response; None if the caller disconnected."""
        arrived_at = self._clock.now()
        decoded = decode_request(request, arrived_at)
        if self._account.is_short and isinstance(decoded, entry.CallerRequest):
            decoded = refusals.short_of_memory()
        if isinstance(decoded, messages.Refusal):
            self._on_bad_request(decoded)
            return encode_answer(decoded)
        answer = await self._dispatcher.serve(decoded, disconnected)
        if answer is None:
            return None
        response = encode_answer(answer)
        if not isinstance(answer, entry.ForwardedAnswer):
            response.headers.append((_headers.REQUEST_ID, decoded.request_id))
        self._on_answer(response.status, self._clock.now() - arrived_at)
        return response

    def turn_away(self, request: http1.Request) -> http1.Response:
        """Returns the refusal of a request on a connection beyond the bound."""
        decoded = decode_request(request, self._clock.now())
        if isinstance(decoded, messages.Refusal):
            return encode_answer(decoded)
        response = encode_answer(refusals.too_many_connections())
        response.headers.append((_headers.REQUEST_ID, decoded.request_id))
        return response

    def refuse(self, error: http1.ProtocolError) -> http1.Response:
        """Returns the response to a request that could not be parsed."""
        refusal = _make_refusal(error)
        self._on_bad_request(refusal)
        return encode_answer(refusal)


def _make_refusal(error: http1.ProtocolError) -> messages.Refusal:
    if isinstance(error, http1.WastefulError):
        return refusals.too_wasteful(str(error))
    if error.status == 431:
        return refusals.head_too_large(str(error))
    refusal = refusals.malformed(str(error), "send well-formed HTTP/1.1")
    if error.status == 413:
        refusal.kind = messages.RefusalKind.TOO_LARGE
    elif error.status == 408:
        refusal.kind = messages.RefusalKind.TOO_SLOW
    elif error.status == 503:
        return refusals.short_of_memory()
    return refusal


def decode_request(
    request: http1.Request, arrived_at: int
) -> entry.CallerRequest | messages.Refusal:
    """Decodes a caller's request.

    Args:
      request: The request as it arrived.
      arrived_at: Clock reading at arrival, in ms.

    Returns:
      The request, or a refusal if its id, host, path or deadline is malformed
      or if the deadline has expired.
    """
    ids = request.header_values(_headers.REQUEST_ID)
    if len(ids) != 1 or not 0 < len(ids[0]) <= _MAX_REQUEST_ID_BYTES:
        return refusals.malformed(
            f"the request has {len(ids)} ids or one that is empty or too long",
            "send one `X-Request-Id`",
        )
    hosts = request.header_values(b"host")
    if len(hosts) != 1 or not request.target.startswith(b"/"):
        return refusals.malformed(
            f"the request names {len(hosts)} hosts or no path",
            "send one `Host` and a path that begins with `/`",
        )
    deadlines = request.header_values(_headers.DEADLINE)
    deadline_ms = None
    if deadlines:
        deadline_ms = _parse_deadline_ms(deadlines[-1])
        if deadline_ms is None:
            return refusals.malformed(
                f"the deadline is {deadlines[-1][:40]!r}",
                "send `X-Request-Deadline` in milliseconds",
            )
        if deadline_ms <= 0:
            return refusals.deadline_expired()
    headers = [
        (name, value)
        for name, value in http1.end_to_end_headers(request.headers)
        if name not in _REPLACED_HEADERS
    ]
    return entry.CallerRequest(
        ids[0],
        hosts[0].decode("latin-1"),
        deadline_ms,
        request,
        headers,
        arrived_at,
        request.round_trip_ms,
    )


def _parse_deadline_ms(value: bytes) -> int | None:
    """Returns the whole milliseconds, or None if not a finite number."""
    try:
        deadline_ms = float(value)
    except ValueError:
        return None
    if math.isnan(deadline_ms) or math.isinf(deadline_ms):
        return None
    return int(deadline_ms)


@functools.singledispatch
def encode_answer(answer) -> http1.Response:
    """Returns the HTTP response for an answer or a refusal."""
    raise TypeError(f"cannot encode an answer of type {type(answer).__name__}")


@encode_answer.register
def _(answer: entry.MergedAnswer) -> http1.Response:
    headers = [
        (_headers.SHARD_STAMPS, b", ".join(answer.stamps)),
        (_headers.MISSING_SHARD_COUNT, b"%d" % answer.missing_count),
    ]
    return http1.Response(200, headers, answer.body)


@encode_answer.register
def _(answer: entry.ForwardedAnswer) -> http1.Response:
    response = answer.response
    headers = http1.end_to_end_headers(response.headers)
    return http1.Response(response.status, headers, response.body)


@encode_answer.register
def _(answer: messages.Refusal) -> http1.Response:
    headers = [_JSON_CONTENT_TYPE]
    if answer.retry_after_ms:
        seconds = answer.retry_after_ms / clocks.MS_PER_S
        headers.append((b"retry-after", b"%.3f" % seconds))
    status = codec.STATUS_BY_REFUSAL_KIND[answer.kind]
    return http1.Response(status, headers, codec.encode_refusal(answer))


class ReadinessHandler:
    """Answers the platform's readiness checks.

    Args:
      is_ready: Returns whether the daemon accepts requests.
    """

    __slots__ = ("_is_ready",)

    def __init__(self, is_ready):
        self._is_ready = is_ready

    async def handle(
        self, request: http1.Request, disconnected: asyncio.Future
    ) -> http1.Response:
        """Returns 200 if ready, 503 if not, 404 for other paths."""
        if request.path != "/-/readyz":
            return http1.Response(404, [], b"")
        return http1.Response(200 if self._is_ready() else 503, [], b"")

    def refuse(self, error: http1.ProtocolError) -> http1.Response:
        """Returns the response to a request that could not be parsed."""
        return http1.Response(error.status, [], b"")


class DirectoryHandler:
    """Answers callers that look up the addresses of daemons.

    Args:
      choose_endpoints: Returns the endpoints for a caller's region and zone.
      ttl_s: Time for which callers may cache the answer, in seconds.
    """

    __slots__ = ("_choose_endpoints", "_ttl_s")

    def __init__(self, choose_endpoints, ttl_s: float):
        self._choose_endpoints = choose_endpoints
        self._ttl_s = ttl_s

    async def handle(
        self, request: http1.Request, disconnected: asyncio.Future
    ) -> http1.Response:
        """Returns the addresses, or 503 while no daemon accepts requests."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != "/-/resolve":
            return http1.Response(404, [], b"")
        parameters = dict(
            part.partition("=")[::2] for part in query.split("&") if part
        )
        endpoints = self._choose_endpoints(
            parameters.get("region", ""), parameters.get("zone", "")
        )
        if not endpoints:
            # In seconds, with a fraction as in the answers to refused requests;
            # RFC 9110 allows whole seconds only.
            return http1.Response(503, [(b"retry-after", b"0.3")], b"")
        addresses = [
            f"{endpoint.host}:{endpoint.front_port}" for endpoint in endpoints
        ]
        body = {"addrs": addresses, "ttl_s": self._ttl_s}
        return http1.Response(200, [_JSON_CONTENT_TYPE], orjson.dumps(body))

    def refuse(self, error: http1.ProtocolError) -> http1.Response:
        """Returns the response to a request that could not be parsed."""
        return http1.Response(error.status, [], b"")
