"""Admission, queueing and retries of egress and ingress under overload."""

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


class EgressHarness:
    """An egress with one upstream, stepped by the test."""

    def __init__(self, slots: int = 2, queue_limit: int = 8) -> None:
        self.now = ZERO
        self.outbox = Outbox()
        rng = Random(1)
        crashes = CrashReports(
            PoisonRequests(rng), Paths(self.outbox, rng), self.outbox, rng
        )
        self.egress = Egress(OWN, self.outbox, HealthTracker(TICK), crashes)
        service = Service(LEDGER, queue_limit=queue_limit)
        self.egress.local_upstreams.configure({LEDGER: service})
        self.requests = 0
        self.calls: dict[ids.CallId, int] = {}
        self.started: list[int] = []
        self.aborted: list[int] = []
        self.ended: dict[int, tuple[Outcome, Reason | None]] = {}
        self.slots = slots
        self._announce()

    def _announce(self) -> None:
        self.egress.announce(
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
        self.egress.dispatch(origin, None, Dispatch(**fields), self.now)
        self._settle()
        return self.requests

    def finish(self, request: int) -> None:
        """Let the upstream respond to its latest call of the request."""
        calls = [call for call, each in self.calls.items() if each == request]
        self.calls.pop(calls[-1])
        self.egress.answered(
            UpstreamAnswered(calls[-1], 200, (), b''), self.now
        )
        self._settle()

    def run(self, duration_ms: float) -> None:
        """Advance the clock in ticks of 1 ms."""
        for _ in range(int(duration_ms)):
            self.now += ms(1)
            self._announce()
            self.egress.tick(self.now)
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
        for reply in self.egress.local_replies:
            outcome = getattr(reply, 'outcome', Outcome.completed)
            reason = getattr(reply, 'reason', None)
            assert reply.request not in self.ended
            self.ended[reply.request] = (outcome, reason)
        self.egress.local_replies.clear()


def test_interactive_request_interrupts_the_latest_internal_query() -> None:
    """An interactive request must not wait behind idempotent internal queries.

    The latest one is aborted, queued again and completed afterwards.
    """
    harness = EgressHarness()
    old = harness.ask(Priority.internal)
    harness.run(5)
    young = harness.ask(Priority.internal)
    harness.run(1)
    interactive = harness.ask(Priority.waiting)
    assert harness.aborted == [young]
    assert harness.started == [old, young, interactive]
    harness.finish(interactive)
    assert harness.started[-1] == young
    harness.finish(young)
    assert harness.ended[young][0] is Outcome.completed


@pytest.mark.parametrize(
    ('priority', 'idempotent'),
    [(Priority.internal, False), (Priority.routine, True)],
)
def test_other_requests_are_not_interrupted(
    priority: Priority, idempotent: bool
) -> None:
    """A write must never run twice, and a routine request is never aborted."""
    harness = EgressHarness(slots=1)
    harness.ask(priority, idempotent=idempotent)
    harness.ask(Priority.waiting)
    harness.run(100)
    assert harness.started == [1]
    assert not harness.aborted


def test_interrupted_request_that_ends_unserved_is_unknown() -> None:
    """An aborted call may have run, so its outcome must not be ``not-run``."""
    harness = EgressHarness(slots=1)
    internal = harness.ask(Priority.internal, remaining_ms=50)
    interactive = harness.ask(Priority.waiting)
    assert harness.aborted == [internal]
    harness.run(60)
    assert harness.ended[internal] == (Outcome.unknown, Reason.deadline)
    assert interactive in harness.calls.values()


def test_interruptions_are_bounded_by_lost_work() -> None:
    """Repeated runs of aborted calls must not use up the capacity."""
    harness = EgressHarness(slots=1)
    upstream = harness.egress.upstreams[UP]
    for _ in range(100):
        upstream.service_ms = 10
        internal = harness.ask(Priority.internal, remaining_ms=100_000)
        harness.run(8)
        interactive = harness.ask(Priority.waiting)
        harness.run(20)
        while {internal, interactive} - harness.ended.keys():
            harness.finish(next(iter(harness.calls.values())))
    # Each interruption loses the work of two mean service times.
    assert 0 < len(harness.aborted) <= 0.1 * len(harness.started) / 2


def test_movable_request_is_not_queued_behind_another() -> None:
    """A movable request must not queue behind another interactive request.

    It is refused as busy, so that the ingress selects another upstream.
    """
    harness = EgressHarness(slots=1)
    harness.ask(Priority.waiting)
    queued = harness.ask(Priority.waiting, movable=True)
    moved = harness.ask(Priority.waiting, movable=True)
    stays = harness.ask(Priority.waiting)
    assert harness.ended == {moved: (Outcome.not_run, Reason.busy)}
    assert queued not in harness.ended
    assert stays not in harness.ended


def test_retries_of_all_ingresses_share_one_budget() -> None:
    """All ingresses together must not retry more than a tenth of first calls.

    The egress refuses the retries above the budget, whoever sent them.
    """
    harness = EgressHarness(slots=1000)
    for _ in range(500):
        harness.ask(Priority.routine)
        harness.ask(Priority.routine, retry=True)
        harness.ask(Priority.routine, retry=True)
    refused = [reason for _outcome, reason in harness.ended.values()].count(
        Reason.retry_budget
    )
    assert len(harness.started) == 1500 - refused
    assert 1.04 * 500 <= len(harness.started) <= 1.1 * 500


def test_request_is_shed_when_the_queue_outlasts_its_deadline() -> None:
    """A request that cannot finish before its deadline must not be queued."""
    harness = EgressHarness(slots=1)
    for _ in range(4):
        harness.ask(Priority.routine)
    late = harness.ask(Priority.routine, remaining_ms=20)
    assert harness.ended == {late: (Outcome.not_run, Reason.overloaded)}
    in_time = harness.ask(Priority.waiting, remaining_ms=20)
    assert in_time not in harness.ended


def test_queued_request_is_refused_once_it_cannot_finish_in_time() -> None:
    """A request that can no longer finish in time must be refused at once."""
    harness = EgressHarness(slots=1)
    harness.ask(Priority.routine, expected_ms=500)
    queued = harness.ask(Priority.routine, remaining_ms=1000, expected_ms=500)
    harness.run(450)
    assert queued not in harness.ended
    harness.run(100)
    assert harness.ended == {queued: (Outcome.not_run, Reason.deadline)}
    assert harness.egress.upstreams[UP].wait_factors[Priority.routine] > 1


def test_request_that_meets_its_target_goes_before_an_overdue_one() -> None:
    """In overload, service in order of arrival makes every response late."""
    harness = EgressHarness(slots=1)
    running = harness.ask(Priority.routine)
    overdue = harness.ask(Priority.routine, target_ms=100)
    harness.run(150)
    fresh = harness.ask(Priority.routine, target_ms=100)
    urgent = harness.ask(Priority.waiting, target_ms=100)
    harness.finish(running)
    harness.finish(urgent)
    harness.finish(fresh)
    harness.finish(overdue)
    assert harness.started == [running, urgent, fresh, overdue]


def test_overdue_request_that_cannot_finish_in_time_is_refused() -> None:
    """Overdue requests that cannot finish before their deadline are refused.

    Requests that can still meet their target take the slots first.
    """
    harness = EgressHarness(slots=1, queue_limit=100)
    harness.egress.upstreams[UP].service_ms = 100
    harness.ask(Priority.routine)
    waiting = [
        harness.ask(Priority.routine, target_ms=300, remaining_ms=600)
        for _ in range(5)
    ]
    harness.run(310)
    harness.ask(Priority.routine, target_ms=300, remaining_ms=600)
    harness.finish(1)
    refused = [number for number in waiting if number in harness.ended]
    assert len(refused) == len(waiting) - 1
    assert {harness.ended[number] for number in refused} == {
        (Outcome.not_run, Reason.overloaded)
    }


def test_overdue_request_behind_a_queue_is_refused() -> None:
    """An overdue request must not stay queued until its deadline.

    Requests that can still meet their target would take all slots before it.
    """
    harness = EgressHarness(slots=1, queue_limit=100)
    harness.ask(Priority.routine)
    overdue = harness.ask(Priority.routine, target_ms=300, remaining_ms=600)
    harness.run(290)
    harness.egress.upstreams[UP].service_ms = 100
    for _ in range(3):
        harness.ask(Priority.routine, target_ms=300, remaining_ms=600)
    harness.run(10)
    harness.finish(1)
    assert harness.ended == {
        1: (Outcome.completed, None),
        overdue: (Outcome.not_run, Reason.overloaded),
    }


def test_first_response_corrects_the_expected_wait() -> None:
    """The first response must replace the assumed service time.

    Otherwise, requests are queued after a restart that cannot finish in time.
    """
    harness = EgressHarness(slots=1)
    first = harness.ask(Priority.routine)
    harness.run(200)
    harness.finish(first)
    harness.ask(Priority.routine)
    for _ in range(2):
        harness.ask(Priority.routine, remaining_ms=700)
    late = harness.ask(Priority.routine, remaining_ms=700)
    assert harness.ended[late] == (Outcome.not_run, Reason.overloaded)


def test_waits_longer_than_the_queue_are_estimated() -> None:
    """The expected wait must include more urgent requests that arrive later."""
    harness = EgressHarness(slots=1, queue_limit=100)
    harness.ask(Priority.waiting)
    for _ in range(60):
        harness.ask(Priority.internal, remaining_ms=100_000, idempotent=False)
    for _ in range(60):
        harness.run(10)
        harness.ask(Priority.waiting, remaining_ms=100_000)
        harness.finish(next(iter(harness.calls.values())))
        harness.run(10)
        harness.finish(next(iter(harness.calls.values())))
    factors = harness.egress.upstreams[UP].wait_factors
    assert factors[Priority.internal] > 1.3


def test_request_without_time_for_its_run_is_not_started() -> None:
    """A call that cannot finish before its deadline must not take a slot."""
    harness = EgressHarness(slots=1)
    harness.ask(Priority.routine)
    short = harness.ask(Priority.routine, remaining_ms=100, expected_ms=40)
    harness.run(70)
    harness.finish(1)
    assert harness.ended[short] == (Outcome.not_run, Reason.deadline)


def test_expired_request_in_a_refilled_slot_ends_once() -> None:
    """A request that expires in the tick that starts it must end only once."""
    harness = EgressHarness(slots=1)
    first = harness.ask(Priority.routine, remaining_ms=30)
    second = harness.ask(Priority.routine, remaining_ms=30)
    harness.now += ms(40)
    harness.run(1)
    assert harness.ended[first][0] is Outcome.unknown
    assert harness.ended[second][0] is Outcome.not_run


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


def test_throttle_recovers_and_removes_accounts() -> None:
    """Accounts must be admitted again after an overload, and later removed."""
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
    """Refused callers must not all send again at the same time."""
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
    """Internal queries must not use up the link that urgent requests need."""
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
    """All ingresses together must stay within the budget of the region link."""
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
    """The size of the actual response must be charged, not the mean size."""
    link = _link(8000)
    now = timedelta(seconds=5)
    assert link.allows(Priority.waiting, now)
    link.settle(
        ids.RouteName('r'), link.charge(ids.RouteName('r'), 0), 2_000_000
    )
    assert not link.allows(Priority.waiting, now)


def test_closed_link_refuses_as_region_link() -> None:
    """With a budget of 0, the reason of a refusal must be ``region-link``."""
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
    """Retries must not multiply the load of a service that refuses calls."""
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
        for view in ingress.candidates.views.values():
            assert all(not c.outstanding for c in view.candidates.values())
        assert all(not p.waiting for p in last.daemon.paths.by_daemon.values())


def test_refused_requests_are_rarely_offered_again() -> None:
    """Ingresses must not send refused requests to one egress after another."""
    layout = Layout(upstreams=4, daemons=8)
    found = Trial(layout, SCENARIOS['internal'], 1, ms(2000)).run()
    assert found['goodput'] > 0.95
    assert found['offers_per_request'] < 0.95


def test_queue_counts_by_class() -> None:
    """Queued internal queries must not divert more urgent requests."""
    candidate = Candidate(UP, OWN, LEDGER, 4, UpstreamState.serving)
    paths = Paths(Outbox(), Random(1))
    own = MemberRecord(OWN, ids.Incarnation(1), 1, '', '', '')  # type: ignore[arg-type]
    candidates = Candidates(own, paths, Random(1))
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
    """A hedge must not start while the first attempt is still queued."""
    candidate = Candidate(UP, OWN, LEDGER, 4, UpstreamState.serving)
    attempt = Attempt(ids.RequestId(1), candidate, False, ZERO, 40)
    idle = _hedge_after(attempt)
    attempt.queue_ms = 500
    assert _hedge_after(attempt) >= idle + ms(500)


def test_experiment_repeats_with_its_seed() -> None:
    """The measurements must depend on nothing but the seed."""
    layout = Layout(upstreams=3, daemons=6)
    found = [
        Trial(layout, SCENARIOS['people-internal'], seed, ms(1000)).run()
        for seed in (1, 1, 2)
    ]
    assert found[0] == found[1]
    assert found[0] != found[2]
    assert found[0]['goodput'] > 0.8
    assert found[0]['sources']['counter']['completed'] == 1


@pytest.mark.parametrize('ended', [False, True])
def test_queue_of_a_sick_upstream_is_sent_elsewhere(ended: bool) -> None:
    """Requests queued at an unhealthy upstream must be refused, not kept.

    Forced ones are kept, unless the process has ended and listens no more.
    """
    harness = EgressHarness(slots=2)
    running = [
        harness.ask(Priority.routine, idempotent=False) for _ in range(2)
    ]
    queued = [harness.ask(Priority.routine, idempotent=False) for _ in range(2)]
    forced = harness.ask(Priority.routine, idempotent=False, forced=True)
    harness.egress.probed(Probed(UP, alive=False, refused=True), harness.now)
    if not ended:
        tracker = harness.egress.health_tracker
        tracker._records[UP].closed_until = None
    harness.run(1)
    refused = [*queued, forced] if ended else queued
    for request in refused:
        assert harness.ended[request] == (Outcome.not_run, Reason.sick)
    assert harness.ended.keys() == set(refused)
    assert not set(running) & harness.ended.keys()
