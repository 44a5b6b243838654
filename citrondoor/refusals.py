"""Builds the refusals of requests.

Each has a typed kind and says what the caller can do. `ran` is `NO` only if no
part of the request was executed and none can be executed later.
"""

from citrondoor.schema import messages

_Kind = messages.RefusalKind
_NO = messages.Ran.NO
_UNKNOWN = messages.Ran.UNKNOWN

OVERLOAD_RETRY_AFTER_MS = 100
NOT_READY_RETRY_AFTER_MS = 500
UNAVAILABLE_RETRY_AFTER_MS = 250
WASTEFUL_RETRY_AFTER_MS = 1000
MEMORY_RETRY_AFTER_MS = 500
CONNECTIONS_RETRY_AFTER_MS = 1000


def malformed(detail: str, remedy: str) -> messages.Refusal:
    """The request cannot be parsed."""
    return messages.Refusal(_Kind.MALFORMED, detail, remedy, _NO)


def too_large(limit_bytes: int) -> messages.Refusal:
    """The request's body is over the limit."""
    return messages.Refusal(
        _Kind.TOO_LARGE,
        f"the body has more than {limit_bytes} bytes",
        "send a smaller query",
        _NO,
    )


def too_slow(limit_ms: int) -> messages.Refusal:
    """The request's body did not arrive in time."""
    return messages.Refusal(
        _Kind.TOO_SLOW,
        f"the body did not arrive within {limit_ms} ms",
        "send the whole body at once",
        _NO,
    )


def unauthenticated() -> messages.Refusal:
    """The request has no key of a contract, or not the operator's if needed."""
    return messages.Refusal(
        _Kind.UNAUTHENTICATED,
        "the key belongs to no contract",
        "send your key as `Authorization: Bearer KEY`",
        _NO,
    )


def forbidden_backend(customer: str, backend: str) -> messages.Refusal:
    """The contract does not name the back end."""
    return messages.Refusal(
        _Kind.FORBIDDEN_BACKEND,
        f"the contract of {customer!r} does not include {backend!r}",
        "ask for a back end that the contract names",
        _NO,
    )


def wrong_request_kind(backend: str, path: str) -> messages.Refusal:
    """The back end does not accept requests of this kind."""
    return messages.Refusal(
        _Kind.FORBIDDEN_BACKEND,
        f"the back end {backend!r} does not take this kind of request",
        f"send it to {path}",
        _NO,
    )


def unknown_shard(shard: str, snapshot: str) -> messages.Refusal:
    """The request names a shard that the snapshot does not have."""
    return messages.Refusal(
        _Kind.MALFORMED,
        f"the snapshot {snapshot!r} has no shard {shard!r}",
        "leave out `shards` to ask all of them",
        _NO,
    )


def too_wide(width: int, limit: int) -> messages.Refusal:
    """The request is for more shards than the contract allows."""
    return messages.Refusal(
        _Kind.TOO_WIDE,
        f"the request asks {width} shards and the contract allows {limit}",
        "name fewer shards in `shards`",
        _NO,
    )


def rate_exceeded(customer: str, retry_after_ms: int) -> messages.Refusal:
    """The customer's request rate exceeds its contract."""
    return messages.Refusal(
        _Kind.RATE_EXCEEDED,
        f"{customer!r} asks faster than its contract allows",
        "send the same request again later",
        _NO,
        retry_after_ms,
    )


def quantity_exceeded(customer: str, month: str) -> messages.Refusal:
    """The customer's monthly quantity is used up."""
    return messages.Refusal(
        _Kind.QUANTITY_EXCEEDED,
        f"{customer!r} has used its quantity for {month}",
        "wait for the next month or change the contract",
        _NO,
    )


def deadline_expired() -> messages.Refusal:
    """The deadline passed before any searcher was called."""
    return messages.Refusal(
        _Kind.DEADLINE_EXPIRED,
        "the deadline passed before the request was started",
        "send the same request again with a later deadline",
        _NO,
    )


def overloaded() -> messages.Refusal:
    """The daemon executes its maximum number of concurrent requests."""
    return messages.Refusal(
        _Kind.OVERLOADED,
        "this entry has no room for another request",
        "send the same request again, to another entry of /v1/entries",
        _NO,
        OVERLOAD_RETRY_AFTER_MS,
    )


def short_of_memory() -> messages.Refusal:
    """The daemon keeps too much of the messages of all senders."""
    return messages.Refusal(
        _Kind.OVERLOADED,
        "this entry is short of memory for another request",
        "send the same request again later, or to another entry",
        _NO,
        MEMORY_RETRY_AFTER_MS,
    )


def too_wasteful(reason: str) -> messages.Refusal:
    """All senders take too much processor time, and this request the most.

    Args:
      reason: What is wrong with the request.
    """
    return messages.Refusal(
        _Kind.OVERLOADED,
        reason,
        "send the same request in larger parts, later or to another entry",
        _NO,
        WASTEFUL_RETRY_AFTER_MS,
    )


