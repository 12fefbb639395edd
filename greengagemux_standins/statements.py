"""Limits and departures that upstreams state, and whether daemons obey them."""

import math
import random
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final

from .platformupstreams import PlatformUpstream, Run
from .soakfaults import Fault
from .stopcallers import Call, pause

LIMIT: Final = 'limit'
LEAVE: Final = 'leave'

#: Time after a limit was first named from which it must hold.
STABLE_S: Final = 3
#: Time after which an answer that was passed on binds its daemon to a limit.
TOLD_S: Final = 0.5
WINDOW_S: Final = 4
#: In each window, a limit may be exceeded by this factor and this many.
ALLOWED_FACTOR: Final = 1.5
ALLOWED_SLACK: Final = 5
#: Time after which an answer that was passed on binds its daemon to a departure.
DRAIN_S: Final = 2

_LIMITS_PER_S: Final = (0, 0.7, 2, 5)
_LIMITED_SHARE: Final = 0.4


#: Times at which each daemon passed on responses.
Told = Mapping[str, Sequence[float]]


@dataclass(frozen=True, slots=True)
class Statement:
    """What an upstream states in all its responses for some time."""

    since_s: float
    until_s: float
    kind: str
    upstream: str
    limit_per_s: float = 0


def plan_statements(
    seed: int, upstreams: Sequence[str], length_s: float
) -> list[Statement]:
    """Return the statements of a run, in seconds from its start.

    One upstream leaves and starts again; others name limits.
    """
    rng = random.Random(f'{seed} statements')
    limited = math.ceil(_LIMITED_SHARE * len(upstreams))
    leaving, *others = rng.sample(upstreams, limited + 1)
    since_s = rng.uniform(1, length_s / 3)
    plan = [Statement(since_s, since_s + length_s / 2, LEAVE, leaving)]
    for upstream in others:
        since_s = rng.uniform(0, length_s / 4)
        until_s = rng.uniform(since_s + 2 * WINDOW_S, length_s)
        limit_per_s = rng.choice(_LIMITS_PER_S)
        plan.append(Statement(since_s, until_s, LIMIT, upstream, limit_per_s))
    return plan


async def carry_out(
    network: Any, upstream: PlatformUpstream, planned: Statement
) -> Statement:
    """Let an upstream state something; return it with the actual times."""
    await pause(network, planned.since_s)
    since_s = network.seconds()
    if planned.kind == LIMIT:
        upstream.rate_limit_per_s = planned.limit_per_s
    else:
        upstream.leaving = True
    await pause(network, planned.until_s - planned.since_s)
    until_s = network.seconds()
    upstream.rate_limit_per_s = None
    if upstream.leaving:
        upstream.restart()
    return Statement(
        since_s, until_s, planned.kind, planned.upstream, planned.limit_per_s
    )


class StatementJudge:
    """Finds requests that reached an upstream against its statement."""

    def __init__(
        self,
        calls: Iterable[Call],
        runs: Iterable[Run],
        faults: Iterable[Fault],
    ) -> None:
        """Take all calls, executions and faults of daemons."""
        self._calls: Mapping[str, Call] = {call.request: call for call in calls}
        self._runs: dict[str, list[Run]] = defaultdict(list)
        for run in runs:
            # The soak's own checks are no requests of a caller.
            if run.request in self._calls:
                self._runs[run.upstream].append(run)
        self._faults: dict[str, list[Fault]] = defaultdict(list)
        for fault in faults:
            self._faults[fault.target].append(fault)

    def broken(self, statement: Statement) -> Iterator[str]:
        """Yield a line for each violation of one statement."""
        told = self._told_s(statement)
        if statement.kind == LEAVE:
            yield from self._after_leaving(statement, told)
            return
        begun = sorted(
            run.begun_s
            for run in self._during(statement, STABLE_S)
            if self._is_bound(run, run.begun_s - TOLD_S, told)
        )
        allowed = ALLOWED_FACTOR * statement.limit_per_s * WINDOW_S
        for at_s in begun:
            found = sum(at_s <= each < at_s + WINDOW_S for each in begun)
            if found > allowed + ALLOWED_SLACK:
                yield f'{found} in {WINDOW_S} s from {at_s:.2f}: {statement}'

    def _after_leaving(self, statement: Statement, told: Told) -> Iterator[str]:
        for run in self._during(statement, 0):
            sent_s = self._calls[run.request].sent_s
            if self._is_bound(run, sent_s - DRAIN_S, told):
                yield f'sent at {sent_s:.2f}: {run} {statement}'

    def _during(self, statement: Statement, after_s: float) -> list[Run]:
        return [
            run
            for run in self._runs[statement.upstream]
            if statement.since_s + after_s <= run.begun_s < statement.until_s
        ]

    def _told_s(self, statement: Statement) -> Told:
        """Return when each daemon passed on responses with the statement."""
        told: dict[str, list[float]] = defaultdict(list)
        for run in self._during(statement, 0):
            call = self._calls[run.request]
            if run.finished_s and call.status:
                told[call.daemon].append(call.ended_s)
        return {daemon: sorted(times) for daemon, times in told.items()}

    def _is_bound(self, run: Run, at_s: float, told: Told) -> bool:
        """Return whether the daemon of a request was told by ``at_s``.

        A restart or a pause since then excuses it.
        """
        daemon = self._calls[run.request].daemon
        times = told.get(daemon, ())
        place = bisect_left(times, at_s)
        return place > 0 and not any(
            times[place - 1] < fault.until_s and fault.since_s < run.begun_s
            for fault in self._faults[daemon]
        )
