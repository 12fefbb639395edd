"""Guards against a keyed write that is dispatched twice."""

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from greengagemux import assignments, events, slotleases, writes
from greengagemux.outages import SECOND, SLOT, Fleet, Node
from greengagemux.outcomes import Outcome

_FAULTS = (
    'pause',
    'resume',
    'restart',
    'cut_one_way',
    'cut_log',
    'heal',
    'slow',
    'outage',
    'delay',
    'land',
    'drop',
    'hand_over',
    'claim',
)

_roles = st.sampled_from(['home', 'successor', 'third', 'fourth'])
_pause_s = st.sampled_from([1, 1, 3, 7, 12, 50])


class _FaultHistories(stateful.RuleBasedStateMachine):
    """Injects faults in any order; ``Fleet`` checks dispatches and refusals."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.fleet.assign()
        self.count = 0

    @stateful.rule(fault=st.sampled_from(_FAULTS), role=_roles, other=_roles)
    def strike(self, fault: str, role: str, other: str) -> None:
        getattr(self, f'_{fault}')(role, other)
        self._run(1)

    @stateful.rule(seconds=_pause_s)
    def wait(self, seconds: int) -> None:
        self._run(seconds)

    def _run(self, seconds: int) -> None:
        """Send new and old keys to all daemons, whichever is the owner."""
        for _ in range(seconds):
            self.count += 1
            first_sent = list(self.fleet.first_sent)[-20:]
            again = self.fleet.rng.sample(first_sent, min(len(first_sent), 3))
            for key in (f'k{self.count}', *again):
                for name in self.fleet.nodes:
                    self.fleet.send(name, key)
            self.fleet.run(1)

    def _node(self, role: str) -> Node:
        return self.fleet.nodes[self.fleet.roles()[role]]

    def _pause(self, role: str, _other: str) -> None:
        self._node(role).paused = True

    def _resume(self, _role: str, _other: str) -> None:
        for node in self.fleet.nodes.values():
            node.paused = False

    def _restart(self, role: str, _other: str) -> None:
        self.fleet.start(self._node(role).holder.daemon)

    def _cut_one_way(self, role: str, other: str) -> None:
        path = [self._node(end).holder.daemon for end in (role, other)]
        self.fleet.cuts.add(tuple(path))

    def _cut_log(self, role: str, _other: str) -> None:
        self._node(role).log_cut = True

    def _heal(self, _role: str, _other: str) -> None:
        self.fleet.cuts.clear()
        for node in self.fleet.nodes.values():
            node.log_cut = False

    def _slow(self, _role: str, _other: str) -> None:
        self.fleet.slow = not self.fleet.slow

    def _outage(self, _role: str, _other: str) -> None:
        self.fleet.log.unavailable = not self.fleet.log.unavailable

    def _delay(self, _role: str, _other: str) -> None:
        self.fleet.log.delayed = not self.fleet.log.delayed

    def _land(self, _role: str, _other: str) -> None:
        for payload in self.fleet.log.held[:1]:
            self.fleet.log.apply(payload)

    def _drop(self, _role: str, _other: str) -> None:
        del self.fleet.log.held[:1]

    def _hand_over(self, role: str, other: str) -> None:
        if 'home' != role != other:
            old = self._node('home').leases
            target = self._node(role).holder
            old.hand_over(SLOT, target, self._node(other).holder)

    def _claim(self, role: str, _other: str) -> None:
        node = self._node(role)
        claimed = node.leases.claim(SLOT)
        if claimed is not None and not node.log_cut:
            self.fleet.log.append(claimed.payload)


def _search(histories: int) -> None:
    stateful.run_state_machine_as_test(
        _FaultHistories,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=histories,
            stateful_step_count=30,
            database=None,
        ),
    )


def test_no_key_is_dispatched_twice(request: pytest.FixtureRequest) -> None:
    """Guards against a second dispatch of a key after any order of faults."""
    _search(request.config.getoption('--histories'))


def _late_takeover() -> None:
    """Apply an old takeover while the owner is cut from the log.

    The first successor is named again in the meantime, so only the epoch
    distinguishes its old record from a new one.
    """
    fleet = Fleet()
    fleet.assign()
    first, second, third = (fleet.nodes[name] for name in ('d0', 'd1', 'd2'))
    follows = [(0, first, second), (1, first, third), (2, first, second)]
    for epoch, owner, successor in follows[1:]:
        record = assignments.OwnerRecord(
            *SLOT,
            epoch,
            owner.holder,
            owner.holder,
            successor.holder,
        )
        fleet.log.apply(msgspec.msgpack.encode(record))
        fleet.run(2)
    late = assignments.OwnerRecord(
        *SLOT, 1, second.holder, second.holder, third.holder
    )
    first.log_cut = True
    fleet.log.apply(msgspec.msgpack.encode(late))
    for turn in range(50):
        fleet.run(1)
        for name in ('d1', 'd0'):
            fleet.send(name, f'k{turn}')


def _unresolved_append() -> None:
    """Apply a change of successor that owner and old successor do not read."""
    fleet = Fleet()
    fleet.assign()
    fleet.run(3)
    fleet.log.delayed = True
    fleet.cuts.add(('d1', 'd0'))
    fleet.run(3.5)
    fleet.cuts.clear()
    for name in ('d0', 'd1'):
        fleet.nodes[name].log_cut = True
    fleet.log.apply(fleet.log.held[0])
    fleet.log.delayed = False
    assert fleet.roles()['successor'] == 'd2'
    for turn in range(56):
        for name in ('d2', 'd0'):
            fleet.send(name, f'k{turn}')
        fleet.run(1)


def test_lease_of_a_replaced_successor_does_not_count() -> None:
    """Guards against an owner that dispatches by leases of a replaced successor.

    Neither of the two reads the log, so neither learns of the new successor,
    which takes over.
    """
    _unresolved_append()


def _late_resume() -> None:
    """Resume a paused owner after another daemon has taken over."""
    fleet = Fleet()
    fleet.assign()
    fleet.run(3)
    fleet.nodes['d0'].paused = True
    fleet.run(48)
    for key in 'abc':
        fleet.send('d0', key)
        fleet.send('d1', key)
    fleet.run(4)
    fleet.nodes['d0'].paused = False
    fleet.run(5)
    assert fleet.dispatched == {'a': 1, 'b': 1, 'c': 1}


def _killed_owner() -> None:
    """Repeat keys after the owner of their slot was killed."""
    fleet = Fleet()
    fleet.assign()
    for key in 'abc':
        fleet.send('d0', key)
    fleet.run(2)
    fleet.start('d0')
    fleet.run(15)
    for key in 'abc':
        fleet.send('d1', key)
    fleet.run(5)
    assert fleet.answers == {'Run': 3, 'Unknown': 3}


def test_owner_that_resumes_late_refuses() -> None:
    """Guards against requests queued in a paused owner's socket running again."""
    _late_resume()


