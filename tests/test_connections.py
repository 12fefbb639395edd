"""Calls to upstreams on real sockets that respond badly."""

import socket
import struct
from collections.abc import Callable, Iterator

import pytest
from sockets import reactor, turn, run_reactor_until

from greengagemux.connections import ResponseOwner, UpstreamCalls
from greengagemux.effects import (
    CallUpstream,
    CheckListening,
    ProbeUpstream,
)
from greengagemux.events import (
    CallFault,
    Event,
    ListeningChecked,
    Probed,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamStated,
)
from greengagemux.ids import CallId, UpstreamId
from greengagemux.messages import Headers
from greengagemux.platform.exchanges import PlatformCalls

_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_LIMIT = 1000


class _Upstream:
    """An upstream whose connections the test accepts and writes itself."""

    def __init__(self) -> None:
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setblocking(False)
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        self.accepted: list[socket.socket] = []
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
        run_reactor_until(self._accepted)
        self.accepted[-1].setblocking(False)
        return self.accepted[-1]

    def read(self, connection: socket.socket) -> bytes:
        received = bytearray()
        run_reactor_until(lambda: self._read(connection, received))
        return bytes(received)

    def ended(self) -> UpstreamAnswered | UpstreamFailed:
        run_reactor_until(lambda: len(self.events) >= self.count)
        assert len(self.events) == self.count
        found = self.events[-1]
        assert isinstance(found, UpstreamAnswered | UpstreamFailed)
        return found

    def _accepted(self) -> bool:
        try:
            self.accepted.append(self.listener.accept()[0])
        except BlockingIOError:
            return False
        return True

    def _read(self, connection: socket.socket, received: bytearray) -> bool:
        try:
            received += connection.recv(65536)
        except BlockingIOError:
            return False
        return received.endswith(b'body')


@pytest.fixture(name='upstream')
def _upstream() -> Iterator[_Upstream]:
    made = _Upstream()
    yield made
    made.calls.drop(made.address)
    for accepted in (made.listener, *made.accepted):
        accepted.close()
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
        (
            b'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok',
            CallFault.malformed,
        ),
        (b'HTTP/1.1 000\r\n\r\n', CallFault.malformed),
        (b'HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n', CallFault.malformed),
        (b'HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n', CallFault.malformed),
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
    """A request that was sent must count as sent after any bad response.

    The upstream may have run it. The next call needs a new connection.
    """
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
    """Informational responses must be skipped and chunks joined."""
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
    """A pooled connection with unread input or end must not be reused.

    The request would be lost, or the stray response taken for its own.
    """
    upstream.call()
    first = upstream.accept()
    upstream.read(first)
    first.send(_OK)
    assert isinstance(upstream.ended(), UpstreamAnswered)
    # The reactor does not run before the next call, so that it has read
    # neither the response nor the end.
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


def test_idle_pooled_connection_is_used_again(upstream: _Upstream) -> None:
    """Calls must reuse connections: upstreams need 1 ms for a new one."""
    for _ in range(3):
        upstream.call()
        connection = (
            upstream.accepted[0] if upstream.accepted else upstream.accept()
        )
        upstream.read(connection)
        connection.send(_OK)
        upstream.ended()
    assert len(upstream.accepted) == 1


def _send_while_idle(upstream: _Upstream, connection: socket.socket) -> None:
    connection.sendall(b'x')
    run_reactor_until(lambda: _is_closed(connection))


def _send_before_a_call(upstream: _Upstream, connection: socket.socket) -> None:
    connection.sendall(b'x')
    # The reactor does not run before this call.
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    connection.sendall(_OK)
    run_reactor_until(lambda: len(upstream.events) == upstream.count - 1)
    assert isinstance(upstream.events[-1], UpstreamAnswered)


