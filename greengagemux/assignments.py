"""Homes of key slots as decided by the order of the log stream ``homes``.

A record is valid only if it names the epoch in force and its writer may
write: the home, its successor, the daemon whose claim stands, or anyone for
a slot without a home. All readers of the stream reach the same table.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .events import LogRecord
from .ids import DaemonId, Incarnation, LogOffset, ServiceName
from .promises import SlotEpoch

#: Service and key slot.
Slot = tuple[ServiceName, int]


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a daemon.

    A restarted daemon has lost its records and promises, so it is another
    holder and no longer home or successor.
    """

    daemon: DaemonId
    incarnation: Incarnation


class HomeRecord(msgspec.Struct, frozen=True, array_like=True, tag='home'):
    """Names home and successor of a slot in the epoch after ``follows``."""

    service: ServiceName
    slot: int
    follows: int
    writer: Holder
    home: Holder
    successor: Holder

    @property
    def epoch(self) -> int:
        """Epoch that starts when this record is accepted."""
        return self.follows + 1

    @property
    def key(self) -> Slot:
        """Slot that the record is about."""
        return self.service, self.slot

    @property
    def slot_epoch(self) -> SlotEpoch:
        """Slot and epoch for messages."""
        return SlotEpoch(self.service, self.slot, self.epoch)


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True, tag='claim'):
    """Asks home and successor of an epoch to show that they live."""

    service: ServiceName
    slot: int
    follows: int
    writer: Holder


Record = HomeRecord | ClaimRecord
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


@dataclass(frozen=True, slots=True)
class Assignment:
    """Record in force, the home before it, and the last claim since."""

    record: HomeRecord
    previous: Holder | None = None
    claim: Holder | None = None


class Table:
    """Assignments of all slots up to one offset of the log."""

    def __init__(self) -> None:
        """Start before the first record of the stream."""
        self.following = LogOffset(0)
        #: Whether no record of the stream was missed.
        self.complete = True
        self._slots: dict[Slot, Assignment] = {}

    def get(self, slot: Slot) -> Assignment | None:
        """Return the assignment of a slot, if it has one."""
        return self._slots.get(slot)

    def is_claimed(self, slot: Slot) -> bool:
        """Return whether a claim on the epoch in force stands."""
        found = self._slots.get(slot)
        return found is not None and found.claim is not None

    def claimed_by(self, holder: Holder) -> list[SlotEpoch]:
        """Return the epochs in force on which a holder has the claim."""
        return [
            entry.record.slot_epoch
            for entry in self._slots.values()
            if entry.claim == holder
        ]

    def snapshot(self) -> tuple[LogOffset, tuple[Assignment, ...]]:
        """Return the table and the offset up to which it holds."""
        return self.following, tuple(self._slots.values())

    def restore(
        self, following: LogOffset, assignments: Iterable[Assignment]
    ) -> None:
        """Take a complete table of a peer instead of lost records."""
        if self.complete and following <= self.following:
            return
        self.following = following
        self.complete = True
        self._slots = {entry.record.key: entry for entry in assignments}

    def read(
        self, first: LogOffset, records: Iterable[LogRecord]
    ) -> list[Assignment]:
        """Apply records in log order and return the new assignments.

        ``first`` is the oldest offset retained. Records below the expected
        offset are skipped; after a gap the table is incomplete.
        """
        if first > self.following:
            self.complete = False
        accepted: list[Assignment] = []
        for entry in records:
            if entry.offset < self.following:
                continue
            if entry.offset > self.following:
                self.complete = False
            self.following = LogOffset(entry.offset + 1)
            found = self._apply(entry.payload)
            if found is not None:
                accepted.append(found)
        return accepted

    def _apply(self, payload: bytes) -> Assignment | None:
        try:
            record = _decoder.decode(payload)
        except msgspec.MsgspecError:
            return None
        if isinstance(record, ClaimRecord):
            self._claim(record)
            return None
        current = self._slots.get(record.key)
        if not self._is_valid(record, current):
            return None
        previous = current.record.home if current else None
        assignment = Assignment(record, previous)
        self._slots[record.key] = assignment
        return assignment

    def _claim(self, record: ClaimRecord) -> None:
        key = (record.service, record.slot)
        current = self._slots.get(key)
        if current is None:
            return
        if current.record.epoch == record.follows:
            self._slots[key] = Assignment(
                current.record, current.previous, record.writer
            )

    def _is_valid(self, record: HomeRecord, current: Assignment | None) -> bool:
        if current is None:
            return self._follows(record, 0)
        writers = (
            current.record.home,
            current.record.successor,
            current.claim,
        )
        if record.writer not in writers:
            return False
        return self._follows(record, current.record.epoch)

    def _follows(self, record: HomeRecord, epoch: int) -> bool:
        """Return whether a record was written for the epoch in force.

        An append whose reply was lost may take effect long after others.
        """
        return record.follows == epoch
