"""Guards against a load tool that hides delays, hangs or wrong responses."""

from pathlib import Path
from typing import Any

import pytest
from fakes_standins import PipeNetwork
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock, StringTransport

from greengagemux.loadclients import Answer, Connection, Exchange, Lost, Pool
from greengagemux.loadplans import ArrivalKind, arrivals, parse_plan
from greengagemux.loadreports import Report, Result, as_json, as_text
from greengagemux.loads import (
    Ended,
    LoadOptions,
    LoadRun,
    Planned,
    classify,
    schedule,
)
from greengagemux.outcomes import FailureError
from greengagemux_standins import servers
from greengagemux_standins.faults import FaultOrder, WrongKind
from greengagemux_standins.slots import Capacity
from greengagemux_standins.upstreams import Upstream, UpstreamSettings

EXAMPLES = Path(__file__).parent.parent / 'examples'
PLAN = parse_plan(
    """
    [profile readers]
    targets = /stock/{n}
    share = 3
    deadline_ms = 500
    [profile writers]
    targets = /intake
    method = POST
    keyed = yes
    deadline_ms = 500
    body_bytes = 40
    """.replace('\n    ', '\n'),
    'test',
)
_seeds = st.integers(0, 999)


def _fleet(network: PipeNetwork, delay: float, **headers: str) -> str:
    """Return the address of a server whose responses look like the fleet's."""

    def respond(request: servers.Request) -> None:
        network.callLater(delay, answer, request)

    def answer(request: servers.Request) -> None:
        tag = servers.header(request, b'X-Request-Tag')
        line = b'%s %s %s 99\n' % (request.method, request.uri, tag)
        request.responseHeaders.setRawHeaders('X-Request-Tag', [tag])
        all_headers = {'Greengage-Outcome': 'completed', **headers}
        for name, text in all_headers.items():
            request.responseHeaders.setRawHeaders(name, [text])
        servers.reply(request, 200, line.ljust(99, b'.'))

    server = servers.HttpServer(network, respond)
    server.start()
    return server.address


def _run(network: PipeNetwork, step: float = 0.001, **options: Any) -> Report:
    reports: list[Report] = []
    chosen = {'rate': 50, 'duration_s': 1, 'warm_up_s': 0, **options}
    run = LoadRun(PLAN, LoadOptions(**chosen), network, network)
    run.start().addCallback(reports.append)
    network.run(3, step)
    return reports[0]


def _completed(report: Report) -> int:
    return sum(one.results.get('completed', 0) for one in report.profiles)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(seed=_seeds, kind=st.sampled_from(ArrivalKind), paired=st.booleans())
def test_schedule_is_ordered_complete_and_repeatable(
    seed: int, kind: ArrivalKind, paired: bool
) -> None:
    """A lost, doubled or misplaced request would bias the latencies."""
    options = LoadOptions(
        ('a:1',), ('b:1',) if paired else (), 50, 2, 0, seed, kind
    )
    planned = list(schedule(PLAN, options))
    assert planned == list(schedule(PLAN, options))
    assert [one.due_s for one in planned] == sorted(
        one.due_s for one in planned
    )
    tags = {one.tag for one in planned}
    assert len(tags) == len(planned)
    if paired:
        direct = {one.tag for one in planned if one.path == 'direct'}
        assert {f'{tag}-d' for tag in tags - direct} == direct


@pytest.mark.parametrize('kind', ArrivalKind)
def test_arrivals_have_the_rate_and_shares(kind: ArrivalKind) -> None:
    """A wrong rate or profile mix would falsify all figures of a run."""
    series = arrivals(PLAN, 200, kind, seed=3)
    drawn = [next(series) for _ in range(4000)]
    assert 18.5 < drawn[-1].due_s < 21.5
    readers = sum(one.profile.name == 'readers' for one in drawn)
    assert 2850 < readers < 3150


@pytest.mark.parametrize('name', ['agency-load.ini', 'hanbit-load.ini'])
def test_shipped_plans_are_valid(name: str) -> None:
    """Guards against shipped plans that are invalid or lack tokens."""
    plan = parse_plan((EXAMPLES / name).read_text(), name)
    assert sum(profile.keyed for profile in plan.profiles) == 2
    assert all(profile.token for profile in plan.profiles)


@pytest.mark.parametrize(
    ('text', 'named'),
    [
        ('', 'no section'),
        ('[caller x]\ntargets=/a', 'caller x'),
        ('[profile x]\ntargets=/a\nshare=-1', 'share'),
        ('[profile x]\ntargets=/a\nsahre=1', 'sahre'),
        ('[profile x]\ntargets=/a\nkeyed=maybe', 'keyed'),
        ('[profile x]\nmethod=GET', 'targets'),
        ('[profile x]\ntargets=a', 'targets'),
        ('broken', 'broken'),
    ],
)
def test_bad_plan_names_the_place(text: str, named: str) -> None:
    """The error must name the section or key that is wrong."""
    with pytest.raises(FailureError, match=named):
        parse_plan(text, 'plan.ini')


def test_all_answers_are_checked_and_counted() -> None:
    """Each scheduled request must end in exactly one result."""
    network = PipeNetwork()
    ended: list[Ended] = []
    report = _run(
        network, entrances=(_fleet(network, 0.01),), on_end=ended.append
    )
    assert _completed(report) == report.sent
    assert len({one.tag for one in ended}) == report.sent
    assert report.sent > 30
    assert (report.hung, report.wrong, report.untagged) == (0, 0, 0)
    assert 9 <= report.priorities['waiting'].p50_ms <= 14
    assert as_json(report)
    assert 'readers' in as_text(report)


