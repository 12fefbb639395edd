"""Guards against more requests than an upstream takes from the whole fleet."""

from datetime import timedelta

import pytest
from fakes_fleet import FakeFleet, FakeUpstream, started
from hypothesis import given
from hypothesis import strategies as st

from greengagemux.clocks import ZERO, ms
from greengagemux.ratelimits import RateLimit

#: The users' bound: in any 4 s, one and a half times the limit and 5 requests.
WINDOW = timedelta(seconds=4)
ALLOWED_SHARE = 1.5
ALLOWED_SLACK = 5
#: Time in which a limit must be in force after it was named.
STABLE_MS = 3000


def _limited(fleet: FakeFleet, name: str, limit_per_s: float) -> FakeUpstream:
    upstream = fleet.nodes[name].upstreams[f'{name}-u0']
    upstream.rate_limit_per_s = limit_per_s
    return upstream


def _ask(
    fleet: FakeFleet,
    seconds: float,
    per_s: float,
    path: bytes = b'/stock/1',
    names: tuple[str, ...] = (),
) -> list[int]:
    """Send requests to the daemons in turn and return their exchanges."""
    asked_by = names or tuple(fleet.nodes)
    exchanges = []
    for turn in range(int(seconds * per_s)):
        tag = b'%d-%d' % (fleet.exchanges, turn)
        exchanges.append(fleet.ask(asked_by[turn % len(asked_by)], tag, path))
        fleet.run(1000 / per_s)
    return exchanges


def _excess(
    upstream: FakeUpstream, limit_per_s: float, since: timedelta
) -> float:
    """Return by how much the fullest window exceeds the bound."""
    times = [at for at in upstream.started if at >= since]
    most = max(
        (sum(at <= each < at + WINDOW for each in times) for at in times),
        default=0,
    )
    allowed = ALLOWED_SHARE * limit_per_s * WINDOW.total_seconds()
    return most - allowed - ALLOWED_SLACK


def _shares(fleet: FakeFleet, exchanges: list[int]) -> dict[str, float]:
    outcomes = [fleet.outcome(each) for each in exchanges]
    return {
        each: outcomes.count(each) / len(outcomes) for each in set(outcomes)
    }


@pytest.mark.parametrize('path', [b'/stock/1', b'/intake/1'])
@pytest.mark.parametrize('limit_per_s', [0, 0.5, 3, 9.5])
def test_limit_holds_over_all_ingress_daemons(
    limit_per_s: float, path: bytes
) -> None:
    """An upstream must not get the limit once from each ingress.

    The others have room for everything, so no request may fail for it.
    """
    fleet = started(6, data_centres=1)
    for each in fleet.upstreams:
        each.service_ms = 50
    upstream = _limited(fleet, 'd2', limit_per_s)
    _ask(fleet, STABLE_MS / 1000, 120, path)
    since = fleet.now
    exchanges = _ask(fleet, 9, 120, path)
    fleet.run(2000)
    assert _excess(upstream, limit_per_s, since) <= 0
    assert _shares(fleet, exchanges) == {'completed': 1}


def test_limit_is_used() -> None:
    """A limited upstream must get most of what it takes, not nothing."""
    fleet = started(6, data_centres=1)
    for each in fleet.upstreams:
        each.service_ms = 50
    upstream = _limited(fleet, 'd2', 6)
    _ask(fleet, 3, 240)
    before = len(upstream.runs)
    _ask(fleet, 10, 240)
    assert len(upstream.runs) - before >= 0.7 * 60


def test_restarted_egress_keeps_the_limit() -> None:
    """An egress that has forgotten the limit must not send a burst.

    Its ingress peers know the limit and have passed on answers that name it.
    """
    fleet = started(4, data_centres=1)
    upstream = _limited(fleet, 'd2', 1)
    for each in fleet.upstreams:
        each.service_ms = 100
    _ask(fleet, STABLE_MS / 1000, 100)
    since = fleet.now
    asked_by = ('d0', 'd1', 'd3')
    for _ in range(3):
        fleet.kill('d2')
        _ask(fleet, 1, 100, names=asked_by)
        fleet.nodes['d2'].start()
        _ask(fleet, 4, 100, names=asked_by)
    assert _excess(upstream, 1, since) <= 0


@pytest.mark.parametrize('limit_per_s', [1, 10])
@pytest.mark.parametrize('service_ms', [20, 200])
def test_restarts_in_series_save_up_nothing(
    limit_per_s: float, service_ms: float
) -> None:
    """Each new process must not send a burst of its own."""
    fleet = started(4, data_centres=1)
    upstream = _limited(fleet, 'd2', limit_per_s)
    for each in fleet.upstreams:
        each.service_ms = service_ms
    _ask(fleet, STABLE_MS / 1000, 400)
    since = fleet.now
    asked_by = ('d0', 'd1', 'd3')
    for _ in range(6):
        fleet.kill('d2')
        _ask(fleet, 0.1, 400, names=asked_by)
        fleet.nodes['d2'].start()
        _ask(fleet, 0.8, 400, names=asked_by)
    assert _excess(upstream, limit_per_s, since) <= 0


