"""Guards against a checker that overlooks a broken invariant."""

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from greengagemux import cli
from greengagemux.checks import verify_files

Line = tuple[int, str, str, dict[str, Any]]


def _write(folder: Path, lines: list[Line], level: str = 'info') -> list[Path]:
    """Write one file for each daemon; times are in milliseconds."""
    texts: dict[Path, str] = {}
    for millis, daemon, event, fields in lines:
        path = folder / f'{daemon.partition("/")[0]}.log'
        name, _, incarnation = daemon.partition('/')
        line = {
            'hlc': f'{1_000_000 + millis}.0',
            'daemon': name,
            'incarnation': int(incarnation or 1),
            'level': level,
            'event': event,
            'fields': fields,
        }
        texts[path] = texts.get(path, '') + json.dumps(line) + '\n'
    for path, text in texts.items():
        path.write_text(text)
    return list(texts)


def _write_at(millis: int, daemon: str, upstream: str = 'u') -> Line:
    fields = {'request': 'e/1/7', 'upstream': upstream}
    return millis, daemon, 'write-dispatched', fields


def _key(millis: int, daemon: str, exchange: int, epoch: int = 1) -> Line:
    fields = {
        'key': f'k{exchange // 100}',
        'exchange': exchange,
        'service': 's',
        'slot': 3,
        'epoch': epoch,
    }
    return millis, daemon, 'key-dispatched', fields


def _state(millis: int, event: str, state: str) -> Line:
    return millis, 'a', event, {'upstream': 'u', 'state': state}


def _bundle(daemon: str, version: int | None) -> Line:
    return version or 9, daemon, 'bundle-in-force', {'version': version}


def _record(millis: int, daemon: str, offset: int, outcome: str) -> Line:
    fields = {'offset': offset, 'version': 2, 'outcome': outcome}
    return millis, daemon, 'bundle-record', fields


ADDED = _state(0, 'upstream-added', 'serving')
DRAINS = _state(1000, 'upstream-state', 'draining')
ENDED = (20, 'a', 'key-ended', {'key': 'k1', 'outcome': 'not-run'})

BROKEN: dict[str, list[Line]] = {
    'write-dispatched-twice': [_write_at(10, 'a'), _write_at(20, 'b')],
    'key-dispatched-twice': [_key(10, 'a', 100), _key(20, 'b', 101)],
    'stale-home': [
        _key(10, 'a', 100, 1),
        _key(20, 'b', 200, 2),
        _key(4600, 'a', 300, 1),
    ],
    'bundle-reverted': [_bundle('a', 2), _bundle('a', 3), _bundle('a', None)],
    'bundle-forked': [
        _record(10, 'a', 5, 'accepted'),
        _record(20, 'b', 6, 'accepted'),
    ],
    'work-after-drain': [ADDED, DRAINS, _write_at(4001, 'a')],
    'stop-with-work': [(10, 'a', 'stopped', {'idle': False})],
    'answered-late': [(10, 'a', 'request-answered', {'late_ms': 501})],
}
SOUND: dict[str, list[Line]] = {
    'other request': [
        _write_at(10, 'a'),
        (20, 'b', 'write-dispatched', {'request': 'e/1/8', 'upstream': 'u'}),
    ],
    'key placed again by its exchange': [
        _key(10, 'a', 100),
        _key(20, 'a', 100),
    ],
    'key that was not run': [_key(10, 'a', 100), ENDED, _key(30, 'b', 101)],
    'home within its promise': [
        _key(10, 'a', 100, 1),
        _key(20, 'b', 200, 2),
        _key(4500, 'a', 300, 1),
    ],
    'bundle of a restarted process': [
        _bundle('a/1', 2),
        _bundle('a/1', 3),
        _bundle('a/2', 2),
    ],
    'rejected record': [
        _record(10, 'a', 5, 'accepted'),
        _record(20, 'b', 6, 'superseded'),
    ],
    'work within the limit': [ADDED, DRAINS, _write_at(4000, 'a')],
    'work after the return': [
        ADDED,
        DRAINS,
        _state(2000, 'upstream-added', 'serving'),
        _write_at(9000, 'a'),
    ],
    'return that is not noted': [DRAINS, _write_at(9000, 'a')],
    'idle stop': [(10, 'a', 'stopped', {'idle': True})],
    'answer within grace': [(10, 'a', 'request-answered', {'late_ms': 500})],
}


@pytest.mark.parametrize('rule', BROKEN)
def test_broken_invariant_is_found_by_its_rule_only(
    rule: str, tmp_path: Path
) -> None:
    """A rule that is missing or too wide would hide or invent faults."""
    report = verify_files(_write(tmp_path, BROKEN[rule]))
    assert [finding.rule for finding in report.findings] == [rule]


@pytest.mark.parametrize('case', SOUND)
def test_sound_run_has_no_finding(case: str, tmp_path: Path) -> None:
    """A rule that is too strict would report a sound run."""
    assert not verify_files(_write(tmp_path, SOUND[case])).findings


def test_failed_event_is_found(tmp_path: Path) -> None:
    """An exception in a daemon must not go unnoticed."""
    lines: list[Line] = [(10, 'a', 'message', {'text': 'event failed: Tick'})]
    report = verify_files(_write(tmp_path, lines, 'error'))
    assert [finding.rule for finding in report.findings] == ['internal-error']


def test_command_fails_on_a_finding_and_names_what_it_lacks(
    tmp_path: Path,
) -> None:
    """A script must see a broken run by the status, and gaps in the proof."""
    sound = _write(tmp_path, [_write_at(10, 'a')])
    ran = CliRunner().invoke(cli.main, ['verify', *map(str, sound)])
    assert ran.exit_code == 0
    assert 'no event key-dispatched' in ran.output
    broken = _write(tmp_path, BROKEN['stop-with-work'])
    ran = CliRunner().invoke(cli.main, ['verify', *map(str, broken)])
    assert ran.exit_code == 1
    assert 'stopped while busy' in ran.output
