"""Requests of the platform's callers, and the answers that they get."""

import asyncio
import functools
import math

import orjson

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import refusals
from citrondoor.codecs import callers as codec
from citrondoor.codecs import http1
from citrondoor.platform import _headers
from citrondoor.schema import messages

_JSON = (b"content-type", b"application/json")
# Set anew for each searcher, never passed on from a caller.
_OWN_HEADERS = frozenset(
    (_headers.REQUEST_ID, _headers.DEADLINE, _headers.EXPECTED_SEARCHER)
)
_MAX_ID_BYTES = 256


class CallerHandler:
    """Serves requests of callers.

    Args:
      dispatcher: Serves decoded requests.
      clock: Clock of the daemon.
      on_bad_request: Called with a refusal of bytes that are no request.
    """

    __slots__ = ("_clock", "_dispatcher", "_on_answer", "_on_bad_request")

    def __init__(
        self,
        dispatcher: entry.Dispatcher,
        clock: clocks.Clock,
        on_bad_request,
        on_answer,
    ):
        self._dispatcher = dispatcher
        self._clock = clock
        self._on_bad_request = on_bad_request
        self._on_answer = on_answer

    async def handle(
        self, request: http1.Request, disconnected: asyncio.Future
    ) -> http1.Response | None:
        """Returns the response, or None when the caller has left."""
        now = self._clock.now()
        decoded = decode_request(request, now)
        if isinstance(decoded, messages.Refusal):
            self._on_bad_request(decoded)
            return encode_answer(decoded)
        answer = await self._dispatcher.serve(decoded, disconnected)
        if answer is None:
            return None
        response = encode_answer(answer)
        if not isinstance(answer, entry.ForwardedAnswer):
            response.headers.append((_headers.REQUEST_ID, decoded.request_id))
        self._on_answer(response.status, self._clock.now() - now)
        return response

    def refuse(self, error: http1.ProtocolError) -> http1.Response:
        """Returns the response to bytes that are no request."""
        refusal = _refusal_of(error)
        self._on_bad_request(refusal)
        return encode_answer(refusal)


def _refusal_of(error: http1.ProtocolError) -> messages.Refusal:
    if error.status == 431:
        return refusals.head_too_large(str(error))
    refusal = refusals.malformed(str(error), "send well-formed HTTP/1.1")
    if error.status == 413:
        refusal.kind = messages.RefusalKind.TOO_LARGE
    elif error.status == 408:
        refusal.kind = messages.RefusalKind.TOO_SLOW
    return refusal


def decode_request(
    request: http1.Request, now: int
) -> entry.CallerRequest | messages.Refusal:
    """Returns a caller's request, or why it is none."""
    ids = request.header_values(_headers.REQUEST_ID)
    if len(ids) != 1 or not 0 < len(ids[0]) <= _MAX_ID_BYTES:
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
        deadline_ms = _deadline_of(deadlines[-1])
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
        if name not in _OWN_HEADERS
    ]
    return entry.CallerRequest(
        ids[0],
        hosts[0].decode("latin-1"),
        deadline_ms,
        request,
        headers,
        now,
        request.round_trip_ms,
    )


def _deadline_of(value: bytes) -> int | None:
    try:
        number = float(value)
    except ValueError:
        return None
    if math.isnan(number) or math.isinf(number):
        return None
    return int(number)


@functools.singledispatch
def encode_answer(answer) -> http1.Response:
    """Returns the response that carries an answer."""
    raise TypeError(f"{type(answer).__name__} is no answer")


@encode_answer.register
def _(answer: entry.MergedAnswer) -> http1.Response:
    headers = [
        (_headers.SHARD_STAMPS, b", ".join(answer.stamps)),
        (_headers.MISSING_SHARDS, b"%d" % answer.missing_count),
    ]
    return http1.Response(200, headers, answer.body)


@encode_answer.register
def _(answer: entry.ForwardedAnswer) -> http1.Response:
    response = answer.response
    headers = http1.end_to_end_headers(response.headers)
    return http1.Response(response.status, headers, response.body)


@encode_answer.register
def _(answer: messages.Refusal) -> http1.Response:
    headers = [_JSON]
    if answer.retry_after_ms:
        seconds = answer.retry_after_ms / clocks.MS_PER_S
        headers.append((b"retry-after", b"%.3f" % seconds))
    status = codec.STATUS_BY_REFUSAL_KIND[answer.kind]
    return http1.Response(status, headers, codec.encode_refusal(answer))


class ReadinessHandler:
    """Tells the platform whether this daemon takes requests.

    Args:
      is_ready: Returns whether it does.
    """

    __slots__ = ("_is_ready",)

    def __init__(self, is_ready):
        self._is_ready = is_ready

    async def handle(
        self, request: http1.Request, disconnected: asyncio.Future
    ) -> http1.Response:
        """Returns 200 when ready."""
        if request.path != "/-/readyz":
            return http1.Response(404, [], b"")
        return http1.Response(200 if self._is_ready() else 503, [], b"")

    def refuse(self, error: http1.ProtocolError) -> http1.Response:
        """Returns the response to bytes that are no request."""
        return http1.Response(error.status, [], b"")


class DirectoryHandler:
    """Tells callers which addresses to use.

    Args:
      choose: Returns the places for a caller's region and zone.
      ttl_s: Time for which callers may keep the answer, in seconds.
    """

    __slots__ = ("_choose", "_ttl_s")

    def __init__(self, choose, ttl_s: float):
        self._choose = choose
        self._ttl_s = ttl_s

    async def handle(
        self, request: http1.Request, disconnected: asyncio.Future
    ) -> http1.Response:
        """Returns the addresses; 503 while there is none."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != "/-/resolve":
            return http1.Response(404, [], b"")
        asked = dict(
            part.partition("=")[::2] for part in query.split("&") if part
        )
        places = self._choose(asked.get("region", ""), asked.get("zone", ""))
        if not places:
            return http1.Response(503, [(b"retry-after", b"0.3")], b"")
        addresses = [f"{p.host}:{p.front_port}" for p in places]
        body = {"addrs": addresses, "ttl_s": self._ttl_s}
        return http1.Response(200, [_JSON], orjson.dumps(body))

    def refuse(self, error: http1.ProtocolError) -> http1.Response:
        """Returns the response to bytes that are no request."""
        return http1.Response(error.status, [], b"")
