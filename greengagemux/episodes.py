"""Health of upstreams where short gray failures are common.

An upstream is modelled as a two-state hidden Markov process: healthy, and
gray, in which it fails most requests while it reports healthy. Each finished
request updates the probability that it is gray now, and without requests the
probability returns to the long-run share of gray time. Page's test, which
needs more samples because it assumes that failures are rare, decides only on
slowness.
"""

from dataclasses import dataclass
from datetime import timedelta
from math import exp
from typing import Final

from .clocks import ZERO
from .detectors import Sample, SampleKind
from .ids import UpstreamId
from .messages import UpstreamState
from .healthstates import (
    CLOSED_TIME,
    PROBE_ROUTE,
    HealthRecord,
    StateChange,
    HealthTracker,
    apply_reading,
    severity_of,
)

#: Share of time in which an upstream is assumed to be gray: the probability
#: without any evidence.
GRAY_SHARE: Final = 0.15
#: Mean length of a gray episode; the platform states several seconds.
EPISODE_MEAN: Final = timedelta(seconds=5)
#: Shares of requests that fail in the healthy and in the gray state.
FAIL_SHARE_HEALTHY: Final = 0.015
FAIL_SHARE_GRAY: Final = 0.7
#: An error before this share of the expected time is prompt: the upstream has
#: done no work for the request, which is typical of a gray upstream (about
#: 2 ms). A healthy upstream fails during its work or when a dependency fails,
#: after about the time of a normal response.
PROMPT_SHARE: Final = 0.25
#: Time before which an error is prompt while no expected time is known.
PROMPT_UNKNOWN_MS: Final = 10
#: Share of requests that fail promptly in the healthy state; in the gray state
#: it is ``FAIL_SHARE_GRAY``.
PROMPT_FAIL_SHARE_HEALTHY: Final = 0.01
#: Shares of requests that fail after the normal time in the healthy and in the
#: gray state. The first is raised to the share of errors of the peers.
LATE_FAIL_SHARE_HEALTHY: Final = 0.04
LATE_FAIL_SHARE_GRAY: Final = 0.15
#: From this probability on the upstream is sick and accepts forced requests
#: only.
SICK_PROBABILITY: Final = 0.5
#: From this probability on the upstream is on probation and accepts idempotent
#: requests only; below it the upstream accepts every request.
PROBATION_PROBABILITY: Final = 0.15
#: Delay from an ejection to probation. Requests that fail on probation are
#: retried; the delay limits these retries to a small part of the retry budget.
PROBATION_AFTER: Final = timedelta(milliseconds=700)
#: Each further failure on probation multiplies the delay by this, up to
#: ``PROBATION_AFTER_MAX``. Episodes differ in length, and each trial of a long
#: one costs a failed request.
PROBATION_GROWTH: Final = 1.5
PROBATION_AFTER_MAX: Final = timedelta(milliseconds=1600)
#: Refusals in a row from which on an upstream is taken to refuse everything.
SHED_LIMIT: Final = 8
#: Concurrent requests to an upstream on probation.
PROBATION_CONCURRENCY: Final = 2

_TIMED = frozenset((SampleKind.success, SampleKind.silent))


@dataclass(slots=True)
class Belief:
    """Probability that one upstream is gray."""

    gray: float = GRAY_SHARE
    updated: timedelta | None = None
    #: Refusals since the last response or failure.
    sheds_in_row: int = 0
    #: Delay from the next ejection to probation.
    probation_delay: timedelta = PROBATION_AFTER

    def age(self, now: timedelta) -> None:
        """Let the probability return to ``GRAY_SHARE`` as time passes."""
        if self.updated is not None:
            span = EPISODE_MEAN * (1 - GRAY_SHARE)
            weight = exp(-max(now - self.updated, ZERO) / span)
            self.gray = GRAY_SHARE + (self.gray - GRAY_SHARE) * weight
        self.updated = now

    def observe(self, likelihood: float, now: timedelta) -> None:
        """Update the probability after a request has ended.

        ``likelihood`` is the ratio of the probabilities of this result on a
        gray and on a healthy upstream.
        """
        self.age(now)
        gray_odds = self.gray * likelihood
        self.gray = gray_odds / (gray_odds + 1 - self.gray)


