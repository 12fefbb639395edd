"""Pooled local shares of the daemons that cannot ask the owner.

One host sees a small account once in minutes. If each host kept a token of its
own for it, a burst over all hosts would pass at once when the owner is lost;
in a pool the tokens of all hosts together stay within half of the tolerance.
"""

import math
from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from ..clocks import ZERO, in_ms
from ..ids import DaemonId
from .buckets import Limit, TokenBucket, Tolerance

#: Time in which an owner notices that it cannot reach daemons, and withholds
#: their shares of the rate: the ping interval and time-out of an idle path.
NOTICE: Final = timedelta(milliseconds=2500)
#: A daemon that has not asked for this long asks the owner again.
MEMBER_LEASE: Final = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class FleetShare:
    """Number of live members, among which the rate is divided.

    ``share`` of them are known to have lost the owner, even if they have not
    asked.
    """

    size: int
    share: float = 0


class Pool:
    """Shares of one account that some daemons have pooled at this one."""

    def __init__(
        self, limit: Limit, tolerance: Tolerance, tokens: float, now: timedelta
    ) -> None:
        """Start with tokens that are left from a bucket of the owner."""
        self._tolerance = tolerance
        self._bucket = TokenBucket(0, tolerance.half(limit), tokens, now)
        self._members: dict[DaemonId, timedelta] = {}
        #: Until then the owner may still grant the shares of the members.
        self._earns_from = ZERO
        #: Until then the bucket earns nothing, and afterwards at this rate.
        self._paused_until = ZERO
        self._rate_per_s: float = 0
        #: Tokens that the members have brought.
        self._brought: float = 0
        self._grants: deque[timedelta] = deque()
        #: Until then nothing is added, because the owner's bucket of this
        #: daemon has granted the burst.
        self._closed_until = ZERO

    def close(self, now: timedelta) -> None:
        """Accept no further tokens for a window."""
        self._closed_until = now + self._window

    def take(
        self,
        member: DaemonId,
        limit: Limit,
        fleet: FleetShare,
        now: timedelta,
    ) -> bool:
        """Take one token for a daemon; return false if there is none.

        A daemon brings its share when it asks for the first time.
        """
        self._expire(now)
        is_new = member not in self._members
        if not self._members:
            self._earns_from = now + NOTICE
        self._members[member] = now
        share = max(1, limit.burst / fleet.size)
        self._change(limit, share, fleet, now)
        if is_new and now >= self._closed_until:
            self._bring(min(share, self._tolerance.half(limit) - self._brought))
        granted = self._bucket.take(now)
        if granted:
            self._grants.append(now)
        return granted

    def wait_ms(self, now: timedelta) -> int:
        """Return the time until there is a token, rounded up."""
        pause = max(ZERO, self._paused_until - now)
        return math.ceil(in_ms(pause)) + self._bucket.wait_ms(
            now, self._rate_per_s
        )

    def granted_lately(self, now: timedelta) -> int:
        """Return the tokens that were taken within the last window."""
        self._expire(now)
        return len(self._grants)

    @property
    def _window(self) -> timedelta:
        return timedelta(seconds=self._tolerance.window_s)

    def _change(
        self, limit: Limit, share: float, fleet: FleetShare, now: timedelta
    ) -> None:
        """Apply the number of daemons that have pooled their shares."""
        half = self._tolerance.half(limit)
        self._rate_per_s = limit.rate_per_s * max(
            fleet.share, min(1, len(self._members) / fleet.size)
        )
        self._paused_until = self._closed_until
        if not fleet.share:
            self._paused_until = max(self._closed_until, self._earns_from)
        is_paused = now < self._paused_until
        rate_per_s = 0 if is_paused else self._rate_per_s
        self._bucket.change(rate_per_s, max(share, half), now)

    def _bring(self, tokens: float) -> None:
        """Add what a daemon has earned in idle time.

        All daemons together bring half of the tolerance at most.
        """
        if tokens <= 0:
            return
        self._brought += tokens
        self._bucket.add(tokens)

    def _expire(self, now: timedelta) -> None:
        while self._grants and self._grants[0] <= now - self._window:
            self._grants.popleft()
        for member, asked_at in tuple(self._members.items()):
            if now - asked_at >= MEMBER_LEASE:
                self._members.pop(member)
        if not self._members:
            self._brought = 0
