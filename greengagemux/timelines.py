"""Merges the log files of all processes into one time line, as text or HTML.

Order follows the ``hlc`` stamps, so an effect comes after its cause also when
wall clocks disagree. A line without a valid stamp is placed by its ``wall``
time. No line is placed before one that precedes it in its own file.
"""

import heapq
import json
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from importlib import resources
from pathlib import Path
from typing import Any, BinaryIO, Final, TextIO

import click

from .clocks import MILLISECOND
from .commands import EXIT_CODES
from .logs import TEXT_EVENT, Timestamp

#: A longer line counts as unreadable.
LINE_LIMIT_BYTES: Final = 1024 * 1024
#: Largest number of events in a page, which holds them all in memory.
PAGE_EVENT_LIMIT: Final = 200_000
#: Longest part of a line that a page shows.
PAGE_LINE_CHARS: Final = 4096

_EPOCH: Final = datetime(1970, 1, 1, tzinfo=UTC)
_COUNTS_PER_MS: Final = 65_536
_TEMPLATE: Final = 'timeline.html'
_DATA_PLACEHOLDER: Final = '@DATA@'
_TIME_FORMAT: Final = 'ISO 8601, such as 2026-01-01T06:00:00; UTC if no offset'


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """An event of the log; ``line`` is the JSON object of its log line."""

    stamp: Timestamp
    process: str
    sequence: int
    name: str
    request: str
    line: dict[str, Any]

    @property
    def wall_time(self) -> datetime:
        """Return the wall time of the stamp."""
        return _EPOCH + timedelta(milliseconds=self.stamp.millis)

    @property
    def daemon(self) -> str:
        """Return the daemon that wrote the line, without its incarnation."""
        return self.process.partition('/')[0]


@dataclass(slots=True)
class Report:
    """Counts, by file, of lines that are unreadable or out of order.

    ``omitted`` counts events above the limit of a page.
    """

    unreadable: dict[str, int] = field(default_factory=dict)
    out_of_order: dict[str, int] = field(default_factory=dict)
    omitted: int = 0

    def count_unreadable(self, source: str) -> None:
        """Count a line that is truncated, not JSON or without a time."""
        self.unreadable[source] = self.unreadable.get(source, 0) + 1

    def count_out_of_order(self, source: str) -> None:
        """Count a line whose stamp is below that of an earlier line."""
        self.out_of_order[source] = self.out_of_order.get(source, 0) + 1

    def lines(self) -> list[str]:
        """Return one line of text for each count above zero."""
        remarks = [
            f'{source}: {count} lines are truncated, not JSON or without a time'
            for source, count in self.unreadable.items()
        ]
        remarks += [
            f'{source}: {count} stamps are below that of an earlier line'
            for source, count in self.out_of_order.items()
        ]
        if self.omitted:
            remarks.append(
                f'{self.omitted} events after the limit are left out'
            )
        return remarks


@dataclass(frozen=True, slots=True)
class Criteria:
    """Which events to select; an empty criterion selects all.

    ``request`` is a request id, or ``DAEMON:ID`` for a request that the
    ingress DAEMON accepted. The id that the caller gave its request (``tag``)
    matches as well.
    """

    start: datetime | None = None
    end: datetime | None = None
    events: frozenset[str] = frozenset()
    processes: frozenset[str] = frozenset()
    request: str = ''

    def matches(self, event: TimelineEvent) -> bool:
        """Return whether an event meets all criteria."""
        if self.start and event.wall_time < self.start:
            return False
        if self.end and event.wall_time > self.end:
            return False
        if self.events and event.name not in self.events:
            return False
        if self.processes.isdisjoint((event.process, event.daemon)):
            if self.processes:
                return False
        return not self.request or self._matches_request(event)

    def _matches_request(self, event: TimelineEvent) -> bool:
        ingress, colon, request = self.request.rpartition(':')
        fields = _fields(event.line)
        if request not in {event.request, fields.get('tag')}:
            return False
        event_ingress = fields.get('entrance', event.daemon)
        return not colon or event_ingress == ingress


