"""Small HTTP interfaces of the daemon: readiness and announcements."""

import logging
from collections.abc import Callable
from io import BytesIO
from typing import Any, Final

import msgspec
from twisted.internet.interfaces import IAddress
from twisted.web import http

from ..events import Announced, Event
from ..ids import ServiceName, UpstreamId
from ..messages import UpstreamState
from ..metrics import Metrics
from .settings import PlatformSettings

logger = logging.getLogger(__name__)

READY_PATH: Final = b'/api/readyz'
METRICS_PATH: Final = b'/metrics'
METRICS_TYPE: Final = b'text/plain; version=0.0.4'
INSTANCES_PATH: Final = b'/api/instances/'
#: Largest announcement that is read.
BODY_LIMIT_BYTES: Final = 64 * 1024
#: Seconds after which an idle connection is closed.
IDLE_LIMIT_S: Final = 60


class _Announcement(msgspec.Struct, frozen=True):
    """What a server says of itself, ``PUT /api/instances/ID``."""

    service: str
    address: str
    slots: int
    #: ``ready`` or ``draining``.
    phase: str
    #: Grows with each announcement of one start of the server.
    sequence: int
    #: Unix milliseconds of the server's start.
    born: int = 0
    #: How much longer the server is slow after its start.
    cold_remaining_ms: float = 0


_decoder: Final = msgspec.json.Decoder(_Announcement)


class _Exchange(http.Request):
    """One request and its answer, made by a handler."""

    channel: Any
    content: Any

    def gotLength(self, length: int | None) -> None:
        """Collect the body in memory: hosts have no disk."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Collect the body up to its limit."""
        if self.content.tell() + len(data) > BODY_LIMIT_BYTES:
            self.channel.forceAbortClient()
            return
        self.content.write(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Answer a whole request."""
        self.method = command
        self.uri = path
        self.clientproto = version
        answer = self.channel.factory.handler
        status, body = answer(command, path, self.content.getvalue())
        self.setResponseCode(status)
        self.responseHeaders.setRawHeaders(
            b'Content-Type', [self.channel.factory.content_type]
        )
        self.responseHeaders.setRawHeaders(
            b'Content-Length', [b'%d' % len(body)]
        )
        self.write(body)  # type: ignore[no-untyped-call]
        self.finish()  # type: ignore[no-untyped-call]


class _Channel(http.HTTPChannel):
    """One connection."""

    requestFactory: Any = _Exchange


#: Returns status and body for method, path and body of a request.
Answerer = Callable[[bytes, bytes, bytes], tuple[int, bytes]]


class Server(http.HTTPFactory):
    """Serves one handler over HTTP."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        handler: Answerer,
        content_type: bytes = b'application/json',
    ) -> None:
        """Answer each request with ``handler``."""
        super().__init__(reactor=reactor, timeout=IDLE_LIMIT_S)
        self.content_type = content_type
        self.handler = handler

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Accept a connection."""
        channel = _Channel()  # type: ignore[no-untyped-call]
        channel.factory = self
        channel.timeOut = IDLE_LIMIT_S
        channel.callLater = self.reactor.callLater  # type: ignore[method-assign,assignment]
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log: the reducer records what matters."""


class Readiness:
    """Tells the platform whether callers may come."""

    def __init__(self, ready: Callable[[], tuple[bool, str]]) -> None:
        """Ask ``ready`` for each request."""
        self._ready = ready

    def __call__(
        self, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        """Return 200 while callers may come."""
        if method != b'GET' or path != READY_PATH:
            return http.NOT_FOUND, b'{}'
        ready, why = self._ready()
        status = http.OK if ready else http.SERVICE_UNAVAILABLE
        return status, msgspec.json.encode({'ready': ready, 'why': why})


class MetricsPage:
    """Counters and latency histograms as text."""

    def __init__(self, metrics: Metrics) -> None:
        """Show these metrics."""
        self._metrics = metrics

    def __call__(
        self, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        """Return the metrics in the format of Prometheus."""
        if method != b'GET' or path != METRICS_PATH:
            return http.NOT_FOUND, b''
        return http.OK, self._metrics.prometheus().encode()


class Announcements:
    """Takes the announcements of the upstream beside this daemon."""

    def __init__(
        self, settings: PlatformSettings, submit: Callable[[Event], None]
    ) -> None:
        """Report them through ``submit``."""
        self._settings = settings
        self._submit = submit

    def __call__(
        self, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        """Return 200 once the announcement has taken effect."""
        if not path.startswith(INSTANCES_PATH):
            return http.NOT_FOUND, b'{}'
        upstream = UpstreamId(path[len(INSTANCES_PATH) :].decode('latin-1'))
        if method == b'DELETE':
            self._submit(self._leaving(upstream))
            return http.OK, b'{}'
        if method != b'PUT':
            return http.NOT_ALLOWED, b'{}'
        try:
            found = _decoder.decode(body)
        except msgspec.MsgspecError as error:
            return self._refuse(upstream, str(error))
        states = {
            'ready': UpstreamState.serving,
            'draining': UpstreamState.draining,
        }
        state = states.get(found.phase)
        if state is None or found.slots < 1:
            return self._refuse(upstream, f'phase {found.phase!r}')
        if found.service != self._settings.service:
            return self._refuse(upstream, f'service {found.service!r}')
        if found.cold_remaining_ms > 0 and state is UpstreamState.serving:
            state = UpstreamState.cold
        self._submit(
            Announced(
                upstream=upstream,
                service=ServiceName(found.service),
                address=str(self._settings.upstream_address),
                slots=found.slots,
                state=state,
                boot=found.born,
                sequence=found.sequence,
            )
        )
        return http.OK, b'{}'

    def _leaving(self, upstream: UpstreamId) -> Announced:
        return Announced(
            upstream=upstream,
            service=self._settings.service,
            address=str(self._settings.upstream_address),
            slots=1,
            state=UpstreamState.draining,
            last=True,
        )

    def _refuse(self, upstream: UpstreamId, why: str) -> tuple[int, bytes]:
        logger.warning('announcement of %s refused: %s', upstream, why)
        return http.BAD_REQUEST, msgspec.json.encode({'error': why})
