"""Experiments on detection time and false ejections.

``experiment faults`` injects each fault into one upstream of a service, with
many fixed seeds, and compares the detection time with that of a naive policy.
``experiment false-ejections`` counts the ejections of healthy upstreams under
bursts, overload, cold starts and pauses.
``experiment efficiency`` compares the mean number of samples that the
sequential test needs with Wald's lower bound.
"""

import itertools
import json
import math
import statistics
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any

import click

from .detectors import HEALTHY_SHARES, Detector, ErrorRates, Sample, SampleKind
from .disturbances import Disturber
from .faults import ROUTES, FaultKind
from .trials import Setup, Tally, Trial
from .healthstates import LEARN_SHARE

_Decorator = Callable[[Any], Any]

#: Default request rates: requests a second to each upstream.
RATES = (1, 5, 20)
#: Request rate of ``--overload`` as a multiple of the capacity.
OVERLOAD_FACTOR = 2
#: Lowest requests a second to each upstream at which ``TARGETS_MS`` apply.
TARGET_RATE = 20
#: Targets of the design page for the 99th percentile of the detection time.
TARGETS_MS = MappingProxyType(
    {
        FaultKind.hung: 1000,
        FaultKind.hung_reports_healthy: 1000,
        FaultKind.crashed: 1000,
        FaultKind.slow10: 1000,
        FaultKind.errors100: 1000,
        FaultKind.wrong: 1000,
        FaultKind.errors20: 3000,
        FaultKind.slow3: 5000,
        FaultKind.partition: 2000,
    }
)
#: Target for the number of requests that a fault affects at one request a
#: second.
TARGET_AFFECTED = 5
_AFFECTED_TARGET_FAULTS = frozenset(
    (
        FaultKind.hung,
        FaultKind.hung_reports_healthy,
        FaultKind.errors100,
        FaultKind.wrong,
        FaultKind.crashed,
    )
)
#: Shares of failing requests that ``experiment efficiency`` measures.
_EFFICIENCY_SHARES = (1, 0.5, 0.2, 0.1, 0.05)
#: Successes that the detector observes before requests start to fail.
_HEALTHY_RUN = 50


@dataclass(frozen=True, slots=True)
class Row:
    """Results of one policy, fault, rate and service size over all seeds.

    A quantile of the detection time is None if it falls on a run in which the
    fault was not detected.
    """

    policy: str
    fault: str
    upstreams: int
    slots: int
    rate: float
    runs: int
    undetected: int
    p50_ms: float | None
    p90_ms: float | None
    p99_ms: float | None
    max_ms: float | None
    target_ms: float | None
    hurt_mean: float
    hurt_max: int
    false_ejections: int
    false_suspicions: int


def capacity_rate(slots: int) -> float:
    """Return the requests a second that keep all slots of an upstream busy."""
    mean_ms = sum(
        route.share * route.median_ms * math.exp(route.sigma**2 / 2)
        for route in ROUTES
    )
    return slots * 1000 / mean_ms


def run_trial(setup: Setup) -> Tally:
    """Return the result of one run.

    This is a module-level function because worker processes import it by name.
    """
    trial = Trial(setup)
    if setup.disturbed:
        Disturber(trial)
    return trial.run()


def quantile(ordered: list[float], share: float) -> float | None:
    """Return the quantile by nearest rank, None if it is infinite.

    ``ordered`` is sorted in ascending order and not empty.
    """
    rank = max(math.ceil(share * len(ordered)) - 1, 0)
    found = ordered[rank]
    return round(found, 1) if math.isfinite(found) else None


def summarize(setup: Setup, tallies: list[Tally]) -> Row:
    """Return the row for runs that differ only in their seed."""
    times = sorted(
        math.inf if each.detected_ms is None else each.detected_ms
        for each in tallies
    )
    affected = [each.affected for each in tallies]
    target = TARGETS_MS.get(setup.fault)
    return Row(
        policy='naive' if setup.naive else 'sequential',
        fault=setup.fault.value,
        upstreams=setup.upstreams,
        slots=setup.slots,
        rate=round(setup.rate, 1),
        runs=len(tallies),
        undetected=sum(1 for each in times if math.isinf(each)),
        p50_ms=quantile(times, 0.5),
        p90_ms=quantile(times, 0.9),
        p99_ms=quantile(times, 0.99),
        max_ms=quantile(times, 1),
        target_ms=target if setup.rate >= TARGET_RATE else None,
        hurt_mean=round(statistics.fmean(affected), 1),
        hurt_max=max(affected),
        false_ejections=sum(each.false_ejections for each in tallies),
        false_suspicions=sum(each.false_suspicions for each in tallies),
    )


