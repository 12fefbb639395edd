"""Order, filters and escaping of the merged time line."""

import io
import json
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux import timelines

_WALL = datetime(2026, 1, 1, tzinfo=UTC)
_ALL = timelines.Criteria()


def _line(daemon: str, hlc: str | None, **more: object) -> str:
    line = {'daemon': daemon, 'event': 'e', 'fields': {}, **more}
    if hlc:
        line['hlc'] = hlc
    return json.dumps(line) + '\n'


def _file(folder: Path, name: str, *lines: str) -> Path:
    path = folder / name
    path.write_text(''.join(lines))
    return path


def _names(*paths: Path, criteria: timelines.Criteria = _ALL) -> list[str]:
    merged = timelines.merge(paths, criteria, timelines.Report())
    return [event.name for event in merged]


def test_effect_follows_cause_when_wall_clocks_disagree(
    tmp_path: Path,
) -> None:
    """A receiver whose wall clock is behind must not sort before its sender."""
    late = (_WALL + timedelta(hours=1)).isoformat()
    sender = _line('a', '3600000.0', event='sent', wall=late)
    receiver = _line('b', '3600000.1', event='got', wall=_WALL.isoformat())
    one = _file(tmp_path, 'a.log', sender)
    other = _file(tmp_path, 'b.log', receiver)
    assert _names(other, one) == ['sent', 'got']


def test_request_is_followed_by_the_id_of_its_caller(tmp_path: Path) -> None:
    """``--request`` must match the id that the caller gave its request.

    The egress logs the request under another id and has this one as ``tag``.
    """
    placed = _line('a', '1.0', event='placed', fields={'request': '9c41'})
    called = {'request': 'a/1/7', 'tag': '9c41'}
    ended = _line('b', '2.0', event='ended', fields=called)
    other = _line('b', '3.0', event='other', fields={'request': 'a/1/8'})
    path = _file(tmp_path, 'a.log', placed, ended, other)
    criteria = timelines.Criteria(request='9c41')
    assert _names(path, criteria=criteria) == ['placed', 'ended']


@settings(derandomize=True, deadline=None)
@given(
    groups=st.lists(
        st.lists(st.integers(0, 50)).map(sorted), min_size=1, max_size=4
    )
)
def test_merge_equals_sort(
    tmp_path_factory: pytest.TempPathFactory, groups: list[list[int]]
) -> None:
    """The streaming merge must give the same as sorting all lines."""
    folder = tmp_path_factory.mktemp('logs')
    paths = [
        _file(
            folder,
            f'{number}.log',
            *(_line(f'd{number}', f'{millis}.0') for millis in group),
        )
        for number, group in enumerate(groups)
    ]
    merged = timelines.merge(paths, _ALL, timelines.Report())
    assert [(event.stamp.millis, event.process) for event in merged] == sorted(
        (millis, f'd{number}')
        for number, group in enumerate(groups)
        for millis in group
    )


