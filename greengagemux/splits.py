"""Weighted split of the requests of a route over several services."""

from dataclasses import replace
from math import modf, sqrt
from random import Random
from typing import Final

from .bundles import Route
from .ids import RouteName, ServiceName

#: Steps of the golden ratio form a low-discrepancy sequence from any start, so
#: that few requests of one ingress already come close to the weights.
_STEP: Final = (sqrt(5) - 1) / 2


class Splits:
    """Position of one ingress in the split of each route, from 0 to 1."""

    def __init__(self, rng: Random) -> None:
        """Start each route at a random position."""
        self._rng = rng
        self._positions: dict[RouteName, float] = {}

    def choose(self, route: Route) -> Route:
        """Return the route with the service that gets the next request."""
        if not route.split:
            return route
        position = self._positions.get(route.name)
        if position is None:
            position = self._rng.random()
        position = modf(position + _STEP)[0]
        self._positions[route.name] = position
        return replace(route, service=_service_at(route, position), split=())


def _service_at(route: Route, position: float) -> ServiceName:
    remaining = position * sum(share.weight for share in route.split)
    for share in route.split:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.split[-1].service
