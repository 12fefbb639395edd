"""HTTP entrance for callers, on twisted.web."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from io import BytesIO
from itertools import takewhile
from typing import Any, Final

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web import http

from .addresses import Address
from .clocks import Clock
from .effects import Respond
from .events import CallerDisconnected, CallerRequest, Event
from .ids import ExchangeId
from .outcomes import Outcome, Reason
from .requests import refusal

#: Largest request body that is read; routes set lower limits.
BODY_LIMIT_BYTES: Final = 4 * 1024 * 1024
#: A connection that sends nothing for this long is closed.
IDLE_LIMIT: Final = timedelta(seconds=60)
#: A request must have arrived whole this long after its first byte; the
#: check runs every second.
READ_LIMIT: Final = timedelta(seconds=10)
#: A caller whose request was refused early may read the answer for this
#: long. Closing at once could reset the connection before it has.
LINGER_S: Final = 2.0
#: A caller that pipelines requests and does not read is cut off when the
#: answers that wait for it are above this.
UNREAD_LIMIT_BYTES: Final = 4 * 1024 * 1024
#: Connections that the system accepts before this process does.
BACKLOG: Final = 1024
#: Connections of callers beyond this are closed at once.
CONNECTION_LIMIT: Final = 20_000

Submit = Callable[[Event], None]


def listen(reactor: Any, address: Address, factory: Any, tls: Any) -> Any:
    """Accept connections, with TLS if ``tls`` makes its connections."""
    place = {'interface': address.host, 'backlog': BACKLOG}
    if tls is None:
        return reactor.listenTCP(address.port, factory, **place)
    return reactor.listenSSL(address.port, factory, tls, **place)


class Cutoff(Enum):
    """Why the connection of a caller was ended from here."""

    bad_http = 'bad_http'
    body_too_large = 'body_too_large'
    slow = 'slow'
    idle = 'idle'
    unread = 'unread'
    too_many = 'too_many'


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
            host=self._host(),
        )

    def respond(self, effect: Respond, *, close: bool) -> None:
        """Answer in the order of the requests on the connection."""
        self.channel.answer(self, effect, close=close)

    def write_answer(self, effect: Respond, *, close: bool) -> None:
        """Write a whole answer."""
        self.setResponseCode(effect.status)
        answer = self.responseHeaders
        for name, content in effect.headers:
            answer.addRawHeader(name, content)
        answer.setRawHeaders(b'Content-Length', [b'%d' % len(effect.body)])
        if close:
            answer.setRawHeaders(b'Connection', [b'close'])
        self.write(effect.body)  # type: ignore[no-untyped-call]
        self.channel.answered(len(effect.body))
        self.finish()  # type: ignore[no-untyped-call]

    def _host(self) -> str:
        named = self.requestHeaders.getRawHeaders(b'host')
        if not named:
            return ''
        return named[0].decode('latin-1').partition(':')[0]

    def _refuse_body(self) -> None:
        self._refused = True
        self.channel.refuse(
            refusal(self.exchange, Outcome.not_run, Reason.body_too_large),
            Cutoff.body_too_large,
        )


class CallerChannel(http.HTTPChannel):
    """One connection of a caller."""

    transport: Any
    requestFactory: Any = Exchange

    def __init__(self, listener: 'CallerListener') -> None:
        """Remember the listener that accepted the connection."""
        super().__init__()  # type: ignore[no-untyped-call]
        self.listener = listener
        self.timeOut = int(IDLE_LIMIT.total_seconds())
        self._answering = False
        self._refused = False
        self._paused = False
        self._unread_bytes = 0
        self._linger: Any = None
        #: Answers that wait for those of earlier requests.
        self._held: dict[Exchange, tuple[Respond, bool]] = {}

    def dataReceived(self, data: bytes) -> None:
        """Read requests; the rest of a refused one is discarded."""
        if self._refused:
            return
        # Some callers send a line end after a body; it starts no request.
        if not self._answering and data.strip(b'\r\n'):
            self.listener.reading(self)
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:
        """Parse a line, unless the request was refused."""
        if not self._refused:
            super().lineReceived(line)  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:
        """Collect a body or later requests, unless one was refused."""
        if not self._refused:
            super().rawDataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a head with an overlong line."""
        self._respondToBadRequestAndDisconnect()

    def allContentReceived(self) -> None:
        """Go on reading behind a request that has arrived whole.

        The library would read the next request only after the answer, so a
        caller that sends several would wait for the sum of their times.
        """
        super().allContentReceived()  # type: ignore[no-untyped-call]
        if self._refused or not self.persistent:
            return
        if len(self.requests) < self.listener.pipeline_limit:
            self._handlingRequest = False
            self.setLineMode()  # type: ignore[no-untyped-call]

    def _finishRequestBody(self, data: bytes) -> None:
        if self.listener.pipeline_limit == 1:
            super()._finishRequestBody(data)  # type: ignore[no-untyped-call]
            return
        self.allContentReceived()
        if self._handlingRequest:
            self._dataBuffer.append(data)
        else:
            self.setLineMode(data)  # type: ignore[no-untyped-call]

    def requestDone(self, request: http.Request) -> None:
        """Note that the first request was answered."""
        last = len(self.requests) == 1
        if self._handlingRequest and (self.persistent or last):
            super().requestDone(request)  # type: ignore[no-untyped-call]
            return
        if request is not self.requests[0]:
            raise TypeError('answers are written in the order of requests')
        del self.requests[0]
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()  # type: ignore[misc]
        if last and self._savedTimeOut:
            self.setTimeout(self._savedTimeOut)

    def answer(
        self, exchange: Exchange, effect: Respond, *, close: bool
    ) -> None:
        """Write an answer, and those that waited for it."""
        self._held[exchange] = (effect, close)
        while self.requests and self.requests[0] in self._held:
            first = self.requests[0]
            made, closing = self._held.pop(first)
            # Requests behind an answer that closes count as not read.
            first.write_answer(made, close=closing and len(self.requests) == 1)

    def request_complete(self) -> None:
        """Note that the request under way has arrived whole."""
        self._answering = True
        self.listener.read(self)

    def answered(self, size_bytes: int) -> None:
        """Note an answer; a caller that does not read is cut off."""
        self._answering = len(self.requests) > 1
        if not self._paused:
            return
        self._unread_bytes += size_bytes
        if self._unread_bytes > UNREAD_LIMIT_BYTES:
            self.cut_off(Cutoff.unread)

    def pauseProducing(self) -> None:
        """Count answers from now on: the caller reads too slowly."""
        self._paused = True
        super().pauseProducing()  # type: ignore[no-untyped-call]

    def resumeProducing(self) -> None:
        """Stop counting: the answers have been handed to the system."""
        self._paused = False
        self._unread_bytes = 0
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def setTimeout(self, period: int | None) -> int | None:
        """Begin or end the wait of an idle connection.

        The library would set and cancel a timer several times a request; one
        sweep over all connections takes their place.
        """
        previous = self.timeOut
        self.timeOut = period
        if period is None:
            self.listener.busy(self)
        else:
            self.listener.idle(self)
        return previous

    def resetTimeout(self) -> None:
        """Note that the caller was heard."""
        if self.timeOut is not None:
            self.listener.idle(self)

    def timeoutConnection(self) -> None:
        """Count an idle connection and close it."""
        self.listener.count_cutoff(Cutoff.idle)
        super().timeoutConnection()  # type: ignore[no-untyped-call]

    def close_idle(self) -> None:
        """Close the connection unless a request arrives or is answered."""
        if not self._answering and not self.listener.is_reading(self):
            self.end()

    def end(self) -> None:
        """Read nothing more, and close once all answers are written."""
        self._refused = True
        self.transport.loseConnection()

    def cut_off(self, why: Cutoff) -> None:
        """End the connection at once."""
        self._refused = True
        self.listener.count_cutoff(why)
        self.transport.abortConnection()

    def refuse(self, made: Respond, why: Cutoff) -> None:
        """Answer before the request has arrived whole, and disconnect."""
        if self._refused:
            return
        self._refused = True
        self.listener.count_cutoff(why)
        self.listener.read(self)
        self.setTimeout(None)
        head = [b'HTTP/1.1 %d Refused' % made.status]
        head += [b'%b: %b' % pair for pair in made.headers]
        head.append(b'Content-Length: %d' % len(made.body))
        head.append(b'Connection: close')
        head += [b'', made.body]
        self.transport.write(b'\r\n'.join(head))
        self._linger = self.listener.reactor.callLater(
            LINGER_S, self.transport.abortConnection
        )

    def _respondToBadRequestAndDisconnect(self) -> None:
        # The library's own answer has neither outcome nor length.
        made = refusal(ExchangeId(0), Outcome.not_run, Reason.bad_request)
        self.refuse(made, Cutoff.bad_http)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Release the place of the connection."""
        if self._linger is not None and self._linger.active():
            self._linger.cancel()
        self.listener.disconnected(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class CallerListener(http.HTTPFactory):
    """Accepts callers and keeps the exchanges that wait for answers."""

    noisy = False
    reactor: Any
    #: Requests of one connection that are worked on at the same time. With
    #: one, writes may be pipelined too: none runs behind a closing answer.
    pipeline_limit = 1

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        submit: Submit,
        count_cutoff: Callable[[Cutoff], None],
    ) -> None:
        """Requests are reported through ``submit``."""
        super().__init__(reactor=reactor)
        self.clock = clock
        self.count_cutoff = count_cutoff
        self._submit = submit
        # Both in the order of their times.
        self._reading: dict[CallerChannel, timedelta] = {}
        self._idle: dict[CallerChannel, timedelta] = {}
        self._exchanges: dict[ExchangeId, Exchange] = {}
        self._channels: set[CallerChannel] = set()
        self._last_exchange = 0
        self._port: Any = None
        self._closing = False

    def listen(self, address: Address, tls: Any = None) -> Any:
        """Accept callers; raises ``CannotListenError``."""
        self._port = listen(self.reactor, address, self, tls)
        return self._port

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Accept a connection unless there are too many."""
        if len(self._channels) >= CONNECTION_LIMIT:
            self.count_cutoff(Cutoff.too_many)
            return None
        channel = CallerChannel(self)
        channel.factory = self
        channel.callLater = self.reactor.callLater  # type: ignore[method-assign]
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
        self._submit(self.request_of(exchange))

    def request_of(self, exchange: Exchange) -> CallerRequest:
        """Return a request as an event; edges of other dialects override it."""
        return exchange.caller_request()

    def gone(self, exchange: ExchangeId) -> None:
        """Report that a caller closed its connection."""
        if self._exchanges.pop(exchange, None) is not None:
            self._submit(CallerDisconnected(exchange))

    def respond(self, effect: Respond) -> None:
        """Answer a caller that still waits."""
        exchange = self._exchanges.pop(effect.exchange, None)
        if exchange is not None:
            exchange.respond(effect, close=self._closing)

    def disconnected(self, channel: CallerChannel) -> None:
        """Forget a connection."""
        self._channels.discard(channel)
        self._reading.pop(channel, None)
        self._idle.pop(channel, None)

    def idle(self, channel: CallerChannel) -> None:
        """Note that a connection was heard and may become idle."""
        self._idle.pop(channel, None)
        self._idle[channel] = self.clock.monotonic()

    def busy(self, channel: CallerChannel) -> None:
        """Note that a connection waits for us, so it cannot be idle."""
        self._idle.pop(channel, None)

    def reading(self, channel: CallerChannel) -> None:
        """Note that a request arrives on a connection."""
        self._reading.setdefault(channel, self.clock.monotonic())

    def is_reading(self, channel: CallerChannel) -> bool:
        """Return whether a request has arrived in part."""
        return channel in self._reading

    def read(self, channel: CallerChannel) -> None:
        """Note that a request has arrived whole or was refused."""
        self._reading.pop(channel, None)

    def cut_off_slow(self) -> None:
        """End idle connections, and those that send a request too slowly."""
        now = self.clock.monotonic()
        for slow in _older(self._reading, now - READ_LIMIT):
            slow.cut_off(Cutoff.slow)
        for idle in _older(self._idle, now - IDLE_LIMIT):
            self.busy(idle)
            idle.timeoutConnection()

    @property
    def connections(self) -> int:
        """Number of connections of callers."""
        return len(self._channels)

    def release(self, *, accept: bool) -> None:
        """Let answers close their connections, and accept new ones or not.

        Connections without a request are closed once none are accepted.
        """
        self._closing = True
        if accept:
            return
        if self._port is not None:
            self._port.stopListening()
        for channel in tuple(self._channels):
            channel.close_idle()

    def disconnect_all(self) -> None:
        """Read nothing more and close all connections."""
        self.release(accept=False)
        for channel in tuple(self._channels):
            channel.end()


def _older(
    since: dict[CallerChannel, timedelta], limit: timedelta
) -> list[CallerChannel]:
    """Return the first channels, up to one whose time is after a limit."""
    entries = takewhile(lambda entry: entry[1] <= limit, since.items())
    return [channel for channel, _ in entries]
