"""Guards departures that were acknowledged before all processes were killed.

Only the log outlives them, so it must hold a departure before the
acknowledgement.
"""

import json
import time
from collections.abc import Callable, Iterator
from datetime import timedelta
from pathlib import Path
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sockets import run_reactor_until, turn
from test_platform_daemon import _Daemon

from greengagemux.clocks import ms
from greengagemux.departures.recorder import (
    ACKNOWLEDGE_LIMIT,
    CONFIRM_AFTER,
    HELD_LIMIT,
    TIMEOUT_LIMIT,
    DepartureRecorder,
)
from greengagemux.departures.records import (
    SLOTS,
    STREAM,
    Departure,
    SlotTable,
    decode_departure,
    encode_departure,
)
from greengagemux.effects import Acknowledge, AppendLog, Effect, Outbox, ReadLog
from greengagemux.events import (
    Announced,
    LogAppended,
    LogFailed,
    LogRead,
    LogRecord,
)
from greengagemux.ids import (
    AnnouncementId,
    DaemonId,
    LogOffset,
    ServiceName,
    SlotNumber,
    UpstreamId,
)
from greengagemux.messages import UpstreamState
from greengagemux.outcomes import Failure, Step

OWN = DaemonId('d1')
FIRST = Departure(UpstreamId('u'), 7)
SECOND = Departure(UpstreamId('v'), 8)


class _Recorder:
    """A recorder with its clock and the effects of its last step."""

    def __init__(self) -> None:
        self.outbox = Outbox()
        self.recorder = DepartureRecorder(OWN, self.outbox, Random(1))
        self.now = ms(0)
        self.restores: int | None = None

    def tick(self, milliseconds: int = 100) -> list[Effect]:
        """Advance the clock and return the effects."""
        self.now += ms(milliseconds)
        self.recorder.tick(self.now)
        return self.outbox.drain()

    def load(self, *records: LogRecord) -> list[Effect]:
        """Deliver the records of the log."""
        self.tick()
        return self.log(
            LogRead(STREAM, LogOffset(0), LogOffset(9), records, self.restores)
        )

    def log(self, event: LogRead | LogAppended | LogFailed) -> list[Effect]:
        """Deliver the result of a log call and return the effects."""
        self.recorder.log_event(event, self.now)
        return self.outbox.drain()

    def appended(self, restores: int | None = None) -> list[Effect]:
        """Acknowledge the append that runs."""
        return self.log(LogAppended(STREAM, LogOffset(1), b'', restores))

    def failed(self) -> list[Effect]:
        """Fail the call that runs."""
        return self.log(LogFailed(STREAM, Failure(Step.log, 'log', 'down')))

    def depart(
        self, departure: Departure = FIRST, announcement: int = 1
    ) -> list[Effect]:
        """Announce a departure and return the effects."""
        number = AnnouncementId(announcement)
        self.recorder.departed(departure, number, self.now)
        return self.outbox.drain()

    def admits(self, sequence: int, boot: int = 7) -> bool:
        """Announce that the upstream is ready; return whether it counts."""
        event = Announced(
            FIRST.upstream,
            ServiceName('s'),
            'a:1',
            1,
            UpstreamState.serving,
            boot=boot,
            sequence=sequence,
        )
        return self.recorder.admits(event, self.now)


def _record(
    departure: Departure, slot: int = 0, daemon: str = OWN
) -> LogRecord:
    payload = encode_departure(departure)
    return LogRecord(LogOffset(1), payload, f'{daemon}/{slot}')


def _acknowledged(effects: list[Effect]) -> list[tuple[int, bool]]:
    return [
        (each.announcement, each.accepted)
        for each in effects
        if isinstance(each, Acknowledge)
    ]


def _appends(effects: list[Effect]) -> list[AppendLog]:
    return [each for each in effects if isinstance(each, AppendLog)]


def test_departure_is_acknowledged_once_the_log_holds_it() -> None:
    """Guards against an acknowledgement that is lost with the process."""
    recorder = _Recorder()
    recorder.load()
    effects = recorder.depart()
    assert not _acknowledged(effects)
    assert len(_appends(effects)) == 1
    assert _acknowledged(recorder.appended()) == [(1, True)]


def test_repeated_departure_costs_no_further_call() -> None:
    """An upstream that drains says so in each announcement."""
    recorder = _Recorder()
    recorder.load()
    recorder.depart()
    recorder.appended()
    effects = recorder.depart(announcement=2)
    assert _acknowledged(effects) == [(2, True)]
    assert not _appends(effects)


