"""Parsing and encoding of HTTP/1.1 requests and responses.

Works on bytes, so that header values and bodies can be forwarded unchanged;
starlette and aiosonic rewrite them. Header names are converted to lower case.
The parser is httptools, which uvicorn uses as well.
"""

import http
import re

import httptools

from citrondoor.codecs import header_numbers

# Headers that are never forwarded: those that apply to one connection only,
# `expect`, which the server answers itself, and `content-length`, which
# `encode_request` and `encode_response` set anew.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Bytes of one response that are not part of its body: heads, interim responses,
# and what surrounds the chunks.
MAX_RESPONSE_HEAD_BYTES = 65_536
MAX_RESPONSE_BODY_BYTES = 16_777_216
# Further bytes of this kind for each byte of the body; a chunk of one byte has
# 5 bytes around it, and some senders pad the chunk's length with zeros.
_FRAMING_PER_BODY_BYTE = 8
# Of a response, these further bytes are limited to this number and one for each
# two bytes of the body: each small chunk takes processor time.
MAX_RESPONSE_CHUNK_FRAMING_BYTES = 1_048_576
_BODY_BYTES_PER_FRAMING_BYTE = 2
# Complete responses that one call of `feed` may return. A searcher sends one
# for each request, and some send it twice.
MAX_RESPONSES_AT_ONCE = 16
# Interim responses (1xx) before the final one; servers send one or two.
MAX_INTERIM_RESPONSES = 16
# Those of RFC 9110; nothing else is the status of a response.
_STATUSES = range(100, 600)
# Memory of a header besides its bytes: two `bytes`, a tuple, a place in a list.
_HEADER_OBJECT_BYTES = 170
_HEADER_SEPARATOR_BYTES = 2
# Memory of the other objects of a message.
_MESSAGE_OBJECT_BYTES = 512
# A `bytearray` that grows reserves an eighth more than it holds.
_RESERVED_SHARE = 0.125
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Memory of a request's header besides its bytes (two `bytes`, a tuple, a place
# in a list), and of a request's other objects.
_REQUEST_HEADER_BYTES = 200
_REQUEST_BYTES = 1024
# A status line. In a reason phrase or in the value of a header, it begins
# another response.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}[ \r]")
_LINE_END = re.compile(rb"[\r\n]")
# They may follow the value of a header and are no part of it; the parser only
# removes those before it.
_BLANKS = b" \t"
_HEAD_END = b"\r\n\r\n"
# Longer timeouts of idle connections are taken for this one.
_MAX_KEEP_ALIVE_S = 86_400
# Looked for before the patterns, which takes less time.
_PROTOCOL = b"HTTP/1."
# Longer than a status line up to the status.
_STATUS_LINE_BYTES = 16
# A status line and the name of a header, as at the start of a response. The
# text may end before the name.
_RESPONSE_START = re.compile(
    _STATUS_LINE.pattern + rb"[^\r\n]*(\Z|\r\Z|\r\n[!-9;-~]*(\Z|:))"
)

Headers = list[tuple[bytes, bytes]]


