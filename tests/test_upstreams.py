"""Guards against a stand-in that hides lost, doubled or late executions."""

from typing import Any

import pytest
from fakes_standins import Connection, PipeNetwork
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from greengagemux_standins import faults, servers
from greengagemux_standins.ledgers import Ledger, WorkKey
from greengagemux_standins.slots import Capacity, End, Job, SlotPool
from greengagemux_standins.upstreams import State, Upstream, UpstreamSettings

EXACT = Capacity(slots=2, median_ms=10, sigma=0, queue_limit=1)


def _upstream(**options: Any) -> tuple[Upstream, MemoryReactorClock]:
    network = MemoryReactorClock()
    chosen = {'capacity': EXACT, 'connection_cost_ms': 0, **options}
    stand_in = Upstream(UpstreamSettings('u-1', 'depot', **chosen), network)
    stand_in.start()
    return stand_in, network


def _order(network: MemoryReactorClock, **order: Any) -> None:
    Connection(network).json('/_fault', 'POST', **order)
    network.advance(0)


def _key(number: int) -> WorkKey:
    return WorkKey(str(number), '', '', '', 'GET', '/')


_steps = st.lists(
    st.one_of(
        st.tuples(st.just('offer'), st.integers(0, 40)),
        st.tuples(st.just('cancel'), st.integers(0, 30)),
        st.tuples(st.just('advance'), st.integers(0, 30)),
        st.tuples(st.just('hang'), st.integers(0, 1)),
        st.tuples(st.just('pause'), st.integers(0, 30)),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None)
@given(steps=_steps, slots=st.integers(1, 3), seed=st.integers(0, 99))
def test_each_job_ends_once(
    steps: list[tuple[str, int]], slots: int, seed: int
) -> None:
    """No history may lose a job, end it twice or exceed the slots."""
    clock = Clock()
    ledger = Ledger('u')
    capacity = Capacity(slots=slots, queue_limit=2, median_ms=10, seed=seed)
    pool = SlotPool(capacity, ledger, clock)
    taken: list[Job] = []
    ends: list[tuple[Job, End]] = []

    def note(job: Job, end: End) -> None:
        ends.append((job, end))

    for name, amount in steps:
        match name:
            case 'offer':
                job = Job(_key(len(taken)), note, deadline_ms=amount or None)
                if pool.offer(job):
                    taken.append(job)
            case 'cancel' if taken:
                pool.cancel(taken[amount % len(taken)])
            case 'advance':
                clock.advance(amount / 1000)
            case 'hang':
                pool.hang(bool(amount))
            case 'pause':
                pool.pause(amount)
        assert pool.running <= slots
        assert pool.queued <= capacity.queue_limit
    pool.hang(False)
    while not pool.idle:
        clock.advance(1)
    assert sorted(id(job) for job, _ in ends) == sorted(map(id, taken))
    started = [job for job in taken if job.started]
    assert ledger.started == len(started) == ledger.finished + ledger.stopped
    assert all(run.started == 1 for run in ledger.page().runs)
    assert not clock.getDelayedCalls()


def test_answer_echoes_its_own_request() -> None:
    """A load tool must recognise the complete response to its own request."""
    _, network = _upstream()
    connection = Connection(network)
    connection.send('/a?b=1', 'PUT', b'x', X_Request_Tag='t1')
    assert not connection.raw
    network.advance(0.01)
    status, headers, body = connection.answer()
    assert status == 200
    assert headers['x-request-tag'] == 't1'
    assert body.startswith(b'PUT /a?b=1 t1 256\n')
    assert len(body) == int(headers['content-length']) == 256


def test_queue_and_shedding() -> None:
    """A request beyond slots and queue must be shed without executing."""
    stand_in, network = _upstream()
    connections = [Connection(network) for _ in range(4)]
    for connection in connections:
        connection.send('/')
    assert connections[3].answer()[0] == 503
    network.advance(0.01)
    network.advance(0.01)
    assert [one.answer()[0] for one in connections[:3]] == [
        200,
        200,
        200,
    ]
    assert (stand_in.ledger.started, stand_in.ledger.shed) == (3, 1)


def test_cancellation_and_deadline_stop_work() -> None:
    """A closed connection or passed deadline must free the slot."""
    stand_in, network = _upstream()
    gone, late = Connection(network), Connection(network)
    gone.send('/')
    late.send('/', Greengage_Deadline_Ms='5')
    gone.drop()
    network.advance(0.005)
    status, headers, _ = late.answer()
    assert (status, headers['x-upstream-run']) == (504, 'stopped')
    assert stand_in.pool.idle
    assert stand_in.ledger.stopped == 2


def test_ledger_shows_a_doubled_run() -> None:
    """A check must see that one request was executed twice."""
    _, network = _upstream()
    for _ in range(2):
        Connection(network).send('/w', 'POST', b'x', Greengage_Request='r1')
    network.advance(0.01)
    page = Connection(network).json('/_ledger')
    assert [(run['request'], run['started']) for run in page['runs']] == [
        ('r1', 2)
    ]


def test_same_seed_gives_same_service_time() -> None:
    """Paired requests must not differ in their drawn service time."""
    pools = [
        SlotPool(Capacity(seed=seed), Ledger('u'), Clock()) for seed in (1, 2)
    ]
    job = Job(_key(0), lambda _job, _end: None, seed='pair-1')
    assert pools[0].service_ms(job) == pools[1].service_ms(job)
    job.seed = ''
    assert pools[0].service_ms(job) != pools[1].service_ms(job)


def test_cold_start_is_slower_and_announced() -> None:
    """A cold upstream that looks warm would hide the cost of a cold start."""
    cold = Capacity(median_ms=10, sigma=0, cold_ms=100, cold_factor=3)
    stand_in, network = _upstream(capacity=cold)
    connection = Connection(network)
    connection.send('/')
    network.advance(0.029)
    assert not connection.raw
    assert stand_in.state is State.cold
    network.advance(0.1)
    assert connection.answer()[0] == 200
    assert stand_in.state is State.serving


def test_drain_finishes_running_work() -> None:
    """A drain must abort no request and count the requests after its start."""
    stand_in, network = _upstream(admin_address='127.0.0.1:1')
    running = Connection(network)
    running.send('/')
    _order(network, drain=True, slow=1)
    announced = stand_in.announcement()
    assert announced is not None
    assert announced.state == 'draining'
    network.advance(2)
    late = Connection(network)
    late.send('/')
    network.advance(4)
    network.advance(1)
    assert running.answer()[0] == late.answer()[0] == 200
    assert stand_in.drained.called
    assert stand_in.ledger.after_drain_ms == pytest.approx(2000)


def test_hang_ends_with_the_fault() -> None:
    """A hung request must finish after the fault is cleared, not before."""
    _, network = _upstream()
    connection = Connection(network)
    connection.send('/')
    _order(network, hang=True, health='healthy')
    network.advance(60)
    assert not connection.raw
    probe = Connection(network)
    probe.send('/health')
    network.advance(1)
    assert probe.answer()[0] == 200
    _order(network)
    network.advance(1)
    assert connection.answer()[0] == 200


def test_pause_stops_running_work_and_announcements() -> None:
    """A paused upstream must not respond, accept requests or announce."""
    stand_in, network = _upstream()
    running, new, probe = (Connection(network) for _ in range(3))
    running.send('/')
    _order(network, pause_ms=200)
    new.send('/')
    probe.send('/load')
    network.advance(0.15)
    assert not running.raw + new.raw + probe.raw
    assert stand_in.announcement() is None
    assert stand_in.ledger.started == 1
    for _ in range(20):
        network.advance(0.01)
    assert running.answer()[0] == new.answer()[0] == probe.answer()[0] == 200


def test_silent_connections_stay_silent() -> None:
    """The fault must silence open connections and leave new ones working."""
    _, network = _upstream()
    old = Connection(network)
    old.send('/')
    _order(network, silent=True)
    network.advance(1)
    old.send('/')
    network.advance(1)
    assert not old.raw
    new = Connection(network)
    new.send('/')
    network.advance(1)
    assert new.answer()[0] == 200


def test_silence_outlasts_the_idle_timeout() -> None:
    """A silent connection must not be closed by the idle timeout.

    A daemon would see the close and not have to detect the silence.
    """
    _, network = _upstream()
    old = Connection(network)
    _order(network, silent=True)
    for _ in range(20):
        network.advance(60)
    assert not old.transport.disconnected


def test_connection_limit_spares_open_connections() -> None:
    """A connection above the limit must be reset without affecting others."""
    _, network = _upstream(connection_limit=2)
    open_connections = [Connection(network) for _ in range(2)]
    assert Connection(network).transport.aborted
    open_connections[0].send('/')
    network.advance(1)
    assert open_connections[0].answer()[0] == 200


def test_hang_ends_with_its_flapping_phase() -> None:
    """A flapping phase must end on time, not at the next request."""
    _, network = _upstream()
    connection = Connection(network)
    _order(network, hang=True, flap_period_ms=1000)
    connection.send('/')
    network.advance(0.4)
    assert not connection.raw
    network.advance(0.15)
    network.advance(0.15)
    assert connection.answer()[0] == 200


def test_crash_resets_and_stops_listening() -> None:
    """A crash must reset the connections of all running requests."""
    stand_in, network = _upstream()
    running, crashing = Connection(network), Connection(network)
    running.send('/')
    _order(network, crash_body='poison')
    crashing.send('/', 'POST', b'some poison here')
    assert running.transport.aborted
    assert crashing.transport.aborted
    assert not running.raw
    assert stand_in.ledger.started == 2


@pytest.mark.parametrize('kind', ['tag', 'truncated', 'short'])
def test_wrong_answers_are_wrong(kind: str) -> None:
    """Each kind must differ from the correct response only in its defect.

    ``tag`` has another request's tag, ``truncated`` ends before its declared
    length, ``short`` has a shorter body.
    """
    _, network = _upstream()
    _order(network, wrong=1, wrong_kinds=[kind])
    connection = Connection(network)
    connection.send('/', X_Request_Tag='t1')
    network.advance(1)
    _, headers, body = connection.answer()
    assert (headers['x-request-tag'] == 't1') is (kind != 'tag')
    whole = len(body) == int(headers['content-length'])
    assert whole is (kind != 'truncated')
    assert (len(body) == 256) is (kind == 'tag')


def test_half_alive_fails_the_same_targets() -> None:
    """A target must fail always or never.

    Failures that alternate per request would be easier to detect.
    """
    half = faults.Faults(half_alive=0.5, failing_prefixes=('/p/',))
    failing = [faults.target_fails(half, f'/t/{n}') for n in range(200)]
    assert 60 < sum(failing) < 140
    assert faults.target_fails(half, '/p/x')
    assert faults.target_fails(half, '/t/1') == faults.target_fails(
        half, '/t/1?q=2'
    )


def test_flapping_alternates() -> None:
    """Flapping must alternate between a faulty and a fault-free half period."""
    flapping = faults.Faults(flap_period_ms=100)
    assert faults.in_effect(flapping, 10).errors == 1
    assert faults.in_effect(flapping, 60).errors == 0
    assert faults.in_effect(flapping, 110).errors == 1


def test_unknown_fault_is_refused() -> None:
    """A misspelt fault must be rejected, or a trial would have no fault."""
    stand_in, network = _upstream()
    connection = Connection(network)
    connection.send('/_fault', 'POST', b'{"hangs": true}')
    assert connection.answer()[0] == 400
    assert stand_in.faults == faults.Faults()


def test_load_report_can_lag() -> None:
    """A lagging report must give the earlier load until the lag has passed."""
    _, network = _upstream()
    _order(network, report_lag_ms=5000)
    probe = Connection(network)
    probe.send('/load')
    network.advance(1)
    assert b'"in_flight":0' in probe.answer()[2]
    _order(network, report_lag_ms=5000, hang=True)
    Connection(network).send('/')
    probe.send('/load')
    network.advance(1)
    assert b'"in_flight":0' in probe.answer()[2]
    network.advance(5)
    probe.send('/load')
    network.advance(1)
    assert b'"in_flight":1' in probe.answer()[2]


def test_announces_each_second_over_the_network() -> None:
    """A daemon discards an upstream after 3 s without an announcement."""
    network = PipeNetwork()
    bodies: list[bytes] = []

    def respond(request: servers.Request) -> None:
        bodies.append(servers.body_of(request))
        servers.reply_json(request, servers.OK, {})

    admin = servers.HttpServer(network, respond)
    admin.start()
    stand_in = Upstream(
        UpstreamSettings('u-1', 'depot', admin_address=admin.address), network
    )
    stand_in.start()
    network.run(3.5, step=0.01)
    announcement = (
        b'{"upstream":"u-1","service":"depot","address":"%s",'
        b'"slots":4,"state":"serving"}' % stand_in.address.encode()
    )
    assert set(bodies) == {announcement}
    assert len(bodies) == 4
