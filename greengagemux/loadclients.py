"""Low-overhead HTTP/1.1 client of the load tool.

It sends requests that are already encoded and returns complete responses. Only
responses with ``Content-Length`` or without a body are supported; any other
response is reported as ``Lost.malformed``.
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
    """Why there is no complete response."""

    refused = 'connection-refused'
    connection = 'connection-lost'
    malformed = 'malformed'


class Answer(NamedTuple):
    """A complete response; ``head`` ends before the empty line."""

    status: int
    head: bytes
    body: bytes

    def header(self, pattern: re.Pattern[bytes]) -> str:
        """Return a header's value, or '' if the header is absent."""
        found = pattern.search(self.head)
        return found.group(1).decode('latin-1').strip() if found else ''


Callback = Callable[[Answer | Lost], object]


def header_pattern(name: str) -> re.Pattern[bytes]:
    """Return a pattern that ``Answer.header`` takes for a header name."""
    return re.compile(rb'\r\n%b:([^\r]*)' % name.encode(), re.IGNORECASE)


class Exchange:
    """One request and the callback for its response, called at most once."""

    def __init__(
        self, payload: bytes, is_head: bool, callback: Callback
    ) -> None:
        """Prepare a request; the response to ``HEAD`` has no body."""
        self.payload = payload
        self.is_head = is_head
        self.connection: Connection | None = None
        self._callback: Callback | None = callback

    @property
    def is_over(self) -> bool:
        """Whether the callback was called or the request abandoned."""
        return self._callback is None

    def end(self, answer: Answer | Lost) -> None:
        """Call the callback; later calls have no effect."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            callback(answer)

    def abandon(self) -> None:
        """Close the connection without calling the callback."""
        self._callback = None
        if self.connection is not None:
            self.connection.abort()


class Connection(Protocol):
    """A persistent connection that carries one exchange at a time."""

    def __init__(self, pool: 'Pool') -> None:
        """Create the protocol for a connection of a pool."""
        self._pool = pool
        self._received = b''
        self._exchange: Exchange | None = None

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm and add the connection to the pool."""
        cast('Any', self.transport).setTcpNoDelay(True)
        self._pool.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the exchange in progress as lost."""
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
        """End the exchange once its response is complete."""
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
            self._complete(
                Answer(int(status), head, rest[:length]), rest[length:]
            )

    def _length(self, head: bytes, status: bytes) -> int | None:
        if not status.isdigit() or self._exchange is None:
            return None
        if self._exchange.is_head or int(status) in _BODYLESS:
            return 0
        found = _LENGTH.search(head)
        return int(found.group(1)) if found else None

    def _complete(self, answer: Answer, surplus: bytes) -> None:
        self._received = b''
        if surplus or _CLOSE.search(answer.head):
            self._end(answer)
            self.abort()
            return
        exchange = self._exchange
        self._exchange = None
        # Released first: the callback may send the next request on it.
        self._pool.release(self)
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
        """Create an empty pool for ``host:port`` on a Twisted reactor."""
        self.address = address
        host, _, port = address.rpartition(':')
        self._peer = (host, int(port))
        self._network = network
        self._idle: list[Connection] = []
        self._open: set[Connection] = set()
        self._queued: list[Exchange] = []
        self.connection_attempts = 0

    def warm(self, count: int) -> None:
        """Open connections before the first request."""
        for _ in range(count):
            self._connect()

    def ask(self, exchange: Exchange) -> None:
        """Send a request on an idle or new connection."""
        if self._idle:
            self._idle.pop().ask(exchange)
            return
        self._queued.append(exchange)
        self._connect()

    def close(self) -> None:
        """Close all connections."""
        for connection in tuple(self._open):
            connection.abort()

    def opened(self, connection: Connection) -> None:
        """Add a new connection and use it for a queued request."""
        self._open.add(connection)
        self.release(connection)

    def release(self, connection: Connection) -> None:
        """Send the oldest queued request on a connection, or keep it idle."""
        while self._queued:
            exchange = self._queued.pop(0)
            # An abandoned request must not run: it already counts as hung.
            if not exchange.is_over:
                connection.ask(exchange)
                return
        self._idle.append(connection)

    def closed(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def buildProtocol(self, _address: Any) -> Connection:
        """Return the protocol of a new connection."""
        return Connection(self)

    def startedConnecting(self, _connector: Any) -> None:
        """Do nothing; reactors call this on client factories."""

    def clientConnectionLost(self, _connector: Any, _reason: Any) -> None:
        """Do nothing; ``Connection.connectionLost`` handles the loss."""

    def clientConnectionFailed(self, _connector: Any, reason: Any) -> None:
        """Fail the oldest queued request."""
        if self._queued:
            refused = isinstance(reason.value, Refused)
            self._queued.pop(0).end(
                Lost.refused if refused else Lost.connection
            )

    def _connect(self) -> None:
        self.connection_attempts += 1
        host, port = self._peer
        self._network.connectTCP(host, port, self, timeout=CONNECT_TIMEOUT_S)
