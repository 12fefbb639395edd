"""Streams of messages between daemons over TCP."""

import re
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionRefusedError as PeerRefusedError
from twisted.internet.interfaces import (
    IAddress,
    IPushProducer,
)
from twisted.internet.protocol import (
    ClientFactory,
    Factory,
    Protocol,
    connectionDone,
)
from twisted.python.failure import Failure as TwistedFailure
from zope.interface import implementer

from .addresses import NAME_PATTERN, NAME_RULE, Address
from .codecs import decode, encode, request_of
from .events import (
    Event,
    PeerMessage,
    PeerUnreachable,
    StreamClosed,
    StreamOpened,
)
from .frames import FRAGMENT_BYTES, FrameReader, FrameWriter
from .ids import DaemonId, RequestId, StreamId
from .listeners import listen
from .logs import HybridClock
from .memory import limits as memory_limits
from .memory.limits import HostLimits, host_limits
from .memory.requests import RequestBytes
from .messages import (
    PROTOCOL_VERSION,
    Answer,
    Cancel,
    Dispatch,
    Hello,
    Inquire,
    Message,
    Refusal,
)
from .outcomes import Failure, FailureError, Outcome, Reason, Step
from .sockets import enable_keep_alive, unsent_bytes

if TYPE_CHECKING:
    from .certificates import Certificates

#: Most time for opening a connection to a peer.
CONNECT_TIMEOUT_S = 1.0
#: A peer that sends no ``Hello`` for this long is disconnected.
HELLO_TIMEOUT_S = 5.0
#: A peer that does not read is disconnected when this much is unsent.
UNSENT_LIMIT_BYTES = 32 * 1024 * 1024
#: Most unsent bytes of all streams; above it, the stream with most of them is
#: closed.
UNSENT_TOTAL_LIMIT_BYTES = memory_limits.UNSENT_LIMIT_BYTES
#: Part of the limits of unsent bytes, in percent, that requests may use. A
#: request without room is refused, while anything else would end the stream.
UNSENT_REQUESTS_PCT = 75
#: Pause between two fragments of a long message, so that other messages are
#: written in between.
FRAGMENT_PAUSE_S = 0.001

#: Most buffered bytes of a peer that has not sent its ``Hello``.
HELLO_LIMIT_BYTES = 4096
#: Most inbound streams; more are closed at once. Each of 650 peers needs one,
#: and a second one while a silent stream is replaced.
INBOUND_LIMIT = memory_limits.INBOUND_LIMIT

_NAME = re.compile(NAME_PATTERN)
#: Types that are sent only by the ingress daemon of a request, on streams that
#: it opened.
_REQUEST_TYPES = (Dispatch, Cancel, Inquire)

#: Each message starts with the hybrid logical time of its sender.
_TIMESTAMP = struct.Struct('>Q')

DEFAULT_LIMITS = host_limits()

Submit = Callable[[Event], None]


@dataclass(frozen=True, slots=True)
class Counters:
    """Callbacks that count failures and bytes of all streams."""

    failed: Callable[[Failure], None]
    sent_bytes: Callable[[int], None]
    received_bytes: Callable[[int], None]


class _Part:
    """A message of a peer that is being reassembled."""

    def __init__(
        self,
        stream: 'PeerStream',
        number: int,
        known: tuple[type[Dispatch] | type[Answer], RequestId] | None,
    ) -> None:
        self.is_request = known is not None and known[0] is Dispatch
        #: Whether it can be given up, which ends only one request.
        self.is_exchange = known is not None
        self._stream = stream
        self._number = number
        self._request = known[1] if known else RequestId(0)

    def give_up(self) -> None:
        """Discard it; its request is refused, or its response is lost."""
        self._stream.discard(self._number)
        if self.is_request:
            self._stream.send(
                Refusal(self._request, Reason.memory, Outcome.not_run)
            )
            return
        self._stream.report(
            Refusal(self._request, Reason.answer_too_large, Outcome.unknown)
        )


