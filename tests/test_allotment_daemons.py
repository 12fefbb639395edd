"""Guards against limited accounts that fail over real streams of processes."""

import json
import re
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from sockets import reactor
from test_platform_daemon import _Daemon

from greengagemux_standins.platformfleets import configuration
from greengagemux_standins.platformupstreams import PlatformUpstream
from greengagemux_standins.stores import Store

KEY = 'k7qpzt3wm'
RATE_PER_S = 1
#: The most requests in 5 s: (1 x 5 + 0) x 1.1 + 20.
ALLOWED = 25
NAMES = ('one', 'two', 'three')


def _limited_store() -> Store:
    content = json.loads(configuration(1))
    content['tenants'] = [
        {'name': 'north', 'api_keys': [KEY], 'rate_per_s': RATE_PER_S}
    ]
    store = Store()
    store.append('keyed.op', 'config', json.dumps(content).encode())
    return store


@pytest.fixture(name='fleet')
def _fleet(tmp_path: Path) -> Iterator[dict[str, _Daemon]]:
    store = _limited_store()
    fleet = {
        name: _Daemon(
            tmp_path, store, name, PlatformUpstream(reactor, f'i-{name}')
        )
        for name in NAMES
    }
    yield fleet
    for daemon in fleet.values():
        daemon.close()


def _request(daemon: _Daemon, number: int) -> bytes:
    return daemon.ask(
        'outbound',
        f'GET /list/{number} HTTP/1.1\r\nHost: shop.example\r\n'
        f'Request-Id: r-{number}\r\nDeadline-Ms: 3000\r\n'
        f'Api-Key: {KEY}\r\n\r\n',
    )


def _load(
    fleet: dict[str, _Daemon], duration_s: float, served: list[float]
) -> list[bytes]:
    """Send requests to the daemons in turn, one after the other."""
    responses: list[bytes] = []
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        names = tuple(fleet)
        daemon = fleet[names[len(responses) % len(names)]]
        response = _request(daemon, len(responses))
        responses.append(response)
        if b' 200 ' in response.split(b'\r\n')[0]:
            served.append(time.monotonic())
    return responses


def _most_in_window(times: list[float]) -> int:
    return max(sum(last - 5 < at <= last for at in times) for last in times)


def _owner(fleet: dict[str, _Daemon]) -> str:
    """Return the owner that the newest grant names; empty without one."""
    lines = [
        json.loads(line)['fields']
        for daemon in fleet.values()
        for line in daemon.log().splitlines()
        if '"allotment-granted"' in line
    ]
    owners = [
        fields['asked'][-1]
        for fields in lines
        if fields['decided_by'] == 'owner'
    ]
    return owners[-1] if owners else ''


def test_killed_owner_costs_neither_limit_nor_service(
    fleet: dict[str, _Daemon],
) -> None:
    """Requests must be decided over real streams, also without the owner."""
    for daemon in fleet.values():
        daemon.wait_ready()
        daemon.announce('ready')
    served: list[float] = []
    responses = _load(fleet, 8, served)
    owner = _owner(fleet)
    assert owner in fleet
    refused = [each for each in responses if b' 429 ' in each]
    assert refused
    assert all(
        re.search(rb'Retry-After: [0-9]+\.[0-9]{3}\r', each) for each in refused
    )
    fleet.pop(owner).close()
    before = len(served)
    responses += _load(fleet, 6, served)
    assert len(served) > before
    assert _most_in_window(served) <= ALLOWED
    statuses = {each.split(b' ')[1] for each in responses}
    assert b'401' not in statuses
    for daemon in fleet.values():
        log = daemon.stop()
        assert 'event failed' not in log
        assert KEY not in log
