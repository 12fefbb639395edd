"""Requests through a fleet of daemons under faults."""

from dataclasses import replace
from random import Random

import pytest
from fakes_fleet import FakeFleet, Node, StreamEnd, apply, started

from greengagemux.clocks import ms
from greengagemux.effects import (
    CallUpstream,
    CloseStream,
    Effect,
    Exit,
    OpenStream,
    ReleaseCallers,
    Send,
)
from greengagemux.events import (
    PeerMessage,
    StopRequested,
    StreamOpened,
    Tick,
    UpstreamAnswered,
)
from greengagemux.ids import (
    CallerName,
    DaemonId,
    RequestId,
    RouteName,
    ServiceName,
    StreamId,
    UpstreamId,
)
from greengagemux.messages import (
    Dispatch,
    Message,
    Priority,
    Refusal,
    Suspects,
    UpstreamHealth,
    UpstreamState,
)
from greengagemux.outcomes import Outcome, Reason
from greengagemux.reducers import STOP_NOTICE, TICK
from greengagemux.retries import RetryBudget


def _others(fleet: FakeFleet, name: str) -> list[str]:
    return [other for other in fleet.nodes if other != name]


def _running_at(fleet: FakeFleet, tag: bytes) -> str:
    for node in fleet.nodes.values():
        for upstream in node.upstreams.values():
            if tag in upstream.runs:
                return node.name
    return ''


def _ask_remote(fleet: FakeFleet, tag: bytes, path: bytes) -> tuple[int, str]:
    """Send requests to d0 until one runs on an upstream of another daemon.

    Return the exchange number of that request and the name of the daemon.
    """
    for turn in range(40):
        each = tag + b'%d' % turn
        exchange = fleet.ask('d0', each, path)
        fleet.run(2)
        egress = _running_at(fleet, each)
        if egress not in {'', 'd0'}:
            return exchange, egress
    raise AssertionError('no request left d0')


def _dispatched(node: Node, number: int, stream: StreamId) -> PeerMessage:
    """Return the dispatch of a write to the upstream of a daemon."""
    return PeerMessage(
        stream,
        Dispatch(
            request=RequestId(number),
            upstream=UpstreamId(f'{node.name}-u0'),
            service=ServiceName('ledger'),
            route=RouteName('intake'),
            method=b'POST',
            target=b'/intake/1',
            headers=((b'X-Request-Tag', b'w%d' % number),),
            body=b'',
            remaining_ms=20_000,
            answer_limit_bytes=1000,
            priority=Priority.routine,
            caller=CallerName('anonymous'),
            idempotent=False,
        ),
    )


def _limit_stop(node: Node, limit_ms: float) -> None:
    daemon = node.daemon
    daemon.options = replace(daemon.options, stop_limit=ms(limit_ms))


def _stop_unannounced(node: Node) -> None:
    """Stop a daemon whose record of leaving reaches no ingress."""
    node.daemon.members.set_own = lambda *_record: None  # type: ignore[method-assign]
    node.submit(StopRequested())


def test_every_ingress_serves() -> None:
    """Guards against a daemon that cannot serve as ingress."""
    fleet = started(4)
    exchanges = [fleet.ask(name, name.encode()) for name in fleet.nodes]
    fleet.run(500)
    for exchange in exchanges:
        assert fleet.outcome(exchange) == 'completed'
        assert fleet.answers[exchange].body == fleet.requests[exchange].tag


def test_killed_egress_read_is_retried() -> None:
    """Guards against a read that fails because its egress was killed."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    exchange, egress = _ask_remote(fleet, b'read', b'/stock/1')
    fleet.kill(egress)
    fleet.run(1500)
    assert fleet.outcome(exchange) == 'completed'


def test_killed_egress_write_is_unknown_and_prompt() -> None:
    """Guards against a second run of a write whose egress was killed.

    Also guards against a late or wrong outcome: the write may have run, so
    within 1.5 s the caller learns that its outcome is unknown.
    """
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    exchange, egress = _ask_remote(fleet, b'write', b'/intake/1')
    tag = fleet.requests[exchange].tag
    fleet.kill(egress)
    fleet.run(1500)
    assert fleet.outcome(exchange) == 'unknown'
    assert fleet.answers[exchange].status == 502
    assert fleet.runs(tag) == 1


def test_silent_stream_is_replaced_and_the_write_answered() -> None:
    """Guards against a response that is lost when its stream goes silent."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 300
    exchange, egress = _ask_remote(fleet, b'write', b'/intake/1')
    fleet.silence('d0', egress)
    fleet.run(2000)
    assert fleet.outcome(exchange) == 'completed'
    assert fleet.runs(fleet.requests[exchange].tag) == 1


