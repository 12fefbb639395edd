"""Event loop of the detection experiments: one service on a fake clock.

Upstream selection, fault detection and health states are those of
``selection``, ``detectors`` and ``healthstates``. Upstreams, streams and the
announcement of health states are simulated.
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
#: Number of ingress daemons.
INGRESSES = 3
TICK_S = 0.1
#: One-way latency between daemons.
LATENCY_S = 0.001
#: Bounds of the time until all daemons have received a changed health state.
ANNOUNCE_MIN_S = 0.05
ANNOUNCE_MAX_S = 0.15
DEADLINE_S = 2
QUEUE_LIMIT = 8
MAX_ATTEMPTS = 3
PING_INTERVAL_S = 0.25
#: A daemon that does not answer a ping within this time is unreachable.
PING_LIMIT_S = 0.5
IDEMPOTENT_SHARE = 0.8
#: Durations of a health probe that succeeds and of one that fails.
PROBE_S = 0.025
PROBE_LIMIT_S = 0.25

_Action = Callable[..., None]
_Due = tuple[float, int, _Action, tuple[Any, ...]]

_ANSWERED = frozenset((SampleKind.success, SampleKind.error))
_UP = UpstreamState.serving
_SICK = UpstreamState.sick


@dataclass(frozen=True, slots=True)
class Setup:
    """Parameters of one run.

    ``rate`` is in requests a second for each upstream. The fault starts after
    ``warm_up_s``; the run ends ``observation_s`` later.
    """

    upstreams: int
    slots: int
    rate: float
    fault: FaultKind
    seed: int
    naive: bool = False
    warm_up_s: float = 20
    observation_s: float = 20
    disturbed: bool = False
    rates: ErrorRates = ErrorRates()


@dataclass(slots=True)
class Tally:
    """Result of one run.

    ``detected_ms`` is the time from the start of the fault to its detection,
    or None if it was not detected. ``affected`` counts the requests that the
    fault made fail, hang or slow; ``lost`` counts those without a response.
    """

    detected_ms: float | None = None
    affected: int = 0
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
    attempts: int = 0
    avoid: set[UpstreamId] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class _Call:
    request: _Request
    egress: 'Egress'
    candidate: Candidate
    started_s: float
    fresh: bool
    result: Result
    expected: Expectation
    done: bool = False
    silence_counted: bool = False
    paused_s: float = 0


@dataclass(slots=True, eq=False)
class _Entrance:
    index: int
    view: UsableView
    baselines: Baselines = field(default_factory=Baselines)


@dataclass(slots=True, eq=False)
class Egress:
    """An egress daemon with its fake upstream."""

    upstream: UpstreamId
    policy: HealthPolicy
    fake: FakeUpstream
    slots: int
    state: UpstreamState = _UP
    running: int = 0
    queue: deque[tuple[_Request, Candidate]] = field(default_factory=deque)
    calls: list[_Call] = field(default_factory=list)
    stalled_until_s: float = 0
    service_ms: float = 30


class Trial:
    """Simulation of one run."""

    def __init__(self, setup: Setup) -> None:
        """Create the daemons, the upstreams and the initial member views."""
        self.setup = setup
        self.tally = Tally()
        self.now_s = float(0)
        self.fault_start_s = setup.warm_up_s
        self.end_s = setup.warm_up_s + setup.observation_s
        self.rng = Random(setup.seed)
        self.fleet_rng = Random(setup.seed + 1)
        self.slowdown = float(1)
        self.rate_factor = float(1)
        self._queue: list[_Due] = []
        self._sequence = itertools.count()
        names = [UpstreamId(f'u{each:02}') for each in range(setup.upstreams)]
        self.egresses = {name: self._build_egress(name) for name in names}
        self.faulty_egress = self.egresses[names[setup.seed % len(names)]]
        self.faulty_egress.fake.fault = setup.fault
        self.faulty_egress.fake.fault_start_s = self.fault_start_s
        self.ingresses = [
            self._build_ingress(index, names) for index in range(INGRESSES)
        ]

    def run(self) -> Tally:
        """Simulate until the end of the observation and return the result."""
        self.after(0, self._arrive)
        self.after(0, self._tick)
        self.after(1, self._age_loads)
        self.after(self.fault_start_s, self._start_fault)
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
        """Schedule an action after a delay."""
        due = (self.now_s + delay_s, next(self._sequence), action, arguments)
        heapq.heappush(self._queue, due)

    def now(self) -> timedelta:
        """Return the time on the fake clock."""
        return timedelta(seconds=self.now_s)

    def _build_egress(self, name: UpstreamId) -> Egress:
        setup = self.setup
        fake = FakeUpstream(Random(f'{setup.seed} {name}'))
        if setup.naive:
            phase = timedelta(seconds=self.rng.uniform(-10, 0))
            naive = NaivePolicy(name, SERVICE, phase)
            return Egress(name, naive, fake, setup.slots)
        health_tracker = HealthTracker(timedelta(seconds=TICK_S))
        health_tracker.configure(SERVICE, setup.rates)
        # The upstream has been serving for a minute when the run starts.
        start = timedelta(minutes=-1)
        health_tracker.announced(name, SERVICE, setup.slots, _UP, start)
        return Egress(name, health_tracker, fake, setup.slots)

    def _build_ingress(self, index: int, names: list[UpstreamId]) -> _Entrance:
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
        return _Entrance(index, view)

    # Requests at the ingress.

    def _arrive(self) -> None:
        total = self.setup.rate * len(self.egresses) * self.rate_factor
        self.after(self.rng.expovariate(total), self._arrive)
        self.tally.requests += 1
        request = _Request(
            self.rng.choices(ROUTES, [each.share for each in ROUTES])[0],
            self.rng.random() < IDEMPOTENT_SHARE,
            self.ingresses[int(self.rng.random() * INGRESSES)],
            self.now_s + DEADLINE_S,
        )
        self._dispatch(request)

    def _dispatch(self, request: _Request) -> None:
        request.attempts += 1
        selection = None
        if request.attempts <= MAX_ATTEMPTS and self.now_s < request.deadline_s:
            candidates = request.ingress.view.current()
            selection = choose(
                candidates,
                self.fleet_rng,
                request.avoid,
                idempotent=request.idempotent,
            )
        if selection is None:
            self.tally.lost += 1
            return
        selection.candidate.outstanding += 1
        self.after(
            LATENCY_S,
            self._arrive_at_egress,
            request,
            selection.candidate,
            selection.forced,
        )

    def _arrive_at_egress(
        self, request: _Request, candidate: Candidate, forced: bool
    ) -> None:
        egress = self.egresses[candidate.upstream]
        if self.now_s < egress.stalled_until_s:
            wait_s = egress.stalled_until_s - self.now_s
            self.after(
                wait_s, self._arrive_at_egress, request, candidate, forced
            )
            return
        if self._is_partitioned(request.ingress, egress):
            self.tally.affected += 1
            self.after(PING_LIMIT_S, self._retry, request, candidate)
            return
        admitted = egress.policy.admits(
            egress.upstream,
            egress.running,
            idempotent=request.idempotent,
            forced=forced,
        )
        if not admitted or len(egress.queue) >= QUEUE_LIMIT:
            self.after(LATENCY_S, self._retry, request, candidate)
            return
        egress.queue.append((request, candidate))
        self._serve(egress)

    def _retry(self, request: _Request, candidate: Candidate) -> None:
        candidate.outstanding -= 1
        request.avoid.add(candidate.upstream)
        self._dispatch(request)

    def _is_partitioned(self, ingress: _Entrance, egress: Egress) -> bool:
        partition = self.setup.fault is FaultKind.partition
        return (
            partition and ingress.index == 0 and egress.fake.faulty(self.now_s)
        )

    def _answer(self, call: _Call, service_ms: float, load: Load) -> None:
        call.candidate.outstanding -= 1
        call.candidate.report(load)
        kind = call.result.kind
        if kind in _ANSWERED:
            call.request.ingress.baselines.add(
                SERVICE,
                call.request.route.name,
                call.egress.upstream,
                service_ms,
                error=kind is SampleKind.error,
            )

    # Calls at the egress.

    def _serve(self, egress: Egress) -> None:
        while egress.queue and egress.running < egress.slots:
            request, candidate = egress.queue.popleft()
            if self.now_s >= request.deadline_s:
                candidate.outstanding -= 1
                self.tally.lost += 1
                continue
            self._call(egress, request, candidate)

    def _call(
        self, egress: Egress, request: _Request, candidate: Candidate
    ) -> None:
        egress.running += 1
        fresh, silent = egress.fake.connect()
        result = egress.fake.call(request.route, self.now_s, self.slowdown)
        if silent:
            result = Result(SampleKind.success, math.inf, affected=True)
        self.tally.affected += int(result.affected)
        expected = request.ingress.baselines.expect(
            SERVICE, request.route.name, egress.upstream
        )
        call = _Call(
            request, egress, candidate, self.now_s, fresh, result, expected
        )
        egress.calls.append(call)
        if math.isfinite(result.duration_s):
            self.after(result.duration_s, self._finish, call)
        limit_s = self._limit_s(call)
        if limit_s < result.duration_s:
            self.after(limit_s, self._check_silence, call)
        self.after(request.deadline_s - self.now_s, self._expire, call)

    def _limit_s(self, call: _Call) -> float:
        limit_ms = call.egress.policy.silence_limit_ms(
            call.egress.upstream,
            call.request.route.name,
            call.expected.service_ms,
            timedelta(seconds=call.started_s),
            self.now(),
        )
        return limit_ms / 1000

    def _finish(self, call: _Call) -> None:
        if call.done or not math.isfinite(call.result.duration_s):
            return
        if call.paused_s:
            self.after(call.paused_s, self._finish, call)
            call.paused_s = 0
            return
        if self._postpone_while_stalled(call.egress, self._finish, call):
            return
        egress = call.egress
        kind = call.result.kind
        service_ms = (self.now_s - call.started_s) * 1000
        if kind not in {SampleKind.refused, SampleKind.reset}:
            egress.fake.idle += 1
        self._end(call)
        if not call.silence_counted:
            self._observe(call, kind, service_ms)
        if kind is SampleKind.success:
            egress.service_ms += 0.1 * (service_ms - egress.service_ms)
        load = Load(
            egress.running,
            len(egress.queue),
            egress.slots,
            egress.service_ms,
            egress.state,
        )
        self.after(LATENCY_S, self._answer, call, service_ms, load)

    def _check_silence(self, call: _Call) -> None:
        if call.done or call.silence_counted:
            return
        if self._postpone_while_stalled(call.egress, self._check_silence, call):
            return
        age_s = self.now_s - call.started_s
        limit_s = self._limit_s(call)
        if age_s < limit_s - 1e-6:
            self.after(limit_s - age_s, self._check_silence, call)
            return
        call.silence_counted = True
        self._observe(call, SampleKind.silent, age_s * 1000)
        # The idle connections may be silent for the same reason.
        call.egress.fake.close_idle()
        if call.request.idempotent:
            self._end(call)
            self.after(LATENCY_S, self._retry, call.request, call.candidate)
            return
        # The slot is freed for further requests: their results show whether
        # the whole upstream is silent or only this connection.
        call.egress.running -= 1
        self._serve(call.egress)

    def _expire(self, call: _Call) -> None:
        if call.done:
            return
        self._end(call)
        call.candidate.outstanding -= 1
        self.tally.lost += 1

    def _end(self, call: _Call) -> None:
        call.done = True
        call.egress.calls.remove(call)
        call.egress.running -= int(
            not call.silence_counted or call.request.idempotent
        )
        self._serve(call.egress)

    def _postpone_while_stalled(
        self, egress: Egress, action: Callable[[_Call], None], call: _Call
    ) -> bool:
        if self.now_s >= egress.stalled_until_s:
            return False
        self.after(egress.stalled_until_s - self.now_s, action, call)
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
        egress = call.egress
        changes = egress.policy.observe(egress.upstream, sample, self.now())
        self.announce(egress, changes)

    def announce(self, egress: Egress, changes: list[StateChange]) -> None:
        """Count state changes and send them to all daemons after a delay."""
        for change in changes:
            self._count_change(egress, change)
            egress.state = change.state
            delay_s = self.fleet_rng.uniform(ANNOUNCE_MIN_S, ANNOUNCE_MAX_S)
            self.after(delay_s, self._propagate, egress, change)

    def _count_change(self, egress: Egress, change: StateChange) -> None:
        faulty_now = (
            egress is self.faulty_egress and self.now_s >= self.fault_start_s
        )
        no_ejection_expected = self.setup.fault in {
            FaultKind.none,
            FaultKind.silent,
            FaultKind.partition,
        }
        if change.state is _SICK and faulty_now and not no_ejection_expected:
            if self.tally.detected_ms is None:
                late_s = self.now_s - self.fault_start_s
                self.tally.detected_ms = late_s * 1000
        elif change.state is _SICK:
            self.tally.false_ejections += 1
            self.tally.notes.append(
                f'{self.now_s:.2f} s {egress.upstream}: {change.reason}'
            )
        elif change.state is UpstreamState.suspect and not faulty_now:
            self.tally.false_suspicions += 1

    def _propagate(self, egress: Egress, change: StateChange) -> None:
        for ingress in self.ingresses:
            ingress.view.update(egress.upstream, change.state, change.severity)
        for other in self.egresses.values():
            if isinstance(other.policy, HealthTracker):
                states = (
                    each.state
                    for each in self.egresses.values()
                    if each is not other
                )
                other.policy.update_peer_states(SERVICE, states)

    def _tick(self) -> None:
        self.after(TICK_S, self._tick)
        now = self.now()
        for egress in self.egresses.values():
            if self.now_s < egress.stalled_until_s:
                continue
            changes = egress.policy.tick(now)
            if changes:
                self.announce(egress, changes)
            if egress.policy.may_probe(egress.upstream, now):
                alive = egress.fake.reports_healthy(
                    self.now_s, false_reports=self.setup.disturbed
                )
                delay_s = PROBE_S if alive else PROBE_LIMIT_S
                self.after(delay_s, self._probed, egress, alive)

    def _probed(self, egress: Egress, alive: bool) -> None:
        changes = egress.policy.probed(
            egress.upstream, alive=alive, now=self.now()
        )
        self.announce(egress, changes)

    def _age_loads(self) -> None:
        self.after(1, self._age_loads)
        for ingress in self.ingresses:
            age_loads(ingress.view.candidates.values())

    def _start_fault(self) -> None:
        fault = self.setup.fault
        fake = self.faulty_egress.fake
        if fault is FaultKind.silent:
            fake.silent_idle = fake.idle
        elif fault is FaultKind.partition:
            wait_s = PING_LIMIT_S + self.fleet_rng.uniform(0, PING_INTERVAL_S)
            self.after(wait_s, self._detect_partition)
        elif fault is FaultKind.crashed or fault in HANGING:
            self._fail_running_calls(HANGING.get(fault, 1))

    def _fail_running_calls(self, share: float) -> None:
        if self.setup.fault is FaultKind.crashed:
            self.faulty_egress.fake.close_idle()
            result = Result(SampleKind.reset, 0, affected=True)
        else:
            result = Result(SampleKind.success, math.inf, affected=True)
        for call in list(self.faulty_egress.calls):
            if self.fleet_rng.random() >= share:
                continue
            self.tally.affected += 1
            call.result = result
            age_s = self.now_s - call.started_s
            wait_s = max(self._limit_s(call) - age_s, 0)
            self.after(wait_s, self._check_silence, call)
            self.after(0, self._finish, call)

    def _detect_partition(self) -> None:
        daemon = DaemonId(self.faulty_egress.upstream)
        self.ingresses[0].view.set_reachable(daemon, reachable=False)
        self.tally.detected_ms = (self.now_s - self.fault_start_s) * 1000
