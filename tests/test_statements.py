"""Guards against a soak that overlooks broken limits and departures."""

import pytest

from greengagemux_standins.platformupstreams import Run
from greengagemux_standins.soakfaults import Fault
from greengagemux_standins.statements import (
    LEAVE,
    LIMIT,
    Statement,
    StatementJudge,
    plan_statements,
)
from greengagemux_standins.stopcallers import Call, End
from greengagemux_standins.stopchecks import STOP

LEAVING = Statement(10, 20, LEAVE, '1')
LIMITED = Statement(10, 20, LIMIT, '1', 1)


def _history(
    sent_s: list[float], daemon: str = 'd2'
) -> tuple[list[Call], list[Run]]:
    calls = [
        Call(
            f'{daemon}-{at}',
            daemon,
            'c',
            'GET',
            at,
            End.answered,
            200,
            at + 0.1,
        )
        for at in sent_s
    ]
    runs = [
        Run(call.request, '1', 'GET', call.sent_s + 0.01, call.ended_s)
        for call in calls
    ]
    return calls, runs


@pytest.mark.parametrize(
    ('sent_s', 'faults', 'found'),
    [
        ([10.5, 12.7], [], 1),
        ([10.5, 12.5], [], 0),
        ([9.5, 15], [], 0),
        ([10.5, 21], [], 0),
        ([10.5, 15], [Fault(STOP, 'd2', 11, 13)], 0),
        ([10.5, 15], [Fault(STOP, 'd3', 11, 13)], 1),
    ],
)
def test_work_for_a_leaving_upstream_is_found(
    sent_s: list[float], faults: list[Fault], found: int
) -> None:
    """Only a restart of the daemon of the request excuses it."""
    calls, runs = _history(sent_s)
    judge = StatementJudge(calls, runs, faults)
    assert len(list(judge.broken(LEAVING))) == found


def test_requests_above_a_limit_are_found_as_a_sum() -> None:
    """Two daemons that each keep the limit must not pass together."""
    first = _history([10.5, *(14 + at / 2 for at in range(8))])
    second = _history([10.6, *(14.1 + at / 2 for at in range(8))], 'd3')
    alone = StatementJudge(*first, [])
    assert not list(alone.broken(LIMITED))
    both = StatementJudge([*first[0], *second[0]], [*first[1], *second[1]], [])
    assert list(both.broken(LIMITED))


def test_plan_has_limits_and_a_departure() -> None:
    """A run without statements shows nothing about them."""
    upstreams = [str(place) for place in range(8)]
    plan = plan_statements(1, upstreams, 15)
    assert plan == plan_statements(1, upstreams, 15)
    assert {each.kind for each in plan} == {LIMIT, LEAVE}
    assert all(each.until_s > each.since_s for each in plan)
