"""Soak of planned stops: series of restarts that overlap, under load.

The daemons are those of ``greengagemux.platform``.
"""

import os
import random
from collections import Counter, defaultdict
from collections.abc import Coroutine, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Final, NamedTuple

import click
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import LoopingCall

from .demos import termination_raises
from .platformfleets import GRACE_S, PlatformFleet
from .platformupstreams import Flaw, PlatformUpstream, Run, Work
from .ports import free_base_port
from .processes import Processes
from .soakchecks import Verdict
from .soakfaults import Fault
from .statements import (
    Statement,
    StatementJudge,
    carry_out,
    plan_statements,
)
from .stopcallers import Call, Caller, pause
from .stopchecks import KILL, PAUSE, SOAK, STOP, Judge, Wait
from .uses import processor_wait_s

#: Time in which a started daemon must accept callers.
READY_LIMIT_S: Final = 20
#: Time between the first stops of two groups of series.
GROUP_S: Final = 9
#: Time after a restore of the store until its newest configuration must be in
#: force: 3 s until daemons count as in touch, and 1 s of margin.
IN_FORCE_S: Final = 4
#: Time after the last stop until the load ends.
SETTLE_S: Final = 3

_SERIES: Final = 3
_LOST_CHANGES: Final = 2
_RESTORES: Final = 2
_MEDIAN_SERVICE_S: Final = 0.15
_SIGMA: Final = 0.8
_BROKEN_OFF_SHARE: Final = 0.005
_REFUSED_SHARE: Final = 0.05
#: Share of the responses with a flaw, each of its kinds as often.
_FLAWED_SHARE: Final = 0.03
_POLL_S: Final = 0.05
_READY_POLL_S: Final = 0.2
_SAMPLE_S: Final = 0.25
_SHORT_WAIT_S: Final = 0.01
_SHOWN: Final = 5


class Step(NamedTuple):
    """A fault of a plan; a stopped daemon starts ``length_s`` after its end."""

    at_s: float
    kind: str
    daemon: str
    length_s: float


class Restore(NamedTuple):
    """An outage of the store that loses what it got in ``lost_s``.

    ``copied_s`` is the time from the end of the one before to the copy.
    """

    copied_s: float
    lost_s: float
    down_s: float


def plan_restores(seed: int) -> list[Restore]:
    """Return the restores of a run."""
    rng = random.Random(f'{seed} restores')
    return [
        Restore(rng.uniform(0, 1), rng.uniform(0.5, 2), rng.uniform(0.1, 1))
        for _ in range(_RESTORES)
    ]


