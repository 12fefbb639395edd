"""Tests of bundle texts: each fault is reported, valid values are kept."""

import pytest

from greengagemux import bundles
from greengagemux.messages import Priority

TOKEN = 'ab' * 32
TEXT = f"""
[bundle]
version = 12
follows = 11
[service ledger]
floor_pct = 70
[route stock]
service = ledger
prefix = /stock/
methods = GET, HEAD
idempotent = yes
priority = waiting
[caller clerks]
token_sha256 = {TOKEN}
routes = stock
team = depots
[team depots]
max_in_flight = 200
"""


def test_valid_text() -> None:
    """Guards against values that are lost or converted wrongly."""
    bundle = bundles.parse(TEXT, 'a.ini')
    route = bundle.routes['stock']
    assert (bundle.version, bundle.follows, bundle.stage) == (12, 11, None)
    assert route.methods == {b'GET', b'HEAD'}
    assert route.idempotent and route.priority is Priority.waiting
    assert bundle.callers['clerks'].team == 'depots'
    assert bundle.services['ledger'].key_slots == 16


@pytest.mark.parametrize(
    ('old', 'new', 'parts'),
    [
        ('floor_pct = 70', 'floor_pct = 170', ['floor_pct', '170', '100']),
        ('floor_pct = 70', 'flor = 7', ['flor', 'unknown key', 'floor_pct']),
        ('floor_pct = 70', 'name = x', ['name', 'unknown key', 'floor_pct']),
        ('floor_pct = 70', 'miss = nan', ['miss', 'nan', 'finite']),
        ('[team depots]', '[crew depots]', ['[crew depots]', 'unknown']),
        ('[team depots]', '[team d/x]', ['[team d/x]', 'invalid name']),
        ('service = ledger', 'service = x', ['[route stock]', "'x'"]),
        ('prefix = /stock/', 'prefix = /a/../b', ['prefix', '/a/../b']),
        ('GET, HEAD', 'get', ['methods', 'get']),
        ('GET, HEAD', ',', ['methods', 'at least 1']),
        ('idempotent = yes', 'idempotent = maybe', ['idempotent', 'maybe']),
        ('routes = stock', 'routes = stok', ['[caller clerks]', "'stok'"]),
        ('team = depots', 'team = none', ['team', "'none'"]),
        (f'= {TOKEN}', '=', ['[caller clerks]', 'token_sha256', 'required']),
        ('version = 12', 'version = 11', ['version', '11', 'follows']),
        ('version = 12', '', ['version', 'missing', 'required']),
        ('[bundle]', '[bundles]', ['[bundle]', 'missing']),
        ('[team depots]', '[team depots]\n[team depots]', ['depots']),
        ('[bundle]', 'x', ['must be in a section', "'x'"]),
        ('[bundle]', '[bundle] x', ['must be in a section']),
        ('floor_pct = 70', 'floor_pct', ['[service ledger]', 'invalid line']),
    ],
)
def test_fault_is_named(old: str, new: str, parts: list[str]) -> None:
    """Guards against a fault that is accepted or reported without place."""
    with pytest.raises(bundles.BundleError) as raised:
        bundles.parse(TEXT.replace(old, new), 'a.ini')
    problems = raised.value.problems  # noqa: WPS441
    located = [line for line in problems if line.startswith('a.ini')]
    assert any(all(part in line for part in parts) for line in located)


def test_all_faults_are_listed() -> None:
    """Guards against a check that reports only the first fault."""
    text = TEXT.replace('70', '170').replace('200', '0') + (
        '[route again]\nservice = ledger\nprefix = /stock/\nmethods = GET\n'
        f'[caller again]\ntoken_sha256 = {TOKEN}\n'
    )
    with pytest.raises(bundles.BundleError) as raised:
        bundles.parse(text, 'a.ini')
    listed = str(raised.value)  # noqa: WPS441
    assert '170' in listed and "'0'" in listed
    assert 'already used by [caller clerks]' in listed


def test_duplicates_of_valid_sections() -> None:
    """Guards against a token that two callers share, or a prefix."""
    text = TEXT + f'[caller again]\ntoken_sha256 = {TOKEN}\n'
    with pytest.raises(bundles.BundleError, match='already used by'):
        bundles.parse(text, 'a.ini')
