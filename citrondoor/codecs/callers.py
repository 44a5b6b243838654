"""Requests and answers of callers, as JSON bodies."""

import re

import orjson
import result

from citrondoor import refusals
from citrondoor.schema import declarations
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

# Request numbers must be smaller than this.
REQUEST_NUMBER_LIMIT = 1 << 53
# Of a query, and of the body of a non-idempotent request.
MAX_TEXT_CHARS = 16_384
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
    """Raised by the parsing functions for a malformed body.

    Args:
      refusal: The refusal to return to the caller.
    """

    def __init__(self, refusal: messages.Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


def _make_error(detail: str, remedy: str) -> _MalformedError:
    return _MalformedError(refusals.malformed(detail, remedy))


def decode_search(
    data: bytes, now: int, settings: schema_settings.CallerSettings
) -> result.Result[messages.SearchRequest, messages.Refusal]:
    """Decodes a search request; returns a refusal if it is malformed.

    Args:
      data: The body.
      now: Clock reading at which the request arrived, in milliseconds.
      settings: Default and maximum of the deadline.
    """
    try:
        content = _parse_object(data, _SEARCH_KEYS)
        request = messages.SearchRequest(
            id=_get_request_id(content),
            backend=_get_text(content, "backend", 100),
            query=_get_text(content, "query", MAX_TEXT_CHARS),
            top=_get_integer(content, "top", 0, 0, 1_000_000),
            shards=_get_names(content, "shards"),
            deadline_at=now + _get_deadline_ms(content, settings),
        )
    except _MalformedError as error:
        return result.Err(error.refusal)
    return result.Ok(request)


def decode_run(
    data: bytes, now: int, settings: schema_settings.CallerSettings
) -> result.Result[messages.RunRequest, messages.Refusal]:
    """Decodes a non-idempotent request, as `decode_search` does."""
    try:
        content = _parse_object(data, _RUN_KEYS)
        request = messages.RunRequest(
            id=_get_request_id(content),
            backend=_get_text(content, "backend", 100),
            body=_get_text(content, "body", MAX_TEXT_CHARS),
            deadline_at=now + _get_deadline_ms(content, settings),
        )
    except _MalformedError as error:
        return result.Err(error.refusal)
    return result.Ok(request)


def parse_id(text: str) -> messages.RequestId | None:
    """Parses an id of the form `SESSION.NUMBER`; None if it is malformed."""
    match = _ID_PATTERN.fullmatch(text)
    if match is None or not 0 < int(match.group(2)) < REQUEST_NUMBER_LIMIT:
        return None
    return messages.RequestId(match.group(1), int(match.group(2)))


def format_id(request_id: messages.RequestId) -> str:
    """Returns the text of an id."""
    return f"{request_id.session}.{request_id.number}"


def encode_search_answer(answer: messages.SearchAnswer) -> bytes:
    """Returns the body of a search answer."""
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
                {"score": hit.score, "record": hit.record, "shard": hit.shard}
                for hit in answer.hits
            ],
            "truncated": answer.truncated,
            "receipt": _receipt_content(answer.receipt),
        }
    )


def encode_run_answer(answer: messages.RunAnswer) -> bytes:
    """Returns the body of a non-idempotent request's answer."""
    return orjson.dumps(
        {
            "id": format_id(answer.id),
            "result": answer.result,
            "repeated": answer.repeated,
            "receipt": _receipt_content(answer.receipt),
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
            "receipt": _receipt_content(refusal.receipt),
        }
    )


def encode_entries(
    vms: list[declarations.Vm], ttl_ms: int, session: str
) -> bytes:
    """Returns the body of /v1/entries.

    Args:
      vms: VMs that callers may send requests to.
      ttl_ms: How long callers may use the list.
      session: Session for the ids of the caller's requests.
    """
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
                    "wall_ms": event.wall_ms,
                    "vm": event.vm,
                    "incarnation": event.incarnation,
                    "kind": event.kind,
                    "detail": event.detail,
                }
                for event in events
            ]
        }
    )


def _receipt_content(receipt: messages.Receipt | None) -> dict | None:
    if receipt is None:
        return None
    return {
        "counted": receipt.counted,
        "month": receipt.month,
        "id": format_id(receipt.id),
        "repeated": receipt.repeated,
    }


def _parse_object(data: bytes, allowed_keys: frozenset[str]) -> dict:
    try:
        content = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise _make_error(
            f"the body is no JSON: {error}", "send a JSON object"
        ) from error
    if not isinstance(content, dict):
        raise _make_error("the body is no JSON object", "send a JSON object")
    unknown_keys = sorted(content.keys() - allowed_keys)
    if unknown_keys:
        raise _make_error(
            f"unknown field {unknown_keys[0]!r}",
            f"use one of: {', '.join(sorted(allowed_keys))}",
        )
    return content


def _get_request_id(content: dict) -> messages.RequestId:
    text = content.get("id")
    parsed = parse_id(text) if isinstance(text, str) else None
    if parsed is None:
        raise _make_error(f"the id {text!r} is not valid", _ID_REMEDY)
    return parsed


def _get_text(content: dict, key: str, max_chars: int) -> str:
    value = content.get(key)
    if not isinstance(value, str) or not value or len(value) > max_chars:
        raise _make_error(
            f"{key!r} is missing or no text of 1 to {max_chars} characters",
            f"send {key!r} as text",
        )
    return value


def _get_integer(
    content: dict, key: str, default: int, min_value: int, max_value: int
) -> int:
    value = content.get(key, default)
    if type(value) is not int or not min_value <= value <= max_value:
        raise _make_error(
            f"{key!r} is {value!r}",
            f"send a whole number from {min_value} to {max_value}",
        )
    return value


def _get_names(content: dict, key: str) -> list[str]:
    value = content.get(key, [])
    is_list = isinstance(value, list)
    if not is_list or not all(isinstance(item, str) for item in value):
        raise _make_error(
            f"{key!r} is no list of names", "send a list of texts"
        )
    return sorted(set(value))


def _get_deadline_ms(
    content: dict, settings: schema_settings.CallerSettings
) -> int:
    return _get_integer(
        content,
        "deadline_ms",
        settings.default_deadline_ms,
        1,
        settings.max_deadline_ms,
    )
