"""Length-prefixed frames with interleaved fragments of long messages.

A frame is a 4-byte big-endian header and a payload. The lowest 31 bits of
the header are the payload length; the highest bit marks a fragment that is
not the last of its message. A payload starts with a 4-byte message number:
fragments with the same number belong together, and 0 marks a message that
fits into one frame.
"""

import struct
from collections import deque
from typing import Protocol

from .outcomes import Failure, FailureError, Step

_HEADER = struct.Struct('>I')
_NUMBER = struct.Struct('>I')
HEADER_BYTES = _HEADER.size
MESSAGE_NUMBER_BYTES = _NUMBER.size

#: Largest payload of one frame; 32 KiB take about 9 ms at 30 Mbit/s.
FRAGMENT_BYTES = 32 * 1024
#: Largest message after reassembly: the largest body and the rest of a request.
MESSAGE_LIMIT_BYTES = 11 * 1024 * 1024
#: Most messages under reassembly on one stream.
PARTIAL_LIMIT = 64
#: Long messages of one stream that are written by turns; the others wait, as a
#: reader ends a stream with more than ``PARTIAL_LIMIT``.
INTERLEAVED_LIMIT = PARTIAL_LIMIT // 2
#: Most bytes under reassembly on one stream, except those of requests, which
#: have a limit over all streams.
PARTIAL_LIMIT_BYTES = 32 * 1024 * 1024

_MORE_FRAGMENTS = 1 << 31
_LENGTH_MASK = _MORE_FRAGMENTS - 1


#: Number of a message, bytes that precede it, and what is still to be written.
_Unwritten = tuple[int, bytes, memoryview]


class FrameWriter:
    """Splits messages into frames and interleaves the long ones."""

    def __init__(self) -> None:
        """Start without a message to write."""
        self._long_messages: deque[_Unwritten] = deque()
        self._waiting: deque[_Unwritten] = deque()
        self._next_number = 1
        #: Bytes of long messages that are still to be written.
        self.pending_bytes = 0

    @property
    def pending(self) -> bool:
        """Whether a long message still has fragments to write."""
        return bool(self._long_messages)

    def frames(self, payload: bytes, prefix: bytes = b'') -> bytes:
        """Return the bytes to write now for a message.

        A payload that does not fit into one frame is queued, and the result
        is empty; ``next_fragment`` returns its fragments. ``prefix`` precedes
        it; joining both would copy a large payload.
        """
        size = len(prefix) + len(payload) + MESSAGE_NUMBER_BYTES
        if size <= FRAGMENT_BYTES:
            header = _HEADER.pack(size)
            return b''.join((header, _NUMBER.pack(0), prefix, payload))
        started = self._long_messages
        if len(started) >= INTERLEAVED_LIMIT:
            started = self._waiting
        started.append((self._next_number, prefix, memoryview(payload)))
        self.pending_bytes += len(prefix) + len(payload)
        self._next_number = self._next_number % _LENGTH_MASK + 1
        return b''

    def next_fragment(self) -> bytes:
        """Return the next fragment, by turns of the long messages.

        The result is empty if there is none.
        """
        if not self._long_messages:
            return b''
        number, prefix, remaining = self._long_messages.popleft()
        room = FRAGMENT_BYTES - MESSAGE_NUMBER_BYTES - len(prefix)
        piece = remaining[:room]
        remaining = remaining[room:]
        size = len(prefix) + len(piece)
        self.pending_bytes -= size
        header = size + MESSAGE_NUMBER_BYTES
        if remaining:
            header |= _MORE_FRAGMENTS
            self._long_messages.append((number, b'', remaining))
        elif self._waiting:
            self._long_messages.append(self._waiting.popleft())
        return b''.join(
            (_HEADER.pack(header), _NUMBER.pack(number), prefix, piece)
        )


