"""Poison requests are blocked in the whole fleet, unrelated ones are not."""

import random
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux import codecs
from greengagemux.poisonrequests import (
    CRASH_LIMIT,
    LIFETIME,
    SHARED_BLOCK_TIME,
    PoisonRequests,
    PoisonStatus,
    fingerprint,
)
from greengagemux.messages import Suspects

_SECOND = timedelta(seconds=1)
_Step = tuple[str, int, set[int], int]
#: Time at which a daemon learned of a crash and time at which it expires.
_Times = tuple[timedelta, timedelta]
_CRASHING = 99
_steps = st.lists(
    st.tuples(
        st.sampled_from(['crash', 'answer', 'gossip', 'wait']),
        st.integers(0, 2),
        st.sets(st.integers(1, 5), min_size=1, max_size=4),
        st.integers(0, 400),
    ),
    max_size=25,
)


class _Naive:
    """Keeps every crash and completion that reached one daemon."""

    def __init__(self) -> None:
        self.crashes: dict[int, dict[int, _Times]] = {}
        self.cleared: dict[int, set[int]] = {}

    def counted(self, subject: int, now: timedelta) -> set[int]:
        crashes = self.crashes.get(subject, {})
        if not crashes or now >= max(end for _seen, end in crashes.values()):
            self.crashes.pop(subject, None)
            self.cleared.pop(subject, None)
            return set()
        return set(crashes) - self.cleared.get(subject, set())

    def check(self, subject: int, now: timedelta) -> PoisonStatus:
        mine = self.counted(subject, now)
        if len(self.crashes.get(subject, {})) >= CRASH_LIMIT:
            return PoisonStatus.blocked
        if not mine:
            return PoisonStatus.clear
        if len(mine) == 1:
            return PoisonStatus.suspect
        latest = max(self.crashes[subject][crash][0] for crash in mine)
        others = [key for key in list(self.crashes) if key != subject]
        if now - latest >= SHARED_BLOCK_TIME and any(
            mine <= self.counted(key, now) for key in others
        ):
            return PoisonStatus.suspect
        return PoisonStatus.blocked

    def note(self, message: Suspects, now: timedelta) -> None:
        for entry in message.entries:
            self.counted(entry.fingerprint, now)
            crashes = self.crashes.setdefault(entry.fingerprint, {})
            end = now + timedelta(milliseconds=entry.expires_in_ms)
            for crash in entry.crashes:
                crashes.setdefault(crash, (now, end))
            known = self.cleared.setdefault(entry.fingerprint, set())
            known.update(set(entry.cleared) & set(crashes))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(steps=_steps)
def test_agrees_with_naive_version(
    steps: list[_Step],
) -> None:
    """Merging, expiry and clearing must not depend on the bookkeeping."""
    daemons = [PoisonRequests(random.Random(seed)) for seed in range(3)]
    naive = [_Naive() for _ in daemons]
    now = _SECOND
    for kind, index, subjects, wait in steps:
        one = daemons[index]
        if kind == 'wait':
            now += wait * _SECOND
        elif kind == 'crash':
            naive[index].note(one.crashed(subjects, now), now)
        elif kind == 'answer':
            for subject in subjects:
                one.started(subject)
                naive[index].note(one.finished(subject, True, now), now)
        else:
            target = (index + 1) % 3
            message = codecs.decode(codecs.encode(one.snapshot(now)), 'peer')
            assert isinstance(message, Suspects)
            daemons[target].merge(message, now)
            naive[target].note(message, now)
            assert not daemons[target].merge(message, now).entries
        for daemon, slow in zip(daemons, naive, strict=True):
            for subject in range(1, 6):
                assert daemon.check(subject, now) is slow.check(subject, now)


def _merge_into_all(
    daemons: list[PoisonRequests], message: Suspects, now: timedelta
) -> None:
    for daemon in daemons:
        daemon.merge(message, now)


