"""Callers that use open connections until their daemon is gone.

They pipeline reads, then go on with single requests on the same connection.
"""

import math
import random
import re
import socket
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, cast

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from greengagemux.loadclients import Answer, header_pattern
from greengagemux.loads import GRACE_S

from .platformfleets import HOST, READ_PREFIX, WRITE_PREFIX
from .platformupstreams import response_body
from .servers import LOOPBACK, OK, UNAVAILABLE

#: Time that a caller gives a request.
BUDGET_S: Final = 2.5

_CONNECT_LIMIT_S: Final = 1
_RETRY_AFTER_S: Final = 0.2
_WRITE_SHARE: Final = 0.2
_PIPELINED_SHARE: Final = 0.4
#: Share of pipelined reads of which a part follows while the first ones run.
_STAGGERED_SHARE: Final = 0.3
_PIPELINED: Final = range(2, 7)
#: Share of turns with large responses that are read after a pause.
_SLOW_SHARE: Final = 0.03
_SLOW_READS: Final = 7
_SLOW_S: Final = (0.5, 2)
#: Receive buffer of a connection; what the kernel holds was not read either.
_RECEIVE_BYTES: Final = 128 * 1024
#: Share of pauses that last longer than the notice of a planned stop.
_LONG_PAUSE_SHARE: Final = 0.03
_LONG_PAUSE_S: Final = 2.5
_MEAN_PAUSE_S: Final = 0.05
_LENGTH: Final = header_pattern('content-length')
_REQUEST_ID: Final = header_pattern('request-id')
_RESPONSE_SEAL: Final = header_pattern('response-seal')
_CLOSES: Final = re.compile(rb'\r\nconnection: *close', re.IGNORECASE)
_STATUS: Final = slice(9, 12)
_MS_PER_SECOND: Final = 1000


class End(Enum):
    """How a call ended; ``behind_close`` follows a response that closes."""

    waiting = 'waiting'
    answered = 'answered'
    wrong = 'wrong'
    closed = 'closed'
    behind_close = 'behind-close'
    hung = 'hung'
    #: Waited behind a call that hung.
    given_up = 'given-up'


@dataclass(eq=False, slots=True)
class Call:
    """One request of a caller; times are those of the reactor."""

    request: str
    daemon: str
    connection: str
    method: str
    sent_s: float
    end: End = End.waiting
    status: int = 0
    ended_s: float = math.inf
    #: Whether the response has ``LARGE_BYTES``.
    large: bool = False

    @property
    def target(self) -> str:
        """Path of the request; the body of its response."""
        prefix = READ_PREFIX if self.method == 'GET' else WRITE_PREFIX
        size = 'large-' if self.large else ''
        return f'{prefix}{size}{self.request}'

    def encoded(self) -> bytes:
        """Return the request as it is sent."""
        length = 'Content-Length: 0\r\n' if self.method == 'POST' else ''
        return (
            f'{self.method} {self.target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {self.request}\r\n{length}'
            f'Deadline-Ms: {BUDGET_S * _MS_PER_SECOND:.0f}\r\n\r\n'
        ).encode()

    def settle(self, end: End, now_s: float) -> None:
        """Keep the first end."""
        if self.end is End.waiting:
            self.end = end
            self.ended_s = now_s

    def answer(self, answer: Answer, now_s: float) -> None:
        """End with a response, which must belong to this request."""
        self.status = answer.status
        echoed = answer.header(_REQUEST_ID)
        own = echoed in {'', self.request}
        if answer.status == OK:
            own = (
                echoed == self.request
                and answer.body == response_body(self.target)
                and bool(answer.header(_RESPONSE_SEAL))
            )
        self.settle(End.answered if own else End.wrong, now_s)


