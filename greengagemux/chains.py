"""Judgement of bundle records in log order.

A record is accepted if its signature is valid, its version is above the
accepted one, and it names the accepted version as the one it follows. Nothing
else decides, so all readers of one log accept the same bundles.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Final

import msgspec

from .bundles import Bundle, Steps, key_slot_problems
from .events import LogRead, LogRecord
from .ids import BundleVersion, LogOffset
from .openings import Opener
from .outcomes import Failure, FailureError, Step
from .signatures import (
    Envelope,
    OtherBaseError,
    SignatureError,
    SignedBundle,
    record_digest,
)

#: A reader that is further behind a bundle of a peer skips the records between
#: them. A record may hold 1 MB, so this bounds a catch-up to 64 MB.
CATCH_UP_RECORDS: Final = 64
#: Records held while the state at the start of a truncated log is not known.
HELD_RECORD_LIMIT: Final = 16
#: Accepted digests kept to tell a repeated record from a superseded one.
DIGEST_LIMIT: Final = 64


class RecordOutcome(Enum):
    """What became of a bundle record."""

    accepted = 'accepted'
    #: Its predecessor was replaced by an earlier record or a newer version.
    superseded = 'superseded'
    bad_signature = 'bad-signature'
    malformed = 'malformed'
    #: Follows a version that was not accepted before it.
    wrong_version = 'wrong-version'
    #: Changes what an accepted version has fixed, such as ``key_slots``.
    incompatible = 'incompatible'
    #: An accepted record once more; harmless.
    repeated = 'repeated'
    #: Kept until the state at the start of a truncated log is known.
    held = 'held'
    #: A peer sent a record that was not requested, or not as it was offered.
    unrequested = 'unrequested'


@dataclass(frozen=True, slots=True)
class Decision:
    """Judgement of one record, for its operator and the time line."""

    offset: LogOffset
    outcome: RecordOutcome
    digest: bytes
    version: BundleVersion | None = None
    operator: str = ''
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Accepted:
    """A bundle and the offset of the record that was accepted.

    ``from_log`` is false while only a peer vouches for it.
    """

    signed: SignedBundle
    payload: bytes
    offset: LogOffset
    from_log: bool

    @property
    def bundle(self) -> Bundle:
        """Return the bundle itself."""
        return self.signed.bundle

    @property
    def version(self) -> BundleVersion:
        """Return the version of the bundle."""
        return self.signed.bundle.version

    @property
    def digest(self) -> bytes:
        """Return the digest of the record."""
        return self.signed.digest


class Statement(msgspec.Struct, frozen=True, array_like=True, tag='accepted'):
    """Record of a daemon that names the accepted bundle.

    ``offset`` is where it was accepted, ``through`` the last offset judged
    before the statement. With it a reader of a truncated log continues as if
    it had read the records that are gone. A bare copy of the bundle would not
    do: the losing record of a race looks just like it.
    """

    payload: bytes
    offset: LogOffset
    through: LogOffset


_statements: Final = msgspec.msgpack.Decoder(Statement)


def read_statement(payload: bytes) -> Statement | None:
    """Return the statement in a record, or nothing for another record."""
    try:
        return _statements.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class Chain:
    """State of one reader of the log."""

    def __init__(self, opener: Opener) -> None:
        """Start before the first record."""
        self._opener = opener
        self.head: Accepted | None = None
        #: Last offset judged; the head is the state after it.
        self.through = -1
        #: The state at ``through`` is known.
        self.anchored = False
        #: A record before ``through`` was skipped on the word of a peer.
        self.gap = False
        #: Newest statement of a truncated log, with records lost after it.
        self.candidate: Accepted | None = None
        #: Last offset at which the head or a statement of it was seen.
        self.copy_offset = -1
        self.fault = ''
        #: First offset of the records read but not judged, if any.
        self.held_from: int | None = None
        self._held_to = -1
        self._may_skip = True
        self._vouched = False
        self._held: deque[LogRecord] = deque(maxlen=HELD_RECORD_LIMIT)
        self._digests: deque[bytes] = deque(maxlen=DIGEST_LIMIT)

    def next_offset(self, known: Accepted | None) -> int:
        """Return the offset to read next.

        ``known`` is the newest bundle this daemon has from any source.
        """
        if self.held_from is not None:
            return self._held_to
        start = self.through + 1 if self.anchored else 0
        if known is None or not self._may_skip:
            return start
        behind = known.offset - self.through
        if self.anchored and behind <= CATCH_UP_RECORDS:
            return start
        return known.offset + 1

    def prepare_steps(
        self, read: LogRead, known: Accepted | None
    ) -> Steps[None]:
        """Open the records of a read in steps, ahead of ``read``."""
        candidates = [
            accepted.signed for accepted in (self.head, known) if accepted
        ]
        for record in read.records:
            if self.anchored and record.offset <= self.through:
                continue
            statement = read_statement(record.payload)
            payload = statement.payload if statement else record.payload
            if record_digest(payload) in self._digests:
                continue
            signed = yield from self._opener.prepare_steps(payload, candidates)
            if signed is not None and statement is None:
                # The next record of the same read may follow this one.
                candidates.insert(0, signed)

    def read(self, read: LogRead, known: Accepted | None) -> list[Decision]:
        """Judge the records of a read; offsets start at 0 without holes."""
        start = read.records[0].offset if read.records else read.following
        self.fault = ''
        # Nothing is skipped if the offset that a peer named is not in the log.
        self._may_skip = known is None or known.offset < read.following
        if read.following <= self.through:
            self.fault = f'the log ends before offset {self.through}'
        decisions = self._connect(start, read, known)
        reached = self.through + 1 if self.anchored else self._held_to
        # A late reply that leaves a hole is read again in its place.
        if start > reached or (start < reached and not self.anchored):
            return decisions
        for record in read.records:
            decisions.extend(self._take(record))
        return decisions

    def _connect(
        self,
        start: int,
        read: LogRead,
        known: Accepted | None,
    ) -> list[Decision]:
        if self.anchored and start <= self.through + 1:
            return []
        if start == 0:
            self._held.clear()
            self._anchor(None, through=-1)
            return []
        begin = start if self.held_from is None else self.held_from
        if known is not None and begin - 1 <= known.offset < read.following:
            self._anchor(known, known.offset)
            self._vouched = not known.from_log
            return self._release()
        if self.anchored and start == read.first:
            self.fault = f'records before offset {start} were lost'
            self.anchored = False
        if start == read.first and start != self._held_to:
            self._held.clear()
            self.held_from = start
            self._held_to = start
        return []

    def _anchor(self, head: Accepted | None, through: int) -> None:
        self.head = head
        self.through = through
        self.anchored = True
        self.held_from = None
        self._held_to = -1
        self.candidate = None
        self.gap = False
        self._vouched = False
        self.copy_offset = head.offset if head else -1
        if head is not None:
            self._digests.append(head.digest)

    def _release(self) -> list[Decision]:
        held = tuple(self._held)
        self._held.clear()
        return [
            self._judge(record)
            for record in held
            if record.offset > self.through
        ]

    def _take(self, record: LogRecord) -> list[Decision]:
        if self.anchored:
            # A record judged once is not judged again: it could pass now.
            if record.offset <= self.through:
                return []
            return [self._judge(record)]
        digest = record_digest(record.payload)
        statement = read_statement(record.payload)
        self._held.append(record)
        self._held_to = record.offset + 1
        if len(self._held) == HELD_RECORD_LIMIT:
            self.held_from = self._held[0].offset
        if statement is None or not self._resume(record, statement):
            return [Decision(record.offset, RecordOutcome.held, digest)]
        return self._release()

    def _resume(self, record: LogRecord, statement: Statement) -> bool:
        """Continue a truncated log from a statement."""
        try:
            stated = self._stated(record, statement)
        except FailureError:
            return False
        if self.held_from is None or statement.through < self.held_from - 1:
            # A record between the two may have been accepted.
            if (
                self.candidate is None
                or stated.version > self.candidate.version
            ):
                self.candidate = stated
            return False
        self._anchor(stated, statement.through)
        return True

    def _stated(self, record: LogRecord, statement: Statement) -> Accepted:
        signed = self._opener.open(statement.payload)
        if not statement.offset <= statement.through < record.offset:
            raise FailureError(
                Failure(Step.bundle, signed.operator, 'impossible offsets'),
            )
        return Accepted(
            signed=signed,
            payload=statement.payload,
            offset=statement.offset,
            from_log=True,
        )

    def _judge(self, record: LogRecord) -> Decision:
        statement = read_statement(record.payload)
        if statement is None:
            decision = self._judge_bundle(record)
        else:
            decision = self._judge_statement(record, statement)
        self.through = record.offset
        return decision

    def _judge_bundle(self, record: LogRecord) -> Decision:
        digest = record_digest(record.payload)
        if digest in self._digests:
            self._note_copy(record, digest)
            return Decision(record.offset, RecordOutcome.repeated, digest)
        head = self.head
        try:
            signed = self._opener.open(
                record.payload, head.signed if head else None
            )
        except OtherBaseError as other:
            return self._judge_other_base(record.offset, digest, other)
        except FailureError as error:
            return unreadable(record.offset, digest, error)
        outcome, detail = follows(signed.bundle, head)
        if outcome is RecordOutcome.accepted:
            self.head = Accepted(
                signed=signed,
                payload=record.payload,
                offset=record.offset,
                from_log=True,
            )
            self.copy_offset = record.offset
            self._digests.append(digest)
        self._note_outcome(outcome)
        return judged(record.offset, outcome, signed, detail)

    def _judge_other_base(
        self, offset: LogOffset, digest: bytes, error: OtherBaseError
    ) -> Decision:
        """Judge a delta that does not start from the accepted text."""
        envelope = error.envelope
        outcome, detail = _order(envelope, self.head)
        if outcome is RecordOutcome.accepted:
            outcome = RecordOutcome.malformed
            detail = (
                f'the delta starts from another text than that of version '
                f'{envelope.follows}'
            )
        self._note_outcome(outcome)
        return Decision(
            offset=offset,
            outcome=outcome,
            digest=digest,
            version=envelope.version,
            operator=envelope.operator,
            detail=detail,
        )

    def _note_outcome(self, outcome: RecordOutcome) -> None:
        if outcome is RecordOutcome.wrong_version and self._vouched:
            # The peer may have named a false offset, so a record was skipped.
            self.gap = True

    def _judge_statement(
        self,
        record: LogRecord,
        statement: Statement,
    ) -> Decision:
        digest = record_digest(statement.payload)
        if digest in self._digests:
            self._note_copy(record, digest)
            if self.head is not None and digest == self.head.digest:
                self.gap = False
            return Decision(record.offset, RecordOutcome.repeated, digest)
        try:
            stated = self._stated(record, statement)
        except FailureError as error:
            return unreadable(record.offset, digest, error)
        head_version = self.head.version if self.head else 0
        current = statement.through == self.through
        if self.gap and current and stated.version > head_version:
            self._anchor(stated, self.through)
            self.copy_offset = record.offset
            return judged(record.offset, RecordOutcome.accepted, stated.signed)
        return judged(
            record.offset,
            RecordOutcome.superseded
            if stated.version <= head_version
            else RecordOutcome.wrong_version,
            stated.signed,
            'a daemon states another bundle than log order gives',
        )

    def _note_copy(self, record: LogRecord, digest: bytes) -> None:
        if self.head is not None and digest == self.head.digest:
            self.copy_offset = record.offset


def follows(
    bundle: Bundle,
    head: Accepted | None,
) -> tuple[RecordOutcome, str]:
    """Apply the order rule to a bundle with a valid signature."""
    outcome, detail = _order(bundle, head)
    if outcome is not RecordOutcome.accepted or head is None:
        return outcome, detail
    problems = key_slot_problems(bundle, head.bundle)
    if problems:
        return RecordOutcome.incompatible, '; '.join(problems[:3])
    return outcome, detail


def _order(
    bundle: Bundle | Envelope,
    head: Accepted | None,
) -> tuple[RecordOutcome, str]:
    version = head.version if head else 0
    if bundle.follows == version and bundle.version > version:
        return RecordOutcome.accepted, ''
    detail = (
        f'version {bundle.version} follows {bundle.follows}, '
        f'but version {version} is the accepted one'
    )
    if bundle.follows > version:
        return RecordOutcome.wrong_version, detail
    return RecordOutcome.superseded, detail


def judged(
    offset: LogOffset,
    outcome: RecordOutcome,
    signed: SignedBundle,
    detail: str = '',
) -> Decision:
    """Return the decision on a record that could be opened."""
    return Decision(
        offset=offset,
        outcome=outcome,
        digest=signed.digest,
        version=signed.bundle.version,
        operator=signed.operator,
        detail=detail,
    )


def unreadable(
    offset: LogOffset,
    digest: bytes,
    error: FailureError,
) -> Decision:
    """Return the decision on a record that could not be opened."""
    outcome = RecordOutcome.malformed
    if isinstance(error, SignatureError):
        outcome = RecordOutcome.bad_signature
    return Decision(
        offset=offset,
        outcome=outcome,
        digest=digest,
        operator=error.failure.peer,
        detail=error.failure.detail,
    )
