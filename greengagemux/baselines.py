"""What an entrance expects of an upstream, learned from its peers.

The long view is the median service time of each route. The recent view is
one number for each service, the slowness of its latest answers over all
routes, so that a slow-down of the whole service shows within a few answers
and is not held against one upstream.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .ids import RouteName, ServiceName, UpstreamId

#: Answers of a route over which its median is taken.
MEDIAN_WINDOW = 96
MEDIAN_MIN = 8
#: New answers of a route after which its medians are taken again.
MEDIAN_REFRESH = 16
#: Latest answers of a service that show its present slowness.
RECENT_WINDOW = 24
RECENT_MIN = 8
#: Smaller rises are noise of a median of few answers.
SLOWNESS_MIN = 1.25
#: Latest answers of a service that show its present share of errors.
ERROR_WINDOW = 128


@dataclass(frozen=True, slots=True)
class Expectation:
    """What peers show: service time (0 if unknown) and share of errors."""

    service_ms: float = 0
    error_share: float = 0


class _RouteTimes:
    """Latest service times of one route."""

    def __init__(self) -> None:
        self._latest: deque[tuple[UpstreamId, float]] = deque(
            maxlen=MEDIAN_WINDOW,
        )
        self._medians: dict[UpstreamId | None, float] = {}
        self._unread = 0

    def add(self, upstream: UpstreamId, service_ms: float) -> None:
        self._latest.append((upstream, service_ms))
        self._unread += 1
        if self._unread >= MEDIAN_REFRESH:
            self.refresh()

    def refresh(self) -> None:
        self._medians.clear()
        self._unread = 0

    def median(self, without: UpstreamId | None = None) -> float:
        known = self._medians.get(without)
        if known is not None:
            return known
        median = _median(self._latest, without, MEDIAN_MIN)
        if median:
            self._medians[without] = median
        return median

    def forget(self, upstream: UpstreamId) -> None:
        left = [each for each in self._latest if each[0] != upstream]
        self._latest = deque(left, maxlen=MEDIAN_WINDOW)
        self.refresh()


class _Recent:
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

    def slowness(self, without: UpstreamId) -> float:
        ratio = _median(self._ratios, without, RECENT_MIN)
        return ratio if ratio >= SLOWNESS_MIN else 1

    def error_share(self, without: UpstreamId) -> float:
        """Return a cautious share of errors of the other upstreams.

        The worst counts no more than the next, as its errors may be its
        own. One standard deviation is added, because few errors tell
        their share badly.
        """
        answers = 0
        errors: dict[UpstreamId, int] = {}
        for upstream, error in self._errors:
            if upstream != without:
                answers += 1
                errors[upstream] = errors.get(upstream, 0) + error
        counts = sorted(errors.values())
        if len(counts) < 2:  # noqa: WPS432
            return 0
        shared = sum(counts) - counts[-1] + counts[-2]
        return min((shared + math.sqrt(shared)) / answers, 1)


class Baselines:
    """Expectations of one entrance, by service and route."""

    def __init__(self) -> None:
        """Start without answers."""
        self._routes: dict[RouteName, _RouteTimes] = {}
        self._recent: dict[ServiceName, _Recent] = {}

    def add(
        self,
        service: ServiceName,
        route: RouteName,
        upstream: UpstreamId,
        service_ms: float,
        *,
        error: bool = False,
    ) -> None:
        """Add an answer; only successes shape the service times."""
        recent = self._recent.setdefault(service, _Recent())
        if error:
            recent.add(upstream, 0, error=True)
            return
        times = self._routes.setdefault(route, _RouteTimes())
        median = times.median()
        ratio = service_ms / median if median else 0
        recent.add(upstream, ratio, error=False)
        times.add(upstream, service_ms)

    def expect(
        self,
        service: ServiceName,
        route: RouteName,
        upstream: UpstreamId,
    ) -> Expectation:
        """Return what the other upstreams of the service show."""
        times = self._routes.get(route)
        recent = self._recent.get(service)
        if times is None or recent is None:
            return Expectation()
        slowness = recent.slowness(upstream)
        return Expectation(
            times.median(upstream) * slowness,
            recent.error_share(upstream),
        )

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an upstream that has left."""
        for times in self._routes.values():
            times.forget(upstream)


def _median(
    latest: Iterable[tuple[UpstreamId, float]],
    without: UpstreamId | None,
    least: int,
) -> float:
    others = [found for source, found in latest if source != without]
    return statistics.median(others) if len(others) >= least else 0
