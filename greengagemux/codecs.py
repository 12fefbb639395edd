"""Msgpack encoding of the messages between daemons."""

import msgspec

from .messages import Message
from .outcomes import Failure, FailureError, Step

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the msgpack form of a message."""
    return _encoder.encode(message)


def decode(payload: bytes, peer: str) -> Message:
    """Return the message in ``payload``.

    Raises ``FailureError`` at step ``decode`` when the payload is malformed
    or of an unknown type.
    """
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        # Deep nesting in unknown trailing fields raises ``RecursionError``.
        raise FailureError(Failure(Step.decode, peer, str(error))) from error