def plan_steps(
    seed: int, daemons: Sequence[str], groups: int, rough_share: float
) -> list[Step]:
    """Return series that overlap, each of half of the daemons.

    ``rough_share`` of the steps are kills and pauses.
    """
    rng = random.Random(f'{seed} stops')
    steps = []
    for group in range(groups):
        start_s = float(group * GROUP_S)
        for _ in range(_SERIES):
            at_s = start_s
            for daemon in rng.sample(daemons, len(daemons) // 2):
                kind = STOP
                if rng.random() < rough_share:
                    kind = rng.choice((KILL, PAUSE))
                steps.append(Step(at_s, kind, daemon, rng.uniform(0.2, 1.5)))
                at_s += rng.uniform(0.5, 1)
            start_s += rng.uniform(0.5, 1.5)
    return sorted(steps)


@dataclass(slots=True)
class StopSoak:
    """One run on a fleet."""

    fleet: PlatformFleet
    network: Any
    seed: int
    steps: Sequence[Step]
    callers: list[Caller]
    planned: Sequence[Statement] = ()
    restores: Sequence[Restore] = ()
    faults: list[Fault] = field(default_factory=list)
    statements: list[Statement] = field(default_factory=list)
    waits: list[Wait] = field(default_factory=list)
    broken: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _disturbed: set[str] = field(default_factory=set)
    #: Whether changes after a restore of the store must come into force.
    _restored: bool = False

    async def run(self) -> None:
        """Send load and carry out the plan."""
        sampling = LoopingCall(Sampler(self).sample)
        sampling.start(_SAMPLE_S)
        await _together(map(self._until_ready, self.fleet.upstreams))
        load = _together([caller.run() for caller in self.callers])
        await _together(
            (
                *map(self._carry_out, self.steps),
                *map(self._state, self.planned),
                self._restore_store(),
            )
        )
        await pause(self.network, SETTLE_S)
        for caller in self.callers:
            caller.finish()
        await load
        sampling.stop()
        self.broken['ended-by-itself'] += [
            name
            for name in self.fleet.upstreams
            if not self.fleet.processes.is_running(name)
        ]

    @property
    def calls(self) -> list[Call]:
        """All calls."""
        return [call for caller in self.callers for call in caller.calls]

    @property
    def runs(self) -> list[Run]:
        """All executions."""
        upstreams = self.fleet.upstreams.values()
        return [run for upstream in upstreams for run in upstream.runs]

    def verdict(self) -> Verdict:
        """Judge the run."""
        verdict = Judge(self.runs, self.faults, self.waits).judge(self.calls)
        verdict.broken.update(self.broken)
        for caller in self.callers:
            verdict.broken['surplus'] += caller.surplus
        judge = StatementJudge(self.calls, self.runs, self.faults)
        for statement in self.statements:
            verdict.broken[statement.kind] += judge.broken(statement)
        return verdict

    async def _state(self, planned: Statement) -> None:
        upstream = self.fleet.upstreams[f'd{planned.upstream}']
        stated = await carry_out(self.network, upstream, planned)
        self.statements.append(stated)

    async def _restore_store(self) -> None:
        """Bring the store back from copies, and change the configuration.

        The changes follow before the daemons have read the store again, and no
        others until they must be in force.
        """
        for planned in self.restores:
            await pause(self.network, planned.copied_s)  # noqa: WPS476
            copied = self.fleet.store.copy()
            for _ in range(_LOST_CHANGES):
                self.fleet.change()
            await pause(self.network, planned.lost_s)  # noqa: WPS476
            self.fleet.store.up = False
            await pause(self.network, planned.down_s)  # noqa: WPS476
            self._restored = True
            self.fleet.restore(copied)
            self.fleet.store.up = True
            await self._check_restore()  # noqa: WPS476
            self._restored = False

    async def _check_restore(self) -> None:
        """Check each daemon that was in touch with the store all the while."""
        calm = set(self.fleet.upstreams) - self._disturbed
        since_s = self.network.seconds()
        await pause(self.network, IN_FORCE_S)
        calm -= self._disturbed
        calm -= {each.target for each in self.faults if each.until_s > since_s}
        await _together(map(self._check_version, calm))

    async def _check_version(self, daemon: str) -> None:
        if not await self.fleet.serves_newest(daemon):
            self.broken['old-configuration'].append(daemon)

    async def _carry_out(self, step: Step) -> None:
        await pause(self.network, step.at_s)
        if step.daemon in self._disturbed:
            return
        self._disturbed.add(step.daemon)
        since_s = self.network.seconds()
        if not self._restored:
            self.fleet.change()
        if step.kind == PAUSE:
            self.fleet.processes.pause(step.daemon)
            await pause(self.network, step.length_s)
            self.fleet.processes.resume(step.daemon)
        else:
            await self._end(step)
            await pause(self.network, step.length_s)
            self.fleet.start_daemon(step.daemon)
        self.faults.append(
            Fault(step.kind, step.daemon, since_s, self.network.seconds())
        )
        await self._until_ready(step.daemon)
        self._disturbed.remove(step.daemon)

    async def _until_ready(self, daemon: str) -> None:
        limit_s = self.network.seconds() + READY_LIMIT_S
        process = self.fleet.processes.ids()[daemon]
        while not await self.fleet.ready(daemon):  # noqa: WPS476
            waited_s = processor_wait_s(process)
            if self.network.seconds() > limit_s + waited_s:
                self.broken['not-ready'].append(daemon)
                return
            await pause(self.network, _READY_POLL_S)  # noqa: WPS476

    async def _end(self, step: Step) -> None:
        processes = self.fleet.processes
        if step.kind == KILL:
            processes.kill(step.daemon)
            return
        processes.terminate(step.daemon)
        limit_s = self.network.seconds() + GRACE_S
        while processes.is_running(step.daemon):
            if self.network.seconds() > limit_s:
                processes.kill(step.daemon)
            await pause(self.network, _POLL_S)
        status = processes.status(step.daemon)
        if status:
            self.broken['stop-overran'].append(
                f'{step.daemon} ended with {status}'
            )


class Sampler:
    """Samples how long the processes of a soak wait for a processor."""

    def __init__(self, soak: StopSoak) -> None:
        """Add samples to the waits of ``soak``."""
        self._soak = soak
        self._before_s = soak.network.seconds()
        own = os.getpid()
        self._waited_s = {own: processor_wait_s(own)}

    def sample(self) -> None:
        """Add the waits since the last sample that are not short.

        The kernel counts a wait when it ends, so it may have begun earlier.
        """
        now_s = self._soak.network.seconds()
        processes = {SOAK: os.getpid(), **self._soak.fleet.processes.ids()}
        for name, process in processes.items():
            total_s = processor_wait_s(process)
            waited_s = total_s - self._waited_s.get(process, 0)
            self._waited_s[process] = total_s
            if waited_s > _SHORT_WAIT_S:
                since_s = self._before_s - waited_s
                self._soak.waits.append(Wait(name, since_s, now_s, waited_s))
        self._before_s = now_s


def _together(
    parts: Iterable[Coroutine[Any, Any, None]],
) -> Deferred[list[None]]:
    """Start all parts; the first error ends the wait for them."""
    return gatherResults(map(Deferred.fromCoroutine, parts), consumeErrors=True)


def draw_work(rng: random.Random) -> Work:
    """Return the cost of a request."""
    flaw = Flaw.none
    if rng.random() < _FLAWED_SHARE:
        flaw = rng.choice(tuple(Flaw))
    return Work(
        _MEDIAN_SERVICE_S * rng.lognormvariate(0, _SIGMA),
        rng.random() < _BROKEN_OFF_SHARE,
        rng.random() < _REFUSED_SHARE,
        flaw,
    )


def report_lines(soak: StopSoak, verdict: Verdict) -> Iterator[str]:
    """Yield the report of a run."""
    kinds = Counter(fault.kind for fault in soak.faults)
    ends = Counter(f'{call.end.value} {call.status}' for call in soak.calls)
    result = 'passed' if verdict.clean else 'FAILED'
    yield f'seed {soak.seed}: {result}, {dict(kinds)}, {dict(ends)}'
    waited_s = sum(wait.waited_s for wait in soak.waits)
    longest_s = max((wait.waited_s for wait in soak.waits), default=0)
    yield f'    excused: {dict(verdict.excused)}'
    yield f'    waits for a processor: {waited_s:.1f} s, up to {longest_s:.2f} s'
    for name, found in verdict.broken.items():
        if found:
            yield f'    {name}: {len(found)}'
            yield from (f'        {line}' for line in found[:_SHOWN])


@click.command(
    'stop-soak',
    params=[
        click.Option(['--seed'], default=1, show_default=True),
        click.Option(
            ['--seeds'], default=1, help='Runs; their seeds follow --seed.'
        ),
        click.Option(['--daemons'], default=8, show_default=True),
        click.Option(['--callers'], default=4, help='Callers of each daemon.'),
        click.Option(['--groups'], default=1, help='Groups of series.'),
        click.Option(
            ['--rough-share'],
            default=float(0),
            help='Share of kills and pauses among the stops.',
        ),
        click.Option(
            ['--run-dir'],
            type=click.Path(file_okay=False, path_type=Path),
            required=True,
            help='Directory for logs and records, one subdirectory per seed.',
        ),
    ],
)
def stop_soak(**options: Any) -> None:
    """Restart daemons of the platform in series, under load.

    Ends with status 1 when a requirement is broken.
    """
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    network: Any = reactor
    failed: list[int] = []
    errors: list[Any] = []
    with termination_raises():
        whole: Deferred[Any] = Deferred()
        whole.addCallback(partial(_begin, network, options, failed))
        whole.addErrback(errors.append)
        whole.addBoth(partial(_stop, network))
        network.callWhenRunning(whole.callback, None)
        network.run()
        # After a signal, the processes must still be ended.
        whole.cancel()
    if errors:
        errors[0].raiseException()
    click.echo(f'failed seeds: {failed}')
    if failed:
        raise click.exceptions.Exit(1)


def _begin(
    network: Any, options: dict[str, Any], failed: list[int], _none: None
) -> Deferred[None]:
    return Deferred.fromCoroutine(_run_all(network, options, failed))


def _stop(network: Any, _outcome: object) -> None:
    if network.running:
        network.stop()


async def _run_all(
    network: Any, options: dict[str, Any], failed: list[int]
) -> None:
    base_port = free_base_port()
    seeds = range(options['seed'], options['seed'] + options['seeds'])
    for seed in seeds:
        clean = await _run(  # noqa: WPS476
            network, options, seed, base_port
        )
        if not clean:
            failed.append(seed)


async def _run(
    network: Any, options: dict[str, Any], seed: int, base_port: int
) -> bool:
    run_dir = options['run_dir'] / f'seed-{seed}'
    with Processes(run_dir) as processes:
        soak = _build(network, options, seed, processes, base_port)
        soak.fleet.start()
        await soak.run()
        soak.fleet.stop()
    verdict = soak.verdict()
    report = '\n'.join(report_lines(soak, verdict))
    click.echo(report)
    _write(run_dir, soak, report)
    return verdict.clean


def _build(
    network: Any,
    options: dict[str, Any],
    seed: int,
    processes: Processes,
    base_port: int,
) -> StopSoak:
    fleet = PlatformFleet(
        network,
        processes,
        options['run_dir'] / f'seed-{seed}',
        base_port,
        [
            PlatformUpstream(
                network,
                str(place),
                partial(draw_work, random.Random(f'{seed} upstream {place}')),
            )
            for place in range(options['daemons'])
        ],
    )
    daemons = list(fleet.upstreams)
    callers = [
        Caller(
            network,
            daemon,
            fleet.ports(daemon)['outbound'],
            f'{seed}-{daemon}-{place}',
        )
        for daemon in daemons
        for place in range(options['callers'])
    ]
    steps = plan_steps(seed, daemons, options['groups'], options['rough_share'])
    length_s = steps[-1].at_s + SETTLE_S
    names = [upstream.upstream for upstream in fleet.upstreams.values()]
    return StopSoak(
        fleet,
        network,
        seed,
        steps,
        callers,
        plan_statements(seed, names, length_s),
        plan_restores(seed),
    )


def _write(run_dir: Path, soak: StopSoak, report: str) -> None:
    """Write what a failed run needs to be looked into."""
    for name, found in (
        ('report', [report]),
        ('calls', soak.calls),
        ('runs', soak.runs),
        ('faults', soak.faults),
        ('statements', soak.statements),
        ('waits', soak.waits),
    ):
        lines = '\n'.join(str(each) for each in found)
        (run_dir / f'{name}.txt').write_text(lines)
