"""Buckets of the accounts that this daemon owns, and its decisions.

They keep an account within its rate however its requests are spread over the
daemons, for fleets in which one host sees a small account once in minutes.
"""

from collections.abc import Mapping
from datetime import timedelta

from ..ids import CallerName
from .buckets import Limit, TokenBucket, Tolerance
from .messages import Decision
from .views import MemberView


class OwnedAllotments:
    """Token buckets of the accounts that this daemon owns."""

    def __init__(self, view: MemberView, tolerance: Tolerance) -> None:
        """Start without buckets; each is created at its first request."""
        self._view = view
        self._tolerance = tolerance
        self._limits: Mapping[CallerName, Limit] = {}
        self._configured_at = timedelta()
        self._reachable_share = 1.0
        self._buckets: dict[CallerName, TokenBucket] = {}

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
        self._configured_at = now
        for account in tuple(self._buckets):
            if account not in limits:
                self._buckets.pop(account)
        self._change_buckets(now)

    def members_changed(self, now: timedelta) -> None:
        """Remove the buckets of accounts that others own now."""
        for account in tuple(self._buckets):
            if self._view.owned_since(account, now) is None:
                self._buckets.pop(account)

    def reach(self, share: float, now: timedelta) -> None:
        """Set the share of the live members that this daemon can reach.

        The others use their local shares of the rate meanwhile.
        """
        if share != self._reachable_share:
            self._reachable_share = share
            self._change_buckets(now)

    def decide(
        self, account: CallerName, now: timedelta
    ) -> tuple[Decision, int]:
        """Return the decision on one request, and the wait in milliseconds."""
        limit = self._limits.get(account)
        since = self._view.owned_since(account, now)
        if limit is None or since is None:
            return Decision.not_owner, 0
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._open(limit, max(since, self._configured_at))
            self._buckets[account] = bucket
        if bucket.take(now):
            return Decision.granted, 0
        return Decision.refused, bucket.wait_ms(now)

    def _open(self, limit: Limit, since: timedelta) -> TokenBucket:
        """Return a bucket that has earned tokens from ``since`` on.

        The previous owner may have granted a full bucket just before, so only
        half of the tolerance is given at first.
        """
        return TokenBucket(
            limit.rate_per_s * self._reachable_share,
            self._tolerance.capacity(limit),
            self._tolerance.half(limit),
            since,
        )

    def _change_buckets(self, now: timedelta) -> None:
        for account, bucket in self._buckets.items():
            limit = self._limits[account]
            bucket.change(
                limit.rate_per_s * self._reachable_share,
                self._tolerance.capacity(limit),
                now,
            )
