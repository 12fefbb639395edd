"""TCP relay on loopback that imitates faults of a link.

Bytes and the end of a connection travel through two lanes, *forward* (from
the connecting side) and *backward*. A lane adds latency, shares a bandwidth
among all connections and holds everything back while it is cut, as TCP does
until the link recovers.
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
#: A connection stops reading above this number of bytes on their way.
HELD_LIMIT_BYTES = 1_048_576
CONNECT_TIMEOUT_S = 5

_Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
_Rate = Annotated[float, msgspec.Meta(ge=0)]


class Ending(Enum):
    """How a connection ended."""

    finish = 'finish'
    reset = 'reset'


class LinkFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of the link; each ``POST`` replaces all of it.

    A rate of 0 bytes a second means no limit.
    """

    forward_ms: _Milliseconds = 0
    backward_ms: _Milliseconds = 0
    forward_bytes_per_second: _Rate = 0
    backward_bytes_per_second: _Rate = 0
    cut: Literal['none', 'forward', 'backward', 'both'] = 'none'


class LinkOrder(
    LinkFaults, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Body of ``POST /_fault``: state of the link and actions to take now.

    ``silence`` and ``reset`` name a connection by its number, or all of the
    open ones by -1.
    """

    silence: int | None = None
    reset: int | None = None


class Lane:
    """One direction of the link, shared by all connections."""

    def __init__(self, scheduler: servers.Scheduler) -> None:
        """Start open, without latency or limit."""
        self._scheduler = scheduler
        self._free_at = scheduler.seconds()
        self._pipes: set[Pipe] = set()
        self.latency_ms = float()
        self.bytes_per_second = float()
        self.is_cut = False
        self.carried_bytes = 0

    def join(self, pipe: 'Pipe') -> None:
        """Add the pipe of a connection."""
        self._pipes.add(pipe)

    def leave(self, pipe: 'Pipe') -> None:
        """Remove the pipe of a connection."""
        self._pipes.discard(pipe)

    def adjust(
        self, latency_ms: float, bytes_per_second: float, cut: bool
    ) -> None:
        """Change the lane; a lane that is no longer cut delivers again."""
        self.latency_ms = latency_ms
        self.bytes_per_second = bytes_per_second
        self.is_cut = cut
        for pipe in tuple(self._pipes):
            pipe.deliver()

    def arrival(self, size: int) -> float:
        """Return when a chunk sent now arrives, in seconds."""
        now = self._scheduler.seconds()
        self.carried_bytes += size
        leaves_at = now
        if self.bytes_per_second:
            self._free_at = max(now, self._free_at)
            self._free_at += size / self.bytes_per_second
            leaves_at = self._free_at
        return leaves_at + self.latency_ms / MS_PER_SECOND


class Pipe:
    """One direction of one connection; order is preserved."""

    def __init__(
        self, lane: Lane, scheduler: servers.Scheduler, source: 'End'
    ) -> None:
        """Carry what ``source`` reads."""
        self._lane = lane
        self._scheduler = scheduler
        self._source = source
        self._held: deque[tuple[float, bytes | Ending]] = deque()
        self._held_bytes = 0
        self._timer: servers.TimedCall | None = None
        self._sink: End | None = None
        self.silent = False
        lane.join(self)

    def attach(self, sink: 'End') -> None:
        """Name the end that receives the bytes."""
        self._sink = sink
        self.deliver()

    def feed(self, chunk: 'bytes | Ending') -> None:
        """Take bytes, or the end of the connection."""
        size = len(chunk) if isinstance(chunk, bytes) else 0
        self._held.append((self._lane.arrival(size), chunk))
        self._held_bytes += size
        self._source.hold(self._held_bytes > HELD_LIMIT_BYTES)
        self.deliver()

    def deliver(self) -> None:
        """Pass on what has arrived and wait for the rest."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._sink is None or self._lane.is_cut or self.silent:
            return
        while self._held and self._held[0][0] <= self._scheduler.seconds():
            self._pass(self._held.popleft()[1])
        if self._held:
            delay = self._held[0][0] - self._scheduler.seconds()
            self._timer = self._scheduler.callLater(delay, self.deliver)

    def close(self) -> None:
        """Drop what is held."""
        self._lane.leave(self)
        self._held.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _pass(self, chunk: 'bytes | Ending') -> None:
        sink = cast('End', self._sink)
        if chunk is Ending.reset:
            sink.abort()
            return
        if chunk is Ending.finish:
            sink.finish()
            return
        self._held_bytes -= len(chunk)
        self._source.hold(self._held_bytes > HELD_LIMIT_BYTES)
        sink.send(chunk)


class End(Protocol):
    """One of the two TCP connections of a relayed connection."""

    def __init__(self, relayed: 'Relayed') -> None:
        """Belong to a relayed connection."""
        self._relayed = relayed
        self._paused = False
        self.is_open = False
        self.was_open = False
        self.outlet: Pipe | None = None

    def connectionMade(self) -> None:
        """Send small writes at once."""
        cast('Any', self.transport).setTcpNoDelay(True)
        self.is_open = True
        self.was_open = True
        self._relayed.opened(self)

    def dataReceived(self, received: bytes) -> None:
        """Send the bytes through the lane."""
        if self.outlet is not None:
            self.outlet.feed(received)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Send the end of the connection through the lane."""
        self.is_open = False
        clean = isinstance(reason.value, ConnectionDone)
        if self.outlet is not None:
            self.outlet.feed(Ending.finish if clean else Ending.reset)
        self._relayed.ended()

    def send(self, chunk: bytes) -> None:
        """Write bytes that came through the lane."""
        if self.is_open:
            cast('Any', self.transport).write(chunk)

    def finish(self) -> None:
        """Close the connection after what was written."""
        if self.is_open:
            cast('Any', self.transport).loseConnection()

    def abort(self) -> None:
        """Reset the connection."""
        if self.is_open:
            cast('Any', self.transport).abortConnection()

    def hold(self, held: bool) -> None:
        """Stop or resume reading."""
        if held is self._paused or not self.is_open:
            return
        self._paused = held
        transport = cast('Any', self.transport)
        if held:
            transport.pauseProducing()
        else:
            transport.resumeProducing()


class Relayed:
    """A relayed connection: two ends and a pipe in each direction."""

    def __init__(self, relay: 'Relay', number: int) -> None:
        """Be known to the relay under a number."""
        self._relay = relay
        self.number = number
        self.near = End(self)
        self.far = End(self)
        self._forward = Pipe(relay.forward, relay.network, self.near)
        self._backward = Pipe(relay.backward, relay.network, self.far)
        self.near.outlet = self._forward
        self.far.outlet = self._backward

    def opened(self, end: End) -> None:
        """Connect to the target, or pass on what was held meanwhile."""
        if end is self.near:
            self._relay.connect(self)
            self._backward.attach(self.near)
        elif self.number in self._relay.relayed:
            self._forward.attach(self.far)
        else:
            self.far.abort()

    def silence(self) -> None:
        """Deliver nothing more in either direction."""
        self._forward.silent = True
        self._backward.silent = True

    def ended(self) -> None:
        """Forget the connection once both ends have been closed."""
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


class _Accepting(Factory):
    """Accepts the connections of a relay."""

    noisy = False

    def __init__(self, relay: 'Relay') -> None:
        self._relay = relay

    def buildProtocol(self, _address: Any) -> Protocol:
        return self._relay.accept()


class _Connecting(Factory):
    """Opens the far end of a relayed connection."""

    noisy = False

    def __init__(self, relayed: Relayed) -> None:
        self._relayed = relayed

    def buildProtocol(self, _address: Any) -> Protocol:
        return self._relayed.far

    def startedConnecting(self, _connector: Any) -> None:
        """Satisfy the interface of client factories."""

    def clientConnectionFailed(self, _connector: Any, _reason: Any) -> None:
        self._relayed.reset()

    def clientConnectionLost(self, _connector: Any, _reason: Any) -> None:
        """Leave the loss to the protocol."""


class Relay:
    """The relay in this process, with its control server."""

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
        self._numbers = 0
        self._control = servers.HttpServer(network, self._respond, control_port)
        self.network = network
        self.faults = LinkFaults()
        self.forward = Lane(network)
        self.backward = Lane(network)
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
        """Begin to listen."""
        self._listener = self.network.listenTCP(
            self._port, _Accepting(self), interface=servers.LOOPBACK
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
        """Change the link and take the actions of an order."""
        names = LinkFaults.__struct_fields__
        self.faults = LinkFaults(
            **{name: getattr(order, name) for name in names}
        )
        self.forward.adjust(
            order.forward_ms,
            order.forward_bytes_per_second,
            order.cut in {'forward', 'both'},
        )
        self.backward.adjust(
            order.backward_ms,
            order.backward_bytes_per_second,
            order.cut in {'backward', 'both'},
        )
        for silenced in self._named(order.silence):
            silenced.silence()
        for dropped in self._named(order.reset):
            dropped.reset()

    def accept(self) -> End:
        """Return the near end of a new connection."""
        self._numbers += 1
        relayed = Relayed(self, self._numbers)
        self.relayed[relayed.number] = relayed
        return relayed.near

    def connect(self, relayed: Relayed) -> None:
        """Open the far end of a connection."""
        host, port = self._target
        self.network.connectTCP(
            host, port, _Connecting(relayed), timeout=CONNECT_TIMEOUT_S
        )

    def _named(self, number: int | None) -> list[Relayed]:
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
            'forward_bytes': self.forward.carried_bytes,
            'backward_bytes': self.backward.carried_bytes,
        }
