"""Client of the platform's log over HTTP with JSON."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from io import BytesIO
from typing import Annotated, Any, Final, cast
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from .effects import AppendLog, ReadLog
from .events import Event, LogAppended, LogFailed, LogRead, LogRecord
from .ids import LogOffset
from .outcomes import Failure, Step
from .sockets import enable_keep_alive

logger = logging.getLogger(__name__)

#: Time for a response, beyond the wait that a read asks for.
RESPONSE_TIMEOUT: Final = timedelta(seconds=5)
CONNECT_TIMEOUT: Final = timedelta(seconds=2)
#: One long poll for each of the three streams, and one for appends.
MAX_IDLE_CONNECTIONS: Final = 4
MAX_RECORDS_PER_READ: Final = 32
#: Largest response body. A record of 7 MiB in base64 takes 9.3 MiB.
BODY_LIMIT_BYTES: Final = 12 * 1024 * 1024

_OK: Final = 200
_CREATED: Final = 201
_MILLISECOND: Final = timedelta(milliseconds=1)

# Twisted does not annotate these.
_agent: Final[Any] = Agent
_pool: Final[Any] = HTTPConnectionPool
_producer: Final[Any] = FileBodyProducer

_Offset = Annotated[int, msgspec.Meta(ge=0)]


class _TooLargeError(Exception):
    """The body of a response exceeds the limit."""


class StatusError(ValueError):
    """The log responded with an HTTP status other than 200 or 201."""

    def __init__(self, status: int) -> None:
        """Keep the status."""
        super().__init__(f'HTTP status {status}')
        self.status = status


class _Item(msgspec.Struct, frozen=True):
    offset: _Offset
    # msgspec decodes the base64 text to bytes.
    data: bytes


class _Page(msgspec.Struct, frozen=True):
    first: _Offset
    next: _Offset
    records: list[_Item]


class _Receipt(msgspec.Struct, frozen=True):
    offset: _Offset


_pages: Final = msgspec.json.Decoder(_Page)
_receipts: Final = msgspec.json.Decoder(_Receipt)


@dataclass(frozen=True, slots=True)
class Reply:
    """Body of a response, and how often the log was restored until then."""

    body: bytes
    restores: int | None = None


class LogClient:
    """Carries out reads and appends and submits their results as events."""

    def __init__(
        self,
        agent: Any,
        clock: IReactorTime,
        url: str,
        submit: Callable[[Event], None],
    ) -> None:
        """Keep the ``url`` of the log, for example ``http://127.0.0.1:5000``.

        ``agent`` provides ``IAgent``, whose annotations mypy cannot use.
        """
        self._agent = agent
        self._clock = clock
        self._url = url.rstrip('/')
        self._submit = submit
        self._streams_in_read: set[str] = set()
        self._record_limits: dict[str, int] = {}

    def read(self, effect: ReadLog) -> None:
        """Read a stream; ignored while a read of it is in progress."""
        if effect.stream in self._streams_in_read:
            return
        self._streams_in_read.add(effect.stream)
        Deferred.fromCoroutine(self._read(effect)).addErrback(_log_failure)

    def append(self, effect: AppendLog) -> None:
        """Append a record to a stream.

        After ``LogFailed`` the record may still be in the log.
        """
        Deferred.fromCoroutine(self._append(effect)).addErrback(_log_failure)

    async def _read(self, effect: ReadLog) -> None:
        event: Event
        try:
            event = await self._read_page(effect)
        except Exception as error:  # noqa: BLE001
            failure = self._failure('read failed', error)
            event = LogFailed(effect.stream, failure)
        # Removed first: the handler of the event may read again at once.
        self._streams_in_read.discard(effect.stream)
        self._submit(event)

    async def _append(self, effect: AppendLog) -> None:
        event: Event
        try:
            event = await self._append_record(effect)
        except ConnectError as error:
            failure = self._failure('append not sent', error)
            event = LogFailed(effect.stream, failure, effect.payload)
        except Exception as error:  # noqa: BLE001
            failure = self._failure(
                'append not acknowledged, it may have taken effect',
                error,
            )
            event = LogFailed(effect.stream, failure, effect.payload)
        self._submit(event)

    async def _read_page(self, effect: ReadLog) -> LogRead:
        limit = self._record_limits.get(effect.stream, MAX_RECORDS_PER_READ)
        wait_ms = int(effect.wait / _MILLISECOND)
        query = f'from={effect.start}&limit={limit}&wait_ms={wait_ms}'
        try:
            reply = await self._call(
                b'GET',
                f'{self._address(effect.stream)}?{query}',
                None,
                effect.wait + (effect.timeout or RESPONSE_TIMEOUT),
            )
        except _TooLargeError:
            # A single record always fits into the limit.
            self._record_limits[effect.stream] = 1
            raise
        self._record_limits.pop(effect.stream, None)
        return _check_page(effect, _pages.decode(reply.body))

    async def _append_record(self, effect: AppendLog) -> LogAppended:
        reply = await self._call(
            b'POST',
            self._address(effect.stream),
            effect.payload,
            effect.timeout or RESPONSE_TIMEOUT,
        )
        offset = LogOffset(_receipts.decode(reply.body).offset)
        return LogAppended(effect.stream, offset, effect.payload)

    async def _call(
        self,
        method: bytes,
        address: str,
        payload: bytes | None,
        limit: timedelta,
    ) -> Reply:
        call = Deferred.fromCoroutine(self._exchange(method, address, payload))
        # The time limit covers the body too. Cancelling closes the connection,
        # so that a late response cannot be taken for one to a later request.
        call.addTimeout(limit.total_seconds(), self._clock)
        return await call

    async def _exchange(
        self,
        method: bytes,
        address: str,
        payload: bytes | None,
    ) -> Reply:
        producer = None if payload is None else _producer(BytesIO(payload))
        headers = Headers({b'content-type': [b'application/octet-stream']})
        response = await self._agent.request(
            method,
            address.encode(),
            headers,
            producer,
        )
        body = await _read_body(response)
        if response.code not in {_OK, _CREATED}:
            raise StatusError(response.code)
        return Reply(body, self._restores_of(response))

    def _restores_of(self, response: Any) -> int | None:
        """Return how often the log was restored; None if it doesn't tell."""

    def _address(self, stream: str) -> str:
        name = quote(stream, safe='')
        return f'{self._url}/streams/{name}'

    def _failure(self, what: str, error: Exception) -> Failure:
        kind = type(error).__name__
        return Failure(Step.log, self._url, f'{what}: {kind}: {error}')


