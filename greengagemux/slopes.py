"""Cost and speed of membership against the number of daemons.

Runs many ``Members`` on a fake clock. Each message is encoded, decoded and
counted; the processor time of these calls is charged to the daemon.
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

#: Size and churn of the design page; smaller fleets get their share.
FULL_DAEMONS = 650
FULL_RESTARTS_A_DAY = 3100
FULL_CHANGES_A_SECOND = 2
UPSTREAMS_A_DAEMON = 12
SERVICES = 160
REGIONS = ('dakar', 'thies')
CENTRES = 7
SIZES = (10, 20, 40, 80, 160, FULL_DAEMONS)
LOSSES = (0, 0.05, 0.2)
#: More than the refresh period, so that all heartbeats are under way.
WARM_UP_S = 20
SEED = 1

BUDGET_BYTES_A_SECOND = 25_000
BUDGET_CORE_PCT = 2.2

#: Headers of IPv4 and TCP with timestamps, and of one TLS 1.3 record.
PACKET_BYTES = 52 + 22
FRAME_BYTES = HEADER_BYTES + MESSAGE_NUMBER_BYTES

TICK = ms(50)
NEAR_LATENCY = ms(1.25)
FAR_LATENCY = ms(8)
_PHASES = 10
_DAY_S = 86400
#: Small fleets run longer, so that the quantiles rest on this many changes.
CHANGES = 120
LONGEST_S = 3600
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
_SEEDS = 3
_SECOND = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Plan:
    """One run: size, share of messages lost and measured duration."""

    daemons: int
    loss: float
    seconds: float
    warm_up_s: float
    seed: int


@dataclass(frozen=True, slots=True)
class Cost:
    """Figures of one run; bytes include ``PACKET_BYTES`` a message.

    Sent and received bytes and the processor share are means a daemon;
    ``peak`` values belong to the daemon with the most.
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


class _Meter:
    """Counts of one run, started after the warm-up."""

    def __init__(self) -> None:
        self.sent: Counter[DaemonId] = Counter()
        self.received: Counter[DaemonId] = Counter()
        self.busy_ns: Counter[DaemonId] = Counter()
        self.between = 0
        self.messages = 0
        self.restarts = 0
        self.false_losses = 0


class _Spread:
    """One change and the daemons that do not know it yet."""

    def __init__(self, start: timedelta, waiting: set[DaemonId]) -> None:
        self.start = start
        self.waiting = waiting


