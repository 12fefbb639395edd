"""Fake upstreams of the detection experiments, with faults."""

import math
from dataclasses import dataclass
from enum import Enum
from random import Random
from types import MappingProxyType

from .detectors import SampleKind
from .ids import RouteName

FLAP_PERIOD_S = 5
#: A refused connection ends at once.
REFUSED_S = 0.001
#: A cold upstream is this much slower at first; it warms up in 16 s.
COLD_FACTOR = 5
COLD_STEP_S = 4
#: Share of requests that an overloaded upstream sheds with a 5xx.
SHED_SHARE = 0.05
SHED_FACTOR = 2
#: Share of probes that report a healthy upstream as sick.
LYING_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class Route:
    """Service times of a route: log-normal, some answers slower."""

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
    """Faults that an experiment gives to one upstream."""

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
    lying = 'hung, reports healthy'
    silent = 'silent connections'


#: Share of failing requests of the faults that fail at normal speed.
_FAILING = MappingProxyType(
    {
        FaultKind.errors100: (1, SampleKind.error),
        FaultKind.errors20: (0.2, SampleKind.error),
        FaultKind.errors5: (0.05, SampleKind.error),
        FaultKind.wrong: (1, SampleKind.wrong),
        FaultKind.crashed: (1, SampleKind.refused),
    }
)
HANGING = MappingProxyType(
    {
        FaultKind.hung: 1,
        FaultKind.lying: 1,
        FaultKind.flapping: 1,
        FaultKind.half_alive: 0.5,
    }
)
_SLOW = MappingProxyType({FaultKind.slow3: 3, FaultKind.slow10: 10})
_UNHEALTHY = frozenset((FaultKind.hung, FaultKind.crashed, FaultKind.flapping))


@dataclass(frozen=True, slots=True)
class Result:
    """How a call will end; ``took_s`` is infinite if it never does."""

    kind: SampleKind
    took_s: float
    hurt: bool = False


@dataclass(slots=True, eq=False)
class FakeUpstream:
    """Service times and failures of one upstream."""

    rng: Random
    fault: FaultKind = FaultKind.none
    fault_s: float = math.inf
    cold_s: float = -math.inf
    paused_s: float = 0
    idle: int = 0
    silent_idle: int = 0

    def faulty(self, now_s: float) -> bool:
        """Tell whether the fault is present now."""
        if now_s < self.fault_s:
            return False
        if self.fault is FaultKind.flapping:
            phase_s = (now_s - self.fault_s) % (2 * FLAP_PERIOD_S)
            return phase_s < FLAP_PERIOD_S
        return self.fault is not FaultKind.none

    def connect(self) -> tuple[bool, bool]:
        """Take a connection; return whether it is fresh, and silent."""
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

    def call(self, route: Route, now_s: float, slow_all: float) -> Result:
        """Start a request; ``slow_all`` is the slowness of all upstreams."""
        took_ms = route.median_ms * self.rng.lognormvariate(0, route.sigma)
        if self.rng.random() < route.slow_share:
            took_ms *= route.slow_factor
        cold = max(COLD_FACTOR - (now_s - self.cold_s) / COLD_STEP_S, 1)
        took_s = took_ms * slow_all * cold / 1000
        took_s += max(self.paused_s - now_s, 0)
        if self.faulty(now_s):
            return self._fail(took_s)
        shed = slow_all > SHED_FACTOR and self.rng.random() < SHED_SHARE
        kind = SampleKind.error if shed else SampleKind.success
        return Result(kind, took_s)

    def reports_healthy(self, now_s: float, *, lying: bool) -> bool:
        """Answer a probe, perhaps wrongly."""
        if lying and self.rng.random() < LYING_SHARE:
            return False
        return not (self.faulty(now_s) and self.fault in _UNHEALTHY)

    def _fail(self, took_s: float) -> Result:
        chance = self.rng.random()
        if chance < HANGING.get(self.fault, 0):
            return Result(SampleKind.success, math.inf, hurt=True)
        slower = _SLOW.get(self.fault, 1)
        share, kind = _FAILING.get(self.fault, (0, SampleKind.success))
        if chance >= share:
            took_s *= slower
            return Result(SampleKind.success, took_s, hurt=slower > 1)
        if kind is SampleKind.refused:
            took_s = REFUSED_S
        return Result(kind, took_s, hurt=True)
