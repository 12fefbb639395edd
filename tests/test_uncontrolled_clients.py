"""Guards daemon processes against clients that send more than they may.

Each form of input comes from a small crowd at lowered limits. The process must
live, stay within the memory and the file descriptors that its settings name,
and answer one ordinary request afterwards, while the crowd is still connected.
"""

import hashlib
import json
import logging
import os
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from itertools import repeat
from pathlib import Path
from typing import Any

import pytest
from sockets import reactor
from test_platform_daemon import HOST, _Daemon

from greengagemux_standins.platformfleets import configuration
from greengagemux_standins.platformupstreams import PlatformUpstream, Work
from greengagemux_standins.stores import Store

logger = logging.getLogger(__name__)

#: Memory and file descriptors of the host in the settings of each daemon.
MEMORY_MB = 120
MAX_FDS = 400
LIMITS = f'\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n'
#: Largest body of a request in the configuration.
BODY_LIMIT_BYTES = 2 * 1024 * 1024
#: Connections of a crowd; their bodies together exceed the memory of the host.
CROWD = 64
#: Connections of the crowd that opens more than there are descriptors.
CONNECTIONS = 500
#: Of this many connections one sends its body to the end.
WHOLE_INTERVAL = 4
#: Sent on each connection whose body is above the limit.
ENDLESS_BYTES = 64 * 1024 * 1024
#: Size of a piece of a body, and of a large chunk.
PIECE_BYTES = 32 * 1024
#: Bodies in chunks of one byte: as many in each piece, and in each body.
SMALL_CHUNKS = 4096
SMALL_BODY_BYTES = 16 * SMALL_CHUNKS
#: Longest time for which a crowd sends. What it has not sent by then stays
#: unsent.
CROWD_S = 8
#: Time after that in which the process reads what the kernel has accepted. It
#: ends before unfinished requests are cut off as slow.
SETTLE_S = 4
#: A process that answers no ordinary request in this time counts as hung.
HUNG_S = 40

ZEROS = memoryview(bytes(BODY_LIMIT_BYTES))
SMALL_PIECE = b'1\r\nx\r\n' * SMALL_CHUNKS
LAST_CHUNK = b'0\r\n\r\n'
CHUNKED = 'Transfer-Encoding: chunked'

Pieces = Iterable[bytes | memoryview]


class _CountingUpstream(PlatformUpstream):
    """An upstream that keeps the size and the digest of each body."""

    def __init__(self, work: Callable[[], Work] = Work) -> None:
        super().__init__(reactor, 'i-1', work)
        self.bodies: list[tuple[int, str]] = []

    def _respond(self, request: Any) -> None:
        body = request.content.read()
        self.bodies.append((len(body), hashlib.sha256(body).hexdigest()))
        super()._respond(request)


class _Sender:
    """One connection of a crowd, which sends a piece in each step."""

    def __init__(self, daemon: _Daemon, pieces: Pieces) -> None:
        self.socket = socket.create_connection((HOST, daemon.ports['outbound']))
        self.socket.setblocking(False)
        self._pieces = iter(pieces)
        self._piece = memoryview(b'')
        self.done = False

    def step(self) -> None:
        if not self._piece:
            self._piece = memoryview(next(self._pieces, b''))
            self.done = not self._piece
        try:
            self._piece = self._piece[self.socket.send(self._piece) :]
        except BlockingIOError:
            return
        except OSError:
            # The daemon has closed the connection.
            self.done = True


def _head(tag: str, framing: str, host: str = 'shop.example') -> bytes:
    return (
        f'POST /post/{tag} HTTP/1.1\r\nHost: {host}\r\n'
        f'Request-Id: {tag}\r\nDeadline-Ms: 3000\r\n{framing}\r\n\r\n'
    ).encode()


def _chunk(data: bytes | memoryview) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


def _is_whole(number: int) -> bool:
    return number % WHOLE_INTERVAL == 0


