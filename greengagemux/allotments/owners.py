"""Buckets of the accounts that this daemon owns, and its decisions.

They keep an account within its rate however its requests are spread over the
daemons, for fleets in which one host sees a small account once in minutes.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..ids import CallerName, DaemonId
from .buckets import Limit, TokenBucket, Tolerance
from .messages import Decision
from .pools import FleetShare, Pool
from .views import MemberView


@dataclass(frozen=True, slots=True)
class TokenDecision:
    """Decision of this daemon, as owner or for a pool of local shares."""

    decision: Decision
    wait_ms: int = 0
    pooled: bool = False


class OwnedAllotments:
    """Buckets of the accounts that this daemon owns, and pools of others."""

    def __init__(self, view: MemberView, tolerance: Tolerance) -> None:
        """Start without buckets; each is created at its first request."""
        self._view = view
        self._tolerance = tolerance
        self._limits: Mapping[CallerName, Limit] = {}
        #: Time from which a new bucket earns tokens at the earliest.
        self._earns_from = timedelta()
        self._reachable_share: float = 1
        self._ended: frozenset[DaemonId] = frozenset()
        self._buckets: dict[CallerName, TokenBucket] = {}
        self._pools: dict[CallerName, Pool] = {}
        #: Whether the owner's rate has been used up since this was reset.
        self.exhausted = False

    def __len__(self) -> int:
        """Return the number of buckets."""
        return len(self._buckets)

    def configure(
        self, limits: Mapping[CallerName, Limit], now: timedelta
    ) -> None:
        """Apply the limits of a new bundle; buckets keep their tokens."""
        if limits == self._limits:
            return
        self._limits = limits
        self._earns_from = now
        for account in tuple(self._buckets):
            if account not in limits:
                self._buckets.pop(account)
        for pooled in tuple(self._pools):
            if pooled not in limits:
                self._pools.pop(pooled)
        self._change_buckets(now)

    def members_changed(self, now: timedelta) -> None:
        """Close the buckets of accounts that others own now.

        Daemons that have not noticed it yet get what is left.
        """
        for account in tuple(self._buckets):
            if self._view.owned_since(account, now) is not None:
                continue
            left = self._buckets.pop(account).tokens(now)
            pool = Pool(self._limits[account], self._tolerance, left, now)
            pool.close(now)
            self._pools[account] = pool
        self._change_buckets(now)

    def resumed(self, now: timedelta) -> None:
        """Drop all buckets after a pause in which others may have owned them.

        Each is opened again as after a change of owner.
        """
        self._buckets.clear()
        self._earns_from = now

    def reach(
        self, share: float, ended: frozenset[DaemonId], now: timedelta
    ) -> None:
        """Set the share of the live members that this daemon can reach.

        The others use their local shares of the rate meanwhile. The processes
        of the ``ended`` ones are known to have ended.
        """
        self._ended = ended
        if share != self._reachable_share:
            self._reachable_share = share
            self._change_buckets(now)

    def decide(
        self, account: CallerName, member: DaemonId, now: timedelta
    ) -> TokenDecision:
        """Return the decision on one request that entered at ``member``."""
        limit = self._limits.get(account)
        if limit is None or self._view.is_new(now):
            return TokenDecision(Decision.unable)
        since = self._view.owned_since(account, now)
        if since is None:
            return self._decide_by_pool(account, limit, member, now)
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._open(account, limit, since, now)
            self._buckets[account] = bucket
        if bucket.take(now):
            return TokenDecision(Decision.granted)
        self.exhausted = True
        return TokenDecision(Decision.refused, bucket.wait_ms(now))

    def _decide_by_pool(
        self,
        account: CallerName,
        limit: Limit,
        member: DaemonId,
        now: timedelta,
    ) -> TokenDecision:
        pool = self._pools.get(account)
        if pool is None:
            pool = Pool(limit, self._tolerance, 0, now)
            self._pools[account] = pool
        # Nobody else can ask an owner whose process has ended.
        ended = self._view.owner(account) in self._ended
        fleet = FleetShare(
            self._view.size, self._reachable_share if ended else 0
        )
        if pool.take(member, limit, fleet, now):
            return TokenDecision(Decision.granted, pooled=True)
        return TokenDecision(Decision.refused, pool.wait_ms(now), pooled=True)

    def _open(
        self,
        account: CallerName,
        limit: Limit,
        since: timedelta,
        now: timedelta,
    ) -> TokenBucket:
        """Return a bucket that has earned tokens from ``since`` on.

        The previous owner may have granted a full bucket just before, so only
        half of the tolerance is given at first, less what the pool of this
        daemon has granted.
        """
        pool = self._pools.pop(account, None)
        live_share = self._view.live_share
        pooled = 0 if pool is None else pool.granted_lately(now)
        return TokenBucket(
            limit.rate_per_s * self._reachable_share,
            self._capacity(limit),
            max(0, self._tolerance.half(limit) * live_share - pooled),
            max(since, self._earns_from),
        )

    def _change_buckets(self, now: timedelta) -> None:
        for account, bucket in self._buckets.items():
            limit = self._limits[account]
            bucket.change(
                limit.rate_per_s * self._reachable_share,
                self._capacity(limit),
                now,
            )

    def _capacity(self, limit: Limit) -> float:
        """Return the capacity of a bucket.

        Members that were lost may have an owner of their own.
        """
        capacity = self._tolerance.capacity(limit) * self._view.live_share
        return max(1, capacity)
