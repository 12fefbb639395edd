"""Calls to upstreams on real sockets that answer badly."""

import socket
import struct
from collections.abc import Iterator

import pytest
from sockets import reactor, turn, turn_until

from greengagemux.connections import UpstreamCalls
from greengagemux.effects import CallUpstream, ProbeUpstream
from greengagemux.events import (
    CallFault,
    Event,
    Probed,
    UpstreamAnswered,
    UpstreamFailed,
)
from greengagemux.ids import CallId, UpstreamId
from greengagemux.messages import Headers

_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_LIMIT = 1000


class _Upstream:
    """Accepts by hand and writes what the test gives it."""

    def __init__(self) -> None:
        self.listening = socket.create_server(('127.0.0.1', 0))
        self.listening.setblocking(False)
        self.address = '127.0.0.1:%d' % self.listening.getsockname()[1]
        self.held: list[socket.socket] = []
        self.events: list[Event] = []
        self.calls = UpstreamCalls(reactor, self.events.append)
        self.count = 0

    def call(self, target: bytes = b'/', *, fresh: bool = False) -> None:
        self.count += 1
        body = b'body' * self.count
        call = CallId(self.count)
        effect = CallUpstream(
            call, self.address, b'POST', target, (), body, _LIMIT, fresh
        )
        self.calls.call(effect)

    def accept(self) -> socket.socket:
        turn_until(self._accepted)
        self.held[-1].setblocking(False)
        return self.held[-1]

    def read(self, connection: socket.socket) -> bytes:
        got = bytearray()
        turn_until(lambda: self._read(connection, got))
        return bytes(got)

    def ended(self) -> UpstreamAnswered | UpstreamFailed:
        turn_until(lambda: len(self.events) >= self.count)
        assert len(self.events) == self.count
        found = self.events[-1]
        assert isinstance(found, UpstreamAnswered | UpstreamFailed)
        return found

    def _accepted(self) -> bool:
        try:
            self.held.append(self.listening.accept()[0])
        except BlockingIOError:
            return False
        return True

    def _read(self, connection: socket.socket, got: bytearray) -> bool:
        try:
            got += connection.recv(65536)
        except BlockingIOError:
            return False
        return got.endswith(b'body')


@pytest.fixture(name='upstream')
def _upstream() -> Iterator[_Upstream]:
    made = _Upstream()
    yield made
    made.calls.drop(made.address)
    for held in (made.listening, *made.held):
        held.close()
    turn()


@pytest.mark.parametrize(
    ('wire', 'fault'),
    [
        (b'', CallFault.reset),
        (b'HTTP/1.1 200 OK\r\nContent-Le', CallFault.reset),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok',
            CallFault.truncated,
        ),
        (b'HTTP/1.1 200 OK\r\n\r\nok', CallFault.truncated),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
            CallFault.truncated,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
            CallFault.truncated,
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n' + b'x' * 1001,
            CallFault.too_large,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3e9\r\n' + b'x' * 1001 + b'\r\n0\r\n\r\n',
            CallFault.too_large,
        ),
        (b'nonsense\r\n\r\n', CallFault.malformed),
        (b'HTTP/1.1 two OK\r\n\r\n', CallFault.malformed),
        (b'HTTP/1.1 777 OK\r\nContent-Length: 0\r\n\r\n', CallFault.malformed),
        (b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n', CallFault.malformed),
        (b'HTTP/1.1 200 OK\r\nbad name: 1\r\n\r\n', CallFault.malformed),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok',
            CallFault.malformed,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok',
            CallFault.malformed,
        ),
    ],
)
def test_bad_answer_is_sent_and_named(
    upstream: _Upstream, wire: bytes, fault: CallFault
) -> None:
    """A request that was read may have run, whatever the answer was."""
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    connection.send(wire)
    turn()
    connection.close()
    ended = upstream.ended()
    assert isinstance(ended, UpstreamFailed)
    assert (ended.fault, ended.sent) == (fault, True)
    assert ended.failure.peer == upstream.address
    upstream.call()
    again = upstream.accept()
    upstream.read(again)
    again.send(_OK)
    assert isinstance(upstream.ended(), UpstreamAnswered)


@pytest.mark.parametrize(
    'wire',
    [
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n'
        b'Link: </a>\r\n\r\n' + _OK,
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n',
    ],
)
def test_whole_answer(upstream: _Upstream, wire: bytes) -> None:
    """Informational answers are skipped; chunks are joined."""
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    for byte in wire:
        connection.send(bytes([byte]))
        turn(1)
    ended = upstream.ended()
    assert isinstance(ended, UpstreamAnswered)
    assert (ended.status, ended.body) == (200, b'ok')


