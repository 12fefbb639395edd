"""Delay of a second attempt, by the observed times of a route."""

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Final

from ..clocks import ms

#: Latest times of a route that count. Bounds memory, and lets times before a
#: change of load be forgotten.
WINDOW: Final = 256
#: Bounds of the percentile. Below the lower one, ordinary requests would be
#: tried twice; the upper one needs 100 times to be known.
PERCENTILE_MIN: Final = 95
PERCENTILE_MAX: Final = 99
#: Least delay, which is that of the rule by the expected time too.
DELAY_MIN: Final = timedelta(milliseconds=150)
_PERCENT: Final = 100


class Basis(Enum):
    """What the delay of a second attempt follows."""

    #: Observed times of the route.
    observed = 'observed'
    #: A multiple of the expected time (``hedge_pct``).
    expected = 'expected'


@dataclass(frozen=True, slots=True)
class Delay:
    """Age of the only attempt at which a second one may start."""

    after: timedelta
    basis: Basis


def percentile_for(extra_pct: float, spare_share: float) -> float:
    """Return the percentile above which requests get a second attempt.

    A limit of extra attempts in percent covers that many of the slowest
    requests. The less is saved of it (``spare_share``, 0 to 1), the higher the
    percentile, so that the slowest requests still find a part of it.
    """
    lowest = min(max(_PERCENT - extra_pct, PERCENTILE_MIN), PERCENTILE_MAX)
    return lowest + (PERCENTILE_MAX - lowest) * (1 - spare_share)


def delay_of(observed_ms: float, rule: timedelta, queueing: timedelta) -> Delay:
    """Return the delay by a percentile of the route, 0 for an unknown one.

    ``rule`` is the delay by the expected time. It is an upper bound, because
    the percentile grows to the deadline while many attempts hang. ``queueing``
    is the time after which the attempt has left its queue.
    """
    observed = max(DELAY_MIN, ms(observed_ms) + queueing)
    if observed_ms and observed < rule:
        return Delay(observed, Basis.observed)
    return Delay(rule, Basis.expected)


@dataclass(slots=True)
class ObservedTimes:
    """Latest times of the attempts of one route at one ingress."""

    _latest: deque[float] = field(default_factory=deque)
    #: The same times in ascending order.
    _ordered: list[float] = field(default_factory=list)

    def __len__(self) -> int:
        """Return the number of times."""
        return len(self._latest)

    def add(self, time_ms: float) -> None:
        """Add a time; the oldest one of a full window is forgotten."""
        if len(self._latest) >= WINDOW:
            oldest_ms = self._latest.popleft()
            self._ordered.pop(bisect_left(self._ordered, oldest_ms))
        self._latest.append(time_ms)
        insort(self._ordered, time_ms)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile, 0 if fewer times are known than it needs.

        It needs one time above it.
        """
        count = len(self._ordered)
        if count * (_PERCENT - percentile) < _PERCENT:
            return 0
        rank = math.ceil(count * percentile / _PERCENT)
        return self._ordered[min(rank, count - 1)]