@implementer(IPushProducer)
class PeerStream(Protocol):
    """One stream between two daemons."""

    transport: Any

    def __init__(
        self, hub: 'StreamHub', address: str, expected: DaemonId
    ) -> None:
        """Prepare a stream.

        ``address`` is the one it is opened to, empty for an inbound stream.
        ``expected`` is the peer's id, empty if any daemon is accepted.
        """
        self._hub = hub
        self._address = address
        self._expected = expected
        self._own_hello: Hello | None = None
        self._writer = FrameWriter()
        self._reader = FrameReader('unknown')
        self._parts: dict[int, _Part] = {}
        self._hello: Hello | None = None
        self._failure: Failure | None = None
        self._hello_timer: Any = None
        self._paused = False
        self._fragment_due = False
        self._finishing = False
        self._output_ended = False
        self._unsent_bytes = 0
        self.stream = hub.new_stream()

    @property
    def inbound(self) -> bool:
        """Whether the peer opened the stream."""
        return not self._address

    @property
    def own_number(self) -> int:
        """Number in this daemon's own ``Hello``; 0 before it is sent."""
        return self._own_hello.number if self._own_hello else 0

    def connectionMade(self) -> None:
        """Send the ``Hello`` of this daemon."""
        self.transport.setTcpNoDelay(True)
        enable_keep_alive(self.transport)
        self.transport.registerProducer(self, True)
        self._reader = FrameReader(self._peer_name(), self)
        self._hello_timer = self._hub.reactor.callLater(
            HELLO_TIMEOUT_S, self._hello_timed_out
        )
        self._own_hello = self._hub.next_hello()
        self.send(self._own_hello)

    def dataReceived(self, data: bytes) -> None:
        """Read messages; a malformed one ends this stream only.

        After the end of the output, which could carry no reply, input is
        discarded.
        """
        self._hub.counters.received_bytes(len(data))
        if self._output_ended:
            return
        try:
            self._read(data)
        except FailureError as error:
            self.fail(error.failure)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Report the end of the stream."""
        if self._hello_timer is not None and self._hello_timer.active():
            self._hello_timer.cancel()
        failure = self._failure or Failure(
            Step.connect, self._peer_name(), reason.getErrorMessage()
        )
        if self._failure is None:
            self._count_abrupt_end(failure)
        self._hub.unsent.forget(self)
        for number in tuple(self._parts):
            self.ended(number)
        self._hub.lost(self, self._hello, failure)
        if self._hello is None and self._address:
            self._hub.submit(
                PeerUnreachable(self._expected, self._address, failure)
            )

    def send(self, message: Message) -> None:
        """Write a message, a long one in fragments; ignored after a failure."""
        if self._failure is not None:
            return
        if isinstance(message, Dispatch) and not self._has_room(message):
            self.report(
                Refusal(message.request, Reason.memory, Outcome.not_run)
            )
            return
        stamp = _TIMESTAMP.pack(self._hub.stamp())
        frames = self._writer.frames(encode(message), stamp)
        if frames:
            self._write(frames)
            return
        self._check_unsent()
        self._write_fragment()

    def report(self, message: Message) -> None:
        """Report a message as if the peer had sent it."""
        self._hub.submit(PeerMessage(self.stream, message))

    def grew(self, number: int, start: bytearray, size_bytes: int) -> None:
        """Count a fragment of a message; there may be no room for it."""
        part = self._parts.get(number)
        if part is None:
            known = request_of(memoryview(start)[_TIMESTAMP.size :])
            part = _Part(self, number, known)
            self._parts[number] = part
        counted = self._hub.bytes_of(part)
        if part.is_exchange:
            counted.add(part, size_bytes)
        else:
            # Its loss would affect more than one request.
            counted.keep(part, size_bytes)

    def ended(self, number: int) -> None:
        """Count a message no more that is complete or lost."""
        part = self._parts.pop(number, None)
        if part is not None:
            self._hub.bytes_of(part).release(part)

    def is_counted_elsewhere(self, number: int) -> bool:
        """Return whether a message is a request."""
        part = self._parts.get(number)
        return part is not None and part.is_request

    def discard(self, number: int) -> None:
        """Discard a message under reassembly."""
        self._parts.pop(number, None)
        self._reader.discard(number)

    def fail_unsent(self, detail: str) -> None:
        """Abort the connection, as its peer does not read."""
        self.fail(Failure(Step.frame, self._peer_name(), detail))

    def fail(self, failure: Failure) -> None:
        """Count a failure and abort the connection."""
        if self._failure is not None:
            return
        self._failure = failure
        self._hub.unsent.forget(self)
        self._hub.counters.failed(failure)
        self.transport.abortConnection()

    def finish(self) -> None:
        """End the stream once all messages have been sent.

        Input is still read until the peer ends its side: closing a connection
        with unread input resets it, which destroys what the peer has not yet
        received.
        """
        self._finishing = True
        self._write_fragment()

    @property
    def has_unsent(self) -> bool:
        """Whether the peer may not have received all messages."""
        pending = bool(self._writer.pending)
        return pending or unsent_bytes(self.transport) > 0

    def pauseProducing(self) -> None:
        """Stop writing fragments until the peer has read more."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Go on writing fragments."""
        self._paused = False
        self._unsent_bytes = 0
        self._check_unsent()
        self._write_fragment()

    def stopProducing(self) -> None:
        """Stop writing fragments because the connection is closing."""
        self._paused = True

    def close(self) -> None:
        """Abort the connection; unsent data is discarded."""
        self.transport.abortConnection()

    def _read(self, received: bytes) -> None:
        for payload in self._reader.feed(received):
            if self._failure is not None:
                return
            message = self._decode(payload)
            if self._hello is None:
                self._receive_hello(message)
            else:
                self._check_type(message)
                self._hub.submit(PeerMessage(self.stream, message))
        if (
            self._hello is None
            and self._reader.buffered_bytes > HELLO_LIMIT_BYTES
        ):
            raise self._protocol_error(
                Step.frame, f'hello above {HELLO_LIMIT_BYTES} bytes'
            )

    def _check_type(self, message: Message) -> None:
        if isinstance(message, Hello):
            raise self._protocol_error(
                Step.decode, 'second hello on one stream'
            )
        if self._address and isinstance(message, _REQUEST_TYPES):
            kind = type(message).__name__
            raise self._protocol_error(
                Step.decode, f'{kind} from the accepting side'
            )

    def _decode(self, payload: bytes | bytearray) -> Message:
        if len(payload) < _TIMESTAMP.size:
            raise self._protocol_error(Step.frame, 'message without timestamp')
        self._hub.observe(_TIMESTAMP.unpack_from(payload)[0])
        content = memoryview(payload)[_TIMESTAMP.size :]
        return decode(content, self._peer_name())

    def _receive_hello(self, message: Message) -> None:
        if not isinstance(message, Hello):
            raise self._protocol_error(
                Step.decode, 'first message is not hello'
            )
        problem = self._hello_problem(message)
        if problem:
            raise self._protocol_error(Step.connect, problem)
        if self._hello_timer is not None and self._hello_timer.active():
            self._hello_timer.cancel()
        self._hello = message
        self._reader.peer = message.daemon
        self._hub.hello_received(self, message, self._address)

    def _hello_problem(self, hello: Hello) -> str:
        """Return why a peer is not accepted, or an empty text."""
        if hello.version != PROTOCOL_VERSION:
            return f'protocol version {hello.version}, not {PROTOCOL_VERSION}'
        if _NAME.fullmatch(hello.daemon) is None:
            return f'the daemon id of the hello is not {NAME_RULE}'
        if self._expected and hello.daemon != self._expected:
            return f'peer is {hello.daemon}, not {self._expected}'
        if self._hub.certificates is not None:
            found = self._hub.certificates.peer_names(self.transport)
            if hello.daemon not in found:
                listed = ', '.join(sorted(found))
                return f'certificate is for {listed}, not {hello.daemon}'
        own = self._own_hello
        if own is None or hello.daemon != own.daemon:
            return ''
        if hello.incarnation == own.incarnation:
            # A seed list may name every daemon, this one included.
            return ''
        return f'peer claims the id {own.daemon} of this daemon'

    def _protocol_error(self, step: Step, detail: str) -> FailureError:
        return FailureError(Failure(step, self._peer_name(), detail))

    def _count_abrupt_end(self, failure: Failure) -> None:
        if self._reader.partial:
            failure = Failure(Step.frame, failure.peer, 'truncated message')
        elif self._hello is None:
            detail = f'ended before hello: {failure.detail}'
            failure = Failure(Step.connect, failure.peer, detail)
        else:
            return
        self._hub.counters.failed(failure)

    def _write(self, frames: bytes) -> None:
        self._hub.counters.sent_bytes(len(frames))
        self.transport.write(frames)
        if self._paused:
            self._unsent_bytes += len(frames)
            self._check_unsent()

    def _check_unsent(self) -> None:
        unsent_bytes = self._unsent_bytes + self._writer.pending_bytes
        limit_bytes = self._hub.unsent.stream_limit_bytes
        if unsent_bytes > limit_bytes:
            self.fail_unsent(f'more than {limit_bytes} bytes unsent')
        elif self._failure is None:
            self._hub.unsent.update(self, unsent_bytes)

    def _has_room(self, message: Dispatch) -> bool:
        """Return whether a request fits into the bytes that may be unsent."""
        if len(message.body) <= FRAGMENT_BYTES:
            return True
        unsent_bytes = self._unsent_bytes + self._writer.pending_bytes
        return self._hub.unsent.has_room(unsent_bytes, len(message.body))

    def _write_fragment(self) -> None:
        if self._paused or not self.connected or self._fragment_due:
            return
        fragment = self._writer.next_fragment()
        if fragment:
            self._write(fragment)
            self._check_unsent()
        if self._writer.pending:
            self._fragment_due = True
            self._hub.reactor.callLater(FRAGMENT_PAUSE_S, self._next_fragment)
        elif self._finishing:
            self._end_output()

    def _end_output(self) -> None:
        """Tell the peer that no message follows those already written."""
        self._output_ended = True
        if self._hub.certificates is None:
            self.transport.loseWriteConnection()
            return
        # TLS has no half-close. This sends a close alert after the output, and
        # input is read until the alert of the peer.
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _next_fragment(self) -> None:
        self._fragment_due = False
        self._write_fragment()

    def _hello_timed_out(self) -> None:
        self.fail(Failure(Step.connect, self._peer_name(), 'no hello'))

    def _peer_name(self) -> str:
        if self._hello is not None:
            return self._hello.daemon
        peer = self.transport.getPeer()
        return f'{peer.host}:{peer.port}'


