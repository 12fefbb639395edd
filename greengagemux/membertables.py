"""Copies of member records: which one is newer, how old, and their hashes."""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from types import MappingProxyType

import xxhash

from .clocks import ZERO
from .ids import DaemonId, DataCentre, Incarnation, Region
from .messages import DigestEntry, MemberRecord

#: A region or a data centre.
Area = Region | DataCentre

#: A member is lost when its newest heartbeat is this old.
EXPIRY = timedelta(seconds=60)
#: Lost members are kept so that regions find each other after a long cut.
MEMORY = timedelta(hours=6)
#: Most lost members kept; those lost first go first.
LOST_LIMIT = 4096
#: Hash buckets of a summary.
BUCKETS = 64
#: Relays of a data centre.
RELAYS = 2

_SECOND = timedelta(seconds=1)
_HASH_MASK = (1 << 32) - 1


@dataclass(slots=True)
class Entry:
    """A copy of a record and the freshness of its owner."""

    record: MemberRecord
    beat: int
    heard: timedelta
    bucket: int
    score: int
    lost: timedelta | None = None

    @property
    def version(self) -> tuple[Incarnation, int]:
        """Order of the records of one member."""
        return self.record.incarnation, self.record.sequence

    def age_s(self, now: timedelta) -> int:
        """Return the age of the heartbeat in seconds, rounded up."""
        return max(0, math.ceil((now - self.heard) / _SECOND))

    def digest(self, now: timedelta) -> DigestEntry:
        """Return the entry for a digest or a heartbeat."""
        return DigestEntry(
            self.record.daemon,
            self.record.incarnation,
            self.record.sequence,
            self.beat,
            self.age_s(now),
        )


