"""Usable upstreams of a service, the capacity floor, upstream selection.

The functions do no I/O. They change only the load fields of ``Candidate``,
which the ingress updates in place as loads are reported.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import IntEnum
from random import Random
from types import MappingProxyType

from .clocks import ZERO
from .ids import DaemonId, Region, ServiceName, UpstreamId
from .messages import Load, UpstreamState

#: Probability, by state, that a drawn upstream is kept.
DRAW_WEIGHTS = MappingProxyType(
    {
        UpstreamState.serving: 1,
        UpstreamState.suspect: 0.75,
        UpstreamState.cold: 0.25,
        UpstreamState.probation: 0.25,
        UpstreamState.sick: 0.25,
        UpstreamState.draining: 0,
    }
)
#: Cost factor of an upstream on the host of the ingress: it saves a hop.
SAME_HOST_FACTOR = 0.75
#: Draws per selection. More than two, as a draw is lost when the upstream is
#: rejected by its weight, excluded or saturated.
DRAW_LIMIT = 4

_HEALTHY = frozenset((UpstreamState.serving, UpstreamState.suspect))
_STARTING = frozenset((UpstreamState.cold, UpstreamState.probation))


class Nearness(IntEnum):
    """Distance from an ingress to an upstream, nearest first."""

    same_host = 0
    same_data_centre = 1
    same_region = 2
    other_region = 3


@dataclass(slots=True, eq=False)
class Candidate:
    """An upstream as one ingress sees it.

    ``reachable`` tells whether this ingress has or may open a path to the
    daemon. An expired upstream stays listed with ``reachable`` unset, so that
    it counts as capacity lost. ``outstanding`` counts the requests that this
    ingress has dispatched there and that have not ended. The fields after it
    hold the last reported load; ``service_ms`` is 0 until the first report.
    ``reported`` tells whether a load arrived since the last ``age_loads``.
    """

    upstream: UpstreamId
    daemon: DaemonId
    service: ServiceName
    slots: int
    state: UpstreamState
    severity: int = 0
    nearness: Nearness = Nearness.same_region
    reachable: bool = True
    outstanding: int = 0
    in_flight: int = 0
    queued: int = 0
    service_ms: float = 0
    reported: bool = False
    #: State in the member record; health may travel separately.
    announced: UpstreamState = UpstreamState.serving
    #: Grows with each start of the upstream.
    boot: int = 0
    #: Peer address of its daemon.
    address: str = ''
    region: Region = Region('')
    #: When its state was last reported.
    state_updated_at: timedelta = ZERO

    def report(self, load: Load) -> None:
        """Store the load that came with an answer or a refusal."""
        self.in_flight = load.in_flight
        self.queued = load.queued
        self.service_ms = load.service_ms
        self.reported = True

    def placed(self) -> int:
        """Return the assumed number of requests that it runs and queues."""
        return max(self.in_flight + self.queued, self.outstanding)

    def wait_ms(self) -> float:
        """Return the expected wait of another request for a slot."""
        queued = max(0, self.placed() + 1 - self.slots)
        return queued * self.service_ms / max(1, self.slots)


@dataclass(frozen=True, slots=True)
class UsableSet:
    """Upstreams that may receive requests.

    ``forced`` names the sick ones that are allowed only to keep the capacity
    floor. ``tiers`` holds all allowed ones by distance, nearest first: same
    data centre, same region, other region. With ``forced_last`` the forced
    ones are used only when no other is left.
    """

    allowed: tuple[Candidate, ...]
    forced: frozenset[UpstreamId]
    tiers: tuple[tuple[Candidate, ...], ...] = ()
    forced_last: bool = False


@dataclass(frozen=True, slots=True)
class Selection:
    """A selected upstream; ``forced`` if only the floor allows it.

    With ``waits`` the request is queued there for the rate limit, with
    ``free_slot_only`` it is refused unless a slot is free.
    """

    candidate: Candidate
    forced: bool
    waits: bool = False
    free_slot_only: bool = False


@dataclass(frozen=True, slots=True)
class SelectionLimits:
    """Restrictions of one selection.

    Requests that are not ``idempotent`` avoid upstreams on probation.
    ``remote`` allows other regions. ``spill`` is the load, as a multiple of
    slots, from which the next tier is considered, and ``patience_ms`` the
    expected wait for a slot above which it is.
    """

    idempotent: bool
    remote: bool
    spill: float
    patience_ms: float

    def without_patience(self) -> 'SelectionLimits':
        """Return the limits for a request that will not be queued."""
        return replace(self, spill=math.inf, patience_ms=math.inf)

    def is_near_enough(self, candidate: Candidate) -> bool:
        """Return whether a candidate's load needs no look further away."""
        if candidate.placed() >= candidate.slots * self.spill:
            return False
        return candidate.wait_ms() <= self.patience_ms


