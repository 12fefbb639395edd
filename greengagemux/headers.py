"""HTTP headers of requests and responses on their way through the fleet."""

import base64
import hashlib
import re
from collections.abc import Iterable

from .messages import Headers
from .outcomes import Outcome, Reason

OUTCOME = b'Greengage-Outcome'
REASON = b'Greengage-Reason'
DEADLINE = b'Greengage-Deadline-Ms'
REQUEST_ID = b'Greengage-Request'
CALLER = b'Greengage-Caller'
#: Name of the client account, for upstreams.
ACCOUNT = b'Greengage-Account'
#: API key of the client account, in lower case; it is never forwarded.
ACCOUNT_KEY = b'greengage-account-key'
IDEMPOTENCY_KEY = b'idempotency-key'
CONTENT_DIGEST = b'content-digest'

_SHA256 = re.compile(rb'sha-256=:([A-Za-z0-9+/=]{44}):')

_FLEET_PREFIX = b'greengage-'
#: Headers that hold for one connection only, and those that each hop sets
#: itself.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_CREDENTIALS = frozenset((b'authorization',))


def get(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is lower case."""
    for known, content in headers:
        if known.lower() == name:
            return content
    return None


def upstream_request_headers(
    headers: Headers,
    caller: str,
    account: str = '',
    *,
    keeps_authorization: bool = False,
) -> Headers:
    """Return the headers of a request as the upstream receives them.

    The name of the caller is added, and that of its client account if it has
    one. ``Authorization`` is removed, as it names the caller, unless
    ``keeps_authorization``.
    """
    removed = frozenset() if keeps_authorization else _CREDENTIALS
    forwarded = tuple(
        (name, content)
        for name, content in headers
        if _is_forwarded(name.lower()) and name.lower() not in removed
    )
    names = ((CALLER, caller), (ACCOUNT, account))
    added = tuple((header, name.encode()) for header, name in names if name)
    return (*forwarded, *added)


def caller_response_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of a completed response for its caller."""
    forwarded = tuple(
        pair for pair in headers if _is_forwarded(pair[0].lower())
    )
    return (*forwarded, (OUTCOME, Outcome.completed.value.encode()))


def refusal_headers(
    outcome: Outcome, reason: Reason, retry_after_ms: int
) -> Headers:
    """Return the headers of a response that the daemon itself creates.

    ``Retry-After`` is rounded up to seconds and left out for 0.
    """
    headers = (
        (b'Content-Type', b'application/json'),
        (OUTCOME, outcome.value.encode()),
        (REASON, reason.value.encode()),
    )
    if not retry_after_ms:
        return headers
    seconds = -(-retry_after_ms // 1000)
    return (*headers, (b'Retry-After', b'%d' % seconds))


def is_intact(response: Headers, body: bytes) -> bool:
    """Return whether a body has the SHA-256 of its ``Content-Digest``.

    The header is that of RFC 9530. A body without it, or without a SHA-256
    in it, counts as intact.
    """
    declared = get(response, CONTENT_DIGEST)
    if declared is None:
        return True
    found = _SHA256.search(declared)
    if found is None:
        return True
    digest = base64.b64encode(hashlib.sha256(body).digest())
    return digest == found[1]


def _is_forwarded(name: bytes) -> bool:
    return name not in _HOP_BY_HOP and not name.startswith(_FLEET_PREFIX)


def echoes(request: Headers, response: Headers, name: str) -> bool:
    """Return whether a response repeats a header of its request.

    True for an empty ``name`` and for a request without the header.
    """
    if not name:
        return True
    wanted = get(request, name.encode())
    return wanted is None or get(response, name.encode()) == wanted