def _send_before_a_response(
    upstream: _Upstream, connection: socket.socket
) -> None:
    upstream.call()
    upstream.read(connection)
    connection.sendall(b'x')
    run_reactor_until(lambda: len(upstream.events) == upstream.count - 1)
    failed = upstream.events[-1]
    assert isinstance(failed, UpstreamFailed)
    assert (failed.fault, failed.sent) == (CallFault.malformed, True)


@pytest.mark.parametrize(
    'send_unasked',
    [_send_while_idle, _send_before_a_call, _send_before_a_response],
)
def test_unasked_bytes_cost_no_call_on_another_kept_connection(
    upstream: _Upstream,
    send_unasked: Callable[[_Upstream, socket.socket], None],
) -> None:
    """Its other connections may be about to carry unasked bytes as well."""
    connections = []
    for _ in range(3):
        upstream.call()
        connections.append(upstream.accept())
        upstream.read(connections[-1])
    idle, last, busy = connections
    for number, connection in enumerate((idle, last), start=1):
        connection.sendall(_OK)
        run_reactor_until(lambda count=number: len(upstream.events) == count)
    send_unasked(upstream, last)
    run_reactor_until(lambda: _is_closed(idle))
    busy.sendall(_OK)
    run_reactor_until(lambda: len(upstream.events) == upstream.count)
    assert isinstance(upstream.events[-1], UpstreamAnswered)
    run_reactor_until(lambda: _is_closed(busy))
    upstream.call()
    upstream.read(upstream.accept())


@pytest.mark.parametrize('target', [b'/', b'/\x80'])
def test_nothing_sent_is_not_sent(upstream: _Upstream, target: bytes) -> None:
    """A request that was not sent must be reported so, for another attempt.

    Its connection was refused, or its target is not valid HTTP.
    """
    if target == b'/':
        upstream.listener.close()
    upstream.call(target)
    ended = upstream.ended()
    assert isinstance(ended, UpstreamFailed)
    assert not ended.sent


def test_aborted_call_closes_its_connection(upstream: _Upstream) -> None:
    """An aborted call must close its connection and submit no event."""
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    upstream.calls.abort(CallId(1))
    turn()
    with pytest.raises(ConnectionResetError):
        connection.recv(1)
    assert not upstream.events


@pytest.mark.parametrize('wire', [b'', b'HTTP/1.1 200 OK\r\nContent-Le'])
def test_connection_closed_before_the_head_ends_counts_as_reset(
    upstream: _Upstream, wire: bytes
) -> None:
    """The end of an upstream process must not look like a bad response."""
    upstream.calls = _Tagged(reactor, upstream.events.append)
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    connection.send(wire)
    turn()
    connection.close()
    ended = upstream.ended()
    assert isinstance(ended, UpstreamFailed)
    assert (ended.fault, ended.sent) == (CallFault.reset, True)


def test_probe_leaves_no_connection_behind(upstream: _Upstream) -> None:
    """A probe must close its connection, or probes would use up the limit."""
    upstream.calls.probe(ProbeUpstream(UpstreamId('u0'), upstream.address))
    connection = upstream.accept()
    connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\npart')
    run_reactor_until(lambda: bool(upstream.events))
    assert upstream.events == [
        Probed(UpstreamId('u0'), alive=True, refused=False)
    ]
    run_reactor_until(lambda: _is_closed(connection))


def test_probe_of_an_ended_process_is_refused(upstream: _Upstream) -> None:
    """A refused connection must be distinguished from a missing response."""
    upstream.listener.close()
    upstream.calls.probe(ProbeUpstream(UpstreamId('u0'), upstream.address))
    run_reactor_until(lambda: bool(upstream.events))
    assert upstream.events == [
        Probed(UpstreamId('u0'), alive=False, refused=True)
    ]


def test_check_of_a_listening_process(upstream: _Upstream) -> None:
    """The check must send nothing and leave no connection behind."""
    check = CheckListening(UpstreamId('u0'), upstream.address)
    upstream.calls.check_listening(check)
    connection = upstream.accept()
    run_reactor_until(lambda: bool(upstream.events))
    assert upstream.events == [ListeningChecked(UpstreamId('u0'), False)]
    run_reactor_until(lambda: _is_closed(connection))