def test_keys_of_a_killed_owner_are_unknown() -> None:
    """Guards against a new owner that runs what the killed one has run."""
    _killed_owner()


def test_late_append_of_an_old_epoch_changes_nothing() -> None:
    """Guards against a second owner by an append that takes effect late."""
    _late_takeover()


@pytest.mark.parametrize(
    ('owner', 'check', 'answer', 'history'),
    [
        (slotleases.SlotLeases, '_is_leased', True, _late_resume),
        (assignments.Table, '_follows', True, _late_takeover),
        (writes.SlotRecords, '_in_window', False, _killed_owner),
        (slotleases, '_is_unresolved', False, _unresolved_append),
    ],
)
def test_histories_fail_without_the_check(
    owner: object,
    check: str,
    answer: bool,
    history: Callable[[], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against histories that pass even when the check is disabled."""
    monkeypatch.setattr(owner, check, lambda *_arguments: answer)
    with pytest.raises(AssertionError, match='a key'):
        history()


def test_planned_handover_leaves_no_key_unknown() -> None:
    """Guards against unknown outcomes or repeated runs by a planned handover."""
    fleet = Fleet()
    fleet.assign()
    for turn in range(20):
        fleet.send('d0', f'k{turn}')
    fleet.run(5)
    old = fleet.nodes['d0'].leases
    target, successor = (fleet.nodes[name].holder for name in ('d2', 'd3'))
    old.hand_over(SLOT, target, successor)
    fleet.answers.clear()
    fleet.run(3)
    assert not old.handing_over
    for turn in range(10, 30):
        fleet.send('d2', f'k{turn}')
    fleet.run(3)
    assert set(fleet.dispatched.values()) == {1}
    assert len(fleet.dispatched) == 30
    assert not fleet.answers['NotOwner']


def test_owner_continues_without_the_log() -> None:
    """Guards against an outage of the log that stops keyed writes.

    Owner and successor are both alive, so leases suffice.
    """
    fleet = Fleet()
    fleet.assign()
    fleet.log.unavailable = True
    for turn in range(30):
        fleet.run(1)
        fleet.send('d0', f'k{turn}')
    fleet.run(1)
    assert fleet.answers == {'Run': 30}
    assert len(fleet.log.records) == 1


def test_lost_owner_and_successor_are_replaced_by_a_claim() -> None:
    """Guards against a slot without service once owner and successor are gone."""
    fleet = Fleet()
    fleet.assign()
    fleet.nodes['d0'].paused = True
    fleet.nodes['d1'].paused = True
    for name in ('d3', 'd2'):
        claimed = fleet.nodes[name].leases.claim(SLOT)
        assert claimed is not None
        fleet.log.append(claimed.payload)
        fleet.run(1)
        fleet.nodes['d3'].paused = True
    wait = fleet.terms.max_log_outage + fleet.terms.takeover_window
    fleet.run(wait / SECOND + 15)
    fleet.send('d2', 'late')
    fleet.run(3)
    assert fleet.dispatched['late'] == 1


def test_owner_answers_a_claim_by_a_record() -> None:
    """Guards against a claim that takes a slot from a live owner."""
    fleet = Fleet()
    fleet.assign()
    claimed = fleet.nodes['d2'].leases.claim(SLOT)
    assert claimed is not None
    fleet.log.append(claimed.payload)
    fleet.run(100)
    assert fleet.roles()['home'] == 'd0'


def test_key_with_another_body_is_a_conflict() -> None:
    """Guards against the answer of another request with the same key."""
    key_records = writes.SlotRecords(writes.LeaseTimings(), term=1)
    assert key_records.begin('c', 'k', 1, SECOND) == writes.Run(1)
    assert key_records.lookup('c', 'k', 2) == writes.Conflict()
    assert key_records.lookup('c', 'k', 1) == writes.Wait()
    key_records.finish('c', 'k', Outcome.not_run)
    assert key_records.lookup('c', 'k', 1) is None


def test_full_slot_refuses_new_keys(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a full slot that drops old keys or takes new ones."""
    monkeypatch.setattr(writes, 'RECORD_LIMIT', 2)
    key_records = writes.SlotRecords(writes.LeaseTimings(), term=1)
    for key in 'ab':
        key_records.begin('c', key, 1, SECOND)
        key_records.finish('c', key, Outcome.unknown)
    assert key_records.begin('c', 'd', 1, SECOND) == writes.Full()
    assert key_records.lookup('c', 'a', 1) == writes.Unknown()
    key_records.expire(SECOND + writes.LeaseTimings().retention)
    assert not len(key_records)


def test_reader_with_a_gap_is_no_owner() -> None:
    """Guards against a daemon that missed records and acts on later ones."""
    own = assignments.Holder('d0', 1)
    record = assignments.OwnerRecord(*SLOT, 0, own, own, own)
    entry = events.LogRecord(7, msgspec.msgpack.encode(record))
    late = slotleases.SlotLeases(own)
    late.read(7, [entry], SECOND, SECOND)
    assert not late.is_sole_owner(SLOT, SECOND)
    assert late.assign(('s', 1), own) is None
