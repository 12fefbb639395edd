"""Open-loop load tool without coordinated omission.

Requests are sent on a schedule that depends only on the plan and the seed, not
on responses; latency counts from the scheduled send time. With direct targets
each arrival becomes a pair of requests, one through the fleet and one directly
to an upstream stand-in, half a mean interval apart and in random order. Both
carry the same ``X-Service-Seed``, from which the stand-in draws the same
service time, so the difference in latency is the time that the fleet adds.
"""

import gc
import hashlib
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import takewhile
from pathlib import Path
from typing import Any, NamedTuple

import click
from twisted.internet.defer import Deferred

from .clocks import Clock, SystemClock
from .loadclients import Answer, Exchange, Lost, Pool, header_pattern
from .loadplans import Arrival, ArrivalKind, Plan, Profile, arrivals, parse_plan
from .loadreports import (
    Added,
    Latencies,
    Report,
    Result,
    Tally,
    as_json,
    as_text,
    by_priority,
    merged,
)
from .outcomes import Failure, FailureError, Outcome, Step

#: A request without a response this long after its deadline counts as hung.
GRACE_S = 0.5
_EXPIRY_INTERVAL_S = 0.05
_START_DELAY_S = 0.2
_MS_PER_SECOND = 1000
_FILLER = b'x'
_FLEET = 'fleet'
_DIRECT = 'direct'
_ERROR_STATUS = 400
_RETRY_AFTER_STATUSES = frozenset((429, 503))
#: Allocations between garbage collections. At the default threshold the
#: collections delay requests and show up as scheduling lag of the tool.
_GC_THRESHOLD = 100_000

_OUTCOME = header_pattern('Greengage-Outcome')
_REASON = header_pattern('Greengage-Reason')
_TAG = header_pattern('X-Request-Tag')
_RETRY_AFTER = header_pattern('Retry-After')


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """Options of a run.

    ``entrances`` are the addresses of ingress daemons and ``direct`` those of
    upstreams, as ``host:port``; a direct one may be limited to a service as
    ``SERVICE=host:port``. ``rate`` is the number of arrivals per second.
    Requests in the first ``warm_up_s`` seconds are sent but not reported.
    ``warm_connections`` are opened to each address before the start.
    ``on_end`` is called for each request that ended, also during the warm-up.
    """

    entrances: tuple[str, ...]
    direct: tuple[str, ...] = ()
    rate: float = 215
    duration_s: float = 10
    warm_up_s: float = 1
    seed: int = 1
    kind: ArrivalKind = ArrivalKind.poisson
    warm_connections: int = 8
    on_end: Callable[['Ended'], object] | None = None


class Ended(NamedTuple):
    """One ended request, for checks against the ledgers of the upstreams.

    ``seconds`` counts from the scheduled send time.
    """

    tag: str
    path: str
    profile: str
    method: str
    target: str
    outcome: Result
    reason: str
    seconds: float


class Planned(NamedTuple):
    """One request of the schedule; ``due_s`` counts from the start."""

    due_s: float
    path: str
    tag: str
    arrival: Arrival


@dataclass(eq=False, slots=True)
class _Call:
    """One request without a result yet.

    ``since_s`` is its scheduled send time and ``expires_s`` the time from
    which it counts as hung, both on the monotonic clock.
    """

    planned: Planned
    tally: Tally
    since_s: float
    expires_s: float
    exchange: Exchange | None = None


@dataclass(eq=False, slots=True)
class _PairLatencies:
    """Time added by the fleet, from pairs whose requests both completed.

    ``unmatched`` holds path and latency of completed requests whose counterpart
    has not completed, by the number of their arrival.
    """

    unmatched: dict[int, tuple[str, float]] = field(default_factory=dict)
    added: Latencies = field(default_factory=Latencies)
    negative: int = 0

    def record(self, number: int, path: str, seconds: float) -> None:
        """Add a latency and, once both of a pair are known, its difference."""
        other = self.unmatched.pop(number, None)
        if other is None:
            self.unmatched[number] = (path, seconds)
            return
        added_s = seconds - other[1]
        if path == _DIRECT:
            added_s = -added_s
        self.negative += added_s < 0
        self.added.record(added_s)


