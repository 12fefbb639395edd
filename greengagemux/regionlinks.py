"""Byte budget of one entrance on the link between regions."""

from datetime import timedelta
from types import MappingProxyType
from typing import Final

from .clocks import ZERO, in_ms
from .ids import RouteName
from .messages import Priority

#: Bytes of a request and its answer besides their bodies, with headers.
OVERHEAD_BYTES: Final = 500
#: Size assumed for the first answer of a route.
FIRST_ANSWER_BYTES: Final = 4096
#: Weight of the newest answer in the mean size of a route's answers.
SIZE_WEIGHT: Final = 0.2
#: Unused budget is saved for this long.
SAVED_MS: Final = 1000
#: Share of the saved budget that a class must leave to more urgent ones.
LEFT_SHARES: Final = MappingProxyType(
    {Priority.waiting: 0, Priority.routine: 1 / 3, Priority.internal: 2 / 3}
)
_BITS: Final = 8


class LinkBudget:
    """Bytes this entrance may still move to and from the other region.

    The answer of a request is charged in advance by the mean size of its
    route and corrected when it arrives, so that requests in flight count.
    """

    def __init__(self) -> None:
        """Start with nothing allowed until a bundle sets the rate."""
        self._rate = float(0)
        self._region_kbit_s = 0
        self._members = 1
        self._saved = float(0)
        self._refilled_at = ZERO
        self._sizes: dict[RouteName, float] = {}

    def configure(self, region_kbit_s: int) -> None:
        """Set the budget of the whole region."""
        self._region_kbit_s = region_kbit_s
        self._share()

    def set_members(self, members: int) -> None:
        """Divide the budget by the live members of the region."""
        self._members = max(1, members)
        self._share()

    def allows(self, priority: Priority, now: timedelta) -> bool:
        """Return whether a class may use the link now."""
        self._refill(now)
        left = LEFT_SHARES[priority] * self._rate * SAVED_MS
        return self._saved > left

    def charge(self, route: RouteName, body_bytes: int) -> float:
        """Take a request and its expected answer; return the answer's bytes."""
        size = self._sizes.get(route, FIRST_ANSWER_BYTES)
        self._saved -= OVERHEAD_BYTES + body_bytes + size
        return size

    def settle(
        self, route: RouteName, expected: float, answer_bytes: int
    ) -> None:
        """Correct a charge by the answer that came for it."""
        self._saved += expected - answer_bytes
        size = self._sizes.get(route, float(answer_bytes))
        size += SIZE_WEIGHT * (answer_bytes - size)
        self._sizes[route] = size

    def _share(self) -> None:
        self._rate = self._region_kbit_s / _BITS / self._members
        self._saved = min(self._saved, self._rate * SAVED_MS)

    def _refill(self, now: timedelta) -> None:
        passed_ms = in_ms(now - self._refilled_at)
        self._refilled_at = now
        earned = passed_ms * self._rate
        self._saved = min(self._saved + earned, self._rate * SAVED_MS)