def text_table(rows: Iterable[dict[str, Any]]) -> str:
    """Return rows as an aligned table, headed by the keys of the first row."""
    lines = [{key: _cell(cell) for key, cell in row.items()} for row in rows]
    if not lines:
        return ''
    widths = {
        key: max(len(key), *(len(line[key]) for line in lines))
        for key in lines[0]
    }
    heads = {key: key for key in widths}
    return '\n'.join(_aligned(line, widths) for line in (heads, *lines))


def samples_needed(
    share: float,
    seeds: int,
    rates: ErrorRates,
) -> list[int]:
    """Return, for each seed, the samples until the upstream is unhealthy.

    ``share`` is the share of requests that fail.
    """
    needed = []
    for seed in range(seeds):
        rng = Random(f'efficiency {share} {seed}')
        detector = Detector(rates)
        route = ROUTES[0]
        for _ in range(_HEALTHY_RUN):
            healthy_sample = Sample(SampleKind.success, route.name, 1, 1)
            detector.observe(healthy_sample)
        count = 0
        reading = detector.reading()
        while reading.share < 1:
            count += 1
            kind = SampleKind.success
            if rng.random() < share:
                kind = SampleKind.error
            sample = Sample(kind, route.name, 1, 1)
            learning = reading.share < LEARN_SHARE
            reading = detector.observe(sample, learn=learning)
        needed.append(count)
    return needed


def wald_bound(share: float, rates: ErrorRates) -> float:
    """Return Wald's lower bound on the mean number of samples.

    The test is between the error share of a healthy upstream and ``share``.
    """
    healthy = HEALTHY_SHARES[SampleKind.error]
    gain = share * math.log(share / healthy)
    if share < 1:
        gain += (1 - share) * math.log((1 - share) / (1 - healthy))
    alarm = rates.false_alarm
    miss = rates.miss
    needed = (1 - miss) * math.log((1 - miss) / alarm)
    needed += miss * math.log(miss / (1 - alarm))
    return needed / gain


def efficiency_rows(seeds: int, rates: ErrorRates) -> list[dict[str, Any]]:
    """Return the measured mean samples with Wald's bound, one row a share."""
    rows = []
    for share in _EFFICIENCY_SHARES:
        mean = statistics.fmean(samples_needed(share, seeds, rates))
        bound = wald_bound(share, rates)
        rows.append(
            {
                'errors': share,
                'wald_bound': round(bound, 2),
                'mean_samples': round(mean, 2),
                'ratio': round(mean / bound, 2),
            }
        )
    return rows


def plot_rows(rows: list[Row], path: Path) -> None:
    """Plot the detection times of both policies with their targets.

    Needs matplotlib, an optional dependency; the suffix of the path (PNG
    or SVG) gives the format.
    """
    from matplotlib.figure import Figure  # noqa: PLC0415, WPS433

    figure = Figure(figsize=(11, 6), layout='constrained')
    axes = figure.add_subplot()
    names = list(dict.fromkeys(row.fault for row in rows))
    for policy, shift in (('sequential', -0.15), ('naive', 0.15)):
        shown = [row for row in rows if row.policy == policy]
        spots = [names.index(row.fault) + shift for row in shown]
        lows = [_or_nan(row.p50_ms) for row in shown]
        highs = [_or_nan(row.p99_ms) for row in shown]
        axes.plot(spots, lows, 'o', label=f'{policy}, p50')
        axes.plot(spots, highs, '_', markersize=16, label=f'{policy}, p99')
    for row in rows:
        if row.target_ms:
            spot = names.index(row.fault)
            axes.hlines(row.target_ms, spot - 0.4, spot + 0.4, colors='grey')
    axes.set_xticks(range(len(names)), names, rotation=40, ha='right')
    axes.set_yscale('log')
    axes.set_ylabel('detection time, ms (grey: target; missing: undetected)')
    axes.legend()
    figure.savefig(path)


@click.group()
def experiment() -> None:
    """Measure detection time and false ejections on a fake clock."""


_common = (
    click.option('--false-alarm', default=1e-6, show_default=True),
    click.option('--miss', default=1e-3, show_default=True),
    click.option('--workers', default=4, show_default=True),
    click.option('--json', 'json_path', type=click.Path(path_type=Path)),
)


def _with_options(*options: _Decorator) -> _Decorator:
    """Apply several click options as one decorator."""

    def decorate(command: Any) -> Any:  # noqa: WPS430
        for option in reversed(options):
            command = option(command)
        return command

    return decorate


