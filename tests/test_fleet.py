"""Requests through several daemons while parts fail."""

import pytest
from fakes_fleet import FakeFleet, started

from greengagemux.effects import Exit, ReleaseCallers
from greengagemux.events import StopRequested, StreamOpened, Tick
from greengagemux.ids import StreamId
from greengagemux.messages import UpstreamHealth, UpstreamState
from greengagemux.reducers import TICK, reduce


def _others(fleet: FakeFleet, name: str) -> list[str]:
    return [other for other in fleet.nodes if other != name]


def _running_at(fleet: FakeFleet, tag: bytes) -> str:
    for node in fleet.nodes.values():
        for upstream in node.upstreams.values():
            if tag in upstream.runs:
                return node.name
    return ''


def _ask_remote(fleet: FakeFleet, tag: bytes, path: bytes) -> tuple[int, str]:
    """Ask at d0 until an upstream beside another daemon runs the request."""
    for turn in range(40):
        each = tag + b'%d' % turn
        exchange = fleet.ask('d0', each, path)
        fleet.run(2)
        where = _running_at(fleet, each)
        if where not in {'', 'd0'}:
            return exchange, where
    raise AssertionError('no request left d0')


def test_every_entrance_serves() -> None:
    """Guards the whole path through any daemon."""
    fleet = started(4)
    asked = [fleet.ask(name, name.encode()) for name in fleet.nodes]
    fleet.run(500)
    for exchange in asked:
        assert fleet.outcome(exchange) == 'completed'
        assert fleet.answers[exchange].body == fleet.requests[exchange].tag


def test_killed_last_hop_read_is_retried() -> None:
    """A read must survive the death of the daemon that ran it."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    exchange, where = _ask_remote(fleet, b'read', b'/stock/1')
    fleet.kill(where)
    fleet.run(1500)
    assert fleet.outcome(exchange) == 'completed'


def test_killed_last_hop_write_is_unknown_and_prompt() -> None:
    """A write on a killed daemon may have run, so it is not run again."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    exchange, where = _ask_remote(fleet, b'write', b'/intake/1')
    tag = fleet.requests[exchange].tag
    fleet.kill(where)
    fleet.run(1500)
    assert fleet.outcome(exchange) == 'unknown'
    assert fleet.answers[exchange].status == 502
    assert fleet.runs(tag) == 1


def test_silent_stream_is_replaced_and_the_write_answered() -> None:
    """A stream that goes silent must not lose the answer of a write."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 300
    exchange, where = _ask_remote(fleet, b'write', b'/intake/1')
    fleet.silence('d0', where)
    fleet.run(2000)
    assert fleet.outcome(exchange) == 'completed'
    assert fleet.runs(fleet.requests[exchange].tag) == 1


@pytest.mark.parametrize('sends', [True, False])
def test_one_way_cut_never_runs_a_write_twice(sends: bool) -> None:
    """A cut in one direction leaves the outcome true and the write single."""
    fleet = started(4)
    asked = []
    for turn in range(20):
        for other in _others(fleet, 'd0'):
            pair = ('d0', other) if sends else (other, 'd0')
            fleet.cut(*pair)
        asked.append(fleet.ask('d0', b'w%d' % turn, b'/intake/1'))
        fleet.run(300)
    fleet.run(3000)
    fleet.heal()
    fleet.run(3000)
    for exchange in asked:
        tag = fleet.requests[exchange].tag
        assert fleet.runs(tag) <= 1
        assert fleet.outcome(exchange) in {'completed', 'not-run', 'unknown'}
        if fleet.outcome(exchange) == 'not-run':
            assert fleet.runs(tag) == 0


def test_hung_upstream_is_ejected() -> None:
    """A hung upstream must stop receiving work within a second."""
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
    """A leaving upstream must receive no new work 3 s after it said so."""
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
    """A stopping daemon ends what runs, and work moves elsewhere."""

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


def test_store_out_serving_goes_on() -> None:
    """Requests and new daemons must not need the log."""
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
    """A refused connection means not run, and says so promptly."""
    fleet = started(2)
    for upstream in fleet.upstreams:
        upstream.dead = True
    exchange = fleet.ask('d0', b'write', b'/intake/1')
    fleet.run(500)
    assert fleet.outcome(exchange) == 'not-run'
    assert fleet.answers[exchange].status == 503


def test_wrong_answer_never_reaches_a_caller() -> None:
    """An answer that does not echo its request must not be passed on."""
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


def test_crashing_request_is_convicted_after_two_crashes() -> None:
    """A request that crashes upstreams must not take down the service."""
    fleet = started(6)
    for upstream in fleet.upstreams:
        upstream.crash_on = b'poison'
        upstream.service_ms = 30
    for turn in range(240):
        # Entrances earn their retries from ordinary requests.
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
        for exchange, asked in fleet.requests.items()
        if asked.tag == b'poison'
        and fleet.reason(exchange) == 'crashes-upstreams'
    ]
    assert len(refused) >= 25
    for exchange, asked in fleet.requests.items():
        if asked.tag != b'poison':
            assert fleet.outcome(exchange) == 'completed'


def test_restarted_upstream_clears_its_innocent_requests() -> None:
    """A request hit by somebody's crash must not be refused for it."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    exchange, where = _ask_remote(fleet, b'read', b'/stock/shared')
    node = fleet.nodes[where]
    for upstream in node.upstreams.values():
        fleet.crash(node, upstream)
    fleet.run(1000)
    assert fleet.outcome(exchange) == 'completed'
    again = fleet.ask('d0', b'again', b'/stock/shared')
    fleet.run(500)
    assert fleet.outcome(again) == 'completed'


