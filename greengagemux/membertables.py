"""Member table: copies of member records, their age, order and hashes."""

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

#: A member is declared lost when its newest heartbeat is this old.
HEARTBEAT_EXPIRY = timedelta(seconds=60)
#: Lost members are kept for this time, so that regions find each other after
#: a long partition.
LOST_RETENTION = timedelta(hours=6)
#: Most lost members kept; those lost longest are removed first.
LOST_LIMIT = 4096
#: Hash buckets of a summary.
BUCKETS = 64
#: Relays of a data centre.
RELAYS = 2

_SECOND = timedelta(seconds=1)
_HASH_MASK = (1 << 32) - 1


@dataclass(slots=True)
class Entry:
    """A copy of a member record, with the member's newest heartbeat.

    ``heartbeat_at`` is the local time at which the member sent it. ``score``
    selects the relays; ``lost`` is the time at which the member was lost.
    """

    record: MemberRecord
    heartbeat: int
    heartbeat_at: timedelta
    bucket: int
    score: int
    lost: timedelta | None = None

    @property
    def version(self) -> tuple[Incarnation, int]:
        """Version of the record; the higher one is newer."""
        return self.record.incarnation, self.record.sequence

    def age_s(self, now: timedelta) -> int:
        """Return the age of the heartbeat in seconds, rounded up."""
        return max(0, math.ceil((now - self.heartbeat_at) / _SECOND))

    def digest(self, now: timedelta) -> DigestEntry:
        """Return the entry for a digest or a heartbeat."""
        return DigestEntry(
            self.record.daemon,
            self.record.incarnation,
            self.record.sequence,
            self.heartbeat,
            self.age_s(now),
        )


class MemberTable:
    """All members known to one daemon, live and lost."""

    def __init__(self, *, by_data_centre: bool = False) -> None:
        """Start empty; areas are regions, or data centres if asked for."""
        self._by_data_centre = by_data_centre
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
        """Return the part of the fleet in which gossip goes to random peers.

        Between areas only relays exchange it.
        """
        return record.data_centre if self._by_data_centre else record.region

    def is_in(self, daemon: DaemonId, other: Entry) -> bool:
        """Return whether a daemon is in the area of ``other``, or unknown."""
        known = self.entries.get(daemon)
        if known is None:
            return True
        return self.area(known.record) == self.area(other.record)

    def changes(self) -> tuple[DaemonId, ...]:
        """Return the members that changed since the last call.

        Members that were lost or became live again are among them.
        """
        changed = tuple(self._changed)
        self._changed.clear()
        return changed

    def put(
        self, record: MemberRecord, heartbeat: int, heartbeat_at: timedelta
    ) -> Entry:
        """Store a newer record of a live member."""
        known = self.entries.get(record.daemon)
        if known is None:
            digest = _hash(record.daemon)
            known = Entry(
                record, heartbeat, heartbeat_at, digest % BUCKETS, digest
            )
            self.entries[record.daemon] = known
            self._groups = None
        else:
            self._regroup(known.record, record)
            self._remove_hash(known)
            if record.incarnation == known.record.incarnation:
                heartbeat = max(heartbeat, known.heartbeat)
                heartbeat_at = max(heartbeat_at, known.heartbeat_at)
            known.record = record
            known.heartbeat = heartbeat
            known.heartbeat_at = heartbeat_at
        self._mark_live(known)
        return known

    def refresh(
        self, entry: Entry, heartbeat: int, heartbeat_at: timedelta
    ) -> None:
        """Note a newer heartbeat; a lost member is live again."""
        entry.heartbeat = heartbeat
        entry.heartbeat_at = max(heartbeat_at, entry.heartbeat_at)
        if entry.lost is not None:
            self._mark_live(entry)

    def expire(self, own: DaemonId, now: timedelta) -> None:
        """Declare members with an expired heartbeat lost.

        Members that were lost long ago are removed.
        """
        expired = [
            entry
            for daemon, entry in self.entries.items()
            if now - entry.heartbeat_at >= HEARTBEAT_EXPIRY and daemon != own
        ]
        for entry in expired:
            if entry.lost is None:
                self._mark_lost(entry, now)
            elif now - entry.lost >= LOST_RETENTION:
                self._forget(entry.record.daemon)
        self._limit_lost()

    def _limit_lost(self) -> None:
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

    def _mark_live(self, entry: Entry) -> None:
        if entry.lost is not None:
            entry.lost = None
            self._groups = None
        daemon = entry.record.daemon
        self.hashes[entry.bucket] ^= _version_hash(entry.record)
        self._live[daemon] = entry.record
        self._mark_changed(daemon)

    def _mark_lost(self, entry: Entry, now: timedelta) -> None:
        self._remove_hash(entry)
        entry.lost = now
        self._live.pop(entry.record.daemon)
        self._groups = None
        self._mark_changed(entry.record.daemon)

    def _remove_hash(self, entry: Entry) -> None:
        if entry.lost is None:
            self.hashes[entry.bucket] ^= _version_hash(entry.record)

    def _mark_changed(self, daemon: DaemonId) -> None:
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
        data_centres: dict[DataCentre, list[Entry]] = {}
        for entry in entries:
            record = entry.record
            found = self.live if entry.lost is None else self.lost
            found.setdefault(area(record), []).append(record.daemon)
            if entry.lost is None and not record.leaving:
                data_centres.setdefault(record.data_centre, []).append(entry)
        for candidates in data_centres.values():
            self._rank(candidates)

    def _rank(self, candidates: list[Entry]) -> None:
        best = sorted(candidates, key=_by_score)[:RELAYS]
        for rank, entry in enumerate(best):
            record = entry.record
            self.ranks[record.daemon] = rank
            self.relays.setdefault(self._area(record), []).append(record.daemon)


def _by_score(entry: Entry) -> tuple[int, str]:
    return -entry.score, entry.record.daemon


def heartbeat_time(age_s: int, now: timedelta) -> timedelta:
    """Return when a heartbeat of this age was sent.

    The age comes from a peer, so it is bounded to 0 and ``HEARTBEAT_EXPIRY``.
    """
    return now - min(max(age_s, 0), HEARTBEAT_EXPIRY // _SECOND) * _SECOND


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _version_hash(record: MemberRecord) -> int:
    text = f'{record.daemon} {record.incarnation} {record.sequence}'
    return _hash(text) & _HASH_MASK
