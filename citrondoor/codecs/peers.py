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
import zlib
from collections.abc import Callable

import thrift.protocol.TCompactProtocol
import thrift.transport.TTransport

from citrondoor import errors

LENGTH_BYTES = 4
MAC_BYTES = 16
NONCE_BYTES = 16
# Longer frames are read in pieces of this size.
PIECE_BYTES = 65_536
# Shorter messages, such as heartbeats without updates, gain nothing.
MIN_COMPRESSED_BYTES = 512
# Names and addresses in lists of members, searchers and routes repeat so much
# that the fastest level already removes most of the bytes.
_COMPRESSION_LEVEL = 1
# Estimated memory of a decoded message for each byte of its text, and for each
# zero byte, with which each struct ends. It is over what the view of a large
# cluster takes, and at least 0.3 of what any message does.
DECODED_BYTES_PER_BYTE = 7
_STRUCT_BYTES = 64
_PLAIN = b"\0"
_COMPRESSED = b"\1"
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


def estimate_decoded_bytes(data: bytes) -> int:
    """Returns an estimate of the memory that a message takes decoded."""
    return len(data) * DECODED_BYTES_PER_BYTE + data.count(0) * _STRUCT_BYTES


def compress(message: bytes) -> bytes:
    """Returns an encoded message for a peer that accepts compression.

    A leading byte says whether the rest is compressed.
    """
    if len(message) >= MIN_COMPRESSED_BYTES:
        compressed = zlib.compress(message, _COMPRESSION_LEVEL)
        if len(compressed) < len(message):
            return _COMPRESSED + compressed
    return _PLAIN + message


def decompress(
    payload: bytes,
    max_bytes: int,
    on_piece: Callable[[int], None] = lambda message_bytes: None,
) -> bytes:
    """Returns the encoded message that `compress` was given.

    Args:
      payload: Result of `compress`.
      max_bytes: Maximum size of the message.
      on_piece: Called with the size of the message so far.

    Raises:
      errors.FrameError: The payload is malformed.
      errors.MessageTooLargeError: The message is too long.
    """
    if payload[:1] == _PLAIN:
        if len(payload) - 1 > max_bytes:
            raise _make_too_long_error(payload, max_bytes)
        return payload[1:]
    if payload[:1] != _COMPRESSED:
        raise _make_malformed_error(payload, "its kind is unknown")
    decompressor = zlib.decompressobj()
    message = bytearray()
    rest = memoryview(payload)[1:]
    try:
        while rest and not decompressor.eof:
            piece = decompressor.decompress(rest, PIECE_BYTES)
            rest = decompressor.unconsumed_tail
            message += piece
            if len(message) > max_bytes:
                raise _make_too_long_error(payload, max_bytes)
            on_piece(len(message))
    except zlib.error as error:
        raise _make_malformed_error(payload, str(error)) from error
    if not decompressor.eof:
        raise _make_malformed_error(payload, "its end is missing")
    return bytes(message)


def _make_malformed_error(payload: bytes, reason: str) -> errors.FrameError:
    return errors.FrameError(
        f"cannot decompress a message of {len(payload)} bytes: {reason}; check"
        " that the peer is a daemon of a compatible version"
    )


def _make_too_long_error(
    payload: bytes, max_bytes: int
) -> errors.MessageTooLargeError:
    return errors.MessageTooLargeError(
        f"a message of {len(payload)} bytes is longer decompressed than the"
        f" {max_bytes} bytes that are allowed; raise `memory_mb`"
    )


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
        code = hmac.new(
            self._key, _SEQUENCE.pack(self._sequence), hashlib.sha256
        )
        code.update(payload)
        self._sequence += 1
        return code.digest()[:MAC_BYTES]


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
    on_piece: Callable[[int], None] = lambda received_bytes: None,
) -> bytes:
    """Reads the next frame and returns its payload.

    Args:
      reader: Stream of received bytes.
      authenticator: Computes the MAC that the frame must have.
      max_bytes: Maximum size of the frame.
      on_piece: Called with the bytes received so far of a long frame.

    Raises:
      errors.FrameError: The frame is too long or its MAC is wrong.
      asyncio.IncompleteReadError: The peer closed the connection.
    """
    data = await read_plain_frame(reader, max_bytes, on_piece)
    mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
    del data
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
    reader: asyncio.StreamReader,
    max_bytes: int,
    on_piece: Callable[[int], None] = lambda received_bytes: None,
) -> bytes:
    """Reads the next frame and returns what follows the length.

    Args:
      reader: Stream of received bytes.
      max_bytes: Maximum size of the frame.
      on_piece: Called with the bytes received so far of a long frame.

    Raises:
      errors.FrameError: The frame is longer than `max_bytes`.
      asyncio.IncompleteReadError: The peer closed the connection.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(LENGTH_BYTES))
    if length > max_bytes:
        raise errors.FrameError(
            f"a frame has {length} bytes; at most {max_bytes} are allowed"
        )
    if length <= PIECE_BYTES:
        return await reader.readexactly(length)
    data = bytearray()
    try:
        while len(data) < length:
            piece = await reader.read(min(PIECE_BYTES, length - len(data)))
            if not piece:
                raise asyncio.IncompleteReadError(b"", length)
            data += piece
            on_piece(len(data))
        return bytes(data)
    finally:
        # The frames of an error keep this object until a garbage collection.
        data.clear()
