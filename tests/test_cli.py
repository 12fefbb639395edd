"""Exit codes, errors and output of the commands."""

import json
import sys
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from types import ModuleType
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from click.testing import CliRunner, Result

from greengagemux import bundlecommands
from greengagemux.cli import main
from greengagemux.signatures import open_record

_KEY = 'cd' * 31
_SETTINGS = """
[daemon]
id = d-1
data_centre = a
region = r
http_address = 127.0.0.1:1
peer_address = 127.0.0.1:2
admin_address = 127.0.0.1:3
"""


class _ScriptedHandler(BaseHTTPRequestHandler):
    """Sends the scripted responses in turn and records the requests."""

    def do_GET(self) -> None:
        length = int(self.headers.get('Content-Length') or 0)
        body = self.rfile.read(length)
        token = self.headers.get('Authorization')
        self.server.seen.append((self.path, token, body))  # type: ignore
        status, content = self.server.replies.pop(0)  # type: ignore
        if not status:
            return
        encoded = json.dumps(content).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)

    do_POST = do_GET

    def log_message(self, format: str, *args: object) -> None:
        """Write no access log into the output of the tests."""


class _ScriptedServer:
    """HTTP server that stands for a daemon or the log store."""

    def __init__(self) -> None:
        self._server: Any = HTTPServer(('127.0.0.1', 0), _ScriptedHandler)
        self._server.replies = []
        self._server.seen = []
        self.seen = self._server.seen
        self.address = f'127.0.0.1:{self._server.server_port}'
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.01,)
        )
        self._thread.start()

    def script_responses(self, *replies: tuple[int, object]) -> None:
        self._server.replies.extend(replies)

    def stop(self) -> None:
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


@pytest.fixture(name='peer')
def _peer(monkeypatch: pytest.MonkeyPatch) -> Iterator[_ScriptedServer]:
    monkeypatch.setattr(bundlecommands.time, 'sleep', lambda _: None)
    monkeypatch.setenv('GREENGAGE_TOKEN', 'secret')
    peer = _ScriptedServer()
    yield peer
    peer.stop()


_BUNDLE = """[bundle]
version = 1
follows = 0
"""


def _run(*words: object) -> Result:
    return CliRunner().invoke(main, [str(word) for word in words])


def _view(offset: int, newest: int, *rejected: object) -> dict[str, object]:
    return {
        'version': 4,
        'offset': offset,
        'newest_offset': newest,
        'text': 'x',
        'rejected': rejected,
    }


def _record(folder: Path) -> Path:
    record = folder / 'record'
    record.write_bytes(b'\x00signed')
    return record


def test_check_prints_settings_or_every_problem(tmp_path: Path) -> None:
    """Invalid settings must end with 2 and all problems, valid ones with 0."""
    path = tmp_path / 'd.ini'
    path.write_text(_SETTINGS)
    result = _run('check', path, '--json')
    assert result.exit_code == 0
    assert json.loads(result.stdout)['daemon']['http_address'] == '127.0.0.1:1'
    path.write_text(_SETTINGS.replace('= a', '= ?').replace('= r', '= !'))
    result = _run('check', path)
    assert result.exit_code == 2
    assert 'data_centre' in result.stderr
    assert 'region' in result.stderr