@pytest.mark.parametrize('closes_first', [False, True])
def test_check_of_an_ended_process(
    upstream: _Upstream, closes_first: bool
) -> None:
    """A connection that is accepted and closed shows no process."""
    check = CheckListening(UpstreamId('u0'), upstream.address)
    if not closes_first:
        upstream.listener.close()
    upstream.calls.check_listening(check)
    if closes_first:
        upstream.accept().close()
        upstream.listener.close()
    run_reactor_until(lambda: bool(upstream.events))
    assert upstream.events == [ListeningChecked(UpstreamId('u0'), True)]


def _is_closed(connection: socket.socket) -> bool:
    try:
        received = connection.recv(65536)
        while received:
            received = connection.recv(65536)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True
    return True


class _Tagged(UpstreamCalls):
    """Calls whose responses repeat the number of their request."""

    accepts_close_delimited = True

    def owner_of(
        self, effect: CallUpstream, status: int, headers: Headers
    ) -> ResponseOwner:
        """Return whether a response names the request of a call."""
        if (b'X-Tag', b'%d' % effect.call) in headers:
            return ResponseOwner.current
        return ResponseOwner.other


def _tagged(number: int, body: bytes) -> bytes:
    head = b'HTTP/1.1 200 OK\r\nX-Tag: %d\r\nContent-Length: %d\r\n\r\n'
    return head % (number, len(body)) + body


@pytest.mark.parametrize('together', [True, False])
def test_answer_of_another_request_is_skipped(
    upstream: _Upstream, together: bool
) -> None:
    """A second response to an earlier request must not end the current one."""
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
    run_reactor_until(lambda: bool(upstream.events))
    ended = upstream.events[0]
    assert isinstance(ended, UpstreamAnswered)
    assert ended.body == b'own'


@pytest.mark.parametrize('reset', [True, False])
def test_answer_that_ends_with_its_connection(
    upstream: _Upstream, reset: bool
) -> None:
    """A response without a length is complete if its connection closed.

    After a reset it must fail, as its end may be missing.
    """
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
    """A pooled connection must close before its server closes it.

    A request that is sent at the same moment would be lost.
    """
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    connection.send(_OK.replace(b'OK\r\n', b'OK\r\nKeep-Alive: timeout=1\r\n'))
    upstream.ended()
    run_reactor_until(lambda: _is_closed(connection))


@pytest.mark.parametrize('number', [b'9' * 5000, b'9' * 30, b'x', b''])
def test_odd_keep_alive_sets_no_limit(
    upstream: _Upstream, number: bytes
) -> None:
    """A number that is too large must not cost the response."""
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    header = b'OK\r\nKeep-Alive: timeout=' + number + b'\r\n'
    connection.send(_OK.replace(b'OK\r\n', header))
    assert isinstance(upstream.ended(), UpstreamAnswered)


class _Platform:
    """Calls with the platform's headers to an upstream that the test plays."""

    def __init__(self, upstream: _Upstream) -> None:
        self.upstream = upstream
        self.calls = PlatformCalls(reactor, self._submit)
        self.ended: dict[CallId, UpstreamAnswered | UpstreamFailed] = {}
        self.count = 0

    def call(self, tag: str) -> CallId:
        self.count += 1
        call = CallId(self.count)
        self.calls.call(
            CallUpstream(
                call,
                self.upstream.address,
                b'POST',
                b'/',
                (),
                b'body',
                _LIMIT,
                False,
                tag=tag,
            )
        )
        return call

    def result(self, call: CallId) -> UpstreamAnswered | UpstreamFailed:
        run_reactor_until(lambda: call in self.ended)
        return self.ended[call]

    def _submit(self, event: Event) -> None:
        if isinstance(event, UpstreamAnswered | UpstreamFailed):
            self.ended[event.call] = event


