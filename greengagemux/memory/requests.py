"""Bytes that a daemon holds for requests, over all connections and streams.

It addresses clients that send many large bodies at once, whole, in pieces or
in chunks, and leave most of them unfinished: each body is within the limit of
a request, and their sum exceeds the memory of the host.
"""

from collections.abc import Callable
from typing import Final, Protocol

#: Requests up to this size are refused only above the whole limit; larger ones
#: leave a part of it to them.
SMALL_BYTES: Final = 64 * 1024
#: Part of the limit, in percent, up to which larger requests are kept.
LARGE_PCT: Final = 85


class Request(Protocol):
    """A request that is being received."""

    def give_up(self) -> None:
        """Refuse it as not run, or cut it off, as there is no room for it."""


def _no_bytes() -> int:
    return 0


class RequestBytes:
    """Counts the bytes of requests and gives up the largest above the limit.

    Only requests that are still being received are given up: a complete one
    may have run.
    """

    def __init__(
        self, limit_bytes: int, other_bytes: Callable[[], int] = _no_bytes
    ) -> None:
        """Start empty; ``other_bytes`` returns bytes that are held elsewhere."""
        self.limit_bytes = limit_bytes
        self._other_bytes = other_bytes
        self._own_bytes = 0
        self._receiving: dict[Request, int] = {}
        self._complete: dict[Request, int] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes of all requests."""
        return self._own_bytes + self._other_bytes()

    def add(self, request: Request, size_bytes: int) -> None:
        """Count received bytes; give up the largest requests if necessary."""
        known = self._receiving.get(request, 0)
        self._receiving[request] = known + size_bytes
        self._own_bytes += size_bytes
        self._make_room()

    def keep(self, request: Request, size_bytes: int) -> None:
        """Count bytes of a request that is not to be given up."""
        known = self._complete.get(request, 0)
        self._complete[request] = known + size_bytes
        self._own_bytes += size_bytes
        self._make_room()

    def complete(self, request: Request) -> None:
        """Keep the bytes of a request that has been received whole."""
        if request in self._receiving:
            self._complete[request] = self._receiving.pop(request)

    def release(self, request: Request) -> None:
        """Forget a request that was answered, refused or lost."""
        self._own_bytes -= self._receiving.pop(request, 0)
        self._own_bytes -= self._complete.pop(request, 0)

    def _make_room(self) -> None:
        while self.held_bytes > self._large_limit_bytes and self._receiving:
            largest = max(self._receiving, key=self._receiving.__getitem__)
            is_small = self._receiving[largest] <= SMALL_BYTES
            if is_small and self.held_bytes <= self.limit_bytes:
                return
            self.release(largest)
            largest.give_up()

    @property
    def _large_limit_bytes(self) -> int:
        return self.limit_bytes * LARGE_PCT // 100
