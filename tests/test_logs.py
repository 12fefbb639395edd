"""Guards against lost, blocking or wrongly ordered log lines."""

import json
import logging
import os
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux import logs
from greengagemux.clocks import ManualClock, ms
from greengagemux.ids import DaemonId, Incarnation

_WALL = datetime(2026, 1, 1, tzinfo=UTC)
_stamps = st.builds(
    logs.Timestamp, st.integers(0, 2**48 - 1), st.integers(0, 65535)
)
_skews = st.lists(st.integers(-3_600_000, 3_600_000), min_size=3, max_size=3)
#: Sender, receiver (a local event if equal) and time passed on the sender.
_steps = st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 5))


@settings(derandomize=True, deadline=None)
@given(skews=_skews, steps=st.lists(_steps, max_size=60))
def test_stamps_follow_cause_and_effect(
    skews: list[int], steps: list[tuple[int, int, int]]
) -> None:
    """An effect must sort after its cause, whatever the wall clocks say."""
    walls = [ManualClock(_WALL + ms(skew)) for skew in skews]
    clocks = [logs.HybridClock(wall) for wall in walls]
    newest = [logs.Timestamp(0, 0) for _ in clocks]
    for sender, receiver, passed in steps:
        walls[sender].advance(ms(passed))
        sent = clocks[sender].tick()
        assert sent > newest[sender]
        newest[sender] = sent
        if receiver != sender:
            received = clocks[receiver].observe(sent)
            assert received > sent
            assert received > newest[receiver]
            newest[receiver] = received


@settings(derandomize=True, deadline=None)
@given(one=_stamps, other=_stamps)
def test_stamp_forms_are_equivalent(
    one: logs.Timestamp, other: logs.Timestamp
) -> None:
    """Text and number must keep a stamp and its order."""
    assert logs.Timestamp.parse(str(one)) == one
    assert logs.Timestamp.unpack(one.pack()) == one
    assert (one < other) == (one.pack() < other.pack())


@pytest.mark.parametrize(
    'text', ['', '1', '.', '-1.0', '1.2.3', '\u0661.1', '9' * 20 + '.0']
)
def test_bad_stamp_is_rejected(text: str) -> None:
    """A malformed stamp must raise ``ValueError`` and no other error."""
    with pytest.raises(ValueError, match='stamp|64-bit'):
        logs.Timestamp.parse(text)


def test_stamp_from_far_ahead_is_ignored() -> None:
    """A peer with a wrong clock must not advance the stamps of all others."""
    hybrid_clock = logs.HybridClock(ManualClock(_WALL))
    ahead = _WALL + logs.DRIFT_LIMIT + timedelta(seconds=1)
    millis = int(ahead.timestamp() * 1000)
    assert hybrid_clock.observe(logs.Timestamp(millis, 0)) < logs.Timestamp(
        millis, 0
    )


class _Log:
    """A logger with its handler, and the text that was written.

    The sink accepts ``room`` bytes.
    """

    def __init__(self, room: int = 1_000_000_000) -> None:
        self.clock = ManualClock(_WALL)
        self.room = room
        self.text = b''
        self.handler = logs.BufferedHandler(
            self.clock, DaemonId('d-1'), Incarnation(7), self._take
        )
        self.logger = logging.Logger('test')
        self.logger.addHandler(self.handler)

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.text.splitlines()]

    def _take(self, text: bytes) -> int:
        accepted = text[: self.room]
        self.text += accepted
        self.room -= len(accepted)
        return len(accepted)


def test_line_holds_all_keys_and_waits_for_flush() -> None:
    """A line must have all keys, and must not be written before a flush."""
    log = _Log()
    log.clock.advance(ms(12.5))
    fields = {'request': 4, 'took': timedelta(seconds=1)}
    logs.log_event(log.logger, 'dispatched', fields)
    fields['request'] = 5
    log.logger.warning('%s "quoted"\n', 'text')
    assert not log.text
    log.handler.flush()
    first, second = log.lines()
    assert first == {
        'wall': '2026-01-01T00:00:00.012500+00:00',
        'monotonic_ms': 12.5,
        'daemon': 'd-1',
        'incarnation': 7,
        'sequence': 1,
        'hlc': '1767225600012.0',
        'level': 'info',
        'event': 'dispatched',
        'fields': {'request': 4, 'took': '0:00:01'},
    }
    assert second['event'] == logs.TEXT_EVENT
    assert second['fields'] == {'text': 'text "quoted"\n', 'logger': 'test'}
    assert second['hlc'] == '1767225600012.1'


def test_full_queue_drops_counts_and_reports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A full queue must not grow, and the log must report the drops."""
    monkeypatch.setattr(logs, 'QUEUE_LIMIT', 2)
    log = _Log()
    for number in range(5):
        logs.log_event(log.logger, f'event-{number}', {})
    log.handler.flush()
    log.handler.flush()
    assert [line['event'] for line in log.lines()] == [
        'event-0',
        'event-1',
        logs.DROPPED_EVENT,
    ]
    assert log.lines()[-1]['fields'] == {'count': 3}
    assert log.handler.dropped == 3


@settings(derandomize=True, deadline=None)
@given(rooms=st.lists(st.integers(0, 300), max_size=20))
def test_slow_reader_loses_no_byte(rooms: list[int]) -> None:
    """A sink that takes only part of the bytes must not corrupt lines."""
    log = _Log(room=0)
    for room in rooms:
        logs.log_event(log.logger, 'event', {'room': room})
        log.room = room
        log.handler.flush()
    log.room = 10**9
    log.handler.flush()
    assert [line['fields'] for line in log.lines()] == [
        {'room': room} for room in rooms
    ]


def test_flush_limit_bounds_the_work_between_requests() -> None:
    """A long queue must be written in parts that do not delay requests."""
    log = _Log()
    for _ in range(10):
        logs.log_event(log.logger, 'event', {})
    log.handler.flush(limit=4)
    assert len(log.lines()) == 4


def test_unwritable_fields_do_not_stop_the_log() -> None:
    """A field without a JSON form must not prevent the lines after it."""
    log = _Log()
    logs.log_event(log.logger, 'odd', {'map': {b'key': 1}})
    logs.log_event(log.logger, 'even', {})
    log.handler.flush()
    assert [line['event'] for line in log.lines()] == [
        logs.UNWRITABLE_EVENT,
        'even',
    ]


def test_full_pipe_does_not_block() -> None:
    """A reader that has stalled must not block the event loop.

    If it has closed the pipe, the bytes are discarded.
    """
    reading, writing = os.pipe()
    sink = logs.DescriptorSink(writing)
    for _ in range(10_000):
        if not sink(b'x' * logs.CHUNK_BYTES):
            break
    assert sink(b'x') == 0
    os.close(reading)
    assert sink(b'xyz') == 3
    os.close(writing)