def schedule(plan: Plan, options: LoadOptions) -> Iterable[Planned]:
    """Yield the requests of a run in the order of their send times."""
    series = arrivals(plan, options.rate, options.kind, options.seed)
    end_s = options.warm_up_s + options.duration_s
    pair_gap_s = 0.5 / options.rate
    delayed: list[Planned] = []
    for arrival in takewhile(partial(_is_due_before, end_s), series):
        # Second requests of earlier pairs that are due before this arrival.
        while delayed and delayed[0].due_s <= arrival.due_s:
            yield delayed.pop(0)
        tag = f'{options.seed}-{arrival.number}'
        fleet = Planned(arrival.due_s, _FLEET, tag, arrival)
        if not options.direct:
            yield fleet
            continue
        direct = fleet._replace(path=_DIRECT, tag=f'{tag}-d')
        pair = (direct, fleet) if arrival.direct_first else (fleet, direct)
        yield pair[0]
        delayed.append(pair[1]._replace(due_s=arrival.due_s + pair_gap_s))
    yield from delayed


def _is_due_before(end_s: float, arrival: Arrival) -> bool:
    return arrival.due_s < end_s


def classify(planned: Planned, answer: Answer) -> tuple[Result, str]:
    """Return the result of a response and the reason for it.

    The headers decide; a response that they call completed is also checked
    for belonging to this request and for being complete.
    """
    reason = answer.header(_REASON)
    outcome = answer.header(_OUTCOME)
    if not outcome and planned.path == _FLEET:
        return Result.untagged, f'status {answer.status}'
    if outcome == Outcome.not_run.value:
        return Result.not_run, reason
    if outcome == Outcome.unknown.value:
        return Result.unknown, reason
    if answer.status >= _ERROR_STATUS:
        return Result.failed, reason or f'status {answer.status}'
    mismatch = _response_mismatch(planned, answer)
    return (Result.wrong, mismatch) if mismatch else (Result.completed, reason)


def _response_mismatch(planned: Planned, answer: Answer) -> str:
    """Return why this isn't the complete response to the request, or ''."""
    if answer.header(_TAG) != planned.tag:
        return 'other tag in header'
    arrival = planned.arrival
    method = arrival.profile.method
    if method == 'HEAD':
        return ''
    line, _, _ = answer.body.partition(b'\n')
    start, _, size = line.rpartition(b' ')
    if start != f'{method} {arrival.target} {planned.tag}'.encode():
        return 'other request in body'
    if not size.isdigit() or len(answer.body) < int(size):
        return 'truncated body'
    return ''


def request_bytes(planned: Planned, host: str, run: str, seed: int) -> bytes:
    """Return the encoded request; ``run`` makes idempotency keys unique."""
    profile = planned.arrival.profile
    tag = planned.tag
    body = b''
    if profile.body_bytes:
        body = tag.encode().ljust(profile.body_bytes, _FILLER)
    lines = [
        f'{profile.method} {planned.arrival.target} HTTP/1.1',
        f'Host: {host}',
        f'X-Request-Tag: {tag}',
        f'X-Service-Seed: {seed}-{planned.arrival.number}',
        f'Greengage-Deadline-Ms: {profile.deadline_ms}',
    ]
    if profile.token:
        lines.append(f'Authorization: Bearer {profile.token}')
    if profile.keyed:
        lines.append(f'Idempotency-Key: {run}-{tag}')
    if body or profile.method not in {'GET', 'HEAD'}:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1') + body


