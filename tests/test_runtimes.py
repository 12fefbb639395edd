"""The runtime carries out effects on its own, each one for itself."""

from contextlib import suppress
from random import Random
from typing import Any

import pytest
from sockets import reactor
from twisted.internet.testing import MemoryReactorClock

from greengagemux import runtimes
from greengagemux.clocks import ManualClock, ms
from greengagemux.effects import Effect, Exit, OpenStream, ReadLog
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
from greengagemux.shutdown.sequence import CHECK_INTERVAL_S


class _Log:
    def __init__(self) -> None:
        self.reads: list[ReadLog] = []

    def read(self, effect: ReadLog) -> None:
        """Keep a read."""
        self.reads.append(effect)


def _runtime(on: Any = reactor) -> runtimes.Runtime:
    name = DaemonId('d')
    own = MemberRecord(
        name, Incarnation(1), 1, DataCentre('a'), Region('r'), '127.0.0.1:1'
    )
    clock = ManualClock()
    process = runtimes.Process(
        on,
        clock,
        BufferedHandler(clock, name, Incarnation(1), lambda _data: 0),
    )
    rollout = Rollout({}, name, own.data_centre)
    daemon = Daemon(DaemonOptions(own, (), ms(1000)), rollout, Random(1))
    return runtimes.Runtime(process, daemon)


@pytest.mark.parametrize('address', ['nowhere', '127.0.0.1:70000', ''])
def test_failed_effect_does_not_stop_the_others(
    monkeypatch: pytest.MonkeyPatch, address: str
) -> None:
    """An address that cannot be parsed must not cost a read of the log.

    The reader waits for the result of each read before the next one.
    """
    runtime = _runtime()
    log = _Log()
    runtime._log = log  # type: ignore[assignment]
    read = ReadLog('bundles', LogOffset(0), ms(0))
    effects: list[Effect] = [OpenStream(DaemonId('d'), address), read]
    monkeypatch.setattr(runtimes, 'reduce', lambda *_event: effects)
    runtime.submit(Advance())
    assert log.reads == [read]


def _broken() -> None:
    raise RuntimeError('broken')


@pytest.mark.parametrize(
    ('part', 'method'),
    [
        ('_listener', 'disconnect_all'),
        ('_hub', 'stop'),
        ('_hub', 'close_all'),
    ],
)
def test_process_ends_although_a_step_of_its_end_fails(
    monkeypatch: pytest.MonkeyPatch, part: str, method: str
) -> None:
    """Guards against a process that stays for good after its stop."""
    memory_reactor = MemoryReactorClock()
    runtime = _runtime(memory_reactor)
    monkeypatch.setattr(getattr(runtime, part), method, _broken)
    monkeypatch.setattr(runtimes, 'reduce', lambda *_event: [Exit()])
    runtime.submit(Advance())
    memory_reactor.advance(CHECK_INTERVAL_S)
    assert memory_reactor.hasStopped


def test_process_ends_although_its_output_cannot_be_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that stays for good after its stop."""
    memory_reactor = MemoryReactorClock()
    runtime = _runtime(memory_reactor)
    broken = property(lambda _listener: _broken())
    monkeypatch.setattr(type(runtime._listener), 'has_unsent', broken)
    monkeypatch.setattr(runtimes, 'reduce', lambda *_event: [Exit()])
    runtime.submit(Advance())
    memory_reactor.advance(CHECK_INTERVAL_S)
    assert memory_reactor.hasStopped


def test_memory_is_freed_although_a_connection_cannot_be_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that grows, as the automatic collection is off."""
    collected: list[int] = []
    monkeypatch.setattr(runtimes.gc, 'collect', collected.append)
    runtime = _runtime()
    monkeypatch.setattr(runtime._listener, 'cut_off_slow', _broken)
    with suppress(RuntimeError):
        runtime._collect()
    assert collected
