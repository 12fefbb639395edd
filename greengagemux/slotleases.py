"""Ownership of key slots: leases, takeover and handover of one daemon.

An owner dispatches keyed writes while its last read of the log is recent, or
while it holds a lease from its successor, which does not take over before the
lease ends. Both are judged by the monotonic clock at each dispatch.
docs/writes.md gives the argument why no keyed write is dispatched twice.
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
from .writes import Decision, SlotRecords, NotOwner, LeaseTimings

#: Time between two lease requests.
LEASE_REQUEST_INTERVAL = timedelta(seconds=1)
#: An append whose record has not been read back is repeated after this time.
APPEND_RETRY_INTERVAL = timedelta(seconds=2)
#: An owner names another successor after this time without a lease grant. The
#: time is shorter than a lease, so the old successor cannot have taken over,
#: which would make the results of recent writes unknown.
SUCCESSOR_TIMEOUT = timedelta(seconds=3)
#: A longer time between two calls means that the process was paused.
PAUSE_THRESHOLD = timedelta(seconds=1)
#: How long a new owner waits for the key records of a planned handover before
#: it reports the outcome of keys without a record as unknown.
HANDOVER_TIMEOUT = timedelta(seconds=2)
#: Key records in one message of a handover.
RECORDS_PER_MESSAGE = 200
#: Most recent lease requests whose grants are still accepted.
MAX_OUTSTANDING_REQUESTS = 16

_NEVER = timedelta(days=-1)
_Kept = TypeVar('_Kept')

#: Returns the daemons that may own a slot or succeed its owner, best first.
Candidates = Callable[[Slot], Sequence[Holder]]


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to send to one daemon."""

    daemon: DaemonId
    message: SlotMessage


@dataclass(frozen=True, slots=True)
class Append:
    """A record to append to the log stream ``homes``.

    Appending it more than once has no further effect.
    """

    payload: bytes


Output = SendMessage | Append


@dataclass(slots=True)
class _Owned:
    """A slot that this daemon owns."""

    key_records: SlotRecords
    epoch: int
    #: When this daemon read the record that starts the epoch.
    since: timedelta
    #: End of the lease that the successor of this epoch granted.
    lease_until: timedelta = _NEVER
    #: Epoch that an append of this daemon would end; the append may still take
    #: effect at any time.
    appended: int = 0
    append_due: timedelta = _NEVER
    #: During a handover, the next owner and the successor named with it.
    target: tuple[Holder, Holder] | None = None
    #: Previous owner, while its key records are still being received, and its
    #: epoch. A planned handover waits for the records until ``source_until``.
    source: Holder | None = None
    source_epoch: int = 0
    source_until: timedelta = _NEVER
    received: dict[tuple[CallerName, str], KeyRecord] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class _Former:
    """A slot that this daemon no longer owns.

    Its key records are kept until the new owner has accepted them.
    """

    key_records: SlotRecords
    ended: SlotEpoch
    target: Holder
    lost: timedelta
    due: timedelta = _NEVER


@dataclass(slots=True)
class _PendingTakeover:
    """An epoch that this daemon may end, as successor or by its claim."""

    #: No takeover before this time.
    not_before: timedelta
    #: The takeover was appended; no lease of this epoch is granted any more.
    appended: bool = False
    append_due: timedelta = _NEVER


