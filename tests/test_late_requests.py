"""Guards requests that reach a daemon late in the grace period of its stop.

Daemon processes of the platform, on real connections.
"""

import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from sockets import Client, reactor, run_reactor_until, turn

from greengagemux_standins.platformfleets import (
    HOST,
    READ_PREFIX,
    WRITE_PREFIX,
    PlatformFleet,
)
from greengagemux_standins.platformupstreams import PlatformUpstream, Work
from greengagemux_standins.ports import free_base_port
from greengagemux_standins.processes import Processes
from greengagemux_standins.servers import LOOPBACK

STOPPED, OTHER = 'di0', 'di1'
DEADLINE_MS = 2500
#: A request sent this long after the stop keeps the daemon from ending early.
HOLDING_S = 1.8
HOLDING_DEADLINE_MS = 3000
HOLDING_WORK_S = 2.9
START_LIMIT_S = 20
#: Times since the stop at which the request is complete: one that can still
#: end in time, and one that can't.
EARLY_S = 2.3
LATE_S = 4.0
LATE_WORK_S = 2.0
#: Time in which the two daemons find each other.
JOIN_S = 2.0
PROMPT_S = 1.0


@pytest.fixture(name='fleet')
def _fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    upstreams = [PlatformUpstream(reactor, f'i{place}') for place in range(2)]
    with Processes(tmp_path) as processes:
        fleet = PlatformFleet(
            reactor, processes, tmp_path, free_base_port(), upstreams
        )
        fleet.start()
        try:
            yield fleet
        finally:
            fleet.stop()
            turn()


def _connect(fleet: PlatformFleet, name: str = STOPPED) -> Client:
    port = fleet.ports(name)['outbound']
    until_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < until_s:
        try:
            return Client(socket.create_connection((LOOPBACK, port)))
        except ConnectionRefusedError:
            turn(50)
    raise AssertionError('the daemon does not listen')


def _head(
    method: str, prefix: str, name: str, deadline_ms: int = DEADLINE_MS
) -> bytes:
    return (
        f'{method} {prefix}{name} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Request-Id: {name}\r\nDeadline-Ms: {deadline_ms}\r\n'
    ).encode()


def _set_work(fleet: PlatformFleet, service_s: float) -> None:
    for upstream in fleet.upstreams.values():
        upstream.draw = lambda: Work(service_s)


def _ran(fleet: PlatformFleet, name: str) -> bool:
    return any(
        run.request == name
        for upstream in fleet.upstreams.values()
        for run in upstream.runs
    )


def _pass_until(until_s: float) -> None:
    while time.monotonic() < until_s:
        reactor.iterate(0.01)


def _wait_until_served(fleet: PlatformFleet) -> None:
    """Wait until both daemons serve and have found each other."""
    until_s = time.monotonic() + START_LIMIT_S
    for name in (STOPPED, OTHER):
        received = b''
        while b' 200 ' not in received:
            assert time.monotonic() < until_s
            client = _connect(fleet, name).send(
                _head('GET', READ_PREFIX, 'first')
                + b'Connection: close\r\n\r\n'
            )
            received = client.read_all()
    _pass_until(time.monotonic() + JOIN_S)


@pytest.mark.parametrize(
    ('method', 'prefix'), [('GET', READ_PREFIX), ('POST', WRITE_PREFIX)]
)
@pytest.mark.parametrize('sent_s', [EARLY_S, LATE_S])
def test_late_request_is_served_or_refused_at_once(
    fleet: PlatformFleet, method: str, prefix: str, sent_s: float
) -> None:
    """A stopping daemon must not take a request that its end would cut off."""
    _wait_until_served(fleet)
    client = _connect(fleet)
    client.send(_head(method, prefix, 'late'))
    holding = _connect(fleet)
    _pass_until(time.monotonic() + 0.2)
    stopped_s = time.monotonic()
    fleet.processes.terminate(STOPPED)
    _pass_until(stopped_s + HOLDING_S)
    _set_work(fleet, HOLDING_WORK_S)
    head = _head('POST', WRITE_PREFIX, 'holding', HOLDING_DEADLINE_MS)
    holding.send(head + b'\r\n')
    run_reactor_until(lambda: _ran(fleet, 'holding'))
    _set_work(fleet, LATE_WORK_S)
    _pass_until(stopped_s + sent_s)
    client.send(b'\r\n')
    asked_s = time.monotonic()
    response = client.read_all()
    if sent_s == EARLY_S:
        assert response.startswith(b'HTTP/1.1 200 ')
    else:
        assert time.monotonic() - asked_s < PROMPT_S
        assert response.startswith(b'HTTP/1.1 503 ')
        assert not _ran(fleet, 'late')
    assert holding.read_all().startswith(b'HTTP/1.1 200 ')
