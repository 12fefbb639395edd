"""Tools of the capacity page, and what they showed to be needed."""

from random import Random

import pytest
from twisted.internet.task import Clock

from greengagemux.bundlecosts import Size, Subject, bundle_text
from greengagemux.clocks import ms
from greengagemux.distribution import Distribution
from greengagemux.effects import Outbox, Send
from greengagemux.messages import BundleFetch, BundleOffer
from greengagemux.paths import Paths
from greengagemux.rollouts import FETCH_TIMEOUT, Rollout
from greengagemux.runtimes import Timer
from greengagemux.slopes import member_record
from greengagemux.spreads import Spread, Trial


def test_large_bundle_takes_several_turns() -> None:
    """Guards against a bundle that is opened in one hold of the loop."""
    subject = Subject()
    size = Size(4, 40, 2000)
    first = subject.take('first', bundle_text(size, 1), delta=False)
    later = subject.take('delta', bundle_text(size, 2), delta=True)
    assert later.turns > 10
    assert first.turns > later.turns
    assert later.size_bytes < first.size_bytes / 10
    assert subject.daemon.distribution.rollout.bundle.version == 2
    assert subject.daemon.distribution.rollout.bundle.table is not None


def test_next_peer_is_asked_when_the_first_is_silent() -> None:
    """Guards against a daemon that waits for a peer that has died."""
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


def test_spread_reaches_all_without_first_readers() -> None:
    """Guards against a rollout that depends on one reader of the log."""
    for killed in (0, 1, 7):
        times = Spread(Trial(21, 3, kill_readers=killed)).run()
        assert max(times) < 6


def test_timer_goes_on_after_work_that_fails() -> None:
    """Guards against a daemon whose ticks end with one fault."""
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