class _Run:
    """Daemons, messages under way and changes under way."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.meter = _Meter()
        self.known_s: list[float] = []
        self.spreads: dict[DaemonId, _Spread] = {}
        self._rng = random.Random(plan.seed)
        self._now = ZERO
        self._order = itertools.count()
        self._wire: list[tuple[timedelta, int, DaemonId, Directed]] = []
        self._records = [member_record(index) for index in range(plan.daemons)]
        self._ids = [record.daemon for record in self._records]
        self._regions = {
            record.daemon: record.region for record in self._records
        }
        self._members = {
            record.daemon: Members(record, random.Random(self._rng.random()))
            for record in self._records
        }
        everyone = MemberDeltas(tuple(self._records))
        for members in self._members.values():
            members.receive(everyone, self._ids[0], ZERO)
            members.changes()

    def go(self) -> Cost:
        """Warm up, measure and return the figures."""
        self._run_for(self.plan.warm_up_s)
        self.meter = _Meter()
        self.known_s.clear()
        self._run_for(self.plan.seconds)
        return self._cost()

    def _run_for(self, seconds: float) -> None:
        share = self.plan.daemons / FULL_DAEMONS
        step_s = TICK / _SECOND / _PHASES
        for step in range(int(seconds / step_s)):
            if self._rng.random() < FULL_CHANGES_A_SECOND * share * step_s:
                self._change()
            restarts = FULL_RESTARTS_A_DAY / _DAY_S * share * step_s
            if self._rng.random() < restarts:
                self._restart()
            for daemon in self._ids[step % _PHASES :: _PHASES]:
                self._charge(daemon, self._tick(daemon))
            self._now += TICK / _PHASES
            self._deliver()

    def _tick(self, daemon: DaemonId) -> Iterator[Directed]:
        yield from self._members[daemon].tick(self._now)

    def _charge(self, daemon: DaemonId, work: Iterable[Directed]) -> None:
        """Do the work of a daemon, send its messages and note its time."""
        started = time.perf_counter_ns()
        sent = [(directed, len(encode(directed.message))) for directed in work]
        changed = self._members[daemon].changes()
        self.meter.busy_ns[daemon] += time.perf_counter_ns() - started
        for directed, size in sent:
            self._send(daemon, directed, size + FRAME_BYTES + PACKET_BYTES)
        for subject in changed:
            self._learnt(daemon, subject)

    def _send(self, source: DaemonId, directed: Directed, size: int) -> None:
        far = self._regions[source] != self._regions[directed.daemon]
        self.meter.messages += 1
        self.meter.sent[source] += size
        if far:
            self.meter.between += size
        if self._rng.random() < self.plan.loss:
            return
        self.meter.received[directed.daemon] += size
        latency = FAR_LATENCY if far else NEAR_LATENCY
        arrival = self._now + latency
        heapq.heappush(
            self._wire, (arrival, next(self._order), source, directed)
        )

    def _deliver(self) -> None:
        while self._wire and self._wire[0][0] <= self._now:
            _arrival, _order, source, directed = heapq.heappop(self._wire)
            payload = encode(directed.message)
            self._charge(
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
        upstreams[index] = msgspec.structs.replace(old, state=_other(old.state))
        members.set_own(tuple(upstreams), leaving=False, now=self._now)
        self._begin(daemon)

    def _restart(self) -> None:
        daemon = self._rng.choice(self._ids)
        old = self._members[daemon].own
        record = msgspec.structs.replace(
            old, incarnation=Incarnation(old.incarnation + 1), sequence=0
        )
        started = Members(record, random.Random(self._rng.random()))
        self._members[daemon] = started
        self.meter.restarts += 1
        self._begin(daemon)
        for spread in self.spreads.values():
            spread.waiting.discard(daemon)
        near = [
            peer
            for peer in self._ids
            if self._regions[peer] == record.region and peer != daemon
        ]
        for peer in self._rng.sample(near, min(_SEEDS, len(near))):
            self._charge(daemon, started.connected(peer, self._now))
            self._charge(peer, self._members[peer].connected(daemon, self._now))

    def _begin(self, daemon: DaemonId) -> None:
        self.spreads[daemon] = _Spread(self._now, set(self._ids) - {daemon})

    def _learnt(self, daemon: DaemonId, subject: DaemonId) -> None:
        copy = self._members[daemon].live().get(subject)
        if copy is None:
            self.meter.false_losses += 1
            return
        spread = self.spreads.get(subject)
        if spread is None:
            return
        own = self._members[subject].own
        if (copy.incarnation, copy.sequence) != (own.incarnation, own.sequence):
            return
        spread.waiting.discard(daemon)
        if not spread.waiting:
            self.known_s.append((self._now - spread.start) / _SECOND)
            self.spreads.pop(subject)

    def _cost(self) -> Cost:
        plan = self.plan
        meter = self.meter
        whole = plan.daemons * plan.seconds
        busiest = max(meter.busy_ns.values()) / plan.seconds
        heaviest = max(
            meter.sent[daemon] + meter.received[daemon] for daemon in self._ids
        )
        known = sorted(self.known_s) or [0]
        return Cost(
            daemons=plan.daemons,
            loss=plan.loss,
            seconds=plan.seconds,
            changes=len(self.known_s),
            restarts=meter.restarts,
            unfinished=len(self.spreads),
            false_losses=meter.false_losses,
            messages_a_second=meter.messages / whole,
            sent_bytes_a_second=meter.sent.total() / whole,
            received_bytes_a_second=meter.received.total() / whole,
            peak_bytes_a_second=heaviest / plan.seconds,
            core_pct=100 * meter.busy_ns.total() / whole / 1e9,
            peak_core_pct=100 * busiest / 1e9,
            between_regions_bytes_a_second=meter.between / plan.seconds,
            known_p50_s=_quantile(known, 0.5),
            known_p99_s=_quantile(known, 0.99),
            known_max_s=known[-1],
        )


def measure(plan: Plan) -> Cost:
    """Run one plan."""
    return _Run(plan).go()


def fit(costs: list[Cost]) -> dict[str, dict[str, float]]:
    """Return slope a daemon and intercept of the costs."""
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
    """Return the lines of the text report."""
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
        length = min(max(seconds, CHANGES / rate), LONGEST_S)
        yield Plan(size, loss, length, WARM_UP_S, SEED)


@click.command()
@click.option('--daemons', multiple=True, type=click.IntRange(2, 1000))
@click.option('--loss', multiple=True, type=click.FloatRange(0, 0.5))
@click.option('--seconds', default=60.0, type=click.FloatRange(1, LONGEST_S))
@click.option('--json', 'output', type=click.File('w'))
def slopes(**options: Any) -> None:
    """Measure the cost of membership against the number of daemons."""
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
    centre = index % CENTRES
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


def _other(state: UpstreamState) -> UpstreamState:
    if state is UpstreamState.serving:
        return UpstreamState.sick
    return UpstreamState.serving


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
