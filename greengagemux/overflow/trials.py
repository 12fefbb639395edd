"""Number of tries for a free slot, by the share that was refused lately.

Addresses an overload of a whole service: each request is otherwise refused by
many upstreams before it is queued. Holds no transport.
"""

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from ..clocks import ZERO

#: Share of tries that find a slot from which on all tries are made. Of six,
#: about half of the requests then find one.
FOUND_SHARE: Final = 0.1
#: Tries that are remembered; older ones fade out.
MEMORY_TRIES: Final = 24
#: Tries without refusal that an empty memory stands for, so that the few tries
#: of a first request do not count as an overload.
INITIAL_TRIES: Final = 8
#: Time without a try after which the memory is dropped. Queues of an overload
#: drain within seconds.
FORGET_AFTER: Final = timedelta(seconds=5)


@dataclass(slots=True)
class TrialCounts:
    """Tries for a free slot of one service, with older ones faded out.

    A try is counted when it is sent. Its success is known only when the
    request ends, so counting results alone would show refusals first.
    """

    sent: float = INITIAL_TRIES
    refused: float = 0
    sent_at: timedelta = ZERO

    def count_sent(self, now: timedelta) -> None:
        """Count a try that is sent."""
        self._forget(now)
        kept = 1 - 1 / MEMORY_TRIES
        self.sent = self.sent * kept + 1
        self.refused *= kept
        self.sent_at = now

    def count_refused(self) -> None:
        """Count the refusal of a try because no slot was free."""
        self.refused = min(self.refused + 1, self.sent)

    def limit(self, tries: int, now: timedelta) -> int:
        """Return how many of at most ``tries`` tries a request gets."""
        self._forget(now)
        found_share = 1 - self.refused / self.sent
        part = min(1, found_share / FOUND_SHARE)
        return min(tries, 1 + math.ceil((tries - 1) * part))

    def _forget(self, now: timedelta) -> None:
        if now - self.sent_at >= FORGET_AFTER:
            self.sent = INITIAL_TRIES
            self.refused = 0
