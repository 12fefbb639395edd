"""The platform's metadata store: keyed topics with one partition each."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from .http1 import HttpServer, Reply

_JSON = {'Content-Type': 'application/json'}


class Store:
    """Appends, long polls and newest records by key; nothing expires."""

    def __init__(self):
        self._topics = {}
        self._changed = asyncio.Condition()
        self.server = HttpServer(self._handle)

    async def put(self, topic, key, value):
        """Append a record as the operator does."""
        name = key.encode()
        async with self._changed:
            records = self._topics.setdefault(topic, [])
            records.append(bytes((len(name),)) + name + value)
            self._changed.notify_all()

    async def _handle(self, request):
        parts = urlsplit(request.target)
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        if parts.path == '/api/log-append':
            return await self._append(query, request.body)
        if parts.path == '/api/log-read':
            return await self._read(query)
        if parts.path == '/api/log-newest':
            return self._newest(query)
        return Reply(404, _JSON, b'{}')

    async def _append(self, query, body):
        async with self._changed:
            records = self._topics.setdefault(query['topic'], [])
            offset, position = len(records), 0
            while position < len(body):
                (size,) = struct.unpack_from('>I', body, position)
                records.append(body[position + 4 : position + 4 + size])
                position += 4 + size
            self._changed.notify_all()
            answer = {'offset': offset, 'end': len(records)}
        return Reply(200, _JSON, json.dumps(answer).encode())

    async def _read(self, query):
        records = self._topics.setdefault(query['topic'], [])
        start = int(query['from'])
        wait_s = int(query.get('wait_ms', 0)) / 1000
        async with self._changed:
            try:
                await asyncio.wait_for(
                    self._changed.wait_for(lambda: len(records) > start),
                    wait_s or 0.001,
                )
            except TimeoutError:
                pass
            chunks = [struct.pack('>QQ', len(records), 0)]
            room = int(query.get('max_kb', 1024)) * 1024
            for record in records[start:]:
                room -= 4 + len(record)
                if room < 0 and len(chunks) > 1:
                    break
                chunks.append(struct.pack('>I', len(record)) + record)
        return Reply(200, {}, b''.join(chunks))

    def _newest(self, query):
        newest = {}
        records = self._topics.setdefault(query['topic'], [])
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > query.get('after', '')
        ]
        page = {
            'items': items[:500],
            'more': len(items) > 500,
            'end': len(records),
        }
        return Reply(200, _JSON, json.dumps(page).encode())
