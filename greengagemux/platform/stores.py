"""Client of the platform's metadata store, which serves as the daemon's log."""

from base64 import b64decode
from collections.abc import Mapping
from dataclasses import replace
from datetime import timedelta
from struct import Struct
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import quote

import msgspec

from .. import approvals, discoveries
from ..departures import records as departures
from ..effects import AppendLog, ReadLog
from ..events import LogAppended, LogRead, LogRecord
from ..ids import LogOffset
from ..logclients import RESPONSE_TIMEOUT, LogClient, StatusError

#: Topic of each stream; a topic retains the newest record of each key.
TOPICS: Final = MappingProxyType(
    {
        approvals.STREAM: 'keyed.op',
        discoveries.STREAM: 'keyed.greengagemux-members',
        departures.STREAM: 'keyed.greengagemux-departures',
    }
)
#: The only key read from a stream; other streams are read whole.
KEY_FILTERS: Final = MappingProxyType({approvals.STREAM: 'config'})

#: Most that one read returns of a stream, in KiB; the store's default elsewhere.
READ_LIMITS_KB: Final = MappingProxyType({discoveries.STREAM: 2})

#: Time limit of a long-poll read beyond its wait time. A store that has
#: restarted may never respond on its old connections.
READ_MARGIN: Final = timedelta(seconds=1.5)

#: How often the store has come back from a copy, in each response.
STORE_ERA: Final = b'Store-Era'

_GONE: Final = 410
_LENGTH: Final = Struct('>I')
#: Header of a read response: end of the partition, first retained offset.
_HEADER: Final = Struct('>QQ')


class _Item(msgspec.Struct, frozen=True):
    key: str
    #: Content in base64; missing if the key was deleted.
    value: str | None = None
    offset: int = 0


class _NewestPage(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...] = ()
    #: Whether there are more keys; the next page begins after the last one.
    more: bool = False
    #: Offset of the next record to be appended.
    end: int = 0


class _Receipt(msgspec.Struct, frozen=True):
    offset: int


_page_decoder: Final = msgspec.json.Decoder(_NewestPage)
_receipt_decoder: Final = msgspec.json.Decoder(_Receipt)


class StoreClient(LogClient):
    """Carries out reads and appends of the streams kept in the store."""

    #: Partition of each stream that has more than one; the first one elsewhere.
    partitions: Mapping[str, int] = MappingProxyType({})

    async def _read_page(self, effect: ReadLog) -> LogRead:
        if not effect.start:
            return await self._newest(effect)
        wait_ms = int(effect.wait.total_seconds() * 1000)
        query = f'{self._partition(effect.stream)}&from={effect.start}'
        query = f'{query}&wait_ms={wait_ms}'
        limit_kb = READ_LIMITS_KB.get(effect.stream)
        if limit_kb:
            query = f'{query}&max_kb={limit_kb}'
        try:
            reply = await self._call(
                b'GET',
                f'{self._url}/api/log-read?{query}',
                None,
                effect.wait + (effect.timeout or READ_MARGIN),
            )
        except StatusError as error:
            if error.status != _GONE:
                raise
            # Records from this offset on have been compacted away or lost,
            # but the newest record of each key is still there.
            return await self._newest(effect)
        if reply.restores != effect.restores:
            # The offset is one of the history that the store has lost.
            return await self._newest(effect)
        return replace(
            _decode_read(effect, reply.body), restores=reply.restores
        )

    async def _newest(self, effect: ReadLog) -> LogRead:
        records: list[LogRecord] = []
        end = 0
        after = ''
        restores: int | None = None
        while True:
            query = self._partition(effect.stream)
            if after:
                query = f'{query}&after={quote(after, safe="")}'
            reply = await self._call(
                b'GET',
                f'{self._url}/api/log-newest?{query}',
                None,
                effect.timeout or RESPONSE_TIMEOUT,
            )
            if after and reply.restores != restores:
                # The pages before this one are of another history.
                return await self._newest(effect)
            restores = reply.restores
            # A key of another writer may not be text.
            page = _page_decoder.decode(reply.body.decode('utf-8', 'replace'))
            end = end or page.end
            records += _newest_records(effect.stream, page.items)
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        return LogRead(
            stream=effect.stream,
            first=LogOffset(0),
            following=LogOffset(end),
            records=tuple(records),
            restores=restores,
        )

    async def _append_record(self, effect: AppendLog) -> LogAppended:
        key = effect.key.encode()
        content = bytes((len(key),)) + key + effect.payload
        record = _LENGTH.pack(len(content)) + content
        partition = self._partition(effect.stream)
        reply = await self._call(
            b'POST',
            f'{self._url}/api/log-append?{partition}',
            record,
            effect.timeout or RESPONSE_TIMEOUT,
        )
        offset = LogOffset(_receipt_decoder.decode(reply.body).offset)
        return LogAppended(
            effect.stream, offset, effect.payload, reply.restores
        )

    def _partition(self, stream: str) -> str:
        """Return the part of a query that names the partition of a stream."""
        part = self.partitions.get(stream, 0)
        return f'topic={TOPICS[stream]}&part={part}'

    def _restores_of(self, response: Any) -> int | None:
        eras = response.headers.getRawHeaders(STORE_ERA) or []
        return int(eras[0]) if eras and eras[0].isdigit() else None


def _newest_records(stream: str, items: tuple[_Item, ...]) -> list[LogRecord]:
    wanted_key = KEY_FILTERS.get(stream)
    return [
        LogRecord(LogOffset(item.offset), b64decode(item.value), item.key)
        for item in items
        if item.value is not None and wanted_key in {None, item.key}
    ]


def _decode_read(effect: ReadLog, body: bytes) -> LogRead:
    """Decode a read response.

    After the header, each record is its length (32 bits), the length of its
    key (8 bits), the key and the value. Raises ``ValueError`` for a truncated
    response.
    """
    if len(body) < _HEADER.size:
        raise ValueError('response truncated within its header')
    _end, first = _HEADER.unpack_from(body)
    wanted_key = KEY_FILTERS.get(effect.stream)
    offset = int(effect.start)
    records: list[LogRecord] = []
    for content in _split_records(body):
        key_end = 1 + content[0] if content else 0
        key = content[1:key_end].decode('utf-8', 'replace')
        if wanted_key in {None, key}:
            record = LogRecord(LogOffset(offset), content[key_end:], key)
            records.append(record)
        offset += 1
    return LogRead(
        stream=effect.stream,
        first=LogOffset(first),
        following=LogOffset(offset),
        records=tuple(records),
    )


def _split_records(body: bytes) -> list[bytes]:
    position = _HEADER.size
    records: list[bytes] = []
    while position < len(body):
        if position + _LENGTH.size > len(body):
            raise ValueError('response truncated within a record length')
        length = _LENGTH.unpack_from(body, position)[0]
        position += _LENGTH.size
        if position + length > len(body):
            raise ValueError('response truncated within a record')
        records.append(body[position : position + length])
        position += length
    return records
