"""HTTP/1.1 listener for callers, on twisted.web."""

import logging
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import Enum
from io import BytesIO
from itertools import takewhile
from typing import Any, Final

from twisted.internet.interfaces import IAddress, ISSLTransport
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure as TwistedFailure
from twisted.web import http
from twisted.web.iweb import INonQueuedRequestFactory
from zope.interface import provider

from .addresses import Address
from .clocks import Clock
from .connections import ParseTurns
from .effects import Respond
from .events import CallerDisconnected, CallerRequest, Event
from .ids import ExchangeId
from .logs import log_event
from .memory import limits as memory_limits
from .memory.limits import BODY_LIMIT_BYTES, HostLimits, host_limits
from .memory.requests import RequestBytes
from .outcomes import Outcome, Reason
from .requests import refusal
from .sockets import unsent_bytes

logger = logging.getLogger(__name__)

#: A connection that sends nothing for this long is closed, unless its caller
#: waits for a response.
IDLE_LIMIT: Final = timedelta(seconds=60)
#: A request must be complete this long after its first byte, or after each
#: further ``READ_STEP_BYTES`` of its body. The check runs every second.
READ_LIMIT: Final = timedelta(seconds=10)
#: At 5.5 Mbit/s, the slowest link of a host, this takes 1.5 s.
READ_STEP_BYTES: Final = 1024 * 1024
#: Input is read and discarded for this long after the caller has received the
#: last response, unless it closes the connection. Closing it with unread input
#: would reset it, and the caller might lose the response.
LINGER_S: Final = 2.0
#: A caller that has not received all of its output this long after the end of
#: the connection has begun is cut off.
LINGER_LIMIT: Final = IDLE_LIMIT
#: A connection whose caller pipelines requests and does not read is closed
#: when its unsent responses exceed this.
UNREAD_LIMIT_BYTES: Final = 4 * 1024 * 1024
#: Most bytes of responses that all callers together leave unread or that wait
#: for earlier responses; above it, the connection with most of them is cut off.
UNREAD_TOTAL_LIMIT_BYTES: Final = memory_limits.UNREAD_LIMIT_BYTES
#: Connections that the kernel queues until this process accepts them.
BACKLOG: Final = 1024
#: Caller connections beyond this are closed at once.
CONNECTION_LIMIT: Final = memory_limits.CONNECTION_LIMIT
#: Bytes of a request are counted in steps of this size, as a chunk of one byte
#: would otherwise cost as much as a large one.
COUNTED_BYTES: Final = 4096
#: Part of a chunked body that is parsed before the time is checked. In chunks of
#: one byte it takes about 1 ms.
PARSED_BYTES: Final = 2048
DEFAULT_LIMITS: Final = host_limits()

Submit = Callable[[Event], None]


def listen(reactor: Any, address: Address, factory: Any, tls: Any) -> Any:
    """Listen on an address, with TLS if ``tls`` is given.

    ``tls`` creates the TLS connections (``IOpenSSLServerConnectionCreator``).
    Returns the listening port; raises ``CannotListenError``.
    """
    options = {'interface': address.host, 'backlog': BACKLOG}
    if tls is None:
        return reactor.listenTCP(address.port, factory, **options)
    return reactor.listenSSL(address.port, factory, tls, **options)


class Cutoff(Enum):
    """Why the daemon closed the connection of a caller."""

    bad_http = 'bad_http'
    body_too_large = 'body_too_large'
    slow = 'slow'
    idle = 'idle'
    unread = 'unread'
    too_many = 'too_many'
    memory = 'memory'


