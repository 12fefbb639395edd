"""Decisions on tries for a free slot in the region and in others."""

from datetime import timedelta
from random import Random

import pytest
from fakes_fleet import BUNDLE, started

from greengagemux.bundles import Service
from greengagemux.clocks import ZERO, ms
from greengagemux.ids import DaemonId, Region, ServiceName, UpstreamId
from greengagemux.messages import Priority, UpstreamState
from greengagemux.overflow.decisions import (
    Overflow,
    far_tries_left,
    is_known_full,
    soonest,
)
from greengagemux.overflow.regions import FIRST_PAUSE, LONGEST_PAUSE
from greengagemux.overflow.trials import FORGET_AFTER, TrialCounts
from greengagemux.regionlinks import LinkBudget
from greengagemux.selection import Candidate, Nearness, SelectionLimits

TRIES = 6
SERVICE = Service(ServiceName('s'), free_slot_tries=TRIES, overflow=True)
NEAR = Nearness.same_data_centre
FAR = Nearness.other_region


def _candidate(
    name: str, nearness: Nearness = FAR, region: str = 'far', **fields: object
) -> Candidate:
    known = {'slots': 4, 'state': UpstreamState.serving, **fields}
    return Candidate(
        UpstreamId(name),
        DaemonId(name),
        ServiceName('s'),
        nearness=nearness,
        region=Region(region),
        **known,
    )


def _limits(*, remote: bool = True, patience_ms: float = 0) -> SelectionLimits:
    return SelectionLimits(
        idempotent=True, remote=remote, spill=2, patience_ms=patience_ms
    )


def _try(counts: TrialCounts, count: int, found_share: float = 0) -> None:
    """Count tries of which a share finds a slot, evenly spread."""
    for number in range(count):
        counts.count_sent(ZERO)
        found = int((number + 1) * found_share) > int(number * found_share)
        if not found:
            counts.count_refused()


def test_tries_fall_while_all_are_refused() -> None:
    """An overload must soon cost one try for each request."""
    counts = TrialCounts()
    _try(counts, 200)
    assert counts.limit(TRIES, ZERO) <= 2


@pytest.mark.parametrize('found_share', [0.2, 0.34, 1])
def test_tries_do_not_fall_while_slots_are_free(found_share: float) -> None:
    """A request must not be queued early where one try in five finds a slot."""
    counts = TrialCounts()
    for _ in range(200):
        _try(counts, 5, found_share)
        assert counts.limit(TRIES, ZERO) == TRIES


def test_first_refusals_do_not_reduce_the_tries() -> None:
    """One request that is refused everywhere is no overload."""
    counts = TrialCounts()
    _try(counts, TRIES)
    assert counts.limit(TRIES, ZERO) == TRIES


def test_slots_that_are_found_restore_the_tries() -> None:
    """After an overload a few free slots must restore all tries."""
    counts = TrialCounts()
    _try(counts, 500)
    _try(counts, 4, 1)
    assert counts.limit(TRIES, ZERO) == TRIES


def test_tries_are_restored_after_a_lull() -> None:
    """An overload of long ago must not reduce the tries of a request."""
    counts = TrialCounts()
    _try(counts, 500)
    assert counts.limit(TRIES, FORGET_AFTER) == TRIES


def test_option_off_leaves_the_tries() -> None:
    """Services without the option must be served as before."""
    overflow = Overflow(Random(1))
    near = _candidate('a', NEAR)
    for _ in range(200):
        overflow.sent(near, ZERO)
        overflow.refused(near, ZERO)
    off = Service(ServiceName('s'), free_slot_tries=TRIES)
    assert overflow.tries(off, ZERO) == TRIES
    assert overflow.tries(SERVICE, ZERO) < TRIES


def _is_tried(overflow: Overflow, candidate: Candidate, at_ms: float) -> bool:
    return overflow.choose_far([candidate], ms(at_ms)) is candidate


def test_region_that_refuses_is_skipped_for_longer_each_time() -> None:
    """An overload in all regions must not cost a far try for each request."""
    overflow = Overflow(Random(1))
    far = _candidate('a')
    now = ZERO
    pauses: list[timedelta] = []
    for _ in range(6):
        overflow.refused(far, now)
        refused_at = now
        while overflow.choose_far([far], now) is None:
            now += ms(10)
        pauses.append(now - refused_at)
    assert pauses[:3] == [FIRST_PAUSE, FIRST_PAUSE * 2, FIRST_PAUSE * 4]
    assert pauses[-1] == LONGEST_PAUSE


def test_refusals_of_one_moment_count_once() -> None:
    """Tries that were under way together must not lengthen the pause."""
    overflow = Overflow(Random(1))
    far = _candidate('a')
    for at_ms in range(5):
        overflow.refused(far, ms(at_ms))
    assert _is_tried(overflow, far, 200)


