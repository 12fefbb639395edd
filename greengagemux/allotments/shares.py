"""Local shares: what an ingress grants while it can ask no other daemon.

They keep accounts served while an owner is lost or cut off, without granting
more than the rate over all daemons together.
"""

from collections.abc import Mapping
from datetime import timedelta

from ..ids import CallerName
from .buckets import Limit, TokenBucket
from .messages import Decision
from .owners import TokenDecision
from .views import MemberView


class LocalShares:
    """Token buckets of the accounts whose requests enter at this daemon."""

    def __init__(self, view: MemberView) -> None:
        """Start without buckets; each is created at its first request."""
        self._view = view
        self._limits: Mapping[CallerName, Limit] = {}
        self._configured_at = timedelta()
        self._buckets: dict[CallerName, TokenBucket] = {}

    def configure(
        self, limits: Mapping[CallerName, Limit], now: timedelta
    ) -> None:
        """Apply the limits of a new bundle; buckets keep their tokens."""
        if limits == self._limits:
            return
        self._limits = limits
        self._configured_at = now
        for account in tuple(self._buckets):
            if account not in limits:
                self._buckets.pop(account)

    def decide(self, account: CallerName, now: timedelta) -> TokenDecision:
        """Return the decision on one request."""
        bucket = self._bucket(account, now)
        if bucket is None or bucket.take(now):
            return TokenDecision(Decision.granted)
        return TokenDecision(Decision.refused, bucket.wait_ms(now))

    def observe(
        self, account: CallerName, decision: Decision, now: timedelta
    ) -> None:
        """Apply a decision of the owner or of a pool.

        A refusal means that the account has no idle time, at any daemon.
        """
        bucket = self._bucket(account, now)
        if bucket is None:
            return
        if decision is Decision.granted:
            bucket.spend(now)
        else:
            bucket.drain(now)

    def _bucket(
        self, account: CallerName, now: timedelta
    ) -> TokenBucket | None:
        """Return the bucket of an account, None if it has no limit."""
        limit = self._limits.get(account)
        if limit is None:
            return None
        rate_per_s = limit.rate_per_s / self._view.size
        capacity = max(1, limit.burst / self._view.size)
        bucket = self._buckets.get(account)
        if bucket is None:
            joined_at = self._view.joined_at
            since = now if joined_at is None else joined_at
            since = max(since, self._configured_at)
            bucket = TokenBucket(rate_per_s, capacity, 0, since)
            self._buckets[account] = bucket
        bucket.change(rate_per_s, capacity, now)
        return bucket
