"""Guards the time at which a process ends."""

from datetime import timedelta
from functools import partial

import pytest
from twisted.internet.testing import MemoryReactorClock

from greengagemux.clocks import ZERO
from greengagemux.effects import Containment, StepFailed
from greengagemux.shutdown.sequence import (
    CHECK_INTERVAL_S,
    EXIT_LIMIT_S,
    Shutdown,
)

LIMIT = timedelta(seconds=3)


class _Output:
    """Output to callers or peers, as the listener and the hub tell it."""

    def __init__(self) -> None:
        self.has_unsent = False
        self.has_streams = False
        self.ended: list[str] = []

    def disconnect_all(self) -> None:
        """End the connections of callers."""
        self.ended.append('callers')

    def stop(self) -> None:
        """End the streams of peers."""
        self.ended.append('streams')

    def close_all(self) -> None:
        """Close the streams of peers."""
        self.ended.append('closed')


class _Process:
    """A process that ends; ``limit`` is the time for its output."""

    def __init__(self, limit: timedelta = LIMIT) -> None:
        self.reactor = MemoryReactorClock()
        self.callers = _Output()
        self.peers = _Output()
        self.failures: list[StepFailed] = []
        self._shutdown = Shutdown(
            self.reactor,
            self.callers,  # type: ignore[arg-type]
            self.peers,  # type: ignore[arg-type]
            partial(Containment, self.failures.append),
        )
        self._limit = limit

    def ends_after_s(self) -> float:
        """End it and return the time that takes."""
        self._shutdown.begin(self._limit)
        for _ in range(100):
            if self.reactor.hasStopped:
                break
            self.reactor.advance(CHECK_INTERVAL_S)
        assert self.reactor.hasStopped
        assert not self.failures
        return self.reactor.seconds()


def test_process_without_output_ends_at_once() -> None:
    """Nothing is waited for that the stop does not need."""
    process = _Process()
    assert process.ends_after_s() == pytest.approx(CHECK_INTERVAL_S)
    assert process.callers.ended == ['callers']
    assert process.peers.ended == ['streams', 'closed']


@pytest.mark.parametrize('reader', ['callers', 'peers'])
@pytest.mark.parametrize('limit', [LIMIT, ZERO])
def test_output_that_nobody_reads_is_given_up(
    reader: str, limit: timedelta
) -> None:
    """Guards against a process that is killed at the end of the grace."""
    process = _Process(limit)
    getattr(process, reader).has_unsent = True
    ended_s = process.ends_after_s()
    expected_s = limit.total_seconds() + EXIT_LIMIT_S
    assert ended_s == pytest.approx(expected_s, abs=CHECK_INTERVAL_S)


@pytest.mark.parametrize('reader', ['callers', 'peers'])
def test_output_is_waited_for(reader: str) -> None:
    """Guards against responses that end with the process."""
    process = _Process()
    output = getattr(process, reader)
    output.has_unsent = True
    process.reactor.callLater(1, setattr, output, 'has_unsent', False)
    assert process.ends_after_s() == pytest.approx(1, abs=2 * CHECK_INTERVAL_S)


def test_peer_that_keeps_its_stream_holds_a_stop_briefly() -> None:
    """A peer that hangs has received all output, but does not end."""
    process = _Process()
    process.peers.has_streams = True
    ended_s = process.ends_after_s()
    assert ended_s == pytest.approx(EXIT_LIMIT_S, abs=CHECK_INTERVAL_S)
