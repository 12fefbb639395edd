"""Length framing with interleaved fragments.

A frame is a 4-byte big-endian header and a payload. The lowest 31 bits of
the header are the payload length; the highest bit marks a fragment that is
not the last of its message. A fragment starts with a 4-byte lane number.
"""

import struct
from collections import deque

from .outcomes import Failure, FailureError, Step

_HEADER = struct.Struct('>I')
_LANE = struct.Struct('>I')
HEADER_BYTES = _HEADER.size
LANE_BYTES = _LANE.size

#: Largest payload of one frame; 32 KiB take about 9 ms at 30 Mbit/s.
FRAGMENT_BYTES = 32 * 1024
#: Largest message after reassembly.
MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024
#: Most messages under reassembly on one stream.
LANE_LIMIT = 64
#: Most bytes under reassembly on one stream.
LANES_LIMIT_BYTES = 4 * MESSAGE_LIMIT_BYTES

_MORE = 1 << 31
_LENGTH_MASK = _MORE - 1


class FrameWriter:
    """Splits messages into frames; long ones interleave with others."""

    def __init__(self) -> None:
        """Start with no long message under way."""
        self._long: deque[tuple[int, memoryview]] = deque()
        self._next_lane = 1
        #: Bytes of long messages that are still to be written.
        self.pending_bytes = 0

    @property
    def pending(self) -> bool:
        """Whether a long message still has fragments to write."""
        return bool(self._long)

    def frames(self, payload: bytes) -> bytes:
        """Return the bytes to write now for a message.

        A payload above one fragment is queued; ``next_fragment`` gives its
        pieces.
        """
        if len(payload) + LANE_BYTES <= FRAGMENT_BYTES:
            size = len(payload) + LANE_BYTES
            return b''.join((_HEADER.pack(size), _LANE.pack(0), payload))
        self._long.append((self._next_lane, memoryview(payload)))
        self.pending_bytes += len(payload)
        self._next_lane = self._next_lane % _LENGTH_MASK + 1
        return b''

    def next_fragment(self) -> bytes:
        """Return the next fragment of the long messages, in turn."""
        if not self._long:
            return b''
        lane, rest = self._long.popleft()
        room = FRAGMENT_BYTES - LANE_BYTES
        piece = rest[:room]
        rest = rest[room:]
        self.pending_bytes -= len(piece)
        header = len(piece) + LANE_BYTES
        if rest:
            header |= _MORE
            self._long.append((lane, rest))
        return b''.join((_HEADER.pack(header), _LANE.pack(lane), piece))


class FrameReader:
    """Restores messages from a byte stream."""

    def __init__(self, peer: str) -> None:
        """Name the peer for failures; the name may be replaced."""
        self.peer = peer
        self._buffer = bytearray()
        self._lanes: dict[int, bytearray] = {}

    @property
    def partial(self) -> bool:
        """Whether the stream ended inside a frame or message."""
        return bool(self._buffer or self._lanes)

    @property
    def held_bytes(self) -> int:
        """Bytes of frames and messages that are not yet complete."""
        held = sum(len(piece) for piece in self._lanes.values())
        return held + len(self._buffer)

    def feed(self, received: bytes) -> list[bytes]:
        """Return the payloads of the messages that are now complete.

        Raises ``FailureError`` at step ``frame`` when a limit is passed.
        """
        self._buffer += received
        payloads: list[bytes] = []
        position = 0
        while len(self._buffer) - position >= HEADER_BYTES:
            header = _HEADER.unpack_from(self._buffer, position)[0]
            length = header & _LENGTH_MASK
            self._check_length(length)
            end = position + HEADER_BYTES + length
            if len(self._buffer) < end:
                break
            start = position + HEADER_BYTES
            self._take(start, end, bool(header & _MORE), payloads)
            position = end
        del self._buffer[:position]
        return payloads

    def _take(
        self, start: int, end: int, more: bool, payloads: list[bytes]
    ) -> None:
        lane = _LANE.unpack_from(self._buffer, start)[0]
        piece = self._buffer[start + LANE_BYTES : end]
        if not lane and not more:
            payloads.append(bytes(piece))
            return
        whole = self._lanes.setdefault(lane, bytearray())
        whole += piece
        self._check_lanes(whole)
        if not more:
            payloads.append(bytes(self._lanes.pop(lane)))

    def _check_length(self, length: int) -> None:
        if length < LANE_BYTES:
            raise self._failure(f'frame of {length} bytes is too short')
        if length > FRAGMENT_BYTES:
            raise self._failure(
                f'frame of {length} bytes is above {FRAGMENT_BYTES}'
            )

    def _check_lanes(self, whole: bytearray) -> None:
        if len(whole) > MESSAGE_LIMIT_BYTES:
            raise self._failure(f'message above {MESSAGE_LIMIT_BYTES} bytes')
        if len(self._lanes) > LANE_LIMIT:
            raise self._failure(f'more than {LANE_LIMIT} partial messages')
        if self.held_bytes - len(self._buffer) > LANES_LIMIT_BYTES:
            raise self._failure(f'partial messages above {LANES_LIMIT_BYTES}')

    def _failure(self, detail: str) -> FailureError:
        return FailureError(Failure(Step.frame, self.peer, detail))
