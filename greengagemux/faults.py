"""Fake upstreams with injected faults, for the detection experiments."""

import math
from dataclasses import dataclass
from enum import Enum
from random import Random
from types import MappingProxyType

from .detectors import SampleKind
from .ids import RouteName

#: A flapping upstream is faulty for this long, then healthy for this long.
FLAP_PERIOD_S = 5
#: Time until a connection is refused.
REFUSED_S = 0.001
#: Service times of a cold upstream start at this multiple and fall by one
#: multiple every ``COLD_STEP_S``: to normal within 16 s.
COLD_FACTOR = 5
COLD_STEP_S = 4
#: Share of requests that an overloaded upstream sheds with a 5xx.
SHED_SHARE = 0.05
#: Upstreams that are slowed down by more than this factor shed requests.
SHED_SLOWDOWN = 2
#: Share of health probes that report a healthy upstream as unhealthy.
FALSE_SICK_PROBE_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class Route:
    """Service times of a route.

    They are log-normal; a share ``slow_share`` of the responses takes
    ``slow_factor`` times as long. ``share`` is the route's share of requests.
    """

    name: RouteName
    share: float
    median_ms: float
    sigma: float
    slow_share: float = 0
    slow_factor: float = 1


ROUTES = (
    Route(RouteName('stock'), 0.4, 15, 0.4),
    Route(RouteName('history'), 0.3, 30, 0.5, 0.1, 4),
    Route(RouteName('orders'), 0.25, 50, 0.5),
    Route(RouteName('report'), 0.05, 200, 0.6),
)


class FaultKind(Enum):
    """Faults that an experiment injects into one upstream."""

    none = 'none'
    hung = 'hung'
    crashed = 'crashed'
    slow3 = 'slow x3'
    slow10 = 'slow x10'
    errors100 = '100% errors'
    errors20 = '20% errors'
    errors5 = '5% errors'
    wrong = 'wrong answers'
    half_alive = 'half-alive'
    flapping = 'flapping'
    partition = 'one-way partition'
    hung_reports_healthy = 'hung, reports healthy'
    silent = 'silent connections'


#: Share of failing requests, and how they fail, for the faults under which
#: failures take no longer than successes.
_FAILING = MappingProxyType(
    {
        FaultKind.errors100: (1, SampleKind.error),
        FaultKind.errors20: (0.2, SampleKind.error),
        FaultKind.errors5: (0.05, SampleKind.error),
        FaultKind.wrong: (1, SampleKind.wrong),
        FaultKind.crashed: (1, SampleKind.refused),
    }
)
#: Share of requests that never end.
HANGING = MappingProxyType(
    {
        FaultKind.hung: 1,
        FaultKind.hung_reports_healthy: 1,
        FaultKind.flapping: 1,
        FaultKind.half_alive: 0.5,
    }
)
#: Multiples of the service time.
_SLOW = MappingProxyType({FaultKind.slow3: 3, FaultKind.slow10: 10})
#: Faults under which the health probe fails.
_UNHEALTHY = frozenset((FaultKind.hung, FaultKind.crashed, FaultKind.flapping))


@dataclass(frozen=True, slots=True)
class Result:
    """How a call ends; ``duration_s`` is infinite if it never ends.

    ``affected`` is set if the injected fault made the call fail, hang or slow.
    """

    kind: SampleKind
    duration_s: float
    affected: bool = False


@dataclass(slots=True, eq=False)
class FakeUpstream:
    """Service times, failures and connections of one upstream.

    ``idle`` counts its idle connections; ``silent_idle`` of them no longer
    carry any data.
    """

    rng: Random
    fault: FaultKind = FaultKind.none
    fault_start_s: float = math.inf
    cold_start_s: float = -math.inf
    paused_until_s: float = 0
    idle: int = 0
    silent_idle: int = 0

    def faulty(self, now_s: float) -> bool:
        """Return whether the fault is present at this time."""
        if now_s < self.fault_start_s:
            return False
        if self.fault is FaultKind.flapping:
            phase_s = (now_s - self.fault_start_s) % (2 * FLAP_PERIOD_S)
            return phase_s < FLAP_PERIOD_S
        return self.fault is not FaultKind.none

    def connect(self) -> tuple[bool, bool]:
        """Use an idle or a new connection; return if it is new and silent."""
        if not self.idle:
            return True, False
        silent = self.silent_idle >= self.idle
        self.idle -= 1
        self.silent_idle = min(self.silent_idle, self.idle)
        return False, silent

    def close_idle(self) -> None:
        """Close the idle connections."""
        self.idle = 0
        self.silent_idle = 0

    def call(self, route: Route, now_s: float, slowdown: float) -> Result:
        """Return how a request that starts now ends.

        All service times are multiplied by ``slowdown``.
        """
        duration_ms = route.median_ms * self.rng.lognormvariate(0, route.sigma)
        if self.rng.random() < route.slow_share:
            duration_ms *= route.slow_factor
        cold = max(COLD_FACTOR - (now_s - self.cold_start_s) / COLD_STEP_S, 1)
        duration_s = duration_ms * slowdown * cold / 1000
        duration_s += max(self.paused_until_s - now_s, 0)
        if self.faulty(now_s):
            return self._fail(duration_s)
        shed = slowdown > SHED_SLOWDOWN and self.rng.random() < SHED_SHARE
        kind = SampleKind.error if shed else SampleKind.success
        return Result(kind, duration_s)

    def reports_healthy(self, now_s: float, *, false_reports: bool) -> bool:
        """Return the result of a health probe.

        With ``false_reports``, some probes of a healthy upstream fail.
        """
        if false_reports and self.rng.random() < FALSE_SICK_PROBE_SHARE:
            return False
        return not (self.faulty(now_s) and self.fault in _UNHEALTHY)

    def _fail(self, duration_s: float) -> Result:
        chance = self.rng.random()
        if chance < HANGING.get(self.fault, 0):
            return Result(SampleKind.success, math.inf, affected=True)
        slower = _SLOW.get(self.fault, 1)
        share, kind = _FAILING.get(self.fault, (0, SampleKind.success))
        if chance >= share:
            duration_s *= slower
            return Result(SampleKind.success, duration_s, affected=slower > 1)
        if kind is SampleKind.refused:
            duration_s = REFUSED_S
        return Result(kind, duration_s, affected=True)
