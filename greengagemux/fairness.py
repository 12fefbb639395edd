"""Fair queueing of the requests of one class among teams and accounts.

Start-time fair queueing on two levels: among teams, and among the accounts
of a team. The cost of a request is its expected service time, so that an
account with slow requests gets no more slot time than one with fast ones.
Requests of one account start in the order of a time that the caller of a lane
chooses, for instance that of their arrival.
"""

from bisect import insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Final, Generic, Protocol, TypeVar

#: Cost of a request whose service time is not known.
UNKNOWN_COST_MS: Final = 10.0


class AccountedRequest(Protocol):
    """Properties of a request that a lane uses.

    An account without a team is a team of its own.
    """

    arrived: timedelta
    size_bytes: int

    @property
    def account(self) -> str:
        """Account of the caller."""

    @property
    def team(self) -> str:
        """Team of the account."""

    @property
    def cost_ms(self) -> float:
        """Expected service time in milliseconds; 0 if it is unknown."""


Item = TypeVar('Item', bound=AccountedRequest)


@dataclass(slots=True)
class _Share(Generic[Item]):
    """Queue of an account, or the accounts of a team or the teams of a lane.

    ``start_ms`` is the virtual start time of its next request in the parent,
    ``clock_ms`` the virtual time among its own children. ``count`` and
    ``size_bytes`` include the requests of all children.
    """

    start_ms: float
    count: int = 0
    size_bytes: int = 0
    queue: list[Item] = field(default_factory=list)
    accounts: 'dict[str, _Share[Item]]' = field(default_factory=dict)
    clock_ms: float = 0

    def add(self, item: Item, step: int) -> None:
        self.count += step
        self.size_bytes += step * item.size_bytes


class Lane(Generic[Item]):
    """Queued requests of one priority class, in fair order.

    ``key`` is the time by which the requests of one account are ordered.
    """

    def __init__(self, key: Callable[[Item], timedelta]) -> None:
        """Start empty."""
        self._key = key
        self._root: _Share[Item] = _Share(0)

    def __len__(self) -> int:
        """Return the number of requests."""
        return self._root.count

    def __iter__(self) -> Iterator[Item]:
        """Iterate over the requests, team by team."""
        for team in self._root.accounts.values():
            for account in team.accounts.values():
                yield from account.queue

    def add(self, item: Item) -> None:
        """Add a request in the order of its account."""
        insort(self._account(item).queue, item, key=self._key)
        self._count(item, 1)

    def put_back(self, item: Item) -> None:
        """Add a request ahead of the others of its account."""
        self._account(item).queue.insert(0, item)
        self._count(item, 1)

    def take(self) -> Item:
        """Remove the request to run next; raises ``ValueError`` if empty."""
        team = _earliest(self._root)
        account = _earliest(team)
        item = account.queue[0]
        cost_ms = item.cost_ms or UNKNOWN_COST_MS
        for parent, share in ((self._root, team), (team, account)):
            parent.clock_ms = max(parent.clock_ms, share.start_ms)
            share.start_ms += cost_ms
        account.queue.pop(0)
        self._count(item, -1)
        _forget_idle(self._root)
        _forget_idle(team)
        return item

    def discard(self, item: Item) -> None:
        """Remove a request; raises ``ValueError`` if it is not queued."""
        self._account(item).queue.remove(item)
        self._count(item, -1)

    def drop(self) -> Item:
        """Remove the last request of the account that holds most.

        The account is one of the team that holds most. Raises ``ValueError``
        if the lane is empty.
        """
        team = _largest(self._root)
        item = _largest(team).queue.pop()
        self._count(item, -1)
        return item

    def oldest(self) -> Item:
        """Return the first to arrive; raises ``ValueError`` if empty."""
        return min(self, key=_arrived)

    def _account(self, item: Item) -> _Share[Item]:
        return _child_share(_child_share(self._root, item.team), item.account)

    def _count(self, item: Item, step: int) -> None:
        team = self._root.accounts[item.team]
        for share in (self._root, team, team.accounts[item.account]):
            share.add(item, step)


def _child_share(parent: _Share[Item], name: str) -> _Share[Item]:
    share = parent.accounts.get(name)
    if share is None:
        # Starting at the present virtual time gives no credit for idleness.
        share = _Share(parent.clock_ms)
        parent.accounts[name] = share
    return share


def _forget_idle(parent: _Share[Item]) -> None:
    """Remove idle shares, as there are thousands of accounts.

    One whose start time is ahead of the clock has used more than its share
    and stays until the clock has caught up or the lane is empty.
    """
    idle = [
        name
        for name, share in parent.accounts.items()
        if not share.count and share.start_ms <= parent.clock_ms
    ]
    for name in idle:
        parent.accounts.pop(name)
    if not parent.count:
        parent.accounts.clear()


def _backlogged(parent: _Share[Item]) -> list[_Share[Item]]:
    return [share for share in parent.accounts.values() if share.count]


def _earliest(parent: _Share[Item]) -> _Share[Item]:
    return min(_backlogged(parent), key=_start_ms)


def _largest(parent: _Share[Item]) -> _Share[Item]:
    return max(_backlogged(parent), key=_held_size)


def _start_ms(share: _Share[Item]) -> float:
    return share.start_ms


def _held_size(share: _Share[Item]) -> tuple[int, int]:
    return share.count, share.size_bytes


def _arrived(item: AccountedRequest) -> timedelta:
    return item.arrived