@implementer(IAgentEndpointFactory)
class _KeepAliveEndpoints:
    """Endpoints whose connections fail soon after the log is unreachable."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: Any) -> Any:
        return _KeepAliveEndpoint(
            self._reactor,
            uri.host.decode(),
            uri.port,
            timeout=CONNECT_TIMEOUT.total_seconds(),
        )


class _KeepAliveEndpoint(TCP4ClientEndpoint):
    def connect(self, protocolFactory: Any) -> Any:
        connected = super().connect(protocolFactory)
        return connected.addCallback(_enable_keep_alive)


def _enable_keep_alive(protocol: Any) -> Any:
    enable_keep_alive(protocol.transport)
    return protocol


def build_agent(reactor: Any) -> Any:
    """Return an agent that reuses its connections to the log."""
    pool = _pool(reactor, persistent=True)
    pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
    # The reducer decides about retries.
    pool.retryAutomatically = False
    return _agent.usingEndpointFactory(
        reactor, _KeepAliveEndpoints(reactor), pool
    )


def _check_page(effect: ReadLog, page: _Page) -> LogRead:
    offsets = [record.offset for record in page.records]
    begin = offsets[0] if offsets else page.next
    if offsets != list(range(begin, page.next)) or begin < page.first:
        raise ValueError(
            f'record offsets are not contiguous in {page.first}..{page.next}'
        )
    if offsets and begin < effect.start:
        raise ValueError(
            f'records start at {begin}, before the requested {effect.start}'
        )
    return LogRead(
        stream=effect.stream,
        first=LogOffset(page.first),
        following=LogOffset(page.next),
        records=tuple(
            LogRecord(LogOffset(record.offset), record.data)
            for record in page.records
        ),
    )


def _read_body(response: Any) -> Deferred[bytes]:
    collector = _BodyCollector()
    response.deliverBody(collector)
    return collector.done


class _BodyCollector(Protocol):
    """Collects a response body up to the limit."""

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred(self._cancel)
        self._body = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep the data; a body above the limit fails and is aborted."""
        if self.done.called:
            return
        self._body += data
        if len(self._body) > BODY_LIMIT_BYTES:
            self._abort()
            self._body.clear()
            self.done.errback(
                _TooLargeError(f'body above {BODY_LIMIT_BYTES} bytes'),
            )

    def connectionLost(  # noqa: N802
        self,
        reason: TwistedFailure = connectionDone,
    ) -> None:
        """Return the body if it is complete."""
        if self.done.called:
            return
        # Without a length the body may be truncated, which the JSON decoder
        # detects.
        if isinstance(reason.value, (ResponseDone, PotentialDataLoss)):
            self.done.callback(bytes(self._body))
        else:
            self.done.errback(reason)

    def _cancel(self, _done: Deferred[bytes]) -> None:
        self._abort()

    def _abort(self) -> None:
        # The transport of a response body has no ``abortConnection``.
        if self.transport is not None:
            cast('Any', self.transport).loseConnection()


def _log_failure(failure: TwistedFailure) -> None:
    logger.error(
        'unexpected error in the log client: %s', failure.getTraceback()
    )
