"""Selection of an upstream for one attempt of a request."""

import math
from collections.abc import Collection
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

from .candidates import Candidates
from .clocks import in_ms
from .ids import UpstreamId
from .overflow.decisions import (
    Overflow,
    far_tries_left,
    is_known_full,
    soonest,
)
from .regionlinks import LinkBudget
from .requests import PendingRequest
from .selection import (
    Candidate,
    Nearness,
    Selection,
    SelectionLimits,
    UsableSet,
    accepts,
    choose_within,
)

#: Refusals because of a rate limit after which a request waits for one, unless
#: an upstream without a limit is left.
LIMIT_REFUSALS = 4
#: Upstreams that are offered one second attempt; each offer costs a message.
HEDGE_OFFERS = 3
#: Part of the time left until the target latency that a request may wait at a
#: near upstream while a more distant one of the region could take it.
WAIT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class _Bounds:
    """Which upstreams one request may use."""

    pending: PendingRequest
    usable_set: UsableSet
    remote: bool

    def admits(self, candidate: Candidate) -> bool:
        if candidate not in self.usable_set.allowed:
            return False
        if not self.remote and candidate.nearness is Nearness.other_region:
            return False
        return accepts(candidate, self.pending.excluded, self.pending.may_probe)


@dataclass(frozen=True, slots=True)
class Placement:
    """Result of a selection.

    Without a selected upstream, ``rate_limited`` tells that all that are left
    take the request too late, and ``far_only`` that only the budget of the
    link between regions stood against one.
    """

    selected: Selection | None
    rate_limited: bool = False
    far_only: bool = False


class Placements:
    """Selects upstreams by health, load, distance and rate limit."""

    def __init__(
        self,
        candidates: Candidates,
        link: LinkBudget,
        overflow: Overflow,
        rng: Random,
    ) -> None:
        """Select from ``candidates`` within the budget of ``link``."""
        self._overflow = overflow
        self._candidates = candidates
        self._link = link
        self._rng = rng

    def place(self, pending: PendingRequest, now: timedelta) -> Placement:
        """Select an upstream that the request has not been sent to.

        One that is within its rate limit goes first. Without one, or after a
        refusal because of overload, the request waits where its turn comes
        first.
        """
        if pending.seeks_hedge:
            return Placement(self._place_hedge(pending, now))
        service = pending.route.service
        pending.tries_limit = self._overflow.tries(pending.service, now)
        view = self._candidates.view_of(service, pending.priority)
        usable_set = view.current()
        remote = self._link.allows(pending.priority, now)
        closed = self._candidates.limited.closed(
            service, now, every=pending.limit_refusals >= LIMIT_REFUSALS
        )
        bounds = _Bounds(pending, usable_set, remote)
        if pending.overloaded:
            selected = self._wait_for_limit(bounds, closed, now)
            if selected is not None:
                return Placement(selected)
        limits = SelectionLimits(
            idempotent=pending.may_probe,
            remote=remote,
            spill=view.spill,
            patience_ms=patience_ms(pending, now),
        )
        selected = choose_within(
            usable_set,
            self._rng,
            pending.excluded | closed if closed else pending.excluded,
            limits.without_patience() if pending.seeks_free_slot else limits,
        )
        if pending.service.free_slot_tries:
            selected = self._seek_slot(bounds, limits, closed, selected, now)
        if selected is not None:
            return Placement(selected)
        selected = self._wait_for_limit(bounds, closed, now)
        if selected is not None:
            return Placement(selected)
        return Placement(
            None,
            rate_limited=bool(closed) and not pending.attempts,
            far_only=not remote and has_other_region(usable_set),
        )

    def _seek_slot(
        self,
        bounds: _Bounds,
        limits: SelectionLimits,
        closed: Collection[UpstreamId],
        selected: Selection | None,
        now: timedelta,
    ) -> Selection | None:
        """Return where a request is tried for a free slot, or is queued.

        Upstreams of the region come first, then those of other regions. Once
        enough of them have been tried, the request is queued.
        """
        pending = bounds.pending
        if selected is not None and is_free_slot_try(pending, selected):
            return replace(selected, free_slot_only=True)
        if pending.attempts:
            # Another attempt runs, so this one is not worth a place in a queue.
            return None if pending.full else selected
        far = self._far_slot(bounds, closed, now)
        return far or seek_queue(bounds, limits, closed, selected)

    def _far_slot(
        self, bounds: _Bounds, closed: Collection[UpstreamId], now: timedelta
    ) -> Selection | None:
        """Return an upstream of another region to try for a free slot."""
        pending = bounds.pending
        if not pending.service.overflow or not bounds.remote:
            return None
        if not self._link.suits_overflow(pending.route.name):
            return None
        if not far_tries_left(
            pending.full, pending.unopened, pending.queue_turns
        ):
            return None
        tiers = bounds.usable_set.tiers
        candidate = self._overflow.choose_far(
            (
                each
                for each in tiers[-1]
                if each.upstream not in closed and bounds.admits(each)
            )
            if tiers
            else (),
            now,
        )
        if candidate is None:
            return None
        return Selection(candidate, forced=False, free_slot_only=True)

    def _place_hedge(
        self, pending: PendingRequest, now: timedelta
    ) -> Selection | None:
        """Select an upstream of the region that may have a free slot."""
        if len(pending.full) >= HEDGE_OFFERS:
            return None
        service = pending.route.service
        view = self._candidates.view_of(service, pending.priority)
        closed = self._candidates.limited.closed(service, now, every=False)
        selected = choose_within(
            view.current(),
            self._rng,
            pending.excluded | closed,
            SelectionLimits(
                idempotent=False, remote=False, spill=1, patience_ms=math.inf
            ),
        )
        if selected is None or selected.forced:
            return None
        candidate = selected.candidate
        if candidate.placed() >= candidate.slots:
            return None
        return replace(selected, free_slot_only=True)

    def _wait_for_limit(
        self, bounds: _Bounds, closed: set[UpstreamId], now: timedelta
    ) -> Selection | None:
        pending = bounds.pending
        if not closed or pending.attempts:
            return None
        view = self._candidates.view(pending.route.service)
        limited = [view.candidates[upstream] for upstream in closed]
        candidate = self._candidates.limited.soonest(
            filter(bounds.admits, limited), pending.deadline, now
        )
        if candidate is None:
            return None
        forced = candidate.upstream in bounds.usable_set.forced
        return Selection(candidate, forced, waits=True)


