"""Failure detector of one upstream: a sequential test on its requests.

Each finished request is a sample. For each alternative hypothesis (a share
of failed requests, a factor of slowness) the detector keeps a CUSUM (Page's
test): a sum of log-likelihood ratios that never falls below zero. The
largest sum is compared with Wald's limit, raised by the log of the number of
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


#: Highest share of a healthy upstream's requests that ends in each way.
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
#: The same for silence on a reused connection. Such a connection may have died
#: unnoticed while idle, so its silence is weak evidence against the upstream.
REUSED_SILENT_SHARE = 0.1
#: Shares of failed requests under the alternative hypotheses, highest first.
FAILURE_SHARES = (0.9, 0.5, 0.2, 0.06)
#: Number of leading entries of ``FAILURE_SHARES`` that make a reading severe.
GROSS_SHARE_COUNT = 2
#: Slowness under the alternative hypotheses, in half octaves: 2.8 and 8 times
#: the expected service time.
SLOW_SHIFTS = (3, 6)
#: Bins of the ratio of service time to expected time, each half an octave
#: wide. The lowest bin is centred on a ratio of 2 ** (``LOWEST_BIN`` / 2).
LOWEST_BIN = -4
BIN_COUNT = 15
#: Bounds of the log-likelihood ratio of one service time, so that a single
#: outlier cannot decide the test.
SLOW_EVIDENCE_MIN = -2
SLOW_EVIDENCE_MAX = 3.5
#: Standard deviation of the log service time that is assumed for a route
#: without samples, and the number of samples that this assumption counts as.
PRIOR_SIGMA = 0.6
PRIOR_COUNT = 50
#: The bin counts of a route are halved above this total, so that recent
#: samples outweigh old ones.
LEARN_LIMIT = 2000
#: Samples of a route after which its likelihood ratios are computed again.
REFRESH_SAMPLES = 64
#: Weight of one sample in the moving average of the failure share.
FAILURE_GAIN = 1 / 4000
#: Factor by which a measured failure share is raised before it counts as the
#: failure share of a healthy upstream.
FAILURE_MARGIN = 1.5
#: Upper bound of the failure share that counts as healthy: an upstream that
#: fails more often is sick even if its peers fail as often.
HEALTHY_SHARE_MAX = 0.4
#: Latest samples evaluated again when peers turn out to fail as well.
REEVALUATION_SAMPLES = 64
#: Sums up to this share of the limit are not evaluated again, to save work.
REEVALUATION_MIN_SHARE = 0.25
#: Weight of one sample in the moving average of a route's service time on this
#: upstream, and the samples from which that average is used.
BASELINE_GAIN = 0.02
BASELINE_SAMPLES = 30
#: Highest share of a healthy upstream's requests that may run for longer than
#: the silence limit.
SILENT_TAIL_SHARE = 0.003
SILENCE_MIN_MS = 250
#: Silence limit while the expected service time is unknown.
SILENCE_UNKNOWN_MS = 2000


@dataclass(frozen=True, slots=True)
class ErrorRates:
    """Error rates of the test for one service.

    ``false_alarm`` bounds the probability that the sum of a healthy
    upstream, once above zero, reaches the limit before it returns to zero.
    ``miss`` bounds the probability that a sick upstream is readmitted.
    """

    false_alarm: float = 1e-6
    miss: float = 1e-3

    def limit(self) -> float:
        """Return the log-likelihood ratio from which an upstream is sick."""
        tests = len(FAILURE_SHARES) + len(SLOW_SHIFTS)
        return math.log((1 - self.miss) / self.false_alarm * tests)

    def recovery_limit(self) -> float:
        """Return the (negative) log-likelihood ratio that ends probation."""
        return math.log(self.miss / (1 - self.false_alarm))


@dataclass(frozen=True, slots=True)
class Sample:
    """Result of one request, as evidence about its upstream.

    ``service_ms`` runs from the call to the upstream until its end, or
    until now for ``silent``. ``expected_ms`` is the current service time
    of the route on other upstreams, 0 when unknown. ``fresh`` is set if
    the connection was opened for this request. ``peer_errors`` is the
    current share of errors of other upstreams. ``shed`` is set if the
    upstream refused the request and did not run it.
    """

    kind: SampleKind
    route: RouteName
    service_ms: float
    expected_ms: float = 0
    fresh: bool = False
    peer_errors: float = 0
    shed: bool = False


@dataclass(frozen=True, slots=True)
class Reading:
    """State of the test: the largest ``score`` of a hypothesis and its limit.

    ``cause`` is ``failures`` or ``slowness``, after the hypothesis with the
    largest score. ``severe`` is set if a hypothesis of gross failure or
    slowness, which an overload of the service does not produce, has reached
    the limit.
    """

    score: float
    limit: float
    cause: str
    severe: bool = False

    @property
    def share(self) -> float:
        """Return the score as a share of the limit."""
        return self.score / self.limit


def _normal_cdf(log_ratio: float) -> float:
    return (1 + math.erf(log_ratio / PRIOR_SIGMA / math.sqrt(2))) / 2


def _prior_counts() -> list[float]:
    half_octave = math.log(2) / 2
    below = [
        _normal_cdf((bin_index + LOWEST_BIN + 0.5) * half_octave)
        for bin_index in range(BIN_COUNT - 1)
    ]
    bounds = itertools.pairwise((0, *below, 1))
    return [PRIOR_COUNT * max(high - low, 1e-4) for low, high in bounds]


def _zeros(count: int) -> list[float]:
    return [float(0) for _ in range(count)]


@dataclass(slots=True)
class _RouteTimes:
    """Service times of one route on a healthy upstream.

    ``counts`` is a histogram of the ratio to the expected time. ``evidence``
    holds, for each slowness hypothesis, the log-likelihood ratio of each bin.
    ``own_mean_log_ms`` is the mean of the upstream's own log service time, the
    expected time when other upstreams give none.
    """

    counts: list[float] = field(default_factory=_prior_counts)
    evidence: list[list[float]] = field(default_factory=list)
    tail_ratio: float = 0
    samples_since_refresh: int = 0
    own_mean_log_ms: float = 0
    own_samples: int = 0

    def refresh(self) -> None:
        total = sum(self.counts)
        healthy = [each / total for each in self.counts]
        self.evidence = [_log_ratios(healthy, shift) for shift in SLOW_SHIFTS]
        tail = float(0)
        bin_index = BIN_COUNT - 1
        while bin_index and tail + healthy[bin_index] < SILENT_TAIL_SHARE:
            tail += healthy[bin_index]
            bin_index -= 1
        self.tail_ratio = 2 ** ((bin_index + LOWEST_BIN + 0.5) / 2)
        if total > LEARN_LIMIT:
            self.counts = [each / 2 for each in self.counts]
        self.samples_since_refresh = 0

    def learn(self, bin_index: int) -> None:
        self.counts[bin_index] += 1
        self.samples_since_refresh += 1
        if self.samples_since_refresh >= REFRESH_SAMPLES:
            self.refresh()

    def learn_own(self, service_ms: float) -> None:
        self.own_samples += 1
        gain = max(BASELINE_GAIN, 1 / self.own_samples)
        own = math.log(max(service_ms, 0.1))
        self.own_mean_log_ms += gain * (own - self.own_mean_log_ms)

    def expected(self, given_ms: float) -> float:
        if given_ms > 0:
            return given_ms
        if self.own_samples < BASELINE_SAMPLES:
            return 0
        return math.exp(self.own_mean_log_ms)


def _update_failure_scores(
    scores: list[float], sample: Sample, healthy: float
) -> None:
    failed = sample.kind is not SampleKind.success
    for test, share in enumerate(FAILURE_SHARES):
        ratio = (1 - share) / (1 - healthy)
        if failed:
            ratio = share / healthy
        scores[test] = max(scores[test] + math.log(ratio), 0)


def _log_ratios(healthy: list[float], shift: int) -> list[float]:
    slow = [1e-4 for _ in range(shift)] + healthy[:-shift]
    slow[-1] += sum(healthy[-shift:])
    return [
        min(
            max(math.log(slow_share / healthy_share), SLOW_EVIDENCE_MIN),
            SLOW_EVIDENCE_MAX,
        )
        for slow_share, healthy_share in zip(slow, healthy, strict=True)
    ]


def _bin_index(ratio: float) -> int:
    bin_no = round(2 * math.log2(max(ratio, 1e-3))) - LOWEST_BIN
    return min(max(bin_no, 0), BIN_COUNT - 1)


class Detector:
    """Sequential test of one upstream."""

    def __init__(self, rates: ErrorRates) -> None:
        """Start with all scores at zero."""
        self.rates = rates
        self.limit = rates.limit()
        self.failure_scores = _zeros(len(FAILURE_SHARES))
        self.slow_scores = _zeros(len(SLOW_SHIFTS))
        self.counts: dict[SampleKind, int] = {}
        self._failure_share = float(0)
        self._latest: deque[Sample] = deque(maxlen=REEVALUATION_SAMPLES)
        self._routes: dict[RouteName, _RouteTimes] = {}

    def observe(
        self,
        sample: Sample,
        *,
        learn: bool = True,
        service_unhealthy: bool = False,
        warming_up: bool = False,
    ) -> Reading:
        """Add a sample and return the state of the test.

        With ``learn`` the sample updates the baseline of healthy behaviour.
        With ``service_unhealthy``, when the service as a whole is unhealthy,
        slowness and errors do not raise the scores. With ``warming_up``, when
        the upstream has just started, slowness does not raise them.
        """
        self.counts[sample.kind] = self.counts.get(sample.kind, 0) + 1
        if service_unhealthy and sample.kind is SampleKind.silent:
            # In an overload the expected times lag behind, so requests pass
            # the silence limit on healthy upstreams too. The sample gets the
            # low weight of a reused connection.
            sample = replace(sample, fresh=False)
        if not service_unhealthy or sample.kind is not SampleKind.error:
            self._observe_failure(sample, learn=learn)
        if sample.kind in {SampleKind.success, SampleKind.silent}:
            self._observe_time(
                sample, learn=learn, ignore_slow=service_unhealthy or warming_up
            )
        return self.reading()

    def reading(self) -> Reading:
        """Return the state of the test."""
        failing = max(self.failure_scores)
        slow = max(self.slow_scores)
        gross = (*self.failure_scores[:GROSS_SHARE_COUNT], self.slow_scores[-1])
        severe = max(gross) >= self.limit
        cause = 'slowness' if slow > failing else 'failures'
        return Reading(max(failing, slow), self.limit, cause, severe)

    def set_error_rates(self, rates: ErrorRates) -> None:
        """Change the error rates and keep the scores."""
        self.rates = rates
        self.limit = rates.limit()

    def cap_scores(self, share: float) -> None:
        """Limit each score to a share of the limit."""
        most = share * self.limit
        self.failure_scores = [min(each, most) for each in self.failure_scores]
        self.slow_scores = [min(each, most) for each in self.slow_scores]

    def slow_evidence(self, sample: Sample) -> float:
        """Return the largest log-likelihood ratio of slowness of a sample.

        It is 0 while the expected time is unknown.
        """
        times = self._times(sample.route)
        expected = times.expected(sample.expected_ms)
        if not expected:
            return 0
        bin_index = _bin_index(sample.service_ms / expected)
        return max(evidence[bin_index] for evidence in times.evidence)

    def reset(self) -> None:
        """Clear scores and samples; keep the baseline of healthy behaviour."""
        self.failure_scores = _zeros(len(FAILURE_SHARES))
        self.slow_scores = _zeros(len(SLOW_SHIFTS))
        self.counts = {}
        self._latest.clear()

    def silence_limit_ms(self, route: RouteName, expected_ms: float) -> float:
        """Return the age in ms at which a running request counts as silent."""
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
        _update_failure_scores(
            self.failure_scores, sample, self.healthy_share(sample)
        )
        suspicious = (
            max(self.failure_scores) > REEVALUATION_MIN_SHARE * self.limit
        )
        if suspicious and sample.peer_errors > HEALTHY_SHARES[SampleKind.error]:
            self._reevaluate(sample.peer_errors)

    def _reevaluate(self, peer_errors: float) -> None:
        """Evaluate the latest samples again with the current peer errors.

        The first errors of a shared failure arrive before the peers' error
        share is known, so they got too much weight.
        """
        scores = _zeros(len(FAILURE_SHARES))
        for sample in self._latest:
            known = replace(sample, peer_errors=peer_errors)
            _update_failure_scores(scores, sample, self.healthy_share(known))
        self.failure_scores = [
            min(old, new)
            for old, new in zip(self.failure_scores, scores, strict=True)
        ]

    def healthy_share(self, sample: Sample) -> float:
        """Return the share of healthy requests that end like a sample.

        For a success it is the share that ends in an error.
        """
        if sample.kind is SampleKind.silent and not sample.fresh:
            return REUSED_SILENT_SHARE
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
        ignore_slow: bool,
    ) -> None:
        times = self._times(sample.route)
        expected = times.expected(sample.expected_ms)
        if sample.kind is SampleKind.success and learn:
            times.learn_own(sample.service_ms)
        if not expected:
            return
        bin_index = _bin_index(sample.service_ms / expected)
        for test, evidence in enumerate(times.evidence):
            found = evidence[bin_index]
            if found > 0 and ignore_slow:
                continue
            score = self.slow_scores[test] + found
            self.slow_scores[test] = max(score, 0)
        if learn:
            times.learn(bin_index)

    def _times(self, route: RouteName) -> _RouteTimes:
        times = self._routes.get(route)
        if times is None:
            times = _RouteTimes()
            times.refresh()
            self._routes[route] = times
        return times
