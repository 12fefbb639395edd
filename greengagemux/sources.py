"""Interfaces of the sources that supply a daemon with bundles."""

from collections.abc import Mapping
from datetime import timedelta
from random import Random
from typing import Final, Protocol

from .bundles import Bundle
from .effects import Outbox
from .events import LogAppended, LogFailed, LogRead
from .ids import DaemonId, StreamId
from .messages import BundleFetch, BundleOffer, BundleRecord, MemberRecord
from .paths import Paths

#: Time for which the log is assumed to keep a record.
RETENTION: Final = timedelta(hours=1)


class BundleFeed(Protocol):
    """Reads bundles from the log or fetches them from peers and offers them."""

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force at this daemon."""

    def take_change(self) -> Bundle | None:
        """Return the bundle in force if it changed since the last call.

        Otherwise return ``None``.
        """

    def connected(self, stream: StreamId) -> None:
        """Offer the bundle to a peer on a new stream."""

    def tick(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        """Start the reads, fetches and offers that are due."""

    def advance(self) -> None:
        """Continue queued work for one turn."""

    def log_event(
        self,
        event: LogRead | LogAppended | LogFailed,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Process the result of a read or an append."""

    def receive(
        self,
        message: BundleOffer | BundleFetch | BundleRecord,
        stream: StreamId,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Process a message of a peer about bundles."""


class BundleSource(Protocol):
    """Creates the bundle feed of a daemon."""

    def attach(
        self, own: MemberRecord, paths: Paths, outbox: Outbox, rng: Random
    ) -> BundleFeed:
        """Return the feed that uses these paths of the daemon."""
