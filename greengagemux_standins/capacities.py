"""Measurement of real idle daemons and of rollouts to them."""

import json
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import astuple, dataclass, fields
from datetime import datetime
from pathlib import Path
from random import sample
from statistics import fmean
from tempfile import TemporaryDirectory

import click

from greengagemux.bundlecosts import Size, bundle_text
from greengagemux.capacity import fit, quantiles, show_table
from greengagemux.readers import reader_order
from greengagemux.httpcalls import call
from greengagemux.ids import DaemonId
from greengagemux.signatures import sign

from .fleets import AGENCY, OPERATOR, Daemon, Fleet, layout
from .processes import LaunchError, Processes
from .servers import LOOPBACK
from .streamcosts import (
    RequestCost,
    StreamCost,
    request_cost,
    stream_costs,
)
from .uses import MIB, PERCENT, use_of

#: Daemons open their streams and read the log in this time.
SETTLE_S = 8
VERSION_LIMIT_S = 12
POLL_S = 0.05
#: First ports of the ranges that a fleet may use.
_BASES = (10_000, 30_000, 1000)
_Rollouts = tuple[int, list[float], float]


@dataclass(frozen=True, slots=True)
class Idle:
    """Means over the daemons of a fleet without requests."""

    daemons: int
    streams: float
    core_pct: float
    core_pct_max: float
    resident_mib: float
    control_bytes_s: float


def measure_idle(fleet: Fleet, duration_s: float) -> Idle:
    """Measure a fleet that nobody uses."""
    daemons = fleet.layout.daemons
    started = time.monotonic()
    before = [use_of(fleet, daemon) for daemon in daemons]
    time.sleep(duration_s)
    after = [use_of(fleet, daemon) for daemon in daemons]
    passed = time.monotonic() - started
    pairs = list(zip(before, after, strict=True))
    cores = [
        (end.processor_s - begin.processor_s) / passed * PERCENT
        for begin, end in pairs
    ]
    control = [end.control_bytes - begin.control_bytes for begin, end in pairs]
    return Idle(
        len(daemons),
        fmean(end.streams for end in after),
        fmean(cores),
        max(cores),
        fmean(end.resident_bytes for end in after) / MIB,
        fmean(control) / passed,
    )


def measure_rollouts(fleet: Fleet, versions: int, size: Size) -> list[float]:
    """Publish versions and return the time of each until in force everywhere.

    The time starts before the append and ends at the last ``bundle-in-force``
    line; all processes share one clock. The first version is not counted: it
    is a full record with new sections.
    """
    key = (fleet.run_dir / 'operator.key').read_text().strip()
    base = (fleet.run_dir / 'bundle.ini').read_text()
    found: list[float] = []
    before = base
    for version in range(2, versions + 3):
        text = _extended(base, version, size)
        payload = sign(text, OPERATOR, key, before)
        before = text
        started = time.time()
        call('POST', f'{fleet.layout.log_url}/streams/bundles', payload)
        found.append(_in_force_after(fleet, version, started))
    return found[1:]


_OPTIONS = (
    click.option('--daemons', type=click.IntRange(2, 40), multiple=True),
    click.option('--seconds', type=click.IntRange(1, 120), default=20),
    click.option('--versions', type=click.IntRange(0, 40), default=10),
    click.option('--share', type=click.FloatRange(0, 1), default=0.02),
    click.option('--kill', type=click.IntRange(0, 4), default=0),
)


def _options(command: Callable[..., None]) -> Callable[..., None]:
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


@click.group()
def capacity() -> None:
    """Measure real daemons with small stand-ins."""


@capacity.command()
@click.option('--seconds', type=click.IntRange(1, 60), default=10)
def streams(seconds: int) -> None:
    """Open up to 600 streams to one daemon, and measure it idle."""
    with _Running(1) as running:
        costs = list(stream_costs(running, (0, 200, 400, 600), seconds))
    show_table([each.name for each in fields(StreamCost)], map(astuple, costs))
    counts = [float(cost.streams) for cost in costs]
    for name in ('resident_mib', 'core_pct'):
        click.echo(fit(name, counts, [getattr(one, name) for one in costs]))


@capacity.command()
@click.option('--seconds', type=click.IntRange(1, 60), default=15)
@click.option('--rate', type=click.FloatRange(1, 400), multiple=True)
def requests(seconds: int, rate: tuple[float, ...]) -> None:
    """Send reads through two daemons, and measure both."""
    with _Running(4) as running:
        time.sleep(SETTLE_S)
        costs = [
            request_cost(running, each, seconds) for each in rate or (50, 215)
        ]
    show_table([each.name for each in fields(RequestCost)], map(astuple, costs))


