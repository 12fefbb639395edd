"""Guards against explanations that differ from placements or change them."""

import itertools
import json
from collections import deque
from collections.abc import Mapping, Set
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from fakes_fleet import BUNDLE, FakeFleet
from test_platform import CONFIGURATION, _settings

from greengagemux.baselines import Baselines
from greengagemux.bundles import Bundle, Caller, parse
from greengagemux.clocks import ms
from greengagemux.explanations.decisions import (
    Explanation,
    Question,
    ServiceLine,
    explain,
)
from greengagemux.explanations.views import IngressView
from greengagemux.ids import DaemonId, RouteName, ServiceName, UpstreamId
from greengagemux.messages import Priority, UpstreamState
from greengagemux.outcomes import Reason
from greengagemux.platform.configurations import ConfigurationDecoder
from greengagemux.reducers import Daemon
from greengagemux.regionlinks import LinkBudget
from greengagemux.routes import RouteTable
from greengagemux.selection import Candidate, Nearness
from greengagemux.throttles import Throttles

STOCK = Question('shop.example', '/stock/1')
INTAKE = Question('shop.example', '/intake/1', 'POST')
#: Types whose text holds all of their state.
_PLAIN = (
    str,
    bytes,
    int,
    float,
    timedelta,
    itertools.count,
    set,
    frozenset,
)
KEY = 'hkmgjqnirth5mgjy5rcp'
SPLIT = BUNDLE.replace(
    'prefix = /stock/', 'prefix = /stock/\nsplit = ledger 3, spare 1, idle 0'
).replace('[route stock]', '[service spare]\n[service idle]\n[route stock]')


@dataclass
class _State:
    """State of an ingress that a test sets."""

    text: str = BUNDLE
    listed: tuple[Candidate, ...] = ()
    limited: Set[UpstreamId] = frozenset()
    link: bool = True
    full: bool = False
    share: float = 0
    found: Bundle | None = field(default=None)

    def __post_init__(self) -> None:
        if self.found is None and self.text:
            self.found = parse(self.text, 'test')

    def bundle(self) -> Bundle | None:
        return self.found

    def table(self) -> RouteTable | None:
        return RouteTable(self.found) if self.found else None

    def over_limit(self, caller: Caller) -> bool:
        return self.full

    def refused_share(self, key: object) -> float:
        return self.share

    def candidates(
        self, service: ServiceName, priority: Priority
    ) -> tuple[Candidate, ...]:
        return tuple(each for each in self.listed if each.service == service)

    def rate_limited(self, service: ServiceName) -> Set[UpstreamId]:
        return self.limited

    def path_open(self, daemon: DaemonId) -> bool:
        return True

    def link_allows(self, priority: Priority) -> bool:
        return self.link

    def usual_ms(self, route: RouteName) -> float:
        return 0


def _candidate(name: str, **more: Any) -> Candidate:
    known = {'slots': 4, 'state': UpstreamState.serving, **more}
    return Candidate(
        UpstreamId(name),
        DaemonId(f'd-{name}'),
        ServiceName('ledger'),
        nearness=known.pop('nearness', Nearness.same_data_centre),
        **known,
    )


def _service(state: _State, question: Question = STOCK) -> ServiceLine:
    lines = explain(state, question).services
    assert len(lines) == 1
    return lines[0]


def _view(daemon: Daemon, now: timedelta) -> IngressView:
    return IngressView(daemon.ingress.placement_parts, now)


@pytest.mark.parametrize(
    ('question', 'reason'),
    [
        (Question('h', '/nowhere'), Reason.no_route),
        (Question('h', '/stock/../x'), Reason.bad_request),
        (Question('h', 'stock'), Reason.bad_request),
        (Question('h', '/stock/1', 'POST'), Reason.method_not_allowed),
    ],
)
def test_request_without_a_route(question: Question, reason: Reason) -> None:
    """The reason must be the one that the caller would get."""
    explained = explain(_State(), question)
    assert explained.reason == reason.value
    assert explained.why
    assert not explained.services


def test_without_a_bundle() -> None:
    """A daemon that has just started must be explained too."""
    explained = explain(_State(text=''), STOCK)
    assert explained.reason == Reason.no_bundle.value


def test_nearer_tier_is_preferred_until_it_is_full() -> None:
    """The tiers must be those that the selection uses."""
    near = _candidate('near', service_ms=10)
    slow = _candidate('slow', service_ms=10, in_flight=3)
    far = _candidate('far', nearness=Nearness.same_region, service_ms=10)
    line = _service(_State(listed=(far, slow, near)))
    assert not line.reason
    assert [tier.preferred for tier in line.tiers] == [
        ('near', 'slow'),
        ('far',),
    ]
    assert [tier.unused for tier in line.tiers] == [
        '',
        'another upstream is preferred',
    ]
    shares = {each.upstream: each.share_pct for each in line.candidates}
    assert shares['near'] > shares['slow'] and not shares['far']
    near.in_flight, slow.in_flight = 4, 4
    line = _service(_State(listed=(far, slow, near)))
    assert {each.upstream: each.share_pct for each in line.candidates} == {
        'near': 0,
        'slow': 0,
        'far': 100,
    }


