"""Callers on real sockets that send, read or disconnect badly."""

import os
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sockets import Client, reactor, turn, run_reactor_until
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.web.http_headers import InvalidHeaderName

from greengagemux import limits, listeners
from greengagemux.addresses import Address
from greengagemux.clocks import ManualClock
from greengagemux.effects import Respond
from greengagemux.events import CallerDisconnected, CallerRequest, Event
from greengagemux.sockets import unsent_bytes

_GET = b'GET /stock/1 HTTP/1.1\r\nHost: a\r\n\r\n'
_IDLE_CLIENT = """
import socket, sys
port, count = int(sys.argv[1]), int(sys.argv[2])
held = [socket.create_connection(('127.0.0.1', port)) for _ in range(count)]
sys.stdin.read()
"""


class _Edge:
    """A listener whose requests are answered by calls of the test."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.events: list[Event] = []
        self.cutoffs: Counter[str] = Counter()
        self.listener = listeners.CallerListener(
            reactor, self.clock, self.events.append, self._count
        )
        self.port = self.listener.listen(Address('127.0.0.1', 0))

    @property
    def requests(self) -> list[CallerRequest]:
        return [each for each in self.events if isinstance(each, CallerRequest)]

    def take(self, count: int = 1) -> CallerRequest:
        run_reactor_until(lambda: len(self.requests) >= count)
        return self.requests[count - 1]

    def answer(self, count: int = 1, body: bytes = b'') -> None:
        request = self.take(count)
        made = body or b'answer to ' + request.target
        self.listener.respond(Respond(request.exchange, 200, (), made))

    def _count(self, why: listeners.Cutoff) -> None:
        self.cutoffs[why.value] += 1


@pytest.fixture(name='edge')
def _edge(monkeypatch: pytest.MonkeyPatch) -> Iterator[_Edge]:
    monkeypatch.setattr(listeners, 'LINGER_S', 0.02)
    made = _Edge()
    yield made
    made.listener.release(accept=False)
    for channel in tuple(made.listener._channels):
        channel.transport.abortConnection()
    run_reactor_until(lambda: not made.listener.connections)
    assert not made.listener._receiving


@pytest.mark.parametrize(
    'wire',
    [
        b'\x16\x03\x01\x02\x00\x01\x00\r\n',
        b'GET /stock/1\r\n\r\n',
        b'GET /a b HTTP/1.1\r\n\r\n',
        b'GET / HTTP/2.0\r\n\r\n',
        b'GET / HTTP/1.1\r\nno colon\r\nHost: a\r\n\r\n',
        b'GET / HTTP/1.1\r\nbad name: a\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: a\0b\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
        b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        b'GET /' + b'a' * 20_000,
        b'GET / HTTP/1.1\r\n' + b'X: y\r\n' * 501 + b'\r\n',
    ],
)
def test_bad_http_is_refused_as_not_run(edge: _Edge, wire: bytes) -> None:
    """Malformed HTTP must not reach the reducer, nor disturb other callers."""
    other = Client(edge.port).send(_GET)
    head = Client(edge.port).send(wire).read_all().lower()
    assert head.startswith(b'http/1.1 400 ')
    assert b'\r\ngreengage-outcome: not-run\r\n' in head
    assert edge.cutoffs == {'bad_http': 1}
    edge.answer()
    other.expect(b'answer to /stock/1')
    assert len(edge.requests) == 1


@pytest.mark.parametrize('chunked', [True, False])
def test_body_above_the_limit(edge: _Edge, chunked: bool) -> None:
    """A large body must be refused early, with the reason in the response."""
    size = listeners.BODY_LIMIT_BYTES + 1
    wire = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % size
    if chunked:
        wire = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        wire += b'%x\r\n' % size + b'x' * size
    found = Client(edge.port).send(wire + b'x' * 1000).read_all()
    assert found.startswith(b'HTTP/1.1 413 ')
    assert found.count(b'HTTP/1.1') == 1
    assert b'body-too-large' in found
    assert edge.cutoffs == {'body_too_large': 1}
    assert not edge.requests


@pytest.mark.parametrize(
    'wire',
    [
        b'GE',
        b'GET / HTTP/1.1\r\nHo',
        b'PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\n1',
    ],
)
def test_slow_sender_is_cut_off(edge: _Edge, wire: bytes) -> None:
    """A request that arrives in small pieces must be cut off in time."""
    slow = Client(edge.port).send(wire)
    run_reactor_until(lambda: edge.listener._receiving)
    edge.clock.advance(listeners.READ_LIMIT / 2)
    slow.send(b'1')
    turn()
    edge.listener.cut_off_slow()
    assert not edge.cutoffs
    edge.clock.advance(listeners.READ_LIMIT / 2)
    edge.listener.cut_off_slow()
    assert not slow.read_all()
    assert edge.cutoffs == {'slow': 1}


def test_waiting_and_idle_callers_are_not_slow(edge: _Edge) -> None:
    """Time spent waiting for a response, or idle, must not count as slow.

    A stray line end after a request must not start the read time limit.
    """
    caller = Client(edge.port).send(_GET)
    edge.take()
    caller.send(_GET)
    for count in (1, 2):
        edge.clock.advance(listeners.IDLE_LIMIT / 2)
        edge.listener.cut_off_slow()
        edge.answer(count)
    caller.send(b'\r\n')
    turn()
    edge.clock.advance(listeners.IDLE_LIMIT / 2)
    edge.listener.cut_off_slow()
    caller.send(_GET)
    edge.answer(3)
    run_reactor_until(
        lambda: caller.read() or caller.received.count(b'answer to') == 3
    )
    assert not edge.cutoffs


def test_pipelined_requests_are_answered_in_order(edge: _Edge) -> None:
    """Pipelined requests must run one by one, or writes could be reordered."""
    wire = b''.join(_GET.replace(b'1 ', b'%d ' % turn) for turn in range(9))
    caller = Client(edge.port).send(wire)
    for count in range(1, 10):
        edge.take(count)
        turn(5)
        assert len(edge.requests) == count
        edge.answer(count)
    caller.expect(b'/stock/8')
    targets = [b'answer to /stock/%d' % turn for turn in range(9)]
    places = [caller.received.index(target) for target in targets]
    assert places == sorted(places)


def test_response_is_withheld_after_pipelined_requests(edge: _Edge) -> None:
    """A pipelined request that was answered must not block later ones."""
    edge.listener.pipeline_limit = 4
    caller = Client(edge.port).send(_GET * 2)
    edge.take(2)
    edge.answer(1)
    edge.answer(2, b'second answer')
    caller.expect(b'second answer')
    caller.send(_GET)
    edge.answer(3, b'third answer')
    caller.expect(b'third answer')


@pytest.mark.parametrize(
    ('limit', 'first', 'second'),
    [(1, _GET, _GET), (4, _GET, _GET), (1, _GET * 2, b'')],
)
def test_request_behind_a_closing_response_is_run(
    edge: _Edge, limit: int, first: bytes, second: bytes
) -> None:
    """A caller sends it again elsewhere, so a write would run twice."""
    edge.listener.pipeline_limit = limit
    edge.listener.release(accept=True)
    caller = Client(edge.port).send(first)
    edge.answer()
    caller.socket.setblocking(True)
    caller.socket.sendall(second)
    caller.socket.setblocking(False)
    assert caller.read_all().count(b'HTTP/1.1 ') == 1
    assert b'Connection: close' in caller.received
    assert caller.received.endswith(b'answer to /stock/1')
    turn(5)
    assert len(edge.requests) == 1
    run_reactor_until(lambda: not edge.listener.connections)


def test_pipelined_requests_before_a_stop_are_cut_off(edge: _Edge) -> None:
    """Only the response to the last request read may close the connection."""
    edge.listener.pipeline_limit = 4
    caller = Client(edge.port).send(_GET * 2 + _GET[:-2])
    edge.take(2)
    edge.listener.release(accept=True)
    edge.answer(2)
    edge.answer(1)
    caller.expect(b'answer to /stock/1')
    edge.listener.release(accept=False)
    caller.send(_GET[-2:])
    edge.answer(3)
    assert caller.read_all().count(b'answer to /stock/1') == 3
    assert caller.received.count(b'Connection: close') == 1


@pytest.mark.parametrize('size_bytes', [1000, 70_000, 400_000])
def test_slow_reader_gets_a_part_of_the_last_response(
    edge: _Edge, size_bytes: int
) -> None:
    """A caller may need longer than ``LINGER_S`` to read the last response."""
    edge.listener.release(accept=True)
    target = socket.socket()
    target.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    target.connect(('127.0.0.1', edge.port.getHost().port))
    caller = Client(target).send(_GET)
    edge.answer(body=b'x' * size_bytes)
    until_s = time.monotonic() + 5 * listeners.LINGER_S
    run_reactor_until(lambda: time.monotonic() > until_s)
    assert caller.read_all().endswith(b'\r\n\r\n' + b'x' * size_bytes)


def test_closed_connection_is_kept_after_the_last_response(
    edge: _Edge, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once its caller has closed it too, a connection must be removed."""
    monkeypatch.setattr(listeners, 'LINGER_S', 60)
    edge.listener.release(accept=True)
    caller = Client(edge.port).send(_GET)
    edge.answer()
    assert caller.read_all()
    run_reactor_until(lambda: not edge.listener.connections)


