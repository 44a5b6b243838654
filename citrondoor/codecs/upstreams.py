"""Requests to searchers and their responses: HTTP/1.1 with JSON bodies."""

import orjson

from citrondoor.codecs import http1
from citrondoor.schema import messages

_OUTCOME_BY_STATUS = {
    200: messages.SubOutcome.ANSWERED,
    409: messages.SubOutcome.SNAPSHOT_MISSING,
    499: messages.SubOutcome.CANCELLED,
    503: messages.SubOutcome.SHED,
}


def encode_head(path: str, host: str) -> bytes:
    """Returns the start of the head of all requests to a path of a searcher."""
    return (
        f"POST {path} HTTP/1.1\r\nhost: {host}\r\n"
        "content-type: application/json\r\n"
    ).encode()


def encode_search_prefix(
    request: messages.SearchRequest, snapshot: str, top: int
) -> bytes:
    """Returns the start of the body of all sub-requests of a query.

    It is a JSON object without its closing brace; `encode_sub_request` adds
    the other keys.
    """
    body = {"query": request.query, "snapshot": snapshot, "top": top}
    return orjson.dumps(body)[:-1]


def encode_sub_request(
    head: bytes,
    prefix: bytes,
    sub_request: messages.SubRequest,
    deadline_ms: int,
) -> bytes:
    """Encodes one sub-request.

    Args:
      head: Result of `encode_head` for the searcher.
      prefix: Result of `encode_search_prefix` for the query.
      sub_request: The shards to search, and the number of the attempt.
      deadline_ms: Time until the answer is due, in milliseconds.
    """
    shards = orjson.dumps(sub_request.shards)
    body = b'%b,"id":%d,"shards":%b}' % (prefix, sub_request.attempt, shards)
    return b"%bx-deadline-ms: %d\r\ncontent-length: %d\r\n\r\n%b" % (
        head,
        deadline_ms,
        len(body),
        body,
    )


def encode_run(
    head: bytes, attempt: int, request: messages.RunRequest, deadline_ms: int
) -> bytes:
    """Encodes one non-idempotent request."""
    request_id = f"{request.id.session}.{request.id.number}"
    body = orjson.dumps(
        {"id": attempt, "request_id": request_id, "body": request.body}
    )
    return b"%bx-deadline-ms: %d\r\ncontent-length: %d\r\n\r\n%b" % (
        head,
        deadline_ms,
        len(body),
        body,
    )


def encode_cancel(head: bytes, attempt: int, cancelled: int) -> bytes:
    """Encodes the cancellation of a request that another connection carries.

    Args:
      head: Result of `encode_head` for the path of cancellations.
      attempt: Number that the searcher repeats in its response.
      cancelled: Number of the request to cancel.
    """
    body = b'{"id":%d,"cancel":%d}' % (attempt, cancelled)
    return b"%bcontent-length: %d\r\n\r\n%b" % (head, len(body), body)


class Response:
    """One response of a searcher.

    Args:
      status: HTTP status.
      attempt: Number of the request that it answers; -1 if the body has none.
      content: Decoded JSON body; empty if `attempt` is -1.
    """

    __slots__ = ("attempt", "content", "status")

    def __init__(self, status: int, attempt: int, content: dict):
        self.status = status
        self.attempt = attempt
        self.content = content


class ResponseReader:
    """Parses the responses in the byte stream of one connection.

    The limits of `http1.ResponseReader` apply.
    """

    __slots__ = ("_reader",)

    def __init__(self):
        self._reader = http1.ResponseReader()

    @property
    def has_partial(self) -> bool:
        """Whether a response has been received in part."""
        return self._reader.has_partial

    @property
    def kept_bytes(self) -> int:
        """Estimate of the memory of the partly received response, in bytes."""
        return self._reader.kept_bytes

    @property
    def is_endless(self) -> bool:
        """Whether the partly received response has no end in sight."""
        return self._reader.is_endless

    def drop(self) -> None:
        """Drops all that was received; `feed` must not be called again."""
        self._reader.drop()

    def feed(self, data: bytes) -> list[Response]:
        """Parses bytes and returns the responses that they complete.

        Raises:
          http1.ProtocolError: The bytes are not a response, or exceed a limit.
            `take_responses` returns those that were complete before.
        """
        return [_decode_response(parsed) for parsed in self._reader.feed(data)]

    def take_responses(self) -> list[Response]:
        """Returns the complete responses that `feed` has not returned."""
        return [
            _decode_response(parsed) for parsed in self._reader.take_responses()
        ]


def _decode_response(parsed: http1.Response) -> Response:
    try:
        content = orjson.loads(parsed.body)
        attempt = content["id"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return Response(parsed.status, -1, {})
    if type(attempt) is not int:
        return Response(parsed.status, -1, {})
    return Response(parsed.status, attempt, content)


def decode_sub_answer(response: Response) -> messages.SubAnswer:
    """Returns the sub-answer of a response; FAILED if it is malformed."""
    outcome = _OUTCOME_BY_STATUS.get(
        response.status, messages.SubOutcome.FAILED
    )
    if outcome != messages.SubOutcome.ANSWERED:
        return messages.SubAnswer(response.attempt, outcome)
    try:
        content = response.content
        shards = [_decode_shard(shard) for shard in content["shards"]]
        return messages.SubAnswer(
            response.attempt, outcome, content["snapshot"], shards
        )
    except (KeyError, TypeError, ValueError):
        return messages.SubAnswer(response.attempt, messages.SubOutcome.FAILED)


def _decode_shard(shard: dict) -> messages.ShardAnswer:
    scores, ids = shard["scores"], shard["ids"]
    if len(scores) != len(ids):
        raise ValueError("scores and ids differ in length")
    return messages.ShardAnswer(shard["shard"], shard["records"], scores, ids)


def decode_run_answer(response: Response) -> messages.SubAnswer:
    """Returns the outcome and the result of a non-idempotent request.

    An answer without a result text is FAILED.
    """
    outcome = _OUTCOME_BY_STATUS.get(
        response.status, messages.SubOutcome.FAILED
    )
    result = response.content.get("result")
    if outcome == messages.SubOutcome.ANSWERED and not isinstance(result, str):
        outcome = messages.SubOutcome.FAILED
    return messages.SubAnswer(
        response.attempt,
        outcome,
        result=result if isinstance(result, str) else "",
    )
