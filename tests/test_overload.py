"""Rules of the last hop and the entrance under overload."""

from datetime import timedelta
from random import Random

import pytest
from fakes_fleet import BUNDLE, FakeFleet, started
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux import ids
from greengagemux.answers import Origin
from greengagemux.bundles import Service
from greengagemux.candidates import Candidates
from greengagemux.selection import Candidate
from greengagemux.clocks import ZERO, ms
from greengagemux.poisonrequests import PoisonRequests
from greengagemux.crashes import CrashReports
from greengagemux.effects import AbortCall, CallUpstream, Outbox
from greengagemux.ingress import _hedge_after
from greengagemux.events import (
    Announced,
    CallerDisconnected,
    Probed,
    UpstreamAnswered,
)
from greengagemux.egress import Egress
from greengagemux.messages import (
    Dispatch,
    Load,
    MemberRecord,
    Priority,
    UpstreamState,
)
from greengagemux.outcomes import Outcome, Reason
from greengagemux.overloads import SCENARIOS, Trial
from greengagemux.overloadworlds import Layout
from greengagemux.paths import Paths
from greengagemux.reducers import TICK
from greengagemux.regionlinks import LinkBudget
from greengagemux.requests import Attempt
from greengagemux.throttles import (
    SENT_PER_ACCEPTED,
    TOLERATED_REFUSALS,
    Throttles,
)
from greengagemux.healthstates import HealthTracker

OWN = ids.DaemonId('d0')
LEDGER = ids.ServiceName('ledger')
UP = ids.UpstreamId('u0')


class Hop:
    """A last hop with one upstream, driven by hand."""

    def __init__(self, slots: int = 2, queue_limit: int = 8) -> None:
        self.now = ZERO
        self.outbox = Outbox()
        rng = Random(1)
        crashes = CrashReports(
            PoisonRequests(rng), Paths(self.outbox, rng), self.outbox, rng
        )
        self.hop = Egress(OWN, self.outbox, HealthTracker(TICK), crashes)
        service = Service(LEDGER, queue_limit=queue_limit)
        self.hop.local_upstreams.configure({LEDGER: service})
        self.requests = 0
        self.calls: dict[ids.CallId, int] = {}
        self.started: list[int] = []
        self.aborted: list[int] = []
        self.ended: dict[int, tuple[Outcome, Reason | None]] = {}
        self.slots = slots
        self._announce()

    def _announce(self) -> None:
        self.hop.announce(
            Announced(UP, LEDGER, 'u0', self.slots, UpstreamState.serving),
            self.now,
        )

    def ask(self, priority: Priority, **extra: object) -> int:
        """Dispatch a request and return its number."""
        self.requests += 1
        fields: dict = {
            'request': ids.RequestId(self.requests),
            'upstream': UP,
            'service': LEDGER,
            'route': ids.RouteName('stock'),
            'method': b'GET',
            'target': b'/',
            'headers': (),
            'body': b'',
            'remaining_ms': 2000,
            'answer_limit_bytes': 1000,
            'priority': priority,
            'caller': ids.CallerName('x'),
            'idempotent': True,
        }
        fields.update(extra)
        origin = Origin(OWN, ids.Incarnation(1), ids.RequestId(self.requests))
        self.hop.dispatch(origin, None, Dispatch(**fields), self.now)
        self._settle()
        return self.requests

    def finish(self, request: int) -> None:
        """Let the upstream answer."""
        calls = [call for call, each in self.calls.items() if each == request]
        self.calls.pop(calls[-1])
        self.hop.answered(UpstreamAnswered(calls[-1], 200, (), b''), self.now)
        self._settle()

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        for _ in range(int(duration_ms)):
            self.now += ms(1)
            self._announce()
            self.hop.tick(self.now)
            self._settle()

    def _settle(self) -> None:
        for effect in self.outbox.drain():
            if isinstance(effect, CallUpstream):
                identity = dict(effect.headers)[b'Greengage-Request']
                request = int(identity.rpartition(b'/')[2])
                self.calls[effect.call] = request
                self.started.append(request)
            elif isinstance(effect, AbortCall):
                self.aborted.append(self.calls.pop(effect.call))
        for reply in self.hop.local_replies:
            outcome = getattr(reply, 'outcome', Outcome.completed)
            reason = getattr(reply, 'reason', None)
            assert reply.request not in self.ended
            self.ended[reply.request] = (outcome, reason)
        self.hop.local_replies.clear()


