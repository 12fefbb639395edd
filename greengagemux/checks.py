"""Checks the log files of a run against the invariants of the fleet.

Files are merged by their hybrid logical stamps, so an effect comes after its
cause. Each rule checks the events in that order and describes a violation.
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

#: A draining upstream receives no new request after this time (R5).
DRAIN_LIMIT: Final = timedelta(seconds=3)
#: Longest time for which an owner dispatches after its last lease grant or
#: contact.
LEASE_LIMIT: Final = timedelta(seconds=4.5)
#: Latest response to a request, measured from its deadline.
RESPONSE_GRACE: Final = timedelta(milliseconds=500)
SHOWN_PER_RULE: Final = 20

_DRAINING: Final = 'draining'
_DISPATCHES: Final = frozenset(('write-dispatched', 'read-dispatched'))
#: Events that a rule needs, with what is unchecked if a run has none.
_EXPECTED_EVENTS: Final = MappingProxyType(
    {
        'write-dispatched': 'repeated dispatches of writes are not checked',
        'key-dispatched': 'repeated dispatches of keys are not checked',
        'read-dispatched': 'reads after a drain are not checked',
        'request-answered': 'late responses are not checked',
        'upstream-added': 'requests after a drain are not checked',
        'bundle-in-force': 'bundles are not checked',
    }
)
#: Fields of ``stopped`` that say which work the daemon still had.
_BUSY_FIELDS: Final = ('entrance_busy', 'last_hop_busy', 'keyed_busy')
#: Events of safeguards; a large number of them points to a fault.
_NOTABLE_EVENTS: Final = (
    DROPPED_EVENT,
    'reply-crossed',
    'answer-damaged',
    'dispatch-superseded',
    'stalled',
)


class Finding(NamedTuple):
    """A violation of a rule by one event."""

    rule: str
    process: str
    stamp: str
    detail: str

    def __str__(self) -> str:
        """Return one line of text."""
        return f'{self.rule}: {self.stamp} {self.process}: {self.detail}'


@dataclass(slots=True)
class CheckReport:
    """Violations, and remarks on what was unreadable or not checked."""

    findings: list[Finding] = field(default_factory=list)
    remarks: list[str] = field(default_factory=list)
    events: int = 0


class Rule:
    """One invariant; it checks every event once, in order."""

    name = ''

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return how an event violates the rule, or an empty text."""
        raise NotImplementedError


class SingleWriteDispatch(Rule):
    """A write, identified by its request id, is dispatched once (R4)."""

    name = 'write-dispatched-twice'

    def __init__(self) -> None:
        """Start without writes."""
        self._first_dispatches: dict[str, str] = {}

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the earlier dispatch of the same request."""
        if event.name != 'write-dispatched' or not event.request:
            return ''
        earlier = self._first_dispatches.setdefault(
            event.request, str(event.stamp)
        )
        if earlier == str(event.stamp):
            return ''
        return f'{event.request}, first at {earlier}'


class SingleKeyDispatch(Rule):
    """A keyed write is dispatched for one exchange only (R4).

    The same exchange may dispatch it again after an upstream refused it.
    Another exchange may dispatch it only after the first ended as not run.
    """

    name = 'key-dispatched-twice'

    def __init__(self) -> None:
        """Start without keys."""
        self._exchanges: dict[str, tuple[str, str]] = {}

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the other exchange that dispatched the same key."""
        key = str(fields.get('key', ''))
        if event.name == 'key-ended' and fields.get('outcome') == 'not-run':
            self._exchanges.pop(key, None)
        if event.name != 'key-dispatched':
            return ''
        exchange = (event.process, str(fields.get('exchange')))
        first_exchange = self._exchanges.setdefault(key, exchange)
        if first_exchange == exchange:
            return ''
        return f'key {key} by {exchange}, before by {first_exchange}'


class StaleOwner(Rule):
    """A replaced owner of a slot stops dispatching when its lease ends."""

    name = 'stale-home'

    def __init__(self) -> None:
        """Start without epochs."""
        self._newest: dict[tuple[str, str], tuple[int, datetime]] = {}

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the newer epoch that was in use longer than a lease."""
        if event.name != 'key-dispatched':
            return ''
        slot = (str(fields.get('service')), str(fields.get('slot')))
        epoch = int(fields.get('epoch', 0))
        newest, newest_since = self._newest.get(slot, (-1, event.wall_time))
        if epoch > newest:
            self._newest[slot] = (epoch, event.wall_time)
        elif epoch < newest and event.wall_time - newest_since > LEASE_LIMIT:
            return f'{slot}: epoch {epoch}, epoch {newest} since {newest_since}'
        return ''


class NoBundleRollback(Rule):
    """The bundle version in force never decreases in one process (R7)."""

    name = 'bundle-reverted'

    def __init__(self) -> None:
        """Start without versions."""
        self._newest: dict[str, int] = {}

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the newer version that was in force before."""
        if event.name != 'bundle-in-force':
            return ''
        version = fields.get('version') or 0
        newest = self._newest.get(event.process, 0)
        self._newest[event.process] = max(version, newest)
        return f'{version} after {newest}' if version < newest else ''


