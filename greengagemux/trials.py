"""Event loop of the detection experiments: one service on a fake clock.

The decisions are those of ``selection``, ``detectors`` and ``healthstates``; the
upstreams, the streams and the announcements are small fakes.
"""

import heapq
import itertools
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

from .baselines import Baselines, Expectation
from .selection import Candidate, Nearness, UsableView, age_loads, choose
from .detectors import ErrorRates, Sample, SampleKind
from .faults import HANGING, ROUTES, FakeUpstream, FaultKind, Result, Route
from .ids import DaemonId, ServiceName, UpstreamId
from .messages import Load, UpstreamState
from .policies import NaivePolicy, HealthPolicy
from .healthstates import StateChange, HealthTracker

SERVICE = ServiceName('ledger')
FLOOR_PCT = 70
ENTRANCES = 3
TICK_S = 0.1
LATENCY_S = 0.001
ANNOUNCE_MIN_S = 0.05
ANNOUNCE_MAX_S = 0.15
DEADLINE_S = 2
QUEUE_LIMIT = 8
TRIES = 3
PING_INTERVAL_S = 0.25
PING_LIMIT_S = 0.5
IDEMPOTENT_SHARE = 0.8
PROBE_S = 0.025
PROBE_LIMIT_S = 0.25

_Action = Callable[..., None]
_Due = tuple[float, int, _Action, tuple[Any, ...]]

_ANSWERED = frozenset((SampleKind.success, SampleKind.error))
_UP = UpstreamState.serving
_SICK = UpstreamState.sick


@dataclass(frozen=True, slots=True)
class Setup:
    """One run. ``rate`` is requests a second for each upstream."""

    upstreams: int
    slots: int
    rate: float
    fault: FaultKind
    seed: int
    naive: bool = False
    warm_s: float = 20
    watch_s: float = 20
    disturbed: bool = False
    rates: ErrorRates = ErrorRates()


@dataclass(slots=True)
class Tally:
    """Result of one run; ``detected_ms`` is None when never detected."""

    detected_ms: float | None = None
    hurt: int = 0
    false_ejections: int = 0
    false_suspicions: int = 0
    requests: int = 0
    lost: int = 0
    notes: list[str] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Request:
    route: Route
    idempotent: bool
    ingress: '_Entrance'
    deadline_s: float
    tries: int = 0
    avoid: set[UpstreamId] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class _Call:
    request: _Request
    hop: 'Egress'
    candidate: Candidate
    started_s: float
    fresh: bool
    ends: Result
    expected: Expectation
    done: bool = False
    counted: bool = False
    paused_s: float = 0


@dataclass(slots=True, eq=False)
class _Entrance:
    place: int
    view: UsableView
    baselines: Baselines = field(default_factory=Baselines)


@dataclass(slots=True, eq=False)
class Egress:
    """One daemon with the fake upstream beside it."""

    upstream: UpstreamId
    policy: HealthPolicy
    fake: FakeUpstream
    slots: int
    state: UpstreamState = _UP
    running: int = 0
    queue: deque[tuple[_Request, Candidate]] = field(default_factory=deque)
    calls: list[_Call] = field(default_factory=list)
    stalled_s: float = 0
    service_ms: float = 30