def test_person_interrupts_the_youngest_internal_request() -> None:
    """People must not wait for internal requests that may run again."""
    hop = Hop()
    old = hop.ask(Priority.internal)
    hop.run(5)
    young = hop.ask(Priority.internal)
    hop.run(1)
    person = hop.ask(Priority.waiting)
    assert hop.aborted == [young]
    assert hop.started == [old, young, person]
    hop.finish(person)
    assert hop.started[-1] == young
    hop.finish(young)
    assert hop.ended[young][0] is Outcome.completed


@pytest.mark.parametrize(
    ('priority', 'idempotent'),
    [(Priority.internal, False), (Priority.routine, True)],
)
def test_other_requests_are_not_interrupted(
    priority: Priority, idempotent: bool
) -> None:
    """A write must never run twice; routine work is not given up."""
    hop = Hop(slots=1)
    hop.ask(priority, idempotent=idempotent)
    hop.ask(Priority.waiting)
    hop.run(100)
    assert hop.started == [1]
    assert not hop.aborted


def test_interrupted_request_that_ends_unserved_is_unknown() -> None:
    """Not run must not be reported of a call that was given up."""
    hop = Hop(slots=1)
    internal = hop.ask(Priority.internal, remaining_ms=50)
    person = hop.ask(Priority.waiting)
    assert hop.aborted == [internal]
    hop.run(60)
    assert hop.ended[internal] == (Outcome.unknown, Reason.deadline)
    assert person in hop.calls.values()


def test_interruptions_are_bounded_by_lost_work() -> None:
    """Interruptions must not use up the capacity under overload."""
    hop = Hop(slots=1)
    upstream = hop.hop.upstreams[UP]
    for _ in range(100):
        upstream.service_ms = 10
        internal = hop.ask(Priority.internal, remaining_ms=100_000)
        hop.run(8)
        person = hop.ask(Priority.waiting)
        hop.run(20)
        while {internal, person} - hop.ended.keys():
            hop.finish(next(iter(hop.calls.values())))
    # Each interruption loses the work of two mean service times.
    assert 0 < len(hop.aborted) <= 0.1 * len(hop.started) / 2


def test_movable_request_is_not_queued_behind_another() -> None:
    """A person is placed elsewhere rather than queued behind people."""
    hop = Hop(slots=1)
    hop.ask(Priority.waiting)
    queued = hop.ask(Priority.waiting, movable=True)
    moved = hop.ask(Priority.waiting, movable=True)
    stays = hop.ask(Priority.waiting)
    assert hop.ended == {moved: (Outcome.not_run, Reason.busy)}
    assert queued not in hop.ended
    assert stays not in hop.ended


def test_retries_of_all_entrances_share_one_budget() -> None:
    """Retries must stay a tenth of first calls whoever sends them."""
    hop = Hop(slots=1000)
    for _ in range(500):
        hop.ask(Priority.routine)
        hop.ask(Priority.routine, retry=True)
        hop.ask(Priority.routine, retry=True)
    refused = [reason for _outcome, reason in hop.ended.values()].count(
        Reason.retry_budget
    )
    assert len(hop.started) == 1500 - refused
    assert 1.04 * 500 <= len(hop.started) <= 1.1 * 500


def test_request_is_shed_when_the_queue_outlasts_its_deadline() -> None:
    """Work that would come too late must be refused before it starts."""
    hop = Hop(slots=1)
    for _ in range(4):
        hop.ask(Priority.routine)
    late = hop.ask(Priority.routine, remaining_ms=20)
    assert hop.ended == {late: (Outcome.not_run, Reason.overloaded)}
    in_time = hop.ask(Priority.waiting, remaining_ms=20)
    assert in_time not in hop.ended


def test_queued_request_is_refused_once_it_is_hopeless() -> None:
    """A caller must not be kept until its deadline for work not begun."""
    hop = Hop(slots=1)
    hop.ask(Priority.routine, expected_ms=500)
    queued = hop.ask(Priority.routine, remaining_ms=1000, expected_ms=500)
    hop.run(450)
    assert queued not in hop.ended
    hop.run(100)
    assert hop.ended == {queued: (Outcome.not_run, Reason.deadline)}
    assert hop.hop.upstreams[UP].wait_factors[Priority.routine] > 1