class MemberTable:
    """All members known to one daemon, live and lost."""

    def __init__(self, *, by_centre: bool = False) -> None:
        """Start empty; areas are regions, or data centres ``by_centre``."""
        self._by_centre = by_centre
        self.entries: dict[DaemonId, Entry] = {}
        self.generation = 0
        self.hashes = [0 for _ in range(BUCKETS)]
        self._live: dict[DaemonId, MemberRecord] = {}
        self._changed: dict[DaemonId, None] = {}
        self._groups: _Groups | None = None

    @property
    def live(self) -> Mapping[DaemonId, MemberRecord]:
        """Records of the members that are not lost."""
        return MappingProxyType(self._live)

    @property
    def groups(self) -> '_Groups':
        """Members by area and their relays."""
        if self._groups is None:
            self._groups = _Groups(self.entries.values(), self.area)
        return self._groups

    def area(self, record: MemberRecord) -> Area:
        """Return the part of the fleet in which news is told at random.

        Between areas only relays tell it.
        """
        return record.data_centre if self._by_centre else record.region

    def is_in(self, daemon: DaemonId, other: Entry) -> bool:
        """Return whether a daemon is in the area of another one."""
        known = self.entries.get(daemon)
        if known is None:
            return True
        return self.area(known.record) == self.area(other.record)

    def changes(self) -> tuple[DaemonId, ...]:
        """Return the members changed, lost or found since the last call."""
        changed = tuple(self._changed)
        self._changed.clear()
        return changed

    def put(self, record: MemberRecord, beat: int, heard: timedelta) -> Entry:
        """Store a newer record of a live member."""
        known = self.entries.get(record.daemon)
        if known is None:
            digest = _hash(record.daemon)
            known = Entry(record, beat, heard, digest % BUCKETS, digest)
            self.entries[record.daemon] = known
            self._groups = None
        else:
            self._regroup(known.record, record)
            self._unhash(known)
            if record.incarnation == known.record.incarnation:
                beat = max(beat, known.beat)
                heard = max(heard, known.heard)
            known.record = record
            known.beat = beat
            known.heard = heard
        self._found(known)
        return known

    def refresh(self, entry: Entry, beat: int, heard: timedelta) -> None:
        """Note a newer heartbeat; a lost member is live again."""
        entry.beat = beat
        entry.heard = max(heard, entry.heard)
        if entry.lost is not None:
            self._found(entry)

    def expire(self, own: DaemonId, now: timedelta) -> None:
        """Declare silent members lost and forget those lost long ago."""
        silent = [
            entry
            for daemon, entry in self.entries.items()
            if now - entry.heard >= EXPIRY and daemon != own
        ]
        for entry in silent:
            if entry.lost is None:
                self._lose(entry, now)
            elif now - entry.lost >= MEMORY:
                self._forget(entry.record.daemon)
        self._bound()

    def _bound(self) -> None:
        surplus = len(self.entries) - len(self._live) - LOST_LIMIT
        if surplus > 0:
            lost = (key for key in self.entries if key not in self._live)
            for daemon in sorted(lost, key=self._lost_since)[:surplus]:
                self._forget(daemon)

    def in_buckets(self, buckets: Iterable[int]) -> list[Entry]:
        """Return the live members in some hash buckets."""
        wanted = frozenset(buckets)
        return [
            entry
            for entry in self.entries.values()
            if entry.bucket in wanted and entry.lost is None
        ]

    def _lost_since(self, daemon: DaemonId) -> timedelta:
        return self.entries[daemon].lost or ZERO

    def _forget(self, daemon: DaemonId) -> None:
        self.entries.pop(daemon)
        self._groups = None

    def _found(self, entry: Entry) -> None:
        if entry.lost is not None:
            entry.lost = None
            self._groups = None
        daemon = entry.record.daemon
        self.hashes[entry.bucket] ^= _version_hash(entry.record)
        self._live[daemon] = entry.record
        self._note(daemon)

    def _lose(self, entry: Entry, now: timedelta) -> None:
        self._unhash(entry)
        entry.lost = now
        self._live.pop(entry.record.daemon)
        self._groups = None
        self._note(entry.record.daemon)

    def _unhash(self, entry: Entry) -> None:
        if entry.lost is None:
            self.hashes[entry.bucket] ^= _version_hash(entry.record)

    def _note(self, daemon: DaemonId) -> None:
        self.generation += 1
        self._changed[daemon] = None

    def _regroup(self, old: MemberRecord, new: MemberRecord) -> None:
        before = (old.data_centre, old.region, old.leaving)
        if before != (new.data_centre, new.region, new.leaving):
            self._groups = None


class _Groups:
    """Members by area, relays by data centre; replaced on any change."""

    def __init__(
        self, entries: Iterable[Entry], area: Callable[[MemberRecord], Area]
    ) -> None:
        self._area = area
        self.live: dict[Area, list[DaemonId]] = {}
        self.lost: dict[Area, list[DaemonId]] = {}
        self.ranks: dict[DaemonId, int] = {}
        self.relays: dict[Area, list[DaemonId]] = {}
        centres: dict[DataCentre, list[Entry]] = {}
        for entry in entries:
            record = entry.record
            found = self.live if entry.lost is None else self.lost
            found.setdefault(area(record), []).append(record.daemon)
            if entry.lost is None and not record.leaving:
                centres.setdefault(record.data_centre, []).append(entry)
        for candidates in centres.values():
            self._rank(candidates)

    def _rank(self, candidates: list[Entry]) -> None:
        best = sorted(candidates, key=_by_score)[:RELAYS]
        for rank, entry in enumerate(best):
            record = entry.record
            self.ranks[record.daemon] = rank
            self.relays.setdefault(self._area(record), []).append(record.daemon)


def _by_score(entry: Entry) -> tuple[int, str]:
    return -entry.score, entry.record.daemon


def heard_at(age_s: int, now: timedelta) -> timedelta:
    """Return when a heartbeat of this age was sent; bad ages are bounded."""
    return now - min(max(age_s, 0), EXPIRY // _SECOND) * _SECOND


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _version_hash(record: MemberRecord) -> int:
    text = f'{record.daemon} {record.incarnation} {record.sequence}'
    return _hash(text) & _HASH_MASK
