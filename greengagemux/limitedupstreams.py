"""Upstreams with a rate limit, as one ingress sees them.

The egress beside an upstream enforces its limit; it reports the limit and the
wait with each answer and refusal. This copy only spares an ingress most
dispatches that would be refused, and tells callers when to come back.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Final

from .clocks import ZERO, in_ms, ms
from .ids import ServiceName, UpstreamId
from .messages import Load
from .ratelimits import MIN_RATE_PER_S, START_MARGIN
from .selection import Candidate

#: A request waits this long for a rate limit without being refused. Another
#: dispatch would take about as long.
TOLERATED_WAIT: Final = timedelta(milliseconds=100)
#: Longest random delay of an ingress between its requests to an upstream that
#: refuses them, in the mean intervals of the limit. Many ingress daemons share
#: the limit.
MAX_PACE_INTERVALS: Final = 16
#: The same as a time, within which the end of a limit is noticed.
MAX_PACE: Final = timedelta(seconds=8)
#: Least time after a refusal until the next request to the same upstream.
MIN_PACE: Final = timedelta(milliseconds=50)
#: Callers that were rejected together come back over this multiple of the wait.
RETRY_SPREAD: Final = 1.5
MIN_RETRY_AFTER_MS: Final = 50
#: Limits of dropped upstreams that are kept; the oldest are forgotten first.
DROPPED_LIMIT: Final = 1000


@dataclass(slots=True)
class _Limited:
    candidate: Candidate
    limit_per_s: float
    #: When the upstream takes a new request, by its egress.
    takes_at: timedelta = ZERO
    #: When this ingress sends it the next request that doesn't wait.
    opens_at: timedelta = ZERO
    #: Greatest random delay before that; it grows with refusals.
    pace: timedelta = ZERO

    @property
    def interval(self) -> timedelta:
        """Mean time between the requests that the upstream takes."""
        return timedelta(seconds=1 / max(self.limit_per_s, MIN_RATE_PER_S))


class LimitedUpstreams:
    """Limits and waits of the upstreams of all services."""

    def __init__(self, rng: Random) -> None:
        """Start with no upstream limited."""
        self._rng = rng
        self._services: dict[ServiceName, dict[UpstreamId, _Limited]] = {}
        #: Limits of upstreams that are no candidates at present.
        self._dropped: dict[UpstreamId, float] = {}

    def report(
        self, candidate: Candidate, load: Load, now: timedelta, *, refused: bool
    ) -> None:
        """Apply the limit that came with an answer or a refusal."""
        self._dropped.pop(candidate.upstream, None)
        if load.rate_limit_per_s is None:
            self._remove(candidate)
            return
        service = self._services.setdefault(candidate.service, {})
        limited = service.get(candidate.upstream)
        if limited is None:
            limited = _Limited(candidate, load.rate_limit_per_s)
            service[candidate.upstream] = limited
        limited.candidate = candidate
        limited.limit_per_s = load.rate_limit_per_s
        limited.takes_at = now + ms(load.limit_wait_ms)
        if refused:
            slower = max(2 * limited.pace, limited.interval)
            slowest = min(MAX_PACE, MAX_PACE_INTERVALS * limited.interval)
            limited.pace = min(slower, slowest)
        else:
            limited.pace /= 2
        delay = self._rng.random() * limited.pace
        limited.opens_at = limited.takes_at - TOLERATED_WAIT + delay
        if refused:
            limited.opens_at = max(limited.opens_at, now + MIN_PACE)

    def sent(self, candidate: Candidate, now: timedelta) -> None:
        """Count a request that is dispatched to an upstream."""
        limited = self._find(candidate)
        if limited is not None:
            due = now + limited.interval
            limited.opens_at = max(limited.opens_at, due)

    def drop(self, candidate: Candidate) -> None:
        """Note that an upstream is no candidate any more.

        Its limit is kept: it may only seem gone because its egress restarts.
        """
        limited = self._remove(candidate)
        if limited is None:
            return
        self._dropped[candidate.upstream] = limited.limit_per_s
        if len(self._dropped) > DROPPED_LIMIT:
            self._dropped.pop(next(iter(self._dropped)))

    def limit_per_s(self, candidate: Candidate) -> float | None:
        """Return the limit that an upstream named last, None without one."""
        limited = self._find(candidate)
        if limited is None:
            return self._dropped.get(candidate.upstream)
        return limited.limit_per_s

    def wait_ms(self, candidate: Candidate, now: timedelta) -> float:
        """Return the time in ms until an upstream takes a new request."""
        limited = self._find(candidate)
        return max(0, in_ms(limited.takes_at - now)) if limited else 0

    def closed(
        self, service: ServiceName, now: timedelta, *, every: bool
    ) -> set[UpstreamId]:
        """Return upstreams that would refuse a request that doesn't wait.

        These are all limited ones with ``every``.
        """
        return {
            upstream
            for upstream, limited in self._services.get(service, {}).items()
            if every or limited.opens_at > now
        }

    def soonest(
        self,
        candidates: Iterable[Candidate],
        deadline: timedelta,
        now: timedelta,
    ) -> Candidate | None:
        """Return which of some limited upstreams takes a new request first.

        None if none would finish it by the deadline.
        """
        usable = list(filter(None, map(self._find, candidates)))
        if not usable:
            return None
        # Random among those that take one now.
        self._rng.shuffle(usable)
        first = min(usable, key=lambda each: max(each.takes_at, now))
        needed = ms(first.candidate.service_ms) + START_MARGIN
        if max(first.takes_at, now) + needed > deadline:
            return None
        return first.candidate

    def retry_after_ms(self, service: ServiceName, now: timedelta) -> int:
        """Return when a rejected request may come back, in milliseconds."""
        waits = [
            in_ms(limited.takes_at - now)
            for limited in self._services.get(service, {}).values()
        ]
        soonest_ms = max(min(waits, default=0), MIN_RETRY_AFTER_MS)
        return int(soonest_ms * self._rng.uniform(1, RETRY_SPREAD))

    def _remove(self, candidate: Candidate) -> _Limited | None:
        service = self._services.get(candidate.service, {})
        limited = service.pop(candidate.upstream, None)
        if not service:
            self._services.pop(candidate.service, None)
        return limited

    def _find(self, candidate: Candidate) -> _Limited | None:
        service = self._services.get(candidate.service, {})
        return service.get(candidate.upstream)
