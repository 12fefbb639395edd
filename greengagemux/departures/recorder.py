"""Acknowledges a departure once the log holds it, and recalls it at a start.

An acknowledged departure binds every later process of this daemon. Any number
of processes may end at the same time, so that only the log outlives it.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from random import Random
from typing import Final

from ..clocks import ZERO, in_ms
from ..effects import Acknowledge, AppendLog, Outbox, ReadLog, Record
from ..events import Announced, LogAppended, LogFailed, LogRead
from ..ids import AnnouncementId, DaemonId, LogOffset, SlotNumber, UpstreamId
from .records import STREAM, Departure, SlotTable, encode_departure

#: An announcement that is not acknowledged after this time is refused, and its
#: upstream repeats it. Upstreams wait for a second.
ACKNOWLEDGE_LIMIT: Final = timedelta(milliseconds=800)
#: Time limit of a call of the log; it doubles with each failure in a row. A
#: connection may go silent while new ones work.
INITIAL_TIMEOUT: Final = timedelta(milliseconds=700)
TIMEOUT_LIMIT: Final = timedelta(seconds=5)
#: Delays after failed calls; each failure in a row doubles the delay.
INITIAL_RETRY_DELAY: Final = timedelta(milliseconds=100)
RETRY_DELAY_LIMIT: Final = timedelta(milliseconds=1600)
#: After a restore of the log, daemons write their records within this time.
REWRITE_SPREAD: Final = timedelta(seconds=1)
#: Without the records, an upstream is used once a later announcement has come
#: this long after its first one: one that departed sends no more of them.
CONFIRM_AFTER: Final = timedelta(seconds=1)
#: Upstreams whose announcements are held back at the same time.
HELD_LIMIT: Final = 16


class RecordState(Enum):
    """Whether the records of earlier processes are known."""

    unknown = 'unknown'
    known = 'known'


@dataclass(slots=True)
class _HeldBack:
    """Newest announcement of an upstream that may have departed."""

    event: Announced
    first_at: timedelta
    confirmed: bool = False


@dataclass(frozen=True, slots=True)
class _Unacknowledged:
    """An announcement that waits for the record of a departure."""

    departure: Departure
    announced_at: timedelta


class DepartureRecorder:
    """Keeps the departures of the upstreams beside one daemon in the log."""

    def __init__(self, daemon: DaemonId, outbox: Outbox, rng: Random) -> None:
        """Start without records."""
        self._outbox = outbox
        self._rng = rng
        self._table = SlotTable(daemon)
        self._state = RecordState.unknown
        self._held_back: dict[UpstreamId, _HeldBack] = {}
        self._unacknowledged: dict[AnnouncementId, _Unacknowledged] = {}
        #: Slot and departure of the append that has no result yet.
        self._writing: tuple[SlotNumber, Departure] | None = None
        self._call_pending = False
        self._call_due = ZERO
        self._timeout = INITIAL_TIMEOUT
        self._retry_delay = INITIAL_RETRY_DELAY
        #: Restores of the log, by its newest response.
        self._restores: int | None = None
        self._recalled: tuple[Departure, ...] = ()
        self._released: list[Announced] = []

    def admits(self, event: Announced, now: timedelta) -> bool:
        """Return whether an announcement may take effect now.

        One that may be from before a departure is held back until the records
        are known.
        """
        if self._state is RecordState.known or event.departs:
            return True
        held = self._held_back.get(event.upstream)
        if held is None or held.event.boot != event.boot:
            self._hold_back(event, now)
            return False
        if not held.confirmed:
            later = event.sequence > held.event.sequence
            held.confirmed = later and now - held.first_at >= CONFIRM_AFTER
            if later:
                held.event = event
        return held.confirmed

    def departed(
        self,
        departure: Departure,
        announcement: AnnouncementId,
        now: timedelta,
    ) -> None:
        """Acknowledge an announcement once the log holds a departure."""
        if self._table.holds(departure):
            self._outbox.emit(Acknowledge(announcement, accepted=True))
            return
        self._table.put(departure)
        waiting = _Unacknowledged(departure, now)
        self._unacknowledged[announcement] = waiting
        self._call_log(now)

    def tick(self, now: timedelta) -> None:
        """Refuse overdue announcements and start the call that is due."""
        overdue = [
            announcement
            for announcement, waiting in self._unacknowledged.items()
            if now - waiting.announced_at >= ACKNOWLEDGE_LIMIT
        ]
        for announcement in overdue:
            waiting = self._unacknowledged.pop(announcement)
            self._outbox.emit(Acknowledge(announcement, accepted=False))
            self._record('departure-not-recorded', waiting.departure)
        self._call_log(now)

    def log_event(
        self, event: LogRead | LogAppended | LogFailed, now: timedelta
    ) -> None:
        """Process the result of a log call, also of other streams."""
        if isinstance(event, LogFailed):
            if event.stream == STREAM:
                self._call_failed(event, now)
            return
        self._check_restores(event, now)
        if event.stream != STREAM:
            return
        self._call_pending = False
        self._timeout = INITIAL_TIMEOUT
        self._retry_delay = INITIAL_RETRY_DELAY
        if isinstance(event, LogRead):
            self._loaded(event)
        else:
            self._appended(event, now)
        self._call_log(now)

    def take_recalled(self) -> tuple[Departure, ...]:
        """Return the departures that were read since the last call."""
        recalled = self._recalled
        self._recalled = ()
        return recalled

    def take_released(self) -> list[Announced]:
        """Return the announcements that are no longer held back."""
        released = self._released
        self._released = []
        return released

    def _hold_back(self, event: Announced, now: timedelta) -> None:
        self._held_back.pop(event.upstream, None)
        self._held_back[event.upstream] = _HeldBack(event, now)
        if len(self._held_back) > HELD_LIMIT:
            self._held_back.pop(next(iter(self._held_back)))
        fields = {'upstream': event.upstream, 'boot': event.boot}
        self._outbox.emit(Record('announcement-held-back', fields))

    def _call_log(self, now: timedelta) -> None:
        if self._call_pending or now < self._call_due:
            return
        if self._state is RecordState.unknown:
            self._call_pending = True
            read = ReadLog(STREAM, LogOffset(0), ZERO, timeout=self._timeout)
            self._outbox.emit(read)
            return
        self._writing = self._table.unwritten()
        if self._writing is None:
            return
        slot, departure = self._writing
        self._call_pending = True
        self._outbox.emit(
            AppendLog(
                STREAM,
                encode_departure(departure),
                key=self._table.key(slot),
                timeout=self._timeout,
            )
        )

    def _call_failed(self, event: LogFailed, now: timedelta) -> None:
        self._call_pending = False
        self._call_due = now + self._retry_delay * self._rng.uniform(1, 1.5)
        self._retry_delay = min(self._retry_delay * 2, RETRY_DELAY_LIMIT)
        self._timeout = min(self._timeout * 2, TIMEOUT_LIMIT)
        failure = str(event.failure)
        self._outbox.emit(Record('departures-failed', {'failure': failure}))

    def _loaded(self, event: LogRead) -> None:
        rejected = self._table.load(event.records)
        self._state = RecordState.known
        self._recalled = self._table.departures
        self._released = [
            held.event
            for held in self._held_back.values()
            if not held.confirmed
        ]
        self._held_back.clear()
        fields = {'departures': len(self._recalled), 'rejected': rejected}
        self._outbox.emit(Record('departures-read', fields))

    def _appended(self, event: LogAppended, now: timedelta) -> None:
        if self._writing is None or event.restores not in {
            None,
            self._restores,
        }:
            return
        self._table.written(*self._writing)
        acknowledged = [
            announcement
            for announcement, waiting in self._unacknowledged.items()
            if self._table.holds(waiting.departure)
        ]
        for announcement in acknowledged:
            waiting = self._unacknowledged.pop(announcement)
            self._outbox.emit(Acknowledge(announcement, accepted=True))
            waited_ms = in_ms(now - waiting.announced_at)
            self._record(
                'departure-recorded', waiting.departure, waited_ms=waited_ms
            )

    def _check_restores(
        self, event: LogRead | LogAppended, now: timedelta
    ) -> None:
        """Write all records again if the log has come back from a copy."""
        previous = self._restores
        if event.restores is None:
            return
        if previous is not None and event.restores <= previous:
            return
        self._restores = event.restores
        if previous is None:
            return
        self._table.rewrite_all()
        # All daemons write at about the same time, and the log limits calls.
        self._call_due = now + REWRITE_SPREAD * self._rng.random()

    def _record(
        self, name: str, departure: Departure, **fields: object
    ) -> None:
        known = {'upstream': departure.upstream, 'boot': departure.boot}
        self._outbox.emit(Record(name, {**known, **fields}))
