"""The platform's metadata store as the log of the project."""

from base64 import b64decode
from datetime import timedelta
from struct import Struct
from types import MappingProxyType
from typing import Final
from urllib.parse import quote

import msgspec

from .. import approvals, discoveries
from ..effects import AppendLog, ReadLog
from ..events import LogAppended, LogRead, LogRecord
from ..ids import LogOffset
from ..logclients import REPLY_LIMIT, LogClient, StatusError

#: Topics that keep the newest record of each key, by stream.
TOPICS: Final = MappingProxyType(
    {
        approvals.STREAM: 'keyed.op',
        discoveries.STREAM: 'keyed.greengagemux-members',
    }
)
#: Keys that are read of a stream; all of the others.
KEYS: Final = MappingProxyType({approvals.STREAM: 'config'})

#: A read that is not answered this long after its wait is given up: the store
#: may have come back without the connections it had.
READ_MARGIN: Final = timedelta(seconds=1.5)

_GONE: Final = 410
_LENGTH: Final = Struct('>I')
#: End of the partition and first retained offset.
_HEAD: Final = Struct('>QQ')


class _Item(msgspec.Struct, frozen=True):
    key: str
    #: Content in base64, missing for a key that was taken away.
    value: str | None = None
    offset: int = 0


class _Newest(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...] = ()
    #: Whether further keys follow; the next page begins after the last key.
    more: bool = False
    #: Offset that the next record will get.
    end: int = 0


class _Receipt(msgspec.Struct, frozen=True):
    offset: int


_newest: Final = msgspec.json.Decoder(_Newest)
_receipts: Final = msgspec.json.Decoder(_Receipt)


class StoreClient(LogClient):
    """Reads and appends of the streams that are kept in the store."""

    async def _page(self, effect: ReadLog) -> LogRead:
        topic = TOPICS[effect.stream]
        if not effect.start:
            return await self._newest(effect, topic)
        wait_ms = int(effect.wait.total_seconds() * 1000)
        query = f'topic={topic}&part=0&from={effect.start}&wait_ms={wait_ms}'
        try:
            body = await self._call(
                b'GET',
                f'{self._url}/api/log-read?{query}',
                None,
                effect.wait + READ_MARGIN,
            )
        except StatusError as error:
            if error.status != _GONE:
                raise
            # The records in between are gone; the newest ones are kept.
            return await self._newest(effect, topic)
        return _read(effect, body)

    async def _newest(self, effect: ReadLog, topic: str) -> LogRead:
        records: list[LogRecord] = []
        end = 0
        after = ''
        while True:
            query = f'topic={topic}&part=0'
            if after:
                query = f'{query}&after={quote(after, safe="")}'
            body = await self._call(
                b'GET',
                f'{self._url}/api/log-newest?{query}',
                None,
                REPLY_LIMIT,
            )
            page = _newest.decode(body)
            end = end or page.end
            records += _records(effect.stream, page.items)
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        return LogRead(
            stream=effect.stream,
            first=LogOffset(0),
            following=LogOffset(end),
            records=tuple(records),
        )

    async def _receipt(self, effect: AppendLog) -> LogAppended:
        key = effect.key.encode()
        content = bytes((len(key),)) + key + effect.payload
        record = _LENGTH.pack(len(content)) + content
        topic = TOPICS[effect.stream]
        body = await self._call(
            b'POST',
            f'{self._url}/api/log-append?topic={topic}&part=0',
            record,
            REPLY_LIMIT,
        )
        offset = LogOffset(_receipts.decode(body).offset)
        return LogAppended(effect.stream, offset, effect.payload)


def _records(stream: str, items: tuple[_Item, ...]) -> list[LogRecord]:
    wanted = KEYS.get(stream)
    return [
        LogRecord(LogOffset(item.offset), b64decode(item.value), item.key)
        for item in items
        if item.value is not None and wanted in {None, item.key}
    ]


def _read(effect: ReadLog, body: bytes) -> LogRead:
    """Decode raw records: each is a length, the key with its length, a value.

    Raises ``ValueError`` for a truncated reply.
    """
    if len(body) < _HEAD.size:
        raise ValueError('reply without offsets')
    _end, first = _HEAD.unpack_from(body)
    wanted = KEYS.get(effect.stream)
    offset = int(effect.start)
    records: list[LogRecord] = []
    for content in _contents(body):
        key_end = 1 + content[0] if content else 0
        key = content[1:key_end].decode('utf-8', 'replace')
        if wanted in {None, key}:
            record = LogRecord(LogOffset(offset), content[key_end:], key)
            records.append(record)
        offset += 1
    return LogRead(
        stream=effect.stream,
        first=LogOffset(first),
        following=LogOffset(offset),
        records=tuple(records),
    )


def _contents(body: bytes) -> list[bytes]:
    place = _HEAD.size
    found: list[bytes] = []
    while place < len(body):
        if place + _LENGTH.size > len(body):
            raise ValueError('reply ends within a length')
        length = _LENGTH.unpack_from(body, place)[0]
        place += _LENGTH.size
        if place + length > len(body):
            raise ValueError('reply ends within a record')
        found.append(body[place : place + length])
        place += length
    return found
