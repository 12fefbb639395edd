"""Guards against upstreams that send bytes without end."""

import gc
import os
import time
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from itertools import count
from pathlib import Path
from typing import Any

import pytest
from endless_upstreams import (
    FAST,
    FORMS,
    HELD,
    SLOW,
    WHOLE,
    EndlessUpstream,
)
from sockets import CONDITION_TIMEOUT_S, reactor, run_reactor_until, turn
from twisted.internet.defer import Deferred

from greengagemux.connections import (
    PROBE_TIMEOUT_S,
    UpstreamCalls,
    UpstreamConnection,
)
from greengagemux.effects import CallUpstream, ProbeUpstream
from greengagemux.events import (
    CallFault,
    Event,
    Probed,
    UpstreamAnswered,
    UpstreamFailed,
)
from greengagemux.ids import CallId, UpstreamId
from greengagemux.logclients import build_agent
from greengagemux.platform.exchanges import PlatformCalls
from greengagemux.platform.stores import StoreClient

#: Time limit of a call, after which the egress aborts it.
DEADLINE_S = 0.8
#: Processor time of one turn of the reactor. A call beside the endless bytes
#: takes about five turns, and time limits on the platform are at least 400 ms.
TURN_LIMIT_S = 0.4 / 5
#: Connections that send without end at the same time.
CONNECTIONS = 4
#: Body in chunks of one byte that takes more than one turn to parse.
SLOW_TO_PARSE_BYTES = 5000
#: Slots of a large upstream.
MANY_CONNECTIONS = 40
ANSWER_LIMIT_BYTES = 1024 * 1024
#: Four bodies at their limit, several times over for copies and parts.
MEMORY_LIMIT_BYTES = 64 * 1024 * 1024
#: Time limit of a call of the store.
STORE_LIMIT = timedelta(seconds=2)
#: Time for the upstream to notice a closed connection.
CLOSE_LIMIT_S = 1.0


class _Caller:
    """Calls to one upstream, and the events they ended with."""

    def __init__(self, upstream: EndlessUpstream, calls: type) -> None:
        self.upstream = upstream
        self.events: dict[CallId, UpstreamAnswered | UpstreamFailed] = {}
        self.probed: list[Probed] = []
        self.calls: UpstreamCalls = calls(reactor, self._submit)
        self._numbers = count(1)
        self._resident_bytes = _resident_bytes()
        self.longest_turn_s = float(0)

    def call(self, target: str, *, fresh: bool = True) -> CallId:
        call = CallId(next(self._numbers))
        self.calls.call(
            CallUpstream(
                call=call,
                address=self.upstream.address,
                method=b'CONNECT' if 'tunnel' in target else b'POST',
                target=target.encode(),
                headers=(),
                body=b'' if 'tunnel' in target else b'body',
                limit_bytes=ANSWER_LIMIT_BYTES,
                fresh=fresh,
                upstream=UpstreamId('u0'),
                tag=f'r-{call}',
            )
        )
        return call

    def run(self) -> None:
        """Run the reactor once; fail if memory has grown above the limit."""
        # Unlike elapsed time, it leaves out waits on a busy machine.
        started_s = time.thread_time()
        reactor.iterate(0.001)
        turn_s = time.thread_time() - started_s
        self.longest_turn_s = max(self.longest_turn_s, turn_s)
        grown_bytes = _resident_bytes() - self._resident_bytes
        assert grown_bytes < MEMORY_LIMIT_BYTES, grown_bytes

    def call_other(self, *, fresh: bool = True) -> None:
        """Carry out a call beside the endless bytes."""
        started_s = time.monotonic()
        call = self.call('/fast/ok', fresh=fresh)
        while call not in self.events:
            assert time.monotonic() - started_s < CONDITION_TIMEOUT_S
            self.run()
        assert isinstance(self.events[call], UpstreamAnswered)

    def _submit(self, event: Event) -> None:
        if isinstance(event, Probed):
            self.probed.append(event)
        if isinstance(event, UpstreamAnswered | UpstreamFailed):
            assert event.call not in self.events
            self.events[event.call] = event


