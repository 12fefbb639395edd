"""Records of keyed writes at the home of one key slot.

A key is recorded before its write is dispatched. Ages count only time in
which the process ran: a request that waited in a socket while the process was
paused meets the record that it would have met without the pause.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .clocks import MILLISECOND, ZERO, ms
from .ids import CallerName
from .messages import Answer, KeyRecord
from .outcomes import Outcome

#: A caller may use a key for this long after it first sent it.
KEY_WINDOW = timedelta(minutes=10)
#: Longest time for which a request may be under way to its home.
UNDER_WAY = timedelta(minutes=1)
#: How long a successor promises not to take over.
PROMISE_VALID = timedelta(seconds=5)
#: The home relies on it for less, for clocks that run at different rates.
PROMISE_USE = timedelta(seconds=4.5)
#: Longest time for which a home goes on without having read the log.
LOG_ABSENCE = timedelta(hours=4)
#: Most records of one slot.
RECORD_LIMIT = 8192
#: Most bytes of answer bodies kept for one slot; older ones are dropped.
ANSWERS_LIMIT_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Terms:
    """Durations of the protocol; experiments and tests shorten them."""

    key_window: timedelta = KEY_WINDOW
    under_way: timedelta = UNDER_WAY
    promise_valid: timedelta = PROMISE_VALID
    promise_use: timedelta = PROMISE_USE
    log_absence: timedelta = LOG_ABSENCE

    @property
    def retention(self) -> timedelta:
        """How long a key is kept after its first arrival."""
        return self.key_window + self.under_way

    @property
    def takeover_window(self) -> timedelta:
        """How long a new home cannot answer for keys without a record.

        The lost home may have dispatched until its last promise or contact
        with the log ran out.
        """
        return self.retention + 2 * self.promise_valid


@dataclass(frozen=True, slots=True)
class Run:
    """The key is recorded; ask ``dispatch`` before the first byte is sent.

    ``term`` is the epoch in which this daemon became home.
    """

    term: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The write completed.

    The answer is missing if its body was dropped to bound memory.
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
    """The write may have run and its answer is not known."""


@dataclass(frozen=True, slots=True)
class NotOwner:
    """This daemon cannot say anything about the key."""


@dataclass(frozen=True, slots=True)
class Full:
    """The key is not recorded, did not run and cannot be recorded."""


Decision = Run | Replay | Wait | Conflict | Unknown | NotOwner | Full
_Key = tuple[CallerName, str]


@dataclass(slots=True)
class _Entry:
    """One key; ``awake`` times are of this process."""

    digest: int
    since: timedelta
    outcome: Outcome | None = None
    answer: Answer | None = None


class SlotRecords:
    """Key records of one slot."""

    def __init__(
        self, terms: Terms, term: int, opens: timedelta = ZERO
    ) -> None:
        """Answer for keys without a record from ``opens`` on."""
        self.term = term
        self.opens = opens
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

    def look(
        self, caller: CallerName, key: str, digest: int
    ) -> Decision | None:
        """Return what the record of a key says; None without a record.

        Records say the truth even after this daemon has lost the slot.
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
        self, caller: CallerName, key: str, digest: int, awake: timedelta
    ) -> Decision:
        """Record a key without a record, if this home can answer for it."""
        if self._in_window(awake):
            return Unknown()
        if len(self._entries) >= RECORD_LIMIT:
            return Full()
        self._entries[(caller, key)] = _Entry(digest, awake)
        self._running += 1
        return Run(self.term)

    def finish(
        self,
        caller: CallerName,
        key: str,
        outcome: Outcome,
        answer: Answer | None = None,
    ) -> None:
        """Record the end of a write.

        ``not_run`` is for a write of which no byte was sent; its key can be
        used again.
        """
        entry = self._entries.get((caller, key))
        if entry is None or entry.outcome is not None:
            return
        self._running -= 1
        if outcome is Outcome.not_run:
            self._entries.pop((caller, key))
            return
        entry.outcome = outcome
        self._keep((caller, key), entry, answer)

    def expire(self, awake: timedelta) -> None:
        """Forget the keys that callers may no longer use."""
        limit = awake - self._terms.retention
        for key, entry in tuple(self._entries.items()):
            if entry.since > limit:
                # Entries are in order of arrival but for merged ones, which
                # are kept a little longer.
                break
            if entry.outcome is not None:
                self._drop_answer(entry)
                self._entries.pop(key)

    def records(self, awake: timedelta) -> list[KeyRecord]:
        """Return all records for the next home."""
        return [
            self._record(key, entry, awake)
            for key, entry in self._entries.items()
        ]

    def merge(self, records: Iterable[KeyRecord], awake: timedelta) -> None:
        """Take over the records of the last home; own records stay."""
        longest_ms = self._terms.retention // MILLISECOND
        for record in sorted(records, key=_by_age, reverse=True):
            key = (record.caller, record.key)
            if key in self._entries:
                continue
            entry = _Entry(
                record.digest,
                awake - ms(min(record.age_ms, longest_ms)),
                record.outcome or Outcome.unknown,
            )
            self._entries[key] = entry
            self._keep(key, entry, record.answer)

    def _in_window(self, awake: timedelta) -> bool:
        """Return whether another home may have run keys unknown here."""
        return awake < self.opens

    def _record(self, key: _Key, entry: _Entry, awake: timedelta) -> KeyRecord:
        return KeyRecord(
            key[0],
            key[1],
            entry.digest,
            max(0, (awake - entry.since) // MILLISECOND),
            entry.outcome,
            entry.answer,
        )

    def _keep(self, key: _Key, entry: _Entry, answer: Answer | None) -> None:
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
