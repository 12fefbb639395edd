"""States of the upstreams beside one daemon, from suspicion to readmission.

serving -> suspect (less weight) -> sick (ejected) -> probation (a few live
idempotent requests) -> serving. What the upstream announces of itself
(cold, draining) is laid over the state that the evidence gives.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from types import MappingProxyType

from .clocks import MILLISECOND, ZERO, ms
from .detectors import (
    Detector,
    ErrorRates,
    Reading,
    Sample,
    SampleKind,
)
from .ids import RouteName, ServiceName, UpstreamId
from .messages import UpstreamState

#: Shares of the limit at which an upstream becomes and stops being suspect.
SUSPECT_SHARE = 0.5
TRUST_SHARE = 0.2
#: Below this share, samples shape the picture of healthy behaviour.
LEARN_SHARE = 0.25
#: A service is in trouble as a whole from this share of its other upstreams.
TROUBLED_SHARE = 0.2
TROUBLED_MIN = 2
#: Slowness and errors eject only after this time as a suspect, in which
#: peers' suspicions arrive and show a trouble of the whole service.
CONFIRM_SEVERE = timedelta(milliseconds=200)
CONFIRM_MILD = timedelta(milliseconds=1000)
#: The same for mild sickness while any peer is suspect or sick; bounded, so
#: that two sick upstreams cannot shield each other.
CONFIRM_SHARED = timedelta(seconds=10)
#: A trouble of the service is assumed to last this long after its last sign.
TROUBLE_HOLD = timedelta(seconds=30)
#: Slowness of an upstream that has just started proves nothing.
SETTLE = timedelta(seconds=30)
#: First wait before readmission; doubled by each ejection that follows.
READMIT_DELAY = timedelta(seconds=10)
#: Further doublings after a failed probation, because each probation of an
#: upstream that is still sick costs a live request.
PROBATION_DOUBLINGS = 2
READMIT_DELAY_MAX = timedelta(minutes=5)
#: One earlier ejection is forgotten after this time in service.
FLAP_MEMORY = timedelta(minutes=10)
#: An upstream on probation is assumed to fail this share if still sick.
PROBATION_SHARE = 0.5
#: Evidence of sickness that ends probation; one failure that healthy
#: upstreams hardly show, or two slow answers.
PROBATION_LIMIT = 4
#: Each earlier ejection asks for as many successes again, up to this factor.
PROBATION_FACTOR_MAX = 4
#: Successes on probation for each further request at the same time.
PROBATION_STEP = 4
#: A probe costs 25 ms: at most 5% of a slot in doubt, 1% while sick.
PROBE_INTERVAL_SUSPECT = timedelta(milliseconds=500)
PROBE_INTERVAL_SICK = timedelta(milliseconds=2500)
PROBE_ROUTE = RouteName('probe')
#: A gap between two calls beyond a tick by this much is a stall.
STALL_MARGIN = timedelta(milliseconds=50)
STALLS_KEPT = 8
#: Default interval between calls of ``HealthTracker.tick``.
TICK = timedelta(milliseconds=100)

#: Kinds of samples that an overload of the whole service also produces.
_SHARED = frozenset((SampleKind.success, SampleKind.error))
_IN_SERVICE = frozenset((UpstreamState.serving, UpstreamState.suspect))
_TIMED = frozenset((SampleKind.success, SampleKind.silent))
_WEIGHTS = MappingProxyType(
    {
        SampleKind.wrong: 30,
        SampleKind.truncated: 30,
        SampleKind.refused: 20,
        SampleKind.reset: 20,
        SampleKind.silent: 20,
        SampleKind.error: 10,
    }
)
_CRASH_SEVERITY = 29


@dataclass(frozen=True, slots=True)
class StateChange:
    """A state to announce, with the reason for the time line."""

    upstream: UpstreamId
    service: ServiceName
    state: UpstreamState
    severity: int
    reason: str


@dataclass(slots=True)
class Case:
    """Everything known about one upstream."""

    upstream: UpstreamId
    service: ServiceName
    slots: int
    announced: UpstreamState
    detector: Detector
    since: timedelta
    started: timedelta
    state: UpstreamState = UpstreamState.serving
    told: tuple[UpstreamState, int] = (UpstreamState.serving, 0)
    severity: int = 0
    reason: str = 'no evidence'
    ejections: int = 0
    readmit_at: timedelta = ZERO
    recovery: float = 0
    passed: int = 0
    probed_at: timedelta | None = None
    probing: bool = False

    def effective(self) -> UpstreamState:
        """Return the state to announce."""
        if self.announced is UpstreamState.draining:
            return self.announced
        settled = self.state in {UpstreamState.sick, UpstreamState.probation}
        if self.announced is UpstreamState.cold and not settled:
            return self.announced
        return self.state

    def move(self, state: UpstreamState, reason: str, now: timedelta) -> None:
        """Enter a state."""
        self.state = state
        self.reason = reason
        self.since = now

    def eject(self, severity: int, reason: str, now: timedelta) -> None:
        """Enter the sick state and set the time of readmission."""
        if self.state is UpstreamState.probation:
            self.ejections += PROBATION_DOUBLINGS
        delay = min(READMIT_DELAY * 2**self.ejections, READMIT_DELAY_MAX)
        self.ejections += 1
        self.severity = severity
        self.readmit_at = now + delay
        self.move(UpstreamState.sick, reason, now)


@dataclass(slots=True)
class _Stalls:
    """Recent pauses of this process, noticed as gaps between calls."""

    tick: timedelta
    seen: timedelta | None = None
    spans: list[tuple[timedelta, timedelta]] = field(default_factory=list)

    def notice(self, now: timedelta) -> None:
        """Record a gap that is longer than ticks allow."""
        last = now if self.seen is None else self.seen
        if now - last > self.tick + STALL_MARGIN:
            self.spans = [*self.spans, (last, now)][-STALLS_KEPT:]
        self.seen = now

    def overlap_ms(self, start: timedelta, end: timedelta) -> float:
        """Return how much of a span this process was paused."""
        shared = (min(high, end) - max(low, start) for low, high in self.spans)
        total = sum((max(each, ZERO) for each in shared), start=ZERO)
        return total / MILLISECOND


class HealthTracker:
    """Health of all upstreams beside one daemon."""

    def __init__(self, tick: timedelta = TICK) -> None:
        """Expect ``tick`` to be called at this interval."""
        self._cases: dict[UpstreamId, Case] = {}
        self._rates: dict[ServiceName, ErrorRates] = {}
        self._troubled: dict[ServiceName, bool] = {}
        self._doubted: set[ServiceName] = set()
        self._trouble_until: dict[ServiceName, timedelta] = {}
        self._stalls = _Stalls(tick)

    def configure(self, service: ServiceName, rates: ErrorRates) -> None:
        """Set the error rates of a service; evidence so far is kept."""
        self._rates[service] = rates
        for case in self._cases.values():
            if case.service == service:
                case.detector.use(rates)

    def announced(
        self,
        upstream: UpstreamId,
        service: ServiceName,
        slots: int,
        state: UpstreamState,
        now: timedelta,
    ) -> list[StateChange]:
        """Take in what an upstream says of itself."""
        case = self._cases.get(upstream)
        if case is None or case.service != service:
            rates = self._rates.get(service, ErrorRates())
            case = Case(
                upstream,
                service,
                slots,
                state,
                Detector(rates),
                since=now,
                started=now,
            )
            self._cases[upstream] = case
        if state is UpstreamState.cold:
            case.started = now
        case.announced = state
        case.slots = slots
        return _changes(case)

    def retire(self, upstream: UpstreamId) -> None:
        """Forget an upstream that has left."""
        self._cases.pop(upstream, None)

    def update_peer_states(
        self,
        service: ServiceName,
        states: Iterable[UpstreamState],
    ) -> None:
        """Take in the announced states of the service's other upstreams.

        Call it when the membership view changes, not for each request.
        """
        listed = list(states)
        bad = {UpstreamState.suspect, UpstreamState.sick}
        troubled = sum(1 for state in listed if state in bad)
        enough = troubled >= TROUBLED_SHARE * len(listed)
        self._troubled[service] = enough and troubled >= TROUBLED_MIN
        self._doubted.discard(service)
        if troubled:
            self._doubted.add(service)

    def observe(
        self,
        upstream: UpstreamId,
        sample: Sample,
        now: timedelta,
    ) -> list[StateChange]:
        """Take in a sample; an unknown upstream is ignored."""
        self._stalls.notice(now)
        case = self._cases.get(upstream)
        if case is None:
            return []
        unpaused = self._without_stalls(sample, now)
        if unpaused is not sample and not _stays_silent(case, unpaused):
            return []
        self.weigh(case, unpaused, now)
        return _changes(case)

    def crashed(
        self,
        upstream: UpstreamId,
        now: timedelta,
    ) -> list[StateChange]:
        """Eject an upstream whose process has ended."""
        self._stalls.notice(now)
        case = self._cases.get(upstream)
        if case is None or case.state is UpstreamState.sick:
            return []
        case.started = now
        case.eject(_CRASH_SEVERITY, 'the process ended', now)
        return _changes(case)

    def tick(self, now: timedelta) -> list[StateChange]:
        """Move on what only time moves: readmission and flap memory."""
        self._stalls.notice(now)
        changes = []
        for case in self._cases.values():
            self.confirm_suspect(case, now)
            self.advance(case, now)
            changes += _changes(case)
        return changes

    def may_probe(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Tell whether the prober may send one probe now, and count it.

        Only upstreams in doubt are probed; live requests are the evidence
        for all others.
        """
        case = self._cases.get(upstream)
        if case is None or case.probing:
            return False
        interval = {
            UpstreamState.suspect: PROBE_INTERVAL_SUSPECT,
            UpstreamState.sick: PROBE_INTERVAL_SICK,
        }.get(case.state)
        if interval is None:
            return False
        if case.probed_at is not None and now - case.probed_at < interval:
            return False
        case.probed_at = now
        case.probing = True
        return True

    def probed(
        self,
        upstream: UpstreamId,
        *,
        alive: bool,
        now: timedelta,
    ) -> list[StateChange]:
        """Take in the end of a probe.

        Success proves nothing, because health reports may be wrong. Failure
        counts like a failed request on a new connection, or puts off the
        readmission of a sick upstream.
        """
        case = self._cases.get(upstream)
        if case is None:
            return []
        case.probing = False
        if alive:
            return []
        if case.state is UpstreamState.sick:
            again = now + PROBE_INTERVAL_SICK
            case.readmit_at = max(case.readmit_at, again)
            return []
        failed = Sample(SampleKind.silent, PROBE_ROUTE, 1, 0, fresh=True)
        return self.observe(upstream, failed, now)

    def admits(
        self,
        upstream: UpstreamId,
        running: int,
        *,
        idempotent: bool,
        forced: bool,
    ) -> bool:
        """Tell whether the last hop takes a request for this upstream.

        ``running`` is the number of requests it runs now. A refusal is
        "not run: sick", so the entrance places the request elsewhere.
        """
        case = self._cases.get(upstream)
        if case is None or case.effective() is UpstreamState.draining:
            return False
        if case.state is UpstreamState.sick:
            return forced
        if case.state is UpstreamState.probation and not forced:
            return idempotent and running < self.trial_limit(case)
        return True

    def silence_limit_ms(
        self,
        upstream: UpstreamId,
        route: RouteName,
        expected_ms: float,
        started: timedelta,
        now: timedelta,
    ) -> float:
        """Return the age at which a request counts as silent.

        Pauses of this process since ``started`` are added.
        """
        self._stalls.notice(now)
        paused = self._stalls.overlap_ms(started, now)
        detector = self._cases[upstream].detector
        return detector.silence_limit_ms(route, expected_ms) + paused

    def state(self, upstream: UpstreamId) -> UpstreamState:
        """Return the state to announce; raises ``KeyError`` if unknown."""
        return self._cases[upstream].effective()

    def severity(self, upstream: UpstreamId) -> int:
        """Return the severity to announce; raises ``KeyError`` if unknown."""
        return self._cases[upstream].told[1]

    def why(self, upstream: UpstreamId) -> str:
        """Explain the state of an upstream to an operator."""
        case = self._cases.get(upstream)
        if case is None:
            return f'{upstream}: not known to this daemon'
        now = self._stalls.seen or case.since
        return _explain(case, now, self.in_trouble(case.service, now))

    def trial_limit(self, case: Case) -> int:
        """Return how many requests run at once on probation."""
        return 1 + case.passed // PROBATION_STEP

    def settling(self, case: Case, now: timedelta) -> bool:
        """Return whether slowness proves nothing after a recent start."""
        return now - case.started < SETTLE

    def advance(self, case: Case, now: timedelta) -> None:
        """Move on what only time moves."""
        _readmit(case, now)

    def weigh(self, case: Case, sample: Sample, now: timedelta) -> None:
        """Take in a sample of a known upstream."""
        troubled = self.in_trouble(case.service, now)
        reading = case.detector.observe(
            sample,
            learn=_may_learn(case) and not troubled,
            hold=troubled,
            settling=self.settling(case, now),
        )
        shared = sample.kind in _SHARED
        excused = troubled and shared
        if excused:
            case.detector.soften(SUSPECT_SHARE)
            reading = case.detector.reading()
        wait = self._confirm(case.service, reading) if shared else ZERO
        if case.state is UpstreamState.probation and not excused:
            _judge_probation(case, sample, now)
        elif case.state in _IN_SERVICE:
            judge(case, reading, now, wait)

    def confirm_suspect(self, case: Case, now: timedelta) -> None:
        """Eject a suspect whose time has passed without another sample."""
        if case.state is not UpstreamState.suspect:
            return
        if self.in_trouble(case.service, now):
            return
        reading = case.detector.reading()
        judge(case, reading, now, self._confirm(case.service, reading))

    def _confirm(self, service: ServiceName, reading: Reading) -> timedelta:
        if reading.severe:
            return CONFIRM_SEVERE
        return CONFIRM_SHARED if service in self._doubted else CONFIRM_MILD

    def in_trouble(self, service: ServiceName, now: timedelta) -> bool:
        """Return whether the service as a whole is in trouble."""
        if self._troubled.get(service, False):
            self._trouble_until[service] = now + TROUBLE_HOLD
        return now < self._trouble_until.get(service, now)

    def _without_stalls(self, sample: Sample, now: timedelta) -> Sample:
        if sample.kind not in _TIMED or not self._stalls.spans:
            return sample
        start = now - ms(sample.service_ms)
        paused = self._stalls.overlap_ms(start, now)
        if not paused:
            return sample
        # The request may have ended at any time within the pause.
        return replace(sample, service_ms=max(sample.service_ms - paused, 0))


