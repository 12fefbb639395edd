"""Effects: outputs of the reducer, carried out by the runtime."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from types import TracebackType
from typing import Any, Final

from .ids import (
    AnnouncementId,
    CallId,
    DaemonId,
    ExchangeId,
    LogOffset,
    StreamId,
    UpstreamId,
)
from .messages import Headers, Message

#: Path of the health report of an upstream.
HEALTH_PATH: Final = '/health'


@dataclass(frozen=True, slots=True)
class Respond:
    """Write a complete response to a caller.

    ``retry_after_ms`` is the expected wait until a retry, not rounded to
    seconds as in the headers; 0 if it is unknown.
    """

    exchange: ExchangeId
    status: int
    headers: Headers
    body: bytes
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Send:
    """Write a message to a stream; discarded if the stream has ended."""

    stream: StreamId
    message: Message


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Open a stream to a peer."""

    daemon: DaemonId
    address: str


@dataclass(frozen=True, slots=True)
class CloseStream:
    """Close a stream."""

    stream: StreamId


@dataclass(frozen=True, slots=True)
class CallUpstream:
    """Call an upstream over HTTP; ``limit_bytes`` bounds the response body.

    ``fresh`` asks for a new connection instead of a pooled one. ``host`` is
    the virtual host that the caller named, ``tag`` the identity that it gave
    the request; each is empty if there is none.
    """

    call: CallId
    address: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    limit_bytes: int
    fresh: bool = False
    upstream: UpstreamId = UpstreamId('')
    host: bytes = b''
    tag: str = ''


@dataclass(frozen=True, slots=True)
class DropConnections:
    """Close the pooled connections to an upstream."""

    address: str


@dataclass(frozen=True, slots=True)
class ProbeUpstream:
    """Request the health report of an upstream on a new connection."""

    upstream: UpstreamId
    address: str
    path: str = HEALTH_PATH


@dataclass(frozen=True, slots=True)
class CheckListening:
    """Open a connection to an upstream without a request.

    It shows whether the process has ended.
    """

    upstream: UpstreamId
    address: str


@dataclass(frozen=True, slots=True)
class AbortCall:
    """Cancel a call by closing its connection."""

    call: CallId


@dataclass(frozen=True, slots=True)
class AppendLog:
    """Append a record to a log stream.

    In a stream that keeps the newest record of each key, an empty payload
    deletes the ``key``. Without a ``timeout`` that of the client applies.
    """

    stream: str
    payload: bytes
    key: str = ''
    timeout: timedelta | None = None


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read a log stream from ``start``; wait up to ``wait`` for records.

    ``restores`` is that of the read which gave this offset. If the log has
    gone back since, the newest records are read instead. The ``timeout`` counts
    beyond ``wait``; without it that of the client applies.
    """

    stream: str
    start: LogOffset
    wait: timedelta
    restores: int | None = None
    timeout: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Respond to an announcement of an upstream.

    One that is not ``accepted`` is to be repeated.
    """

    announcement: AnnouncementId
    accepted: bool


@dataclass(frozen=True, slots=True)
class Record:
    """Write an event to the structured log.

    A ``detail`` event has level debug, any other level info. It is counted in
    the metric ``counter`` at every log level, if one is named.
    """

    name: str
    fields: dict[str, Any] = field(default_factory=dict)
    detail: bool = False
    counter: str = ''


@dataclass(frozen=True, slots=True)
class StepFailed:
    """Report an exception in one step of an event; the others were run."""

    step: str
    error: Exception


@dataclass(frozen=True, slots=True)
class Continue:
    """Submit ``Advance`` after the queued events, to go on with long work."""


@dataclass(frozen=True, slots=True)
class ReleaseCallers:
    """Close each connection of a caller after its next response.

    Without ``accept`` no new connections are accepted.
    """

    accept: bool


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process; all work is finished.

    Output that callers and peers have not received may take ``limit`` more.
    """

    limit: timedelta = timedelta()


Effect = (
    Respond
    | Send
    | OpenStream
    | CloseStream
    | CallUpstream
    | DropConnections
    | ProbeUpstream
    | CheckListening
    | AbortCall
    | AppendLog
    | ReadLog
    | Acknowledge
    | Record
    | StepFailed
    | Continue
    | ReleaseCallers
    | Exit
)


class Outbox:
    """Collects the effects of one event in order."""

    __slots__ = ('_effects', 'now')

    def __init__(self) -> None:
        """Start empty."""
        self._effects: list[Effect] = []
        #: Monotonic time of the event.
        self.now = timedelta()

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def contain(self, step: str) -> 'Containment':
        """Return a context that reports an exception and goes on after it.

        What one step leaves undone must not end the work for other requests
        and peers. ``step`` is a fixed name, for logs and metrics.
        """
        return Containment(self.emit, step)

    def drain(self) -> list[Effect]:
        """Return the collected effects and remove them."""
        effects = self._effects
        self._effects = []
        return effects


class Containment:
    """Turns an exception within its ``with`` block into ``StepFailed``."""

    __slots__ = ('_report', '_step', 'failed')

    def __init__(self, report: Callable[[StepFailed], None], step: str) -> None:
        """Pass the exception to ``report`` under the name ``step``."""
        self._report = report
        self._step = step
        #: Whether the block has raised an exception.
        self.failed = False

    def __enter__(self) -> 'Containment':
        """Begin the step."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        """Report an exception, if the step has raised one."""
        if not isinstance(error, Exception):
            return False
        self.failed = True
        self._report(StepFailed(self._step, error))
        return True


def raise_failures(effects: Iterable[Effect]) -> None:
    """Raise the first exception among effects, for tests and measurements."""
    for effect in effects:
        if isinstance(effect, StepFailed):
            raise effect.error
