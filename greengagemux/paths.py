"""Paths to peers: their streams, liveness checks and reconnection."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from random import Random

from .clocks import ZERO
from .effects import CloseStream, OpenStream, Outbox, Record, Send
from .events import StreamOpened
from .ids import DaemonId, Incarnation, StreamId
from .messages import Message, Ping

#: A stream with pending requests gets a ping after this much silence.
PING_AFTER = timedelta(milliseconds=200)
#: A stream counts as silent if nothing arrives for this long after a ping.
SILENT_AFTER = timedelta(milliseconds=500)
#: The same for a stream without pending requests that was used lately.
IDLE_PING_AFTER = timedelta(seconds=2)
#: A stream was used lately if a request was sent within this time.
USE_WINDOW = timedelta(seconds=10)
INITIAL_RETRY_DELAY = timedelta(milliseconds=200)
RETRY_DELAY_LIMIT = timedelta(seconds=5)


class PathState(Enum):
    """State of the path to a peer."""

    idle = 'idle'
    opening = 'opening'
    open = 'open'
    failed = 'failed'


@dataclass(slots=True, eq=False)
class Path:
    """The path to one peer: a stream that this daemon opens to it.

    ``waiting`` counts the pending requests on it. ``refused`` means that the
    last connection attempt was refused, so the peer's process has ended.
    ``number`` is the one that this daemon sent in its ``Hello``.
    """

    daemon: DaemonId
    address: str
    state: PathState = PathState.idle
    stream: StreamId | None = None
    incarnation: Incarnation = Incarnation(0)
    received_at: timedelta = ZERO
    used_at: timedelta | None = None
    ping_at: timedelta | None = None
    retry_at: timedelta = ZERO
    backoff: timedelta = INITIAL_RETRY_DELAY
    waiting: int = 0
    refused: bool = False
    number: int = 0

    @property
    def quiet(self) -> bool:
        """Whether the path needs no liveness check; most of 650 need none."""
        return (
            self.used_at is None and not self.waiting and self.ping_at is None
        )

    @property
    def reachable(self) -> bool:
        """Whether requests may be sent to upstreams of this peer."""
        return self.state is not PathState.failed


class Paths:
    """Paths to all peers."""

    def __init__(self, outbox: Outbox, rng: Random) -> None:
        """Start without paths."""
        self._outbox = outbox
        self._rng = rng
        self.by_daemon: dict[DaemonId, Path] = {}
        self._by_stream: dict[StreamId, Path] = {}
        self._inbound: dict[StreamId, DaemonId] = {}
        self._inbound_stream: dict[DaemonId, StreamId] = {}
        self._nonce = 0

    def ready(self, daemon: DaemonId) -> Path | None:
        """Return the path to a peer if its stream is open."""
        path = self.by_daemon.get(daemon)
        return path if path is not None and path.stream is not None else None

    def any_open(self) -> bool:
        """Return whether a stream that this daemon opened is open."""
        return any(path.stream for path in self.by_daemon.values())

    def want(self, daemon: DaemonId, address: str, now: timedelta) -> Path:
        """Return the path to a peer; open it if it is not open or opening."""
        path = self.by_daemon.get(daemon)
        if path is None or path.address != address:
            path = self._replace(path, daemon, address)
        if path.state in {PathState.idle, PathState.failed}:
            self._open(path, now)
        return path

    def forget(self, daemon: DaemonId) -> None:
        """Remove the path to a peer and close its stream."""
        path = self.by_daemon.pop(daemon, None)
        if path is None or path.stream is None:
            return
        self._by_stream.pop(path.stream, None)
        self._outbox.emit(CloseStream(path.stream))

    def opened(self, event: StreamOpened, now: timedelta) -> Path | None:
        """Note a new stream; return its path if this daemon opened it.

        The result is None for an inbound stream and for one that a newer
        stream has superseded.
        """
        stream = event.stream
        hello = event.hello
        if not event.outbound:
            self._inbound[stream] = hello.daemon
            self._inbound_stream[hello.daemon] = stream
            return None
        path = self.by_daemon.get(hello.daemon)
        if path is None:
            path = Path(hello.daemon, event.address)
            self.by_daemon[hello.daemon] = path
        if event.number < path.number:
            # The peer accepts requests only on the stream with the newest
            # ``Hello``, and this stream is older than the open one.
            self._outbox.emit(CloseStream(stream))
            return None
        path.number = event.number
        if path.stream is not None:
            self._by_stream.pop(path.stream, None)
            self._outbox.emit(CloseStream(path.stream))
        path.state = PathState.open
        path.stream = stream
        path.incarnation = hello.incarnation
        path.received_at = now
        path.ping_at = None
        path.backoff = INITIAL_RETRY_DELAY
        path.refused = False
        self._by_stream[stream] = path
        return path

    def closed(self, stream: StreamId, now: timedelta) -> Path | None:
        """Note the end of a stream; return its path if it was on one."""
        daemon = self._inbound.pop(stream, None)
        if daemon is not None:
            if self._inbound_stream.get(daemon) == stream:
                self._inbound_stream.pop(daemon)
            return None
        path = self._by_stream.pop(stream, None)
        if path is None or path.stream != stream:
            return None
        path.stream = None
        path.state = PathState.idle
        self._open(path, now)
        return path

    def unreachable(
        self, daemon: DaemonId, now: timedelta, *, refused: bool
    ) -> Path | None:
        """Note that a stream could not be opened; return the failed path."""
        path = self.by_daemon.get(daemon)
        if path is None or path.state is PathState.open:
            return None
        if path.state is not PathState.failed:
            self._outbox.emit(Record('peer-unreachable', {'peer': daemon}))
        path.state = PathState.failed
        path.refused = refused
        jitter = self._rng.uniform(1, 1.5)
        path.retry_at = now + path.backoff * jitter
        path.backoff = min(path.backoff * 2, RETRY_DELAY_LIMIT)
        return path

    def received(self, stream: StreamId, now: timedelta) -> None:
        """Note that a message arrived on a stream."""
        path = self._by_stream.get(stream)
        if path is not None:
            path.received_at = now
            path.ping_at = None

    def peer(self, stream: StreamId) -> DaemonId | None:
        """Return the daemon at the other end of a stream; None if unknown."""
        path = self._by_stream.get(stream)
        if path is not None:
            return path.daemon
        return self._inbound.get(stream)

    def send(self, daemon: DaemonId, message: Message) -> bool:
        """Send a control message on any open stream with a peer.

        Returns false if there is none.
        """
        path = self.by_daemon.get(daemon)
        stream = path.stream if path else None
        if stream is None:
            stream = self._inbound_stream.get(daemon)
        if stream is None:
            return False
        self._outbox.emit(Send(stream, message))
        return True

    def connected(self, daemon: DaemonId) -> bool:
        """Return whether any stream with a peer is open."""
        path = self.by_daemon.get(daemon)
        if path is not None and path.stream is not None:
            return True
        return daemon in self._inbound_stream

    def tick(self, now: timedelta) -> list[Path]:
        """Check liveness; return the paths whose stream went silent."""
        silent: list[Path] = []
        for path in tuple(self.by_daemon.values()):
            if path.state is PathState.open:
                if path.quiet:
                    continue
                if self._check(path, now):
                    silent.append(path)
            elif path.state is PathState.failed and path.retry_at <= now:
                self._outbox.emit(OpenStream(path.daemon, path.address))
                path.retry_at = now + RETRY_DELAY_LIMIT
        return silent

    def _check(self, path: Path, now: timedelta) -> bool:
        if path.ping_at is not None:
            if now - path.ping_at < SILENT_AFTER:
                return False
            self._mark_silent(path, now)
            return True
        if now - path.received_at >= _ping_after(path, now):
            self._nonce += 1
            path.ping_at = now
            if path.stream is not None:
                self._outbox.emit(Send(path.stream, Ping(self._nonce)))
        return False

    def _mark_silent(self, path: Path, now: timedelta) -> None:
        self._outbox.emit(Record('stream-silent', {'peer': path.daemon}))
        if path.stream is not None:
            self._by_stream.pop(path.stream, None)
            self._outbox.emit(CloseStream(path.stream))
        path.stream = None
        path.state = PathState.failed
        path.refused = False
        path.retry_at = now + RETRY_DELAY_LIMIT
        self._outbox.emit(OpenStream(path.daemon, path.address))

    def _open(self, path: Path, now: timedelta) -> None:
        if path.state is PathState.failed and path.retry_at > now:
            return
        if path.state is PathState.idle:
            path.state = PathState.opening
        path.retry_at = now + RETRY_DELAY_LIMIT
        self._outbox.emit(OpenStream(path.daemon, path.address))

    def _replace(
        self, old: Path | None, daemon: DaemonId, address: str
    ) -> Path:
        if old is not None:
            self.forget(daemon)
        path = Path(daemon, address)
        self.by_daemon[daemon] = path
        return path


def _ping_after(path: Path, now: timedelta) -> timedelta:
    if path.waiting:
        return PING_AFTER
    if path.used_at is not None and now - path.used_at < USE_WINDOW:
        return IDLE_PING_AFTER
    path.used_at = None
    return timedelta.max
