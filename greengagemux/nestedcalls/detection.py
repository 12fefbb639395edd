"""Finds the routes whose requests at one ingress are calls of its upstream.

Answers services whose requests call others. Nothing in a request tells that an
upstream has sent it, and callers on the host send requests of other routes to
the same address. Calls arrive while the upstream runs requests, and the more of
them it runs the more calls arrive; requests of callers arrive whatever it runs.
A sequential test of the logarithm of that ratio tells them apart.
"""

import math
from collections.abc import Container
from datetime import timedelta
from typing import Final

from ..clocks import ZERO
from ..ids import RouteName

#: Half-life of the mean number of running requests. Short, as a burst raises
#: both the requests that run and those that callers send.
MEAN_HALF_LIFE: Final = timedelta(seconds=1)
#: Added to numbers of running requests, whose logarithm is taken.
OFFSET: Final = 0.05
#: Bounds of the evidence of one request, so that none decides the test alone.
EVIDENCE_MIN: Final = -3.0
EVIDENCE_MAX: Final = 1.0
#: Subtracted for each request: in a burst more requests run than their mean.
DRIFT: Final = 0.1
#: Evidence from which a route counts as one of calls: that of one wrong
#: decision in a hundred.
ACCEPT_AT: Final = math.log(100)
#: Evidence at which it counts as a route of callers again.
REJECT_AT: Final = float(0)
#: Bounds of the sum, so that it follows a change of a route.
SUM_LIMIT: Final = 2 * ACCEPT_AT


class CallRoutes:
    """Evidence for each route that its requests are calls."""

    def __init__(self) -> None:
        """Start without evidence: every request is one of a caller."""
        self._mean_running = float(0)
        self._sampled_at = ZERO
        self._sums: dict[RouteName, float] = {}
        self._accepted: set[RouteName] = set()

    def sample(self, running: int, now: timedelta) -> None:
        """Update the mean number of running requests; call it at each tick."""
        weight = 1 - 0.5 ** ((now - self._sampled_at) / MEAN_HALF_LIFE)
        self._sampled_at = now
        self._mean_running += weight * (running - self._mean_running)

    def arrived(self, route: RouteName, running: int) -> bool:
        """Count a request; return whether it is taken for a call.

        ``running`` is the number of requests that the upstream runs.
        """
        ratio = (running + OFFSET) / (self._mean_running + OFFSET)
        evidence = min(max(math.log(ratio), EVIDENCE_MIN), EVIDENCE_MAX) - DRIFT
        total = self._sums.get(route, 0) + evidence
        total = min(max(total, -SUM_LIMIT), SUM_LIMIT)
        self._sums[route] = total
        if total >= ACCEPT_AT:
            self._accepted.add(route)
        elif total <= REJECT_AT:
            self._accepted.discard(route)
        return route in self._accepted

    def keep(self, routes: Container[RouteName]) -> None:
        """Forget all other routes."""
        for route in tuple(self._sums):
            if route not in routes:
                self._sums.pop(route)
                self._accepted.discard(route)
