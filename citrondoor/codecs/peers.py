"""Authenticated frames between daemons.

A frame is a 4-byte length, a 16-byte message authentication code (MAC) and a
message in Thrift's compact protocol. The MAC covers a sequence number that is
not sent, so authentication fails when a frame is repeated, dropped or
reordered.
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
_PROTOCOL_FACTORY = (
    thrift.protocol.TCompactProtocol.TCompactProtocolAcceleratedFactory()
)
_MemoryBuffer = thrift.transport.TTransport.TMemoryBuffer


def encode(message) -> bytes:
    """Encodes an instance of a generated Thrift class."""
    transport = _MemoryBuffer()
    message.write(_PROTOCOL_FACTORY.getProtocol(transport))
    return transport.getvalue()


def decode(message_type: type, data: bytes):
    """Decodes an instance of a generated Thrift class.

    Raises:
      errors.FrameError: The bytes are not a valid message of this class.
    """
    message = message_type()
    try:
        message.read(_PROTOCOL_FACTORY.getProtocol(_MemoryBuffer(data)))
        message.validate()
    except Exception as error:  # Thrift raises many different types.
        raise errors.FrameError(
            f"cannot decode a {message_type.__name__} from {len(data)} bytes:"
            f" {error}; check that the peer is a daemon of a compatible"
            " version"
        ) from error
    return message


class FrameAuthenticator:
    """Computes the MACs of the frames in one direction of a connection.

    Args:
      key: Key of this direction of this connection.
    """

    __slots__ = ("_key", "_sequence")

    def __init__(self, key: bytes):
        self._key = key
        self._sequence = 0

    def next_mac(self, payload: bytes) -> bytes:
        """Returns the MAC of the next frame, and counts the frame."""
        data = _SEQUENCE.pack(self._sequence) + payload
        self._sequence += 1
        return hmac.digest(self._key, data, hashlib.sha256)[:MAC_BYTES]


def derive_key(cluster_key: bytes, direction: str, hellos: bytes) -> bytes:
    """Returns the key of one direction of one connection.

    Args:
      cluster_key: Secret key that all daemons of the cluster share.
      direction: Name of the sending side.
      hellos: The hello messages of the dialer and of the acceptor.
    """
    return hmac.digest(cluster_key, direction.encode() + hellos, hashlib.sha256)


def encode_frame(authenticator: FrameAuthenticator, payload: bytes) -> bytes:
    """Returns a frame with a MAC and a payload."""
    length = _LENGTH.pack(MAC_BYTES + len(payload))
    return length + authenticator.next_mac(payload) + payload


async def read_frame(
    reader: asyncio.StreamReader,
    authenticator: FrameAuthenticator,
    max_bytes: int,
) -> bytes:
    """Reads the next frame and returns its payload.

    Raises:
      errors.FrameError: The frame is too long or its MAC is wrong.
      asyncio.IncompleteReadError: The peer closed the connection.
    """
    data = await read_plain_frame(reader, max_bytes)
    mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(mac, authenticator.next_mac(payload)):
        raise errors.FrameError(
            "a frame's authentication code is wrong: a frame was altered,"
            " repeated, lost or reordered after the handshake"
        )
    return payload


def encode_plain_frame(payload: bytes) -> bytes:
    """Returns a frame without a MAC, for the handshake."""
    return _LENGTH.pack(len(payload)) + payload


async def read_plain_frame(
    reader: asyncio.StreamReader, max_bytes: int
) -> bytes:
    """Reads the next frame and returns what follows the length.

    Raises:
      errors.FrameError: The frame is longer than `max_bytes`.
      asyncio.IncompleteReadError: The peer closed the connection.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(LENGTH_BYTES))
    if length > max_bytes:
        raise errors.FrameError(
            f"a frame has {length} bytes; at most {max_bytes} are allowed"
        )
    return await reader.readexactly(length)
