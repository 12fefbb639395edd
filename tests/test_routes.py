"""Routing: the longest prefix wins and unsafe targets are rejected."""

from hashlib import sha256
from urllib.parse import quote_from_bytes, unquote_to_bytes

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux.bundles import ANONYMOUS, Bundle, Caller, Route
from greengagemux.messages import Priority
from greengagemux.outcomes import Reason
from greengagemux.routes import RouteTable, path_segments, permitted, priority

SEGMENTS = st.sampled_from(['a', 'b', 'ab', '.', '', '%61', '..', '%2f', '%00'])
PREFIXES = st.lists(st.sampled_from(['a', 'b', 'ab']), max_size=3).flatmap(
    lambda parts: st.sampled_from(['', '/']).map(
        lambda tail: '/' + '/'.join(parts) + (tail if parts else ''),
    ),
)


def table(*prefixes: str) -> RouteTable:
    """Return a table with a GET route per prefix, named by it."""
    routes = {
        prefix: Route(prefix, 's', prefix, frozenset((b'GET',)))
        for prefix in prefixes
    }
    return RouteTable(Bundle(1, 0, routes=routes))


def naive_match(prefixes: set[str], target: str) -> str | Reason:
    """Return the longest prefix of the normalised path, or the error."""
    parts = target.split('/')[1:]
    plain = [unquote_to_bytes(part).decode() for part in parts]
    if any(part == '..' or {'/', '\0'} & set(part) for part in plain):
        return Reason.bad_request
    path = '/' + '/'.join(part for part in plain if part not in {'', '.'})
    if path != '/' and plain[-1] in {'', '.'}:
        path += '/'
    best = ''
    for prefix in prefixes:
        closed = prefix if prefix.endswith('/') else f'{prefix}/'
        matches = path == prefix or path.startswith(closed)
        if matches and len(prefix) > len(best):
            best = prefix
    return best or Reason.no_route


@settings(derandomize=True, deadline=None, max_examples=1000)
@given(
    st.sets(PREFIXES, max_size=8), st.lists(SEGMENTS, min_size=1, max_size=5)
)
def test_match_equals_naive(prefixes: set[str], parts: list[str]) -> None:
    """Guards against an index that differs from comparing all prefixes."""
    target = '/' + '/'.join(parts)
    found = table(*prefixes).match(b'GET', target.encode())
    name = found.name if isinstance(found, Route) else found
    assert name == naive_match(prefixes, target)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=40))
def test_any_octets(octets: bytes) -> None:
    """Guards against a target that raises or is decoded to a parent."""
    for target in (
        octets,
        b'/' + octets,
        b'/' + quote_from_bytes(octets).encode(),
    ):
        segments = path_segments(target) or []
        assert b'..' not in segments


@pytest.mark.parametrize(
    'target',
    [b'', b'*', b'a', b'/%2e%2e/a', b'/a%2Fb', b'/%00', b'/%5c', rb'/a\b']
    + [b'/%', b'/%zz', b'/a#b', b'/' + b'a' * 9000, b'http://x/a'],
)
def test_unsafe_targets(target: bytes) -> None:
    """Guards against a path that an upstream may read as another one."""
    assert table('/').match(b'GET', target) is Reason.bad_request


def test_method_and_query() -> None:
    """Guards against a query string that affects the match."""
    assert table('/a').match(b'PUT', b'/a') is Reason.method_not_allowed
    assert isinstance(table('/a').match(b'GET', b'/a?x=/../%00'), Route)


def test_identify() -> None:
    """Guards against a request that is attributed to another caller."""
    clerks = Caller('clerks', sha256(b'one').hexdigest(), routes=frozenset('r'))
    anyone = Caller(ANONYMOUS)
    without_anonymous = RouteTable(Bundle(1, 0, callers={'clerks': clerks}))
    both = {'clerks': clerks, ANONYMOUS: anyone}
    with_anonymous = RouteTable(Bundle(1, 0, callers=both))
    sent = ((b'aUthorization', b'bearer one'),)
    assert without_anonymous.identify(sent) is clerks
    assert without_anonymous.identify(()) is Reason.unauthorized
    assert with_anonymous.identify(()) is anyone
    for wrong in (b'Bearer two', b'Basic one', b'Bearer', b'Bearer one two'):
        assert (
            with_anonymous.identify(((b'authorization', wrong),))
            is Reason.unauthorized
        )
    assert with_anonymous.identify(sent + sent) is Reason.unauthorized


def test_permission_and_priority() -> None:
    """Guards against internal requests with the priority of interactive ones."""
    route = Route('r', 's', '/', frozenset(), priority=Priority.waiting)
    caller = Caller('c', priority=Priority.internal, routes=frozenset('r'))
    assert permitted(caller, route)
    assert not permitted(Caller('d'), route)
    assert priority(caller, route) is Priority.internal
    assert priority(Caller('d', priority=Priority.waiting), route) is (
        Priority.waiting
    )