def test_pipelining_caller_keeps_a_stopping_daemon_busy(edge: _Edge) -> None:
    """After the notice of a stop, later requests of a connection must wait."""
    edge.listener.pipeline_limit = 4
    caller = Client(edge.port).send(_GET * 2)
    edge.take(2)
    edge.listener.release(accept=False)
    caller.send(_GET)
    turn(5)
    edge.answer(1)
    edge.answer(2)
    assert caller.read_all().count(b'HTTP/1.1 ') == 2
    assert caller.received.count(b'Connection: close') == 1
    assert len(edge.requests) == 2


def test_response_from_before_a_stop_leaves_the_connection_open(
    edge: _Edge,
) -> None:
    """A response that was withheld since before the stop must close, too."""
    edge.listener.pipeline_limit = 4
    caller = Client(edge.port).send(_GET * 2)
    edge.take(2)
    edge.answer(2)
    edge.listener.release(accept=True)
    edge.answer(1)
    assert caller.read_all().count(b'Connection: close') == 1


def test_response_that_cannot_be_written_blocks_later_ones(
    edge: _Edge,
) -> None:
    """Its connection must be closed, or its caller waits for ever."""
    edge.listener.pipeline_limit = 4
    caller = Client(edge.port).send(_GET * 2)
    first = edge.take(2)
    broken = Respond(edge.requests[0].exchange, 200, ((b'a b', b''),), b'')
    with pytest.raises(InvalidHeaderName):
        edge.listener.respond(broken)
    assert first.exchange != broken.exchange
    assert not caller.read_all()


