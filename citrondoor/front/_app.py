"""Routes of the HTTP interface."""

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
from citrondoor import refusals
from citrondoor import telemetry
from citrondoor.codecs import callers as codec
from citrondoor.front import _status
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

_JSON = "application/json"
_MONTH_PATTERN = re.compile(r"[0-9]{4}-(0[1-9]|1[0-2])")
_BEARER = "bearer "


class ApiHandlers:
    """Handlers of all routes.

    Args:
      service: What the daemon offers.
      status: Status of the daemon.
      metrics: Metrics of the daemon.
      clock: Clock of the daemon.
      settings: Limits of callers.
      operator_key_digest: SHA-256 of the operators' key.
    """

    __slots__ = (
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
    ):
        self._service = service
        self._status = status
        self._metrics = metrics
        self._clock = clock
        self._settings = settings
        self._operator_key_digest = operator_key_digest

    async def search(self, request: requests.Request) -> responses.Response:
        """POST /v1/search."""
        arrived_at = self._clock.now()
        decoded = await self._decode(request, arrived_at, codec.decode_search)
        if decoded.is_err():
            return _refuse(decoded.unwrap_err())
        message = decoded.unwrap()
        outcome = await _unless_caller_leaves(
            request, self._service.search(_key_of(request), message)
        )
        self._note(outcome, message.backend, arrived_at)
        if outcome.is_err():
            return _refuse(outcome.unwrap_err())
        return _answer(codec.encode_search_answer(outcome.unwrap()))

    async def run(self, request: requests.Request) -> responses.Response:
        """POST /v1/run."""
        arrived_at = self._clock.now()
        decoded = await self._decode(request, arrived_at, codec.decode_run)
        if decoded.is_err():
            return _refuse(decoded.unwrap_err())
        message = decoded.unwrap()
        outcome = await self._service.run(_key_of(request), message)
        self._note(outcome, message.backend, arrived_at)
        if outcome.is_err():
            return _refuse(outcome.unwrap_err())
        return _answer(codec.encode_run_answer(outcome.unwrap()))

    async def entries(self, request: requests.Request) -> responses.Response:
        """GET /v1/entries."""
        zone = request.query_params.get("zone", "")
        session = request.query_params.get("session", "")
        vms = self._service.entries(_key_of(request), zone, session)
        session = session or self._service.issue_session()
        body = codec.encode_entries(vms, self._settings.entries_ttl_ms, session)
        return _answer(body)

    async def counts(self, request: requests.Request) -> responses.Response:
        """GET /v1/counts?month=YYYY-MM."""
        if not self._is_operator(request):
            return _refuse(refusals.unauthenticated())
        month = request.query_params.get("month", "")
        if not _MONTH_PATTERN.fullmatch(month):
            return _refuse(
                refusals.malformed(f"the month is {month!r}", "use YYYY-MM")
            )
        counted = await self._service.totals(month)
        return _answer(
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
        """GET /v1/timeline?after=WALL_MS."""
        if not self._is_operator(request):
            return _refuse(refusals.unauthenticated())
        after = request.query_params.get("after", "0")
        if not after.isdecimal():
            return _refuse(
                refusals.malformed(f"after is {after!r}", "use milliseconds")
            )
        return _answer(codec.encode_events(self._service.events(int(after))))

    async def status(self, request: requests.Request) -> responses.Response:
        """GET /v1/status."""
        if not self._is_operator(request):
            return _refuse(refusals.unauthenticated())
        return _answer(orjson.dumps(self._status.content()))

    async def configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """GET /v1/configuration."""
        if not self._is_operator(request):
            return _refuse(refusals.unauthenticated())
        return _answer(orjson.dumps(self._status.configuration()))

    async def exposition(self, request: requests.Request) -> responses.Response:
        """GET /metrics."""
        return responses.Response(
            self._metrics.exposition(), media_type="text/plain"
        )

    async def live(self, request: requests.Request) -> responses.Response:
        """GET /livez."""
        return responses.PlainTextResponse("live")

    async def ready(self, request: requests.Request) -> responses.Response:
        """GET /readyz."""
        if self._status.is_ready():
            return responses.PlainTextResponse("ready")
        return responses.PlainTextResponse(self._status.state(), 503)

    async def _decode(
        self, request: requests.Request, arrived_at: int, decode
    ) -> result.Result[object, messages.Refusal]:
        body = await self._read_body(request)
        if body.is_err():
            return body
        return decode(body.unwrap(), arrived_at, self._settings)

    async def _read_body(
        self, request: requests.Request
    ) -> result.Result[bytes, messages.Refusal]:
        limit = self._settings.max_body_bytes
        parts: list[bytes] = []
        size = 0
        timeout_s = self._settings.body_timeout_ms / clocks.MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                async for part in request.stream():
                    size += len(part)
                    if size > limit:
                        return result.Err(refusals.too_large(limit))
                    parts.append(part)
        except TimeoutError:
            return result.Err(refusals.too_slow(self._settings.body_timeout_ms))
        except requests.ClientDisconnect:
            return result.Err(
                refusals.malformed("the caller left", "send the whole body")
            )
        return result.Ok(b"".join(parts))

    def _is_operator(self, request: requests.Request) -> bool:
        digest = hashlib.sha256(_key_of(request).encode()).hexdigest()
        return hmac.compare_digest(digest, self._operator_key_digest)

    def _note(self, outcome, backend: str, arrived_at: int) -> None:
        seconds = (self._clock.now() - arrived_at) / clocks.MS_PER_S
        if outcome.is_ok():
            self._metrics.record_latency(seconds, backend, "answered")
            return
        refusal = outcome.unwrap_err()
        kind = messages.RefusalKind(refusal.kind)
        # An unknown back end is the caller's text: no label for it.
        known = kind != messages.RefusalKind.FORBIDDEN_BACKEND
        name = backend if known else "unknown"
        self._metrics.record_latency(seconds, name, kind.name.lower())


def make_app(handlers: ApiHandlers) -> applications.Starlette:
    """Returns the application of a daemon's front."""
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


async def _unless_caller_leaves(request: requests.Request, work):
    """Returns the outcome of the work; ends it when the caller leaves."""
    task = asyncio.ensure_future(work)
    watcher = asyncio.create_task(_wait_until_left(request, task))
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


async def _wait_until_left(
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


def _answer(body: bytes) -> responses.Response:
    return responses.Response(body, media_type=_JSON)


def _refuse(refusal: messages.Refusal) -> responses.Response:
    headers = {}
    if refusal.retry_after_ms is not None:
        # The header has whole seconds; the body has the exact time.
        seconds = -(-refusal.retry_after_ms // clocks.MS_PER_S)
        headers["retry-after"] = str(seconds)
    if refusal.kind == messages.RefusalKind.LEAVING:
        headers["connection"] = "close"
    return responses.Response(
        codec.encode_refusal(refusal),
        codec.STATUS_BY_REFUSAL_KIND[refusal.kind],
        headers,
        _JSON,
    )
