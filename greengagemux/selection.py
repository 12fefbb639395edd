"""Usable upstreams of a service, the capacity floor, choice of upstream.

All functions are pure but for the load fields of ``Candidate``, which the
entrance updates in place as loads are reported.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum
from random import Random
from types import MappingProxyType

from .clocks import ZERO
from .ids import DaemonId, ServiceName, UpstreamId
from .messages import Load, UpstreamState

#: Share of its fair number of draws that an upstream gets by its state.
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
#: Cost factor of an upstream on the entrance's own host: it saves a hop.
SAME_HOST_FACTOR = 0.75
#: Redraws per choice, for reduced weights, exclusions and saturation.
DRAW_LIMIT = 4

_HEALTHY = frozenset((UpstreamState.serving, UpstreamState.suspect))
_STARTING = frozenset((UpstreamState.cold, UpstreamState.probation))


class Nearness(IntEnum):
    """Distance from an entrance to an upstream, nearest first."""

    same_host = 0
    same_data_centre = 1
    same_region = 2
    other_region = 3


@dataclass(slots=True, eq=False)
class Candidate:
    """An upstream as one entrance sees it.

    ``reachable`` is the path evidence of this entrance. An expired upstream
    stays listed with ``reachable`` unset, so that it counts as capacity
    lost. ``outstanding`` counts requests this entrance has placed there. The
    fields after it hold the load last reported; ``service_ms`` is 0 until
    the first report.
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
    #: What its daemon's record says; health may be told apart from it.
    announced: UpstreamState = UpstreamState.serving
    #: Where its daemon accepts streams.
    address: str = ''
    #: When its state was told last.
    told_at: timedelta = ZERO

    def report(self, load: Load) -> None:
        """Take over the load that came with an answer or a refusal."""
        self.in_flight = load.in_flight
        self.queued = load.queued
        self.service_ms = load.service_ms
        self.reported = True

    def placed(self) -> int:
        """Return the number of requests assumed to be there."""
        return max(self.in_flight + self.queued, self.outstanding)


@dataclass(frozen=True, slots=True)
class UsableSet:
    """Upstreams that may receive work, and those only allowed by the floor.

    ``tiers`` holds the allowed ones by distance, nearest first: same data
    centre, same region, other region. With ``forced_last`` the floor's ones
    are used when no other is left.
    """

    allowed: tuple[Candidate, ...]
    forced: frozenset[UpstreamId]
    tiers: tuple[tuple[Candidate, ...], ...] = ()
    forced_last: bool = False


@dataclass(frozen=True, slots=True)
class Pick:
    """A chosen upstream; ``forced`` if only the floor allows it."""

    candidate: Candidate
    forced: bool


@dataclass(frozen=True, slots=True)
class Limits:
    """What a choice may use."""

    idempotent: bool
    remote: bool
    spill: float


def usable(
    candidates: Iterable[Candidate],
    floor_pct: float,
    *,
    trials_count: bool = False,
) -> UsableSet:
    """Return the upstreams of one service that may receive work.

    Sick ones are added, least severe first and then by id, until the
    allowed healthy and sick slots reach ``floor_pct`` of all listed slots.
    Draining, unreachable, cold and probation upstreams stay in the total but
    do not count towards the floor. With ``trials_count`` those on probation
    do, and sick ones come last: all of them are tried again soon, so that
    none stays without work.
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

    Load fields may be written directly; any other change goes through
    ``put``, ``drop`` or ``update``.
    """

    floor_pct: float
    trials_count: bool = False
    #: Load, as a multiple of slots, from which a farther tier is tried.
    spill: float = 1
    candidates: dict[UpstreamId, Candidate] = field(default_factory=dict)
    _current: UsableSet | None = None

    def put(self, candidate: Candidate) -> None:
        """Add or replace a candidate."""
        self.candidates[candidate.upstream] = candidate
        self._current = None

    def drop(self, upstream: UpstreamId) -> None:
        """Forget an upstream that is known to have left for good."""
        self.candidates.pop(upstream, None)
        self._current = None

    def update(
        self,
        upstream: UpstreamId,
        state: UpstreamState,
        severity: int,
    ) -> None:
        """Set an announced state; an unknown upstream is ignored."""
        known = self.candidates.get(upstream)
        if known and (known.state, known.severity) != (state, severity):
            known.state = state
            known.severity = severity
            self._current = None

    def reach(self, daemon: DaemonId, *, reachable: bool) -> None:
        """Set the path evidence of all upstreams beside one daemon."""
        for candidate in self.candidates.values():
            if candidate.daemon == daemon:
                candidate.reachable = reachable
        self._current = None

    def set_floor(
        self, floor_pct: float, *, trials_count: bool = False
    ) -> None:
        """Change the floor, for instance by a new bundle."""
        self.floor_pct = floor_pct
        self.trials_count = trials_count
        self._current = None

    def current(self) -> UsableSet:
        """Return the usable set, computed only after a change."""
        if self._current is None:
            self._current = usable(
                self.candidates.values(),
                self.floor_pct,
                trials_count=self.trials_count,
            )
        return self._current


