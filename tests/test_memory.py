"""Guards against requests that together take more memory than a host has."""

import socket
from collections.abc import Iterator
from contextlib import suppress

import pytest
from sockets import Client, reactor, run_reactor_until, turn

from greengagemux import connections, frames, listeners, streams
from greengagemux.addresses import Address
from greengagemux.clocks import ManualClock
from greengagemux.codecs import decode, encode, request_of
from greengagemux.effects import CallUpstream, Respond
from greengagemux.events import (
    CallerRequest,
    Event,
    PeerMessage,
    StreamOpened,
    UpstreamAnswered,
)
from greengagemux.ids import (
    CallerName,
    CallId,
    DaemonId,
    DataCentre,
    Incarnation,
    Region,
    RequestId,
    RouteName,
    ServiceName,
    UpstreamId,
)
from greengagemux.logs import HybridClock
from greengagemux.memory.limits import HostLimits, host_limits
from greengagemux.memory.requests import SMALL_BYTES, RequestBytes
from greengagemux.messages import (
    PROTOCOL_VERSION,
    Answer,
    Dispatch,
    Hello,
    Load,
    Message,
    Ping,
    Priority,
    Refusal,
    UpstreamState,
)
from greengagemux.outcomes import Failure, Outcome, Reason

STAMP = bytes(8)
MEBIBYTE = 1024 * 1024
NOT_RUN = Refusal(RequestId(9), Reason.memory, Outcome.not_run)


class _Request:
    """A request that records whether it was given up."""

    def __init__(self) -> None:
        self.given_up = False

    def give_up(self) -> None:
        self.given_up = True


@pytest.mark.parametrize('memory_mb', [100, 120, 200, 250, 300, 552, 4000])
def test_all_limits_fit_into_the_memory(memory_mb: int) -> None:
    """The sum of all limits must leave room for the process itself."""
    limits = host_limits(memory_mb)
    total = (
        limits.request_bytes
        + limits.unsent_bytes
        + limits.response_bytes
        + limits.unread_bytes
        + limits.retained_bytes
        + limits.incoming_bytes
    )
    assert total < (memory_mb - 60) * 1_000_000
    assert limits.body_bytes > 2_000_000
    assert limits.request_bytes > 2 * limits.body_bytes


def test_hosts_of_300_mb_keep_the_limits_that_they_had() -> None:
    """The limits of responses and frames must not shrink on such hosts."""
    limits = host_limits(300)
    assert limits.unsent_bytes == streams.UNSENT_TOTAL_LIMIT_BYTES
    assert limits.unread_bytes == listeners.UNREAD_TOTAL_LIMIT_BYTES
    assert limits.response_bytes == connections.HELD_LIMIT_BYTES
    assert limits.connections == listeners.CONNECTION_LIMIT


@pytest.mark.parametrize('max_fds', [400, 4100, 8192])
def test_connections_leave_descriptors_for_the_rest(max_fds: int) -> None:
    """Callers must leave descriptors for files, streams and upstreams."""
    limits = host_limits(200, max_fds)
    assert 100 < limits.connections
    assert limits.connections + limits.inbound_streams < 0.9 * (max_fds - 200)


def test_largest_unfinished_request_is_given_up() -> None:
    """One that has been received whole may have run and must be kept."""
    held = RequestBytes(10 * SMALL_BYTES)
    complete, larger, smaller, later = (_Request() for _ in range(4))
    held.add(complete, 4 * SMALL_BYTES)
    held.complete(complete)
    held.add(larger, 3 * SMALL_BYTES)
    held.add(smaller, SMALL_BYTES)
    held.add(later, SMALL_BYTES)
    given_up = [each.given_up for each in (complete, larger, smaller, later)]
    assert given_up == [False, True, False, False]
    assert held.held_bytes == 6 * SMALL_BYTES
    for request in (complete, larger, smaller, later):
        held.release(request)
    assert not held.held_bytes


def test_small_request_is_kept_beside_large_ones() -> None:
    """A small one must find room while complete large ones are waiting."""
    held = RequestBytes(100 * SMALL_BYTES, lambda: 95 * SMALL_BYTES)
    small, large = _Request(), _Request()
    held.add(small, 100)
    held.add(large, 2 * SMALL_BYTES)
    assert (small.given_up, large.given_up) == (False, True)


