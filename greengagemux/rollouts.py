"""The bundle in force at one daemon, and its distribution to others.

Peers bring a bundle sooner than the log, or at all while the log is out. The
log stays the authority: see ``docs/bundles.md`` for the cases in which the two
differ.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Final

import msgspec
import xxhash

from .bundles import Bundle, Stage, Steps, finish
from .chains import (
    Accepted,
    Chain,
    Decision,
    RecordOutcome,
    Statement,
    judged,
    unreadable,
)
from .clocks import ZERO
from .distribution import Distribution
from .effects import AppendLog, Outbox, ReadLog
from .events import LogRead
from .ids import BundleVersion, DaemonId, DataCentre, LogOffset
from .messages import (
    BundleFetch,
    BundleOffer,
    BundleRecord,
    MemberRecord,
)
from .openings import Opener
from .outcomes import FailureError
from .paths import Paths
from .signatures import KeyRing, full_payload, record_digest
from .sources import RETENTION

STREAM: Final = 'bundles'
#: The bundle is stated anew after this part of the retention, so that three
#: further attempts remain before it would be lost.
RENEWALS_PER_RETENTION: Final = 4
#: Wait for each reader that comes earlier in the rendezvous order; enough for
#: its append to be read by the others.
RANK_WAIT: Final = timedelta(seconds=10)
#: A daemon that read the log less recently does not state its position.
READ_AGE_LIMIT: Final = timedelta(seconds=10)
#: After this time a bundle is requested from the next peer that offers it.
FETCH_LIMIT: Final = timedelta(seconds=2)
#: Decisions kept for the status.
DECISION_LIMIT: Final = 32

_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """State at one daemon; without ``reasons`` all is as it should be."""

    in_force: BundleVersion | None
    accepted: BundleVersion | None
    offset: LogOffset | None
    from_log: bool
    reasons: tuple[str, ...]
    decisions: tuple[Decision, ...]


@dataclass(frozen=True, slots=True)
class _Wanted:
    offer: BundleOffer
    since: timedelta


@dataclass(slots=True)
class _Watch:
    """Monotonic time at which a value last changed, as seen on ticks."""

    noted: int = -1
    since: timedelta | None = None

    def note(self, current: int, now: timedelta) -> timedelta:
        """Return how long the value has been the same."""
        if self.since is None or current != self.noted:
            self.noted = current
            self.since = now
        return now - self.since


class Rollout:
    """Accepted bundle, bundle in force and log position of one daemon."""

    def __init__(
        self,
        keys: KeyRing | Mapping[str, str],
        daemon: DaemonId,
        data_centre: DataCentre,
        retention: timedelta = RETENTION,
    ) -> None:
        """Start without a bundle."""
        self._opener = Opener(keys)
        self._daemon = daemon
        self._data_centre = data_centre
        self._retention = retention
        self._chain = Chain(self._opener)
        self._newest: Accepted | None = None
        self._active: Accepted | None = None
        #: The newest record in full form, by its digest.
        self._full: tuple[bytes, bytes] = (b'', b'')
        self._wanted: dict[bytes, _Wanted] = {}
        self._conflict = ''
        self._decisions: deque[Decision] = deque(maxlen=DECISION_LIMIT)
        self._reads = 0
        self._caught_up = False
        self._first = LogOffset(0)
        self._read_watch = _Watch()
        self._copy_watch = _Watch()
        self._stated_at: timedelta | None = None

    def attach(
        self, own: MemberRecord, paths: Paths, outbox: Outbox, rng: Random
    ) -> Distribution:
        """Return what reads and spreads the bundles of this daemon."""
        return Distribution(own, self, paths, outbox, rng)

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force at this daemon."""
        return self._active.bundle if self._active else None

    @property
    def accepted(self) -> Accepted | None:
        """Return the newest accepted bundle, in force here or not."""
        return self._newest

    def status(self) -> RolloutStatus:
        """Return the state for operators."""
        newest = self._newest
        return RolloutStatus(
            in_force=self._active.version if self._active else None,
            accepted=newest.version if newest else None,
            offset=newest.offset if newest else None,
            from_log=newest is not None and newest.from_log,
            reasons=self._reasons(),
            decisions=tuple(self._decisions),
        )

    def next_read(self, wait: timedelta) -> ReadLog:
        """Return the effect that reads on where this daemon stopped."""
        start = self._chain.next_offset(self._newest)
        return ReadLog(
            STREAM,
            LogOffset(start),
            wait if self._caught_up else ZERO,
        )

    def prepare_read_steps(self, read: LogRead) -> Steps[None]:
        """Do most of the work of ``read`` in steps."""
        yield from self._chain.prepare_steps(read, self._newest)

    def prepare_record_steps(self, record: BundleRecord) -> Steps[None]:
        """Do most of the work of ``on_record`` in steps."""
        if record_digest(record.payload) in self._wanted:
            newest = self._newest
            candidates = (newest.signed,) if newest else ()
            yield from self._opener.prepare_steps(record.payload, candidates)

    def prepare_full_steps(self) -> Steps[None]:
        """Do most of the work of a full answer or a statement in steps."""
        newest = self._newest
        if newest is None or self._has_full(newest):
            return
        self._full = (newest.digest, (yield from full_payload(newest.signed)))

    def read(self, read: LogRead) -> list[Decision]:
        """Judge the records of a read in log order."""
        self._reads += 1
        self._first = read.first
        decisions = self._chain.read(read, self._newest)
        self._caught_up = self._caught_up or not read.records
        # A new daemon does not take old bundles while it reads up to the end.
        if self._caught_up:
            self._settle()
        self._opener.forget(self._newest.payload if self._newest else None)
        self._decisions.extend(decisions)
        return decisions

    def offer(self) -> BundleOffer | None:
        """Return the offer that is pushed to peers on each change."""
        newest = self._newest
        if newest is None or self._refuted():
            return None
        return BundleOffer(newest.offset, newest.version, newest.digest)

    def on_offer(
        self,
        offer: BundleOffer,
        now: timedelta,
    ) -> BundleFetch | None:
        """Return the request for an offered bundle that is newer.

        ``now`` is monotonic. A bundle that is already on its way is requested
        again only after ``FETCH_LIMIT``.
        """
        self._compare(offer)
        if not self._newer(offer.version, offer.offset):
            return None
        self._wanted = {
            digest: wanted
            for digest, wanted in self._wanted.items()
            if now - wanted.since < FETCH_LIMIT
        }
        if offer.digest in self._wanted:
            return None
        self._wanted[offer.digest] = _Wanted(offer, now)
        newest = self._newest
        return BundleFetch(
            offer.digest, newest.signed.text_digest if newest else b''
        )

    def waits_for(self, offer: BundleOffer, now: timedelta) -> bool:
        """Return whether an offered bundle was requested a short time ago."""
        wanted = self._wanted.get(offer.digest)
        return wanted is not None and now - wanted.since < FETCH_LIMIT

    def sends_full(self, fetch: BundleFetch) -> bool:
        """Return whether the answer to a fetch is a full record."""
        newest = self._newest
        if newest is None or newest.digest != fetch.digest:
            return False
        return not fetch.base or newest.signed.base != fetch.base

    def on_fetch(self, fetch: BundleFetch) -> BundleRecord | None:
        """Return the record if it is the newest that this daemon offers."""
        newest = self._newest
        if newest is None or newest.digest != fetch.digest or self._refuted():
            return None
        payload = newest.payload
        if self.sends_full(fetch):
            payload = self._full_of(newest)
        return BundleRecord(newest.offset, payload)

    def on_record(self, record: BundleRecord) -> Decision:
        """Judge a record that a peer sent after a fetch."""
        decision = self._judge_peer(record)
        self._decisions.append(decision)
        return decision

    def keep_alive(self, now: timedelta, rank: int) -> AppendLog | None:
        """Return the statement that preserves the bundle, when it is due.

        Call it on each tick. ``rank`` is the place of this daemon in the
        rendezvous order of the log's readers, 0 for the first.
        """
        if not self.statement_due(now, rank):
            return None
        append = self._state()
        if append is not None:
            self._stated_at = now
        return append

    def statement_due(self, now: timedelta, rank: int) -> bool:
        """Return whether ``keep_alive`` has to state the bundle now."""
        idle = self._read_watch.note(self._reads, now)
        copy_age = self._copy_watch.note(self._chain.copy_offset, now)
        if not self._reads or idle > READ_AGE_LIMIT or self._newest is None:
            return False
        if copy_age < self._keep_alive_after() + rank * RANK_WAIT:
            return False
        return not self._stated_at or now - self._stated_at >= RANK_WAIT

    def _has_full(self, accepted: Accepted) -> bool:
        if self._full[0] == accepted.digest:
            return True
        return not accepted.signed.base

    def _full_of(self, accepted: Accepted) -> bytes:
        if not accepted.signed.base:
            return accepted.payload
        if self._full[0] != accepted.digest:
            payload = finish(full_payload(accepted.signed))
            self._full = (accepted.digest, payload)
        return self._full[1]

    def _keep_alive_after(self) -> timedelta:
        period = self._retention / RENEWALS_PER_RETENTION
        if not self._chain.anchored or self._chain.gap:
            # A daemon that knows the position has the time to state it first.
            return 2 * period
        return period if self._chain.copy_offset >= self._first else ZERO

    def _state(self) -> AppendLog | None:
        chain = self._chain
        stated, through = chain.head, chain.through
        if not chain.anchored:
            if chain.held_from is None:
                return None
            stated, through = self._newest, chain.held_from - 1
        if stated is None or stated.offset > through:
            return None
        statement = Statement(
            self._full_of(stated),
            stated.offset,
            LogOffset(through),
        )
        return AppendLog(STREAM, msgspec.msgpack.encode(statement))

    def _settle(self) -> None:
        """Take over what the log shows."""
        chain, newest = self._chain, self._newest
        head = chain.head if chain.anchored else chain.candidate
        if head is None:
            return
        higher = newest is None or head.version > newest.version
        same = newest is not None and head.digest == newest.digest
        if higher or (same and head.from_log):
            self._take(head)
            return
        if self._refuted() and newest and head.version == newest.version:
            self._conflict = (
                f'version {head.version} of a peer was replaced: the log '
                f'accepted another record at offset {head.offset}'
            )
            self._take(head)

    def _take(self, newest: Accepted) -> None:
        self._newest = newest
        self._wanted.pop(newest.digest, None)
        active = self._active
        # A daemon without any bundle serves no one, so it takes a staged one.
        if active is None or self._selected(newest.bundle.stage):
            self._active = newest
        elif active.version >= newest.version:
            self._active = newest

    def _selected(self, stage: Stage | None) -> bool:
        if stage is None or self._data_centre in stage.data_centres:
            return True
        # The version takes no part, so a larger share keeps the daemons.
        place = xxhash.xxh3_64_intdigest(self._daemon.encode()) % _PERCENT
        return place < stage.share_pct

    def _refuted(self) -> bool:
        """Return whether the log shows that a peer's bundle lost."""
        newest, chain = self._newest, self._chain
        if newest is None or newest.from_log:
            return False
        if not self._judged(newest.offset):
            return False
        return chain.head is None or chain.head.digest != newest.digest

    def _judged(self, offset: int) -> bool:
        """Return whether this daemon read the log through this offset."""
        chain = self._chain
        known = self._caught_up and chain.anchored and not chain.gap
        return known and offset <= chain.through

    def _newer(self, version: int, offset: int) -> bool:
        newest = self._newest
        if self._judged(offset):
            return False
        if newest is None:
            return True
        if self._refuted():
            return version >= newest.version
        return version > newest.version and offset > newest.offset

    def _compare(self, offer: BundleOffer) -> None:
        newest = self._newest
        if newest is None or newest.version != offer.version:
            return
        if newest.digest != offer.digest:
            self._conflict = (
                f'a peer has another bundle of version {offer.version}, '
                f'accepted at offset {offer.offset}'
            )

    def _judge_peer(self, record: BundleRecord) -> Decision:
        digest = record_digest(record.payload)
        wanted = self._wanted.pop(digest, None)
        if wanted is None or wanted.offer.offset != record.offset:
            return Decision(record.offset, RecordOutcome.unrequested, digest)
        before = self._newest.signed if self._newest else None
        try:
            signed = self._opener.open(record.payload, before)
        except FailureError as error:
            return unreadable(record.offset, digest, error)
        if signed.bundle.version != wanted.offer.version:
            return judged(record.offset, RecordOutcome.unrequested, signed)
        if not self._newer(signed.bundle.version, record.offset):
            return judged(record.offset, RecordOutcome.superseded, signed)
        self._take(
            Accepted(
                signed=signed,
                payload=record.payload,
                offset=record.offset,
                from_log=False,
            ),
        )
        return judged(record.offset, RecordOutcome.accepted, signed)

    def _reasons(self) -> tuple[str, ...]:
        newest, active, chain = self._newest, self._active, self._chain
        found = [chain.fault, self._conflict]
        if newest is None:
            found.append('no accepted bundle is known')
        elif active is not None and active.version != newest.version:
            found.append(
                f'version {newest.version} is rolled out in stages and this '
                'daemon is not selected',
            )
        elif not self._selected(newest.bundle.stage):
            found.append('staged version taken: no earlier one is known')
        if self._refuted():
            found.append('the log did not accept the version of a peer')
        if self._reads and not chain.anchored:
            found.append('the log is truncated and no statement was read yet')
        if chain.gap:
            found.append('records of the log were lost before they were read')
        return tuple(reason for reason in found if reason)