class Trial:
    """One run of a setup."""

    def __init__(self, setup: Setup) -> None:
        """Build the daemons and their views."""
        self.setup = setup
        self.tally = Tally()
        self.now_s = float(0)
        self.fault_s = setup.warm_s
        self.end_s = setup.warm_s + setup.watch_s
        self.rng = Random(setup.seed)
        self.draws = Random(setup.seed + 1)
        self.slow_all = float(1)
        self.rate_factor = float(1)
        self._queue: list[_Due] = []
        self._sequence = itertools.count()
        names = [UpstreamId(f'u{each:02}') for each in range(setup.upstreams)]
        self.hops = {name: self._hop(name) for name in names}
        self.sick = self.hops[names[setup.seed % len(names)]]
        self.sick.fake.fault = setup.fault
        self.sick.fake.fault_s = self.fault_s
        self.entrances = [
            self._entrance(place, names) for place in range(ENTRANCES)
        ]

    def run(self) -> Tally:
        """Run to the end and return the result."""
        self.after(0, self._arrive)
        self.after(0, self._tick)
        self.after(1, self._age)
        self.after(self.fault_s, self._start_fault)
        queue = self._queue
        while queue:
            due_s, _, action, arguments = heapq.heappop(queue)
            if due_s > self.end_s:
                break
            self.now_s = due_s
            action(*arguments)
        return self.tally

    def after(
        self, delay_s: float, action: _Action, *arguments: object
    ) -> None:
        """Run an action later."""
        due = (self.now_s + delay_s, next(self._sequence), action, arguments)
        heapq.heappush(self._queue, due)

    def now(self) -> timedelta:
        """Return the time on the fake clock."""
        return timedelta(seconds=self.now_s)

    def _hop(self, name: UpstreamId) -> Egress:
        setup = self.setup
        fake = FakeUpstream(Random(f'{setup.seed} {name}'))
        if setup.naive:
            phase = timedelta(seconds=self.rng.uniform(-10, 0))
            naive = NaivePolicy(name, SERVICE, phase)
            return Egress(name, naive, fake, setup.slots)
        verdicts = HealthTracker(timedelta(seconds=TICK_S))
        verdicts.configure(SERVICE, setup.rates)
        # The upstream started long before the run.
        start = timedelta(minutes=-1)
        verdicts.announced(name, SERVICE, setup.slots, _UP, start)
        return Egress(name, verdicts, fake, setup.slots)

    def _entrance(self, place: int, names: list[UpstreamId]) -> _Entrance:
        view = UsableView(FLOOR_PCT)
        for name in names:
            view.put(
                Candidate(
                    name,
                    DaemonId(name),
                    SERVICE,
                    self.setup.slots,
                    _UP,
                    nearness=Nearness.same_data_centre,
                )
            )
        return _Entrance(place, view)

    # Requests at the entrance.

    def _arrive(self) -> None:
        total = self.setup.rate * len(self.hops) * self.rate_factor
        self.after(self.rng.expovariate(total), self._arrive)
        self.tally.requests += 1
        request = _Request(
            self.rng.choices(ROUTES, [each.share for each in ROUTES])[0],
            self.rng.random() < IDEMPOTENT_SHARE,
            self.entrances[int(self.rng.random() * ENTRANCES)],
            self.now_s + DEADLINE_S,
        )
        self._place(request)

    def _place(self, request: _Request) -> None:
        request.tries += 1
        pick = None
        if request.tries <= TRIES and self.now_s < request.deadline_s:
            choices = request.ingress.view.current()
            pick = choose(
                choices,
                self.draws,
                request.avoid,
                idempotent=request.idempotent,
            )
        if pick is None:
            self.tally.lost += 1
            return
        pick.candidate.outstanding += 1
        self.after(LATENCY_S, self._reach, request, pick.candidate, pick.forced)

    def _reach(
        self, request: _Request, candidate: Candidate, forced: bool
    ) -> None:
        hop = self.hops[candidate.upstream]
        if self.now_s < hop.stalled_s:
            wait_s = hop.stalled_s - self.now_s
            self.after(wait_s, self._reach, request, candidate, forced)
            return
        if self._cut(request.ingress, hop):
            self.tally.hurt += 1
            self.after(PING_LIMIT_S, self._again, request, candidate)
            return
        taken = hop.policy.admits(
            hop.upstream,
            hop.running,
            idempotent=request.idempotent,
            forced=forced,
        )
        if not taken or len(hop.queue) >= QUEUE_LIMIT:
            self.after(LATENCY_S, self._again, request, candidate)
            return
        hop.queue.append((request, candidate))
        self._serve(hop)

    def _again(self, request: _Request, candidate: Candidate) -> None:
        candidate.outstanding -= 1
        request.avoid.add(candidate.upstream)
        self._place(request)

    def _cut(self, ingress: _Entrance, hop: Egress) -> bool:
        partition = self.setup.fault is FaultKind.partition
        return partition and ingress.place == 0 and hop.fake.faulty(self.now_s)

    def _answer(self, call: _Call, service_ms: float, load: Load) -> None:
        call.candidate.outstanding -= 1
        call.candidate.report(load)
        kind = call.ends.kind
        if kind in _ANSWERED:
            call.request.ingress.baselines.add(
                SERVICE,
                call.request.route.name,
                call.hop.upstream,
                service_ms,
                error=kind is SampleKind.error,
            )

    # Calls at the last hop.

    def _serve(self, hop: Egress) -> None:
        while hop.queue and hop.running < hop.slots:
            request, candidate = hop.queue.popleft()
            if self.now_s >= request.deadline_s:
                candidate.outstanding -= 1
                self.tally.lost += 1
                continue
            self._call(hop, request, candidate)

    def _call(
        self, hop: Egress, request: _Request, candidate: Candidate
    ) -> None:
        hop.running += 1
        fresh, silent = hop.fake.connect()
        ends = hop.fake.call(request.route, self.now_s, self.slow_all)
        if silent:
            ends = Result(SampleKind.success, math.inf, hurt=True)
        self.tally.hurt += int(ends.hurt)
        expected = request.ingress.baselines.expect(
            SERVICE, request.route.name, hop.upstream
        )
        call = _Call(request, hop, candidate, self.now_s, fresh, ends, expected)
        hop.calls.append(call)
        if math.isfinite(ends.took_s):
            self.after(ends.took_s, self._finish, call)
        limit_s = self._limit_s(call)
        if limit_s < ends.took_s:
            self.after(limit_s, self._check_silence, call)
        self.after(request.deadline_s - self.now_s, self._expire, call)

    def _limit_s(self, call: _Call) -> float:
        limit_ms = call.hop.policy.silence_limit_ms(
            call.hop.upstream,
            call.request.route.name,
            call.expected.service_ms,
            timedelta(seconds=call.started_s),
            self.now(),
        )
        return limit_ms / 1000

    def _finish(self, call: _Call) -> None:
        if call.done or not math.isfinite(call.ends.took_s):
            return
        if call.paused_s:
            self.after(call.paused_s, self._finish, call)
            call.paused_s = 0
            return
        if self._postponed(call.hop, self._finish, call):
            return
        hop = call.hop
        kind = call.ends.kind
        service_ms = (self.now_s - call.started_s) * 1000
        if kind not in {SampleKind.refused, SampleKind.reset}:
            hop.fake.idle += 1
        self._end(call)
        if not call.counted:
            self._observe(call, kind, service_ms)
        if kind is SampleKind.success:
            hop.service_ms += 0.1 * (service_ms - hop.service_ms)
        load = Load(
            hop.running, len(hop.queue), hop.slots, hop.service_ms, hop.state
        )
        self.after(LATENCY_S, self._answer, call, service_ms, load)

    def _check_silence(self, call: _Call) -> None:
        if call.done or call.counted:
            return
        if self._postponed(call.hop, self._check_silence, call):
            return
        age_s = self.now_s - call.started_s
        limit_s = self._limit_s(call)
        if age_s < limit_s - 1e-6:
            self.after(limit_s - age_s, self._check_silence, call)
            return
        call.counted = True
        self._observe(call, SampleKind.silent, age_s * 1000)
        # Idle connections may be silent too.
        call.hop.fake.close_idle()
        if call.request.idempotent:
            self._end(call)
            self.after(LATENCY_S, self._again, call.request, call.candidate)
            return
        # A silent write must not keep out the requests that would show
        # whether the upstream or only the connection is silent.
        call.hop.running -= 1
        self._serve(call.hop)

    def _expire(self, call: _Call) -> None:
        if call.done:
            return
        self._end(call)
        call.candidate.outstanding -= 1
        self.tally.lost += 1

    def _end(self, call: _Call) -> None:
        call.done = True
        call.hop.calls.remove(call)
        call.hop.running -= int(not call.counted or call.request.idempotent)
        self._serve(call.hop)

    def _postponed(
        self, hop: Egress, action: Callable[[_Call], None], call: _Call
    ) -> bool:
        if self.now_s >= hop.stalled_s:
            return False
        self.after(hop.stalled_s - self.now_s, action, call)
        return True

    # Health.

    def _observe(
        self, call: _Call, kind: SampleKind, service_ms: float
    ) -> None:
        sample = Sample(
            kind,
            call.request.route.name,
            service_ms,
            call.expected.service_ms,
            call.fresh,
            call.expected.error_share,
        )
        hop = call.hop
        changes = hop.policy.observe(hop.upstream, sample, self.now())
        self.announce(hop, changes)

    def announce(self, hop: Egress, changes: list[StateChange]) -> None:
        """Tell all entrances and last hops of changed states."""
        for change in changes:
            self._count(hop, change)
            hop.state = change.state
            delay_s = self.draws.uniform(ANNOUNCE_MIN_S, ANNOUNCE_MAX_S)
            self.after(delay_s, self._spread, hop, change)

    def _count(self, hop: Egress, change: StateChange) -> None:
        guilty = hop is self.sick and self.now_s >= self.fault_s
        excused = self.setup.fault in {
            FaultKind.none,
            FaultKind.silent,
            FaultKind.partition,
        }
        if change.state is _SICK and guilty and not excused:
            if self.tally.detected_ms is None:
                late_s = self.now_s - self.fault_s
                self.tally.detected_ms = late_s * 1000
        elif change.state is _SICK:
            self.tally.false_ejections += 1
            self.tally.notes.append(
                f'{self.now_s:.2f} s {hop.upstream}: {change.reason}'
            )
        elif change.state is UpstreamState.suspect and not guilty:
            self.tally.false_suspicions += 1

    def _spread(self, hop: Egress, change: StateChange) -> None:
        for ingress in self.entrances:
            ingress.view.update(hop.upstream, change.state, change.severity)
        for other in self.hops.values():
            if isinstance(other.policy, HealthTracker):
                states = (
                    each.state
                    for each in self.hops.values()
                    if each is not other
                )
                other.policy.update_peer_states(SERVICE, states)

    def _tick(self) -> None:
        self.after(TICK_S, self._tick)
        now = self.now()
        for hop in self.hops.values():
            if self.now_s < hop.stalled_s:
                continue
            changes = hop.policy.tick(now)
            if changes:
                self.announce(hop, changes)
            if hop.policy.may_probe(hop.upstream, now):
                alive = hop.fake.reports_healthy(
                    self.now_s, lying=self.setup.disturbed
                )
                delay_s = PROBE_S if alive else PROBE_LIMIT_S
                self.after(delay_s, self._probed, hop, alive)

    def _probed(self, hop: Egress, alive: bool) -> None:
        changes = hop.policy.probed(hop.upstream, alive=alive, now=self.now())
        self.announce(hop, changes)

    def _age(self) -> None:
        self.after(1, self._age)
        for ingress in self.entrances:
            age_loads(ingress.view.candidates.values())

    def _start_fault(self) -> None:
        fault = self.setup.fault
        fake = self.sick.fake
        if fault is FaultKind.silent:
            fake.silent_idle = fake.idle
        elif fault is FaultKind.partition:
            wait_s = PING_LIMIT_S + self.draws.uniform(0, PING_INTERVAL_S)
            self.after(wait_s, self._cut_noticed)
        elif fault is FaultKind.crashed or fault in HANGING:
            self._strike(HANGING.get(fault, 1))

    def _strike(self, share: float) -> None:
        if self.setup.fault is FaultKind.crashed:
            self.sick.fake.close_idle()
            ends = Result(SampleKind.reset, 0, hurt=True)
        else:
            ends = Result(SampleKind.success, math.inf, hurt=True)
        for call in list(self.sick.calls):
            if self.draws.random() >= share:
                continue
            self.tally.hurt += 1
            call.ends = ends
            age_s = self.now_s - call.started_s
            wait_s = max(self._limit_s(call) - age_s, 0)
            self.after(wait_s, self._check_silence, call)
            self.after(0, self._finish, call)

    def _cut_noticed(self) -> None:
        daemon = DaemonId(self.sick.upstream)
        self.entrances[0].view.set_reachable(daemon, reachable=False)
        self.tally.detected_ms = (self.now_s - self.fault_s) * 1000
