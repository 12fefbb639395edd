"""Records of keyed writes at the owner of one key slot.

A key is recorded before its write is dispatched. Records age only while the
process runs: a request that was queued in a socket while the process was
paused still finds the record that it would have found without the pause.

Times named ``active_time`` count the time in which the process was not paused.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .clocks import MILLISECOND, ZERO, ms
from .ids import CallerName
from .messages import Answer, KeyRecord
from .outcomes import Outcome

#: A caller may repeat a key for this long after its first request.
KEY_WINDOW = timedelta(minutes=10)
#: Longest time that a request takes to reach the owner of its slot.
FORWARD_LIMIT = timedelta(minutes=1)
#: A successor that grants a lease does not take over for this long.
LEASE_VALID = timedelta(seconds=5)
#: The owner uses the lease for less, as clocks run at different rates.
LEASE_USE = timedelta(seconds=4.5)
#: Longest time for which an owner dispatches without having read the log.
MAX_LOG_OUTAGE = timedelta(hours=4)
#: Most key records of one slot.
RECORD_LIMIT = 8192
#: Most bytes of response bodies kept for one slot; the oldest are dropped.
ANSWERS_LIMIT_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Durations of leases and key records."""

    key_window: timedelta = KEY_WINDOW
    forward_limit: timedelta = FORWARD_LIMIT
    lease_valid: timedelta = LEASE_VALID
    lease_use: timedelta = LEASE_USE
    max_log_outage: timedelta = MAX_LOG_OUTAGE

    @property
    def retention(self) -> timedelta:
        """How long a key is kept after its first request."""
        return self.key_window + self.forward_limit

    @property
    def takeover_window(self) -> timedelta:
        """How long a new owner cannot decide on keys without a record.

        A failed owner may have run them: it may dispatch until its last lease,
        or the use of its last read of the log, has ended.
        """
        return self.retention + 2 * self.lease_valid


@dataclass(frozen=True, slots=True)
class Run:
    """The key is recorded; ask ``dispatch`` before the first byte is sent.

    ``term`` is the epoch in which this daemon became the owner.
    """

    term: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The write completed.

    The record has no answer if that was dropped to bound memory.
    """

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class Wait:
    """The same write is running; its answer will be recorded."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key was used with another request."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The write may have run; its outcome is not known."""


@dataclass(frozen=True, slots=True)
class NotOwner:
    """This daemon cannot decide on the key now.

    It does not own the slot, or may not be the only owner.
    """


@dataclass(frozen=True, slots=True)
class Full:
    """The key did not run, and the slot has no room to record it."""


Decision = Run | Replay | Wait | Conflict | Unknown | NotOwner | Full
_Key = tuple[CallerName, str]


@dataclass(slots=True)
class _Entry:
    """One key; ``since`` is the active time at which it was recorded."""

    digest: int
    since: timedelta
    outcome: Outcome | None = None
    answer: Answer | None = None


class SlotRecords:
    """Key records of one slot."""

    def __init__(
        self, terms: LeaseTimings, term: int, complete_from: timedelta = ZERO
    ) -> None:
        """Start empty.

        Before ``complete_from``, a key without a record may have run under
        another owner.
        """
        self.term = term
        self.complete_from = complete_from
        self._terms = terms
        self._entries: dict[_Key, _Entry] = {}
        self._answers: deque[_Key] = deque()
        self._answer_bytes = 0
        self._running = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._entries)

    @property
    def running(self) -> int:
        """Number of writes that have begun and not finished."""
        return self._running

    def lookup(
        self, caller: CallerName, key: str, digest: int
    ) -> Decision | None:
        """Return the decision by the record of a key; None without a record.

        It is right even after another daemon has become the owner.
        """
        entry = self._entries.get((caller, key))
        if entry is None:
            return None
        if entry.digest != digest:
            return Conflict()
        if entry.outcome is None:
            return Wait()
        if entry.outcome is Outcome.unknown:
            return Unknown()
        return Replay(self._record((caller, key), entry, entry.since))

    def begin(
        self, caller: CallerName, key: str, digest: int, active_time: timedelta
    ) -> Decision:
        """Record a new key, unless it may have run or there is no room."""
        if self._in_window(active_time):
            return Unknown()
        if len(self._entries) >= RECORD_LIMIT:
            return Full()
        self._entries[(caller, key)] = _Entry(digest, active_time)
        self._running += 1
        return Run(self.term)

    def finish(
        self,
        caller: CallerName,
        key: str,
        outcome: Outcome,
        answer: Answer | None = None,
    ) -> None:
        """Record the outcome of a write.

        ``not_run`` means that no byte of the write was sent. Its record is
        dropped, so the key can be used again.
        """
        entry = self._entries.get((caller, key))
        if entry is None or entry.outcome is not None:
            return
        self._running -= 1
        if outcome is Outcome.not_run:
            self._entries.pop((caller, key))
            return
        entry.outcome = outcome
        self._keep_answer((caller, key), entry, answer)

    def expire(self, active_time: timedelta) -> None:
        """Drop the records of keys that callers may no longer use."""
        limit = active_time - self._terms.retention
        for key, entry in tuple(self._entries.items()):
            if entry.since > limit:
                # Entries are in order of arrival except merged ones, which
                # may be kept a little longer.
                break
            if entry.outcome is not None:
                self._drop_answer(entry)
                self._entries.pop(key)

    def records(self, active_time: timedelta) -> list[KeyRecord]:
        """Return all records, for the next owner."""
        return [
            self._record(key, entry, active_time)
            for key, entry in self._entries.items()
        ]

    def merge(
        self, records: Iterable[KeyRecord], active_time: timedelta
    ) -> None:
        """Add the records of the previous owner; existing ones stay."""
        longest_ms = self._terms.retention // MILLISECOND
        for record in sorted(records, key=_by_age, reverse=True):
            key = (record.caller, record.key)
            if key in self._entries:
                continue
            entry = _Entry(
                record.digest,
                active_time - ms(min(record.age_ms, longest_ms)),
                record.outcome or Outcome.unknown,
            )
            self._entries[key] = entry
            self._keep_answer(key, entry, record.answer)

    def _in_window(self, active_time: timedelta) -> bool:
        """Return whether another owner may have run keys without a record."""
        return active_time < self.complete_from

    def _record(
        self, key: _Key, entry: _Entry, active_time: timedelta
    ) -> KeyRecord:
        return KeyRecord(
            key[0],
            key[1],
            entry.digest,
            max(0, (active_time - entry.since) // MILLISECOND),
            entry.outcome,
            entry.answer,
        )

    def _keep_answer(
        self, key: _Key, entry: _Entry, answer: Answer | None
    ) -> None:
        if answer is None:
            return
        entry.answer = answer
        self._answers.append(key)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > ANSWERS_LIMIT_BYTES:
            oldest = self._entries.get(self._answers.popleft())
            if oldest is not None:
                self._drop_answer(oldest)

    def _drop_answer(self, entry: _Entry) -> None:
        if entry.answer is not None:
            self._answer_bytes -= len(entry.answer.body)
            entry.answer = None


def _by_age(record: KeyRecord) -> int:
    return record.age_ms