def test_hung_requests_do_not_slow_the_schedule() -> None:
    """Guards against a closed loop, which sends less while requests hang."""
    network = PipeNetwork()
    report = _run(network, entrances=(_fleet(network, 1000),))
    assert report.hung > 30
    assert report.hung == report.sent


def test_latency_counts_from_the_schedule() -> None:
    """A stalled tool must report latency and scheduling lag, not hide both."""
    network = PipeNetwork()
    report = _run(network, step=0.1, entrances=(_fleet(network, 0),), rate=100)
    assert report.lag.p50_ms > 30
    assert report.priorities['waiting'].p50_ms >= report.lag.p50_ms


def test_added_time_is_that_of_the_fleet() -> None:
    """The difference of a pair must not include the service time."""
    network = PipeNetwork()
    ingress, direct = _fleet(network, 0.03), _fleet(network, 0.01)
    report = _run(network, entrances=(ingress,), direct=(direct,))
    assert report.added is not None
    assert report.added.paired.count == report.sent / 2
    assert 18 <= report.added.paired.p50_ms <= 22
    assert 18 <= report.added.p50_ms <= 22
    assert not report.added.negative


def test_faster_fleet_counts_as_negative() -> None:
    """A difference with the wrong sign would turn a gain into a loss."""
    network = PipeNetwork()
    ingress, direct = _fleet(network, 0.01), _fleet(network, 0.03)
    report = _run(network, entrances=(ingress,), direct=(direct,))
    assert report.added is not None
    assert report.added.negative == report.sent / 2
    assert report.added.p50_ms < -18


@pytest.mark.parametrize('kind', WrongKind)
def test_wrong_answers_are_found(kind: WrongKind) -> None:
    """A response for another request or a truncated one must not pass."""
    network = PipeNetwork()
    upstream = Upstream(
        UpstreamSettings('u', 's', capacity=Capacity(slots=50, median_ms=1)),
        network,
    )
    upstream.start()
    upstream.order(FaultOrder(wrong=1, wrong_kinds=(kind,)))
    ended: list[Ended] = []
    _run(
        network,
        entrances=(_fleet(network, 0),),
        direct=(upstream.address,),
        on_end=ended.append,
    )
    results = {one.outcome for one in ended if one.path == 'direct'}
    cut_off = kind is WrongKind.truncated
    assert results == {Result.lost if cut_off else Result.wrong}


@pytest.mark.parametrize(
    ('status', 'outcome', 'result', 'reason'),
    [
        (503, 'not-run', Result.not_run, 'overloaded'),
        (504, 'unknown', Result.unknown, 'deadline'),
        (500, 'completed', Result.failed, 'status 500'),
        (200, '', Result.untagged, 'status 200'),
        (200, 'completed', Result.wrong, 'other tag in header'),
    ],
)
def test_outcome_headers_decide(
    status: int, outcome: str, result: Result, reason: str
) -> None:
    """A not-run or unknown request must not count as completed."""
    arrival = next(arrivals(PLAN, 1, ArrivalKind.constant, 0))
    head = f'HTTP/1.1 {status} x\r\nGreengage-Outcome: {outcome}'
    if outcome in {'not-run', 'unknown'}:
        head += f'\r\nGreengage-Reason: {reason}'
    answer = Answer(status, head.encode(), b'')
    planned = Planned(0, 'fleet', 't', arrival)
    assert classify(planned, answer) == (result, reason)


@settings(derandomize=True, deadline=None)
@given(
    body=st.binary(max_size=60),
    cuts=st.lists(st.integers(1, 30), min_size=1, max_size=9),
    is_head=st.booleans(),
)
def test_answer_survives_any_split(
    body: bytes, cuts: list[int], is_head: bool
) -> None:
    """A cut at any byte must not lose, alter or repeat an answer."""
    pool = Pool('127.0.0.1:1', PipeNetwork())
    connection = Connection(pool)
    connection.makeConnection(_Transport())
    wire = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    wire += b'' if is_head else body
    got: list[Answer | Lost] = []
    for _ in range(2):
        pool.ask(Exchange(b'', is_head, got.append))
        start = 0
        for cut in cuts * len(wire):
            piece = wire[start : start + cut]
            start += cut
            if piece:
                connection.dataReceived(piece)
    wanted = b'' if is_head else body
    assert [one.body for one in got if isinstance(one, Answer)] == [
        wanted,
        wanted,
    ]


def test_lost_connections_are_told_apart() -> None:
    """A refused connection must not count as a lost one, which may have run."""
    network = PipeNetwork()
    got: list[Answer | Lost] = []
    Pool('127.0.0.1:99', network).ask(Exchange(b'', False, got.append))
    network.run(0.01)
    pool = Pool('127.0.0.1:1', network)
    for received in (b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab', b''):
        connection = Connection(pool)
        connection.makeConnection(_Transport())
        pool.ask(Exchange(b'', False, got.append))
        connection.dataReceived(received)
        connection.connectionLost()
    assert got == [Lost.refused, Lost.connection, Lost.connection]


def test_abandoned_request_is_not_sent_later() -> None:
    """An abandoned request must not be sent once a connection opens."""
    pool = Pool('127.0.0.1:1', MemoryReactorClock())
    abandoned = Exchange(b'old', False, bool)
    pool.ask(abandoned)
    abandoned.abandon()
    pool.ask(Exchange(b'new', False, bool))
    connection, transport = Connection(pool), _Transport()
    connection.makeConnection(transport)
    assert transport.value() == b'new'


class _Transport(StringTransport):
    def setTcpNoDelay(self, _enabled: bool) -> None:
        pass