def _named(tag: str) -> bytes:
    return b'Request-Id: %s\r\n' % tag.encode() if tag else b''


def _refusal(tag: str, status: int = 503) -> bytes:
    head = b'HTTP/1.1 %d No\r\n%s%sContent-Length: 2\r\n\r\nno'
    marked = b'' if status == _MISDIRECTED else b'Not-Executed: 1\r\n'
    return head % (status, _named(tag), marked)


def _own_answer(tag: str) -> bytes:
    head = b'HTTP/1.1 200 OK\r\n%sResponse-Seal: s\r\nContent-Length: 3\r\n\r\n'
    return head % _named(tag) + b'own'


_MISDIRECTED = 421


@pytest.mark.parametrize(
    'marks', [b'', b'Response-Seal: s\r\n', b'Not-Executed: 1\r\n']
)
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
def test_status_that_is_none_is_not_passed_on(
    upstream: _Upstream, status: bytes, marks: bytes
) -> None:
    """A response with such a status must not reach a caller as an answer.

    Whatever else it states, the request may have run.
    """
    platform = _Platform(upstream)
    call = platform.call('a')
    connection = upstream.accept()
    upstream.read(connection)
    head = b'HTTP/1.1 %s No\r\nRequest-Id: a\r\n%sContent-Length: 2\r\n\r\nno'
    connection.sendall(head % (status, marks))
    ended = platform.result(call)
    assert isinstance(ended, UpstreamFailed)
    assert (ended.fault, ended.sent) == (CallFault.malformed, True)


@pytest.mark.parametrize('status', [503, 429, _MISDIRECTED])
@pytest.mark.parametrize('repeated', ['a', ''])
@pytest.mark.parametrize('cut', [0, 1, 12, 30, 58])
def test_earlier_refusal_written_again_is_not_that_of_the_next_request(
    upstream: _Upstream, status: int, repeated: str, cut: int
) -> None:
    """ "Not run" must be told only of the request that was refused.

    The upstream writes its last refusal once more on the kept connection,
    with and without the id, at once or in two parts, and runs the next one.
    """
    platform = _Platform(upstream)
    first = platform.call('a')
    connection = upstream.accept()
    upstream.read(connection)
    connection.sendall(_refusal('a', status))
    refused = platform.result(first)
    assert isinstance(refused, UpstreamFailed)
    assert not refused.sent
    second = platform.call('b')
    upstream.read(connection)
    again = _refusal(repeated, status)
    connection.sendall(again[:cut])
    turn(2)
    if second not in platform.ended:
        connection.sendall(again[cut:])
        turn(2)
    if second not in platform.ended:
        connection.sendall(_own_answer('b'))
    ended = platform.result(second)
    if isinstance(ended, UpstreamFailed):
        assert ended.sent
        assert not repeated
    else:
        assert ended.body == b'own'


@pytest.mark.parametrize('tag', ['a', ''])
def test_refusal_on_a_new_connection_counts(
    upstream: _Upstream, tag: str
) -> None:
    """Without earlier requests, a refusal without an id has one meaning."""
    platform = _Platform(upstream)
    call = platform.call('a')
    connection = upstream.accept()
    upstream.read(connection)
    connection.sendall(_refusal(tag))
    ended = platform.result(call)
    assert isinstance(ended, UpstreamFailed)
    assert not ended.sent


def test_refused_request_comes_again_on_another_connection(
    upstream: _Upstream,
) -> None:
    """A repeated refusal bears the id of a request that is sent again."""
    platform = _Platform(upstream)
    refused = platform.call('a')
    first = upstream.accept()
    upstream.read(first)
    first.sendall(_refusal('a'))
    platform.result(refused)
    again = platform.call('a')
    second = upstream.accept()
    upstream.read(second)
    first.sendall(_refusal('a'))
    turn(3)
    assert again not in platform.ended
    second.sendall(_own_answer('a'))
    assert isinstance(platform.result(again), UpstreamAnswered)


