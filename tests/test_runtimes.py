"""The runtime carries out effects on its own, each one for itself."""

from random import Random

import pytest
from sockets import reactor

from greengagemux import runtimes
from greengagemux.clocks import ManualClock, ms
from greengagemux.effects import Effect, OpenStream, ReadLog
from greengagemux.events import Advance
from greengagemux.ids import (
    DaemonId,
    DataCentre,
    Incarnation,
    LogOffset,
    Region,
)
from greengagemux.logs import BufferedHandler
from greengagemux.messages import MemberRecord
from greengagemux.reducers import Daemon, DaemonOptions
from greengagemux.rollouts import Rollout


class _Log:
    def __init__(self) -> None:
        self.reads: list[ReadLog] = []

    def read(self, effect: ReadLog) -> None:
        """Keep a read."""
        self.reads.append(effect)


@pytest.mark.parametrize('address', ['nowhere', '127.0.0.1:70000', ''])
def test_failed_effect_does_not_stop_the_others(
    monkeypatch: pytest.MonkeyPatch, address: str
) -> None:
    """An address that cannot be parsed must not cost a read of the log.

    The reader waits for the result of each read before the next one.
    """
    name = DaemonId('d')
    own = MemberRecord(
        name, Incarnation(1), 1, DataCentre('a'), Region('r'), '127.0.0.1:1'
    )
    clock = ManualClock()
    process = runtimes.Process(
        reactor,
        clock,
        BufferedHandler(clock, name, Incarnation(1), lambda _data: 0),
    )
    rollout = Rollout({}, name, own.data_centre)
    daemon = Daemon(DaemonOptions(own, (), ms(1000)), rollout, Random(1))
    runtime = runtimes.Runtime(process, daemon)
    log = _Log()
    runtime._log = log  # type: ignore[assignment]
    read = ReadLog('bundles', LogOffset(0), ms(0))
    effects: list[Effect] = [OpenStream(name, address), read]
    monkeypatch.setattr(runtimes, 'reduce', lambda *_event: effects)
    runtime.submit(Advance())
    assert log.reads == [read]
