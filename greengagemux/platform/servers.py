"""HTTP endpoints for the platform: readiness, metrics and announcements."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from io import BytesIO
from typing import Annotated, Any, Final

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress
from twisted.web import http

from ..clocks import Clock
from ..effects import Acknowledge
from ..events import Announced, Event
from ..ids import AnnouncementId, ServiceName, UpstreamId
from ..messages import UpstreamState
from ..metrics import Metrics
from .settings import PlatformSettings

logger = logging.getLogger(__name__)

READY_PATH: Final = b'/api/readyz'
METRICS_PATH: Final = b'/metrics'
METRICS_TYPE: Final = b'text/plain; version=0.0.4'
INSTANCES_PATH: Final = b'/api/instances/'
#: Longest request body; the connection of a longer one is aborted.
BODY_LIMIT_BYTES: Final = 64 * 1024
#: Most slots of an upstream.
SLOTS_LIMIT: Final = 10_000
#: Longest id of an upstream, in characters.
ID_LIMIT: Final = 200
#: Seconds after which an idle connection is closed.
IDLE_LIMIT_S: Final = 60
_MS_PER_SECOND: Final = 1000


#: Messages between daemons hold integers of 64 bits.
_Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=SLOTS_LIMIT)]


class _Announcement(msgspec.Struct, frozen=True):
    """Body of ``PUT /api/instances/ID``, sent by an upstream instance."""

    service: str
    address: str
    slots: _Slots
    #: ``ready`` or ``draining``.
    phase: str
    #: Grows with each announcement since the instance started.
    sequence: _Counter
    #: Start time of the instance, in milliseconds since the Unix epoch.
    born: _Counter = 0
    #: Remaining warm-up time, during which the instance is slow.
    cold_remaining_ms: float = 0


class _Departure(msgspec.Struct, frozen=True):
    """Body of ``DELETE /api/instances/ID``."""

    #: As in the announcements.
    born: _Counter = 0


_departure_decoder: Final = msgspec.json.Decoder(_Departure)
_decoder: Final = msgspec.json.Decoder(_Announcement)


#: Status and body of a response.
Reply = tuple[int, bytes]


class _Exchange(http.Request):
    """One request, answered by the handler of the server."""

    channel: Any
    content: Any

    def gotLength(self, length: int | None) -> None:
        """Buffer the body in memory, because hosts have no disk.

        Twisted writes large bodies to a temporary file.
        """
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a part of the body; abort the connection at the limit."""
        if self.content.tell() + len(data) > BODY_LIMIT_BYTES:
            self.channel.forceAbortClient()
            return
        self.content.write(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Respond to a complete request."""
        self.method = command
        self.uri = path
        self.clientproto = version
        handler = self.channel.factory.handler
        reply = handler(command, path, self.content.getvalue())
        if isinstance(reply, Deferred):
            reply.addCallback(self._respond)
            return
        self._respond(reply)

    def _respond(self, reply: Reply) -> None:
        """Write the response, unless the connection has closed meanwhile."""
        if self.channel is None:
            return
        status, body = reply
        self.setResponseCode(status)
        for name, content in self.channel.factory.headers().items():
            self.responseHeaders.setRawHeaders(name, [content])
        self.responseHeaders.setRawHeaders(
            b'Content-Type', [self.channel.factory.content_type]
        )
        self.responseHeaders.setRawHeaders(
            b'Content-Length', [b'%d' % len(body)]
        )
        self.write(body)  # type: ignore[no-untyped-call]
        self.finish()  # type: ignore[no-untyped-call]


class _Channel(http.HTTPChannel):
    """One HTTP connection."""

    requestFactory: Any = _Exchange


#: Returns the response to a request's method, path and body, also later.
Handler = Callable[[bytes, bytes, bytes], Reply | Deferred[Reply]]


class Server(http.HTTPFactory):
    """Serves one handler over HTTP."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        handler: Handler,
        content_type: bytes = b'application/json',
        headers: Callable[[], Mapping[bytes, bytes]] = dict,
    ) -> None:
        """Respond to each request with the result of ``handler``.

        ``headers`` returns further headers of each response.
        """
        super().__init__(reactor=reactor, timeout=IDLE_LIMIT_S)
        self.content_type = content_type
        self.handler = handler
        self.headers = headers

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Accept a connection."""
        channel = _Channel()  # type: ignore[no-untyped-call]
        channel.factory = self
        channel.timeOut = IDLE_LIMIT_S
        channel.callLater = self.reactor.callLater  # type: ignore[method-assign,assignment]
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log; the daemon logs structured events instead."""


