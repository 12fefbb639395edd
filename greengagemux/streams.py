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
from .codecs import decode, encode
from .events import (
    Event,
    PeerMessage,
    PeerUnreachable,
    StreamClosed,
    StreamOpened,
)
from .frames import FrameReader, FrameWriter
from .ids import DaemonId, StreamId
from .listeners import listen
from .logs import HybridClock
from .messages import (
    PROTOCOL_VERSION,
    Cancel,
    Dispatch,
    Hello,
    Inquire,
    Message,
)
from .outcomes import Failure, FailureError, Step
from .sockets import watch

if TYPE_CHECKING:
    from .certificates import Certificates

#: A stream that has not been opened after this long is given up.
CONNECT_TIMEOUT_S = 1.0
#: A peer that sends no ``Hello`` for this long is disconnected.
HELLO_TIMEOUT_S = 5.0
#: A peer that does not read is cut off when this much is unsent.
UNSENT_LIMIT_BYTES = 32 * 1024 * 1024
#: Pause between two fragments of a long message, so that others go between.
FRAGMENT_PAUSE_S = 0.001

#: Most bytes of unfinished messages of a peer that has not said hello.
STRANGER_LIMIT_BYTES = 4096
#: Inbound streams beyond this are closed at once; 650 daemons need one each,
#: and a second one while a silent stream is replaced.
INBOUND_LIMIT = 2000

_NAME = re.compile(NAME_PATTERN)
#: Requests travel only on streams that their entrance opened.
_REQUESTS = (Dispatch, Cancel, Inquire)

#: Each message starts with the logical time of its sender.
_STAMP = struct.Struct('>Q')

Submit = Callable[[Event], None]


@dataclass(frozen=True, slots=True)
class Counters:
    """Callbacks that count what happens on streams."""

    failed: Callable[[Failure], None]
    sent_bytes: Callable[[int], None]
    received_bytes: Callable[[int], None]


@implementer(IPushProducer)
class PeerStream(Protocol):
    """One stream between two daemons."""

    transport: Any

    def __init__(
        self, hub: 'StreamHub', address: str, expected: DaemonId
    ) -> None:
        """Prepare a stream.

        ``address`` is empty for an inbound one; ``expected`` is empty when
        any daemon may answer.
        """
        self._hub = hub
        self._address = address
        self._expected = expected
        self._own_hello: Hello | None = None
        self._writer = FrameWriter()
        self._reader = FrameReader('unknown')
        self._hello: Hello | None = None
        self._failure: Failure | None = None
        self._hello_timer: Any = None
        self._paused = False
        self._fragment_due = False
        self._unsent_bytes = 0
        self.stream = hub.new_stream()

    @property
    def inbound(self) -> bool:
        """Whether the peer opened the stream."""
        return not self._address

    @property
    def own_number(self) -> int:
        """Number of this daemon's own ``Hello``; 0 before it."""
        return self._own_hello.number if self._own_hello else 0

    def connectionMade(self) -> None:
        """Say hello."""
        self.transport.setTcpNoDelay(True)
        watch(self.transport)
        self.transport.registerProducer(self, True)
        self._reader = FrameReader(self._peer_name())
        self._hello_timer = self._hub.reactor.callLater(
            HELLO_TIMEOUT_S, self._no_hello
        )
        self._own_hello = self._hub.next_hello()
        self.send(self._own_hello)

    def dataReceived(self, data: bytes) -> None:
        """Read messages; a malformed one ends this stream only."""
        self._hub.counters.received_bytes(len(data))
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
        self._hub.lost(self, self._hello, failure)
        if self._hello is None and self._address:
            self._hub.submit(
                PeerUnreachable(self._expected, self._address, failure)
            )

    def send(self, message: Message) -> None:
        """Write a message; long ones are written in fragments."""
        if self._failure is not None:
            return
        stamp = _STAMP.pack(self._hub.stamp())
        frames = self._writer.frames(stamp + encode(message))
        if frames:
            self._write(frames)
            return
        self._check_unsent()
        self._write_fragment()

    def fail(self, failure: Failure) -> None:
        """End the stream because of a failure."""
        if self._failure is not None:
            return
        self._failure = failure
        self._hub.counters.failed(failure)
        self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Hold back fragments; the peer reads more slowly than we write."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Go on writing fragments."""
        self._paused = False
        self._unsent_bytes = 0
        self._write_fragment()

    def stopProducing(self) -> None:
        """Hold back everything; the stream is ending."""
        self._paused = True

    def close(self) -> None:
        """End the stream without waiting for unsent data."""
        self.transport.abortConnection()

    def _read(self, received: bytes) -> None:
        for payload in self._reader.feed(received):
            if self._failure is not None:
                return
            message = self._decode(payload)
            if self._hello is None:
                self._greet(message)
            else:
                self._check_type(message)
                self._hub.submit(PeerMessage(self.stream, message))
        if (
            self._hello is None
            and self._reader.held_bytes > STRANGER_LIMIT_BYTES
        ):
            raise self._refusal(
                Step.frame, f'hello above {STRANGER_LIMIT_BYTES} bytes'
            )

    def _check_type(self, message: Message) -> None:
        if isinstance(message, Hello):
            raise self._refusal(Step.decode, 'second hello on one stream')
        if self._address and isinstance(message, _REQUESTS):
            kind = type(message).__name__
            raise self._refusal(Step.decode, f'{kind} from the accepting side')

    def _decode(self, payload: bytes) -> Message:
        if len(payload) < _STAMP.size:
            raise self._refusal(Step.frame, 'message without stamp')
        self._hub.observe(_STAMP.unpack_from(payload)[0])
        return decode(payload[_STAMP.size :], self._peer_name())

    def _greet(self, message: Message) -> None:
        if not isinstance(message, Hello):
            raise self._refusal(Step.decode, 'first message is not hello')
        problem = self._hello_problem(message)
        if problem:
            raise self._refusal(Step.connect, problem)
        if self._hello_timer is not None and self._hello_timer.active():
            self._hello_timer.cancel()
        self._hello = message
        self._reader.peer = message.daemon
        self._hub.greeted(self, message, self._address)

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

    def _refusal(self, step: Step, detail: str) -> FailureError:
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
        if unsent_bytes > UNSENT_LIMIT_BYTES:
            detail = f'more than {UNSENT_LIMIT_BYTES} bytes unsent'
            self.fail(Failure(Step.frame, self._peer_name(), detail))

    def _write_fragment(self) -> None:
        if self._paused or not self.connected or self._fragment_due:
            return
        fragment = self._writer.next_fragment()
        if not fragment:
            return
        self._write(fragment)
        if self._writer.pending:
            self._fragment_due = True
            self._hub.reactor.callLater(FRAGMENT_PAUSE_S, self._next_fragment)

    def _next_fragment(self) -> None:
        self._fragment_due = False
        self._write_fragment()

    def _no_hello(self) -> None:
        self.fail(Failure(Step.connect, self._peer_name(), 'no hello'))

    def _peer_name(self) -> str:
        if self._hello is not None:
            return self._hello.daemon
        peer = self.transport.getPeer()
        return f'{peer.host}:{peer.port}'