def _dispatch(request: int, body: bytes) -> Dispatch:
    return Dispatch(
        request=RequestId(request),
        upstream=UpstreamId('u'),
        service=ServiceName('s'),
        route=RouteName('r'),
        method=b'POST',
        target=b'/',
        headers=(),
        body=body,
        remaining_ms=1000,
        answer_limit_bytes=1000,
        priority=Priority.waiting,
        caller=CallerName('c'),
        idempotent=False,
    )


def _answer(request: int, body: bytes) -> Answer:
    load = Load(0, 0, 1, 1, UpstreamState.serving)
    return Answer(RequestId(request), 200, (), body, len(body), 0, 1, load)


@pytest.mark.parametrize('request_id', [1, 200, 60_000, 2**20, 2**40])
def test_request_of_a_first_fragment(request_id: int) -> None:
    """The refusal of a request must name it, whatever its number."""
    dispatch = encode(_dispatch(request_id, b'x' * 99))
    assert request_of(dispatch) == (Dispatch, request_id)
    answer = encode(_answer(request_id, b'x' * 99))
    assert request_of(answer) == (Answer, request_id)
    assert request_of(encode(Ping(request_id))) is None


def test_many_long_messages_on_one_stream() -> None:
    """A reader must not end a stream for messages that began together."""
    writer = frames.FrameWriter()
    sent = [bytes([n]) * 3 * frames.FRAGMENT_BYTES for n in range(100)]
    wire = b''.join(writer.frames(each) for each in sent)
    while writer.pending:
        wire += writer.next_fragment()
    got = frames.FrameReader('peer').feed(wire)
    assert sorted(bytes(each) for each in got) == sent
    assert not writer.pending_bytes


class _Hub:
    """A hub on a host of little memory, with one open stream."""

    def __init__(self, limits: HostLimits) -> None:
        self.events: list[Event] = []
        self.failures: list[Failure] = []
        self.hub = streams.StreamHub(
            reactor,
            self.events.append,
            lambda: _hello('own'),
            streams.Counters(self.failures.append, _ignore, _ignore),
            HybridClock(ManualClock()),
            limits=limits,
        )
        self.peer = Client(self.hub.listen(Address('127.0.0.1', 0)))
        self.writer = frames.FrameWriter()
        self.reader = frames.FrameReader('own')
        self.send(_hello('peer'))
        run_reactor_until(lambda: self.events)
        opened = self.events[0]
        assert isinstance(opened, StreamOpened)
        self.stream = opened.stream

    def send(self, message: Message, *, whole: bool = True) -> None:
        """Send a message, or all of its fragments but the last."""
        wire = self.writer.frames(STAMP + encode(message))
        while self.writer.pending:
            fragment = self.writer.next_fragment()
            if whole or self.writer.pending:
                wire += fragment
        self.peer.send(wire)

    @property
    def messages(self) -> list[Message]:
        found = [each for each in self.events if isinstance(each, PeerMessage)]
        return [each.message for each in found]

    def received(self) -> list[Message]:
        turn(50)
        self.peer.read()
        payloads = self.reader.feed(self.peer.received)
        self.peer.received = b''
        return [decode(bytes(each[8:]), 'own') for each in payloads]


def _hello(daemon: str) -> Hello:
    return Hello(
        PROTOCOL_VERSION,
        DaemonId(daemon),
        DataCentre('a'),
        Region('r'),
        Incarnation(1),
        1,
    )


def _ignore(_size_bytes: int) -> None:
    """Count nothing."""


@pytest.fixture(name='hub')
def _hub() -> Iterator[_Hub]:
    small = HostLimits(
        MEBIBYTE,
        MEBIBYTE,
        4 * MEBIBYTE,
        MEBIBYTE,
        MEBIBYTE,
        MEBIBYTE,
        MEBIBYTE,
    )
    made = _Hub(small)
    yield made
    made.hub.stop()
    made.hub.close_all()
    made.peer.socket.close()
    turn()