def test_other_regions_are_tried_while_one_is_skipped() -> None:
    """A full region must not keep requests from a third one."""
    overflow = Overflow(Random(1))
    full, other = _candidate('a'), _candidate('b', region='third')
    overflow.refused(full, ZERO)
    for _ in range(20):
        assert overflow.choose_far([full, other], ZERO) is other


def test_slot_found_ends_the_pause() -> None:
    """A region must be tried again once a try there has found a slot."""
    overflow = Overflow(Random(1))
    far = _candidate('a')
    overflow.refused(far, ZERO)
    overflow.found(far)
    assert _is_tried(overflow, far, 0)


def test_region_is_skipped_after_a_lost_stream() -> None:
    """Guards against requests that follow each other into a link that failed."""
    overflow = Overflow(Random(1))
    far = _candidate('a')
    overflow.lost(far, ZERO)
    assert not _is_tried(overflow, far, 1500)
    assert _is_tried(overflow, far, 1600)


@pytest.mark.parametrize(
    'candidate',
    [
        _candidate('near', NEAR),
        _candidate('full', in_flight=4),
        _candidate('sick', state=UpstreamState.sick),
        _candidate('new', state=UpstreamState.probation),
    ],
)
def test_upstream_without_a_sound_free_slot_is_not_tried(
    candidate: Candidate,
) -> None:
    """A try that is known to fail must not cost a message between regions."""
    assert Overflow(Random(1)).choose_far([candidate], ZERO) is None


def test_few_far_upstreams_are_tried_or_connected() -> None:
    """A request must not be tried, or open streams, all over the fleet."""
    far, near = _candidate('a'), _candidate('b', NEAR)
    assert far_tries_left([near, near], [], 0) == 2
    assert far_tries_left([near, far], [], 0) == 1
    assert far_tries_left([far], [far], 0) == 0
    assert far_tries_left([], [far], 1) == 0


def test_queue_nearby_is_preferred() -> None:
    """A request must not cross regions for a small gain, or without the link."""
    near = _candidate('a', NEAR, in_flight=5, service_ms=400)
    far = _candidate('b', in_flight=5, service_ms=390)
    assert soonest([near, far], _limits()) is near
    far.in_flight = 0
    assert soonest([near, far], _limits()) is far
    assert soonest([near, far], _limits(remote=False)) is near
    assert soonest([near, far], _limits(patience_ms=1000)) is near


def test_upstream_with_free_slots_does_not_attract_the_queue() -> None:
    """An upstream that fails at once reports free slots, and must not get all."""
    assert is_known_full(_candidate('a', NEAR, in_flight=4, reported=True))
    assert not is_known_full(_candidate('b', NEAR, reported=True))
    assert not is_known_full(_candidate('c', NEAR, in_flight=4))
    assert not is_known_full(_candidate('d', in_flight=4, reported=True))


def test_refused_try_gives_back_the_link_budget() -> None:
    """Tries that are refused must not use up the budget for responses."""
    link = LinkBudget()
    link.configure(1000)
    assert link.allows(Priority.waiting, timedelta(seconds=1))
    for _ in range(100):
        link.refund(link.charge('route', 0))
    assert link.allows(Priority.waiting, timedelta(seconds=1))


def test_state_of_removed_services_is_dropped() -> None:
    """Many configurations with changing services must not use up memory."""
    overflow = Overflow(Random(1))
    far = _candidate('a')
    near = _candidate('b', NEAR)
    for _ in range(100):
        overflow.tries(SERVICE, ZERO)
        overflow.sent(near, ZERO)
        overflow.refused(near, ZERO)
    overflow.refused(far, ZERO)
    overflow.keep({SERVICE.name})
    assert overflow.tries(SERVICE, ZERO) < TRIES
    assert not _is_tried(overflow, far, 0)
    overflow.keep(set())
    assert overflow.tries(SERVICE, ZERO) == TRIES
    assert _is_tried(overflow, far, 0)


def test_bundle_without_a_service_drops_its_state() -> None:
    """The ingress must pass on which services are left."""
    fleet = started(1)
    overflow = fleet.nodes['d0'].daemon.ingress._overflow
    overflow.sent(_candidate('b', NEAR), ZERO)
    overflow.refused(_candidate('a'), ZERO)
    fleet.publish(
        BUNDLE.replace('version = 1', 'version = 2').replace(
            'follows = 0', 'follows = 1'
        )
    )
    fleet.run(3000)
    assert fleet.nodes['d0'].daemon.distribution.bundle.version == 2
    assert not overflow._trials
    assert not overflow._regions._pauses