def test_load_and_wait_of_a_candidate() -> None:
    """An operator must see why requests wait at an upstream."""
    busy = _candidate('a', in_flight=4, queued=3, service_ms=100, outstanding=2)
    line = _service(_State(listed=(busy,))).candidates[0]
    assert (line.slots, line.running, line.queued) == (4, 4, 3)
    assert (line.outstanding, line.expected_wait_ms) == (2, 100)
    assert (line.state, line.distance) == ('serving', 'same_data_centre')


def test_sick_upstreams_and_the_floor() -> None:
    """Forced upstreams must be told from those that the floor leaves out."""
    sick = UpstreamState.sick
    names = 'abcd'
    listed = tuple(_candidate(name, state=sick) for name in names)
    line = _service(_State(listed=listed))
    assert [each.forced for each in line.candidates] == [
        True,
        True,
        False,
        False,
    ]
    no_floor = BUNDLE.replace('floor_pct = 50', 'floor_pct = 0')
    line = _service(_State(no_floor, listed))
    assert line.reason == Reason.no_upstream.value
    assert line.why == 'no upstream is usable: 4 sick'


def test_unreachable_and_missing_upstreams() -> None:
    """Cut-off upstreams must not look like missing ones."""
    gone = _candidate('a', reachable=False)
    line = _service(_State(listed=(gone,)))
    assert line.why == 'no upstream is usable: 1 unreachable'
    assert not line.candidates[0].usable
    assert _service(_State()).why == 'the service has no upstream'


def test_region_link_without_budget() -> None:
    """A usable upstream behind a spent link must not look selectable."""
    far = _candidate('far', nearness=Nearness.other_region)
    line = _service(_State(listed=(far,), link=False))
    assert line.reason == Reason.region_link.value
    assert 'spent' in line.tiers[0].unused
    assert _service(_State(listed=(far,))).candidates[0].share_pct == 100


def test_write_avoids_probation_and_rate_limit() -> None:
    """Requests that are not idempotent must not be shown at a trial."""
    trial = _candidate('a', state=UpstreamState.probation)
    state = _State(listed=(trial,))
    assert not _service(state).reason
    line = _service(state, INTAKE)
    assert line.reason == Reason.no_upstream.value
    assert line.tiers[0].unused == 'no upstream of the tier takes the request'
    limited = _State(
        listed=(_candidate('a'),), limited=frozenset((UpstreamId('a'),))
    )
    assert _service(limited).reason == Reason.rate_limited.value


def test_split_shows_each_service_with_its_weight() -> None:
    """A service of weight 0 gets no request and must not be shown."""
    explained = explain(_State(SPLIT, (_candidate('a'),)), STOCK)
    shown = {line.service: line for line in explained.services}
    assert {name: line.weight_pct for name, line in shown.items()} == {
        'ledger': 75,
        'spare': 25,
    }
    assert not shown['ledger'].reason
    assert shown['spare'].reason == Reason.no_upstream.value


def test_limit_and_overload_of_the_caller() -> None:
    """A refusal at the ingress must be shown although upstreams are free."""
    state = _State(listed=(_candidate('a'),), full=True, share=0.25)
    explained = explain(state, STOCK)
    assert explained.reason == Reason.caller_limit.value
    assert explained.services[0].refused_as_overloaded_pct == 25


def _explain_account(
    tmp_path: Path, account: str, path: str = '/orders/list/1'
) -> Explanation:
    routes = CONFIGURATION['routes']
    public = {**routes[0], 'name': 'open', 'path_prefix': '/open/'}
    tenant = {
        'name': 'north',
        'api_keys': [KEY],
        'priority': 0,
        'rate_per_s': 5,
        'burst': 7,
    }
    text = json.dumps(
        {
            **CONFIGURATION,
            'routes': [*routes, {**public, 'public': True}],
            'tenants': [tenant],
        }
    )
    bundle = ConfigurationDecoder(_settings(tmp_path))(text.encode())
    question = Question('shop.example', path, account=account)
    return explain(_State(found=bundle), question)


def test_account_shows_priority_and_limit_without_its_key(
    tmp_path: Path,
) -> None:
    """The priority of an account replaces that of the route; no key leaks."""
    explained = _explain_account(tmp_path, 'north')
    assert explained.account is not None
    assert explained.account_required
    assert (explained.account.rate_per_s, explained.account.burst) == (5, 7)
    assert explained.priority == explained.account.priority
    assert KEY not in msgspec.json.encode(explained).decode()


