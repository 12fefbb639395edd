"""Guards against a relay that loses, reorders or misdirects bytes."""

from typing import Any

from fakes_standins import Connection, Transport
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from greengagemux_standins.cutters import LinkOrder, Relay


class _Far:
    """The end of the newest relayed connection at its target."""

    def __init__(self, network: MemoryReactorClock) -> None:
        factory = network.tcpClients[-1][2]
        self.transport = Transport()
        self.protocol = factory.buildProtocol(None)
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    @property
    def raw(self) -> bytes:
        return self.transport.value()


def _relay(**order: Any) -> tuple[Relay, MemoryReactorClock]:
    network = MemoryReactorClock()
    relay = Relay('127.0.0.1:9', network)
    relay.start()
    relay.order(LinkOrder(**order))
    return relay, network


def _connect(network: MemoryReactorClock) -> tuple[Connection, _Far]:
    return Connection(network, listener=0), _Far(network)


@settings(derandomize=True, deadline=None)
@given(
    chunks=st.lists(st.binary(min_size=1, max_size=50), max_size=20),
    latencies=st.lists(st.integers(0, 20), min_size=1, max_size=5),
    cuts=st.lists(st.sampled_from(['none', 'forward']), min_size=1),
)
def test_bytes_arrive_whole_and_in_order(
    chunks: list[bytes], latencies: list[int], cuts: list[Any]
) -> None:
    """Changing latency and cuts must delay bytes, and nothing else."""
    relay, network = _relay()
    near, far = _connect(network)
    for number, chunk in enumerate(chunks):
        relay.order(
            LinkOrder(
                forward_ms=latencies[number % len(latencies)],
                forward_bytes_per_second=1000,
                cut=cuts[number % len(cuts)],
            )
        )
        near.protocol.dataReceived(chunk)
        network.advance(0.005)
    relay.order(LinkOrder())
    for _ in range(5):
        network.advance(1)
    assert far.raw == b''.join(chunks)


def test_latency_per_direction() -> None:
    """Each direction must have its own latency."""
    _, network = _relay(forward_ms=8, backward_ms=3)
    near, far = _connect(network)
    near.protocol.dataReceived(b'ask')
    far.protocol.dataReceived(b'reply')
    network.advance(0.003)
    assert (far.raw, near.raw) == (b'', b'reply')
    network.advance(0.006)
    assert far.raw == b'ask'


def test_one_way_cut_lets_the_other_way_through() -> None:
    """A cut of one direction must not stop the other."""
    relay, network = _relay(cut='forward')
    near, far = _connect(network)
    near.protocol.dataReceived(b'ask')
    far.protocol.dataReceived(b'reply')
    network.advance(60)
    assert (far.raw, near.raw) == (b'', b'reply')
    relay.order(LinkOrder())
    assert far.raw == b'ask'


def test_bandwidth_is_shared() -> None:
    """Two connections must share one bandwidth limit."""
    _, network = _relay(forward_bytes_per_second=1000)
    pairs = [_connect(network) for _ in range(2)]
    for near, _ in pairs:
        near.protocol.dataReceived(b'x' * 100)
    network.advance(0.11)
    assert [len(far.raw) for _, far in pairs] == [100, 0]
    network.advance(0.1)
    assert [len(far.raw) for _, far in pairs] == [100, 100]


def test_silenced_connection_stays_silent_while_others_work() -> None:
    """Only the silenced connection may stop, and it must stay open."""
    relay, network = _relay()
    (near, far), (near_two, far_two) = (_connect(network) for _ in range(2))
    relay.order(LinkOrder(silence=1))
    near.protocol.dataReceived(b'a')
    near_two.protocol.dataReceived(b'b')
    far.transport.loseConnection()
    network.advance(60)
    assert (far.raw, far_two.raw) == (b'', b'b')
    assert not near.transport.disconnected


def test_end_and_reset_are_passed_on() -> None:
    """A close and a reset must arrive as such, and free the connection."""
    relay, network = _relay(forward_ms=1, backward_ms=1)
    (near, far), (near_two, far_two) = (_connect(network) for _ in range(2))
    near.protocol.dataReceived(b'last')
    near.drop()
    far_two.transport.abortConnection()
    network.advance(1)
    assert far.raw == b'last'
    assert far.transport.disconnected and not far.transport.aborted
    assert near_two.transport.aborted
    network.advance(1)
    assert not relay.relayed


def test_bytes_before_the_far_end_opens_are_kept() -> None:
    """Bytes sent before the relay has connected to the target must arrive."""
    _, network = _relay()
    near = Connection(network, listener=0)
    near.protocol.dataReceived(b'early')
    assert _Far(network).raw == b'early'
