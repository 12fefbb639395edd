"""Guards against exceptions that stop other work of a daemon.

Each test makes one part of a daemon raise, as an unknown fault would, and
checks what must go on beside it.
"""

from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

import pytest
from fakes_fleet import BUNDLE, FakeFleet, Node, started
from sockets import reactor, turn
from test_episodes import UPSTREAM, _EgressHarness, _replies
from test_platform_daemon import PROPAGATION_S, _Daemon

from greengagemux import runtimes
from greengagemux.clocks import ManualClock, in_ms, ms
from greengagemux.effects import Effect, StepFailed
from greengagemux.events import CallFault, StopRequested, Tick
from greengagemux.ids import DaemonId, DataCentre, Incarnation, Region
from greengagemux.logs import BufferedHandler
from greengagemux.messages import Answer, MemberRecord, Refusal
from greengagemux.outcomes import Outcome, Reason
from greengagemux.reducers import Daemon, DaemonOptions, reduce
from greengagemux.rollouts import Rollout
from greengagemux_standins.platformfleets import configuration, version_prefix
from greengagemux_standins.platformupstreams import Work

#: Parts of a daemon whose periodic work may fail, as attribute paths.
PARTS = (
    'egress.health_tracker.tick',
    'egress._check_silence',
    'egress._end_past_deadline',
    'egress._refuse_late_queued',
    'egress._preempt',
    'ingress.candidates.age',
    'ingress._expire',
    'crashes.tick',
    'members.tick',
    'keyed.tick',
    'paths.tick',
)


class _BrokenError(Exception):
    """The exception that a part raises."""


def _raise(*_args: object, **_options: object) -> Any:
    raise _BrokenError


def _break(monkeypatch: pytest.MonkeyPatch, node: Node, part: str) -> None:
    *owners, name = part.split('.')
    owner: Any = node.daemon
    for each in owners:
        owner = getattr(owner, each)
    monkeypatch.setattr(owner, name, _raise)


@pytest.fixture(name='fleet')
def _fleet(monkeypatch: pytest.MonkeyPatch) -> FakeFleet:
    """Return a fleet whose daemons may report exceptions of a part."""
    fleet = started(3, data_centres=1)

    def apply(
        daemon: Daemon, event: Any, now: timedelta
    ) -> list[Effect | StepFailed]:
        effects = reduce(daemon, event, now)
        for effect in effects:
            if isinstance(effect, StepFailed):
                assert isinstance(effect.error, _BrokenError)
        return [each for each in effects if not isinstance(each, StepFailed)]

    monkeypatch.setattr('fakes_fleet.apply', apply)
    return fleet


