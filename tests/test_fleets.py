"""Guards against a launcher that builds wrong fleets or leaves processes."""

import configparser
import hashlib
import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux.loadplans import parse_plan
from greengagemux.loadreports import Result
from greengagemux.loads import Ended
from greengagemux_standins import checks, demos, fleets
from greengagemux_standins.faults import FaultOrder
from greengagemux_standins.ledgers import Ledger, WorkKey
from greengagemux_standins.processes import LaunchError, Processes

DEPLOYMENTS = list(fleets.DEPLOYMENTS.values())
WAITING = ('-c', 'import signal; print("up", flush=True); signal.pause()')
#: Without a handler, Linux ends even a paused process by SIGTERM.
HANDLING = (
    '-c',
    'import signal, sys; signal.signal(15, lambda *_: sys.exit(0));'
    ' print("up", flush=True); signal.pause()',
)
LIMIT_MS = 30_000


def _ini(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return parser


def _words(text: str) -> list[str]:
    return [word.strip() for word in text.split(',')]


@settings(derandomize=True, deadline=None)
@given(
    deployment=st.sampled_from(DEPLOYMENTS),
    daemons=st.integers(1, 60),
    upstreams=st.integers(2, 80),
)
def test_layout_is_complete_and_has_no_clash(
    deployment: fleets.Deployment, daemons: int, upstreams: int
) -> None:
    """Two processes on one port or under one name would hide each other."""
    fleet = fleets.layout(deployment, daemons, upstreams, 30_000)
    ports = [place.port for place in fleet.upstreams] + [fleet.log_port]
    ports += [
        daemon.http_port + part for daemon in fleet.daemons for part in range(3)
    ]
    assert len(set(ports)) == len(ports) == 1 + upstreams + 3 * daemons
    names = [one.name for one in (*fleet.daemons, *fleet.upstreams)]
    assert len(set(names)) == daemons + upstreams
    assert {place.service for place in fleet.upstreams} == set(
        deployment.services
    )
    centres = {daemon.data_centre for daemon in fleet.daemons}
    assert len(centres) == min(4, daemons)


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_settings_have_the_form_of_the_design_page(
    deployment: fleets.Deployment,
) -> None:
    """A daemon refuses settings with missing or unknown keys."""
    fleet = fleets.layout(deployment)
    seeds = set()
    for daemon in fleet.daemons:
        parsed = _ini(fleets.settings_text(fleet, daemon, 'ab' * 32))
        own = parsed['daemon']
        assert own['id'] == daemon.name
        assert daemon.peer_address not in own['seeds']
        assert len(_words(own['seeds'])) == 3
        seeds.update(_words(own['seeds']))
        assert parsed['log']['url'] == fleet.log_url
        assert parsed['operators']['alice'] == 'ab' * 32
    assert seeds == {daemon.peer_address for daemon in fleet.daemons}


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_bundle_admits_the_load_plan(deployment: fleets.Deployment) -> None:
    """A caller of the plan without a route would measure only refusals."""
    bundle = _ini(deployment.bundle_path.read_text())
    plan = parse_plan(deployment.plan_path.read_text(), 'plan')
    names = {service.name for service in deployment.services}
    assert names == {
        name.partition(' ')[2]
        for name in bundle.sections()
        if name.startswith('service ')
    }
    for profile in plan.profiles:
        caller = bundle[f'caller {profile.name}']
        digest = hashlib.sha256(profile.token.encode()).hexdigest()
        assert caller['token_sha256'] == digest
        assert caller['priority'] == profile.priority.value
        assert f'team {caller["team"]}' in bundle
        routes = [bundle[f'route {name}'] for name in _words(caller['routes'])]
        for target in profile.targets:
            route = next(
                one for one in routes if target.startswith(one['prefix'])
            )
            assert route['service'] == profile.service
            assert profile.method in _words(route['methods'])
            assert profile.deadline_ms <= int(route['deadline_ms'])
            assert profile.keyed is (route['idempotent'] == 'no')


def test_bad_sizes_are_refused() -> None:
    """A fleet without upstreams of a service could not be measured."""
    with pytest.raises(ValueError, match='upstreams'):
        fleets.layout(fleets.AGENCY, upstreams=1)
    with pytest.raises(ValueError, match='daemons'):
        fleets.layout(fleets.AGENCY, daemons=0)


@pytest.mark.parametrize('faults', [faults for _, faults in demos.SICKNESS])
def test_each_sickness_is_a_valid_order(faults: dict[str, Any]) -> None:
    """A refused order would leave the upstream of a demo healthy."""
    assert FaultOrder(**faults) != FaultOrder()


class _Recorder(Processes):
    """Notes what would be started and stopped."""

    def __init__(self, run_dir: Path) -> None:
        super().__init__(run_dir)
        self.calls: list[str] = []

    def ids(self) -> dict[str, int]:
        return dict.fromkeys(self.calls, 0)

    def start(self, name: str, _arguments: Any) -> int:
        self.calls.append(name)
        return 0

    def run(self, name: str, arguments: Any, _limit_s: float) -> str:
        assert not any('{' in word for word in arguments)
        self.calls.append(name)
        return 'ab' * 32 if name == 'keygen' else ''

    def wait_until(self, *_arguments: Any) -> None:
        pass

    def stop(self, names: Any, *_limit: Any) -> list[str]:
        self.calls.append('stop {0}'.format(' '.join(sorted(names))))
        return []


def test_fleet_starts_and_stops_in_order(tmp_path: Path) -> None:
    """Daemons need the log and a bundle first, and upstreams to the end."""
    recorder = _Recorder(tmp_path)
    fleet = fleets.Fleet(fleets.layout(fleets.HANBIT, 1, 2), recorder, tmp_path)
    fleet.start()
    fleet.stop()
    assert recorder.calls == [
        'log',
        'keygen',
        'sign',
        'publish',
        'gyeonggi-a-1',
        'ledger-1',
        'dispatch-2',
        'stop gyeonggi-a-1',
        'stop dispatch-2 ledger-1',
        'stop log',
    ]
    assert 'ab' * 32 in (tmp_path / 'gyeonggi-a-1.ini').read_text()


def _is_gone(process_id: int) -> bool:
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return True
    return False


def test_context_ends_all_processes(tmp_path: Path) -> None:
    """No child may survive, not even a paused one or after an error."""
    with pytest.raises(RuntimeError), Processes(tmp_path) as processes:
        for name in ('a', 'b', 'c'):
            processes.start(name, WAITING)
            log = processes.log_path(name)
            processes.wait_until(name, log.read_bytes, LIMIT_MS)
        processes.pause('a')
        processes.kill('b')
        ids = processes.ids()
        assert not processes.is_running('b')
        raise RuntimeError
    assert all(map(_is_gone, ids.values()))


def test_paused_process_stops_without_a_kill(tmp_path: Path) -> None:
    """A paused process must get the chance to end by itself."""
    with Processes(tmp_path) as processes:
        processes.start('a', HANDLING)
        processes.wait_until('a', processes.log_path('a').read_bytes, LIMIT_MS)
        processes.pause('a')
        assert processes.stop(['a']) == []


def test_process_that_ends_early_is_reported(tmp_path: Path) -> None:
    """The reason of a failed start must be in the error."""
    with Processes(tmp_path) as processes:
        processes.start('broken', ('-c', 'raise SystemExit("no port")'))
        with pytest.raises(LaunchError, match='no port'):
            processes.wait_until('broken', bool, LIMIT_MS)
        with pytest.raises(LaunchError, match='no such step'):
            processes.run('step', ('-c', 'exit("no such step")'), 30)
        with pytest.raises(LaunchError, match='known: broken'):
            processes.kill('other')


def _end(tag: str, outcome: Result) -> Ended:
    return Ended(tag, 'fleet', 'p', 'POST', '/', outcome, '', 0)


def test_ledgers_show_broken_requirements() -> None:
    """A second run, or a run of a "not run" request, must be found."""
    ledgers = [Ledger('a'), Ledger('b')]
    for tag, method, number in (
        ('twice', 'POST', 0),
        ('twice', 'POST', 1),
        ('again', 'GET', 0),
        ('again', 'GET', 1),
        ('denied', 'POST', 0),
    ):
        key = WorkKey('', tag, '', '', method, '/')
        ledgers[number].start(key)
        ledgers[number].finish(key)
    ended = [
        _end('twice', Result.completed),
        _end('again', Result.completed),
        _end('denied', Result.not_run),
        _end('refused', Result.not_run),
        _end('absent', Result.completed),
        _end('open', Result.unknown),
    ]
    found = checks.compare(ended, [one.page() for one in ledgers])
    assert found == checks.Violations(
        doubled=('twice',),
        denied=('denied',),
        missing=('absent',),
        uncertain=False,
    )
    assert not found.clean
