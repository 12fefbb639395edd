"""Stand-in of the platform's log store: keyed topics, one partition each."""

import json
from base64 import b64encode
from collections.abc import Mapping
from struct import Struct
from typing import Final
from urllib.parse import parse_qs, urlsplit

_LENGTH: Final = Struct('>I')
_HEAD: Final = Struct('>QQ')
_KB: Final = 1024
#: Most that one read returns if it names no limit.
_READ_LIMIT_KB: Final = 1024
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_UNAVAILABLE: Final = 503


class Store:
    """Records of all topics; a long poll returns immediately."""

    def __init__(self) -> None:
        """Create a store without records that is available."""
        self.up = True
        self.calls = 0
        #: How often it came back from a copy; stated in each response.
        self.era = 0
        self._records: dict[str, list[bytes]] = {}
        #: First retained offset of each topic.
        self._first: dict[str, int] = {}

    def append(self, topic: str, key: str, content: bytes) -> int:
        """Add a record and return its offset; empty content deletes the key.

        A record is one byte with the length of the key, the key and the
        content.
        """
        records = self._records.setdefault(topic, [])
        name = key.encode()
        records.append(bytes((len(name),)) + name + content)
        return len(records) - 1

    def forget(self, topic: str) -> None:
        """Expire all records for reads by offset.

        The newest record of each key can still be read by key.
        """
        self._first[topic] = len(self._records.get(topic, ()))

    def copy(self) -> Mapping[str, int]:
        """Return a copy: how many records each topic has."""
        return {topic: len(kept) for topic, kept in self._records.items()}

    def restore(self, copied: Mapping[str, int]) -> None:
        """Come back from a copy; later records are lost."""
        self.era += 1
        for topic, records in self._records.items():
            del records[copied.get(topic, 0) :]

    def headers(self) -> dict[bytes, bytes]:
        """Return the headers of each response."""
        return {b'Store-Era': b'%d' % self.era}

    def __call__(
        self, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        """Handle a request and return the status and body of the response."""
        self.calls += 1
        if not self.up:
            return _UNAVAILABLE, b'{}'
        parts = urlsplit(path.decode())
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        handlers = {
            '/api/log-append': self._append,
            '/api/log-read': self._read,
            '/api/log-newest': self._newest,
        }
        handler = handlers.get(parts.path)
        if handler is None:
            return _NOT_FOUND, b'{}'
        return handler(query, body)

    def _append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        records = self._records.setdefault(query['topic'], [])
        offset = len(records)
        records.append(body[_LENGTH.size :])
        return _OK, json.dumps({'offset': offset, 'end': offset + 1}).encode()

    def _read(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        records = self._records.get(query['topic'], [])
        first = self._first.get(query['topic'], 0)
        start = int(query['from'])
        if start < first or start > len(records):
            return _GONE, json.dumps({'first': first}).encode()
        chunks = [_HEAD.pack(len(records), first)]
        chunks += [_LENGTH.pack(len(each)) + each for each in records[start:]]
        limit_kb = int(query.get('max_kb', _READ_LIMIT_KB))
        while len(chunks) > 2 and sum(map(len, chunks)) > limit_kb * _KB:
            chunks.pop()
        return _OK, b''.join(chunks)

    def _newest(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        records = self._records.get(query['topic'], [])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(records):
            end = 1 + content[0]
            newest[content[1:end].decode()] = (offset, content[end:])
        after = query.get('after', '')
        items = [
            {
                'key': key,
                'value': b64encode(newest_record[1]).decode(),
                'offset': newest_record[0],
            }
            for key, newest_record in sorted(newest.items())
            if newest_record[1] and key > after
        ]
        # Pages have one item, so that tests cover reading further pages.
        page = {
            'items': items[:1],
            'more': len(items) > 1,
            'end': len(records),
        }
        return _OK, json.dumps(page).encode()
