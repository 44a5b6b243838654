"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio

MAX_HEAD_BYTES = 65_536
REASONS = {
    200: "OK",
    404: "Not Found",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Message:
    """A request or a response.

    Args:
      first_line: Request line or status line.
      headers: Values by name in lower case.
      body: The whole body.
    """

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message, or None at the end of the connection.

    Bodies have a length or are empty.

    Raises:
      asyncio.IncompleteReadError: The connection ends within a message.
      OSError: The connection was reset.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message(lines[0], headers, body)


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a request, with a length if it has a body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
