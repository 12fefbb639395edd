"""Retry budgets, which bound retries to a share of the first attempts."""

from dataclasses import dataclass
from datetime import timedelta

from .clocks import ZERO

#: Initial budget of a service or an upstream, in retries.
INITIAL_RETRIES = 1.0
#: Maximum budget in retries, which bounds the burst after a quiet hour.
SAVED_LIMIT = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket of retries, filled by a ``share`` of each first attempt.

    An ingress keeps one for each service, an egress one for each upstream.
    Only the latter bounds the load of an upstream: with 650 ingress daemons,
    their budgets for a service add up to 650 times one budget.
    """

    share: float
    saved: float = INITIAL_RETRIES
    saved_limit: float = SAVED_LIMIT

    def earn(self) -> None:
        """Add the share of one first attempt."""
        self.saved = min(self.saved_limit, self.saved + self.share)

    def spend(self, amount: float = 1) -> bool:
        """Take an amount, one retry by default; False if less is saved."""
        if self.saved < amount:
            return False
        self.saved -= amount
        return True

    @property
    def has_spare(self) -> bool:
        """Whether half of what may be saved is left after one more retry.

        Second attempts spend only this part; the rest is kept for failures. An
        upstream of a large service saves up less than two retries; one of
        them may be spent while all that may be saved is saved.
        """
        kept = min(self.saved_limit / 2, self.saved_limit - 1)
        return self.saved - 1 >= kept

    def spend_spare(self) -> bool:
        """Take one retry if ``has_spare``."""
        return self.has_spare and self.spend()

    def add(self, amount: float) -> None:
        """Add retries that are allowed whatever the first attempts are."""
        self.saved = min(self.saved_limit, self.saved + amount)


@dataclass(slots=True)
class SteadyRetries:
    """Retries a second of one service that do not depend on its requests.

    Services with few requests fail in bursts, which a share of their requests
    does not cover. Those who spend the retries divide them evenly.
    """

    per_s: float = 0
    given_at: timedelta = ZERO

    def take(self, now: timedelta) -> float:
        """Return the retries of the whole service since the last call."""
        elapsed = now - self.given_at
        self.given_at = now
        return self.per_s * elapsed.total_seconds()
