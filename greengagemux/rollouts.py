"""The accepted bundle and the bundle in force at one daemon.

A bundle mostly arrives from peers before it is read from the log, and only
from peers while the log is unavailable. The log is authoritative: see
``docs/bundles.md`` for the cases in which the two differ.
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
    opened_decision,
    unopened_decision,
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
from .openings import RecordOpener
from .outcomes import FailureError
from .paths import Paths
from .signatures import KeyRing, full_payload, record_digest
from .sources import RETENTION

STREAM: Final = 'bundles'
#: The bundle is stated again once per this fraction of the retention, so that
#: three further attempts remain before its last copy expires.
RENEWALS_PER_RETENTION: Final = 4
#: Extra wait per reader that precedes this one in the rendezvous order; enough
#: for the others to read its append.
WAIT_PER_RANK: Final = timedelta(seconds=10)
#: A daemon states the bundle only if it read the log within this time.
READ_AGE_LIMIT: Final = timedelta(seconds=10)
#: A fetch without a response is repeated at another offering peer after this
#: time.
FETCH_TIMEOUT: Final = timedelta(seconds=2)
#: Newest decisions kept for the status.
DECISION_LIMIT: Final = 32

_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Bundles of one daemon, for operators.

    ``reasons`` lists deviations from the normal state; empty if there are none.
    """

    in_force: BundleVersion | None
    accepted: BundleVersion | None
    offset: LogOffset | None
    from_log: bool
    reasons: tuple[str, ...]
    decisions: tuple[Decision, ...]


@dataclass(frozen=True, slots=True)
class _PendingFetch:
    offer: BundleOffer
    since: timedelta


