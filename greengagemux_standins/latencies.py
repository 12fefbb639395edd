"""Measures the time that two daemons add to a request.

One daemon is the entrance, the other one the last hop of a single upstream
with a nearly constant service time. Each run sends every request through the
fleet and directly to the upstream. The processor time is that of a daemon for
each request, its control work included.
"""

import json
import os
from pathlib import Path
from typing import Any, Final

import click

from .fleets import Commands, Deployment, Fleet, Service, layout
from .ports import free_base_port
from .processes import LaunchError, Processes

LATENCY: Final = Deployment(
    name='latency',
    data_centres=(('dakar', 'dakar-rufisque'), ('dakar', 'dakar-pikine')),
    services=(Service('depot-ledger', 1, 2),),
    slots=8,
)
#: Time for the upstream and the connections to become warm.
WARM_UP_S: Final = 3
_LOAD_LIMIT_S: Final = 120
_SIGMA: Final = '--sigma=0.01'
_PROFILER: Final = ('-m', 'cProfile', '-o', '{settings}.prof')


@click.command(
    params=[
        click.Option(['--runs'], default=5, show_default=True),
        click.Option(['--rate'], default=float(215), show_default=True),
        click.Option(['--duration-s'], default=float(10), show_default=True),
        click.Option(
            ['--base-port'],
            default=0,
            help='First port; 0 for a free block.',
        ),
        click.Option(
            ['--profile'],
            is_flag=True,
            help='Run the daemons under cProfile; files are in the run dir.',
        ),
        click.Option(
            ['--run-dir'],
            type=click.Path(file_okay=False, path_type=Path),
            default=Path('run'),
            show_default=True,
        ),
    ],
)
def latency(run_dir: Path, *, profile: bool, **options: Any) -> None:
    """Print the time added by two daemons, run by run."""
    plain = Commands()
    commands = Commands(
        serve=(*_PROFILER, *plain.serve) if profile else plain.serve,
        upstream=(*plain.upstream, _SIGMA),
    )
    with Processes(run_dir) as processes:
        places = layout(LATENCY, 2, 1, options['base_port'] or free_base_port())
        try:
            _measure(Fleet(places, processes, run_dir, commands), options)
        except LaunchError as error:
            raise click.ClickException(str(error)) from error


def _measure(fleet: Fleet, options: dict[str, Any]) -> None:
    fleet.start()
    click.echo(
        f'{"run":<6}{"direct p50":>12}{"p99":>8}{"fleet p50":>12}{"p99":>8}'
        f'{"added p50":>12}{"p99":>8}{"paired p99":>12}'
        f'{"entrance cpu":>14}{"last hop cpu":>14}  (ms)'
    )
    started = fleet.processes.ids()
    ids = [started[daemon.name] for daemon in reversed(fleet.layout.daemons)]
    for seed in range(1, options['runs'] + 1):
        before = [_cpu_ms(each) for each in ids]
        report = _run(fleet, seed, options)
        requests = options['rate'] * (options['duration_s'] + WARM_UP_S)
        spent = [
            (_cpu_ms(each) - earlier) / requests
            for each, earlier in zip(ids, before, strict=True)
        ]
        click.echo(_row(seed, report, spent))
    fleet.stop()


def _run(fleet: Fleet, seed: int, options: dict[str, Any]) -> Any:
    report = fleet.run_dir.resolve() / f'latency-{seed}.json'
    # The first upstream is beside the first daemon.
    entrance = fleet.layout.daemons[1].http_address
    given = {
        'plan': LATENCY.plan_path,
        'target': entrance,
        'direct': fleet.layout.upstreams[0].address,
        'rate': options['rate'],
        'duration-s': options['duration_s'],
        'warm-up-s': WARM_UP_S,
        'seed': seed,
        'json': report,
    }
    words = [f'--{name}={value}' for name, value in given.items()]
    arguments = ('-m', 'greengagemux', 'load', *words)
    fleet.processes.run(f'load-{seed}', arguments, _LOAD_LIMIT_S)
    return json.loads(report.read_bytes())


def _cpu_ms(process: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f'/proc/{process}/stat').read_text().rpartition(')')[2]
    ticks = sum(int(field) for field in fields.split()[11:13])
    return ticks * 1000 / os.sysconf('SC_CLK_TCK')


def _row(seed: int, report: Any, spent: list[float]) -> str:
    latencies = {each['path']: each['latency'] for each in report['profiles']}
    direct = latencies['direct']
    through = latencies['fleet']
    added = report['added']
    cells = (
        (direct['p50_ms'], 12),
        (direct['p99_ms'], 8),
        (through['p50_ms'], 12),
        (through['p99_ms'], 8),
        (added['p50_ms'], 12),
        (added['p99_ms'], 8),
        (added['paired']['p99_ms'], 12),
        (spent[0], 14),
        (spent[1], 14),
    )
    columns = ''.join(f'{figure:>{width}.2f}' for figure, width in cells)
    return f'{seed:<6}{columns}'
