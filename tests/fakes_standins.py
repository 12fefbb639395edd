"""In-memory network for tests of the stand-ins and the load tool."""

from datetime import UTC, datetime, timedelta
from typing import Any

import msgspec
from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionRefusedError,
)
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure


class Transport(StringTransport):
    """A transport that reports its close to its protocol."""

    def __init__(self) -> None:
        super().__init__()
        self.protocol: Any = None
        self.aborted = False

    def setTcpNoDelay(self, _enabled: bool) -> None:
        pass

    def loseConnection(self) -> None:
        self._end(ConnectionDone())

    def abortConnection(self) -> None:
        self.aborted = True
        self._end(ConnectionAborted())

    def _end(self, reason: Exception) -> None:
        if not self.disconnected:
            self.disconnected = True
            self.protocol.connectionLost(Failure(reason))


class Connection:
    """A client connection; by default to the newest listener."""

    def __init__(self, network: MemoryReactorClock, listener: int = -1) -> None:
        factory = network.tcpServers[listener][1]
        self.transport = Transport()
        self.protocol = factory.buildProtocol(None)
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    def send(
        self,
        target: str,
        method: str = 'GET',
        body: bytes = b'',
        **headers: str,
    ) -> None:
        lines = [f'{method} {target} HTTP/1.1', 'Host: test']
        lines += [
            f'{name.replace("_", "-")}: {text}'
            for name, text in headers.items()
        ]
        lines += [f'Content-Length: {len(body)}', '', '']
        self.protocol.dataReceived('\r\n'.join(lines).encode() + body)

    def drop(self) -> None:
        self.transport.loseConnection()

    @property
    def raw(self) -> bytes:
        return self.transport.value()

    def answer(self) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body received, and clear the buffer."""
        head, _, body = self.raw.partition(b'\r\n\r\n')
        status, *lines = head.decode().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in lines)
        self.transport.clear()
        return int(status.split()[1]), headers, body

    def json(self, target: str, method: str = 'GET', **shape: Any) -> Any:
        """Send ``shape`` as JSON and return the decoded response body."""
        self.send(target, method, msgspec.json.encode(shape))
        return msgspec.json.decode(self.answer()[2])


class PipeTransport(Transport):
    """A transport that delivers to its peer in the next reactor turn."""

    def __init__(self, network: MemoryReactorClock) -> None:
        super().__init__()
        self.network = network
        self.peer: Any = None

    def write(self, data: bytes) -> None:
        if data and not self.disconnected:
            self.network.callLater(0, self.peer.receive, data)

    def writeSequence(self, data: Any) -> None:
        self.write(b''.join(data))

    def receive(self, data: bytes) -> None:
        if not self.disconnected:
            self.protocol.dataReceived(data)

    def _end(self, reason: Exception) -> None:
        if not self.disconnected:
            super()._end(reason)
            self.network.callLater(0, self.peer._end, reason)


class PipeNetwork(MemoryReactorClock):
    """An in-memory network; it connects clients to its own listeners."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[int, Any] = {}

    def listenTCP(self, port: int, factory: Any, *args: Any, **kw: Any) -> Any:
        port = port or 1 + len(self.listeners)
        self.listeners[port] = factory
        return super().listenTCP(port, factory, *args, **kw)

    def connectTCP(
        self, host: str, port: int, factory: Any, *args: Any, **kw: Any
    ) -> Any:
        if port not in self.listeners:
            refusal = Failure(ConnectionRefusedError())
            return self.callLater(
                0, factory.clientConnectionFailed, None, refusal
            )
        near, far = PipeTransport(self), PipeTransport(self)
        near.peer = far
        far.peer = near
        far.protocol = self.listeners[port].buildProtocol(None)
        near.protocol = factory.buildProtocol(None)
        far.protocol.makeConnection(far)
        near.protocol.makeConnection(near)
        return None

    def run(self, seconds: float, step: float = 0.001) -> None:
        """Advance in small steps, so that every scheduled call runs."""
        for _ in range(round(seconds / step)):
            self.advance(step)

    def wall(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> timedelta:
        return timedelta(seconds=self.seconds())
