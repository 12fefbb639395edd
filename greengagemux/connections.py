"""HTTP/1.1 client for the upstreams beside this daemon, on h11."""

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
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
from twisted.internet.interfaces import IAddress, IPullProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from zope.interface import implementer

from .addresses import Address
from .effects import CallUpstream, CheckListening, ProbeUpstream
from .events import (
    CallFault,
    Event,
    ListeningChecked,
    Probed,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamStated,
)
from .ids import CallId, UpstreamId
from .memory.limits import RESPONSES_LIMIT_BYTES
from .messages import Headers
from .outcomes import Failure, Step
from .sockets import enable_keep_alive

CONNECT_TIMEOUT_S: Final = 1
#: Idle connections kept for each upstream. Upstreams accept about 400, and
#: their slots need few of them.
MAX_POOLED_CONNECTIONS: Final = 16
#: Below the time after which common servers close idle connections.
POOL_IDLE_LIMIT_S: Final = 50
#: An idle connection is closed this long before the time-out of its
#: ``Keep-Alive`` header, so that no request is on its way when the server
#: closes it.
KEEP_ALIVE_MARGIN_S: Final = 1
#: Time for which no connection is kept after an upstream has sent bytes that
#: belong to no response.
UNASKED_INPUT_PAUSE_S: Final = 5.0
#: Longer numbers than this in ``Keep-Alive`` set no limit.
KEEP_ALIVE_DIGITS: Final = 9
#: Largest status line and headers of a response, and of all informational
#: responses before it, which could otherwise come without end.
HEAD_LIMIT_BYTES: Final = 64 * 1024
#: Most bytes of unfinished responses that all connections hold together.
HELD_LIMIT_BYTES: Final = RESPONSES_LIMIT_BYTES
#: Responses to other requests before that to the current one. Each request gets
#: one response, so only a few late ones can come before it.
MAX_SKIPPED_RESPONSES: Final = 16
#: Input that takes longer to parse yields to the other sockets, as a block of
#: very small chunks takes 100 ms, a quarter of a short deadline. All connections
#: whose input has yielded share this time in each turn of the reactor.
PARSE_TURN_S: Final = 0.005
#: Part of a request body that is passed to a transport at once.
WRITTEN_BYTES: Final = 128 * 1024
#: Start of every response, without its minor version.
STATUS_LINE_START: Final = b'HTTP/1.'
#: Longest text of a failure; longer ones are cut.
MAX_DETAIL_CHARS: Final = 200
#: Statuses that can be passed on to callers; others count as malformed.
FINAL_STATUSES: Final = range(200, 600)
#: A probe without a response for this long has failed.
PROBE_TIMEOUT_S: Final = 1.0

#: Time for which a connection must stay open to show that a process listens.
LISTENING_STAY_S: Final = 0.01
#: Connections of one check; more than one if the upstream closes them.
LISTENING_TRIES: Final = 3
#: Ids of refused requests that a connection remembers; it is closed with more.
MAX_REFUSED_IDS: Final = 16

Submit = Callable[[Event], None]


class ResponseOwner(Enum):
    """Which request a response answers, by what it says of itself."""

    current = 'current'
    other = 'other'
    #: It names none. It answers the first request of a connection; on a kept
    #: connection it may repeat the response to an earlier request.
    unnamed = 'unnamed'


def _ignore_head(status: int, headers: Headers) -> None:
    """Do nothing with the head of a response."""


def _ignore_input() -> None:
    """Do nothing with bytes that belong to no response."""


def _is_current(status: int, headers: Headers) -> ResponseOwner:
    """Take every response as that to the current request."""
    return ResponseOwner.current


@dataclass(slots=True)
class _UpstreamExchange:
    """One request on a connection and what was received of its response."""

    request: h11.Request
    body: bytes
    limit_bytes: int
    #: One of these two is called, once, and no callback after it.
    on_response: Callable[['UpstreamConnection', int, Headers, bytes], None]
    on_failure: Callable[[CallFault, str], None]
    owner_of: Callable[[int, Headers], ResponseOwner] = _is_current
    #: Called with each final status and its headers, before the body arrives.
    on_head: Callable[[int, Headers], None] = _ignore_head
    #: Whether a response without a length may end with the connection.
    close_delimited: bool = False
    status: int = 0
    headers: Headers = ()
    informational_bytes: int = 0
    skipped_count: int = 0
    chunks: list[bytes] = field(default_factory=list)
    size_bytes: int = 0