class LoadRun:
    """One run of a plan on a Twisted reactor."""

    def __init__(
        self,
        plan: Plan,
        options: LoadOptions,
        network: Any,
        clock: Clock | None = None,
    ) -> None:
        """Prepare a run; nothing is sent before ``start``."""
        self._options = options
        self._network = network
        self._clock = clock or SystemClock()
        self._plan = plan
        self._schedule = iter(schedule(plan, options))
        self._next: Planned | None = None
        self._pools: dict[str, Pool] = {}
        self._direct = _by_service(options.direct)
        _check_direct(plan, self._direct)
        self._run_id = hashlib.sha256(
            f'{options.seed} {self._clock.wall()}'.encode()
        ).hexdigest()[:8]
        self._tallies: dict[tuple[str, str], Tally] = {}
        self._calls: dict[_Call, None] = {}
        self._lag = Latencies()
        self._pairs = _PairLatencies()
        self._retry_after_counts: Counter[str] = Counter()
        self._start_s = float()
        self._cpu_s = float()
        self._sent = 0
        self._finished: Deferred[Report] = Deferred()

    def start(self) -> Deferred[Report]:
        """Start sending; the ``Deferred`` fires with the report at the end."""
        direct = tuple(
            address for group in self._direct.values() for address in group
        )
        addresses = (*self._options.entrances, *direct)
        for address in dict.fromkeys(addresses):
            self._pools[address] = Pool(address, self._network)
            self._pools[address].warm(self._options.warm_connections)
        self._start_s = self._now() + _START_DELAY_S
        self._next = next(self._schedule, None)
        self._network.callLater(_START_DELAY_S, self._send_due)
        self._network.callLater(_EXPIRY_INTERVAL_S, self._expire_overdue)
        self._cpu_s = time.process_time()
        return self._finished

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _send_due(self) -> None:
        while self._next is not None:
            since_s = self._start_s + self._next.due_s
            wait_s = since_s - self._now()
            if wait_s > 0:
                self._network.callLater(wait_s, self._send_due)
                return
            self._send(self._next, since_s)
            self._next = next(self._schedule, None)

    def _send(self, planned: Planned, since_s: float) -> None:
        profile = planned.arrival.profile
        call = _Call(
            planned,
            self._tally(planned),
            since_s,
            since_s + profile.deadline_ms / _MS_PER_SECOND + GRACE_S,
        )
        address = self._address(planned)
        payload = request_bytes(
            planned, address, self._run_id, self._options.seed
        )
        call.exchange = Exchange(
            payload,
            profile.method == 'HEAD',
            partial(self._response_received, call),
        )
        self._calls[call] = None
        self._sent += 1
        if self._is_after_warm_up(planned):
            call.tally.sent += 1
            self._lag.record(self._now() - since_s)
        self._pools[address].ask(call.exchange)

    def _address(self, planned: Planned) -> str:
        addresses = self._options.entrances
        if planned.path == _DIRECT:
            service = planned.arrival.profile.service
            addresses = self._direct.get(service) or self._direct['']
        return addresses[planned.arrival.entrance % len(addresses)]

    def _tally(self, planned: Planned) -> Tally:
        profile = planned.arrival.profile
        key = (planned.path, profile.name)
        if key not in self._tallies:
            self._tallies[key] = Tally(*key, profile.priority.value)
        return self._tallies[key]

    def _is_after_warm_up(self, planned: Planned) -> bool:
        return planned.arrival.due_s >= self._options.warm_up_s

    def _response_received(self, call: _Call, answer: Answer | Lost) -> None:
        self._calls.pop(call, None)
        if isinstance(answer, Lost):
            self._record(call, Result.lost, answer.value, 0)
            return
        outcome, reason = classify(call.planned, answer)
        if self._now() > call.expires_s:
            outcome, reason = Result.hung, 'answered late'
        if answer.status in _RETRY_AFTER_STATUSES:
            missing = not answer.header(_RETRY_AFTER)
            self._retry_after_counts['missing'] += missing
        self._record(call, outcome, reason, answer.status)

    def _record(
        self, call: _Call, outcome: Result, reason: str, status: int
    ) -> None:
        planned = call.planned
        seconds = self._now() - call.since_s
        if self._is_after_warm_up(planned):
            call.tally.record(outcome, reason, status, seconds)
            if outcome is Result.completed and self._options.direct:
                number = planned.arrival.number
                self._pairs.record(number, planned.path, seconds)
        if self._options.on_end is not None:
            arrival = planned.arrival
            profile: Profile = arrival.profile
            self._options.on_end(
                Ended(
                    planned.tag,
                    planned.path,
                    profile.name,
                    profile.method,
                    arrival.target,
                    outcome,
                    reason,
                    seconds,
                )
            )

    def _expire_overdue(self) -> None:
        now = self._now()
        expired = [call for call in self._calls if call.expires_s < now]
        for call in expired:
            self._calls.pop(call)
            if call.exchange is not None:
                call.exchange.abandon()
            self._record(call, Result.hung, 'no answer', 0)
        if self._next is None and not self._calls:
            self._finish()
            return
        self._network.callLater(_EXPIRY_INTERVAL_S, self._expire_overdue)

    def _finish(self) -> None:
        cpu_s = time.process_time() - self._cpu_s
        for pool in self._pools.values():
            pool.close()
        self._finished.callback(self._report(cpu_s))

    def _report(self, cpu_s: float) -> Report:
        tallies = sorted(
            self._tallies.values(), key=lambda one: (one.path, one.profile)
        )
        fleet = [tally for tally in tallies if tally.path == _FLEET]
        results = sum((tally.results for tally in tallies), Counter[str]())
        return Report(
            seed=self._options.seed,
            rate=self._options.rate,
            duration_s=self._options.duration_s,
            sent=sum(tally.sent for tally in tallies),
            hung=results[Result.hung.value],
            wrong=results[Result.wrong.value],
            untagged=results[Result.untagged.value],
            missing_retry_after=self._retry_after_counts['missing'],
            lag=self._lag.quantiles(),
            cpu_ms=cpu_s * _MS_PER_SECOND / max(1, self._sent),
            profiles=[tally.report() for tally in tallies],
            priorities=by_priority(fleet),
            added=self._added(fleet, tallies) if self._direct else None,
        )

    def _added(self, fleet: list[Tally], tallies: list[Tally]) -> Added:
        direct = merged(one for one in tallies if one.path == _DIRECT)
        via_fleet = merged(fleet)
        return Added(
            paired=self._pairs.added.quantiles(),
            negative=self._pairs.negative,
            p50_ms=via_fleet.p50_ms - direct.p50_ms,
            p99_ms=via_fleet.p99_ms - direct.p99_ms,
        )


