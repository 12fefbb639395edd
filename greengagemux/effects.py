"""Outputs of the reducer, carried out by the shell."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Final

from .ids import (
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
    """Write a whole answer to a caller."""

    exchange: ExchangeId
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Write a message to a stream; dropped when the stream has ended."""

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
    """Call an upstream over HTTP; ``limit_bytes`` bounds its answer body.

    ``fresh`` asks for a new connection instead of a pooled one. ``host`` is
    the virtual host and ``tag`` the identity of the request that the caller
    gave, each empty for none.
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
    """Ask an upstream for its health on a new connection."""

    upstream: UpstreamId
    address: str
    path: str = HEALTH_PATH


@dataclass(frozen=True, slots=True)
class AbortCall:
    """Cancel a call by closing its connection."""

    call: CallId


@dataclass(frozen=True, slots=True)
class AppendLog:
    """Append a record to a log stream.

    In a stream that keeps the newest record of each key, an empty payload
    takes the ``key`` away.
    """

    stream: str
    payload: bytes
    key: str = ''


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read a log stream from an offset, waiting up to ``wait``."""

    stream: str
    start: LogOffset
    wait: timedelta


@dataclass(frozen=True, slots=True)
class Record:
    """Write an event to the time line; ``detail`` events are optional."""

    name: str
    fields: dict[str, Any] = field(default_factory=dict)
    detail: bool = False


@dataclass(frozen=True, slots=True)
class Continue:
    """Submit ``Advance`` after other waiting events: work goes on."""


@dataclass(frozen=True, slots=True)
class ReleaseCallers:
    """Close each connection of a caller after its next answer.

    Without ``accept`` no new connections are taken.
    """

    accept: bool


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process; all work is finished."""


Effect = (
    Respond
    | Send
    | OpenStream
    | CloseStream
    | CallUpstream
    | DropConnections
    | ProbeUpstream
    | AbortCall
    | AppendLog
    | ReadLog
    | Record
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

    def drain(self) -> list[Effect]:
        """Return the effects collected so far and start empty."""
        effects = self._effects
        self._effects = []
        return effects
