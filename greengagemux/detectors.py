"""Sequential test for sickness of one upstream.

Each finished request is a sample. For each alternative hypothesis (a share
of failures, a factor of slowness) the detector keeps a sum of
log-likelihood ratios that restarts at zero (Page's test). The largest sum
is compared with Wald's limit, raised by the log of the number of
hypotheses so that together they keep the configured rate of false alarms.
"""

import itertools
import math
from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from types import MappingProxyType

from .ids import RouteName


class SampleKind(Enum):
    """How a request to an upstream ended, or that it has not ended."""

    success = 'success'
    error = 'error'
    refused = 'refused'
    reset = 'reset'
    truncated = 'truncated'
    wrong = 'wrong'
    silent = 'silent'


#: Share of requests of a healthy upstream that end in each way, at most.
HEALTHY_SHARES = MappingProxyType(
    {
        SampleKind.error: 0.002,
        SampleKind.refused: 0.001,
        SampleKind.reset: 0.004,
        SampleKind.truncated: 0.002,
        SampleKind.wrong: 0.002,
        SampleKind.silent: 0.003,
    }
)
#: A kept connection may have gone silent on its own, so it proves little.
KEPT_SILENT_SHARE = 0.1
#: Failure shares of the alternative hypotheses.
FAILURE_SHARES = (0.9, 0.5, 0.2, 0.06)
#: The first of them are gross failure.
GROSS_SHARES = 2
#: Slowness of the alternative hypotheses, in half octaves: 2.8 and 8 times.
SLOW_SHIFTS = (3, 6)
#: Bins of the ratio of service time to expected time, in half octaves.
BIN_LOW = -4
BIN_COUNT = 15
#: Bounds of the evidence of one service time; outliers prove little.
SLOW_EVIDENCE_MIN = -2
SLOW_EVIDENCE_MAX = 3.5
#: Spread of the log service time assumed before enough samples are known.
PRIOR_SIGMA = 0.6
PRIOR_COUNT = 50
#: Older samples of a route lose half their weight at this total.
LEARN_LIMIT = 2000
REFRESH_SAMPLES = 64
#: Weight of one sample in the long-run share of failures.
FAILURE_GAIN = 1 / 4000
#: A learned share of failures is raised by this margin.
FAILURE_MARGIN = 1.5
#: An upstream that fails more than this is sick even if its peers are.
HEALTHY_SHARE_MAX = 0.4
#: Latest samples judged again when peers turn out to fail as well.
REWEIGHED_SAMPLES = 64
#: Sums below this share of the limit are not worth the effort.
REWEIGHED_SHARE = 0.25
#: Weight of one sample in the long-run service time of a route.
BASELINE_GAIN = 0.02
BASELINE_SAMPLES = 30
#: Share of healthy requests allowed to pass the silence limit.
SILENT_TAIL = 0.003
SILENCE_MIN_MS = 250
SILENCE_UNKNOWN_MS = 2000


@dataclass(frozen=True, slots=True)
class ErrorRates:
    """Error rates of the test for one service.

    ``false_alarm`` bounds the chance that the sum of a healthy upstream,
    once it has left zero, reaches the limit before it returns. ``miss``
    bounds the chance that a sick upstream is readmitted.
    """

    false_alarm: float = 1e-6
    miss: float = 1e-3

    def limit(self) -> float:
        """Return the log-likelihood ratio at which sickness is accepted."""
        tests = len(FAILURE_SHARES) + len(SLOW_SHIFTS)
        return math.log((1 - self.miss) / self.false_alarm * tests)

    def recovery_limit(self) -> float:
        """Return the (negative) ratio at which recovery is accepted."""
        return math.log(self.miss / (1 - self.false_alarm))


@dataclass(frozen=True, slots=True)
class Sample:
    """One piece of evidence.

    ``service_ms`` runs from the call to the upstream until its end, or
    until now for ``silent``. ``expected_ms`` is the present service time
    of the route on other upstreams, 0 when unknown. ``fresh`` tells that
    the connection was opened for this request. ``peer_errors`` is the
    present share of errors of other upstreams.
    """

    kind: SampleKind
    route: RouteName
    service_ms: float
    expected_ms: float = 0
    fresh: bool = False
    peer_errors: float = 0


@dataclass(frozen=True, slots=True)
class Reading:
    """State of the test: ``score`` of the leading hypothesis, its limit.

    ``severe`` tells that a hypothesis of gross failure or slowness, which
    an overload of the service does not produce, has reached the limit.
    """

    score: float
    limit: float
    cause: str
    severe: bool = False

    @property
    def share(self) -> float:
        """Return the score as a share of the limit."""
        return self.score / self.limit


