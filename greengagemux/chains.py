"""Validation of the bundle records of the log, in log order.

A record is accepted if its signature is valid, its version is above the
accepted one, and it names the accepted version as the one it follows. A record
that changes what an accepted bundle has fixed, such as ``key_slots``, is
rejected. The result depends on the log alone, so all of its readers accept the
same bundles.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Final

import msgspec

from .bundles import Bundle, Steps, key_slot_problems
from .events import LogRead, LogRecord
from .ids import BundleVersion, LogOffset
from .openings import RecordOpener
from .outcomes import Failure, FailureError, Step
from .signatures import (
    BaseMismatchError,
    Envelope,
    SignatureError,
    SignedBundle,
    record_digest,
)

#: A reader that is more records behind a bundle received from a peer skips the
#: records up to it. A record may hold 1 MB, so a catch-up reads 64 MB at most.
CATCH_UP_RECORDS: Final = 64
#: Records held while the state at the start of a truncated log is not known.
HELD_RECORD_LIMIT: Final = 16
#: Digests of accepted records, kept to distinguish a repeated record from a
#: superseded one.
DIGEST_LIMIT: Final = 64


class RecordOutcome(Enum):
    """Result of the validation of a bundle record."""

    accepted = 'accepted'
    #: Another record or a newer version was accepted in its place.
    superseded = 'superseded'
    bad_signature = 'bad-signature'
    malformed = 'malformed'
    #: Follows a version above the accepted one, or is a statement of a newer
    #: bundle than the accepted one that this reader cannot adopt.
    wrong_version = 'wrong-version'
    #: Changes what an accepted version has fixed, such as ``key_slots``.
    incompatible = 'incompatible'
    #: A copy of an accepted record; harmless.
    repeated = 'repeated'
    #: Kept until the state at the start of a truncated log is known.
    held = 'held'
    #: A peer sent a record that was not requested, or that does not match its
    #: offer.
    unrequested = 'unrequested'


@dataclass(frozen=True, slots=True)
class Decision:
    """Result for one record, reported to operators and the time line."""

    offset: LogOffset
    outcome: RecordOutcome
    digest: bytes
    version: BundleVersion | None = None
    operator: str = ''
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Accepted:
    """A bundle and the offset of the record that was accepted.

    ``from_log`` is false while the bundle is known from a peer only.
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
    """Record in which a daemon states the accepted bundle.

    ``offset`` is where it was accepted, ``through`` the last offset evaluated
    before the statement. With it a reader of a truncated log continues as if
    it had read the dropped records. A plain copy of the bundle record is not
    enough: it cannot be distinguished from the losing record of a race.
    """

    payload: bytes
    offset: LogOffset
    through: LogOffset


_statements: Final = msgspec.msgpack.Decoder(Statement)


