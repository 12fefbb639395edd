"""Guards the failure detector against false alarms and missed failures."""

import math
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux.baselines import Baselines
from greengagemux.detectors import (
    FAILURE_SHARES,
    HEALTHY_SHARES,
    Detector,
    ErrorRates,
    Sample,
    SampleKind,
)
from greengagemux.experiments import efficiency_rows
from greengagemux.ids import RouteName, ServiceName, UpstreamId

ROUTE = RouteName('stock')
SERVICE = ServiceName('ledger')
RATES = ErrorRates()
_kinds = st.sampled_from([*SampleKind, *(SampleKind.success for _ in range(9))])


def _sample(kind: SampleKind, service_ms: float = 20, **more: bool) -> Sample:
    return Sample(kind, ROUTE, service_ms, 20, **more)


def _samples_to_limit(sample: Sample, most: int = 100) -> int | None:
    detector = Detector(RATES)
    for _ in range(30):
        detector.observe(_sample(SampleKind.success))
    for count in range(1, most + 1):
        if detector.observe(sample, learn=False).share >= 1:
            return count
    return None


@settings(derandomize=True, deadline=None)
@given(kinds=st.lists(_kinds, max_size=60))
def test_scores_equal_naive_page_test(kinds: list[SampleKind]) -> None:
    """The running sums must equal the best tail sum over all samples."""
    detector = Detector(RATES)
    steps: list[list[float]] = [[] for _ in FAILURE_SHARES]
    for kind in kinds:
        detector.observe(_sample(kind, fresh=True), learn=False)
        error = kind is SampleKind.success
        listed = SampleKind.error if error else kind
        healthy = HEALTHY_SHARES[listed]
        for step, share in zip(steps, FAILURE_SHARES, strict=True):
            ratio = (1 - share) / (1 - healthy) if error else share / healthy
            step.append(math.log(ratio))
    for step, score in zip(steps, detector.failure_scores, strict=True):
        tails = (sum(step[start:]) for start in range(len(step) + 1))
        assert score == pytest.approx(max(tails))


@pytest.mark.parametrize('kind', SampleKind)
def test_each_failure_is_found(kind: SampleKind) -> None:
    """Each kind of failure must reach the limit within five requests."""
    if kind is SampleKind.success:
        return
    assert (_samples_to_limit(_sample(kind, 300, fresh=True)) or 99) <= 5


def test_slow_answers_are_found() -> None:
    """Three times slower must be found within 1 s at 20 requests a second."""
    assert (_samples_to_limit(_sample(SampleKind.success, 60)) or 99) <= 20
    assert (_samples_to_limit(_sample(SampleKind.success, 200)) or 99) <= 6


def test_slow_route_is_not_sickness() -> None:
    """A route that is slow on all upstreams must not look like slowness."""
    slow = Sample(SampleKind.success, RouteName('report'), 900, 900)
    assert _samples_to_limit(slow) is None


def test_silent_reused_connections_are_not_sickness() -> None:
    """Connections of an idle pool can all die at once; that is not sickness."""
    detector = Detector(RATES)
    for _ in range(4):
        reading = detector.observe(_sample(SampleKind.silent, 300))
    assert reading.share < 1


def test_unknown_expected_time_uses_own_baseline() -> None:
    """Without peers, slowness is measured against the upstream's own past."""
    detector = Detector(RATES)
    for _ in range(100):
        detector.observe(Sample(SampleKind.success, ROUTE, 20))
    for _ in range(10):
        reading = detector.observe(Sample(SampleKind.success, ROUTE, 200))
    assert reading.cause == 'slowness'
    assert reading.share >= 1


def test_bimodal_route_is_learned() -> None:
    """A bimodal route must not look sick once its distribution is learned."""
    rng = Random(3)
    detector = Detector(RATES)
    for _ in range(3000):
        took = 20 * rng.lognormvariate(0, 0.5)
        took *= 6 if rng.random() < 0.2 else 1
        reading = detector.observe(_sample(SampleKind.success, took))
        assert reading.share < 1


