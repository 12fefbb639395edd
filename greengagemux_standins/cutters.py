"""TCP relay on loopback that imitates faults of a link.

The link has two directions: *forward*, from the connecting side to the
target, and *backward*. Each direction delays bytes and connection closes by
its latency, shares its bandwidth among all connections and delivers nothing
while it is cut. As TCP would, it delivers the delayed bytes when the link
recovers.
"""

from collections import deque
from enum import Enum
from typing import Annotated, Any, Literal, cast

import msgspec
from twisted.internet.defer import Deferred, gatherResults, maybeDeferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from . import servers

MS_PER_SECOND = 1000
#: A connection stops reading while more bytes than this are undelivered.
PENDING_LIMIT_BYTES = 1_048_576
CONNECT_TIMEOUT_S = 5

_Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
_Rate = Annotated[float, msgspec.Meta(ge=0)]


class Ending(Enum):
    """How a connection was closed: cleanly or by a reset."""

    finish = 'finish'
    reset = 'reset'


class LinkFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of the link; each ``POST`` replaces all of it.

    A rate of 0 bytes per second means no limit. A latency is one-way.
    """

    forward_ms: _Milliseconds = 0
    backward_ms: _Milliseconds = 0
    forward_bytes_per_second: _Rate = 0
    backward_bytes_per_second: _Rate = 0
    cut: Literal['none', 'forward', 'backward', 'both'] = 'none'


class LinkOrder(
    LinkFaults, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Body of ``POST /_fault``: state of the link and immediate actions.

    ``silence`` and ``reset`` take the number of a connection, or -1 for all
    open connections.
    """

    silence: int | None = None
    reset: int | None = None


class LinkDirection:
    """One direction of the link, shared by all connections.

    ``relayed_bytes`` counts the bytes accepted for delivery.
    """

    def __init__(self, scheduler: servers.Scheduler) -> None:
        """Start without a cut, latency or bandwidth limit."""
        self._scheduler = scheduler
        self._bandwidth_free_at = scheduler.seconds()
        self._pipes: set[Pipe] = set()
        self.latency_ms = float()
        self.bytes_per_second = float()
        self.is_cut = False
        self.relayed_bytes = 0

    def join(self, pipe: 'Pipe') -> None:
        """Add the pipe of a connection."""
        self._pipes.add(pipe)

    def leave(self, pipe: 'Pipe') -> None:
        """Remove the pipe of a connection."""
        self._pipes.discard(pipe)

    def configure(
        self, latency_ms: float, bytes_per_second: float, cut: bool
    ) -> None:
        """Set latency, bandwidth and cut, and deliver what is due."""
        self.latency_ms = latency_ms
        self.bytes_per_second = bytes_per_second
        self.is_cut = cut
        for pipe in tuple(self._pipes):
            pipe.deliver()

    def schedule_arrival(self, size: int) -> float:
        """Reserve bandwidth for a chunk sent now and count its bytes.

        Returns its arrival time in seconds of the scheduler.
        """
        now = self._scheduler.seconds()
        self.relayed_bytes += size
        sent_at = now
        if self.bytes_per_second:
            self._bandwidth_free_at = max(now, self._bandwidth_free_at)
            self._bandwidth_free_at += size / self.bytes_per_second
            sent_at = self._bandwidth_free_at
        return sent_at + self.latency_ms / MS_PER_SECOND


