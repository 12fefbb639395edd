"""Msgpack encoding of the messages between daemons."""

from struct import Struct
from types import MappingProxyType
from typing import Final

import msgspec

from .ids import RequestId
from .messages import Answer, Dispatch, Message
from .outcomes import Failure, FailureError, Step

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the msgpack form of a message."""
    return _encoder.encode(message)


#: Ahead of the tag: array with a 16-bit count, or with a count in its header.
_LONG_ARRAY: Final = 0xDC
_SHORT_ARRAYS: Final = range(0x90, 0xA0)
_COUNT: Final = Struct('>BH')
#: Unsigned integers by the header that precedes them.
_UNSIGNED: Final = MappingProxyType(
    {
        0xCC: Struct('>B'),
        0xCD: Struct('>H'),
        0xCE: Struct('>I'),
        0xCF: Struct('>Q'),
    }
)
_SMALL_INTEGER_LIMIT: Final = 0x80
_TAGS: Final = MappingProxyType(
    {
        bytes((0xA0 + len(tag),)) + tag.encode(): kind
        for tag, kind in (('dispatch', Dispatch), ('answer', Answer))
    }
)


def request_of(
    start: bytes | bytearray | memoryview,
) -> tuple[type[Dispatch] | type[Answer], RequestId] | None:
    """Return kind and request of a message of which only the start is known.

    None for messages that are neither a request nor a response.
    """
    place = _COUNT.size if start[0] == _LONG_ARRAY else 1
    if place == 1 and start[0] not in _SHORT_ARRAYS:
        return None
    for tag, kind in _TAGS.items():
        end = place + len(tag)
        if start[place:end] == tag:
            request = _unsigned(start, end)
            return None if request is None else (kind, RequestId(request))
    return None


def _unsigned(start: bytes | bytearray | memoryview, place: int) -> int | None:
    header = start[place]
    if header < _SMALL_INTEGER_LIMIT:
        return header
    form = _UNSIGNED.get(header)
    if form is None:
        return None
    number: int = form.unpack_from(start, place + 1)[0]
    return number


def decode(payload: bytes | memoryview, peer: str) -> Message:
    """Return the message in ``payload``.

    Raises ``FailureError`` at step ``decode`` when the payload is malformed
    or of an unknown type.
    """
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        # Deep nesting in unknown trailing fields raises ``RecursionError``.
        raise FailureError(Failure(Step.decode, peer, str(error))) from error
