"""Real sockets on loopback, with the reactor run by the test."""

import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet import reactor as installed

#: Time after which ``run_reactor_until`` fails.
CONDITION_TIMEOUT_S = 10

reactor: Any = installed


def run_reactor_until(done: Callable[[], Any]) -> None:
    """Run the reactor until a condition holds.

    Raises ``AssertionError`` after the time limit.
    """
    until = time.monotonic() + CONDITION_TIMEOUT_S
    while not done():
        if time.monotonic() > until:
            raise AssertionError('the condition did not hold in time')
        reactor.iterate(0.001)


def turn(count: int = 20) -> None:
    """Run the reactor for a few iterations, so that due work is done."""
    for _ in range(count):
        reactor.iterate(0.001)


class Client:
    """A client socket that reads only by calls of the test."""

    def __init__(self, target: Any) -> None:
        """Connect to a listening port, or use a connected socket."""
        self.socket = target
        if not isinstance(target, socket.socket):
            address = ('127.0.0.1', target.getHost().port)
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
        """Read the available data; return whether the peer closed."""
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
        run_reactor_until(self.read)
        self.socket.close()
        return self.received

    def expect(self, text: bytes) -> None:
        run_reactor_until(lambda: self.read() or text in self.received)
        assert text in self.received
