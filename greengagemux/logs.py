"""Structured log of JSON lines with hybrid logical clock timestamps.

A line holds ``wall`` (ISO 8601, UTC), ``monotonic_ms``, ``daemon``,
``incarnation``, ``sequence`` (from 1 in each process), ``hlc``, ``level``,
``event`` and ``fields``. Lines are queued; ``flush`` writes them between
requests.
"""

import json
import logging
import os
import select
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Final

from .clocks import MILLISECOND, Clock
from .ids import DaemonId, Incarnation

#: Maximum of queued lines; further ones are dropped and counted.
QUEUE_LIMIT: Final = 10_000
#: A pipe that polls as writable accepts this many bytes without blocking.
CHUNK_BYTES: Final = select.PIPE_BUF
#: Timestamps further ahead of the local wall clock are ignored: a peer with a
#: wrong clock would otherwise advance the timestamps of the whole fleet.
DRIFT_LIMIT: Final = timedelta(hours=24)
#: Event name of records that were logged without fields.
TEXT_EVENT: Final = 'message'
DROPPED_EVENT: Final = 'log-lines-dropped'
UNWRITABLE_EVENT: Final = 'log-line-unwritable'
LINE_KEYS: Final = (
    'wall',
    'monotonic_ms',
    'daemon',
    'incarnation',
    'sequence',
    'hlc',
    'level',
    'event',
    'fields',
)

_FORMATTER: Final = logging.Formatter()
_encoder: Final = json.JSONEncoder(default=str)

_DRIFT_LIMIT_MS: Final = DRIFT_LIMIT / MILLISECOND
_COUNT_BITS: Final = 16
_COUNT_LIMIT: Final = 1 << _COUNT_BITS
_PACKED_LIMIT: Final = 1 << 64
_EPOCH_SECONDS_TO_MS: Final = 1000

#: Writes bytes without blocking and returns how many were written.
Sink = Callable[[bytes], int]


@dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """Hybrid logical timestamp.

    ``millis`` is wall-clock time in milliseconds since the Unix epoch,
    ``count`` a counter from 0 to 65535 for events within a millisecond.
    """

    millis: int
    count: int

    @classmethod
    def parse(cls, text: str) -> 'Timestamp':
        """Return the stamp written as ``millis.count``.

        Raises ``ValueError`` for any other text.
        """
        millis, dot, count = text.partition('.')
        if not (dot and text.isascii() and (millis + count).isdigit()):
            raise ValueError(
                f'{text!r} is not a stamp of the form 1767225600000.0'
            )
        return cls.unpack((int(millis) << _COUNT_BITS) + int(count))

    @classmethod
    def unpack(cls, packed: int) -> 'Timestamp':
        """Return the stamp of a number returned by ``pack``.

        Raises ``ValueError`` unless the number is an unsigned 64-bit one.
        """
        if not 0 <= packed < _PACKED_LIMIT:
            raise ValueError(f'{packed} is not an unsigned 64-bit number')
        return cls(packed >> _COUNT_BITS, packed % _COUNT_LIMIT)

    def pack(self) -> int:
        """Return a 64-bit number that sorts like the stamp."""
        return (self.millis << _COUNT_BITS) | self.count

    def __str__(self) -> str:
        """Return the text form ``millis.count``, which ``parse`` reads."""
        return f'{self.millis}.{self.count}'


class HybridClock:
    """Hybrid logical clock: an effect gets a later stamp than its cause."""

    def __init__(self, clock: Clock) -> None:
        """Use the wall time of ``clock``."""
        self._clock = clock
        self._last = 0

    def tick(self) -> Timestamp:
        """Return a new stamp for a local event or an outgoing message."""
        return Timestamp.unpack(self.tick_packed())

    def tick_packed(self) -> int:
        """Return a new stamp in the form of ``Timestamp.pack``."""
        self._last = max(self._last + 1, self._wall_ms() << _COUNT_BITS)
        return self._last

    def observe(self, stamp: Timestamp) -> Timestamp:
        """Return a new stamp that is later than one received from a peer.

        A received stamp more than ``DRIFT_LIMIT`` ahead of the wall clock is
        ignored.
        """
        self.observe_packed(stamp.pack())
        return self.tick()

    def observe_packed(self, packed: int) -> None:
        """Make all new stamps later than a packed one from a peer."""
        if packed <= self._last:
            return
        ahead_ms = (packed >> _COUNT_BITS) - self._wall_ms()
        if ahead_ms <= _DRIFT_LIMIT_MS:
            self._last = packed

    def _wall_ms(self) -> int:
        return int(self._clock.wall().timestamp() * _EPOCH_SECONDS_TO_MS)


