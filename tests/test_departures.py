"""Guards the acknowledged departures of upstreams.

What a daemon has acknowledged binds it also where it did not know the
upstream, and binds its next process.
"""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
from fakes_fleet import FakeFleet, FakeUpstream, started
from test_episodes import SERVICE, UPSTREAM, _EgressHarness
from test_leaving import _ask, _outcomes
from test_platform_daemon import _Daemon

from greengagemux.clocks import ms
from greengagemux.events import Announced
from greengagemux.ids import UpstreamId
from greengagemux.messages import UpstreamState
from greengagemux.upstreams import ENDED_LIMIT, Upstreams

ADDRESS = 'a:1'


class _Harness(_EgressHarness):
    """An egress that knows no upstream yet."""

    def __init__(self) -> None:
        super().__init__()
        self.upstreams: Upstreams = self.egress.local_upstreams
        self.upstreams.remove(self.upstreams.by_id[UPSTREAM])
        self.upstreams._boots.clear()

    def leave(
        self, upstream: UpstreamId = UPSTREAM, boot: int = 7, **fields: bool
    ) -> None:
        """Deliver the last announcement of an upstream."""
        event = Announced(
            upstream,
            SERVICE,
            ADDRESS,
            1,
            UpstreamState.draining,
            boot=boot,
            last=True,
            **fields,
        )
        self.egress.announce(event, ms(1))

    def check_in(self, upstream: UpstreamId = UPSTREAM, boot: int = 7) -> None:
        """Deliver an announcement that says ready."""
        event = Announced(
            upstream,
            SERVICE,
            ADDRESS,
            1,
            UpstreamState.serving,
            boot=boot,
            sequence=9,
        )
        self.egress.announce(event, ms(2))

    def serving(self) -> set[UpstreamId]:
        """Return the upstreams that get requests."""
        return {
            name
            for name, each in self.egress.upstreams.items()
            if each.announced is UpstreamState.serving
        }


@pytest.mark.parametrize(
    ('boot', 'served'), [(6, False), (7, False), (8, True)]
)
def test_departure_of_an_unknown_upstream(boot: int, *, served: bool) -> None:
    """A late check-in must not bring back what was acknowledged as gone.

    A later start under the same id gets requests.
    """
    harness = _Harness()
    harness.leave()
    harness.check_in(boot=boot)
    assert harness.serving() == ({UPSTREAM} if served else set())


@pytest.mark.parametrize(
    ('boot', 'served'), [(999, False), (1000, False), (1001, True)]
)
def test_departure_without_a_boot(boot: int, *, served: bool) -> None:
    """It ends every start before the time at which it arrived."""
    harness = _Harness()
    harness.leave(boot=1000, boot_limit=True)
    harness.check_in(boot=boot)
    assert harness.serving() == ({UPSTREAM} if served else set())


def test_departure_without_a_boot_spares_another_upstream() -> None:
    """One that runs at the address by now has started before it arrived."""
    harness = _Harness()
    successor = UpstreamId('v')
    harness.check_in(successor, boot=8)
    harness.leave(boot=1000, boot_limit=True)
    harness.check_in(successor, boot=8)
    harness.check_in(boot=7)
    assert harness.serving() == {successor}


def test_late_departure_spares_the_next_boot() -> None:
    """It is that of an earlier process under the same id."""
    harness = _Harness()
    harness.check_in(boot=8)
    harness.leave(boot=7)
    assert harness.serving() == {UPSTREAM}


def test_drain_of_a_boot_is_final() -> None:
    """A check-in that says ready comes late, whatever its number is."""
    harness = _EgressHarness()
    harness.announce(UpstreamState.draining, sequence=2)
    harness.announce(UpstreamState.serving, sequence=3)
    state = harness.egress.upstreams[UPSTREAM].announced
    assert state is UpstreamState.draining


