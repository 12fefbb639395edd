"""Cost and propagation time of membership by the number of daemons.

Runs many ``Members`` in one process on a fake clock, over a simulated network
with latency and loss. Each message is encoded, decoded and counted; the
measured processor time is counted for the daemon that does the work.
"""

import heapq
import itertools
import json
import random
import statistics
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from datetime import timedelta
from typing import Any

import click
import msgspec

from .clocks import ZERO, ms
from .codecs import decode, encode
from .frames import HEADER_BYTES, MESSAGE_NUMBER_BYTES
from .gossip import Directed
from .ids import (
    DaemonId,
    DataCentre,
    Incarnation,
    Region,
    ServiceName,
    UpstreamId,
)
from .members import Members
from .messages import (
    MemberDeltas,
    MemberMessage,
    MemberRecord,
    UpstreamRecord,
    UpstreamState,
)

#: Full-size fleet and its restarts and upstream state changes; in smaller
#: fleets both rates are proportional to the number of daemons.
FULL_DAEMONS = 650
FULL_RESTARTS_A_DAY = 3100
FULL_CHANGES_A_SECOND = 2
UPSTREAMS_A_DAEMON = 12
SERVICES = 160
REGIONS = ('dakar', 'thies')
DATA_CENTRES = 7
SIZES = (10, 20, 40, 80, 160, FULL_DAEMONS)
LOSSES = (0, 0.05, 0.2)
#: Longer than the refresh period, so that every daemon has sent heartbeats.
WARM_UP_S = 20
SEED = 1

BUDGET_BYTES_A_SECOND = 25_000
BUDGET_CORE_PCT = 2.2

#: Bytes of the IPv4 and TCP headers with timestamps, and of the framing of
#: one TLS 1.3 record.
PACKET_BYTES = 52 + 22
FRAME_BYTES = HEADER_BYTES + MESSAGE_NUMBER_BYTES

