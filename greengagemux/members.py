"""Membership: own record, gossip of records and heartbeats, relays.

A change is pushed as a whole record to a few peers of the region, then its
version is mentioned in a few rounds of heartbeats, so that a daemon that
the push missed pulls it. Heartbeats carry a counter that only their owner
raises and an age that grows on the way: a copy is refreshed only by a higher
counter, so daemons that repeat old heartbeats cannot keep a member alive.
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
from .membertables import BUCKETS, EXPIRY, Entry, MemberTable, heard_at

#: Most records in one message.
RECORD_BATCH = 50
#: More records than this in one message are not news of the last second.
BULK_RECORDS = 10

PUSH_EVERY = timedelta(milliseconds=50)
MENTION_EVERY = timedelta(milliseconds=200)
BEAT_EVERY = timedelta(seconds=1)
REFRESH_EVERY = timedelta(seconds=15)
EXCHANGE_EVERY = timedelta(seconds=5)
RELAY_EXCHANGE_EVERY = timedelta(seconds=10)
#: A member whose heartbeat is this old is asked about.
OVERDUE = timedelta(seconds=32)
#: A pull that was not answered is repeated after this time.
PULL_AGAIN = timedelta(milliseconds=200)
#: Most times that a record is asked for before it is told again.
PULL_LIMIT = 10
#: Least time between two exchanges because of new streams.
CONNECT_EXCHANGE_EVERY = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class _Pull:
    """A record asked for; ``peer`` told of it."""

    peer: DaemonId
    asked: timedelta
    tries: int = 1


class _Timers:
    """Times at which the regular work of a daemon is due."""

    def __init__(self) -> None:
        self._due: dict[timedelta, timedelta] = {}

    def due(self, every: timedelta, now: timedelta) -> bool:
        """Return whether a period ended; the next one starts ``now``."""
        if now < self._due.get(every, ZERO):
            return False
        self._due[every] = now + every
        return True

    def postpone(self, every: timedelta, until: timedelta) -> None:
        """Set when a period ends."""
        self._due[every] = until


class Members:
    """The members known to one daemon and the messages to send for them."""

    def __init__(
        self,
        own: MemberRecord,
        rng: random.Random,
        *,
        by_centre: bool = False,
    ) -> None:
        """Start with the own record only.

        With ``by_centre`` news crosses between data centres through relays,
        as it otherwise does between regions.
        """
        self._id = own.daemon
        self._rng = rng
        self._roster = MemberTable(by_centre=by_centre)
        self._own = self._roster.put(own, 0, ZERO)
        self._gossip = Gossip(self._own, self._roster, rng)
        self._asked: dict[DaemonId, _Pull] = {}
        self._timers = _Timers()
        self._last_exchange: timedelta | None = None
        self._started = False

    @property
    def own(self) -> MemberRecord:
        """The own record as announced."""
        return self._own.record

    @property
    def generation(self) -> int:
        """Counter that grows with each change of ``live``."""
        return self._roster.generation

    def live(self) -> Mapping[DaemonId, MemberRecord]:
        """Return the records of all live members, this daemon included.

        Members that are leaving are listed until they expire.
        """
        return self._roster.live

    def record(self, daemon: DaemonId) -> MemberRecord | None:
        """Return the record of a live or lost member, for its address."""
        entry = self._roster.entries.get(daemon)
        return entry.record if entry else None

    def changes(self) -> tuple[DaemonId, ...]:
        """Return the members changed, lost or found since the last call."""
        return self._roster.changes()

    def spread(self, origin: bool) -> list[DaemonId]:
        """Return the peers to tell news of another subject.

        ``origin`` says that the news arose here; news of peers is passed on
        in the same way by each daemon to which it is new.
        """
        return self._gossip.spread(origin)

    def set_own(
        self,
        upstreams: tuple[UpstreamRecord, ...],
        leaving: bool,
        now: timedelta,
    ) -> None:
        """Announce the own upstreams; nothing is sent without a change."""
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

    def connected(self, sender: DaemonId, now: timedelta) -> list[Directed]:
        """Return the messages that start a stream with a peer.

        A daemon opens many streams at its start, so the members are
        compared on at most one of them a second.
        """
        self._own.heard = now
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

        Call it at least every 50 ms; calls with nothing due are cheap.
        """
        self._own.heard = now
        if not self._started:
            self._spread_timers(now)
        out: list[Directed] = []
        if self._timers.due(PUSH_EVERY, now):
            self._gossip.push_records(now, out)
        if self._timers.due(MENTION_EVERY, now):
            self._gossip.mention(now, out)
            self._pull_again(now, out)
        if self._timers.due(REFRESH_EVERY, now):
            self._own.beat += 1
            self._gossip.spread_beat(self._own)
        if self._timers.due(BEAT_EVERY, now):
            self._roster.expire(self._id, now)
            self._gossip.push_beats(now, out)
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
        told = zip(
            message.records,
            message.beats or blank,
            message.ages_s or blank,
            strict=False,
        )
        for record, beat, age_s in told:
            heard = heard_at(age_s, now)
            pulled = self._asked.pop(record.daemon, None) is not None
            if self._take_record(record, beat, heard, now):
                # A record that was pulled inside the region is known to
                # others already, and bulk comes after a start or a cut.
                near = pulled and self._roster.is_in(sender, self._own)
                self._gossip.spread_record(
                    self._roster.entries[record.daemon], near or bulk, bulk
                )
        return []

    @_receive.register
    def _receive_beats(
        self, message: MemberHeartbeats, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        return self._pull(sender, self._take_beats(message.entries, now), now)

    @_receive.register
    def _receive_summary(
        self, message: MemberSummary, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        if len(message.hashes) != BUCKETS:
            return []
        buckets = tuple(
            bucket
            for bucket, (theirs, mine) in enumerate(
                zip(message.hashes, self._roster.hashes, strict=True)
            )
            if theirs != mine
        )
        if not buckets:
            return []
        entries = tuple(
            entry.digest(now) for entry in self._roster.in_buckets(buckets)
        )
        return [Directed(sender, MemberDigest(entries, buckets))]

    @_receive.register
    def _receive_digest(
        self, message: MemberDigest, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        newer = self._newer_than(message)
        out = self._pull(sender, self._take_beats(message.entries, now), now)
        if newer:
            beats = tuple(entry.digest(now) for entry in newer)
            out.append(Directed(sender, MemberHeartbeats(beats)))
        return out

    @_receive.register
    def _receive_pull(
        self, message: MemberPull, sender: DaemonId, now: timedelta
    ) -> list[Directed]:
        known = [self._roster.entries.get(daemon) for daemon in message.daemons]
        live = [entry for entry in known if entry and entry.lost is None]
        return [
            Directed(sender, deltas(live[start : start + RECORD_BATCH], now))
            for start in range(0, len(live), RECORD_BATCH)
        ]

    def _newer_than(self, message: MemberDigest) -> list[Entry]:
        """Return the members of which the sender has older or no copies."""
        entries = self._roster.entries
        listed = {entry.daemon: entry for entry in message.entries}
        newer = [
            entry
            for entry in self._roster.in_buckets(message.buckets)
            if entry.record.daemon not in listed
        ]
        for daemon, theirs in listed.items():
            mine = entries.get(daemon)
            if mine and mine.lost is None and _is_newer(mine, theirs):
                newer.append(mine)
        return newer

    def _take_record(
        self,
        record: MemberRecord,
        beat: int,
        heard: timedelta,
        now: timedelta,
    ) -> bool:
        """Return whether the record was new."""
        if record.daemon == self._id:
            self._check_own(record.incarnation, record.sequence, now)
            return False
        if now - heard >= EXPIRY:
            return False
        known = self._roster.entries.get(record.daemon)
        if known is None or known.version < _version(record):
            self._roster.put(record, beat, heard)
            return True
        if known.record.incarnation == record.incarnation:
            self._take_beat(known, beat, heard)
        return False

    def _take_beats(
        self, entries: Iterable[DigestEntry], now: timedelta
    ) -> list[DaemonId]:
        """Refresh members and return those whose record is out of date."""
        return [told.daemon for told in entries if self._outdated(told, now)]

    def _outdated(self, told: DigestEntry, now: timedelta) -> bool:
        if told.daemon == self._id:
            self._check_own(told.incarnation, told.sequence, now)
            return False
        heard = heard_at(told.age_s, now)
        if now - heard >= EXPIRY:
            return False
        known = self._roster.entries.get(told.daemon)
        if known is None or known.version < _version(told):
            return True
        if known.record.incarnation == told.incarnation:
            self._take_beat(known, told.beat, heard)
        return False

    def _take_beat(self, known: Entry, beat: int, heard: timedelta) -> None:
        if beat > known.beat:
            self._roster.refresh(known, beat, heard)
            self._gossip.spread_beat(known)

    def _check_own(
        self, incarnation: Incarnation, sequence: int, now: timedelta
    ) -> None:
        """Outbid a record of this daemon that this process did not write.

        It stems from a predecessor whose wall clock was ahead.
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
        self._own.heard = now
        self._roster.put(record, self._own.beat, now)
        self._gossip.spread_record(self._own, lazy=False, bulk=False)

    def _exchange(self, now: timedelta, out: list[Directed]) -> None:
        out.extend(self._summary(peer, now) for peer in self._gossip.peers(1))
        overdue = [
            entry
            for entry in self._roster.entries.values()
            if entry.lost is None and now - entry.heard >= OVERDUE
        ]
        if not overdue:
            return
        peers = self._gossip.peers(1)
        if self._id in self._roster.groups.ranks:
            # A heartbeat that the link lost is known only beyond it.
            peers += self._gossip.far_relays()
        message = MemberDigest(tuple(entry.digest(now) for entry in overdue))
        out.extend(Directed(peer, message) for peer in peers)

    def _relay_exchange(self, now: timedelta, out: list[Directed]) -> None:
        groups = self._roster.groups
        if self._id not in groups.ranks:
            return
        for relay in self._gossip.far_relays():
            out.append(self._summary(relay, now))
        # The other side of a cut is lost here, and so are dead members: one
        # of each region is tried, so that the sides meet when the cut ends.
        for lost in groups.lost.values():
            out.append(self._summary(self._rng.choice(lost), now))

    def _summary(self, peer: DaemonId, now: timedelta) -> Directed:
        self._last_exchange = now
        return Directed(peer, MemberSummary(tuple(self._roster.hashes)))

    def _pull(
        self, sender: DaemonId, wanted: Iterable[DaemonId], now: timedelta
    ) -> list[Directed]:
        ask: list[DaemonId] = []
        for daemon in wanted:
            pull = self._asked.get(daemon)
            if pull is None:
                ask.append(daemon)
                self._asked[daemon] = _Pull(sender, now)
            else:
                # The repetition goes to the peer heard last.
                self._asked[daemon] = replace(pull, peer=sender)
        return [Directed(sender, MemberPull(tuple(ask)))] if ask else []

    def _pull_again(self, now: timedelta, out: list[Directed]) -> None:
        """Repeat the pulls that were not answered, up to a limit."""
        again: dict[DaemonId, list[DaemonId]] = {}
        for daemon, pull in tuple(self._asked.items()):
            if now - pull.asked < PULL_AGAIN:
                continue
            if pull.tries == PULL_LIMIT:
                self._asked.pop(daemon)
                continue
            self._asked[daemon] = _Pull(pull.peer, now, pull.tries + 1)
            again.setdefault(pull.peer, []).append(daemon)
        out.extend(
            Directed(teller, MemberPull(tuple(daemons[:RECORD_BATCH])))
            for teller, daemons in again.items()
        )

    def _spread_timers(self, now: timedelta) -> None:
        """Start the long periods at random so that daemons do not align."""
        self._started = True
        for every in (REFRESH_EVERY, EXCHANGE_EVERY, RELAY_EXCHANGE_EVERY):
            self._timers.postpone(every, now + every * self._rng.random())


def having(members: Members, service: ServiceName) -> list[DaemonId]:
    """Return the other live daemons with upstreams of a service.

    Reports of crashes go to them directly: they would run the request next,
    and gossip is slower than a caller that sends it again.
    """
    return [
        daemon
        for daemon, record in members.live().items()
        if daemon != members.own.daemon
        and any(upstream.service == service for upstream in record.upstreams)
    ]


def _version(told: MemberRecord | DigestEntry) -> tuple[Incarnation, int]:
    return told.incarnation, told.sequence


def _is_newer(mine: Entry, theirs: DigestEntry) -> bool:
    if mine.version != _version(theirs):
        return mine.version > _version(theirs)
    return mine.beat > theirs.beat
