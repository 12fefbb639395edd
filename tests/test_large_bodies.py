"""Guards the largest permitted body on its way through two small hosts."""

import hashlib
import json
import os
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from sockets import turn
from test_platform_daemon import _Daemon
from test_uncontrolled_clients import (
    CHUNKED,
    HUNG_S,
    LAST_CHUNK,
    PIECE_BYTES,
    _announce,
    _ask,
    _ask_until_served,
    _chunk,
    _CountingUpstream,
    _head,
    _peak_bytes,
)

from greengagemux.memory.limits import BODY_LIMIT_BYTES
from greengagemux_standins.platformfleets import configuration
from greengagemux_standins.stores import Store

#: Memory of the smallest host.
MEMORY_MB = 200
LIMITS = f'\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds=4100\n'
#: Largest body in the configuration of the users; above what is accepted.
CONFIGURED_BYTES = 64 * 1024 * 1024


def _store() -> Store:
    settings = json.loads(configuration(1))
    settings['limits'] = {'max_body_bytes': CONFIGURED_BYTES}
    store = Store()
    store.append('keyed.op', 'config', json.dumps(settings).encode())
    return store


@pytest.fixture(name='daemons')
def _daemons(tmp_path: Path) -> Iterator[tuple[_Daemon, _Daemon]]:
    """Return two daemons; only that of the second has an upstream."""
    store = _store()
    pair = (
        _Daemon(tmp_path, store, 'ingress', _CountingUpstream(), LIMITS),
        _Daemon(tmp_path, store, 'egress', _CountingUpstream(), LIMITS),
    )
    for each in pair:
        each.wait_ready()
    _announce(pair[1])
    assert _ask_until_served(pair[0]).startswith(b'HTTP/1.1 200 ')
    yield pair
    for each in pair:
        each.close()


@pytest.mark.parametrize('chunked', [False, True])
@pytest.mark.parametrize('entry', [0, 1])
def test_largest_body_is_served(
    daemons: tuple[_Daemon, _Daemon], entry: int, chunked: bool
) -> None:
    """It must arrive whole, beside the ingress or at another host.

    Both processes must stay within the memory of the smallest host.
    """
    body = os.urandom(BODY_LIMIT_BYTES)
    wire = _head('large', f'Content-Length: {len(body)}') + body
    if chunked:
        places = range(0, len(body), PIECE_BYTES)
        chunks = [_chunk(body[at : at + PIECE_BYTES]) for at in places]
        wire = _head('large', CHUNKED) + b''.join(chunks) + LAST_CHUNK
    daemon, upstream = daemons[entry], daemons[1].upstream
    response = b''
    until_s = time.monotonic() + HUNG_S
    while not response.startswith(b'HTTP/1.1 200 '):
        # On a busy machine it may be refused for its deadline.
        assert time.monotonic() < until_s, response
        response = _ask(daemon, wire)
    digest = hashlib.sha256(body).hexdigest()
    assert upstream.bodies[-1] == (len(body), digest)
    for each in daemons:
        assert _peak_bytes(each) < MEMORY_MB * 1_000_000


def test_body_above_the_largest_is_refused(
    daemons: tuple[_Daemon, _Daemon],
) -> None:
    """The limit of the daemon must be stated, and the request not run."""
    head = _head('large', f'Content-Length: {BODY_LIMIT_BYTES + 1}')
    response = _ask(daemons[0], head)
    assert response.startswith(b'HTTP/1.1 413 ')
    turn()
    assert len(daemons[1].upstream.bodies) == 1
