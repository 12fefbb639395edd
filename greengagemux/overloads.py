"""Experiments with overload on a fake clock.

They run the ingress and egress reducers of the daemon in a simulation.
"""

import json
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import partial
from hashlib import sha256
from statistics import fmean
from types import MappingProxyType
from typing import Any, Final

import click

from . import commands
from .bundles import Bundle
from .bundles import parse as parse_bundle
from .clocks import in_ms, ms
from .ids import ServiceName
from .overloadworlds import Exchange, Layout, World, quantile

LAYOUTS: Final = MappingProxyType(
    {
        'dispatch': Layout(),
        'ledger': Layout(upstreams=23, slots=4, service=ServiceName('ledger')),
    }
)
_Results = list[dict[str, Any]]

WARM_UP: Final = ms(2000)
#: Time after the measurement in which requests that arrived during it may end.
COOL_DOWN: Final = ms(2500)
BODY_LIMIT_BYTES: Final = 65_536

_BUNDLE_TEMPLATE: Final = """
[bundle]
version = 1
follows = 0
region_link_kbit_s = {link}
[service {service}]
floor_pct = 70
[route waiting]
service = {service}
prefix = /waiting/
methods = GET
idempotent = yes
priority = waiting
[route routine]
service = {service}
prefix = /routine/
methods = GET
idempotent = yes
[route internal]
service = {service}
prefix = /internal/
methods = GET
idempotent = yes
priority = internal
[route bulk]
service = {service}
prefix = /bulk/
methods = GET
idempotent = yes
priority = internal
[team alpha]
max_in_flight = 100000
[team beta]
max_in_flight = 100000
"""
_CALLER_TEMPLATE: Final = """
[caller {name}]
token_sha256 = {token}
priority = waiting
max_in_flight = 100000
routes = waiting, routine, internal, bulk
team = {team}
"""