def usable(
    candidates: Iterable[Candidate],
    floor_pct: float,
    *,
    trials_count: bool = False,
) -> UsableSet:
    """Return the upstreams of one service that may receive requests.

    Sick ones are added, least severe first and then by id, until the
    allowed healthy and sick slots reach ``floor_pct`` of all listed slots.
    Draining, unreachable, cold and probation upstreams are part of the total
    but do not count towards the floor. With ``trials_count`` those on
    probation do, and sick ones are selected last. They need no other
    requests, as each is soon put on probation again.
    """
    listed = sorted(candidates, key=_fixed_order)
    needed = floor_pct / 100 * sum(each.slots for each in listed)
    reachable = [each for each in listed if each.reachable]
    allowed = [each for each in reachable if each.state in _HEALTHY]
    counted = sum(each.slots for each in allowed)
    if trials_count:
        counted += sum(
            each.slots
            for each in reachable
            if each.state is UpstreamState.probation
        )
    forced = []
    for sick in reachable:
        if counted >= needed:
            break
        if sick.state is UpstreamState.sick:
            forced.append(sick)
            counted += sick.slots
    allowed.extend(each for each in reachable if each.state in _STARTING)
    allowed.extend(forced)
    return UsableSet(
        tuple(allowed),
        frozenset(each.upstream for each in forced),
        _tiers(allowed),
        forced_last=trials_count,
    )


@dataclass(slots=True)
class UsableView:
    """Candidates of one service, with the usable set recomputed on change.

    Load fields of the candidates may be written directly; any other change
    must go through the methods.
    """

    floor_pct: float
    trials_count: bool = False
    #: Load, as a multiple of slots, from which a farther tier is considered.
    spill: float = 1
    candidates: dict[UpstreamId, Candidate] = field(default_factory=dict)
    _current: UsableSet | None = None

    def put(self, candidate: Candidate) -> None:
        """Add or replace a candidate."""
        self.candidates[candidate.upstream] = candidate
        self._current = None

    def drop(self, upstream: UpstreamId) -> None:
        """Remove an upstream that has left for good, if it is known."""
        self.candidates.pop(upstream, None)
        self._current = None

    def update(
        self,
        upstream: UpstreamId,
        state: UpstreamState,
        severity: int,
    ) -> None:
        """Set a reported state; an unknown upstream is ignored."""
        known = self.candidates.get(upstream)
        if known and (known.state, known.severity) != (state, severity):
            known.state = state
            known.severity = severity
            self._current = None

    def set_reachable(self, daemon: DaemonId, *, reachable: bool) -> None:
        """Set whether the upstreams beside one daemon are reachable."""
        for candidate in self.candidates.values():
            if candidate.daemon == daemon:
                candidate.reachable = reachable
        self._current = None

    def set_floor(
        self, floor_pct: float, *, trials_count: bool = False
    ) -> None:
        """Set the capacity floor in percent of the listed slots."""
        self.floor_pct = floor_pct
        self.trials_count = trials_count
        self._current = None

    def current(self) -> UsableSet:
        """Return the usable set, recomputed only after a change."""
        if self._current is None:
            self._current = usable(
                self.candidates.values(),
                self.floor_pct,
                trials_count=self.trials_count,
            )
        return self._current


def choose(
    usable_set: UsableSet,
    rng: Random,
    excluded: Collection[UpstreamId] = (),
    *,
    idempotent: bool = True,
    remote: bool = True,
    spill: float = 1,
    patience_ms: float = math.inf,
) -> Selection | None:
    """Return the better of two random upstreams, None if none is left.

    A farther tier of the same region is considered when the best candidate
    of the nearer one holds at least ``spill`` times its slots, or a request
    would wait there for more than ``patience_ms``. Another region
    is used only when ``remote`` allows it and no nearer upstream is left. An
    upstream on probation receives only ``idempotent`` requests. The upstreams
    in ``excluded`` are never returned.
    """
    limits = SelectionLimits(
        idempotent=idempotent,
        remote=remote,
        spill=spill,
        patience_ms=patience_ms,
    )
    return choose_within(usable_set, rng, excluded, limits)


