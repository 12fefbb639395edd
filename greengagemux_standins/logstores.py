"""Stand-in for the platform's append-only log over HTTP and JSON.

``POST /streams/NAME`` appends the body; ``GET /streams/NAME`` reads with
``from``, ``limit`` and ``wait_ms``. ``POST /_fault`` replaces the faults and
``GET /_fault`` returns them.
"""

import base64
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from itertools import islice
from pathlib import Path
from typing import Annotated, Any, BinaryIO, NamedTuple

import msgspec
from twisted.internet.defer import Deferred, succeed

from . import servers

MS_PER_SECOND = 1000
DEFAULT_LIMIT = 100
_STREAMS = b'/streams/'


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings of the log stand-in.

    For ``retain_records``, ``retain_ms`` and ``appends_per_second`` 0 means no
    limit.

    The oldest records are removed while there are more than
    ``retain_records`` or while they are older than ``retain_ms``. If
    ``records_file`` is set, records are appended to it and a new process
    reads them from it.
    """

    port: int = 0
    retain_records: int = 10_000
    retain_ms: float = 0
    appends_per_second: int = 0
    record_limit_bytes: int = 1_048_576
    read_limit: int = 1_000
    wait_limit_ms: int = 30_000
    seed: int = 0
    records_file: str = ''


class Outage(Enum):
    """Effect of an outage on requests."""

    none = 'none'
    refuse = 'refuse'
    reset = 'reset'
    hang = 'hang'


class LogFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the log; each ``POST /_fault`` replaces all of them.

    During an outage ``refuse`` responds with status 503, ``reset`` resets the
    connection, and ``hang`` never responds. Without an outage, ``slow_ms``
    delays the handling of each request. ``lose_replies`` is the probability
    that an append is stored but the connection is reset before the response.
    """

    outage: Outage = Outage.none
    slow_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    lose_replies: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0


class Entry(NamedTuple):
    """A record; ``appended_at`` is in seconds of ``Network.seconds``."""

    offset: int
    appended_at: float
    payload: bytes


class Stream:
    """One append-only stream with bounded retention."""

    def __init__(self, settings: LogSettings) -> None:
        """Create an empty stream whose first offset is 0."""
        self._settings = settings
        self._entries: deque[Entry] = deque()
        self.end = 0

    @property
    def first(self) -> int:
        """Oldest retained offset; equal to ``end`` when there is none."""
        return self._entries[0].offset if self._entries else self.end

    def append(self, payload: bytes, now: float) -> int:
        """Add a record and return its offset."""
        offset = self.end
        self._entries.append(Entry(offset, now, payload))
        self.end += 1
        self.trim(now)
        return offset

    def read(self, start: int, limit: int, now: float) -> list[Entry]:
        """Return at most ``limit`` retained records from ``start`` on."""
        self.trim(now)
        skipped = max(0, start - self.first)
        return list(islice(self._entries, skipped, skipped + limit))

    def trim(self, now: float) -> None:
        """Remove the records beyond the retention limits."""
        settings = self._settings
        bound = settings.retain_records
        while bound and len(self._entries) > bound:
            self._entries.popleft()
        cutoff = now - settings.retain_ms / MS_PER_SECOND
        while settings.retain_ms and self._first_is_older(cutoff):
            self._entries.popleft()

    def _first_is_older(self, cutoff: float) -> bool:
        return bool(self._entries) and self._entries[0].appended_at < cutoff