def test_bad_request_is_answered_before_earlier_ones(edge: _Edge) -> None:
    """Its refusal must not take the place of an earlier response."""
    edge.listener.pipeline_limit = 4
    caller = Client(edge.port).send(_GET + b'GET /a b HTTP/1.1\r\n\r\n')
    edge.answer()
    assert caller.read_all().count(b'HTTP/1.1 ') == 1
    assert caller.received.startswith(b'HTTP/1.1 200 ')
    assert b'Connection: close' in caller.received
    assert edge.cutoffs == {'bad_http': 1}


def test_partial_request_behind_a_response_is_not_timed(edge: _Edge) -> None:
    """A part of a pipelined request must start the read time limit."""
    edge.listener.pipeline_limit = 4
    caller = Client(edge.port).send(_GET + _GET[:-2])
    edge.answer()
    caller.expect(b'answer to')
    edge.clock.advance(listeners.READ_LIMIT)
    edge.listener.cut_off_slow()
    caller.read_all()
    assert edge.cutoffs == {'slow': 1}


def test_idle_connection_is_closed(edge: _Edge) -> None:
    """Idle connections must not accumulate; those with a request stay open."""
    used = Client(edge.port).send(_GET)
    edge.take()
    unused = Client(edge.port)
    run_reactor_until(lambda: edge.listener.connections == 2)
    edge.clock.advance(listeners.IDLE_LIMIT)
    edge.listener.cut_off_slow()
    assert not unused.read_all()
    edge.answer()
    used.expect(b'answer to')
    edge.clock.advance(listeners.IDLE_LIMIT / 2)
    edge.listener.cut_off_slow()
    assert edge.cutoffs == {'idle': 1}
    edge.clock.advance(listeners.IDLE_LIMIT / 2)
    edge.listener.cut_off_slow()
    used.read_all()
    assert edge.cutoffs == {'idle': 2}