def choose_within(
    usable_set: UsableSet,
    rng: Random,
    excluded: Collection[UpstreamId],
    limits: SelectionLimits,
) -> Selection | None:
    """Return the better of two random upstreams within ``limits``."""
    kept: Collection[UpstreamId] = excluded
    keeps_forced = limits.idempotent and not usable_set.forced_last
    if usable_set.forced and not keeps_forced:
        # A request that is not idempotent cannot be retried after a failure
        # on a sick upstream, so it avoids them while others are left.
        kept = {*excluded, *usable_set.forced}
    best = _best(usable_set, rng, kept, limits)
    if best is None and kept is not excluded:
        best = _best(usable_set, rng, excluded, limits)
    return Selection(best, best.upstream in usable_set.forced) if best else None


def _best(
    usable_set: UsableSet,
    rng: Random,
    excluded: Collection[UpstreamId],
    limits: SelectionLimits,
) -> Candidate | None:
    best: Candidate | None = None
    for tier in usable_set.tiers:
        far = tier[0].nearness is Nearness.other_region
        if far and (best or not limits.remote):
            break
        found = _pick(tier, rng, excluded, limits.idempotent)
        best = _better(best, found)
        if best is not None and limits.is_near_enough(best):
            break
    return best


def age_loads(candidates: Iterable[Candidate]) -> None:
    """Halve reported loads that were not refreshed since the last call.

    An ingress calls this once a second. Loads are reported only with answers
    and refusals, so an upstream that was busy at its last report would
    otherwise be avoided for ever at low rates.
    """
    for candidate in candidates:
        if not candidate.reported:
            candidate.in_flight //= 2
            candidate.queued //= 2
        candidate.reported = False


def _fixed_order(candidate: Candidate) -> tuple[int, str]:
    return candidate.severity, candidate.upstream


def _tiers(allowed: list[Candidate]) -> tuple[tuple[Candidate, ...], ...]:
    tiers: dict[Nearness, list[Candidate]] = {}
    for candidate in allowed:
        distance = max(candidate.nearness, Nearness.same_data_centre)
        tiers.setdefault(distance, []).append(candidate)
    return tuple(tuple(tiers[distance]) for distance in sorted(tiers))


def _cost(candidate: Candidate) -> float:
    load = (candidate.placed() + 1) / candidate.slots
    if candidate.nearness is Nearness.same_host:
        load *= SAME_HOST_FACTOR
    return load * (candidate.service_ms or 1)


def _better(one: Candidate | None, other: Candidate | None) -> Candidate | None:
    if one is None or other is None:
        return one or other
    if one.service_ms and other.service_ms:
        return one if _cost(one) <= _cost(other) else other
    # With only one service time known, only the loads are comparable.
    lighter = one.placed() * other.slots <= other.placed() * one.slots
    return one if lighter else other


def _pick(
    tier: tuple[Candidate, ...],
    rng: Random,
    excluded: Collection[UpstreamId],
    idempotent: bool,
) -> Candidate | None:
    best: Candidate | None = None
    draws = (_draw(tier, rng, excluded, idempotent) for _ in range(DRAW_LIMIT))
    for drawn in filter(None, draws):
        if best is None and _needs_samples(drawn):
            # A suspect is not compared: its reported service time would
            # keep away the requests that its detector needs as samples.
            return drawn
        # Drawing with replacement leaves a costly upstream a small share
        # of the requests, without which its load would not be refreshed.
        first, best = best, _better(best, drawn)
        if first and _has_room(best):
            break
    return best or _scan(tier, excluded, idempotent)


def _draw(
    tier: tuple[Candidate, ...],
    rng: Random,
    excluded: Collection[UpstreamId],
    idempotent: bool,
) -> Candidate | None:
    drawn = tier[int(rng.random() * len(tier))]
    if rng.random() >= DRAW_WEIGHTS[drawn.state]:
        return None
    return drawn if accepts(drawn, excluded, idempotent) else None


def _needs_samples(candidate: Candidate) -> bool:
    return candidate.state is UpstreamState.suspect and _has_room(candidate)


def _has_room(candidate: Candidate | None) -> bool:
    return candidate is not None and candidate.placed() < candidate.slots


def _scan(
    tier: tuple[Candidate, ...],
    excluded: Collection[UpstreamId],
    idempotent: bool,
) -> Candidate | None:
    # Reached when every draw was rejected, for instance because most
    # candidates are excluded.
    remaining = [each for each in tier if accepts(each, excluded, idempotent)]
    return min(remaining, key=_cost, default=None)


def by_cost(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return candidates in the order in which a tier prefers them."""
    return sorted(candidates, key=_cost)


def accepts(
    candidate: Candidate,
    excluded: Collection[UpstreamId],
    idempotent: bool,
) -> bool:
    """Return whether a request may be sent to a usable upstream."""
    if candidate.upstream in excluded:
        return False
    return idempotent or candidate.state is not UpstreamState.probation