@pytest.mark.parametrize('gossip', [True, False])
def test_two_crashes_convict_everywhere(gossip: bool) -> None:
    """No third upstream may run a request that has crashed two."""
    rng = random.Random(1)
    for seed in range(200):
        daemons = [PoisonRequests(random.Random(seed + n)) for n in range(8)]
        first = daemons[0].crashed(
            [_CRASHING, *rng.sample(range(40), 4)], ms(0)
        )
        if gossip:
            _merge_into_all(daemons[1:], first, ms(300))
            assert daemons[1].check(_CRASHING, ms(300)) is PoisonStatus.suspect
            second = daemons[1].crashed([_CRASHING], ms(400))
        else:
            others = rng.sample(range(40, 80), 4)
            second = daemons[1].crashed([_CRASHING, *others], ms(100))
            _merge_into_all(daemons, first, ms(500))
        _merge_into_all(daemons, second, ms(700))
        statuses = {daemon.check(_CRASHING, ms(700)) for daemon in daemons}
        assert statuses == {PoisonStatus.blocked}
        assert daemons[2].check(_CRASHING, ms(599_000)) is PoisonStatus.blocked
        assert daemons[2].check(_CRASHING, ms(1_300_000)) is PoisonStatus.clear


def ms(amount: float) -> timedelta:
    return timedelta(milliseconds=amount)


def test_unrelated_request_in_both_crashes_is_blocked_briefly() -> None:
    """Of two requests in the same crashes, the one that completes is clear."""
    one = PoisonRequests(random.Random(0))
    one.crashed([1, _CRASHING], ms(0))
    one.crashed([1, _CRASHING], ms(100))
    assert one.check(1, ms(200)) is PoisonStatus.blocked
    later = ms(100) + SHARED_BLOCK_TIME
    assert one.check(1, later) is PoisonStatus.suspect
    one.started(1)
    assert one.is_running(1)
    update = one.finished(1, answered=True, now=later)
    assert not one.is_running(1)
    assert one.check(1, later) is PoisonStatus.clear
    assert one.check(_CRASHING, later) is PoisonStatus.blocked
    other = PoisonRequests(random.Random(1))
    other.merge(update, later)
    assert other.check(1, later) is PoisonStatus.clear


def test_crash_while_alone_identifies_the_crashing_request() -> None:
    """A crash while it runs alone blocks it and not the other suspect."""
    one = PoisonRequests(random.Random(0))
    one.crashed([1, _CRASHING], ms(0))
    one.crashed([1, _CRASHING], ms(100))
    one.crashed([_CRASHING], ms(20_000))
    assert one.check(_CRASHING, ms(100_000)) is PoisonStatus.blocked
    assert one.check(1, ms(100_000)) is PoisonStatus.suspect


def test_repeated_reports_do_not_prolong() -> None:
    """Reports repeated between two daemons must not extend a lifetime."""
    one = PoisonRequests(random.Random(0))
    two = PoisonRequests(random.Random(1))
    one.crashed([1], ms(0))
    now = ms(0)
    while now < LIFETIME:
        two.merge(one.snapshot(now), now)
        one.merge(two.snapshot(now), now)
        now += ms(30_000)
    assert one.check(1, now + ms(1)) is PoisonStatus.clear
    assert two.check(1, now + ms(1)) is PoisonStatus.clear


def test_size_is_bounded_and_convictions_stay() -> None:
    """A flood of suspects must not evict a blocked request."""
    one = PoisonRequests(random.Random(0), limit=10)
    one.crashed([_CRASHING], ms(0))
    one.crashed([_CRASHING], ms(1))
    for subject in range(50):
        one.crashed([subject + 100], ms(subject + 2))
    assert len(one) == 10
    assert one.check(_CRASHING, ms(100)) is PoisonStatus.blocked


def test_alternating_request_is_refused_in_the_end() -> None:
    """A request that completes between its crashes is blocked at a limit."""
    one = PoisonRequests(random.Random(0))
    for turn in range(CRASH_LIMIT):
        one.crashed([1], ms(turn))
        one.finished(1, answered=True, now=ms(turn))
    assert one.check(1, ms(100)) is PoisonStatus.blocked


def test_fingerprint_keeps_parts_apart() -> None:
    """Bytes moved between target and body must give another request."""
    assert fingerprint(b'GET', b'/ab', b'c') != fingerprint(
        b'GET', b'/a', b'bc'
    )
