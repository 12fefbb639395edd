"""Soak run: a fleet under load with a seeded fault at least once a second.

At the end, what callers were told is compared with what upstreams ran, and
the time line files are checked.
"""

import gc
import json
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import click

from greengagemux.checks import verify_files
from greengagemux.loadplans import parse_plan
from greengagemux.outcomes import FailureError

from .demos import termination_raises
from .fleets import DEPLOYMENTS, Daemon, fetch, layout
from .ledgers import read_entries
from .ports import free_base_port
from .processes import LaunchError, Processes
from .soakcallers import Callers, Told, with_plain_writes
from .soakchecks import (
    Polled,
    Verdict,
    fault_rows,
    judge,
    judge_bundles,
    last_rows,
    outcome_rows,
)
from .soakfaults import Fault, Injector
from .soakfleets import LinkedFleet

_POLL_S = 0.5
_POLL_LIMIT_S = 0.3
_SETTLE_S = 3
_SHOWN = 12
_GC_THRESHOLD = 100_000
_ERRORS = (LaunchError, FailureError, ValueError, OSError)


class Watcher(threading.Thread):
    """Polls the bundle in force at each daemon."""

    def __init__(self, fleet: LinkedFleet) -> None:
        """Poll until ``finish``."""
        super().__init__(name='bundles')
        self.polled: list[Polled] = []
        self._fleet = fleet
        self._ending = threading.Event()

    def finish(self) -> None:
        """Stop polling; ``join`` waits for it."""
        self._ending.set()

    def run(self) -> None:
        """Poll all daemons in turn."""
        while not self._ending.wait(_POLL_S):
            for daemon in self._fleet.layout.daemons:
                self._poll(daemon)

    def _poll(self, daemon: Daemon) -> None:
        process = self._fleet.processes.ids()[daemon.name]
        url = f'http://{daemon.admin_address}/bundle'
        try:
            found = json.loads(fetch(url, limit_s=_POLL_LIMIT_S))
        except OSError:
            return
        # The daemon may have been restarted meanwhile.
        same = process == self._fleet.processes.ids()[daemon.name]
        if same and found.get('version') is not None:
            self.polled.append(
                Polled(
                    daemon.name,
                    process,
                    found['version'],
                    found['offset'],
                    time.monotonic(),
                )
            )


@dataclass(slots=True)
class Soak:
    """One soak run on a fleet that is ready."""

    fleet: LinkedFleet
    seed: int
    rate: float
    duration_s: float
    kinds: tuple[str, ...] = ()
    told: list[Told] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    polled: list[Polled] = field(default_factory=list)

    def run(self) -> None:
        """Send load and inject faults; raises ``LaunchError``."""
        from twisted.internet import reactor  # noqa: PLC0415, WPS433

        network: Any = reactor
        gc.freeze()
        gc.set_threshold(_GC_THRESHOLD)
        injector = Injector(self.fleet, self.seed, self.kinds)
        watcher = Watcher(self.fleet)
        callers = self._callers(network)
        network.callWhenRunning(injector.start)
        network.callWhenRunning(watcher.start)
        finish = partial(_finish, network, injector, callers)
        network.callLater(self.duration_s, network.callInThread, finish)
        callers.start().addBoth(lambda _: network.stop())
        network.run()
        for thread in (injector, watcher):
            thread.finish()
            thread.join()
        self.told = callers.told
        self.faults = [*injector.faults, *injector.open_faults()]
        self.polled = watcher.polled
        self.notes = [
            f'errors of the injector: {injector.errors[:_SHOWN]}',
            f'bundle versions raced for: {len(injector.races)}',
            f'largest lag of the callers: {callers.lag_s * 1000:.0f} ms',
        ]

    def verdict(self) -> Verdict:
        """Judge the run; the fleet must have stopped."""
        placed = self.fleet.layout
        paths = [self.fleet.ledger_path(one.name) for one in placed.upstreams]
        names = {one.http_address: one.name for one in placed.daemons}
        verdict = judge(self.told, read_entries(paths), self.faults, names)
        verdict.broken['bundle-reverted'] += judge_bundles(self.polled)
        report = verify_files(self.timelines())
        for finding in report.findings:
            verdict.broken[f'time line: {finding.rule}'].append(str(finding))
        self.notes += report.remarks
        return verdict

    def timelines(self) -> list[Path]:
        """Return the time line files of all daemons."""
        processes = self.fleet.processes
        daemons = self.fleet.layout.daemons
        return [processes.log_path(one.name) for one in daemons]

    def _callers(self, network: Any) -> Callers:
        path = self.fleet.layout.deployment.plan_path
        plan = with_plain_writes(parse_plan(path.read_text(), str(path)))
        return Callers(
            plan,
            [one.http_address for one in self.fleet.layout.daemons],
            self.rate,
            self.seed,
            network,
        )


