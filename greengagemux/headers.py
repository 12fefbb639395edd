"""HTTP headers on the way through the fleet."""

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
IDEMPOTENCY_KEY = b'idempotency-key'
CONTENT_DIGEST = b'content-digest'

_SHA256 = re.compile(rb'sha-256=:([A-Za-z0-9+/=]{44}):')

_OWN_PREFIX = b'greengage-'
#: Headers that concern one connection only, and those set anew on each hop.
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
_CREDENTIALS = b'authorization'


def get(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is lower case."""
    for known, content in headers:
        if known.lower() == name:
            return content
    return None


def for_upstream(headers: Headers, caller: str) -> Headers:
    """Return the headers of a request as the upstream gets them.

    The caller's credential stays here; its account name goes along.
    """
    passed = tuple(
        (name, content)
        for name, content in headers
        if _passes(name.lower()) and name.lower() != _CREDENTIALS
    )
    return (*passed, (CALLER, caller.encode()))


def for_caller(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of a completed answer as the caller gets them."""
    passed = tuple(pair for pair in headers if _passes(pair[0].lower()))
    return (*passed, (OUTCOME, Outcome.completed.value.encode()))


def of_refusal(
    outcome: Outcome, reason: Reason, retry_after_ms: int
) -> Headers:
    """Return the headers of an answer made by the fleet itself."""
    made = (
        (b'Content-Type', b'application/json'),
        (OUTCOME, outcome.value.encode()),
        (REASON, reason.value.encode()),
    )
    if not retry_after_ms:
        return made
    seconds = -(-retry_after_ms // 1000)
    return (*made, (b'Retry-After', b'%d' % seconds))


def is_intact(answer: Headers, body: bytes) -> bool:
    """Return whether a body has the SHA-256 that its upstream declared.

    ``Content-Digest`` is that of RFC 9530. Without it nothing can be said,
    and the body counts as intact.
    """
    declared = get(answer, CONTENT_DIGEST)
    if declared is None:
        return True
    found = _SHA256.search(declared)
    if found is None:
        return True
    digest = base64.b64encode(hashlib.sha256(body).digest())
    return digest == found[1]


def _passes(name: bytes) -> bool:
    return name not in _HOP_BY_HOP and not name.startswith(_OWN_PREFIX)


def echoes(request: Headers, answer: Headers, name: str) -> bool:
    """Return whether an answer repeats a header of its request.

    An empty ``name``, or a request without the header, asks for nothing.
    """
    if not name:
        return True
    wanted = get(request, name.encode())
    return wanted is None or get(answer, name.encode()) == wanted