@pytest.mark.parametrize('sends', [True, False])
def test_one_way_cut_never_runs_a_write_twice(sends: bool) -> None:
    """Guards against double runs and false outcomes after a one-way cut."""
    fleet = started(4)
    exchanges = []
    for turn in range(20):
        for other in _others(fleet, 'd0'):
            pair = ('d0', other) if sends else (other, 'd0')
            fleet.cut(*pair)
        exchanges.append(fleet.ask('d0', b'w%d' % turn, b'/intake/1'))
        fleet.run(300)
    fleet.run(3000)
    fleet.heal()
    fleet.run(3000)
    for exchange in exchanges:
        tag = fleet.requests[exchange].tag
        assert fleet.runs(tag) <= 1
        assert fleet.outcome(exchange) in {'completed', 'not-run', 'unknown'}
        if fleet.outcome(exchange) == 'not-run':
            assert fleet.runs(tag) == 0


def test_hung_upstream_is_ejected() -> None:
    """Guards against a hung upstream that is not ejected.

    At most 5 of the 400 requests may fail until it is.
    """
    fleet = started(4)
    hung = fleet.nodes['d1'].upstreams['d1-u0']
    for turn in range(400):
        hung.hang = turn >= 200
        fleet.ask(f'd{turn % 4}', b'r%d' % turn)
        fleet.run(12)
    fleet.run(2500)
    assert len(fleet.answers) == 400
    outcomes = [fleet.outcome(exchange) for exchange in fleet.answers]
    assert outcomes.count('completed') >= 395
    states = [
        record.fields['state']
        for record in fleet.records['d1']
        if record.name == 'upstream-state'
    ]
    assert 'sick' in states


def test_draining_upstream_gets_no_new_work() -> None:
    """Guards against requests to an upstream 3 s after it began to drain."""
    fleet = started(4)
    leaving = fleet.nodes['d2'].upstreams['d2-u0']
    leaving.draining = True
    fleet.run(3000)
    before = len(leaving.runs)
    for turn in range(100):
        fleet.ask(f'd{turn % 4}', b'r%d' % turn)
        fleet.run(20)
    assert len(leaving.runs) == before
    assert all(
        fleet.outcome(exchange) == 'completed' for exchange in fleet.answers
    )


def test_planned_stop_cuts_off_nothing() -> None:
    """Guards against a planned stop that aborts requests in flight.

    New requests run at other daemons.
    """

    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 200
    for turn in range(60):
        if turn == 20:
            fleet.nodes['d3'].submit(StopRequested())
        fleet.ask(f'd{turn % 3}', b'r%d' % turn, b'/intake/1')
        fleet.run(50)
    fleet.run(3000)
    assert fleet.nodes['d3'].exited
    assert len(fleet.answers) == 60
    for exchange in fleet.answers:
        assert fleet.outcome(exchange) == 'completed'


@pytest.mark.parametrize('path', [b'/stock/1', b'/intake/1'])
def test_planned_stop_answers_what_was_just_accepted(path: bytes) -> None:
    """Guards against a stop that ends before the requests of its notice.

    Callers keep using their connections to the stopping daemon.
    """
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 900
    fleet.nodes['d3'].submit(StopRequested())
    exchanges = []
    for turn in range(7):
        fleet.run(250)
        exchanges.append(fleet.ask('d3', b'r%d' % turn, path))
    fleet.run(4000)
    assert fleet.nodes['d3'].exited
    assert {fleet.outcome(each) for each in exchanges} == {'completed'}


def test_log_outage_serving_continues() -> None:
    """Guards against requests or new daemons that depend on the log."""
    fleet = started(4)
    fleet.log_down = True
    fleet.kill('d2')
    fleet.run(1000)
    fleet.nodes['d2'].start()
    fleet.run(5000)
    exchange = fleet.ask('d2', b'read')
    fleet.run(1000)
    assert fleet.outcome(exchange) == 'completed'


