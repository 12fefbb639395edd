"""Retry budgets."""

from dataclasses import dataclass

#: Retries for a service or an upstream before any are earned.
INITIAL_RETRIES = 1.0
#: Most retries saved up, so that a quiet hour buys no burst of retries.
SAVED_LIMIT = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Retries as a share of the requests that were counted.

    An entrance keeps one for each service, a last hop one for each upstream.
    Only the latter bounds the load of an upstream: 650 entrances have saved
    up 650 times as much.
    """

    share: float
    saved: float = INITIAL_RETRIES
    saved_limit: float = SAVED_LIMIT

    def earn(self) -> None:
        """Add the share of one first attempt."""
        self.saved = min(self.saved_limit, self.saved + self.share)

    def spend(self, amount: float = 1) -> bool:
        """Take an amount, one retry by default, if that much is saved."""
        if self.saved < amount:
            return False
        self.saved -= amount
        return True