def test_receiver_without_room_refuses_one_request(hub: _Hub) -> None:
    """It must end neither the stream nor the request of another caller."""
    hub.send(_dispatch(8, b'x' * 100_000), whole=False)
    hub.send(_dispatch(9, b'x' * 2 * MEBIBYTE))
    hub.send(Ping(5))
    run_reactor_until(lambda: Ping(5) in hub.messages)
    assert hub.messages == [Ping(5)]
    assert NOT_RUN in hub.received()
    assert not hub.failures
    assert 90_000 < hub.hub._requests.held_bytes < 140_000
    hub.send(_dispatch(10, b'y' * 500_000))
    run_reactor_until(lambda: len(hub.messages) == 2)
    assert hub.messages[1] == _dispatch(10, b'y' * 500_000)


def test_lost_stream_frees_its_bytes(hub: _Hub) -> None:
    """Fragments of a stream that has ended must not count for ever."""
    hub.send(_dispatch(8, b'x' * 100_000), whole=False)
    run_reactor_until(lambda: hub.hub._requests.held_bytes)
    hub.peer.socket.close()
    run_reactor_until(lambda: not hub.hub._requests.held_bytes)


def test_response_without_room_is_lost_alone(hub: _Hub) -> None:
    """Its request has run, so the outcome is unknown; the stream stays."""
    hub.send(_answer(9, b'x' * 2 * MEBIBYTE))
    hub.send(Ping(5))
    run_reactor_until(lambda: Ping(5) in hub.messages)
    lost = Refusal(RequestId(9), Reason.answer_too_large, Outcome.unknown)
    assert hub.messages == [lost, Ping(5)]
    assert not hub.failures


def test_sender_without_room_refuses_one_request(hub: _Hub) -> None:
    """A request that a slow peer cannot take must not end the stream."""
    for request in range(8):
        hub.hub.send(hub.stream, _dispatch(request, b'x' * 400_000))
    assert not hub.failures
    refused = {each.request for each in hub.messages}
    assert refused
    run_reactor_until(lambda: hub.received() or not hub.hub.unsent.total_bytes)
    hub.hub.send(hub.stream, Ping(5))
    assert not hub.failures


class _Edge:
    """A listener that answers each request with the size of its body."""

    def __init__(self, limits: HostLimits) -> None:
        self.requests: list[CallerRequest] = []
        self.cutoffs: list[str] = []
        self.answers = True
        self.listener = listeners.CallerListener(
            reactor,
            ManualClock(),
            self._submit,
            lambda why: self.cutoffs.append(why.value),
            limits,
        )
        self.port = self.listener.listen(Address('127.0.0.1', 0))

    def _submit(self, event: Event) -> None:
        if isinstance(event, CallerRequest):
            self.requests.append(event)
        if isinstance(event, CallerRequest) and self.answers:
            size = b'%d' % len(event.body)
            self.listener.respond(Respond(event.exchange, 200, (), size))


@pytest.fixture(name='edge')
def _edge(monkeypatch: pytest.MonkeyPatch) -> Iterator[_Edge]:
    monkeypatch.setattr(listeners, 'LINGER_S', 0.02)
    made = _Edge(host_limits(100))
    yield made
    made.listener.release(accept=False)
    for channel in tuple(made.listener._channels):
        channel.transport.abortConnection()
    run_reactor_until(lambda: not made.listener.connections)
    assert not made.listener.requests.held_bytes


def _chunked(body: bytes, size: int) -> bytes:
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = b''.join(b'%x\r\n%b\r\n' % (len(each), each) for each in pieces)
    head = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    return head + chunks + b'0\r\n\r\n'


@pytest.mark.parametrize('pipeline_limit', [1, 4])
@pytest.mark.parametrize('size', [1, 700, 40_000])
def test_chunks_that_are_parsed_in_turns(
    edge: _Edge,
    monkeypatch: pytest.MonkeyPatch,
    size: int,
    pipeline_limit: int,
) -> None:
    """Neither the body nor the request behind it may be altered."""
    monkeypatch.setattr(connections, 'PARSE_TURN_S', 0.0002)
    edge.listener.pipeline_limit = pipeline_limit
    body = bytes(range(256)) * 300
    wire = _chunked(body, size) + b'GET /behind HTTP/1.1\r\nHost: a\r\n\r\n'
    caller = Client(edge.port).send(wire)
    run_reactor_until(lambda: len(edge.requests) == 2)
    assert edge.requests[0].body == body
    assert edge.requests[1].target == b'/behind'
    run_reactor_until(lambda: caller.read() or b'\r\n\r\n0' in caller.received)
    assert not edge.cutoffs


