"""Health states of the upstreams beside one daemon.

serving -> suspect (less weight) -> sick (ejected) -> probation (a few live
idempotent requests) -> serving. A draining announcement of the upstream
overrides the state that the detector gives; a cold one overrides serving and
suspect.
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

#: Shares of the detector's limit: an upstream becomes suspect at the first and
#: serving again at the second.
SUSPECT_SHARE = 0.5
CLEAR_SHARE = 0.2
#: Samples update the baseline of healthy behaviour while the detector's score
#: is below this share of its limit.
LEARN_SHARE = 0.25
#: A service is unhealthy as a whole if at least this share of its other
#: upstreams, and at least this many of them, are suspect or sick.
UNHEALTHY_PEERS_SHARE = 0.2
UNHEALTHY_PEERS_MIN = 2
#: Slowness and errors eject an upstream only after this time as suspect. In it
#: the states of the service's other upstreams arrive and show whether the
#: service as a whole is unhealthy.
CONFIRM_SEVERE = timedelta(milliseconds=200)
CONFIRM_MILD = timedelta(milliseconds=1000)
#: Used instead of ``CONFIRM_MILD`` while any other upstream of the service is
#: suspect or sick. Without this limit, two sick upstreams would keep each other
#: from ejection.
CONFIRM_SHARED = timedelta(seconds=10)
#: A service counts as unhealthy for this long after it last met the condition.
UNHEALTHY_HOLD = timedelta(seconds=30)
#: Slowness is ignored for this time after the start of an upstream.
WARM_UP = timedelta(seconds=30)
#: Delay from the first ejection to probation; each further ejection doubles it.
READMIT_DELAY = timedelta(seconds=10)
#: Further doublings after a failed probation, because each probation of an
#: upstream that is still sick costs a live request.
PROBATION_DOUBLINGS = 2
READMIT_DELAY_MAX = timedelta(minutes=5)
#: Ejections that are counted; the delay no longer grows after these.
EJECTIONS_MAX = math.ceil(math.log2(READMIT_DELAY_MAX / READMIT_DELAY))
#: Time in service after which one earlier ejection no longer counts.
FLAP_MEMORY = timedelta(minutes=10)
#: Share of requests that an upstream on probation fails if it is still sick.
PROBATION_SHARE = 0.5
#: Log-likelihood ratio at which an upstream on probation is ejected: one
#: failure of a kind that is rare on healthy upstreams, or two slow responses.
PROBATION_EJECT_SCORE = 4
#: The evidence that ends probation is multiplied by the number of ejections,
#: up to this factor.
PROBATION_FACTOR_MAX = 4
#: Successes on probation after which one more concurrent request is allowed.
PROBATION_STEP = 4
#: A probe takes 25 ms of an upstream's slot: at most 5% of the slot's time
#: while suspect, 1% while sick.
PROBE_INTERVAL_SUSPECT = timedelta(milliseconds=500)
PROBE_INTERVAL_SICK = timedelta(milliseconds=2500)
PROBE_ROUTE = RouteName('probe')
#: A gap between two calls that exceeds the tick interval by more than this is
#: a pause of this process.
STALL_MARGIN = timedelta(milliseconds=50)
#: Number of latest pauses that are remembered.
STALLS_KEPT = 8
#: Default interval between calls of ``HealthTracker.tick``.
TICK = timedelta(milliseconds=100)

#: Kinds of samples that an overload of the whole service also produces.
_OVERLOAD_KINDS = frozenset((SampleKind.success, SampleKind.error))
_IN_SERVICE = frozenset((UpstreamState.serving, UpstreamState.suspect))
_TIMED = frozenset((SampleKind.success, SampleKind.silent))
_SEVERITIES = MappingProxyType(
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
#: A process that has ended is assumed not to listen for this long, unless it
#: announces a new start.
CLOSED_TIME = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class StateChange:
    """A health state to announce, with its reason for the log."""

    upstream: UpstreamId
    service: ServiceName
    state: UpstreamState
    severity: int
    reason: str


@dataclass(slots=True)
class HealthRecord:
    """Health of one upstream.

    ``announced`` is the state that the upstream announced of itself,
    ``state`` the one that the detector gives, and ``last_published`` the
    state and severity that were last handed out as a ``StateChange``.
    ``since`` is when ``state`` was entered or, if later, when an earlier
    ejection expired. ``started`` is when the record was created, when the
    upstream last announced itself cold, or when its process ended while it was
    not sick, whichever is latest. ``recovery_score`` is a log-likelihood ratio
    on probation: positive speaks for a sick upstream, negative for a healthy
    one.
    """

    upstream: UpstreamId
    service: ServiceName
    slots: int
    announced: UpstreamState
    detector: Detector
    since: timedelta
    started: timedelta
    state: UpstreamState = UpstreamState.serving
    last_published: tuple[UpstreamState, int] = (UpstreamState.serving, 0)
    severity: int = 0
    reason: str = 'no evidence'
    ejections: int = 0
    readmit_at: timedelta = ZERO
    recovery_score: float = 0
    probation_successes: int = 0
    probed_at: timedelta | None = None
    probing: bool = False
    #: Until then its process counts as ended: nothing listens.
    closed_until: timedelta | None = None

    def effective(self) -> UpstreamState:
        """Return the state to announce."""
        if self.announced is UpstreamState.draining:
            return self.announced
        ejected = self.state in {UpstreamState.sick, UpstreamState.probation}
        if self.announced is UpstreamState.cold and not ejected:
            return self.announced
        return self.state

    def move(self, state: UpstreamState, reason: str, now: timedelta) -> None:
        """Enter a state."""
        self.state = state
        self.reason = reason
        self.since = now

    def eject(self, severity: int, reason: str, now: timedelta) -> None:
        """Enter the sick state and set the time at which probation begins."""
        if self.state is UpstreamState.probation:
            self.ejections += PROBATION_DOUBLINGS
        self.ejections = min(self.ejections, EJECTIONS_MAX)
        delay = min(READMIT_DELAY * 2**self.ejections, READMIT_DELAY_MAX)
        self.ejections += 1
        self.severity = severity
        self.readmit_at = now + delay
        self.move(UpstreamState.sick, reason, now)


@dataclass(slots=True)
class _Stalls:
    """Recent pauses of this process, detected as gaps between calls."""

    tick: timedelta
    last_call: timedelta | None = None
    spans: list[tuple[timedelta, timedelta]] = field(default_factory=list)

    def record_call(self, now: timedelta) -> None:
        """Record a pause if the time since the last call is too long."""
        last = now if self.last_call is None else self.last_call
        if now - last > self.tick + STALL_MARGIN:
            self.spans = [*self.spans, (last, now)][-STALLS_KEPT:]
        self.last_call = now

    def overlap_ms(self, start: timedelta, end: timedelta) -> float:
        """Return how many ms of a span this process was paused."""
        shared = (min(high, end) - max(low, start) for low, high in self.spans)
        total = sum((max(each, ZERO) for each in shared), start=ZERO)
        return total / MILLISECOND


class HealthTracker:
    """Health of all upstreams beside one daemon."""

    def __init__(self, tick: timedelta = TICK) -> None:
        """Expect ``tick`` to be called at this interval."""
        self._records: dict[UpstreamId, HealthRecord] = {}
        self._rates: dict[ServiceName, ErrorRates] = {}
        self._peers_unhealthy: dict[ServiceName, bool] = {}
        self._with_unhealthy_peer: set[ServiceName] = set()
        self._unhealthy_until: dict[ServiceName, timedelta] = {}
        self._stalls = _Stalls(tick)

    def configure(self, service: ServiceName, rates: ErrorRates) -> None:
        """Set the error rates of a service and keep the detectors' scores."""
        self._rates[service] = rates
        for record in self._records.values():
            if record.service == service:
                record.detector.set_error_rates(rates)

    def announced(
        self,
        upstream: UpstreamId,
        service: ServiceName,
        slots: int,
        state: UpstreamState,
        now: timedelta,
    ) -> list[StateChange]:
        """Update the state that an upstream announces of itself.

        A record is created if the upstream is unknown or changed its service.
        """
        record = self._records.get(upstream)
        if record is None or record.service != service:
            rates = self._rates.get(service, ErrorRates())
            record = HealthRecord(
                upstream,
                service,
                slots,
                state,
                Detector(rates),
                since=now,
                started=now,
            )
            self._records[upstream] = record
        if state is UpstreamState.cold:
            record.started = now
        record.announced = state
        record.slots = slots
        return _changes(record)

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream that has left."""
        self._records.pop(upstream, None)

    def update_peer_states(
        self,
        service: ServiceName,
        states: Iterable[UpstreamState],
    ) -> None:
        """Update the announced states of the service's other upstreams.

        Call it when the member table changes, not for each request.
        """
        listed = list(states)
        unhealthy = {UpstreamState.suspect, UpstreamState.sick}
        count = sum(1 for state in listed if state in unhealthy)
        enough = count >= UNHEALTHY_PEERS_SHARE * len(listed)
        self._peers_unhealthy[service] = enough and count >= UNHEALTHY_PEERS_MIN
        self._with_unhealthy_peer.discard(service)
        if count:
            self._with_unhealthy_peer.add(service)

    def observe(
        self,
        upstream: UpstreamId,
        sample: Sample,
        now: timedelta,
    ) -> list[StateChange]:
        """Evaluate a sample; a sample of an unknown upstream is ignored."""
        self._stalls.record_call(now)
        record = self._records.get(upstream)
        if record is None:
            return []
        unpaused = self._without_pauses(sample, now)
        if unpaused is not sample and not _still_counts(record, unpaused):
            return []
        self.evaluate(record, unpaused, now)
        return _changes(record)

    def crashed(
        self,
        upstream: UpstreamId,
        now: timedelta,
    ) -> list[StateChange]:
        """Eject an upstream whose process has ended."""
        self._stalls.record_call(now)
        record = self._records.get(upstream)
        if record is None:
            return []
        record.closed_until = now + CLOSED_TIME
        if record.state is UpstreamState.sick:
            return []
        record.started = now
        record.eject(_CRASH_SEVERITY, 'the process ended', now)
        return _changes(record)

    def tick(self, now: timedelta) -> list[StateChange]:
        """Apply the state changes that are due at this time."""
        self._stalls.record_call(now)
        changes = []
        for record in self._records.values():
            if record.closed_until is not None and now >= record.closed_until:
                record.closed_until = None
            self.confirm_suspect(record, now)
            self.advance(record, now)
            changes += _changes(record)
        return changes

    def may_probe(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Return whether a probe may be sent now, and if so record it as sent.

        Only suspect and sick upstreams are probed; for all others the live
        requests are the evidence.
        """
        record = self._records.get(upstream)
        if record is None or record.probing:
            return False
        interval = {
            UpstreamState.suspect: PROBE_INTERVAL_SUSPECT,
            UpstreamState.sick: PROBE_INTERVAL_SICK,
        }.get(record.state)
        if interval is None:
            return False
        if record.probed_at is not None and now - record.probed_at < interval:
            return False
        record.probed_at = now
        record.probing = True
        return True

    def probed(
        self,
        upstream: UpstreamId,
        *,
        alive: bool,
        now: timedelta,
    ) -> list[StateChange]:
        """Evaluate the result of a probe.

        Success is no evidence, because a gray upstream reports that it is
        healthy. Failure counts like a silent request on a new connection, or
        delays the probation of a sick upstream.
        """
        record = self._records.get(upstream)
        if record is None:
            return []
        record.probing = False
        if alive:
            return []
        if record.state is UpstreamState.sick:
            again = now + PROBE_INTERVAL_SICK
            record.readmit_at = max(record.readmit_at, again)
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
        """Return whether the egress accepts a request for this upstream.

        ``running`` is the number of requests that the upstream runs now.
        ``forced`` requests are accepted while it is sick or on probation, but
        not while it drains or its process has ended. On a refusal (``sick``,
        not run) the ingress selects another upstream.
        """
        record = self._records.get(upstream)
        if record is None or record.effective() is UpstreamState.draining:
            return False
        if record.closed_until is not None:
            return False
        if record.state is UpstreamState.sick:
            return forced
        if record.state is UpstreamState.probation and not forced:
            return idempotent and running < self.probation_concurrency(record)
        return True

    def silence_limit_ms(
        self,
        upstream: UpstreamId,
        route: RouteName,
        expected_ms: float,
        started: timedelta,
        now: timedelta,
    ) -> float:
        """Return the age in ms at which a request counts as silent.

        Pauses of this process since ``started`` are added. Raises
        ``KeyError`` if the upstream is unknown.
        """
        self._stalls.record_call(now)
        paused = self._stalls.overlap_ms(started, now)
        detector = self._records[upstream].detector
        return detector.silence_limit_ms(route, expected_ms) + paused

    def state(self, upstream: UpstreamId) -> UpstreamState:
        """Return the state to announce; raises ``KeyError`` if unknown."""
        return self._records[upstream].effective()

    def severity(self, upstream: UpstreamId) -> int:
        """Return the severity to announce; raises ``KeyError`` if unknown."""
        return self._records[upstream].last_published[1]

    def why(self, upstream: UpstreamId) -> str:
        """Return the health of an upstream and its evidence as text."""
        record = self._records.get(upstream)
        if record is None:
            return f'{upstream}: not known to this daemon'
        now = self._stalls.last_call or record.since
        return _explain(
            record, now, self.is_service_unhealthy(record.service, now)
        )

    def probation_concurrency(self, record: HealthRecord) -> int:
        """Return how many requests may run at once on probation."""
        return 1 + record.probation_successes // PROBATION_STEP

    def warming_up(self, record: HealthRecord, now: timedelta) -> bool:
        """Return whether the upstream started less than ``WARM_UP`` ago."""
        return now - record.started < WARM_UP

    def advance(self, record: HealthRecord, now: timedelta) -> None:
        """Apply the changes of one upstream that need no sample.

        These are the end of an ejection and the expiry of earlier ones.
        """
        _readmit(record, now)

    def evaluate(
        self, record: HealthRecord, sample: Sample, now: timedelta
    ) -> None:
        """Add a sample to the detector and update the upstream's state."""
        service_unhealthy = self.is_service_unhealthy(record.service, now)
        reading = record.detector.observe(
            sample,
            learn=_may_learn(record) and not service_unhealthy,
            service_unhealthy=service_unhealthy,
            warming_up=self.warming_up(record, now),
        )
        shared = sample.kind in _OVERLOAD_KINDS
        ignored = service_unhealthy and shared
        if ignored:
            record.detector.cap_scores(SUSPECT_SHARE)
            reading = record.detector.reading()
        confirm_after = (
            self._confirmation_time(record.service, reading) if shared else ZERO
        )
        if record.state is UpstreamState.probation and not ignored:
            _evaluate_probation(record, sample, now)
        elif record.state in _IN_SERVICE:
            apply_reading(record, reading, now, confirm_after)

    def confirm_suspect(self, record: HealthRecord, now: timedelta) -> None:
        """Update a suspect upstream without waiting for its next sample.

        It is ejected if its confirmation time has passed.
        """
        if record.state is not UpstreamState.suspect:
            return
        if self.is_service_unhealthy(record.service, now):
            return
        reading = record.detector.reading()
        apply_reading(
            record,
            reading,
            now,
            self._confirmation_time(record.service, reading),
        )

    def _confirmation_time(
        self, service: ServiceName, reading: Reading
    ) -> timedelta:
        if reading.severe:
            return CONFIRM_SEVERE
        return (
            CONFIRM_SHARED
            if service in self._with_unhealthy_peer
            else CONFIRM_MILD
        )

    def is_service_unhealthy(
        self, service: ServiceName, now: timedelta
    ) -> bool:
        """Return whether the service as a whole is unhealthy.

        It stays so for ``UNHEALTHY_HOLD`` after its peers have recovered.
        """
        if self._peers_unhealthy.get(service, False):
            self._unhealthy_until[service] = now + UNHEALTHY_HOLD
        return now < self._unhealthy_until.get(service, now)

    def _without_pauses(self, sample: Sample, now: timedelta) -> Sample:
        if sample.kind not in _TIMED or not self._stalls.spans:
            return sample
        start = now - ms(sample.service_ms)
        paused = self._stalls.overlap_ms(start, now)
        if not paused:
            return sample
        # The response may have arrived at any time within the pause.
        return replace(sample, service_ms=max(sample.service_ms - paused, 0))


