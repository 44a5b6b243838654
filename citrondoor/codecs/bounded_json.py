"""Decodes JSON whose size in memory is limited.

Decoded values can take over 20 times the memory of their text: an empty list
takes three bytes of text and 64 in memory.
"""

import orjson

# Upper bounds of the memory that each value takes, in bytes: a list or mapping
# with its place in another one, and any other value or key.
_CONTAINER_BYTES = 256
_VALUE_BYTES = 72


def estimate_decoded_bytes(data: bytes) -> int:
    """Returns an upper bound of the memory that decoded JSON takes.

    Characters in strings are counted like those between values.
    """
    container_count = data.count(b"{") + data.count(b"[")
    value_count = 1 + data.count(b",") + data.count(b":")
    return (
        len(data)
        + container_count * _CONTAINER_BYTES
        + value_count * _VALUE_BYTES
    )


def decode(data: bytes, max_decoded_bytes: int):
    """Returns decoded JSON.

    Args:
      data: JSON text in UTF-8.
      max_decoded_bytes: Limit on the estimated memory that it takes decoded.

    Raises:
      ValueError: The text is not valid JSON, or takes too much memory.
    """
    decoded_bytes = estimate_decoded_bytes(data)
    if decoded_bytes > max_decoded_bytes:
        raise ValueError(
            f"JSON of {len(data)} bytes takes up to {decoded_bytes} bytes"
            f" decoded; at most {max_decoded_bytes} are allowed"
        )
    return orjson.loads(data)
