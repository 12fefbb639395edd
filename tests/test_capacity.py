"""Guards for the capacity measurements and for the limits that they rest on.

A large bundle or a silent peer must not hold up a daemon or a rollout.
"""

from random import Random

import pytest
from twisted.internet.task import Clock

from greengagemux.bundlecosts import BundleReader, Size, bundle_text
from greengagemux.clocks import ms
from greengagemux.distribution import Distribution
from greengagemux.effects import Outbox, Send
from greengagemux.messages import BundleFetch, BundleOffer
from greengagemux.paths import Paths
from greengagemux.rollouts import FETCH_TIMEOUT, Rollout
from greengagemux.runtimes import Timer
from greengagemux.slopes import member_record
from greengagemux.spreads import RolloutSimulation, Trial


def test_large_bundle_takes_several_turns() -> None:
    """Guards against a bundle opened in one turn, which blocks the loop."""
    reader = BundleReader()
    size = Size(4, 40, 2000)
    first = reader.apply('first', bundle_text(size, 1), delta=False)
    later = reader.apply('delta', bundle_text(size, 2), delta=True)
    assert later.turns > 10
    assert first.turns > later.turns
    assert later.size_bytes < first.size_bytes / 10
    assert reader.daemon.distribution.rollout.bundle.version == 2
    assert reader.daemon.distribution.rollout.bundle.table is not None


def test_next_peer_is_asked_when_the_first_is_silent() -> None:
    """Guards against waiting for a bundle from a peer that has died."""
    outbox = Outbox()
    own = member_record(0)
    rollout = Rollout({}, own.daemon, own.data_centre)
    node = Distribution(
        own, rollout, Paths(outbox, Random(1)), outbox, Random(1)
    )
    offer = BundleOffer(3, 4, b'digest')
    for stream in (1, 2):
        node.receive(offer, stream, {}, ms(0))
    node.tick({}, FETCH_TIMEOUT - ms(1))
    asked = [each for each in outbox.drain() if isinstance(each, Send)]
    assert asked == [Send(1, BundleFetch(b'digest'))]
    # A newer version is requested without delay.
    node.receive(BundleOffer(4, 5, b'newer'), 1, {}, ms(2))
    assert Send(1, BundleFetch(b'newer')) in outbox.drain()
    node.tick({}, FETCH_TIMEOUT)
    assert Send(2, BundleFetch(b'digest')) in outbox.drain()


def test_bundle_reaches_all_without_first_readers() -> None:
    """Guards against a rollout that fails with the first readers of the log."""
    for killed in (0, 1, 7):
        times = RolloutSimulation(Trial(21, 3, kill_readers=killed)).run()
        assert max(times) < 6


def test_timer_continues_after_exception() -> None:
    """Guards against a daemon whose ticks end after one exception."""
    clock = Clock()
    calls: list[float] = []

    def work() -> None:
        calls.append(clock.seconds())
        raise ValueError('fault')

    timer = Timer(clock, 1, work)
    timer.start()
    for _ in range(3):
        with pytest.raises(ValueError, match='fault'):
            clock.advance(1)
    assert calls == [1, 2, 3]
    timer.stop()
    clock.advance(9)
    assert len(calls) == 3