@dataclass(frozen=True, slots=True)
class Source:
    """Requests of one account.

    ``share`` is their rate as a multiple of the service's capacity. With
    ``far_only``, they arrive only in the region without upstreams.
    """

    account: str
    route: str
    share: float
    team: str = 'alpha'
    body_bytes: int = 0
    far_only: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load on a service.

    ``fault`` is injected into all upstreams after the warm-up. A request that
    is refused with ``Retry-After`` is sent again after that time, up to
    ``repeats`` times. ``far`` is the number of daemons in the region without
    upstreams, ``link_kbit_s`` the region link budget of the bundle.
    """

    sources: tuple[Source, ...]
    fault: str = ''
    repeats: int = 0
    far: int = 0
    answer_bytes: int = 2000
    link_kbit_s: int = 20_000


def _interactive(share: float = 0.5) -> Source:
    return Source('counter', 'waiting', share)


_FAR_SOURCES = (
    replace(_interactive(0.2), far_only=True),
    Source('checks', 'internal', 0.6, 'beta', far_only=True),
)
SCENARIOS: Final[Mapping[str, Scenario]] = MappingProxyType(
    {
        'people': Scenario((_interactive(),)),
        'people-internal': Scenario(
            (_interactive(), Source('checks', 'internal', 3, 'beta'))
        ),
        'internal': Scenario((Source('checks', 'internal', 3),)),
        'routine': Scenario((Source('office', 'routine', 3),)),
        'waiting': Scenario((_interactive(3),)),
        'mix': Scenario(
            (
                _interactive(1),
                Source('office', 'routine', 1),
                Source('checks', 'internal', 1),
            )
        ),
        'account': Scenario(
            (
                Source('greedy', 'routine', 3),
                Source('sibling', 'routine', 0.3),
                Source('other-team', 'routine', 0.3, 'beta'),
            )
        ),
        'repeats': Scenario(
            (_interactive(), Source('checks', 'internal', 1.5, 'beta')),
            repeats=3,
        ),
        'far': Scenario(_FAR_SOURCES, far=20, answer_bytes=16_000),
        'far-unbounded': Scenario(
            _FAR_SOURCES, far=20, answer_bytes=16_000, link_kbit_s=1_000_000
        ),
        'outage-refuse': Scenario(
            (_interactive(), Source('office', 'routine', 0.5)), fault='refuse'
        ),
        'outage-hang': Scenario(
            (_interactive(), Source('office', 'routine', 0.5)), fault='hang'
        ),
    }
)


@dataclass(slots=True)
class Trial:
    """One scenario with one seed."""

    layout: Layout
    scenario: Scenario
    seed: int
    duration: timedelta
    first: dict[int, int] = field(default_factory=dict)

    def run(self) -> dict[str, Any]:
        """Return the measurements under the keys of the JSON report."""
        layout = replace(
            self.layout,
            far=self.scenario.far,
            answer_bytes=self.scenario.answer_bytes,
        )
        bundle = bundle_of(layout.service, self.scenario)
        world = World(layout, bundle, self.seed)
        if self.scenario.repeats:
            world.on_response = partial(self._schedule_resend, world, {})
        for source in self.scenario.sources:
            self._arrive(world, source)
        world.run(WARM_UP)
        for upstream in world.upstreams:
            upstream.fault = self.scenario.fault
            upstream.attempts = 0
        world.offers = 0
        world.far_bytes = 0
        world.run(self.duration)
        attempts = sum(each.attempts for each in world.upstreams)
        found = _measure(world, WARM_UP, WARM_UP + self.duration)
        found['attempts'] = attempts
        found['offers'] = world.offers
        found['far_kbit_s'] = world.far_bytes * 8 / in_ms(self.duration)
        world.run(COOL_DOWN)
        found['sources'] = {
            each.account: _measure_source(world, each, self.duration)
            for each in self.scenario.sources
        }
        requests = sum(each['requests'] for each in found['sources'].values())
        found['requests'] = requests
        found['offers_per_request'] = found['offers'] / max(1, requests)
        found['attempts_per_request'] = attempts / max(1, requests)
        found['reasons'] = _reasons(world.exchanges)
        return found

    def _arrive(self, world: World, source: Source) -> None:
        hosts = world.hosts
        if source.far_only:
            hosts = hosts[len(hosts) - world.layout.far :]
        host = hosts[int(world.rng.random() * len(hosts))]
        world.send_request(host, source.account, _request(source))
        if world.now < WARM_UP + self.duration:
            rate_per_s = world.layout.capacity_per_s() * source.share
            gap = ms(world.rng.expovariate(rate_per_s) * 1000)
            world.after(gap, partial(self._arrive, world, source))

    def _schedule_resend(
        self,
        world: World,
        resends: dict[int, int],
        number: int,
        exchange: Exchange,
    ) -> None:
        resend_count = resends.pop(number, 0)
        if not exchange.retry_after_s or resend_count >= self.scenario.repeats:
            return
        send = partial(
            self._resend, world, resends, resend_count + 1, exchange.account
        )
        world.after(ms(exchange.retry_after_s * 1000), send)

    def _resend(
        self,
        world: World,
        resends: dict[int, int],
        resend_count: int,
        account: str,
    ) -> None:
        host = world.hosts[int(world.rng.random() * len(world.hosts))]
        resends[len(world.exchanges)] = resend_count
        sources = {each.account: each for each in self.scenario.sources}
        world.send_request(host, account, _request(sources[account]))


def bundle_of(service: ServiceName, scenario: Scenario) -> Bundle:
    """Return a bundle with the routes and accounts of a scenario."""
    text = _BUNDLE_TEMPLATE.format(service=service, link=scenario.link_kbit_s)
    for source in scenario.sources:
        token = sha256(source.account.encode()).hexdigest()
        text += _CALLER_TEMPLATE.format(
            name=source.account, token=token, team=source.team
        )
    return parse_bundle(text, 'experiment')


def _request(source: Source) -> tuple[bytes, str, bytes]:
    path = f'/{source.route}/'.encode()
    return path, source.account, b'\0' * source.body_bytes


def _measure(world: World, start: timedelta, end: timedelta) -> dict[str, Any]:
    served = {
        exchange.call for exchange in world.exchanges if exchange.call >= 0
    }
    runs = [run for run in world.runs if start <= run.ended < end]
    used_ms = sum(run.slot_ms for run in runs)
    useful_ms = sum(run.slot_ms for run in runs if run.call in served)
    slots = world.layout.upstreams * world.layout.slots
    available_ms = slots * (end - start) / ms(1)
    return {
        'goodput': useful_ms / available_ms,
        'wasted': 1 - useful_ms / used_ms if used_ms else 0,
        'states': Counter(
            each.state.value
            for host in world.hosts
            for each in host.egress.upstreams.values()
        ),
    }


def _measure_source(
    world: World, source: Source, duration: timedelta
) -> dict[str, Any]:
    measured = [
        exchange
        for exchange in world.exchanges
        if exchange.account == source.account
        and WARM_UP <= exchange.requested_at < WARM_UP + duration
    ]
    added = [
        exchange.added_ms() for exchange in measured if exchange.status == 200
    ]
    outcomes = Counter(
        f'{exchange.outcome} {exchange.reason}'.strip() for exchange in measured
    )
    return {
        'requests': len(measured),
        'completed': len(added) / max(1, len(measured)),
        'of_capacity': len(added)
        / (world.layout.capacity_per_s() * duration.total_seconds()),
        'added_p50_ms': quantile(added, 0.5),
        'added_p99_ms': quantile(added, 0.99),
        'outcomes': dict(outcomes.most_common()),
    }


def _reasons(exchanges: Iterable[Exchange]) -> dict[str, int]:
    counts = Counter(
        exchange.reason or exchange.outcome for exchange in exchanges
    )
    return dict(counts.most_common())


def _mean_and_range(samples: Iterable[float], digits: int) -> str:
    known = [each for each in samples if not math.isnan(each)]
    if not known:
        return '-'
    low, high = min(known), max(known)
    return f'{fmean(known):.{digits}f} ({low:.{digits}f}-{high:.{digits}f})'


def _scenario_lines(name: str, trials: _Results) -> Iterable[str]:
    goodput = _mean_and_range((100 * each['goodput'] for each in trials), 1)
    wasted = _mean_and_range((100 * each['wasted'] for each in trials), 1)
    attempts = _mean_and_range(
        (each['attempts_per_request'] for each in trials), 3
    )
    offers = _mean_and_range((each['offers_per_request'] for each in trials), 2)
    far = _mean_and_range((each['far_kbit_s'] for each in trials), 0)
    yield (
        f'{name}: goodput {goodput}% of capacity, wasted {wasted}%, '
        f'attempts/request {attempts}, offers/request {offers}, between regions {far} kbit/s'
    )
    yield from _account_lines(trials)


def _account_lines(trials: _Results) -> Iterable[str]:
    for account in trials[0]['sources']:
        found = [each['sources'][account] for each in trials]
        served = _mean_and_range((100 * each['completed'] for each in found), 1)
        share = _mean_and_range((each['of_capacity'] for each in found), 2)
        middle = _mean_and_range((each['added_p50_ms'] for each in found), 1)
        tail = _mean_and_range((each['added_p99_ms'] for each in found), 1)
        total: Counter[str] = Counter()
        for one in found:
            total.update(one['outcomes'])
        yield (
            f'  {account:10} completed {served}% = {share} of capacity, '
            f'added ms p50 {middle} p99 {tail}'
        )
        yield f'  {"":10} {dict(total.most_common())}'


_service = click.option(
    '--service',
    type=click.Choice(tuple(LAYOUTS)),
    default='dispatch',
    show_default=True,
)
_seeds = click.option('--seeds', type=click.IntRange(1, 100), default=3)
_seconds = click.option('--seconds', type=click.IntRange(1, 600), default=6)


def _size_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options for the service, the number of seeds and the duration."""
    return _service(_seeds(_seconds(command)))


@click.command()
@_size_options
@click.option(
    '--scenario',
    'names',
    type=click.Choice(tuple(SCENARIOS)),
    multiple=True,
    help='May be repeated; all by default.',
)
@commands.json_option
def overload(
    service: str,
    names: tuple[str, ...],
    seeds: int,
    seconds: int,
    as_json: bool,
) -> None:
    """Measure goodput and admission under overload on a fake clock."""
    report: dict[str, _Results] = {}
    for name in names or SCENARIOS:
        report[name] = [
            Trial(
                LAYOUTS[service], SCENARIOS[name], seed, ms(seconds * 1000)
            ).run()
            for seed in range(1, seeds + 1)
        ]
        if not as_json:
            for line in _scenario_lines(name, report[name]):
                click.echo(line)
    if as_json:
        click.echo(json.dumps(report, indent=2))