TICK = ms(50)
NEAR_LATENCY = ms(1.25)
FAR_LATENCY = ms(8)
_TICK_GROUPS = 10
_DAY_S = 86400
#: Smaller fleets change less often; their runs are extended, within the limit
#: below, until this many changes are expected, to give usable quantiles.
MIN_CHANGES = 120
MAX_RUN_S = 3600
_COLUMNS = (
    ('daemons', 'daemons', 'd'),
    ('loss', 'loss', '.0%'),
    ('seconds', 'seconds', '.0f'),
    ('sent B/s', 'sent_bytes_a_second', '.0f'),
    ('received B/s', 'received_bytes_a_second', '.0f'),
    ('peak B/s', 'peak_bytes_a_second', '.0f'),
    ('core %', 'core_pct', '.3f'),
    ('peak core %', 'peak_core_pct', '.3f'),
    ('messages/s', 'messages_a_second', '.1f'),
    ('regions B/s', 'between_regions_bytes_a_second', '.0f'),
    ('p50 s', 'known_p50_s', '.2f'),
    ('p99 s', 'known_p99_s', '.2f'),
    ('max s', 'known_max_s', '.2f'),
    ('changes', 'changes', 'd'),
    ('unfinished', 'unfinished', 'd'),
    ('false losses', 'false_losses', 'd'),
)
_RESTART_PEERS = 3
_SECOND = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of one run.

    ``loss`` is the share of messages lost; ``seconds`` is measured after a
    warm-up of ``warm_up_s``.
    """

    daemons: int
    loss: float
    seconds: float
    warm_up_s: float
    seed: int


@dataclass(frozen=True, slots=True)
class Cost:
    """Figures of one run; bytes include ``PACKET_BYTES`` per message.

    Messages, sent and received bytes and ``core_pct`` (per cent of a core)
    are means per daemon; ``peak`` values are those of the busiest daemon.
    ``between_regions_bytes_a_second`` is the total of the fleet. The
    ``known`` values are quantiles of the time from a change until all other
    daemons know it. ``changes`` counts the changes that reached all of them
    and ``unfinished`` those that did not before the end; ``false_losses``
    counts removals of a running daemon from the live members of another.
    """

    daemons: int
    loss: float
    seconds: float
    changes: int
    restarts: int
    unfinished: int
    false_losses: int
    messages_a_second: float
    sent_bytes_a_second: float
    received_bytes_a_second: float
    peak_bytes_a_second: float
    core_pct: float
    peak_core_pct: float
    between_regions_bytes_a_second: float
    known_p50_s: float
    known_p99_s: float
    known_max_s: float


class _Counters:
    """Counters of one run, reset after the warm-up."""

    def __init__(self) -> None:
        self.sent: Counter[DaemonId] = Counter()
        self.received: Counter[DaemonId] = Counter()
        self.busy_ns: Counter[DaemonId] = Counter()
        self.between_regions_bytes = 0
        self.messages = 0
        self.restarts = 0
        self.false_losses = 0


class _PropagatingChange:
    """Start of the latest change of a daemon, and who does not know it yet."""

    def __init__(self, start: timedelta, unaware: set[DaemonId]) -> None:
        self.start = start
        self.unaware = unaware


class _Run:
    """Simulation of daemons, of messages in flight and of their changes."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.counters = _Counters()
        self.propagation_s: list[float] = []
        self.propagating_changes: dict[DaemonId, _PropagatingChange] = {}
        self._rng = random.Random(plan.seed)
        self._now = ZERO
        self._order = itertools.count()
        self._in_flight: list[tuple[timedelta, int, DaemonId, Directed]] = []
        self._records = [member_record(index) for index in range(plan.daemons)]
        self._ids = [record.daemon for record in self._records]
        self._regions = {
            record.daemon: record.region for record in self._records
        }
        self._members = {
            record.daemon: Members(record, random.Random(self._rng.random()))
            for record in self._records
        }
        all_records = MemberDeltas(tuple(self._records))
        for members in self._members.values():
            members.receive(all_records, self._ids[0], ZERO)
            members.changes()

    def run(self) -> Cost:
        """Simulate the warm-up and the measured time; return the figures."""
        self._run_for(self.plan.warm_up_s)
        self.counters = _Counters()
        self.propagation_s.clear()
        self._run_for(self.plan.seconds)
        return self._cost()

    def _run_for(self, seconds: float) -> None:
        share = self.plan.daemons / FULL_DAEMONS
        step_s = TICK / _SECOND / _TICK_GROUPS
        for step in range(int(seconds / step_s)):
            if self._rng.random() < FULL_CHANGES_A_SECOND * share * step_s:
                self._change()
            restarts = FULL_RESTARTS_A_DAY / _DAY_S * share * step_s
            if self._rng.random() < restarts:
                self._restart()
            for daemon in self._ids[step % _TICK_GROUPS :: _TICK_GROUPS]:
                self._run_work(daemon, self._tick(daemon))
            self._now += TICK / _TICK_GROUPS
            self._deliver()

    def _tick(self, daemon: DaemonId) -> Iterator[Directed]:
        yield from self._members[daemon].tick(self._now)

    def _run_work(self, daemon: DaemonId, work: Iterable[Directed]) -> None:
        """Run work of a daemon, count its time and send its messages."""
        started = time.perf_counter_ns()
        sent = [(directed, len(encode(directed.message))) for directed in work]
        changed = self._members[daemon].changes()
        self.counters.busy_ns[daemon] += time.perf_counter_ns() - started
        for directed, size in sent:
            self._send(daemon, directed, size + FRAME_BYTES + PACKET_BYTES)
        for subject in changed:
            self._record_received(daemon, subject)

    def _send(self, source: DaemonId, directed: Directed, size: int) -> None:
        between_regions = (
            self._regions[source] != self._regions[directed.daemon]
        )
        self.counters.messages += 1
        self.counters.sent[source] += size
        if between_regions:
            self.counters.between_regions_bytes += size
        if self._rng.random() < self.plan.loss:
            return
        self.counters.received[directed.daemon] += size
        latency = FAR_LATENCY if between_regions else NEAR_LATENCY
        arrival = self._now + latency
        heapq.heappush(
            self._in_flight, (arrival, next(self._order), source, directed)
        )

    def _deliver(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self._now:
            _arrival, _order, source, directed = heapq.heappop(self._in_flight)
            payload = encode(directed.message)
            self._run_work(
                directed.daemon, self._receive(directed.daemon, payload, source)
            )

    def _receive(
        self, daemon: DaemonId, payload: bytes, source: DaemonId
    ) -> Iterator[Directed]:
        message = decode(payload, source)
        assert isinstance(message, MemberMessage)  # noqa: S101
        yield from self._members[daemon].receive(message, source, self._now)

    def _change(self) -> None:
        daemon = self._rng.choice(self._ids)
        members = self._members[daemon]
        upstreams = list(members.own.upstreams)
        index = self._rng.randrange(len(upstreams))
        old = upstreams[index]
        upstreams[index] = msgspec.structs.replace(
            old, state=_other_state(old.state)
        )
        members.set_own(tuple(upstreams), leaving=False, now=self._now)
        self._track_change(daemon)

    def _restart(self) -> None:
        daemon = self._rng.choice(self._ids)
        old = self._members[daemon].own
        record = msgspec.structs.replace(
            old, incarnation=Incarnation(old.incarnation + 1), sequence=0
        )
        started = Members(record, random.Random(self._rng.random()))
        self._members[daemon] = started
        self.counters.restarts += 1
        self._track_change(daemon)
        for change in self.propagating_changes.values():
            change.unaware.discard(daemon)
        same_region = [
            peer
            for peer in self._ids
            if self._regions[peer] == record.region and peer != daemon
        ]
        for peer in self._rng.sample(
            same_region, min(_RESTART_PEERS, len(same_region))
        ):
            self._run_work(daemon, started.connected(peer, self._now))
            self._run_work(
                peer, self._members[peer].connected(daemon, self._now)
            )

    def _track_change(self, daemon: DaemonId) -> None:
        self.propagating_changes[daemon] = _PropagatingChange(
            self._now, set(self._ids) - {daemon}
        )

    def _record_received(self, daemon: DaemonId, subject: DaemonId) -> None:
        copy = self._members[daemon].live().get(subject)
        if copy is None:
            self.counters.false_losses += 1
            return
        change = self.propagating_changes.get(subject)
        if change is None:
            return
        own = self._members[subject].own
        if (copy.incarnation, copy.sequence) != (own.incarnation, own.sequence):
            return
        change.unaware.discard(daemon)
        if not change.unaware:
            self.propagation_s.append((self._now - change.start) / _SECOND)
            self.propagating_changes.pop(subject)

    def _cost(self) -> Cost:
        plan = self.plan
        counters = self.counters
        daemon_seconds = plan.daemons * plan.seconds
        busiest = max(counters.busy_ns.values()) / plan.seconds
        heaviest = max(
            counters.sent[daemon] + counters.received[daemon]
            for daemon in self._ids
        )
        known = sorted(self.propagation_s) or [0]
        return Cost(
            daemons=plan.daemons,
            loss=plan.loss,
            seconds=plan.seconds,
            changes=len(self.propagation_s),
            restarts=counters.restarts,
            unfinished=len(self.propagating_changes),
            false_losses=counters.false_losses,
            messages_a_second=counters.messages / daemon_seconds,
            sent_bytes_a_second=counters.sent.total() / daemon_seconds,
            received_bytes_a_second=counters.received.total() / daemon_seconds,
            peak_bytes_a_second=heaviest / plan.seconds,
            core_pct=100 * counters.busy_ns.total() / daemon_seconds / 1e9,
            peak_core_pct=100 * busiest / 1e9,
            between_regions_bytes_a_second=counters.between_regions_bytes
            / plan.seconds,
            known_p50_s=_quantile(known, 0.5),
            known_p99_s=_quantile(known, 0.99),
            known_max_s=known[-1],
        )


def measure(plan: Plan) -> Cost:
    """Run one plan and return its figures."""
    return _Run(plan).run()


def fit(costs: list[Cost]) -> dict[str, dict[str, float]]:
    """Return a fitted line for each cost, by the number of daemons.

    ``slope`` is the cost of one more daemon. Fewer than two costs give none.
    """
    sizes = [cost.daemons for cost in costs]
    if len(costs) < 2:
        return {}
    fitted: dict[str, dict[str, float]] = {}
    for name in (
        'sent_bytes_a_second',
        'received_bytes_a_second',
        'core_pct',
        'between_regions_bytes_a_second',
        'known_p99_s',
    ):
        amounts = [getattr(cost, name) for cost in costs]
        slope, intercept = statistics.linear_regression(sizes, amounts)
        fitted[name] = {'slope': slope, 'intercept': intercept}
    return fitted


def report(costs: list[Cost]) -> Iterator[str]:
    """Yield the lines of the text report, the column titles first."""
    yield '  '.join(title for title, _name, _form in _COLUMNS)
    for cost in costs:
        yield '  '.join(
            format(getattr(cost, name), form).rjust(len(title))
            for title, name, form in _COLUMNS
        )


def _plans(
    sizes: tuple[int, ...], losses: tuple[float, ...], seconds: float
) -> Iterator[Plan]:
    for loss, size in itertools.product(losses or LOSSES, sizes or SIZES):
        rate = FULL_CHANGES_A_SECOND * size / FULL_DAEMONS
        length = min(max(seconds, MIN_CHANGES / rate), MAX_RUN_S)
        yield Plan(size, loss, length, WARM_UP_S, SEED)


@click.command()
@click.option('--daemons', multiple=True, type=click.IntRange(2, 1000))
@click.option('--loss', multiple=True, type=click.FloatRange(0, 0.5))
@click.option('--seconds', default=60.0, type=click.FloatRange(1, MAX_RUN_S))
@click.option('--json', 'output', type=click.File('w'))
def slopes(**options: Any) -> None:
    """Measure the cost of membership by the number of daemons."""
    plans = _plans(
        options['daemons'],
        options['loss'],
        options['seconds'],
    )
    costs: list[Cost] = []
    for plan in plans:
        costs.append(measure(plan))
        lines = tuple(report(costs))
        click.echo('\n'.join(lines if len(costs) == 1 else lines[-1:]))
    fitted = fit([cost for cost in costs if cost.loss == costs[0].loss])
    for name, line in fitted.items():
        click.echo(f'{name}: {line}')
    if options['output']:
        runs = [asdict(cost) for cost in costs]
        json.dump({'runs': runs, 'fits': fitted}, options['output'], indent=2)


def member_record(index: int) -> MemberRecord:
    """Return the record of a simulated daemon with all its upstreams."""
    centre = index % DATA_CENTRES
    region = Region(REGIONS[centre % len(REGIONS)])
    return MemberRecord(
        DaemonId(f'{region}-{index}'),
        Incarnation(1_780_000_000_000 + index),
        0,
        DataCentre(f'{region}-{centre}'),
        region,
        f'10.0.{index // 250}.{index % 250}:9080',
        upstreams=tuple(
            UpstreamRecord(
                UpstreamId(f'10.0.{index // 250}.{index % 250}:{port}'),
                ServiceName(f'service-{(index + port) % SERVICES}'),
                4,
                UpstreamState.serving,
            )
            for port in range(7000, 7000 + UPSTREAMS_A_DAEMON)
        ),
    )


def _other_state(state: UpstreamState) -> UpstreamState:
    if state is UpstreamState.serving:
        return UpstreamState.sick
    return UpstreamState.serving


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