@pytest.mark.parametrize('stray', [b'', _OK])
def test_stale_pooled_connection_is_not_used(
    upstream: _Upstream, stray: bytes
) -> None:
    """An end or an answer that waits unread must not meet a new request."""
    upstream.call()
    first = upstream.accept()
    upstream.read(first)
    first.send(_OK)
    assert isinstance(upstream.ended(), UpstreamAnswered)
    # The reactor does not turn between these two and the next request.
    if stray:
        first.send(stray.replace(b'ok', b'no'))
    else:
        first.close()
    upstream.call()
    second = upstream.accept()
    assert upstream.read(second).endswith(b'bodybody')
    second.send(_OK)
    ended = upstream.ended()
    assert isinstance(ended, UpstreamAnswered)
    assert ended.body == b'ok'


def test_quiet_pooled_connection_is_used_again(upstream: _Upstream) -> None:
    """Upstreams need 1 ms for a new connection."""
    for _ in range(3):
        upstream.call()
        connection = upstream.held[0] if upstream.held else upstream.accept()
        upstream.read(connection)
        connection.send(_OK)
        upstream.ended()
    assert len(upstream.held) == 1


@pytest.mark.parametrize('target', [b'/', b'/\x80'])
def test_nothing_sent_is_not_sent(upstream: _Upstream, target: bytes) -> None:
    """A refused connection or a target without a form is not run."""
    if target == b'/':
        upstream.listening.close()
    upstream.call(target)
    ended = upstream.ended()
    assert isinstance(ended, UpstreamFailed)
    assert not ended.sent


def test_aborted_call_closes_its_connection(upstream: _Upstream) -> None:
    """A cancelled call tells the upstream by closing, and reports nothing."""
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    upstream.calls.abort(CallId(1))
    turn()
    with pytest.raises(ConnectionResetError):
        connection.recv(1)
    assert not upstream.events


def test_probe_leaves_no_connection_behind(upstream: _Upstream) -> None:
    """Each probe of a suspect must not cost its upstream a connection."""
    upstream.calls.probe(ProbeUpstream(UpstreamId('u0'), upstream.address))
    connection = upstream.accept()
    connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\npart')
    turn_until(lambda: bool(upstream.events))
    assert upstream.events == [
        Probed(UpstreamId('u0'), alive=True, refused=False)
    ]
    turn_until(lambda: _is_closed(connection))


def test_probe_of_an_ended_process_is_refused(upstream: _Upstream) -> None:
    """A process that does not listen must be told from a silent one."""
    upstream.listening.close()
    upstream.calls.probe(ProbeUpstream(UpstreamId('u0'), upstream.address))
    turn_until(lambda: bool(upstream.events))
    assert upstream.events == [
        Probed(UpstreamId('u0'), alive=False, refused=True)
    ]


def _is_closed(connection: socket.socket) -> bool:
    try:
        got = connection.recv(65536)
        while got:
            got = connection.recv(65536)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True
    return True


class _Tagged(UpstreamCalls):
    """Calls whose answers repeat the number of their request."""

    accepts_unframed = True

    def is_foreign(self, effect: CallUpstream, headers: Headers) -> bool:
        """Return whether an answer names another request."""
        return (b'X-Tag', b'%d' % effect.call) not in headers


def _tagged(number: int, body: bytes) -> bytes:
    head = b'HTTP/1.1 200 OK\r\nX-Tag: %d\r\nContent-Length: %d\r\n\r\n'
    return head % (number, len(body)) + body


@pytest.mark.parametrize('together', [True, False])
def test_answer_of_another_request_is_skipped(
    upstream: _Upstream, together: bool
) -> None:
    """A late second answer must not end the request that runs now."""
    upstream.calls = _Tagged(reactor, upstream.events.append)
    upstream.count = 1
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    stray, own = _tagged(1, b'stray'), _tagged(2, b'own')
    if together:
        connection.send(stray + own)
    else:
        connection.send(stray)
        turn(3)
        assert not upstream.events
        connection.send(own)
    turn_until(lambda: bool(upstream.events))
    ended = upstream.events[0]
    assert isinstance(ended, UpstreamAnswered)
    assert ended.body == b'own'


@pytest.mark.parametrize('reset', [True, False])
def test_answer_that_ends_with_its_connection(
    upstream: _Upstream, reset: bool
) -> None:
    """Without a length only a closed connection shows a whole answer."""
    upstream.calls = _Tagged(reactor, upstream.events.append)
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    connection.send(b'HTTP/1.1 200 OK\r\nX-Tag: 1\r\n\r\nwhole')
    turn(3)
    if reset:
        linger = struct.pack('ii', 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
    ended = upstream.ended()
    assert isinstance(ended, UpstreamFailed) is reset


def test_connection_is_kept_no_longer_than_its_server_says(
    upstream: _Upstream,
) -> None:
    """A request on a connection that is being closed may be lost."""
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    connection.send(_OK.replace(b'OK\r\n', b'OK\r\nKeep-Alive: timeout=1\r\n'))
    upstream.ended()
    turn_until(lambda: _is_closed(connection))
