"""Log client: each response, valid or not, must give exactly one event."""

import json
from base64 import b64encode
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from greengagemux import logclients
from greengagemux.clocks import ms
from greengagemux.effects import AppendLog, ReadLog
from greengagemux.events import LogAppended, LogFailed, LogRead, LogRecord
from greengagemux.outcomes import Step

READ = ReadLog('notes', 3, ms(2000))
APPEND = AppendLog('notes', b'x')


class FakeAgent:
    """Returns a Deferred for each request, which the test fires."""

    def __init__(self) -> None:
        """Start without requests."""
        self.requests: list[tuple[bytes, bytes]] = []
        self.responses: list[Deferred] = []

    def request(self, method, uri, headers, body) -> Deferred:
        """Record the request."""
        self.requests.append((method, uri))
        self.responses.append(Deferred())
        return self.responses[-1]


class FakeResponse:
    """Delivers a complete or a partial body."""

    def __init__(self, body: bytes, code: int = 200, end=ResponseDone) -> None:
        """Set up the response; ``end`` is why its body ends, or ``None``."""
        self.code = code
        self.body = body
        self.end = end
        self.aborted = False

    def deliverBody(self, protocol) -> None:  # noqa: N802
        """Deliver the body at once."""
        protocol.transport = SimpleNamespace(loseConnection=self.abort)
        protocol.dataReceived(self.body)
        if self.end:
            protocol.connectionLost(Failure(self.end()))

    def abort(self) -> None:
        """Record that the connection was closed."""
        self.aborted = True


class ClientBench:
    """A client with its fakes."""

    def __init__(self) -> None:
        """Connect the fakes."""
        self.agent = FakeAgent()
        self.clock = Clock()
        self.events = []
        self.client = logclients.LogClient(
            self.agent,
            self.clock,
            'http://log/',
            self.events.append,
        )

    def respond(self, body: object, **options) -> FakeResponse:
        """Respond to the newest request."""
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        response = FakeResponse(raw, **options)
        self.agent.responses[-1].callback(response)
        return response


def page(first: int, following: int, *offsets: int) -> dict:
    """Return the JSON body of a read."""
    records = [
        {'offset': offset, 'data': b64encode(b'\0x').decode()}
        for offset in offsets
    ]
    return {'first': first, 'next': following, 'records': records}


def test_read() -> None:
    """Guards against lost records and concurrent reads of one stream."""
    bench = ClientBench()
    bench.client.read(READ)
    bench.client.read(READ)
    assert bench.agent.requests == [
        (b'GET', b'http://log/streams/notes?from=3&limit=32&wait_ms=2000'),
    ]
    bench.respond(page(2, 5, 3, 4))
    records = (LogRecord(3, b'\0x'), LogRecord(4, b'\0x'))
    assert bench.events == [LogRead('notes', 2, 5, records)]
    bench.client.read(READ)
    bench.respond(page(9, 9))
    assert bench.events[1:] == [LogRead('notes', 9, 9, ())]


@pytest.mark.parametrize(
    ('body', 'how'),
    [
        (b'{', {}),
        (b'\xff', {}),
        ({}, {}),
        (page(0, 5, 3), {}),
        (page(0, 6, 3, 5), {}),
        (page(4, 5, 3, 4), {}),
        (page(0, 3, 2), {}),
        (page(-1, 4, 3), {}),
        ({'first': 0, 'next': 4, 'records': [{'offset': 3, 'data': '*'}]}, {}),
        (page(0, 4, 3), {'code': 503}),
        (b'{"first": 0,', {'end': PotentialDataLoss}),
        (page(0, 4, 3), {'end': ConnectionError}),
    ],
)
def test_invalid_response(body: object, how: dict) -> None:
    """Guards against an invalid response that is accepted or ends polling."""
    bench = ClientBench()
    bench.client.read(READ)
    bench.respond(body, **how)
    assert len(bench.events) == 1
    event = bench.events[0]
    assert isinstance(event, LogFailed)
    assert (event.failure.step, event.failure.peer) == (Step.log, 'http://log')
    bench.client.read(READ)
    assert len(bench.agent.requests) == 2


def test_response_timeout() -> None:
    """Guards against a read that never ends, before or within its body."""
    bench = ClientBench()
    bench.client.read(READ)
    bench.clock.advance(6)
    assert not bench.events
    bench.clock.advance(2)
    assert 'TimeoutError' in bench.events[0].failure.detail
    bench.client.read(READ)
    response = bench.respond(b'{', end=None)
    bench.clock.advance(8)
    assert len(bench.events) == 2
    assert response.aborted


def test_body_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a large body that fills the memory or blocks the stream.

    After it the stream must be read one record at a time.
    """
    monkeypatch.setattr(logclients, 'BODY_LIMIT_BYTES', 9)
    bench = ClientBench()
    bench.client.read(READ)
    response = bench.respond(b' ' * 10, end=None)
    assert response.aborted
    assert 'above 9 bytes' in bench.events[0].failure.detail
    bench.client.read(READ)
    assert b'limit=1&' in bench.agent.requests[1][1]


def test_append() -> None:
    """Guards against an append reported as not done, though it may be."""
    bench = ClientBench()
    for _ in range(3):
        bench.client.append(APPEND)
    bench.agent.responses[0].callback(FakeResponse(b'{"offset": 7}', 201))
    bench.agent.responses[1].errback(Refused())
    bench.clock.advance(6)
    appended, refused, silent = bench.events
    assert appended == LogAppended('notes', 7, b'x')
    assert 'not sent' in refused.failure.detail
    assert 'may have taken effect' in silent.failure.detail
    assert refused.payload == silent.payload == b'x'
