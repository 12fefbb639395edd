"""Guards responses that callers have not read when a process ends."""

import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from sockets import Client, run_reactor_until, turn
from test_platform_daemon import _Daemon

from greengagemux_standins.platformfleets import GRACE_S
from greengagemux_standins.platformupstreams import LARGE_BYTES

#: Their responses exceed what the kernel holds for one connection.
REQUESTS = 7
DEADLINE_MS = 15_000
#: When a caller starts to read, after SIGTERM; idle daemons end before.
READS_AFTER_S = 3.5


class _SlowCaller:
    """Sends requests ahead and reads their responses later."""

    def __init__(self, daemon: _Daemon, name: str) -> None:
        plain = socket.socket()
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        plain.connect(('127.0.0.1', daemon.ports['outbound']))
        self.client = Client(plain)
        for number in range(REQUESTS):
            self.send(f'{name}-{number}')

    def send(self, tag: str) -> None:
        self.client.send(
            f'GET /list/large-{tag} HTTP/1.1\r\nHost: shop.example\r\n'
            f'Request-Id: {tag}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n'.encode()
        )

    def whole_responses(self) -> int:
        """Read to the end; return how many responses are whole."""
        received = self.client.read_all()
        whole = 0
        while received:
            head, _, rest = received.partition(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')
            length = int(
                head.lower().partition(b'content-length: ')[2].split()[0]
            )
            whole += len(rest) >= length
            received = rest[length:]
        return whole


@pytest.fixture(name='daemon')
def _daemon(tmp_path: Path) -> Iterator[_Daemon]:
    instance = _Daemon(tmp_path)
    instance.wait_ready()
    instance.announce('ready')
    yield instance
    instance.close()


def _stop_after_runs(daemon: _Daemon, runs: int) -> float:
    """Send SIGTERM once all requests have run; return the time."""
    run_reactor_until(lambda: len(daemon.upstream.runs) == runs)
    turn(100)
    assert all(each.finished_s for each in daemon.upstream.runs)
    daemon.process.send_signal(signal.SIGTERM)
    return time.monotonic()


def _turn_until(due_s: float) -> None:
    run_reactor_until(lambda: time.monotonic() >= due_s)


def test_slow_reader_gets_all_responses_of_a_stopping_daemon(
    daemon: _Daemon,
) -> None:
    """Guards against a stop that takes what was handed to a transport.

    Once the caller has read everything, the process ends at once.
    """
    caller = _SlowCaller(daemon, 'slow')
    stopped_s = _stop_after_runs(daemon, REQUESTS)
    _turn_until(stopped_s + READS_AFTER_S)
    assert daemon.process.poll() is None
    assert caller.whole_responses() == REQUESTS
    caller.client.socket.close()
    read_s = time.monotonic()
    run_reactor_until(lambda: daemon.process.poll() is not None)
    assert daemon.process.poll() == 0
    assert time.monotonic() - read_s < 1
    assert time.monotonic() - stopped_s < GRACE_S


def test_caller_that_never_reads_does_not_hold_a_stop(daemon: _Daemon) -> None:
    """A process that is still there at the end of the grace is killed."""
    caller = _SlowCaller(daemon, 'never')
    stopped_s = _stop_after_runs(daemon, REQUESTS)
    run_reactor_until(lambda: daemon.process.poll() is not None)
    assert daemon.process.poll() == 0
    assert time.monotonic() - stopped_s < GRACE_S
    caller.client.socket.close()


def test_stop_without_output_is_not_held(daemon: _Daemon) -> None:
    """Callers may keep open connections until the process is gone."""
    caller = Client(
        socket.create_connection(('127.0.0.1', daemon.ports['outbound']))
    )
    caller.send(
        b'GET /list/large HTTP/1.1\r\nHost: shop.example\r\n'
        b'Request-Id: a\r\nDeadline-Ms: 900\r\n\r\n'
    )
    run_reactor_until(
        lambda: caller.read() or len(caller.received) > LARGE_BYTES
    )
    daemon.process.send_signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    run_reactor_until(lambda: daemon.process.poll() is not None)
    assert time.monotonic() - stopped_s < READS_AFTER_S
    caller.socket.close()