class Pipe:
    """One direction of one connection; it preserves the order of bytes."""

    def __init__(
        self,
        direction: LinkDirection,
        scheduler: servers.Scheduler,
        source: 'End',
    ) -> None:
        """Delay what ``source`` reads; pause it above the limit."""
        self._direction = direction
        self._scheduler = scheduler
        self._source = source
        self._pending: deque[tuple[float, bytes | Ending]] = deque()
        self._pending_bytes = 0
        self._timer: servers.TimedCall | None = None
        self._sink: End | None = None
        self.silent = False
        direction.join(self)

    def set_sink(self, sink: 'End') -> None:
        """Set the end that the bytes are written to."""
        self._sink = sink
        self.deliver()

    def push(self, chunk: 'bytes | Ending') -> None:
        """Enqueue bytes, or the close of the connection."""
        size = len(chunk) if isinstance(chunk, bytes) else 0
        self._pending.append((self._direction.schedule_arrival(size), chunk))
        self._pending_bytes += size
        self._source.set_paused(self._pending_bytes > PENDING_LIMIT_BYTES)
        self.deliver()

    def deliver(self) -> None:
        """Write what is due and set a timer for the next chunk."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._sink is None or self._direction.is_cut or self.silent:
            return
        while (
            self._pending and self._pending[0][0] <= self._scheduler.seconds()
        ):
            self._write(self._pending.popleft()[1])
        if self._pending:
            delay = self._pending[0][0] - self._scheduler.seconds()
            self._timer = self._scheduler.callLater(delay, self.deliver)

    def close(self) -> None:
        """Discard what has not been delivered."""
        self._direction.leave(self)
        self._pending.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _write(self, chunk: 'bytes | Ending') -> None:
        sink = cast('End', self._sink)
        if chunk is Ending.reset:
            sink.abort()
            return
        if chunk is Ending.finish:
            sink.finish()
            return
        self._pending_bytes -= len(chunk)
        self._source.set_paused(self._pending_bytes > PENDING_LIMIT_BYTES)
        sink.send(chunk)


class End(Protocol):
    """One of the two TCP connections of a relayed connection."""

    def __init__(self, relayed: 'Relayed') -> None:
        """Create one end of ``relayed``."""
        self._relayed = relayed
        self._paused = False
        self.is_open = False
        self.was_open = False
        self.outgoing: Pipe | None = None

    def connectionMade(self) -> None:
        """Turn off Nagle's algorithm and report the connection as open."""
        cast('Any', self.transport).setTcpNoDelay(True)
        self.is_open = True
        self.was_open = True
        self._relayed.on_open(self)

    def dataReceived(self, received: bytes) -> None:
        """Enqueue the bytes for the other end."""
        if self.outgoing is not None:
            self.outgoing.push(received)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Enqueue the close for the other end."""
        self.is_open = False
        clean = isinstance(reason.value, ConnectionDone)
        if self.outgoing is not None:
            self.outgoing.push(Ending.finish if clean else Ending.reset)
        self._relayed.on_close()

    def send(self, chunk: bytes) -> None:
        """Write bytes that came from the other end."""
        if self.is_open:
            cast('Any', self.transport).write(chunk)

    def finish(self) -> None:
        """Close the connection once all written bytes are sent."""
        if self.is_open:
            cast('Any', self.transport).loseConnection()

    def abort(self) -> None:
        """Reset the connection."""
        if self.is_open:
            cast('Any', self.transport).abortConnection()

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading."""
        if paused is self._paused or not self.is_open:
            return
        self._paused = paused
        transport = cast('Any', self.transport)
        if paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()


class Relayed:
    """A relayed connection: two ends and a pipe in each direction.

    ``near`` is connected to the connecting side, ``far`` to the target.
    """

    def __init__(self, relay: 'Relay', number: int) -> None:
        """Create both ends; ``number`` identifies the connection."""
        self._relay = relay
        self.number = number
        self.near = End(self)
        self.far = End(self)
        self._forward = Pipe(relay.forward, relay.network, self.near)
        self._backward = Pipe(relay.backward, relay.network, self.far)
        self.near.outgoing = self._forward
        self.far.outgoing = self._backward

    def on_open(self, end: End) -> None:
        """Connect to the target, or deliver the bytes that arrived before."""
        if end is self.near:
            self._relay.connect(self)
            self._backward.set_sink(self.near)
        elif self.number in self._relay.relayed:
            self._forward.set_sink(self.far)
        else:
            self.far.abort()

    def silence(self) -> None:
        """Deliver nothing more in either direction."""
        self._forward.silent = True
        self._backward.silent = True

    def on_close(self) -> None:
        """Remove the connection once both ends are closed."""
        if self.far.was_open and not (self.near.is_open or self.far.is_open):
            self._close()

    def reset(self) -> None:
        """Reset both ends."""
        self._close()
        self.near.abort()
        self.far.abort()

    def _close(self) -> None:
        self._forward.close()
        self._backward.close()
        self._relay.relayed.pop(self.number, None)


class _AcceptFactory(Factory):
    """Accepts the connections of a relay."""

    noisy = False

    def __init__(self, relay: 'Relay') -> None:
        self._relay = relay

    def buildProtocol(self, _address: Any) -> Protocol:
        return self._relay.accept()