class StreamHub:
    """All streams of this daemon, inbound and outbound."""

    def __init__(
        self,
        reactor: Any,
        submit: Submit,
        next_hello: Callable[[], Hello],
        counters: Counters,
        hybrid: HybridClock,
        certificates: 'Certificates | None' = None,
    ) -> None:
        """Streams report events through ``submit``.

        With ``certificates`` both ends of each stream must have one.
        """
        self.certificates = certificates
        self._hybrid = hybrid
        self.reactor = reactor
        self.submit = submit
        self.next_hello = next_hello
        self.counters = counters
        self._streams: dict[StreamId, PeerStream] = {}
        self._last_stream = 0
        self._opening: set[str] = set()
        self._inbound = 0
        self._port: Any = None

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
        """Open a stream; the result is an event."""
        target = str(address)
        if target in self._opening:
            return
        self._opening.add(target)
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
        """Note that an attempt to open a stream ended."""
        self._opening.discard(str(address))

    def send(self, stream: StreamId, message: Message) -> None:
        """Send a message; dropped when the stream has ended."""
        known = self._streams.get(stream)
        if known is not None:
            known.send(message)

    def close(self, stream: StreamId) -> None:
        """Close a stream."""
        known = self._streams.get(stream)
        if known is not None:
            known.close()

    def stop(self) -> None:
        """Stop accepting streams and close all."""
        if self._port is not None:
            self._port.stopListening()
        for stream in tuple(self._streams.values()):
            stream.transport.loseConnection()

    def accept(self) -> PeerStream | None:
        """Return a new inbound stream unless there are too many."""
        if self._inbound >= INBOUND_LIMIT:
            self.counters.failed(
                Failure(Step.listen, 'peers', 'too many inbound streams')
            )
            return None
        self._inbound += 1
        return PeerStream(self, '', DaemonId(''))

    def stamp(self) -> int:
        """Return the packed logical time for an outgoing message."""
        return self._hybrid.tick_packed()

    def observe(self, packed: int) -> None:
        """Take in the packed logical time of a message."""
        self._hybrid.observe_packed(packed)

    def new_stream(self) -> StreamId:
        """Return the id of a new stream."""
        self._last_stream += 1
        return StreamId(self._last_stream)

    def greeted(self, stream: PeerStream, hello: Hello, address: str) -> None:
        """Report a stream whose peer said hello."""
        self._streams[stream.stream] = stream
        number = stream.own_number
        self.submit(
            StreamOpened(stream.stream, hello, bool(address), address, number)
        )

    def lost(
        self, stream: PeerStream, hello: Hello | None, failure: Failure
    ) -> None:
        """Report the end of a stream that was open."""
        self._streams.pop(stream.stream, None)
        if stream.inbound:
            self._inbound -= 1
        if hello is not None:
            self.submit(StreamClosed(stream.stream, failure))


class _InboundFactory(Factory):
    """Builds streams that peers open."""

    noisy = False

    def __init__(self, hub: StreamHub) -> None:
        self._hub = hub

    def buildProtocol(self, addr: IAddress | None) -> PeerStream | None:
        return self._hub.accept()


class _OutboundFactory(ClientFactory):
    """Opens one stream and reports when that fails."""

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