def test_missing_and_unknown_account(tmp_path: Path) -> None:
    """A request without a known account must not look like one with it."""
    missing = _explain_account(tmp_path, '')
    assert missing.account_required and missing.account is None
    assert missing.services and 'valid account' in missing.why
    for name in ('south', 'anonymous', KEY):
        unknown = _explain_account(tmp_path, name)
        assert unknown.reason == Reason.unauthorized.value
        assert KEY not in msgspec.json.encode(unknown).decode()
    public = _explain_account(tmp_path, 'north', '/open/1')
    assert not public.account_required
    # The anonymous account of the platform has the name of the origin.
    assert public.account is None and 'not used' in public.why
    assert not public.reason


def _snapshot(found: Any, seen: dict[int, int]) -> object:
    """Return all state that an object refers to, as comparable values."""
    if isinstance(found, Random):
        return found.getstate()
    if found is None or isinstance(found, _PLAIN):
        return repr(found)
    if id(found) in seen:
        return ('seen', seen[id(found)])
    seen[id(found)] = len(seen)
    if isinstance(found, Mapping):
        return [_snapshot(pair, seen) for pair in found.items()]
    if isinstance(found, (list, tuple, deque)):
        return [_snapshot(held, seen) for held in found]
    if type(found).__module__.startswith('greengagemux'):
        return [
            (name, _snapshot(getattr(found, name), seen))
            for name in sorted(_field_names(found))
            if hasattr(found, name)
        ]
    return repr(type(found))


def _field_names(found: Any) -> set[str]:
    names = set(getattr(found, '__dict__', ()))
    for base in type(found).__mro__:
        names.update(getattr(base, '__slots__', ()))
    return names


def test_explanation_changes_no_state() -> None:
    """No counter, random state, path, budget or cache may change."""
    fleet = FakeFleet(8)
    fleet.publish()
    fleet.run(5000)
    for number in range(60):
        fleet.ask('d0', b'r%d' % number)
    fleet.run(1000)
    for number in range(60):
        fleet.ask('d0', b's%d' % number)
    # Some requests are still pending.
    fleet.run(3)
    daemon = fleet.nodes['d0'].daemon
    # A median that is not cached yet.
    baselines = daemon.ingress.placement_parts.baselines
    baselines._routes[RouteName('stock')].refresh()
    before = _snapshot(daemon, {})
    for question in (STOCK, INTAKE, Question('h', '/nowhere')):
        explained = explain(_view(daemon, fleet.now + ms(500)), question)
        assert explained.bundle == 1
    assert _snapshot(daemon, {}) == before
    # The comparison notices what a request changes.
    fleet.ask('d0', b'last')
    assert _snapshot(daemon, {}) != before


def test_explanation_agrees_with_the_daemon() -> None:
    """The candidates must be those of the daemon, with its distances."""
    fleet = FakeFleet(8)
    fleet.publish()
    fleet.run(5000)
    fleet.ask('d0', b'r')
    fleet.run(1000)
    daemon = fleet.nodes['d0'].daemon
    line = explain(_view(daemon, fleet.now), STOCK).services[0]
    shown = {each.upstream: each for each in line.candidates}
    view = daemon.ingress.candidates.view(ServiceName('ledger'))
    assert shown.keys() == view.candidates.keys()
    assert shown['d0-u0'].distance == 'same_host'
    assert shown['d0-u0'].path_open
    near = {'d0-u0', 'd4-u0'}
    assert {name for name, each in shown.items() if each.share_pct} == near


def test_reading_agrees_with_the_deciding_functions() -> None:
    """Reads must give the results of the functions that change state."""
    link = LinkBudget()
    link.configure(8)
    throttles = Throttles(Random(1))
    throttles.admit('key', ms(0))
    baselines = Baselines()
    route = RouteName('r')
    for number in range(100):
        throttles.refused('key', ms(0))
        baselines.add(
            ServiceName('s'), route, UpstreamId('u'), number, error=False
        )
    parts = (link, throttles, baselines)
    before = _snapshot(parts, {})
    early = link.would_allow(Priority.waiting, ms(10))
    share = throttles.refused_share('key', ms(2000))
    usual_ms = baselines.shown_usual_ms(route)
    assert not throttles.refused_share('other', ms(0))
    assert _snapshot(parts, {}) == before
    assert early and link.allows(Priority.waiting, ms(10))
    link.charge(route, 10_000)
    assert not link.would_allow(Priority.waiting, ms(20))
    assert not link.allows(Priority.waiting, ms(20))
    assert usual_ms > 0
    assert usual_ms == baselines.usual_ms(route)
    refused = sum(not throttles.admit('key', ms(2000)) for _ in range(20))
    assert share > 0.8
    assert refused > 10
