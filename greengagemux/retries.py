"""Retry budgets, which bound retries to a share of the first attempts."""

from dataclasses import dataclass

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
