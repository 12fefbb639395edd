"""Retry budgets."""

from dataclasses import dataclass

#: Retries that an entrance may make for a service before it earns any.
INITIAL_RETRIES = 1.0
#: Most retries saved up, so that a quiet hour buys no burst of retries.
SAVED_LIMIT = 10.0


@dataclass(slots=True)
class Budget:
    """Retries of one service at one entrance, as a share of its requests.

    Each entrance earns from its own requests alone, so the share holds for
    the fleet without any exchange.
    """

    share: float
    saved: float = INITIAL_RETRIES

    def earn(self) -> None:
        """Add the share of one first attempt."""
        self.saved = min(SAVED_LIMIT, self.saved + self.share)

    def spend(self) -> bool:
        """Take one retry and return whether there was one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
