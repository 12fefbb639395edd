"""Guards against work for upstreams that state in responses that they leave."""

import pytest
from fakes_fleet import FakeFleet, started


def _ask(
    fleet: FakeFleet, seconds: float, names: tuple[str, ...] = ()
) -> list[int]:
    """Send 100 requests a second to the daemons in turn."""
    asked_by = names or tuple(fleet.nodes)
    exchanges = []
    for turn in range(int(seconds * 100)):
        tag = b'%d' % fleet.exchanges
        exchanges.append(fleet.ask(asked_by[turn % len(asked_by)], tag))
        fleet.run(10)
    return exchanges


def _outcomes(fleet: FakeFleet, exchanges: list[int]) -> set[str]:
    return {fleet.outcome(each) for each in exchanges}


@pytest.mark.parametrize('status', [200, 500])
def test_leaving_in_a_response_ends_new_work(status: int) -> None:
    """An upstream must get no work after it has said that it leaves.

    Its announcements still say ready, as if they were delayed.
    """
    fleet = started(4, data_centres=1)
    upstream = fleet.nodes['d2'].upstreams['d2-u0']
    upstream.leaving = True
    upstream.status = status
    _ask(fleet, 2)
    before = len(upstream.runs)
    exchanges = _ask(fleet, 5)
    assert len(upstream.runs) == before
    assert _outcomes(fleet, exchanges) == {'completed'}


def test_cut_off_daemon_obeys_leaving() -> None:
    """The daemon beside the upstream must stop, also without any peer."""
    fleet = started(3, data_centres=1)
    for name in ('d0', 'd1'):
        fleet.cut('d2', name)
        fleet.cut(name, 'd2')
    upstream = fleet.nodes['d2'].upstreams['d2-u0']
    upstream.leaving = True
    _ask(fleet, 2, names=('d2',))
    before = len(upstream.runs)
    assert before
    exchanges = _ask(fleet, 3, names=('d2',))
    assert len(upstream.runs) == before
    fleet.run(3000)
    assert _outcomes(fleet, exchanges) == {'not-run'}


def test_restarted_egress_does_not_revive_a_leaving_upstream() -> None:
    """Ingress daemons that passed on the news must remember it.

    The new process of the egress knows only announcements that say ready.
    """
    fleet = started(4, data_centres=1)
    upstream = fleet.nodes['d2'].upstreams['d2-u0']
    upstream.leaving = True
    _ask(fleet, 2)
    assert upstream.runs
    asked_by = ('d0', 'd1', 'd3')
    fleet.kill('d2')
    _ask(fleet, 1, names=asked_by)
    fleet.nodes['d2'].start()
    before = len(upstream.runs)
    _ask(fleet, 6, names=asked_by)
    assert len(upstream.runs) == before


def test_new_boot_of_a_leaving_upstream_gets_work() -> None:
    """An upstream that starts again under its id must get requests again."""
    fleet = started(4, data_centres=1)
    upstream = fleet.nodes['d2'].upstreams['d2-u0']
    upstream.leaving = True
    _ask(fleet, 2)
    before = len(upstream.runs)
    upstream.leaving = False
    upstream.boot = 1
    _ask(fleet, 4)
    assert len(upstream.runs) - before >= 0.1 * 400