def test_request_that_meets_its_target_goes_before_an_overdue_one() -> None:
    """In the order of arrival an overload makes every answer late."""
    hop = Hop(slots=1)
    running = hop.ask(Priority.routine)
    overdue = hop.ask(Priority.routine, target_ms=100)
    hop.run(150)
    fresh = hop.ask(Priority.routine, target_ms=100)
    urgent = hop.ask(Priority.waiting, target_ms=100)
    hop.finish(running)
    hop.finish(urgent)
    hop.finish(fresh)
    hop.finish(overdue)
    assert hop.started == [running, urgent, fresh, overdue]


def test_overdue_request_without_a_chance_is_refused() -> None:
    """A caller must not be kept for a slot that others will take."""
    hop = Hop(slots=1, queue_limit=100)
    hop.hop.upstreams[UP].service_ms = 100
    hop.ask(Priority.routine)
    waiting = [
        hop.ask(Priority.routine, target_ms=300, remaining_ms=600)
        for _ in range(5)
    ]
    hop.run(310)
    hop.ask(Priority.routine, target_ms=300, remaining_ms=600)
    hop.finish(1)
    refused = [number for number in waiting if number in hop.ended]
    assert len(refused) == len(waiting) - 1
    assert {hop.ended[number] for number in refused} == {
        (Outcome.not_run, Reason.overloaded)
    }


def test_overdue_request_behind_a_queue_is_refused() -> None:
    """It would be passed over until nothing could be done for it."""
    hop = Hop(slots=1, queue_limit=100)
    hop.ask(Priority.routine)
    overdue = hop.ask(Priority.routine, target_ms=300, remaining_ms=600)
    hop.run(290)
    hop.hop.upstreams[UP].service_ms = 100
    for _ in range(3):
        hop.ask(Priority.routine, target_ms=300, remaining_ms=600)
    hop.run(10)
    hop.finish(1)
    assert hop.ended == {
        1: (Outcome.completed, None),
        overdue: (Outcome.not_run, Reason.overloaded),
    }


def test_first_answer_tells_how_long_a_queue_is() -> None:
    """After a restart, requests must not be queued on a guessed time."""
    hop = Hop(slots=1)
    first = hop.ask(Priority.routine)
    hop.run(200)
    hop.finish(first)
    hop.ask(Priority.routine)
    for _ in range(2):
        hop.ask(Priority.routine, remaining_ms=700)
    late = hop.ask(Priority.routine, remaining_ms=700)
    assert hop.ended[late] == (Outcome.not_run, Reason.overloaded)


def test_waits_longer_than_the_queue_are_learned() -> None:
    """Shedding must count the more urgent requests that arrive meanwhile."""
    hop = Hop(slots=1, queue_limit=100)
    hop.ask(Priority.waiting)
    for _ in range(60):
        hop.ask(Priority.internal, remaining_ms=100_000, idempotent=False)
    for _ in range(60):
        hop.run(10)
        hop.ask(Priority.waiting, remaining_ms=100_000)
        hop.finish(next(iter(hop.calls.values())))
        hop.run(10)
        hop.finish(next(iter(hop.calls.values())))
    factors = hop.hop.upstreams[UP].wait_factors
    assert factors[Priority.internal] > 1.3


def test_request_without_time_for_its_run_is_not_started() -> None:
    """A run that cannot end before its deadline wastes a slot."""
    hop = Hop(slots=1)
    hop.ask(Priority.routine)
    short = hop.ask(Priority.routine, remaining_ms=100, expected_ms=40)
    hop.run(70)
    hop.finish(1)
    assert hop.ended[short] == (Outcome.not_run, Reason.deadline)


def test_expired_request_in_a_refilled_slot_ends_once() -> None:
    """Two requests that expire in one tick must not end twice."""
    hop = Hop(slots=1)
    first = hop.ask(Priority.routine, remaining_ms=30)
    second = hop.ask(Priority.routine, remaining_ms=30)
    hop.now += ms(40)
    hop.run(1)
    assert hop.ended[first][0] is Outcome.unknown
    assert hop.ended[second][0] is Outcome.not_run


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.booleans(), min_size=50, max_size=300))
def test_throttle_bounds_requests_by_acceptances(accepts: list[bool]) -> None:
    """Refused accounts must not keep the last hops busy with offers."""
    throttles = Throttles(Random(1))
    sent = 0
    accepted = 0
    for accept in accepts:
        if not throttles.admit('greedy', ZERO):
            continue
        sent += 1
        if accept:
            accepted += 1
            throttles.accepted('greedy', ZERO)
        else:
            throttles.refused('greedy', ZERO)
    slack = 10 * (1 + len(accepts) ** 0.5)
    assert sent <= SENT_PER_ACCEPTED * accepted + TOLERATED_REFUSALS + slack
    assert throttles.admit('other', ZERO)