class ParseTurns:
    """Divides the time to parse input among the connections that have yielded.

    They would otherwise take a turn each before any other socket is read.
    """

    def __init__(self, reactor: Any) -> None:
        """Start without waiting connections."""
        self._reactor = reactor
        self._waiting: deque[Callable[[], None]] = deque()
        self._scheduled = False

    def until_s(self) -> float:
        """Return when a connection that parses from now on must yield."""
        part_s = PARSE_TURN_S / (1 + len(self._waiting))
        return float(self._reactor.seconds()) + part_s

    def is_over(self, until_s: float) -> bool:
        """Return whether the time of a connection has passed."""
        return bool(self._reactor.seconds() > until_s)

    def yield_turn(self, resume: Callable[[], None]) -> None:
        """Call ``resume`` in a later turn of the reactor."""
        self._waiting.append(resume)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        self._scheduled = False
        if not self._waiting:
            return
        # Scheduled first, so that an exception stops no other connection.
        self._schedule()
        until_s = self._reactor.seconds() + PARSE_TURN_S
        for resume in tuple(self._waiting):
            if self.is_over(until_s):
                break
            self._waiting.popleft()
            resume()


class HeldResponses:
    """Sizes of the unfinished responses of all connections.

    Each stays below the limit of its call, but an upstream with many slots
    may leave any number of them unfinished.
    """

    def __init__(self, limit_bytes: int = HELD_LIMIT_BYTES) -> None:
        """Start without responses."""
        self.size_bytes = 0
        self._limit_bytes = limit_bytes
        self._holders: dict[UpstreamConnection, int] = {}

    def add(self, connection: 'UpstreamConnection', size_bytes: int) -> None:
        """Count received bytes; above the limit, end the largest response."""
        known = self._holders.get(connection, 0)
        self._holders[connection] = known + size_bytes
        self.size_bytes += size_bytes
        while self.size_bytes > min(HELD_LIMIT_BYTES, self._limit_bytes):
            largest = max(self._holders, key=self._holders.__getitem__)
            largest.give_up()

    def release(self, connection: 'UpstreamConnection') -> None:
        """Forget the response of a connection."""
        self.size_bytes -= self._holders.pop(connection, 0)


