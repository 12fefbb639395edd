"""JSON lines for the time line, with hybrid logical stamps.

A line holds ``wall`` (ISO 8601, UTC), ``monotonic_ms``, ``daemon``,
``incarnation``, ``sequence`` (from 1 in each process), ``hlc``, ``level``,
``event`` and ``fields``. Lines are queued and written by ``flush`` between
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

#: Most lines that wait for ``flush``; later ones are dropped and counted.
QUEUE_LIMIT: Final = 10_000
#: A pipe that polls as writable takes this much without blocking.
CHUNK_BYTES: Final = select.PIPE_BUF
#: A peer whose clock is further ahead would set the stamps of the fleet.
DRIFT_LIMIT: Final = timedelta(hours=24)
#: Event name of lines that were logged as plain text.
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

#: Takes bytes without blocking and returns how many it took.
Sink = Callable[[bytes], int]


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Hybrid logical time: wall milliseconds and a count from 0 to 65535."""

    millis: int
    count: int

    @classmethod
    def parse(cls, text: str) -> 'Stamp':
        """Return the stamp written as ``millis.count``.

        Raises ``ValueError`` for any other text.
        """
        millis, dot, count = text.partition('.')
        if not (dot and text.isascii() and (millis + count).isdigit()):
            raise ValueError(f'{text!r} is not a stamp as 1767225600000.0')
        return cls.unpack((int(millis) << _COUNT_BITS) + int(count))

    @classmethod
    def unpack(cls, packed: int) -> 'Stamp':
        """Return the stamp of a number made by ``pack``.

        Raises ``ValueError`` when the number is not of 64 bits.
        """
        if not 0 <= packed < _PACKED_LIMIT:
            raise ValueError(f'{packed} is not an unsigned 64-bit number')
        return cls(packed >> _COUNT_BITS, packed % _COUNT_LIMIT)

    def pack(self) -> int:
        """Return a 64-bit number that sorts like the stamp."""
        return (self.millis << _COUNT_BITS) | self.count

    def __str__(self) -> str:
        """Return the form that ``parse`` reads."""
        return f'{self.millis}.{self.count}'


class HybridClock:
    """Stamps that grow along every chain of cause and effect."""

    def __init__(self, clock: Clock) -> None:
        """Read wall time from ``clock``."""
        self._clock = clock
        self._last = 0

    def tick(self) -> Stamp:
        """Return a new stamp for a local event or an outgoing message."""
        return Stamp.unpack(self.tick_packed())

    def tick_packed(self) -> int:
        """Return the packed form of a new stamp."""
        self._last = max(self._last + 1, self._wall_ms() << _COUNT_BITS)
        return self._last

    def observe(self, stamp: Stamp) -> Stamp:
        """Return a new stamp that is above one received from a peer.

        A stamp more than ``DRIFT_LIMIT`` ahead of the wall clock is ignored.
        """
        self.observe_packed(stamp.pack())
        return self.tick()

    def observe_packed(self, packed: int) -> None:
        """Raise later stamps above a packed one received from a peer."""
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
        """Keep the descriptor; it is not closed here."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def __call__(self, text: bytes) -> int:
        """Return how many bytes were taken.

        Bytes for a reader that has gone are discarded.
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
        self.hybrid = HybridClock(clock)
        #: Lines dropped since the process started.
        self.dropped = 0
        self._reported = 0
        self._clock = clock
        self._sink = sink
        self._sequence = 0
        self._queue: deque[dict[str, Any]] = deque()
        self._partial = b''
        static = {'daemon': daemon, 'incarnation': incarnation}
        self._common: Mapping[str, Any] = static

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record; it is dropped when the queue is full."""
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
        rest = limit
        while self._partial or (self._queue and rest):
            while self._queue and rest and len(self._partial) < CHUNK_BYTES:
                self._partial += self._text(self._queue.popleft())
                rest -= 1
            taken = self._sink(self._partial)
            if not taken:
                return
            self._partial = self._partial[taken:]

    def _report_drops(self) -> None:
        fresh = self.dropped - self._reported
        if fresh:
            self._reported = self.dropped
            line = self._line(DROPPED_EVENT, 'warning', {'count': fresh})
            self._queue.append(line)

    def _line(
        self, event: str, level: str, fields: Mapping[str, Any]
    ) -> dict[str, Any]:
        self._sequence += 1
        return {
            'wall': self._clock.wall(),
            'monotonic_ms': self._clock.monotonic(),
            **self._common,
            'sequence': self._sequence,
            'hlc': self.hybrid.tick(),
            'level': level,
            'event': event,
            'fields': dict(fields),
        }

    def _text(self, line: dict[str, Any]) -> bytes:
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


def install(handler: BufferedHandler, level: str) -> None:
    """Make ``handler`` the only handler of all loggers of this process."""
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
