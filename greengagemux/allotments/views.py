"""The members as one daemon sees them, and the owners that follow from it."""

from collections.abc import Container, Mapping
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


#: A member that was lost without leaving may be cut off and grant its share,
#: so the share is withheld for this long. Partitions that last longer are
#: rarer than hosts that never return.
LOST_TIME: Final = timedelta(minutes=10)


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
        #: Members that were lost without leaving, and when.
        self._lost: dict[DaemonId, timedelta] = {}
        self._eligible: frozenset[DaemonId] = frozenset()
        self._owners: dict[CallerName, DaemonId] = {}
        self._started_at: timedelta | None = None

    @property
    def size(self) -> int:
        """Number of members that share the rates, this daemon included.

        Members that were lost lately are among them.
        """
        return max(1, len(self.live) + len(self._lost))

    @property
    def live_share(self) -> float:
        """Share of these members that are live."""
        return max(1, len(self.live)) / self.size

    def update(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> bool:
        """Apply the live members; return whether owners may have changed."""
        self.live = live
        self._note_lost(live, now)
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
        for daemon, lost_at in tuple(self._lost.items()):
            if now - lost_at >= LOST_TIME:
                self._lost.pop(daemon)
        if self.joined_at is not None:
            return
        quiet = len(self.live) > 1 and now - self.changed_at >= QUIET
        if quiet or now - self._started_at >= START_WAIT:
            self.joined_at = now

    def _note_lost(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        for daemon in self._eligible:
            if daemon not in live:
                self._lost[daemon] = now
        for returned in tuple(self._lost):
            if returned in live:
                self._lost.pop(returned)

    def owner(self, account: CallerName) -> DaemonId | None:
        """Return the owner of an account; None without a member."""
        known = self._owners.get(account)
        if known is None and self._eligible:
            known = max(
                self._eligible, key=lambda daemon: score(daemon, account)
            )
            self._owners[account] = known
        return known

    def keep(self, accounts: Container[CallerName]) -> None:
        """Forget the owners of all other accounts."""
        for account in tuple(self._owners):
            if account not in accounts:
                self._owners.pop(account)

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