class UnsentBytes:
    """Bytes that the peers of all streams have not read."""

    def __init__(self, limit_bytes: int) -> None:
        """Start without streams."""
        self.total_bytes = 0
        self._limit_bytes = limit_bytes
        self._by_stream: dict[PeerStream, int] = {}

    @property
    def limit_bytes(self) -> int:
        """Most bytes of all streams."""
        return min(UNSENT_TOTAL_LIMIT_BYTES, self._limit_bytes)

    @property
    def stream_limit_bytes(self) -> int:
        """Most bytes of one stream."""
        return min(UNSENT_LIMIT_BYTES, self._limit_bytes // 2)

    def has_room(self, stream_bytes: int, size_bytes: int) -> bool:
        """Return whether a request may be sent on a stream.

        ``stream_bytes`` are those that are unsent on the stream.
        """
        stream_part = self.stream_limit_bytes * UNSENT_REQUESTS_PCT // 100
        total_part = self.limit_bytes * UNSENT_REQUESTS_PCT // 100
        if stream_bytes + size_bytes > stream_part:
            return False
        return self.total_bytes + size_bytes <= total_part

    def update(self, stream: PeerStream, unsent_bytes: int) -> None:
        """Count those of a stream; above the limit, end the largest."""
        self.forget(stream)
        if not unsent_bytes:
            return
        self._by_stream[stream] = unsent_bytes
        self.total_bytes += unsent_bytes
        while self.total_bytes > self.limit_bytes:
            largest = max(self._by_stream, key=self._by_stream.__getitem__)
            largest.fail_unsent(
                f'more than {self.limit_bytes} bytes unsent to all'
            )

    def forget(self, stream: PeerStream) -> None:
        """Count no bytes of a stream."""
        self.total_bytes -= self._by_stream.pop(stream, 0)


class StreamHub:
    """All inbound and outbound streams of this daemon."""

    def __init__(
        self,
        reactor: Any,
        submit: Submit,
        next_hello: Callable[[], Hello],
        counters: Counters,
        hybrid_clock: HybridClock,
        certificates: 'Certificates | None' = None,
        limits: HostLimits = DEFAULT_LIMITS,
        requests: RequestBytes | None = None,
    ) -> None:
        """Start without streams; events are reported through ``submit``.

        With ``certificates`` both ends of each stream must have one.
        ``requests`` also counts requests that are not on streams.
        """
        self.certificates = certificates
        self._hybrid = hybrid_clock
        self.reactor = reactor
        self.submit = submit
        self.next_hello = next_hello
        self.counters = counters
        self.unsent = UnsentBytes(limits.unsent_bytes)
        self._requests = requests or RequestBytes(limits.request_bytes)
        #: Responses and other messages of peers under reassembly.
        self.incoming = RequestBytes(limits.incoming_bytes)
        self._limits = limits
        self._streams: dict[StreamId, PeerStream] = {}
        self._last_stream = 0
        self._opening_addresses: set[str] = set()
        self._inbound_count = 0
        self._port: Any = None
        self._stopping = False

    def listen(self, address: Address) -> Any:
        """Accept streams of peers; raises ``CannotListenError``."""
        factory = _InboundFactory(self)
        self._port = listen(
            self.reactor,
            address,
            factory,
            self.certificates and self.certificates.peers,
        )
        return self._port

    def open(self, daemon: DaemonId, address: Address) -> None:
        """Open a stream unless one to the address is being opened.

        The result is reported as an event.
        """
        target = str(address)
        if self._stopping or target in self._opening_addresses:
            return
        self._opening_addresses.add(target)
        factory = _OutboundFactory(self, daemon, address)
        if self.certificates is None:
            self.reactor.connectTCP(
                address.host, address.port, factory, timeout=CONNECT_TIMEOUT_S
            )
            return
        self.reactor.connectSSL(
            address.host,
            address.port,
            factory,
            self.certificates.peers,
            timeout=CONNECT_TIMEOUT_S,
        )

    def opened(self, address: Address) -> None:
        """Note that a connection attempt to an address has ended."""
        self._opening_addresses.discard(str(address))

    def send(self, stream: StreamId, message: Message) -> None:
        """Send a message; discarded if the stream has ended."""
        known = self._streams.get(stream)
        if known is not None:
            known.send(message)

    def close(self, stream: StreamId) -> None:
        """Close a stream."""
        known = self._streams.get(stream)
        if known is not None:
            known.close()

    @property
    def has_streams(self) -> bool:
        """Whether any stream is open."""
        return bool(self._streams)

    @property
    def has_unsent(self) -> bool:
        """Whether a peer may not have received all messages."""
        return any(each.has_unsent for each in self._streams.values())

    def stop(self) -> None:
        """Open and accept no more streams; end each once its output is sent.

        A stream stays open until its peer has ended its side.
        """
        self._stopping = True
        if self._port is not None:
            self._port.stopListening()
        for stream in tuple(self._streams.values()):
            stream.finish()

    def close_all(self) -> None:
        """Close all streams, whether or not their peers have ended them."""
        for stream in tuple(self._streams.values()):
            stream.transport.unregisterProducer()
            stream.transport.loseConnection()

    def accept(self) -> PeerStream | None:
        """Return a new inbound stream, or None if there are too many."""
        limit = min(INBOUND_LIMIT, self._limits.inbound_streams)
        if self._inbound_count >= limit:
            self.counters.failed(
                Failure(Step.listen, 'peers', 'too many inbound streams')
            )
            return None
        self._inbound_count += 1
        return PeerStream(self, '', DaemonId(''))

    def bytes_of(self, part: _Part) -> RequestBytes:
        """Return where a message under reassembly is counted."""
        return self._requests if part.is_request else self.incoming

    def stamp(self) -> int:
        """Return the packed hybrid logical time for an outgoing message."""
        return self._hybrid.tick_packed()

    def observe(self, packed: int) -> None:
        """Advance the hybrid clock past the packed time of a message."""
        self._hybrid.observe_packed(packed)

    def new_stream(self) -> StreamId:
        """Return the id of a new stream."""
        self._last_stream += 1
        return StreamId(self._last_stream)

    def hello_received(
        self, stream: PeerStream, hello: Hello, address: str
    ) -> None:
        """Report a stream as open after the peer's ``Hello``."""
        self._streams[stream.stream] = stream
        number = stream.own_number
        self.submit(
            StreamOpened(stream.stream, hello, bool(address), address, number)
        )
        if self._stopping:
            stream.finish()

    def lost(
        self, stream: PeerStream, hello: Hello | None, failure: Failure
    ) -> None:
        """Remove an ended stream; report it if it was open."""
        self._streams.pop(stream.stream, None)
        if stream.inbound:
            self._inbound_count -= 1
        if hello is not None:
            self.submit(StreamClosed(stream.stream, failure))


class _InboundFactory(Factory):
    """Builds the protocol of each stream that a peer opens."""

    noisy = False

    def __init__(self, hub: StreamHub) -> None:
        self._hub = hub

    def buildProtocol(self, addr: IAddress | None) -> PeerStream | None:
        return self._hub.accept()


class _OutboundFactory(ClientFactory):
    """Builds the protocol of one outbound stream, or reports a failure."""

    noisy = False

    def __init__(
        self, hub: StreamHub, daemon: DaemonId, address: Address
    ) -> None:
        self._hub = hub
        self._daemon = daemon
        self._address = address

    def buildProtocol(self, addr: IAddress | None) -> PeerStream:
        self._hub.opened(self._address)
        return PeerStream(self._hub, str(self._address), self._daemon)

    def clientConnectionFailed(
        self, connector: Any, reason: TwistedFailure
    ) -> None:
        self._hub.opened(self._address)
        refused = bool(reason.check(PeerRefusedError))
        failure = Failure(
            Step.connect, str(self._address), reason.getErrorMessage()
        )
        self._hub.submit(
            PeerUnreachable(
                self._daemon, str(self._address), failure, refused=refused
            )
        )
