"""Guards the health states of an upstream, from suspicion to readmission."""

from dataclasses import replace
from datetime import timedelta

from greengagemux.clocks import ms
from greengagemux.detectors import Sample, SampleKind
from greengagemux.ids import RouteName, ServiceName, UpstreamId
from greengagemux.messages import UpstreamState
from greengagemux.healthstates import (
    READMIT_DELAY,
    READMIT_DELAY_MAX,
    HealthTracker,
)

U1 = UpstreamId('u1')
SERVICE = ServiceName('ledger')
ROUTE = RouteName('stock')
_HEALTHY_PEERS = (UpstreamState.serving, UpstreamState.serving)
START = timedelta(minutes=5)


def _started_tracker() -> HealthTracker:
    health_tracker = HealthTracker()
    health_tracker.announced(U1, SERVICE, 4, UpstreamState.serving, timedelta())
    health_tracker.tick(START)
    return health_tracker


def _observe_repeatedly(
    health_tracker: HealthTracker, sample: Sample, count: int, start: timedelta
) -> timedelta:
    now = start
    for _ in range(count):
        now += ms(50)
        health_tracker.observe(U1, sample, now)
    return now


def _sample(kind: SampleKind, service_ms: float = 20) -> Sample:
    return Sample(kind, ROUTE, service_ms, 20, fresh=True)


def _sick_tracker() -> tuple[HealthTracker, timedelta]:
    health_tracker = _started_tracker()
    now = _observe_repeatedly(
        health_tracker, _sample(SampleKind.wrong), 4, START
    )
    assert health_tracker.state(U1) is UpstreamState.sick
    return health_tracker, now


def test_upstream_that_stays_sick_is_readmitted_each_time() -> None:
    """Guards against a delay that overflows after many ejections."""
    health_tracker, now = _sick_tracker()
    for _ in range(100):
        now += READMIT_DELAY_MAX
        health_tracker.tick(now)
        assert health_tracker.state(U1) is UpstreamState.probation
        now = _observe_repeatedly(
            health_tracker, _sample(SampleKind.wrong), 4, now
        )
        assert health_tracker.state(U1) is UpstreamState.sick


def test_sick_upstream_returns_through_probation() -> None:
    """Readmission must need the delay and live idempotent requests."""
    health_tracker, now = _sick_tracker()
    assert not health_tracker.admits(U1, 0, idempotent=True, forced=False)
    assert health_tracker.admits(U1, 0, idempotent=True, forced=True)
    now += READMIT_DELAY
    health_tracker.tick(now)
    assert health_tracker.state(U1) is UpstreamState.probation
    assert not health_tracker.admits(U1, 0, idempotent=False, forced=False)
    assert not health_tracker.admits(U1, 1, idempotent=True, forced=False)
    _observe_repeatedly(health_tracker, _sample(SampleKind.success), 12, now)
    assert health_tracker.state(U1) is UpstreamState.serving


def test_flapping_waits_longer() -> None:
    """Each ejection must double the delay, one on probation three times."""
    for kind, factor in ((SampleKind.wrong, 8), (SampleKind.success, 2)):
        health_tracker, now = _sick_tracker()
        now += READMIT_DELAY
        health_tracker.tick(now)
        now = _observe_repeatedly(
            health_tracker, _sample(kind), 12 if factor == 2 else 1, now
        )
        while health_tracker.state(U1) is not UpstreamState.sick:
            now = _observe_repeatedly(
                health_tracker, _sample(SampleKind.wrong), 1, now
            )
        health_tracker.tick(now + factor * READMIT_DELAY - ms(1))
        assert health_tracker.state(U1) is UpstreamState.sick
        health_tracker.tick(now + factor * READMIT_DELAY)
        assert health_tracker.state(U1) is UpstreamState.probation


def test_one_failure_ends_probation() -> None:
    """If an upstream is still sick, probation must risk only one request."""
    health_tracker, now = _sick_tracker()
    now += READMIT_DELAY
    health_tracker.tick(now)
    _observe_repeatedly(health_tracker, _sample(SampleKind.error), 1, now)
    assert health_tracker.state(U1) is UpstreamState.sick


def test_errors_that_peers_share_do_not_end_probation() -> None:
    """Errors that all upstreams return must not prolong an ejection."""
    health_tracker, now = _sick_tracker()
    now += READMIT_DELAY
    health_tracker.tick(now)
    shared = replace(_sample(SampleKind.error), peer_errors=0.1)
    _observe_repeatedly(health_tracker, shared, 1, now)
    assert health_tracker.state(U1) is UpstreamState.probation


def test_unhealthy_service_ejects_no_upstream_for_errors() -> None:
    """Overload of the whole service must not eject single upstreams."""
    for peers, ejected in (
        (
            (UpstreamState.suspect, UpstreamState.suspect, *_HEALTHY_PEERS),
            False,
        ),
        (_HEALTHY_PEERS, True),
    ):
        health_tracker = _started_tracker()
        health_tracker.update_peer_states(SERVICE, peers)
        _observe_repeatedly(
            health_tracker, _sample(SampleKind.error), 20, START
        )
        assert (health_tracker.state(U1) is UpstreamState.sick) == ejected


def test_suspect_is_ejected_without_another_sample() -> None:
    """A suspect upstream must not stay in use until its next sample."""
    health_tracker = _started_tracker()
    now = _observe_repeatedly(
        health_tracker, _sample(SampleKind.error), 3, START
    )
    assert health_tracker.state(U1) is UpstreamState.suspect
    health_tracker.tick(now + ms(300))
    assert health_tracker.state(U1) is UpstreamState.sick


def test_own_stall_is_not_sickness() -> None:
    """A pause of this process must not count against its upstreams."""
    health_tracker = _started_tracker()
    now = _observe_repeatedly(
        health_tracker, _sample(SampleKind.success), 20, START
    )
    now += ms(1500)
    for _ in range(4):
        health_tracker.observe(U1, _sample(SampleKind.silent, 1500), now)
    assert health_tracker.state(U1) is UpstreamState.serving
    limit_ms = health_tracker.silence_limit_ms(
        U1, ROUTE, 20, now - ms(1500), now
    )
    assert limit_ms > 1500


def test_cold_start_is_not_sickness() -> None:
    """Slow responses right after a start must not make an upstream sick."""
    health_tracker = _started_tracker()
    health_tracker.announced(U1, SERVICE, 4, UpstreamState.cold, START)
    health_tracker.announced(
        U1, SERVICE, 4, UpstreamState.serving, START + ms(1)
    )
    _observe_repeatedly(
        health_tracker, _sample(SampleKind.success, 200), 40, START
    )
    assert health_tracker.state(U1) is UpstreamState.serving


def test_crash_ejects_at_once() -> None:
    """An upstream whose process ended must be ejected without samples."""
    change = _started_tracker().crashed(U1, START)[0]
    assert change.state is UpstreamState.sick


def test_probes_have_a_budget() -> None:
    """Only suspect or sick upstreams are probed, one probe at a time."""
    assert not _started_tracker().may_probe(U1, START)
    health_tracker, now = _sick_tracker()
    assert health_tracker.may_probe(U1, now)
    assert not health_tracker.may_probe(U1, now)
    health_tracker.probed(U1, alive=False, now=now)
    assert not health_tracker.may_probe(U1, now + ms(100))


def test_why_gives_the_evidence() -> None:
    """An operator must see state, evidence and when probation begins."""
    health_tracker, _ = _sick_tracker()
    assert 'sick' in health_tracker.why(U1)
    assert 'wrong' in health_tracker.why(U1)
    assert 'probation in' in health_tracker.why(U1)
