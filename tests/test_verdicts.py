"""Guards the states of an upstream, from suspicion to readmission."""

from dataclasses import replace
from datetime import timedelta

from greengagemux.clocks import ms
from greengagemux.detectors import Sample, SampleKind
from greengagemux.ids import RouteName, ServiceName, UpstreamId
from greengagemux.messages import UpstreamState
from greengagemux.verdicts import READMIT_DELAY, Verdicts

U1 = UpstreamId('u1')
SERVICE = ServiceName('ledger')
ROUTE = RouteName('stock')
_WELL = (UpstreamState.serving, UpstreamState.serving)
START = timedelta(minutes=5)


def _verdicts() -> Verdicts:
    verdicts = Verdicts()
    verdicts.announced(U1, SERVICE, 4, UpstreamState.serving, timedelta())
    verdicts.tick(START)
    return verdicts


def _feed(
    verdicts: Verdicts, sample: Sample, count: int, start: timedelta
) -> timedelta:
    now = start
    for _ in range(count):
        now += ms(50)
        verdicts.observe(U1, sample, now)
    return now


def _sample(kind: SampleKind, service_ms: float = 20) -> Sample:
    return Sample(kind, ROUTE, service_ms, 20, fresh=True)


def _sick() -> tuple[Verdicts, timedelta]:
    verdicts = _verdicts()
    now = _feed(verdicts, _sample(SampleKind.wrong), 4, START)
    assert verdicts.state(U1) is UpstreamState.sick
    return verdicts, now


def test_sick_upstream_returns_through_probation() -> None:
    """Readmission needs the delay and live idempotent requests."""
    verdicts, now = _sick()
    assert not verdicts.admits(U1, 0, idempotent=True, forced=False)
    assert verdicts.admits(U1, 0, idempotent=True, forced=True)
    now += READMIT_DELAY
    verdicts.tick(now)
    assert verdicts.state(U1) is UpstreamState.probation
    assert not verdicts.admits(U1, 0, idempotent=False, forced=False)
    assert not verdicts.admits(U1, 1, idempotent=True, forced=False)
    _feed(verdicts, _sample(SampleKind.success), 12, now)
    assert verdicts.state(U1) is UpstreamState.serving


def test_flapping_waits_longer() -> None:
    """Each ejection must double the delay, one on probation thrice."""
    for kind, factor in ((SampleKind.wrong, 8), (SampleKind.success, 2)):
        verdicts, now = _sick()
        now += READMIT_DELAY
        verdicts.tick(now)
        now = _feed(verdicts, _sample(kind), 12 if factor == 2 else 1, now)
        while verdicts.state(U1) is not UpstreamState.sick:
            now = _feed(verdicts, _sample(SampleKind.wrong), 1, now)
        verdicts.tick(now + factor * READMIT_DELAY - ms(1))
        assert verdicts.state(U1) is UpstreamState.sick
        verdicts.tick(now + factor * READMIT_DELAY)
        assert verdicts.state(U1) is UpstreamState.probation


def test_one_failure_ends_probation() -> None:
    """A readmission must risk one live request, not several."""
    verdicts, now = _sick()
    now += READMIT_DELAY
    verdicts.tick(now)
    _feed(verdicts, _sample(SampleKind.error), 1, now)
    assert verdicts.state(U1) is UpstreamState.sick


def test_errors_of_peers_excuse_probation() -> None:
    """Errors that all upstreams return must not prolong an ejection."""
    verdicts, now = _sick()
    now += READMIT_DELAY
    verdicts.tick(now)
    shared = replace(_sample(SampleKind.error), peer_errors=0.1)
    _feed(verdicts, shared, 1, now)
    assert verdicts.state(U1) is UpstreamState.probation


def test_service_trouble_ejects_nobody_for_errors() -> None:
    """Overload of the whole service must not eject single upstreams."""
    for peers, ejected in (
        ((UpstreamState.suspect, UpstreamState.suspect, *_WELL), False),
        (_WELL, True),
    ):
        verdicts = _verdicts()
        verdicts.note_peers(SERVICE, peers)
        _feed(verdicts, _sample(SampleKind.error), 20, START)
        assert (verdicts.state(U1) is UpstreamState.sick) == ejected


def test_suspect_is_ejected_without_another_sample() -> None:
    """A slow upstream must not stay in use until its next answer."""
    verdicts = _verdicts()
    now = _feed(verdicts, _sample(SampleKind.error), 3, START)
    assert verdicts.state(U1) is UpstreamState.suspect
    verdicts.tick(now + ms(300))
    assert verdicts.state(U1) is UpstreamState.sick


def test_own_stall_is_not_sickness() -> None:
    """A pause of this process must not count against its upstreams."""
    verdicts = _verdicts()
    now = _feed(verdicts, _sample(SampleKind.success), 20, START)
    now += ms(1500)
    for _ in range(4):
        verdicts.observe(U1, _sample(SampleKind.silent, 1500), now)
    assert verdicts.state(U1) is UpstreamState.serving
    limit_ms = verdicts.silence_limit_ms(U1, ROUTE, 20, now - ms(1500), now)
    assert limit_ms > 1500


def test_cold_start_is_not_sickness() -> None:
    """Slow answers of an upstream that has just started prove nothing."""
    verdicts = _verdicts()
    verdicts.announced(U1, SERVICE, 4, UpstreamState.cold, START)
    verdicts.announced(U1, SERVICE, 4, UpstreamState.serving, START + ms(1))
    _feed(verdicts, _sample(SampleKind.success, 200), 40, START)
    assert verdicts.state(U1) is UpstreamState.serving


def test_crash_ejects_at_once() -> None:
    """An ended process must not wait for samples."""
    change = _verdicts().crashed(U1, START)[0]
    assert change.state is UpstreamState.sick


def test_probes_have_a_budget() -> None:
    """Only doubtful upstreams are probed, one probe at a time."""
    assert not _verdicts().may_probe(U1, START)
    verdicts, now = _sick()
    assert verdicts.may_probe(U1, now)
    assert not verdicts.may_probe(U1, now)
    verdicts.probed(U1, alive=False, now=now)
    assert not verdicts.may_probe(U1, now + ms(100))


def test_why_gives_the_evidence() -> None:
    """An operator must see state, evidence and when it ends."""
    verdicts, _ = _sick()
    assert 'sick' in verdicts.why(U1)
    assert 'wrong' in verdicts.why(U1)
    assert 'probation in' in verdicts.why(U1)