def too_many_connections() -> messages.Refusal:
    """The daemon has its maximum number of callers' connections."""
    return messages.Refusal(
        _Kind.OVERLOADED,
        "this entry has no room for another connection",
        "send the same request again later, or to another entry",
        _NO,
        CONNECTIONS_RETRY_AFTER_MS,
    )


def leaving() -> messages.Refusal:
    """The daemon is shutting down."""
    return messages.Refusal(
        _Kind.LEAVING,
        "this entry is shutting down",
        "ask /v1/entries of another entry and send it there",
        _NO,
        0,
    )


def ends_too_soon(missing_ms: int) -> messages.Refusal:
    """The daemon would end before the request does."""
    return messages.Refusal(
        _Kind.LEAVING,
        f"this entry shuts down {missing_ms} ms before the request may end",
        "send the same request to another entry",
        _NO,
    )


def zone_out(zone: str, others: list[str]) -> messages.Refusal:
    """The daemon's zone or VM is out of service."""
    named = ", ".join(others) or "none known"
    return messages.Refusal(
        _Kind.ZONE_OUT,
        f"this entry in zone {zone!r} is out of service",
        f"send the same request to another entry: {named}",
        _NO,
        0,
    )


def not_ready(detail: str) -> messages.Refusal:
    """The daemon has not joined, or has no confirmed configuration."""
    return messages.Refusal(
        _Kind.NOT_READY,
        detail,
        "send the same request again, to another entry of /v1/entries",
        _NO,
        NOT_READY_RETRY_AFTER_MS,
    )


def not_joined() -> messages.Refusal:
    """The daemon has not joined, so it can't forward a run to its arbiter.

    `ran` is `UNKNOWN`, because an earlier attempt may have been executed.
    """
    return messages.Refusal(
        _Kind.NOT_READY,
        "this entry has not joined the fleet and cannot ask the arbiter",
        "send the same request again, to another entry of /v1/entries",
        _UNKNOWN,
        NOT_READY_RETRY_AFTER_MS,
    )


def no_snapshot(backend: str) -> messages.Refusal:
    """No snapshot of the back end is declared."""
    return messages.Refusal(
        _Kind.UNAVAILABLE,
        f"no snapshot of {backend!r} is published",
        "ask the operators to publish one",
        _NO,
        UNAVAILABLE_RETRY_AFTER_MS,
    )


def unavailable(backend: str, ran: messages.Ran) -> messages.Refusal:
    """No searcher of the back end answered."""
    return messages.Refusal(
        _Kind.UNAVAILABLE,
        f"no searcher of {backend!r} answered in time",
        "send the same request again with a later deadline",
        ran,
        UNAVAILABLE_RETRY_AFTER_MS,
    )


def not_counted(ran: messages.Ran) -> messages.Refusal:
    """The request's count could not be replicated to other zones."""
    return messages.Refusal(
        _Kind.NOT_COUNTED,
        "the count could not be stored in another zone",
        "send the same request again, to another entry of /v1/entries",
        ran,
        NOT_READY_RETRY_AFTER_MS,
    )


def outcome_unknown(detail: str) -> messages.Refusal:
    """It is unknown whether a non-idempotent request was executed."""
    return messages.Refusal(
        _Kind.ARBITER_GONE,
        detail,
        "look up the outcome at the back end; do not send it under a new id"
        " before that",
        _UNKNOWN,
    )


def in_progress() -> messages.Refusal:
    """A request with the same id is being executed."""
    return messages.Refusal(
        _Kind.IN_PROGRESS,
        "a request with this id is being executed",
        "send the same request again for its result",
        _UNKNOWN,
        OVERLOAD_RETRY_AFTER_MS,
    )


def unknown_session() -> messages.Refusal:
    """The session of a non-idempotent request is malformed."""
    return messages.Refusal(
        _Kind.MALFORMED,
        "the session of the request id was not issued by /v1/entries",
        "take `session` from /v1/entries",
        _NO,
    )


def unknown_route(host: str, path: str, version: int) -> messages.Refusal:
    """No route matches the host and path."""
    return messages.Refusal(
        _Kind.UNKNOWN_ROUTE,
        f"no route of {host!r} begins {path!r} in version {version}",
        "declare a route for it",
        _NO,
    )


def no_searcher(
    route: str, backends: list[str], retry_after_ms: int
) -> messages.Refusal:
    """Too few back ends answered; the request wasn't executed and won't be."""
    return messages.Refusal(
        _Kind.UNAVAILABLE,
        f"route {route!r} lacks a searcher of {len(backends)} back ends,"
        f" {', '.join(backends[:3])} among them",
        "send the same request again later",
        _NO,
        retry_after_ms,
    )


def upstream_failed(route: str, backends: list[str]) -> messages.Refusal:
    """Too few back ends answered; searchers may have executed the request."""
    return messages.Refusal(
        _Kind.UPSTREAM_FAILED,
        f"route {route!r} got no answer of {len(backends)} back ends,"
        f" {', '.join(backends[:3])} among them",
        "send the same request again if it may run twice",
        _UNKNOWN,
    )


def head_too_large(detail: str) -> messages.Refusal:
    """The request's head is over the limit."""
    return messages.Refusal(
        _Kind.HEAD_TOO_LARGE, detail, "send shorter headers", _NO
    )