def test_hedges_and_retries_count() -> None:
    """Repeats of reads must not exceed the limit."""
    fleet = started(4, data_centres=1)
    upstream = _limited(fleet, 'd2', 2)
    for each in fleet.upstreams:
        each.service_ms = 100
    fleet.upstreams[0].service_ms = 900
    fleet.upstreams[1].status = 500
    _ask(fleet, STABLE_MS / 1000, 60)
    since = fleet.now
    _ask(fleet, 9, 60)
    assert _excess(upstream, 2, since) <= 0


def test_ended_limit_is_forgotten() -> None:
    """An upstream that names no limit any more must get its share again."""
    fleet = started(4, data_centres=1)
    upstream = _limited(fleet, 'd2', 0)
    _ask(fleet, 12, 100)
    upstream.rate_limit_per_s = None
    _ask(fleet, 6, 100)
    before = len(upstream.runs)
    _ask(fleet, 4, 100)
    assert len(upstream.runs) - before >= 0.15 * 400


def test_lowered_limit_holds() -> None:
    """A limit that changes must replace the last one."""
    fleet = started(4, data_centres=1)
    upstream = _limited(fleet, 'd2', 20)
    _ask(fleet, 5, 100)
    upstream.rate_limit_per_s = 2
    _ask(fleet, STABLE_MS / 1000, 100)
    since = fleet.now
    _ask(fleet, 9, 100)
    assert _excess(upstream, 2, since) <= 0


def test_requests_above_all_limits_are_rejected_at_once() -> None:
    """A request that no upstream takes in time must not wait for its deadline.

    ``Retry-After`` must name the time of the next free place, and the limits
    must be used up.
    """
    fleet = started(4, data_centres=1)
    upstreams = fleet.upstreams
    for upstream in upstreams:
        upstream.rate_limit_per_s = 2
    _ask(fleet, STABLE_MS / 1000, 40)
    since = fleet.now
    before = sum(len(each.runs) for each in upstreams)
    exchanges = _ask(fleet, 10, 40)
    fleet.run(3000)
    assert max(_excess(each, 2, since) for each in upstreams) <= 0
    ran = sum(len(each.runs) for each in upstreams) - before
    assert ran >= 0.9 * 80
    shares = _shares(fleet, exchanges)
    assert set(shares) == {'completed', 'not-run'}
    assert shares['not-run'] >= 0.6
    refused = [one for one in exchanges if fleet.outcome(one) == 'not-run']
    waits = [fleet.answered_at[one] - fleet.requests[one].at for one in refused]
    assert sum(wait < ms(100) for wait in waits) >= 0.95 * len(waits)
    reasons = {fleet.reason(one) for one in refused}
    assert reasons == {'rate-limited'}
    advice = [fleet.answers[one].retry_after_ms for one in refused]
    assert min(advice) > 0
    assert max(advice) <= 4000


@given(
    limit_per_s=st.floats(0, 50),
    gaps_ms=st.lists(st.integers(0, 400), min_size=1, max_size=300),
)
def test_no_window_exceeds_the_bound(
    limit_per_s: float, gaps_ms: list[int]
) -> None:
    """Requests that come in bursts must not save up more than the bound."""
    limit = RateLimit(limit_per_s, 0, ZERO)
    now = ZERO
    taken: list[timedelta] = []
    for gap_ms in gaps_ms:
        now += ms(gap_ms)
        if limit.admits(now):
            limit.spend(now)
            taken.append(now)
    most = max(sum(at <= each < at + WINDOW for each in taken) for at in taken)
    allowed = ALLOWED_SHARE * limit_per_s * WINDOW.total_seconds()
    assert most <= allowed + ALLOWED_SLACK


@given(
    limit_per_s=st.floats(0, 50),
    ahead=st.integers(0, 20),
    spent=st.integers(0, 30),
)
def test_wait_ends_when_the_request_is_taken(
    limit_per_s: float, ahead: int, spent: int
) -> None:
    """A wait that is too short or too long makes ``Retry-After`` wrong."""
    wait = RateLimit(limit_per_s, spent, ZERO).wait(ahead, ZERO)
    served = RateLimit(limit_per_s, spent + ahead, ZERO)
    if wait > ms(1):
        assert not served.admits(wait - ms(1))
    assert served.admits(wait + ms(0.01))