def merge(
    paths: Iterable[Path], criteria: Criteria, report: Report
) -> Iterator[TimelineEvent]:
    """Yield the selected events of all files in the order of their stamps.

    One line of each file is in memory at a time. ``report`` counts the lines
    that are unreadable or out of order.
    """
    with ExitStack() as stack:
        sources = [
            _read_events(
                stack.enter_context(path.open('rb')), str(path), report
            )
            for path in paths
        ]
        kept = (filter(criteria.matches, source) for source in sources)
        yield from heapq.merge(*kept, key=_sort_key)


def format_line(event: TimelineEvent) -> str:
    """Return an event as one line of printable ASCII."""
    when = event.wall_time.isoformat(timespec='milliseconds')
    fields = json.dumps(_fields(event.line), default=str)
    words = (when, f'+{event.stamp.count}', event.process, event.name)
    return f'{" ".join(_printable(word) for word in words)} {fields}'


def write_page(
    events: Iterable[TimelineEvent], report: Report, page: TextIO
) -> None:
    """Write a self-contained HTML page with one lane for each process.

    Events above ``PAGE_EVENT_LIMIT`` are omitted and counted in ``report``.
    """
    columns = _Columns()
    for event in events:
        if len(columns.times) < PAGE_EVENT_LIMIT:
            columns.add(event)
        else:
            report.omitted += 1
    template = resources.files(__package__).joinpath(_TEMPLATE).read_text()
    before, _mark, after = template.partition(_DATA_PLACEHOLDER)
    page.write(before)
    page.write(_script_json(columns.tables(report)))
    page.write(after)


class _Columns:
    """The events of a page as columns; process and event names are indexes."""

    def __init__(self) -> None:
        self.times: list[float] = []
        self._first_ms = 0
        self._lanes: dict[str, int] = {}
        self._names: dict[str, int] = {}
        self._lane: list[int] = []
        self._name: list[int] = []
        self._requests: list[str] = []
        self._lines: list[str] = []

    def add(self, event: TimelineEvent) -> None:
        if not self.times:
            self._first_ms = event.stamp.millis
        elapsed_ms = event.stamp.millis - self._first_ms
        self.times.append(
            round(elapsed_ms + event.stamp.count / _COUNTS_PER_MS, 5)
        )
        lane = self._lanes.setdefault(event.process, len(self._lanes))
        name = self._names.setdefault(event.name, len(self._names))
        self._lane.append(lane)
        self._name.append(name)
        self._requests.append(event.request)
        self._lines.append(json.dumps(event.line)[:PAGE_LINE_CHARS])

    def tables(self, report: Report) -> dict[str, Any]:
        return {
            'first_ms': self._first_ms,
            'lanes': list(self._lanes),
            'names': list(self._names),
            'times': self.times,
            'lane': self._lane,
            'name': self._name,
            'requests': self._requests,
            'lines': self._lines,
            'remarks': report.lines(),
        }


def _script_json(tables: dict[str, Any]) -> str:
    """Return JSON that cannot close the script element that contains it."""
    text = json.dumps(tables, separators=(',', ':'))
    for character in '<>&':
        text = text.replace(character, rf'\u{ord(character):04x}')
    return text


def _read_events(
    stream: BinaryIO, source: str, report: Report
) -> Iterator[TimelineEvent]:
    newest = Timestamp(0, 0)
    stem = Path(source).stem
    for encoded_line in _lines(stream):
        event = _parse_event(encoded_line, stem)
        if event is None:
            report.count_unreadable(source)
            continue
        if event.stamp < newest:
            report.count_out_of_order(source)
            event = replace(event, stamp=newest)
        newest = event.stamp
        yield event


def _lines(stream: BinaryIO) -> Iterator[bytes]:
    """Yield lines that are not blank, each cut at ``LINE_LIMIT_BYTES``."""
    while encoded_line := stream.readline(LINE_LIMIT_BYTES):
        remainder = encoded_line
        while remainder and not remainder.endswith(b'\n'):
            remainder = stream.readline(LINE_LIMIT_BYTES)
        if encoded_line.strip():
            yield encoded_line


