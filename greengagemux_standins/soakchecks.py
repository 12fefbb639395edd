"""What a soak run shows: broken requirements and outcomes by fault."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from greengagemux.loadclients import Lost
from greengagemux.loadreports import Result

from .ledgers import Entry
from .soakcallers import Told
from .soakfaults import RESTART_S, Fault

#: A process that was just started or resumed has a backlog to work off.
RECOVERY_S = 2.0

#: An upstream that is leaving gets no new work after this time (R5).
LEAVING_S = 3.0

_DRAIN = 'upstream-drain'
_WRITES = frozenset(('keyed', 'plain'))
_EXCUSE_HANG = frozenset(('daemon-kill', 'daemon-pause', 'daemon-stop'))
_EXCUSE_LOSS = frozenset(('daemon-kill',))
_UNSENT = Lost.refused.value


class Polled(NamedTuple):
    """Bundle at one daemon; ``process`` changes with each restart."""

    daemon: str
    process: int
    version: int
    offset: int
    at_s: float


@dataclass(slots=True)
class Verdict:
    """Broken requirements by name, each with what shows it."""

    broken: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    excused: Counter[str] = field(default_factory=Counter)

    @property
    def clean(self) -> bool:
        """Whether nothing is broken."""
        return not any(self.broken.values())


def judge(
    told: Sequence[Told],
    entries: Iterable[Entry],
    faults: Sequence[Fault],
    names: Mapping[str, str],
) -> Verdict:
    """Compare what callers were told with the ledgers.

    ``names`` maps the address of an entrance to its daemon.
    """
    verdict = Verdict()
    started: Counter[str] = Counter()
    finished: Counter[str] = Counter()
    drains = _Drains(faults)
    for entry in entries:
        if entry.event != 'started':
            finished[entry.tag] += 1
            continue
        started[entry.tag] += 1
        late_s = drains.late_s(entry)
        if late_s:
            verdict.broken['work-after-drain'].append(
                f'{entry.upstream}: {entry.tag} {late_s:.2f} s after its drain'
            )
    excuses = _Excuses(faults, names)
    for one in told:
        _judge_end(verdict, one, excuses)
        shown = f'{one.tag} attempt {one.attempt} at {names[one.entrance]}'
        if one.outcome is Result.not_run and started[one.tag]:
            kind = 'not-run-key-ran' if one.key else 'not-run-but-ran'
            verdict.broken[kind].append(f'{shown}: {one.reason}')
        if one.outcome is Result.completed and not finished[one.tag]:
            verdict.broken['completed-without-run'].append(shown)
    verdict.broken['doubled-write'] += _doubled(told, started)
    return verdict


def _doubled(told: Sequence[Told], started: Counter[str]) -> list[str]:
    writes = {one.tag for one in told if one.kind in _WRITES}
    return [
        f'{write}: {started[write]} runs'
        for write in writes
        if started[write] > 1
    ]


class _Drains:
    """Tells how long after its limit an upstream that drains got work."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        self._drains = [one for one in faults if one.kind == _DRAIN]

    def late_s(self, entry: Entry) -> float:
        for drain in self._drains:
            own = drain.target == entry.upstream
            passed_s = entry.at_s - drain.since_s
            ended = entry.at_s > drain.until_s - RESTART_S
            if own and passed_s > LEAVING_S and not ended:
                return passed_s
        return 0


def judge_bundles(polled: Sequence[Polled]) -> list[str]:
    """Return versions that went back, or differ under one number."""
    newest: dict[tuple[str, int], int] = {}
    offsets: dict[int, int] = {}
    broken = []
    for one in polled:
        process = (one.daemon, one.process)
        if one.version < newest.get(process, 0):
            broken.append(f'{process}: {newest[process]} to {one.version}')
        newest[process] = max(one.version, newest.get(process, 0))
        if offsets.setdefault(one.version, one.offset) != one.offset:
            broken.append(f'{one}: offset {offsets[one.version]} elsewhere')
    return broken


