"""HTTP server plumbing shared by the stand-ins.

A server keeps hold of its connections, so that a fault can make the open ones
silent or reset them while new ones work.
"""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar, cast

import msgspec
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http, resource, server

Request = server.Request
Respond = Callable[[Request], None]

LOOPBACK = '127.0.0.1'
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
TOO_LARGE = 413
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

_Shape = TypeVar('_Shape')


class TimedCall(Protocol):
    """A call in the future, as returned by ``Scheduler.callLater``."""

    def active(self) -> bool:
        """Return whether the call is still to come."""

    def cancel(self) -> None:
        """Prevent the call."""


class Scheduler(Protocol):
    """The time part of a Twisted reactor; ``task.Clock`` in tests."""

    def seconds(self) -> float:
        """Return the current time in seconds."""

    def callLater(
        self, delay: float, function: Callable[..., object], *args: object
    ) -> TimedCall:
        """Call ``function`` after ``delay`` seconds."""


class Network(Scheduler, Protocol):
    """The part of a Twisted reactor that the stand-ins need."""

    def listenTCP(
        self, port: int, factory: Any, backlog: int = ..., interface: str = ...
    ) -> Any:
        """Listen on a TCP port."""

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = ...
    ) -> Any:
        """Connect to a TCP port."""


class Channel(http.HTTPChannel):
    """A connection that can be made silent.

    A silent connection stays open, reads nothing and writes nothing.
    """

    silent = False

    def connectionMade(self) -> None:
        """Register the connection with its site."""
        cast('Any', super()).connectionMade()
        self.factory.channels.add(self)
        if self.factory.over_limit:
            abort(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection from its site."""
        self.factory.channels.discard(self)
        cast('Any', super()).connectionLost(reason)

    def dataReceived(self, received: bytes) -> None:
        """Drop the bytes of a silent connection."""
        if not self.silent:
            cast('Any', super()).dataReceived(received)

    def writeHeaders(self, *args: Any) -> None:
        """Write nothing to a silent connection."""
        if not self.silent:
            cast('Any', super()).writeHeaders(*args)

    def write(self, chunk: bytes) -> None:
        """Write nothing to a silent connection."""
        if not self.silent:
            cast('Any', super()).write(chunk)

    def writeSequence(self, chunks: Any) -> None:
        """Write nothing to a silent connection."""
        if not self.silent:
            cast('Any', super()).writeSequence(chunks)

    def loseConnection(self) -> None:
        """Keep a silent connection open."""
        if not self.silent:
            cast('Any', super()).loseConnection()


class _Leaf(resource.Resource):
    """Gives every request to one function."""

    isLeaf = True

    def __init__(self, respond: Respond) -> None:
        cast('Any', super()).__init__()
        self._respond = respond

    def render(self, request: Request) -> Any:
        self._respond(request)
        return server.NOT_DONE_YET


class _Site(server.Site):
    """A site that knows its connections and limits their number."""

    protocol: Any = Channel

    def __init__(
        self, respond: Respond, network: Network, connection_limit: int
    ) -> None:
        cast('Any', super()).__init__(
            _Leaf(respond), reactor=network, parsePOSTFormSubmission=False
        )
        self.channels: set[Channel] = set()
        self._connection_limit = connection_limit

    @property
    def over_limit(self) -> bool:
        """Whether more connections are open than are allowed."""
        return 0 < self._connection_limit < len(self.channels)


class HttpServer:
    """An HTTP/1.1 server on loopback.

    Port 0 takes a free port; it is kept over a stop and a new start.
    """

    def __init__(
        self,
        network: Network,
        respond: Respond,
        port: int = 0,
        connection_limit: int = 0,
    ) -> None:
        """Serve by ``respond``; a connection above the limit is reset.

        A limit of 0 allows any number.
        """
        self._network = network
        self._port = port
        self._site = _Site(respond, network, connection_limit)
        self._listener: Any = None

    @property
    def address(self) -> str:
        """Address as ``host:port``; the port is known after the start."""
        return f'{LOOPBACK}:{self._port}'

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._listener is not None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._site.channels)

    def start(self) -> None:
        """Begin to listen; raises ``CannotListenError``."""
        self._listener = self._network.listenTCP(
            self._port, self._site, interface=LOOPBACK
        )
        self._port = self._listener.getHost().port

    def stop(self) -> Deferred[None]:
        """Close the listener and reset all connections."""
        listener = self._listener
        self._listener = None
        if listener is None:
            return maybeDeferred(lambda: None)
        stopped: Deferred[None] = maybeDeferred(listener.stopListening)
        self.reset()
        return stopped

    def silence(self) -> int:
        """Make all open connections silent and return their number."""
        for channel in self._site.channels:
            channel.silent = True
            # The idle timeout would reset the connection after a minute.
            cast('Any', channel).setTimeout(None)
        return self.connections

    def reset(self) -> int:
        """Reset all open connections and return their number."""
        channels = tuple(self._site.channels)
        for channel in channels:
            abort(channel)
        return len(channels)


def abort(channel: Any) -> None:
    """Reset a connection without writing what is pending."""
    transport = getattr(channel, 'transport', None)
    if transport is not None:
        transport.abortConnection()


def read_json(request: Request, shape: type[_Shape]) -> _Shape | None:
    """Return the request body as ``shape``.

    Replies 400 with the reason and returns ``None`` when it does not fit.
    """
    try:
        return msgspec.json.decode(body_of(request), type=shape)
    except msgspec.MsgspecError as error:
        reply_json(request, BAD_REQUEST, {'error': str(error)})
    return None


def body_of(request: Request) -> bytes:
    """Return the whole body of a request."""
    stream: Any = request.content
    body: bytes = stream.getvalue() if hasattr(stream, 'getvalue') else b''
    if not body:
        stream.seek(0)
        body = stream.read()
    return body


def reply_json(request: Request, status: int, shape: object) -> None:
    """Write a JSON answer."""
    reply(request, status, msgspec.json.encode(shape), b'application/json')


def reply(
    request: Request,
    status: int,
    body: bytes,
    content_type: bytes = b'text/plain',
) -> None:
    """Write a whole answer with its length; a ``HEAD`` gets no body."""
    sink: Any = request
    headers = request.responseHeaders
    headers.setRawHeaders(b'content-type', [content_type])
    headers.setRawHeaders(b'content-length', [b'%d' % len(body)])
    request.setResponseCode(status)
    if request.method != b'HEAD':
        sink.write(body)
    sink.finish()


def header(request: Request, name: bytes) -> bytes:
    """Return a request header, or nothing when it is missing."""
    found: bytes | None = request.requestHeaders.getRawHeaders(name, [b''])[0]
    return found or b''


def query(request: Request, name: str, default: int) -> int:
    """Return a whole number of the query string.

    Raises ``ValueError`` when it is not a whole number.
    """
    arguments: Any = request.args
    found = arguments.get(name.encode())
    return int(found[0]) if found else default
