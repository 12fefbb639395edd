"""Checks of time line files against the invariants of the fleet.

Files are merged by their hybrid logical stamps, so an effect comes after its
cause. A rule sees the events in that order and returns what they break.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import click

from .commands import EXIT_CODES
from .logs import DROPPED_EVENT
from .timelines import Criteria, Report, TimelineEvent, merge

#: An upstream that is leaving receives no new work after this time (R5).
LEAVING_LIMIT: Final = timedelta(seconds=3)
#: A home dispatches on its last promise or contact for at most this long.
PROMISE_LIMIT: Final = timedelta(seconds=4.5)
#: A request is answered this long after its deadline at the latest.
ANSWER_GRACE: Final = timedelta(milliseconds=500)
#: Findings shown for each rule.
SHOWN: Final = 20

_DRAINING: Final = 'draining'
_DISPATCHES: Final = frozenset(('write-dispatched', 'read-dispatched'))
#: Events without which a rule sees nothing.
_NEEDED: Final = MappingProxyType(
    {
        'write-dispatched': 'second dispatches are not checked',
        'key-dispatched': 'second dispatches of keys are not checked',
        'read-dispatched': 'reads after a drain are not checked',
        'request-answered': 'late answers are not checked',
        'upstream-added': 'work after a drain is not checked',
        'bundle-in-force': 'bundles are not checked',
    }
)
#: Fields of a stop that tell what it still had to do.
_BUSY: Final = ('entrance_busy', 'last_hop_busy', 'keyed_busy')
#: Guards that took effect; many of them point to a fault.
_NOTABLE: Final = (
    DROPPED_EVENT,
    'reply-crossed',
    'answer-damaged',
    'dispatch-superseded',
    'stalled',
)


class Finding(NamedTuple):
    """One broken rule and the line that shows it."""

    rule: str
    process: str
    stamp: str
    detail: str

    def __str__(self) -> str:
        """Return one line of text."""
        return f'{self.rule}: {self.stamp} {self.process}: {self.detail}'


@dataclass(slots=True)
class CheckReport:
    """What the rules found, and what limits the proof."""

    findings: list[Finding] = field(default_factory=list)
    remarks: list[str] = field(default_factory=list)
    events: int = 0


class Rule:
    """One invariant; sees every event once, in order."""

    name = ''

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return what an event breaks, or nothing."""
        raise NotImplementedError


class SingleDispatch(Rule):
    """A write is dispatched once by request identity (R4)."""

    name = 'write-dispatched-twice'

    def __init__(self) -> None:
        """Start with no write seen."""
        self._seen: dict[str, str] = {}

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return an earlier dispatch of the same request."""
        if event.name != 'write-dispatched' or not event.request:
            return ''
        earlier = self._seen.setdefault(event.request, str(event.stamp))
        if earlier == str(event.stamp):
            return ''
        return f'{event.request}, first at {earlier}'


class SingleKey(Rule):
    """A keyed write is dispatched for one exchange only (R4).

    The exchange may place it again after an upstream refused it; another one
    may dispatch only after the first ended as not run.
    """

    name = 'key-dispatched-twice'

    def __init__(self) -> None:
        """Start with no key seen."""
        self._holders: dict[str, tuple[str, str]] = {}

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the exchange that dispatched the same key."""
        key = str(fields.get('key', ''))
        if event.name == 'key-ended' and fields.get('outcome') == 'not-run':
            self._holders.pop(key, None)
        if event.name != 'key-dispatched':
            return ''
        exchange = (event.process, str(fields.get('exchange')))
        holder = self._holders.setdefault(key, exchange)
        if holder == exchange:
            return ''
        return f'key {key} by {exchange}, before by {holder}'


class StaleHome(Rule):
    """A replaced home stops dispatching within its promise."""

    name = 'stale-home'

    def __init__(self) -> None:
        """Start with no epoch seen."""
        self._newest: dict[tuple[str, str], tuple[int, datetime]] = {}

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the newer epoch that was in use long before."""
        if event.name != 'key-dispatched':
            return ''
        slot = (str(fields.get('service')), str(fields.get('slot')))
        epoch = int(fields.get('epoch', 0))
        newest, since = self._newest.get(slot, (-1, event.when))
        if epoch > newest:
            self._newest[slot] = (epoch, event.when)
        elif epoch < newest and event.when - since > PROMISE_LIMIT:
            return f'{slot}: epoch {epoch}, epoch {newest} since {since}'
        return ''


class BundlesStay(Rule):
    """The version in force never goes back in one process (R7)."""

    name = 'bundle-reverted'

    def __init__(self) -> None:
        """Start with no version seen."""
        self._newest: dict[str, int] = {}

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the newer version that was in force."""
        if event.name != 'bundle-in-force':
            return ''
        version = fields.get('version') or 0
        newest = self._newest.get(event.process, 0)
        self._newest[event.process] = max(version, newest)
        return f'{version} after {newest}' if version < newest else ''


