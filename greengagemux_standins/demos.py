"""Demonstration: a fleet under load while one upstream is sick."""

import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from types import FrameType
from typing import Any

import click

from greengagemux.loadplans import parse_plan
from greengagemux.loadreports import Report, as_json, as_text
from greengagemux.loads import Ended, LoadOptions, run_load
from greengagemux.outcomes import FailureError

from .checks import Violations, compare
from .fleets import DEPLOYMENTS, Fleet, layout
from .ledgers import LedgerPage
from .ports import free_base_port
from .processes import LaunchError, Processes

#: Kinds of sickness with their standing faults; each claims to be healthy.
_Faults = dict[str, object]
SICKNESS: tuple[tuple[str, _Faults], ...] = (
    ('hang', {'hang': True}),
    ('slow', {'slow': 10}),
    ('errors', {'errors': 1}),
    ('some-errors', {'errors': 0.2}),
    ('wrong', {'wrong': 1}),
    ('half-alive', {'half_alive': 0.5}),
    ('flapping', {'flap_period_ms': 4000}),
)
SAMPLE_S = (0, 1, 2, 3, 5)


@dataclass(eq=False, slots=True)
class Demo:
    """One demonstration on a fleet that runs."""

    fleet: Fleet
    sick: str
    faults: dict[str, object]
    options: LoadOptions
    ended: list[Ended] = field(default_factory=list)
    samples: list[tuple[int, int]] = field(default_factory=list)

    def run(self) -> Report:
        """Send load and make the upstream sick after a third of it."""
        path = self.fleet.layout.deployment.plan_path
        plan = parse_plan(path.read_text(), str(path))
        return run_load(plan, self.options, self._prepare)

    def compare(self) -> Violations:
        """Compare what callers were told with what upstreams ran."""
        pages: list[LedgerPage] = []
        lost = False
        for place in self.fleet.layout.upstreams:
            try:
                pages.append(self.fleet.ledger(place.name))
            except OSError:
                lost = True
        return compare(self.ended, pages, lost)

    def samples_text(self) -> str:
        """Return how much work the sick upstream got after its fault."""
        if not self.samples:
            return f'{self.sick}: no samples'
        first = self.samples[0][1]
        counts = ', '.join(
            f'{after_s} s: {started - first}'
            for after_s, started in self.samples
        )
        return f'work begun by {self.sick} after its fault: {counts}'

    def _prepare(self, reactor: Any) -> None:
        fault_s = self.options.warm_up_s + self.options.duration_s / 3
        reactor.callLater(fault_s, reactor.callInThread, self._make_sick)
        for after_s in SAMPLE_S:
            reactor.callLater(
                fault_s + after_s, reactor.callInThread, self._sample, after_s
            )

    def _make_sick(self) -> None:
        self.fleet.set_fault(self.sick, health='healthy', **self.faults)

    def _sample(self, after_s: int) -> None:
        page = self.fleet.ledger(self.sick, runs=False)
        self.samples.append((after_s, page.started))


def _leave(_number: int, _frame: FrameType | None) -> None:
    sys.exit(1)


@contextmanager
def termination_raises() -> Iterator[None]:
    """Turn SIGTERM into an exit, so that child processes are ended."""
    previous = signal.signal(signal.SIGTERM, _leave)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, previous)


@click.command(
    params=[
        click.Option(
            ['--deployment'],
            type=click.Choice(list(DEPLOYMENTS)),
            default='agency',
            show_default=True,
        ),
        click.Option(['--daemons'], default=4, show_default=True),
        click.Option(['--upstreams'], default=8, show_default=True),
        click.Option(
            ['--base-port'],
            default=0,
            help='First port; 0 for a free block.',
        ),
        click.Option(['--rate'], default=float(100), show_default=True),
        click.Option(['--duration-s'], default=float(15), show_default=True),
        click.Option(['--seed'], default=1, show_default=True),
        click.Option(
            ['--sickness'],
            type=click.Choice([name for name, _ in SICKNESS]),
            default='hang',
            show_default=True,
            help='What is wrong with the sick upstream.',
        ),
        click.Option(
            ['--direct/--no-direct'],
            default=False,
            help='Also send each request directly, to report added time.',
        ),
        click.Option(
            ['--run-dir'],
            type=click.Path(file_okay=False, path_type=Path),
            default=Path('run'),
            show_default=True,
            help='Directory for settings and logs.',
        ),
    ],
)
def demo(run_dir: Path, **options: Any) -> None:
    """Start a fleet, send load while one upstream is sick, and report.

    Ends with status 1 after a hung request, a wrong answer or a request that
    ran against what its caller was told.
    """
    with termination_raises(), Processes(run_dir) as processes:
        try:
            passed = _demonstrate(run_dir, processes, options)
        except (LaunchError, FailureError, ValueError) as error:
            raise click.ClickException(str(error)) from error
    if not passed:
        raise click.exceptions.Exit(1)


def _demonstrate(
    run_dir: Path, processes: Processes, options: dict[str, Any]
) -> bool:
    fleet = Fleet(
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
    shown = _new_demo(fleet, options)
    report = shown.run()
    violations = shown.compare()
    killed = fleet.stop()
    (run_dir / 'report.json').write_bytes(as_json(report))
    click.echo(as_text(report))
    click.echo(shown.samples_text())
    click.echo(f'checked against the ledgers: {violations}')
    click.echo(f'killed because they did not stop: {killed}')
    return violations.clean and not (report.hung or report.wrong)


def _new_demo(fleet: Fleet, options: dict[str, Any]) -> Demo:
    places = fleet.layout.upstreams
    direct = [f'{place.service.name}={place.address}' for place in places]
    ended: list[Ended] = []
    return Demo(
        fleet,
        places[0].name,
        dict(SICKNESS)[options['sickness']],
        LoadOptions(
            entrances=tuple(
                daemon.http_address for daemon in fleet.layout.daemons
            ),
            # The sick upstream would make the direct path look slow.
            direct=tuple(direct[1:]) if options['direct'] else (),
            rate=options['rate'],
            duration_s=options['duration_s'],
            seed=options['seed'],
            on_end=ended.append,
        ),
        ended,
    )
