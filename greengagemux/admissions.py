"""Admission of requests to an upstream: queue by priority and fair share."""

from collections.abc import Iterator
from types import MappingProxyType
from typing import Generic, Protocol, TypeVar

from .fairness import Lane, Sharing
from .messages import Priority

#: After this many dispatches less one that passed over a lower class, one
#: goes to the oldest request of the lower classes.
STARVATION_TURN = 20

_ORDER = (Priority.waiting, Priority.routine, Priority.internal)
RANK = MappingProxyType(
    {priority: rank for rank, priority in enumerate(_ORDER)}
)


class Queued(Sharing, Protocol):
    """What the queue needs to know of a request."""

    priority: Priority


Item = TypeVar('Item', bound=Queued)


class Queue(Generic[Item]):
    """Requests that wait for a slot of one upstream."""

    def __init__(self, limit: int, limit_bytes: int) -> None:
        """Bound the queue by requests and by bytes."""
        self.limit = limit
        self.limit_bytes = limit_bytes
        self._size_bytes = 0
        self._passed_over = 0
        self._lanes: tuple[Lane[Item], ...] = tuple(Lane() for _ in _ORDER)

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return sum(map(len, self._lanes))

    def __iter__(self) -> Iterator[Item]:
        """Iterate over the requests, most urgent class first."""
        for lane in self._lanes:
            yield from lane

    def ahead(self, priority: Priority) -> int:
        """Return how many requests would run before a new one."""
        lanes = self._lanes[: RANK[priority] + 1]
        return sum(map(len, lanes))

    def offer(self, item: Item) -> list[Item]:
        """Add a request and return those that must be refused for it.

        They are of the least urgent class, the newest of the account that
        holds most there; the list may hold ``item`` itself.
        """
        self._lanes[RANK[item.priority]].add(item)
        self._size_bytes += item.size_bytes
        refused: list[Item] = []
        while self._over():
            refused.append(self._drop())
        return refused

    def take(self) -> Item | None:
        """Remove and return the request to run next."""
        filled = [lane for lane in self._lanes if lane]
        if not filled:
            return None
        lane = filled[0]
        if len(filled) == 1:
            self._passed_over = 0
        elif self._passed_over + 1 >= STARVATION_TURN:
            lane = min(filled[1:], key=lambda each: each.oldest().arrived)
            self._passed_over = 0
        else:
            self._passed_over += 1
        item = lane.take()
        self._size_bytes -= item.size_bytes
        return item

    def put_back(self, item: Item) -> None:
        """Queue an item before others of its account; it is never refused."""
        self._lanes[RANK[item.priority]].put_back(item)
        self._size_bytes += item.size_bytes

    def oldest(self, priority: Priority) -> Item | None:
        """Return the request of a class that has waited longest."""
        lane = self._lanes[RANK[priority]]
        return lane.oldest() if lane else None

    def discard(self, item: Item) -> None:
        """Remove a request that no longer waits for a slot."""
        self._lanes[RANK[item.priority]].discard(item)
        self._size_bytes -= item.size_bytes

    def _over(self) -> bool:
        if len(self) > self.limit:
            return True
        return self._size_bytes > self.limit_bytes

    def _drop(self) -> Item:
        lane = next(lane for lane in reversed(self._lanes) if lane)
        item = lane.drop()
        self._size_bytes -= item.size_bytes
        return item