def test_departure_without_the_log_is_refused_in_time() -> None:
    """An upstream that hears nothing for a second asks another daemon.

    Once the log is back, the repeated departure is acknowledged.
    """
    recorder = _Recorder()
    recorder.load()
    recorder.depart()
    recorder.failed()
    effects = recorder.tick(int(ACKNOWLEDGE_LIMIT / ms(1)))
    assert _acknowledged(effects) == [(1, False)]
    assert _appends(effects)
    recorder.depart(announcement=2)
    assert _acknowledged(recorder.appended()) == [(2, True)]


def test_silent_log_is_called_again() -> None:
    """Guards against a departure that is lost with one connection."""
    recorder = _Recorder()
    recorder.load()
    timeouts = [recorder.depart()]
    for _ in range(6):
        recorder.failed()
        timeouts.append(recorder.tick(3000))
    limits = [_appends(each)[0].timeout for each in timeouts]
    assert all(limit is not None for limit in limits)
    assert limits[0] < ACKNOWLEDGE_LIMIT
    assert limits == sorted(limits)
    assert limits[-1] == TIMEOUT_LIMIT


def test_departures_before_the_records_are_read() -> None:
    """Neither those of earlier processes nor the new one may be lost."""
    recorder = _Recorder()
    recorder.tick()
    recorder.depart(SECOND)
    effects = recorder.load(_record(FIRST))
    append = _appends(effects)[0]
    assert append.key == f'{OWN}/1'
    assert decode_departure(append.payload) == SECOND
    assert recorder.recorder.take_recalled() == (FIRST, SECOND)


def test_records_of_others_are_ignored() -> None:
    """Other daemons and other writers use the same topic."""
    recorder = _Recorder()
    odd = LogRecord(LogOffset(1), b'\xff', f'{OWN}/2')
    foreign = [
        _record(FIRST, daemon='d2'),
        _record(FIRST, slot=SLOTS),
        _record(FIRST, daemon=f'{OWN}/x'),
        LogRecord(LogOffset(2), b'', f'{OWN}/0'),
        odd,
    ]
    recorder.load(*foreign)
    assert not recorder.recorder.take_recalled()


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'\x91' * 100_000 + b'\xc0',
        b'\x92\xa1u\x00',
        b'\x92\xa1u\xff',
        b'\x92\xda\x01\x00' + b'u' * 256 + b'\x01',
        b'\x92\xa1u\xcf' + b'\xff' * 8,
    ],
)
def test_odd_records_are_refused(payload: bytes) -> None:
    """A record of another writer must not end the daemon."""
    with pytest.raises(ValueError):
        decode_departure(payload)


def test_check_in_waits_for_the_records() -> None:
    """It may be from before a departure; then it takes effect or is late."""
    recorder = _Recorder()
    assert not recorder.admits(3)
    recorder.load(_record(FIRST))
    assert recorder.recorder.take_recalled() == (FIRST,)
    released = recorder.recorder.take_released()
    assert [each.upstream for each in released] == [FIRST.upstream]
    assert recorder.admits(4)


@pytest.mark.parametrize(
    ('sequence', 'after', 'admitted'),
    [
        (3, CONFIRM_AFTER, False),
        (4, CONFIRM_AFTER - ms(1), False),
        (4, CONFIRM_AFTER, True),
    ],
)
def test_upstream_that_goes_on_is_used_without_the_log(
    sequence: int, after: object, *, admitted: bool
) -> None:
    """An outage of the log must not keep live upstreams out of service.

    One that departed sends no further check-ins.
    """
    recorder = _Recorder()
    assert not recorder.admits(3)
    recorder.now += after
    assert recorder.admits(sequence) == admitted
    assert recorder.admits(sequence) == admitted


def test_held_back_check_ins_are_limited() -> None:
    """Guards against memory that grows with odd announcements."""
    recorder = _Recorder()
    for number in range(2 * HELD_LIMIT):
        event = Announced(
            UpstreamId(f'u{number}'),
            ServiceName('s'),
            'a:1',
            1,
            UpstreamState.serving,
            boot=number + 1,
        )
        assert not recorder.recorder.admits(event, recorder.now)
    recorder.load()
    assert len(recorder.recorder.take_released()) == HELD_LIMIT


def test_restored_log_gets_the_records_again() -> None:
    """A log that comes back from a copy has lost what it acknowledged."""
    recorder = _Recorder()
    recorder.restores = 1
    recorder.load()
    recorder.depart()
    recorder.appended(restores=1)
    recorder.log(LogRead('bundles', LogOffset(0), LogOffset(1), (), restores=2))
    effects = recorder.tick(1000)
    assert [decode_departure(each.payload) for each in _appends(effects)] == [
        FIRST
    ]
    # A response from before the restore proves nothing.
    effects = recorder.appended(restores=1)
    assert _appends(effects)
    recorder.depart(announcement=2)
    assert _acknowledged(recorder.appended(restores=2)) == [(2, True)]