# Twisted keeps requests of other factories in the list of their channel after
# their response if they arrived behind another one.
@provider(INonQueuedRequestFactory)
class Exchange(http.Request):
    """One request of a caller and its response."""

    channel: Any
    content: Any

    def __init__(self, channel: 'CallerChannel') -> None:
        """Create a request with a new exchange ID."""
        super().__init__(channel)
        self._listener = channel.listener
        self.exchange = self._listener.next_exchange()
        self._received_bytes = 0
        self._counted_bytes = 0
        self._refused = False
        #: Whether the request was received whole and submitted.
        self.complete = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a request whose ``Content-Length`` exceeds the limit."""
        # twisted.web would spool large bodies to a file; hosts have no disk.
        self.content = BytesIO()
        if length is not None and length > self._listener.body_limit_bytes:
            self._refuse(Reason.body_too_large, Cutoff.body_too_large)

    def handleContentChunk(self, data: bytes) -> None:
        """Collect the body up to the limit."""
        if self._refused:
            return
        steps = self._received_bytes // READ_STEP_BYTES
        self._received_bytes += len(data)
        if self._received_bytes > self._listener.body_limit_bytes:
            self._refuse(Reason.body_too_large, Cutoff.body_too_large)
            return
        if self._received_bytes // READ_STEP_BYTES > steps:
            self._listener.restart_read_limit(self.channel)
        if self._received_bytes > self._counted_bytes:
            size_bytes = max(
                COUNTED_BYTES, self._received_bytes - self._counted_bytes
            )
            self._counted_bytes += size_bytes
            # This may refuse any request that is unfinished, also this one.
            self._listener.requests.add(self, size_bytes)
        if not self._refused:
            self.content.write(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Submit a complete request; forms and cookies are not parsed."""
        if self._refused:
            return
        self.complete = True
        self._listener.requests.complete(self)
        self.channel.request_completed()
        self.method = command
        self.uri = path
        self.clientproto = version
        self._listener.request_received(self)

    def connectionLost(self, reason: TwistedFailure) -> None:
        """Submit that the caller has disconnected."""
        self._listener.requests.release(self)
        self._listener.caller_disconnected(self.exchange)
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

    def respond(self, effect: Respond) -> None:
        """Respond once all earlier requests of the connection are answered."""
        self.channel.respond(self, effect)

    def write_response(self, effect: Respond, *, close: bool) -> None:
        """Write a complete response."""
        self.release()
        self.setResponseCode(effect.status)
        headers = self.responseHeaders
        for name, content in effect.headers:
            headers.addRawHeader(name, content)
        headers.setRawHeaders(b'Content-Length', [b'%d' % len(effect.body)])
        if close:
            headers.setRawHeaders(b'Connection', [b'close'])
        self.write(effect.body)  # type: ignore[no-untyped-call]
        self.channel.response_written(len(effect.body))
        self.finish()  # type: ignore[no-untyped-call]

    def _host(self) -> str:
        values = self.requestHeaders.getRawHeaders(b'host')
        if not values:
            return ''
        return values[0].decode('latin-1').partition(':')[0]

    def hold_unparsed(self, size_bytes: int) -> None:
        """Count input of the body that waits to be parsed, or does no more."""
        if not self._refused:
            self._listener.requests.add(self, size_bytes)

    def give_up(self) -> None:
        """Refuse it as not run: all requests take too much memory."""
        self._refuse(Reason.memory, Cutoff.memory)

    def release(self) -> None:
        """Discard the body, as the request is answered or refused."""
        self._listener.requests.release(self)
        self.content = BytesIO()

    def _refuse(self, reason: Reason, why: Cutoff) -> None:
        self._refused = True
        self.release()
        self.channel.refuse(
            refusal(self.exchange, Outcome.not_run, reason), why
        )


