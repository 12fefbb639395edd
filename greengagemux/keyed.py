"""Keyed (idempotent) writes of one daemon.

Connects the leases of key slots with the log, the members and the requests.
"""

from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from http import HTTPStatus
from types import MappingProxyType

import msgspec
import xxhash

from .assignments import Assignment, Holder, Slot
from .bundles import Service
from .clocks import ZERO
from .poisonrequests import fingerprint
from .effects import AppendLog, Outbox, ReadLog, Record, Send
from .events import LogAppended, LogFailed, LogRead
from .slotleases import Append, SlotLeases, Output
from .ids import (
    CallerName,
    DaemonId,
    LogOffset,
    RequestId,
    ServiceName,
    StreamId,
)
from .messages import (
    Answer,
    SlotMessage,
    OwnersSnapshot,
    OwnersRequest,
    Load,
    MemberRecord,
    Refusal,
    UpstreamState,
)
from .outcomes import Outcome, Reason
from .paths import Path, Paths
from .requests import DispatchPermit, PendingRequest
from .sources import RETENTION
from .writes import (
    Conflict,
    Full,
    NotOwner,
    Replay,
    Run,
    LeaseTimings,
    Unknown,
    Wait,
)

SLOT_STREAM = 'homes'
#: Leases, takeovers and handovers are processed this often.
WORK_INTERVAL = timedelta(milliseconds=250)
#: Slots without an owner, or whose owner and successor are both gone, are
#: looked for this often.
ASSIGN_INTERVAL = timedelta(seconds=1)
#: A daemon assigns no slots before it has run for this long and knows its
#: peers. Otherwise each daemon would assign all slots to itself when a fleet
#: starts.
SETTLE_TIME = timedelta(seconds=2)
#: A slot is claimed when neither its owner nor its successor has been a live
#: member for this long.
LOST_AFTER = timedelta(minutes=2)
#: A read waits this long for new records at the log, and longer in proportion
#: once the fleet has twice ``READ_WAIT_MEMBERS``. In smaller fleets each
#: response lets an owner dispatch without a lease until the next one.
READ_WAIT = timedelta(seconds=2)
READ_WAIT_MEMBERS = 50
READ_RETRY_DELAY = timedelta(seconds=1)
READ_TIMEOUT = timedelta(seconds=10)
#: Snapshots of the table per retention time of the log: three further attempts
#: remain before records expire.
SNAPSHOTS_PER_RETENTION = 4
#: Wait for each daemon that comes earlier in the rendezvous order; long enough
#: for the others to read its snapshot.
WAIT_PER_RANK = timedelta(seconds=10)
#: Daemons after this place in the order wait no longer than it does.
MAX_RANK = 30
#: A daemon whose last read of the log is older appends no snapshot.
MAX_READ_AGE = timedelta(seconds=30)
#: The table is requested from the next peer after this time.
TABLE_REQUEST_INTERVAL = timedelta(seconds=2)
#: Longest idempotency key.
KEY_LIMIT_CHARACTERS = 256

_REASONS = MappingProxyType(
    {
        Wait: Reason.key_in_progress,
        Conflict: Reason.key_conflict,
        Unknown: Reason.key_unknown,
        NotOwner: Reason.no_home,
        Full: Reason.overloaded,
    }
)
_table_decoder = msgspec.msgpack.Decoder(list[Assignment])


