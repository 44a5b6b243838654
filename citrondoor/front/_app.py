"""Request handlers and routes of the HTTP API."""

import asyncio
import contextlib
import hashlib
import hmac
import re

import orjson
import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from citrondoor import clock as clocks
from citrondoor import engine
from citrondoor import limits
from citrondoor import refusals
from citrondoor import telemetry
from citrondoor.codecs import callers as codec
from citrondoor.front import _status
from citrondoor.schema import messages
from citrondoor.schema import serving
from citrondoor.schema import settings as schema_settings

_JSON = "application/json"
_MONTH_PATTERN = re.compile(r"[0-9]{4}-(0[1-9]|1[0-2])")
_BEARER = "bearer "
# Estimate of what a request or a part of its body keeps beside its bytes.
_OBJECT_BYTES = 128


class _Body:
    """The body of one request, in the account until the request has ended.

    Args:
      account: Where its memory is recorded.
      is_endless: Whether its length is not declared.
    """

    __slots__ = ("_chunks", "_holder", "_is_endless", "has_given_way", "size")

    def __init__(self, account: limits.MemoryAccount, is_endless: bool):
        self._holder = account.open(serving.Sender.CALLER, self._give_way)
        self._is_endless = is_endless
        self._chunks: list[bytes] = []
        self.has_given_way = False
        self.size = 0

    def add(self, chunk: bytes) -> None:
        """Adds a part; the account may make this body give way."""
        self._chunks.append(chunk)
        self.size += len(chunk)
        kept_bytes = self.size + _OBJECT_BYTES * len(self._chunks)
        self._holder.record(kept_bytes, self._is_endless)

    def join(self) -> bytes:
        """Returns the complete body, which is in use from now on."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        self._holder.record(self.size + _OBJECT_BYTES, is_complete=True)
        return body

    def close(self) -> None:
        """Removes the body from the account."""
        self._holder.release()

    def _give_way(self) -> None:
        self.has_given_way = True
        self._chunks.clear()


class ApiHandlers:
    """Request handlers of the HTTP API.

    Each handler decodes the request, calls the service and encodes its result
    or refusal as JSON.

    Args:
      service: Processes searches, runs and operators' requests.
      status: Reports the daemon's status and readiness.
      metrics: Records request latencies and renders all metrics.
      clock: Clock of the daemon.
      settings: Size and time limits for callers' requests.
      operator_key_digest: SHA-256 of the operators' key, in hexadecimal.
      account: Where the memory of requests is recorded.
    """

    __slots__ = (
        "_account",
        "_clock",
        "_metrics",
        "_operator_key_digest",
        "_service",
        "_settings",
        "_status",
    )

    def __init__(
        self,
        service: engine.Service,
        status: _status.StatusReporter,
        metrics: telemetry.Metrics,
        clock: clocks.Clock,
        settings: schema_settings.CallerSettings,
        operator_key_digest: str,
        account: limits.MemoryAccount,
    ):
        self._account = account
        self._service = service
        self._status = status
        self._metrics = metrics
        self._clock = clock
        self._settings = settings
        self._operator_key_digest = operator_key_digest

    async def search(self, request: requests.Request) -> responses.Response:
        """Handles POST /v1/search; cancels the search on disconnect."""
        with self._receive(request) as body:
            return await self._search(request, body)

    async def run(self, request: requests.Request) -> responses.Response:
        """Handles POST /v1/run.

        Unlike a search, a run is not cancelled when the caller disconnects.
        """
        with self._receive(request) as body:
            return await self._run(request, body)

    async def _search(
        self, request: requests.Request, body: _Body
    ) -> responses.Response:
        arrived_at = self._clock.now()
        decoded = await self._decode(
            request, body, arrived_at, codec.decode_search
        )
        if decoded.is_err():
            return _refusal_response(decoded.unwrap_err())
        message = decoded.unwrap()
        outcome = await _cancel_on_disconnect(
            request, self._service.search(_key_of(request), message)
        )
        self._record_latency(outcome, message.backend, arrived_at)
        if outcome.is_err():
            return _refusal_response(outcome.unwrap_err())
        return _json_response(codec.encode_search_answer(outcome.unwrap()))

    async def _run(
        self, request: requests.Request, body: _Body
    ) -> responses.Response:
        arrived_at = self._clock.now()
        decoded = await self._decode(
            request, body, arrived_at, codec.decode_run
        )
        if decoded.is_err():
            return _refusal_response(decoded.unwrap_err())
        message = decoded.unwrap()
        outcome = await self._service.run(_key_of(request), message)
        self._record_latency(outcome, message.backend, arrived_at)
        if outcome.is_err():
            return _refusal_response(outcome.unwrap_err())
        return _json_response(codec.encode_run_answer(outcome.unwrap()))

    async def entries(self, request: requests.Request) -> responses.Response:
        """Handles GET /v1/entries; issues a session if none is given."""
        zone = request.query_params.get("zone", "")
        session = request.query_params.get("session", "")
        vms = self._service.entries(_key_of(request), zone, session)
        session = session or self._service.issue_session()
        body = codec.encode_entries(vms, self._settings.entries_ttl_ms, session)
        return _json_response(body)

    async def counts(self, request: requests.Request) -> responses.Response:
        """Handles GET /v1/counts?month=YYYY-MM, for operators."""
        if not self._is_operator(request):
            return _refusal_response(refusals.unauthenticated())
        month = request.query_params.get("month", "")
        if not _MONTH_PATTERN.fullmatch(month):
            return _refusal_response(
                refusals.malformed(f"the month is {month!r}", "use YYYY-MM")
            )
        counted = await self._service.totals(month)
        return _json_response(
            orjson.dumps(
                {
                    "month": month,
                    "complete": counted.is_complete,
                    "unheard": counted.unreachable_vms,
                    "customers": {
                        total.customer: total.requests
                        for total in counted.totals
                    },
                }
            )
        )

    async def timeline(self, request: requests.Request) -> responses.Response:
        """Handles GET /v1/timeline?after=UNIX_MS, for operators."""
        if not self._is_operator(request):
            return _refusal_response(refusals.unauthenticated())
        after = request.query_params.get("after", "0")
        if not after.isdecimal():
            return _refusal_response(
                refusals.malformed(f"after is {after!r}", "use milliseconds")
            )
        return _json_response(
            codec.encode_events(self._service.events(int(after)))
        )

    async def status(self, request: requests.Request) -> responses.Response:
        """Handles GET /v1/status, for operators."""
        if not self._is_operator(request):
            return _refusal_response(refusals.unauthenticated())
        return _json_response(orjson.dumps(self._status.content()))

    async def configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles GET /v1/configuration, for operators."""
        if not self._is_operator(request):
            return _refusal_response(refusals.unauthenticated())
        return _json_response(orjson.dumps(self._status.configuration()))

    async def exposition(self, request: requests.Request) -> responses.Response:
        """Handles GET /metrics: Prometheus text format, without a key."""
        return responses.Response(
            self._metrics.exposition(), media_type="text/plain"
        )

    async def live(self, request: requests.Request) -> responses.Response:
        """Handles GET /livez: 200 while the event loop runs."""
        return responses.PlainTextResponse("live")

    async def ready(self, request: requests.Request) -> responses.Response:
        """Handles GET /readyz: 503 with the daemon's state until ready."""
        if self._status.is_ready():
            return responses.PlainTextResponse("ready")
        return responses.PlainTextResponse(self._status.state(), 503)

    def _receive(self, request: requests.Request) -> contextlib.closing[_Body]:
        is_endless = "content-length" not in request.headers
        return contextlib.closing(_Body(self._account, is_endless))

    async def _decode(
        self, request: requests.Request, body: _Body, arrived_at: int, decode
    ) -> result.Result[object, messages.Refusal]:
        if self._account.is_short:
            return result.Err(refusals.short_of_memory())
        refusal = await self._read_body(request, body)
        if refusal is not None:
            return result.Err(refusal)
        return decode(body.join(), arrived_at, self._settings)

    async def _read_body(
        self, request: requests.Request, body: _Body
    ) -> messages.Refusal | None:
        """Reads the whole body; returns the refusal of one that is not."""
        max_bytes = self._settings.max_body_bytes
        timeout_s = self._settings.body_timeout_ms / clocks.MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                async for chunk in request.stream():
                    if body.size + len(chunk) > max_bytes:
                        return refusals.too_large(max_bytes)
                    if not body.has_given_way:
                        body.add(chunk)
                    if body.has_given_way:
                        return refusals.short_of_memory()
        except TimeoutError:
            return refusals.too_slow(self._settings.body_timeout_ms)
        except requests.ClientDisconnect:
            return refusals.malformed("the caller left", "send the whole body")
        return None

    def _is_operator(self, request: requests.Request) -> bool:
        digest = hashlib.sha256(_key_of(request).encode()).hexdigest()
        return hmac.compare_digest(digest, self._operator_key_digest)

    def _record_latency(self, outcome, backend: str, arrived_at: int) -> None:
        seconds = (self._clock.now() - arrived_at) / clocks.MS_PER_S
        if outcome.is_ok():
            self._metrics.record_latency(seconds, backend, "answered")
            return
        refusal = outcome.unwrap_err()
        kind = messages.RefusalKind(refusal.kind)
        # With this refusal the name may be any text that the caller sent. As a
        # label, such names would let a caller with a key create any number of
        # time series. Refusals that come before the check of the back end, for
        # the key or the daemon's state, keep the name as sent.
        is_known = kind != messages.RefusalKind.FORBIDDEN_BACKEND
        label = backend if is_known else "unknown"
        self._metrics.record_latency(seconds, label, kind.name.lower())


