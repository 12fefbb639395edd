"""HTTP site of the administration address.

It reads the daemon through ``Administered`` and changes it only by events.
"""

import hashlib
import hmac
import json
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from ipaddress import IPv6Address, ip_address
from typing import Any, Final, Literal, Protocol

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.internet.interfaces import IReactorTime
from twisted.web import server
from twisted.web.resource import Resource

from .addresses import ADDRESS_RULE, NAME_PATTERN, NAME_RULE, Address
from .events import Announced, Event, StopRequested
from .ids import BundleVersion, LogOffset, ServiceName, UpstreamId
from .messages import UpstreamState
from .metrics import Metrics
from .settings import DaemonSettings

BODY_LIMIT_BYTES: Final = 64 * 1024
#: An idle connection is closed after this time.
IDLE_SECONDS: Final = 60
SLOTS_LIMIT: Final = 10_000
#: Longest part of a rejected value that an error repeats.
VALUE_SHOWN_CHARS: Final = 80

_JSON: Final = 'application/json'
_TEXT: Final = 'text/plain; version=0.0.4; charset=utf-8'
_GET: Final = 'GET'
_POST: Final = 'POST'
_TOO_LARGE: Final = (
    b'HTTP/1.1 413 Content Too Large\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RejectedRecord:
    """A bundle record of the log that was not accepted."""

    offset: LogOffset
    reason: str


@dataclass(frozen=True, slots=True)
class BundleView:
    """The bundle in force, if any, and the newest rejected records.

    ``newest_offset`` is the last log offset of stream ``bundles`` that this
    daemon has judged, so a record at or below it is in force, replaced by a
    later one, or rejected.
    """

    version: BundleVersion | None = None
    offset: LogOffset | None = None
    newest_offset: LogOffset | None = None
    operator: str = ''
    text: str = ''
    rejected: tuple[RejectedRecord, ...] = ()


class Administered(Protocol):
    """What the site needs of a daemon."""

    def ready(self) -> tuple[bool, str]:
        """Return whether the daemon can serve callers, and why."""

    def state(self) -> Mapping[str, Any]:
        """Return upstreams with reasons, bundle, members and streams."""

    def bundle(self) -> BundleView:
        """Return the bundle in force and rejected records."""

    def submit(self, event: Event) -> None:
        """Hand an event to the reducer."""


class Announcement(BaseModel):
    """Body of ``POST /announce``."""

    model_config = ConfigDict(frozen=True, extra='forbid', strict=True)

    upstream: str = Field(pattern=NAME_PATTERN, description=NAME_RULE)
    service: str = Field(pattern=NAME_PATTERN, description=NAME_RULE)
    address: str = Field(description=f'{ADDRESS_RULE}, of this host')
    slots: int = Field(
        ge=1,
        le=SLOTS_LIMIT,
        description=f'a whole number from 1 to {SLOTS_LIMIT}',
    )
    state: Literal['serving', 'cold', 'draining'] = Field(
        description='one of serving, cold, draining'
    )


@dataclass(frozen=True, slots=True)
class _Reply:
    status: HTTPStatus
    body: bytes
    content_type: str = _JSON
    headers: Mapping[str, str] = field(default_factory=dict)


class _RefusedError(Exception):
    """Ends a request with an error status."""

    def __init__(
        self,
        status: HTTPStatus,
        error: str,
        problems: Iterable[Mapping[str, object]] = (),
        headers: Mapping[str, str] | None = None,
    ) -> None:
        super().__init__(error)
        content = {'error': error, 'problems': list(problems)}
        self.reply = _Reply(
            status, msgspec.json.encode(content), headers=headers or {}
        )


class _Request(server.Request):
    """Request whose body stays in memory and below the limit."""

    refused = False

    def gotLength(self, length: int | None) -> None:
        # Twisted puts bodies of unknown or large size into a file, and
        # hosts have no disks.
        super().gotLength(0)  # type: ignore[no-untyped-call]
        self._check(length or 0)

    def handleContentChunk(self, data: bytes) -> None:
        content = self.content
        if content is None or self.refused:
            return
        self._check(content.tell() + len(data))
        if not self.refused:
            super().handleContentChunk(data)  # type: ignore[no-untyped-call]

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        if not self.refused:
            super().requestReceived(command, path, version)  # type: ignore[no-untyped-call]

    def _check(self, length: int) -> None:
        if length <= BODY_LIMIT_BYTES:
            return
        self.refused = True
        self.channel.write(_TOO_LARGE)  # type: ignore[no-untyped-call]
        self.channel.loseConnection()  # type: ignore[no-untyped-call]


class _Site(server.Site):
    displayTracebacks = False
    requestFactory = _Request

    def log(self, request: object) -> None:
        """Write no access log; polls would fill the time line."""


class _Endpoints(Resource):
    """Finds the handler of a request and writes its reply."""

    isLeaf = True

    def __init__(
        self,
        administered: Administered,
        daemon: DaemonSettings,
        metrics: Metrics,
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._administered = administered
        self._token_sha256 = daemon.admin_token_sha256
        self._metrics = metrics
        addresses = (
            daemon.http_address,
            daemon.peer_address,
            daemon.admin_address,
        )
        self._own_hosts = frozenset(address.host for address in addresses)
        self._handlers: dict[str, tuple[str, _Handler]] = {
            '/health': (_GET, self._health),
            '/ready': (_GET, self._ready),
            '/metrics': (_GET, self._show_metrics),
            '/state': (_GET, self._state),
            '/bundle': (_GET, self._bundle),
            '/announce': (_POST, self._announce),
            '/drain': (_POST, self._drain),
        }

    def render(self, request: server.Request) -> bytes:
        try:
            reply = self._reply(request)
        except _RefusedError as refused:
            reply = refused.reply
        except Exception:
            _logger.exception('administration request failed')
            body = msgspec.json.encode({'error': 'internal error'})
            reply = _Reply(HTTPStatus.INTERNAL_SERVER_ERROR, body)
        request.setResponseCode(reply.status.value)
        headers = {
            'Content-Type': reply.content_type,
            'Cache-Control': 'no-store',
            'X-Content-Type-Options': 'nosniff',
            **reply.headers,
        }
        for name, text in headers.items():
            request.setHeader(name, text)  # type: ignore[no-untyped-call]
        return reply.body

    def _reply(self, request: server.Request) -> _Reply:
        path = request.path.decode('ascii', 'replace')
        if path not in self._handlers:
            paths = ', '.join(self._handlers)
            raise _RefusedError(
                HTTPStatus.NOT_FOUND, f'unknown path; allowed are {paths}'
            )
        allowed, handler = self._handlers[path]
        method = request.method.decode('ascii', 'replace')
        if method == 'HEAD':
            method = _GET
        if method != allowed:
            raise _RefusedError(
                HTTPStatus.METHOD_NOT_ALLOWED,
                f'allowed is {allowed}',
                headers={'Allow': allowed},
            )
        return handler(request)

    def _health(self, request: server.Request) -> _Reply:
        return _json({'healthy': True})

    def _ready(self, request: server.Request) -> _Reply:
        ready, why = self._administered.ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return _json({'ready': ready, 'why': why}, status)

    def _show_metrics(self, request: server.Request) -> _Reply:
        self._check_reader(request)
        accepted = request.getHeader('Accept') or ''
        if _JSON in accepted:
            return _json(self._metrics.tables())
        text = self._metrics.prometheus()
        return _Reply(HTTPStatus.OK, text.encode(), _TEXT)

    def _state(self, request: server.Request) -> _Reply:
        self._check_reader(request)
        return _json(self._administered.state())

    def _bundle(self, request: server.Request) -> _Reply:
        self._check_reader(request)
        return _json(self._administered.bundle())

    def _announce(self, request: server.Request) -> _Reply:
        if not self._is_own(_client(request)):
            self._check_token(request)
        announced = _announcement(_body(request))
        address = Address.parse(announced.address)
        if not self._is_own(address.host):
            problem = _problem('address', announced.address)
            raise _bad_announcement([problem])
        event = Announced(
            upstream=UpstreamId(announced.upstream),
            service=ServiceName(announced.service),
            address=str(address),
            slots=announced.slots,
            state=UpstreamState(announced.state),
        )
        self._administered.submit(event)
        return _json({'announced': announced.upstream})

    def _drain(self, request: server.Request) -> _Reply:
        self._check_token(request)
        self._administered.submit(StopRequested())
        return _json({'draining': True}, HTTPStatus.ACCEPTED)

    def _check_reader(self, request: server.Request) -> None:
        """Without a configured token, reads are for this host only."""
        if self._token_sha256 or not self._is_own(_client(request)):
            self._check_token(request)

    def _check_token(self, request: server.Request) -> None:
        if self._token_sha256 is None:
            raise _RefusedError(
                HTTPStatus.FORBIDDEN,
                'refused: the settings have no [daemon] admin_token_sha256',
            )
        scheme, _space, token = (
            request.getHeader('Authorization') or ''
        ).partition(' ')
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        matches = hmac.compare_digest(digest, self._token_sha256)
        if scheme.lower() != 'bearer' or not matches:
            raise _RefusedError(
                HTTPStatus.UNAUTHORIZED,
                'a valid token is required, as Authorization: Bearer TOKEN',
                headers={'WWW-Authenticate': 'Bearer'},
            )

    def _is_own(self, host: str) -> bool:
        try:
            number = ip_address(host)
        except ValueError:
            return False
        if isinstance(number, IPv6Address) and number.ipv4_mapped:
            number = number.ipv4_mapped
        if number.is_unspecified:
            return False
        return number.is_loopback or str(number) in self._own_hosts


_Handler = Callable[[server.Request], _Reply]


def build_site(
    administered: Administered,
    daemon: DaemonSettings,
    metrics: Metrics,
    reactor: IReactorTime,
) -> server.Site:
    """Return the site to listen with on ``daemon.admin_address``."""
    endpoints = _Endpoints(administered, daemon, metrics)
    return _Site(  # type: ignore[no-untyped-call]
        endpoints,
        timeout=IDLE_SECONDS,
        reactor=reactor,
        parsePOSTFormSubmission=False,
    )


def _json(content: object, status: HTTPStatus = HTTPStatus.OK) -> _Reply:
    return _Reply(status, msgspec.json.encode(content))


def _client(request: server.Request) -> str:
    return getattr(request.getClientAddress(), 'host', '')  # type: ignore[no-untyped-call]


def _body(request: server.Request) -> bytes:
    return b'' if request.content is None else request.content.read()


def _announcement(body: bytes) -> Announcement:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _RefusedError(
            HTTPStatus.BAD_REQUEST, f'the body is no JSON: {error}'
        ) from error
    if not isinstance(content, dict):
        raise _RefusedError(
            HTTPStatus.BAD_REQUEST, 'the body is no JSON object'
        )
    try:
        announced = Announcement.model_validate(content)
    except ValidationError as error:
        fields = [str(detail['loc'][0]) for detail in error.errors()]
        raise _bad_announcement(
            _problem(name, content.get(name)) for name in fields
        ) from error
    try:
        Address.parse(announced.address)
    except ValueError as error:
        problem = _problem('address', announced.address)
        raise _bad_announcement([problem]) from error
    return announced


def _problem(name: str, found: object) -> dict[str, object]:
    known = Announcement.model_fields.get(name)
    if known is None:
        allowed = f'one of the fields {", ".join(Announcement.model_fields)}'
    else:
        allowed = str(known.description)
    shown = json.dumps(found, default=str)[:VALUE_SHOWN_CHARS]
    return {'field': name, 'value': shown, 'allowed': allowed}


def _bad_announcement(
    problems: Iterable[Mapping[str, object]],
) -> _RefusedError:
    return _RefusedError(
        HTTPStatus.BAD_REQUEST, 'the announcement has problems', problems
    )