def read_statement(payload: bytes) -> Statement | None:
    """Return the statement in a record, or ``None`` for another record."""
    try:
        return _statements.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class Chain:
    """Position and accepted bundle of one reader of the log.

    The chain is the sequence of accepted bundles: each names its predecessor
    as the version that it follows.
    """

    def __init__(self, opener: RecordOpener) -> None:
        """Start before the first record."""
        self._opener = opener
        self.head: Accepted | None = None
        #: Last offset evaluated; ``head`` is the accepted bundle after it.
        self.through = -1
        #: Whether the accepted bundle at ``through`` is known.
        self.state_known = False
        #: A record before ``through`` may have been skipped because of a wrong
        #: offset from a peer.
        self.gap = False
        #: Newest bundle stated in a truncated log, while records after the
        #: ``through`` of its statement are lost.
        self.candidate_head: Accepted | None = None
        #: Offset of the newest record that holds the head or states it.
        self.copy_offset = -1
        self.fault = ''
        #: Offset from which records are held because the state before them is
        #: not known, if any.
        self.held_from: int | None = None
        self._held_to = -1
        self._can_skip = True
        self._state_from_peer = False
        self._held: deque[LogRecord] = deque(maxlen=HELD_RECORD_LIMIT)
        self._digests: deque[bytes] = deque(maxlen=DIGEST_LIMIT)

    def next_offset(self, known: Accepted | None) -> int:
        """Return the offset to read next.

        ``known`` is the newest bundle this daemon has from any source.
        """
        if self.held_from is not None:
            return self._held_to
        start = self.through + 1 if self.state_known else 0
        if known is None or not self._can_skip:
            return start
        behind = known.offset - self.through
        if self.state_known and behind <= CATCH_UP_RECORDS:
            return start
        return known.offset + 1

    def prepare_steps(
        self, read: LogRead, known: Accepted | None
    ) -> Steps[None]:
        """Open the records of a read in steps, before ``read`` needs them."""
        candidates = [
            accepted.signed for accepted in (self.head, known) if accepted
        ]
        for record in read.records:
            if self.state_known and record.offset <= self.through:
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
        """Return the decisions on the records of a read, in log order.

        Offsets of the log start at 0 without gaps. Records that were evaluated
        before give no decision.
        """
        start = read.records[0].offset if read.records else read.following
        self.fault = ''
        # Nothing is skipped if the offset from a peer is beyond the log.
        self._can_skip = known is None or known.offset < read.following
        if read.following <= self.through:
            self.fault = f'the log ends before offset {self.through}'
        decisions = self._establish_state(start, read, known)
        reached = self.through + 1 if self.state_known else self._held_to
        # A delayed read that does not continue the position is ignored; its
        # records are read again in order.
        if start > reached or (start < reached and not self.state_known):
            return decisions
        for record in read.records:
            decisions.extend(self._process(record))
        return decisions

    def _establish_state(
        self,
        start: int,
        read: LogRead,
        known: Accepted | None,
    ) -> list[Decision]:
        if self.state_known and start <= self.through + 1:
            return []
        if start == 0:
            self._held.clear()
            self._set_state(None, through=-1)
            return []
        begin = start if self.held_from is None else self.held_from
        if known is not None and begin - 1 <= known.offset < read.following:
            self._set_state(known, known.offset)
            self._state_from_peer = not known.from_log
            return self._evaluate_held()
        if self.state_known and start == read.first:
            self.fault = f'records before offset {start} were lost'
            self.state_known = False
        if start == read.first and start != self._held_to:
            self._held.clear()
            self.held_from = start
            self._held_to = start
        return []

    def _set_state(self, head: Accepted | None, through: int) -> None:
        self.head = head
        self.through = through
        self.state_known = True
        self.held_from = None
        self._held_to = -1
        self.candidate_head = None
        self.gap = False
        self._state_from_peer = False
        self.copy_offset = head.offset if head else -1
        if head is not None:
            self._digests.append(head.digest)

    def _evaluate_held(self) -> list[Decision]:
        held = tuple(self._held)
        self._held.clear()
        return [
            self._evaluate(record)
            for record in held
            if record.offset > self.through
        ]

    def _process(self, record: LogRecord) -> list[Decision]:
        if self.state_known:
            # Each record is evaluated once: a rejected one could be accepted
            # with a later head.
            if record.offset <= self.through:
                return []
            return [self._evaluate(record)]
        digest = record_digest(record.payload)
        statement = read_statement(record.payload)
        self._held.append(record)
        self._held_to = record.offset + 1
        if len(self._held) == HELD_RECORD_LIMIT:
            self.held_from = self._held[0].offset
        if statement is None or not self._resume(record, statement):
            return [Decision(record.offset, RecordOutcome.held, digest)]
        return self._evaluate_held()

    def _resume(self, record: LogRecord, statement: Statement) -> bool:
        """Continue in a truncated log from a statement, if it covers enough."""
        try:
            stated = self._open_statement(record, statement)
        except FailureError:
            return False
        if self.held_from is None or statement.through < self.held_from - 1:
            # A record between ``through`` and the held ones is lost; it may
            # have been accepted.
            if (
                self.candidate_head is None
                or stated.version > self.candidate_head.version
            ):
                self.candidate_head = stated
            return False
        self._set_state(stated, statement.through)
        return True

    def _open_statement(
        self, record: LogRecord, statement: Statement
    ) -> Accepted:
        signed = self._opener.open(statement.payload)
        if not statement.offset <= statement.through < record.offset:
            raise FailureError(
                Failure(
                    Step.bundle,
                    signed.operator,
                    'the offsets of the statement are out of order',
                ),
            )
        return Accepted(
            signed=signed,
            payload=statement.payload,
            offset=statement.offset,
            from_log=True,
        )

    def _evaluate(self, record: LogRecord) -> Decision:
        statement = read_statement(record.payload)
        if statement is None:
            decision = self._evaluate_bundle(record)
        else:
            decision = self._evaluate_statement(record, statement)
        self.through = record.offset
        return decision

    def _evaluate_bundle(self, record: LogRecord) -> Decision:
        digest = record_digest(record.payload)
        if digest in self._digests:
            self._note_copy(record, digest)
            return Decision(record.offset, RecordOutcome.repeated, digest)
        head = self.head
        try:
            signed = self._opener.open(
                record.payload, head.signed if head else None
            )
        except BaseMismatchError as other:
            return self._evaluate_base_mismatch(record.offset, digest, other)
        except FailureError as error:
            return unopened_decision(record.offset, digest, error)
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
        return opened_decision(record.offset, outcome, signed, detail)

    def _evaluate_base_mismatch(
        self, offset: LogOffset, digest: bytes, error: BaseMismatchError
    ) -> Decision:
        """Return the decision on a delta whose base is not the head's text."""
        envelope = error.envelope
        outcome, detail = _version_order(envelope, self.head)
        if outcome is RecordOutcome.accepted:
            outcome = RecordOutcome.malformed
            detail = (
                f'the base of the delta is another text than that of version '
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
        if outcome is RecordOutcome.wrong_version and self._state_from_peer:
            # The offset from the peer may be wrong: a record was skipped.
            self.gap = True

    def _evaluate_statement(
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
            stated = self._open_statement(record, statement)
        except FailureError as error:
            return unopened_decision(record.offset, digest, error)
        head_version = self.head.version if self.head else 0
        current = statement.through == self.through
        if self.gap and current and stated.version > head_version:
            self._set_state(stated, self.through)
            self.copy_offset = record.offset
            return opened_decision(
                record.offset, RecordOutcome.accepted, stated.signed
            )
        return opened_decision(
            record.offset,
            RecordOutcome.superseded
            if stated.version <= head_version
            else RecordOutcome.wrong_version,
            stated.signed,
            'the stated bundle differs from the one accepted in log order',
        )

    def _note_copy(self, record: LogRecord, digest: bytes) -> None:
        if self.head is not None and digest == self.head.digest:
            self.copy_offset = record.offset


def follows(
    bundle: Bundle,
    head: Accepted | None,
) -> tuple[RecordOutcome, str]:
    """Return the outcome for a validly signed bundle and the reason for it.

    ``head`` is the accepted bundle. The reason is empty if it is accepted.
    """
    outcome, detail = _version_order(bundle, head)
    if outcome is not RecordOutcome.accepted or head is None:
        return outcome, detail
    problems = key_slot_problems(bundle, head.bundle)
    if problems:
        return RecordOutcome.incompatible, '; '.join(problems[:3])
    return outcome, detail


def _version_order(
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


def opened_decision(
    offset: LogOffset,
    outcome: RecordOutcome,
    signed: SignedBundle,
    detail: str = '',
) -> Decision:
    """Return the decision on a record that was opened and verified."""
    return Decision(
        offset=offset,
        outcome=outcome,
        digest=signed.digest,
        version=signed.bundle.version,
        operator=signed.operator,
        detail=detail,
    )


def unopened_decision(
    offset: LogOffset,
    digest: bytes,
    error: FailureError,
) -> Decision:
    """Return the decision on a record that failed to open with ``error``."""
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