class Readiness:
    """Readiness check of the platform, ``GET /api/readyz``."""

    def __init__(self, ready: Callable[[], tuple[bool, str]]) -> None:
        """Call ``ready`` for each request; it returns the state and why."""
        self._ready = ready

    def __call__(self, method: bytes, path: bytes, body: bytes) -> Reply:
        """Return 200 while the daemon accepts callers, otherwise 503."""
        if method != b'GET' or path != READY_PATH:
            return http.NOT_FOUND, b'{}'
        ready, reason = self._ready()
        status = http.OK if ready else http.SERVICE_UNAVAILABLE
        return status, msgspec.json.encode({'ready': ready, 'why': reason})


class MetricsPage:
    """Metrics page, ``GET /metrics``."""

    def __init__(self, metrics: Metrics) -> None:
        """Serve these metrics."""
        self._metrics = metrics

    def __call__(self, method: bytes, path: bytes, body: bytes) -> Reply:
        """Return the metrics in the Prometheus text format."""
        if method != b'GET' or path != METRICS_PATH:
            return http.NOT_FOUND, b''
        return http.OK, self._metrics.prometheus().encode()


class Announcements:
    """Receives the announcements of the upstream on this host."""

    def __init__(
        self,
        settings: PlatformSettings,
        submit: Callable[[Event], bool],
        clock: Clock,
    ) -> None:
        """Pass valid announcements to ``submit`` as events.

        It returns whether the event has taken effect.
        """
        self._settings = settings
        self._submit = submit
        self._clock = clock
        self._last_announcement = 0
        self._unanswered: dict[AnnouncementId, Deferred[Reply]] = {}

    def __call__(
        self, method: bytes, path: bytes, body: bytes
    ) -> Reply | Deferred[Reply]:
        """Return 200 once the announcement has taken effect.

        For a departure that is once the log holds it, and 503 if that takes too
        long. An invalid one gets 400 with the reason, another method 405, and
        one that has failed to take effect 500.
        """
        if not path.startswith(INSTANCES_PATH):
            return http.NOT_FOUND, b'{}'
        upstream = UpstreamId(path[len(INSTANCES_PATH) :].decode('latin-1'))
        if method not in {b'DELETE', b'PUT'}:
            return http.NOT_ALLOWED, b'{}'
        if len(upstream) > ID_LIMIT:
            return self._reject(upstream[:ID_LIMIT], 'the id is too long')
        if method == b'DELETE':
            return self._apply(self._departure(upstream, body))
        try:
            announcement = _decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError) as error:
            return self._reject(upstream, str(error))
        states = {
            'ready': UpstreamState.serving,
            'draining': UpstreamState.draining,
        }
        state = states.get(announcement.phase)
        if state is None:
            return self._reject(
                upstream, f'unknown phase {announcement.phase!r}'
            )
        if announcement.service != self._settings.service:
            return self._reject(
                upstream,
                f'service {announcement.service!r} is not the one of this host',
            )
        if (
            announcement.cold_remaining_ms > 0
            and state is UpstreamState.serving
        ):
            state = UpstreamState.cold
        return self._apply(
            Announced(
                upstream=upstream,
                service=ServiceName(announcement.service),
                address=str(self._settings.upstream_address),
                slots=announcement.slots,
                state=state,
                boot=announcement.born,
                sequence=announcement.sequence,
            )
        )

    def acknowledge(self, effect: Acknowledge) -> None:
        """Respond to an announcement; an unknown one is ignored."""
        answered = self._unanswered.pop(effect.announcement, None)
        if answered is None:
            return
        status = http.OK if effect.accepted else http.SERVICE_UNAVAILABLE
        answered.callback((status, b'{}'))

    def _apply(self, event: Announced) -> Reply | Deferred[Reply]:
        """Acknowledge an announcement only if it has taken effect."""
        self._last_announcement += 1
        announcement = AnnouncementId(self._last_announcement)
        answered: Deferred[Reply] = Deferred()
        self._unanswered[announcement] = answered
        if self._submit(replace(event, announcement=announcement)):
            return answered
        self._unanswered.pop(announcement, None)
        return http.INTERNAL_SERVER_ERROR, b'{}'

    def _departure(self, upstream: UpstreamId, body: bytes) -> Announced:
        try:
            born = _departure_decoder.decode(body).born
        except (msgspec.MsgspecError, RecursionError):
            born = 0
        now_ms = int(self._clock.wall().timestamp() * _MS_PER_SECOND)
        return Announced(
            upstream=upstream,
            service=self._settings.service,
            address=str(self._settings.upstream_address),
            slots=1,
            state=UpstreamState.draining,
            # A body without a start is no reason to keep an upstream in use.
            boot=born or now_ms,
            last=True,
            boot_limit=not born,
        )

    def _reject(self, upstream: str, reason: str) -> Reply:
        logger.warning(
            'rejected the announcement of upstream %s: %s', upstream, reason
        )
        return http.BAD_REQUEST, msgspec.json.encode({'error': reason})