@implementer(IPullProducer)
class _BodyWriter:
    """Writes a large body in parts, as the transport copies what it holds."""

    def __init__(self, transport: Any, body: bytes) -> None:
        self._transport = transport
        self._rest = memoryview(body)

    @property
    def unfinished(self) -> bool:
        """Whether a part of the body has not been written."""
        return bool(self._rest)

    def resumeProducing(self) -> None:
        """Write the next part."""
        part = self._rest[:WRITTEN_BYTES]
        self._rest = self._rest[WRITTEN_BYTES:]
        self._transport.write(bytes(part))
        if not self._rest:
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Write nothing more, as the connection has closed."""
        self._rest = memoryview(b'')


@dataclass(frozen=True, slots=True)
class SharedLimits:
    """What the connections to all upstreams share."""

    turns: ParseTurns
    held: HeldResponses


class UpstreamConnection(Protocol):
    """One connection to an upstream; it runs one exchange at a time."""

    transport: Any

    def __init__(
        self,
        shared: SharedLimits,
        on_idle: Callable[['UpstreamConnection'], None],
    ) -> None:
        """Call ``on_idle`` whenever another exchange may start."""
        self._turns = shared.turns
        self._held = shared.held
        self._on_idle = on_idle
        self._parser = _new_parser()
        self._exchange: _UpstreamExchange | None = None
        #: How long the connection may stay idle, by ``Keep-Alive``.
        self.keep_alive_s = float(POOL_IDLE_LIMIT_S)
        self.closed = False
        #: Whether a request was sent before the current one.
        self._used_before = False
        self._writing: _BodyWriter | None = None
        #: Called if bytes arrive that belong to no response.
        self.on_unasked_input: Callable[[], None] = _ignore_input
        #: Ids of requests that were refused on this connection. A repeated
        #: refusal would be taken for that of a request with the same id.
        self.refused_ids: set[str] = set()

    def connectionMade(self) -> None:
        """Set the socket options."""
        self.transport.setTcpNoDelay(True)
        enable_keep_alive(self.transport)

    @property
    def usable(self) -> bool:
        """Whether the connection is open and has no unread input.

        The reactor may not have read the socket yet. A request on a closed
        connection would count as sent, and unread input would be taken for
        its response.
        """
        return self.unread_input() is None

    def unread_input(self) -> bytes | None:
        """Return the start of the unread input, None without any.

        It is empty if the connection has been closed.
        """
        return b'' if self.closed else _peek(self.transport)

    def start(self, exchange: _UpstreamExchange) -> None:
        """Send a request.

        Raises ``h11.LocalProtocolError``, before anything is sent, if it is
        not valid HTTP.
        """
        head = self._parser.send(exchange.request) or b''
        if exchange.body:
            # The body is sent unchanged, as its length is in the head.
            self._parser.send(h11.Data(exchange.body))
        self._parser.send(h11.EndOfMessage())
        self._exchange = exchange
        if len(exchange.body) <= WRITTEN_BYTES:
            self.transport.write(head + exchange.body)
            return
        self.transport.write(head)
        self._writing = _BodyWriter(self.transport, exchange.body)
        self.transport.registerProducer(self._writing, False)

    def close(self) -> None:
        """Abort the connection; its exchange ends without a callback."""
        self._held.release(self)
        self._exchange = None
        self.closed = True
        self.transport.abortConnection()

    def give_up(self) -> None:
        """Fail the exchange: all responses together take too much memory."""
        self._held.release(self)
        detail = 'unfinished responses of all calls take too much memory'
        self._fail(CallFault.too_large, detail)

    def dataReceived(self, data: bytes) -> None:
        """Parse input as a part of the response."""
        if self._exchange is None:
            # No request is running, so this is no response to one.
            self.close()
            self.on_unasked_input()
            return
        self._receive(data)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """End the exchange; its response may end with the connection."""
        self.closed = True
        exchange = self._exchange
        if exchange is None:
            return
        may_end_here = exchange.close_delimited and exchange.status
        if may_end_here and reason.check(ConnectionDone):
            self._receive(b'')
        if self._exchange is None:
            return
        fault = CallFault.truncated if exchange.status else CallFault.reset
        self._fail(fault, reason.getErrorMessage())

    def _receive(self, data: bytes) -> None:
        self._parser.receive_data(data)
        self._parse()

    def _parse(self) -> None:
        """Parse the received input, or a part of it and the rest later."""
        try:
            self._handle_events()
        except h11.RemoteProtocolError as error:
            has_status = self._exchange is not None and self._exchange.status
            fault = CallFault.truncated if has_status else CallFault.malformed
            self._fail(fault, str(error))

    def _handle_events(self) -> None:
        until_s = self._turns.until_s()
        while self._handle_next_event():
            if self._exchange is None or self.closed:
                continue
            if self._turns.is_over(until_s):
                self.transport.pauseProducing()
                self._turns.yield_turn(self._resume)
                return

    def _resume(self) -> None:
        if self.closed:
            return
        self.transport.resumeProducing()
        try:
            self._parse()
        except Exception:
            # As the reactor does after an exception in ``dataReceived``.
            self.transport.abortConnection()
            raise

    def _handle_next_event(self) -> bool:
        """Handle one parser event; return whether another may follow."""
        exchange = self._exchange
        event = self._parser.next_event()
        if exchange is None:
            return False
        if event is h11.NEED_DATA:
            self._check_start(exchange)
            return False
        if event is h11.PAUSED:
            self._fail(CallFault.malformed, 'the upstream switched protocols')
            return False
        if isinstance(event, h11.InformationalResponse):
            self._count_informational(exchange, event)
        elif isinstance(event, h11.Response):
            exchange.status = event.status_code
            exchange.headers = tuple(event.headers.raw_items())
            exchange.on_head(exchange.status, exchange.headers)
        elif isinstance(event, h11.Data):
            self._collect(exchange, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete(exchange)
        return not isinstance(event, h11.ConnectionClosed)

    def _check_start(self, exchange: _UpstreamExchange) -> None:
        """Fail early, as the parser waits for the end of the head."""
        if exchange.status:
            return
        start = self._parser.trailing_data[0][: len(STATUS_LINE_START)]
        if not STATUS_LINE_START.startswith(start):
            self.on_unasked_input()
            self._fail(CallFault.malformed, f'no status line: {start!r}')

    def _count_informational(
        self, exchange: _UpstreamExchange, event: h11.InformationalResponse
    ) -> None:
        exchange.informational_bytes += _head_bytes(event)
        if exchange.informational_bytes > HEAD_LIMIT_BYTES:
            detail = f'informational responses above {HEAD_LIMIT_BYTES} bytes'
            self._fail(CallFault.malformed, detail)

    def _collect(self, exchange: _UpstreamExchange, chunk: bytes) -> None:
        exchange.size_bytes += len(chunk)
        exchange.chunks.append(chunk)
        if exchange.size_bytes > exchange.limit_bytes:
            detail = f'response body above {exchange.limit_bytes} bytes'
            self._fail(CallFault.too_large, detail)
            return
        self._held.add(self, len(chunk))

    def _complete(self, exchange: _UpstreamExchange) -> None:
        owner = exchange.owner_of(exchange.status, exchange.headers)
        if owner is ResponseOwner.other:
            self._skip_response(exchange)
            return
        if owner is ResponseOwner.unnamed and self._used_before:
            detail = 'a refusal without a request id on a kept connection'
            self._fail(CallFault.malformed, detail)
            return
        self._held.release(self)
        self._exchange = None
        self._used_before = True
        self._read_keep_alive(exchange.headers)
        ready = self._parser.their_state is h11.DONE
        if self._writing is not None and self._writing.unfinished:
            # The rest of the body would precede the next request.
            ready = False
        if ready and not self._parser.trailing_data[0]:
            self._parser.start_next_cycle()
            self._on_idle(self)
        elif not self.closed:
            self.close()
        body = b''.join(exchange.chunks)
        exchange.on_response(self, exchange.status, exchange.headers, body)

    def _skip_response(self, exchange: _UpstreamExchange) -> None:
        """Discard a response to another request and wait for the next one.

        A new parser, in the state after sending the request, reads it.
        """
        exchange.skipped_count += 1
        if exchange.skipped_count > MAX_SKIPPED_RESPONSES:
            detail = (
                f'above {MAX_SKIPPED_RESPONSES} responses to other requests'
            )
            self._fail(CallFault.malformed, detail)
            return
        rest = self._parser.trailing_data[0]
        self._parser = _new_parser()
        self._parser.send(exchange.request)
        if exchange.body:
            self._parser.send(h11.Data(exchange.body))
        self._parser.send(h11.EndOfMessage())
        self._held.release(self)
        exchange.status = 0
        exchange.chunks.clear()
        exchange.size_bytes = 0
        if rest:
            self._parser.receive_data(rest)

    def _read_keep_alive(self, headers: Headers) -> None:
        for name, content in headers:
            if name.lower() == b'keep-alive':
                self.keep_alive_s = _keep_alive_limit_s(content)

    def _fail(self, fault: CallFault, detail: str) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        self.close()
        exchange.on_failure(fault, detail)


class _ConnectionFactory(Factory):
    """Builds one connection."""

    noisy = False

    def __init__(
        self,
        shared: SharedLimits,
        on_idle: Callable[[UpstreamConnection], None],
    ) -> None:
        self._shared = shared
        self._on_idle = on_idle

    def buildProtocol(self, addr: IAddress | None) -> UpstreamConnection:
        return UpstreamConnection(self._shared, self._on_idle)


class _Pool:
    """Idle connections to one address."""

    def __init__(self, reactor: Any, idle_limit_s: float) -> None:
        self._reactor = reactor
        self._idle_limit_s = idle_limit_s
        self._idle: dict[UpstreamConnection, Any] = {}
        #: Time of the reactor from which connections are kept again.
        self._paused_until_s = float(0)

    def put(self, connection: UpstreamConnection) -> None:
        """Keep an idle connection until its time limit."""
        full = len(self._idle) >= MAX_POOLED_CONNECTIONS
        paused = self._reactor.seconds() < self._paused_until_s
        if full or paused or len(connection.refused_ids) >= MAX_REFUSED_IDS:
            connection.close()
            return
        connection.on_unasked_input = self._pause
        limit_s = min(self._idle_limit_s, connection.keep_alive_s)
        self._idle[connection] = self._reactor.callLater(
            limit_s, self._expire, connection
        )

    def take(self, request_id: str = '') -> UpstreamConnection | None:
        """Return the most recently used connection that is usable.

        One on which the same request was refused before is not.
        """
        for connection in reversed(tuple(self._idle)):
            if request_id and request_id in connection.refused_ids:
                continue
            self._idle.pop(connection).cancel()
            unread = connection.unread_input()
            if unread is None:
                return connection
            connection.close()
            if unread:
                self._pause()
                break
        return None

    def close(self) -> None:
        """Close all connections."""
        for connection, timer in self._idle.items():
            timer.cancel()
            connection.close()
        self._idle.clear()

    def _pause(self) -> None:
        """Close all connections, and keep none for a while.

        The upstream may be about to send on the others too, and a call would
        take that for its response.
        """
        self._paused_until_s = self._reactor.seconds() + UNASKED_INPUT_PAUSE_S
        self.close()

    def _expire(self, connection: UpstreamConnection) -> None:
        self._idle.pop(connection, None)
        connection.close()


class UpstreamCalls:
    """Carries out calls to upstreams and submits their results as events.

    Subclasses for upstreams that use other headers override ``headers_of``,
    ``owner_of``, ``statement_of`` and ``ended``.
    """

    #: Pooled connections are closed after this long without a call.
    pool_idle_limit_s: float = POOL_IDLE_LIMIT_S
    #: Whether a response without a length may end with the connection. It
    #: cannot be distinguished from a truncated one.
    accepts_close_delimited = False

    def __init__(
        self,
        reactor: Any,
        submit: Submit,
        held_limit_bytes: int = HELD_LIMIT_BYTES,
    ) -> None:
        """Build a client that passes results to ``submit``.

        ``held_limit_bytes`` is for the unfinished responses of all calls.
        """
        self._reactor = reactor
        self._submit = submit
        self._shared = SharedLimits(
            ParseTurns(reactor), HeldResponses(held_limit_bytes)
        )
        self._pools: dict[str, _Pool] = {}
        #: Cancels a call: its connection attempt or its open connection.
        self._running: dict[CallId, Callable[[], None]] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes of the unfinished responses of all calls."""
        return self._shared.held.size_bytes

    def headers_of(self, effect: CallUpstream) -> Headers:
        """Return the request headers of a call."""
        return effect.headers

    def owner_of(
        self, effect: CallUpstream, status: int, headers: Headers
    ) -> ResponseOwner:
        """Return whether a response is that to the request of a call."""
        return ResponseOwner.current

    def statement_of(
        self, upstream: UpstreamId, status: int, headers: Headers
    ) -> UpstreamStated | None:
        """Return what a response states about its upstream, if anything."""

    def ended(
        self, effect: CallUpstream, status: int, headers: Headers, body: bytes
    ) -> Event:
        """Return the event for a complete response."""
        return UpstreamAnswered(effect.call, status, headers, body)

    def call(self, effect: CallUpstream) -> None:
        """Start a call."""
        try:
            exchange = self._build_exchange(effect)
        except h11.LocalProtocolError as error:
            # h11 checks the method and the target before anything is connected.
            self._fail(effect, CallFault.aborted, str(error), sent=False)
            return
        pooled = None
        if not effect.fresh:
            pooled = self._pool(effect.address).take(effect.tag)
        if pooled is not None:
            self._start(effect, exchange, pooled)
            return
        on_idle: Callable[[UpstreamConnection], None] = UpstreamConnection.close
        if not effect.fresh:
            on_idle = self._pool(effect.address).put
        pending = self._connect(effect.address, on_idle)
        self._running[effect.call] = pending.cancel
        pending.addCallbacks(
            lambda connection: self._start(effect, exchange, connection),
            lambda reason: self._connect_failed(effect, reason),
        )

    def probe(self, effect: ProbeUpstream) -> None:
        """Request the health path of an upstream on a new connection.

        Any response counts as alive, whatever it says: health reports can be
        late or wrong.
        """
        _Probe(
            self._reactor,
            self._submit,
            effect,
            partial(self._read_head, effect.upstream),
        ).start(self._connect(effect.address, UpstreamConnection.close))

    def check_listening(self, effect: CheckListening) -> None:
        """Open a connection and close it; a refused one means no process."""
        connect = partial(
            self._connect, effect.address, UpstreamConnection.close
        )
        _ListeningCheck(self._reactor, self._submit, effect, connect).start()

    def abort(self, call: CallId) -> None:
        """Cancel a call by closing its connection."""
        cancel = self._running.pop(call, None)
        if cancel is not None:
            cancel()

    def drop(self, address: str) -> None:
        """Close the pooled connections to an upstream."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _pool(self, address: str) -> _Pool:
        pool = self._pools.get(address)
        if pool is None:
            pool = _Pool(self._reactor, self.pool_idle_limit_s)
            self._pools[address] = pool
        return pool

    def _connect(
        self, address: str, on_idle: Callable[[UpstreamConnection], None]
    ) -> Any:
        target = Address.parse(address)
        endpoint: Any = TCP4ClientEndpoint(
            self._reactor, target.host, target.port, timeout=CONNECT_TIMEOUT_S
        )
        return endpoint.connect(_ConnectionFactory(self._shared, on_idle))

    def _build_exchange(self, effect: CallUpstream) -> _UpstreamExchange:
        headers = [(b'Host', effect.host or effect.address.encode())]
        headers += self.headers_of(effect)
        if effect.body:
            headers.append((b'Content-Length', b'%d' % len(effect.body)))
        return _UpstreamExchange(
            h11.Request(
                method=effect.method, target=effect.target, headers=headers
            ),
            effect.body,
            effect.limit_bytes,
            partial(self._responded, effect),
            lambda *fault: self._exchange_failed(effect, *fault),
            partial(self.owner_of, effect),
            on_head=partial(self._read_call_head, effect),
            close_delimited=self.accepts_close_delimited,
        )

    def _read_call_head(
        self, effect: CallUpstream, status: int, headers: Headers
    ) -> None:
        # A late response to another request may be older than the newest one.
        if self.owner_of(effect, status, headers) is ResponseOwner.current:
            self._read_head(effect.upstream, status, headers, effect.call)

    def _read_head(
        self,
        upstream: UpstreamId,
        status: int,
        headers: Headers,
        call: CallId | None = None,
    ) -> None:
        statement = self.statement_of(upstream, status, headers)
        if statement is not None:
            self._submit(replace(statement, call=call))

    def _start(
        self,
        effect: CallUpstream,
        exchange: _UpstreamExchange,
        connection: UpstreamConnection,
    ) -> None:
        self._running[effect.call] = connection.close
        connection.start(exchange)

    def _responded(
        self,
        effect: CallUpstream,
        connection: UpstreamConnection,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        self._running.pop(effect.call, None)
        if status not in FINAL_STATUSES:
            detail = f'status {status} is not between 200 and 599'
            self._fail(effect, CallFault.malformed, detail, sent=True)
            return
        event = self.ended(effect, status, headers, body)
        if isinstance(event, UpstreamFailed) and not event.sent:
            connection.refused_ids.add(effect.tag)
        self._submit(event)

    def _exchange_failed(
        self, effect: CallUpstream, fault: CallFault, detail: str
    ) -> None:
        self._running.pop(effect.call, None)
        self._fail(effect, fault, detail, sent=True)

    def _connect_failed(
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
        failure = Failure(Step.call, effect.address, detail[:MAX_DETAIL_CHARS])
        self._submit(UpstreamFailed(effect.call, fault, sent, failure))


class _Probe:
    """One probe on a connection of its own."""

    def __init__(
        self,
        reactor: Any,
        submit: Submit,
        effect: ProbeUpstream,
        on_head: Callable[[int, Headers], None],
    ) -> None:
        self._submit = submit
        self._effect = effect
        self._on_head = on_head
        self._done = False
        self._cancel: Callable[[], None] = self._do_nothing
        self._timer = reactor.callLater(PROBE_TIMEOUT_S, self._time_out)

    def start(self, pending: Any) -> None:
        """Send the request once ``pending`` has connected."""
        self._cancel = pending.cancel
        pending.addCallbacks(self._connected, self._connect_failed)

    def _connected(self, connection: UpstreamConnection) -> None:
        self._cancel = connection.close
        host = self._effect.address.encode()
        request = h11.Request(
            method=b'GET',
            target=self._effect.path.encode(),
            headers=[(b'Host', host)],
        )
        # With a body limit of 0 the first byte of a body ends the exchange.
        connection.start(
            _UpstreamExchange(
                request,
                b'',
                0,
                lambda *response: self._report(alive=True),
                self._exchange_failed,
                on_head=self._on_head,
            )
        )

    def _exchange_failed(self, fault: CallFault, detail: str) -> None:
        self._report(alive=fault is CallFault.too_large)

    def _connect_failed(self, reason: TwistedFailure) -> None:
        if reason.check(CancelledError):
            return
        refused = bool(reason.check(UpstreamRefusedError))
        self._report(alive=False, refused=refused)

    def _time_out(self) -> None:
        cancel = self._cancel
        self._report(alive=False)
        cancel()

    def _report(self, *, alive: bool, refused: bool = False) -> None:
        if self._done:
            return
        self._done = True
        if self._timer.active():
            self._timer.cancel()
        self._submit(Probed(self._effect.upstream, alive, refused))

    def _do_nothing(self) -> None:
        """Cancel nothing: no connection attempt has started."""


class _ListeningCheck:
    """One check whether a process listens at the address of an upstream.

    The kernel accepts connections for a process that is ending until its
    listener is closed, so a connection counts only once it has stayed open.
    """

    def __init__(
        self,
        reactor: Any,
        submit: Submit,
        effect: CheckListening,
        connect: Callable[[], Any],
    ) -> None:
        self._reactor = reactor
        self._submit = submit
        self._effect = effect
        self._connect = connect
        self._tries_left = LISTENING_TRIES

    def start(self) -> None:
        """Attempt a connection."""
        self._tries_left -= 1
        self._connect().addCallbacks(self._connected, self._connect_failed)

    def _connected(self, connection: UpstreamConnection) -> None:
        self._reactor.callLater(LISTENING_STAY_S, self._check, connection)

    def _check(self, connection: UpstreamConnection) -> None:
        usable = connection.usable
        if not connection.closed:
            connection.close()
        if usable or not self._tries_left:
            self._report(refused=False)
        else:
            self.start()

    def _connect_failed(self, reason: TwistedFailure) -> None:
        self._report(refused=bool(reason.check(UpstreamRefusedError)))

    def _report(self, *, refused: bool) -> None:
        self._submit(ListeningChecked(self._effect.upstream, refused))


def _new_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
    )


def _head_bytes(event: h11.InformationalResponse) -> int:
    lines = [(STATUS_LINE_START, event.reason), *event.headers.raw_items()]
    return sum(len(name) + len(content) for name, content in lines)


def _keep_alive_limit_s(content: bytes) -> float:
    """Return how long a connection may stay idle, by ``Keep-Alive``."""
    for part in content.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() != b'timeout' or not number.isdigit():
            continue
        if len(number) <= KEEP_ALIVE_DIGITS:
            return max(0, int(number) - KEEP_ALIVE_MARGIN_S)
    return POOL_IDLE_LIMIT_S


def _peek(transport: Any) -> bytes | None:
    """Return the first byte of the input, and leave it there.

    None without input, and empty if the connection has been closed.
    """
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return bytes(transport.getHandle().recv(1, flags))
    except BlockingIOError:
        return None
    except OSError:
        return b''
