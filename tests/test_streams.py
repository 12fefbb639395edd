"""Streams over real sockets with peers that violate the protocol."""

import re
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sockets import Client, reactor, turn, run_reactor_until

from greengagemux import streams
from greengagemux.addresses import Address
from greengagemux.clocks import ManualClock
from greengagemux.codecs import decode, encode
from greengagemux.events import (
    Event,
    PeerMessage,
    PeerUnreachable,
    StreamClosed,
    StreamOpened,
)
from greengagemux.frames import FRAGMENT_BYTES, FrameReader, FrameWriter
from greengagemux.ids import DaemonId, DataCentre, Incarnation, Region
from greengagemux.logs import HybridClock
from greengagemux.messages import (
    PROTOCOL_VERSION,
    Cancel,
    Hello,
    Message,
    Ping,
    Pong,
)
from greengagemux.outcomes import Failure, FailureError


def _hello(
    daemon: str = 'peer-1', version: int = PROTOCOL_VERSION, started: int = 7
) -> Hello:
    return Hello(
        version,
        DaemonId(daemon),
        DataCentre('a'),
        Region('r'),
        Incarnation(started),
        1,
    )


def _framed(payload: bytes) -> bytes:
    return FrameWriter().frames(bytes(8) + payload)


def _wire(*messages: Message) -> bytes:
    return b''.join(_framed(encode(message)) for message in messages)


def _packed(*fields: Any) -> bytes:
    return _framed(msgspec.msgpack.encode(fields))


class _Hub:
    """A hub that records events and failures."""

    def __init__(self, tls: Any = None, daemon: str = 'own-1') -> None:
        self.events: list[Event] = []
        self.failures: list[Failure] = []
        self.hub = streams.StreamHub(
            reactor,
            self.events.append,
            lambda: _hello(daemon, started=1),
            streams.Counters(self.failures.append, _ignore, _ignore),
            HybridClock(ManualClock()),
            tls,
        )
        self.port = self.hub.listen(Address('127.0.0.1', 0))

    @property
    def failure(self) -> Failure:
        assert len(self.failures) == 1
        return self.failures[0]

    def of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]

    def peer(self) -> Client:
        """Return a peer whose stream is open."""
        peer = Client(self.port).send(_wire(_hello()))
        known = len(self.of(StreamOpened))
        run_reactor_until(lambda: len(self.of(StreamOpened)) > known)
        return peer

    def open(self, daemon: str = '') -> Client:
        """Open a stream to a peer and return the peer's end of it."""
        listening = socket.create_server(('127.0.0.1', 0))
        address = Address(*listening.getsockname())
        self.hub.open(DaemonId(daemon), address)
        listening.setblocking(False)
        ends: list[socket.socket] = []
        run_reactor_until(lambda: _accepted(listening, ends))
        listening.close()
        return Client(ends[0])


def _accepted(listening: socket.socket, ends: list[socket.socket]) -> bool:
    with suppress(BlockingIOError):
        ends.append(listening.accept()[0])
    return bool(ends)


def _ignore(_size_bytes: int) -> None:
    """Count nothing."""


@pytest.fixture(name='hub')
def _hub() -> Iterator[_Hub]:
    made = _Hub()
    yield made
    made.hub.stop()
    made.hub.close_all()
    turn()
    assert not made.hub._streams


@pytest.mark.parametrize(
    ('wire', 'text'),
    [
        (struct.pack('>I', FRAGMENT_BYTES + 1), 'frame at .* is above'),
        (struct.pack('>I', 3), 'frame at .* too short'),
        (struct.pack('>II', 4, 0), 'frame at .* without timestamp'),
        (_framed(b'\xc1'), 'decode at .* malformed'),
        (_framed(b''), 'decode at .* truncated'),
        (_packed('ping', 'no number'), r'decode at .* `int`'),
        (_packed('ping'), 'decode at .* length'),
        (_packed('unheard-of', 1), 'decode at .* Invalid value'),
        (
            _framed(b'\x93\xa4ping\1' + b'\x91' * 3000 + b'\1'),
            'decode at .* depth',
        ),
        (_wire(_hello()), 'decode at .* second hello'),
    ],
)
@pytest.mark.parametrize('greeted', [True, False])
def test_bad_frame_ends_its_stream_only(
    hub: _Hub, wire: bytes, text: str, greeted: bool
) -> None:
    """A malformed frame must end only its own stream, and name the peer."""
    other = hub.peer()
    if greeted:
        bad = hub.peer().send(wire + _wire(Ping(1)))
        expected = 'peer-1'
    else:
        start = _wire(_hello()) if 'second' in text else b''
        bad = Client(hub.port)
        expected = '127.0.0.1:%d' % bad.socket.getsockname()[1]
        expected = 'peer-1' if start else expected
        bad.send(start + wire + _wire(Ping(1)))
    bad.read_all()
    failure = hub.failure
    pattern = text.replace(' at .*', f' at {expected}:.*')
    assert re.search(pattern, str(failure))
    assert not hub.of(PeerMessage)
    other.send(_wire(Ping(2)))
    run_reactor_until(lambda: hub.of(PeerMessage))


