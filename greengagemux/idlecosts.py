"""Ticks and memory of one daemon by what it knows, fed directly."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from functools import partial
from random import Random

from .bundlecosts import Size, Subject, bundle_text, collector_off
from .clocks import ZERO
from .events import Announced, Event, PeerMessage, StreamOpened, Tick
from .ids import StreamId
from .messages import PROTOCOL_VERSION, Hello, MemberDeltas, MemberRecord
from .reducers import TICK, Daemon, DaemonOptions, reduce
from .rollouts import Rollout
from .slopes import member_record

SECOND = timedelta(seconds=1)
MS = 1000
PERCENT = 100
#: Members whose memory is measured: the difference of two sizes.
_MEMBERS = (100, 400)
_WALL = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Cost of the reducer of a daemon that nobody uses."""

    members: int
    paths: int
    upstreams: int
    core_pct: float
    mean_tick_us: float
    longest_tick_ms: float


class IdleDaemon:
    """A daemon that knows members, with streams to some of them."""

    def __init__(self, members: int, paths: int, upstreams: int) -> None:
        """Let the daemon learn everything, and let the first second pass."""
        self.now = SECOND
        own = member_record(members)
        self.records = [member_record(number) for number in range(members)]
        identity = DaemonOptions(own, (), SECOND)
        rollout = Rollout({}, own.daemon, own.data_centre)
        self.daemon = Daemon(identity, rollout, Random(1))
        self._own = own
        self._upstreams = own.upstreams[:upstreams]
        for number, record in enumerate(self.records[:paths]):
            self._open(number, record)
        self.learn()

    def learn(self) -> None:
        """Receive the records of all members."""
        for start in range(0, len(self.records), 50):
            part = tuple(self.records[start : start + 50])
            self.submit(PeerMessage(StreamId(1), MemberDeltas(part)))

    def submit(self, event: Event) -> float:
        """Apply an event and return its processor time in seconds."""
        started = time.thread_time()
        reduce(self.daemon, event, self.now)
        return time.thread_time() - started

    def run(self, duration: timedelta) -> list[float]:
        """Let time pass and return the time that each tick took."""
        end = self.now + duration
        announced = ZERO
        ticks: list[float] = []
        while self.now < end:
            self.now += TICK
            if self.now - announced >= SECOND:
                announced = self.now
                self._announce()
            ticks.append(self.submit(Tick(_WALL + self.now)))
        return ticks

    def _announce(self) -> None:
        for each in self._upstreams:
            self.submit(
                Announced(
                    each.upstream,
                    each.service,
                    str(each.upstream),
                    each.slots,
                    each.state,
                )
            )

    def _open(self, number: int, record: MemberRecord) -> None:
        hello = Hello(
            PROTOCOL_VERSION,
            record.daemon,
            record.data_centre,
            record.region,
            record.incarnation,
            1,
        )
        opened = StreamOpened(
            StreamId(number + 1), hello, True, record.peer_address
        )
        self.submit(opened)


def idle_cost(members: int, paths: int, upstreams: int) -> IdleCost:
    """Measure the ticks of ten seconds."""
    subject = IdleDaemon(members, paths, upstreams)
    subject.run(3 * SECOND)
    with collector_off():
        ticks = subject.run(10 * SECOND)
    return IdleCost(
        members,
        paths,
        upstreams,
        sum(ticks) / (10 * SECOND).total_seconds() * PERCENT,
        sum(ticks) / len(ticks) * MS * MS,
        max(ticks) * MS,
    )


@dataclass(frozen=True, slots=True)
class MemoryCost:
    """Memory of one object of a kind, as Python allocates it."""

    kind: str
    bytes_each: float


def memory_costs() -> Iterator[MemoryCost]:
    """Measure what members, streams, accounts and routes take."""
    few, many = _MEMBERS
    step = many - few
    members = _held(lambda: IdleDaemon(many, 1, 0)) - _held(
        lambda: IdleDaemon(few, 1, 0)
    )
    yield MemoryCost(
        'known member with 12 upstreams and a path', members / step
    )
    base = Size(10, 100, 1000)
    small = _held_bundle(base)
    accounts = _held_bundle(Size(10, 100, 3000)) - small
    yield MemoryCost('account', accounts / 2000)
    routes = _held_bundle(Size(10, 600, 1000)) - small
    yield MemoryCost('route', routes / 500)


def _held_bundle(size: Size) -> int:
    texts = [bundle_text(size, version) for version in (1, 2)]
    return _held(partial(_with_bundles, texts))


def _with_bundles(texts: Sequence[str]) -> Subject:
    subject = Subject()
    subject.take('first', texts[0], delta=False)
    for text in texts[1:]:
        subject.take('delta', text, delta=True)
    return subject


def _held(build: Callable[[], object]) -> int:
    """Return the bytes that stay allocated while an object is kept."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    held, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held