class DescriptorSink:
    """Writes to a file descriptor only when that cannot block."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which the caller closes."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def __call__(self, text: bytes) -> int:
        """Return how many bytes were written; 0 if writing would block.

        All bytes are discarded if the reader has closed the pipe.
        """
        if not self._poll.poll(0):
            return 0
        try:
            return os.write(self._descriptor, text[:CHUNK_BYTES])
        except OSError:
            return len(text)


class BufferedHandler(logging.Handler):
    """Queues log records and writes them as JSON lines on ``flush``."""

    def __init__(
        self,
        clock: Clock,
        daemon: DaemonId,
        incarnation: Incarnation,
        sink: Sink,
    ) -> None:
        """Stamp lines with ``clock`` and write them to ``sink``."""
        super().__init__()
        self.hybrid_clock = HybridClock(clock)
        #: Lines dropped since the process started.
        self.dropped = 0
        self._reported = 0
        self._clock = clock
        self._sink = sink
        self._sequence = 0
        self._queue: deque[dict[str, Any]] = deque()
        self._partial = b''
        identity = {'daemon': daemon, 'incarnation': incarnation}
        self._identity: Mapping[str, Any] = identity

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it if the queue is full."""
        if len(self._queue) >= QUEUE_LIMIT:
            self.dropped += 1
            return
        fields = getattr(record, 'fields', None)
        level = record.levelname.lower()
        if isinstance(fields, Mapping):
            line = self._line(str(record.msg), level, fields)
        else:
            text = {'text': record.getMessage(), 'logger': record.name}
            line = self._line(TEXT_EVENT, level, text)
        if record.exc_info:
            line['exc_info'] = _FORMATTER.formatException(record.exc_info)
        self._queue.append(line)

    def flush(self, limit: int | None = None) -> None:
        """Write up to ``limit`` queued lines, or all; never block."""
        if self.lock is None:
            return
        with self.lock:
            self._write(len(self._queue) + 1 if limit is None else limit)

    def _write(self, limit: int) -> None:
        self._report_drops()
        remaining = limit
        while self._partial or (self._queue and remaining):
            while (
                self._queue and remaining and len(self._partial) < CHUNK_BYTES
            ):
                self._partial += self._encode(self._queue.popleft())
                remaining -= 1
            written = self._sink(self._partial)
            if not written:
                return
            self._partial = self._partial[written:]

    def _report_drops(self) -> None:
        unreported = self.dropped - self._reported
        if unreported:
            self._reported = self.dropped
            line = self._line(DROPPED_EVENT, 'warning', {'count': unreported})
            self._queue.append(line)

    def _line(
        self, event: str, level: str, fields: Mapping[str, Any]
    ) -> dict[str, Any]:
        self._sequence += 1
        return {
            'wall': self._clock.wall(),
            'monotonic_ms': self._clock.monotonic(),
            **self._identity,
            'sequence': self._sequence,
            'hlc': self.hybrid_clock.tick(),
            'level': level,
            'event': event,
            'fields': dict(fields),
        }

    def _encode(self, line: dict[str, Any]) -> bytes:
        line['wall'] = line['wall'].isoformat(timespec='microseconds')
        line['monotonic_ms'] = round(line['monotonic_ms'] / MILLISECOND, 3)
        line['hlc'] = str(line['hlc'])
        try:
            text = _encoder.encode(line)
        except (TypeError, ValueError, RecursionError) as error:
            fields = {'event': line['event'], 'error': str(error)}
            line.update(event=UNWRITABLE_EVENT, fields=fields)
            text = _encoder.encode(line)
        return f'{text}\n'.encode()


def install_handler(handler: BufferedHandler, level: str) -> None:
    """Make ``handler`` the only handler of the root logger, at ``level``."""
    root = logging.getLogger()
    for other in list(root.handlers):
        root.removeHandler(other)
    root.addHandler(handler)
    root.setLevel(level.upper())


def log_event(
    logger: logging.Logger,
    event: str,
    fields: Mapping[str, Any],
    level: int = logging.INFO,
) -> None:
    """Log a named event with its fields."""
    logger.log(level, event, extra={'fields': fields})