def test_all_upstreams_dead_is_not_run() -> None:
    """Guards against a late or unknown outcome if all upstreams are dead."""
    fleet = started(2)
    for upstream in fleet.upstreams:
        upstream.dead = True
    exchange = fleet.ask('d0', b'write', b'/intake/1')
    fleet.run(500)
    assert fleet.outcome(exchange) == 'not-run'
    assert fleet.answers[exchange].status == 503


def test_wrong_answer_never_reaches_a_caller() -> None:
    """Guards against forwarding a response that belongs to another request."""
    fleet = started(4)
    for upstream in fleet.nodes['d1'].upstreams.values():
        upstream.wrong = True
    for turn in range(80):
        fleet.ask(f'd{turn % 4}', b'r%d' % turn)
        fleet.run(20)
    fleet.run(2500)
    for exchange, answer in fleet.answers.items():
        if fleet.outcome(exchange) == 'completed':
            assert answer.body == fleet.requests[exchange].tag


def test_crashing_request_is_blocked_after_two_crashes() -> None:
    """Guards against a request that crashes one upstream after another."""
    fleet = started(6)
    for upstream in fleet.upstreams:
        upstream.crash_prefix = b'poison'
        upstream.service_ms = 30
    for turn in range(240):
        # The retry budget of an ingress grows with ordinary requests.
        fleet.ask(f'd{turn % 6}', b'warm%d' % turn)
        fleet.run(5)
    for turn in range(30):
        name = f'd{turn % 6}'
        fleet.ask(name, b'poison', b'/stock/poison')
        for number in range(3):
            path = b'/stock/%d-%d' % (turn, number)
            fleet.ask(name, b'ok%d-%d' % (turn, number), path)
        fleet.run(40)
    fleet.run(2500)
    assert sum(upstream.dead for upstream in fleet.upstreams) <= 2
    refused = [
        exchange
        for exchange, request in fleet.requests.items()
        if request.tag == b'poison'
        and fleet.reason(exchange) == 'crashes-upstreams'
    ]
    assert len(refused) >= 25
    for exchange, request in fleet.requests.items():
        if request.tag != b'poison':
            assert fleet.outcome(exchange) == 'completed'


def _crash_twice(fleet: FakeFleet) -> bytes:
    """Let a request crash two upstreams; return its path."""
    for upstream in fleet.upstreams:
        upstream.crash_prefix = b'poison'
    path = b'/stock/poison'
    for turn in range(40):
        fleet.ask(f'd{turn % 4}', b'warm%d' % turn)
        fleet.run(5)
    while sum(each.dead for each in fleet.upstreams) < 2:
        fleet.ask('d0', b'poison', path)
        fleet.run(200)
    return path


@pytest.mark.parametrize('path', [b'/stock/1', b'/intake/1'])
def test_rerouted_request_waits_for_a_path_to_open(path: bytes) -> None:
    """A request that ran nowhere must not fail while a path is opening."""
    fleet = started(4)
    node = fleet.nodes['d0']
    daemon = node.daemon
    for ended in ('d0', 'd3'):
        tracker = fleet.nodes[ended].daemon.egress.health_tracker
        tracker.crashed(UpstreamId(f'{ended}-u0'), fleet.now)
    for name in ('d1', 'd2'):
        stream = daemon.paths.by_daemon[DaemonId(name)].stream
        assert stream is not None
        fleet.carry_out(node, CloseStream(stream))
        daemon.paths.closed(stream, fleet.now)
    exchange = fleet.ask('d0', b'read', path)
    fleet.run(300)
    assert fleet.outcome(exchange) == 'completed'


def test_request_on_a_replaced_stream_is_answered() -> None:
    """An answer must not be lost with a stream that a newer one replaces."""
    fleet = started(4)
    node = fleet.nodes['d0']
    for upstream in fleet.upstreams:
        upstream.service_ms = 50
    exchange, egress = _ask_remote(fleet, b'read', b'/stock/1')
    fleet.carry_out(node, OpenStream(DaemonId(egress), egress))
    fleet.run(200)
    assert fleet.outcome(exchange) == 'completed'
    assert fleet.runs(fleet.requests[exchange].tag) == 1