def is_free_slot_try(
    pending: PendingRequest, selected: Selection | None
) -> bool:
    """Return whether an upstream of the region is tried for a free slot.

    It answers services with long requests and few slots: an ingress with few
    requests knows little of the load of most upstreams, and a short request
    would wait behind a long one while slots nearby are free. ``selected`` is
    the nearest upstream that was not tried.
    """
    if selected is None or not pending.seeks_free_slot:
        return False
    return selected.candidate.nearness <= Nearness.same_region


def seek_queue(
    bounds: _Bounds,
    limits: SelectionLimits,
    closed: Collection[UpstreamId],
    selected: Selection | None,
) -> Selection | None:
    """Return where a request is queued that has found no free slot.

    That is the upstream with the shortest wait, in the data centre unless it
    would wait too long there, or ``selected`` if none was tried. If recent
    refusals leave it few tries, those that reported lately that they are full
    count as tried. None of
    ``closed`` is returned.
    """
    pending = bounds.pending
    allowed = bounds.usable_set.allowed
    # The request waits for the paths that are opening.
    opening = {each.upstream for each in pending.unopened}
    left_out = pending.queued_at.union(opening, closed)
    full = [
        each
        for each in pending.full
        if each in allowed and each.upstream not in left_out
    ]
    if pending.service.overflow:
        others = filter(bounds.admits, allowed) if pending.tries_cut else ()
        full.extend(
            each
            for each in others
            if is_known_full(each) and each.upstream not in closed
        )
        best = soonest(full, limits)
    else:
        best = shortest_wait(full, limits)
    if best is None:
        return selected
    return Selection(best, best.upstream in bounds.usable_set.forced)


def shortest_wait(
    full: Collection[Candidate], limits: SelectionLimits
) -> Candidate | None:
    """Return the upstream without a free slot at which to queue a request.

    One of another data centre only if the wait in the own one is too long.
    """
    near = [each for each in full if each.nearness <= Nearness.same_data_centre]
    best = min(near, key=Candidate.wait_ms, default=None)
    if best is not None and limits.is_near_enough(best):
        return best
    return min(full, key=Candidate.wait_ms, default=None)


def patience_ms(pending: PendingRequest, now: timedelta) -> float:
    """Return the expected wait above which a request looks further away.

    A part of what is left until its target latency after its service time;
    without a target or a known service time, any wait is accepted.
    """
    return patience_left_ms(
        pending.route.target_ms, pending.usual_ms, in_ms(now - pending.arrived)
    )


def patience_left_ms(
    target_ms: float, usual_ms: float, waited_ms: float = 0
) -> float:
    """Return the accepted wait of a request that has waited ``waited_ms``."""
    if not target_ms or not usual_ms:
        return math.inf
    return max(0, (target_ms - waited_ms - usual_ms) * WAIT_SHARE)


def has_other_region(usable_set: UsableSet) -> bool:
    """Return whether an upstream in another region is usable."""
    tiers = usable_set.tiers
    return bool(tiers) and tiers[-1][0].nearness is Nearness.other_region