class CallerChannel(http.HTTPChannel):
    """One connection of a caller."""

    transport: Any
    requestFactory: Any = Exchange

    def __init__(self, listener: 'CallerListener') -> None:
        """Create a channel of the listener that accepted the connection."""
        super().__init__()  # type: ignore[no-untyped-call]
        self.listener = listener
        self.timeOut = int(IDLE_LIMIT.total_seconds())
        self._response_pending = False
        self._input_discarded = False
        self._paused = False
        self._unread_bytes = 0
        self._linger_timer: Any = None
        #: Number of the connection in the log.
        self.connection = listener.next_connection()
        #: Responses that are withheld until earlier requests are answered.
        self._withheld: dict[Exchange, Respond] = {}
        #: Whether no request after those being received is read.
        self._ends_after_requests = False
        #: Whether the close of the connection has begun.
        self._close_begun = False
        #: Input that waits for its turn to be parsed; None if none does.
        self._unparsed: bytearray | None = None

    def dataReceived(self, data: bytes) -> None:
        """Read requests; input after a refusal is discarded."""
        if self._input_discarded:
            return
        if self._unparsed is not None:
            self._unparsed += data
            self._networkProducer.pauseProducing()  # type: ignore[misc]
            self.requests[-1].hold_unparsed(len(data))
            return
        # Some callers send a line end after a body; it starts no request.
        if not self._response_pending and data.strip(b'\r\n'):
            self.listener.request_started(self)
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:
        """Parse a line, unless input is discarded."""
        if not self._input_discarded:
            super().lineReceived(line)  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:
        """Collect a body or later requests, unless input is discarded.

        A chunked body is parsed in turns with those of other connections.
        """
        if self._input_discarded:
            return
        if self._handlingRequest:
            super().rawDataReceived(data)
            self.listener.requests.add(self, len(data))
        elif self.length is None:
            self._parse_chunks(data)
        else:
            super().rawDataReceived(data)

    def _parse_chunks(self, data: bytes) -> None:
        decoder = self._transferDecoder
        turns = self.listener.turns
        until_s = turns.until_s()
        for place in range(0, len(data), PARSED_BYTES):
            if self._input_discarded:
                return
            if self._transferDecoder is not decoder:
                # The body has ended, and other requests follow it.
                LineReceiver.dataReceived(self, data[place:])
                return
            if turns.is_over(until_s):
                self._unparsed = bytearray(data[place:])
                self._networkProducer.pauseProducing()  # type: ignore[misc]
                turns.yield_turn(self._resume_parsing)
                self.requests[-1].hold_unparsed(len(data) - place)
                return
            piece = data[place : place + PARSED_BYTES]
            http.HTTPChannel.rawDataReceived(self, piece)

    def _resume_parsing(self) -> None:
        """Parse more of a chunked body, unless the connection has closed."""
        unparsed = self._unparsed
        self._unparsed = None
        if unparsed is None:
            return
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()  # type: ignore[misc]
        if self._input_discarded:
            return
        self.requests[-1].hold_unparsed(-len(unparsed))
        try:
            LineReceiver.dataReceived(self, bytes(unparsed))
        except Exception:
            # As the reactor does after an exception in ``dataReceived``.
            self.transport.abortConnection()
            raise

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a request with an overlong header line."""
        self._respondToBadRequestAndDisconnect()

    def allContentReceived(self) -> None:
        """Continue with the next pipelined request, up to the limit.

        twisted.web would read it only after the response, so that pipelined
        requests would run one after another.
        """
        if self._input_discarded:
            # The request was refused while its last bytes were parsed, and the
            # newest one left is an earlier one.
            return
        super().allContentReceived()  # type: ignore[no-untyped-call]
        if self._ends_after_requests:
            self._input_discarded = True
        if self._input_discarded or not self.persistent:
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
        """Remove the oldest request after its response was written."""
        self.listener.requests.release(self)
        last = len(self.requests) == 1
        if self._handlingRequest and (self.persistent or last):
            super().requestDone(request)  # type: ignore[no-untyped-call]
            return
        if request is not self.requests[0]:
            raise TypeError('response written before those of earlier requests')
        del self.requests[0]
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()  # type: ignore[misc]
        if last and self._savedTimeOut:
            self.setTimeout(self._savedTimeOut)

    def respond(self, exchange: Exchange, effect: Respond) -> None:
        """Write a response in request order, and withheld ones after it."""
        self._withheld[exchange] = effect
        self.listener.hold(self, len(effect.body))
        while self.requests and self.requests[0] in self._withheld:
            first = self.requests[0]
            # Callers assume that requests after a closing response did not run,
            # so only the response to the last one closes the connection.
            closing = self.listener.closing or self._ends_after_requests
            last = closing and len(self.requests) == 1
            self._input_discarded = self._input_discarded or last
            ready = self._withheld.pop(first)
            self.listener.hold(self, -len(ready.body))
            self._write_response(first, ready, close=last)
            if last and self.persistent:
                self._half_close()

    def _write_response(
        self, exchange: Exchange, effect: Respond, *, close: bool
    ) -> None:
        try:
            exchange.write_response(effect, close=close)
        except Exception:
            # Later responses would wait for this one for ever.
            self.transport.abortConnection()
            raise

    def request_completed(self) -> None:
        """Record that the current request is complete."""
        self._response_pending = True
        self.listener.request_ended(self)

    def response_written(self, size_bytes: int) -> None:
        """Record a response; too many unsent bytes end the connection."""
        behind = self.requests[1:]
        self._response_pending = any(each.complete for each in behind)
        if behind and not self._response_pending:
            # A part of the next request has been received.
            self.listener.request_started(self)
        if not self._paused:
            return
        self._unread_bytes += size_bytes
        self.listener.hold(self, size_bytes)
        if self._unread_bytes > UNREAD_LIMIT_BYTES:
            self.cut_off(Cutoff.unread)

    def pauseProducing(self) -> None:
        """Start to count unsent bytes: the caller reads too slowly."""
        self._paused = True
        super().pauseProducing()  # type: ignore[no-untyped-call]

    def resumeProducing(self) -> None:
        """Stop counting: the responses were passed to the kernel."""
        self._paused = False
        self.listener.hold(self, -self._unread_bytes)
        self._unread_bytes = 0
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def setTimeout(self, period: int | None) -> int | None:
        """Start the idle time limit, or end it if ``period`` is ``None``.

        twisted.web would set and cancel a timer several times a request. One
        sweep over all connections replaces these timers.
        """
        previous = self.timeOut
        self.timeOut = period
        if period is None:
            self.listener.end_idle_limit(self)
        else:
            self.listener.restart_idle_limit(self)
        return previous

    def resetTimeout(self) -> None:
        """Restart the idle time limit after input."""
        if self.timeOut is not None:
            self.listener.restart_idle_limit(self)

    def timeoutConnection(self) -> None:
        """Close an idle connection and count it."""
        self.listener.count_cutoff(Cutoff.idle)
        super().timeoutConnection()  # type: ignore[no-untyped-call]

    def finish(self) -> None:
        """Close the connection after the requests that it has received.

        A request that was received in part is read to its end.
        """
        receiving = self.listener.is_receiving(self) or any(
            not each.complete for each in self.requests
        )
        if self._response_pending or receiving:
            self._ends_after_requests = True
            self._input_discarded = self._input_discarded or not receiving
        else:
            self.close_after_writes()

    def close_after_writes(self) -> None:
        """Discard further input, and close once all output is sent."""
        if self._close_begun:
            return
        self._close_begun = True
        if self.requests:
            self._log_exchanges('caller-connection-closed', self.requests)
        self._input_discarded = True
        if unsent_bytes(self.transport):
            self._half_close()
        else:
            self.loseConnection()  # type: ignore[no-untyped-call]

    def _half_close(self) -> None:
        """Send all output, then the end of the stream; discard input."""
        self._close_begun = True
        if ISSLTransport.providedBy(self.transport):
            # TLS has no half-closed connections.
            self.loseConnection()  # type: ignore[no-untyped-call]
            return
        # A transport with a paused producer would not end the stream.
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()
        self._linger()

    def _linger(self) -> None:
        """Close the connection once its caller has had time to read."""
        if self._linger_timer is not None:
            return
        cut_off_at = self.listener.clock.monotonic() + LINGER_LIMIT
        self._linger_timer = self.listener.reactor.callLater(
            LINGER_S, self._end_linger, cut_off_at
        )

    def _end_linger(self, cut_off_at: timedelta) -> None:
        if unsent_bytes(self.transport) == 0:
            self.loseConnection()  # type: ignore[no-untyped-call]
        elif self.listener.clock.monotonic() >= cut_off_at:
            self.cut_off(Cutoff.unread)
        else:
            self._linger_timer = self.listener.reactor.callLater(
                LINGER_S, self._end_linger, cut_off_at
            )

    def cut_off(self, why: Cutoff) -> None:
        """Abort the connection at once and count it."""
        self._discard_input()
        self.listener.count_cutoff(why)
        self.transport.abortConnection()

    def refuse(self, response: Respond, why: Cutoff) -> None:
        """Respond before the request is complete, and disconnect."""
        if self._input_discarded:
            return
        self._discard_input()
        self.listener.count_cutoff(why)
        self.listener.request_ended(self)
        for unfinished in self.requests:
            if not unfinished.complete:
                unfinished.release()
        if any(each.complete for each in self.requests):
            # The responses to earlier requests come first, and the last one
            # tells the caller that later requests have not run.
            self._ends_after_requests = True
            self.requests = [each for each in self.requests if each.complete]
            return
        self.setTimeout(None)
        head = [b'HTTP/1.1 %d Refused' % response.status]
        head += [b'%b: %b' % pair for pair in response.headers]
        head.append(b'Content-Length: %d' % len(response.body))
        head.append(b'Connection: close')
        head += [b'', response.body]
        self.transport.write(b'\r\n'.join(head))
        self._linger()

    def give_up(self) -> None:
        """Cut off a caller that sends much behind a request that runs."""
        self.cut_off(Cutoff.memory)

    def _discard_input(self) -> None:
        """Discard input; it is still read, so that the caller can send it."""
        self._input_discarded = True
        self._dataBuffer: list[bytes] = []
        self.listener.requests.release(self)
        if self._unparsed is not None:
            self._unparsed = None
            self._networkProducer.resumeProducing()  # type: ignore[misc]

    def _log_exchanges(self, event: str, exchanges: Sequence[Exchange]) -> None:
        fields = {
            'connection': self.connection,
            'exchanges': [each.exchange for each in exchanges],
            'withheld': [each.exchange for each in self._withheld],
            'by_daemon': self._input_discarded,
        }
        log_event(logger, event, fields, logging.DEBUG)

    def _respondToBadRequestAndDisconnect(self) -> None:
        # The response of twisted.web has neither an outcome nor a length.
        response = refusal(ExchangeId(0), Outcome.not_run, Reason.bad_request)
        self.refuse(response, Cutoff.bad_http)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Cancel the timer and remove the connection from the listener."""
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        if self.requests or self._withheld:
            self._log_exchanges('caller-connection-lost', self.requests)
        self._unparsed = None
        self.listener.requests.release(self)
        self.listener.disconnected(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class CallerListener(http.HTTPFactory):
    """Accepts caller connections and keeps the unanswered requests."""

    noisy = False
    reactor: Any
    #: Requests of one connection that run at the same time. With a limit of 1,
    #: pipelined writes are safe: none runs after a response that closes the
    #: connection.
    pipeline_limit = 1

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        submit: Submit,
        count_cutoff: Callable[[Cutoff], None],
        limits: HostLimits = DEFAULT_LIMITS,
        requests: RequestBytes | None = None,
    ) -> None:
        """Build a listener that passes requests to ``submit``.

        ``requests`` also counts requests that are not those of callers.
        """
        super().__init__(reactor=reactor)
        self._limits = limits
        self.requests = requests or RequestBytes(limits.request_bytes)
        #: Divides the time to parse chunked bodies.
        self.turns = ParseTurns(reactor)
        self.clock = clock
        self.count_cutoff = count_cutoff
        self._submit = submit
        # When the current request started, and when input last arrived; both
        # in order of time.
        self._receiving: dict[CallerChannel, timedelta] = {}
        self._last_input: dict[CallerChannel, timedelta] = {}
        self._exchanges: dict[ExchangeId, Exchange] = {}
        self._channels: set[CallerChannel] = set()
        self._held_bytes: dict[CallerChannel, int] = {}
        #: Bytes of responses that are unread or withheld, of all connections.
        self.unread_bytes = 0
        self._last_exchange = 0
        self._last_connection = 0
        self._port: Any = None
        #: Whether the last response of each connection closes it.
        self.closing = False

    def listen(self, address: Address, tls: Any = None) -> Any:
        """Listen for callers and return the port.

        Raises ``CannotListenError``.
        """
        self._port = listen(self.reactor, address, self, tls)
        return self._port

    def buildProtocol(self, addr: IAddress | None) -> Any:
        """Accept a connection unless there are too many."""
        if len(self._channels) >= self.connection_limit:
            self.count_cutoff(Cutoff.too_many)
            return None
        channel = CallerChannel(self)
        channel.factory = self
        channel.callLater = self.reactor.callLater  # type: ignore[method-assign]
        self._channels.add(channel)
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log: the reducer logs requests."""

    def next_exchange(self) -> ExchangeId:
        """Return a new exchange ID."""
        self._last_exchange += 1
        return ExchangeId(self._last_exchange)

    def next_connection(self) -> int:
        """Return the number of a new connection."""
        self._last_connection += 1
        return self._last_connection

    def request_received(self, exchange: Exchange) -> None:
        """Submit a complete request."""
        self._exchanges[exchange.exchange] = exchange
        self._submit(self.request_of(exchange))

    def request_of(self, exchange: Exchange) -> CallerRequest:
        """Return a request as an event.

        Listeners for callers that use other headers override this.
        """
        return exchange.caller_request()

    def caller_disconnected(self, exchange: ExchangeId) -> None:
        """Submit that a caller disconnected, if it had no response yet."""
        if self._exchanges.pop(exchange, None) is not None:
            self._submit(CallerDisconnected(exchange))

    def respond(self, effect: Respond) -> None:
        """Send a response unless the caller has disconnected."""
        exchange = self._exchanges.pop(effect.exchange, None)
        if exchange is not None:
            exchange.respond(effect)

    def hold(self, channel: CallerChannel, size_bytes: int) -> None:
        """Count bytes of responses that a connection holds, or holds no more.

        Above the limit the connections that hold most are cut off.
        """
        if channel not in self._channels:
            # It was cut off.
            return
        held_bytes = self._held_bytes.get(channel, 0) + size_bytes
        self._held_bytes[channel] = held_bytes
        self.unread_bytes += size_bytes
        limit_bytes = min(UNREAD_TOTAL_LIMIT_BYTES, self._limits.unread_bytes)
        while self.unread_bytes > limit_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            self._release_held(largest)
            largest.cut_off(Cutoff.unread)

    def disconnected(self, channel: CallerChannel) -> None:
        """Remove a closed connection."""
        self._release_held(channel)
        self._channels.discard(channel)
        self._receiving.pop(channel, None)
        self._last_input.pop(channel, None)

    def _release_held(self, channel: CallerChannel) -> None:
        """Forget a connection that is being closed."""
        self._channels.discard(channel)
        self.unread_bytes -= self._held_bytes.pop(channel, 0)

    def restart_idle_limit(self, channel: CallerChannel) -> None:
        """Restart the idle time limit of a connection."""
        self._last_input.pop(channel, None)
        self._last_input[channel] = self.clock.monotonic()

    def end_idle_limit(self, channel: CallerChannel) -> None:
        """End the idle time limit: the caller waits for a response."""
        self._last_input.pop(channel, None)

    def request_started(self, channel: CallerChannel) -> None:
        """Start the read time limit unless a request is being received."""
        self._receiving.setdefault(channel, self.clock.monotonic())

    def restart_read_limit(self, channel: CallerChannel) -> None:
        """Restart the read time limit of a large body that makes progress."""
        if self._receiving.pop(channel, None) is not None:
            self._receiving[channel] = self.clock.monotonic()

    def is_receiving(self, channel: CallerChannel) -> bool:
        """Return whether a request has been received in part."""
        return channel in self._receiving

    def request_ended(self, channel: CallerChannel) -> None:
        """End the read time limit: a request is complete or refused."""
        self._receiving.pop(channel, None)

    def cut_off_slow(self) -> None:
        """Close idle connections, and those that send a request too slowly."""
        now = self.clock.monotonic()
        for slow in _not_after(self._receiving, now - READ_LIMIT):
            slow.cut_off(Cutoff.slow)
        for idle in _not_after(self._last_input, now - IDLE_LIMIT):
            self.end_idle_limit(idle)
            idle.timeoutConnection()

    @property
    def has_unsent(self) -> bool:
        """Whether a caller may not have received all of its responses."""
        return any(unsent_bytes(each.transport) for each in self._channels)

    @property
    def connections(self) -> int:
        """Number of open caller connections."""
        return len(self._channels)

    @property
    def body_limit_bytes(self) -> int:
        """Largest request body that is accepted; routes set lower limits."""
        return min(BODY_LIMIT_BYTES, self._limits.body_bytes)

    @property
    def connection_limit(self) -> int:
        """Most caller connections."""
        return min(CONNECTION_LIMIT, self._limits.connections)

    def release(self, *, accept: bool) -> None:
        """Close each connection with its next response.

        Unless ``accept``, the listener also stops accepting connections and
        closes those without a request.
        """
        self.closing = True
        if accept:
            return
        if self._port is not None:
            self._port.stopListening()
        for channel in tuple(self._channels):
            channel.finish()

    def disconnect_all(self) -> None:
        """Close all connections, each after its pending output."""
        self.release(accept=False)
        for channel in tuple(self._channels):
            channel.close_after_writes()


def _not_after(
    since: dict[CallerChannel, timedelta], limit: timedelta
) -> list[CallerChannel]:
    """Return the channels whose time is not after a limit.

    The entries are in order of time.
    """
    entries = takewhile(lambda entry: entry[1] <= limit, since.items())
    return [channel for channel, _ in entries]