def test_serve_runs_checked_settings_only(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A daemon must not start with invalid settings."""
    started: list[Any] = []
    fake: Any = ModuleType('greengagemux.daemons')
    fake.run = started.append
    monkeypatch.setitem(sys.modules, fake.__name__, fake)
    path = tmp_path / 'd.ini'
    path.write_text('[daemon]')
    assert _run('serve', '--settings', path).exit_code == 2
    assert not started
    path.write_text(_SETTINGS)
    assert _run('serve', '--settings', path).exit_code == 0
    assert started[0].daemon.id == 'd-1'


def test_bundle_from_text_to_record(tmp_path: Path) -> None:
    """An invalid text must not be signed, and no error may show the key."""
    text = tmp_path / 'b.ini'
    key = tmp_path / 'key'
    record = tmp_path / 'record'
    made = _run('bundle', 'keygen', '--out', key)
    assert key.stat().st_mode & 0o777 == 0o600
    assert _run('bundle', 'keygen', '--out', key).exit_code == 1
    sign = ('bundle', 'sign', text, '--operator', 'alice', '--key-file')
    text.write_text('[bundle]\nversion = x\n')
    result = _run(*sign, key, '--out', record)
    assert result.exit_code == 1
    assert 'version' in result.stderr
    assert 'follows' in result.stderr
    assert _run('bundle', 'check', text).exit_code == 1
    text.write_text(_BUNDLE)
    bad_key = tmp_path / 'bad-key'
    bad_key.write_text(_KEY)
    result = _run(*sign, bad_key, '--out', record)
    assert result.exit_code == 1
    assert _KEY not in result.output
    assert not record.exists()
    assert _run(*sign, key, '--out', record).exit_code == 0
    keys = {'alice': made.stdout.strip()}
    opened = open_record(record.read_bytes(), keys)
    assert (opened.text, opened.operator) == (_BUNDLE, 'alice')


def test_publish_repeats_a_lost_reply(
    tmp_path: Path, peer: _ScriptedServer
) -> None:
    """A lost response or a short outage must be retried by the command."""
    peer.script_responses((0, None), (503, {}), (200, {'offset': 7}))
    record = _record(tmp_path)
    result = _run(
        'bundle', 'publish', record, '--log', f'http://{peer.address}'
    )
    assert result.exit_code == 0
    assert 'offset 7' in result.stdout
    assert len(peer.seen) == 3
    assert set(peer.seen) == {('/streams/bundles', None, b'\x00signed')}


@pytest.mark.parametrize(
    ('replies', 'code', 'part'),
    [
        ([(400, {'error': 'bad'})], 1, 'refused: 400 bad'),
        ([(200, {})], 1, 'no offset'),
        (
            [(503, {'error': 'out'}) for _ in range(3)],
            3,
            'may have taken effect',
        ),
    ],
)
def test_publish_tells_refusal_from_outage(
    tmp_path: Path,
    peer: _ScriptedServer,
    replies: list[tuple[int, object]],
    code: int,
    part: str,
) -> None:
    """An operator must know whether the append may have taken effect."""
    peer.script_responses(*replies)
    record = _record(tmp_path)
    result = _run(
        'bundle', 'publish', record, '--log', f'http://{peer.address}'
    )
    assert result.exit_code == code
    assert part in result.stderr


@pytest.mark.parametrize(
    ('views', 'code', 'part'),
    [
        ([_view(7, 7)], 0, 'version 4 is in force'),
        ([_view(5, 5), _view(7, 8)], 0, 'in force'),
        (
            [_view(5, 7, {'offset': 7, 'reason': 'follows 3'})],
            1,
            'rejected: follows 3',
        ),
        ([_view(9, 9)], 1, 'not in force: version 4 at 9'),
        ([_view(5, 5) for _ in range(3)], 1, 'has not evaluated'),
    ],
)
def test_publish_reports_the_outcome(
    tmp_path: Path,
    peer: _ScriptedServer,
    views: list[dict[str, object]],
    code: int,
    part: str,
) -> None:
    """The command must report at once that a bundle was rejected."""
    replies = [(200, view) for view in views]
    peer.script_responses((200, {'offset': 7}), *replies)
    where = ('--log', f'http://{peer.address}', '--admin', peer.address)
    result = _run(
        'bundle', 'publish', _record(tmp_path), *where, '--wait-ms', 400
    )
    assert result.exit_code == code
    assert part in result.output
    assert peer.seen[1][1] == 'Bearer secret'


def test_status_of_several_daemons(peer: _ScriptedServer) -> None:
    """One unreachable daemon must not hide the states of the others."""
    state = {'upstreams': [{'id': 'u-1', 'why': 'slow\x1b[2J'}], 'members': {}}
    peer.script_responses((200, state))
    stopped = _ScriptedServer()
    stopped.stop()
    admins = ('--admin', stopped.address, '--admin', peer.address)
    result = _run('status', *admins)
    assert result.exit_code == 3
    assert stopped.address in result.stderr
    assert 'id: u-1' in result.stdout
    assert '\x1b' not in result.stdout
    peer.script_responses((200, _view(5, 6)))
    result = _run('bundle', 'status', '--admin', peer.address)
    assert 'version: 4' in result.stdout


def test_explain_sends_the_question_and_prints_the_reply(
    peer: _ScriptedServer,
) -> None:
    """Path and host must be encoded, and the reply be safe to print."""
    reply = {'route': 'stock', 'services': [{'why': 'slow\x1b[2J'}]}
    peer.script_responses((200, reply), (200, reply))
    words = ('explain', '--admin', peer.address, '--host', 'shop.example')
    request = ('--path', '/a b?c=&d', '--method', 'POST', '--account', 'n&s')
    result = _run(*words, *request)
    assert result.exit_code == 0
    assert 'route: stock' in result.stdout
    assert '\x1b' not in result.stdout
    target, token, _body = peer.seen[0]
    assert token == 'Bearer secret'
    assert parse_qs(urlsplit(target).query, strict_parsing=True) == {
        'host': ['shop.example'],
        'path': ['/a b?c=&d'],
        'method': ['POST'],
        'account': ['n&s'],
    }
    result = _run(*words, '--path', '/', '--json')
    assert json.loads(result.stdout) == reply


def test_explain_takes_no_key(peer: _ScriptedServer) -> None:
    """Other users of the host can see the command line."""
    words = ('explain', '--admin', peer.address, '--host', 'h', '--path', '/')
    assert _run(*words, '--api-key', 'k').exit_code == 2
    assert not peer.seen


def test_explain_tells_refusal_from_outage(peer: _ScriptedServer) -> None:
    """A refused token and a stopped daemon need different actions."""
    peer.script_responses((401, {'error': 'a valid token is required'}))
    stopped = _ScriptedServer()
    stopped.stop()
    words = ('explain', '--host', 'h', '--path', '/', '--admin')
    assert _run(*words, peer.address).exit_code == 1
    assert _run(*words, stopped.address).exit_code == 3


def test_foreign_reply_is_refused_clearly(peer: _ScriptedServer) -> None:
    """A response that no daemon sends must give an error, no stack trace."""
    for content in ([], 'text', {}):
        peer.script_responses((200, content))
        result = _run('bundle', 'status', '--admin', peer.address)
        assert result.exit_code in {0, 1}
        assert isinstance(result.exception, (SystemExit, type(None)))


def test_drain_reports_refusal(tmp_path: Path, peer: _ScriptedServer) -> None:
    """A rejected drain request must not end with exit code 0."""
    peer.script_responses(
        (401, {'error': 'a valid token is required'}), (202, {})
    )
    token = tmp_path / 'token'
    token.write_text('other\n')
    drain = ('drain', '--admin', peer.address)
    result = _run(*drain, '--token-file', token)
    assert result.exit_code == 1
    assert '401 a valid token' in result.stderr
    assert _run(*drain).exit_code == 0
    tokens = [seen[1] for seen in peer.seen]
    assert tokens == ['Bearer other', 'Bearer secret']


@pytest.mark.parametrize(
    'words',
    [
        ('status',),
        ('drain', '--admin', 'localhost:80'),
        ('bundle', 'publish', __file__, '--log', 'http://log:80'),
        ('check', '/nowhere'),
        ('unknown',),
    ],
)
def test_bad_usage_ends_with_2(words: tuple[str, ...]) -> None:
    """Scripts must be able to tell bad usage from a failed operation."""
    assert _run(*words).exit_code == 2


def test_exit_codes_are_in_the_help() -> None:
    """Each command must document its exit codes."""
    for words in ((), ('serve',), ('drain',), ('bundle', 'publish')):
        assert 'cannot be reached' in _run(*words, '--help').stdout


def test_bundle_that_cannot_follow_is_refused(tmp_path: Path) -> None:
    """Invalid successors must be found before their record is in the log.

    Daemons reject a changed ``key_slots`` and a wrong ``follows``.
    """
    old, new, key = (tmp_path / name for name in ('old', 'new', 'key'))
    assert _run('bundle', 'keygen', '--out', key).exit_code == 0
    text = '[bundle]\nversion = {0}\nfollows = {1}\n[service a]\n'
    old.write_text(text.format(2, 1))
    out = tmp_path / 'record'
    signing = ('--operator', 'alice', '--key-file', key, '--out', out)
    faults = (
        (f'{text.format(3, 2)}key_slots = 9\n', 'must stay 16'),
        (text.format(4, 3), 'must be 2'),
    )
    for invalid_text, reason in faults:
        new.write_text(invalid_text)
        for command in (('check', new), ('sign', new, *signing)):
            refused = _run('bundle', *command, '--follows', old)
            assert refused.exit_code == 1
            assert reason in refused.output
    assert not out.exists()
    new.write_text(text.format(3, 2))
    assert _run('bundle', 'check', new, '--follows', old).exit_code == 0
    assert (
        _run('bundle', 'sign', new, *signing, '--follows', old).exit_code == 0
    )
