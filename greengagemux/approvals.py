"""Bundles that the platform's log holds as approved.

On such a platform whoever may write the log signs off what is written, so
there is neither a signature nor a chain to check. Only versions above the
one in force are taken, whoever brings them: the log or a peer.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta
from random import Random
from typing import Final

import xxhash

from .bundles import Bundle
from .clocks import ZERO, in_ms
from .effects import Outbox, ReadLog, Record, Send
from .events import LogAppended, LogFailed, LogRead
from .ids import DaemonId, LogOffset, StreamId
from .messages import BundleFetch, BundleOffer, BundleRecord, MemberRecord
from .outcomes import FailureError
from .paths import Paths

STREAM: Final = 'bundles'
#: One read waits this long at the log. A connection that has gone silent is
#: noticed at the latest by the read after it.
READ_WAIT: Final = timedelta(seconds=5)
#: Waits after failed reads; each failure doubles the wait. Calls are counted
#: by the platform even while it does not answer them.
RETRY_FIRST: Final = timedelta(milliseconds=400)
RETRY_LIMIT: Final = timedelta(seconds=2)
#: Peers in other data centres of the region that are told of a new bundle,
#: beside all peers of the own one.
OFFER_PEERS: Final = 3
#: An offered bundle is requested again after this time.
FETCH_RETRY_AFTER: Final = timedelta(milliseconds=500)
#: An offered bundle is fetched if the own read has not brought it by then.
OWN_READ_WAIT: Final = timedelta(milliseconds=300)
#: Without a bundle, peers are asked this long after the start.
FIRST_READ_LIMIT: Final = timedelta(milliseconds=700)
#: Digest that asks for the newest bundle, whichever it is.
NEWEST: Final = b''

#: Returns the bundle in a record; raises ``FailureError`` for a bad one.
Opener = Callable[[bytes], Bundle]


class Approvals:
    """Source of bundles for a daemon on a platform with approved records."""

    def __init__(self, opener: Opener) -> None:
        """Open records with ``opener``."""
        self._opener = opener

    def attach(
        self, own: MemberRecord, paths: Paths, outbox: Outbox, rng: Random
    ) -> 'ApprovedFeed':
        """Return the feed that uses these paths of the daemon."""
        return ApprovedFeed(self._opener, own, paths, outbox, rng)


class ApprovedFeed:
    """Reads the newest approved bundle and passes it on."""

    def __init__(
        self,
        opener: Opener,
        own: MemberRecord,
        paths: Paths,
        outbox: Outbox,
        rng: Random,
    ) -> None:
        """Start without a bundle."""
        self._opener = opener
        self._own = own
        self._paths = paths
        self._outbox = outbox
        self._rng = rng
        self._bundle: Bundle | None = None
        self._changed = False
        self._payload = b''
        self._offset = LogOffset(0)
        self._following = LogOffset(0)
        self._reading = False
        self._read_due = ZERO
        self._backoff = RETRY_FIRST
        self._lost_since: timedelta | None = None
        self._fetch_due = ZERO
        self._started: timedelta | None = None
        #: Newest offer, the stream it came on, and when to take it up.
        self._offered: tuple[StreamId, BundleOffer, timedelta] | None = None

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force at this daemon."""
        return self._bundle

    def take_change(self) -> Bundle | None:
        """Return the bundle in force if it changed since the last call."""
        if not self._changed:
            return None
        self._changed = False
        return self._bundle

    def connected(self, stream: StreamId) -> None:
        """Do nothing: peers are asked only when the log does not answer."""

    def tick(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        """Read the log when a read is due, or ask a peer."""
        if self._started is None:
            self._started = now
        self._ask_peer(live, now)
        if self._reading or now < self._read_due:
            return
        self._reading = True
        # A log that has just failed may take a call and never answer it.
        wait = READ_WAIT if self._lost_since is None else ZERO
        self._outbox.emit(ReadLog(STREAM, self._following, wait))

    def advance(self) -> None:
        """Do nothing: records are opened at once."""

    def log_event(
        self,
        event: LogRead | LogAppended | LogFailed,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Take in the result of a read."""
        if event.stream != STREAM or isinstance(event, LogAppended):
            return
        self._reading = False
        if isinstance(event, LogFailed):
            self._read_failed(event, now)
            return
        if self._lost_since is not None:
            away_ms = in_ms(now - self._lost_since)
            self._note('log-regained', away_ms=away_ms)
        self._lost_since = None
        self._backoff = RETRY_FIRST
        self._read_due = now
        self._following = event.following
        for record in event.records:
            self._take(record.offset, record.payload, 'log', live)

    def receive(
        self,
        message: BundleOffer | BundleFetch | BundleRecord,
        stream: StreamId,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Take in a message of a peer about bundles."""
        if isinstance(message, BundleOffer):
            if self._is_newer(message.version):
                # The own read mostly brings it within this time, unpaid.
                due = now + OWN_READ_WAIT
                self._offered = (stream, message, due)
        elif isinstance(message, BundleRecord):
            self._take(message.offset, message.payload, 'peer', live)
        elif self._bundle is not None:
            record = BundleRecord(self._offset, self._payload)
            self._outbox.emit(Send(stream, record))

    def _ask_peer(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        """Fetch what the log has not brought."""
        if now < self._fetch_due:
            return
        if self._offered is not None:
            stream, offer, due = self._offered
            if now < due:
                return
            self._offered = None
            if self._is_newer(offer.version):
                self._fetch_due = now + FETCH_RETRY_AFTER
                self._outbox.emit(Send(stream, BundleFetch(offer.digest)))
            return
        if self._bundle is None and self._late(now):
            self._fetch_due = now + FETCH_RETRY_AFTER
            self._fetch_newest(live)

    def _late(self, now: timedelta) -> bool:
        return self._started is not None and (
            now - self._started >= FIRST_READ_LIMIT
        )

    def _fetch_newest(self, live: Mapping[DaemonId, MemberRecord]) -> None:
        peers = [each for each in live if self._paths.connected(each)]
        near = [
            each
            for each in peers
            if live[each].data_centre == self._own.data_centre
        ]
        if near or peers:
            chosen = self._rng.choice(near or peers)
            self._paths.send(chosen, BundleFetch(NEWEST))

    def _read_failed(self, event: LogFailed, now: timedelta) -> None:
        if self._lost_since is None:
            self._lost_since = now
            self._note('log-lost', failure=str(event.failure))
        self._read_due = now + self._backoff * self._rng.uniform(1, 1.5)
        self._backoff = min(self._backoff * 2, RETRY_LIMIT)

    def _is_newer(self, version: int) -> bool:
        return self._bundle is None or version > self._bundle.version

    def _take(
        self,
        offset: LogOffset,
        payload: bytes,
        source: str,
        live: Mapping[DaemonId, MemberRecord],
    ) -> None:
        try:
            bundle = self._opener(payload)
        except FailureError as error:
            kept = self._bundle.version if self._bundle else None
            self._note(
                'bundle-rejected',
                offset=offset,
                failure=str(error.failure),
                kept=kept,
            )
            return
        if not self._is_newer(bundle.version):
            return
        self._bundle = bundle
        self._payload = payload
        self._offset = offset
        self._changed = True
        self._note(
            'bundle-in-force',
            version=bundle.version,
            offset=offset,
            source=source,
        )
        self._offer(live)

    def _offer(self, live: Mapping[DaemonId, MemberRecord]) -> None:
        if self._bundle is None:
            return
        near = [
            daemon
            for daemon, record in live.items()
            if record.data_centre == self._own.data_centre
        ]
        others = [
            daemon
            for daemon, record in live.items()
            if record.region == self._own.region and daemon not in near
        ]
        others = self._rng.sample(others, min(OFFER_PEERS, len(others)))
        digest = xxhash.xxh3_64_digest(self._payload)
        offer = BundleOffer(self._offset, self._bundle.version, digest)
        for daemon in (*near, *others):
            self._paths.send(daemon, offer)

    def _note(self, name: str, **fields: object) -> None:
        self._outbox.emit(Record(name, fields))
