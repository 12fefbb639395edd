"""Blocking HTTP calls of the command line; no proxy, no redirect."""

import json
from contextlib import closing
from dataclasses import dataclass
from http import client
from typing import Any, Final
from urllib.parse import urlsplit

TIMEOUT_SECONDS: Final = 5
REPLY_LIMIT_BYTES: Final = 64 * 1024 * 1024


class UnreachableError(Exception):
    """No whole HTTP reply came back; a sent request may have taken effect."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an HTTP reply."""

    status: int
    body: bytes

    @property
    def accepted(self) -> bool:
        """Return whether the status is a 2xx."""
        return self.status // 100 == 2

    def content(self) -> Any:
        """Return the JSON body, or an object with the text as ``error``."""
        try:
            return json.loads(self.body)
        except ValueError:
            shown = self.body[:200].decode(errors='replace')
            return {'error': f'the reply is no JSON: {shown!r}'}


def call(
    method: str, url: str, body: bytes | None = None, token: str = ''
) -> Reply:
    """Return the reply to one request.

    Raises ``UnreachableError`` when no whole reply arrives in time.
    """
    parts = urlsplit(url)
    kind: type[client.HTTPConnection] = client.HTTPConnection
    if parts.scheme == 'https':
        kind = client.HTTPSConnection
    connection = kind(parts.hostname or '', parts.port, timeout=TIMEOUT_SECONDS)
    headers = {'Authorization': f'Bearer {token}'} if token else {}
    target = f'{parts.path}?{parts.query}' if parts.query else parts.path
    with closing(connection):
        try:
            return _exchange(connection, method, target, body, headers)
        except (OSError, client.HTTPException) as error:
            raise UnreachableError(f'{method} {url}: {error}') from error


def _exchange(
    connection: client.HTTPConnection,
    method: str,
    target: str,
    body: bytes | None,
    headers: dict[str, str],
) -> Reply:
    connection.request(method, target, body, headers)
    found = connection.getresponse()
    return Reply(found.status, found.read(REPLY_LIMIT_BYTES))
