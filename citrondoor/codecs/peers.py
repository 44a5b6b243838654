"""Frames between daemons: length, authentication code, Thrift message.

A frame is a 4-byte length, a 16-byte code and a message in Thrift's compact
protocol. The code covers a sequence number that is not sent, so a frame that
is repeated, left out or moved does not verify.
"""

import asyncio
import hashlib
import hmac
import struct

import thrift.protocol.TCompactProtocol
import thrift.transport.TTransport

from citrondoor import errors

LENGTH_BYTES = 4
MAC_BYTES = 16
NONCE_BYTES = 16
_LENGTH = struct.Struct(">I")
_SEQUENCE = struct.Struct(">Q")
_FACTORY = thrift.protocol.TCompactProtocol.TCompactProtocolAcceleratedFactory()
_Buffer = thrift.transport.TTransport.TMemoryBuffer


def encode(message) -> bytes:
    """Returns a generated message as bytes."""
    transport = _Buffer()
    message.write(_FACTORY.getProtocol(transport))
    return transport.getvalue()


def decode(kind: type, data: bytes):
    """Returns a message of a generated class.

    Raises:
      errors.FrameError: The bytes are no valid message of this class.
    """
    message = kind()
    try:
        message.read(_FACTORY.getProtocol(_Buffer(data)))
        message.validate()
    except Exception as error:  # The decoder raises many kinds.
        raise errors.FrameError(
            f"no {kind.__name__} in {len(data)} bytes: {error}; check that the"
            " peer is a daemon of a compatible version"
        ) from error
    return message


class FrameAuthenticator:
    """Authentication codes of one direction of a link.

    Args:
      key: Key of this direction and this connection only.
    """

    __slots__ = ("_key", "_sequence")

    def __init__(self, key: bytes):
        self._key = key
        self._sequence = 0

    def next_mac(self, payload: bytes) -> bytes:
        """Returns the code of the next frame."""
        data = _SEQUENCE.pack(self._sequence) + payload
        self._sequence += 1
        return hmac.digest(self._key, data, hashlib.sha256)[:MAC_BYTES]


def derive_key(fleet_key: bytes, direction: str, nonces: bytes) -> bytes:
    """Returns the key of one direction of one connection."""
    return hmac.digest(fleet_key, direction.encode() + nonces, hashlib.sha256)


def encode_frame(authenticator: FrameAuthenticator, payload: bytes) -> bytes:
    """Returns a frame for a payload."""
    length = _LENGTH.pack(MAC_BYTES + len(payload))
    return length + authenticator.next_mac(payload) + payload


async def read_frame(
    reader: asyncio.StreamReader,
    authenticator: FrameAuthenticator,
    max_bytes: int,
) -> bytes:
    """Returns the payload of the next frame.

    Raises:
      errors.FrameError: The frame is too long or its code is wrong.
      asyncio.IncompleteReadError: The peer closed the connection.
    """
    data = await read_plain_frame(reader, max_bytes)
    mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(mac, authenticator.next_mac(payload)):
        raise errors.FrameError(
            "a frame's authentication code is wrong; give every daemon the"
            " same `peers.key`"
        )
    return payload


def encode_plain_frame(payload: bytes) -> bytes:
    """Returns a frame without a code, for the handshake."""
    return _LENGTH.pack(len(payload)) + payload


async def read_plain_frame(
    reader: asyncio.StreamReader, max_bytes: int
) -> bytes:
    """Returns the content of the next frame, its code included.

    Raises:
      errors.FrameError: The frame is longer than `max_bytes`.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(LENGTH_BYTES))
    if length > max_bytes:
        raise errors.FrameError(
            f"a frame has {length} bytes; at most {max_bytes} are allowed by"
            " `peers.max_frame_bytes`"
        )
    return await reader.readexactly(length)
