"""Low-overhead HTTP/1.1 client of the load tool.

It takes whole requests as bytes and returns whole answers. Only answers with
``Content-Length`` or without a body are understood; others count as lost.
"""

import re
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, cast

from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.protocol import (
    Factory,
    Protocol,
    connectionDone,
)
from twisted.python.failure import Failure

CONNECT_TIMEOUT_S = 2
_HEAD_END = b'\r\n\r\n'
_LENGTH = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)
_CLOSE = re.compile(rb'\r\nconnection: *close', re.IGNORECASE)
_STATUS = slice(9, 12)
_BODYLESS = frozenset((204, 304))


class Lost(Enum):
    """Why there is no whole answer."""

    refused = 'connection-refused'
    connection = 'connection-lost'
    malformed = 'malformed'


class Answer(NamedTuple):
    """A whole answer; ``head`` ends before the empty line."""

    status: int
    head: bytes
    body: bytes

    def header(self, pattern: re.Pattern[bytes]) -> str:
        """Return the first group of a header pattern, or nothing."""
        found = pattern.search(self.head)
        return found.group(1).decode('latin-1').strip() if found else ''


Done = Callable[[Answer | Lost], object]


def header_pattern(name: str) -> re.Pattern[bytes]:
    """Return a pattern for ``Answer.header``."""
    return re.compile(rb'\r\n%b:([^\r]*)' % name.encode(), re.IGNORECASE)


class Exchange:
    """One request and the function that takes its answer, called once."""

    def __init__(self, payload: bytes, is_head: bool, done: Done) -> None:
        """Prepare a request; the answer to ``HEAD`` has no body."""
        self.payload = payload
        self.is_head = is_head
        self.connection: Connection | None = None
        self._done: Done | None = done

    @property
    def is_over(self) -> bool:
        """Whether the answer was delivered or is no longer wanted."""
        return self._done is None

    def end(self, answer: Answer | Lost) -> None:
        """Deliver the answer; later calls have no effect."""
        done = self._done
        self._done = None
        if done is not None:
            done(answer)

    def abandon(self) -> None:
        """Close the connection and deliver nothing."""
        self._done = None
        if self.connection is not None:
            self.connection.abort()


class Connection(Protocol):
    """A kept connection that carries one exchange at a time."""

    def __init__(self, pool: 'Pool') -> None:
        """Belong to a pool."""
        self._pool = pool
        self._received = b''
        self._exchange: Exchange | None = None

    def connectionMade(self) -> None:
        """Send small writes at once and report to the pool."""
        cast('Any', self.transport).setTcpNoDelay(True)
        self._pool.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the exchange under way as lost."""
        self._pool.closed(self)
        self._end(Lost.connection)

    def ask(self, exchange: Exchange) -> None:
        """Send a request."""
        self._exchange = exchange
        exchange.connection = self
        cast('Any', self.transport).write(exchange.payload)

    def abort(self) -> None:
        """Close the connection at once."""
        cast('Any', self.transport).abortConnection()

    def dataReceived(self, received: bytes) -> None:
        """Deliver the answer once it is whole."""
        self._received += received
        head, end, rest = self._received.partition(_HEAD_END)
        if not end:
            return
        status = head[_STATUS]
        length = self._length(head, status)
        if length is None:
            self._end(Lost.malformed)
            self.abort()
        elif len(rest) >= length:
            self._whole(Answer(int(status), head, rest[:length]), rest[length:])

    def _length(self, head: bytes, status: bytes) -> int | None:
        if not status.isdigit() or self._exchange is None:
            return None
        if self._exchange.is_head or int(status) in _BODYLESS:
            return 0
        found = _LENGTH.search(head)
        return int(found.group(1)) if found else None

    def _whole(self, answer: Answer, surplus: bytes) -> None:
        self._received = b''
        if surplus or _CLOSE.search(answer.head):
            self._end(answer)
            self.abort()
            return
        exchange = self._exchange
        self._exchange = None
        # The next request may use the connection from within this answer.
        self._pool.freed(self)
        if exchange is not None:
            exchange.end(answer)

    def _end(self, answer: Answer | Lost) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.end(answer)


class Pool(Factory):
    """Connections to one address; the most recently used one is next."""

    noisy = False

    def __init__(self, address: str, network: Any) -> None:
        """Connect to ``host:port`` through a Twisted reactor."""
        self.address = address
        host, _, port = address.rpartition(':')
        self._peer = (host, int(port))
        self._network = network
        self._idle: list[Connection] = []
        self._open: set[Connection] = set()
        self._waiting: list[Exchange] = []
        self.connects = 0

    def warm(self, count: int) -> None:
        """Open connections ahead of use."""
        for _ in range(count):
            self._connect()

    def ask(self, exchange: Exchange) -> None:
        """Send a request on an idle or new connection."""
        if self._idle:
            self._idle.pop().ask(exchange)
            return
        self._waiting.append(exchange)
        self._connect()

    def close(self) -> None:
        """Close all connections."""
        for connection in tuple(self._open):
            connection.abort()

    def opened(self, connection: Connection) -> None:
        """Use a new connection."""
        self._open.add(connection)
        self.freed(connection)

    def freed(self, connection: Connection) -> None:
        """Use a connection whose exchange has ended."""
        while self._waiting:
            exchange = self._waiting.pop(0)
            # An abandoned request must not run after its caller gave up.
            if not exchange.is_over:
                connection.ask(exchange)
                return
        self._idle.append(connection)

    def closed(self, connection: Connection) -> None:
        """Forget a connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def buildProtocol(self, _address: Any) -> Connection:
        """Return the protocol of a new connection."""
        return Connection(self)

    def startedConnecting(self, _connector: Any) -> None:
        """Satisfy the interface of client factories."""

    def clientConnectionLost(self, _connector: Any, _reason: Any) -> None:
        """Leave the loss to the protocol."""

    def clientConnectionFailed(self, _connector: Any, reason: Any) -> None:
        """Fail the request that has waited longest."""
        if self._waiting:
            refused = isinstance(reason.value, Refused)
            self._waiting.pop(0).end(
                Lost.refused if refused else Lost.connection
            )

    def _connect(self) -> None:
        self.connects += 1
        host, port = self._peer
        self._network.connectTCP(host, port, self, timeout=CONNECT_TIMEOUT_S)