@pytest.mark.parametrize(
    ('wire', 'text'),
    [
        (_wire(Ping(1)), 'first message is not hello'),
        (_wire(_hello(version=99)), 'protocol version 99, not'),
        (_wire(_hello('')), 'daemon id of the hello'),
        (_wire(_hello('a b')), 'daemon id of the hello'),
        (_wire(_hello('own-1')), 'claims the id own-1'),
        (struct.pack('>I', 9000) + bytes(8000), 'hello above 4096 bytes'),
    ],
)
def test_unauthenticated_peer_is_refused(
    hub: _Hub, wire: bytes, text: str
) -> None:
    """A peer without a valid ``Hello`` and an id of its own is refused."""
    peer = Client(hub.port)
    name = '127.0.0.1:%d' % peer.socket.getsockname()[1]
    peer.send(wire).read_all()
    failure = hub.failure
    assert text in failure.detail
    assert failure.peer == name
    assert not hub.events


def test_own_address_among_the_seeds_is_no_failure(hub: _Hub) -> None:
    """A daemon that connects to itself must not report a claimed id."""
    address = Address('127.0.0.1', hub.port.getHost().port)
    hub.hub.open(DaemonId(''), address)
    run_reactor_until(lambda: len(hub.of(StreamOpened)) == 2)
    assert not hub.failures


@pytest.mark.parametrize(
    ('start', 'text'),
    [
        (b'', 'ended before hello'),
        (_wire(_hello())[:9], 'truncated message'),
        (_wire(_hello()) + struct.pack('>I', 100) + b'x', 'truncated message'),
    ],
)
def test_stream_that_ends_early_is_counted(
    hub: _Hub, start: bytes, text: str
) -> None:
    """A stream that ends inside a message or before hello is a failure."""
    peer = Client(hub.port).send(start)
    turn()
    peer.socket.close()
    run_reactor_until(lambda: hub.failures)
    assert text in hub.failures[0].detail
    assert len(hub.failures) == 1


