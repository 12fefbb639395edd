"""Maps a request to its route and to the account of its caller."""

import re
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import sha256
from typing import Final
from urllib.parse import unquote_to_bytes

from . import headers as names
from .accounts.keys import Credentials, digest_key
from .bundles import ANONYMOUS, Bundle, Caller, Route, Steps, finish
from .messages import Headers, Priority
from .outcomes import Reason

#: Longer request targets are rejected, which bounds the cost of a match.
TARGET_LIMIT_BYTES: Final = 8192
#: Number of recently used tokens whose digests are cached.
TOKEN_CACHE_SIZE: Final = 4096
#: Routes or callers indexed in one step, which takes about ``STEP_US``.
ROUTES_PER_STEP: Final = 60
CALLERS_PER_STEP: Final = 1000
STEP_US: Final = 500

_URGENCY: Final = tuple(Priority)
_BAD_ESCAPE: Final = re.compile(b'%(?![0-9A-Fa-f]{2})')
#: Bytes that a path must not contain, encoded or not. Upstreams interpret a
#: backslash or a control character differently, so neither is forwarded.
_UNSAFE: Final = re.compile(rb'[\x00-\x1f\x7f\\]')
_BEARER: Final = re.compile(b'[Bb][Ee][Aa][Rr][Ee][Rr] +([!-~]{1,512})')


@dataclass(slots=True)
class _Node:
    """A path segment.

    ``exact`` is the route whose prefix ends here without a slash, ``below``
    the one whose prefix ends here with a slash.
    """

    exact: Route | None = None
    below: Route | None = None
    children: dict[bytes, '_Node'] = field(default_factory=dict)


class RouteTable:
    """Routes and callers of one bundle, indexed for look-up."""

    def __init__(self, bundle: Bundle) -> None:
        """Build the index; the cost is linear in the size of the bundle."""
        self._roots: dict[str, _Node] = {}
        self._anonymous = bundle.callers.get(ANONYMOUS)
        self._has_keys = bool(bundle.api_keys)
        #: How requests name the account of their caller.
        self.credentials = bundle.credentials
        # Tokens are looked up by their SHA-256. Timing can reveal at most a
        # part of a digest, which does not help to guess a token.
        self._callers: dict[bytes, Caller] = {}
        finish(self._fill_steps(bundle))

    @classmethod
    def build_steps(cls, bundle: Bundle) -> Steps['RouteTable']:
        """Build the index in steps and return it."""
        table = cls(Bundle(bundle.version, bundle.follows))
        table._anonymous = bundle.callers.get(ANONYMOUS)
        table._has_keys = bool(bundle.api_keys)
        table.credentials = bundle.credentials
        yield from table._fill_steps(bundle)
        return table

    def match(
        self, method: bytes, target: bytes, host: str = ''
    ) -> Route | Reason:
        """Return the route of the host with the longest matching prefix.

        A prefix that ends with a slash matches all paths below it; any other
        prefix matches the same path and all paths below it. Routes without a
        host apply to hosts that have no matching route of their own. Without
        a match the result is the reason for the rejection. The cost depends
        on the number of segments of the target, not on the number of routes.
        """
        segments = path_segments(target)
        if segments is None:
            return Reason.bad_request
        route = self._longest(host.lower(), segments)
        if route is None and host:
            route = self._longest('', segments)
        if route is None:
            return Reason.no_route
        if route.methods and method not in route.methods:
            return Reason.method_not_allowed
        return route

    def needs_key(self, route: Route) -> bool:
        """Return whether a request of a route must name an account."""
        if self.credentials is Credentials.api_key:
            return self._has_keys and not route.public
        return self._anonymous is None

    def identify(self, headers: Headers) -> Caller | Reason:
        """Return the caller account that the bearer token belongs to.

        A request without a token gets the anonymous account if there is one.
        """
        tokens = [
            found for name, found in headers if name.lower() == b'authorization'
        ]
        if not tokens:
            return self._anonymous or Reason.unauthorized
        match = _BEARER.fullmatch(tokens[0].strip())
        if match is None or len(tokens) > 1:
            return Reason.unauthorized
        return self._callers.get(_digest(match[1]), Reason.unauthorized)

    def identify_by_key(
        self, headers: Headers, route: Route
    ) -> Caller | Reason:
        """Return the account that the API key of a request belongs to.

        A request of a public route, and any in a bundle without keys, gets the
        anonymous account.
        """
        if route.public or not self._has_keys:
            return self._anonymous or Reason.unauthorized
        keys = [
            found
            for name, found in headers
            if name.lower() == names.ACCOUNT_KEY
        ]
        digest = digest_key(keys[0]) if len(keys) == 1 else None
        if digest is None:
            return Reason.unauthorized
        return self._callers.get(digest, Reason.unauthorized)

    def _fill_steps(self, bundle: Bundle) -> Steps[None]:
        yield STEP_US
        for place, route in enumerate(bundle.routes.values(), start=1):
            self._add(route)
            if place % ROUTES_PER_STEP == 0:
                yield STEP_US
        for number, caller in enumerate(bundle.callers.values(), start=1):
            if caller.token_sha256:
                self._callers[bytes.fromhex(caller.token_sha256)] = caller
            if number % CALLERS_PER_STEP == 0:
                yield STEP_US
        for digest, name in bundle.api_keys.items():
            self._callers[digest] = bundle.callers[name]

    def _add(self, route: Route) -> None:
        node = self._roots.setdefault(route.host.lower(), _Node())
        *parents, last = route.prefix.encode().split(b'/')[1:]
        for segment in parents:
            node = node.children.setdefault(segment, _Node())
        if last:
            node.children.setdefault(last, _Node()).exact = route
        else:
            node.below = route

    def _longest(self, host: str, segments: list[bytes]) -> Route | None:
        node = self._roots.get(host)
        if node is None:
            return None
        found = node.below
        for place, segment in enumerate(segments, start=1):
            child = node.children.get(segment)
            if child is None:
                break
            node = child
            found = node.exact or found
            if place < len(segments):
                found = node.below or found
        return found


def path_segments(target: bytes) -> list[bytes] | None:
    """Return the decoded path segments of a request target.

    Empty segments and ``.`` are removed; a path with a trailing slash ends
    with an empty segment. Returns nothing for a target that is malformed or
    that upstreams could interpret as another path: one with ``..``, an
    encoded slash, a backslash, or a control character.
    """
    if len(target) > TARGET_LIMIT_BYTES or not target.startswith(b'/'):
        return None
    path = target.partition(b'?')[0]
    if b'#' in target or _BAD_ESCAPE.search(path):
        return None
    raw = path.split(b'/')
    decoded = [unquote_to_bytes(segment) for segment in raw]
    if any(_unsafe(segment) for segment in decoded):
        return None
    kept = [segment for segment in decoded if segment not in {b'', b'.'}]
    if kept and decoded[-1] in {b'', b'.'}:
        kept.append(b'')
    return kept


def permitted(caller: Caller, route: Route) -> bool:
    """Return whether the caller may use the route."""
    return route.name in caller.routes


def priority(caller: Caller, route: Route) -> Priority:
    """Return the priority of a request by its caller and its route."""
    if caller.priority_first:
        return caller.priority
    return max(caller.priority, route.priority, key=_URGENCY.index)


def _unsafe(segment: bytes) -> bool:
    if segment == b'..' or b'/' in segment:
        return True
    return _UNSAFE.search(segment) is not None


@lru_cache(maxsize=TOKEN_CACHE_SIZE)
def _digest(token: bytes) -> bytes:
    return sha256(token).digest()
