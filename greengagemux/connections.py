"""HTTP calls to the upstreams beside this daemon."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import h11
from twisted.internet.defer import CancelledError
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import (
    ConnectionDone,
)
from twisted.internet.error import (
    ConnectionRefusedError as UpstreamRefusedError,
)
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from .addresses import Address
from .effects import CallUpstream, ProbeUpstream
from .events import CallFault, Event, Probed, UpstreamAnswered, UpstreamFailed
from .ids import CallId
from .messages import Headers
from .outcomes import Failure, Step
from .sockets import watch

CONNECT_TIMEOUT_S: Final = 1
#: Upstreams accept about 400 connections; their slots need few of them.
POOLED_CONNECTIONS: Final = 16
#: Pooled connections are closed before common servers close them.
POOLED_FOR_S: Final = 50
#: A server that names the time for which it keeps an idle connection is
#: believed up to this margin, which covers the way of a request.
KEPT_MARGIN_S: Final = 1
#: Longest head of an answer.
HEAD_LIMIT_BYTES: Final = 64 * 1024
#: Longest detail of a failure.
DETAIL_CHARS: Final = 200
#: Final statuses that can be passed on to callers.
STATUSES: Final = range(200, 600)
#: A probe without an answer for this long has failed.
PROBE_TIMEOUT_S: Final = 1.0

Submit = Callable[[Event], None]


@dataclass(slots=True)
class _Exchange:
    """One request on a connection and what is known of its answer."""

    request: h11.Request
    body: bytes
    limit_bytes: int
    #: Each is called at most once, and nothing after it.
    answered: Callable[[int, Headers, bytes], None]
    failed: Callable[[CallFault, str], None]
    is_foreign: Callable[[Headers], bool] = lambda headers: False
    #: Answers end with their connection if they have no length.
    unframed: bool = False
    status: int = 0
    headers: Headers = ()
    pieces: list[bytes] = field(default_factory=list)
    size_bytes: int = 0


class UpstreamConnection(Protocol):
    """One connection to an upstream; it runs one exchange at a time."""

    transport: Any

    def __init__(self, idle: Callable[['UpstreamConnection'], None]) -> None:
        """Report through ``idle`` when another exchange may start."""
        self._idle = idle
        self._parser = _new_parser()
        self._exchange: _Exchange | None = None
        self._timer: Any = None
        #: How long the upstream keeps the connection, as it says.
        self.kept_s = float(POOLED_FOR_S)
        self.lost = False

    def connectionMade(self) -> None:
        """Set the options of the socket."""
        self.transport.setTcpNoDelay(True)
        watch(self.transport)

    @property
    def quiet(self) -> bool:
        """Whether the connection is open and nothing waits to be read.

        Twisted may not have read it yet. A request on a closed connection
        would count as sent, and stray data would be taken for its answer.
        """
        return not self.lost and _is_quiet(self.transport)

    def start(self, exchange: _Exchange) -> None:
        """Send a request; raises ``h11.LocalProtocolError`` unsent."""
        wire = self._parser.send(exchange.request) or b''
        if exchange.body:
            wire += self._parser.send(h11.Data(exchange.body)) or b''
        wire += self._parser.send(h11.EndOfMessage()) or b''
        self._exchange = exchange
        self.transport.write(wire)

    def close(self) -> None:
        """End the connection at once, and its exchange without a report."""
        self._exchange = None
        self.lost = True
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Read an answer."""
        if self._exchange is None:
            # Nothing was asked: a second answer, or bytes of no meaning.
            self.close()
            return
        self._feed(data)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """End the exchange, whose answer may end with the connection."""
        self.lost = True
        exchange = self._exchange
        if exchange is None:
            return
        if exchange.unframed and reason.check(ConnectionDone):
            self._feed(b'')
        if self._exchange is None:
            return
        fault = CallFault.truncated if exchange.status else CallFault.reset
        self._fail(fault, reason.getErrorMessage())

    def _feed(self, data: bytes) -> None:
        try:
            self._read(data)
        except h11.RemoteProtocolError as error:
            known = self._exchange is not None and self._exchange.status
            fault = CallFault.truncated if known else CallFault.malformed
            self._fail(fault, str(error))

    def _read(self, data: bytes) -> None:
        self._parser.receive_data(data)
        more = True
        while more:
            more = self._take()

    def _take(self) -> bool:
        """Take one event; return whether another one may follow."""
        exchange = self._exchange
        event = self._parser.next_event()
        if exchange is None or event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            exchange.status = event.status_code
            exchange.headers = tuple(event.headers.raw_items())
        elif isinstance(event, h11.Data):
            self._collect(exchange, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete(exchange)
        return not isinstance(event, h11.ConnectionClosed)

    def _collect(self, exchange: _Exchange, piece: bytes) -> None:
        exchange.size_bytes += len(piece)
        exchange.pieces.append(piece)
        if exchange.size_bytes > exchange.limit_bytes:
            detail = f'above {exchange.limit_bytes} bytes'
            self._fail(CallFault.too_large, detail)

    def _complete(self, exchange: _Exchange) -> None:
        if exchange.is_foreign(exchange.headers):
            self._skip(exchange)
            return
        self._exchange = None
        self._note_kept(exchange.headers)
        ready = self._parser.their_state is h11.DONE
        if ready and not self._parser.trailing_data[0]:
            self._parser.start_next_cycle()
            self._idle(self)
        elif not self.lost:
            self.close()
        body = b''.join(exchange.pieces)
        exchange.answered(exchange.status, exchange.headers, body)

    def _skip(self, exchange: _Exchange) -> None:
        """Go on to the next answer: this one is for another request."""
        rest = self._parser.trailing_data[0]
        self._parser = _new_parser()
        self._parser.send(exchange.request)
        if exchange.body:
            self._parser.send(h11.Data(exchange.body))
        self._parser.send(h11.EndOfMessage())
        exchange.status = 0
        exchange.pieces.clear()
        exchange.size_bytes = 0
        if rest:
            self._parser.receive_data(rest)

    def _note_kept(self, headers: Headers) -> None:
        for name, content in headers:
            if name.lower() == b'keep-alive':
                self.kept_s = _kept_s(content)

    def _fail(self, fault: CallFault, detail: str) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        self.close()
        exchange.failed(fault, detail)


class _ConnectionFactory(Factory):
    """Builds one connection."""

    noisy = False

    def __init__(self, idle: Callable[[UpstreamConnection], None]) -> None:
        self._idle = idle

    def buildProtocol(self, addr: IAddress | None) -> UpstreamConnection:
        return UpstreamConnection(self._idle)


class _Pool:
    """Connections to one address that wait for a request."""

    def __init__(self, reactor: Any, kept_for_s: float) -> None:
        self._reactor = reactor
        self._kept_for_s = kept_for_s
        self._idle: dict[UpstreamConnection, Any] = {}

    def put(self, connection: UpstreamConnection) -> None:
        """Keep a connection for a while."""
        if len(self._idle) >= POOLED_CONNECTIONS:
            connection.close()
            return
        kept_s = min(self._kept_for_s, connection.kept_s)
        self._idle[connection] = self._reactor.callLater(
            kept_s, self._expire, connection
        )

    def take(self) -> UpstreamConnection | None:
        """Return the connection used last, if one is usable."""
        while self._idle:
            connection, timer = self._idle.popitem()
            timer.cancel()
            if connection.quiet:
                return connection
            connection.close()
        return None

    def close(self) -> None:
        """Close all connections."""
        for connection, timer in self._idle.items():
            timer.cancel()
            connection.close()
        self._idle.clear()

    def _expire(self, connection: UpstreamConnection) -> None:
        self._idle.pop(connection, None)
        connection.close()


class UpstreamCalls:
    """Carries out calls to upstreams and reports their ends as events.

    Edges towards upstreams of another dialect override ``headers_of``,
    ``is_foreign`` and ``ended``.
    """

    #: Pooled connections are closed after this long without a call.
    pooled_for_s: float = POOLED_FOR_S
    #: Whether an answer without a length may end with its connection. It
    #: cannot be told from one that was cut there.
    accepts_unframed = False

    def __init__(self, reactor: Any, submit: Submit) -> None:
        """Calls report through ``submit``."""
        self._reactor = reactor
        self._submit = submit
        self._pools: dict[str, _Pool] = {}
        #: What ends a call: a pending connection or an open one.
        self._running: dict[CallId, Callable[[], None]] = {}

    def headers_of(self, effect: CallUpstream) -> Headers:
        """Return the headers of a call."""
        return effect.headers

    def is_foreign(self, effect: CallUpstream, headers: Headers) -> bool:
        """Return whether an answer belongs to another request."""
        return False

    def ended(
        self, effect: CallUpstream, status: int, headers: Headers, body: bytes
    ) -> Event:
        """Return the event for a whole answer."""
        return UpstreamAnswered(effect.call, status, headers, body)

    def call(self, effect: CallUpstream) -> None:
        """Start a call."""
        try:
            exchange = self._exchange(effect)
        except h11.LocalProtocolError as error:
            # Method and target are checked before anything is connected.
            self._fail(effect, CallFault.aborted, str(error), sent=False)
            return
        kept = None if effect.fresh else self._pool(effect.address).take()
        if kept is not None:
            self._start(effect, exchange, kept)
            return
        idle: Callable[[UpstreamConnection], None] = UpstreamConnection.close
        if not effect.fresh:
            idle = self._pool(effect.address).put
        pending = self._connect(effect.address, idle)
        self._running[effect.call] = pending.cancel
        pending.addCallbacks(
            lambda made: self._start(effect, exchange, made),
            lambda reason: self._not_connected(effect, reason),
        )

    def probe(self, effect: ProbeUpstream) -> None:
        """Ask an upstream for its health on a new connection.

        Health reports lag and mislead, so any answer counts as alive.
        """
        _Probe(self._reactor, self._submit, effect).start(
            self._connect(effect.address, UpstreamConnection.close)
        )

    def abort(self, call: CallId) -> None:
        """Cancel a call by closing its connection."""
        end = self._running.pop(call, None)
        if end is not None:
            end()

    def drop(self, address: str) -> None:
        """Close the pooled connections to an upstream."""
        known = self._pools.pop(address, None)
        if known is not None:
            known.close()

    def _pool(self, address: str) -> _Pool:
        known = self._pools.get(address)
        if known is None:
            known = _Pool(self._reactor, self.pooled_for_s)
            self._pools[address] = known
        return known

    def _connect(
        self, address: str, idle: Callable[[UpstreamConnection], None]
    ) -> Any:
        target = Address.parse(address)
        endpoint: Any = TCP4ClientEndpoint(
            self._reactor, target.host, target.port, timeout=CONNECT_TIMEOUT_S
        )
        return endpoint.connect(_ConnectionFactory(idle))

    def _exchange(self, effect: CallUpstream) -> _Exchange:
        made = [(b'Host', effect.host or effect.address.encode())]
        made += self.headers_of(effect)
        if effect.body:
            made.append((b'Content-Length', b'%d' % len(effect.body)))
        return _Exchange(
            h11.Request(
                method=effect.method, target=effect.target, headers=made
            ),
            effect.body,
            effect.limit_bytes,
            lambda *answer: self._answered(effect, *answer),
            lambda *fault: self._broken(effect, *fault),
            lambda headers: self.is_foreign(effect, headers),
            unframed=self.accepts_unframed,
        )

    def _start(
        self,
        effect: CallUpstream,
        exchange: _Exchange,
        connection: UpstreamConnection,
    ) -> None:
        self._running[effect.call] = connection.close
        connection.start(exchange)

    def _answered(
        self, effect: CallUpstream, status: int, headers: Headers, body: bytes
    ) -> None:
        self._running.pop(effect.call, None)
        if status not in STATUSES:
            detail = f'status {status} is not from 200 to 599'
            self._fail(effect, CallFault.malformed, detail, sent=True)
            return
        self._submit(self.ended(effect, status, headers, body))

    def _broken(
        self, effect: CallUpstream, fault: CallFault, detail: str
    ) -> None:
        self._running.pop(effect.call, None)
        self._fail(effect, fault, detail, sent=True)

    def _not_connected(
        self, effect: CallUpstream, reason: TwistedFailure
    ) -> None:
        if self._running.pop(effect.call, None) is None:
            return
        fault = CallFault.unreachable
        if reason.check(UpstreamRefusedError):
            fault = CallFault.refused
        self._fail(effect, fault, reason.getErrorMessage(), sent=False)

    def _fail(
        self, effect: CallUpstream, fault: CallFault, detail: str, *, sent: bool
    ) -> None:
        failure = Failure(Step.call, effect.address, detail[:DETAIL_CHARS])
        self._submit(UpstreamFailed(effect.call, fault, sent, failure))


class _Probe:
    """One probe on a connection of its own."""

    def __init__(
        self, reactor: Any, submit: Submit, effect: ProbeUpstream
    ) -> None:
        self._submit = submit
        self._effect = effect
        self._done = False
        self._end: Callable[[], None] = self._forget
        self._timer = reactor.callLater(PROBE_TIMEOUT_S, self._late)

    def start(self, pending: Any) -> None:
        """Send the request once connected."""
        self._end = pending.cancel
        pending.addCallbacks(self._connected, self._refused)

    def _connected(self, connection: UpstreamConnection) -> None:
        self._end = connection.close
        host = self._effect.address.encode()
        request = h11.Request(
            method=b'GET',
            target=self._effect.path.encode(),
            headers=[(b'Host', host)],
        )
        # The first byte of a body is above this limit and ends the exchange.
        connection.start(
            _Exchange(
                request,
                b'',
                0,
                lambda *answer: self._report(alive=True),
                self._broken,
            )
        )

    def _broken(self, fault: CallFault, detail: str) -> None:
        self._report(alive=fault is CallFault.too_large)

    def _refused(self, reason: TwistedFailure) -> None:
        if reason.check(CancelledError):
            return
        refused = bool(reason.check(UpstreamRefusedError))
        self._report(alive=False, refused=refused)

    def _late(self) -> None:
        end = self._end
        self._report(alive=False)
        end()

    def _report(self, *, alive: bool, refused: bool = False) -> None:
        if self._done:
            return
        self._done = True
        if self._timer.active():
            self._timer.cancel()
        self._submit(Probed(self._effect.upstream, alive, refused))

    def _forget(self) -> None:
        """Do nothing: no connection was begun."""


def _new_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
    )


def _kept_s(content: bytes) -> float:
    """Return for how long a connection may be kept, by ``Keep-Alive``."""
    for part in content.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return max(0, int(number) - KEPT_MARGIN_S)
    return POOLED_FOR_S


def _is_quiet(transport: Any) -> bool:
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