def test_throttle_recovers_and_forgets() -> None:
    """Accounts must be served again soon after an overload, then forgotten."""
    throttles = Throttles(Random(1))
    refused = 0
    for _ in range(200):
        if throttles.admit('x', ZERO):
            throttles.refused('x', ZERO)
        else:
            refused += 1
    assert refused > 150
    later = timedelta(seconds=20)
    assert all(throttles.admit('x', later) for _ in range(3))
    throttles.admit('y', timedelta(seconds=60))
    assert set(throttles._counts) == {'y'}


def test_retry_after_spreads_with_the_overload() -> None:
    """Refused callers must not come back all at once."""
    throttles = Throttles(Random(1))
    calm = {throttles.retry_after_ms('x') for _ in range(100)}
    assert min(calm) >= 1000
    assert max(calm) <= 3000
    assert len(calm) > 50
    for _ in range(40):
        if throttles.admit('x', ZERO):
            throttles.refused('x', ZERO)
    busy = [throttles.retry_after_ms('x') for _ in range(100)]
    assert 10_000 < max(busy) <= 30_000


def _link(kbit_s: int, members: int = 1) -> LinkBudget:
    link = LinkBudget()
    link.configure(kbit_s)
    link.set_members(members)
    return link


def test_link_leaves_the_rest_to_urgent_classes() -> None:
    """Internal requests must not use up the link that people need."""
    link = _link(800)
    now = timedelta(seconds=5)
    counts = []
    for priority in reversed(Priority):
        sent = 0
        while link.allows(priority, now):
            link.charge(ids.RouteName('r'), 500)
            sent += 1
        counts.append(sent)
    assert counts[0] < counts[0] + counts[1] < sum(counts)
    assert sum(counts) * 5096 <= 100_000 + 5096
    assert not link.allows(Priority.waiting, now)


@pytest.mark.parametrize('members', [1, 10])
def test_link_rate_is_divided_by_members(members: int) -> None:
    """All entrances together must stay within the budget of the region."""
    link = _link(8000, members)
    moved = 0
    for second in range(1, 31):
        for step in range(200):
            now = timedelta(seconds=second, milliseconds=step * 5)
            if link.allows(Priority.waiting, now):
                expected = link.charge(ids.RouteName('r'), 0)
                link.settle(ids.RouteName('r'), expected, 20_000)
                moved += 20_500
    assert 0.9 <= moved / (30 * 1_000_000 / members) <= 1.1


def test_link_counts_the_answer_that_came() -> None:
    """An answer above the mean must be taken from the budget."""
    link = _link(8000)
    now = timedelta(seconds=5)
    assert link.allows(Priority.waiting, now)
    link.settle(
        ids.RouteName('r'), link.charge(ids.RouteName('r'), 0), 2_000_000
    )
    assert not link.allows(Priority.waiting, now)


def test_closed_link_refuses_as_region_link() -> None:
    """With a budget of 0 no request may cross, and the reason says so."""
    fleet = FakeFleet(4)
    fleet.publish(BUNDLE.replace('= 0\n', '= 0\nregion_link_kbit_s = 0\n', 1))
    fleet.run(6000)
    exchange = fleet.ask('d0', b'near')
    fleet.run(500)
    assert fleet.outcome(exchange) == 'completed'
    for name in ('d0', 'd1'):
        for upstream in fleet.nodes[name].upstreams.values():
            upstream.draining = True
    fleet.run(3000)
    exchange = fleet.ask('d0', b'far')
    fleet.run(500)
    assert fleet.outcome(exchange) == 'not-run'
    assert fleet.reason(exchange) == 'region-link'


def test_refusing_outage_adds_few_calls() -> None:
    """Retries must not multiply the load of a service that is out."""
    fleet = started(4)
    calls = 0
    for upstream in fleet.upstreams:
        upstream.dead = True
    carry_out = fleet.carry_out

    def count(node: object, effect: object) -> None:
        nonlocal calls
        calls += isinstance(effect, CallUpstream)
        carry_out(node, effect)  # type: ignore[arg-type]

    fleet.carry_out = count  # type: ignore[method-assign]
    for turn in range(600):
        fleet.ask(f'd{turn % 4}', b'r%d' % turn)
        fleet.run(1)
    fleet.run(3000)
    assert len(fleet.answers) == 600
    assert calls <= 1.1 * 600 + 10


