"""Sub-requests and sub-answers of searchers: HTTP/1.1 with JSON bodies."""

import httptools
import orjson

from citrondoor.schema import messages

MAX_RESPONSE_BYTES = 16_777_216

_OUTCOMES = {
    200: messages.SubOutcome.ANSWERED,
    409: messages.SubOutcome.SNAPSHOT_MISSING,
    499: messages.SubOutcome.CANCELLED,
    503: messages.SubOutcome.SHED,
}


def encode_head(path: str, host: str) -> bytes:
    """Returns the part of a request's head that never changes."""
    return (
        f"POST {path} HTTP/1.1\r\nhost: {host}\r\n"
        "content-type: application/json\r\n"
    ).encode()


def encode_search_prefix(
    request: messages.SearchRequest, snapshot: str, top: int
) -> bytes:
    """Returns the part of a body that all sub-requests of a query share."""
    body = {"query": request.query, "snapshot": snapshot, "top": top}
    return orjson.dumps(body)[:-1]


def encode_sub_request(
    head: bytes,
    prefix: bytes,
    sub_request: messages.SubRequest,
    deadline_ms: int,
) -> bytes:
    """Returns the bytes of one sub-request.

    Args:
      head: Result of `encode_head` for the searcher.
      prefix: Result of `encode_search_prefix` for the query.
      sub_request: The shards to ask for.
      deadline_ms: Time that the searcher has, in milliseconds.
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
    """Returns the bytes of one non-idempotent request."""
    name = f"{request.id.session}.{request.id.number}"
    body = orjson.dumps(
        {"id": attempt, "request_id": name, "body": request.body}
    )
    return b"%bx-deadline-ms: %d\r\ncontent-length: %d\r\n\r\n%b" % (
        head,
        deadline_ms,
        len(body),
        body,
    )


def encode_cancel(head: bytes, attempt: int, cancelled: int) -> bytes:
    """Returns the bytes that cancel a sub-request on another connection."""
    body = b'{"id":%d,"cancel":%d}' % (attempt, cancelled)
    return b"%bcontent-length: %d\r\n\r\n%b" % (head, len(body), body)


class Response:
    """One response of a searcher.

    Args:
      status: HTTP status.
      attempt: Number of the sub-request that it answers; -1 when unreadable.
      content: Decoded body.
    """

    __slots__ = ("attempt", "content", "status")

    def __init__(self, status: int, attempt: int, content: dict):
        self.status = status
        self.attempt = attempt
        self.content = content


class ResponseReader:
    """Splits the bytes of one connection into responses."""

    __slots__ = ("_body", "_parser", "_responses", "_size")

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size = 0
        self._responses: list[Response] = []

    def feed(self, data: bytes) -> list[Response]:
        """Takes bytes and returns the responses that they complete.

        Raises:
          ValueError: The bytes are no HTTP or a body is too long.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ValueError(str(error)) from error
        responses = self._responses
        self._responses = []
        return responses

    def on_body(self, data: bytes) -> None:
        """Takes a part of a body; called by the parser."""
        self._size += len(data)
        if self._size > MAX_RESPONSE_BYTES:
            raise httptools.HttpParserError("the body is too long")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Completes a response; called by the parser."""
        status = self._parser.get_status_code()
        body = b"".join(self._body)
        self._body = []
        self._size = 0
        self._responses.append(_decode_response(status, body))


def _decode_response(status: int, body: bytes) -> Response:
    try:
        content = orjson.loads(body)
        attempt = content["id"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return Response(status, -1, {})
    if type(attempt) is not int:
        return Response(status, -1, {})
    return Response(status, attempt, content)


def decode_sub_answer(response: Response) -> messages.SubAnswer:
    """Returns the sub-answer of a response; unreadable ones are failures."""
    outcome = _OUTCOMES.get(response.status, messages.SubOutcome.FAILED)
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
    """Returns the outcome and the result of a non-idempotent request."""
    outcome = _OUTCOMES.get(response.status, messages.SubOutcome.FAILED)
    result = response.content.get("result")
    if outcome == messages.SubOutcome.ANSWERED and not isinstance(result, str):
        outcome = messages.SubOutcome.FAILED
    return messages.SubAnswer(
        response.attempt,
        outcome,
        result=result if isinstance(result, str) else "",
    )