class SlotLeases:
    """The slots that one daemon owns, succeeds or has given up."""

    def __init__(self, own: Holder, terms: LeaseTimings | None = None) -> None:
        """Start with an empty table and no slots."""
        self.table = Table()
        self._own = own
        self._terms = terms or LeaseTimings()
        self._owned: dict[Slot, _Owned] = {}
        self._former: dict[SlotEpoch, _Former] = {}
        self._takeovers: dict[SlotEpoch, _PendingTakeover] = {}
        self._granted_leases: dict[SlotEpoch, timedelta] = {}
        self._lease_requests: dict[int, timedelta] = {}
        self._nonce = 0
        self._last_log_read = _NEVER
        self._active_time = ZERO
        self._last_call: timedelta | None = None
        self._lease_request_due = _NEVER
        self._no_takeover_before = _NEVER

    def owner_of(self, slot: Slot) -> Holder | None:
        """Return the owner of a slot according to the table."""
        found = self.table.get(slot)
        return found.record.owner if found else None

    def owned(self) -> tuple[Slot, ...]:
        """Return the slots that this daemon owns."""
        return tuple(self._owned)

    @property
    def handing_over(self) -> bool:
        """Whether a handover has begun whose key records are not yet accepted."""
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
        """Decide what to do with a keyed write; ``Run`` means the key is recorded."""
        self._update_active_time(now)
        owned = self._owned.get(slot)
        if owned is None:
            return NotOwner()
        known = owned.key_records.lookup(caller, key, digest)
        if known is not None:
            return known
        if now < owned.source_until or not self.is_sole_owner(slot, now):
            return NotOwner()
        return owned.key_records.begin(caller, key, digest, self._active_time)

    def may_dispatch(self, slot: Slot, term: int, now: timedelta) -> bool:
        """Return whether a write that has begun may be sent now.

        If not, the caller of this method finishes the write as not run. Call
        it directly before the first byte is sent: the process may have been
        paused since ``begin``.
        """
        self._update_active_time(now)
        return (
            self.is_sole_owner(slot, now)
            and self._owned[slot].key_records.term == term
        )

    def finish(
        self,
        slot: Slot,
        term: int,
        caller: CallerName,
        key: str,
        outcome: Outcome,
        answer: Answer | None = None,
    ) -> None:
        """Record the outcome of a write, also if the slot has another owner now."""
        found = [
            former.key_records
            for ended, former in self._former.items()
            if (ended.service, ended.slot) == slot
        ]
        owned = self._owned.get(slot)
        if owned is not None:
            found.append(owned.key_records)
        for key_records in found:
            if key_records.term == term:
                key_records.finish(caller, key, outcome, answer)

    def is_sole_owner(self, slot: Slot, now: timedelta) -> bool:
        """Return whether no other daemon can dispatch writes of the slot now."""
        owned = self._owned.get(slot)
        if owned is None or owned.target is not None:
            return False
        if not self.table.complete:
            return False
        if now < self._last_log_read + self._terms.lease_use:
            return True
        if now >= self._last_log_read + self._terms.max_log_outage:
            return False
        # While an append of this daemon is unresolved, the log may already name
        # a successor that has granted no lease. A daemon with a claim waits for
        # a fixed time, whatever leases were granted.
        if _is_unresolved(owned) or self.table.is_claimed(slot):
            return False
        return self._is_leased(owned, now)

    def read(
        self,
        first: LogOffset,
        records: Iterable[LogRecord],
        now: timedelta,
        sent: timedelta | None = None,
    ) -> None:
        """Apply records of the log stream ``homes``.

        ``sent`` is the time at which this daemon sent a read that returned
        all records to the end of the stream; None for records that a peer
        forwarded.
        """
        self._update_active_time(now)
        restored = self.table.restored
        accepted = self.table.read(first, records)
        if self.table.restored > restored:
            self._reconcile(now)
        else:
            for assignment in accepted:
                self._apply(assignment, now)
        for claimed in self.table.claimed_by(self._own):
            # An owner that has not read the claim may dispatch for up to
            # ``max_log_outage``.
            wait = self._terms.max_log_outage + 2 * self._terms.lease_valid
            self._takeovers.setdefault(claimed, _PendingTakeover(now + wait))
        if sent is not None:
            self._last_log_read = max(self._last_log_read, sent)

    def restore(
        self,
        following: LogOffset,
        assignments: Iterable[Assignment],
        now: timedelta,
    ) -> None:
        """Replace the table by a peer's if records of the log were missed."""
        self._update_active_time(now)
        restored = self.table.restored
        self.table.restore(following, assignments)
        if self.table.restored > restored:
            self._reconcile(now)

    def assign(self, slot: Slot, successor: Holder) -> Append | None:
        """Return the first record of a slot, which makes this daemon its owner.

        Returns None if the slot has an owner or the table lacks records.
        """
        if self.table.get(slot) is not None or not self.table.complete:
            return None
        return _append(OwnerRecord(*slot, 0, self._own, self._own, successor))

    def claim(self, slot: Slot) -> Append | None:
        """Return a claim on a slot whose owner and successor are gone.

        This daemon takes over when neither has appended a record for longer
        than an owner may dispatch without the log. The claim replaces that of
        another daemon, which may be gone too. Returns None if the slot has no
        owner or this daemon already has the claim.
        """
        found = self.table.get(slot)
        if found is None or found.claim == self._own:
            return None
        claim = ClaimRecord(*slot, found.record.epoch, self._own)
        return Append(msgspec.msgpack.encode(claim))

    def hand_over(self, slot: Slot, target: Holder, successor: Holder) -> None:
        """Stop dispatching for a slot and name its next owner.

        This cannot be undone: the record may take effect at any time.
        """
        owned = self._owned.get(slot)
        if owned is not None and owned.target is None:
            owned.target = (target, successor)
            owned.append_due = _NEVER

    def tick(self, now: timedelta, candidates: Candidates) -> list[Output]:
        """Do the work that is due and return what to send and append.

        Call it at least every 500 ms.
        """
        self._update_active_time(now)
        out: list[Output] = []
        if now >= self._lease_request_due:
            self._lease_request_due = now + LEASE_REQUEST_INTERVAL
            self._request_leases(now, out)
            self._expire(now)
        for slot, owned in self._owned.items():
            self._append_owner_record(slot, owned, now, candidates, out)
        for ended, takeover in tuple(self._takeovers.items()):
            self._take_over(ended, takeover, now, candidates, out)
        for former in tuple(self._former.values()):
            self._send_records(former, now, out)
        return out

    def receive(
        self, message: SlotMessage, sender: Holder, now: timedelta
    ) -> list[Output]:
        """Apply a message of a peer and return the replies."""
        self._update_active_time(now)
        return self._receive(message, sender, now)

    @singledispatchmethod
    def _receive(
        self, message: object, sender: Holder, now: timedelta
    ) -> list[Output]:
        raise TypeError(
            f'not a message about key slots: {type(message).__name__}'
        )

    @_receive.register
    def _receive_request(
        self, message: LeaseRequest, sender: Holder, now: timedelta
    ) -> list[Output]:
        granted = tuple(
            slot for slot in message.slots if self._may_grant(slot, sender)
        )
        for slot in granted:
            self._granted_leases[slot] = now + self._terms.lease_valid
        if not granted:
            return []
        valid_ms = self._terms.lease_valid // MILLISECOND
        return [
            SendMessage(
                sender.daemon, LeaseGrant(message.nonce, granted, valid_ms)
            )
        ]

    @_receive.register
    def _receive_grant(
        self, message: LeaseGrant, sender: Holder, now: timedelta
    ) -> list[Output]:
        requested = self._lease_requests.get(message.nonce)
        if requested is None:
            return []
        use_ms = self._terms.lease_use // MILLISECOND
        until = requested + ms(min(use_ms, message.valid_ms))
        for leased in message.slots:
            slot = (leased.service, leased.slot)
            owned = self._owned.get(slot)
            found = self.table.get(slot)
            if owned is None or found is None:
                continue
            if found.record.slot_epoch != leased:
                continue
            if found.record.successor == sender:
                owned.lease_until = max(owned.lease_until, until)
        return []

    @_receive.register
    def _receive_records(
        self, message: KeyRecords, sender: Holder, now: timedelta
    ) -> list[Output]:
        ended = message.slot
        owned = self._owned.get((ended.service, ended.slot))
        if owned is None or owned.source_epoch != ended.epoch:
            return []
        accepted = SendMessage(sender.daemon, KeyRecordsAccepted(ended))
        if owned.source is None:
            return [accepted]
        if owned.source != sender:
            return []
        for record in message.records:
            owned.received[(record.caller, record.key)] = record
        if len(owned.received) < message.total:
            return []
        owned.key_records.merge(owned.received.values(), self._active_time)
        longest_ms = self._terms.takeover_window // MILLISECOND
        window = ms(min(message.window_ms, longest_ms))
        owned.key_records.complete_from = self._active_time + window
        owned.received.clear()
        owned.source = None
        owned.source_until = _NEVER
        return [accepted]

    @_receive.register
    def _receive_accepted(
        self, message: KeyRecordsAccepted, sender: Holder, now: timedelta
    ) -> list[Output]:
        former = self._former.get(message.slot)
        if former is not None and former.target == sender:
            self._former.pop(message.slot)
        return []

    def _update_active_time(self, now: timedelta) -> None:
        """Count the time in which this process was not paused."""
        last = now if self._last_call is None else self._last_call
        if now - last > PAUSE_THRESHOLD:
            # Lease requests of a running owner may be queued in a socket.
            self._no_takeover_before = now + self._terms.lease_valid
        self._active_time += min(now - last, PAUSE_THRESHOLD)
        self._last_call = now

    def _expire(self, now: timedelta) -> None:
        for owned in self._owned.values():
            owned.key_records.expire(self._active_time)
        self._granted_leases = {
            slot: until
            for slot, until in self._granted_leases.items()
            if until > now
        }

    def _is_leased(self, owned: _Owned, now: timedelta) -> bool:
        return now < owned.lease_until

    def _may_grant(self, slot: SlotEpoch, sender: Holder) -> bool:
        takeover = self._takeovers.get(slot)
        if takeover is not None and takeover.appended:
            return False
        found = self.table.get((slot.service, slot.slot))
        if found is None or found.record.epoch < slot.epoch:
            return True
        return found.record.epoch == slot.epoch and found.record.owner == sender

    def _apply(self, assignment: Assignment, now: timedelta) -> None:
        record = assignment.record
        _drop_ended(self._takeovers, record)
        _drop_ended(self._granted_leases, record)
        owned = self._owned.get(record.key)
        if record.owner == self._own:
            if owned is None:
                self._become_owner(assignment, now)
            else:
                owned.epoch = record.epoch
                owned.since = now
                owned.lease_until = _NEVER
            return
        if owned is not None:
            self._owned.pop(record.key)
            ended = SlotEpoch(*record.key, owned.epoch)
            if owned.epoch == record.follows:
                self._former[ended] = _Former(
                    owned.key_records, ended, record.owner, self._active_time
                )
        if record.successor == self._own:
            self._takeovers[record.slot_epoch] = _PendingTakeover(
                now + 2 * self._terms.lease_valid
            )

    def _reconcile(self, now: timedelta) -> None:
        """Follow a table that was restored after records were missed."""
        for slot, owned in tuple(self._owned.items()):
            found = self.table.get(slot)
            if found is None or not self._is_continuous(owned, found):
                self._owned.pop(slot)
                self._keep_former(slot, owned, found)
        _, assignments = self.table.snapshot()
        epochs = {entry.record.key: entry.record.epoch for entry in assignments}
        self._takeovers = _without_ended(self._takeovers, epochs)
        self._granted_leases = _without_ended(self._granted_leases, epochs)
        for entry in assignments:
            record = entry.record
            if record.owner == self._own and record.key not in self._owned:
                self._become_owner(entry, now)
            if record.successor == self._own:
                not_before = now + 2 * self._terms.lease_valid
                self._takeovers.setdefault(
                    record.slot_epoch, _PendingTakeover(not_before)
                )

    def _is_continuous(self, owned: _Owned, found: Assignment) -> bool:
        """Return whether this daemon has owned the slot without interruption.

        If the next record is one that this daemon wrote for itself, also adopt
        its epoch and drop the lease of the ended one.
        """
        record = found.record
        if record.owner != self._own:
            return False
        if record.epoch == owned.epoch:
            return True
        if record.follows != owned.epoch or record.writer != self._own:
            return False
        owned.epoch = record.epoch
        owned.lease_until = _NEVER
        return True

    def _keep_former(
        self, slot: Slot, owned: _Owned, found: Assignment | None
    ) -> None:
        """Keep key records if the new epoch directly follows the ended one."""
        if found is None or found.record.owner == self._own:
            return
        if owned.epoch == found.record.follows:
            ended = SlotEpoch(*slot, owned.epoch)
            self._former[ended] = _Former(
                owned.key_records, ended, found.record.owner, self._active_time
            )

    def _become_owner(self, assignment: Assignment, now: timedelta) -> None:
        """Start to own a slot."""
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
                self._active_time + self._terms.takeover_window,
            ),
            record.epoch,
            now,
            source=assignment.previous,
            source_epoch=record.follows,
            source_until=now + HANDOVER_TIMEOUT if planned else _NEVER,
        )

    def _request_leases(self, now: timedelta, out: list[Output]) -> None:
        """Request leases from the successors of the owned slots."""
        by_peer: dict[DaemonId, list[SlotEpoch]] = {}
        for slot in self._owned:
            found = self.table.get(slot)
            if found is not None:
                record = found.record
                requested = by_peer.setdefault(record.successor.daemon, [])
                requested.append(record.slot_epoch)
        if not by_peer:
            return
        self._nonce += 1
        self._lease_requests[self._nonce] = now
        self._lease_requests.pop(self._nonce - MAX_OUTSTANDING_REQUESTS, None)
        for peer, slots in by_peer.items():
            out.append(
                SendMessage(peer, LeaseRequest(self._nonce, tuple(slots)))
            )

    def _append_owner_record(
        self,
        slot: Slot,
        owned: _Owned,
        now: timedelta,
        candidates: Candidates,
        out: list[Output],
    ) -> None:
        """Append the next owner in a handover, or a new successor if needed."""
        found = self.table.get(slot)
        if found is None or now < owned.append_due:
            return
        record = found.record
        if owned.target is None:
            if not self._needs_record(owned, found, now):
                return
            owner = self._own
            successor = _successor(candidates(slot), owner, record.successor)
        else:
            owner, successor = owned.target
        owned.append_due = now + APPEND_RETRY_INTERVAL
        owned.appended = owned.epoch
        written = OwnerRecord(*slot, record.epoch, self._own, owner, successor)
        out.append(_append(written))

    def _needs_record(
        self, owned: _Owned, found: Assignment, now: timedelta
    ) -> bool:
        """Return whether to name a successor or to defeat a claim."""
        if now >= self._last_log_read + self._terms.lease_use:
            return False
        if _is_unresolved(owned) or found.claim is not None:
            return True
        granted_at = owned.lease_until - self._terms.lease_use
        return now - max(granted_at, owned.since) >= SUCCESSOR_TIMEOUT

    def _take_over(
        self,
        ended: SlotEpoch,
        takeover: _PendingTakeover,
        now: timedelta,
        candidates: Candidates,
        out: list[Output],
    ) -> None:
        lease_until = self._granted_leases.get(ended, _NEVER)
        if now < max(
            takeover.not_before,
            takeover.append_due,
            self._no_takeover_before,
            lease_until,
        ):
            return
        if now >= self._last_log_read + self._terms.lease_use:
            return
        slot = (ended.service, ended.slot)
        found = self.table.get(slot)
        if found is None or not self.table.complete:
            return
        takeover.appended = True
        takeover.append_due = now + APPEND_RETRY_INTERVAL
        successor = _successor(candidates(slot), self._own, found.record.owner)
        out.append(
            _append(
                OwnerRecord(*slot, ended.epoch, self._own, self._own, successor)
            )
        )

    def _send_records(
        self, former: _Former, now: timedelta, out: list[Output]
    ) -> None:
        if self._active_time - former.lost >= self._terms.retention:
            self._former.pop(former.ended)
            return
        if former.key_records.running or now < former.due:
            return
        former.due = now + LEASE_REQUEST_INTERVAL
        records = former.key_records.records(self._active_time)
        window = max(ZERO, former.key_records.complete_from - self._active_time)
        for start in range(0, max(1, len(records)), RECORDS_PER_MESSAGE):
            out.append(
                SendMessage(
                    former.target.daemon,
                    KeyRecords(
                        former.ended,
                        -(-window // MILLISECOND),
                        len(records),
                        tuple(records[start : start + RECORDS_PER_MESSAGE]),
                    ),
                )
            )


def _is_unresolved(owned: _Owned) -> bool:
    """Return whether an append of this daemon may still end the epoch."""
    return owned.appended == owned.epoch


def _drop_ended(table: dict[SlotEpoch, Any], record: OwnerRecord) -> None:
    """Drop the entries of earlier epochs of a slot."""
    for slot in tuple(table):
        if (slot.service, slot.slot) != record.key:
            continue
        if slot.epoch < record.epoch:
            table.pop(slot)


def _without_ended(
    table: dict[SlotEpoch, _Kept], epochs: dict[Slot, int]
) -> dict[SlotEpoch, _Kept]:
    """Return the entries of epochs in force or later ones."""
    return {
        slot: value
        for slot, value in table.items()
        if slot.epoch >= epochs.get((slot.service, slot.slot), 0)
    }


def _append(record: OwnerRecord) -> Append:
    return Append(msgspec.msgpack.encode(record))


def _successor(
    candidates: Sequence[Holder], own: Holder, avoid: Holder
) -> Holder:
    """Return the first candidate that is neither ``own`` nor ``avoid``.

    Without such a candidate, return ``avoid``.
    """
    others = [holder for holder in candidates if holder != own]
    fresh = [holder for holder in others if holder != avoid]
    return (fresh or others or [avoid])[0]