class _Excuses:
    """Faults by entrance, to tell which ends they explain."""

    def __init__(
        self, faults: Sequence[Fault], names: Mapping[str, str]
    ) -> None:
        self._names = names
        self._by_target: dict[str, list[Fault]] = defaultdict(list)
        for fault in faults:
            self._by_target[fault.target].append(fault)

    def kinds(self, one: Told) -> set[str]:
        found = self._by_target[self._names[one.entrance]]
        return {fault.kind for fault in found if _overlaps(fault, one)}


def _overlaps(fault: Fault, one: Told) -> bool:
    if fault.since_s > one.ended_s:
        return False
    return fault.until_s + RECOVERY_S >= one.sent_s


def _judge_end(verdict: Verdict, one: Told, excuses: _Excuses) -> None:
    shown = f'{one.tag} attempt {one.attempt} ({one.kind}): {one.reason}'
    kinds = excuses.kinds(one)
    if one.outcome in {Result.wrong, Result.untagged}:
        verdict.broken[one.outcome.value].append(shown)
    elif one.outcome is Result.hung:
        if kinds & _EXCUSE_HANG:
            verdict.excused['hung at a disturbed entrance'] += 1
        else:
            late_ms = round((one.ended_s - one.sent_s) * 1000)
            verdict.broken['hung'].append(f'{shown}, {late_ms} ms')
    elif one.outcome is Result.lost:
        _judge_loss(verdict, one, kinds, shown)


def _judge_loss(
    verdict: Verdict, one: Told, kinds: set[str], shown: str
) -> None:
    if one.reason == _UNSENT or kinds & _EXCUSE_LOSS:
        verdict.excused[f'{one.reason} at a disturbed entrance'] += 1
    elif 'daemon-stop' in kinds:
        verdict.broken['cut-off-by-planned-stop'].append(shown)
    else:
        verdict.broken['connection-lost'].append(f'{shown} {kinds}')


def outcome_rows(told: Sequence[Told]) -> list[str]:
    """Return one line for each kind of request with counts by outcome."""
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for one in told:
        name = one.outcome.value
        if one.reason == _UNSENT:
            name = 'unsent'
        counts[one.kind][name] += 1
    return [
        f'{kind}: {sum(found.values())} attempts, '
        + ', '.join(f'{name} {count}' for name, count in found.most_common())
        for kind, found in sorted(counts.items())
    ]


def last_rows(told: Sequence[Told]) -> list[str]:
    """Return the last outcome of requests, by kind."""
    last = {one.tag: one for one in told}
    return outcome_rows(tuple(last.values()))


def fault_rows(told: Sequence[Told], faults: Sequence[Fault]) -> list[str]:
    """Return a table row for each kind of fault.

    A request counts for every fault during which it was under way, so the
    shares are those of a fleet with other faults at the same time.
    """
    rows = ['| fault | times | requests | unknown | not run | lost or hung |']
    rows.append('| --- | --- | --- | --- | --- | --- |')
    ends = sorted(told, key=lambda one: one.sent_s)
    kinds = sorted({fault.kind for fault in faults})
    for kind in kinds:
        own = [fault for fault in faults if fault.kind == kind]
        during = [
            one for one in ends if any(_is_during(one, fault) for fault in own)
        ]
        rows.append(f'| {kind} | {len(own)} | {_shares(during)} |')
    rows.append(f'| whole run | {len(faults)} | {_shares(ends)} |')
    return rows


def _is_during(one: Told, fault: Fault) -> bool:
    return fault.since_s <= one.ended_s and one.sent_s <= fault.until_s


def _shares(told: Sequence[Told]) -> str:
    sent = [one for one in told if one.reason != _UNSENT]
    total = max(1, len(sent))
    groups = (
        (Result.unknown,),
        (Result.not_run,),
        (Result.lost, Result.hung),
    )
    shares = [
        f'{100 * sum(one.outcome in group for one in sent) / total:.2f}%'
        for group in groups
    ]
    return ' | '.join((str(len(sent)), *shares))