def test_drain_of_a_boot_outlasts_its_removal() -> None:
    """Guards against a late check-in after the process has ended."""
    harness = _EgressHarness()
    harness.announce(UpstreamState.draining, sequence=2)
    upstreams = harness.egress.local_upstreams
    upstreams.remove(upstreams.by_id[UPSTREAM])
    harness.announce(UpstreamState.serving, sequence=3)
    assert UPSTREAM not in harness.egress.upstreams


def test_ended_boots_are_limited() -> None:
    """Guards against memory that grows with each start of an upstream."""
    harness = _Harness()
    for number in range(ENDED_LIMIT + 10):
        harness.leave(UpstreamId(f'u{number}'), boot=number + 1)
    assert len(harness.upstreams._ended_boots) <= ENDED_LIMIT
    newest = UpstreamId(f'u{ENDED_LIMIT + 9}')
    harness.check_in(newest, boot=ENDED_LIMIT + 10)
    assert not harness.serving()


@pytest.mark.parametrize('asked_by', [('d0', 'd1', 'd3'), ('d2',)])
def test_acknowledged_drain_binds_the_next_process(
    asked_by: tuple[str, ...],
) -> None:
    """Peers remember it, and tell a daemon that has started again.

    Its only news of the upstream is a late check-in, which says ready.
    """
    fleet, upstream = _started_numbered()
    upstream.draining = True
    fleet.run(1000)
    _restart(fleet)
    upstream.draining = False
    fleet.run(4000)
    before = len(upstream.runs)
    exchanges = _ask(fleet, 3, names=asked_by)
    assert len(upstream.runs) == before
    assert _outcomes(fleet, exchanges) == {'completed'}


def test_drain_is_told_before_it_is_acknowledged() -> None:
    """A process may be killed as soon as it has acknowledged."""
    fleet, upstream = _started_numbered()
    upstream.draining = True
    fleet.announce(fleet.nodes['d2'])
    _restart(fleet)
    upstream.draining = False
    fleet.run(4000)
    before = len(upstream.runs)
    _ask(fleet, 3)
    assert len(upstream.runs) == before


def test_next_boot_of_a_drained_upstream_gets_work() -> None:
    """What peers remember must not outlast the process it is about."""
    fleet, upstream = _started_numbered()
    upstream.draining = True
    fleet.run(1000)
    _restart(fleet)
    upstream.draining = False
    upstream.boot = 6
    fleet.run(4000)
    before = len(upstream.runs)
    _ask(fleet, 4)
    assert len(upstream.runs) > before


def _started_numbered() -> tuple[FakeFleet, FakeUpstream]:
    """Return a fleet and the upstream beside d2, which numbers its boots."""
    fleet = started(4, data_centres=1)
    upstream = fleet.nodes['d2'].upstreams['d2-u0']
    upstream.boot = 5
    fleet.run(2000)
    return fleet, upstream


def _restart(fleet: FakeFleet) -> None:
    fleet.kill('d2')
    fleet.run(500)
    fleet.nodes['d2'].start()


@pytest.fixture(name='daemon')
def _daemon(tmp_path: Path) -> Iterator[_Daemon]:
    instance = _Daemon(tmp_path)
    yield instance
    instance.close()


@pytest.mark.parametrize('named', [True, False])
@pytest.mark.parametrize('first', ['ready', 'unknown'])
def test_daemon_process_keeps_to_a_departure(
    daemon: _Daemon, first: str, *, named: bool
) -> None:
    """Guards against requests after a ``DELETE`` that was acknowledged.

    A daemon that has just started gets it before any check-in.
    """
    daemon.wait_ready()
    if first == 'ready':
        daemon.announce('ready')
    body = json.dumps({'born': 1}) if named else ''
    response = daemon.ask(
        'control',
        'DELETE /api/instances/i-1 HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}',
    )
    assert response.startswith(b'HTTP/1.1 200 ')
    daemon.announce('ready')
    assert b' 503 ' in daemon.request('GET', '/list/1')
    assert not daemon.upstream.received