_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Seal: s\r\n'
_BODY = b'{"stock": 12}'
_FRAMINGS = {
    'length': _HEAD + b'Content-Length: 13\r\n\r\n' + _BODY,
    'chunks': _HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n7\r\n{"stock\r\n6\r\n": 12}\r\n0\r\n\r\n',
    'trailer': _HEAD
    + b'Transfer-Encoding: chunked\r\n\r\nd\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n'
    % _BODY,
    'close': _HEAD + b'Connection: close\r\n\r\n' + _BODY,
    'length 0': _HEAD + b'Content-Length: 0\r\n\r\n',
    '1.0': _HEAD.replace(b'1.1', b'1.0') + b'\r\n' + _BODY,
    'hints first': b'HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n'
    + _HEAD
    + b'Content-Length: 13\r\n\r\n'
    + _BODY,
    '204': _HEAD.replace(b'200 OK', b'204 None') + b'\r\n',
    '304': _HEAD.replace(b'200 OK', b'304 Same') + b'ETag: "1"\r\n\r\n',
}
#: Framings of which any body may be whole once the upstream has closed.
_UNTIL_CLOSE = frozenset(('close', '1.0'))


@pytest.mark.parametrize('reset', [False, True])
@pytest.mark.parametrize('framing', _FRAMINGS)
def test_response_that_is_cut_is_never_whole(
    upstream: _Upstream, framing: str, reset: bool
) -> None:
    """An upstream that stops at any byte and closes has not answered.

    Only a body that ends with its connection may be shorter, and only if the
    connection was closed, not reset.
    """
    platform = _Platform(upstream)
    wire = _FRAMINGS[framing]
    head_bytes = wire.rindex(b'\r\n\r\n') + 4
    closes = framing in _UNTIL_CLOSE and not reset
    end = head_bytes if closes else len(wire)
    if framing in _UNTIL_CLOSE and reset:
        end += 1
    for cut in range(end):
        call = platform.call('a')
        connection = upstream.accept()
        upstream.read(connection)
        connection.sendall(wire[:cut])
        if cut % 2:
            turn(1)
        if reset:
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
        ended = platform.result(call)
        assert isinstance(ended, UpstreamFailed), (cut, wire[:cut])
        assert ended.sent


@pytest.mark.parametrize('framing', _FRAMINGS)
def test_whole_response_is_passed_on(upstream: _Upstream, framing: str) -> None:
    """Each framing must give its body once it is whole."""
    platform = _Platform(upstream)
    call = platform.call('a')
    connection = upstream.accept()
    upstream.read(connection)
    connection.sendall(_FRAMINGS[framing])
    connection.close()
    ended = platform.result(call)
    assert isinstance(ended, UpstreamAnswered)
    has_body = framing not in {'204', '304', 'length 0'}
    assert ended.body == (_BODY if has_body else b'')


@pytest.mark.parametrize(
    ('wire', 'fault'),
    [
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n%s\r\nok', 'truncated'),
        (b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n%s\r\n', 'shed'),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\nok', 'malformed'),
    ],
)
def test_statement_in_a_failed_response_counts(
    upstream: _Upstream, wire: bytes, fault: str
) -> None:
    """A departure or a limit must not be lost with a response that fails."""
    upstream.calls = PlatformCalls(reactor, upstream.events.append)
    upstream.call()
    connection = upstream.accept()
    upstream.read(connection)
    stated = b'Server-Leaving: 1\r\nServer-Limit: 1.5\r\n'
    connection.sendall(wire % stated)
    connection.close()
    run_reactor_until(lambda: len(upstream.events) == 2)
    statement, failed = upstream.events
    assert statement == UpstreamStated(
        UpstreamId(''), 1.5, leaving=True, call=failed.call
    )
    assert isinstance(failed, UpstreamFailed)
    assert failed.fault is CallFault(fault)
