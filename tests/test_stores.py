"""Guards against lost or stale records in the platform's store client.

The client calls a stand-in of the store.
"""

from collections.abc import Iterator

import pytest
from sockets import reactor, turn, run_reactor_until

from greengagemux import approvals, discoveries
from greengagemux.clocks import ZERO
from greengagemux.effects import AppendLog, ReadLog
from greengagemux.events import Event, LogAppended, LogFailed, LogRead
from greengagemux.ids import LogOffset
from greengagemux.logclients import build_agent
from greengagemux.platform.servers import Server
from greengagemux.platform.stores import TOPICS, StoreClient
from greengagemux_standins.stores import Store

BUNDLE_STREAM = TOPICS[approvals.STREAM]


class _StoreSetup:
    """A client and the stand-in store that it calls."""

    def __init__(self) -> None:
        self.store = Store()
        server = Server(reactor, self.store, headers=self.store.headers)
        self.port = reactor.listenTCP(0, server, interface='127.0.0.1')
        url = f'http://127.0.0.1:{self.port.getHost().port}'
        self.events: list[Event] = []
        self.client = StoreClient(
            build_agent(reactor), reactor, url, self.events.append
        )

    def read(
        self, stream: str, start: int, restores: int | None = None
    ) -> Event:
        """Read a stream and return the event."""
        effect = ReadLog(stream, LogOffset(start), ZERO, restores)
        self.client.read(effect)
        return self._next()

    def append(self, stream: str, payload: bytes, key: str) -> Event:
        """Append to a stream and return the event."""
        self.client.append(AppendLog(stream, payload, key))
        return self._next()

    def _next(self) -> Event:
        run_reactor_until(lambda: bool(self.events))
        return self.events.pop()


@pytest.fixture(name='edge')
def _edge() -> Iterator[_StoreSetup]:
    setup = _StoreSetup()
    yield setup
    setup.port.stopListening()
    turn()


def test_configuration_is_read_and_followed(edge: _StoreSetup) -> None:
    """Only records of the operator's key may be returned.

    The first read returns the newest one, later reads continue by offset.
    """
    edge.store.append(BUNDLE_STREAM, 'other', b'no')
    edge.store.append(BUNDLE_STREAM, 'config', b'one')
    first = edge.read(approvals.STREAM, 0)
    assert isinstance(first, LogRead)
    assert [each.payload for each in first.records] == [b'one']
    edge.store.append(BUNDLE_STREAM, 'config', b'two')
    second = edge.read(approvals.STREAM, first.following)
    assert isinstance(second, LogRead)
    assert [each.payload for each in second.records] == [b'two']


def test_newest_is_read_when_history_is_gone(edge: _StoreSetup) -> None:
    """A read of compacted records must return the newest one instead."""
    edge.store.append(BUNDLE_STREAM, 'config', b'one')
    edge.store.append(BUNDLE_STREAM, 'config', b'two')
    edge.store.forget(BUNDLE_STREAM)
    found = edge.read(approvals.STREAM, 1)
    assert isinstance(found, LogRead)
    assert [each.payload for each in found.records] == [b'two']
    assert found.following == 2


def test_all_pages_of_the_list_are_read(edge: _StoreSetup) -> None:
    """Keys on later pages must not be missed, nor deleted ones returned."""
    for name in ('a', 'b', 'c'):
        written = edge.append(discoveries.STREAM, name.encode(), name)
        assert isinstance(written, LogAppended)
    edge.append(discoveries.STREAM, b'', 'b')
    found = edge.read(discoveries.STREAM, 0)
    assert isinstance(found, LogRead)
    assert [each.key for each in found.records] == ['a', 'c']


def test_refusal_is_a_failure(edge: _StoreSetup) -> None:
    """A refusal by the store must be a failure, not an empty result."""
    edge.store.up = False
    assert isinstance(edge.read(approvals.STREAM, 0), LogFailed)
    failed = edge.append(discoveries.STREAM, b'x', 'k')
    assert isinstance(failed, LogFailed)
    assert failed.payload == b'x'


def test_cursor_does_not_outlive_a_restore(edge: _StoreSetup) -> None:
    """Offsets are given out again, so a cursor would skip other records."""
    edge.store.append(BUNDLE_STREAM, 'config', b'one')
    copied = edge.store.copy()
    for payload in (b'two', b'three'):
        edge.store.append(BUNDLE_STREAM, 'config', payload)
    first = edge.read(approvals.STREAM, 0)
    assert isinstance(first, LogRead)
    edge.store.restore(copied)
    edge.store.append(BUNDLE_STREAM, 'config', b'three')
    edge.store.append(BUNDLE_STREAM, 'config', b'four')
    second = edge.read(approvals.STREAM, first.following, first.restores)
    assert isinstance(second, LogRead)
    assert [each.payload for each in second.records] == [b'four']
    assert second.restores == 1
    third = edge.read(approvals.STREAM, second.following, second.restores)
    assert isinstance(third, LogRead)
    assert not third.records


def test_read_beyond_the_end_of_a_restored_store(edge: _StoreSetup) -> None:
    """A store that is shorter than the cursor must be read from its newest."""
    edge.store.append(BUNDLE_STREAM, 'config', b'one')
    copied = edge.store.copy()
    for payload in (b'two', b'three'):
        edge.store.append(BUNDLE_STREAM, 'config', payload)
    edge.store.restore(copied)
    found = edge.read(approvals.STREAM, 3)
    assert isinstance(found, LogRead)
    assert [each.payload for each in found.records] == [b'one']
    assert found.following == 1


def test_acknowledgement_names_the_history(edge: _StoreSetup) -> None:
    """Whether a written record may be lost depends on when it was written."""
    edge.store.restore({})
    written = edge.append(discoveries.STREAM, b'x', 'k')
    assert isinstance(written, LogAppended)
    assert written.restores == 1