class Connection(Protocol):
    """A connection with calls in the order in which they were sent."""

    def __init__(self, network: Any) -> None:
        """Take the time from the reactor."""
        self.usable = True
        #: Bytes that belong to no call.
        self.surplus = b''
        self._network = network
        self._received = b''
        self._waiting: deque[Call] = deque()
        self._idle: Deferred[None] | None = None

    def send(self, calls: Sequence[Call]) -> None:
        """Send requests without waiting for responses."""
        self._waiting.extend(calls)
        wire = b''.join(call.encoded() for call in calls)
        cast('Any', self.transport).write(wire)
        for call in calls:
            self._network.callLater(BUDGET_S + GRACE_S, self._give_up, call)

    def connectionMade(self) -> None:
        """Let the kernel hold little that was not read."""
        cast('Any', self.transport).getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES
        )

    def read_later(self, pause_s: float) -> None:
        """Read nothing for a time."""
        transport = cast('Any', self.transport)
        transport.pauseProducing()
        self._network.callLater(pause_s, transport.resumeProducing)

    def settled(self) -> Deferred[None]:
        """Return a deferred that fires when no call waits."""
        if not self._waiting:
            return succeed(None)
        self._idle = Deferred()
        return self._idle

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        cast('Any', self.transport).abortConnection()

    def dataReceived(self, received: bytes) -> None:
        """End each call whose response is complete."""
        self._received += received
        while self._received and self.usable:
            answer = self._next_answer()
            if answer is None:
                return
            if not self._waiting:
                self.surplus = answer.head
                self.close()
                return
            call = self._waiting.popleft()
            call.answer(answer, self._network.seconds())
            if _CLOSES.search(answer.head):
                self._received = b''
                self.close()
                self._end_all(End.behind_close)
        self._check_idle()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the calls that wait."""
        self.usable = False
        self._end_all(End.closed)

    def _next_answer(self) -> Answer | None:
        head, mark, rest = self._received.partition(b'\r\n\r\n')
        answer = Answer(int(head[_STATUS] or 0), head, b'') if mark else None
        if answer is None:
            return None
        length = int(answer.header(_LENGTH) or 0)
        if len(rest) < length:
            return None
        self._received = rest[length:]
        return answer._replace(body=rest[:length])

    def _give_up(self, call: Call) -> None:
        if call.end is not End.waiting:
            return
        call.settle(End.hung, self._network.seconds())
        self.close()
        self._end_all(End.given_up)

    def _end_all(self, end: End) -> None:
        for call in self._waiting:
            call.settle(end, self._network.seconds())
        self._waiting.clear()
        self._check_idle()

    def _check_idle(self) -> None:
        idle = self._idle
        if idle is not None and not self._waiting:
            self._idle = None
            idle.callback(None)


class Caller:
    """Sends requests to one daemon, on one connection after the other."""

    def __init__(self, network: Any, daemon: str, port: int, seed: str) -> None:
        """Prepare; ``seed`` is also the prefix of the request ids."""
        self.calls: list[Call] = []
        self.surplus: list[str] = []
        self._network = network
        self._daemon = daemon
        self._port = port
        self._seed = seed
        self._rng = random.Random(seed)
        self._connections = 0
        self._ending = False

    def finish(self) -> None:
        """Send nothing more; ``run`` then ends with its last call."""
        self._ending = True

    async def run(self) -> None:
        """Send requests until ``finish``."""
        while not self._ending:
            connection = await self._connect()
            if connection is None:
                await pause(self._network, _RETRY_AFTER_S)
                continue
            while connection.usable and not self._ending:
                await self._turn(connection)
            if connection.surplus:
                self.surplus.append(f'{self._daemon}: {connection.surplus!r}')
            connection.close()

    async def _connect(self) -> Connection | None:
        endpoint = TCP4ClientEndpoint(
            self._network, LOOPBACK, self._port, timeout=_CONNECT_LIMIT_S
        )
        self._connections += 1
        connection = Connection(self._network)
        try:
            await connectProtocol(endpoint, connection)
        except ConnectError:
            return None
        return connection

    async def _turn(self, connection: Connection) -> None:
        """Send one request or several reads, and wait for their ends."""
        if self._rng.random() < _SLOW_SHARE:
            connection.read_later(self._rng.uniform(*_SLOW_S))
            reads = [self._call('GET', large=True) for _ in range(_SLOW_READS)]
            connection.send(reads)
        elif self._rng.random() >= _PIPELINED_SHARE:
            is_write = self._rng.random() < _WRITE_SHARE / (
                1 - _PIPELINED_SHARE
            )
            connection.send([self._call('POST' if is_write else 'GET')])
        else:
            await self._pipeline(connection)
        await connection.settled()
        pause_s = self._rng.expovariate(1 / _MEAN_PAUSE_S)
        if self._rng.random() < _LONG_PAUSE_SHARE:
            pause_s = _LONG_PAUSE_S
        if self.calls[-1].status == UNAVAILABLE:
            pause_s = max(pause_s, _RETRY_AFTER_S)
        await pause(self._network, pause_s)

    async def _pipeline(self, connection: Connection) -> None:
        count = self._rng.choice(_PIPELINED)
        first = count
        if self._rng.random() < _STAGGERED_SHARE:
            first = self._rng.randrange(1, count)
        connection.send([self._call('GET') for _ in range(first)])
        if first < count:
            await pause(self._network, self._rng.uniform(0.01, 0.15))
        if connection.usable:
            connection.send([self._call('GET') for _ in range(count - first)])

    def _call(self, method: str, *, large: bool = False) -> Call:
        call = Call(
            f'{self._seed}-{len(self.calls)}',
            self._daemon,
            f'{self._seed}/{self._connections}',
            method,
            self._network.seconds(),
            large=large,
        )
        self.calls.append(call)
        return call


def pause(network: Any, pause_s: float) -> Deferred[None]:
    """Return a deferred that fires after a time."""
    return deferLater(network, pause_s, _nothing)


def _nothing() -> None:
    """Do nothing at the end of a pause."""