def _stays_silent(case: Case, sample: Sample) -> bool:
    """Tell whether a sample still proves something without the pauses."""
    if sample.kind is not SampleKind.silent:
        return True
    limit = case.detector.silence_limit_ms(sample.route, sample.expected_ms)
    return sample.service_ms >= limit


def _may_learn(case: Case) -> bool:
    calm = case.detector.reading().share < LEARN_SHARE
    return calm and case.effective() is UpstreamState.serving


def judge(
    case: Case,
    reading: Reading,
    now: timedelta,
    wait: timedelta,
) -> None:
    """Move an upstream in service by the state of its test."""
    suspected = case.state is UpstreamState.suspect
    waited = now - case.since if suspected else ZERO
    if reading.share >= 1 and waited >= wait:
        case.eject(severity_of(case), evidence_of(case, reading), now)
    elif reading.share >= SUSPECT_SHARE and not suspected:
        case.move(UpstreamState.suspect, evidence_of(case, reading), now)
    elif reading.share <= TRUST_SHARE and suspected:
        case.move(UpstreamState.serving, 'evidence receded', now)


def _judge_probation(case: Case, sample: Sample, now: timedelta) -> None:
    if sample.kind is SampleKind.success:
        slow = case.detector.slow_evidence(sample)
        healthy = case.detector.healthy_share(sample)
        well = math.log((1 - PROBATION_SHARE) / (1 - healthy))
        case.recovery += slow if slow > 0 else well
        case.passed += int(slow <= 0)
    else:
        healthy = case.detector.healthy_share(sample)
        case.recovery += math.log(PROBATION_SHARE / healthy)
    if case.recovery >= PROBATION_LIMIT:
        case.eject(severity_of(case), f'{sample.kind.value} on probation', now)
        return
    factor = min(case.ejections, PROBATION_FACTOR_MAX)
    if case.recovery <= case.detector.rates.recovery_limit() * factor:
        case.detector.reset()
        case.severity = 0
        case.move(UpstreamState.serving, f'{case.passed} successes', now)