def _parse_event(encoded_line: bytes, source: str) -> TimelineEvent | None:
    try:
        line = json.loads(encoded_line)
    except (ValueError, RecursionError):
        return None
    stamp = _parse_stamp(line) if isinstance(line, dict) else None
    if stamp is None:
        return None
    sequence = line.get('sequence')
    return TimelineEvent(
        stamp=stamp,
        process=_process_name(line, source),
        sequence=sequence if isinstance(sequence, int) else 0,
        name=str(line.get('event', TEXT_EVENT)),
        request=str(_fields(line).get('request', '')),
        line=line,
    )


def _parse_stamp(line: dict[str, Any]) -> Timestamp | None:
    try:
        return Timestamp.parse(str(line.get('hlc')))
    except ValueError:
        wall = _parse_wall_time(line.get('wall'))
    if wall is None:
        return None
    return Timestamp(max(0, (wall - _EPOCH) // MILLISECOND), 0)


def _parse_wall_time(text: object) -> datetime | None:
    try:
        return parse_time(str(text))
    except ValueError:
        return None


def parse_time(text: str) -> datetime:
    """Return an ISO 8601 time; one without an offset is in UTC.

    Raises ``ValueError`` for any other text.
    """
    wall = datetime.fromisoformat(text)
    return wall if wall.tzinfo else wall.replace(tzinfo=UTC)


def _process_name(line: dict[str, Any], source: str) -> str:
    daemon = line.get('daemon')
    if daemon is None:
        return source
    incarnation = line.get('incarnation')
    return str(daemon) if incarnation is None else f'{daemon}/{incarnation}'


def _fields(line: dict[str, Any]) -> dict[str, Any]:
    fields = line.get('fields')
    return fields if isinstance(fields, dict) else {}


def _sort_key(event: TimelineEvent) -> tuple[Timestamp, str, int]:
    return event.stamp, event.process, event.sequence


def _printable(text: str) -> str:
    return json.dumps(text)[1:-1]


class _TimeType(click.ParamType[datetime]):
    name = 'time'

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> datetime:
        try:
            return parse_time(value)
        except ValueError:
            self.fail(f'{value!r}: expected {_TIME_FORMAT}', param, ctx)


_FILTER_OPTIONS: Final = (
    click.option(
        '--from',
        'start',
        type=_TimeType(),
        help='Show no events before this time.',
    ),
    click.option(
        '--to', 'end', type=_TimeType(), help='Show no events after this time.'
    ),
    click.option(
        '--event', 'events', multiple=True, help='Only events of this name.'
    ),
    click.option(
        '--process',
        'processes',
        multiple=True,
        help='Only this daemon, or DAEMON/INCARNATION.',
    ),
    click.option(
        '--request', default='', help='Only this request id, or DAEMON:ID.'
    ),
)


def _filter_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in reversed(_FILTER_OPTIONS):
        command = option(command)
    return command


@click.command(epilog=EXIT_CODES)
@click.argument(
    'files',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
@_filter_options
@click.option(
    '--html',
    'page',
    type=click.File('w', encoding='utf-8', lazy=True),
    help='Write an HTML page to this file instead of text to the output.',
)
def timeline(
    files: tuple[Path, ...], page: TextIO | None, **filters: Any
) -> None:
    """Merge the log FILES of all processes into one time line.

    Lines that cannot be read are counted on standard error. Repeated
    --event or --process options select events that match any of them.
    """
    criteria = Criteria(
        start=filters['start'],
        end=filters['end'],
        events=frozenset(filters['events']),
        processes=frozenset(filters['processes']),
        request=filters['request'],
    )
    report = Report()
    merged = merge(files, criteria, report)
    if page is None:
        for event in merged:
            click.echo(format_line(event))
    else:
        write_page(merged, report, page)
    for remark in report.lines():
        click.echo(remark, err=True)
