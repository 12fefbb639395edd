"""Counts and latency quantiles of a load run, as text and JSON."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from itertools import chain
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

#: Upper limit of the histograms, which count from 1 µs.
MAX_US = 120_000_000
DIGITS = 3
US_PER_SECOND = 1_000_000
US_PER_MS = 1000


class Result(Enum):
    """Result of one request, as seen by its caller.

    ``failed``: complete response with an error status of the upstream itself.
    ``wrong``: response for another request, or a truncated one.
    ``untagged``: response of the fleet without an outcome header.
    ``lost``: connection failed, or the response was malformed.
    ``hung``: no response within the deadline plus a grace period.
    """

    completed = 'completed'
    failed = 'failed'
    wrong = 'wrong'
    not_run = 'not-run'
    unknown = 'unknown'
    untagged = 'untagged'
    lost = 'lost'
    hung = 'hung'


class Quantiles(msgspec.Struct, frozen=True):
    """Quantiles in milliseconds."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Latencies:
    """A histogram of durations."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._histogram: Any = HdrHistogram(1, MAX_US, DIGITS)

    def record(self, seconds: float) -> None:
        """Add a duration, clamped to the range of the histogram."""
        microseconds = int(seconds * US_PER_SECOND)
        self._histogram.record_value(min(max(microseconds, 1), MAX_US))

    def merge(self, other: 'Latencies') -> None:
        """Add all durations of another histogram."""
        self._histogram.add(other._histogram)

    def quantiles(self) -> Quantiles:
        """Return the quantiles; all are 0 when nothing was recorded."""
        return Quantiles(
            count=self._histogram.get_total_count(),
            p50_ms=self._percentile_ms(50),
            p90_ms=self._percentile_ms(90),
            p99_ms=self._percentile_ms(99),
            p999_ms=self._percentile_ms(99.9),
            max_ms=self._percentile_ms(100),
        )

    def _percentile_ms(self, percentile: float) -> float:
        value_us: int = self._histogram.get_value_at_percentile(percentile)
        return value_us / US_PER_MS


class ProfileReport(msgspec.Struct, frozen=True):
    """Results of one profile over one path, ``fleet`` or ``direct``.

    ``latency`` is that of completed requests, ``other`` the time to the end
    of all others; both count from the scheduled send time.
    """

    path: str
    profile: str
    priority: str
    sent: int
    results: dict[str, int]
    reasons: dict[str, int]
    statuses: dict[str, int]
    latency: Quantiles
    other: Quantiles


class Added(msgspec.Struct, frozen=True):
    """Latency added by the fleet.

    ``paired`` has the quantiles of the differences within pairs of requests
    with the same service time; ``negative`` is the number of pairs in which
    the fleet was faster, which count as 0 in ``paired``. ``p50_ms`` and
    ``p99_ms`` are the quantiles through the fleet minus the direct ones.
    """

    paired: Quantiles
    negative: int
    p50_ms: float
    p99_ms: float


class Report(msgspec.Struct, frozen=True):
    """Result of a load run.

    ``lag`` is how far the tool itself sent behind the schedule. ``cpu_ms``
    is the processor time of the tool per request. ``missing_retry_after``
    counts responses with status 429 or 503 without ``Retry-After``.
    ``added`` is ``None`` for a run without direct targets.
    """

    seed: int
    rate: float
    duration_s: float
    sent: int
    hung: int
    wrong: int
    untagged: int
    missing_retry_after: int
    lag: Quantiles
    cpu_ms: float
    profiles: list[ProfileReport]
    priorities: dict[str, Quantiles]
    added: Added | None


class Tally:
    """Running counts of one profile over one path."""

    def __init__(self, path: str, profile: str, priority: str) -> None:
        """Create a tally without requests."""
        self.path = path
        self.profile = profile
        self.priority = priority
        self.sent = 0
        self.results: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.statuses: Counter[str] = Counter()
        self.latency = Latencies()
        self.other = Latencies()

    def record(
        self, outcome: Result, reason: str, status: int, seconds: float
    ) -> None:
        """Add the result of one request; status 0 means no response."""
        self.results[outcome.value] += 1
        if reason:
            self.reasons[reason] += 1
        if status:
            self.statuses[str(status)] += 1
        if outcome is Result.completed:
            self.latency.record(seconds)
        else:
            self.other.record(seconds)

    def report(self) -> ProfileReport:
        """Return the results so far."""
        return ProfileReport(
            path=self.path,
            profile=self.profile,
            priority=self.priority,
            sent=self.sent,
            results=dict(self.results),
            reasons=dict(self.reasons),
            statuses=dict(self.statuses),
            latency=self.latency.quantiles(),
            other=self.other.quantiles(),
        )


def merged(tallies: Iterable[Tally]) -> Quantiles:
    """Return the quantiles of the completed requests of all tallies."""
    latencies = Latencies()
    for tally in tallies:
        latencies.merge(tally.latency)
    return latencies.quantiles()


def by_priority(tallies: list[Tally]) -> dict[str, Quantiles]:
    """Return the quantiles of completed requests for each priority."""
    priorities = sorted({tally.priority for tally in tallies})
    return {
        priority: merged(one for one in tallies if one.priority == priority)
        for priority in priorities
    }


def as_json(report: Report) -> bytes:
    """Return the report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=2)


def as_text(report: Report) -> str:
    """Return the report as a text table, in milliseconds."""
    lines = [
        f'sent {report.sent} at {report.rate:g}/s, seed {report.seed},'
        f' hung {report.hung}, wrong {report.wrong},'
        f' untagged {report.untagged},'
        f' without Retry-After {report.missing_retry_after}',
        _row('', ('p50', 'p90', 'p99', 'p99.9', 'max (ms)')),
        _quantile_row('load tool scheduling lag', report.lag),
    ]
    if report.added is not None:
        added = report.added
        lines += [
            _quantile_row('added by fleet, paired', added.paired),
            'added by fleet, difference of quantiles:'
            f' p50 {added.p50_ms:.2f} ms,'
            f' p99 {added.p99_ms:.2f} ms;'
            f' {added.negative} pairs faster through the fleet',
        ]
    lines += [
        _quantile_row(f'fleet, {priority}', quantiles)
        for priority, quantiles in report.priorities.items()
    ]
    details = (_profile_lines(profile) for profile in report.profiles)
    lines += chain.from_iterable(details)
    lines.append(f'load tool processor time {report.cpu_ms:.3f} ms per request')
    return '\n'.join(lines)


def _profile_lines(profile: ProfileReport) -> list[str]:
    name = f'{profile.path}, {profile.profile}'
    lines = [
        _quantile_row(name, profile.latency),
        f'    {_counts(profile.results)}',
    ]
    if profile.reasons:
        lines.append(f'    reasons: {_counts(profile.reasons)}')
    return lines


def _counts(counts: dict[str, int]) -> str:
    return ', '.join(
        f'{name} {count}' for name, count in sorted(counts.items())
    )


def _quantile_row(name: str, quantiles: Quantiles) -> str:
    figures = msgspec.structs.astuple(quantiles)[1:]
    return _row(name, tuple(f'{figure:.2f}' for figure in figures))


def _row(name: str, cells: tuple[str, ...]) -> str:
    columns = ''.join(f'{cell:>10}' for cell in cells)
    return f'{name:<34}{columns}'
