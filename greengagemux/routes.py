"""Match of a request to a route and a caller account."""

import re
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import sha256
from typing import Final
from urllib.parse import unquote_to_bytes

from .bundles import ANONYMOUS, Bundle, Caller, Route, Steps, finish
from .messages import Headers, Priority
from .outcomes import Reason

#: Longer request targets are refused, which bounds the cost of a match.
TARGET_LIMIT_BYTES: Final = 8192
#: Most recently seen tokens whose digests are kept.
TOKEN_CACHE: Final = 4096
#: Routes or callers indexed in one step of about 0.5 ms.
STEP_ROUTES: Final = 60
STEP_CALLERS: Final = 1000
STEP_US: Final = 500

_URGENCY: Final = tuple(Priority)
_BAD_ESCAPE: Final = re.compile(b'%(?![0-9A-Fa-f]{2})')
#: Octets that a path may not hold, encoded or not. Upstreams differ in how
#: they read a backslash or a control character, so neither is passed on.
_UNSAFE: Final = re.compile(rb'[\x00-\x1f\x7f\\]')
_BEARER: Final = re.compile(b'[Bb][Ee][Aa][Rr][Ee][Rr] +([!-~]{1,512})')


@dataclass(slots=True)
class _Node:
    """A path segment: ``exact`` ends without a slash, ``below`` with one."""

    exact: Route | None = None
    below: Route | None = None
    children: dict[bytes, '_Node'] = field(default_factory=dict)


class RouteTable:
    """Routes and callers of one bundle, indexed for look-up."""

    def __init__(self, bundle: Bundle) -> None:
        """Build the index; cost grows linearly with the bundle."""
        self._roots: dict[str, _Node] = {}
        self._anonymous = bundle.callers.get(ANONYMOUS)
        # Tokens are compared by look-up of their SHA-256. Timing can reveal
        # at most a part of a digest, which does not help to find a token.
        self._callers: dict[bytes, Caller] = {}
        finish(self._filling(bundle))

    @classmethod
    def building(cls, bundle: Bundle) -> Steps['RouteTable']:
        """Build the index in steps."""
        table = cls(Bundle(bundle.version, bundle.follows))
        table._anonymous = bundle.callers.get(ANONYMOUS)
        yield from table._filling(bundle)
        return table

    def match(
        self, method: bytes, target: bytes, host: str = ''
    ) -> Route | Reason:
        """Return the route of the host with the longest matching prefix.

        A prefix that ends with a slash matches all paths below it; another
        one matches the same path and all paths below it. Routes without a
        host hold for hosts that have no matching route of their own. The cost
        depends on the number of segments of the target and not on that of the
        routes.
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

    def identify(self, headers: Headers) -> Caller | Reason:
        """Return the caller that the bearer token belongs to."""
        tokens = [
            found for name, found in headers if name.lower() == b'authorization'
        ]
        if not tokens:
            return self._anonymous or Reason.unauthorized
        match = _BEARER.fullmatch(tokens[0].strip())
        if match is None or len(tokens) > 1:
            return Reason.unauthorized
        return self._callers.get(_digest(match[1]), Reason.unauthorized)

    def _filling(self, bundle: Bundle) -> Steps[None]:
        yield STEP_US
        for place, route in enumerate(bundle.routes.values(), start=1):
            self._add(route)
            if place % STEP_ROUTES == 0:
                yield STEP_US
        for number, caller in enumerate(bundle.callers.values(), start=1):
            if caller.token_sha256:
                self._callers[bytes.fromhex(caller.token_sha256)] = caller
            if number % STEP_CALLERS == 0:
                yield STEP_US

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

    Empty segments and ``.`` are dropped; a path with a trailing slash ends
    with an empty segment. Returns nothing for a target that is malformed or
    that upstreams could read as another path: ``..``, an encoded slash, a
    backslash, or a control character.
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
    """Return the lower of the priorities of the caller and the route."""
    return max(caller.priority, route.priority, key=_URGENCY.index)


def _unsafe(segment: bytes) -> bool:
    if segment == b'..' or b'/' in segment:
        return True
    return _UNSAFE.search(segment) is not None


@lru_cache(maxsize=TOKEN_CACHE)
def _digest(token: bytes) -> bytes:
    return sha256(token).digest()
