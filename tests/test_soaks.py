"""Guards against a soak run that overlooks a broken requirement."""

from pathlib import Path

import pytest

from greengagemux.loadplans import parse_plan
from greengagemux.loadreports import Result
from greengagemux_standins.fleets import AGENCY, layout
from greengagemux_standins.ledgers import (
    Entry,
    Ledger,
    WorkKey,
    read_entries,
)
from greengagemux_standins.links import parse_links
from greengagemux_standins.logstores import LogSettings, LogStore
from greengagemux_standins.processes import Processes
from greengagemux_standins.soakcallers import Told, kind_of, with_plain_writes
from greengagemux_standins.soakchecks import (
    Polled,
    fault_rows,
    judge,
    judge_bundles,
)
from greengagemux_standins.soakfaults import Fault, Injector
from greengagemux_standins.soakfleets import LinkedFleet

NAMES = {'h:1': 'd1'}


def _told(
    outcome: Result, reason: str = '', kind: str = 'plain', sent_s: float = 10
) -> Told:
    return Told('t', kind, '', 'h:1', 1, outcome, reason, sent_s, sent_s + 1)


def _entry(event: str, at_s: float = 10) -> Entry:
    return Entry(at_s, 'u', event, 't', '', 'POST')


RAN = [_entry('started'), _entry('finished')]
STOP = Fault('daemon-stop', 'd1', 9, 10.5)
PAUSE = Fault('daemon-pause', 'd1', 9, 10.5)
KILL = Fault('daemon-kill', 'd1', 9, 10.5)
DRAIN = Fault('upstream-drain', 'u', 6, 14)


@pytest.mark.parametrize(
    ('broken', 'told', 'entries', 'faults'),
    [
        ('doubled-write', _told(Result.unknown), RAN + RAN, []),
        ('not-run-but-ran', _told(Result.not_run), RAN, []),
        ('completed-without-run', _told(Result.completed), RAN[:1], []),
        ('wrong', _told(Result.wrong), RAN, []),
        ('hung', _told(Result.hung), RAN, []),
        ('hung', _told(Result.hung, sent_s=20), RAN, [PAUSE]),
        ('connection-lost', _told(Result.lost), RAN, []),
        ('connection-lost', _told(Result.lost), RAN, [PAUSE]),
        ('cut-off-by-planned-stop', _told(Result.lost), RAN, [STOP]),
        ('work-after-drain', _told(Result.completed), RAN, [DRAIN]),
        ('', _told(Result.completed), RAN, []),
        ('', _told(Result.completed, kind='read'), RAN + RAN, []),
        ('', _told(Result.not_run), [], []),
        ('', _told(Result.hung), RAN, [PAUSE]),
        ('', _told(Result.lost), RAN, [KILL]),
        ('', _told(Result.lost, 'connection-refused'), [], []),
        ('', _told(Result.completed), RAN, [DRAIN._replace(since_s=7.5)]),
    ],
)
def test_broken_requirement_is_found(
    broken: str, told: Told, entries: list[Entry], faults: list[Fault]
) -> None:
    """Each requirement needs its own check, and sound ends pass."""
    verdict = judge([told], entries, faults, NAMES)
    assert [name for name, found in verdict.broken.items() if found] == (
        [broken] if broken else []
    )


def test_bundle_that_goes_back_or_differs_is_found() -> None:
    """A reverted or forked version must be reported."""
    first = Polled('d1', 1, 2, 5, 0)
    assert not judge_bundles([first, first._replace(process=2, version=1)])
    assert judge_bundles([first, first._replace(version=1)])
    assert judge_bundles([first, first._replace(daemon='d2', offset=6)])


def test_share_of_unknown_counts_requests_during_the_fault() -> None:
    """Requests outside of a fault must not be counted for it."""
    told = [
        _told(Result.unknown),
        _told(Result.completed),
        _told(Result.unknown, sent_s=20),
    ]
    rows = fault_rows(told, [PAUSE])
    assert '| daemon-pause | 1 | 2 | 50.00% | 0.00% | 0.00% |' in rows


def test_ledger_survives_its_process(tmp_path: Path) -> None:
    """Runs of a killed upstream must still be found."""
    path = tmp_path / 'u.ledger'
    key = WorkKey('', 't', 'k', '', 'POST', '/')
    for _ in range(2):
        Ledger('u', path=str(path)).start(key)
    with path.open('ab') as cut:
        cut.write(b'{"at_s"')
    entries = list(read_entries([path]))
    assert [(one.event, one.idempotency) for one in entries] == [
        ('started', 'k'),
        ('started', 'k'),
    ]


def test_log_keeps_its_records_over_a_kill(tmp_path: Path) -> None:
    """A restarted log without its records would reuse offsets."""
    from twisted.internet.testing import MemoryReactorClock

    path = tmp_path / 'log.records'
    path.write_bytes(b'["bundles","Zmlyc3Q="]\n')
    settings = LogSettings(records_file=str(path))
    stream = LogStore(settings, MemoryReactorClock()).stream('bundles')
    assert stream.end == 1
    assert stream.read(0, 9, 0)[0].payload == b'first'


def test_half_of_the_keyed_writes_are_sent_plain() -> None:
    """Both kinds of writes need load."""
    plan = parse_plan(AGENCY.plan_path.read_text(), 'plan')
    kinds = [kind_of(one) for one in with_plain_writes(plan).profiles]
    assert kinds.count('keyed') == kinds.count('plain') == 2


def test_regions_are_joined_by_relays_only(tmp_path: Path) -> None:
    """A daemon must reach each daemon of the other region by its relay."""
    fleet = LinkedFleet(layout(AGENCY, 6, 12), Processes(tmp_path), tmp_path)
    for daemon in fleet.layout.daemons:
        arguments = fleet.daemon_arguments(daemon.name)
        texts = [one[7:] for one in arguments if one.startswith('--link=')]
        linked = set(parse_links(tuple(texts)))
        others = {
            ('127.0.0.1', other.http_port + 1)
            for other in fleet.layout.daemons
            if other.region != daemon.region
        }
        assert others <= linked
        assert (('127.0.0.1', 21_000) in linked) is (daemon.region == 'thies')


def test_faults_follow_from_the_seed(tmp_path: Path) -> None:
    """A failed run can only be looked into if its faults come again."""
    fleet = LinkedFleet(layout(AGENCY, 6, 12), Processes(tmp_path), tmp_path)
    picks = [
        [Injector(fleet, seed)._pick(list('abcdefgh'), 3) for _ in range(5)]
        for seed in (1, 1)
    ]
    assert picks[0] == picks[1]
    injector = Injector(fleet, 1)
    for name in 'abc':
        injector._begin('daemon-kill', name)
    assert not injector._pick(list('abcdefgh'), 3)