class OneRecordPerVersion(Rule):
    """All daemons accept the same record for a bundle version (R7)."""

    name = 'bundle-forked'

    def __init__(self) -> None:
        """Start without records."""
        self._offsets: dict[int, int] = {}

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the offset of another record accepted for the version."""
        if event.name != 'bundle-record' or fields.get('outcome') != 'accepted':
            return ''
        version = fields['version']
        offset = fields['offset']
        known = self._offsets.setdefault(version, offset)
        if known == offset:
            return ''
        return f'version {version} at offset {offset}, elsewhere at {known}'


class NoWorkAfterDrain(Rule):
    """An upstream that drains gets no new request after 3 s (R5).

    An upstream that returns is added again, which ends its drain.
    """

    name = 'work-after-drain'

    def __init__(self) -> None:
        """Start without upstreams."""
        self._draining_since: dict[tuple[str, str], datetime] = {}
        self._has_additions = False

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return when the upstream of a dispatch began to drain."""
        upstream_key = (event.process, str(fields.get('upstream')))
        if event.name == 'upstream-added':
            self._has_additions = True
            self._draining_since.pop(upstream_key, None)
        if event.name == 'upstream-state':
            self._draining_since.pop(upstream_key, None)
            if fields.get('state') == _DRAINING:
                self._draining_since[upstream_key] = event.wall_time
        draining_since = self._draining_since.get(upstream_key)
        if event.name not in _DISPATCHES or draining_since is None:
            return ''
        if not self._has_additions:
            # Without ``upstream-added`` events a return can't be told from a
            # dispatch after the drain.
            return ''
        if event.wall_time - draining_since <= DRAIN_LIMIT:
            return ''
        return f'{upstream_key[1]} drains since {draining_since.isoformat()}'


class GracefulStops(Rule):
    """A planned stop ends no process that still has work (R6)."""

    name = 'stop-with-work'

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the kinds of work that a stopped daemon still had."""
        if event.name != 'stopped' or fields.get('idle'):
            return ''
        busy = [name for name in _BUSY_FIELDS if fields.get(name, True)]
        return f'stopped while busy: {", ".join(busy)}'


class PromptResponses(Rule):
    """Callers get a response within ``RESPONSE_GRACE`` of their deadline."""

    name = 'answered-late'

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return how late a response was."""
        late = timedelta(milliseconds=float(fields.get('late_ms', 0)))
        if event.name == 'request-answered' and late > RESPONSE_GRACE:
            return f'{event.request} {late} after its deadline'
        return ''


class NoErrors(Rule):
    """No handler of an event raises inside a daemon, and no timer stops."""

    name = 'internal-error'

    def check(self, event: TimelineEvent, fields: Mapping[str, Any]) -> str:
        """Return the text and the exception of an error line."""
        if event.line.get('level') not in {'error', 'critical'}:
            return ''
        trace = str(event.line.get('exc_info', ''))
        last = trace.strip().rpartition('\n')[2]
        return f'{fields.get("text", event.name)} {last}'.strip()


RULES: Final = (
    SingleWriteDispatch,
    SingleKeyDispatch,
    StaleOwner,
    NoBundleRollback,
    OneRecordPerVersion,
    NoWorkAfterDrain,
    GracefulStops,
    PromptResponses,
    NoErrors,
)


def verify_files(paths: Iterable[Path]) -> CheckReport:
    """Check the log files of one run.

    Raises ``OSError`` for a file that cannot be read.
    """
    report = CheckReport()
    read_report = Report()
    event_counts: Counter[str] = Counter()
    rules = [rule() for rule in RULES]
    for event in merge(tuple(paths), Criteria(), read_report):
        event_counts[event.name] += 1
        found = event.line.get('fields')
        fields = found if isinstance(found, Mapping) else {}
        for rule in rules:
            detail = rule.check(event, fields)
            if detail:
                report.findings.append(
                    Finding(rule.name, event.process, str(event.stamp), detail)
                )
    report.events = event_counts.total()
    report.remarks = [*read_report.lines(), *_remarks(event_counts)]
    return report


def _remarks(event_counts: Counter[str]) -> list[str]:
    remarks = [
        f'no event {name}: {effect}'
        for name, effect in _EXPECTED_EVENTS.items()
        if not event_counts[name]
    ]
    return remarks + [
        f'{event_counts[name]} events {name}'
        for name in _NOTABLE_EVENTS
        if event_counts[name]
    ]


@click.command(epilog=EXIT_CODES)
@click.argument(
    'logs',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def verify(logs: tuple[Path, ...]) -> None:
    """Check the log files LOGS of a run against the invariants.

    Ends with status 1 when one is violated.
    """
    report = verify_files(logs)
    counts = Counter(finding.rule for finding in report.findings)
    shown: Counter[str] = Counter()
    for finding in report.findings:
        shown[finding.rule] += 1
        if shown[finding.rule] <= SHOWN_PER_RULE:
            click.echo(str(finding))
    for remark in report.remarks:
        click.echo(remark, err=True)
    click.echo(f'{report.events} events, broken: {dict(counts) or "nothing"}')
    if report.findings:
        raise click.exceptions.Exit(1)
