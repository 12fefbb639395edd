"""Byte budget of one ingress daemon on the link between regions."""

from datetime import timedelta
from types import MappingProxyType
from typing import Final

from .clocks import ZERO, in_ms
from .ids import RouteName
from .messages import Priority

#: Bytes of a request and its response without the bodies.
OVERHEAD_BYTES: Final = 500
#: Size assumed for the first response of a route.
INITIAL_RESPONSE_BYTES: Final = 4096
#: Mean response size of a route above which its requests do not overflow to
#: another region. The link is billed by the byte, and a larger response takes as
#: much of it as ten calls.
OVERFLOW_RESPONSE_BYTES: Final = 40 * 1024
#: Weight of the newest response in the mean response size of a route.
SIZE_WEIGHT: Final = 0.2
#: Unused budget accumulates up to the budget of this time.
BURST_MS: Final = 1000
#: Share of the largest balance that a class must leave to more urgent ones.
RESERVED_SHARES: Final = MappingProxyType(
    {Priority.waiting: 0, Priority.routine: 1 / 3, Priority.internal: 2 / 3}
)
_BITS_PER_BYTE: Final = 8


class LinkBudget:
    """Token bucket for bytes to and from the other region.

    A request is charged in advance for its response, at the mean size of its
    route, so that requests in flight count. The charge is corrected when the
    response arrives.
    """

    def __init__(self) -> None:
        """Start with an empty budget until a bundle sets the rate."""
        self._bytes_per_ms = float(0)
        self._region_kbit_s = 0
        self._members = 1
        self._balance_bytes = float(0)
        self._refilled_at = ZERO
        self._mean_bytes: dict[RouteName, float] = {}

    def configure(self, region_kbit_s: int) -> None:
        """Set the budget of the whole region in kbit/s."""
        self._region_kbit_s = region_kbit_s
        self._update_rate()

    def set_members(self, members: int) -> None:
        """Divide the budget by the live members of the region."""
        self._members = max(1, members)
        self._update_rate()

    def allows(self, priority: Priority, now: timedelta) -> bool:
        """Return whether a priority class may use the link now."""
        self._refill(now)
        return self.would_allow(priority, now)

    def would_allow(self, priority: Priority, now: timedelta) -> bool:
        """Return the same as ``allows`` without a change of state."""
        reserved_bytes = (
            RESERVED_SHARES[priority] * self._bytes_per_ms * BURST_MS
        )
        return self._balance_at(now) > reserved_bytes

    def charge(self, route: RouteName, body_bytes: int) -> float:
        """Charge a request and its response.

        Returns the bytes charged for the response.
        """
        mean_bytes = self._mean_bytes.get(route, INITIAL_RESPONSE_BYTES)
        self._balance_bytes -= OVERHEAD_BYTES + body_bytes + mean_bytes
        return mean_bytes

    def refund(self, expected: float) -> None:
        """Give back a charge of ``expected`` bytes for no response."""
        self._balance_bytes += expected

    def settle(
        self, route: RouteName, expected: float, answer_bytes: int
    ) -> None:
        """Correct a charge of ``expected`` bytes by the response's size."""
        self._balance_bytes += expected - answer_bytes
        self.observe(route, answer_bytes)

    def observe(self, route: RouteName, answer_bytes: int) -> None:
        """Update the mean response size of a route."""
        mean_bytes = self._mean_bytes.get(route, float(answer_bytes))
        mean_bytes += SIZE_WEIGHT * (answer_bytes - mean_bytes)
        self._mean_bytes[route] = mean_bytes

    def suits_overflow(self, route: RouteName) -> bool:
        """Return whether the responses of a route are small enough."""
        mean_bytes = self._mean_bytes.get(route, INITIAL_RESPONSE_BYTES)
        return mean_bytes <= OVERFLOW_RESPONSE_BYTES

    def _update_rate(self) -> None:
        self._bytes_per_ms = (
            self._region_kbit_s / _BITS_PER_BYTE / self._members
        )
        self._balance_bytes = min(
            self._balance_bytes, self._bytes_per_ms * BURST_MS
        )

    def _refill(self, now: timedelta) -> None:
        self._balance_bytes = self._balance_at(now)
        self._refilled_at = now

    def _balance_at(self, now: timedelta) -> float:
        refill_bytes = in_ms(now - self._refilled_at) * self._bytes_per_ms
        return min(
            self._balance_bytes + refill_bytes, self._bytes_per_ms * BURST_MS
        )
