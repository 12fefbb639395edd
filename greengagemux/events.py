"""Events: inputs of the reducer."""

from dataclasses import dataclass
from datetime import datetime
from enum import Enum

from .ids import (
    AnnouncementId,
    CallId,
    DaemonId,
    ExchangeId,
    LogOffset,
    ServiceName,
    StreamId,
    UpstreamId,
)
from .messages import Headers, Hello, Message, UpstreamState
from .outcomes import Failure


@dataclass(frozen=True, slots=True)
class Tick:
    """Regular wake-up for deadlines, leases and timers."""

    wall: datetime


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete HTTP request of a caller."""

    exchange: ExchangeId
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    #: Virtual host without its port; empty if the request names none.
    host: str = ''
    #: Identity that the caller gave the request; empty if none.
    tag: str = ''


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the response."""

    exchange: ExchangeId


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """A stream with a peer is ready; ``outbound`` if this daemon opened it.

    ``address`` is the one it was opened to; empty for an inbound stream.
    ``number`` is the number in this daemon's own ``Hello``.
    """

    stream: StreamId
    hello: Hello
    outbound: bool
    address: str = ''
    number: int = 0


@dataclass(frozen=True, slots=True)
class StreamClosed:
    """A stream that was open has ended."""

    stream: StreamId
    failure: Failure


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """A stream to this address could not be opened.

    ``refused`` means that nothing listens at the address, so the process has
    ended.
    """

    daemon: DaemonId
    address: str
    failure: Failure
    refused: bool = False


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message that arrived on a stream."""

    stream: StreamId
    message: Message


class CallFault(Enum):
    """How a call to an upstream failed."""

    refused = 'refused'
    unreachable = 'unreachable'
    reset = 'reset'
    truncated = 'truncated'
    malformed = 'malformed'
    too_large = 'too-large'
    aborted = 'aborted'
    #: The upstream refused the request and states that it did not run it.
    shed = 'shed'
    #: Another upstream uses the address now and refused the request.
    replaced = 'replaced'


@dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """An upstream sent a complete response."""

    call: CallId
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """A call ended without a complete response.

    ``sent`` is false only if no byte of the request left this process.
    """

    call: CallId
    fault: CallFault
    sent: bool
    failure: Failure


@dataclass(frozen=True, slots=True)
class UpstreamStated:
    """What an upstream states about itself in the headers of a response.

    ``rate_limit_per_s`` is the rate of requests that it takes from the whole
    fleet, None if it names no limit. One that is ``leaving`` takes no new
    requests. ``call`` is the call that it responds to, None for a probe.
    """

    upstream: UpstreamId
    rate_limit_per_s: float | None = None
    leaving: bool = False
    call: CallId | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    """A probe ended; ``refused`` means that no process listens."""

    upstream: UpstreamId
    alive: bool
    refused: bool


@dataclass(frozen=True, slots=True)
class ListeningChecked:
    """A connection to an upstream was opened, or ``refused``."""

    upstream: UpstreamId
    refused: bool


@dataclass(frozen=True, slots=True)
class Announced:
    """An upstream announced itself to the daemon beside it.

    ``boot`` grows with each start of the upstream and ``sequence`` with each
    announcement of one boot; 0 if the upstream does not number them. After
    the ``last`` one, announcements of the same boot and of earlier ones are
    ignored. A last one may come without a known boot: with ``boot_limit``, the
    boot that has ended is not later than ``boot``. One with an
    ``announcement`` is responded to by ``Acknowledge``.
    """

    upstream: UpstreamId
    service: ServiceName
    address: str
    slots: int
    state: UpstreamState
    boot: int = 0
    sequence: int = 0
    last: bool = False
    boot_limit: bool = False
    announcement: AnnouncementId | None = None

    @property
    def departs(self) -> bool:
        """Whether the upstream takes no new requests from now on."""
        return self.last or self.state is UpstreamState.draining


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a log stream; ``key`` is empty if it has none."""

    offset: LogOffset
    payload: bytes
    key: str = ''


@dataclass(frozen=True, slots=True)
class LogRead:
    """Result of a read of a log stream.

    ``first`` is the oldest offset that the log retains, ``following`` the
    offset at which the next read starts. ``restores`` tells how often the log
    has come back from an older copy, None if unknown; an offset holds only
    until the next time.
    """

    stream: str
    first: LogOffset
    following: LogOffset
    records: tuple[LogRecord, ...]
    restores: int | None = None


@dataclass(frozen=True, slots=True)
class LogAppended:
    """An append was acknowledged.

    The record is lost if the log comes back from a copy later, with more
    ``restores``.
    """

    stream: str
    offset: LogOffset
    payload: bytes
    restores: int | None = None


@dataclass(frozen=True, slots=True)
class LogFailed:
    """A read or append of the log failed; an append may have taken effect."""

    stream: str
    failure: Failure
    payload: bytes | None = None


@dataclass(frozen=True, slots=True)
class Advance:
    """Do the next step of work that is too long for one reducer turn."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop."""


Event = (
    Tick
    | CallerRequest
    | CallerDisconnected
    | StreamOpened
    | StreamClosed
    | PeerUnreachable
    | PeerMessage
    | UpstreamAnswered
    | UpstreamFailed
    | UpstreamStated
    | Probed
    | ListeningChecked
    | Announced
    | LogRead
    | LogAppended
    | LogFailed
    | Advance
    | StopRequested
)
