"""Decisions of an ingress on tries for a free slot and on queues.

Addresses services with few upstreams in each region and uneven demand. What
is remembered here is lost with the process. Holds no transport.
"""

from collections.abc import Collection, Container, Iterable
from datetime import timedelta
from random import Random
from typing import Final

from ..bundles import Service
from ..ids import ServiceName
from ..messages import UpstreamState
from ..selection import Candidate, Nearness, SelectionLimits
from .regions import FullRegions
from .trials import TrialCounts

#: Upstreams of other regions that are tried for a free slot for one request.
FAR_TRIES: Final = 2
#: The same after a turn in a queue.
LATER_FAR_TRIES: Final = 1
#: Time that a request must gain by a queue in another region. It exceeds the
#: round trip between regions, 24 ms on the platform.
FAR_GAIN_MS: Final = 50
#: Upstreams of other regions among which the one with the least load is used.
_DRAWS: Final = 2
#: States of upstreams of which the reported load is used.
_SOUND: Final = frozenset((UpstreamState.serving, UpstreamState.suspect))


class Overflow:
    """What an ingress remembers of its tries for a free slot."""

    def __init__(self, rng: Random) -> None:
        """Start without tries."""
        self._rng = rng
        self._regions = FullRegions()
        self._trials: dict[ServiceName, TrialCounts] = {}

    def tries(self, service: Service, now: timedelta) -> int:
        """Return how many upstreams of the region a request is tried at."""
        if not service.overflow or not service.free_slot_tries:
            return service.free_slot_tries
        trials = self._trials.setdefault(service.name, TrialCounts())
        return trials.limit(service.free_slot_tries, now)

    def sent(self, candidate: Candidate, now: timedelta) -> None:
        """Note that a request is tried for a free slot."""
        if candidate.nearness is Nearness.other_region:
            return
        trials = self._trials.setdefault(candidate.service, TrialCounts())
        trials.count_sent(now)

    def refused(self, candidate: Candidate, now: timedelta) -> None:
        """Note that a try was refused because no slot was free."""
        if candidate.nearness is Nearness.other_region:
            self._regions.refused(candidate.service, candidate.region, now)
            return
        trials = self._trials.get(candidate.service)
        if trials is not None:
            trials.count_refused()

    def found(self, candidate: Candidate) -> None:
        """Note that a try found a free slot."""
        if candidate.nearness is Nearness.other_region:
            self._regions.found(candidate.service, candidate.region)

    def lost(self, candidate: Candidate, now: timedelta) -> None:
        """Note that the stream of an attempt was lost."""
        if candidate.nearness is Nearness.other_region:
            self._regions.lost(candidate.service, candidate.region, now)

    def keep(self, services: Container[ServiceName]) -> None:
        """Forget all other services."""
        self._regions.keep(services)
        for service in tuple(self._trials):
            if service not in services:
                self._trials.pop(service)

    def choose_far(
        self, candidates: Iterable[Candidate], now: timedelta
    ) -> Candidate | None:
        """Return an upstream of another region that may have a free slot.

        Of two drawn ones it is the one with less load, so that many ingress
        daemons with the same reports do not select the same upstream.
        """
        found = [
            each
            for each in candidates
            if each.nearness is Nearness.other_region
            and each.state in _SOUND
            and each.placed() < each.slots
            and not self._regions.is_skipped(each.service, each.region, now)
        ]
        drawn = self._rng.sample(found, min(_DRAWS, len(found)))
        return min(drawn, key=_load, default=None)


def far_tries_left(
    tried: Iterable[Candidate], opening: Iterable[Candidate], queue_turns: int
) -> int:
    """Return at how many more upstreams of other regions a request is tried.

    Those to which a path had to be opened count, as each opens a stream.
    """
    limit = LATER_FAR_TRIES if queue_turns else FAR_TRIES
    used = [*tried, *opening]
    far = sum(each.nearness is Nearness.other_region for each in used)
    return max(0, limit - far)


def is_known_full(candidate: Candidate) -> bool:
    """Return whether an upstream of the region lately reported that it is full.

    One that seems to have free slots does not count: it may be one that fails
    its requests at once, and all requests would be queued there.
    """
    if candidate.nearness is Nearness.other_region:
        return False
    if candidate.state not in _SOUND or not candidate.reported:
        return False
    return candidate.placed() >= candidate.slots


def soonest(
    full: Collection[Candidate], limits: SelectionLimits
) -> Candidate | None:
    """Return the upstream at which a queued request finishes soonest.

    The nearest tier is used in which the wait is acceptable. Another region is
    used only if the link allows it and the request finishes there earlier by
    more than the way there takes.
    """
    for tier in (Nearness.same_data_centre, Nearness.same_region):
        nearer = [each for each in full if each.nearness <= tier]
        best = min(nearer, key=finish_ms, default=None)
        if best is not None and limits.is_near_enough(best):
            return best
    allowed = [
        each
        for each in full
        if limits.remote or each.nearness is not Nearness.other_region
    ]
    return min(allowed, key=finish_ms, default=None)


def finish_ms(candidate: Candidate) -> float:
    """Return the time until a queued request is expected to have finished."""
    expected_ms = candidate.wait_ms() + candidate.service_ms
    if candidate.nearness is Nearness.other_region:
        expected_ms += FAR_GAIN_MS
    return expected_ms


def _load(candidate: Candidate) -> float:
    return candidate.placed() / max(1, candidate.slots)
