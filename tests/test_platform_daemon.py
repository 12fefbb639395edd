"""Guards against faults of a whole daemon process on the platform.

The store and the upstream are stand-ins; each test runs the process from its
start to its stop.
"""

import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from functools import cache
from pathlib import Path
from typing import Any

import pytest
from msgspec import msgpack
from sockets import Client, reactor, turn, run_reactor_until
from test_streams import _hello, _wire

from greengagemux.platform.servers import Server
from greengagemux.platform.settings import PATH_VARIABLE
from greengagemux_standins.platformfleets import (
    PORT_NAMES,
    configuration,
    configured_store,
    settings_text,
    version_prefix,
)
from greengagemux_standins.platformupstreams import PlatformUpstream
from greengagemux_standins.ports import BLOCK_PORTS, free_base_port
from greengagemux_standins.stores import Store

HOST = '127.0.0.1'
#: Time in which a change of the configuration must be in force.
PROPAGATION_S = 2


class _Daemon:
    """A daemon process with its addresses, store and upstream."""

    def __init__(
        self,
        folder: Path,
        store: Store | None = None,
        name: str = 'one',
        upstream: Any = None,
        limits: str = '',
    ) -> None:
        self.store = store or configured_store()
        self._port = reactor.listenTCP(
            0,
            Server(reactor, self.store, headers=self.store.headers),
            interface=HOST,
        )
        self.upstream = upstream or PlatformUpstream(reactor, 'i-1')
        self.upstream.start()
        store = f'{HOST}:{self._port.getHost().port}'
        self.ports = {each: next(_ports()) for each in PORT_NAMES}
        path = folder / f'{name}.conf'
        path.write_text(
            settings_text(name, 'a', self.ports, self.upstream.address, store)
            + limits
        )
        # A file, as a full pipe would lose lines.
        self._log_path = folder / f'{name}.log'
        with self._log_path.open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'greengagemux.platform'],
                env={**os.environ, PATH_VARIABLE: str(path)},
                stdout=log,
            )

    def ask(self, name: str, wire: str) -> bytes:
        """Send a request to one address and return the response.

        Retries the connection until the daemon listens.
        """
        connection = None
        while connection is None:
            try:
                connection = socket.create_connection((HOST, self.ports[name]))
            except ConnectionRefusedError:
                assert self.process.poll() is None, 'the daemon has ended'
                turn(5)
        client = Client(connection).send(wire.encode('latin-1'))
        run_reactor_until(
            lambda: client.read() or client.received.count(b'\r\n\r\n') > 0
        )
        turn(5)
        client.read()
        client.socket.close()
        return client.received

    def announce(self, phase: str) -> None:
        """Announce the upstream in this phase."""
        wire = self.upstream.announcement(phase).decode()
        assert b' 200 ' in self.ask('control', wire)

    def request(self, method: str, path: str) -> bytes:
        """Send a caller's request and return the response."""
        return self.ask(
            'outbound',
            f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
            'Request-Id: r-1\r\nDeadline-Ms: 900\r\n'
            'Caller-Service: forged\r\n\r\n',
        )

    def wait_ready(self) -> None:
        """Wait until the daemon accepts callers."""
        wire = 'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n'
        while b' 200 ' not in self.ask('ready', wire):
            turn(5)

    def stop(self) -> str:
        """Stop the process with ``SIGTERM`` and return its log."""
        self.process.send_signal(signal.SIGTERM)
        run_reactor_until(lambda: self.process.poll() is not None)
        return self.log()

    def log(self) -> str:
        """Return the log lines that were written so far."""
        return self._log_path.read_text()

    def close(self) -> None:
        """Kill the process if it still runs, and close the stand-ins."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._port.stopListening()
        self.upstream.stop()
        turn()


#: What other writers may leave among the entries that daemons read.
_NESTED = b'\x91' * 100_000 + b'\xc0'
_ODD_PEERS = (
    _NESTED,
    msgpack.encode(['x', 'r', [[]]]),
    msgpack.encode(['x', 'r', 2**63]),
    msgpack.encode(['x', 'r', '127.0.0.1:70000']),
    msgpack.encode(['x', 'r', '127.0.0.1:99999999999999999999']),
    msgpack.encode(['x', 'r', 'nowhere']),
    msgpack.encode(['x' * 500, 'r', '127.0.0.1:80']),
    b'\xff\xfe',
)
_ODD_CONFIGURATIONS = (
    b'[' * 100_000 + b']' * 100_000,
    b'{"version":"r9","routes":[],"services":[],"x":'
    + b'[' * 100_000
    + b']' * 100_000
    + b'}',
    b'{"version":"r' + b'9' * 30 + b'","routes":[],"services":[]}',
    b'\xff\xfe',
)
_ODD_ANNOUNCEMENTS = (
    b'[' * 10_000 + b']' * 10_000,
    b'{"service":"orders","address":"a:1","slots":' + b'9' * 30,
    b'{"service":"orders","address":"a:1","slots":3,"phase":"ready",'
    b'"sequence":' + b'9' * 30 + b'}',
    b'{"service":"orders","address":"a:1","slots":' + b'9' * 30 + b','
    b'"phase":"ready","sequence":99}',
    b'{"service":"orders","address":"a:1","slots":3,"phase":"ready",'
    b'"sequence":99,"born":' + b'9' * 30 + b'}',
    b'\xff\xfe',
)


@cache
def _ports() -> Iterator[int]:
    """Return ports that the kernel assigns to no other process."""
    first = free_base_port()
    return itertools.cycle(range(first, first + BLOCK_PORTS - 1))


@pytest.fixture(name='daemon')
def _daemon(tmp_path: Path) -> Iterator[_Daemon]:
    instance = _Daemon(tmp_path)
    yield instance
    instance.close()


def test_request_from_caller_to_upstream(daemon: _Daemon) -> None:
    """A request must reach the announced upstream with the right headers.

    Without an upstream it must get 503, without a route 404.
    """
    daemon.wait_ready()
    assert b' 503 ' in daemon.request('GET', '/list/0')
    daemon.announce('ready')
    response = daemon.request('GET', '/list/1?q=2')
    assert response.startswith(b'HTTP/1.1 200 ')
    assert b'Response-Seal: seal' in response
    assert response.endswith(b'/list/1?q=2')
    line, headers = daemon.upstream.received[0]
    assert line == 'GET /list/1?q=2 HTTP/1.1'
    assert headers['host'] == 'shop.example'
    assert headers['expect-instance'] == 'i-1'
    assert headers['caller-service'] == 'orders'
    assert 0 < int(headers['deadline-ms']) <= 900
    assert b' 404 ' in daemon.request('GET', '/none/')
    log = daemon.stop()
    assert daemon.process.returncode == 0
    placed = [line for line in log.splitlines() if '"request-placed"' in line]
    assert json.loads(placed[0])['fields']['request'] == 'r-1'


def test_odd_entries_of_the_store_break_off_nothing(tmp_path: Path) -> None:
    """One odd entry must not keep a daemon from reading the others."""
    store = configured_store()
    listener = socket.create_server((HOST, 0))
    listener.setblocking(False)
    peer = f'{HOST}:{listener.getsockname()[1]}'
    for number, entry in enumerate(_ODD_PEERS):
        store.append('keyed.greengagemux-members', f'odd{number}', entry)
    store.append(
        'keyed.greengagemux-members',
        'sound',
        msgpack.encode(['sound', 'r', peer]),
    )
    daemon = _Daemon(tmp_path, store)
    try:
        daemon.wait_ready()
        daemon.announce('ready')
        for odd in _ODD_CONFIGURATIONS:
            store.append('keyed.op', 'config', odd)
        store.append('keyed.op', 'config', configuration(2))
        until_s = time.monotonic() + PROPAGATION_S
        while b' 200 ' not in daemon.request('GET', f'{version_prefix(2)}1'):
            assert time.monotonic() < until_s
            turn(5)
        accepted = False
        until_s = time.monotonic() + PROPAGATION_S
        while not accepted:
            assert time.monotonic() < until_s
            with suppress(BlockingIOError):
                listener.accept()[0].close()
                accepted = True
            turn(5)
        log = daemon.stop()
        assert 'event failed' not in log
        assert daemon.process.returncode == 0
    finally:
        listener.close()
        daemon.close()


def test_odd_announcements_break_off_nothing(daemon: _Daemon) -> None:
    """An odd announcement is refused; the upstream before it stays in use."""
    daemon.wait_ready()
    daemon.announce('ready')
    for odd in _ODD_ANNOUNCEMENTS:
        response = daemon.ask(
            'control',
            f'PUT /api/instances/i-odd HTTP/1.1\r\nHost: x\r\n'
            f'Content-Length: {len(odd)}\r\n\r\n' + odd.decode('latin-1'),
        )
        assert response.startswith(b'HTTP/1.1 400 ')
    daemon.announce('ready')
    assert b' 200 ' in daemon.request('GET', '/list/1')
    log = daemon.stop()
    assert 'event failed' not in log
    assert 'Traceback' not in log


@pytest.mark.parametrize('digits', ['9' * 30, '9' * 5000])
def test_odd_deadline_is_that_of_the_route(
    daemon: _Daemon, digits: str
) -> None:
    """A number that is too large must not leave a request without answer."""
    daemon.wait_ready()
    daemon.announce('ready')
    response = daemon.ask(
        'outbound',
        'GET /list/1 HTTP/1.1\r\nHost: shop.example\r\n'
        f'Request-Id: r-1\r\nDeadline-Ms: {digits}\r\n\r\n',
    )
    assert response.startswith(b'HTTP/1.1 200 ')


def test_peer_that_stays_open_does_not_block_the_stop(daemon: _Daemon) -> None:
    """A stop must end in time though a peer does not end its stream."""
    daemon.wait_ready()
    connection = socket.create_connection((HOST, daemon.ports['inbound']))
    peer = Client(connection).send(_wire(_hello()))
    run_reactor_until(lambda: peer.read() or peer.received)
    assert '"stopped"' in daemon.stop()
    assert daemon.process.returncode == 0
    peer.socket.close()


def test_refused_write_is_not_run(daemon: _Daemon) -> None:
    """A write that the upstream refused must be reported as not run.

    The caller gets 503 with ``Retry-After``, and the write is sent only once.
    """
    daemon.wait_ready()
    daemon.announce('ready')
    response = daemon.request('POST', '/post/full')
    assert response.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: 0.2' in response
    assert len(daemon.upstream.received) == 1


def test_draining_upstream_gets_no_work(daemon: _Daemon) -> None:
    """A request must not reach an upstream that has announced its drain."""
    daemon.wait_ready()
    daemon.announce('ready')
    daemon.announce('draining')
    assert b' 503 ' in daemon.request('GET', '/list/1')
    assert not daemon.upstream.received


def test_limit_of_the_upstream_rejects_at_once(daemon: _Daemon) -> None:
    """Requests above ``Server-Limit`` must not wait for their deadline.

    ``Retry-After`` must name a fraction of a second.
    """
    daemon.wait_ready()
    daemon.announce('ready')
    daemon.upstream.rate_limit_per_s = 0.5
    responses = [daemon.request('POST', f'/post/{at}') for at in range(12)]
    ran = [each for each in responses if b' 200 ' in each]
    rejected = [each for each in responses if b' 503 ' in each]
    assert len(ran) + len(rejected) == len(responses)
    assert len(daemon.upstream.runs) == len(ran)
    assert len(ran) <= 3
    assert re.search(rb'Retry-After: [0-9]\.[0-9]{3}\r', rejected[0])


@pytest.mark.parametrize('path', ['/list/1', '/list/full'])
def test_leaving_upstream_gets_no_work(daemon: _Daemon, path: str) -> None:
    """``Server-Leaving`` must count in each response, also in a refusal."""
    daemon.wait_ready()
    daemon.announce('ready')
    daemon.upstream.leaving = True
    daemon.request('GET', path)
    daemon.announce('ready')
    received = len(daemon.upstream.received)
    assert b' 503 ' in daemon.request('GET', '/list/2')
    assert len(daemon.upstream.received) == received


def test_change_after_a_restore_of_the_store_is_served(
    daemon: _Daemon,
) -> None:
    """A change must not be skipped because its offset was given out before."""
    topic = 'keyed.op'
    daemon.wait_ready()
    daemon.announce('ready')
    copied = daemon.store.copy()
    for version in (2, 3):
        daemon.store.append(topic, 'config', configuration(version))
    path = f'{version_prefix(3)}1'
    while b' 200 ' not in daemon.request('GET', path):
        turn(5)
    daemon.store.restore(copied)
    for version in (3, 4):
        daemon.store.append(topic, 'config', configuration(version))
    path = f'{version_prefix(4)}1'
    until_s = time.monotonic() + PROPAGATION_S
    while b' 200 ' not in daemon.request('GET', path):
        assert time.monotonic() < until_s
        turn(5)


class _SilentUpstream:
    """Accepts connections, and neither reads nor answers."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self._boot = 0

    @property
    def address(self) -> str:
        return f'{HOST}:{self._listener.getsockname()[1]}'

    def start(self) -> None:
        """Do nothing: it listens from the beginning."""

    def stop(self) -> None:
        """Close the listener and its connections."""
        self._listener.close()

    def announcement(self, upstream: str) -> bytes:
        """Return the announcement of its next boot under an id."""
        self._boot += 1
        body = json.dumps(
            {
                'service': 'orders',
                'address': 'own',
                'slots': 3,
                'phase': 'ready',
                'sequence': 1,
                'born': self._boot,
            }
        )
        return (
            f'PUT /api/instances/{upstream} HTTP/1.1\r\nHost: x\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()


def test_silent_calls_of_a_replaced_upstream_end(tmp_path: Path) -> None:
    """Guards against a daemon that does nothing more after two restarts.

    The connections of the first process stay silent; the second one has the
    same id, the third another.
    """
    daemon = _Daemon(tmp_path, upstream=_SilentUpstream())
    try:
        daemon.wait_ready()
        daemon.announce('i-1')
        connection = socket.create_connection((HOST, daemon.ports['outbound']))
        waiting = Client(connection).send(
            b'POST /post/1 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Request-Id: r-1\r\nDeadline-Ms: 900\r\nContent-Length: 0\r\n\r\n'
        )
        turn(50)
        daemon.announce('i-1')
        daemon.announce('i-2')
        waiting.expect(b'HTTP/1.1 504 ')
        waiting.socket.close()
        daemon.store.append('keyed.op', 'config', configuration(2))
        until_s = time.monotonic() + PROPAGATION_S
        while b' 404 ' in daemon.request('GET', f'{version_prefix(2)}1'):
            assert time.monotonic() < until_s
            turn(5)
        log = daemon.stop()
        assert 'event failed' not in log
        assert daemon.process.returncode == 0
    finally:
        daemon.close()