def _announced(number: int) -> Pieces:
    """A body far over the limit, with its length."""
    yield _head(f'c-{number}', f'Content-Length: {ENDLESS_BYTES}')
    yield from repeat(ZEROS[:PIECE_BYTES], ENDLESS_BYTES // PIECE_BYTES)


def _endless(number: int) -> Pieces:
    """A body without a length: in chunks, or with nothing that frames it."""
    chunked = number % 2
    yield _head(f'c-{number}', CHUNKED if chunked else 'Accept: text/plain')
    piece = ZEROS[:PIECE_BYTES]
    yield from repeat(
        _chunk(piece) if chunked else piece, ENDLESS_BYTES // PIECE_BYTES
    )


def _whole(number: int) -> Pieces:
    """A body of the permitted size at once."""
    yield _head(f'c-{number}', f'Content-Length: {BODY_LIMIT_BYTES}')
    yield ZEROS


def _in_pieces(number: int) -> Pieces:
    """The same piece by piece; most lack the last byte."""
    yield _head(f'c-{number}', f'Content-Length: {BODY_LIMIT_BYTES}')
    for at in range(0, BODY_LIMIT_BYTES - PIECE_BYTES, PIECE_BYTES):
        yield ZEROS[at : at + PIECE_BYTES]
    yield ZEROS[: PIECE_BYTES - 1]
    if _is_whole(number):
        yield ZEROS[:1]


def _large_chunks(number: int) -> Pieces:
    """The same in large chunks; most lack the last one, which is empty."""
    yield _head(f'c-{number}', CHUNKED)
    yield from repeat(
        _chunk(ZEROS[:PIECE_BYTES]), BODY_LIMIT_BYTES // PIECE_BYTES
    )
    if _is_whole(number):
        yield LAST_CHUNK


def _small_chunks(number: int) -> Pieces:
    """A body in chunks of one byte; most lack the last one."""
    yield _head(f'c-{number}', CHUNKED)
    yield from repeat(SMALL_PIECE, SMALL_BODY_BYTES // SMALL_CHUNKS)
    if _is_whole(number):
        yield LAST_CHUNK


def _idle(number: int) -> Pieces:
    """The head of a request and nothing of its body."""
    yield _head(f'c-{number}', 'Content-Length: 10')


def _store() -> Store:
    settings = json.loads(configuration(1))
    settings['limits'] = {'max_body_bytes': BODY_LIMIT_BYTES}
    store = Store()
    store.append('keyed.op', 'config', json.dumps(settings).encode())
    return store


def _send(
    daemon: _Daemon, form: Callable[[int], Pieces], count: int = CROWD
) -> list[_Sender]:
    """Return a crowd whose bytes were sent, and read if there is room."""
    crowd = [_Sender(daemon, form(number)) for number in range(count)]
    until_s = time.monotonic() + CROWD_S
    sending = crowd
    while sending and time.monotonic() < until_s:
        for sender in sending:
            sender.step()
        reactor.iterate(0)
        sending = [each for each in sending if not each.done]
    settled_s = time.monotonic() + SETTLE_S
    while time.monotonic() < settled_s:
        reactor.iterate(0.01)
    return crowd


def _ask(daemon: _Daemon, wire: bytes) -> bytes:
    """Return the response to one request; empty if it was closed."""
    received = b''
    with socket.socket() as client:
        client.setblocking(False)
        with suppress(BlockingIOError):
            client.connect((HOST, daemon.ports['outbound']))
        until_s = time.monotonic() + HUNG_S
        while time.monotonic() < until_s:
            reactor.iterate(0.001)
            try:
                wire = wire[client.send(wire) :] if wire else wire
                data = client.recv(65536)
            except BlockingIOError:
                continue
            except OSError:
                return received
            received += data
            if not data or b'\r\n\r\n' in received:
                return received
    return received


def _ask_until_served(daemon: _Daemon) -> bytes:
    """Repeat an ordinary request until it is answered with 200."""
    until_s = time.monotonic() + HUNG_S
    response = b''
    wire = _head('ordinary', 'Content-Length: 2') + b'{}'
    while time.monotonic() < until_s:
        response = _ask(daemon, wire)
        if response.startswith(b'HTTP/1.1 200 '):
            break
    return response


def _peak_bytes(daemon: _Daemon) -> int:
    status = Path(f'/proc/{daemon.process.pid}/status').read_text()
    line = next(each for each in status.splitlines() if 'VmHWM' in each)
    return int(line.split()[1]) * 1024


def _check(daemon: _Daemon, entry: _Daemon, crowd: list[_Sender]) -> None:
    """Check one daemon; ordinary requests enter at ``entry``."""
    open_fds = len(os.listdir(f'/proc/{daemon.process.pid}/fd'))
    response = _ask_until_served(entry)
    assert daemon.process.poll() is None
    peak_bytes = _peak_bytes(daemon)
    logger.info(
        'peak %.1f MiB of %d, %d descriptors of %d, %d of %d have ended, %r',
        peak_bytes / 1024 / 1024,
        MEMORY_MB,
        open_fds,
        MAX_FDS,
        sum(each.done for each in crowd),
        len(crowd),
        response[:20],
    )
    assert response.startswith(b'HTTP/1.1 200 ')
    assert peak_bytes < MEMORY_MB * 1024 * 1024
    assert open_fds < MAX_FDS
    assert 'event failed' not in daemon.log()
    for sender in crowd:
        sender.socket.close()


def _start(folder: Path, name: str, upstream: PlatformUpstream) -> _Daemon:
    daemon = _Daemon(folder, _store(), name, upstream, LIMITS)
    daemon.wait_ready()
    return daemon


def _announce(daemon: _Daemon) -> None:
    """Announce the upstream of a daemon, as on the platform, until its stop."""
    daemon.announce('ready')
    daemon.upstream.announce_to(f'{HOST}:{daemon.ports["control"]}')


@pytest.fixture(name='daemon')
def _daemon(tmp_path: Path) -> Iterator[_Daemon]:
    instance = _start(tmp_path, 'one', _CountingUpstream())
    _announce(instance)
    yield instance
    instance.close()


def test_bodies_announced_over_the_limit(daemon: _Daemon) -> None:
    """Bodies with a length far over the limit must not be kept."""
    _check(daemon, daemon, _send(daemon, _announced))


def test_bodies_without_end(daemon: _Daemon) -> None:
    """Bodies that are just sent, far over the limit, must not be kept."""
    _check(daemon, daemon, _send(daemon, _endless))


def test_large_bodies_at_once(daemon: _Daemon) -> None:
    """Many permitted bodies must not exceed the memory together."""
    _check(daemon, daemon, _send(daemon, _whole))


def test_large_bodies_in_pieces(daemon: _Daemon) -> None:
    """Bodies that stop short of their end must not exceed the memory."""
    _check(daemon, daemon, _send(daemon, _in_pieces))


def test_bodies_in_large_chunks(daemon: _Daemon) -> None:
    """Chunked bodies that stop short of their end must not exceed it."""
    _check(daemon, daemon, _send(daemon, _large_chunks))


def test_bodies_in_small_chunks(daemon: _Daemon) -> None:
    """Chunks of one byte must neither fill the memory nor hang the process."""
    _check(daemon, daemon, _send(daemon, _small_chunks))


def test_connections_above_the_descriptors(daemon: _Daemon) -> None:
    """Unfinished requests must not take all descriptors of the host."""
    _check(daemon, daemon, _send(daemon, _idle, CONNECTIONS))


def test_large_bodies_that_wait(tmp_path: Path) -> None:
    """Complete bodies that wait at an upstream must not exceed the memory.

    The upstream does not answer, and is beside another daemon than the one
    that the crowd is connected to, so both hold the bodies.
    """
    stalled = [Work(service_s=60)]
    upstream = _CountingUpstream(lambda: stalled[0])
    ingress = _start(tmp_path, 'ingress', _CountingUpstream())
    egress = _Daemon(tmp_path, ingress.store, 'egress', upstream, LIMITS)
    try:
        egress.wait_ready()
        _announce(egress)
        _ask_until_served_by(ingress, stalled)
        crowd = _send(ingress, _whole)
        stalled[0] = Work()
        _check(ingress, ingress, [])
        _check(egress, ingress, crowd)
    finally:
        ingress.close()
        egress.close()


def _ask_until_served_by(daemon: _Daemon, stalled: list[Work]) -> None:
    """Wait for the path to the upstream of the other daemon."""
    slow, stalled[0] = stalled[0], Work()
    assert _ask_until_served(daemon).startswith(b'HTTP/1.1 200 ')
    stalled[0] = slow


@pytest.mark.parametrize('chunk_bytes', [0, PIECE_BYTES, 16])
def test_single_large_body_is_served(daemon: _Daemon, chunk_bytes: int) -> None:
    """In calm, one body of the full limit must arrive whole at the upstream.

    It comes with its length (0) or in chunks of the given size.
    """
    body = os.urandom(BODY_LIMIT_BYTES if chunk_bytes != 16 else 256 * 1024)
    wire = _head('one', f'Content-Length: {len(body)}') + body
    if chunk_bytes:
        places = range(0, len(body), chunk_bytes)
        chunks = [_chunk(body[at : at + chunk_bytes]) for at in places]
        wire = _head('one', CHUNKED) + b''.join(chunks) + LAST_CHUNK
    assert _ask(daemon, wire).startswith(b'HTTP/1.1 200 ')
    digest = hashlib.sha256(body).hexdigest()
    assert daemon.upstream.bodies == [(len(body), digest)]
