"""HTTP server shared by the stand-ins.

A server tracks its connections, so that a fault can make the open ones
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
        """Return whether the call is still scheduled."""

    def cancel(self) -> None:
        """Cancel the call."""


class Scheduler(Protocol):
    """The ``IReactorTime`` part of a reactor; ``task.Clock`` in tests."""

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

    A silent connection stays open, discards all input and writes nothing.
    """

    silent = False

    def connectionMade(self) -> None:
        """Register the connection; reset it above the connection limit."""
        cast('Any', super()).connectionMade()
        self.factory.channels.add(self)
        if self.factory.over_limit:
            abort(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Unregister the connection."""
        self.factory.channels.discard(self)
        cast('Any', super()).connectionLost(reason)

    def dataReceived(self, received: bytes) -> None:
        """Discard the bytes received on a silent connection."""
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
    """Passes every request to one function."""

    isLeaf = True

    def __init__(self, respond: Respond) -> None:
        cast('Any', super()).__init__()
        self._respond = respond

    def render(self, request: Request) -> Any:
        self._respond(request)
        return server.NOT_DONE_YET


class _Site(server.Site):
    """A site that tracks its connections and limits their number."""

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

    Port 0 selects a free port, which later starts use again.
    """

    def __init__(
        self,
        network: Network,
        respond: Respond,
        port: int = 0,
        connection_limit: int = 0,
    ) -> None:
        """Handle requests with ``respond``.

        A new connection above ``connection_limit`` is reset; a limit of 0
        allows any number.
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
        """Start listening; raises ``CannotListenError``."""
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

    def end(self) -> None:
        """Close the listener and all connections, as the end of a process."""
        listener = self._listener
        self._listener = None
        if listener is not None:
            listener.stopListening()
        for channel in tuple(self._site.channels):
            cast('Any', channel).transport.loseConnection()

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
    """Reset a connection and discard its unsent bytes."""
    transport = getattr(channel, 'transport', None)
    if transport is not None:
        transport.abortConnection()


def read_json(request: Request, body_type: type[_Shape]) -> _Shape | None:
    """Return the request body decoded as ``body_type``.

    If it is invalid, sends status 400 with the error and returns ``None``.
    """
    try:
        return msgspec.json.decode(body_of(request), type=body_type)
    except msgspec.MsgspecError as error:
        reply_json(request, BAD_REQUEST, {'error': str(error)})
    return None


def body_of(request: Request) -> bytes:
    """Return the complete body of a request."""
    stream: Any = request.content
    body: bytes = stream.getvalue() if hasattr(stream, 'getvalue') else b''
    if not body:
        stream.seek(0)
        body = stream.read()
    return body


def reply_json(request: Request, status: int, body: object) -> None:
    """Send a complete response with ``body`` as JSON."""
    reply(request, status, msgspec.json.encode(body), b'application/json')


def reply(
    request: Request,
    status: int,
    body: bytes,
    content_type: bytes = b'text/plain',
) -> None:
    """Send a complete response with its length; ``HEAD`` gets no body."""
    sink: Any = request
    headers = request.responseHeaders
    headers.setRawHeaders(b'content-type', [content_type])
    headers.setRawHeaders(b'content-length', [b'%d' % len(body)])
    request.setResponseCode(status)
    if request.method != b'HEAD':
        sink.write(body)
    sink.finish()


def header(request: Request, name: bytes) -> bytes:
    """Return a request header, or empty bytes if it is missing."""
    found: bytes | None = request.requestHeaders.getRawHeaders(name, [b''])[0]
    return found or b''


def query(request: Request, name: str, default: int) -> int:
    """Return an integer parameter of the query string, or ``default``.

    Raises ``ValueError`` if the value is not an integer.
    """
    arguments: Any = request.args
    found = arguments.get(name.encode())
    return int(found[0]) if found else default
