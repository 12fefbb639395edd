"""Homes of key slots: promises, takeover and handover of one daemon.

A home dispatches while it has read the log a short time ago, or while its
successor has promised not to take over. Both are judged by the monotonic
clock at each dispatch. docs/writes.md gives the argument why no keyed write
is dispatched twice.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any, TypeVar

import msgspec

from .assignments import (
    Assignment,
    ClaimRecord,
    Holder,
    OwnerRecord,
    Slot,
    Table,
)
from .clocks import MILLISECOND, ZERO, ms
from .events import LogRecord
from .ids import CallerName, DaemonId, LogOffset
from .messages import (
    Answer,
    SlotMessage,
    KeyRecord,
    KeyRecords,
)
from .outcomes import Outcome
from .leases import KeyRecordsAccepted, LeaseGrant, LeaseRequest, SlotEpoch
from .writes import Decision, SlotRecords, NotOwner, Terms

#: Time between two requests for a promise.
PROMISE_EVERY = timedelta(seconds=1)
#: Time after which an append that shows no effect is repeated.
APPEND_AGAIN = timedelta(seconds=2)
#: A home names another successor after this time without a promise: before
#: the silent one may take over, which would cost unknown answers.
SILENCE = timedelta(seconds=3)
#: A longer time between two calls counts as a pause of this process.
PAUSE = timedelta(seconds=1)
#: How long a new home waits for the records of a planned handover before it
#: answers that keys are unknown.
HANDOVER_WAIT = timedelta(seconds=2)
#: Records in one message.
RECORD_BATCH = 200
#: Requests for promises that may still be answered.
NONCES = 16

_NEVER = timedelta(days=-1)
_Kept = TypeVar('_Kept')

#: Daemons that may become home or successor of a slot, best first.
Candidates = Callable[[Slot], Sequence[Holder]]


@dataclass(frozen=True, slots=True)
class Sent:
    """A message for one daemon."""

    daemon: DaemonId
    message: SlotMessage


@dataclass(frozen=True, slots=True)
class Append:
    """A record for the log stream ``slotleases``; repeating it is harmless."""

    payload: bytes


Output = Sent | Append


@dataclass(slots=True)
class _Owned:
    """A slot whose home is this daemon."""

    home: SlotRecords
    epoch: int
    #: Start of the epoch as seen here.
    since: timedelta
    #: Until when the promise of the successor of this epoch is used.
    promised: timedelta = _NEVER
    #: Epoch for which an own append was sent and may take effect at any time.
    appended: int = 0
    append_due: timedelta = _NEVER
    #: Planned next home and its successor.
    target: tuple[Holder, Holder] | None = None
    #: The last home and its epoch, until its records are here.
    source: Holder | None = None
    source_epoch: int = 0
    source_until: timedelta = _NEVER
    parts: dict[tuple[CallerName, str], KeyRecord] = field(default_factory=dict)


@dataclass(slots=True)
class _Former:
    """A slot that this daemon lost, until its records are handed over."""

    home: SlotRecords
    ended: SlotEpoch
    target: Holder
    lost: timedelta
    due: timedelta = _NEVER


@dataclass(slots=True)
class _Watch:
    """An epoch whose successor, or claimant, is this daemon."""

    #: No takeover before this time.
    quiet: timedelta
    #: The takeover was appended; no promise is given for this epoch again.
    appended: bool = False
    append_due: timedelta = _NEVER


class SlotLeases:
    """Roles of one daemon for the key slots of all services."""

    def __init__(self, own: Holder, terms: Terms | None = None) -> None:
        """Start with an empty table and no role."""
        self.table = Table()
        self._own = own
        self._terms = terms or Terms()
        self._owned: dict[Slot, _Owned] = {}
        self._former: dict[SlotEpoch, _Former] = {}
        self._watches: dict[SlotEpoch, _Watch] = {}
        self._promises: dict[SlotEpoch, timedelta] = {}
        self._requests: dict[int, timedelta] = {}
        self._nonce = 0
        self._contact = _NEVER
        self._awake = ZERO
        self._last: timedelta | None = None
        self._ask_due = _NEVER
        self._quiet = _NEVER

    def owner_of(self, slot: Slot) -> Holder | None:
        """Return the home of a slot according to the table."""
        found = self.table.get(slot)
        return found.record.home if found else None

    def owned(self) -> tuple[Slot, ...]:
        """Return the slots whose home is this daemon."""
        return tuple(self._owned)

    @property
    def handing_over(self) -> bool:
        """Whether records wait for their next home."""
        return bool(self._former) or any(
            owned.target is not None for owned in self._owned.values()
        )

    def begin(
        self,
        slot: Slot,
        caller: CallerName,
        key: str,
        digest: int,
        now: timedelta,
    ) -> Decision:
        """Decide what to do with a keyed write; ``Run`` records the key."""
        self._wake(now)
        owned = self._owned.get(slot)
        if owned is None:
            return NotOwner()
        known = owned.home.look(caller, key, digest)
        if known is not None:
            return known
        if now < owned.source_until or not self.holds(slot, now):
            return NotOwner()
        return owned.home.begin(caller, key, digest, self._awake)

    def dispatch(self, slot: Slot, term: int, now: timedelta) -> bool:
        """Return whether a write that has begun may be sent now.

        If not, finish it as not run. Ask directly before the first byte is
        sent: the process may have been paused since ``begin``.
        """
        self._wake(now)
        return self.holds(slot, now) and self._owned[slot].home.term == term

    def finish(
        self,
        slot: Slot,
        term: int,
        caller: CallerName,
        key: str,
        outcome: Outcome,
        answer: Answer | None = None,
    ) -> None:
        """Record the end of a write, also if the slot was lost meanwhile."""
        homes = [
            former.home
            for ended, former in self._former.items()
            if (ended.service, ended.slot) == slot
        ]
        owned = self._owned.get(slot)
        if owned is not None:
            homes.append(owned.home)
        for home in homes:
            if home.term == term:
                home.finish(caller, key, outcome, answer)

    def holds(self, slot: Slot, now: timedelta) -> bool:
        """Return whether no other home can be dispatching now."""
        owned = self._owned.get(slot)
        if owned is None or owned.target is not None:
            return False
        if not self.table.complete:
            return False
        if now < self._contact + self._terms.promise_use:
            return True
        if now >= self._contact + self._terms.log_absence:
            return False
        # With an own append under way, the named successor may be another
        # one than this daemon knows; a claimant waits for no promise.
        if _is_unresolved(owned) or self.table.is_claimed(slot):
            return False
        return self._is_promised(owned, now)

    def read(
        self,
        first: LogOffset,
        records: Iterable[LogRecord],
        now: timedelta,
        sent: timedelta | None = None,
    ) -> None:
        """Apply records of the log stream ``slotleases``.

        ``sent`` is the time at which this daemon itself sent a read that
        was answered up to the end of the stream; None for records that a
        peer pushed.
        """
        self._wake(now)
        restored = self.table.restored
        accepted = self.table.read(first, records)
        if self.table.restored > restored:
            self._reconcile(now)
        else:
            for assignment in accepted:
                self._apply(assignment, now)
        for claimed in self.table.claimed_by(self._own):
            # A home that missed the claim may go on for ``log_absence``.
            wait = self._terms.log_absence + 2 * self._terms.promise_valid
            self._watches.setdefault(claimed, _Watch(now + wait))
        if sent is not None:
            self._contact = max(self._contact, sent)

    def restore(
        self,
        following: LogOffset,
        assignments: Iterable[Assignment],
        now: timedelta,
    ) -> None:
        """Take the table of a peer in place of lost records."""
        self._wake(now)
        restored = self.table.restored
        self.table.restore(following, assignments)
        if self.table.restored > restored:
            self._reconcile(now)

    def assign(self, slot: Slot, successor: Holder) -> Append | None:
        """Return the first record of a slot, with this daemon as home."""
        if self.table.get(slot) is not None or not self.table.complete:
            return None
        return _append(OwnerRecord(*slot, 0, self._own, self._own, successor))

    def claim(self, slot: Slot) -> Append | None:
        """Return a claim, for a slot whose home and successor are gone.

        This daemon takes over when neither has written for longer than a
        home goes on without the log. It replaces the claim of another
        daemon, which may have been lost too.
        """
        found = self.table.get(slot)
        if found is None or found.claim == self._own:
            return None
        claim = ClaimRecord(*slot, found.record.epoch, self._own)
        return Append(msgspec.msgpack.encode(claim))

    def hand_over(self, slot: Slot, target: Holder, successor: Holder) -> None:
        """Stop dispatching for a slot and name its next home.

        This cannot be taken back: the record may take effect at any time.
        """
        owned = self._owned.get(slot)
        if owned is not None and owned.target is None:
            owned.target = (target, successor)
            owned.append_due = _NEVER

    def tick(self, now: timedelta, candidates: Candidates) -> list[Output]:
        """Do the work that is due; call it at least every 500 ms."""
        self._wake(now)
        out: list[Output] = []
        if now >= self._ask_due:
            self._ask_due = now + PROMISE_EVERY
            self._ask(now, out)
            self._expire(now)
        for slot, owned in self._owned.items():
            self._write(slot, owned, now, candidates, out)
        for watched, watch in tuple(self._watches.items()):
            self._take_over(watched, watch, now, candidates, out)
        for former in tuple(self._former.values()):
            self._send_records(former, now, out)
        return out

    def receive(
        self, message: SlotMessage, sender: Holder, now: timedelta
    ) -> list[Output]:
        """Apply a message of a peer and return the replies."""
        self._wake(now)
        return self._receive(message, sender, now)

    @singledispatchmethod
    def _receive(
        self, message: object, sender: Holder, now: timedelta
    ) -> list[Output]:
        raise TypeError(f'not a message of homes: {type(message).__name__}')

    @_receive.register
    def _receive_request(
        self, message: LeaseRequest, sender: Holder, now: timedelta
    ) -> list[Output]:
        granted = tuple(
            slot for slot in message.slots if self._may_promise(slot, sender)
        )
        for slot in granted:
            self._promises[slot] = now + self._terms.promise_valid
        if not granted:
            return []
        valid_ms = self._terms.promise_valid // MILLISECOND
        return [
            Sent(sender.daemon, LeaseGrant(message.nonce, granted, valid_ms))
        ]

    @_receive.register
    def _receive_promise(
        self, message: LeaseGrant, sender: Holder, now: timedelta
    ) -> list[Output]:
        asked = self._requests.get(message.nonce)
        if asked is None:
            return []
        use_ms = self._terms.promise_use // MILLISECOND
        until = asked + ms(min(use_ms, message.valid_ms))
        for promised in message.slots:
            slot = (promised.service, promised.slot)
            owned = self._owned.get(slot)
            found = self.table.get(slot)
            if owned is None or found is None:
                continue
            if found.record.slot_epoch != promised:
                continue
            if found.record.successor == sender:
                owned.promised = max(owned.promised, until)
        return []

    @_receive.register
    def _receive_records(
        self, message: KeyRecords, sender: Holder, now: timedelta
    ) -> list[Output]:
        ended = message.slot
        owned = self._owned.get((ended.service, ended.slot))
        if owned is None or owned.source_epoch != ended.epoch:
            return []
        taken = Sent(sender.daemon, KeyRecordsAccepted(ended))
        if owned.source is None:
            return [taken]
        if owned.source != sender:
            return []
        for record in message.records:
            owned.parts[(record.caller, record.key)] = record
        if len(owned.parts) < message.total:
            return []
        owned.home.merge(owned.parts.values(), self._awake)
        longest_ms = self._terms.takeover_window // MILLISECOND
        window = ms(min(message.window_ms, longest_ms))
        owned.home.opens = self._awake + window
        owned.parts.clear()
        owned.source = None
        owned.source_until = _NEVER
        return [taken]

    @_receive.register
    def _receive_taken(
        self, message: KeyRecordsAccepted, sender: Holder, now: timedelta
    ) -> list[Output]:
        former = self._former.get(message.slot)
        if former is not None and former.target == sender:
            self._former.pop(message.slot)
        return []

    def _wake(self, now: timedelta) -> None:
        """Count the time in which this process ran."""
        last = now if self._last is None else self._last
        if now - last > PAUSE:
            # Requests of a home that lives may wait in a socket.
            self._quiet = now + self._terms.promise_valid
        self._awake += min(now - last, PAUSE)
        self._last = now

    def _expire(self, now: timedelta) -> None:
        for owned in self._owned.values():
            owned.home.expire(self._awake)
        self._promises = {
            slot: until for slot, until in self._promises.items() if until > now
        }

    def _is_promised(self, owned: _Owned, now: timedelta) -> bool:
        return now < owned.promised

    def _may_promise(self, slot: SlotEpoch, sender: Holder) -> bool:
        watch = self._watches.get(slot)
        if watch is not None and watch.appended:
            return False
        found = self.table.get((slot.service, slot.slot))
        if found is None or found.record.epoch < slot.epoch:
            return True
        return found.record.epoch == slot.epoch and found.record.home == sender

    def _apply(self, assignment: Assignment, now: timedelta) -> None:
        record = assignment.record
        _drop_ended(self._watches, record)
        _drop_ended(self._promises, record)
        owned = self._owned.get(record.key)
        if record.home == self._own:
            if owned is None:
                self._open(assignment, now)
            else:
                owned.epoch = record.epoch
                owned.since = now
                owned.promised = _NEVER
            return
        if owned is not None:
            self._owned.pop(record.key)
            ended = SlotEpoch(*record.key, owned.epoch)
            if owned.epoch == record.follows:
                self._former[ended] = _Former(
                    owned.home, ended, record.home, self._awake
                )
        if record.successor == self._own:
            self._watches[record.slot_epoch] = _Watch(
                now + 2 * self._terms.promise_valid
            )

    def _reconcile(self, now: timedelta) -> None:
        """Take the roles that a table gives after records were lost."""
        for slot, owned in tuple(self._owned.items()):
            found = self.table.get(slot)
            if found is None or not self._continues(owned, found):
                self._owned.pop(slot)
                self._note_former(slot, owned, found)
        _, assignments = self.table.snapshot()
        epochs = {entry.record.key: entry.record.epoch for entry in assignments}
        self._watches = _current(self._watches, epochs)
        self._promises = _current(self._promises, epochs)
        for entry in assignments:
            record = entry.record
            if record.home == self._own and record.key not in self._owned:
                self._open(entry, now)
            if record.successor == self._own:
                quiet = now + 2 * self._terms.promise_valid
                self._watches.setdefault(record.slot_epoch, _Watch(quiet))

    def _continues(self, owned: _Owned, found: Assignment) -> bool:
        """Return whether no other home can have been in between."""
        record = found.record
        if record.home != self._own:
            return False
        if record.epoch == owned.epoch:
            return True
        if record.follows != owned.epoch or record.writer != self._own:
            return False
        owned.epoch = record.epoch
        owned.promised = _NEVER
        return True

    def _note_former(
        self, slot: Slot, owned: _Owned, found: Assignment | None
    ) -> None:
        """Keep records for the next home if they are all there are."""
        if found is None or found.record.home == self._own:
            return
        if owned.epoch == found.record.follows:
            ended = SlotEpoch(*slot, owned.epoch)
            self._former[ended] = _Former(
                owned.home, ended, found.record.home, self._awake
            )

    def _open(self, assignment: Assignment, now: timedelta) -> None:
        """Become home of a slot."""
        record = assignment.record
        if assignment.previous is None:
            self._owned[record.key] = _Owned(
                SlotRecords(self._terms, record.epoch), record.epoch, now
            )
            return
        planned = record.writer == assignment.previous
        self._owned[record.key] = _Owned(
            SlotRecords(
                self._terms,
                record.epoch,
                self._awake + self._terms.takeover_window,
            ),
            record.epoch,
            now,
            source=assignment.previous,
            source_epoch=record.follows,
            source_until=now + HANDOVER_WAIT if planned else _NEVER,
        )

    def _ask(self, now: timedelta, out: list[Output]) -> None:
        """Ask the successors of the own slots for promises."""
        by_peer: dict[DaemonId, list[SlotEpoch]] = {}
        for slot in self._owned:
            found = self.table.get(slot)
            if found is not None:
                record = found.record
                asked = by_peer.setdefault(record.successor.daemon, [])
                asked.append(record.slot_epoch)
        if not by_peer:
            return
        self._nonce += 1
        self._requests[self._nonce] = now
        self._requests.pop(self._nonce - NONCES, None)
        for peer, slots in by_peer.items():
            out.append(Sent(peer, LeaseRequest(self._nonce, tuple(slots))))

    def _write(
        self,
        slot: Slot,
        owned: _Owned,
        now: timedelta,
        candidates: Candidates,
        out: list[Output],
    ) -> None:
        """Append what this home has to say: next home or new successor."""
        found = self.table.get(slot)
        if found is None or now < owned.append_due:
            return
        record = found.record
        if owned.target is None:
            if not self._needs_record(owned, found, now):
                return
            home = self._own
            successor = _successor(candidates(slot), home, record.successor)
        else:
            home, successor = owned.target
        owned.append_due = now + APPEND_AGAIN
        owned.appended = owned.epoch
        written = OwnerRecord(*slot, record.epoch, self._own, home, successor)
        out.append(_append(written))

    def _needs_record(
        self, owned: _Owned, found: Assignment, now: timedelta
    ) -> bool:
        """Return whether to name a successor, or to answer a claim."""
        if now >= self._contact + self._terms.promise_use:
            return False
        if _is_unresolved(owned) or found.claim is not None:
            return True
        promised = owned.promised - self._terms.promise_use
        return now - max(promised, owned.since) >= SILENCE

    def _take_over(
        self,
        watched: SlotEpoch,
        watch: _Watch,
        now: timedelta,
        candidates: Candidates,
        out: list[Output],
    ) -> None:
        promised = self._promises.get(watched, _NEVER)
        if now < max(watch.quiet, watch.append_due, self._quiet, promised):
            return
        if now >= self._contact + self._terms.promise_use:
            return
        slot = (watched.service, watched.slot)
        found = self.table.get(slot)
        if found is None or not self.table.complete:
            return
        watch.appended = True
        watch.append_due = now + APPEND_AGAIN
        successor = _successor(candidates(slot), self._own, found.record.home)
        out.append(
            _append(
                OwnerRecord(
                    *slot, watched.epoch, self._own, self._own, successor
                )
            )
        )

    def _send_records(
        self, former: _Former, now: timedelta, out: list[Output]
    ) -> None:
        if self._awake - former.lost >= self._terms.retention:
            self._former.pop(former.ended)
            return
        if former.home.running or now < former.due:
            return
        former.due = now + PROMISE_EVERY
        records = former.home.records(self._awake)
        window = max(ZERO, former.home.opens - self._awake)
        for start in range(0, max(1, len(records)), RECORD_BATCH):
            out.append(
                Sent(
                    former.target.daemon,
                    KeyRecords(
                        former.ended,
                        -(-window // MILLISECOND),
                        len(records),
                        tuple(records[start : start + RECORD_BATCH]),
                    ),
                )
            )


def _is_unresolved(owned: _Owned) -> bool:
    """Return whether an own append may still end this epoch."""
    return owned.appended == owned.epoch


def _drop_ended(table: dict[SlotEpoch, Any], record: OwnerRecord) -> None:
    """Drop what is kept of the earlier epochs of a slot."""
    for slot in tuple(table):
        if (slot.service, slot.slot) != record.key:
            continue
        if slot.epoch < record.epoch:
            table.pop(slot)


def _current(
    table: dict[SlotEpoch, _Kept], epochs: dict[Slot, int]
) -> dict[SlotEpoch, _Kept]:
    """Keep what concerns epochs in force or later ones."""
    return {
        slot: kept
        for slot, kept in table.items()
        if slot.epoch >= epochs.get((slot.service, slot.slot), 0)
    }


def _append(record: OwnerRecord) -> Append:
    return Append(msgspec.msgpack.encode(record))


def _successor(
    candidates: Sequence[Holder], own: Holder, last: Holder
) -> Holder:
    """Return the best candidate, if possible another one than the last."""
    others = [one for one in candidates if one != own]
    fresh = [one for one in others if one != last]
    return (fresh or others or [last])[0]
