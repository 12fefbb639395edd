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
INITIAL_RESPONSE_BYTES: Final = 4096
#: Weight of the newest answer in the mean size of a route's answers.
SIZE_WEIGHT: Final = 0.2
#: Unused budget is saved for this long.
BURST_MS: Final = 1000
#: Share of the saved budget that a class must leave to more urgent ones.
RESERVED_SHARES: Final = MappingProxyType(
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
        self._bytes_per_ms = float(0)
        self._region_kbit_s = 0
        self._members = 1
        self._balance_bytes = float(0)
        self._refilled_at = ZERO
        self._mean_bytes: dict[RouteName, float] = {}

    def configure(self, region_kbit_s: int) -> None:
        """Set the budget of the whole region."""
        self._region_kbit_s = region_kbit_s
        self._update_rate()

    def set_members(self, members: int) -> None:
        """Divide the budget by the live members of the region."""
        self._members = max(1, members)
        self._update_rate()

    def allows(self, priority: Priority, now: timedelta) -> bool:
        """Return whether a class may use the link now."""
        self._refill(now)
        reserved_bytes = (
            RESERVED_SHARES[priority] * self._bytes_per_ms * BURST_MS
        )
        return self._balance_bytes > reserved_bytes

    def charge(self, route: RouteName, body_bytes: int) -> float:
        """Take a request and its expected answer; return the answer's bytes."""
        mean_bytes = self._mean_bytes.get(route, INITIAL_RESPONSE_BYTES)
        self._balance_bytes -= OVERHEAD_BYTES + body_bytes + mean_bytes
        return mean_bytes

    def settle(
        self, route: RouteName, expected: float, answer_bytes: int
    ) -> None:
        """Correct a charge by the answer that came for it."""
        self._balance_bytes += expected - answer_bytes
        mean_bytes = self._mean_bytes.get(route, float(answer_bytes))
        mean_bytes += SIZE_WEIGHT * (answer_bytes - mean_bytes)
        self._mean_bytes[route] = mean_bytes

    def _update_rate(self) -> None:
        self._bytes_per_ms = self._region_kbit_s / _BITS / self._members
        self._balance_bytes = min(
            self._balance_bytes, self._bytes_per_ms * BURST_MS
        )

    def _refill(self, now: timedelta) -> None:
        elapsed_ms = in_ms(now - self._refilled_at)
        self._refilled_at = now
        refill_bytes = elapsed_ms * self._bytes_per_ms
        self._balance_bytes = min(
            self._balance_bytes + refill_bytes, self._bytes_per_ms * BURST_MS
        )