class OneBundle(Rule):
    """All daemons accept the same record for a version (R7)."""

    name = 'bundle-forked'

    def __init__(self) -> None:
        """Start with no record seen."""
        self._offsets: dict[int, int] = {}

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the other record that was accepted for the version."""
        if event.name != 'bundle-record' or fields.get('outcome') != 'accepted':
            return ''
        version = fields['version']
        offset = fields['offset']
        known = self._offsets.setdefault(version, offset)
        if known == offset:
            return ''
        return f'version {version} at offset {offset}, elsewhere at {known}'


class LeavingUpstreams(Rule):
    """An upstream that drains gets no new work after 3 s (R5).

    An upstream that returns is added again, which ends its drain.
    """

    name = 'work-after-drain'

    def __init__(self) -> None:
        """Start with no upstream seen."""
        self._since: dict[tuple[str, str], datetime] = {}
        self._adds_noted = False

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return when the upstream of a dispatch began to drain."""
        place = (event.process, str(fields.get('upstream')))
        if event.name == 'upstream-added':
            self._adds_noted = True
            self._since.pop(place, None)
        if event.name == 'upstream-state':
            self._since.pop(place, None)
            if fields.get('state') == _DRAINING:
                self._since[place] = event.when
        since = self._since.get(place)
        if event.name not in _DISPATCHES or since is None:
            return ''
        if not self._adds_noted:
            # Its return cannot be told from work after the drain.
            return ''
        if event.when - since <= LEAVING_LIMIT:
            return ''
        return f'{place[1]} drains since {since.isoformat()}'


class GracefulStops(Rule):
    """A planned stop ends no process that has work (R6)."""

    name = 'stop-with-work'

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return a stop with requests, or with key records to hand over."""
        if event.name != 'stopped' or fields.get('idle'):
            return ''
        busy = [name for name in _BUSY if fields.get(name, True)]
        return f'stopped while busy: {", ".join(busy)}'


class PromptAnswers(Rule):
    """Callers are answered at their deadline at the latest."""

    name = 'answered-late'

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return how late an answer was."""
        late = timedelta(milliseconds=float(fields.get('late_ms', 0)))
        if event.name == 'request-answered' and late > ANSWER_GRACE:
            return f'{event.request} {late} after its deadline'
        return ''


class NoErrors(Rule):
    """No event fails inside a daemon, and no timer ends."""

    name = 'internal-error'

    def see(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the text of an error line."""
        if event.line.get('level') not in {'error', 'critical'}:
            return ''
        trace = str(event.line.get('exc_info', ''))
        last = trace.strip().rpartition('\n')[2]
        return f'{fields.get("text", event.name)} {last}'.strip()


RULES: Final = (
    SingleDispatch,
    SingleKey,
    StaleHome,
    BundlesStay,
    OneBundle,
    LeavingUpstreams,
    GracefulStops,
    PromptAnswers,
    NoErrors,
)


def verify_files(paths: Iterable[Path]) -> CheckReport:
    """Check the time line files of one run.

    Raises ``OSError`` for a file that cannot be read.
    """
    report = CheckReport()
    reading = Report()
    noted: Counter[str] = Counter()
    applied = [rule() for rule in RULES]
    for event in merge(tuple(paths), Criteria(), reading):
        noted[event.name] += 1
        found = event.line.get('fields')
        fields = found if isinstance(found, Mapping) else {}
        for rule in applied:
            detail = rule.see(event, fields)
            if detail:
                report.findings.append(
                    Finding(rule.name, event.process, str(event.stamp), detail)
                )
    report.events = noted.total()
    report.remarks = [*reading.lines(), *_remarks(noted)]
    return report


def _remarks(noted: Counter[str]) -> list[str]:
    remarks = [
        f'no event {name}: {effect}'
        for name, effect in _NEEDED.items()
        if not noted[name]
    ]
    return remarks + [
        f'{noted[name]} events {name}' for name in _NOTABLE if noted[name]
    ]


@click.command(epilog=EXIT_CODES)
@click.argument(
    'logs',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def verify(logs: tuple[Path, ...]) -> None:
    """Check the time line files LOGS of a run against the invariants.

    Ends with status 1 when one is broken.
    """
    report = verify_files(logs)
    counts = Counter(finding.rule for finding in report.findings)
    shown: Counter[str] = Counter()
    for finding in report.findings:
        shown[finding.rule] += 1
        if shown[finding.rule] <= SHOWN:
            click.echo(str(finding))
    for remark in report.remarks:
        click.echo(remark, err=True)
    click.echo(f'{report.events} events, broken: {dict(counts) or "nothing"}')
    if report.findings:
        raise click.exceptions.Exit(1)
