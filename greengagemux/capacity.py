"""Command that measures what one daemon needs at full size."""

from collections.abc import Iterable, Sequence

import click

from .bundlecosts import FULL, Size, bundle_costs


@click.group()
def capacity() -> None:
    """Measure what a daemon needs, with its reducer fed directly."""


def show_table(names: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table in Markdown."""
    click.echo('| {0} |'.format(' | '.join(names)))
    click.echo('| {0} |'.format(' | '.join('---' for _ in names)))
    for row in rows:
        click.echo('| {0} |'.format(' | '.join(map(_shown, row))))


def _shown(cell: object) -> str:
    return f'{cell:.3g}' if isinstance(cell, float) else str(cell)


@capacity.command()
@click.option('--share', type=click.FloatRange(0.001, 1), default=1)
@click.option('--versions', type=click.IntRange(1, 60), default=5)
def bundles(share: float, versions: int) -> None:
    """Apply a first bundle and deltas; SHARE is the part of full size."""
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