@dataclass(slots=True)
class _ChangeTimer:
    """Measures how long a value has been unchanged; updated on ticks."""

    last: int = -1
    since: timedelta | None = None

    def update(self, current: int, now: timedelta) -> timedelta:
        """Update the value and return how long it has been unchanged."""
        if self.since is None or current != self.last:
            self.last = current
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
        self._opener = RecordOpener(keys)
        self._daemon = daemon
        self._data_centre = data_centre
        self._retention = retention
        self._chain = Chain(self._opener)
        self._newest: Accepted | None = None
        self._active: Accepted | None = None
        #: Digest and full form of the newest record that was packed in full.
        self._full_record: tuple[bytes, bytes] = (b'', b'')
        self._pending: dict[bytes, _PendingFetch] = {}
        self._conflict = ''
        self._decisions: deque[Decision] = deque(maxlen=DECISION_LIMIT)
        self._reads = 0
        self._caught_up = False
        self._first_offset = LogOffset(0)
        self._read_timer = _ChangeTimer()
        self._copy_timer = _ChangeTimer()
        self._stated_at: timedelta | None = None

    def attach(
        self, own: MemberRecord, paths: Paths, outbox: Outbox, rng: Random
    ) -> Distribution:
        """Return the feed that reads and distributes bundles."""
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
        """Return the status for operators."""
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
        """Return the next read of the log; it waits ``wait`` for records.

        Until the end of the log was reached once it does not wait.
        """
        start = self._chain.next_offset(self._newest)
        return ReadLog(
            STREAM,
            LogOffset(start),
            wait if self._caught_up else ZERO,
        )

    def prepare_read_steps(self, read: LogRead) -> Steps[None]:
        """Open the records in steps, so that ``read`` takes little time."""
        yield from self._chain.prepare_steps(read, self._newest)

    def prepare_record_steps(self, record: BundleRecord) -> Steps[None]:
        """Open the record in steps, so that ``on_record`` takes little time."""
        if record_digest(record.payload) in self._pending:
            newest = self._newest
            candidates = (newest.signed,) if newest else ()
            yield from self._opener.prepare_steps(record.payload, candidates)

    def prepare_full_steps(self) -> Steps[None]:
        """Pack the full record for a response or a statement in steps."""
        newest = self._newest
        if newest is None or self._has_full(newest):
            return
        self._full_record = (
            newest.digest,
            (yield from full_payload(newest.signed)),
        )

    def read(self, read: LogRead) -> list[Decision]:
        """Process a read and return the decisions on its records in order."""
        self._reads += 1
        self._first_offset = read.first
        decisions = self._chain.read(read, self._newest)
        self._caught_up = self._caught_up or not read.records
        # A new daemon puts no old bundle in force while it catches up.
        if self._caught_up:
            self._adopt_log_state()
        self._opener.forget(self._newest.payload if self._newest else None)
        self._decisions.extend(decisions)
        return decisions

    def offer(self) -> BundleOffer | None:
        """Return the offer of the newest bundle for peers.

        ``None`` if there is no bundle or the log did not accept it.
        """
        newest = self._newest
        if newest is None or self._rejected_by_log():
            return None
        return BundleOffer(newest.offset, newest.version, newest.digest)

    def on_offer(
        self,
        offer: BundleOffer,
        now: timedelta,
    ) -> BundleFetch | None:
        """Return the fetch of an offered bundle that is newer, or ``None``.

        ``now`` is monotonic. A bundle that was already requested is requested
        again only after ``FETCH_TIMEOUT``.
        """
        self._check_conflict(offer)
        if not self._is_newer(offer.version, offer.offset):
            return None
        self._pending = {
            digest: pending
            for digest, pending in self._pending.items()
            if now - pending.since < FETCH_TIMEOUT
        }
        if offer.digest in self._pending:
            return None
        self._pending[offer.digest] = _PendingFetch(offer, now)
        newest = self._newest
        return BundleFetch(
            offer.digest, newest.signed.text_digest if newest else b''
        )

    def fetch_pending(self, offer: BundleOffer, now: timedelta) -> bool:
        """Return whether the bundle was requested within ``FETCH_TIMEOUT``."""
        pending = self._pending.get(offer.digest)
        return pending is not None and now - pending.since < FETCH_TIMEOUT

    def sends_full(self, fetch: BundleFetch) -> bool:
        """Return whether the response to a fetch is the record in full form."""
        newest = self._newest
        if newest is None or newest.digest != fetch.digest:
            return False
        return not fetch.base or newest.signed.base != fetch.base

    def on_fetch(self, fetch: BundleFetch) -> BundleRecord | None:
        """Return the fetched record, or ``None`` if it is no longer offered."""
        newest = self._newest
        if (
            newest is None
            or newest.digest != fetch.digest
            or self._rejected_by_log()
        ):
            return None
        payload = newest.payload
        if self.sends_full(fetch):
            payload = self._full_of(newest)
        return BundleRecord(newest.offset, payload)

    def on_record(self, record: BundleRecord) -> Decision:
        """Return the decision on a record received from a peer."""
        decision = self._evaluate_peer_record(record)
        self._decisions.append(decision)
        return decision

    def keep_alive(self, now: timedelta, rank: int) -> AppendLog | None:
        """Return the append of a statement if one is due.

        Statements keep the bundle in the log beyond the retention of its first
        record. Call it on each tick. ``rank`` is the place of this daemon in
        the rendezvous order of the log's readers, 0 for the first.
        """
        if not self.statement_due(now, rank):
            return None
        append = self._build_statement()
        if append is not None:
            self._stated_at = now
        return append

    def statement_due(self, now: timedelta, rank: int) -> bool:
        """Return whether a statement of the bundle is due."""
        idle = self._read_timer.update(self._reads, now)
        copy_age = self._copy_timer.update(self._chain.copy_offset, now)
        if not self._reads or idle > READ_AGE_LIMIT or self._newest is None:
            return False
        if copy_age < self._renewal_age() + rank * WAIT_PER_RANK:
            return False
        return not self._stated_at or now - self._stated_at >= WAIT_PER_RANK

    def _has_full(self, accepted: Accepted) -> bool:
        if self._full_record[0] == accepted.digest:
            return True
        return not accepted.signed.base

    def _full_of(self, accepted: Accepted) -> bytes:
        if not accepted.signed.base:
            return accepted.payload
        if self._full_record[0] != accepted.digest:
            payload = finish(full_payload(accepted.signed))
            self._full_record = (accepted.digest, payload)
        return self._full_record[1]

    def _renewal_age(self) -> timedelta:
        period = self._retention / RENEWALS_PER_RETENTION
        if not self._chain.state_known or self._chain.gap:
            # Daemons with a known position get the time to state it first.
            return 2 * period
        return period if self._chain.copy_offset >= self._first_offset else ZERO

    def _build_statement(self) -> AppendLog | None:
        chain = self._chain
        stated, through = chain.head, chain.through
        if not chain.state_known:
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

    def _adopt_log_state(self) -> None:
        """Adopt the bundle that the log gives, if newer or corrected."""
        chain, newest = self._chain, self._newest
        head = chain.head if chain.state_known else chain.candidate_head
        if head is None:
            return
        higher = newest is None or head.version > newest.version
        same = newest is not None and head.digest == newest.digest
        if higher or (same and head.from_log):
            self._adopt(head)
            return
        if (
            self._rejected_by_log()
            and newest
            and head.version == newest.version
        ):
            self._conflict = (
                f'version {head.version} of a peer was replaced: the log '
                f'accepted another record at offset {head.offset}'
            )
            self._adopt(head)

    def _adopt(self, newest: Accepted) -> None:
        self._newest = newest
        self._pending.pop(newest.digest, None)
        active = self._active
        # A daemon without a bundle serves no request, so it uses a staged one
        # even if it is not selected.
        if active is None or self._selected(newest.bundle.stage):
            self._active = newest
        elif active.version >= newest.version:
            self._active = newest

    def _selected(self, stage: Stage | None) -> bool:
        if stage is None or self._data_centre in stage.data_centres:
            return True
        # The version is not hashed: a larger share selects the same daemons
        # and more.
        place = xxhash.xxh3_64_intdigest(self._daemon.encode()) % _PERCENT
        return place < stage.share_pct

    def _rejected_by_log(self) -> bool:
        """Return whether a bundle from a peer was not accepted in the log.

        True only once the log was evaluated through the offset of the bundle.
        """
        newest, chain = self._newest, self._chain
        if newest is None or newest.from_log:
            return False
        if not self._read_through(newest.offset):
            return False
        return chain.head is None or chain.head.digest != newest.digest

    def _read_through(self, offset: int) -> bool:
        """Return whether the log was evaluated without gaps to ``offset``."""
        chain = self._chain
        known = self._caught_up and chain.state_known and not chain.gap
        return known and offset <= chain.through

    def _is_newer(self, version: int, offset: int) -> bool:
        newest = self._newest
        if self._read_through(offset):
            return False
        if newest is None:
            return True
        if self._rejected_by_log():
            return version >= newest.version
        return version > newest.version and offset > newest.offset

    def _check_conflict(self, offer: BundleOffer) -> None:
        newest = self._newest
        if newest is None or newest.version != offer.version:
            return
        if newest.digest != offer.digest:
            self._conflict = (
                f'a peer has another bundle of version {offer.version}, '
                f'accepted at offset {offer.offset}'
            )

    def _evaluate_peer_record(self, record: BundleRecord) -> Decision:
        digest = record_digest(record.payload)
        pending = self._pending.pop(digest, None)
        if pending is None or pending.offer.offset != record.offset:
            return Decision(record.offset, RecordOutcome.unrequested, digest)
        before = self._newest.signed if self._newest else None
        try:
            signed = self._opener.open(record.payload, before)
        except FailureError as error:
            return unopened_decision(record.offset, digest, error)
        if signed.bundle.version != pending.offer.version:
            return opened_decision(
                record.offset, RecordOutcome.unrequested, signed
            )
        if not self._is_newer(signed.bundle.version, record.offset):
            return opened_decision(
                record.offset, RecordOutcome.superseded, signed
            )
        self._adopt(
            Accepted(
                signed=signed,
                payload=record.payload,
                offset=record.offset,
                from_log=False,
            ),
        )
        return opened_decision(record.offset, RecordOutcome.accepted, signed)

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
            found.append(
                'staged version in force although this daemon is not selected: '
                'no earlier one is known'
            )
        if self._rejected_by_log():
            found.append('the log did not accept the version of a peer')
        if self._reads and not chain.state_known:
            found.append('the log is truncated and no statement was read yet')
        if chain.gap:
            found.append('records of the log were lost before they were read')
        return tuple(reason for reason in found if reason)
