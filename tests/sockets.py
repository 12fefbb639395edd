"""Real sockets on loopback, with the reactor turned by the test."""

import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet import reactor as installed

#: Ends a test that waits for something that never comes.
GIVE_UP_S = 10

reactor: Any = installed


def turn_until(done: Callable[[], Any]) -> None:
    """Turn the reactor until a condition holds."""
    until = time.monotonic() + GIVE_UP_S
    while not done():
        if time.monotonic() > until:
            raise AssertionError('the condition never held')
        reactor.iterate(0.001)


def turn(count: int = 20) -> None:
    """Turn the reactor a few times, so that anything due happens."""
    for _ in range(count):
        reactor.iterate(0.001)


class Client:
    """A plain socket that reads only when told to."""

    def __init__(self, end: Any) -> None:
        """Connect to a port, or take over a connected socket."""
        self.socket = end
        if not isinstance(end, socket.socket):
            address = ('127.0.0.1', end.getHost().port)
            self.socket = socket.create_connection(address)
        self.socket.setblocking(False)
        self.received = b''
        self.ended = False

    def send(self, wire: bytes) -> 'Client':
        while wire:
            with suppress(BlockingIOError):
                wire = wire[self.socket.send(wire) :]
            reactor.iterate(0)
        return self

    def read(self) -> bool:
        """Read what has arrived; return whether the peer closed."""
        while not self.ended:
            try:
                data = self.socket.recv(65536)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                data = b''
            self.received += data
            self.ended = not data
        return True

    def read_all(self) -> bytes:
        turn_until(self.read)
        self.socket.close()
        return self.received

    def expect(self, text: bytes) -> None:
        turn_until(lambda: self.read() or text in self.received)
        assert text in self.received