def _still_counts(record: HealthRecord, sample: Sample) -> bool:
    """Return whether the sample still counts once pauses are subtracted.

    A silent one counts only if it is still above the silence limit.
    """
    if sample.kind is not SampleKind.silent:
        return True
    limit = record.detector.silence_limit_ms(sample.route, sample.expected_ms)
    return sample.service_ms >= limit


def _may_learn(record: HealthRecord) -> bool:
    low_score = record.detector.reading().share < LEARN_SHARE
    return low_score and record.effective() is UpstreamState.serving


def apply_reading(
    record: HealthRecord,
    reading: Reading,
    now: timedelta,
    confirm_after: timedelta,
) -> None:
    """Update the state of an upstream in service from its detector.

    ``confirm_after`` is the time that it must be suspect before an ejection.
    """
    suspected = record.state is UpstreamState.suspect
    waited = now - record.since if suspected else ZERO
    if reading.share >= 1 and waited >= confirm_after:
        record.eject(severity_of(record), evidence_of(record, reading), now)
    elif reading.share >= SUSPECT_SHARE and not suspected:
        record.move(UpstreamState.suspect, evidence_of(record, reading), now)
    elif reading.share <= CLEAR_SHARE and suspected:
        record.move(UpstreamState.serving, 'score fell to normal', now)


