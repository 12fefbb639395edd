"""The members as one daemon sees them, and the owners that follow from it."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Final

from ..ids import CallerName, DaemonId
from ..messages import MemberRecord
from ..readers import score

#: A daemon that has just started knows the fleet once its view has other
#: members and has not changed for this long.
QUIET: Final = timedelta(milliseconds=500)
#: A daemon that has just started owns nothing for this long. When all daemons
#: start, the regions find each other after up to 3 s, and a part of the fleet
#: that takes itself for the whole would grant the whole rate.
START_WAIT: Final = timedelta(seconds=4)


class MemberView:
    """Live members, and the owner of each account among them."""

    def __init__(self, own: DaemonId) -> None:
        """Start without members."""
        self._own = own
        self.live: Mapping[DaemonId, MemberRecord] = {}
        #: Time of the last change of the members that may be owners.
        self.changed_at = timedelta()
        #: Time since which this daemon knows the fleet; None before.
        self.joined_at: timedelta | None = None
        self._eligible: frozenset[DaemonId] = frozenset()
        self._owners: dict[CallerName, DaemonId] = {}
        self._started_at: timedelta | None = None

    @property
    def size(self) -> int:
        """Number of live members, this daemon included."""
        return max(1, len(self.live))

    def update(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> bool:
        """Apply the live members; return whether owners may have changed."""
        self.live = live
        eligible = frozenset(
            daemon for daemon, record in live.items() if not record.leaving
        )
        if eligible == self._eligible:
            return False
        self._eligible = eligible
        self._owners.clear()
        self.changed_at = now
        return True

    def tick(self, now: timedelta) -> None:
        """Note whether this daemon knows the fleet by now."""
        if self._started_at is None:
            self._started_at = now
        if self.joined_at is not None:
            return
        quiet = len(self.live) > 1 and now - self.changed_at >= QUIET
        if quiet or now - self._started_at >= START_WAIT:
            self.joined_at = now

    def owner(self, account: CallerName) -> DaemonId | None:
        """Return the owner of an account; None without a member."""
        known = self._owners.get(account)
        if known is None and self._eligible:
            known = max(
                self._eligible, key=lambda daemon: score(daemon, account)
            )
            self._owners[account] = known
        return known

    def order(self, account: CallerName) -> list[DaemonId]:
        """Return the daemons in the order of an account, the owner first."""
        return sorted(
            self._eligible,
            key=lambda daemon: score(daemon, account),
            reverse=True,
        )

    def is_new(self, now: timedelta) -> bool:
        """Return whether this daemon has just started."""
        if self._started_at is None:
            return True
        return now - self._started_at < START_WAIT

    def owned_since(
        self, account: CallerName, now: timedelta
    ) -> timedelta | None:
        """Return a time since which this daemon owns an account.

        It may have owned it for longer. None if it does not own it.
        """
        if self._started_at is None or self.is_new(now):
            return None
        if self.owner(account) != self._own:
            return None
        return max(self.changed_at, self._started_at + START_WAIT)