def test_no_hello(hub: _Hub, monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer that sends no ``Hello`` must be disconnected."""
    monkeypatch.setattr(streams, 'HELLO_TIMEOUT_S', 0.02)
    Client(hub.port).read_all()
    assert [each.detail for each in hub.failures] == ['no hello']


@pytest.mark.parametrize('long', [True, False])
def test_peer_that_does_not_read(
    hub: _Hub, monkeypatch: pytest.MonkeyPatch, long: bool
) -> None:
    """A peer that does not read must be disconnected at the unsent limit."""
    monkeypatch.setattr(streams, 'UNSENT_LIMIT_BYTES', 4_000_000)
    peer = hub.peer()
    opened = hub.of(StreamOpened)[0]
    size = 1_000_000 if long else 20_000
    sent = 0
    while not hub.failures and sent < 40_000_000:
        sent += size
        hub.hub.send(opened.stream, _hello('x' * size))
        turn(2)
    assert 'bytes unsent' in hub.failure.detail
    assert not peer.ended
    run_reactor_until(lambda: hub.of(StreamClosed))
    assert hub.of(StreamClosed)[0].failure.peer == 'peer-1'


@pytest.mark.parametrize('long', [True, False])
def test_peers_that_do_not_read_share_one_limit(
    hub: _Hub, monkeypatch: pytest.MonkeyPatch, long: bool
) -> None:
    """Unsent bytes of many peers, each below its limit, must not fill memory."""
    monkeypatch.setattr(streams, 'UNSENT_TOTAL_LIMIT_BYTES', 40_000_000)
    stalled = [hub.peer() for _ in range(4)]
    reading = hub.peer()
    opened = hub.of(StreamOpened)
    size = 1_000_000 if long else 20_000
    for _ in range(25_000_000 // size):
        for each in opened[: len(stalled)]:
            hub.hub.send(each.stream, _hello('x' * size))
        turn(1)
    assert 0 < hub.hub.unsent.total_bytes <= 40_000_000
    assert 0 < len(hub.failures) < len(stalled)
    assert 'unsent to all' in hub.failures[0].detail
    received = len(reading.received)
    hub.hub.send(opened[-1].stream, _hello('y' * size))
    run_reactor_until(
        lambda: reading.read() or len(reading.received) > received + size
    )
    for peer in stalled:
        peer.socket.close()
    run_reactor_until(lambda: not hub.hub.unsent.total_bytes)


def test_request_from_the_accepting_side(hub: _Hub) -> None:
    """A peer must not send requests on a stream that it did not open."""
    peer = hub.open()
    peer.send(_wire(_hello(), Cancel(1)))
    peer.read_all()
    failure = hub.failure
    assert str(failure) == 'decode at peer-1: Cancel from the accepting side'
    assert not hub.of(PeerMessage)


@pytest.mark.parametrize('daemon', ['', 'peer-2'])
def test_opened_stream_without_the_expected_peer(
    hub: _Hub, daemon: str
) -> None:
    """A path must not stay ``opening`` if its stream ends before hello."""
    peer = hub.open(daemon)
    if daemon:
        peer.send(_wire(_hello()))
    else:
        run_reactor_until(lambda: peer.read() or peer.received)
        peer.socket.close()
    run_reactor_until(lambda: hub.of(PeerUnreachable))
    unreachable = hub.of(PeerUnreachable)[0]
    assert unreachable.daemon == daemon
    assert not unreachable.refused
    assert not hub.of(StreamOpened)
    failure = hub.failure
    assert ('peer is peer-1, not peer-2' in failure.detail) == bool(daemon)


def test_inbound_streams_are_limited(
    hub: _Hub, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Too many inbound streams must not use up the file descriptors."""
    monkeypatch.setattr(streams, 'INBOUND_LIMIT', 1)
    first = hub.peer()
    assert not Client(hub.port).read_all()
    assert 'too many' in hub.failures[0].detail
    first.socket.close()
    run_reactor_until(lambda: hub.of(StreamClosed))
    hub.peer()


def _messages(wire: bytes) -> list[Message]:
    payloads = FrameReader('own-1').feed(wire)
    return [decode(payload[8:], 'own-1') for payload in payloads]


@pytest.mark.parametrize('size', [1_000_000, 8_000_000])
def test_stop_sends_all_fragments(hub: _Hub, size: int) -> None:
    """A long answer must not be cut off by the stop of its egress.

    The longer one exceeds the buffers of the sockets.
    """
    peer = hub.peer()
    answer = _hello('x' * size)
    hub.hub.send(hub.of(StreamOpened)[0].stream, answer)
    hub.hub.stop()
    assert _messages(peer.read_all())[1:] == [answer]


def test_stop_does_not_reset_a_stream_with_input(hub: _Hub) -> None:
    """Input that arrives during a stop must not destroy answers in transit."""
    narrow = socket.socket()
    narrow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    narrow.connect(('127.0.0.1', hub.port.getHost().port))
    peer = Client(narrow).send(_wire(_hello()))
    run_reactor_until(lambda: hub.of(StreamOpened))
    answer = _hello('x' * 20_000)
    for _ in range(20):
        hub.hub.send(hub.of(StreamOpened)[0].stream, answer)
        turn(2)
    hub.hub.stop()
    peer.socket.send(_wire(Ping(1)))
    turn()
    assert _messages(peer.read_all())[1:] == [answer] * 20
    run_reactor_until(lambda: hub.of(StreamClosed))


def test_stop_ends_a_stream_with_unsent_data(hub: _Hub) -> None:
    """A stream must end once its peer has read what was unsent at the stop."""
    peer = hub.peer()
    answer = _hello('x' * 20_000)
    for _ in range(500):
        hub.hub.send(hub.of(StreamOpened)[0].stream, answer)
    turn()
    hub.hub.stop()
    assert _messages(peer.read_all())[1:] == [answer] * 500
    run_reactor_until(lambda: hub.of(StreamClosed))


def test_answer_during_a_stop_is_sent(hub: _Hub) -> None:
    """A request that arrives while a stream closes must still be refused."""
    peer = hub.peer()
    stream = hub.of(StreamOpened)[0].stream
    hub.hub.send(stream, _hello('x' * 1_000_000))
    hub.hub.stop()
    peer.send(_wire(Ping(1)))
    run_reactor_until(lambda: hub.of(PeerMessage))
    hub.hub.send(stream, Pong(1))
    assert Pong(1) in _messages(peer.read_all())


def test_stop_leaves_no_stream_open(hub: _Hub) -> None:
    """Neither a late hello nor a path may give a stopping hub a new stream."""
    late = Client(hub.port)
    run_reactor_until(lambda: late.read() or late.received)
    hub.hub.stop()
    late.send(_wire(_hello())).read_all()
    listening = socket.create_server(('127.0.0.1', 0))
    listening.setblocking(False)
    hub.hub.open(DaemonId(''), Address(*listening.getsockname()))
    turn()
    assert not _accepted(listening, [])
    listening.close()


@settings(derandomize=True, deadline=None)
@given(
    st.binary(max_size=200),
    st.sampled_from([_wire(_hello()), _wire(Cancel(3))]),
)
def test_any_bytes_give_messages_or_a_failure(
    noise: bytes, start: bytes
) -> None:
    """No bytes of a peer may raise anything but a named failure."""
    place = len(noise) % len(start)
    damaged = start[:place] + noise + start[place:]
    read: Callable[[bytes], list[bytes]] = FrameReader('peer-9').feed
    try:
        for payload in read(damaged):
            decode(payload[8:], 'peer-9')
    except FailureError as error:
        assert error.failure.peer == 'peer-9'