@capacity.command()
@_options
def fleet(
    daemons: tuple[int, ...],
    seconds: int,
    versions: int,
    share: float,
    kill: int,
) -> None:
    """Start daemons, measure them idle, and publish bundles of a SHARE.

    With --kill so many first readers of the log are killed before.
    """
    idle: list[Idle] = []
    spread: list[_Rollouts] = []
    for count in daemons or (10, 20, 40):
        with _Running(count) as running:
            time.sleep(SETTLE_S)
            idle.append(measure_idle(running, seconds))
            _kill_readers(running, kill)
            if versions:
                size = Size().part(share)
                times = measure_rollouts(running, versions, size)
                uses = [use_of(running, one) for one in _running(running)]
                most = max(use.resident_bytes for use in uses) / MIB
                spread.append((count, times, most))
    _report_idle(idle)
    if spread:
        _report_rollouts(spread)


def free_base(count: int) -> int:
    """Return the first port of a range that nothing uses now."""
    for base in sample(range(*_BASES), len(range(*_BASES))):
        plan = layout(AGENCY, count, len(AGENCY.services), base)
        ports = [
            base,
            *(place.port for place in plan.upstreams),
            *(
                daemon.http_port + step
                for daemon in plan.daemons
                for step in range(3)
            ),
        ]
        if all(map(_is_free, ports)):
            return base
    raise LaunchError('no free range of ports')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


class _Running:
    """A fleet in a temporary directory, stopped at the end."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._directory = TemporaryDirectory()

    def __enter__(self) -> Fleet:
        run_dir = Path(self._directory.name)
        self._processes = Processes(run_dir)
        base = free_base(self._count)
        plan = layout(AGENCY, self._count, len(AGENCY.services), base)
        fleet = Fleet(plan, self._processes, run_dir)
        try:
            fleet.start()
        except Exception:
            self.__exit__()
            raise
        return fleet

    def __exit__(self, *_error: object) -> None:
        self._processes.stop(self._processes.ids())
        self._directory.cleanup()


def _kill_readers(fleet: Fleet, kills: int) -> None:
    centres = {one.data_centre for one in fleet.layout.daemons}
    for centre in sorted(centres)[:kills]:
        names = [
            DaemonId(one.name)
            for one in fleet.layout.daemons
            if one.data_centre == centre
        ]
        fleet.processes.kill(reader_order(names)[0])


def _running(fleet: Fleet) -> list[Daemon]:
    return [
        daemon
        for daemon in fleet.layout.daemons
        if fleet.processes.is_running(daemon.name)
    ]


def _in_force_after(fleet: Fleet, version: int, started: float) -> float:
    names = [daemon.name for daemon in _running(fleet)]
    while time.time() - started < VERSION_LIMIT_S:
        times = [_in_force_at(fleet, name, version) for name in names]
        if all(times):
            return max(times) - started
        time.sleep(POLL_S)
    return float('inf')


def _in_force_at(fleet: Fleet, name: str, version: int) -> float:
    for line in reversed(
        fleet.processes.log_path(name).read_text().splitlines()
    ):
        if '"bundle-in-force"' in line:
            entry = json.loads(line)
            if entry['fields']['version'] == version:
                return datetime.fromisoformat(entry['wall']).timestamp()
    return 0


def _extended(base: str, version: int, size: Size) -> str:
    """Return the text of the fleet with more sections of a large one."""
    head, _, rest = base.partition('\n[service ')
    head = f'[bundle]\nversion = {version}\nfollows = {version - 1}\n'
    extra = bundle_text(size, version).partition('\n[service ')[2]
    return f'{head}\n[service {rest}\n[service {extra}'


def _report_idle(idle: Sequence[Idle]) -> None:
    names = [each.name for each in fields(Idle)]
    show_table(names, map(astuple, idle))
    sizes = [float(one.daemons) for one in idle]
    for name in names[1:]:
        click.echo(fit(name, sizes, [getattr(one, name) for one in idle]))


def _report_rollouts(spread: Sequence[_Rollouts]) -> None:
    show_table(
        ('daemons', 'versions', 'p50 s', 'p99 s', 'max s', 'most MiB'),
        [
            (count, len(times), *quantiles(times), most)
            for count, times, most in spread
        ],
    )