class KeyedWrites:
    """Decides on keyed writes and keeps the leases of this daemon current."""

    def __init__(
        self,
        own: MemberRecord,
        paths: Paths,
        outbox: Outbox,
        terms: LeaseTimings | None = None,
        retention: timedelta = RETENTION,
        *,
        enabled: bool = True,
    ) -> None:
        """Start without slots; the log keeps records for ``retention``.

        Unless ``enabled``, idempotency keys are ignored and no slot is owned.
        """
        self.enabled = enabled
        self.own = Holder(own.daemon, own.incarnation)
        self.leases = SlotLeases(self.own, terms)
        self._paths = paths
        self._outbox = outbox
        self._services: Mapping[ServiceName, Service] = {}
        self._live: Mapping[DaemonId, MemberRecord] = {}
        self._ranked: dict[Slot, Sequence[Holder]] = {}
        self._lost_since: dict[Slot, timedelta] = {}
        self._read_sent: timedelta | None = None
        self._read_due = ZERO
        self._work_due = ZERO
        self._assign_due: timedelta | None = None
        self._retention = retention
        self._last_snapshot = -1
        self._snapshot_append_due: timedelta | None = None
        self._read_at: timedelta | None = None
        self._table_request_due = ZERO
        self._asked_peer: DaemonId | None = None
        self._stopping = False

    @property
    def busy(self) -> bool:
        """Whether a handover has begun whose key records are not yet accepted."""
        return self.leases.handing_over

    def configure(self, services: Mapping[ServiceName, Service]) -> None:
        """Apply the services of a new bundle."""
        self._services = services

    def members_changed(self, live: Mapping[DaemonId, MemberRecord]) -> None:
        """Replace the live members."""
        self._live = live
        self._ranked.clear()

    @property
    def has_all_owners(self) -> bool:
        """Whether every key slot of the bundle in force has an owner."""
        return not self.enabled or all(
            self.leases.owner_of((name, number)) is not None
            for name, service in self._services.items()
            for number in range(service.key_slots)
        )

    def slot_of(
        self, service: ServiceName, caller: CallerName, key: str
    ) -> Slot:
        """Return the slot of a key, the same one on every daemon."""
        number = xxhash.xxh3_64_intdigest(f'{caller}\n{key}'.encode())
        return service, number % self._services[service].key_slots

    def candidates(self, slot: Slot) -> Sequence[Holder]:
        """Return the daemons that may own a slot, best first.

        These are the live members with an upstream of the service.
        """
        ranked = self._ranked.get(slot)
        if ranked is None:
            ranked = sorted(
                (
                    Holder(record.daemon, record.incarnation)
                    for record in self._live.values()
                    if _hosts(record, slot[0])
                ),
                key=lambda holder: _score(slot, holder),
            )
            self._ranked[slot] = ranked
        return ranked

    def tick(self, now: timedelta) -> None:
        """Do the work that is due."""
        if not self.enabled:
            return
        if now >= self._read_due:
            self._read(now)
        if now < self._work_due:
            return
        self._work_due = now + WORK_INTERVAL
        self._carry_out(self.leases.tick(now, self.candidates))
        if self._assign_due is None:
            self._assign_due = now + SETTLE_TIME
        if now >= self._assign_due and not self._stopping:
            self._assign_due = now + ASSIGN_INTERVAL
            self._assign(now)
        self._append_snapshot(now)

    def log_event(
        self, event: LogRead | LogAppended | LogFailed, now: timedelta
    ) -> None:
        """Handle the result of a read or an append."""
        if event.stream != SLOT_STREAM:
            return
        if isinstance(event, LogFailed) and event.payload is None:
            self._read_sent = None
            self._read_due = now + READ_RETRY_DELAY
        elif isinstance(event, LogRead):
            sent = self._read_sent
            self._read_sent = None
            self._read_due = now
            self._read_at = now
            self.leases.read(event.first, event.records, now, sent)
            if not self.leases.table.complete:
                self._request_table(now)

    def connected(self, stream: StreamId) -> None:
        """Request the table from a new peer if this daemon lacks records.

        Otherwise a daemon that starts while the log is unavailable would know
        no owner of any slot.
        """
        table = self.leases.table
        if self.enabled and not (table.complete and table.following):
            self._outbox.emit(Send(stream, OwnersRequest()))

    def receive(
        self, message: SlotMessage, sender: Holder, now: timedelta
    ) -> None:
        """Handle a message about leases or key records."""
        self._carry_out(self.leases.receive(message, sender, now))

    def send_table(self, stream: StreamId) -> None:
        """Send the table to a peer that requested it, if it lacks no records."""
        table = self.leases.table
        if not table.complete:
            return
        following, assignments = table.snapshot()
        packed = msgspec.msgpack.encode(assignments)
        self._outbox.emit(Send(stream, OwnersSnapshot(following, packed)))

    def snapshot(self, message: OwnersSnapshot, now: timedelta) -> None:
        """Apply the table of a peer if this daemon lacks records."""
        table = self.leases.table
        if table.complete and table.following:
            return
        assignments = _table_decoder.decode(message.table)
        self.leases.restore(LogOffset(message.following), assignments, now)
        self._outbox.emit(
            Record('homes-restored', {'following': message.following})
        )

    def begin(
        self, waiting: PendingRequest, now: timedelta
    ) -> DispatchPermit | Path | Reason | Answer:
        """Decide on a keyed write.

        Returns a ticket to run it here, the path to the owner of its slot,
        the reason why it cannot run, or its recorded answer.
        """
        service = waiting.key_service
        if (
            len(waiting.key) > KEY_LIMIT_CHARACTERS
            or service not in self._services
        ):
            return Reason.bad_request
        caller = CallerName(waiting.caller.name)
        slot = self.slot_of(service, caller, waiting.key)
        owner = self.leases.owner_of(slot)
        if owner is None:
            return Reason.no_home
        if owner != self.own:
            return self._path_to(owner, waiting)
        digest = fingerprint(waiting.method, waiting.target, waiting.body)
        decision = self.leases.begin(slot, caller, waiting.key, digest, now)
        if isinstance(decision, Run):
            permit = DispatchPermit(slot, decision.term)
            self._note_dispatch(permit, waiting)
            return permit
        if isinstance(decision, Replay):
            return decision.record.answer or _completed_answer()
        return _REASONS[type(decision)]

    def _note_dispatch(
        self, permit: DispatchPermit, waiting: PendingRequest
    ) -> None:
        self._outbox.emit(
            Record(
                'key-dispatched',
                {
                    'key': _key_hash(permit.slot, waiting),
                    'exchange': waiting.exchange,
                    'service': permit.slot[0],
                    'slot': permit.slot[1],
                    'epoch': permit.term,
                },
            )
        )

    def may_run(self, permit: DispatchPermit, now: timedelta) -> bool:
        """Return whether a write may be dispatched now."""
        return self.leases.may_dispatch(permit.slot, permit.term, now)

    def finish(
        self, waiting: PendingRequest, message: Answer | Refusal
    ) -> None:
        """Record the outcome of a write that had a ticket."""
        permit = waiting.permit
        if permit is None:
            return
        answer = message if isinstance(message, Answer) else None
        outcome = Outcome.completed
        if isinstance(message, Refusal):
            outcome = message.outcome
        self._outbox.emit(
            Record(
                'key-ended',
                {
                    'key': _key_hash(permit.slot, waiting),
                    'outcome': outcome.value,
                },
            )
        )
        self.leases.finish(
            permit.slot,
            permit.term,
            CallerName(waiting.caller.name),
            waiting.key,
            outcome,
            answer,
        )

    def stop(self) -> None:
        """Hand over all slots."""
        self._stopping = True
        for slot in self.leases.owned():
            others = [
                holder for holder in self.candidates(slot) if holder != self.own
            ]
            if others:
                successor = others[1] if len(others) > 1 else others[0]
                self.leases.hand_over(slot, others[0], successor)

    def _path_to(self, owner: Holder, waiting: PendingRequest) -> Path | Reason:
        if waiting.origin is not None:
            # The ingress that forwarded the request has another table. It
            # reads the change from the log.
            return Reason.no_home
        path = self._paths.ready(owner.daemon)
        if path is None or path.incarnation != owner.incarnation:
            return Reason.no_home
        return path

    def _read(self, now: timedelta) -> None:
        wait = READ_WAIT * max(1, len(self._live) // READ_WAIT_MEMBERS)
        self._read_due = now + wait + READ_TIMEOUT
        self._read_sent = now
        start = self.leases.table.following
        self._outbox.emit(ReadLog(SLOT_STREAM, start, wait))

    def _carry_out(self, outputs: Iterable[Output]) -> None:
        for output in outputs:
            if isinstance(output, Append):
                self._append(output)
            else:
                self._paths.send(output.daemon, output.message)

    def _append(self, output: Append) -> None:
        self._outbox.emit(AppendLog(SLOT_STREAM, output.payload))

    def _assign(self, now: timedelta) -> None:
        for name, service in self._services.items():
            for number in range(service.key_slots):
                slot = (name, number)
                ranked = self.candidates(slot)
                if ranked and ranked[0] == self.own:
                    self._ensure_owner(slot, ranked, now)

    def _ensure_owner(
        self, slot: Slot, ranked: Sequence[Holder], now: timedelta
    ) -> None:
        """Assign a slot without an owner, or claim an abandoned one."""
        found = self.leases.table.get(slot)
        if found is None:
            successor = ranked[1] if len(ranked) > 1 else self.own
            append = self.leases.assign(slot, successor)
        elif self._is_lost(slot, found, now):
            append = self.leases.claim(slot)
        else:
            return
        if append is not None:
            self._outbox.emit(
                Record('slot-wanted', {'service': slot[0], 'slot': slot[1]})
            )
            self._append(append)

    def _is_lost(self, slot: Slot, found: Assignment, now: timedelta) -> bool:
        holders = (found.record.owner, found.record.successor)
        if any(self._is_live(holder) for holder in holders):
            self._lost_since.pop(slot, None)
            return False
        since = self._lost_since.setdefault(slot, now)
        return now - since >= LOST_AFTER

    def _is_live(self, holder: Holder) -> bool:
        record = self._live.get(holder.daemon)
        return record is not None and record.incarnation == holder.incarnation

    def _request_table(self, now: timedelta) -> None:
        """Request the table from one peer, and from the next after a time-out."""
        if now < self._table_request_due:
            return
        others = [each for each in self._live if each != self.own.daemon]
        place = (
            others.index(self._asked_peer) + 1
            if self._asked_peer in others
            else 0
        )
        for daemon in (*others[place:], *others[:place]):
            if self._paths.send(daemon, OwnersRequest()):
                self._asked_peer = daemon
                self._table_request_due = now + TABLE_REQUEST_INTERVAL
                return

    def _append_snapshot(self, now: timedelta) -> None:
        """Append a snapshot of the table before its records expire."""
        table = self.leases.table
        if (
            self._snapshot_append_due is None
            or table.last_snapshot != self._last_snapshot
        ):
            self._last_snapshot = table.last_snapshot
            self._snapshot_append_due = (
                now + self._retention / SNAPSHOTS_PER_RETENTION
            )
        if (
            now < self._snapshot_append_due
            or not table.complete
            or not len(table)
        ):
            return
        if self._read_at is None or now - self._read_at > MAX_READ_AGE:
            return
        if now < self._snapshot_append_due + self._rank() * WAIT_PER_RANK:
            return
        self._snapshot_append_due = now + WAIT_PER_RANK
        self._outbox.emit(AppendLog(SLOT_STREAM, table.snapshot_record()))

    def _rank(self) -> int:
        """Return the place of this daemon in the order of snapshot writers."""
        own = _snapshot_score(self.own.daemon)
        earlier = sum(_snapshot_score(daemon) > own for daemon in self._live)
        return min(earlier, MAX_RANK)


def _snapshot_score(daemon: DaemonId) -> int:
    return xxhash.xxh3_64_intdigest(f'{SLOT_STREAM}/{daemon}'.encode())


def _completed_answer() -> Answer:
    """Return the answer for a completed write whose own answer was dropped."""
    body = b'{"outcome": "completed", "detail": "answer no longer kept"}'
    return Answer(
        request=RequestId(0),
        status=HTTPStatus.OK.value,
        headers=((b'Content-Type', b'application/json'),),
        body=body,
        length=len(body),
        digest=xxhash.xxh3_64_intdigest(body),
        service_ms=0,
        load=Load(0, 0, 0, 0, UpstreamState.serving),
    )


def _key_hash(slot: Slot, waiting: PendingRequest) -> str:
    """Return the hash that stands for a key in log lines."""
    name = f'{slot[0]}\n{waiting.caller.name}\n{waiting.key}'
    return xxhash.xxh3_64_hexdigest(name.encode())


def _hosts(record: MemberRecord, service: ServiceName) -> bool:
    if record.leaving:
        return False
    return any(each.service == service for each in record.upstreams)


def _score(slot: Slot, holder: Holder) -> int:
    name = f'{slot[0]}/{slot[1]}/{holder.daemon}'
    return xxhash.xxh3_64_intdigest(name.encode())
