"""Expected service time and errors of an upstream, by its peers' answers.

The long-term baseline is the median service time of each route. The
short-term one is one factor for each service, the ratio of its latest answers
of all routes to these medians, so that a slow-down of the whole service shows
within a few answers and does not count as the fault of one upstream.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .ids import RouteName, ServiceName, UpstreamId

#: Number of latest answers of a route over which its median is taken.
MEDIAN_WINDOW = 96
#: Fewer answers give no median.
MEDIAN_MIN = 8
#: New answers of a route after which its medians are recomputed.
MEDIAN_REFRESH = 16
#: Number of latest answers of a service over which its slowness is taken.
RECENT_WINDOW = 24
#: Fewer answers give no slowness.
RECENT_MIN = 8
#: Smaller factors are noise of a median of few answers and count as 1.
SLOWNESS_MIN = 1.25
#: Weight of the newest mean that an egress reports for a route.
REPORTED_WEIGHT = 0.2
#: Number of latest answers of a service over which its errors are counted.
ERROR_WINDOW = 128


@dataclass(frozen=True, slots=True)
class Expectation:
    """Service time (0 if unknown) and share of errors of the peers."""

    service_ms: float = 0
    error_share: float = 0


class _RouteTimes:
    """Latest service times of one route."""

    def __init__(self) -> None:
        self._latest: deque[tuple[UpstreamId, float]] = deque(
            maxlen=MEDIAN_WINDOW,
        )
        self._medians: dict[UpstreamId | None, float] = {}
        self._added_since_refresh = 0

    def add(self, upstream: UpstreamId, service_ms: float) -> None:
        self._latest.append((upstream, service_ms))
        self._added_since_refresh += 1
        if self._added_since_refresh >= MEDIAN_REFRESH:
            self.refresh()

    def refresh(self) -> None:
        self._medians.clear()
        self._added_since_refresh = 0

    def median(self, excluding: UpstreamId | None = None) -> float:
        known = self._medians.get(excluding)
        if known is not None:
            return known
        median = _median(self._latest, excluding, MEDIAN_MIN)
        if median:
            self._medians[excluding] = median
        return median

    def current_median(self) -> float:
        """Return the same as ``median`` without caching it."""
        known = self._medians.get(None)
        if known is not None:
            return known
        return _median(self._latest, None, MEDIAN_MIN)

    def forget(self, upstream: UpstreamId) -> None:
        remaining = [each for each in self._latest if each[0] != upstream]
        self._latest = deque(remaining, maxlen=MEDIAN_WINDOW)
        self.refresh()


class _RecentAnswers:
    """Latest answers of one service over all its routes."""

    def __init__(self) -> None:
        self._ratios: deque[tuple[UpstreamId, float]] = deque(
            maxlen=RECENT_WINDOW,
        )
        self._errors: deque[tuple[UpstreamId, bool]] = deque(
            maxlen=ERROR_WINDOW,
        )

    def add(self, upstream: UpstreamId, ratio: float, *, error: bool) -> None:
        self._errors.append((upstream, error))
        if ratio:
            self._ratios.append((upstream, ratio))

    def slowness(self, excluding: UpstreamId) -> float:
        ratio = _median(self._ratios, excluding, RECENT_MIN)
        return ratio if ratio >= SLOWNESS_MIN else 1

    def error_share(self, excluding: UpstreamId) -> float:
        """Return an upper estimate of the error share of other upstreams.

        The upstream with most errors counts only as many as the next one, as
        it may be faulty itself. One standard deviation is added, because the
        share is uncertain when errors are few.
        """
        answers = 0
        errors: dict[UpstreamId, int] = {}
        for upstream, error in self._errors:
            if upstream != excluding:
                answers += 1
                errors[upstream] = errors.get(upstream, 0) + error
        counts = sorted(errors.values())
        if len(counts) < 2:  # noqa: WPS432
            return 0
        shared = sum(counts) - counts[-1] + counts[-2]
        return min((shared + math.sqrt(shared)) / answers, 1)


class Baselines:
    """Baselines of one ingress, by service and route."""

    def __init__(self) -> None:
        """Start without answers, so that nothing is expected."""
        self._routes: dict[RouteName, _RouteTimes] = {}
        #: Service times by the means that egress daemons report. They are
        #: used until this ingress has enough answers of its own.
        self._reported_ms: dict[RouteName, float] = {}
        self._recent: dict[ServiceName, _RecentAnswers] = {}

    def add(
        self,
        service: ServiceName,
        route: RouteName,
        upstream: UpstreamId,
        service_ms: float,
        *,
        error: bool = False,
    ) -> None:
        """Add an answer; service times of errors are ignored."""
        recent = self._recent.setdefault(service, _RecentAnswers())
        if error:
            recent.add(upstream, 0, error=True)
            return
        times = self._routes.setdefault(route, _RouteTimes())
        median = times.median()
        ratio = service_ms / median if median else 0
        recent.add(upstream, ratio, error=False)
        times.add(upstream, service_ms)

    def reported(self, route: RouteName, usual_ms: float) -> None:
        """Add the mean service time of a route at one upstream."""
        if usual_ms:
            known_ms = self._reported_ms.get(route, usual_ms)
            known_ms += REPORTED_WEIGHT * (usual_ms - known_ms)
            self._reported_ms[route] = known_ms

    def expect(
        self,
        service: ServiceName,
        route: RouteName,
        upstream: UpstreamId,
    ) -> Expectation:
        """Return what the answers of the service's other upstreams show."""
        times = self._routes.get(route)
        recent = self._recent.get(service)
        reported_ms = self._reported_ms.get(route, 0)
        if times is None or recent is None:
            return Expectation(reported_ms)
        slowness = recent.slowness(upstream)
        return Expectation(
            (times.median(upstream) or reported_ms) * slowness,
            recent.error_share(upstream),
        )

    def usual_ms(self, route: RouteName) -> float:
        """Return the usual service time of a route; 0 if it is unknown."""
        times = self._routes.get(route)
        median_ms = times.median() if times else 0
        return median_ms or self._reported_ms.get(route, 0)

    def shown_usual_ms(self, route: RouteName) -> float:
        """Return the same as ``usual_ms`` without a change of state.

        A cached median stays in use until the next refresh, so caching one
        early would change later results.
        """
        times = self._routes.get(route)
        median_ms = times.current_median() if times else 0
        return median_ms or self._reported_ms.get(route, 0)

    def forget(self, upstream: UpstreamId) -> None:
        """Remove the service times of an upstream that has left."""
        for times in self._routes.values():
            times.forget(upstream)


def _median(
    latest: Iterable[tuple[UpstreamId, float]],
    excluding: UpstreamId | None,
    min_count: int,
) -> float:
    others = [found for source, found in latest if source != excluding]
    return statistics.median(others) if len(others) >= min_count else 0
