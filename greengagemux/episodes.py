"""Health of upstreams where short gray episodes are common.

An upstream is taken to alternate between two hidden states: sound, and gray,
in which it fails most requests while it reports healthy. Each finished
request updates the probability that it is gray now, and without requests the
probability returns to the usual share of gray time. Page's test, which waits
for proof against a rare change, is kept for slowness.
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
    PROBE_ROUTE,
    Case,
    StateChange,
    HealthTracker,
    judge,
    severity_of,
)

#: Share of time in which an upstream is assumed to be gray.
GRAY_SHARE: Final = 0.15
#: Mean length of a gray episode; the platform speaks of several seconds.
EPISODE: Final = timedelta(seconds=5)
#: Shares of requests that fail in each state.
FAIL_SOUND: Final = 0.015
FAIL_GRAY: Final = 0.7
#: A failure before this share of the expected time has cost the upstream no
#: work. A sound upstream fails during its work, or when what it depends on
#: fails; logs of bench days show 2 ms for the former, the time of an answer
#: for the latter.
PROMPT_SHARE: Final = 0.25
#: The same while no expected time is known, in milliseconds.
PROMPT_UNKNOWN_MS: Final = 10
#: Shares of requests that fail promptly in each state.
PROMPT_SOUND: Final = 0.01
#: Shares of requests that fail after the usual time; a sound upstream may
#: fail as often as its peers do.
LATE_SOUND: Final = 0.04
LATE_GRAY: Final = 0.15
#: Above this probability no request is sent but what the floor demands.
SICK_ABOVE: Final = 0.5
#: From this probability on only requests that may run twice are sent; below
#: it an upstream takes every request.
DOUBT_ABOVE: Final = 0.15
#: After a failure an upstream is tried with idempotent requests again only
#: after this time, so that trials take a small part of the retry budget.
TRIAL_AFTER: Final = timedelta(milliseconds=700)
#: The same after its process was found not to listen: a restart takes longer
#: than an episode's pause, and each trial would be refused.
CRASH_PAUSE: Final = timedelta(seconds=2)
#: Requests at the same time while an upstream is on trial.
TRIAL_LIMIT: Final = 2

_EXPECTED = frozenset((SampleKind.success, SampleKind.silent))


@dataclass(slots=True)
class Belief:
    """Probability that one upstream is gray."""

    gray: float = GRAY_SHARE
    updated: timedelta | None = None

    def age(self, now: timedelta) -> None:
        """Let the probability return to the usual share."""
        if self.updated is not None:
            span = EPISODE * (1 - GRAY_SHARE)
            weight = exp(-max(now - self.updated, ZERO) / span)
            self.gray = GRAY_SHARE + (self.gray - GRAY_SHARE) * weight
        self.updated = now

    def observe(self, likelihood: float, now: timedelta) -> None:
        """Take in the end of a request.

        ``likelihood`` is that of a gray upstream over that of a sound one.
        """
        self.age(now)
        weighed = self.gray * likelihood
        self.gray = weighed / (weighed + 1 - self.gray)


class EpisodeHealthTracker(HealthTracker):
    """Verdicts by the probability of a gray episode."""

    def __init__(self, tick: timedelta) -> None:
        """Expect ``tick`` to be called at this interval."""
        super().__init__(tick)
        self._beliefs: dict[UpstreamId, Belief] = {}

    def retire(self, upstream: UpstreamId) -> None:
        """Forget an upstream that has left."""
        super().retire(upstream)
        self._beliefs.pop(upstream, None)

    def may_probe(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Send no probes: a gray upstream reports that all is well."""
        return False

    def crashed(
        self, upstream: UpstreamId, now: timedelta
    ) -> list[StateChange]:
        """Reject an upstream whose process does not listen."""
        failed = Sample(SampleKind.refused, PROBE_ROUTE, 0, fresh=True)
        changes = self.observe(upstream, failed, now)
        case = self._cases.get(upstream)
        if case is not None and case.state is UpstreamState.sick:
            case.readmit_at = now + CRASH_PAUSE
        return changes

    def trial_limit(self, case: Case) -> int:
        """Return how many requests run at once on probation."""
        return TRIAL_LIMIT

    def weigh(self, case: Case, sample: Sample, now: timedelta) -> None:
        """Take in a sample of a known upstream."""
        belief = self._beliefs.setdefault(case.upstream, Belief())
        weight = likelihood(sample)
        belief.observe(weight, now)
        self._weigh_time(case, sample, now)
        if weight > 1 and belief.gray >= SICK_ABOVE:
            self._reject(case, sample, belief, now)
        elif weight > 1 and belief.gray >= DOUBT_ABOVE:
            case.move(UpstreamState.probation, _reason(sample, belief), now)
        elif case.state is UpstreamState.probation:
            case.passed += int(sample.kind is SampleKind.success)
            if belief.gray < DOUBT_ABOVE:
                case.severity = 0
                case.ejections = 0
                case.detector.reset()
                reason = _reason(sample, belief)
                case.move(UpstreamState.serving, reason, now)

    def advance(self, case: Case, now: timedelta) -> None:
        """Try a sick upstream again after a while."""
        if case.state is not UpstreamState.sick or now < case.readmit_at:
            return
        case.passed = 0
        case.move(UpstreamState.probation, 'tried again', now)

    def confirm_suspect(self, case: Case, now: timedelta) -> None:
        """Do nothing: a failure is judged at once."""

    def _reject(
        self, case: Case, sample: Sample, belief: Belief, now: timedelta
    ) -> None:
        case.severity = severity_of(case)
        case.readmit_at = now + TRIAL_AFTER
        case.move(UpstreamState.sick, _reason(sample, belief), now)

    def _weigh_time(self, case: Case, sample: Sample, now: timedelta) -> None:
        """Eject an upstream for slowness by Page's test."""
        if sample.kind not in _EXPECTED:
            return
        troubled = self.in_trouble(case.service, now)
        reading = case.detector.observe(
            sample,
            learn=case.state is UpstreamState.serving and not troubled,
            hold=troubled,
            settling=self.settling(case, now),
        )
        if case.state is UpstreamState.serving and reading.cause == 'slowness':
            judge(case, reading, now, ZERO)


def likelihood(sample: Sample) -> float:
    """Return how much more likely a gray upstream ends a request like this."""
    if sample.kind is SampleKind.success:
        return (1 - FAIL_GRAY) / (1 - FAIL_SOUND)
    if sample.kind is not SampleKind.error:
        return FAIL_GRAY / FAIL_SOUND
    prompt_ms = sample.expected_ms * PROMPT_SHARE or PROMPT_UNKNOWN_MS
    if sample.service_ms < prompt_ms:
        return FAIL_GRAY / PROMPT_SOUND
    if prompt_ms < PROMPT_UNKNOWN_MS:
        # All answers of the route are prompt, so the time tells nothing.
        return FAIL_GRAY / FAIL_SOUND
    return max(1, LATE_GRAY / max(LATE_SOUND, sample.peer_errors))


def _reason(sample: Sample, belief: Belief) -> str:
    return f'{sample.kind.value}: {belief.gray:.2f} likely gray'