def _readmit(case: Case, now: timedelta) -> None:
    if case.state is UpstreamState.sick and now >= case.readmit_at:
        case.detector.reset()
        case.recovery = 0
        case.passed = 0
        case.move(UpstreamState.probation, 'readmission delay passed', now)
    calm = case.state is UpstreamState.serving
    if calm and case.ejections and now - case.since >= FLAP_MEMORY:
        case.ejections -= 1
        case.since = now


def severity_of(case: Case) -> int:
    """Return the order of a sick upstream: a higher one is worse."""
    counts = case.detector.counts
    total = sum(counts.values()) or 1
    failed = {kind: counts.get(kind, 0) for kind in _WEIGHTS}
    worst = max(failed, key=lambda kind: (failed[kind], _WEIGHTS[kind]))
    if not failed[worst]:
        return 1
    return _WEIGHTS[worst] + 9 * sum(failed.values()) // total


def evidence_of(case: Case, reading: Reading) -> str:
    """Return the evidence against an upstream as text."""
    counts = case.detector.counts
    parts = [f'{count} {kind.value}' for kind, count in counts.items()]
    score = f'{reading.score:.1f} of {reading.limit:.1f}'
    return f'{reading.cause} {score} after {", ".join(parts)}'


def _explain(case: Case, now: timedelta, troubled: bool) -> str:
    reading = case.detector.reading()
    seconds = (now - case.since).total_seconds()
    lines = [
        f'{case.upstream} of {case.service} is {case.effective().value}'
        f' for {seconds:.1f} s: {case.reason}',
        f'evidence now: {evidence_of(case, reading)}',
    ]
    if case.state is UpstreamState.sick:
        wait = max((case.readmit_at - now).total_seconds(), 0)
        lines.append(f'probation in {wait:.1f} s')
    if case.ejections:
        lines.append(f'ejections remembered: {case.ejections}')
    if troubled:
        lines.append('service in trouble: slowness and errors are not counted')
    return '; '.join(lines)


def _changes(case: Case) -> list[StateChange]:
    state = case.effective()
    severity = case.severity if state is UpstreamState.sick else 0
    if case.told == (state, severity):
        return []
    case.told = (state, severity)
    change = StateChange(
        case.upstream,
        case.service,
        state,
        severity,
        case.reason,
    )
    return [change]