class _ConnectFactory(Factory):
    """Connects the far end of a relayed connection to the target."""

    noisy = False

    def __init__(self, relayed: Relayed) -> None:
        self._relayed = relayed

    def buildProtocol(self, _address: Any) -> Protocol:
        return self._relayed.far

    def startedConnecting(self, _connector: Any) -> None:
        """Do nothing; required by ``IClientFactory``."""

    def clientConnectionFailed(self, _connector: Any, _reason: Any) -> None:
        self._relayed.reset()

    def clientConnectionLost(self, _connector: Any, _reason: Any) -> None:
        """Do nothing; ``End.connectionLost`` handles it."""


class Relay:
    """A relay in this process, with an HTTP server for control."""

    def __init__(
        self,
        target: str,
        network: servers.Network,
        port: int = 0,
        control_port: int = 0,
    ) -> None:
        """Relay to ``target``, given as ``host:port``."""
        host, _, target_port = target.rpartition(':')
        self._target = (host, int(target_port))
        self._port = port
        self._listener: Any = None
        self._last_number = 0
        self._control = servers.HttpServer(network, self._respond, control_port)
        self.network = network
        self.faults = LinkFaults()
        self.forward = LinkDirection(network)
        self.backward = LinkDirection(network)
        self.relayed: dict[int, Relayed] = {}

    @property
    def address(self) -> str:
        """Address to connect to, as ``host:port``."""
        return f'{servers.LOOPBACK}:{self._port}'

    @property
    def control_address(self) -> str:
        """Address of the control server, as ``host:port``."""
        return self._control.address

    def start(self) -> Deferred[None]:
        """Start the listeners of the relay and of its control server."""
        self._listener = self.network.listenTCP(
            self._port, _AcceptFactory(self), interface=servers.LOOPBACK
        )
        self._port = self._listener.getHost().port
        self._control.start()
        return maybeDeferred(lambda: None)

    def stop(self) -> Deferred[None]:
        """Close the listeners and reset all connections."""
        stopped = maybeDeferred(self._listener.stopListening)
        for relayed in tuple(self.relayed.values()):
            relayed.reset()
        both = gatherResults([stopped, self._control.stop()])
        return both.addCallback(lambda _: None)

    def order(self, order: LinkOrder) -> None:
        """Apply the link state of an order and run its actions."""
        names = LinkFaults.__struct_fields__
        self.faults = LinkFaults(
            **{name: getattr(order, name) for name in names}
        )
        self.forward.configure(
            order.forward_ms,
            order.forward_bytes_per_second,
            order.cut in {'forward', 'both'},
        )
        self.backward.configure(
            order.backward_ms,
            order.backward_bytes_per_second,
            order.cut in {'backward', 'both'},
        )
        for silenced in self._select(order.silence):
            silenced.silence()
        for dropped in self._select(order.reset):
            dropped.reset()

    def accept(self) -> End:
        """Create a relayed connection and return its near end."""
        self._last_number += 1
        relayed = Relayed(self, self._last_number)
        self.relayed[relayed.number] = relayed
        return relayed.near

    def connect(self, relayed: Relayed) -> None:
        """Connect the far end of a connection to the target."""
        host, port = self._target
        self.network.connectTCP(
            host, port, _ConnectFactory(relayed), timeout=CONNECT_TIMEOUT_S
        )

    def _select(self, number: int | None) -> list[Relayed]:
        if number is None:
            return []
        return [
            relayed
            for relayed in tuple(self.relayed.values())
            if number in {-1, relayed.number}
        ]

    def _respond(self, request: servers.Request) -> None:
        if request.path != b'/_fault':
            servers.reply_json(
                request, servers.NOT_FOUND, {'error': 'no such path'}
            )
            return
        if request.method == b'POST':
            order = servers.read_json(request, LinkOrder)
            if order is None:
                return
            self.order(order)
        servers.reply_json(request, servers.OK, self._report())

    def _report(self) -> dict[str, object]:
        return {
            'link': self.faults,
            'connections': sorted(self.relayed),
            'forward_bytes': self.forward.relayed_bytes,
            'backward_bytes': self.backward.relayed_bytes,
        }
