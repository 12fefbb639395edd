"""Guards against requests that run for the wrong client account."""

import json
from pathlib import Path

import pytest
from test_platform import CONFIGURATION, _settings

from greengagemux.accounts.admission import Accounts, Admitted
from greengagemux.events import CallerRequest
from greengagemux.headers import ACCOUNT_KEY, upstream_request_headers
from greengagemux.ids import ExchangeId
from greengagemux.messages import Priority
from greengagemux.outcomes import FailureError, Reason
from greengagemux.platform import exchanges
from greengagemux.platform.configurations import ConfigurationDecoder
from greengagemux.requests import refusal

KEY = 'hkmgjqnirth5mgjy5rcp'
SECOND_KEY = 'ihhacruddedev3nax7u2'
OTHER_KEY = 'qwztrkplm7'
READ, WRITE, OPEN = b'/orders/list/1', b'/orders/1', b'/open/1'


def _configuration(**tenant: object) -> bytes:
    first = {'name': 'north', 'api_keys': [KEY, SECOND_KEY], **tenant}
    return json.dumps(
        {
            **CONFIGURATION,
            'routes': [
                *CONFIGURATION['routes'],
                {
                    'name': 'open',
                    'hostname': 'shop.example',
                    'path_prefix': '/open/',
                    'kind': 'download',
                    'service': 'stock',
                    'public': True,
                },
            ],
            'tenants': [first, {'name': 'south', 'api_keys': [OTHER_KEY]}],
        }
    ).encode()


def _admit(
    tmp_path: Path, target: bytes, *keys: bytes, **tenant: object
) -> Admitted | Reason:
    accounts = Accounts()
    decode = ConfigurationDecoder(_settings(tmp_path))
    accounts.configure(decode(_configuration(**tenant)))
    event = CallerRequest(
        exchange=ExchangeId(1),
        method=b'GET',
        target=target,
        headers=tuple((b'Api-Key', key) for key in keys),
        body=b'',
        host='shop.example',
    )
    return accounts.admit(exchanges._translate_request(event))


@pytest.mark.parametrize('key', [KEY, SECOND_KEY])
def test_key_names_the_account(tmp_path: Path, key: str) -> None:
    """Each key of an account must be accepted for it."""
    admitted = _admit(tmp_path, READ, key.encode())
    assert isinstance(admitted, Admitted)
    assert admitted.account == 'north'


@pytest.mark.parametrize(
    'keys',
    [
        (),
        (b'unknown',),
        (b'',),
        (b'x' * 600,),
        (KEY.encode(), OTHER_KEY.encode()),
    ],
)
def test_request_without_a_known_key_is_refused(
    tmp_path: Path, keys: tuple[bytes, ...]
) -> None:
    """An unknown, missing, overlong or ambiguous key must not admit."""
    assert _admit(tmp_path, READ, *keys) is Reason.unauthorized


def test_unknown_path_is_not_found_without_a_key(tmp_path: Path) -> None:
    """A request that no route allows must get 404, not 401."""
    assert _admit(tmp_path, b'/nowhere/') is Reason.no_route


@pytest.mark.parametrize('keys', [(), (b'unknown',), (KEY.encode(),)])
def test_public_route_needs_no_key(
    tmp_path: Path, keys: tuple[bytes, ...]
) -> None:
    """Calls of upstreams carry no key and use public routes."""
    admitted = _admit(tmp_path, OPEN, *keys)
    assert isinstance(admitted, Admitted)
    assert not admitted.account


@pytest.mark.parametrize(
    ('rank', 'target', 'expected'),
    [
        (0, READ, Priority.waiting),
        (2, WRITE, Priority.internal),
        (None, READ, Priority.internal),
        (None, WRITE, Priority.waiting),
    ],
)
def test_priority_of_the_account_replaces_that_of_the_route(
    tmp_path: Path, rank: int | None, target: bytes, expected: Priority
) -> None:
    """Not the lower of the two, as for callers with a bearer token."""
    admitted = _admit(tmp_path, target, KEY.encode(), priority=rank)
    assert isinstance(admitted, Admitted)
    assert admitted.priority is expected


def test_allotment_is_read(tmp_path: Path) -> None:
    """Rate and burst of an account must reach its caller."""
    admitted = _admit(tmp_path, READ, KEY.encode(), rate_per_s=45, burst=50)
    assert isinstance(admitted, Admitted)
    assert (admitted.caller.rate_per_s, admitted.caller.burst) == (45, 50)


def test_download_is_idempotent(tmp_path: Path) -> None:
    """A download may be repeated like any idempotent request."""
    admitted = _admit(tmp_path, OPEN)
    assert isinstance(admitted, Admitted)
    assert admitted.route.idempotent


@pytest.mark.parametrize(
    'tenant',
    [
        {'api_keys': [OTHER_KEY]},
        {'api_keys': ['']},
        {'api_keys': [KEY], 'name': 'anonymous'},
        {'name': 'south'},
        {'rate_per_s': -1},
    ],
)
def test_bad_accounts_are_refused_without_their_keys(
    tmp_path: Path, tenant: dict[str, object]
) -> None:
    """An ambiguous key must not be accepted, and no error may show a key."""
    decode = ConfigurationDecoder(_settings(tmp_path))
    with pytest.raises(FailureError) as caught:
        decode(_configuration(**tenant))
    for key in (KEY, SECOND_KEY, OTHER_KEY):
        assert key not in str(caught.value)


def test_upstream_gets_the_account_and_no_key() -> None:
    """Neither the key nor an account that the caller claims is passed on."""
    sent = CallerRequest(
        exchange=ExchangeId(1),
        method=b'GET',
        target=READ,
        headers=(
            (b'Api-Key', KEY.encode()),
            (b'Greengage-Account-Key', b'forged'),
            (b'tenant-id', b'forged'),
            (b'Authorization', b'kept'),
        ),
        body=b'',
    )
    translated = exchanges._translate_request(sent).headers
    assert translated[-1] == (ACCOUNT_KEY, KEY.encode())
    found = upstream_request_headers(
        translated, 'orders', 'north', keeps_authorization=True
    )
    assert found == (
        (b'Authorization', b'kept'),
        (b'Greengage-Caller', b'orders'),
        (b'Greengage-Account', b'north'),
    )


@pytest.mark.parametrize(
    ('reason', 'status'),
    [(Reason.unauthorized, 401), (Reason.allotment, 429)],
)
def test_refusals_of_an_account_keep_their_status(
    reason: Reason, status: int
) -> None:
    """A caller must learn that its key or its allotment is the cause."""
    effect = refusal(
        ExchangeId(1), exchanges.Outcome.not_run, reason, retry_after_ms=1500
    )
    translated = exchanges._translate_response(effect)
    assert translated.status == status
    waits = [
        value for name, value in translated.headers if name == b'Retry-After'
    ]
    assert waits == ([b'1.500'] if status == 429 else [])
