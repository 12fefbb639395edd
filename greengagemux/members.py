"""Membership by gossip: records of daemons, their heartbeats, relays.

A changed record is pushed to a few peers of the region; then its version is
sent in a few rounds of gossip, so that a daemon that the push missed pulls
the record. A heartbeat has a counter that only its member raises, and an age
that grows on the way. A copy is refreshed only by a higher counter, so
daemons that repeat old heartbeats cannot keep a member alive.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import singledispatchmethod

import msgspec

from .clocks import ZERO
from .gossip import Directed, Gossip, deltas
from .ids import DaemonId, Incarnation, ServiceName
from .messages import (
    DigestEntry,
    MemberHeartbeats,
    MemberDeltas,
    MemberDigest,
    MemberMessage,
    MemberPull,
    MemberRecord,
    MemberSummary,
    UpstreamRecord,
)
from .membertables import (
    BUCKETS,
    HEARTBEAT_EXPIRY,
    Entry,
    MemberTable,
    heartbeat_time,
)

#: Most records in one message.
RECORD_BATCH = 50
#: A message with more records than this is a bulk transfer, as after a start
#: or a network partition, and not the changes of the last second.
BULK_RECORDS = 10

PUSH_EVERY = timedelta(milliseconds=50)
VERSIONS_EVERY = timedelta(milliseconds=200)
#: Interval at which queued heartbeats are sent, and members whose heartbeat has
#: expired are declared lost.
HEARTBEAT_EVERY = timedelta(seconds=1)
#: Interval at which a daemon raises its own heartbeat counter.
REFRESH_EVERY = timedelta(seconds=15)
EXCHANGE_EVERY = timedelta(seconds=5)
RELAY_EXCHANGE_EVERY = timedelta(seconds=10)
#: A member whose heartbeat is older than this is listed in a digest, so that
#: a peer with a newer heartbeat sends it.
HEARTBEAT_OVERDUE = timedelta(seconds=32)
#: A pull without a response is repeated after this time.
PULL_RETRY_AFTER = timedelta(milliseconds=200)
#: Most pulls of one record; then a peer has to announce it again.
PULL_ATTEMPTS = 10
#: Least time between two anti-entropy exchanges that new streams start.
CONNECT_EXCHANGE_EVERY = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class _Pull:
    """A record that was requested from ``peer``, which announced it."""

    peer: DaemonId
    sent_at: timedelta
    attempts: int = 1


class _Timers:
    """Times at which periodic work is due, by its period."""

    def __init__(self) -> None:
        self._due: dict[timedelta, timedelta] = {}

    def due(self, every: timedelta, now: timedelta) -> bool:
        """Return whether a period has ended; if so, start the next one."""
        if now < self._due.get(every, ZERO):
            return False
        self._due[every] = now + every
        return True

    def postpone(self, every: timedelta, until: timedelta) -> None:
        """Set when a period ends."""
        self._due[every] = until


class Members:
    """Member table of one daemon and the gossip that keeps it up to date."""

    def __init__(
        self,
        own: MemberRecord,
        rng: random.Random,
        *,
        by_data_centre: bool = False,
    ) -> None:
        """Start with the own record only.

        With ``by_data_centre`` gossip passes between data centres through
        relays only, as it otherwise does between regions.
        """
        self._id = own.daemon
        self._rng = rng
        self._member_table = MemberTable(by_data_centre=by_data_centre)
        self._own = self._member_table.put(own, 0, ZERO)
        self._gossip = Gossip(self._own, self._member_table, rng)
        self._pulls: dict[DaemonId, _Pull] = {}
        self._timers = _Timers()
        self._last_exchange: timedelta | None = None
        self._started = False

    @property
    def own(self) -> MemberRecord:
        """The record that this daemon announces."""
        return self._own.record

    @property
    def generation(self) -> int:
        """Counter that grows with each change of ``live``."""
        return self._member_table.generation

    def live(self) -> Mapping[DaemonId, MemberRecord]:
        """Return the records of all live members, this daemon included.

        Members that are leaving are listed until they expire.
        """
        return self._member_table.live

    def record(self, daemon: DaemonId) -> MemberRecord | None:
        """Return the record of a live or lost member; None if unknown."""
        entry = self._member_table.entries.get(daemon)
        return entry.record if entry else None

    def changes(self) -> tuple[DaemonId, ...]:
        """Return the members that changed since the last call.

        Members that were lost or became live again are among them.
        """
        return self._member_table.changes()

    def gossip_peers(self, origin: bool) -> list[DaemonId]:
        """Return the peers to send gossip about another subject to.

        ``origin`` is true if this daemon is the source. Each daemon that
        learns something new calls this to relay it.
        """
        return self._gossip.gossip_peers(origin)

    def set_own(
        self,
        upstreams: tuple[UpstreamRecord, ...],
        leaving: bool,
        now: timedelta,
    ) -> None:
        """Set the announced upstreams; without a change nothing is sent."""
        record = self._own.record
        if record.upstreams == upstreams and record.leaving == leaving:
            return
        self._announce(
            msgspec.structs.replace(
                record,
                sequence=record.sequence + 1,
                upstreams=upstreams,
                leaving=leaving,
            ),
            now,
        )

    def push(self, now: timedelta) -> list[Directed]:
        """Return the messages with queued records, without waiting."""
        out: list[Directed] = []
        self._gossip.push_records(now, out)
        return out

    def connected(self, sender: DaemonId, now: timedelta) -> list[Directed]:
        """Return the messages to send first on a new stream with a peer.

        A daemon opens many streams at its start, so an anti-entropy exchange
        starts on at most one of them a second.
        """
        self._own.heartbeat_at = now
        out = [Directed(sender, MemberHeartbeats((self._own.digest(now),)))]
        last = self._last_exchange
        if last is None or now - last >= CONNECT_EXCHANGE_EVERY:
            out.append(self._summary(sender, now))
        return out

    def receive(
        self, message: MemberMessage, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        """Apply a message of a peer and return the replies."""
        return self._receive(message, sender, now)

    def tick(self, now: timedelta) -> list[Directed]:
        """Do the work that is due and return the messages to send.

        Must be called at least every 50 ms.
        """
        self._own.heartbeat_at = now
        if not self._started:
            self._randomize_timers(now)
        out: list[Directed] = []
        if self._timers.due(PUSH_EVERY, now):
            self._gossip.push_records(now, out)
        if self._timers.due(VERSIONS_EVERY, now):
            self._gossip.push_versions(now, out)
            self._retry_pulls(now, out)
        if self._timers.due(REFRESH_EVERY, now):
            self._own.heartbeat += 1
            self._gossip.queue_heartbeat(self._own)
        if self._timers.due(HEARTBEAT_EVERY, now):
            self._member_table.expire(self._id, now)
            self._gossip.push_heartbeats(now, out)
        if self._timers.due(EXCHANGE_EVERY, now):
            self._exchange(now, out)
        if self._timers.due(RELAY_EXCHANGE_EVERY, now):
            self._relay_exchange(now, out)
        return out

    @singledispatchmethod
    def _receive(
        self, message: object, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        raise TypeError(f'not a membership message: {type(message).__name__}')

    @_receive.register
    def _receive_deltas(
        self, message: MemberDeltas, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        blank = (0,) * len(message.records)
        bulk = len(message.records) > BULK_RECORDS
        received = zip(
            message.records,
            message.heartbeats or blank,
            message.ages_s or blank,
            strict=False,
        )
        for record, heartbeat, age_s in received:
            heartbeat_at = heartbeat_time(age_s, now)
            pulled = self._pulls.pop(record.daemon, None) is not None
            if self._apply_record(record, heartbeat, heartbeat_at, now):
                # A record pulled inside the region is known to other members
                # already; bulk transfers follow a start or a partition. Of
                # both only the versions are sent on.
                near = pulled and self._member_table.is_in(sender, self._own)
                self._gossip.queue_record(
                    self._member_table.entries[record.daemon],
                    near or bulk,
                    bulk,
                )
        return []

    @_receive.register
    def _receive_heartbeats(
        self, message: MemberHeartbeats, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        return self._pull(
            sender, self._apply_heartbeats(message.entries, now), now
        )

    @_receive.register
    def _receive_summary(
        self, message: MemberSummary, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        if len(message.hashes) != BUCKETS:
            return []
        buckets = tuple(
            bucket
            for bucket, (theirs, mine) in enumerate(
                zip(message.hashes, self._member_table.hashes, strict=True)
            )
            if theirs != mine
        )
        if not buckets:
            return []
        entries = tuple(
            entry.digest(now)
            for entry in self._member_table.in_buckets(buckets)
        )
        return [Directed(sender, MemberDigest(entries, buckets))]

    @_receive.register
    def _receive_digest(
        self, message: MemberDigest, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        newer = self._newer_than(message)
        out = self._pull(
            sender, self._apply_heartbeats(message.entries, now), now
        )
        if newer:
            heartbeats = tuple(entry.digest(now) for entry in newer)
            out.append(Directed(sender, MemberHeartbeats(heartbeats)))
        return out

    @_receive.register
    def _receive_pull(
        self, message: MemberPull, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        known = [
            self._member_table.entries.get(daemon) for daemon in message.daemons
        ]
        live = [entry for entry in known if entry and entry.lost is None]
        return [
            Directed(sender, deltas(live[start : start + RECORD_BATCH], now))
            for start in range(0, len(live), RECORD_BATCH)
        ]

    def _newer_than(self, message: MemberDigest) -> list[Entry]:
        """Return the members of which the sender has an older or no copy."""
        entries = self._member_table.entries
        listed = {entry.daemon: entry for entry in message.entries}
        newer = [
            entry
            for entry in self._member_table.in_buckets(message.buckets)
            if entry.record.daemon not in listed
        ]
        for daemon, theirs in listed.items():
            mine = entries.get(daemon)
            if mine and mine.lost is None and _is_newer(mine, theirs):
                newer.append(mine)
        return newer

    def _apply_record(
        self,
        record: MemberRecord,
        heartbeat: int,
        heartbeat_at: timedelta,
        now: timedelta,
    ) -> bool:
        """Store a received record; return whether it was new."""
        if record.daemon == self._id:
            self._check_own(record.incarnation, record.sequence, now)
            return False
        if now - heartbeat_at >= HEARTBEAT_EXPIRY:
            return False
        known = self._member_table.entries.get(record.daemon)
        if known is None or known.version < _version(record):
            self._member_table.put(record, heartbeat, heartbeat_at)
            return True
        if known.record.incarnation == record.incarnation:
            self._apply_heartbeat(known, heartbeat, heartbeat_at)
        return False

    def _apply_heartbeats(
        self, entries: Iterable[DigestEntry], now: timedelta
    ) -> list[DaemonId]:
        """Refresh members; return those whose record here is out of date."""
        return [
            digest.daemon for digest in entries if self._outdated(digest, now)
        ]

    def _outdated(self, digest: DigestEntry, now: timedelta) -> bool:
        """Return whether the record here is missing or older than the digest's.

        Also apply the heartbeat of a record that is current here, and supersede
        a newer record of this daemon itself. An expired digest of another
        daemon is ignored.
        """
        if digest.daemon == self._id:
            self._check_own(digest.incarnation, digest.sequence, now)
            return False
        heartbeat_at = heartbeat_time(digest.age_s, now)
        if now - heartbeat_at >= HEARTBEAT_EXPIRY:
            return False
        known = self._member_table.entries.get(digest.daemon)
        if known is None or known.version < _version(digest):
            return True
        if known.record.incarnation == digest.incarnation:
            self._apply_heartbeat(known, digest.heartbeat, heartbeat_at)
        return False

    def _apply_heartbeat(
        self, known: Entry, heartbeat: int, heartbeat_at: timedelta
    ) -> None:
        if heartbeat > known.heartbeat:
            self._member_table.refresh(known, heartbeat, heartbeat_at)
            self._gossip.queue_heartbeat(known)

    def _check_own(
        self, incarnation: Incarnation, sequence: int, now: timedelta
    ) -> None:
        """Supersede a newer record of this daemon from another process.

        An earlier process wrote it, at a time when the wall clock was ahead.
        """
        if (incarnation, sequence) > self._own.version:
            raised = Incarnation(incarnation + 1)
            self._announce(
                msgspec.structs.replace(
                    self._own.record, incarnation=raised, sequence=0
                ),
                now,
            )

    def _announce(self, record: MemberRecord, now: timedelta) -> None:
        self._own.heartbeat_at = now
        self._member_table.put(record, self._own.heartbeat, now)
        self._gossip.queue_record(self._own, version_only=False, bulk=False)

    def _exchange(self, now: timedelta, out: list[Directed]) -> None:
        out.extend(self._summary(peer, now) for peer in self._gossip.peers(1))
        overdue = [
            entry
            for entry in self._member_table.entries.values()
            if entry.lost is None
            and now - entry.heartbeat_at >= HEARTBEAT_OVERDUE
        ]
        if not overdue:
            return
        peers = self._gossip.peers(1)
        if self._id in self._member_table.groups.ranks:
            # A heartbeat lost on the link between areas is known only in the
            # other area.
            peers += self._gossip.far_relays()
        message = MemberDigest(tuple(entry.digest(now) for entry in overdue))
        out.extend(Directed(peer, message) for peer in peers)

    def _relay_exchange(self, now: timedelta, out: list[Directed]) -> None:
        groups = self._member_table.groups
        if self._id not in groups.ranks:
            return
        for relay in self._gossip.far_relays():
            out.append(self._summary(relay, now))
        # During a partition the members of the other side are lost here, like
        # dead ones. Trying one lost member of each area lets the sides find
        # each other when the partition ends.
        for lost in groups.lost.values():
            out.append(self._summary(self._rng.choice(lost), now))

    def _summary(self, peer: DaemonId, now: timedelta) -> Directed:
        self._last_exchange = now
        return Directed(peer, MemberSummary(tuple(self._member_table.hashes)))

    def _pull(
        self, sender: DaemonId, wanted: Iterable[DaemonId], now: timedelta
    ) -> list[Directed]:
        ask: list[DaemonId] = []
        for daemon in wanted:
            pull = self._pulls.get(daemon)
            if pull is None:
                ask.append(daemon)
                self._pulls[daemon] = _Pull(sender, now)
            else:
                # A retry goes to the peer that announced the record last.
                self._pulls[daemon] = replace(pull, peer=sender)
        return [Directed(sender, MemberPull(tuple(ask)))] if ask else []

    def _retry_pulls(self, now: timedelta, out: list[Directed]) -> None:
        """Repeat the pulls without a response, up to a limit."""
        again: dict[DaemonId, list[DaemonId]] = {}
        for daemon, pull in tuple(self._pulls.items()):
            if now - pull.sent_at < PULL_RETRY_AFTER:
                continue
            if pull.attempts == PULL_ATTEMPTS:
                self._pulls.pop(daemon)
                continue
            self._pulls[daemon] = _Pull(pull.peer, now, pull.attempts + 1)
            again.setdefault(pull.peer, []).append(daemon)
        out.extend(
            Directed(peer, MemberPull(tuple(daemons[:RECORD_BATCH])))
            for peer, daemons in again.items()
        )

    def _randomize_timers(self, now: timedelta) -> None:
        """Start the long periods at random, so that daemons do not align."""
        self._started = True
        for every in (REFRESH_EVERY, EXCHANGE_EVERY, RELAY_EXCHANGE_EVERY):
            self._timers.postpone(every, now + every * self._rng.random())


def daemons_serving(members: Members, service: ServiceName) -> list[DaemonId]:
    """Return the other live daemons with upstreams of a service.

    Crash reports are sent to them directly: they would run the request next,
    and gossip is slower than a caller's retry.
    """
    return [
        daemon
        for daemon, record in members.live().items()
        if daemon != members.own.daemon
        and any(upstream.service == service for upstream in record.upstreams)
    ]


def _version(copy: MemberRecord | DigestEntry) -> tuple[Incarnation, int]:
    return copy.incarnation, copy.sequence


def _is_newer(mine: Entry, theirs: DigestEntry) -> bool:
    if mine.version != _version(theirs):
        return mine.version > _version(theirs)
    return mine.heartbeat > theirs.heartbeat