def _evaluate_probation(
    record: HealthRecord, sample: Sample, now: timedelta
) -> None:
    if sample.kind is SampleKind.success:
        slow = record.detector.slow_evidence(sample)
        healthy = record.detector.healthy_share(sample)
        success_evidence = math.log((1 - PROBATION_SHARE) / (1 - healthy))
        record.recovery_score += slow if slow > 0 else success_evidence
        record.probation_successes += int(slow <= 0)
    else:
        healthy = record.detector.healthy_share(sample)
        record.recovery_score += math.log(PROBATION_SHARE / healthy)
    if record.recovery_score >= PROBATION_EJECT_SCORE:
        record.eject(
            severity_of(record), f'{sample.kind.value} on probation', now
        )
        return
    factor = min(record.ejections, PROBATION_FACTOR_MAX)
    if record.recovery_score <= record.detector.rates.recovery_limit() * factor:
        record.detector.reset()
        record.severity = 0
        record.move(
            UpstreamState.serving,
            f'{record.probation_successes} successes',
            now,
        )


def _readmit(record: HealthRecord, now: timedelta) -> None:
    if record.state is UpstreamState.sick and now >= record.readmit_at:
        record.detector.reset()
        record.recovery_score = 0
        record.probation_successes = 0
        record.move(UpstreamState.probation, 'readmission delay passed', now)
    serving = record.state is UpstreamState.serving
    if serving and record.ejections and now - record.since >= FLAP_MEMORY:
        record.ejections -= 1
        record.since = now


