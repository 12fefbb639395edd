"""Idle processor time and memory of one daemon, its reducer called directly."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from functools import partial
from random import Random

from .bundlecosts import BundleReader, Size, bundle_text, gc_disabled
from .clocks import ZERO
from .effects import raise_failures
from .events import Announced, Event, PeerMessage, StreamOpened, Tick
from .ids import StreamId
from .messages import PROTOCOL_VERSION, Hello, MemberDeltas, MemberRecord
from .reducers import TICK, Daemon, DaemonOptions, reduce
from .rollouts import Rollout
from .slopes import member_record

SECOND = timedelta(seconds=1)
#: Also the number of microseconds per millisecond.
MS_PER_SECOND = 1000
PERCENT = 100
#: Two fleet sizes; the memory of a member comes from their difference.
_MEMBER_COUNTS = (100, 400)
_WALL = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Cost of the reducer of a daemon without requests.

    ``core_pct`` is the share of one core that its ticks use.
    """

    members: int
    paths: int
    upstreams: int
    core_pct: float
    mean_tick_us: float
    longest_tick_ms: float


class IdleDaemon:
    """A daemon that knows ``members`` daemons, ``paths`` of them connected.

    ``upstreams`` is the number of its own upstreams that announce themselves.
    """

    def __init__(self, members: int, paths: int, upstreams: int) -> None:
        """Create the daemon, open its paths and give it all member records."""
        self.now = SECOND
        own = member_record(members)
        self.records = [member_record(number) for number in range(members)]
        options = DaemonOptions(own, (), SECOND)
        rollout = Rollout({}, own.daemon, own.data_centre)
        self.daemon = Daemon(options, rollout, Random(1))
        self._own = own
        self._upstreams = own.upstreams[:upstreams]
        for number, record in enumerate(self.records[:paths]):
            self._open_stream(number, record)
        self.receive_records()

    def receive_records(self) -> None:
        """Receive the records of all members."""
        for start in range(0, len(self.records), 50):
            part = tuple(self.records[start : start + 50])
            self.submit(PeerMessage(StreamId(1), MemberDeltas(part)))

    def submit(self, event: Event) -> float:
        """Apply an event and return its processor time in seconds."""
        started = time.thread_time()
        effects = reduce(self.daemon, event, self.now)
        spent_s = time.thread_time() - started
        raise_failures(effects)
        return spent_s

    def run(self, duration: timedelta) -> list[float]:
        """Advance the clock and return the processor seconds of each tick.

        Upstreams announce themselves every second, as they do to a daemon;
        the time for that isn't returned.
        """
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

    def _open_stream(self, number: int, record: MemberRecord) -> None:
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
    """Measure the ticks of ten simulated seconds."""
    idle_daemon = IdleDaemon(members, paths, upstreams)
    idle_daemon.run(3 * SECOND)
    with gc_disabled():
        ticks = idle_daemon.run(10 * SECOND)
    return IdleCost(
        members,
        paths,
        upstreams,
        sum(ticks) / (10 * SECOND).total_seconds() * PERCENT,
        sum(ticks) / len(ticks) * MS_PER_SECOND * MS_PER_SECOND,
        max(ticks) * MS_PER_SECOND,
    )


@dataclass(frozen=True, slots=True)
class MemoryCost:
    """Memory per object of a kind, as counted by ``tracemalloc``."""

    kind: str
    bytes_each: float


def memory_costs() -> Iterator[MemoryCost]:
    """Yield the memory of a member with a path, an account and a route.

    Each is a difference of two sizes, so fixed memory doesn't count.
    """
    few, many = _MEMBER_COUNTS
    step = many - few
    members = _allocated_bytes(
        lambda: IdleDaemon(many, 1, 0)
    ) - _allocated_bytes(lambda: IdleDaemon(few, 1, 0))
    yield MemoryCost(
        'known member with 12 upstreams and a path', members / step
    )
    base = Size(10, 100, 1000)
    small = _allocated_by_bundle(base)
    accounts = _allocated_by_bundle(Size(10, 100, 3000)) - small
    yield MemoryCost('account', accounts / 2000)
    routes = _allocated_by_bundle(Size(10, 600, 1000)) - small
    yield MemoryCost('route', routes / 500)


def _allocated_by_bundle(size: Size) -> int:
    texts = [bundle_text(size, version) for version in (1, 2)]
    return _allocated_bytes(partial(_reader_with_bundles, texts))


def _reader_with_bundles(texts: Sequence[str]) -> BundleReader:
    reader = BundleReader()
    reader.apply('first', texts[0], delta=False)
    for text in texts[1:]:
        reader.apply('delta', text, delta=True)
    return reader


def _allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that a built object keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    allocated, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return allocated