@experiment.command()
@_with_options(
    click.option('--seeds', default=100, show_default=True),
    click.option('--first-seed', default=0, show_default=True),
    click.option('--upstreams', default=8, show_default=True),
    click.option('--slots', default=3, show_default=True),
    click.option('--rate', 'rates', multiple=True, type=float),
    click.option(
        '--overload', is_flag=True, help='Add a rate of twice the capacity.'
    ),
    click.option('--fault', 'faults', multiple=True),
    click.option('--naive/--no-naive', default=True, show_default=True),
    click.option('--plot', type=click.Path(path_type=Path)),
    *_common,
)
def faults(**options: Any) -> None:
    """Inject each fault into one upstream and measure the detection time."""
    setups = list(_fault_setups(options))
    rows = []
    seeds = options['seeds']
    with ProcessPoolExecutor(options['workers']) as pool:
        tallies = list(pool.map(run_trial, setups, chunksize=4))
    for start in range(0, len(setups), seeds):
        part = tallies[start : start + seeds]
        rows.append(summarize(setups[start], part))
    _print_and_write([asdict(row) for row in rows], options['json_path'])
    if options['plot']:
        plot_rows(rows, options['plot'])


@experiment.command('false-ejections')
@_with_options(
    click.option('--hours', default=1000, show_default=True),
    click.option('--upstreams', default=8, show_default=True),
    click.option('--slots', default=3, show_default=True),
    click.option('--rate', default=float(1), show_default=True),
    click.option('--first-seed', default=0, show_default=True),
    click.option('--naive/--no-naive', default=False, show_default=True),
    *_common,
)
def false_ejections(**options: Any) -> None:
    """Count ejections of healthy upstreams over a number of upstream-hours."""
    run_hours = 0.5
    upstreams = options['upstreams']
    runs = math.ceil(options['hours'] / upstreams / run_hours)
    first = options['first_seed']
    setups = [
        Setup(
            upstreams,
            options['slots'],
            options['rate'],
            FaultKind.none,
            seed,
            naive=options['naive'],
            observation_s=run_hours * 3600,
            disturbed=True,
            rates=ErrorRates(options['false_alarm'], options['miss']),
        )
        for seed in range(first, first + runs)
    ]
    with ProcessPoolExecutor(options['workers']) as pool:
        tallies = list(pool.map(run_trial, setups))
    for setup, tally in zip(setups, tallies, strict=True):
        for note in tally.notes:
            click.echo(f'seed {setup.seed}: {note}', err=True)
    row = {
        'policy': 'naive' if options['naive'] else 'sequential',
        'upstreams': upstreams,
        'rate': options['rate'],
        'upstream_hours': runs * run_hours * upstreams,
        'requests': sum(each.requests for each in tallies),
        'lost': sum(each.lost for each in tallies),
        'false_ejections': sum(each.false_ejections for each in tallies),
        'false_suspicions': sum(each.false_suspicions for each in tallies),
    }
    _print_and_write([row], options['json_path'])


@experiment.command()
@_with_options(
    click.option('--seeds', default=400, show_default=True), *_common
)
def efficiency(**options: Any) -> None:
    """Compare mean samples to detection with Wald's lower bound."""
    rates = ErrorRates(options['false_alarm'], options['miss'])
    _print_and_write(
        efficiency_rows(options['seeds'], rates), options['json_path']
    )


def _fault_setups(options: dict[str, Any]) -> Iterable[Setup]:
    slots = options['slots']
    rates = list(options['rates'] or RATES)
    if options['overload']:
        rates.append(OVERLOAD_FACTOR * capacity_rate(slots))
    names = options['faults'] or [each.value for each in FaultKind]
    policies = (False, True) if options['naive'] else (False,)
    kinds = [FaultKind(name) for name in names]
    for fault, rate, naive in itertools.product(kinds, rates, policies):
        yield from _seeded(options, fault, rate, naive)


def _seeded(
    options: dict[str, Any],
    fault: FaultKind,
    rate: float,
    naive: bool,
) -> Iterable[Setup]:
    first = options['first_seed']
    for seed in range(first, first + options['seeds']):
        yield Setup(
            options['upstreams'],
            options['slots'],
            rate,
            fault,
            seed,
            naive=naive,
            # The ingress daemons need more time to learn the median service
            # times at a low request rate.
            warm_up_s=20 + 60 / rate,
            observation_s=20 + 60 / rate,
            rates=ErrorRates(options['false_alarm'], options['miss']),
        )


def _print_and_write(
    rows: list[dict[str, Any]], json_path: Path | None
) -> None:
    click.echo(text_table(rows))
    if json_path:
        json_path.write_text(json.dumps(rows, indent=1))


def _aligned(line: dict[str, str], widths: dict[str, int]) -> str:
    cells = (line[key].rjust(width) for key, width in widths.items())
    return '  '.join(cells)


def _cell(cell: object) -> str:
    return '-' if cell is None else str(cell)


def _or_nan(time_ms: float | None) -> float:
    return math.nan if time_ms is None else time_ms
