"""Simulation of key slot leases: how faults affect keyed writes.

Clock, log and network are simulated. ``Fleet`` counts the dispatches of each
key and raises ``AssertionError`` at a second one.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

import click

from . import assignments, clocks, codecs, events, slotleases, writes
from .ids import CallerName, DaemonId, Incarnation, LogOffset, ServiceName
from .messages import SlotMessage
from .outcomes import Outcome

SLOT: assignments.Slot = (ServiceName('s'), 0)
SECOND = timedelta(seconds=1)
_CALLER = CallerName('c')
_UPSTREAM_S = (0.5, 1, 3)
_QUEUE_S = (0, 0.2, 2)
STEP = SECOND / 2
#: Shortened durations, for histories with many faults.
TERMS = writes.LeaseTimings(
    key_window=20 * SECOND,
    forward_limit=4 * SECOND,
    lease_valid=5 * SECOND,
    lease_use=4.5 * SECOND,
    max_log_outage=60 * SECOND,
)


class FakeLog:
    """Append-only log that may be unavailable or apply appends late.

    No append is acknowledged, as if each response were lost.
    """

    def __init__(self) -> None:
        """Start empty and available."""
        self.records: list[events.LogRecord] = []
        self.held: list[bytes] = []
        self.unavailable = False
        self.delayed = False

    def append(self, payload: bytes) -> None:
        """Apply an append, hold it for later, or lose it."""
        if self.delayed:
            self.held.append(payload)
        elif not self.unavailable:
            self.apply(payload)

    def apply(self, payload: bytes) -> None:
        """Add the record of an append to the log."""
        offset = LogOffset(len(self.records))
        self.records.append(events.LogRecord(offset, payload))


@dataclass(frozen=True, slots=True)
class _Request:
    """A keyed write as it reaches a daemon."""

    key: str


@dataclass(frozen=True, slots=True)
class _Message:
    """An encoded message between daemons."""

    sender: assignments.Holder
    payload: bytes


@dataclass(frozen=True, slots=True)
class _Write:
    """A write in the queue, or at its upstream once ``outcome`` is set."""

    due: timedelta
    key: str
    term: int
    outcome: Outcome | None = None


@dataclass(slots=True)
class Node:
    """One daemon; a paused one queues what it receives."""

    leases: slotleases.SlotLeases
    holder: assignments.Holder
    paused: bool = False
    log_cut: bool = False
    inbox: list[_Request | _Message] = field(default_factory=list)
    work: list[_Write] = field(default_factory=list)


class Fleet:
    """Daemons, callers and the count of dispatches of each key.

    ``answers`` counts all decisions and ``last_decision`` has the last one of
    each key, both by class name.
    """

    def __init__(
        self, count: int = 4, seed: int = 0, terms: writes.LeaseTimings = TERMS
    ) -> None:
        """Start daemons; the slot has no owner yet."""
        self.rng = random.Random(seed)
        self.terms = terms
        self.now = SECOND
        self.log = FakeLog()
        self.cuts: set[tuple[str, str]] = set()
        self.slow = False
        self.dispatched: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.last_decision: dict[str, str] = {}
        self.first_sent: dict[str, timedelta] = {}
        self.refused: list[str] = []
        self._order = itertools.count()
        self._wire: list[tuple[timedelta, int, str, _Request | _Message]] = []
        self.nodes: dict[str, Node] = {}
        for index in range(count):
            self.start(f'd{index}')

    def start(self, name: str) -> None:
        """Start a daemon, or replace it by a new incarnation."""
        old = self.nodes.get(name)
        started = Incarnation(old.holder.incarnation + 1 if old else 1)
        holder = assignments.Holder(DaemonId(name), started)
        self.nodes[name] = Node(
            slotleases.SlotLeases(holder, self.terms), holder
        )

    def assign(self) -> None:
        """Make the first two daemons owner and successor."""
        self.run(2)
        first, second = list(self.nodes.values())[:2]
        append = first.leases.assign(SLOT, second.holder)
        if append is not None:
            self.log.append(append.payload)
        self.run(3)

    def roles(self) -> dict[str, str]:
        """Return the daemon in each role, by the log.

        ``home`` is the owner of the slot.
        """
        table = assignments.Table()
        table.read(LogOffset(0), self.log.records)
        found = table.get(SLOT)
        first: list[str] = []
        if found is not None:
            record = found.record
            first = [record.owner.daemon, record.successor.daemon]
        rest = [name for name in self.nodes if name not in first]
        names = ('home', 'successor', 'third', 'fourth')
        return dict(zip(names, (*first, *rest), strict=False))

    def send(self, name: str, key: str) -> None:
        """Send a key to a daemon, unless the window of the key has ended."""
        first_sent = self.first_sent.setdefault(key, self.now)
        if self.now - first_sent < self.terms.key_window:
            delay = 2 * SECOND * self.rng.random() if self.slow else clocks.ZERO
            self._post(delay, name, _Request(key))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(int(seconds * SECOND / STEP)):
            self.now += STEP
            while self._wire and self._wire[0][0] <= self.now:
                due = heapq.heappop(self._wire)
                self.nodes[due[2]].inbox.append(due[3])
            for node in self.nodes.values():
                if not node.paused:
                    self._step(node)

    def _step(self, node: Node) -> None:
        inbox = node.inbox
        node.inbox = []
        for item in inbox:
            if isinstance(item, _Request):
                self._begin(node, item.key)
            else:
                self._receive(node, item)
        work = node.work
        node.work = []
        for step in work:
            self._advance_write(node, step)
        if not (self.log.unavailable or node.log_cut):
            node.leases.read(LogOffset(0), self.log.records, self.now, self.now)
        self._emit(node, node.leases.tick(self.now, self._candidates))

    def _receive(self, node: Node, received: _Message) -> None:
        message = codecs.decode(received.payload, received.sender.daemon)
        if isinstance(message, SlotMessage):
            outputs = node.leases.receive(message, received.sender, self.now)
            self._emit(node, outputs)

    def _advance_write(self, node: Node, step: _Write) -> None:
        if step.due > self.now:
            node.work.append(step)
        elif step.outcome is None:
            self._dispatch(node, step)
        else:
            node.leases.finish(SLOT, step.term, _CALLER, step.key, step.outcome)

    def _candidates(self, _slot: assignments.Slot) -> list[assignments.Holder]:
        return [node.holder for node in self.nodes.values()]

    def _begin(self, node: Node, key: str) -> None:
        decision = node.leases.begin(SLOT, _CALLER, key, 1, self.now)
        self.answers[type(decision).__name__] += 1
        self.last_decision[key] = type(decision).__name__
        if isinstance(decision, writes.Run):
            self._check_unused(key, 'begins again')
            due = self.now + SECOND * self.rng.choice(_QUEUE_S)
            node.work.append(_Write(due, key, decision.term))

    def _dispatch(self, node: Node, step: _Write) -> None:
        key = step.key
        if not node.leases.may_dispatch(SLOT, step.term, self.now):
            self._check_unused(key, 'is called not run')
            self.refused.append(key)
            node.leases.finish(SLOT, step.term, _CALLER, key, Outcome.not_run)
            return
        self._check_unused(key, 'is dispatched again')
        self.dispatched[key] += 1
        outcome = self.rng.choice((Outcome.completed, Outcome.unknown))
        due = self.now + SECOND * self.rng.choice(_UPSTREAM_S)
        node.work.append(_Write(due, key, step.term, outcome))

    def _check_unused(self, key: str, fault: str) -> None:
        if self.dispatched[key]:
            raise AssertionError(f'a key that ran {fault}: {key}')

    def _emit(self, node: Node, outputs: list[slotleases.Output]) -> None:
        for output in outputs:
            if isinstance(output, slotleases.SendMessage):
                self._deliver(node, output)
            elif not node.log_cut:
                self.log.append(output.payload)

    def _deliver(self, node: Node, sent: slotleases.SendMessage) -> None:
        if (node.holder.daemon, sent.daemon) in self.cuts:
            return
        message = _Message(node.holder, codecs.encode(sent.message))
        for copy in (message, message) if self.slow else (message,):
            delay = 3 * SECOND * self.rng.random() if self.slow else STEP
            self._post(delay, sent.daemon, copy)

    def _post(
        self, delay: timedelta, target: str, item: _Request | _Message
    ) -> None:
        due = (self.now + delay, next(self._order), target, item)
        heapq.heappush(self._wire, due)


def _isolate(fleet: Fleet, name: str) -> None:
    """Cut a daemon off from its peers and from the log."""
    fleet.nodes[name].log_cut = True
    for other in fleet.nodes:
        fleet.cuts |= {(name, other), (other, name)}


def _heal(fleet: Fleet) -> None:
    fleet.cuts.clear()
    fleet.log.unavailable = False
    for node in fleet.nodes.values():
        node.log_cut = False
        node.paused = False


def _planned_stop(fleet: Fleet) -> None:
    old = fleet.nodes['d0'].leases
    old.hand_over(SLOT, fleet.nodes['d2'].holder, fleet.nodes['d3'].holder)


def _kill_owner(fleet: Fleet) -> None:
    fleet.start('d0')


def _kill_successor(fleet: Fleet) -> None:
    fleet.start('d1')


def _pause_owner(fleet: Fleet) -> None:
    fleet.nodes['d0'].paused = True


def _cut_pair(fleet: Fleet) -> None:
    fleet.cuts |= {('d0', 'd1'), ('d1', 'd0')}


def _log_unavailable(fleet: Fleet) -> None:
    fleet.log.unavailable = True


def _log_unavailable_and_kill(fleet: Fleet) -> None:
    fleet.log.unavailable = True
    fleet.start('d0')


_InjectFault = Callable[[Fleet], None]
#: Name, fault and seconds until all faults end.
FAULTS: tuple[tuple[str, _InjectFault, int], ...] = (
    ('none', _heal, 1),
    ('planned stop of the owner', _planned_stop, 1),
    ('owner killed', _kill_owner, 1),
    ('successor killed', _kill_successor, 1),
    ('owner paused 3 s', _pause_owner, 3),
    ('owner paused 30 s', _pause_owner, 30),
    ('owner and successor cut 60 s', _cut_pair, 60),
    ('owner cut from all 60 s', partial(_isolate, name='d0'), 60),
    ('log down 600 s', _log_unavailable, 600),
    ('log down 300 s, owner killed', _log_unavailable_and_kill, 300),
)
FAULT_START_S = 60
DURATION_S = 1500
#: A caller without a final answer repeats its key at this interval.
REPEAT_INTERVAL_S = 5
_SERVED = frozenset(('Run', 'Wait', 'Replay'))


@dataclass(frozen=True, slots=True)
class FaultCost:
    """How one fault affected the keys of a slot, at one new key a second.

    ``unknown_pct`` is the share of keys whose last decision was ``Unknown``;
    ``unserved_pct`` is that of keys without a decision, or whose last one was
    ``NotOwner``, ``Conflict`` or ``Full``. ``stopped_s`` is the longest time
    in which no new key was accepted.
    """

    fault: str
    keys: int
    unknown_pct: float
    unserved_pct: float
    stopped_s: int


def measure(fault: str, inject: _InjectFault, heal_after_s: int) -> FaultCost:
    """Simulate one fault with the durations of production."""
    fleet = Fleet(terms=writes.LeaseTimings())
    fleet.assign()
    stopped = 0
    longest = 0
    for second in range(DURATION_S):
        if second == FAULT_START_S:
            inject(fleet)
        if second == FAULT_START_S + heal_after_s:
            _heal(fleet)
        before = fleet.answers['Run']
        _send_keys(fleet, second)
        stopped = 0 if fleet.answers['Run'] > before else stopped + 1
        longest = max(longest, stopped)
    keys = len(fleet.first_sent)
    last = Counter(
        fleet.last_decision.get(key, 'none') for key in fleet.first_sent
    )
    ended = sum(last[name] for name in _SERVED)
    unserved = keys - ended - last['Unknown']
    return FaultCost(
        fault,
        keys,
        100 * last['Unknown'] / keys,
        100 * unserved / keys,
        longest,
    )


def _send_keys(fleet: Fleet, second: int) -> None:
    """Send a new key and repeat those that were not served."""
    owner = fleet.roles()['home']
    fleet.send(owner, f'k{second}')
    for age in range(REPEAT_INTERVAL_S, second, REPEAT_INTERVAL_S):
        key = f'k{second - age}'
        if fleet.last_decision.get(key) not in _SERVED:
            fleet.send(owner, key)
    fleet.run(1)


@click.command()
def writes_command() -> None:
    """Measure the share of unknown answers under each fault."""
    for fault, inject, heal_after_s in FAULTS:
        cost = measure(fault, inject, heal_after_s)
        click.echo(
            f'{cost.fault:30} keys {cost.keys}'
            f' unknown {cost.unknown_pct:.1f}%'
            f' unserved {cost.unserved_pct:.1f}%'
            f' longest stop {cost.stopped_s} s'
        )