class ProtocolError(ValueError):
    """Raised for bytes that are not HTTP/1.1 or exceed a limit.

    Args:
      status: Status of the response that reports the error to a caller.
      detail: What is wrong, for the error message.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class WastefulError(ProtocolError):
    """Raised for a message whose parts take too much processor time."""


class Request:
    """A complete request of a caller.

    Args:
      method: HTTP method.
      target: Path and query as sent.
      headers: Headers, with names in lower case.
      body: Body; empty if there is none.
      keeps_alive: Whether the caller may send another request.

    Attributes:
      round_trip_ms: Round-trip time of the caller's connection, rounded up;
        0 if unknown.
    """

    __slots__ = (
        "body",
        "headers",
        "keeps_alive",
        "method",
        "round_trip_ms",
        "target",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        keeps_alive: bool,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keeps_alive = keeps_alive
        self.round_trip_ms = 0

    @property
    def kept_bytes(self) -> int:
        """Estimate of the memory of the request, in bytes."""
        return (
            _REQUEST_BYTES
            + len(self.target)
            + len(self.body)
            + sum(
                len(name) + len(value) + _REQUEST_HEADER_BYTES
                for name, value in self.headers
            )
        )

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header_values(self, name: bytes) -> list[bytes]:
        """Returns the values of all headers with a name.

        Args:
          name: Name in lower case.
        """
        return [value for key, value in self.headers if key == name]


class Response:
    """A response from a searcher or to a caller.

    Args:
      status: HTTP status.
      headers: Headers, with names in lower case.
      body: Body; empty if there is none.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def may_be_spliced(self) -> bool:
        """Whether the body holds the start of another response.

        If the peer broke off this response and sent another one, the rest of
        that one follows the body, and is no response.
        """
        body = self.body
        if _PROTOCOL not in body:
            return False
        # One search of the whole body would take time that grows with the
        # square of a line's length.
        start = _STATUS_LINE.search(body)
        while start is not None:
            if _RESPONSE_START.match(body, start.start()) is not None:
                return True
            line_end = _LINE_END.search(body, start.end())
            if line_end is None:
                return False
            start = _STATUS_LINE.search(body, line_end.start())
        return False

    @property
    def kept_bytes(self) -> int:
        """Estimate of the memory of the response, in bytes."""
        return (
            _MESSAGE_OBJECT_BYTES
            + len(self.body)
            + sum(
                len(name) + len(value) + _HEADER_OBJECT_BYTES
                for name, value in self.headers
            )
        )

    def header_value(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None.

        Args:
          name: Name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class FramingMeter:
    """Limits the bytes of a message that are not part of its body.

    A peer can send these without end, in a head, in interim responses, in chunk
    extensions or in trailers, and none of the parser's limits applies.

    Args:
      max_bytes: Limit for a message without a body.
      max_chunk_bytes: Limit on what is allowed further, besides one byte for
        each two of the body; None if there is none.

    Attributes:
      framing_bytes: Bytes received of the message that are not part of its
        body.
    """

    __slots__ = (
        "_body_bytes",
        "_max_bytes",
        "_max_chunk_bytes",
        "framing_bytes",
    )

    def __init__(self, max_bytes: int, max_chunk_bytes: int | None = None):
        self._max_bytes = max_bytes
        self._max_chunk_bytes = max_chunk_bytes
        self._body_bytes = 0
        self.framing_bytes = 0

    @property
    def is_over_limit(self) -> bool:
        """Whether the message has too many bytes for its body."""
        if self.framing_bytes <= self._max_bytes:
            return False
        further = _FRAMING_PER_BODY_BYTE * self._body_bytes
        if self._max_chunk_bytes is not None:
            further = min(
                further,
                self._max_chunk_bytes
                + self._body_bytes // _BODY_BYTES_PER_FRAMING_BYTE,
            )
        return self.framing_bytes > self._max_bytes + further

    def record_received(self, byte_count: int) -> None:
        """Records received bytes, before it is known what they are."""
        self.framing_bytes += byte_count

    def record_body(self, byte_count: int) -> None:
        """Records that received bytes were part of the body."""
        self.framing_bytes = max(0, self.framing_bytes - byte_count)
        self._body_bytes += byte_count

    def reset(self) -> None:
        """Starts with the next message."""
        self.framing_bytes = 0
        self._body_bytes = 0


class RequestReader:
    """Parses the requests in the byte stream of a caller's connection.

    Args:
      max_head_bytes: Maximum size of a head.
      max_body_bytes: Maximum size of a body.

    Attributes:
      is_in_head: Whether a head is partly received. If its first bytes came
        together with the end of the previous request, it is False until more
        bytes arrive.
      is_in_body: Whether a head is complete and its body is not.
      expects_continue: Whether the current request waits for a `100 Continue`
        response before it sends its body.
      pieces: Calls of the parser for parts of messages; the owner resets it.
    """

    __slots__ = (
        "_body",
        "_error",
        "_head_bytes",
        "_header_bytes",
        "_headers",
        "_max_bytes",
        "_meter",
        "_parser",
        "_requests",
        "_target",
        "expects_continue",
        "is_in_body",
        "is_in_head",
        "pieces",
    )

    def __init__(self, max_head_bytes: int, max_body_bytes: int):
        # Of the head and of the body, in this order.
        self._max_bytes = (max_head_bytes, max_body_bytes)
        # Of what follows the head; the head has its own limit.
        self._meter = FramingMeter(max_head_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._requests: list[Request] = []
        self.pieces = 0
        self._error: ProtocolError | None = None
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: Headers = []
        # Of the headers, or of the trailers.
        self._header_bytes = 0
        self._body = bytearray()
        self._head_bytes = 0
        self.is_in_head = False
        self.is_in_body = False
        self.expects_continue = False

    @property
    def kept_bytes(self) -> int:
        """Estimate of the memory of the partly received request, in bytes."""
        if not self.is_in_head and not self.is_in_body:
            return 0
        return (
            _REQUEST_BYTES
            + len(self._target)
            # The parser holds a header until it is complete.
            + self._head_bytes
            + len(self._headers) * _REQUEST_HEADER_BYTES
            + self._body.__sizeof__()
        )

    def drop(self) -> None:
        """Drops all that was received; `feed` must not be called again."""
        # The parser refers to this object, which the garbage collector finds
        # late.
        self._parser = None
        self._error = None
        self._requests = []
        self._reset()

    def feed(self, data: bytes) -> list[Request]:
        """Parses bytes and returns the requests that they complete.

        Raises:
          ProtocolError: The bytes are not a request, or exceed a limit.
        """
        if not self.is_in_body:
            self.is_in_head = True
            self._head_bytes += len(data)
        else:
            self._meter.record_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise ProtocolError(400, "an upgrade of the protocol") from None
        except httptools.HttpParserError as error:
            raise self._error or ProtocolError(400, str(error)) from error
        if self.is_in_head and self._head_bytes > self._max_bytes[0]:
            raise ProtocolError(431, f"a head over {self._max_bytes[0]} bytes")
        if self._meter.is_over_limit:
            raise ProtocolError(
                431,
                f"over {self._max_bytes[0]} bytes of chunk extensions or"
                " trailers",
            )
        requests, self._requests = self._requests, []
        return requests

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target; called by the parser."""
        self.pieces += 1
        self._target += url
        if len(self._target) > self._max_bytes[0]:
            self._reject(431, f"a target over {self._max_bytes[0]} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header or trailer; called by the parser."""
        self.pieces += 1
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > self._max_bytes[0]:
            self._reject(431, f"a head over {self._max_bytes[0]} bytes")
        self._headers.append((name.lower(), value.rstrip(_BLANKS)))

    def on_headers_complete(self) -> None:
        """Reads how the body ends; called by the parser."""
        self._meter.reset()
        self._header_bytes = 0
        self.is_in_head = False
        self.is_in_body = True
        length = 0
        for name, value in self._headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"expect":
                self.expects_continue = value.lower() == b"100-continue"
        if length > self._max_bytes[1]:
            self._reject(413, f"a body over {self._max_bytes[1]} bytes")

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body; called by the parser."""
        self.pieces += 1
        self._meter.record_body(len(data))
        if len(self._body) + len(data) > self._max_bytes[1]:
            self._reject(413, f"a body over {self._max_bytes[1]} bytes")
        self._body += data

    def on_message_complete(self) -> None:
        """Ends a request; called by the parser."""
        self._requests.append(
            Request(
                self._parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )
        self._meter.reset()
        self._reset()

    def _reject(self, status: int, detail: str) -> None:
        self._error = ProtocolError(status, detail)
        raise self._error


class ResponseReader:
    """Parses the responses in the byte stream of a searcher's connection.

    A searcher may break off a response and send another one on the same
    connection. Bytes of two responses never make up one, except that a body
    with a length may be filled up, see `Response.may_be_spliced`.

    Args:
      max_body_bytes: Maximum size of a body.

    Attributes:
      pieces: Calls of the parser for parts of messages; the owner resets it.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_error",
        "_has_length",
        "_head_bytes",
        "_headers",
        "_interim_count",
        "_is_head_new",
        "_is_in_response",
        "_is_self_delimited",
        "_max_body_bytes",
        "_meter",
        "_metered_body_bytes",
        "_new_body_bytes",
        "_parser",
        "_reason",
        "_responses",
        "_status",
        "pieces",
    )

    def __init__(self, max_body_bytes: int = MAX_RESPONSE_BODY_BYTES):
        self._max_body_bytes = max_body_bytes
        self._meter = FramingMeter(
            MAX_RESPONSE_HEAD_BYTES, MAX_RESPONSE_CHUNK_FRAMING_BYTES
        )
        self._parser = httptools.HttpResponseParser(self)
        self._responses: list[Response] = []
        self.pieces = 0
        self._error: ProtocolError | None = None
        self._status = 0
        # Interim responses since the last final one.
        self._interim_count = 0
        self._reason = b""
        self._headers: Headers = []
        # Of the headers, trailers included.
        self._head_bytes = 0
        # One object, however many parts arrive; the first part as it is.
        self._body: bytes | bytearray = b""
        self._body_bytes = 0
        self._metered_body_bytes = 0
        self._has_length = False
        self._is_in_response = False
        self._is_self_delimited = True
        # Of the last response: whether its head ended, and how many bytes of
        # its body came, with the newest bytes.
        self._is_head_new = False
        self._new_body_bytes = 0

    @property
    def is_between_responses(self) -> bool:
        """Whether no byte of a further response has been received."""
        return not self._is_in_response

    @property
    def has_partial(self) -> bool:
        """Whether a response has been received in part."""
        return self._meter.framing_bytes > 0 or self._body_bytes > 0

    @property
    def kept_bytes(self) -> int:
        """Estimate of the memory of the partly received response, in bytes."""
        framing_bytes = self._meter.framing_bytes
        if not framing_bytes and not self._body_bytes:
            return 0
        return (
            _MESSAGE_OBJECT_BYTES
            + int(self._body_bytes * (1 + _RESERVED_SHARE))
            + self._head_bytes
            + len(self._headers) * _HEADER_OBJECT_BYTES
            # The parser holds a part of a header.
            + min(framing_bytes, MAX_RESPONSE_HEAD_BYTES)
        )

    @property
    def is_endless(self) -> bool:
        """Whether the partly received response has no end in sight.

        Its length is not declared, or more bytes surround the body than it has.
        """
        framing_bytes = self._meter.framing_bytes
        if not framing_bytes and not self._body_bytes:
            return False
        return not self._has_length or framing_bytes > self._body_bytes

    def drop(self) -> None:
        """Drops all that was received; `feed` must not be called again."""
        # The parser refers to this object, which the garbage collector finds
        # late.
        self._parser = None
        self._error = None
        self._responses = []
        self._status = 0
        self._reset()
        self._meter.reset()

    def feed(self, data: bytes) -> list[Response]:
        """Parses bytes and returns the responses that they complete.

        Raises:
          ProtocolError: The bytes are not a response, or exceed a limit.
            `take_responses` returns those that were complete before.
        """
        self._meter.record_received(len(data))
        self._is_head_new = False
        self._new_body_bytes = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise ProtocolError(502, "an upgrade of the protocol") from None
        except httptools.HttpParserError as error:
            self._drop_spliced(data)
            raise self._error or ProtocolError(502, str(error)) from error
        if self._body_bytes != self._metered_body_bytes:
            # Once for all chunks, which may be many.
            self._meter.record_body(self._body_bytes - self._metered_body_bytes)
            self._metered_body_bytes = self._body_bytes
        if self._meter.is_over_limit:
            raise ProtocolError(
                502,
                f"over {MAX_RESPONSE_HEAD_BYTES} bytes of heads, chunk"
                " extensions or trailers",
            )
        return self.take_responses()

    def take_responses(self) -> list[Response]:
        """Returns the complete responses that `feed` has not returned."""
        responses, self._responses = self._responses, []
        return responses

    def finish(self) -> Response | None:
        """Returns the response that the end of the connection completes.

        It is None if no response has begun, or if the connection broke off
        within one whose length is known.
        """
        if not self._status or self._is_self_delimited:
            return None
        response = Response(self._status, self._headers, bytes(self._body))
        self._status = 0
        self._reset()
        self._meter.reset()
        return None if response.may_be_spliced else response

    def on_message_begin(self) -> None:
        """Begins a response; called by the parser."""
        self._is_in_response = True
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Checks a part of the reason phrase; called by the parser."""
        self.pieces += 1
        self._reason += reason
        if _PROTOCOL in self._reason:
            self._check_is_no_start(self._reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; called by the parser."""
        self.pieces += 1
        if _PROTOCOL in value:
            self._check_is_no_start(value)
        self._headers.append((name.lower(), value.rstrip(_BLANKS)))
        self._head_bytes += len(name) + len(value) + _HEADER_SEPARATOR_BYTES
        if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            self._reject(f"over {MAX_RESPONSE_HEAD_BYTES} bytes of headers")

    def on_headers_complete(self) -> None:
        """Reads the status and how the body ends; called by the parser."""
        self._status = self._parser.get_status_code()
        self._is_head_new = True
        names = set()
        for name, value in self._headers:
            names.add(name)
            # The parser has checked that it is a number.
            if name == b"content-length" and int(value) > self._max_body_bytes:
                self._reject_body()
        self._has_length = b"content-length" in names
        self._check_status(names)
        self._is_self_delimited = (
            self._has_length
            or b"transfer-encoding" in names
            or self._status in _STATUSES_WITHOUT_BODY
            or self._status < http.HTTPStatus.OK
        )

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body; called by the parser."""
        self.pieces += 1
        size = len(data)
        self._new_body_bytes += size
        self._body_bytes += size
        if self._body_bytes > self._max_body_bytes:
            self._reject_body()
        if not self._body:
            self._body = data
            return
        if type(self._body) is bytes:
            self._body = bytearray(self._body)
        self._body += data

    def on_message_complete(self) -> None:
        """Ends a response; called by the parser."""
        if self._status >= http.HTTPStatus.OK:
            if len(self._responses) >= MAX_RESPONSES_AT_ONCE:
                self._reject(f"over {MAX_RESPONSES_AT_ONCE} responses at once")
            self._responses.append(
                Response(self._status, self._headers, bytes(self._body))
            )
            self._meter.reset()
            self._interim_count = 0
        self._status = 0
        self._reset()

    def _check_status(self, names: set[bytes]) -> None:
        """Rejects a status that no response has, and interim ones without end.

        Taken for interim responses, these would leave the request waiting.
        """
        if self._status not in _STATUSES:
            self._reject(f"the status {self._status:03}")
        if self._status >= http.HTTPStatus.OK:
            return
        if self._has_length or b"transfer-encoding" in names:
            self._reject("an interim response with a body")
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES:
            self._reject(f"over {MAX_INTERIM_RESPONSES} interim responses")

    def _reset(self) -> None:
        self._is_in_response = False
        self._headers = []
        self._head_bytes = 0
        self._body = b""
        self._body_bytes = 0
        self._metered_body_bytes = 0
        self._has_length = False

    def _check_is_no_start(self, text: bytes) -> None:
        if _STATUS_LINE.search(text) is not None:
            self._reject("a response begins within the head of another one")

    def _drop_spliced(self, data: bytes) -> None:
        """Drops the last response if what follows shows that it is two.

        Args:
          data: Received bytes, which end the response; what follows it there is
            malformed.
        """
        if not self._responses:
            return
        body = self._responses[-1].body
        if not self._is_head_new:
            # The head came before, so `data` begins with the rest of the body.
            following = data[self._new_body_bytes :]
        else:
            _, _, following = data.partition(_HEAD_END + body)
        tail = body[-_STATUS_LINE_BYTES:]
        start = _STATUS_LINE.search(tail + following[:_STATUS_LINE_BYTES])
        # One that begins after the body belongs to a further response.
        is_start_in_body = start is not None and start.start() < len(tail)
        if self._responses[-1].may_be_spliced or is_start_in_body:
            self._responses.pop()

    def _reject_body(self) -> None:
        self._reject(f"a body over {self._max_body_bytes} bytes")

    def _reject(self, detail: str) -> None:
        self._error = ProtocolError(502, detail)
        raise self._error


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Encodes a request, with a `content-length` where it may have a body."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response(response: Response, keeps_alive: bool) -> bytes:
    """Encodes a response, with a `content-length` where it may have a body."""
    reason = _REASON_PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    lines += [name + b": " + value for name, value in response.headers]
    if response.status not in _STATUSES_WITHOUT_BODY:
        lines.append(b"content-length: %d" % len(response.body))
    if not keeps_alive:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers to forward.

    Leaves out hop-by-hop headers, and headers that `Connection` names.
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in named
    ]


def keep_alive_ms(response: Response) -> int | None:
    """Returns how long a connection may stay idle after a response.

    Returns:
      The timeout of the `Keep-Alive` header in milliseconds, or None.
    """
    value = response.header_value(b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout":
            timeout_s = header_numbers.parse_decimal(
                text.strip(), _MAX_KEEP_ALIVE_S
            )
            return None if timeout_s is None else int(timeout_s * 1000)
    return None


_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