def _normal_share(log_ratio: float) -> float:
    return (1 + math.erf(log_ratio / PRIOR_SIGMA / math.sqrt(2))) / 2


def _prior() -> list[float]:
    half_octave = math.log(2) / 2
    below = [
        _normal_share((place + BIN_LOW + 0.5) * half_octave)
        for place in range(BIN_COUNT - 1)
    ]
    bounds = itertools.pairwise((0, *below, 1))
    return [PRIOR_COUNT * max(high - low, 1e-4) for low, high in bounds]


def _zeros(count: int) -> list[float]:
    return [float(0) for _ in range(count)]


@dataclass(slots=True)
class _RouteTimes:
    """Healthy service times of one route, relative to the expected time."""

    counts: list[float] = field(default_factory=_prior)
    evidence: list[list[float]] = field(default_factory=list)
    tail_ratio: float = 0
    unread: int = 0
    own_log_ms: float = 0
    own_samples: int = 0

    def refresh(self) -> None:
        total = sum(self.counts)
        healthy = [each / total for each in self.counts]
        self.evidence = [_evidence(healthy, shift) for shift in SLOW_SHIFTS]
        tail = float(0)
        place = BIN_COUNT - 1
        while place and tail + healthy[place] < SILENT_TAIL:
            tail += healthy[place]
            place -= 1
        self.tail_ratio = 2 ** ((place + BIN_LOW + 0.5) / 2)
        if total > LEARN_LIMIT:
            self.counts = [each / 2 for each in self.counts]
        self.unread = 0

    def learn(self, place: int) -> None:
        self.counts[place] += 1
        self.unread += 1
        if self.unread >= REFRESH_SAMPLES:
            self.refresh()

    def learn_own(self, service_ms: float) -> None:
        self.own_samples += 1
        gain = max(BASELINE_GAIN, 1 / self.own_samples)
        own = math.log(max(service_ms, 0.1))
        self.own_log_ms += gain * (own - self.own_log_ms)

    def expected(self, given_ms: float) -> float:
        if given_ms > 0:
            return given_ms
        if self.own_samples < BASELINE_SAMPLES:
            return 0
        return math.exp(self.own_log_ms)


def _add_failure(scores: list[float], sample: Sample, healthy: float) -> None:
    failed = sample.kind is not SampleKind.success
    for test, share in enumerate(FAILURE_SHARES):
        ratio = (1 - share) / (1 - healthy)
        if failed:
            ratio = share / healthy
        scores[test] = max(scores[test] + math.log(ratio), 0)


def _evidence(healthy: list[float], shift: int) -> list[float]:
    slow = [1e-4 for _ in range(shift)] + healthy[:-shift]
    slow[-1] += sum(healthy[-shift:])
    return [
        min(max(math.log(sick / well), SLOW_EVIDENCE_MIN), SLOW_EVIDENCE_MAX)
        for sick, well in zip(slow, healthy, strict=True)
    ]


def _place(ratio: float) -> int:
    bin_no = round(2 * math.log2(max(ratio, 1e-3))) - BIN_LOW
    return min(max(bin_no, 0), BIN_COUNT - 1)


