"""Queue of an upstream, by priority class, fair share and time left.

It answers a service whose requests differ in length and in time budget, for
instance short calls of other upstreams among long requests of people. In order
of arrival the short ones would miss their deadlines behind requests that could
have waited, and the work of their callers would be lost.
"""

import math
from collections.abc import Callable, Iterator
from datetime import timedelta
from types import MappingProxyType
from typing import Generic, Protocol, TypeVar

from .clocks import in_ms
from .fairness import UNKNOWN_COST_MS, AccountedRequest, Lane
from .messages import Priority

#: Of this many requests taken in a row while lower classes wait, the last one
#: is the oldest request of the lower classes.
STARVATION_INTERVAL = 20
#: Part of the slot time that lower classes get with shares of time.
LOWER_TIME_SHARE = 1 / STARVATION_INTERVAL

_ORDER = (Priority.waiting, Priority.routine, Priority.internal)
RANK = MappingProxyType(
    {priority: rank for rank, priority in enumerate(_ORDER)}
)


class QueuedRequest(AccountedRequest, Protocol):
    """Properties of a request that the queue uses."""

    priority: Priority

    @property
    def overdue_at(self) -> timedelta | None:
        """Start time from which it misses its target latency, if any."""

    @property
    def hopeless_at(self) -> timedelta:
        """Start time from which it misses its deadline."""


Item = TypeVar('Item', bound=QueuedRequest)


