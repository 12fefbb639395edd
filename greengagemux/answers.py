"""Finished requests, kept for ingress daemons that lost their stream."""

import heapq
from dataclasses import dataclass
from datetime import timedelta

from .ids import DaemonId, Incarnation, RequestId
from .memory import limits as memory_limits
from .messages import Answer, Refusal
from .outcomes import Outcome, Reason

#: An ingress uses an inquiry only before its own deadline, which is not later
#: than that of the egress; the margin covers the transit of the inquiry.
RETENTION_MARGIN = timedelta(seconds=2)
#: How long a write may run on after its deadline, so that its result is known.
WRITE_GRACE = timedelta(seconds=5)
#: How much longer than ``WRITE_GRACE`` the owner of a key waits for a write
#: that passed its deadline.
RECORD_MARGIN = timedelta(seconds=1)
#: Most bytes of answers kept; beyond it only the outcome is kept.
RETAINED_LIMIT_BYTES = memory_limits.RETAINED_LIMIT_BYTES


@dataclass(frozen=True, slots=True)
class Origin:
    """Identity of a dispatched request, independent of its stream."""

    daemon: DaemonId
    incarnation: Incarnation
    request: RequestId


class FinishedJobs:
    """Final messages of requests, kept while an ingress may inquire."""

    def __init__(self, limit_bytes: int = RETAINED_LIMIT_BYTES) -> None:
        """Bound the bytes of kept answers."""
        self.limit_bytes = limit_bytes
        self._messages: dict[Origin, Answer | Refusal] = {}
        self._expiries: list[tuple[timedelta, int, Origin]] = []
        self._size_bytes = 0
        self._order = 0

    def __contains__(self, origin: Origin) -> bool:
        """Return whether the request is known to have ended."""
        return origin in self._messages

    def get(self, origin: Origin) -> Answer | Refusal | None:
        """Return the final message of a request."""
        return self._messages.get(origin)

    def keep(
        self, origin: Origin, message: Answer | Refusal, until: timedelta
    ) -> None:
        """Keep a final message for ``RETENTION_MARGIN`` beyond ``until``.

        Above the limit it is replaced by a refusal with an unknown outcome,
        because a request that ran must never be reported as not seen.
        """
        size = _size_bytes(message)
        if self._size_bytes + size > self.limit_bytes:
            message = Refusal(
                request=origin.request,
                reason=Reason.connection_lost,
                outcome=Outcome.unknown,
            )
            size = 0
        self._messages[origin] = message
        self._size_bytes += size
        self._order += 1
        expiry = (until + RETENTION_MARGIN, self._order, origin)
        heapq.heappush(self._expiries, expiry)

    def trim(self, now: timedelta) -> None:
        """Remove the requests whose retention has ended."""
        while self._expiries and self._expiries[0][0] <= now:
            origin = heapq.heappop(self._expiries)[2]
            message = self._messages.pop(origin)
            self._size_bytes -= _size_bytes(message)


def _size_bytes(message: Answer | Refusal) -> int:
    return len(message.body) if isinstance(message, Answer) else 0
