"""Weighted split of the requests of a route over several services."""

from collections.abc import Sequence
from dataclasses import replace
from math import modf, sqrt
from random import Random
from typing import Final

from .bundles import Route, WeightedService
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
        service = choose_service(route.split, position)
        return replace(route, service=service, split=())


def choose_service(
    shares: Sequence[WeightedService], position: float
) -> ServiceName:
    """Return the service at a position from 0 to 1 in a split.

    One with a weight of 0 is never returned. Raises ``ValueError`` if no
    weight is above 0.
    """
    weighted = [share for share in shares if share.weight > 0]
    if not weighted:
        raise ValueError('no weight is above 0')
    remaining = position * sum(share.weight for share in weighted)
    for share in weighted:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    # Rounding left a rest of the weights.
    return weighted[-1].service