def test_blocked_request_is_refused_where_it_enters() -> None:
    """What is known to crash upstreams must not travel to be refused."""
    fleet = started(4)
    path = _crash_twice(fleet)
    fleet.run(500)
    for name in fleet.nodes:
        fleet.records[name].clear()
        exchange = fleet.ask(name, b'poison', path)
        assert exchange in fleet.answers
        assert fleet.reason(exchange) == 'crashes-upstreams'
        assert fleet.outcome(exchange) == 'not-run'
        names = [record.name for record in fleet.records[name]]
        assert 'request-placed' not in names


def test_daemon_that_missed_the_reports_refuses_the_request() -> None:
    """Reports go to random peers, so they may miss a daemon.

    It must learn of a blocked request before it runs one beside itself.
    """
    fleet = started(4)
    missed = fleet.nodes['d3']
    deliver = fleet._deliver

    def lose(stream_end: StreamEnd, message: Message) -> None:
        other = stream_end.other
        if other is None or other.node is not missed:
            deliver(stream_end, message)
        elif not isinstance(message, Suspects):
            deliver(stream_end, message)

    upstream = missed.upstreams['d3-u0']
    fleet.drain(upstream)
    fleet.run(1500)
    fleet._deliver = lose  # type: ignore[method-assign]
    path = _crash_twice(fleet)
    fleet.cancel_drain(upstream)
    fleet.run(1500)
    fleet._deliver = deliver  # type: ignore[method-assign]
    fleet.run(3000)
    fleet.ask('d3', b'poison', path)
    fleet.run(500)
    assert not upstream.dead
    exchange = fleet.ask('d3', b'poison', path)
    fleet.run(500)
    assert fleet.reason(exchange) == 'crashes-upstreams'
    assert sum(each.dead for each in fleet.upstreams) == 2


@pytest.mark.parametrize('killed', [1, 3])
def test_restarted_daemons_learn_what_is_blocked(killed: int) -> None:
    """A verdict must outlive the daemons that have restarted."""
    fleet = started(4)
    path = _crash_twice(fleet)
    fleet.run(1000)
    names = list(fleet.nodes)[:killed]
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.nodes[name].start()
    fleet.run(6000)
    for name in names:
        exchange = fleet.ask(name, b'poison', path)
        fleet.run(500)
        assert fleet.reason(exchange) == 'crashes-upstreams'
    assert sum(each.dead for each in fleet.upstreams) == 2


def test_restarted_upstream_clears_unrelated_requests() -> None:
    """Guards against blaming a read for a crash that it did not cause.

    The read in flight and a later one of the same path complete.
    """
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    exchange, egress = _ask_remote(fleet, b'read', b'/stock/shared')
    node = fleet.nodes[egress]
    for upstream in node.upstreams.values():
        fleet.crash(node, upstream)
    fleet.run(1000)
    assert fleet.outcome(exchange) == 'completed'
    again = fleet.ask('d0', b'again', b'/stock/shared')
    fleet.run(500)
    assert fleet.outcome(again) == 'completed'


def test_write_lost_with_a_restarted_egress_is_unknown() -> None:
    """Guards against "not run" from a restarted egress.

    The new process does not know what the previous one ran.
    """
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    exchange, egress = _ask_remote(fleet, b'write', b'/intake/1')
    tag = fleet.requests[exchange].tag
    fleet.kill(egress)
    fleet.nodes[egress].start()
    fleet.run(2500)
    assert fleet.outcome(exchange) == 'unknown'
    assert fleet.runs(tag) == 1


def test_request_on_a_superseded_stream_does_not_run() -> None:
    """Guards against a late request that runs after it was "not seen"."""
    fleet = started(4)
    for other in _others(fleet, 'd0'):
        fleet.stall('d0', other)
    exchanges = [
        fleet.ask('d0', b'w%d' % turn, b'/intake/1') for turn in range(40)
    ]
    fleet.run(1500)
    fleet.release()
    fleet.run(3000)
    for exchange in exchanges:
        assert fleet.outcome(exchange) in {'completed', 'not-run'}
        expected = int(fleet.outcome(exchange) == 'completed')
        assert fleet.runs(fleet.requests[exchange].tag) == expected


def test_resumed_egress_does_not_trust_old_announcements() -> None:
    """Guards against requests to an upstream that drained during a pause.

    Announcements queued during the pause may be older than the drain.
    """
    fleet = started(4)
    fleet.pause('d1')
    fleet.run(2500)
    leaving = fleet.nodes['d1'].upstreams['d1-u0']
    fleet.drain(leaving)
    held, fleet.nodes['d1'].backlog = fleet.nodes['d1'].backlog, []
    fleet.run(3500)
    fleet.nodes['d1'].backlog = held
    for turn in range(20):
        fleet.ask('d1', b'r%d' % turn)
    fleet.resume('d1')
    fleet.run(2500)
    assert not leaving.runs