def make_app(handlers: ApiHandlers) -> applications.Starlette:
    """Returns the ASGI application that routes requests to the handlers."""
    return applications.Starlette(
        routes=[
            routing.Route("/v1/search", handlers.search, methods=["POST"]),
            routing.Route("/v1/run", handlers.run, methods=["POST"]),
            routing.Route("/v1/entries", handlers.entries),
            routing.Route("/v1/counts", handlers.counts),
            routing.Route("/v1/timeline", handlers.timeline),
            routing.Route("/v1/status", handlers.status),
            routing.Route("/v1/configuration", handlers.configuration),
            routing.Route("/metrics", handlers.exposition),
            routing.Route("/livez", handlers.live),
            routing.Route("/readyz", handlers.ready),
        ]
    )


async def turn_away(scope, receive, send) -> None:
    """ASGI application of connections for which there is no room."""
    response = _refusal_response(refusals.too_many_connections())
    response.headers["connection"] = "close"
    await response(scope, receive, send)


async def _cancel_on_disconnect(request: requests.Request, work):
    """Awaits a coroutine and cancels it if the caller disconnects.

    Returns:
      The coroutine's result, or a refusal once the caller has disconnected.
    """
    task = asyncio.ensure_future(work)
    watcher = asyncio.create_task(_cancel_after_disconnect(request, task))
    try:
        return await task
    except asyncio.CancelledError:
        if not watcher.done():
            raise
        return result.Err(
            refusals.malformed("the caller left", "wait for the answer")
        )
    finally:
        task.cancel()
        watcher.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watcher


async def _cancel_after_disconnect(
    request: requests.Request, task: asyncio.Task
) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
    task.cancel()


def _key_of(request: requests.Request) -> str:
    value = request.headers.get("authorization", "")
    if value[: len(_BEARER)].lower() != _BEARER:
        return ""
    return value[len(_BEARER) :]


def _json_response(body: bytes) -> responses.Response:
    return responses.Response(body, media_type=_JSON)


def _refusal_response(refusal: messages.Refusal) -> responses.Response:
    headers = {}
    if refusal.retry_after_ms is not None:
        # Retry-After is in whole seconds, rounded up so that no caller retries
        # too early; the body has the exact milliseconds.
        seconds = -(-refusal.retry_after_ms // clocks.MS_PER_S)
        headers["retry-after"] = str(seconds)
    if refusal.kind == messages.RefusalKind.LEAVING:
        # The daemon is shutting down, so the caller has to connect to another.
        headers["connection"] = "close"
    return responses.Response(
        codec.encode_refusal(refusal),
        codec.STATUS_BY_REFUSAL_KIND[refusal.kind],
        headers,
        _JSON,
    )
