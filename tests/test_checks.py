"""Rules of ``verify``: each finds its violation and nothing else."""

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from greengagemux import cli
from greengagemux.checks import verify_files

Line = tuple[int, str, str, dict[str, Any]]


def _write_logs(
    folder: Path, lines: list[Line], level: str = 'info'
) -> list[Path]:
    """Return the paths of new log files, one for each daemon.

    The first item of a line is its time in milliseconds.
    """
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


def _write_dispatch(millis: int, daemon: str, upstream: str = 'u') -> Line:
    fields = {'request': 'e/1/7', 'upstream': upstream}
    return millis, daemon, 'write-dispatched', fields


def _key_dispatch(
    millis: int, daemon: str, exchange: int, epoch: int = 1
) -> Line:
    fields = {
        'key': f'k{exchange // 100}',
        'exchange': exchange,
        'service': 's',
        'slot': 3,
        'epoch': epoch,
    }
    return millis, daemon, 'key-dispatched', fields


def _upstream_event(millis: int, event: str, state: str) -> Line:
    return millis, 'a', event, {'upstream': 'u', 'state': state}


def _bundle_in_force(daemon: str, version: int | None) -> Line:
    return version or 9, daemon, 'bundle-in-force', {'version': version}


def _bundle_record(millis: int, daemon: str, offset: int, outcome: str) -> Line:
    fields = {'offset': offset, 'version': 2, 'outcome': outcome}
    return millis, daemon, 'bundle-record', fields


ADDED = _upstream_event(0, 'upstream-added', 'serving')
DRAINING = _upstream_event(1000, 'upstream-state', 'draining')
ENDED = (20, 'a', 'key-ended', {'key': 'k1', 'outcome': 'not-run'})

BROKEN: dict[str, list[Line]] = {
    'write-dispatched-twice': [
        _write_dispatch(10, 'a'),
        _write_dispatch(20, 'b'),
    ],
    'key-dispatched-twice': [
        _key_dispatch(10, 'a', 100),
        _key_dispatch(20, 'b', 101),
    ],
    'stale-home': [
        _key_dispatch(10, 'a', 100, 1),
        _key_dispatch(20, 'b', 200, 2),
        _key_dispatch(4600, 'a', 300, 1),
    ],
    'bundle-reverted': [
        _bundle_in_force('a', 2),
        _bundle_in_force('a', 3),
        _bundle_in_force('a', None),
    ],
    'bundle-forked': [
        _bundle_record(10, 'a', 5, 'accepted'),
        _bundle_record(20, 'b', 6, 'accepted'),
    ],
    'work-after-drain': [ADDED, DRAINING, _write_dispatch(4001, 'a')],
    'stop-with-work': [(10, 'a', 'stopped', {'idle': False})],
    'answered-late': [(10, 'a', 'request-answered', {'late_ms': 501})],
}
SOUND: dict[str, list[Line]] = {
    'other request': [
        _write_dispatch(10, 'a'),
        (20, 'b', 'write-dispatched', {'request': 'e/1/8', 'upstream': 'u'}),
    ],
    'key placed again by its exchange': [
        _key_dispatch(10, 'a', 100),
        _key_dispatch(20, 'a', 100),
    ],
    'key that was not run': [
        _key_dispatch(10, 'a', 100),
        ENDED,
        _key_dispatch(30, 'b', 101),
    ],
    'home within its promise': [
        _key_dispatch(10, 'a', 100, 1),
        _key_dispatch(20, 'b', 200, 2),
        _key_dispatch(4500, 'a', 300, 1),
    ],
    'bundle of a restarted process': [
        _bundle_in_force('a/1', 2),
        _bundle_in_force('a/1', 3),
        _bundle_in_force('a/2', 2),
    ],
    'rejected record': [
        _bundle_record(10, 'a', 5, 'accepted'),
        _bundle_record(20, 'b', 6, 'superseded'),
    ],
    'work within the limit': [ADDED, DRAINING, _write_dispatch(4000, 'a')],
    'work after the return': [
        ADDED,
        DRAINING,
        _upstream_event(2000, 'upstream-added', 'serving'),
        _write_dispatch(9000, 'a'),
    ],
    'return that is not noted': [DRAINING, _write_dispatch(9000, 'a')],
    'idle stop': [(10, 'a', 'stopped', {'idle': True})],
    'answer within grace': [(10, 'a', 'request-answered', {'late_ms': 500})],
}


@pytest.mark.parametrize('rule', BROKEN)
def test_broken_invariant_is_found_by_its_rule_only(
    rule: str, tmp_path: Path
) -> None:
    """A violation must be found by its own rule and by no other."""
    report = verify_files(_write_logs(tmp_path, BROKEN[rule]))
    assert [finding.rule for finding in report.findings] == [rule]


@pytest.mark.parametrize('case', SOUND)
def test_sound_run_has_no_finding(case: str, tmp_path: Path) -> None:
    """A run without a violation must have no finding."""
    assert not verify_files(_write_logs(tmp_path, SOUND[case])).findings


def test_failed_event_is_found(tmp_path: Path) -> None:
    """An exception that a daemon logged must be a finding."""
    lines: list[Line] = [(10, 'a', 'message', {'text': 'event failed: Tick'})]
    report = verify_files(_write_logs(tmp_path, lines, 'error'))
    assert [finding.rule for finding in report.findings] == ['internal-error']


def test_command_fails_on_a_finding_and_names_what_it_lacks(
    tmp_path: Path,
) -> None:
    """The exit status must show a finding, the output what was not checked."""
    sound = _write_logs(tmp_path, [_write_dispatch(10, 'a')])
    ran = CliRunner().invoke(cli.main, ['verify', *map(str, sound)])
    assert ran.exit_code == 0
    assert 'no event key-dispatched' in ran.output
    broken = _write_logs(tmp_path, BROKEN['stop-with-work'])
    ran = CliRunner().invoke(cli.main, ['verify', *map(str, broken)])
    assert ran.exit_code == 1
    assert 'stopped while busy' in ran.output
