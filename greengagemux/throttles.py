"""Client-side throttling: the ingress refuses what an egress would refuse.

While egress daemons refuse requests as overloaded, the ingress sends only a
share of them, as each refusal costs a message.
"""

from collections.abc import Hashable
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random
from typing import Final

from .clocks import ZERO

#: Requests sent for each one accepted. Above 1, so that an ingress notices
#: free capacity; each further request costs a message and a refusal.
SENT_PER_ACCEPTED: Final = 1.5
#: Refusals that have no effect yet, so that accounts with few requests are
#: not throttled.
TOLERATED_REFUSALS: Final = 3.0
#: Half-life of the counts.
HALF_LIFE: Final = timedelta(seconds=2)
#: Bounds of ``Retry-After`` in refusals.
RETRY_AFTER_MIN_MS: Final = 1000
RETRY_AFTER_MAX_MS: Final = 30_000
#: Keys whose decayed count of requests is below this are removed.
MIN_KEPT_COUNT: Final = 0.1
#: Interval at which such keys are removed.
FORGET_INTERVAL: Final = timedelta(seconds=10)


@dataclass(slots=True)
class _Counts:
    requests: float = 0
    accepted: float = 0
    counted_at: timedelta = ZERO

    def age(self, now: timedelta) -> None:
        weight = 0.5 ** ((now - self.counted_at) / HALF_LIFE)
        self.requests *= weight
        self.accepted *= weight
        self.counted_at = now

    def excess(self) -> float:
        """Return the share of requests to refuse, 0 to 1."""
        sent = SENT_PER_ACCEPTED * self.accepted + TOLERATED_REFUSALS
        return max(0, self.requests - sent) / (self.requests + 1)


class Throttles:
    """Decayed counts of requests and acceptances for each throttle key.

    A key is, for instance, a service and an account, so that the excess of
    one account does not throttle another. An ingress detects an overload by
    refusals of its own requests alone, without further messages.
    """

    def __init__(self, rng: Random) -> None:
        """Start without counts."""
        self._rng = rng
        self._counts: dict[Hashable, _Counts] = {}
        self._forget_at = ZERO

    def admit(self, key: Hashable, now: timedelta) -> bool:
        """Return whether to send a request, at random under overload.

        A request that is sent counts only when its result is known, so that
        a burst of pending requests is not taken for an overload.
        """
        self._forget(now)
        counts = self._counts.get(key)
        if counts is None:
            counts = _Counts(counted_at=now)
            self._counts[key] = counts
        counts.age(now)
        excess = counts.excess()
        if not excess or self._rng.random() >= excess:
            return True
        counts.requests += 1
        return False

    def refused_share(self, key: Hashable, now: timedelta) -> float:
        """Return the share of requests that ``admit`` refuses, 0 to 1."""
        counts = self._counts.get(key)
        if counts is None:
            return 0
        aged = replace(counts)
        aged.age(now)
        return aged.excess()

    def accepted(self, key: Hashable, now: timedelta) -> None:
        """Count a request that no egress refused as overloaded."""
        counts = self._counts.get(key)
        if counts is not None:
            counts.age(now)
            counts.requests += 1
            counts.accepted += 1

    def refused(self, key: Hashable, now: timedelta) -> None:
        """Count a request that an egress refused as overloaded."""
        counts = self._counts.get(key)
        if counts is not None:
            counts.age(now)
            counts.requests += 1

    def retry_after_ms(self, key: Hashable) -> int:
        """Return a random time in milliseconds for ``Retry-After``.

        The range grows with the ratio of requests to accepted requests, so
        that callers that retry do not exceed the capacity together.
        """
        counts = self._counts.get(key)
        ratio = 1.0
        if counts is not None and counts.requests:
            ratio = (counts.requests + 1) / (counts.accepted + 1)
        longest = RETRY_AFTER_MIN_MS * (1 + 2 * max(ratio, 1))
        drawn = self._rng.uniform(RETRY_AFTER_MIN_MS, longest)
        return int(min(drawn, RETRY_AFTER_MAX_MS))

    def _forget(self, now: timedelta) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL
        for key, counts in tuple(self._counts.items()):
            counts.age(now)
            if counts.requests < MIN_KEPT_COUNT:
                self._counts.pop(key)
