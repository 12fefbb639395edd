"""Scenarios with real processes and signals."""

import json
import re
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from greengagemux.checks import verify_files
from greengagemux.loadplans import parse_plan
from greengagemux.loadreports import Result
from greengagemux_standins.callerthreads import CallerThreads
from greengagemux_standins.fleets import (
    AGENCY,
    OPERATOR,
    Daemon,
    answers_ok,
    fetch,
    layout,
)
from greengagemux_standins.ledgers import read_entries
from greengagemux_standins.ports import free_base_port
from greengagemux_standins.processes import Processes
from greengagemux_standins.soakcallers import with_plain_writes
from greengagemux_standins.soakchecks import judge
from greengagemux_standins.soakfaults import Fault
from greengagemux_standins.soakfleets import (
    SECOND_OPERATOR,
    DurableFleet,
)

scenarios('features/fleet.feature')

LIMIT_S = 60.0
#: Two of the smaller service, so that one daemon may stop.
UPSTREAMS = 6
#: One caller each; those of keyed writes may have to repeat for long.
KINDS = ('read', 'read', 'plain', 'keyed', 'keyed')


def _until(is_done: Callable[[], bool], what: str) -> None:
    until = time.monotonic() + LIMIT_S
    while not is_done():
        assert time.monotonic() < until, what
        time.sleep(0.05)


class Run:
    """A fleet, its callers and what they were told."""

    def __init__(self, fleet: DurableFleet) -> None:
        self.fleet = fleet
        self.daemons = list(fleet.layout.daemons)
        path = AGENCY.plan_path
        plan = with_plain_writes(parse_plan(path.read_text(), str(path)))
        self.callers = CallerThreads(plan, self.daemons, KINDS)
        self.count = self.callers.count
        self.faults: list[Fault] = []
        self.offsets: list[int] = []

    def begin_fault(self, kind: str, daemon: Daemon) -> None:
        """Excuse lost callers of a daemon from now on."""
        now = time.monotonic()
        self.faults.append(Fault(kind, daemon.name, now, now + LIMIT_S * 5))

    def wait_ready(self, daemon: Daemon) -> None:
        url = f'http://{daemon.admin_address}/ready'
        _until(lambda: answers_ok(url), f'{daemon.name} is not ready')

    def wait_usable(self) -> None:
        """Wait until all daemons may use all upstreams."""
        for daemon in self.daemons:
            _until(
                lambda: self.fleet.usable(daemon) == UPSTREAMS,  # noqa: B023
                f'{daemon.name} cannot use all upstreams',
            )

    def lines(self, daemon: Daemon) -> str:
        return self.fleet.processes.log_path(daemon.name).read_text()


def _kill_all(processes: Processes) -> None:
    """End a fleet; its graceful stop as a whole takes long."""
    for name in processes.ids():
        processes.kill(name)


@pytest.fixture
def run(tmp_path: Path) -> Iterator[Run]:
    """A fleet that is ready; its processes end with the test."""
    with Processes(tmp_path) as processes:
        placed = layout(AGENCY, 3, UPSTREAMS, free_base_port())
        fleet = DurableFleet(placed, processes, tmp_path)
        fleet.start()
        made = Run(fleet)
        try:
            yield made
        finally:
            made.callers.stop()
            _kill_all(processes)


@given('a fleet of 3 daemons')
def _fleet(run: Run) -> None:
    assert len(run.daemons) == 3


@given('a fleet of 3 daemons under load')
def _load(run: Run) -> None:
    run.wait_usable()
    run.callers.start()
    _until(lambda: run.count('keyed', Result.completed) > 10, 'no load')


@when('daemon 1 is killed')
def _kill(run: Run) -> None:
    run.begin_fault('daemon-kill', run.daemons[1])
    run.fleet.processes.kill(run.daemons[1].name)


@when(parsers.parse('{count:d} more requests have ended'))
def _more(run: Run, count: int) -> None:
    goal = run.count() + count
    _until(lambda: run.count() >= goal, f'{count} more requests')


@when(parsers.parse('{count:d} more keyed writes have completed'))
def _more_keyed(run: Run, count: int) -> None:
    goal = run.count('keyed', Result.completed) + count
    _until(lambda: run.count('keyed', Result.completed) >= goal, 'keyed writes')


@when(parsers.parse('{count:d} more reads have completed'))
def _more_reads(run: Run, count: int) -> None:
    goal = run.count('read', Result.completed) + count
    _until(lambda: run.count('read', Result.completed) >= goal, 'reads')


def _restart(run: Run, daemon: Daemon) -> None:
    run.callers.entrances = [one for one in run.daemons if one != daemon]
    # Requests under way at this daemon have ended after a few more.
    _more(run, 4 * len(KINDS))
    run.fleet.processes.terminate(daemon.name)
    _until(
        lambda: not run.fleet.processes.is_running(daemon.name),
        f'{daemon.name} does not stop',
    )
    run.fleet.start_daemon(daemon.name)
    run.wait_ready(daemon)
    run.wait_usable()


