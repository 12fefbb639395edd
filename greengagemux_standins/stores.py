"""Stand-in of the platform's store: keyed topics with one partition."""

import json
from base64 import b64encode
from struct import Struct
from typing import Final
from urllib.parse import parse_qs, urlsplit

_LENGTH: Final = Struct('>I')
_HEAD: Final = Struct('>QQ')
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_DOWN: Final = 503


class Store:
    """Records of all topics; reads that would wait end at once."""

    def __init__(self) -> None:
        """Start empty and up."""
        self.up = True
        self.calls = 0
        self._records: dict[str, list[bytes]] = {}
        #: First retained offset of each topic.
        self._first: dict[str, int] = {}

    def append(self, topic: str, key: str, content: bytes) -> int:
        """Add a record and return its offset; no content drops the key."""
        records = self._records.setdefault(topic, [])
        name = key.encode()
        records.append(bytes((len(name),)) + name + content)
        return len(records) - 1

    def forget(self, topic: str) -> None:
        """Delete the records; the newest one of each key is kept apart."""
        self._first[topic] = len(self._records.get(topic, ()))

    def __call__(
        self, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        """Answer a call with status and body."""
        self.calls += 1
        if not self.up:
            return _DOWN, b'{}'
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
        if start < first:
            return _GONE, json.dumps({'first': first}).encode()
        wire = [_HEAD.pack(len(records), first)]
        wire += [_LENGTH.pack(len(each)) + each for each in records[start:]]
        return _OK, b''.join(wire)

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
                'value': b64encode(kept[1]).decode(),
                'offset': kept[0],
            }
            for key, kept in sorted(newest.items())
            if kept[1] and key > after
        ]
        # Pages of one item, so that clients have to ask for the rest.
        page = {
            'items': items[:1],
            'more': len(items) > 1,
            'end': len(records),
        }
        return _OK, json.dumps(page).encode()