@pytest.mark.parametrize('half', [True, False])
def test_caller_that_disconnects(edge: _Edge, half: bool) -> None:
    """A caller that closes one or both ways must end its request."""
    caller = Client(edge.port).send(_GET)
    request = edge.take()
    caller.socket.shutdown(socket.SHUT_WR if half else socket.SHUT_RDWR)
    run_reactor_until(
        lambda: CallerDisconnected(request.exchange) in edge.events
    )
    edge.answer()
    run_reactor_until(lambda: not edge.listener.connections)


def test_caller_that_does_not_read(edge: _Edge) -> None:
    """A caller that pipelines and never reads must not fill the memory."""
    caller = Client(edge.port).send(_GET * 100)
    large = b'x' * 1024 * 1024
    count = 0
    while not edge.cutoffs and count < 50:
        count += 1
        edge.answer(count, large)
        turn(2)
    assert edge.cutoffs == {'unread': 1}
    assert count < 15
    run_reactor_until(lambda: not edge.listener.connections)
    assert len(edge.requests) <= count + 1
    caller.socket.close()


def test_callers_that_do_not_read_fill_no_memory(edge: _Edge) -> None:
    """Guards against the sum of responses that nobody reads.

    Those that hold most are cut off; another caller gets its response.
    """
    # More than the buffers of the kernel hold.
    large = b'x' * listeners.UNREAD_LIMIT_BYTES
    callers = []
    for count in range(1, 31):
        plain = socket.socket()
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        plain.connect(('127.0.0.1', edge.port.getHost().port))
        callers.append(Client(plain).send(_GET))
        edge.answer(count, large)
        turn(2)
        held_bytes = edge.listener.unread_bytes
        assert held_bytes <= listeners.UNREAD_TOTAL_LIMIT_BYTES
    assert edge.cutoffs['unread'] > 10
    reader = Client(edge.port).send(_GET)
    edge.answer(31)
    reader.expect(b'answer to /stock/1')
    for each in callers:
        each.socket.close()
    run_reactor_until(lambda: edge.listener.connections == 1)
    assert not edge.listener.unread_bytes