@when('each daemon is restarted while callers use the others')
def _roll(run: Run) -> None:
    for daemon in run.daemons:
        _restart(run, daemon)


@when('a new daemon is started and callers use it')
def _start_new(run: Run) -> None:
    old = run.fleet.layout
    larger = layout(AGENCY, len(old.daemons) + 1, UPSTREAMS, old.log_port)
    new = larger.daemons[-1]
    settings = run.fleet.run_dir / f'{old.daemons[0].name}.ini'
    key = re.search('alice = (.*)', settings.read_text())
    assert key
    path = run.fleet.run_dir / f'{new.name}.ini'
    path.write_text(run.fleet.settings(new, key.group(1)))
    run.fleet.start_daemon(new.name)
    run.wait_ready(new)
    run.daemons.append(new)
    run.callers.entrances = [new]


@when('the log is killed')
def _kill_log(run: Run) -> None:
    run.fleet.processes.kill('log')


@when('the log is restarted')
def _restart_log(run: Run) -> None:
    run.fleet.start_log()


@when('two operators publish version 2 at once')
def _race(run: Run) -> None:
    text = AGENCY.bundle_path.read_text()
    text = text.replace('version = 1\n', 'version = 2\n')
    text = text.replace('follows = 0\n', 'follows = 1\n')
    records = [
        run.fleet.sign(text, OPERATOR),
        run.fleet.sign(
            text.replace('retries_pct = 10', 'retries_pct = 11'),
            SECOND_OPERATOR,
        ),
    ]
    url = f'{run.fleet.layout.log_url}/streams/bundles'
    threads = [
        threading.Thread(
            target=lambda raw: run.offsets.append(
                json.loads(fetch(url, raw=raw))['offset']
            ),
            args=(record,),
        )
        for record in records
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then('the same bundle of version 2 comes into force at all daemons')
def _same_bundle(run: Run) -> None:
    for daemon in run.daemons:
        _until(
            lambda: run.fleet.bundle(daemon)['version'] == 2,  # noqa: B023
            f'{daemon.name} has no version 2',
        )
        assert run.fleet.bundle(daemon)['offset'] == min(run.offsets)


@then('all daemons reject the other one')
def _reject(run: Run) -> None:
    for daemon in run.daemons:
        _until(
            lambda: (
                max(run.offsets)  # noqa: B023
                in [
                    one['offset']
                    for one in run.fleet.bundle(daemon)['rejected']
                ]
            ),  # type: ignore[attr-defined]  # noqa: B023
            f'{daemon.name} does not reject',
        )
        assert run.fleet.bundle(daemon)['offset'] == min(run.offsets)


@when('daemon 1 is frozen until its key slots have another home')
def _freeze(run: Run) -> None:
    daemon = run.daemons[1]
    run.callers.entrances = [one for one in run.daemons if one != daemon]
    run.begin_fault('daemon-pause', daemon)
    before = run.fleet.homes()
    run.fleet.processes.pause(daemon.name)
    _until(lambda: run.fleet.homes() > before, 'no takeover')


@when('daemon 1 goes on')
def _thaw(run: Run) -> None:
    run.fleet.processes.resume(run.daemons[1].name)
    run.wait_ready(run.daemons[1])
    run.callers.entrances = list(run.daemons)


@when('an upstream hangs until it is ejected')
def _hang(run: Run) -> None:
    place = run.fleet.layout.upstreams[0]
    before = run.lines(place.daemon).count('"sick"')
    run.fleet.set_fault(place.name, hang=True, health='healthy')
    _until(
        lambda: run.lines(place.daemon).count('"sick"') > before,
        'the upstream is not ejected',
    )


@then('every caller was told the truth in time')
def _truth(run: Run) -> None:
    run.callers.stop()
    paths = [
        run.fleet.ledger_path(one.name) for one in run.fleet.layout.upstreams
    ]
    names = {one.http_address: one.name for one in run.daemons}
    verdict = judge(run.callers.told, read_entries(paths), run.faults, names)
    broken = {name: found for name, found in verdict.broken.items() if found}
    assert not broken
    assert run.count('', Result.completed) > 100


@then('only callers of the killed daemon lost their connection')
def _lost(run: Run) -> None:
    lost = {
        one.entrance for one in run.callers.told if one.outcome is Result.lost
    }
    assert lost <= {run.daemons[1].http_address}


@then('no request failed')
def _none_failed(run: Run) -> None:
    """The last outcome of each request counts, since keyed ones repeat."""
    last = {one.tag: one for one in run.callers.told}
    failed = [
        one for one in last.values() if one.outcome is not Result.completed
    ]
    assert not failed


@then('every stop was graceful')
def _graceful(run: Run) -> None:
    paths = [run.fleet.processes.log_path(one.name) for one in run.daemons]
    assert not verify_files(paths).findings
    for daemon in run.daemons:
        assert '"stopped"' in run.lines(daemon)
