"""HTTP calls to the upstreams beside this daemon."""

import re
import socket
from collections.abc import Callable
from typing import Any, Final

from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import (
    ConnectError,
    ConnectionClosed,
)
from twisted.internet.error import (
    ConnectionRefusedError as UpstreamRefusedError,
)
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import (  # type: ignore[attr-defined]
    URI,
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    ResponseDone,
)
from twisted.web.http_headers import Headers as WebHeaders
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from .effects import CallUpstream, ProbeUpstream
from .events import CallFault, Event, Probed, UpstreamAnswered, UpstreamFailed
from .ids import CallId
from .messages import Headers
from .outcomes import Failure, Step

CONNECT_TIMEOUT_S: Final = 1
#: Upstreams accept about 400 connections; their slots need few of them.
POOLED_CONNECTIONS: Final = 16
#: Pooled connections are closed before common servers close them.
POOLED_FOR_S: Final = 50
#: Longest detail of a failure.
DETAIL_CHARS: Final = 200
#: Final statuses that can be passed on to callers.
STATUSES: Final = range(200, 600)

#: A request target is visible ASCII; anything else could split a request.
_TARGET: Final = re.compile(rb'[\x21-\x7e]+')

#: A probe without an answer for this long has failed.
PROBE_TIMEOUT_S: Final = 1.0

Submit = Callable[[Event], None]


class TooLargeError(Exception):
    """An answer is above its limit."""


class ForeignAnswerError(Exception):
    """An answer belongs to another request."""


class TruncatedError(Exception):
    """An answer ended before its length."""


@implementer(IBodyProducer)
class _BytesProducer:
    """Writes a body that is held in memory."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body has been written."""

    def resumeProducing(self) -> None:
        """Do nothing: the body has been written."""

    def stopProducing(self) -> None:
        """Do nothing: the body has been written."""


class _Body(Protocol):
    """Collects the body of an answer up to its limit."""

    transport: Any

    def __init__(self, limit_bytes: int) -> None:
        self.done: Deferred[bytes] = Deferred(self._cancelled)
        self._limit_bytes = limit_bytes
        self._pieces: list[bytes] = []
        self._size_bytes = 0

    def dataReceived(self, data: bytes) -> None:
        self._size_bytes += len(data)
        if self._size_bytes <= self._limit_bytes:
            self._pieces.append(data)
            return
        self.transport.loseConnection()
        if not self.done.called:
            self.done.errback(TooLargeError(f'above {self._limit_bytes} bytes'))

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        if self.done.called:
            return
        if reason.check(ResponseDone):
            self.done.callback(b''.join(self._pieces))
        else:
            # Without a length, a cut answer cannot be told from a whole one.
            self.done.errback(TruncatedError(reason.getErrorMessage()))

    def _cancelled(self, _done: 'Deferred[bytes]') -> None:
        if self.transport is not None:
            self.transport.loseConnection()


class _Pool(HTTPConnectionPool):
    """Pool that gives out no connection with pending input."""

    def getConnection(self, key: Any, endpoint: Any) -> Deferred[Any]:
        # A pooled connection is given at once, a new one after its handshake.
        given = super().getConnection(key, endpoint)
        if given.called:
            given.addCallback(self._checked, key, endpoint)
        return given

    def _checked(self, connection: Any, key: Any, endpoint: Any) -> Any:
        if _is_quiet(connection.transport):
            return connection
        connection.transport.abortConnection()
        return self.getConnection(key, endpoint)


class _UpstreamAgent(Agent):
    """Sends requests to one address, without parsing a URL for each."""

    def __init__(self, reactor: Any, address: str, pool: Any) -> None:
        super().__init__(reactor, pool=pool)  # type: ignore[no-untyped-call]
        self._uri = URI.fromBytes(b'http://%b/' % address.encode())
        self._key = (self._uri.scheme, self._uri.host, self._uri.port)
        self._endpoint: Any = TCP4ClientEndpoint(
            reactor,
            self._uri.host.decode(),
            self._uri.port,
            timeout=CONNECT_TIMEOUT_S,
        )

    def send(
        self, method: bytes, target: bytes, headers: WebHeaders, producer: Any
    ) -> Deferred[Any]:
        """Send a request; raises ``ValueError`` for a malformed one."""
        if _TARGET.fullmatch(target) is None:
            raise ValueError(f'invalid target {target!r}')
        return self._requestWithEndpoint(
            self._key,
            self._endpoint,
            method,
            self._uri,
            headers,
            producer,
            target,
        )


