"""Requests and answers of callers: JSON bodies."""

import re

import orjson
import result

from citrondoor import refusals
from citrondoor.schema import declarations
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

MAX_NUMBER = 1 << 53
MAX_QUERY_CHARS = 16_384
_ID_PATTERN = re.compile(r"([A-Za-z0-9~._-]{1,100})\.([0-9]{1,16})")
_SEARCH_KEYS = frozenset(
    {"id", "backend", "query", "top", "shards", "deadline_ms"}
)
_RUN_KEYS = frozenset({"id", "backend", "body", "deadline_ms"})
_ID_REMEDY = (
    "use `SESSION.NUMBER` with the session of /v1/entries and numbers from 1"
)

STATUS_BY_REFUSAL_KIND = {
    messages.RefusalKind.MALFORMED: 400,
    messages.RefusalKind.TOO_LARGE: 413,
    messages.RefusalKind.TOO_SLOW: 408,
    messages.RefusalKind.UNAUTHENTICATED: 401,
    messages.RefusalKind.FORBIDDEN_BACKEND: 403,
    messages.RefusalKind.TOO_WIDE: 403,
    messages.RefusalKind.RATE_EXCEEDED: 429,
    messages.RefusalKind.QUANTITY_EXCEEDED: 429,
    messages.RefusalKind.DEADLINE_EXPIRED: 408,
    messages.RefusalKind.OVERLOADED: 503,
    messages.RefusalKind.LEAVING: 503,
    messages.RefusalKind.ZONE_OUT: 503,
    messages.RefusalKind.NOT_READY: 503,
    messages.RefusalKind.UNAVAILABLE: 503,
    messages.RefusalKind.NOT_COUNTED: 503,
    messages.RefusalKind.ARBITER_GONE: 502,
    messages.RefusalKind.IN_PROGRESS: 409,
    messages.RefusalKind.UNKNOWN_ROUTE: 404,
    messages.RefusalKind.UPSTREAM_FAILED: 502,
    messages.RefusalKind.TIMED_OUT: 504,
    messages.RefusalKind.HEAD_TOO_LARGE: 431,
}