def _finish(network: Any, injector: Injector, callers: Callers) -> None:
    """End the faults, let the fleet recover and end the load."""
    injector.finish()
    injector.join()
    time.sleep(_SETTLE_S)
    network.callFromThread(callers.finish)


def report_lines(soak: Soak, verdict: Verdict) -> Iterator[str]:
    """Yield the report of a run."""
    kinds = Counter(fault.kind for fault in soak.faults)
    rate = len(soak.faults) / soak.duration_s
    yield f'seed {soak.seed}, {soak.duration_s:.0f} s, {soak.rate:.0f}/s'
    yield f'faults: {len(soak.faults)}, {rate:.2f} a second, {dict(kinds)}'
    yield 'outcomes of all attempts:'
    yield from outcome_rows(soak.told)
    yield 'last outcomes:'
    yield from last_rows(soak.told)
    yield from fault_rows(soak.told, soak.faults)
    yield from soak.notes
    yield f'excused: {dict(verdict.excused)}'
    yield f'time line files: {", ".join(map(str, soak.timelines()))}'
    for name, found in verdict.broken.items():
        yield f'{name}: {len(found)}'
        yield from (f'    {line}' for line in found[:_SHOWN])
    yield 'passed' if verdict.clean else 'FAILED'


@click.command(
    params=[
        click.Option(
            ['--deployment'],
            type=click.Choice(list(DEPLOYMENTS)),
            default='agency',
            show_default=True,
        ),
        click.Option(['--daemons'], default=6, show_default=True),
        click.Option(['--upstreams'], default=12, show_default=True),
        click.Option(
            ['--base-port'], default=0, help='First port; 0 for a free block.'
        ),
        click.Option(['--rate'], default=float(100), show_default=True),
        click.Option(['--duration-s'], default=float(60), show_default=True),
        click.Option(['--seed'], default=1, show_default=True),
        click.Option(
            ['--only', 'kinds'],
            multiple=True,
            help='Kind of fault to inject; may be repeated. Default: all.',
        ),
        click.Option(
            ['--run-dir'],
            type=click.Path(file_okay=False, path_type=Path),
            required=True,
            help='New directory for settings, logs, ledgers and the report.',
        ),
    ],
)
def soak(run_dir: Path, **options: Any) -> None:
    """Run a fleet under load and faults, and check what it did.

    Ends with status 1 when a requirement is broken.
    """
    try:
        clean = _run(run_dir, options)
    except _ERRORS as error:
        raise click.ClickException(str(error)) from error
    if not clean:
        raise click.exceptions.Exit(1)


def _run(run_dir: Path, options: dict[str, Any]) -> bool:
    if run_dir.exists() and any(run_dir.iterdir()):
        raise ValueError(f'{run_dir} is not empty')
    with termination_raises(), Processes(run_dir) as processes:
        fleet = LinkedFleet(
            layout(
                DEPLOYMENTS[options['deployment']],
                options['daemons'],
                options['upstreams'],
                options['base_port'] or free_base_port(),
            ),
            processes,
            run_dir,
            seed=options['seed'],
        )
        fleet.start()
        click.echo(f'{len(processes.ids())} processes are ready')
        one = Soak(
            fleet,
            options['seed'],
            options['rate'],
            options['duration_s'],
            options['kinds'],
        )
        one.run()
        killed = fleet.stop()
    one.notes.append(f'killed because they did not stop: {killed}')
    verdict = one.verdict()
    _write(run_dir, one, verdict)
    return verdict.clean


def _write(run_dir: Path, one: Soak, verdict: Verdict) -> None:
    lines: Sequence[str] = tuple(report_lines(one, verdict))
    (run_dir / 'report.txt').write_text('\n'.join(lines))
    told = ''.join(
        f'{json.dumps([str(part) for part in each])}\n' for each in one.told
    )
    (run_dir / 'told.jsonl').write_text(told)
    faults = ''.join(f'{json.dumps(each)}\n' for each in one.faults)
    (run_dir / 'faults.jsonl').write_text(faults)
    for line in lines:
        click.echo(line)
