"""Table of homes: complete after retention, and never a second home."""

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
    """Return the records of a log from an offset."""
    return [
        LogRecord(offset, payloads[offset])
        for offset in range(start, len(payloads))
    ]


def taken(slot: int, follows: int, writer: int, owner: int) -> bytes:
    """Return a record that names a home."""
    return msgspec.msgpack.encode(
        OwnerRecord(
            's', slot, follows, HOLDERS[writer], HOLDERS[home], HOLDERS[writer]
        )
    )


def shown(table: Table) -> set[Assignment]:
    """Return the assignments of a table."""
    return set(table.snapshot()[1])


@settings(derandomize=True, deadline=None, max_examples=500)
@given(steps=st.lists(STEP, max_size=40), first=st.integers(0, 40))
def test_truncated_log_gives_the_same_table(
    steps: list[tuple[str, int, int, int]], first: int
) -> None:
    """Guards against a table that lacks records that are no longer kept."""
    log: list[bytes] = []
    whole = Table()
    late = whole.snapshot_record()
    for kind, slot, writer, home in steps:
        found = whole.get(('s', slot))
        epoch = found.record.epoch if found else 0
        if kind == 'home':
            log.append(taken(slot, max(0, epoch - writer % 2), writer, home))
        elif kind == 'claim':
            claim = ClaimRecord('s', slot, epoch, HOLDERS[writer])
            log.append(msgspec.msgpack.encode(claim))
        elif kind == 'junk':
            log.append(b'junk')
        else:
            log.append(
                late if kind == 'late state' else whole.snapshot_record()
            )
            late = whole.snapshot_record()
        whole.read(0, entries(log, whole.following))
    first = min(first, len(log))
    reader = Table()
    reader.read(first, ())
    for entry in entries(log, first):
        reader.read(first, [entry])
    if reader.complete:
        assert shown(reader) == shown(whole)
        assert reader.following == whole.following
    # A statement made now always completes the table.
    log.append(whole.snapshot_record())
    reader.read(first, entries(log, reader.following))
    assert reader.complete
    assert shown(reader) == shown(whole)


def test_returned_home_learns_of_a_lost_takeover() -> None:
    """Guards against two homes after the record of a takeover expired."""
    home, successor, _other = HOLDERS
    log = [taken(0, 0, 0, 0), taken(0, 1, 0, 0)]
    away = SlotLeases(home)
    away.read(0, entries(log, 0), ms(0), ms(0))
    assert away.is_sole_owner(SLOT, ms(1))
    peer = Table()
    log.append(
        msgspec.msgpack.encode(
            OwnerRecord('s', 0, 2, home, successor, successor)
        )
    )
    log.append(taken(0, 3, 1, 1))
    peer.read(0, entries(log, 0))
    log.append(b'expired too')
    away.read(4, entries(log, 4), ms(9000), ms(9000))
    assert not away.is_sole_owner(SLOT, ms(9001))
    away.restore(*peer.snapshot(), ms(9002))
    away.read(4, entries(log, 4), ms(9003), ms(9003))
    assert away.table.complete
    assert not away.is_sole_owner(SLOT, ms(9004))


def test_home_again_after_lost_records_answers_unknown() -> None:
    """Guards against a home that forgot what ran while it was replaced."""
    owner = HOLDERS[0]
    log = [taken(0, 0, 0, 0)]
    away = SlotLeases(home)
    away.read(0, entries(log, 0), ms(0), ms(0))
    log += [taken(0, 1, 0, 1), taken(0, 2, 1, 0), b'end']
    whole = Table()
    whole.read(0, entries(log, 0))
    assert whole.get(SLOT).record.owner == home
    log.append(whole.snapshot_record())
    away.read(4, entries(log, 4), ms(9000), ms(9000))
    assert away.is_sole_owner(SLOT, ms(9001))
    # The records of a planned handover may still arrive for two seconds.
    decision = away.begin(SLOT, 'caller', 'key', 1, ms(12_000))
    assert type(decision).__name__ == 'Unknown'


def _shown(fleet: FakeFleet) -> list[set[Assignment]]:
    tables = [node.daemon.keyed.leases.table for node in fleet.nodes.values()]
    assert all(table.complete for table in tables)
    return [shown(table) for table in tables]


def test_fleet_restarted_from_nothing_finds_the_table() -> None:
    """Guards against a fleet without homes once first records expired."""
    fleet = started(4)
    fleet.run(8000)
    before = _shown(fleet)[0]
    assert before
    appended = len(fleet.log)
    for node in fleet.nodes.values():
        # Pass over the quiet time in one step.
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
    for found in _shown(fleet):
        assert {entry.record for entry in found} >= {
            entry.record for entry in before
        }


def test_daemon_with_a_gap_gets_the_table_from_a_peer() -> None:
    """Guards against a restarted daemon that never finds the homes."""
    fleet = started(4)
    fleet.run(8000)
    fleet.log.append(b'later')
    fleet.kill('d1')
    fleet.run(2000)
    fleet.log_first = len(fleet.log) - 1
    fleet.nodes['d1'].start()
    fleet.run(8000)
    tables = _shown(fleet)
    assert tables[0]
    assert all(found == tables[0] for found in tables)


def test_statement_comes_before_records_expire() -> None:
    """Guards against a period that leaves no time for another attempt."""
    fleet = started(2)
    keyed = fleet.nodes['d0'].daemon.keyed
    assert keyed._snapshot_append_due - fleet.now <= RETENTION / 4
