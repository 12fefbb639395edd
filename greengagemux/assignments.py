"""Owners of key slots, decided by the order of the log stream ``homes``.

A record is valid only if it names the epoch in force and its writer may
write: the owner, its successor, the daemon with the last claim, or anyone for
a slot without an owner. All readers of the stream reach the same table.

The log keeps records for a limited time. Before it ends, a daemon appends a
snapshot of the complete table, from which a reader of a truncated log
continues.
"""

import zlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .events import LogRecord
from .ids import DaemonId, Incarnation, LogOffset, ServiceName
from .leases import SlotEpoch

#: Service and key slot.
Slot = tuple[ServiceName, int]


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a daemon.

    A restarted daemon has lost its key records and leases, so it is another
    holder and no longer owner or successor.
    """

    daemon: DaemonId
    incarnation: Incarnation


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True, tag='home'):
    """Names owner and successor of a slot in the epoch after ``follows``."""

    service: ServiceName
    slot: int
    follows: int
    writer: Holder
    owner: Holder
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
        """Slot and epoch, as messages name them."""
        return SlotEpoch(self.service, self.slot, self.epoch)


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True, tag='claim'):
    """Asks owner and successor of an epoch to show that they are alive.

    Either does so by its next record, which ends the epoch and the claim.
    """

    service: ServiceName
    slot: int
    follows: int
    writer: Holder


class TableRecord(msgspec.Struct, frozen=True, array_like=True, tag='table'):
    """Snapshot of the table before log offset ``following``, compressed.

    It changes nothing for a reader that has missed no record.
    """

    following: LogOffset
    table: bytes


Record = OwnerRecord | ClaimRecord | TableRecord
#: Records kept by a reader that waits for a snapshot.
MAX_HELD_RECORDS = 20_000
#: Bounds the memory of a decompressed table; 4096 slots of each of 160
#: services need less.
TABLE_LIMIT_BYTES = 128 * 1024 * 1024
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


@dataclass(frozen=True, slots=True)
class Assignment:
    """Record in force, the owner before it, and the last claim since."""

    record: OwnerRecord
    previous: Holder | None = None
    claim: Holder | None = None


_assignments: msgspec.msgpack.Decoder[list[Assignment]] = (
    msgspec.msgpack.Decoder(list[Assignment])
)


class Table:
    """Assignments of all slots up to one offset of the log.

    ``following`` is the offset of the next record to read.
    """

    def __init__(self) -> None:
        """Start before the first record of the stream."""
        self.following = LogOffset(0)
        #: Whether no record of the stream was missed.
        self.complete = True
        #: How often missed records were replaced by a snapshot or a peer's
        #: table.
        self.restored = 0
        #: Offset of the newest snapshot that was read; -1 before the first.
        self.last_snapshot = -1
        self._slots: dict[Slot, Assignment] = {}
        #: Records from ``_held_from`` on, while the table is not complete.
        self._held: deque[LogRecord] = deque(maxlen=MAX_HELD_RECORDS)
        self._held_from = 0

    def __len__(self) -> int:
        """Return the number of slots with an owner."""
        return len(self._slots)

    def get(self, slot: Slot) -> Assignment | None:
        """Return the assignment of a slot, if it has one."""
        return self._slots.get(slot)

    def is_claimed(self, slot: Slot) -> bool:
        """Return whether there is a claim on the epoch in force."""
        found = self._slots.get(slot)
        return found is not None and found.claim is not None

    def claimed_by(self, holder: Holder) -> list[SlotEpoch]:
        """Return the epochs in force whose last claim is that of a holder."""
        return [
            entry.record.slot_epoch
            for entry in self._slots.values()
            if entry.claim == holder
        ]

    def snapshot(self) -> tuple[LogOffset, tuple[Assignment, ...]]:
        """Return the table and the offset of the first record not in it."""
        return self.following, tuple(self._slots.values())

    def restore(
        self, following: LogOffset, assignments: Iterable[Assignment]
    ) -> None:
        """Replace the table, if it lacks records or the given one is newer."""
        if self.complete and following <= self.following:
            return
        self.following = following
        self.complete = True
        self.restored += 1
        self._held.clear()
        self._slots = {entry.record.key: entry for entry in assignments}

    def snapshot_record(self) -> bytes:
        """Return the encoded snapshot of this table."""
        packed = msgspec.msgpack.encode(tuple(self._slots.values()))
        return msgspec.msgpack.encode(
            TableRecord(self.following, zlib.compress(packed, 1))
        )

    def read(
        self, first: LogOffset, records: Iterable[LogRecord]
    ) -> list[Assignment]:
        """Apply records in log order and return the new assignments.

        ``first`` is the oldest offset retained. Records below the expected
        offset are skipped; after a gap the table is incomplete until a
        snapshot covers the gap.
        """
        if first > self.following:
            self._note_gap(first)
        accepted: list[Assignment] = []
        for entry in records:
            if entry.offset < self.following:
                continue
            if entry.offset > self.following:
                self._note_gap(entry.offset)
            self.following = LogOffset(entry.offset + 1)
            found = self._apply(entry)
            if found is not None:
                accepted.append(found)
        return accepted

    def _note_gap(self, offset: LogOffset) -> None:
        self.complete = False
        self._held.clear()
        self._held_from = offset

    def _apply(self, entry: LogRecord) -> Assignment | None:
        if not self.complete:
            self._hold(entry)
        try:
            record = _decoder.decode(entry.payload)
        except msgspec.MsgspecError:
            return None
        if isinstance(record, TableRecord):
            self._apply_snapshot(record, entry.offset)
            return None
        if isinstance(record, ClaimRecord):
            self._claim(record)
            return None
        current = self._slots.get(record.key)
        if not self._is_valid(record, current):
            return None
        previous = current.record.owner if current else None
        assignment = Assignment(record, previous)
        self._slots[record.key] = assignment
        return assignment

    def _hold(self, entry: LogRecord) -> None:
        self._held.append(entry)
        self._held_from = max(self._held_from, self._held[0].offset)

    def _apply_snapshot(self, record: TableRecord, offset: LogOffset) -> None:
        """Continue from a snapshot and the records after it."""
        if not 0 <= record.following <= offset:
            return
        self.last_snapshot = offset
        # Records between the snapshot and the first one held would be missing.
        if self.complete or record.following < self._held_from:
            return
        try:
            assignments = _assignments.decode(_decompressed(record.table))
        except (zlib.error, ValueError):
            return
        held = tuple(self._held)
        self.restore(record.following, assignments)
        for entry in held:
            if entry.offset >= record.following:
                self._apply(entry)
        self.following = LogOffset(offset + 1)

    def _claim(self, record: ClaimRecord) -> None:
        key = (record.service, record.slot)
        current = self._slots.get(key)
        if current is None:
            return
        if current.record.epoch == record.follows:
            self._slots[key] = Assignment(
                current.record, current.previous, record.writer
            )

    def _is_valid(
        self, record: OwnerRecord, current: Assignment | None
    ) -> bool:
        if current is None:
            return self._follows(record, 0)
        writers = (
            current.record.owner,
            current.record.successor,
            current.claim,
        )
        if record.writer not in writers:
            return False
        return self._follows(record, current.record.epoch)

    def _follows(self, record: OwnerRecord, epoch: int) -> bool:
        """Return whether a record was written for the epoch in force.

        An append whose response was lost may take effect after later appends.
        """
        return record.follows == epoch


def _decompressed(table: bytes) -> bytes:
    inflater = zlib.decompressobj()
    packed: bytes = inflater.decompress(table, TABLE_LIMIT_BYTES)
    if not inflater.eof:
        raise ValueError('compressed slot table is truncated or too large')
    return packed