class Reassembly(Protocol):
    """Counts the bytes of messages that are being reassembled."""

    def grew(self, number: int, start: bytearray, size_bytes: int) -> None:
        """Count a fragment that is not the last; ``start`` has it and those
        before it.

        It may discard messages of the reader, also this one.
        """

    def ended(self, number: int) -> None:
        """Count no bytes of a message that is complete or discarded."""

    def is_counted_elsewhere(self, number: int) -> bool:
        """Return whether the limit of the stream does not apply to it."""


class FrameReader:
    """Reassembles messages from a byte stream."""

    def __init__(self, peer: str, reassembly: Reassembly | None = None) -> None:
        """Start empty; failures name ``peer``, which may be set later."""
        self.peer = peer
        self._reassembly = reassembly
        #: Messages whose remaining fragments are discarded.
        self._discarded: set[int] = set()
        self._buffer = bytearray()
        self._partial_messages: dict[int, bytearray] = {}

    @property
    def partial(self) -> bool:
        """Whether the stream ended inside a frame or message."""
        return bool(self._buffer or self._partial_messages)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of frames and messages that are not yet complete."""
        partial_bytes = sum(
            len(piece) for piece in self._partial_messages.values()
        )
        return partial_bytes + len(self._buffer)

    def discard(self, number: int) -> None:
        """Discard a partial message and the fragments that follow."""
        if self._partial_messages.pop(number, None) is not None:
            self._discarded.add(number)

    def feed(self, received: bytes) -> list[bytes | bytearray]:
        """Return the payloads of the messages that are now complete.

        Raises ``FailureError`` at step ``frame`` when a frame is malformed
        or a limit is exceeded.
        """
        self._buffer += received
        payloads: list[bytes | bytearray] = []
        position = 0
        while len(self._buffer) - position >= HEADER_BYTES:
            header = _HEADER.unpack_from(self._buffer, position)[0]
            length = header & _LENGTH_MASK
            self._check_length(length)
            end = position + HEADER_BYTES + length
            if len(self._buffer) < end:
                break
            start = position + HEADER_BYTES
            self._add_fragment(
                start, end, bool(header & _MORE_FRAGMENTS), payloads
            )
            position = end
        del self._buffer[:position]
        return payloads

    def _add_fragment(
        self,
        start: int,
        end: int,
        more: bool,
        payloads: list[bytes | bytearray],
    ) -> None:
        number = _NUMBER.unpack_from(self._buffer, start)[0]
        piece = self._buffer[start + MESSAGE_NUMBER_BYTES : end]
        if not number and not more:
            payloads.append(bytes(piece))
            return
        if number in self._discarded:
            if not more:
                self._discarded.discard(number)
            return
        message = self._partial_messages.setdefault(number, bytearray())
        message += piece
        if more and self._reassembly is not None:
            self._reassembly.grew(number, message, len(piece))
        self._check_partial(message)
        if not more:
            payloads.append(self._partial_messages.pop(number))
            if self._reassembly is not None:
                self._reassembly.ended(number)

    def _check_length(self, length: int) -> None:
        if length < MESSAGE_NUMBER_BYTES:
            raise self._failure(f'frame of {length} bytes is too short')
        if length > FRAGMENT_BYTES:
            raise self._failure(
                f'frame of {length} bytes is above {FRAGMENT_BYTES}'
            )

    def _check_partial(self, message: bytearray) -> None:
        if len(message) > MESSAGE_LIMIT_BYTES:
            raise self._failure(f'message above {MESSAGE_LIMIT_BYTES} bytes')
        count = len(self._partial_messages) + len(self._discarded)
        if count > PARTIAL_LIMIT:
            raise self._failure(f'more than {PARTIAL_LIMIT} partial messages')
        if self._limited_bytes() > PARTIAL_LIMIT_BYTES:
            raise self._failure(f'partial messages above {PARTIAL_LIMIT_BYTES}')

    def _limited_bytes(self) -> int:
        reassembly = self._reassembly
        return sum(
            len(message)
            for number, message in self._partial_messages.items()
            if reassembly is None or not reassembly.is_counted_elsewhere(number)
        )

    def _failure(self, detail: str) -> FailureError:
        return FailureError(Failure(Step.frame, self.peer, detail))