class _MalformedError(Exception):
    """Carries a refusal out of the parsing functions."""

    def __init__(self, refusal: messages.Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


def _fail(detail: str, remedy: str) -> _MalformedError:
    return _MalformedError(refusals.malformed(detail, remedy))


def decode_search(
    data: bytes, now: int, settings: schema_settings.CallerSettings
) -> result.Result[messages.SearchRequest, messages.Refusal]:
    """Returns the search request of a body.

    Args:
      data: The body.
      now: Clock reading at which the request arrived, in milliseconds.
      settings: Limits of what callers may send.
    """
    try:
        content = _load(data, _SEARCH_KEYS)
        request = messages.SearchRequest(
            id=_request_id(content),
            backend=_text(content, "backend", 100),
            query=_text(content, "query", MAX_QUERY_CHARS),
            top=_integer(content, "top", 0, 0, 1_000_000),
            shards=_names(content, "shards"),
            deadline_at=now + _deadline_ms(content, settings),
        )
    except _MalformedError as error:
        return result.Err(error.refusal)
    return result.Ok(request)


def decode_run(
    data: bytes, now: int, settings: schema_settings.CallerSettings
) -> result.Result[messages.RunRequest, messages.Refusal]:
    """Returns the non-idempotent request of a body."""
    try:
        content = _load(data, _RUN_KEYS)
        request = messages.RunRequest(
            id=_request_id(content),
            backend=_text(content, "backend", 100),
            body=_text(content, "body", MAX_QUERY_CHARS),
            deadline_at=now + _deadline_ms(content, settings),
        )
    except _MalformedError as error:
        return result.Err(error.refusal)
    return result.Ok(request)


def parse_id(text: str) -> messages.RequestId | None:
    """Returns the id that a text names, or None."""
    match = _ID_PATTERN.fullmatch(text)
    if match is None or not 0 < int(match.group(2)) < MAX_NUMBER:
        return None
    return messages.RequestId(match.group(1), int(match.group(2)))


def format_id(request_id: messages.RequestId) -> str:
    """Returns an id as text."""
    return f"{request_id.session}.{request_id.number}"


def encode_search_answer(answer: messages.SearchAnswer) -> bytes:
    """Returns the body of an answer."""
    coverage = answer.coverage
    return orjson.dumps(
        {
            "id": format_id(answer.id),
            "snapshot": answer.snapshot,
            "coverage": {
                "shards_answered": coverage.shards_answered,
                "shards_total": coverage.shards_total,
                "records_answered": coverage.records_answered,
                "records_total": coverage.records_total,
                "missing": coverage.missing,
            },
            "hits": [
                {"score": h.score, "record": h.record, "shard": h.shard}
                for h in answer.hits
            ],
            "truncated": answer.truncated,
            "receipt": _receipt(answer.receipt),
        }
    )


def encode_run_answer(answer: messages.RunAnswer) -> bytes:
    """Returns the body of a non-idempotent request's answer."""
    return orjson.dumps(
        {
            "id": format_id(answer.id),
            "result": answer.result,
            "repeated": answer.repeated,
            "receipt": _receipt(answer.receipt),
        }
    )


def encode_refusal(refusal: messages.Refusal) -> bytes:
    """Returns the body of a refusal."""
    return orjson.dumps(
        {
            "refused": messages.RefusalKind(refusal.kind).name.lower(),
            "detail": refusal.detail,
            "remedy": refusal.remedy,
            "ran": messages.Ran(refusal.ran).name.lower(),
            "retry_after_ms": refusal.retry_after_ms,
            "receipt": _receipt(refusal.receipt),
        }
    )


def encode_entries(
    vms: list[declarations.Vm], ttl_ms: int, session: str
) -> bytes:
    """Returns the body of /v1/entries."""
    entries = [
        {
            "vm": vm.name,
            "zone": vm.zone,
            "url": f"http://{vm.address}:{vm.http_port}",
        }
        for vm in vms
    ]
    return orjson.dumps(
        {"entries": entries, "keep_ms": ttl_ms, "session": session}
    )


def encode_events(events: list[messages.Event]) -> bytes:
    """Returns the body of /v1/timeline."""
    return orjson.dumps(
        {
            "events": [
                {
                    "wall_ms": e.wall_ms,
                    "vm": e.vm,
                    "incarnation": e.incarnation,
                    "kind": e.kind,
                    "detail": e.detail,
                }
                for e in events
            ]
        }
    )


def _receipt(receipt: messages.Receipt | None) -> dict | None:
    if receipt is None:
        return None
    return {
        "counted": receipt.counted,
        "month": receipt.month,
        "id": format_id(receipt.id),
        "repeated": receipt.repeated,
    }


def _load(data: bytes, known: frozenset[str]) -> dict:
    try:
        content = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise _fail(
            f"the body is no JSON: {error}", "send a JSON object"
        ) from error
    if not isinstance(content, dict):
        raise _fail("the body is no JSON object", "send a JSON object")
    unknown = sorted(content.keys() - known)
    if unknown:
        raise _fail(
            f"unknown field {unknown[0]!r}",
            f"use one of: {', '.join(sorted(known))}",
        )
    return content


def _request_id(content: dict) -> messages.RequestId:
    text = content.get("id")
    parsed = parse_id(text) if isinstance(text, str) else None
    if parsed is None:
        raise _fail(f"the id {text!r} is not valid", _ID_REMEDY)
    return parsed


def _text(content: dict, key: str, limit: int) -> str:
    value = content.get(key)
    if not isinstance(value, str) or not value or len(value) > limit:
        raise _fail(
            f"{key!r} is missing or no text of 1 to {limit} characters",
            f"send {key!r} as text",
        )
    return value


def _integer(content: dict, key: str, default: int, low: int, high: int) -> int:
    value = content.get(key, default)
    if type(value) is not int or not low <= value <= high:
        raise _fail(
            f"{key!r} is {value!r}", f"send a whole number from {low} to {high}"
        )
    return value


def _names(content: dict, key: str) -> list[str]:
    value = content.get(key, [])
    is_list = isinstance(value, list)
    if not is_list or not all(isinstance(item, str) for item in value):
        raise _fail(f"{key!r} is no list of names", "send a list of texts")
    return sorted(set(value))


def _deadline_ms(
    content: dict, settings: schema_settings.CallerSettings
) -> int:
    return _integer(
        content,
        "deadline_ms",
        settings.default_deadline_ms,
        1,
        settings.max_deadline_ms,
    )
