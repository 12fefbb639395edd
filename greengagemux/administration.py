"""HTTP endpoints of a daemon's administration address.

They read the daemon through ``AdministeredDaemon`` and change it only by
submitting events.
"""

import hashlib
import hmac
import json
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, fields
from http import HTTPStatus
from ipaddress import IPv6Address, ip_address
from typing import Any, Final, Literal, Protocol

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.internet.interfaces import IReactorTime
from twisted.web import server
from twisted.web.resource import Resource

from .addresses import ADDRESS_RULE, NAME_PATTERN, NAME_RULE, Address
from .explanations.decisions import Explanation, Question
from .events import Announced, Event, StopRequested
from .ids import BundleVersion, LogOffset, ServiceName, UpstreamId
from .messages import UpstreamState
from .metrics import Metrics
from .settings import DaemonSettings

BODY_LIMIT_BYTES: Final = 64 * 1024
IDLE_TIMEOUT_SECONDS: Final = 60
SLOTS_LIMIT: Final = 10_000
#: Longest part of a rejected value that an error shows.
VALUE_SHOWN_CHARS: Final = 80

_JSON_TYPE: Final = 'application/json'
_METRICS_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'
_GET: Final = 'GET'
_POST: Final = 'POST'
_TOO_LARGE_RESPONSE: Final = (
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
    daemon has evaluated, so a record at or below it is in force, replaced by
    a later one, or rejected.
    """

    version: BundleVersion | None = None
    offset: LogOffset | None = None
    newest_offset: LogOffset | None = None
    operator: str = ''
    text: str = ''
    rejected: tuple[RejectedRecord, ...] = ()


class AdministeredDaemon(Protocol):
    """The part of a daemon that the endpoints use."""

    def ready(self) -> tuple[bool, str]:
        """Return whether the daemon can serve callers, and the reason."""

    def state(self) -> Mapping[str, Any]:
        """Return the content of ``GET /state``.

        It has upstreams with the reasons of their states, bundle, members
        and streams.
        """

    def bundle(self) -> BundleView:
        """Return the bundle in force and the newest rejected records."""

    def explain(self, question: Question) -> Explanation:
        """Return where a request would be placed, without sending it."""

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
class _Response:
    status: HTTPStatus
    body: bytes
    content_type: str = _JSON_TYPE
    headers: Mapping[str, str] = field(default_factory=dict)


class _RequestError(Exception):
    """Ends a request with an error response."""

    def __init__(
        self,
        status: HTTPStatus,
        error: str,
        problems: Iterable[Mapping[str, object]] = (),
        headers: Mapping[str, str] | None = None,
    ) -> None:
        super().__init__(error)
        content = {'error': error, 'problems': list(problems)}
        self.response = _Response(
            status, msgspec.json.encode(content), headers=headers or {}
        )


class _Request(server.Request):
    """Request whose body is kept in memory, up to ``BODY_LIMIT_BYTES``."""

    is_too_large = False

    def gotLength(self, length: int | None) -> None:
        # Twisted writes bodies of unknown or large size to a temporary
        # file, and the hosts have no disks.
        super().gotLength(0)  # type: ignore[no-untyped-call]
        self._check(length or 0)

    def handleContentChunk(self, data: bytes) -> None:
        content = self.content
        if content is None or self.is_too_large:
            return
        self._check(content.tell() + len(data))
        if not self.is_too_large:
            super().handleContentChunk(data)  # type: ignore[no-untyped-call]

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        if not self.is_too_large:
            super().requestReceived(command, path, version)  # type: ignore[no-untyped-call]

    def _check(self, length: int) -> None:
        if length <= BODY_LIMIT_BYTES:
            return
        self.is_too_large = True
        self.channel.write(_TOO_LARGE_RESPONSE)  # type: ignore[no-untyped-call]
        self.channel.loseConnection()  # type: ignore[no-untyped-call]


class _Site(server.Site):
    displayTracebacks = False
    requestFactory = _Request

    def log(self, request: object) -> None:
        """Write no access log: polling would fill the time line."""


class _Endpoints(Resource):
    """Dispatches requests by path and writes the responses."""

    isLeaf = True

    def __init__(
        self,
        administered_daemon: AdministeredDaemon,
        daemon: DaemonSettings,
        metrics: Metrics,
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._daemon = administered_daemon
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
            '/explain': (_GET, self._explain),
            '/announce': (_POST, self._announce),
            '/drain': (_POST, self._drain),
        }

    def render(self, request: server.Request) -> bytes:
        try:
            response = self._respond(request)
        except _RequestError as error:
            response = error.response
        except Exception:
            _logger.exception('administration request failed')
            body = msgspec.json.encode({'error': 'internal error'})
            response = _Response(HTTPStatus.INTERNAL_SERVER_ERROR, body)
        request.setResponseCode(response.status.value)
        headers = {
            'Content-Type': response.content_type,
            'Cache-Control': 'no-store',
            'X-Content-Type-Options': 'nosniff',
            **response.headers,
        }
        for name, text in headers.items():
            request.setHeader(name, text)  # type: ignore[no-untyped-call]
        return response.body

    def _respond(self, request: server.Request) -> _Response:
        path = request.path.decode('ascii', 'replace')
        if path not in self._handlers:
            paths = ', '.join(self._handlers)
            raise _RequestError(
                HTTPStatus.NOT_FOUND, f'unknown path; known paths are {paths}'
            )
        allowed, handler = self._handlers[path]
        method = request.method.decode('ascii', 'replace')
        if method == 'HEAD':
            method = _GET
        if method != allowed:
            raise _RequestError(
                HTTPStatus.METHOD_NOT_ALLOWED,
                f'method not allowed; use {allowed}',
                headers={'Allow': allowed},
            )
        return handler(request)

    def _health(self, request: server.Request) -> _Response:
        return _json({'healthy': True})

    def _ready(self, request: server.Request) -> _Response:
        ready, reason = self._daemon.ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return _json({'ready': ready, 'why': reason}, status)

    def _show_metrics(self, request: server.Request) -> _Response:
        self._check_read_access(request)
        accepted = request.getHeader('Accept') or ''
        if _JSON_TYPE in accepted:
            return _json(self._metrics.tables())
        text = self._metrics.prometheus()
        return _Response(HTTPStatus.OK, text.encode(), _METRICS_TYPE)

    def _state(self, request: server.Request) -> _Response:
        self._check_read_access(request)
        return _json(self._daemon.state())

    def _bundle(self, request: server.Request) -> _Response:
        self._check_read_access(request)
        return _json(self._daemon.bundle())

    def _explain(self, request: server.Request) -> _Response:
        self._check_read_access(request)
        return _json(self._daemon.explain(_parse_question(request)))

    def _announce(self, request: server.Request) -> _Response:
        if not self._is_own_host(_client_host(request)):
            self._check_token(request)
        announced = _parse_announcement(_body(request))
        address = Address.parse(announced.address)
        if not self._is_own_host(address.host):
            problem = _problem('address', announced.address)
            raise _bad_announcement([problem])
        event = Announced(
            upstream=UpstreamId(announced.upstream),
            service=ServiceName(announced.service),
            address=str(address),
            slots=announced.slots,
            state=UpstreamState(announced.state),
        )
        self._daemon.submit(event)
        return _json({'announced': announced.upstream})

    def _drain(self, request: server.Request) -> _Response:
        self._check_token(request)
        self._daemon.submit(StopRequested())
        return _json({'draining': True}, HTTPStatus.ACCEPTED)

    def _check_read_access(self, request: server.Request) -> None:
        """Require the token; if none is configured, allow this host only."""
        if self._token_sha256 or not self._is_own_host(_client_host(request)):
            self._check_token(request)

    def _check_token(self, request: server.Request) -> None:
        if self._token_sha256 is None:
            raise _RequestError(
                HTTPStatus.FORBIDDEN,
                'access denied: [daemon] admin_token_sha256 is not configured',
            )
        scheme, _space, token = (
            request.getHeader('Authorization') or ''
        ).partition(' ')
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        matches = hmac.compare_digest(digest, self._token_sha256)
        if scheme.lower() != 'bearer' or not matches:
            raise _RequestError(
                HTTPStatus.UNAUTHORIZED,
                'a valid token is required, as Authorization: Bearer TOKEN',
                headers={'WWW-Authenticate': 'Bearer'},
            )

    def _is_own_host(self, host: str) -> bool:
        try:
            ip = ip_address(host)
        except ValueError:
            return False
        if isinstance(ip, IPv6Address) and ip.ipv4_mapped:
            ip = ip.ipv4_mapped
        if ip.is_unspecified:
            return False
        return ip.is_loopback or str(ip) in self._own_hosts


_Handler = Callable[[server.Request], _Response]


def build_site(
    administered_daemon: AdministeredDaemon,
    daemon: DaemonSettings,
    metrics: Metrics,
    reactor: IReactorTime,
) -> server.Site:
    """Return the site to listen with on ``daemon.admin_address``."""
    endpoints = _Endpoints(administered_daemon, daemon, metrics)
    return _Site(  # type: ignore[no-untyped-call]
        endpoints,
        timeout=IDLE_TIMEOUT_SECONDS,
        reactor=reactor,
        parsePOSTFormSubmission=False,
    )


def _json(content: object, status: HTTPStatus = HTTPStatus.OK) -> _Response:
    return _Response(status, msgspec.json.encode(content))


def _client_host(request: server.Request) -> str:
    return getattr(request.getClientAddress(), 'host', '')  # type: ignore[no-untyped-call]


def _body(request: server.Request) -> bytes:
    return b'' if request.content is None else request.content.read()


def _parse_question(request: server.Request) -> Question:
    """Return the request to explain.

    An error shows no name or value that was sent, as it may be an API key.
    """
    try:
        return Question(
            **{
                name.decode(): text.decode()
                for name, (text,) in request.args.items()
            }
        )
    except (TypeError, ValueError) as error:
        allowed = ', '.join(each.name for each in fields(Question))
        raise _RequestError(
            HTTPStatus.BAD_REQUEST,
            f'the parameters are {allowed}, each at most once; '
            'host and path are required',
        ) from error


def _parse_announcement(body: bytes) -> Announcement:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _RequestError(
            HTTPStatus.BAD_REQUEST, f'the body is not valid JSON: {error}'
        ) from error
    if not isinstance(content, dict):
        raise _RequestError(
            HTTPStatus.BAD_REQUEST, 'the body is not a JSON object'
        )
    try:
        announced = Announcement.model_validate(content)
    except ValidationError as error:
        names = [str(detail['loc'][0]) for detail in error.errors()]
        raise _bad_announcement(
            _problem(name, content.get(name)) for name in names
        ) from error
    try:
        Address.parse(announced.address)
    except ValueError as error:
        problem = _problem('address', announced.address)
        raise _bad_announcement([problem]) from error
    return announced


def _problem(name: str, found: object) -> dict[str, object]:
    model_field = Announcement.model_fields.get(name)
    if model_field is None:
        allowed = f'one of the fields {", ".join(Announcement.model_fields)}'
    else:
        allowed = str(model_field.description)
    shown = json.dumps(found, default=str)[:VALUE_SHOWN_CHARS]
    return {'field': name, 'value': shown, 'allowed': allowed}


def _bad_announcement(
    problems: Iterable[Mapping[str, object]],
) -> _RequestError:
    return _RequestError(
        HTTPStatus.BAD_REQUEST, 'the announcement is invalid', problems
    )
