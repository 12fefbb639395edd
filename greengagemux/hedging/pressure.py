"""Signs of an overload of a service at one ingress."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from ..clocks import ZERO
from ..outcomes import Reason

#: Half-life of the counts.
HALF_LIFE: Final = timedelta(seconds=2)
#: Time for which a refusal as overloaded is a sign of an overload.
OVERLOADED_FOR: Final = timedelta(seconds=2)
#: Fewer refusals as busy are no sign, as a single full upstream gives some.
BUSY_MIN: Final = 2.0
#: Refusals as busy for each response from which a service looks overloaded.
#: In an overload of a whole service there were four (24,925 of 31,307
#: dispatches). With a limit of one, a simulation with one hanging upstream of
#: ten took 132 decisions against second attempts because of an overload.
BUSY_PER_RESPONSE: Final = 2


@dataclass(slots=True)
class Pressure:
    """Decayed counts of dispatches that were refused as busy or answered."""

    busy: float = 0
    answered: float = 0
    counted_at: timedelta = ZERO
    overloaded_until: timedelta = ZERO

    def count_refused(self, reason: Reason, now: timedelta) -> None:
        """Count a refusal; only reasons of a full service matter."""
        if reason is Reason.overloaded:
            self.overloaded_until = now + OVERLOADED_FOR
        elif reason is Reason.busy:
            self._age(now)
            self.busy += 1

    def count_answered(self, now: timedelta) -> None:
        """Count a response."""
        self._age(now)
        self.answered += 1

    def is_high(self, now: timedelta) -> bool:
        """Return whether the service looks overloaded."""
        if now < self.overloaded_until:
            return True
        self._age(now)
        limit = max(BUSY_MIN, BUSY_PER_RESPONSE * self.answered)
        return self.busy >= limit

    def _age(self, now: timedelta) -> None:
        weight = 0.5 ** ((now - self.counted_at) / HALF_LIFE)
        self.busy *= weight
        self.answered *= weight
        self.counted_at = now
