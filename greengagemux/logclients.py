"""Client of the platform's log."""

import base64
from collections.abc import Callable
from typing import Any, Final

import msgspec
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from .clocks import in_ms
from .effects import AppendLog, ReadLog
from .events import Event, LogFailed, LogRead, LogRecord
from .ids import LogOffset
from .outcomes import Failure, Step

CONNECT_TIMEOUT_S: Final = 2
READ_LIMIT: Final = 64

Submit = Callable[[Event], None]


class _Record(msgspec.Struct):
    offset: int
    data: str


class _Read(msgspec.Struct):
    first: int
    next: int
    records: list[_Record]


class LogClient:
    """Carries out reads and appends; results are events."""

    def __init__(self, url: str, reactor: Any, submit: Submit) -> None:
        """Results are reported through ``submit``."""
        self._url = url
        self._submit = submit
        self._agent = Agent(
            reactor,
            connectTimeout=CONNECT_TIMEOUT_S,
            pool=HTTPConnectionPool(reactor),
        )

    def read(self, effect: ReadLog) -> None:
        """Read a stream."""
        query = f'from={effect.start}&limit={READ_LIMIT}'
        query = f'{query}&wait_ms={int(in_ms(effect.wait))}'
        url = f'{self._url}/streams/{effect.stream}?{query}'
        done = self._agent.request(b'GET', url.encode())
        done.addCallback(readBody)
        done.addCallback(self._was_read, effect)
        done.addErrback(self._failed, effect.stream, None)

    def append(self, effect: AppendLog) -> None:
        """Append a record."""
        self._failed(None, effect.stream, effect.payload)

    def _was_read(self, body: bytes, effect: ReadLog) -> None:
        read = msgspec.json.decode(body, type=_Read)
        records = tuple(
            LogRecord(LogOffset(each.offset), base64.b64decode(each.data))
            for each in read.records
        )
        self._submit(
            LogRead(
                effect.stream,
                LogOffset(read.first),
                LogOffset(read.next),
                records,
            )
        )

    def _failed(self, reason: Any, stream: str, payload: bytes | None) -> None:
        failure = Failure(Step.log, self._url, str(reason))
        self._submit(LogFailed(stream, failure, payload))
