"""Keyed writes of one daemon: its homes, the log stream and the peers."""

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
from .requests import Ticket, PendingRequest
from .sources import RETENTION
from .writes import (
    Conflict,
    Full,
    NotOwner,
    Replay,
    Run,
    Terms,
    Unknown,
    Wait,
)

HOMES = 'homes'
#: Homes and promises are looked after this often.
WORK_EVERY = timedelta(milliseconds=250)
#: Slots without a home, and those whose holders are lost, are looked for.
ASSIGN_EVERY = timedelta(seconds=1)
#: A daemon assigns slots only when it has known its peers for this long, or
#: every daemon would assign all slots to itself at the start of a fleet.
SETTLE = timedelta(seconds=2)
#: Holders that are not seen for this long are taken as lost for good.
LOST_AFTER = timedelta(minutes=2)
#: One read waits this long at the log, more in a large fleet: below this
#: size each answer renews the contact that lets a home dispatch.
READ_WAIT = timedelta(seconds=2)
READ_WAIT_MEMBERS = 50
READ_RETRY = timedelta(seconds=1)
READ_TIMEOUT = timedelta(seconds=10)
#: The table is stated anew after this part of the retention, so that three
#: further attempts remain before records would be lost.
STATE_PARTS = 4
#: Wait for each daemon that comes earlier in the rendezvous order; enough for
#: its statement to be read by the others.
RANK_WAIT = timedelta(seconds=10)
#: Daemons that are later in the order than this do not wait longer.
RANK_LIMIT = 30
#: A daemon that read the log less recently does not state the table.
READ_FRESH = timedelta(seconds=30)
#: A table is requested from the next peer after this long.
SNAPSHOT_EVERY = timedelta(seconds=2)
#: Longest key, in characters.
KEY_LIMIT = 256

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
    """Homes of this daemon, kept up with the log and the members."""

    def __init__(
        self,
        own: MemberRecord,
        paths: Paths,
        outbox: Outbox,
        terms: Terms | None = None,
        retention: timedelta = RETENTION,
        *,
        enabled: bool = True,
    ) -> None:
        """Start without slots; the log keeps records for ``retention``.

        Unless ``enabled``, keys of callers mean nothing and no slot is kept.
        """
        self.enabled = enabled
        self.own = Holder(own.daemon, own.incarnation)
        self.homes = SlotLeases(self.own, terms)
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
        self._stated = -1
        self._state_due: timedelta | None = None
        self._read_at: timedelta | None = None
        self._snapshot_due = ZERO
        self._asked: DaemonId | None = None
        self._stopping = False

    @property
    def busy(self) -> bool:
        """Whether records wait for their next home."""
        return self.homes.handing_over

    def configure(self, services: Mapping[ServiceName, Service]) -> None:
        """Apply the services of a new bundle."""
        self._services = services

    def members_changed(self, live: Mapping[DaemonId, MemberRecord]) -> None:
        """Take over who the members are."""
        self._live = live
        self._ranked.clear()

    @property
    def settled(self) -> bool:
        """Whether every key slot of the bundle in force has a home."""
        return not self.enabled or all(
            self.homes.owner_of((name, number)) is not None
            for name, service in self._services.items()
            for number in range(service.key_slots)
        )

    def slot_of(
        self, service: ServiceName, caller: CallerName, key: str
    ) -> Slot:
        """Return the slot of a key; it depends on nothing that changes."""
        number = xxhash.xxh3_64_intdigest(f'{caller}\n{key}'.encode())
        return service, number % self._services[service].key_slots

    def candidates(self, slot: Slot) -> Sequence[Holder]:
        """Return the daemons that may become home of a slot, best first."""
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
        self._work_due = now + WORK_EVERY
        self._carry_out(self.homes.tick(now, self.candidates))
        if self._assign_due is None:
            self._assign_due = now + SETTLE
        if now >= self._assign_due and not self._stopping:
            self._assign_due = now + ASSIGN_EVERY
            self._assign(now)
        self._state_table(now)

    def log_event(
        self, event: LogRead | LogAppended | LogFailed, now: timedelta
    ) -> None:
        """Take in the result of a read or an append."""
        if event.stream != HOMES:
            return
        if isinstance(event, LogFailed) and event.payload is None:
            self._read_sent = None
            self._read_due = now + READ_RETRY
        elif isinstance(event, LogRead):
            sent = self._read_sent
            self._read_sent = None
            self._read_due = now
            self._read_at = now
            self.homes.read(event.first, event.records, now, sent)
            if not self.homes.table.complete:
                self._ask_snapshot(now)

    def connected(self, stream: StreamId) -> None:
        """Ask a new peer for the table if records were lost or not read.

        A daemon that starts while the log is away knows no home otherwise.
        """
        table = self.homes.table
        if self.enabled and not (table.complete and table.following):
            self._outbox.emit(Send(stream, OwnersRequest()))

    def receive(
        self, message: SlotMessage, sender: Holder, now: timedelta
    ) -> None:
        """Take in a message about promises and records."""
        self._carry_out(self.homes.receive(message, sender, now))

    def wanted(self, stream: StreamId) -> None:
        """Send the table to a peer whose log no longer has its records."""
        table = self.homes.table
        if not table.complete:
            return
        following, assignments = table.snapshot()
        packed = msgspec.msgpack.encode(assignments)
        self._outbox.emit(Send(stream, OwnersSnapshot(following, packed)))

    def snapshot(self, message: OwnersSnapshot, now: timedelta) -> None:
        """Take the table of a peer in place of lost or unread records."""
        table = self.homes.table
        if table.complete and table.following:
            return
        assignments = _table_decoder.decode(message.table)
        self.homes.restore(LogOffset(message.following), assignments, now)
        self._outbox.emit(
            Record('homes-restored', {'following': message.following})
        )

    def begin(
        self, waiting: PendingRequest, now: timedelta
    ) -> Ticket | Path | Reason | Answer:
        """Decide on a keyed write.

        Returns the right to run it here, the path to its home, the reason
        why it cannot run, or its recorded answer.
        """
        service = waiting.route.service
        if len(waiting.key) > KEY_LIMIT or service not in self._services:
            return Reason.bad_request
        caller = CallerName(waiting.caller.name)
        slot = self.slot_of(service, caller, waiting.key)
        home = self.homes.owner_of(slot)
        if home is None:
            return Reason.no_home
        if home != self.own:
            return self._path_to(home, waiting)
        digest = fingerprint(waiting.method, waiting.target, waiting.body)
        decision = self.homes.begin(slot, caller, waiting.key, digest, now)
        if isinstance(decision, Run):
            ticket = Ticket(slot, decision.term)
            self._note_dispatch(ticket, waiting)
            return ticket
        if isinstance(decision, Replay):
            return decision.record.answer or _completed_before()
        return _REASONS[type(decision)]

    def _note_dispatch(self, ticket: Ticket, waiting: PendingRequest) -> None:
        self._outbox.emit(
            Record(
                'key-dispatched',
                {
                    'key': _hash(ticket.slot, waiting),
                    'exchange': waiting.exchange,
                    'service': ticket.slot[0],
                    'slot': ticket.slot[1],
                    'epoch': ticket.term,
                },
            )
        )

    def may_run(self, ticket: Ticket, now: timedelta) -> bool:
        """Return whether a write may be dispatched now."""
        return self.homes.dispatch(ticket.slot, ticket.term, now)

    def finish(
        self, waiting: PendingRequest, message: Answer | Refusal
    ) -> None:
        """Record the end of a write that ran with a ticket."""
        ticket = waiting.ticket
        if ticket is None:
            return
        answer = message if isinstance(message, Answer) else None
        outcome = Outcome.completed
        if isinstance(message, Refusal):
            outcome = message.outcome
        self._outbox.emit(
            Record(
                'key-ended',
                {
                    'key': _hash(ticket.slot, waiting),
                    'outcome': outcome.value,
                },
            )
        )
        self.homes.finish(
            ticket.slot,
            ticket.term,
            CallerName(waiting.caller.name),
            waiting.key,
            outcome,
            answer,
        )

    def stop(self) -> None:
        """Hand over all slots."""
        self._stopping = True
        for slot in self.homes.owned():
            others = [
                holder for holder in self.candidates(slot) if holder != self.own
            ]
            if others:
                successor = others[1] if len(others) > 1 else others[0]
                self.homes.hand_over(slot, others[0], successor)

    def _path_to(self, home: Holder, waiting: PendingRequest) -> Path | Reason:
        if waiting.origin is not None:
            # The entrance that asked sees the homes differently; it learns
            # of the change from the log.
            return Reason.no_home
        path = self._paths.ready(home.daemon)
        if path is None or path.incarnation != home.incarnation:
            return Reason.no_home
        return path

    def _read(self, now: timedelta) -> None:
        wait = READ_WAIT * max(1, len(self._live) // READ_WAIT_MEMBERS)
        self._read_due = now + wait + READ_TIMEOUT
        self._read_sent = now
        start = self.homes.table.following
        self._outbox.emit(ReadLog(HOMES, start, wait))

    def _carry_out(self, outputs: Iterable[Output]) -> None:
        for output in outputs:
            if isinstance(output, Append):
                self._append(output)
            else:
                self._paths.send(output.daemon, output.message)

    def _append(self, output: Append) -> None:
        self._outbox.emit(AppendLog(HOMES, output.payload))

    def _assign(self, now: timedelta) -> None:
        for name, service in self._services.items():
            for number in range(service.key_slots):
                slot = (name, number)
                ranked = self.candidates(slot)
                if ranked and ranked[0] == self.own:
                    self._look_after(slot, ranked, now)

    def _look_after(
        self, slot: Slot, ranked: Sequence[Holder], now: timedelta
    ) -> None:
        """Assign a slot without a home, or claim one that is lost."""
        found = self.homes.table.get(slot)
        if found is None:
            successor = ranked[1] if len(ranked) > 1 else self.own
            append = self.homes.assign(slot, successor)
        elif self._is_lost(slot, found, now):
            append = self.homes.claim(slot)
        else:
            return
        if append is not None:
            self._outbox.emit(
                Record('slot-wanted', {'service': slot[0], 'slot': slot[1]})
            )
            self._append(append)

    def _is_lost(self, slot: Slot, found: Assignment, now: timedelta) -> bool:
        holders = (found.record.home, found.record.successor)
        if any(self._is_live(holder) for holder in holders):
            self._lost_since.pop(slot, None)
            return False
        since = self._lost_since.setdefault(slot, now)
        return now - since >= LOST_AFTER

    def _is_live(self, holder: Holder) -> bool:
        record = self._live.get(holder.daemon)
        return record is not None and record.incarnation == holder.incarnation

    def _ask_snapshot(self, now: timedelta) -> None:
        """Ask one peer, and another one if no table came."""
        if now < self._snapshot_due:
            return
        others = [each for each in self._live if each != self.own.daemon]
        place = others.index(self._asked) + 1 if self._asked in others else 0
        for daemon in (*others[place:], *others[:place]):
            if self._paths.send(daemon, OwnersRequest()):
                self._asked = daemon
                self._snapshot_due = now + SNAPSHOT_EVERY
                return

    def _state_table(self, now: timedelta) -> None:
        """Preserve the table beyond the retention of the log."""
        table = self.homes.table
        if self._state_due is None or table.stated != self._stated:
            self._stated = table.stated
            self._state_due = now + self._retention / STATE_PARTS
        if now < self._state_due or not table.complete or not len(table):
            return
        if self._read_at is None or now - self._read_at > READ_FRESH:
            return
        if now < self._state_due + self._rank() * RANK_WAIT:
            return
        self._state_due = now + RANK_WAIT
        self._outbox.emit(AppendLog(HOMES, table.statement()))

    def _rank(self) -> int:
        """Return the place of this daemon among those that state the table."""
        own = _state_score(self.own.daemon)
        earlier = sum(_state_score(daemon) > own for daemon in self._live)
        return min(earlier, RANK_LIMIT)


def _state_score(daemon: DaemonId) -> int:
    return xxhash.xxh3_64_intdigest(f'{HOMES}/{daemon}'.encode())


def _completed_before() -> Answer:
    """Return the answer for a completed write whose own was dropped."""
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


def _hash(slot: Slot, waiting: PendingRequest) -> str:
    """Return what stands for a key in the time line."""
    name = f'{slot[0]}\n{waiting.caller.name}\n{waiting.key}'
    return xxhash.xxh3_64_hexdigest(name.encode())


def _hosts(record: MemberRecord, service: ServiceName) -> bool:
    if record.leaving:
        return False
    return any(each.service == service for each in record.upstreams)


def _score(slot: Slot, holder: Holder) -> int:
    name = f'{slot[0]}/{slot[1]}/{holder.daemon}'
    return xxhash.xxh3_64_intdigest(name.encode())