class Detector:
    """Evidence about one upstream."""

    def __init__(self, rates: ErrorRates) -> None:
        """Start without evidence."""
        self.rates = rates
        self.limit = rates.limit()
        self.failure_scores = _zeros(len(FAILURE_SHARES))
        self.slow_scores = _zeros(len(SLOW_SHIFTS))
        self.counts: dict[SampleKind, int] = {}
        self._failure_share = float(0)
        self._latest: deque[Sample] = deque(maxlen=REWEIGHED_SAMPLES)
        self._routes: dict[RouteName, _RouteTimes] = {}

    def observe(
        self,
        sample: Sample,
        *,
        learn: bool = True,
        hold: bool = False,
        settling: bool = False,
    ) -> Reading:
        """Take in a sample and return the state of the test.

        ``learn`` lets the sample shape the picture of healthy behaviour.
        ``hold`` tells that the service as a whole is in trouble: slowness
        and errors then prove nothing. ``settling`` tells that the upstream
        has just started: slowness then proves nothing.
        """
        self.counts[sample.kind] = self.counts.get(sample.kind, 0) + 1
        if hold and sample.kind is SampleKind.silent:
            # Stale expected times make silence likely in an overload.
            sample = replace(sample, fresh=False)
        if not hold or sample.kind is not SampleKind.error:
            self._observe_failure(sample, learn=learn)
        if sample.kind in {SampleKind.success, SampleKind.silent}:
            self._observe_time(sample, learn=learn, hold=hold or settling)
        return self.reading()

    def reading(self) -> Reading:
        """Return the state of the test."""
        failing = max(self.failure_scores)
        slow = max(self.slow_scores)
        gross = (*self.failure_scores[:GROSS_SHARES], self.slow_scores[-1])
        severe = max(gross) >= self.limit
        cause = 'slowness' if slow > failing else 'failures'
        return Reading(max(failing, slow), self.limit, cause, severe)

    def use(self, rates: ErrorRates) -> None:
        """Change the error rates; the sums so far are kept."""
        self.rates = rates
        self.limit = rates.limit()

    def soften(self, share: float) -> None:
        """Lower sums above a share of the limit to it."""
        most = share * self.limit
        self.failure_scores = [min(each, most) for each in self.failure_scores]
        self.slow_scores = [min(each, most) for each in self.slow_scores]

    def slow_evidence(self, sample: Sample) -> float:
        """Return the largest evidence of slowness in one service time."""
        times = self._times(sample.route)
        expected = times.expected(sample.expected_ms)
        if not expected:
            return 0
        place = _place(sample.service_ms / expected)
        return max(evidence[place] for evidence in times.evidence)

    def reset(self) -> None:
        """Forget the evidence but not what healthy behaviour looks like."""
        self.failure_scores = _zeros(len(FAILURE_SHARES))
        self.slow_scores = _zeros(len(SLOW_SHIFTS))
        self.counts = {}
        self._latest.clear()

    def silence_limit_ms(self, route: RouteName, expected_ms: float) -> float:
        """Return the age at which a running request counts as silent."""
        times = self._times(route)
        expected = times.expected(expected_ms)
        if not expected:
            return SILENCE_UNKNOWN_MS
        return max(SILENCE_MIN_MS, expected * times.tail_ratio)

    def _observe_failure(self, sample: Sample, *, learn: bool) -> None:
        failed = sample.kind is not SampleKind.success
        if learn:
            gap = int(failed) - self._failure_share
            self._failure_share += FAILURE_GAIN * gap
        self._latest.append(sample)
        _add_failure(self.failure_scores, sample, self.healthy_share(sample))
        doubted = max(self.failure_scores) > REWEIGHED_SHARE * self.limit
        if doubted and sample.peer_errors > HEALTHY_SHARES[SampleKind.error]:
            self._reweigh(sample.peer_errors)

    def _reweigh(self, peer_errors: float) -> None:
        """Judge the latest samples by what is now known of the peers.

        The first errors of an episode arrive before those of the peers are
        known, so they were given too much weight.
        """
        scores = _zeros(len(FAILURE_SHARES))
        for sample in self._latest:
            known = replace(sample, peer_errors=peer_errors)
            _add_failure(scores, sample, self.healthy_share(known))
        self.failure_scores = [
            min(old, new)
            for old, new in zip(self.failure_scores, scores, strict=True)
        ]

    def healthy_share(self, sample: Sample) -> float:
        """Return the share of healthy requests that end like a sample.

        For a success it is the share of errors.
        """
        if sample.kind is SampleKind.silent and not sample.fresh:
            return KEPT_SILENT_SHARE
        if sample.kind not in {SampleKind.success, SampleKind.error}:
            return HEALTHY_SHARES[sample.kind]
        shared = max(self._failure_share, sample.peer_errors)
        learned = shared * FAILURE_MARGIN
        bounded = min(learned, HEALTHY_SHARE_MAX)
        return max(HEALTHY_SHARES[SampleKind.error], bounded)

    def _observe_time(
        self,
        sample: Sample,
        *,
        learn: bool,
        hold: bool,
    ) -> None:
        times = self._times(sample.route)
        expected = times.expected(sample.expected_ms)
        if sample.kind is SampleKind.success and learn:
            times.learn_own(sample.service_ms)
        if not expected:
            return
        place = _place(sample.service_ms / expected)
        for test, evidence in enumerate(times.evidence):
            found = evidence[place]
            if found > 0 and hold:
                continue
            score = self.slow_scores[test] + found
            self.slow_scores[test] = max(score, 0)
        if learn:
            times.learn(place)

    def _times(self, route: RouteName) -> _RouteTimes:
        times = self._routes.get(route)
        if times is None:
            times = _RouteTimes()
            times.refresh()
            self._routes[route] = times
        return times