def test_slow_down_of_the_service_is_not_sickness() -> None:
    """When all upstreams slow down, no single one may look slow."""
    rng = Random(5)
    baselines = Baselines()
    detectors = {UpstreamId(f'u{each}'): Detector(RATES) for each in range(8)}
    for number in range(3000):
        name = rng.choice(list(detectors))
        slower = 1 + 3 * min(max(number - 2000, 0) / 200, 1)
        took = 20 * slower * rng.lognormvariate(0, 0.5)
        known = baselines.expect(SERVICE, ROUTE, name).service_ms
        sample = Sample(SampleKind.success, ROUTE, took, known)
        assert detectors[name].observe(sample).share < 1
        baselines.add(SERVICE, ROUTE, name, took)


def test_unhealthy_service_ignores_errors_but_not_wrong_answers() -> None:
    """While a service is unhealthy, errors are ignored, wrong answers not."""
    for kind, ejects in ((SampleKind.error, False), (SampleKind.wrong, True)):
        detector = Detector(RATES)
        for _ in range(9):
            reading = detector.observe(_sample(kind), service_unhealthy=True)
        assert (reading.share >= 1) == ejects


def test_within_one_and_a_half_of_wald() -> None:
    """The detector must need at most 1.5 times the samples of Wald's bound."""
    for row in efficiency_rows(60, RATES):
        assert row['ratio'] <= 1.5


def test_expected_time_leaves_out_the_upstream_itself() -> None:
    """A slow upstream must not raise the time that is expected of it."""
    baselines = Baselines()
    for number in range(60):
        slow = number % 2 == 0
        name = UpstreamId('slow' if slow else 'fine')
        baselines.add(SERVICE, ROUTE, name, 500 if slow else 20)
    slow_one = baselines.expect(SERVICE, ROUTE, UpstreamId('slow'))
    assert slow_one.service_ms == 20


def test_expected_time_follows_the_whole_service() -> None:
    """The expected time must follow a general slow-down in a few responses."""
    baselines = Baselines()
    for number in range(200):
        baselines.add(SERVICE, ROUTE, UpstreamId(f'u{number % 8}'), 20)
    other = RouteName('report')
    for number in range(200):
        baselines.add(SERVICE, other, UpstreamId(f'u{number % 8}'), 200)
    for number in range(16):
        baselines.add(SERVICE, ROUTE, UpstreamId(f'u{number % 8}'), 60)
    expected = baselines.expect(SERVICE, other, UpstreamId('u0'))
    assert expected.service_ms == pytest.approx(600)


def test_errors_that_peers_share_are_ignored() -> None:
    """Errors of all upstreams must not make a single one look sick."""
    baselines = Baselines()
    for number in range(400):
        name = UpstreamId(f'u{number % 8}')
        baselines.add(SERVICE, ROUTE, name, 20, error=number % 5 == 0)
    share = baselines.expect(SERVICE, ROUTE, UpstreamId('u0')).error_share
    for known, ejects in ((share, False), (0, True)):
        detector = Detector(RATES)
        for number in range(60):
            kind = SampleKind.success if number % 5 else SampleKind.error
            sample = replace(_sample(kind), peer_errors=known)
            reading = detector.observe(sample, learn=False)
        assert (reading.share >= 1) == ejects


def test_late_update_of_peer_errors_lowers_score() -> None:
    """Errors from before the peers' were known must be evaluated again."""
    detector = Detector(RATES)
    for number in range(14):
        kind = SampleKind.success if number < 10 else SampleKind.error
        reading = detector.observe(_sample(kind), learn=False)
    assert reading.share >= 1
    late = replace(_sample(SampleKind.success), peer_errors=0.2)
    assert detector.observe(late, learn=False).share < 0.5


def test_errors_of_one_peer_do_not_raise_expected_errors() -> None:
    """One failing peer must not raise the errors expected of the others."""
    baselines = Baselines()
    for number in range(80):
        name = UpstreamId(f'u{number % 8}')
        baselines.add(SERVICE, ROUTE, name, 20, error=number % 8 == 1)
    expected = baselines.expect(SERVICE, ROUTE, UpstreamId('u0'))
    assert not expected.error_share