@given(
    boots=st.lists(
        st.integers(1, 50), min_size=1, max_size=3 * SLOTS, unique=True
    )
)
def test_newest_boots_are_kept(boots: list[int]) -> None:
    """Guards against a record that replaces that of a later boot."""
    table = SlotTable(OWN)
    for boot in boots:
        table.put(Departure(UpstreamId(f'u{boot}'), boot))
    kept = {each.boot for each in table.departures}
    assert len(kept) == min(SLOTS, len(boots))
    assert boots[-1] in kept
    assert max(boots) in kept
    for _ in kept:
        table.written(*table.unwritten() or (SlotNumber(0), FIRST))
    assert table.unwritten() is None
    assert all(table.holds(each) for each in table.departures)


def test_late_result_does_not_mark_another_departure() -> None:
    """A slot may have been given to a later departure meanwhile."""
    table = SlotTable(OWN)
    table.put(FIRST)
    slot, written = table.unwritten() or (SlotNumber(0), FIRST)
    for boot in range(10, 10 + SLOTS):
        table.put(Departure(SECOND.upstream, boot))
    table.written(slot, written)
    assert not table.holds(FIRST)


def test_first_read_has_a_time_limit() -> None:
    """Check-ins wait for it, so a silent log must be noticed soon."""
    recorder = _Recorder()
    reads = [each for each in recorder.tick() if isinstance(each, ReadLog)]
    assert [each.timeout is not None for each in reads] == [True]


StartDaemon = Callable[[], _Daemon]


@pytest.fixture(name='start')
def _start(tmp_path: Path) -> Iterator[StartDaemon]:
    """Start the processes of one daemon in turn, with the same log."""
    started: list[_Daemon] = []

    def start() -> _Daemon:
        store = started[0].store if started else None
        daemon = _Daemon(tmp_path, store)
        started.append(daemon)
        return daemon

    yield start
    for each in started:
        each.close()


def _leave(daemon: _Daemon) -> bytes:
    """Send the departure of the upstream and return the response."""
    body = json.dumps({'born': 1})
    return daemon.ask(
        'control',
        'DELETE /api/instances/i-1 HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}',
    )


def _drain(daemon: _Daemon) -> bytes:
    return daemon.ask(
        'control', daemon.upstream.announcement('draining').decode()
    )


@pytest.mark.parametrize('depart', [_leave, _drain])
def test_acknowledged_departure_outlives_all_processes(
    start: StartDaemon, depart: Callable[[_Daemon], bytes]
) -> None:
    """Guards against requests after a departure and a kill of all daemons.

    A check-in that was sent before the departure arrives late.
    """
    first = start()
    first.wait_ready()
    first.announce('ready')
    assert depart(first).startswith(b'HTTP/1.1 200 ')
    first.process.kill()
    first.process.wait()
    second = start()
    second.wait_ready()
    second.announce('ready')
    assert b' 503 ' in second.request('GET', '/list/1')
    turn(50)
    assert b' 503 ' in second.request('GET', '/list/2')
    assert not second.upstream.received


def test_departure_is_not_acknowledged_while_the_store_is_down(
    start: StartDaemon,
) -> None:
    """An acknowledgement that no later process can keep must not be given."""
    daemon = start()
    daemon.wait_ready()
    daemon.announce('ready')
    daemon.store.up = False
    assert _leave(daemon).startswith(b'HTTP/1.1 503 ')
    assert b' 503 ' in daemon.request('GET', '/list/1')
    daemon.store.up = True
    responses = [_leave(daemon) for _ in range(3)]
    assert responses[-1].startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('check_ins', [1, 3])
def test_late_check_ins_during_an_outage_of_the_store(
    start: StartDaemon, check_ins: int
) -> None:
    """Guards against a process that starts while the store is down.

    It learns of the departure once the store is back, also if it took the
    upstream for one that goes on.
    """
    first = start()
    first.wait_ready()
    late = [first.upstream.announcement().decode() for _ in range(check_ins)]
    assert _leave(first).startswith(b'HTTP/1.1 200 ')
    first.process.kill()
    first.process.wait()
    first.store.up = False
    second = start()
    for wire in late:
        assert b' 200 ' in second.ask('control', wire)
        _wait(CONFIRM_AFTER)
    second.store.up = True
    second.wait_ready()
    run_reactor_until(lambda: 'departures-read' in second.log())
    assert b' 503 ' in second.request('GET', '/list/1')
    assert not second.upstream.received


def _wait(duration: timedelta) -> None:
    until_s = time.monotonic() + duration.total_seconds()
    run_reactor_until(lambda: time.monotonic() >= until_s)
