"""Access rights, size limits and error responses of the administration."""

import hashlib
import json
from collections.abc import Mapping
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from greengagemux import administration
from greengagemux.addresses import Address
from greengagemux.explanations.decisions import Explanation, Question
from greengagemux.events import Announced, Event, StopRequested
from greengagemux.ids import BundleVersion, LogOffset
from greengagemux.messages import UpstreamState
from greengagemux.metrics import Metrics
from greengagemux.settings import DaemonSettings

_TOKEN = 'counter-7'
_BEARER = f'Authorization: Bearer {_TOKEN}'
_VALID_ANNOUNCEMENT = {
    'upstream': 'ledger-1',
    'service': 'depot-ledger',
    'address': '127.0.0.1:8001',
    'slots': 4,
    'state': 'serving',
}


class _FakeDaemon:
    """Daemon that records submitted events and has a fixed state."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.is_ready = True
        self.view = administration.BundleView()

    def ready(self) -> tuple[bool, str]:
        return self.is_ready, 'bundle 3'

    def state(self) -> Mapping[str, Any]:
        return {'upstreams': {'ledger-1': UpstreamState.sick}}

    def bundle(self) -> administration.BundleView:
        return self.view

    def explain(self, question: Question) -> Explanation:
        return Explanation(route=question.path, priority=question.method)

    def submit(self, event: Event) -> None:
        self.events.append(event)


class _Client:
    """Sends raw requests to the endpoints and reads the responses."""

    def __init__(self, token: str | None = _TOKEN) -> None:
        self.daemon = _FakeDaemon()
        self.metrics = Metrics()
        digest = token and hashlib.sha256(token.encode()).hexdigest()
        daemon_settings = DaemonSettings(
            id='d-1',
            data_centre='a',
            region='r',
            http_address=Address('10.0.0.5', 80),
            peer_address=Address('10.0.0.5', 81),
            admin_address=Address('10.0.0.5', 82),
            admin_token_sha256=digest,
        )
        self._site = administration.build_site(
            self.daemon, daemon_settings, self.metrics, Clock()
        )

    def send(self, wire: bytes, peer: str = '127.0.0.1') -> StringTransport:
        transport = StringTransport(peerAddress=IPv4Address('TCP', peer, 9))
        protocol = self._site.buildProtocol(None)
        protocol.makeConnection(transport)
        protocol.dataReceived(wire)
        return transport

    def call(
        self,
        target: str,
        *headers: str,
        body: bytes = b'',
        peer: str = '127.0.0.1',
    ) -> tuple[int, str]:
        lines = (target + ' HTTP/1.1', f'Content-Length: {len(body)}')
        head = '\r\n'.join((*lines, *headers, '', ''))
        response = self.send(head.encode() + body, peer).value().decode()
        top, _blank, content = response.partition('\r\n\r\n')
        return int(top.split()[1]), content

    def announce(self, peer: str = '127.0.0.1', **more: object) -> Any:
        body = json.dumps({**_VALID_ANNOUNCEMENT, **more}).encode()
        status, content = self.call('POST /announce', body=body, peer=peer)
        return status, json.loads(content)


def test_announce_reaches_the_reducer() -> None:
    """A valid announcement from this host must work without a token."""
    for peer in ('127.0.0.9', '10.0.0.5'):
        client = _Client()
        assert client.announce(peer)[0] == 200
        expected = Announced(
            'ledger-1',
            'depot-ledger',
            '127.0.0.1:8001',
            4,
            UpstreamState.serving,
        )
        assert client.daemon.events == [expected]


def test_announce_from_another_host_needs_a_token() -> None:
    """Another host must not attract traffic by announcing upstreams."""
    client = _Client()
    assert client.announce('10.0.0.6')[0] == 401
    forged = 'X-Forwarded-For: 127.0.0.1'
    body = json.dumps(_VALID_ANNOUNCEMENT).encode()
    response = client.call('POST /announce', forged, body=body, peer='10.0.0.6')
    assert response[0] == 401
    assert not client.daemon.events
    response = client.call(
        'POST /announce', _BEARER, body=body, peer='10.0.0.6'
    )
    assert response[0] == 200


@pytest.mark.parametrize(
    ('field', 'value', 'allowed'),
    [
        ('upstream', 'a b', 'letters'),
        ('upstream', None, 'letters'),
        ('service', '', 'letters'),
        ('address', 'localhost:80', 'IP number'),
        ('address', '127.0.0.1:0', '65535'),
        ('address', '10.0.0.6:80', 'of this host'),
        ('address', '0.0.0.0:80', 'of this host'),
        ('slots', 0, 'from 1 to'),
        ('slots', True, 'from 1 to'),
        ('slots', '4', 'from 1 to'),
        ('state', 'sick', 'one of serving, cold, draining'),
        ('weight', 3, 'one of the fields upstream'),
    ],
)
def test_bad_announcement_is_explained(
    field: str, value: object, allowed: str
) -> None:
    """A 400 must name field, value and what is allowed."""
    client = _Client()
    status, response = client.announce(**{field: value})
    assert status == 400
    problem = response['problems'][0]
    assert problem['field'] == field
    assert problem['value'] == json.dumps(value)
    assert allowed in problem['allowed']
    assert not client.daemon.events


@settings(derandomize=True, deadline=None)
@given(body=st.binary(max_size=40) | st.text('[]{}",:1ab').map(str.encode))
def test_any_body_is_refused_clearly(body: bytes) -> None:
    """No body may raise, or reach the reducer unchecked."""
    client = _Client()
    status, content = client.call('POST /announce', body=body)
    assert status == 400
    assert json.loads(content)['error']
    assert not client.daemon.events


@pytest.mark.parametrize(
    'path', ['/metrics', '/state', '/bundle', '/explain?host=h&path=/a']
)
def test_reads_need_the_token(path: str) -> None:
    """State, bundle and metrics must not be shown without the token."""
    client = _Client()
    for header in ('X: y', 'Authorization: Bearer x', 'Authorization: Bearer'):
        assert client.call(f'GET {path}', header)[0] == 401
    assert client.call(f'GET {path}', _BEARER)[0] == 200
    basic = _BEARER.replace('Bearer', 'Basic')
    assert client.call(f'GET {path}', basic)[0] == 401


def test_explanation_has_the_parameters_of_the_query() -> None:
    """Encoded parameters must reach the decision as they were meant."""
    client = _Client()
    target = 'GET /explain?host=h&path=%2Fa%20b&method=POST'
    status, content = client.call(target, _BEARER)
    assert status == 200
    shown = json.loads(content)
    assert (shown['route'], shown['priority']) == ('/a b', 'POST')


@pytest.mark.parametrize(
    'query',
    [
        '',
        '?host=h',
        '?host=h&path=/&api_key=hkmgjq',
        '?host=h&path=/&path=/hkmgjq',
        '?host=h&path=/hkmgjq%ff',
    ],
)
def test_bad_explain_query_is_refused_without_its_values(query: str) -> None:
    """A key that is sent by mistake must not be repeated in the error."""
    client = _Client()
    status, content = client.call(f'GET /explain{query}', _BEARER)
    assert status == 400
    assert 'host and path are required' in content
    assert 'hkmgjq' not in content


def test_drain_needs_the_token() -> None:
    """Only an operator may stop a daemon."""
    client = _Client()
    assert client.call('POST /drain')[0] == 401
    assert not client.daemon.events
    assert client.call('POST /drain', _BEARER)[0] == 202
    assert client.daemon.events == [StopRequested()]


def test_without_a_configured_token_writes_are_refused() -> None:
    """A missing token must not mean that every token is valid."""
    client = _Client(token=None)
    status, content = client.call('POST /drain', 'Authorization: Bearer ')
    assert status == 403
    assert 'admin_token_sha256' in content
    assert not client.daemon.events
    assert client.call('GET /state')[0] == 200
    assert client.call('GET /state', peer='10.0.0.6')[0] == 403


def test_open_endpoints() -> None:
    """Health checks without a token must get health and readiness."""
    client = _Client()
    assert client.call('GET /health', peer='10.0.0.6')[0] == 200
    assert client.call('HEAD /health') == (200, '')
    assert client.call('GET /ready', peer='10.0.0.6')[0] == 200
    client.daemon.is_ready = False
    status, content = client.call('GET /ready')
    assert status == 503
    assert json.loads(content) == {'ready': False, 'why': 'bundle 3'}


def test_state_bundle_and_metrics_are_shown() -> None:
    """The responses must hold the state, bundle and metrics of the daemon."""
    client = _Client()
    client.metrics.count('requests_total')
    state = client.call('GET /state', _BEARER)[1]
    assert json.loads(state) == {'upstreams': {'ledger-1': 'sick'}}
    assert 'requests_total 1\n' in client.call('GET /metrics', _BEARER)[1]
    accept = 'Accept: application/json'
    tables = client.call('GET /metrics', _BEARER, accept)[1]
    assert json.loads(tables)['counters'][0]['count'] == 1
    empty = json.loads(client.call('GET /bundle', _BEARER)[1])
    assert empty['version'] is None
    client.daemon.view = administration.BundleView(
        BundleVersion(3), LogOffset(8), LogOffset(9), 'alice', '[bundle]'
    )
    bundle = json.loads(client.call('GET /bundle', _BEARER)[1])
    assert bundle['newest_offset'] == 9
    assert bundle['text'] == '[bundle]'


def test_unknown_path_and_method() -> None:
    """The error for an unknown path must list the known paths."""
    client = _Client()
    status, content = client.call('GET /stat', _BEARER)
    assert status == 404
    assert '/state' in content
    assert client.call('GET /drain', _BEARER)[0] == 405
    assert not client.daemon.events


def test_fault_of_the_daemon_shows_no_internals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An exception must give a 500 without a stack trace."""
    client = _Client()
    monkeypatch.setattr(client.daemon, 'state', lambda: {'x': object()})
    status, content = client.call('GET /state', _BEARER)
    assert status == 500
    assert json.loads(content) == {'error': 'internal error'}


def test_large_bodies_close_the_connection() -> None:
    """A body above 64 KiB must be refused before it fills the memory."""
    client = _Client()
    head = b'POST /announce HTTP/1.1\r\n'
    limit = administration.BODY_LIMIT_BYTES
    stated = client.send(head + b'Content-Length: %d\r\n\r\n' % (limit + 1))
    chunk = b'%x\r\n%s\r\n' % (limit, b' ' * limit)
    chunked = client.send(
        head + b'Transfer-Encoding: chunked\r\n\r\n' + chunk * 3 + b'0\r\n\r\n'
    )
    for transport in (stated, chunked):
        assert transport.value().startswith(b'HTTP/1.1 413 ')
        assert transport.value().count(b'HTTP/1.1') == 1
        assert transport.disconnecting
    assert not client.daemon.events
