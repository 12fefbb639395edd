"""Command that measures what one daemon needs in a full-size fleet."""

from collections.abc import Iterable, Sequence
from dataclasses import astuple, fields
from statistics import linear_regression

import click

from .bundlecosts import FULL, Size, bundle_costs
from .idlecosts import IdleCost, MemoryCost, idle_cost, memory_costs
from .spreads import RolloutSimulation, Trial, trials

FULL_DAEMONS = 650
_SIZES = (80, 160, 320, FULL_DAEMONS)


@click.group()
def capacity() -> None:
    """Measure what a daemon needs, by calling its reducer directly."""


def show_table(names: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table in Markdown."""
    click.echo('| {0} |'.format(' | '.join(names)))
    click.echo('| {0} |'.format(' | '.join('---' for _ in names)))
    for row in rows:
        click.echo('| {0} |'.format(' | '.join(map(_format_cell, row))))


def fit(name: str, sizes: Sequence[float], values: Sequence[float]) -> str:
    """Return a fitted line and its value at full size, as a list item.

    ``sizes`` are numbers of daemons and ``values`` the values measured.
    """
    if len(set(sizes)) < 2:
        return f'- {name}: one size only'
    slope, intercept = linear_regression(sizes, values)
    at_full_size = intercept + slope * FULL_DAEMONS
    return (
        f'- {name} = {intercept:.3g} + {slope:.3g} x daemons;'
        f' {at_full_size:.3g} at 650'
    )


def quantiles(times: Sequence[float]) -> tuple[float, float, float]:
    """Return median, 99th percentile and maximum."""
    ascending = sorted(times)
    last = len(ascending) - 1
    return (
        ascending[last // 2],
        ascending[min(last, int(len(ascending) * 0.99))],
        ascending[last],
    )


def _format_cell(cell: object) -> str:
    return f'{cell:.3g}' if isinstance(cell, float) else str(cell)


@capacity.command()
@click.option('--share', type=click.FloatRange(0.001, 1), default=1)
@click.option('--versions', type=click.IntRange(1, 60), default=5)
def bundles(share: float, versions: int) -> None:
    """Apply a first bundle and deltas to it, at SHARE of full size."""
    size = FULL if share == 1 else Size().part(share)
    show_table(
        ('record', 'bytes', 'processor ms', 'turns', 'longest ms'),
        (
            (
                cost.name,
                cost.size_bytes,
                cost.processor_ms,
                cost.turns,
                cost.longest_ms,
            )
            for cost in bundle_costs(size, versions)
        ),
    )


@capacity.command()
@click.option('--daemons', type=click.IntRange(14, 650), multiple=True)
@click.option('--versions', type=click.IntRange(1, 200), default=100)
def rollout(daemons: tuple[int, ...], versions: int) -> None:
    """Time until a bundle is in force everywhere, on a fake clock."""
    show_table(
        (
            'daemons',
            'record',
            'readers killed',
            'loss',
            'versions',
            'p50 s',
            'p99 s',
            'max s',
        ),
        map(_rollout_row, trials(daemons or _SIZES, versions)),
    )


def _rollout_row(trial: Trial) -> tuple[object, ...]:
    times = RolloutSimulation(trial).run()
    kind = 'full' if trial.full else 'delta'
    parameters = (trial.daemons, kind, trial.kill_readers, trial.loss)
    return (*parameters, len(times), *quantiles(times))


@capacity.command()
@click.option('--upstreams', type=click.IntRange(0, 12), default=12)
def idle(upstreams: int) -> None:
    """Ticks of a daemon without requests, by members and open streams."""
    sizes = (10, 20, 40, *_SIZES)
    costs = [idle_cost(size, size, upstreams) for size in sizes]
    show_table(_names(IdleCost), map(astuple, costs))
    cores = [cost.core_pct for cost in costs]
    click.echo(fit('core %', [float(size) for size in sizes], cores))


@capacity.command()
def memory() -> None:
    """Bytes of a known member with its path, an account and a route."""
    show_table(_names(MemoryCost), map(astuple, memory_costs()))


def _names(kind: type[IdleCost] | type[MemoryCost]) -> list[str]:
    return [column.name for column in fields(kind)]
