"""Service times of a route over its upstreams, as an entrance sees them."""

from dataclasses import dataclass, field
from statistics import median

from .ids import RouteName, UpstreamId

#: Step of the running median relative to its value.
MEDIAN_STEP = 0.05
#: Answers between two computations of the median over upstreams.
REFRESH_ANSWERS = 16
#: Answers an upstream must have given before it counts as a peer.
MATURE_ANSWERS = 5


@dataclass(slots=True)
class _Track:
    """Running median of one upstream, moved by a step for each answer."""

    median_ms: float
    answers: int = 0

    def add(self, service_ms: float) -> None:
        self.answers += 1
        step = self.median_ms * MEDIAN_STEP
        if service_ms > self.median_ms:
            self.median_ms += step
        elif service_ms < self.median_ms:
            self.median_ms -= step


@dataclass(slots=True)
class _RouteTimes:
    tracks: dict[UpstreamId, _Track] = field(default_factory=dict)
    expected_ms: dict[UpstreamId, float] = field(default_factory=dict)
    answers: int = 0


class Baselines:
    """Median service time of each route over the other upstreams."""

    def __init__(self) -> None:
        """Start without answers."""
        self._routes: dict[RouteName, _RouteTimes] = {}

    def add(
        self, route: RouteName, upstream: UpstreamId, service_ms: float
    ) -> None:
        """Add the service time of an answer."""
        times = self._routes.setdefault(route, _RouteTimes())
        track = times.tracks.get(upstream)
        if track is None:
            track = _Track(max(service_ms, 0.1))
            times.tracks[upstream] = track
        track.add(service_ms)
        times.answers += 1
        if times.answers % REFRESH_ANSWERS == 0:
            times.expected_ms.clear()

    def expected_ms(self, route: RouteName, upstream: UpstreamId) -> float:
        """Return the median over the other upstreams, or 0 if unknown."""
        times = self._routes.get(route)
        if times is None:
            return 0
        known = times.expected_ms.get(upstream)
        if known is None:
            known = _median_without(times, upstream)
            times.expected_ms[upstream] = known
        return known

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an upstream that has left."""
        for times in self._routes.values():
            times.tracks.pop(upstream, None)
            times.expected_ms.clear()


def _median_without(times: _RouteTimes, upstream: UpstreamId) -> float:
    others = [
        track.median_ms
        for name, track in times.tracks.items()
        if name != upstream and track.answers >= MATURE_ANSWERS
    ]
    return median(others) if others else 0
