"""Where a daemon gets its bundle from."""

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
    """Reads bundles from the log or from peers and passes them on."""

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force at this daemon."""

    def take_change(self) -> Bundle | None:
        """Return the bundle in force if it changed since the last call."""

    def connected(self, stream: StreamId) -> None:
        """Offer the bundle to a peer on a new stream."""

    def tick(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        """Do the work that is due."""

    def advance(self) -> None:
        """Do the next step of the work that is under way."""

    def log_event(
        self,
        event: LogRead | LogAppended | LogFailed,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Take in the result of a read or an append."""

    def receive(
        self,
        message: BundleOffer | BundleFetch | BundleRecord,
        stream: StreamId,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Take in a message of a peer about bundles."""


class BundleSource(Protocol):
    """Makes the feed of a daemon."""

    def attach(
        self, own: MemberRecord, paths: Paths, outbox: Outbox, rng: Random
    ) -> BundleFeed:
        """Return the feed that uses these paths of the daemon."""