@pytest.mark.parametrize('part', PARTS)
def test_failing_part_stops_no_other_part_of_a_tick(
    fleet: FakeFleet, monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    """Deadlines, new versions and a stop must have their effect."""
    node = fleet.nodes['d0']
    node.upstreams['d0-u0'].hang = True
    _break(monkeypatch, node, part)
    exchanges = [fleet.ask('d0', b'%d' % number) for number in range(40)]
    fleet.run(200)
    fleet.publish(
        BUNDLE.replace('version = 1', 'version = 2').replace(
            'follows = 0', 'follows = 1'
        )
    )
    fleet.run(int(fleet.deadline.total_seconds() * 1000))
    assert all(each in fleet.answers for each in exchanges)
    assert node.daemon.distribution.bundle.version == 2
    node.submit(StopRequested())
    fleet.run(in_ms(node.daemon.options.stop_limit) + 1000)
    assert node.exited


@pytest.mark.parametrize(
    ('part', 'status'), [('observe', 200), ('observe', 500), ('tick', 200)]
)
def test_failed_health_tracking_costs_no_answer(
    monkeypatch: pytest.MonkeyPatch, part: str, status: int
) -> None:
    """The caller gets the answer at once, and the next request runs."""
    harness = _EgressHarness()
    monkeypatch.setattr(harness.egress.health_tracker, part, _raise)
    for number in (1, 2):
        harness.dispatch(number)
        harness.answer(harness.calls()[0], status)
        harness.egress.tick(ms(100))
        replies = _replies(harness)
        assert [type(each) for each in replies] == [Answer]
    assert not harness.egress.busy


@pytest.mark.parametrize('sent', [True, False])
def test_failed_health_tracking_costs_no_refusal(
    monkeypatch: pytest.MonkeyPatch, *, sent: bool
) -> None:
    """A refusal says whether the request may have run."""
    harness = _EgressHarness()
    monkeypatch.setattr(harness.egress.health_tracker, 'observe', _raise)
    harness.dispatch(1)
    harness.fail(CallFault.truncated, sent=sent)
    refusal = _replies(harness)[0]
    assert isinstance(refusal, Refusal)
    outcome = Outcome.unknown if sent else Outcome.not_run
    assert refusal.outcome is outcome
    assert not harness.egress.busy


def test_request_in_a_broken_state_ends_at_its_deadline() -> None:
    """Guards against a request that is neither queued nor running.

    It may have run, so its refusal must not say that it has not.
    """
    harness = _EgressHarness()
    harness.dispatch(1)
    harness.dispatch(2)
    running = harness.egress.upstreams[UPSTREAM].running
    job = next(iter(running.values()))
    harness.egress._release(job, job.upstream)
    for now in (ms(1001), ms(1100)):
        harness.egress.tick(now)
    outcomes = {each.request: each.outcome for each in _replies(harness)}
    assert outcomes == {1: Outcome.unknown, 2: Outcome.not_run}
    assert not harness.egress.busy


@pytest.mark.parametrize(
    ('part', 'status'),
    [
        ('ingress._accounts.admit', 503),
        ('ingress._begin', 503),
        ('ingress._attempts._record_placement', 503),
    ],
)
def test_failed_admission_is_answered_at_once(
    fleet: FakeFleet, monkeypatch: pytest.MonkeyPatch, part: str, status: int
) -> None:
    """A caller must not wait for its deadline."""
    _break(monkeypatch, fleet.nodes['d0'], part)
    exchange = fleet.ask('d0', b'1')
    assert fleet.answers[exchange].status == status
    assert Reason.internal_error.value.encode() in fleet.answers[exchange].body
    assert not fleet.nodes['d0'].daemon.ingress.busy


def test_failures_of_a_step_are_logged_with_a_limit() -> None:
    """All failures are counted; a log line a second is enough of one step."""
    name = DaemonId('d')
    own = MemberRecord(
        name, Incarnation(1), 1, DataCentre('a'), Region('r'), '127.0.0.1:1'
    )
    clock = ManualClock()
    handler = BufferedHandler(clock, name, Incarnation(1), lambda _data: 0)
    rollout = Rollout({}, name, own.data_centre)
    daemon = Daemon(DaemonOptions(own, (), ms(1000)), rollout, Random(1))
    runtime = runtimes.Runtime(
        runtimes.Process(reactor, clock, handler), daemon
    )
    daemon.crashes.tick = _raise  # type: ignore[method-assign]
    logged: list[str] = []
    runtimes.logger.addFilter(lambda record: logged.append(record.msg) or True)
    for _ in range(40):
        runtime.submit(Tick(clock.wall()))
        clock.advance(ms(100))
    assert logged.count('event failed: %s') == 4
    page = runtime.metrics.prometheus()
    assert 'event_failures_total{step="crashes-tick"} 40' in page


#: Makes the health tracker of a daemon process fail on each error.
_SITE = """
from greengagemux.episodes import EpisodeHealthTracker

def _fail(self, record, sample, belief, now):
    raise OverflowError('broken')

EpisodeHealthTracker._eject = _fail
"""


@pytest.fixture(name='broken')
def _broken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[_Daemon]:
    (tmp_path / 'sitecustomize.py').write_text(_SITE)
    monkeypatch.setenv('PYTHONPATH', str(tmp_path))
    instance = _Daemon(tmp_path)
    yield instance
    instance.close()


def test_daemon_process_with_a_broken_part_lives_on(broken: _Daemon) -> None:
    """Answers, new versions of the configuration and a stop must work.

    Guards against one failed answer that ends the work of its daemon.
    """
    broken.wait_ready()
    broken.announce('ready')
    broken.upstream.draw = lambda: Work(breaks_off=True)
    for number in range(3):
        assert broken.request('GET', f'/list/{number}')
    broken.upstream.draw = Work
    broken.store.append('keyed.op', 'config', configuration(2))
    path = f'{version_prefix(2)}1'
    for _ in range(int(PROPAGATION_S / 0.05)):
        response = broken.request('GET', path)
        if b' 404 ' not in response:
            break
        turn(50)
    assert b' 200 ' in response
    log = broken.stop()
    assert broken.process.returncode == 0
    assert 'event failed: failure-accounting' in log