class Queue(Generic[Item]):
    """Requests that wait for a slot of one upstream.

    Within a class, the requests of an account start in the order of the time
    by which they have to start for their target latency; those without a
    target in order of arrival. Requests that miss their target (overdue) run
    after those that can still meet it, in the order of the time by which they
    have to start for their deadline. In order of arrival, every request that
    is served during an overload would be late. An overdue request runs first
    while all others of its class can still meet their target after it.
    """

    def __init__(self, limit: int, limit_bytes: int) -> None:
        """Limit the number of requests and the sum of their bytes."""
        self.limit = limit
        self.limit_bytes = limit_bytes
        self._size_bytes = 0
        self._passed_over = 0
        #: Whether lower classes get a share of the slot time. Their share of the
        #: requests is a multiple of that where their requests are longer.
        self.time_shares = False
        self._passed_over_ms = float(0)
        self._lanes: tuple[Lane[Item], ...] = tuple(
            Lane(_start_by) for _ in _ORDER
        )
        self._overdue: tuple[Lane[Item], ...] = tuple(
            Lane(_hopeless_at) for _ in _ORDER
        )

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(map(len, self._lanes)) + sum(map(len, self._overdue))

    def __iter__(self) -> Iterator[Item]:
        """Iterate over the requests, most urgent class first."""
        for lane, overdue in zip(self._lanes, self._overdue, strict=True):
            yield from lane
            yield from overdue

    def ahead(self, priority: Priority) -> int:
        """Return how many requests would run before a new one of a class."""
        rank = RANK[priority]
        overdue = sum(map(len, self._overdue[:rank]))
        return overdue + sum(map(len, self._lanes[: rank + 1]))

    def overdue(self, priority: Priority) -> int:
        """Return how many requests of a class are deferred as overdue."""
        return len(self._overdue[RANK[priority]])

    def spare_ms(
        self, priority: Priority, now: timedelta, slots: int, usual_ms: float
    ) -> float:
        """Return how long the requests of a class that are in time can wait.

        ``usual_ms`` is the service time of those whose time is not known.
        The result is negative if one of them will be late.
        """
        spare_ms = math.inf
        queued_ms = float(0)
        for item in self._lanes[RANK[priority]]:
            limit = item.overdue_at or item.hopeless_at
            # The limit of a request without a known time leaves none for it.
            own_ms = 0 if item.cost_ms else usual_ms
            spare_ms = min(spare_ms, in_ms(limit - now) - own_ms - queued_ms)
            queued_ms += (item.cost_ms or usual_ms) / slots
        return spare_ms

    def late_before(
        self, item: Item, now: timedelta, slots: int, usual_ms: float
    ) -> int:
        """Return how many late requests of its class would start before one.

        These are the overdue ones and those that will be by then.
        """
        late = self.overdue_before(item)
        queued_ms = float(0)
        lane = self._lanes[RANK[item.priority]]
        for other in _earlier(lane, item, _start_by):
            limit = other.overdue_at or other.hopeless_at
            late += int(in_ms(limit - now) < queued_ms)
            queued_ms += (other.cost_ms or usual_ms) / slots
        return late

    def overdue_before(self, item: Item) -> int:
        """Return how many overdue requests of its class start before one."""
        overdue = self._overdue[RANK[item.priority]]
        return sum(1 for _ in _earlier(overdue, item, _hopeless_at))

    def before(self, item: Item) -> Iterator[Item]:
        """Iterate over the queued requests that would start before one.

        Shares of accounts and the share of lower classes are left out.
        """
        rank = RANK[item.priority]
        for lane, overdue in zip(
            self._lanes[:rank], self._overdue[:rank], strict=True
        ):
            yield from lane
            yield from overdue
        same, late = self._lanes[rank], self._overdue[rank]
        if item in tuple(late):
            yield from same
            yield from _earlier(late, item, _hopeless_at)
        else:
            yield from _earlier(same, item, _start_by)

    def defer_overdue(self, now: timedelta) -> list[Item]:
        """Defer overdue requests to the end of their class.

        Returns the requests that this call deferred.
        """
        deferred: list[Item] = []
        for lane, overdue in zip(self._lanes, self._overdue, strict=True):
            late = [item for item in lane if _is_overdue(item, now)]
            for item in late:
                lane.discard(item)
                overdue.add(item)
            deferred += late
        return deferred

    def offer(self, item: Item) -> list[Item]:
        """Add a request and return those that must be refused for it.

        They are of the least urgent class, each the last of the account that
        holds most there; the list may contain ``item`` itself.
        """
        self._lanes[RANK[item.priority]].add(item)
        self._size_bytes += item.size_bytes
        refused: list[Item] = []
        while self._over_limit():
            refused.append(self._drop())
        return refused

    def overdue_goes_first(
        self, item: Item, now: timedelta, slots: int, usual_ms: float
    ) -> bool:
        """Return whether the others of its class can wait for a late request."""
        cost_ms = (item.cost_ms or usual_ms) / slots
        return self.spare_ms(item.priority, now, slots, usual_ms) >= cost_ms

    def take(
        self,
        now: timedelta | None = None,
        slots: int = 1,
        usual_ms: float = UNKNOWN_COST_MS,
    ) -> Item | None:
        """Remove and return the request to run next, None if empty.

        Without ``now`` an overdue request always runs after those in time.
        """
        filled = [
            self._next_lane(lane, overdue, now, slots, usual_ms)
            for lane, overdue in zip(self._lanes, self._overdue, strict=True)
            if lane or overdue
        ]
        if not filled:
            return None
        lane = self._take_turn(filled, usual_ms)
        item = lane.take()
        self._size_bytes -= item.size_bytes
        return item

    def put_back(self, item: Item) -> None:
        """Queue a request before others of its account, ignoring limits."""
        self._lanes[RANK[item.priority]].put_back(item)
        self._size_bytes += item.size_bytes

    def oldest(self, priority: Priority) -> Item | None:
        """Return the oldest request of a class, None if there is none.

        Overdue requests are considered only if there are no others.
        """
        rank = RANK[priority]
        lane = self._lanes[rank] or self._overdue[rank]
        return lane.oldest() if lane else None

    def discard(self, item: Item) -> None:
        """Remove a request that no longer waits for a slot."""
        rank = RANK[item.priority]
        overdue = self._overdue[rank]
        lane = overdue if item in tuple(overdue) else self._lanes[rank]
        lane.discard(item)
        self._size_bytes -= item.size_bytes

    def _next_lane(
        self,
        lane: Lane[Item],
        overdue: Lane[Item],
        now: timedelta | None,
        slots: int,
        usual_ms: float,
    ) -> Lane[Item]:
        if now is None or not (lane and overdue):
            return lane or overdue
        first = next(iter(overdue))
        if self.overdue_goes_first(first, now, slots, usual_ms):
            return overdue
        return lane

    def _take_turn(
        self, filled: list[Lane[Item]], usual_ms: float
    ) -> Lane[Item]:
        """Return the lane of the most urgent class, or of one below it."""
        if len(filled) == 1:
            self._passed_over = 0
            return filled[0]
        oldest = min(filled[1:], key=lambda each: each.oldest().arrived)
        if self.time_shares:
            return self._take_time(filled[0], oldest, usual_ms)
        if self._passed_over + 1 >= STARVATION_INTERVAL:
            self._passed_over = 0
            return oldest
        self._passed_over += 1
        return filled[0]

    def _take_time(
        self, urgent: Lane[Item], lower: Lane[Item], usual_ms: float
    ) -> Lane[Item]:
        """Return the lower lane once its share covers its next request."""
        cost_ms = lower.oldest().cost_ms or usual_ms
        if self._passed_over_ms * LOWER_TIME_SHARE >= cost_ms:
            self._passed_over_ms -= cost_ms / LOWER_TIME_SHARE
            return lower
        self._passed_over_ms += urgent.oldest().cost_ms or usual_ms
        return urgent

    def _over_limit(self) -> bool:
        if len(self) > self.limit:
            return True
        return self._size_bytes > self.limit_bytes

    def _drop(self) -> Item:
        ranks = zip(self._lanes, self._overdue, strict=True)
        item = next(
            (overdue or lane).drop()
            for lane, overdue in reversed(tuple(ranks))
            if lane or overdue
        )
        self._size_bytes -= item.size_bytes
        return item


def _is_overdue(item: QueuedRequest, now: timedelta) -> bool:
    return item.overdue_at is not None and item.overdue_at <= now


def _start_by(item: QueuedRequest) -> timedelta:
    return item.arrived if item.overdue_at is None else item.overdue_at


def _hopeless_at(item: QueuedRequest) -> timedelta:
    return item.hopeless_at


def _earlier(
    lane: Lane[Item], item: Item, key: Callable[[Item], timedelta]
) -> Iterator[Item]:
    for other in lane:
        if other is not item and key(other) <= key(item):
            yield other
