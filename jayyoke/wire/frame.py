"""Frames between instances: message encoding, authentication and sequence numbers.

A frame consists of the length of the rest (4 bytes), a MAC (16 bytes), the message kind (1 byte),
the correlation id (4 bytes) and the message as a thrift compact struct.
"""

from __future__ import annotations

import hmac
import struct
from dataclasses import dataclass

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from jayyoke.core.error import PeerProtocolError
from jayyoke.core.peering import Message
from jayyoke.wire.gen import ttypes

MAC_BYTES = 16
NONCE_BYTES = 16
MAX_FRAME_BYTES = 4 << 20
MAX_HELLO_BYTES = 4 << 10
ANSWER_FLAG = 1 << 31
_LENGTH = struct.Struct(">I")
_MESSAGE_HEADER = struct.Struct(">BI")
_SEQUENCE = struct.Struct(">BQ")
HEADER_BYTES = _LENGTH.size
MIN_FRAME_BYTES = MAC_BYTES + _MESSAGE_HEADER.size
_PROTOCOLS = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=100_000
)


def _map_message_types() -> dict[int, type]:
    types = {}
    for number, name in ttypes.MessageKind._VALUES_TO_NAMES.items():
        types[number] = getattr(ttypes, name.title().replace("_", ""))
    return types


MESSAGE_TYPES = _map_message_types()
MESSAGE_KINDS = {message_type: number for number, message_type in MESSAGE_TYPES.items()}


@dataclass(frozen=True, slots=True)
class Frame:
    """Holds a received message; correlation 0 means that the sender expects no answer."""

    message: Message
    correlation: int
    answer: bool
    size_bytes: int


class FrameCodec:
    """Encodes, decodes and authenticates the frames of one direction of a connection, in order."""

    __slots__ = ("_key", "_label", "_sequence")

    def __init__(self, key: bytes, label: int):
        self._key = key
        self._label = label
        self._sequence = 0

    def encode_frame(self, message: Message, correlation: int = 0, answer: bool = False) -> bytes:
        """Return the next frame; raise PeerProtocolError if the message is too large."""
        flagged_id = correlation | ANSWER_FLAG if answer else correlation
        body = _MESSAGE_HEADER.pack(MESSAGE_KINDS[type(message)], flagged_id) + encode(message)
        if MAC_BYTES + len(body) > MAX_FRAME_BYTES:
            raise PeerProtocolError(f"message of {len(body)} bytes exceeds {MAX_FRAME_BYTES}")
        return _LENGTH.pack(MAC_BYTES + len(body)) + self._compute_mac(body) + body

    def decode_frame(self, frame: bytes) -> Frame:
        """Decode the next frame; raise PeerProtocolError if it is malformed or not authentic."""
        body = frame[MAC_BYTES:]
        if not hmac.compare_digest(self._compute_mac(body), frame[:MAC_BYTES]):
            raise PeerProtocolError("frame authentication failed")
        kind, flagged_id = _MESSAGE_HEADER.unpack_from(body)
        message_type = MESSAGE_TYPES.get(kind)
        if message_type is None:
            raise PeerProtocolError(f"message kind {kind} does not exist")
        message = decode(message_type, body[_MESSAGE_HEADER.size :])
        correlation = flagged_id & ~ANSWER_FLAG
        return Frame(message, correlation, flagged_id != correlation, HEADER_BYTES + len(frame))

    def _compute_mac(self, body: bytes) -> bytes:
        prefix = _SEQUENCE.pack(self._label, self._sequence)
        self._sequence += 1
        return hmac.digest(self._key, prefix + body, "sha256")[:MAC_BYTES]


def derive_key(peer_key: bytes, dialler_nonce: bytes, acceptor_nonce: bytes) -> bytes:
    """Return the key of one connection, which is new if either side's nonce is new."""
    return hmac.digest(peer_key, b"jayyoke-peer" + dialler_nonce + acceptor_nonce, "sha256")


def parse_length(header: bytes, limit_bytes: int) -> int:
    """Return the length in a frame's header; raise PeerProtocolError if it is out of bounds."""
    (length,) = _LENGTH.unpack(header)
    if not MIN_FRAME_BYTES <= length <= limit_bytes:
        raise PeerProtocolError(f"frame length {length} is outside {MIN_FRAME_BYTES}-{limit_bytes}")
    return length


def encode(message: Message) -> bytes:
    """Return a message as a thrift compact struct."""
    buffer = TMemoryBuffer()
    message.write(_PROTOCOLS.getProtocol(buffer))
    return buffer.getvalue()


def decode(message_type: type, payload: bytes) -> Message:
    """Return the message of a payload; raise PeerProtocolError if it is malformed."""
    message = message_type()
    try:
        message.read(_PROTOCOLS.getProtocol(TMemoryBuffer(payload)))
    except Exception as error:  # The decoder raises errors of many types on malformed input.
        detail = f"{message_type.__name__} is malformed: {type(error).__name__}"
        raise PeerProtocolError(detail) from error
    return message
