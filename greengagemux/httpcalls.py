"""Blocking HTTP client of the command line, without proxies or redirects."""

import json
import ssl
from contextlib import closing
from dataclasses import dataclass
from http import client
from pathlib import Path
from typing import Any, Final
from urllib.parse import urlsplit

TIMEOUT_S: Final = 5
BODY_LIMIT_BYTES: Final = 64 * 1024 * 1024


class UnreachableError(Exception):
    """No complete HTTP response arrived; the request may have taken effect."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an HTTP response."""

    status: int
    body: bytes

    @property
    def accepted(self) -> bool:
        """Whether the status is a 2xx."""
        return self.status // 100 == 2

    def content(self) -> Any:
        """Return the JSON body, or an object with an ``error`` text."""
        try:
            return json.loads(self.body)
        except ValueError:
            shown = self.body[:200].decode(errors='replace')
            return {'error': f'the response is not JSON: {shown!r}'}


def call(
    method: str,
    url: str,
    body: bytes | None = None,
    token: str = '',
    authority: Path | None = None,
) -> Reply:
    """Return the response to one request.

    With ``authority``, a PEM file, the server needs a certificate signed by
    it. The name in the certificate is not checked: it is a daemon ID, while
    the URL has an IP number.

    Raises ``UnreachableError`` when no complete response arrives. The time
    limit holds for each socket operation.
    """
    parts = urlsplit(url)
    host = parts.hostname or ''
    connection = client.HTTPConnection(host, parts.port, timeout=TIMEOUT_S)
    if parts.scheme == 'https':
        connection = client.HTTPSConnection(
            host,
            parts.port,
            timeout=TIMEOUT_S,
            context=_context(authority),
        )
    headers = {'Authorization': f'Bearer {token}'} if token else {}
    target = f'{parts.path}?{parts.query}' if parts.query else parts.path
    with closing(connection):
        try:
            return _exchange(connection, method, target, body, headers)
        except (OSError, client.HTTPException) as error:
            raise UnreachableError(f'{method} {url}: {error}') from error


def _context(authority: Path | None) -> ssl.SSLContext:
    if authority is None:
        return ssl.create_default_context()
    try:
        context = ssl.create_default_context(cafile=authority)
    except OSError as error:
        raise UnreachableError(f'{authority}: {error}') from error
    context.check_hostname = False
    return context


def _exchange(
    connection: client.HTTPConnection,
    method: str,
    target: str,
    body: bytes | None,
    headers: dict[str, str],
) -> Reply:
    connection.request(method, target, body, headers)
    response = connection.getresponse()
    return Reply(response.status, response.read(BODY_LIMIT_BYTES))