def test_merge_holds_one_line_of_each_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The merge must not read the files into memory as a whole."""
    path = _file(tmp_path, 'a.log', *(_line('a', '1.0') for _ in range(50)))
    ahead = 0
    read = timelines._lines

    def counted(stream: io.BufferedReader):  # type: ignore[no-untyped-def]
        nonlocal ahead
        for line in read(stream):
            ahead += 1
            yield line

    monkeypatch.setattr(timelines, '_lines', counted)
    for event in timelines.merge([path, path], _ALL, timelines.Report()):
        ahead -= 1
        assert event.name == 'e'
        assert ahead <= 2


def test_damaged_lines_are_counted(tmp_path: Path) -> None:
    """Truncated, invalid and overlong lines must not stop the merge."""
    path = tmp_path / 'a.log'
    overlong_line = b'x' * (timelines.LINE_LIMIT_BYTES + 5)
    valid_line = _line('a', '1.0').encode()
    invalid_lines = (
        b'\xff\n',
        b'[1]\n',
        b'{"hlc": 4}\n',
        b'[' * 99999,
        b'\n\n',
    )
    path.write_bytes(
        b''.join(
            (*invalid_lines, overlong_line, b'\n', valid_line, valid_line[:-9])
        )
    )
    report = timelines.Report()
    assert len(list(timelines.merge([path], _ALL, report))) == 1
    assert report.unreadable == {str(path): 6}


def test_wall_time_is_the_fallback_and_keeps_file_order(
    tmp_path: Path,
) -> None:
    """Lines without a stamp must be placed by their wall time, in file order."""
    plain = _line('a', None, event='plain', wall='1970-01-01T00:00:02')
    earlier = _line('a', None, event='back', wall='1970-01-01T00:00:01+00:00')
    one = _file(tmp_path, 'a.log', plain, earlier)
    other = _file(
        tmp_path,
        'b.log',
        _line('b', '1500.0', event='first'),
        _line('b', '2500.0', event='last'),
    )
    report = timelines.Report()
    merged = timelines.merge([one, other], _ALL, report)
    names = [event.name for event in merged]
    assert names == ['first', 'plain', 'back', 'last']
    assert report.out_of_order == {str(one): 1}


@pytest.mark.parametrize(
    ('options', 'expected'),
    [
        ([], 'cause effect other'),
        (['--from', '1970-01-01T00:00:00.002'], 'effect other'),
        (['--to', '1970-01-01T00:00:00.002Z'], 'cause effect'),
        (['--event', 'cause', '--event', 'other'], 'cause other'),
        (['--process', 'b'], 'effect'),
        (['--process', 'a/1'], 'cause'),
        (['--request', '7'], 'cause effect other'),
        (['--request', 'a:7'], 'cause effect'),
    ],
)
def test_filters(tmp_path: Path, options: list[str], expected: str) -> None:
    """A filter must select exactly the events that match it."""
    path = _file(
        tmp_path,
        'all.log',
        _line('a', '1.0', event='cause', incarnation=1, fields={'request': 7}),
        _line(
            'b', '2.0', event='effect', fields={'request': 7, 'entrance': 'a'}
        ),
        _line('c', '3.0', event='other', fields={'request': 7}),
    )
    outcome = CliRunner().invoke(timelines.timeline, [*options, str(path)])
    assert outcome.exit_code == 0
    lines = outcome.stdout.splitlines()
    assert ' '.join(line.split()[3] for line in lines) == expected


def test_text_cannot_control_the_terminal(tmp_path: Path) -> None:
    """Escape characters in a log must not reach the terminal."""
    line = _line('a\x1b[2J', '1.0', event='\x9b\n', fields={'x': '\x07'})
    path = _file(tmp_path, 'a.log', line)
    outcome = CliRunner().invoke(timelines.timeline, [str(path)])
    assert outcome.stdout.rstrip('\n').isprintable()


def test_page_escapes_all_data(tmp_path: Path) -> None:
    """Text in a log must not become markup or script of the page."""
    markup = '</script><script>alert(1)</script><!--'
    line = _line(markup, '1.0', event=markup, fields={'request': markup})
    path = _file(tmp_path, f'a{"b"}.log', line, 'broken')
    page = tmp_path / 'page.html'
    arguments = ['--html', str(page), str(path)]
    outcome = CliRunner().invoke(timelines.timeline, arguments)
    assert outcome.exit_code == 0
    assert '1 lines are truncated' in outcome.stderr
    text = page.read_text()
    assert markup not in text
    assert text.count('<script') == 2
    assert 'http' not in text.replace('http-equiv', '')
    data = text.partition('id="data">')[2].partition('</script>')[0]
    tables = json.loads(data)
    assert tables['lanes'] == [markup]
    assert json.loads(tables['lines'][0])['event'] == markup
    assert len(tables['remarks']) == 1


def test_page_limit_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The page must state how many events it omits."""
    monkeypatch.setattr(timelines, 'PAGE_EVENT_LIMIT', 2)
    path = _file(tmp_path, 'a.log', *(_line('a', '1.0') for _ in range(5)))
    report = timelines.Report()
    page = io.StringIO()
    timelines.write_page(timelines.merge([path], _ALL, report), report, page)
    assert '3 events after the limit' in page.getvalue()