def test_small_chunks_do_not_keep_others_waiting(edge: _Edge) -> None:
    """Another caller must be served before many small chunks are parsed."""
    slow = [Client(edge.port) for _ in range(20)]
    wire = _chunked(b'x' * 100_000, 1)[:-7]
    for each in slow:
        with suppress(BlockingIOError):
            each.socket.send(wire)
    turn(3)
    other = Client(edge.port).send(b'GET /other HTTP/1.1\r\nHost: a\r\n\r\n')
    for _ in range(10):
        reactor.iterate(0.001)
        other.read()
    assert other.received.startswith(b'HTTP/1.1 200 ')
    assert edge.listener.turns._waiting
    for each in slow:
        each.socket.close()


def test_largest_body_is_refused_as_not_run(edge: _Edge) -> None:
    """Its caller must learn that; a smaller unfinished one is still served."""
    head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
    size = 1_500_000
    small = Client(edge.port).send(head % 100 + b'x' * 99)
    large = [
        Client(edge.port).send(head % size + b'x' * (size - 1 - at))
        for at in range(6)
    ]
    run_reactor_until(lambda: any(each.read() for each in large))
    assert 'memory' in edge.cutoffs
    refused = [each for each in large if each.read() or each.received]
    assert refused
    for each in refused:
        assert each.received.startswith(b'HTTP/1.1 503 ')
        assert b'Retry-After' in each.received
        assert b'not-run' in each.received
        assert b'Connection: close' in each.received
    small.send(b'x').expect(b'100')
    for each in large:
        each.socket.close()


@pytest.mark.parametrize('end', [b'\r\n0\r\n\r\n', b'zz'])
def test_refused_body_behind_a_running_request(edge: _Edge, end: bytes) -> None:
    """It must neither submit that request again nor count for ever."""
    edge.listener.pipeline_limit = 4
    edge.answers = False
    size = edge.listener.body_limit_bytes + (1 if end != b'zz' else 0)
    wire = b'GET /first HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a'
    wire += b'\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n' % size
    caller = Client(edge.port).send(wire + b'x' * size + end)
    run_reactor_until(lambda: edge.cutoffs)
    turn()
    assert [each.target for each in edge.requests] == [b'/first']
    assert not edge.listener.requests.held_bytes
    caller.socket.close()


def test_input_behind_a_running_request_is_counted(edge: _Edge) -> None:
    """Bytes behind a request that waits must not be without a bound."""
    edge.answers = False
    clients = [Client(edge.port) for _ in range(3)]
    for each in clients:
        each.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n' + b'x' * 30_000)
    run_reactor_until(
        lambda: edge.listener.requests.held_bytes >= len(clients) * 30_000
    )
    for request in edge.requests:
        edge.listener.respond(Respond(request.exchange, 200, (), b''))
    assert not edge.listener.requests.held_bytes
    for each in clients:
        each.socket.close()


def _call(address: str, number: int, body: bytes) -> CallUpstream:
    call = CallId(number)
    return CallUpstream(call, address, b'POST', b'/', (), body, 1000)


def test_connection_with_an_unsent_body_is_not_used_again() -> None:
    """A response before the end of a body must not precede the next request.

    The rest of the body would be taken for that request.
    """
    upstream = socket.create_server(('127.0.0.1', 0))
    address = '127.0.0.1:%d' % upstream.getsockname()[1]
    events: list[Event] = []
    calls = connections.UpstreamCalls(reactor, events.append)
    calls.call(_call(address, 1, b'x' * 16 * MEBIBYTE))
    turn()
    first = upstream.accept()[0]
    first.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    run_reactor_until(lambda: events)
    assert isinstance(events[0], UpstreamAnswered)
    calls.call(_call(address, 2, b'last'))
    turn()
    upstream.setblocking(False)
    second = upstream.accept()[0]
    turn()
    assert second.recv(65536).endswith(b'last')
    for each in (first, second, upstream):
        each.close()
    turn()