def severity_of(record: HealthRecord) -> int:
    """Return the severity of a sick upstream; a higher one is worse.

    The most frequent kind of failure gives the tens, the share of failures
    the ones. It is 1 without any failure, for slowness.
    """
    counts = record.detector.counts
    total = sum(counts.values()) or 1
    failed = {kind: counts.get(kind, 0) for kind in _SEVERITIES}
    worst = max(failed, key=lambda kind: (failed[kind], _SEVERITIES[kind]))
    if not failed[worst]:
        return 1
    return _SEVERITIES[worst] + 9 * sum(failed.values()) // total


def evidence_of(record: HealthRecord, reading: Reading) -> str:
    """Return the detector's score and the counts of samples as text."""
    counts = record.detector.counts
    parts = [f'{count} {kind.value}' for kind, count in counts.items()]
    score = f'{reading.score:.1f} of {reading.limit:.1f}'
    return f'{reading.cause} {score} after {", ".join(parts)}'


def _explain(
    record: HealthRecord, now: timedelta, service_unhealthy: bool
) -> str:
    reading = record.detector.reading()
    seconds = (now - record.since).total_seconds()
    lines = [
        f'{record.upstream} of {record.service} is {record.effective().value}'
        f' for {seconds:.1f} s: {record.reason}',
        f'evidence now: {evidence_of(record, reading)}',
    ]
    if record.state is UpstreamState.sick:
        remaining_s = max((record.readmit_at - now).total_seconds(), 0)
        lines.append(f'probation in {remaining_s:.1f} s')
    if record.ejections:
        lines.append(
            f'ejection count for readmission delay: {record.ejections}'
        )
    if service_unhealthy:
        lines.append('service unhealthy: slowness and errors are not counted')
    return '; '.join(lines)


def _changes(record: HealthRecord) -> list[StateChange]:
    state = record.effective()
    severity = record.severity if state is UpstreamState.sick else 0
    if record.last_published == (state, severity):
        return []
    record.last_published = (state, severity)
    change = StateChange(
        record.upstream,
        record.service,
        state,
        severity,
        record.reason,
    )
    return [change]
