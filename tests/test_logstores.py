"""Guards against a log stand-in that loses, reorders or invents records."""

import base64
from typing import Any

import pytest
from fakes_standins import Connection
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from greengagemux_standins.logstores import LogSettings, LogStore, Stream


def _store(**options: Any) -> tuple[LogStore, MemoryReactorClock]:
    network = MemoryReactorClock()
    store = LogStore(LogSettings(**options), network)
    store.start()
    return store, network


@settings(derandomize=True, deadline=None)
@given(
    waits=st.lists(st.integers(0, 3), max_size=30),
    start=st.integers(0, 40),
    limit=st.integers(1, 10),
    count=st.integers(1, 12),
    age=st.integers(1, 20),
)
def test_stream_agrees_with_a_naive_one(
    waits: list[int], start: int, limit: int, count: int, age: int
) -> None:
    """Retention and reads must match a list that keeps everything."""
    stream = Stream(LogSettings(retain_records=count, retain_ms=age * 1000))
    naive: list[float] = []
    now = 0
    for wait in waits:
        now += wait
        assert stream.append(b'%d' % len(naive), now) == len(naive)
        naive.append(now)
    kept = [
        offset
        for offset, at in enumerate(naive)
        if offset >= len(naive) - count and at >= now - age
    ]
    entries = stream.read(start, limit, now)
    wanted = [offset for offset in kept if offset >= start][:limit]
    assert [entry.offset for entry in entries] == wanted
    assert [entry.payload for entry in entries] == [b'%d' % n for n in wanted]
    assert stream.first == (kept[0] if kept else len(naive))


def test_append_and_read_over_http() -> None:
    """Appends and reads must use the format that the design page gives."""
    _, network = _store()
    connection = Connection(network)
    for payload in (b'one', b'two'):
        connection.send('/streams/bundles', 'POST', payload)
        connection.answer()
    assert connection.json('/streams/bundles?from=1') == {
        'first': 0,
        'next': 2,
        'records': [{'offset': 1, 'data': base64.b64encode(b'two').decode()}],
    }
    assert connection.json('/streams/homes')['next'] == 0


def test_long_poll_ends_with_a_record_or_in_time() -> None:
    """A long poll must return at the next record of its own stream."""
    _, network = _store()
    first, second, writer = (Connection(network) for _ in range(3))
    first.send('/streams/notes?wait_ms=2000')
    second.send('/streams/homes?wait_ms=2000')
    writer.send('/streams/notes', 'POST', b'x')
    assert b'"next":1' in first.answer()[2]
    assert not second.raw
    network.advance(2)
    assert b'"next":0' in second.answer()[2]


def test_reader_that_leaves_is_forgotten() -> None:
    """A long poll whose connection is closed must not break an append."""
    _, network = _store()
    reader, writer = Connection(network), Connection(network)
    reader.send('/streams/notes?wait_ms=2000')
    reader.drop()
    writer.send('/streams/notes', 'POST', b'x')
    assert writer.answer()[0] == 200


def test_lost_reply_keeps_the_record() -> None:
    """A record must be stored although the writer's connection is reset."""
    store, network = _store()
    Connection(network).json('/_fault', 'POST', lose_replies=1)
    writer = Connection(network)
    writer.send('/streams/notes', 'POST', b'x')
    assert writer.transport.aborted
    assert not writer.raw
    assert store.stream('notes').end == 1


@pytest.mark.parametrize('outage', ['refuse', 'reset', 'hang'])
def test_outage_appends_nothing(outage: str) -> None:
    """An append during an outage must not store the record."""
    store, network = _store()
    Connection(network).json('/_fault', 'POST', outage=outage)
    writer = Connection(network)
    writer.send('/streams/notes', 'POST', b'x')
    network.advance(60)
    assert writer.transport.aborted is (outage == 'reset')
    assert (b' 503 ' in writer.raw) is (outage == 'refuse')
    assert store.stream('notes').end == 0


def test_append_quota_refuses_and_recovers() -> None:
    """An append above the rate limit must not store the record."""
    store, network = _store(appends_per_second=2)
    writer = Connection(network)
    statuses = []
    for wait in (0, 0, 0, 0.5):
        network.advance(wait)
        writer.send('/streams/notes', 'POST', b'x')
        statuses.append(writer.answer()[0])
    assert statuses == [200, 200, 429, 200]
    assert store.stream('notes').end == 3


@pytest.mark.parametrize('query', ['from=x', 'from=-1', 'limit=0'])
def test_bad_query_is_refused(query: str) -> None:
    """An invalid number must give status 400, not an internal error."""
    _, network = _store()
    connection = Connection(network)
    connection.send(f'/streams/notes?{query}')
    assert connection.answer()[0] == 400