class EpisodeHealthTracker(HealthTracker):
    """Health tracker that uses the probability of a gray episode."""

    def __init__(self, tick: timedelta) -> None:
        """Expect ``tick`` to be called at this interval."""
        super().__init__(tick)
        self._beliefs: dict[UpstreamId, Belief] = {}

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream that has left."""
        super().remove(upstream)
        self._beliefs.pop(upstream, None)

    def may_probe(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Return false: a gray upstream answers probes as if healthy."""
        return False

    def crashed(
        self, upstream: UpstreamId, now: timedelta
    ) -> list[StateChange]:
        """Eject an upstream whose process does not listen."""
        failed = Sample(SampleKind.refused, PROBE_ROUTE, 0, fresh=True)
        changes = self.observe(upstream, failed, now)
        record = self._records.get(upstream)
        if record is None:
            return changes
        record.closed_until = now + CLOSED_TIME
        if record.state is UpstreamState.sick:
            record.readmit_at = record.closed_until
        return changes

    def probation_concurrency(self, record: HealthRecord) -> int:
        """Return how many requests may run at once on probation."""
        return PROBATION_CONCURRENCY

    def evaluate(
        self, record: HealthRecord, sample: Sample, now: timedelta
    ) -> None:
        """Update the probability and the upstream's state from a sample."""
        belief = self._beliefs.setdefault(record.upstream, Belief())
        if sample.shed:
            self._evaluate_shed(record, sample, belief, now)
            return
        belief.sheds_in_row = 0
        likelihood_ratio = likelihood(sample)
        belief.observe(likelihood_ratio, now)
        self._evaluate_time(record, sample, now)
        if likelihood_ratio > 1 and belief.gray >= SICK_PROBABILITY:
            self._eject(record, sample, belief, now)
        elif likelihood_ratio > 1 and belief.gray >= PROBATION_PROBABILITY:
            record.move(UpstreamState.probation, _reason(sample, belief), now)
        elif record.state is UpstreamState.probation:
            record.probation_successes += int(sample.kind is SampleKind.success)
            if belief.gray < PROBATION_PROBABILITY:
                record.severity = 0
                record.ejections = 0
                belief.probation_delay = PROBATION_AFTER
                record.detector.reset()
                reason = _reason(sample, belief)
                record.move(UpstreamState.serving, reason, now)

    def advance(self, record: HealthRecord, now: timedelta) -> None:
        """Put a sick upstream on probation once its delay has passed."""
        if record.state is not UpstreamState.sick or now < record.readmit_at:
            return
        record.probation_successes = 0
        record.move(UpstreamState.probation, 'readmission delay passed', now)

    def confirm_suspect(self, record: HealthRecord, now: timedelta) -> None:
        """Do nothing: each failure is evaluated at once."""

    def _evaluate_shed(
        self,
        record: HealthRecord,
        sample: Sample,
        belief: Belief,
        now: timedelta,
    ) -> None:
        """Eject an upstream that refuses everything.

        A refused request may run elsewhere, a write too. While an upstream
        takes a part of the requests, that part is worth the refusals.
        """
        belief.sheds_in_row += 1
        if belief.sheds_in_row >= SHED_LIMIT:
            self._eject(record, sample, belief, now)

    def _eject(
        self,
        record: HealthRecord,
        sample: Sample,
        belief: Belief,
        now: timedelta,
    ) -> None:
        if record.state is UpstreamState.probation:
            belief.probation_delay = min(
                belief.probation_delay * PROBATION_GROWTH, PROBATION_AFTER_MAX
            )
        record.severity = severity_of(record)
        record.readmit_at = now + belief.probation_delay
        record.move(UpstreamState.sick, _reason(sample, belief), now)

    def _evaluate_time(
        self, record: HealthRecord, sample: Sample, now: timedelta
    ) -> None:
        """Eject an upstream for slowness by Page's test."""
        if sample.kind not in _TIMED:
            return
        service_unhealthy = self.is_service_unhealthy(record.service, now)
        reading = record.detector.observe(
            sample,
            learn=record.state is UpstreamState.serving
            and not service_unhealthy,
            service_unhealthy=service_unhealthy,
            warming_up=self.warming_up(record, now),
        )
        if (
            record.state is UpstreamState.serving
            and reading.cause == 'slowness'
        ):
            apply_reading(record, reading, now, ZERO)


def likelihood(sample: Sample) -> float:
    """Return how many times likelier a result is on a gray upstream.

    It is the likelihood ratio of the gray to the healthy state.
    """
    if sample.kind is SampleKind.success:
        return (1 - FAIL_SHARE_GRAY) / (1 - FAIL_SHARE_HEALTHY)
    if sample.kind is not SampleKind.error:
        return FAIL_SHARE_GRAY / FAIL_SHARE_HEALTHY
    prompt_ms = sample.expected_ms * PROMPT_SHARE or PROMPT_UNKNOWN_MS
    if sample.service_ms < prompt_ms:
        return FAIL_SHARE_GRAY / PROMPT_FAIL_SHARE_HEALTHY
    if prompt_ms < PROMPT_UNKNOWN_MS:
        # Successes of the route are as fast as prompt errors, so the time of
        # an error does not tell the states apart.
        return FAIL_SHARE_GRAY / FAIL_SHARE_HEALTHY
    return max(
        1,
        LATE_FAIL_SHARE_GRAY / max(LATE_FAIL_SHARE_HEALTHY, sample.peer_errors),
    )


def _reason(sample: Sample, belief: Belief) -> str:
    return f'{sample.kind.value}: probability of gray {belief.gray:.2f}'
