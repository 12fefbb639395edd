"""Guards against invalid settings that are accepted or not explained."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux.addresses import Address
from greengagemux.settings import SettingsError, read_settings

_KEY = 'ab' * 32
_GOOD = f"""
[daemon]
id = rufisque-1
data_centre = dakar-rufisque
region = dakar
http_address = 127.0.0.1:8080
peer_address = 127.0.0.1:9080
admin_address = [::1]:7080
seeds = 127.0.0.1:9081, 127.0.0.1:9082
admin_token_sha256 = {_KEY}

[log]
url = http://127.0.0.1:5000/

[operators]
Alice = {_KEY}
"""


def _rejection(tmp_path: Path, text: str) -> str:
    path = tmp_path / 'daemon.ini'
    path.write_text(text)
    try:
        read_settings(path)
    except SettingsError as error:
        return str(error)
    raise AssertionError('the settings were accepted')


def test_good_settings_and_defaults(tmp_path: Path) -> None:
    """All values of a valid file must be read, with documented defaults."""
    path = tmp_path / 'daemon.ini'
    path.write_text(_GOOD)
    found = read_settings(path)
    assert found.daemon.admin_address == Address('::1', 7080)
    assert [str(seed) for seed in found.daemon.seeds] == [
        '127.0.0.1:9081',
        '127.0.0.1:9082',
    ]
    assert found.daemon.stop_limit_ms == 30000
    assert found.log is not None
    assert found.log.url == 'http://127.0.0.1:5000'
    assert found.log.poll_wait_ms == 2000
    assert found.operators == {'Alice': _KEY}
    assert found.logging.level == 'info'
    assert found.tls is None


def test_log_section_is_optional(tmp_path: Path) -> None:
    """Settings without a ``log`` section must be accepted."""
    path = tmp_path / 'daemon.ini'
    path.write_text(_GOOD[: _GOOD.index('[log]')])
    assert read_settings(path).log is None


@pytest.mark.parametrize(
    ('old', 'new', 'parts'),
    [
        ('127.0.0.1:8080', 'localhost:8080', ('http_address', 'localhost')),
        ('127.0.0.1:8080', '127.0.0.1:0', ('http_address', '65535')),
        ('127.0.0.1:8080', '127.0.0.1:65536', ('http_address', '65535')),
        ('127.0.0.1:8080', '::1:80', ('http_address', "'::1:80'")),
        ('127.0.0.1:8080', '127.0.0.1:9080', ('peer_address', 'no other')),
        ('127.0.0.1:9080', '0.0.0.0:9080', ('peer_address', 'connect')),
        ('127.0.0.1:9082', '127.0.0.1:9081', ('seeds', 'distinct')),
        ('127.0.0.1:9082', 'peer:9081', ('seeds', 'peer:9081')),
        ('id = ruf', 'id = -ruf', ('[daemon] id', '64 letters')),
        ('id = ruf', 'ident = ruf', ('ident', 'id', 'missing')),
        ('region = dakar', '', ('[daemon] region', 'missing')),
        ('http://127', 'http://u@127', ('[log] url', 'u@127')),
        ('http://127', 'ftp://127', ('[log] url', 'https://')),
        (_KEY, 'abc', ('admin_token_sha256', 'Alice', '64 hex digits')),
        ('[log]', '[logs]', ('[logs]', 'unknown section', '[log]')),
        ('[operators]', '[DEFAULT]', ('[DEFAULT]', 'unknown section')),
        ('[log]', '[log]\npoll_wait_ms = 1e3', ('poll_wait_ms', '60000')),
        ('[log]', '[log]\nretention_ms = 59999', ('retention_ms', '60000')),
        ('[log]', '[logging]\nlevel = loud\n[log]', ('level', 'warning')),
        ('[log]', '[tls]\nauthority = a\n[log]', ("'a'", 'certificate')),
        ('[log]', 'loose line\n[log]', ('line 12', 'loose line')),
        ('\n[daemon]', 'a = 1\n[daemon]', ('line 1', '[section]')),
    ],
)
def test_bad_value_is_named(
    tmp_path: Path, old: str, new: str, parts: tuple[str, ...]
) -> None:
    """An error must name the file, the position, the value and the rule."""
    message = _rejection(tmp_path, _GOOD.replace(old, new))
    for part in ('daemon.ini', *parts):
        assert part in message


def test_every_problem_is_listed(tmp_path: Path) -> None:
    """All problems must be reported, with duplicate keys and sections."""
    text = _GOOD.replace('region = dakar', 'id = x\nid = y\nregion = ?')
    message = _rejection(tmp_path, f'{text}\n[daemon]\nseeds = x\n[more]\n')
    assert message.count('key is given twice') == 2
    assert message.count('section is given twice') == 1
    assert 'region' in message
    assert '[more]' in message


def test_unreadable_file(tmp_path: Path) -> None:
    """A missing or binary file must give an error, not a stack trace."""
    with pytest.raises(SettingsError, match='cannot be read'):
        read_settings(tmp_path / 'absent.ini')
    (tmp_path / 'binary.ini').write_bytes(b'\xff\xfe')
    with pytest.raises(SettingsError, match='UTF-8'):
        read_settings(tmp_path / 'binary.ini')


@settings(derandomize=True, deadline=None)
@given(
    host=st.ip_addresses().filter(lambda ip: '%' not in str(ip)),
    port=st.integers(1, 65535),
)
def test_address_text_is_read_back(host: object, port: int) -> None:
    """An address must not change on its way through text."""
    address = Address(str(host), port)
    assert Address.parse(str(address)) == address


@settings(derandomize=True, deadline=None)
@given(text=st.text(max_size=30))
def test_any_text_is_read_or_rejected(text: str) -> None:
    """No text may raise anything but ``ValueError``."""
    try:
        address = Address.parse(text)
    except ValueError:
        return
    assert Address.parse(str(address)) == address