def test_connections_above_the_limit_are_closed(
    edge: _Edge, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A flood of connections must not use up all file descriptors."""
    monkeypatch.setattr(listeners, 'CONNECTION_LIMIT', 2)
    kept = [Client(edge.port) for _ in range(2)]
    run_reactor_until(lambda: edge.listener.connections == 2)
    assert not Client(edge.port).read_all()
    assert edge.cutoffs == {'too_many': 1}
    kept[0].send(_GET)
    edge.answer()
    kept[0].expect(b'answer to')


def test_idle_connections_take_bounded_memory(
    edge: _Edge, pytestconfig: pytest.Config
) -> None:
    """Idle connections must need little memory.

    ``--idle-connections`` sets their number, for example 10,000.
    """
    count = pytestconfig.getoption('--idle-connections')
    assert limits.raise_file_limit() > count
    before = _resident_bytes()
    arguments = (str(edge.port.getHost().port), str(count))
    command = (sys.executable, '-c', _IDLE_CLIENT, *arguments)
    with subprocess.Popen(command, stdin=subprocess.PIPE) as callers:
        run_reactor_until(lambda: edge.listener.connections == count)
        grown = _resident_bytes() - before
        caller = Client(edge.port).send(_GET)
        edge.answer()
        caller.expect(b'answer to')
        caller.socket.close()
        assert callers.stdin
        callers.stdin.close()
        run_reactor_until(lambda: not edge.listener.connections)
    sys.stdout.write(f'{count} connections: {grown // count} bytes each\n')
    assert grown < count * 10_000 + 8 * 1024 * 1024


def _resident_bytes() -> int:
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


def test_daemon_that_cannot_listen_ends(edge: _Edge, tmp_path: Path) -> None:
    """A daemon that cannot listen must exit instead of appearing alive."""
    taken = edge.port.getHost().port
    lines = ['[daemon]', 'id = d-1', 'data_centre = a', 'region = r']
    lines += [
        f'{name}_address = 127.0.0.{number}:{taken}'
        for number, name in enumerate(('peer', 'http', 'admin'), start=1)
    ]
    path = tmp_path / 'd-1.ini'
    path.write_text('\n'.join(lines))
    command = (sys.executable, '-m', 'greengagemux', 'serve', '--settings')
    ended = subprocess.run(
        (*command, str(path)), capture_output=True, text=True, check=False
    )
    assert ended.returncode == 1
    assert f"cannot serve: Couldn't listen on 127.0.0.1:{taken}" in ended.stderr


class _Transport(StringTransport):
    """A transport that keeps what is written."""

    half_closed = False

    def loseWriteConnection(self) -> None:
        self.half_closed = True


class _Connection:
    """One caller connection without sockets."""

    def __init__(self, limit: int) -> None:
        self.events: list[Event] = []
        self.listener = listeners.CallerListener(
            MemoryReactorClock(), ManualClock(), self.events.append, print
        )
        self.listener.pipeline_limit = limit
        self.channel = self.listener.buildProtocol(None)
        self.transport = _Transport()
        self.channel.makeConnection(self.transport)
        self.pending: list[CallerRequest] = []
        self.taken = 0

    def send(self, wire: bytes) -> None:
        if self.transport.producerState == 'producing':
            self.channel.dataReceived(wire)
        self._take()

    def answer(self, place: int) -> None:
        if not self.pending:
            return
        request = self.pending.pop(place % len(self.pending))
        body = b'<%d>' % request.exchange
        self.listener.respond(Respond(request.exchange, 200, (), body))
        self._take()

    def answered(self) -> list[int]:
        """Return the exchanges whose responses were written, in order."""
        parts = self.transport.value().split(b'<')[1:]
        return [int(part.partition(b'>')[0]) for part in parts]

    def _take(self) -> None:
        requests = [e for e in self.events if isinstance(e, CallerRequest)]
        self.pending += requests[self.taken :]
        self.taken = len(requests)


_caller_steps = st.lists(
    st.one_of(
        st.tuples(st.just('send'), st.integers(1, 3)),
        st.tuples(st.just('part'), st.integers(1, len(_GET) - 1)),
        st.tuples(st.just('answer'), st.integers(0, 3)),
        st.tuples(st.just('release'), st.integers(0, 1)),
    ),
    max_size=30,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(steps=_caller_steps, limit=st.integers(1, 4))
def test_request_that_was_taken_gets_no_answer(
    steps: list[tuple[str, int]], limit: int
) -> None:
    """Each taken request is answered once, in order, until the last response."""
    connection = _Connection(limit)
    rest = b''
    for name, amount in steps:
        match name:
            case 'send':
                connection.send(rest + _GET * amount)
                rest = b''
            case 'part' if not rest:
                connection.send(_GET[:amount])
                rest = _GET[amount:]
            case 'answer':
                connection.answer(amount)
            case 'release':
                connection.listener.release(accept=bool(amount))
    connection.send(rest)
    while connection.pending:
        connection.answer(0)
    assert connection.answered() == sorted(connection.answered())
    assert len(connection.answered()) == connection.taken
    wire = connection.transport.value()
    assert wire.count(b'Connection: close') <= 1
    if b'Connection: close' in wire:
        last = wire.rpartition(b'Connection: close')[2]
        assert last.count(b'<') == 1
        assert connection.transport.half_closed


def _slow_client(edge: _Edge) -> Client:
    """Return a client whose kernel holds little that it has not read."""
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    plain.connect(('127.0.0.1', edge.port.getHost().port))
    return Client(plain)


#: More than the kernel holds for one connection.
_LARGE = b'x' * (listeners.UNREAD_LIMIT_BYTES - 1000)


def _linger() -> None:
    """Let the linger time pass several times."""
    until_s = time.monotonic() + 5 * listeners.LINGER_S
    run_reactor_until(lambda: time.monotonic() > until_s)


def test_connection_that_is_used_again_does_not_lose_its_response(
    edge: _Edge,
) -> None:
    """Guards against a reset by input that was not read before the close.

    The caller sends its next request while it still reads.
    """
    caller = _slow_client(edge).send(_GET)
    edge.answer(body=_LARGE)
    turn(5)
    edge.listener.release(accept=False)
    caller.send(_GET)
    _linger()
    caller.send(_GET)
    assert caller.read_all().endswith(_LARGE)
    assert len(edge.requests) == 1


def test_refusal_does_not_cut_off_an_earlier_response(edge: _Edge) -> None:
    """Guards against a time limit that starts before the caller has read."""
    caller = _slow_client(edge).send(_GET)
    edge.answer(body=_LARGE)
    turn(5)
    caller.send(b'GET / HTTP/2.0\r\n\r\n')
    _linger()
    received = caller.read_all()
    assert received.count(_LARGE) == 1
    assert received.count(b'HTTP/1.1 400 ') == 1


def test_refused_caller_at_the_end_of_the_process(edge: _Edge) -> None:
    """Guards against a second timer, which would outlast its connection."""
    caller = _slow_client(edge).send(_GET)
    edge.answer(body=_LARGE)
    turn(5)
    caller.send(b'GET / HTTP/2.0\r\n\r\n')
    run_reactor_until(lambda: edge.cutoffs['bad_http'])
    edge.listener.disconnect_all()
    received = caller.read_all()
    assert received.count(_LARGE) == 1
    run_reactor_until(lambda: not edge.listener.connections)
    delayed = map(str, reactor.getDelayedCalls())
    assert sum('linger' in call for call in delayed) == 0


def test_caller_that_never_reads_the_last_response(edge: _Edge) -> None:
    """Its connection must not stay for good after it was closed."""
    caller = _slow_client(edge).send(_GET)
    edge.answer(body=_LARGE)
    edge.listener.release(accept=False)
    _linger()
    assert edge.listener.connections == 1
    assert edge.listener.has_unsent
    edge.clock.advance(listeners.LINGER_LIMIT)
    run_reactor_until(lambda: not edge.listener.connections)
    assert edge.cutoffs == {'unread': 1}
    caller.socket.close()


def test_closed_connection_has_no_unsent_output() -> None:
    """Guards against a stop that fails at a connection that has just ended."""
    transport = StringTransport()
    closed = socket.socket()
    closed.close()
    transport.getHandle = lambda: closed  # type: ignore[attr-defined]
    assert unsent_bytes(transport) == 0


def test_caller_that_ignores_the_end_is_closed(edge: _Edge) -> None:
    """A connection whose caller has everything is not kept for it."""
    edge.listener.release(accept=True)
    caller = Client(edge.port).send(_GET)
    edge.answer()
    caller.expect(b'answer to /stock/1')
    run_reactor_until(lambda: not edge.listener.has_unsent)
    run_reactor_until(lambda: not edge.listener.connections)
    caller.socket.close()
