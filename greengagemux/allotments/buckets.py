"""Token buckets of allotments, and the tolerance of their limits."""

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

#: One token, less the rounding errors of earned fractions.
_ONE: Final = 1 - 1e-9
#: A wait of a bucket that earns nothing.
_LONGEST_WAIT_MS: Final = 3_600_000
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class Limit:
    """Requests per second of an account, and those after idle time besides."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How far the requests of an account may exceed its limit in a window.

    The sum over all daemons is at most ``rate_per_s * window_s + burst``,
    raised by the share ``overshoot``, plus ``slack`` requests.
    """

    window_s: float = 5
    overshoot: float = 0.1
    slack: float = 20

    def half(self, limit: Limit) -> float:
        """Return half of the requests by which a limit may be exceeded.

        The capacity of a bucket uses one half, a change of owner the other.
        """
        allowed = limit.rate_per_s * self.window_s + limit.burst
        return (self.overshoot * allowed + self.slack) / 2

    def capacity(self, limit: Limit) -> float:
        """Return the capacity of an owner's bucket.

        The tolerance lets requests within the limit pass in spite of jitter.
        """
        return max(1, limit.burst + self.half(limit))


class TokenBucket:
    """Tokens of one account; each request that is granted takes one."""

    def __init__(
        self, rate_per_s: float, capacity: float, tokens: float, now: timedelta
    ) -> None:
        """Start with some tokens, at most the capacity."""
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(tokens, capacity)
        self._counted_at = now

    def change(
        self, rate_per_s: float, capacity: float, now: timedelta
    ) -> None:
        """Replace rate and capacity; earned tokens are kept up to it."""
        self._earn(now)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def take(self, now: timedelta) -> bool:
        """Take one token; return false if there is none."""
        self._earn(now)
        if self._tokens < _ONE:
            return False
        self._tokens -= 1
        return True

    def add(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self._tokens = min(self._tokens + tokens, self._capacity)

    def tokens(self, now: timedelta) -> float:
        """Return the tokens that there are."""
        self._earn(now)
        return self._tokens

    def spend(self, now: timedelta) -> None:
        """Take one token, or what there is of it."""
        self._earn(now)
        self._tokens = max(0, self._tokens - 1)

    def drain(self, now: timedelta) -> None:
        """Take all tokens."""
        self._tokens = 0
        self._counted_at = now

    def wait_ms(self, now: timedelta, rate_per_s: float | None = None) -> int:
        """Return the time until there is a token, rounded up.

        ``rate_per_s`` is that of the bucket, unless it is given.
        """
        self._earn(now)
        missing = 1 - self._tokens
        if missing <= 1 - _ONE:
            return 0
        rate_per_s = self._rate_per_s if rate_per_s is None else rate_per_s
        if not rate_per_s:
            return _LONGEST_WAIT_MS
        wait_ms = math.ceil(missing / rate_per_s * _MS_PER_S)
        return min(_LONGEST_WAIT_MS, wait_ms)

    def _earn(self, now: timedelta) -> None:
        elapsed_s = (now - self._counted_at).total_seconds()
        self._counted_at = now
        earned = self._tokens + elapsed_s * self._rate_per_s
        self._tokens = min(earned, self._capacity)
