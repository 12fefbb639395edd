"""HTTP entrance for callers, on twisted.web."""

from collections.abc import Callable
from io import BytesIO
from typing import Any, Final

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web import http

from .clocks import Clock
from .effects import Respond
from .events import CallerGone, CallerRequest, Event
from .ids import ExchangeId
from .outcomes import Outcome, Reason
from .requests import refusal
from .settings import Address

#: Largest request body that is read; routes set lower limits.
BODY_LIMIT_BYTES: Final = 4 * 1024 * 1024
#: A connection that sends nothing for this long is closed.
IDLE_TIMEOUT_S: Final = 60
#: A request must have arrived whole this long after its first byte.
READ_LIMIT_S: Final = 10.0
#: Connections of callers beyond this are closed at once.
CONNECTION_LIMIT: Final = 20_000

Submit = Callable[[Event], None]


class Exchange(http.Request):
    """One request of a caller and its answer."""

    channel: Any
    content: Any

    def __init__(self, channel: 'CallerChannel', *queued: Any) -> None:
        """Take the identity of a new exchange from the listener."""
        super().__init__(channel, *queued)
        self._listener = channel.listener
        self.exchange = self._listener.next_exchange()
        self._received_bytes = 0
        self._refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that is announced as too large."""
        # The library would spool large bodies to a file; hosts have no disk.
        self.content = BytesIO()
        if length is not None and length > BODY_LIMIT_BYTES:
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Collect the body up to its limit."""
        if self._refused:
            return
        self._received_bytes += len(data)
        if self._received_bytes > BODY_LIMIT_BYTES:
            self._refuse_body()
            return
        self.content.write(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Pass on a whole request; forms and cookies are not parsed."""
        if self._refused:
            return
        self.channel.request_complete()
        self.method = command
        self.uri = path
        self.clientproto = version
        self._listener.received(self)

    def connectionLost(self, reason: TwistedFailure) -> None:
        """Report that the caller no longer waits."""
        self._listener.gone(self.exchange)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def caller_request(self) -> CallerRequest:
        """Return the request as an event."""
        raw = self.requestHeaders.getAllRawHeaders()
        pairs = tuple(
            (name, content) for name, contents in raw for content in contents
        )
        return CallerRequest(
            exchange=self.exchange,
            method=self.method,
            target=self.uri,
            headers=pairs,
            body=self.content.getvalue(),
        )

    def respond(self, effect: Respond, *, close: bool) -> None:
        """Write a whole answer."""
        self.setResponseCode(effect.status)
        answer = self.responseHeaders
        for name, content in effect.headers:
            answer.addRawHeader(name, content)
        answer.setRawHeaders(b'Content-Length', [b'%d' % len(effect.body)])
        if close:
            answer.setRawHeaders(b'Connection', [b'close'])
        self.write(effect.body)  # type: ignore[no-untyped-call]
        self.finish()  # type: ignore[no-untyped-call]

    def _refuse_body(self) -> None:
        self._refused = True
        made = refusal(self.exchange, Outcome.not_run, Reason.body_too_large)
        self.channel.refuse(made)


class CallerChannel(http.HTTPChannel):
    """One connection of a caller."""

    transport: Any
    requestFactory: Any = Exchange

    def __init__(self, listener: 'CallerListener') -> None:
        """Remember the listener that accepted the connection."""
        super().__init__()  # type: ignore[no-untyped-call]
        self.listener = listener
        self.timeOut = IDLE_TIMEOUT_S
        self._reading_since: float | None = None

    def dataReceived(self, data: bytes) -> None:
        """Read requests; one that arrives too slowly ends the connection."""
        now_s = self.listener.clock.monotonic().total_seconds()
        if self._reading_since is None:
            self._reading_since = now_s
        elif now_s - self._reading_since > READ_LIMIT_S:
            self.transport.abortConnection()
            return
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def request_complete(self) -> None:
        """Note that the request under way has arrived whole."""
        self._reading_since = None

    def refuse(self, made: Respond) -> None:
        """Answer before the request has arrived whole, and disconnect."""
        head = [b'HTTP/1.1 %d Refused' % made.status]
        head += [b'%b: %b' % pair for pair in made.headers]
        head.append(b'Content-Length: %d' % len(made.body))
        head.append(b'Connection: close')
        head += [b'', made.body]
        self.transport.write(b'\r\n'.join(head))
        self.transport.loseConnection()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Release the place of the connection."""
        self.listener.disconnected(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class CallerListener(http.HTTPFactory):
    """Accepts callers and keeps the exchanges that wait for answers."""

    noisy = False

    def __init__(self, reactor: Any, clock: Clock, submit: Submit) -> None:
        """Requests are reported through ``submit``."""
        super().__init__(reactor=reactor)
        self.clock = clock
        self._reactor = reactor
        self._submit = submit
        self._exchanges: dict[ExchangeId, Exchange] = {}
        self._channels: set[CallerChannel] = set()
        self._last_exchange = 0
        self._port: Any = None
        self._closing = False

    def listen(self, address: Address) -> Any:
        """Accept callers; raises ``CannotListenError``."""
        self._port = self._reactor.listenTCP(
            address.port, self, backlog=1024, interface=address.host
        )
        return self._port

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Accept a connection unless there are too many."""
        if len(self._channels) >= CONNECTION_LIMIT:
            return None
        channel = CallerChannel(self)
        channel.factory = self
        channel.callLater = self._reactor.callLater  # type: ignore[method-assign]
        self._channels.add(channel)
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log: the reducer records what matters."""

    def next_exchange(self) -> ExchangeId:
        """Return the identity of a new exchange."""
        self._last_exchange += 1
        return ExchangeId(self._last_exchange)

    def received(self, exchange: Exchange) -> None:
        """Report a whole request."""
        self._exchanges[exchange.exchange] = exchange
        self._submit(exchange.caller_request())

    def gone(self, exchange: ExchangeId) -> None:
        """Report that a caller closed its connection."""
        if self._exchanges.pop(exchange, None) is not None:
            self._submit(CallerGone(exchange))

    def respond(self, effect: Respond) -> None:
        """Answer a caller that still waits."""
        exchange = self._exchanges.pop(effect.exchange, None)
        if exchange is not None:
            exchange.respond(effect, close=self._closing)

    def disconnected(self, channel: CallerChannel) -> None:
        """Forget a connection."""
        self._channels.discard(channel)

    @property
    def connections(self) -> int:
        """Number of connections of callers."""
        return len(self._channels)

    def stop_accepting(self) -> None:
        """Accept no new connections; answers close the existing ones."""
        self._closing = True
        if self._port is not None:
            self._port.stopListening()