class UpstreamCalls:
    """Carries out calls to upstreams and reports their ends as events.

    Edges towards upstreams of another dialect override ``headers_of`` and
    ``ended``.
    """

    #: Pooled connections are closed after this long without a call.
    pooled_for_s: int = POOLED_FOR_S

    def __init__(self, reactor: Any, submit: Submit) -> None:
        """Calls report through ``submit``."""
        self._reactor = reactor
        self._submit = submit
        self._agents: dict[str, tuple[_UpstreamAgent, _Pool]] = {}
        self._running: dict[CallId, Deferred[Any]] = {}

    def call(self, effect: CallUpstream) -> None:
        """Start a call."""
        agent = self._agent(effect.address, fresh=effect.fresh)
        # Without this header the library would copy all of them to add it.
        host = effect.host or effect.address.encode()
        web_headers = WebHeaders({b'Host': [host]})
        for name, content in self.headers_of(effect):
            web_headers.addRawHeader(name, content)
        producer: Any = _BytesProducer(effect.body) if effect.body else None
        try:
            running: Deferred[Any] = agent.send(
                effect.method, effect.target, web_headers, producer
            )
        except ValueError as error:
            # Method and target are checked before anything is connected.
            self._fail(effect, CallFault.aborted, str(error), sent=False)
            return
        self._running[effect.call] = running
        running.addCallback(self._read, effect)
        running.addErrback(self._failed, effect)

    def probe(self, effect: ProbeUpstream) -> None:
        """Ask an upstream for its health on a new connection."""
        agent = self._agent(effect.address, fresh=True)
        headers = WebHeaders({b'Host': [effect.address.encode()]})
        # Health reports lag and mislead, so only silence and refusal count.
        asked = agent.send(b'GET', effect.path.encode(), headers, None)
        asked.addTimeout(PROBE_TIMEOUT_S, self._reactor)
        asked.addCallbacks(
            self._probe_answered,
            self._probe_failed,
            (effect,),
            errbackArgs=(effect,),
        )

    def abort(self, call: CallId) -> None:
        """Cancel a call by closing its connection."""
        running = self._running.pop(call, None)
        if running is not None:
            running.cancel()

    def drop(self, address: str) -> None:
        """Close the pooled connections to an upstream."""
        known = self._agents.pop(address, None)
        if known is not None:
            known[1].closeCachedConnections()  # type: ignore[no-untyped-call]

    def headers_of(self, effect: CallUpstream) -> Headers:
        """Return the headers of a call."""
        return effect.headers

    def ended(
        self, effect: CallUpstream, status: int, headers: Headers, body: bytes
    ) -> Event:
        """Return the event for a whole answer."""
        return UpstreamAnswered(effect.call, status, headers, body)

    def _agent(self, address: str, *, fresh: bool) -> _UpstreamAgent:
        if fresh:
            # The agent makes a pool that keeps no connections.
            return _UpstreamAgent(self._reactor, address, None)
        known = self._agents.get(address)
        if known is not None:
            return known[0]
        pool = _Pool(self._reactor)  # type: ignore[no-untyped-call]
        # The library would send an idempotent request again on its own;
        # retries belong to the entrance and its budget.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = POOLED_CONNECTIONS
        pool.cachedConnectionTimeout = self.pooled_for_s
        agent = _UpstreamAgent(self._reactor, address, pool)
        self._agents[address] = (agent, pool)
        return agent

    def _probe_answered(self, response: Any, effect: ProbeUpstream) -> None:
        self._submit(Probed(effect.upstream, alive=True, refused=False))
        # Without a reader of the body the connection would stay open.
        body = _Body(0)
        body.done.addErrback(lambda _: None)
        response.deliverBody(body)

    def _probe_failed(
        self, reason: TwistedFailure, effect: ProbeUpstream
    ) -> None:
        refused = bool(reason.check(UpstreamRefusedError))
        self._submit(Probed(effect.upstream, alive=False, refused=refused))

    def is_foreign(self, effect: CallUpstream, headers: Headers) -> bool:
        """Return whether an answer belongs to another request."""
        return False

    def _read(self, response: Any, effect: CallUpstream) -> Any:
        if self.is_foreign(effect, _pairs(response)):
            # The own answer follows on this connection, so that it must not
            # be used for another request.
            stray = _Body(0)
            stray.done.addErrback(lambda _: None)
            response.deliverBody(stray)
            if stray.transport is not None:
                stray.transport.loseConnection()
            raise ForeignAnswerError('the answer is for another request')
        body = _Body(effect.limit_bytes)
        response.deliverBody(body)
        return body.done.addCallback(self._answered, response, effect)

    def _answered(
        self, body: bytes, response: Any, effect: CallUpstream
    ) -> None:
        if self._running.pop(effect.call, None) is None:
            return
        if response.code not in STATUSES:
            detail = f'status {response.code} is not from 200 to 599'
            self._fail(effect, CallFault.malformed, detail, sent=True)
            return
        headers = _pairs(response)
        self._submit(self.ended(effect, response.code, headers, body))

    def _failed(self, reason: TwistedFailure, effect: CallUpstream) -> None:
        if self._running.pop(effect.call, None) is None:
            return
        sent = not reason.check(ConnectError, RequestNotSent)
        self._fail(effect, _fault(reason), _detail(reason), sent=sent)

    def _fail(
        self, effect: CallUpstream, fault: CallFault, detail: str, *, sent: bool
    ) -> None:
        failure = Failure(Step.call, effect.address, detail[:DETAIL_CHARS])
        self._submit(UpstreamFailed(effect.call, fault, sent, failure))


def _pairs(response: Any) -> Headers:
    raw = response.headers.getAllRawHeaders()
    return tuple(
        (name, content) for name, contents in raw for content in contents
    )


def _is_quiet(transport: Any) -> bool:
    """Return whether an idle connection has neither an end nor data.

    Twisted may not have read them yet. A request on a closed connection
    would count as sent, and stray data would be taken for its answer.
    """
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _causes(reason: TwistedFailure) -> list[TwistedFailure]:
    """Return the failures that the library wraps in one, if it does."""
    return list(getattr(reason.value, 'reasons', ())) or [reason]


def _detail(reason: TwistedFailure) -> str:
    return '; '.join(cause.getErrorMessage() for cause in _causes(reason))


def _fault(reason: TwistedFailure) -> CallFault:
    if reason.check(UpstreamRefusedError):
        return CallFault.refused
    if reason.check(ConnectError):
        return CallFault.unreachable
    if reason.check(TooLargeError):
        return CallFault.too_large
    if reason.check(TruncatedError):
        return CallFault.truncated
    if reason.check(CancelledError):
        return CallFault.aborted
    if not all(cause.check(ConnectionClosed) for cause in _causes(reason)):
        return CallFault.malformed
    return CallFault.reset
