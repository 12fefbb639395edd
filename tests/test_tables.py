"""Table of slot owners: complete after retention, one owner per slot."""

import msgspec
from fakes_fleet import FakeFleet, started
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux.assignments import (
    Assignment,
    ClaimRecord,
    Holder,
    OwnerRecord,
    Table,
)
from greengagemux.clocks import ms
from greengagemux.events import LogRecord
from greengagemux.slotleases import SlotLeases
from greengagemux.ids import DaemonId, Incarnation
from greengagemux.rollouts import RETENTION

HOLDERS = [Holder(DaemonId(name), Incarnation(1)) for name in 'abc']
SLOT = ('s', 0)
KEPT = 8
STEP = st.tuples(
    st.sampled_from(['home', 'claim', 'state', 'late state', 'junk']),
    st.integers(0, 2),
    st.integers(0, 2),
    st.integers(0, 2),
)


def entries(payloads: list[bytes], start: int) -> list[LogRecord]:
    """Return the records of a log from an offset on."""
    return [
        LogRecord(offset, payloads[offset])
        for offset in range(start, len(payloads))
    ]


def owner_record(slot: int, follows: int, writer: int, owner: int) -> bytes:
    """Return an encoded record that names an owner."""
    return msgspec.msgpack.encode(
        OwnerRecord(
            's', slot, follows, HOLDERS[writer], HOLDERS[owner], HOLDERS[writer]
        )
    )


def assignments_of(table: Table) -> set[Assignment]:
    """Return the assignments of a table."""
    return set(table.snapshot()[1])


@settings(derandomize=True, deadline=None, max_examples=500)
@given(steps=st.lists(STEP, max_size=40), first=st.integers(0, 40))
def test_truncated_log_gives_the_same_table(
    steps: list[tuple[str, int, int, int]], first: int
) -> None:
    """Guards against a table without the records that have expired."""
    log: list[bytes] = []
    complete_table = Table()
    late = complete_table.snapshot_record()
    for kind, slot, writer, owner in steps:
        found = complete_table.get(('s', slot))
        epoch = found.record.epoch if found else 0
        if kind == 'home':
            log.append(
                owner_record(slot, max(0, epoch - writer % 2), writer, owner)
            )
        elif kind == 'claim':
            claim = ClaimRecord('s', slot, epoch, HOLDERS[writer])
            log.append(msgspec.msgpack.encode(claim))
        elif kind == 'junk':
            log.append(b'junk')
        else:
            log.append(
                late
                if kind == 'late state'
                else complete_table.snapshot_record()
            )
            late = complete_table.snapshot_record()
        complete_table.read(0, entries(log, complete_table.following))
    first = min(first, len(log))
    reader = Table()
    reader.read(first, ())
    for entry in entries(log, first):
        reader.read(first, [entry])
    if reader.complete:
        assert assignments_of(reader) == assignments_of(complete_table)
        assert reader.following == complete_table.following
    # A snapshot made now always completes the table.
    log.append(complete_table.snapshot_record())
    reader.read(first, entries(log, reader.following))
    assert reader.complete
    assert assignments_of(reader) == assignments_of(complete_table)


def test_returned_owner_learns_of_a_missed_takeover() -> None:
    """Guards against two owners after the record of a takeover expired."""
    owner, successor, _other = HOLDERS
    log = [owner_record(0, 0, 0, 0), owner_record(0, 1, 0, 0)]
    away = SlotLeases(owner)
    away.read(0, entries(log, 0), ms(0), ms(0))
    assert away.is_sole_owner(SLOT, ms(1))
    peer = Table()
    log.append(
        msgspec.msgpack.encode(
            OwnerRecord('s', 0, 2, owner, successor, successor)
        )
    )
    log.append(owner_record(0, 3, 1, 1))
    peer.read(0, entries(log, 0))
    log.append(b'expired too')
    away.read(4, entries(log, 4), ms(9000), ms(9000))
    assert not away.is_sole_owner(SLOT, ms(9001))
    away.restore(*peer.snapshot(), ms(9002))
    away.read(4, entries(log, 4), ms(9003), ms(9003))
    assert away.table.complete
    assert not away.is_sole_owner(SLOT, ms(9004))


def test_owner_again_after_missed_records_answers_unknown() -> None:
    """Guards against runs of keys that another owner may have run.

    The daemon became owner again, but missed that it had been replaced.
    """
    owner = HOLDERS[0]
    log = [owner_record(0, 0, 0, 0)]
    away = SlotLeases(owner)
    away.read(0, entries(log, 0), ms(0), ms(0))
    log += [owner_record(0, 1, 0, 1), owner_record(0, 2, 1, 0), b'end']
    complete_table = Table()
    complete_table.read(0, entries(log, 0))
    assert complete_table.get(SLOT).record.owner == owner
    log.append(complete_table.snapshot_record())
    away.read(4, entries(log, 4), ms(9000), ms(9000))
    assert away.is_sole_owner(SLOT, ms(9001))
    # Key records of a planned handover are awaited for two seconds.
    decision = away.begin(SLOT, 'caller', 'key', 1, ms(12_000))
    assert type(decision).__name__ == 'Unknown'


def _tables_of(fleet: FakeFleet) -> list[set[Assignment]]:
    tables = [node.daemon.keyed.leases.table for node in fleet.nodes.values()]
    assert all(table.complete for table in tables)
    return [assignments_of(table) for table in tables]


def test_fleet_restarted_from_nothing_finds_the_table() -> None:
    """Guards against a fleet without slot owners once records expired."""
    fleet = started(4)
    fleet.run(8000)
    before = _tables_of(fleet)[0]
    assert before
    appended = len(fleet.log)
    for node in fleet.nodes.values():
        # Skip the wait for the next snapshot.
        node.daemon.keyed._snapshot_append_due = fleet.now
    fleet.run(30_000)
    tables = [
        payload for payload in fleet.log[appended:] if b'table' in payload[:8]
    ]
    assert len(tables) == 1
    for node in fleet.nodes.values():
        fleet.kill(node.name)
    fleet.log_first = appended
    for node in fleet.nodes.values():
        node.start()
    fleet.run(8000)
    for found in _tables_of(fleet):
        assert {entry.record for entry in found} >= {
            entry.record for entry in before
        }


def test_daemon_with_a_gap_gets_the_table_from_a_peer() -> None:
    """Guards against a restarted daemon that never learns the owners."""
    fleet = started(4)
    fleet.run(8000)
    fleet.log.append(b'later')
    fleet.kill('d1')
    fleet.run(2000)
    fleet.log_first = len(fleet.log) - 1
    fleet.nodes['d1'].start()
    fleet.run(8000)
    tables = _tables_of(fleet)
    assert tables[0]
    assert all(found == tables[0] for found in tables)


def test_statement_comes_before_records_expire() -> None:
    """Guards against a snapshot too late for another attempt to follow."""
    fleet = started(2)
    keyed = fleet.nodes['d0'].daemon.keyed
    assert keyed._snapshot_append_due - fleet.now <= RETENTION / 4