def _by_service(direct: tuple[str, ...]) -> dict[str, tuple[str, ...]]:
    groups: dict[str, tuple[str, ...]] = {}
    for text in direct:
        service, _, address = text.rpartition('=')
        groups[service] = (*groups.get(service, ()), address)
    return groups


def _check_direct(plan: Plan, direct: dict[str, tuple[str, ...]]) -> None:
    for profile in plan.profiles:
        if direct and not (direct.keys() & {profile.service, ''}):
            detail = f'no direct target for service {profile.service!r}'
            raise FailureError(Failure(Step.settings, profile.name, detail))


def run_load(
    plan: Plan,
    options: LoadOptions,
    prepare: Callable[[Any], object] | None = None,
) -> Report:
    """Run a plan on the reactor of this process and return the report.

    ``prepare`` is called with the reactor before it runs. A reactor can run
    only once in a process. Raises ``FailureError`` if the reactor is stopped
    before the end of the run.
    """
    from twisted.internet import reactor  # noqa: PLC0415, WPS433

    network: Any = reactor
    reports: list[Report] = []
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)

    if prepare is not None:
        prepare(network)
    finished = LoadRun(plan, options, network).start()
    finished.addCallback(reports.append)
    finished.addBoth(lambda _: network.stop())
    network.run()
    if not reports:
        raise FailureError(Failure(Step.call, 'load', 'interrupted'))
    return reports[0]


def _run_file(plan_path: Path, options: LoadOptions) -> Report:
    plan = parse_plan(plan_path.read_text(), str(plan_path))
    return run_load(plan, options)


def _write_report(report: Report, json_path: Path | None) -> None:
    click.echo(as_text(report))
    if json_path is not None:
        json_path.write_bytes(as_json(report))


@click.command(
    params=[
        click.Option(
            ['--plan', 'plan_path'],
            type=click.Path(exists=True, dir_okay=False, path_type=Path),
            required=True,
            help='INI file with the profiles.',
        ),
        click.Option(
            ['--target', 'entrances'],
            multiple=True,
            required=True,
            help='HOST:PORT of an ingress daemon; may be repeated.',
        ),
        click.Option(
            ['--direct'],
            multiple=True,
            help='[SERVICE=]HOST:PORT of an upstream; may be repeated.',
        ),
        click.Option(['--rate'], default=float(215), show_default=True),
        click.Option(['--duration-s'], default=float(10), show_default=True),
        click.Option(['--warm-up-s'], default=float(1), show_default=True),
        click.Option(['--seed'], default=1, show_default=True),
        click.Option(
            ['--arrivals', 'kind'],
            type=click.Choice([kind.value for kind in ArrivalKind]),
            default=ArrivalKind.poisson.value,
            show_default=True,
        ),
        click.Option(
            ['--json', 'json_path'],
            type=click.Path(dir_okay=False, path_type=Path),
            help='File for the report as JSON.',
        ),
    ],
)
def load(plan_path: Path, json_path: Path | None, **options: Any) -> None:
    """Send load to a fleet and report latencies and outcomes.

    Exits with status 1 after a hung request, a wrong response or a response
    of the fleet without an outcome header.
    """
    options['kind'] = ArrivalKind(options['kind'])
    try:
        report = _run_file(plan_path, LoadOptions(**options))
    except FailureError as error:
        raise click.ClickException(str(error)) from error
    _write_report(report, json_path)
    if report.hung or report.wrong or report.untagged:
        raise click.exceptions.Exit(1)