_kinds = st.sampled_from(['read', 'write', 'gone', 'kill', 'silence', 'hang'])
_step = st.tuples(_kinds, st.integers(0, 3), st.integers(1, 80))


@settings(derandomize=True, max_examples=15, deadline=None)
@given(st.lists(_step, min_size=10, max_size=40))
def test_counts_return_to_zero(steps: list[tuple[str, int, int]]) -> None:
    """Limits of accounts must not leak, whatever ends a request."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 30
    for turn, (step, number, pause) in enumerate(steps):
        name = f'd{number}'
        if step == 'gone' and fleet.exchanges:
            for node in fleet.nodes.values():
                node.submit(CallerDisconnected(ids.ExchangeId(fleet.exchanges)))
        elif step == 'kill' and number == 3:
            fleet.kill(name)
        elif step == 'silence':
            fleet.silence(name, f'd{(number + 1) % 4}')
        elif step == 'hang':
            for each in fleet.nodes[name].upstreams.values():
                each.hang = not each.hang
        elif fleet.nodes[name].alive:
            path = b'/stock/1' if step == 'read' else b'/intake/1'
            for copy in range(5):
                fleet.ask(name, b'%d-%d' % (turn, copy), path)
        fleet.run(pause)
    fleet.run(15_000)
    for last in fleet.nodes.values():
        if not last.alive:
            continue
        ingress = last.daemon.ingress
        assert not ingress._accounts._in_flight
        assert not ingress._pending
        assert not ingress._attempts._pending
        assert not last.daemon.egress.busy
        for view in ingress.views.values():
            assert all(not c.outstanding for c in view.candidates.values())
        assert all(not p.waiting for p in last.daemon.paths.by_daemon.values())


def test_overload_is_offered_seldom() -> None:
    """Entrances must not offer refused work to one last hop after another."""
    layout = Layout(upstreams=4, entrances=8)
    found = Trial(layout, SCENARIOS['internal'], 1, ms(2000)).run()
    assert found['goodput'] > 0.95
    assert found['offers_per_request'] < 0.95


def test_queue_counts_by_class() -> None:
    """Queues of internal requests must not repel people."""
    candidate = Candidate(UP, OWN, LEDGER, 4, UpstreamState.serving)
    paths = Paths(Outbox(), Random(1))
    own = MemberRecord(OWN, ids.Incarnation(1), 1, '', '', '')  # type: ignore[arg-type]
    candidates = Candidates(own, paths)
    candidates.view(LEDGER).put(candidate)
    load = Load(4, 30, 4, 10, UpstreamState.serving, (1, 5, 30))
    candidates.report(candidate, load)
    shown = []
    for priority in Priority:
        candidates.view_of(LEDGER, priority)
        shown.append(candidate.queued)
    candidates.report(candidate, load)
    assert shown == [1, 5, 30]
    assert candidate.queued == 30


def test_wait_in_queue_is_not_hedged() -> None:
    """A second attempt must not start while the first waits its turn."""
    candidate = Candidate(UP, OWN, LEDGER, 4, UpstreamState.serving)
    attempt = Attempt(ids.RequestId(1), candidate, False, ZERO, 40)
    idle = _hedge_after(attempt)
    attempt.queue_ms = 500
    assert _hedge_after(attempt) >= idle + ms(500)


def test_experiment_repeats_with_its_seed() -> None:
    """Figures must not depend on anything but the seed."""
    layout = Layout(upstreams=3, entrances=6)
    found = [
        Trial(layout, SCENARIOS['people-internal'], seed, ms(1000)).run()
        for seed in (1, 1, 2)
    ]
    assert found[0] == found[1]
    assert found[0] != found[2]
    assert found[0]['goodput'] > 0.8
    assert found[0]['sources']['counter']['completed'] == 1


def test_queue_of_a_sick_upstream_is_sent_elsewhere() -> None:
    """Requests queued at a sick upstream must not wait for its slots."""
    hop = Hop(slots=2)
    running = [hop.ask(Priority.routine, idempotent=False) for _ in range(2)]
    queued = [hop.ask(Priority.routine, idempotent=False) for _ in range(2)]
    forced = hop.ask(Priority.routine, idempotent=False, forced=True)
    hop.hop.probed(Probed(UP, alive=False, refused=True), hop.now)
    hop.run(1)
    for request in queued:
        assert hop.ended[request] == (Outcome.not_run, Reason.sick)
    assert not {forced, *running} & hop.ended.keys()