class AppendQuota:
    """Token bucket whose capacity is the appends of one second."""

    def __init__(self, per_second: int, now: float) -> None:
        """Start full; 0 means no limit."""
        self._per_second = per_second
        self._tokens = float(per_second)
        self._refilled_at = now

    def take_token(self, now: float) -> bool:
        """Take one token; return false if none is available."""
        if not self._per_second:
            return True
        refill = (now - self._refilled_at) * self._per_second
        self._tokens = min(self._per_second, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(eq=False, slots=True)
class _Reader:
    """A read request; a long poll has a timer."""

    request: servers.Request
    stream: str
    start: int
    limit: int
    timer: servers.TimedCall | None = None


class LogStore:
    """The log stand-in that runs in this process."""

    def __init__(self, settings: LogSettings, network: servers.Network) -> None:
        """Load the records file, if one is set.

        A stream is created when it is first used.
        """
        self._settings = settings
        self._network = network
        self._rng = random.Random(settings.seed)
        self._streams: dict[str, Stream] = {}
        self._readers: list[_Reader] = []
        self._quota = AppendQuota(
            settings.appends_per_second, network.seconds()
        )
        self._server = servers.HttpServer(network, self._respond, settings.port)
        self.faults = LogFaults()
        self._file: BinaryIO | None = None
        if settings.records_file:
            self._load(Path(settings.records_file))

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return self._server.address

    @property
    def url(self) -> str:
        """Base URL for clients."""
        return f'http://{self.address}'

    def start(self) -> Deferred[None]:
        """Start listening; records survive a stop and a new start."""
        self._server.start()
        return succeed(None)

    def stop(self) -> Deferred[None]:
        """Close the listener and reset all connections."""
        return self._server.stop()

    def stream(self, name: str) -> Stream:
        """Return a stream, created on first use."""
        return self._streams.setdefault(name, Stream(self._settings))

    def _respond(self, request: servers.Request) -> None:
        if request.path == b'/_fault':
            self._serve_fault(request)
            return
        if not request.path.startswith(_STREAMS):
            _refuse(request, servers.NOT_FOUND, 'no such path')
            return
        outage = self.faults.outage
        if outage is Outage.refuse:
            _refuse(request, servers.UNAVAILABLE, 'outage')
        elif outage is Outage.reset:
            servers.abort(request.channel)
        elif outage is Outage.none:
            self._after_delay(request, self._serve_stream)

    def _after_delay(
        self,
        request: servers.Request,
        serve: Callable[[servers.Request], None],
    ) -> None:
        if self.faults.slow_ms:
            delay = self.faults.slow_ms / MS_PER_SECOND
            self._network.callLater(delay, _call_if_open, request, serve)
        else:
            serve(request)

    def _serve_fault(self, request: servers.Request) -> None:
        if request.method != b'GET':
            faults = servers.read_json(request, LogFaults)
            if faults is None:
                return
            self.faults = faults
        servers.reply_json(request, servers.OK, self.faults)

    def _serve_stream(self, request: servers.Request) -> None:
        name = request.path[len(_STREAMS) :].decode('latin-1')
        if request.method == b'POST':
            self._append(request, name)
        elif request.method == b'GET':
            self._read(request, name)
        else:
            _refuse(
                request,
                servers.METHOD_NOT_ALLOWED,
                'method not allowed: use GET or POST',
            )

    def _load(self, path: Path) -> None:
        """Load the records of earlier processes and open the file to append.

        The age of loaded records counts from now.
        """
        if path.exists():
            for line in path.read_bytes().splitlines():
                name, encoded = msgspec.json.decode(line)
                payload = base64.b64decode(encoded)
                self.stream(name).append(payload, self._network.seconds())
        self._file = path.open('ab', buffering=0)

    def _append(self, request: servers.Request, name: str) -> None:
        payload = servers.body_of(request)
        limit = self._settings.record_limit_bytes
        if len(payload) > limit:
            _refuse(
                request, servers.TOO_LARGE, f'record larger than {limit} bytes'
            )
            return
        if not self._quota.take_token(self._network.seconds()):
            _refuse(
                request, servers.TOO_MANY_REQUESTS, 'append rate limit exceeded'
            )
            return
        offset = self.stream(name).append(payload, self._network.seconds())
        if self._file is not None:
            self._file.write(_encode_line(name, payload))
        self._serve_waiting_readers(name)
        if self._rng.random() < self.faults.lose_replies:
            servers.abort(request.channel)
            return
        servers.reply_json(request, servers.OK, {'offset': offset})

    def _read(self, request: servers.Request, name: str) -> None:
        try:
            start, limit, wait_ms = _read_arguments(request)
        except ValueError as error:
            _refuse(request, servers.BAD_REQUEST, str(error))
            return
        reader = _Reader(
            request, name, start, min(limit, self._settings.read_limit)
        )
        stream = self.stream(name)
        stream.trim(self._network.seconds())
        wait_ms = min(wait_ms, self._settings.wait_limit_ms)
        if start != stream.end or not wait_ms:
            self._send_page(reader)
            return
        request.notifyFinish().addErrback(partial(self._remove_reader, reader))
        reader.timer = self._network.callLater(
            wait_ms / MS_PER_SECOND, self._send_page, reader
        )
        self._readers.append(reader)

    def _serve_waiting_readers(self, name: str) -> None:
        for reader in tuple(self._readers):
            if reader.stream == name:
                self._send_page(reader)

    def _remove_reader(self, reader: _Reader, _failure: Any = None) -> None:
        if reader in self._readers:
            self._readers.remove(reader)
        if reader.timer is not None and reader.timer.active():
            reader.timer.cancel()

    def _send_page(self, reader: _Reader) -> None:
        self._remove_reader(reader)
        stream = self.stream(reader.stream)
        entries = stream.read(
            reader.start, reader.limit, self._network.seconds()
        )
        next_offset = entries[-1].offset + 1 if entries else stream.end
        servers.reply_json(
            reader.request,
            servers.OK,
            {
                'first': stream.first,
                'next': next_offset,
                'records': [_encode_entry(entry) for entry in entries],
            },
        )


def _encode_line(name: str, payload: bytes) -> bytes:
    pair = (name, base64.b64encode(payload).decode())
    return b'%b\n' % msgspec.json.encode(pair)


def _encode_entry(entry: Entry) -> dict[str, object]:
    text = base64.b64encode(entry.payload).decode()
    return {'offset': entry.offset, 'data': text}


def _read_arguments(request: servers.Request) -> tuple[int, int, int]:
    start = servers.query(request, 'from', 0)
    limit = servers.query(request, 'limit', DEFAULT_LIMIT)
    wait_ms = servers.query(request, 'wait_ms', 0)
    if start < 0 or limit < 1 or wait_ms < 0:
        raise ValueError(
            'from and wait_ms must not be negative, limit must be positive'
        )
    return start, limit, wait_ms


def _call_if_open(
    request: servers.Request, serve: Callable[[servers.Request], None]
) -> None:
    if request.channel is not None:
        serve(request)


def _refuse(request: servers.Request, status: int, detail: str) -> None:
    if status in {servers.TOO_MANY_REQUESTS, servers.UNAVAILABLE}:
        request.responseHeaders.setRawHeaders(b'retry-after', [b'1'])
    servers.reply_json(request, status, {'error': detail})