def choose(
    choices: UsableSet,
    rng: Random,
    excluded: Collection[UpstreamId] = (),
    *,
    idempotent: bool = True,
    remote: bool = True,
    spill: float = 1,
) -> Pick | None:
    """Return the better of two random upstreams, or none if none is left.

    A farther tier of the same region is tried when the pick of the nearer
    one holds ``spill`` times its slots. Another region is used only when
    ``remote`` allows it
    and no nearer upstream is left. An upstream on probation receives only
    ``idempotent`` requests.
    """
    kept: Collection[UpstreamId] = excluded
    if choices.forced and (choices.forced_last or not idempotent):
        # What fails on a sick upstream cannot be run again elsewhere, so the
        # floor is served by idempotent requests while others are left.
        kept = {*excluded, *choices.forced}
    limits = Limits(idempotent=idempotent, remote=remote, spill=spill)
    best = _best(choices, rng, kept, limits)
    if best is None and kept is not excluded:
        best = _best(choices, rng, excluded, limits)
    return Pick(best, best.upstream in choices.forced) if best else None


def _best(
    choices: UsableSet,
    rng: Random,
    excluded: Collection[UpstreamId],
    limits: Limits,
) -> Candidate | None:
    best: Candidate | None = None
    for tier in choices.tiers:
        far = tier[0].nearness is Nearness.other_region
        if far and (best or not limits.remote):
            break
        found = _pick(tier, rng, excluded, limits.idempotent)
        best = _better(best, found)
        if best is not None and best.placed() < best.slots * limits.spill:
            break
    return best


def age_loads(candidates: Iterable[Candidate]) -> None:
    """Halve reported loads that were not refreshed since the last call.

    An entrance calls this once a second. Without it an upstream that was
    busy at its last report would be avoided until its next report, which
    never comes at low rates.
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
    # Without both service times only the loads are comparable.
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
        if best is None and _untested(drawn):
            # A suspect is not compared: its reported service time would
            # keep away the requests that are needed to decide.
            return drawn
        # Drawing with replacement leaves a costly upstream a small share
        # of the traffic, without which its load could never be refreshed.
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
    return drawn if _takes(drawn, excluded, idempotent) else None


def _untested(candidate: Candidate) -> bool:
    return candidate.state is UpstreamState.suspect and _has_room(candidate)


def _has_room(candidate: Candidate | None) -> bool:
    return candidate is not None and candidate.placed() < candidate.slots


def _scan(
    tier: tuple[Candidate, ...],
    excluded: Collection[UpstreamId],
    idempotent: bool,
) -> Candidate | None:
    # Reached when every draw was rejected: few candidates, many excluded.
    left = [each for each in tier if _takes(each, excluded, idempotent)]
    return min(left, key=_cost, default=None)


def _takes(
    candidate: Candidate,
    excluded: Collection[UpstreamId],
    idempotent: bool,
) -> bool:
    if candidate.upstream in excluded:
        return False
    return idempotent or candidate.state is not UpstreamState.probation
