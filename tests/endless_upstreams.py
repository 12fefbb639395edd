"""An upstream process that sends bytes without end.

The last two path segments of a request name the form of the bytes and their
pace. Any other request is answered with ``ok``. It prints its port, and a line
whenever a connection begins to send without end or is closed by the client.
"""

import itertools
import os
import re
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from contextlib import suppress
from typing import Any

from sockets import run_reactor_until

#: Size of one write at full speed.
BLOCK_BYTES = 256 * 1024
#: Size and interval of the writes of a trickle.
TRICKLE_BYTES = 7
TRICKLE_INTERVAL_S = 0.01
#: Time between a complete response and the bytes after it.
LATE_S = 0.05

_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n'
_OK = _HEAD + b'Content-Length: 2\r\n\r\nok'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_OTHER = b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\n'
#: Start of the bytes and what is repeated after it, by the name of the form.
FORMS: dict[str, tuple[bytes, bytes]] = {
    'status-line': (b'HTTP/1.1 200 ', b'x'),
    'header-line': (_HEAD + b'A: ', b'x'),
    'header-lines': (_HEAD, b'A: x\r\n'),
    'informational': (b'', b'HTTP/1.1 100 C\r\n\r\n'),
    'early-hints': (b'', b'HTTP/1.1 103 E\r\n' + b'A: x\r\n' * 99 + b'\r\n'),
    'switch': (b'HTTP/1.1 101 S\r\n\r\n', b'x'),
    'tunnel': (_HEAD + b'\r\n', b'x'),
    'garbage': (b'', b'x'),
    'after-length': (_OK, b'x'),
    'late-after-length': (_OK, b'x'),
    'same-answers': (_OK, b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx'),
    'after-chunks': (_CHUNKED + b'2\r\nok\r\n0\r\n\r\n', b'x'),
    'close-delimited': (_HEAD + b'\r\n', b'x'),
    'small-chunks': (_CHUNKED, b'1\r\nx\r\n'),
    'large-chunks': (_CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
    'chunk-size': (_CHUNKED, b'0'),
    'chunk-extension': (_CHUNKED + b'1;', b'x'),
    'chunk-extensions': (_CHUNKED, b'1;' + b'x' * 999 + b'\r\nx\r\n'),
    'trailer-line': (_CHUNKED + b'0\r\nA: ', b'x'),
    'trailer-lines': (_CHUNKED + b'0\r\n', b'A: x\r\n'),
    'other-answers': (b'', _OTHER + b'Content-Length: 0\r\n\r\n'),
    'other-bodies': (
        b'',
        _OTHER + b'Content-Length: 9999\r\n\r\n' + b'x' * 9999,
    ),
    'other-chunked': (
        b'',
        _OTHER + b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n',
    ),
}
#: Forms that begin with a complete response.
WHOLE = frozenset(
    ('after-length', 'late-after-length', 'same-answers', 'after-chunks')
)
FAST = 'fast'
SLOW = 'slow'
#: Stops below the limit of a response, and keeps the connection open.
HELD = 'held'
HELD_BYTES = 1_000_000


class EndlessUpstream:
    """The process of the upstream, and what it has printed."""

    def __init__(self) -> None:
        self.process: Any = subprocess.Popen(
            [sys.executable, __file__], stdout=subprocess.PIPE
        )
        self.port = int(self.process.stdout.readline())
        os.set_blocking(self.process.stdout.fileno(), False)
        self._output = b''
        self.started: Counter[str] = Counter()
        self.ended: Counter[str] = Counter()

    @property
    def address(self) -> str:
        return f'127.0.0.1:{self.port}'

    def read(self) -> None:
        with suppress(BlockingIOError):
            self._output += os.read(self.process.stdout.fileno(), 65536)
        *lines, self._output = self._output.split(b'\n')
        counters = {'start': self.started, 'end': self.ended}
        for line in lines:
            what, form = line.decode().split()
            counters[what][form] += 1

    def has_ended(self, form: str, count: int = 1) -> bool:
        """Return whether the client closed this many endless connections."""
        self.read()
        return self.ended[form] >= count

    def wait_started(self, form: str, count: int = 1) -> None:
        run_reactor_until(lambda: self.read() or self.started[form] >= count)

    def close(self) -> None:
        self.process.kill()
        self.process.communicate()


def _print(*words: str) -> None:
    os.write(sys.stdout.fileno(), (' '.join(words) + '\n').encode())


def _serve(connection: socket.socket) -> None:
    with suppress(ConnectionError):
        while True:
            _answer(connection, _read_head(connection))


def _read_head(connection: socket.socket) -> bytes:
    received = b''
    while b'\r\n\r\n' not in received:
        received += _receive(connection)
    head, _, body = received.partition(b'\r\n\r\n')
    length = re.search(rb'(?i)content-length: (\d+)', head)
    missing = int(length[1]) - len(body) if length else 0
    while missing > 0:
        missing -= len(_receive(connection))
    return head


def _receive(connection: socket.socket) -> bytes:
    received = connection.recv(65536)
    if not received:
        raise ConnectionResetError
    return received


def _answer(connection: socket.socket, head: bytes) -> None:
    found = re.search(rb'(?i)\r\nrequest-id: ([^\r]+)', head)
    tag = found[1] if found else b'none'
    form, pace = head.split()[1].decode().split('/')[-2:]
    if form not in FORMS:
        connection.sendall(_OK % tag)
        return
    _print('start', form)
    try:
        _send_without_end(connection, form, pace, tag)
    finally:
        _print('end', form)


def _send_without_end(
    connection: socket.socket, form: str, pace: str, tag: bytes
) -> None:
    first, unit = FORMS[form]
    with suppress(TypeError):
        first %= tag
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if form.startswith('late'):
        connection.sendall(first)
        time.sleep(LATE_S)
        first = b''
    if pace == HELD:
        connection.sendall(first + unit * (HELD_BYTES // len(unit)))
        _receive(connection)
    if pace == FAST:
        block = unit * (BLOCK_BYTES // len(unit))
        connection.sendall(first)
        while True:
            connection.sendall(block)
    for start in itertools.count(0, TRICKLE_BYTES):
        end = start + TRICKLE_BYTES
        wire = first[start:end]
        while len(wire) < TRICKLE_BYTES:
            place = (start + len(wire) - len(first)) % len(unit)
            wire += unit[place : place + TRICKLE_BYTES - len(wire)]
        connection.sendall(wire)
        time.sleep(TRICKLE_INTERVAL_S)


def _main() -> None:
    listener = socket.create_server(('127.0.0.1', 0), backlog=100)
    _print(str(listener.getsockname()[1]))
    while True:
        connection = listener.accept()[0]
        threading.Thread(target=_serve, args=[connection], daemon=True).start()


if __name__ == '__main__':
    _main()
