"""Rate limits that upstreams name, counted at the egress beside them.

Everything that reaches an upstream passes its egress, so this one counter
holds for the whole fleet.
"""

from datetime import timedelta
from typing import Final

from .clocks import ZERO

#: Requests saved up while an upstream is idle, as the time that earns them.
BURST_WINDOW: Final = timedelta(seconds=1)
#: Least rate. An upstream that names a lower limit still gets a request now
#: and then, because only a response tells that the limit has ended.
MIN_RATE_PER_S: Final = 0.25
#: Queued requests start at ticks, so later than the limit allows.
START_MARGIN: Final = timedelta(milliseconds=150)

#: One token, less the rounding errors of earned fractions.
_ONE: Final = 1 - 1e-9


class RateLimit:
    """Token bucket of one upstream: each request that it gets is one token.

    Requests that could not wait, such as probes, may leave it negative.
    """

    def __init__(self, limit_per_s: float, spent: int, now: timedelta) -> None:
        """Start with one request, less the ``spent`` ones that are under way.

        What was sent before is unknown, also to a process that has just
        started, so nothing is saved up yet.
        """
        self.limit_per_s = limit_per_s
        self._tokens = float(1 - spent)
        self._counted_at = now

    def change(self, limit_per_s: float, now: timedelta) -> None:
        """Replace the limit, in requests per second."""
        self._earn(now)
        self.limit_per_s = limit_per_s
        self._tokens = min(self._tokens, self._capacity)

    def admits(self, now: timedelta) -> bool:
        """Return whether the upstream takes a request now."""
        self._earn(now)
        return self._tokens >= _ONE

    def spend(self, now: timedelta) -> None:
        """Count a request that is sent to the upstream."""
        self._earn(now)
        self._tokens -= 1

    def wait(self, ahead: int, now: timedelta) -> timedelta:
        """Return the time until a request behind ``ahead`` others is taken."""
        self._earn(now)
        missing = ahead + 1 - self._tokens
        if missing <= 1 - _ONE:
            return ZERO
        return timedelta(seconds=missing / self._rate_per_s)

    @property
    def _rate_per_s(self) -> float:
        return max(self.limit_per_s, MIN_RATE_PER_S)

    @property
    def _capacity(self) -> float:
        return max(1, self._rate_per_s * BURST_WINDOW.total_seconds())

    def _earn(self, now: timedelta) -> None:
        elapsed_s = (now - self._counted_at).total_seconds()
        self._counted_at = now
        earned = self._tokens + elapsed_s * self._rate_per_s
        self._tokens = min(earned, self._capacity)