def test_write_lost_with_a_restarted_last_hop_is_unknown() -> None:
    """A new process knows nothing of what the old one ran."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    exchange, where = _ask_remote(fleet, b'write', b'/intake/1')
    tag = fleet.requests[exchange].tag
    fleet.kill(where)
    fleet.nodes[where].start()
    fleet.run(2500)
    assert fleet.outcome(exchange) == 'unknown'
    assert fleet.runs(tag) == 1


def test_request_on_a_superseded_stream_does_not_run() -> None:
    """A late request must not run after "not seen" was said of it."""
    fleet = started(4)
    for other in _others(fleet, 'd0'):
        fleet.stick('d0', other)
    asked = [fleet.ask('d0', b'w%d' % turn, b'/intake/1') for turn in range(40)]
    fleet.run(1500)
    fleet.release()
    fleet.run(3000)
    for exchange in asked:
        assert fleet.outcome(exchange) in {'completed', 'not-run'}
        expected = int(fleet.outcome(exchange) == 'completed')
        assert fleet.runs(fleet.requests[exchange].tag) == expected


def test_woken_last_hop_does_not_trust_old_announcements() -> None:
    """Announcements queued during a pause may be older than a drain."""
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
    fleet.wake('d1')
    fleet.run(2500)
    assert not leaving.runs


def test_crashed_upstream_is_known_before_the_next_request() -> None:
    """Requests after a crash must not meet the process that has ended."""
    fleet = started(4)
    for upstream in fleet.upstreams:
        upstream.service_ms = 100
    _exchange, where = _ask_remote(fleet, b'write', b'/intake/1')
    node = fleet.nodes[where]
    for upstream in node.upstreams.values():
        fleet.crash(node, upstream)
        upstream.service_ms = 5
    fleet.run(20)
    asked = [
        fleet.ask(f'd{turn % 4}', b'w%d' % turn, b'/intake/1')
        for turn in range(8)
    ]
    fleet.run(1000)
    assert {fleet.outcome(exchange) for exchange in asked} == {'completed'}


def test_entrance_ages_reported_loads() -> None:
    """An upstream that was busy once must not be avoided for good."""
    fleet = started(1)
    ingress = next(iter(fleet.nodes.values())).daemon.ingress
    for view in ingress.views.values():
        for candidate in view.candidates.values():
            candidate.in_flight = 64
    fleet.run(5000)
    for view in ingress.views.values():
        assert view.candidates
        assert all(c.in_flight < 8 for c in view.candidates.values())


def test_health_is_relayed_within_a_region() -> None:
    """Another data centre must not learn of a gray upstream by refusals."""
    fleet = started(8)
    hosted = fleet.nodes['d0'].daemon.egress.hosted
    upstream = next(iter(hosted.by_id.values()))
    news = UpstreamHealth(
        upstream.upstream, upstream.service, UpstreamState.sick, 5
    )
    hosted.news.append(news)
    fleet.run(120)
    heard = {
        name
        for name, node in fleet.nodes.items()
        for view in node.daemon.ingress.views.values()
        for known in view.candidates.values()
        if known.upstream == upstream.upstream
        and known.state is UpstreamState.sick
    }
    assert heard == {'d0', 'd4', 'd1', 'd5'}


def test_late_greeting_does_not_replace_a_newer_stream() -> None:
    """Requests on a stream that the peer takes for old would be dropped."""
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
    asked = [fleet.ask('d0', b'r%d' % turn) for turn in range(30)]
    fleet.run(1000)
    assert {fleet.outcome(exchange) for exchange in asked} == {'completed'}


def test_request_without_a_way_is_refused_before_its_deadline() -> None:
    """A caller must not wait when no path to the service can open."""
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
    """Callers on open connections must leave a daemon that stops."""
    fleet = started(2)
    node = fleet.nodes['d0']
    effects = reduce(node.daemon, StopRequested(), fleet.now)
    assert ReleaseCallers(accept=True) in effects
    fleet.run(1900)
    seen = []
    for _ in range(10):
        fleet.clock.advance(TICK)
        tick = Tick(fleet.clock.wall())
        seen += reduce(node.daemon, tick, fleet.now)
    assert ReleaseCallers(accept=False) in seen
    assert seen.index(ReleaseCallers(accept=False)) < seen.index(Exit())


def test_woken_entrance_refuses_what_waited_in_its_sockets() -> None:
    """A caller that gave up must not have its old request run later."""
    fleet = started(2)
    fleet.pause('d0')
    exchange = fleet.ask('d0', b'write', b'/intake/1')
    fleet.run(3000)
    fleet.wake('d0')
    fleet.run(1000)
    assert fleet.outcome(exchange) == 'not-run'
    assert fleet.reason(exchange) == 'late'
    assert fleet.runs(b'write') == 0


def test_retry_that_one_upstream_may_not_take_is_offered_to_others() -> None:
    """A read must not fail for the spent budget of one upstream."""
    fleet = started(6)
    for name, node in fleet.nodes.items():
        for upstream in node.daemon.egress.upstreams.values():
            upstream.retries.saved = int(name == 'd3')
    asked = fleet.ask('d0', b'r1')
    fleet.run(2)
    runner = _running_at(fleet, b'r1')
    assert runner != 'd0'
    fleet.kill(runner)
    fleet.run(1500)
    assert fleet.outcome(asked) == 'completed'