def _resident_bytes() -> int:
    pages = Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


@pytest.fixture(autouse=True)
def _collections_off() -> Iterator[None]:
    """Full collections of the test process take 60 ms; daemons have them off."""
    gc.collect()
    gc.freeze()
    gc.disable()
    yield
    gc.enable()
    gc.unfreeze()


@pytest.fixture(name='upstream')
def _upstream() -> Iterator[EndlessUpstream]:
    instance = EndlessUpstream()
    yield instance
    instance.close()
    turn()


@pytest.mark.parametrize(
    ('kind', 'form'),
    [(PlatformCalls, form) for form in FORMS]
    # Without the platform's headers no answer is that of another request.
    + [(UpstreamCalls, form) for form in FORMS if 'other' not in form],
)
def test_endless_bytes_neither_block_other_calls_nor_fill_memory(
    upstream: EndlessUpstream, kind: type, form: str
) -> None:
    """Their own call must not get them as an answer, nor count as not sent."""
    caller = _Caller(upstream, kind)
    until_s = time.monotonic() + DEADLINE_S
    calls = [
        caller.call(f'/{form}/{FAST}', fresh=False) for _ in range(CONNECTIONS)
    ]
    while time.monotonic() < until_s:
        caller.call_other()
    for call in calls:
        event = caller.events.get(call)
        if isinstance(event, UpstreamAnswered):
            assert form in WHOLE
            assert event.body == b'ok'
        if isinstance(event, UpstreamFailed):
            assert event.sent
        caller.calls.abort(call)
    limit_s = time.monotonic() + CLOSE_LIMIT_S
    while not upstream.has_ended(form, CONNECTIONS):
        assert time.monotonic() < limit_s
        caller.run()
    caller.call_other(fresh=False)
    assert caller.longest_turn_s < TURN_LIMIT_S
    caller.calls.drop(upstream.address)


def test_many_slow_to_parse_responses_share_their_time(
    upstream: EndlessUpstream,
) -> None:
    """Guards against turns that grow with the number of such responses."""
    form = 'small-chunks'
    caller = _Caller(upstream, PlatformCalls)
    until_s = time.monotonic() + DEADLINE_S
    calls = [caller.call(f'/{form}/{FAST}') for _ in range(MANY_CONNECTIONS)]
    upstream.wait_started(form, MANY_CONNECTIONS)
    caller.run()
    caller.longest_turn_s = 0
    while time.monotonic() < until_s:
        caller.call_other()
    for call in calls:
        caller.calls.abort(call)
    run_reactor_until(lambda: upstream.has_ended(form, MANY_CONNECTIONS))
    assert caller.longest_turn_s < TURN_LIMIT_S


