"""Verdicts where short gray episodes are common."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from greengagemux.clocks import ZERO, ms
from greengagemux.detectors import Sample, SampleKind
from greengagemux.episodes import Belief, EpisodeVerdicts
from greengagemux.ids import RouteName, ServiceName, UpstreamId
from greengagemux.messages import UpstreamState

UPSTREAM = UpstreamId('u')
SERVICE = ServiceName('s')
GOOD = Sample(SampleKind.success, RouteName('r'), 50)
BAD = Sample(SampleKind.error, RouteName('r'), 1)


def _verdicts() -> EpisodeVerdicts:
    verdicts = EpisodeVerdicts(ms(50))
    verdicts.announced(UPSTREAM, SERVICE, 4, UpstreamState.serving, ZERO)
    return verdicts


def _admits(verdicts: EpisodeVerdicts, *, idempotent: bool) -> bool:
    return verdicts.admits(UPSTREAM, 0, idempotent=idempotent, forced=False)


def test_first_failure_keeps_writes_away() -> None:
    """A gray upstream must not take further writes while proof is sought."""
    verdicts = _verdicts()
    for turn in range(20):
        verdicts.observe(UPSTREAM, GOOD, ms(100 * turn))
    verdicts.observe(UPSTREAM, BAD, ms(2100))
    assert not _admits(verdicts, idempotent=False)
    assert _admits(verdicts, idempotent=True)
    verdicts.observe(UPSTREAM, BAD, ms(2200))
    assert verdicts.state(UPSTREAM) is UpstreamState.sick
    assert not _admits(verdicts, idempotent=True)


def test_trials_are_idempotent_and_lead_back() -> None:
    """Only what may run twice is risked on an upstream in doubt."""
    verdicts = _verdicts()
    verdicts.observe(UPSTREAM, BAD, ZERO)
    verdicts.tick(ms(1100))
    assert verdicts.state(UPSTREAM) is UpstreamState.probation
    assert _admits(verdicts, idempotent=True)
    assert not _admits(verdicts, idempotent=False)
    for turn in range(4):
        verdicts.observe(UPSTREAM, GOOD, ms(1200 + 100 * turn))
    assert verdicts.state(UPSTREAM) is UpstreamState.serving


def test_failed_trial_ejects_again() -> None:
    """An episode that goes on must not be taken for its end."""
    verdicts = _verdicts()
    verdicts.observe(UPSTREAM, BAD, ZERO)
    verdicts.tick(ms(1100))
    verdicts.observe(UPSTREAM, BAD, ms(1200))
    assert verdicts.state(UPSTREAM) is UpstreamState.sick


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 5000)), max_size=50))
def test_belief_stays_a_probability(steps: list[tuple[bool, int]]) -> None:
    """No sequence of results may lead the estimate out of its range."""
    belief = Belief()
    now = ZERO
    for failed, gap_ms in steps:
        now += timedelta(milliseconds=gap_ms)
        before = belief.gray
        belief.age(now)
        belief.observe(failed=failed, now=now)
        assert 0 < belief.gray < 1
        if gap_ms == 0:
            assert (belief.gray > before) == failed