def test_crashed_upstream_is_known_before_the_next_request() -> None:
    """Guards against requests sent to an upstream process that has ended."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    _exchange, egress = _ask_remote(fleet, b'write', b'/intake/1')
    node = fleet.nodes[egress]
    for upstream in node.upstreams.values():
        fleet.crash(node, upstream)
        upstream.service_ms = 5
    fleet.run(20)
    exchanges = [
        fleet.ask(f'd{turn % 4}', b'w%d' % turn, b'/intake/1')
        for turn in range(8)
    ]
    fleet.run(1000)
    assert {fleet.outcome(exchange) for exchange in exchanges} == {'completed'}


def test_ingress_ages_reported_loads() -> None:
    """Guards against avoiding an upstream because of an outdated load."""
    fleet = started(1)
    ingress = next(iter(fleet.nodes.values())).daemon.ingress
    for view in ingress.candidates.views.values():
        for candidate in view.candidates.values():
            candidate.in_flight = 64
    fleet.run(5000)
    for view in ingress.candidates.views.values():
        assert view.candidates
        assert all(c.in_flight < 8 for c in view.candidates.values())


def test_health_is_relayed_within_a_region() -> None:
    """Guards against health updates that stay within one data centre.

    Daemons in the region's other data centres would learn that an upstream is
    sick only from its refusals.
    """
    fleet = started(8)
    local_upstreams = fleet.nodes['d0'].daemon.egress.local_upstreams
    upstream = next(iter(local_upstreams.by_id.values()))
    update = UpstreamHealth(
        upstream.upstream, upstream.service, UpstreamState.sick, 5
    )
    local_upstreams.health_updates.append(update)
    fleet.run(120)
    learned_by = {
        name
        for name, node in fleet.nodes.items()
        for view in node.daemon.ingress.candidates.views.values()
        for known in view.candidates.values()
        if known.upstream == upstream.upstream
        and known.state is UpstreamState.sick
    }
    assert learned_by == {'d0', 'd4', 'd1', 'd5'}


def test_late_handshake_does_not_replace_a_newer_stream() -> None:
    """Guards against requests on a stream that a newer one has replaced.

    The peer would drop them.
    """
    fleet = started(2)
    paths = fleet.nodes['d0'].daemon.paths
    path = paths.by_daemon['d1']
    newest = path.stream
    late = StreamOpened(
        StreamId(99),
        fleet.nodes['d1'].hello(99),
        outbound=True,
        address='d1',
        number=path.number - 1,
    )
    fleet.nodes['d0'].submit(late)
    assert path.stream == newest
    fleet.run(100)
    exchanges = [fleet.ask('d0', b'r%d' % turn) for turn in range(30)]
    fleet.run(1000)
    assert {fleet.outcome(exchange) for exchange in exchanges} == {'completed'}


def test_request_without_a_path_is_refused_before_its_deadline() -> None:
    """Guards against a caller that waits though no path can be opened."""
    fleet = started(2)
    for upstream in fleet.nodes['d0'].upstreams.values():
        fleet.crash(fleet.nodes['d0'], upstream)
    fleet.run(4000)
    fleet.kill('d1')
    fleet.run(50)
    exchange = fleet.ask('d0', b'read')
    fleet.run(1200)
    assert fleet.outcome(exchange) in {'not-run', 'unknown'}


def test_stopping_daemon_releases_its_callers() -> None:
    """Guards against callers that stay connected to a stopping daemon."""
    fleet = started(2)
    node = fleet.nodes['d0']
    effects = apply(node.daemon, StopRequested(), fleet.now)
    assert ReleaseCallers(accept=True) in effects
    fleet.run(1900)
    seen = []
    for _ in range(10):
        fleet.clock.advance(TICK)
        tick = Tick(fleet.clock.wall())
        seen += apply(node.daemon, tick, fleet.now)
    assert ReleaseCallers(accept=False) in seen
    exits = [each for each in seen if isinstance(each, Exit)]
    assert seen.index(ReleaseCallers(accept=False)) < seen.index(exits[0])
    # Callers that still read have the rest of the stop limit.
    left = node.daemon.options.stop_limit - STOP_NOTICE
    assert left - 4 * TICK < exits[0].limit <= left


def test_resumed_ingress_refuses_requests_from_before_the_pause() -> None:
    """Guards against a late run of a request whose caller has given up.

    The request was in the sockets of the ingress during the pause.
    """
    fleet = started(2)
    fleet.pause('d0')
    exchange = fleet.ask('d0', b'write', b'/intake/1')
    fleet.run(3000)
    fleet.resume('d0')
    fleet.run(1000)
    assert fleet.outcome(exchange) == 'not-run'
    assert fleet.reason(exchange) == 'late'
    assert fleet.runs(b'write') == 0


def test_retry_refused_for_a_spent_budget_is_offered_to_others() -> None:
    """Guards against a read that fails because one retry budget is spent."""
    fleet = started(6)
    for name, node in fleet.nodes.items():
        for upstream in node.daemon.egress.upstreams.values():
            upstream.retries.saved = int(name == 'd3')
    exchange = fleet.ask('d0', b'r1')
    fleet.run(2)
    runner = _running_at(fleet, b'r1')
    assert runner != 'd0'
    fleet.kill(runner)
    fleet.run(1500)
    assert fleet.outcome(exchange) == 'completed'


@pytest.mark.parametrize('seed', range(5))
def test_retry_finds_the_upstream_that_has_budget(seed: int) -> None:
    """A read must not fail while one of eight upstreams may take its retry."""
    fleet = started(8, seed, data_centres=1)
    rich = Random(seed).choice(fleet.upstreams)
    for node in fleet.nodes.values():
        for upstream in node.daemon.egress.upstreams.values():
            upstream.retries.share = 0
            upstream.retries.saved = float(upstream.upstream == rich.name)
    for each in fleet.upstreams:
        each.status = 200 if each is rich else 500
    exchange = fleet.ask('d0', b'read')
    fleet.run(1500)
    assert fleet.answers[exchange].status == 200


def test_nothing_starts_after_the_exit() -> None:
    """Guards against a write that starts in a process that is about to end.

    Neither a queued write nor one that arrives after the exit may start; both
    are refused as not run.
    """
    fleet = started(2)
    node = fleet.nodes['d1']
    node.upstreams['d1-u0'].service_ms = 60_000
    _limit_stop(node, 2200)
    node.submit(StopRequested())
    fleet.run(1900)
    stream = min(node.daemon.inbound)
    for number in range(1001, 1006):
        node.submit(_dispatched(node, number, stream))
    running = tuple(node.calls)
    assert len(running) == 4
    effects = []
    for _ in range(16):
        fleet.clock.advance(TICK)
        effects += apply(node.daemon, Tick(fleet.clock.wall()), fleet.now)
    end = effects.index(Exit())
    assert _refused(effects[:end]) == {1005}
    late = apply(node.daemon, _dispatched(node, 1006, stream), fleet.now)
    late += apply(
        node.daemon, UpstreamAnswered(running[0], 200, (), b''), fleet.now
    )
    assert _refused(late) == {1006}
    assert not any(isinstance(each, CallUpstream) for each in late)


def _refused(effects: list[Effect]) -> set[int]:
    """Return the requests that are refused as draining and not run."""
    refusals = [
        each.message
        for each in effects
        if isinstance(each, Send) and isinstance(each.message, Refusal)
    ]
    return {
        each.request
        for each in refusals
        if each.reason is Reason.draining and each.outcome is Outcome.not_run
    }


def test_stopping_egress_becomes_idle_under_load() -> None:
    """Guards against a stop that is never idle and cuts off its last writes.

    No ingress learns that the daemon is leaving, nor does its own.
    """
    fleet = started(3, upstreams=3)
    for upstream in fleet.upstreams:
        upstream.service_ms = 300
    for local in fleet.nodes['d0'].upstreams.values():
        fleet.drain(local)
    fleet.run(1500)
    node = fleet.nodes['d1']
    _limit_stop(node, 4000)
    _stop_unannounced(node)
    for turn in range(100):
        name = 'd1' if turn % 4 == 3 and turn < 48 else 'd0'
        fleet.ask(name, b'w%d' % turn, b'/intake/1')
        fleet.run(50)
    fleet.run(1000)
    outcomes = [fleet.outcome(exchange) for exchange in fleet.requests]
    assert outcomes == ['completed'] * 100
    stopped = [each for each in fleet.records['d1'] if each.name == 'stopped']
    assert stopped[0].fields['idle']


def test_upstream_of_a_stopping_daemon_idles_through_the_notice() -> None:
    """Guards against capacity that is lost before the daemon refuses work."""
    fleet = started(2)
    node = fleet.nodes['d1']
    daemon = node.daemon
    daemon.options = replace(daemon.options, leave_after=STOP_NOTICE - ms(500))
    for local in fleet.nodes['d0'].upstreams.values():
        fleet.drain(local)
    fleet.run(1500)
    node.submit(StopRequested())
    fleet.run(1400)
    exchange = fleet.ask('d0', b'w1', b'/intake/1')
    fleet.run(400)
    assert fleet.outcome(exchange) == 'completed'
    late = fleet.ask('d0', b'w2', b'/intake/1')
    fleet.run(400)
    assert fleet.outcome(late) == 'not-run'
    assert not fleet.runs(b'w2')


def test_stop_limit_leaves_a_caller_without_an_answer() -> None:
    """Guards against a connection that is closed while its request is pending."""
    fleet = started(2)
    node = fleet.nodes['d0']
    _limit_stop(node, 2200)
    for each in fleet.nodes.values():
        for local in each.upstreams.values():
            local.service_ms = 60_000
    node.submit(StopRequested())
    fleet.run(1900)
    exchange = fleet.ask('d0', b'w1', b'/intake/1')
    fleet.run(1000)
    assert node.exited
    assert fleet.outcome(exchange) == 'unknown'
    assert fleet.reason(exchange) == 'draining'
    assert fleet.runs(b'w1') == 1


def test_running_write_is_not_refused_by_a_stop() -> None:
    """Guards against "not run" for a write that runs, and a second run."""
    fleet = started(2)
    node = fleet.nodes['d1']
    node.upstreams['d1-u0'].service_ms = 1000
    node.submit(StopRequested())
    fleet.run(1900)
    stream = min(node.daemon.inbound)
    dispatched = _dispatched(node, 1001, stream)
    node.submit(dispatched)
    effects = []
    while fleet.now < node.daemon.stopping_since + STOP_NOTICE + TICK * 4:
        fleet.clock.advance(TICK)
        effects += apply(node.daemon, Tick(fleet.clock.wall()), fleet.now)
    effects += apply(node.daemon, dispatched, fleet.now)
    assert not _refused(effects)
    assert fleet.runs(b'w1001') == 1


def test_many_stopping_egress_daemons_fail_no_request() -> None:
    """Guards against a request that fails because several daemons stop.

    The ingress has learned of none of the stops.
    """
    fleet = started(12)
    for number in range(11):
        fleet.nodes[f'd{number}'].daemon.egress.stop(fleet.now)
    exchanges = [
        fleet.ask('d0', b'w%d' % turn, b'/intake/1') for turn in range(8)
    ]
    fleet.run(1000)
    outcomes = [fleet.outcome(exchange) for exchange in exchanges]
    assert outcomes == ['completed'] * 8
    for request in fleet.requests.values():
        assert fleet.runs(request.tag) == 1


def test_sound_upstream_takes_a_request_that_has_run_nowhere() -> None:
    """A refused hedge must not exclude the upstream for the first attempt."""
    fleet = started(2)
    egress = fleet.nodes['d0'].daemon.egress
    ingress = fleet.nodes['d0'].daemon.ingress
    ingress._budgets[ServiceName('ledger')].saved = 10
    other = fleet.nodes['d1'].daemon.egress.upstreams[UpstreamId('d1-u0')]
    other.retries = RetryBudget(0, saved=0)
    own = egress.upstreams[UpstreamId('d0-u0')]
    fleet.nodes['d0'].upstreams['d0-u0'].hang = True
    for number in range(40):
        if not own.queue:
            exchange = fleet.ask('d0', b'r%d' % number)
            fleet.run(1)
    assert own.queue
    fleet.run(1200)
    assert fleet.outcome(exchange) == ''
    egress._refuse_queued(own, Reason.sick, fleet.now)
    fleet.run(50)
    assert fleet.outcome(exchange) == 'completed'
    assert fleet.runs(fleet.requests[exchange].tag) == 1
