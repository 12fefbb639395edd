"""Membership: no member may be lost, stale or kept alive when dead."""

import random
from collections.abc import Callable
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux import codecs, gossip, members, messages, membertables

_STEP = timedelta(milliseconds=50)
_SECOND = timedelta(seconds=1)


def _record(index: int, incarnation: int = 1000) -> messages.MemberRecord:
    region = 'east' if index % 4 < 2 else 'west'
    return messages.MemberRecord(
        f'd{index}', incarnation, 0, f'dc{index % 4}', region, f'[::1]:{index}'
    )


def _up(state: str) -> tuple[messages.UpstreamRecord, ...]:
    return (
        messages.UpstreamRecord('u1', 's', 4, messages.UpstreamState(state)),
    )


class _Mesh:
    """Members on a simulated network that drops, duplicates and reorders."""

    def __init__(self, count: int, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.now = timedelta()
        self.all: dict[str, members.Members] = {}
        self.paused: set[str] = set()
        self.drops: Callable[[str, str], bool] = lambda _source, _target: False
        self.doubles = False
        self._queue: list[tuple[str, gossip.Directed]] = []
        for index in range(count):
            self.join(_record(index))

    def join(self, record: messages.MemberRecord, seed: str = 'd0') -> None:
        joined = members.Members(record, random.Random(self.rng.random()))
        self.all[record.daemon] = joined
        if record.daemon != seed:
            for one, other in ((record.daemon, seed), (seed, record.daemon)):
                sent = self.all[one].connected(other, self.now)
                self._queue += [(one, directed) for directed in sent]

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * _SECOND / _STEP)):
            self.now += _STEP
            for name in self._running():
                sent = self.all[name].tick(self.now)
                self._queue += [(name, directed) for directed in sent]
            self._deliver()

    def sizes(self) -> set[int]:
        return {len(self.all[name].live()) for name in self._running()}

    def seen(self, daemon: str) -> set[tuple[int, int] | None]:
        copies = [self.all[name].live().get(daemon) for name in self._running()]
        return {copy and (copy.incarnation, copy.sequence) for copy in copies}

    def _running(self) -> list[str]:
        return [name for name in self.all if name not in self.paused]

    def _deliver(self) -> None:
        queue = self._queue
        self._queue = []
        if self.doubles:
            queue += self.rng.sample(queue, len(queue) // 3)
            self.rng.shuffle(queue)
        for source, directed in queue:
            target = directed.daemon
            if target not in self._running() or self.drops(source, target):
                continue
            message = codecs.decode(codecs.encode(directed.message), source)
            sent = self.all[target].receive(message, source, self.now)
            self._queue += [(target, reply) for reply in sent]


def _east(name: str) -> bool:
    return int(name[1:]) % 4 < 2


@settings(derandomize=True, deadline=None, max_examples=8)
@given(seed=st.integers(0, 1000), loss=st.sampled_from([0, 0.05, 0.2]))
def test_change_reaches_all(seed: int, loss: float) -> None:
    """Loss, duplicates or reordering must not leave a stale copy."""
    mesh = _Mesh(16, seed)
    mesh.doubles = True
    mesh.run(20)
    assert mesh.sizes() == {16}
    mesh.drops = lambda _source, _target: mesh.rng.random() < loss
    mesh.all['d5'].set_own(_up('sick'), leaving=False, now=mesh.now)
    mesh.all['d5'].set_own(_up('draining'), leaving=True, now=mesh.now)
    mesh.run(20)
    assert mesh.seen('d5') == {(1000, 2)}
    assert mesh.sizes() == {16}


def test_unchanged_upstreams_send_nothing_new() -> None:
    """A repeated announcement must not use up sequence numbers."""
    one = members.Members(_record(0), random.Random(0))
    one.set_own(_up('serving'), leaving=False, now=_SECOND)
    one.set_own(_up('serving'), leaving=False, now=_SECOND)
    assert one.own.sequence == 1
    assert one.changes() == ('d0',)
    assert not one.changes()


def test_dead_member_expires_everywhere() -> None:
    """Peers that repeat its heartbeat must not keep a dead member alive."""
    mesh = _Mesh(12)
    mesh.run(20)
    mesh.paused.add('d5')
    mesh.run(90)
    assert mesh.sizes() == {11}
    mesh.run(60)
    assert mesh.seen('d5') == {None}


def test_paused_member_returns() -> None:
    """A paused daemon that was declared lost must become live again."""
    mesh = _Mesh(12)
    mesh.run(20)
    mesh.paused.add('d5')
    mesh.run(100)
    mesh.paused.clear()
    mesh.run(25)
    assert mesh.sizes() == {12}


def test_restart_wins_over_old_copies() -> None:
    """Copies of an older incarnation must not hide a restarted daemon."""
    mesh = _Mesh(12)
    mesh.all['d5'].set_own(_up('sick'), leaving=False, now=mesh.now)
    mesh.run(20)
    mesh.join(_record(5, incarnation=2000))
    mesh.run(20)
    assert mesh.seen('d5') == {(2000, 0)}


def test_restart_with_a_clock_set_back_raises_its_incarnation() -> None:
    """A daemon must raise an incarnation below one that peers know.

    The wall clock was set back before the restart, so peers would ignore the
    records of the new process.
    """
    mesh = _Mesh(12)
    mesh.run(20)
    mesh.join(_record(5, incarnation=500))
    mesh.run(20)
    assert mesh.seen('d5') == {(1001, 0)}


def test_one_way_loss_does_not_hide_a_member() -> None:
    """A member whose messages some peers miss must be known through others."""
    mesh = _Mesh(12)
    mesh.run(20)
    mesh.drops = lambda source, target: source == 'd5' and target < 'd4'
    mesh.run(120)
    assert mesh.sizes() == {12}


def test_regions_find_each_other_after_an_hour() -> None:
    """Regions must reconnect after a partition longer than the expiry."""
    mesh = _Mesh(8)
    mesh.run(20)
    mesh.drops = lambda source, target: _east(source) != _east(target)
    mesh.run(70)
    assert mesh.sizes() == {4}
    mesh.now += timedelta(hours=1)
    mesh.run(1)
    mesh.drops = lambda _source, _target: False
    mesh.run(60)
    assert mesh.sizes() == {8}


def test_loss_of_all_relays_of_a_centre() -> None:
    """Changes must reach the other region before the lost relays expire.

    Until then the relays of the region's other data centre carry them.
    """
    mesh = _Mesh(24)
    mesh.run(20)
    scores = [name for name in mesh.all if int(name[1:]) % 4 == 0]
    entries = mesh.all['d0']._member_table.entries
    scores.sort(key=lambda name: -entries[name].score)
    mesh.paused.update(scores[: membertables.RELAYS])
    mesh.all[scores[-1]].set_own(_up('sick'), leaving=False, now=mesh.now)
    mesh.run(30)
    assert mesh.seen(scores[-1]) == {(1000, 1)}


def test_old_heartbeat_refreshes_nothing() -> None:
    """An equal heartbeat counter must not refresh a member, a higher must."""
    one = members.Members(_record(0), random.Random(0))
    one.receive(messages.MemberDeltas((_record(1),), (7,), (5,)), 'd1', _SECOND)
    digest = messages.DigestEntry('d1', 1000, 0, 7, 0)
    one.receive(messages.MemberHeartbeats((digest,)), 'd1', 50 * _SECOND)
    one.tick(57 * _SECOND)
    assert 'd1' not in one.live()
    newer = msgspec.structs.replace(digest, heartbeat=8)
    one.receive(messages.MemberHeartbeats((newer,)), 'd1', 58 * _SECOND)
    assert 'd1' in one.live()


def test_foreign_message_is_an_error() -> None:
    """A message that is not about membership must raise."""
    one = members.Members(_record(0), random.Random(0))
    with pytest.raises(TypeError, match='Ping'):
        one.receive(messages.Ping(1), 'd1', _SECOND)


@pytest.mark.parametrize('age_s', [-1000, 1 << 62])
def test_bad_age_is_bounded(age_s: int) -> None:
    """A bad age from a peer must not raise or keep a member for ever."""
    one = members.Members(_record(0), random.Random(0))
    one.receive(
        messages.MemberDeltas((_record(1),), (1,), (age_s,)), 'd1', _SECOND
    )
    one.tick(61 * _SECOND)
    assert 'd1' not in one.live()
