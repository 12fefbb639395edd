"""Throttling at the entrance of requests that last hops keep refusing."""

from collections.abc import Hashable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Final

from .clocks import ZERO

#: Requests sent for each one accepted. Above 1, so that an entrance notices
#: free capacity; each further request costs a message and a refusal.
SENT_PER_ACCEPTED: Final = 1.5
#: Refusals that prove nothing yet, so that quiet accounts are not throttled.
TOLERATED: Final = 3.0
#: Counts lose half their weight in this time.
HALF_LIFE: Final = timedelta(seconds=2)
#: Bounds of the time after which a refused caller should ask again.
RETRY_AFTER_MIN_MS: Final = 1000
RETRY_AFTER_MAX_MS: Final = 30_000
#: Shares whose counts fell below this are forgotten.
FORGOTTEN_COUNT: Final = 0.1
FORGET_EVERY: Final = timedelta(seconds=10)


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
        """Return the share of requests that need not be sent."""
        sent = SENT_PER_ACCEPTED * self.accepted + TOLERATED
        return max(0, self.requests - sent) / (self.requests + 1)


class Throttles:
    """Requests and acceptances by key, for instance service and account.

    An entrance learns of an overload only from refusals of its own
    requests, so it needs no message, and each account has its own count.
    """

    def __init__(self, rng: Random) -> None:
        """Start without counts."""
        self._rng = rng
        self._counts: dict[Hashable, _Counts] = {}
        self._forget_at = ZERO

    def admit(self, key: Hashable, now: timedelta) -> bool:
        """Return whether to send a request.

        A sent one counts when its result is known: many requests at once
        say nothing about the capacity.
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

    def accepted(self, key: Hashable, now: timedelta) -> None:
        """Count a request that no last hop refused for its load."""
        counts = self._counts.get(key)
        if counts is not None:
            counts.age(now)
            counts.requests += 1
            counts.accepted += 1

    def refused(self, key: Hashable, now: timedelta) -> None:
        """Count a request that last hops refused for their load."""
        counts = self._counts.get(key)
        if counts is not None:
            counts.age(now)
            counts.requests += 1

    def retry_after_ms(self, key: Hashable) -> int:
        """Return a random time in which refused callers may ask again.

        The range grows with requests per accepted request, so that callers
        who come back do not exceed the capacity together.
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
        self._forget_at = now + FORGET_EVERY
        for key, counts in tuple(self._counts.items()):
            counts.age(now)
            if counts.requests < FORGOTTEN_COUNT:
                self._counts.pop(key)