def test_exception_in_one_parse_turn_stops_no_other(
    upstream: EndlessUpstream, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other responses that are slow to parse must still be read."""
    collect = UpstreamConnection._collect
    broken: list[UpstreamConnection] = []
    read_after: Counter[UpstreamConnection] = Counter()

    def raise_once(
        connection: UpstreamConnection, exchange: Any, chunk: bytes
    ) -> None:
        if not broken and exchange.size_bytes > SLOW_TO_PARSE_BYTES:
            broken.append(connection)
            raise RuntimeError('broken')
        read_after[connection] += len(broken)
        collect(connection, exchange, chunk)

    monkeypatch.setattr(UpstreamConnection, '_collect', raise_once)
    caller = _Caller(upstream, PlatformCalls)
    calls = [caller.call(f'/small-chunks/{FAST}') for _ in range(CONNECTIONS)]
    until_s = time.monotonic() + CONDITION_TIMEOUT_S
    least_bytes = 0
    while not caller.events or least_bytes < SLOW_TO_PARSE_BYTES:
        assert time.monotonic() < until_s, (caller.events, least_bytes)
        caller.run()
        others = [read_after[each] for each in read_after if each not in broken]
        least_bytes = min(others) if len(others) == CONNECTIONS - 1 else 0
    assert [type(each) for each in caller.events.values()] == [UpstreamFailed]
    for call in calls:
        caller.calls.abort(call)


@pytest.mark.parametrize('form', ['close-delimited', 'large-chunks'])
def test_bodies_that_do_not_end_fill_no_memory(
    upstream: EndlessUpstream, form: str
) -> None:
    """Guards against the sum of bodies that stay below their limit.

    Some calls fail for it; the others go on.
    """
    caller = _Caller(upstream, PlatformCalls)
    calls = [
        caller.call(f'/{form}/{HELD}') for _ in range(2 * MANY_CONNECTIONS)
    ]
    until_s = time.monotonic() + CONDITION_TIMEOUT_S
    while len(caller.events) < MANY_CONNECTIONS:
        assert time.monotonic() < until_s
        caller.run()
    failed = [caller.events[each] for each in calls if each in caller.events]
    assert len(failed) < len(calls)
    for event in failed:
        assert isinstance(event, UpstreamFailed)
        assert (event.fault, event.sent) == (CallFault.too_large, True)
    caller.call_other()
    for call in calls:
        caller.calls.abort(call)
    run_reactor_until(lambda: upstream.has_ended(form, len(calls)))
    assert not caller.calls.held_bytes


@pytest.mark.parametrize(
    ('form', 'pace'),
    [
        ('informational', FAST),
        ('early-hints', FAST),
        ('other-answers', FAST),
        ('other-bodies', FAST),
        ('other-chunked', FAST),
        ('tunnel', SLOW),
        ('garbage', SLOW),
    ],
)
def test_endless_bytes_are_not_read_up_to_the_deadline(
    upstream: EndlessUpstream, form: str, pace: str
) -> None:
    """Bytes that cannot become an answer must end their call at once."""
    caller = _Caller(upstream, PlatformCalls)
    until_s = time.monotonic() + DEADLINE_S
    call = caller.call(f'/{form}/{pace}')
    while call not in caller.events:
        assert time.monotonic() < until_s
        caller.run()
    event = caller.events[call]
    assert isinstance(event, UpstreamFailed)
    assert (event.fault, event.sent) == (CallFault.malformed, True)
    run_reactor_until(lambda: upstream.has_ended(form))


@pytest.mark.parametrize('form', FORMS)
def test_probe_of_endless_bytes_ends(
    upstream: EndlessUpstream, form: str
) -> None:
    """A probe must end in time, and close its connection."""
    caller = _Caller(upstream, PlatformCalls)
    until_s = time.monotonic() + PROBE_TIMEOUT_S + CLOSE_LIMIT_S
    caller.calls.probe(
        ProbeUpstream(UpstreamId('u0'), upstream.address, f'/{form}/{FAST}')
    )
    while not (caller.probed and upstream.has_ended(form)):
        assert time.monotonic() < until_s
        caller.run()
    assert len(caller.probed) == 1
    assert not caller.probed[0].refused


@pytest.mark.parametrize('form', FORMS)
def test_endless_bytes_of_the_store_fill_no_memory(
    upstream: EndlessUpstream, form: str
) -> None:
    """Guards the client of the store, which has a parser of its own."""
    url = f'http://{upstream.address}'
    client = StoreClient(build_agent(reactor), reactor, url, [].append)
    ended: list[object] = []
    call = client._call(b'GET', f'{url}/{form}/{FAST}', None, STORE_LIMIT)
    Deferred.fromCoroutine(call).addBoth(ended.append)
    resident_bytes = _resident_bytes()
    limit_s = time.monotonic() + STORE_LIMIT.total_seconds() + CLOSE_LIMIT_S
    while not (ended and upstream.has_ended(form)):
        assert time.monotonic() < limit_s
        reactor.iterate(0.001)
        assert _resident_bytes() - resident_bytes < MEMORY_LIMIT_BYTES
    assert len(ended) == 1
