"""Several ``Homes`` joined by a fake log and a fake network."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from greengagemux import assignments, clocks, codecs, events, homes, writes
from greengagemux.outcomes import Outcome

SLOT = ('s', 0)
SECOND = timedelta(seconds=1)
STEP = SECOND / 2
TERMS = writes.Terms(
    key_window=20 * SECOND,
    under_way=4 * SECOND,
    promise_valid=5 * SECOND,
    promise_use=4.5 * SECOND,
    log_absence=60 * SECOND,
)


class FakeLog:
    """Append-only log that may be away or apply appends late.

    No append is acknowledged, as if each reply were lost.
    """

    def __init__(self) -> None:
        self.records: list[events.LogRecord] = []
        self.held: list[bytes] = []
        self.away = False
        self.delayed = False

    def append(self, payload: bytes) -> None:
        if self.delayed:
            self.held.append(payload)
        elif not self.away:
            self.land(payload)

    def land(self, payload: bytes) -> None:
        self.records.append(events.LogRecord(len(self.records), payload))


@dataclass
class Node:
    """One daemon; a paused one keeps its input for later."""

    homes: homes.Homes
    holder: assignments.Holder
    paused: bool = False
    log_cut: bool = False
    inbox: list = field(default_factory=list)
    work: list = field(default_factory=list)


class Fleet:
    """Daemons, callers and the count of dispatches of each key."""

    def __init__(
        self, count: int = 4, seed: int = 0, terms: writes.Terms = TERMS
    ) -> None:
        self.rng = random.Random(seed)
        self.terms = terms
        self.now = SECOND
        self.log = FakeLog()
        self.cuts: set[tuple[str, str]] = set()
        self.slow = False
        self.dispatched: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.born: dict[str, timedelta] = {}
        self.refused: list[str] = []
        self._order = itertools.count()
        self._wire: list = []
        self.nodes: dict[str, Node] = {}
        for index in range(count):
            self.start(f'd{index}')

    def start(self, name: str) -> None:
        """Start a daemon, or replace it by a new incarnation."""
        old = self.nodes.get(name)
        incarnation = old.holder.incarnation + 1 if old else 1
        holder = assignments.Holder(name, incarnation)
        self.nodes[name] = Node(homes.Homes(holder, self.terms), holder)

    def assign(self) -> None:
        """Make the first two daemons home and successor."""
        self.run(2)
        first, second = list(self.nodes.values())[:2]
        given = first.homes.assign(SLOT, second.holder)
        assert given is not None
        self.log.append(given.payload)
        self.run(3)

    def roles(self) -> dict[str, str]:
        """Return the daemons by their role according to the log."""
        table = assignments.Table()
        table.read(0, self.log.records)
        record = table.get(SLOT).record
        first = [record.home.daemon, record.successor.daemon]
        rest = [name for name in self.nodes if name not in first]
        names = ('home', 'successor', 'third', 'fourth')
        return dict(zip(names, (*first, *rest), strict=False))

    def send(self, name: str, key: str) -> None:
        """Let a caller send a key while it may; a daemon gets it soon."""
        born = self.born.setdefault(key, self.now)
        if self.now - born < self.terms.key_window:
            delay = 2 * SECOND * self.rng.random() if self.slow else clocks.ZERO
            self._post(delay, name, (None, key))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(int(seconds * SECOND / STEP)):
            self.now += STEP
            while self._wire and self._wire[0][0] <= self.now:
                _due, _order, target, item = heapq.heappop(self._wire)
                self.nodes[target].inbox.append(item)
            for node in self.nodes.values():
                if not node.paused:
                    self._turn(node)

    def _turn(self, node: Node) -> None:
        inbox = node.inbox
        node.inbox = []
        for source, item in inbox:
            if source is None:
                self._begin(node, item)
            else:
                message = codecs.decode(item, 'peer')
                got = node.homes.receive(message, source, self.now)
                self._emit(node, got)
        work = node.work
        node.work = []
        for due, kind, key, term in work:
            if due > self.now:
                node.work.append((due, kind, key, term))
            elif kind == 'dispatch':
                self._dispatch(node, key, term)
            else:
                node.homes.finish(SLOT, term, 'c', key, kind)
        if not (self.log.away or node.log_cut):
            node.homes.read(0, self.log.records, self.now, self.now)
        self._emit(node, node.homes.tick(self.now, self._candidates))

    def _candidates(self, _slot: assignments.Slot) -> Sequence[object]:
        return [node.holder for node in self.nodes.values()]

    def _begin(self, node: Node, key: str) -> None:
        decision = node.homes.begin(SLOT, 'c', key, 1, self.now)
        self.answers[type(decision).__name__] += 1
        if isinstance(decision, writes.Run):
            assert not self.dispatched[key], 'a key that ran begins again'
            delay = SECOND * self.rng.choice((0, 0.2, 2))
            work = (self.now + delay, 'dispatch', key, decision.term)
            node.work.append(work)

    def _dispatch(self, node: Node, key: str, term: int) -> None:
        if not node.homes.dispatch(SLOT, term, self.now):
            assert not self.dispatched[key], 'a key that ran is "not run"'
            self.refused.append(key)
            node.homes.finish(SLOT, term, 'c', key, Outcome.not_run)
            return
        self.dispatched[key] += 1
        assert self.dispatched[key] == 1, 'a key was dispatched twice'
        outcome = self.rng.choice((Outcome.completed, Outcome.unknown))
        due = self.now + SECOND * self.rng.choice((0, 1, 3))
        node.work.append((due, outcome, key, term))

    def _emit(self, node: Node, outputs: list[homes.Output]) -> None:
        for output in outputs:
            if isinstance(output, homes.Append):
                if not node.log_cut:
                    self.log.append(output.payload)
                continue
            path = (node.holder.daemon, output.daemon)
            if path in self.cuts:
                continue
            payload = codecs.encode(output.message)
            copies = (payload, payload) if self.slow else (payload,)
            for copy in copies:
                delay = 3 * SECOND * self.rng.random() if self.slow else STEP
                self._post(delay, output.daemon, (node.holder, copy))

    def _post(self, delay: timedelta, target: str, item: object) -> None:
        due = (self.now + delay, next(self._order), target, item)
        heapq.heappush(self._wire, due)
