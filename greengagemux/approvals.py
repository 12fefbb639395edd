"""Distribution of bundles on a platform whose log holds approved records.

Whoever may write to such a log approves what is written, so a record has
neither a signature nor a predecessor to check. A bundle from the log or from
a peer is put in force if its version is above the one in force.
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
from .readers import READERS_PER_DATA_CENTRE, reader_rank

STREAM: Final = 'bundles'
#: Wait of one long poll of the log by a reader of the data centre. A log that
#: has become silent is noticed by the next read at the latest.
READ_WAIT: Final = timedelta(seconds=5)
#: The same at the other daemons, to which the readers offer what is new. They
#: would learn it by themselves only if no reader and no peer told them.
WATCH_WAIT: Final = timedelta(seconds=25)
#: Delays after failed reads; each failure doubles the delay. The platform counts
#: calls even while it does not respond to them.
INITIAL_RETRY_DELAY: Final = timedelta(milliseconds=400)
RETRY_DELAY_LIMIT: Final = timedelta(seconds=2)
#: Random peers in other data centres of the region to which a new bundle is
#: offered, in addition to all peers of the own data centre.
OFFER_PEERS: Final = 3
#: Minimum time between two fetches.
FETCH_RETRY_AFTER: Final = timedelta(milliseconds=500)
#: An offered bundle is fetched from the peer if it was not read from the log
#: within this time.
OWN_READ_WAIT: Final = timedelta(milliseconds=300)
#: A daemon without a bundle fetches it from a peer this long after its start.
FIRST_READ_LIMIT: Final = timedelta(milliseconds=700)
#: Digest in a fetch that requests the newest bundle, whichever it is.
NEWEST: Final = b''

#: Returns the bundle in a record; raises ``FailureError`` if it is invalid.
BundleDecoder = Callable[[bytes], Bundle]


class ApprovedSource:
    """Source of bundles for a daemon on a platform with approved records."""

    def __init__(self, decoder: BundleDecoder) -> None:
        """Open records with ``decoder``."""
        self._decoder = decoder

    def attach(
        self, own: MemberRecord, paths: Paths, outbox: Outbox, rng: Random
    ) -> 'ApprovedFeed':
        """Return the feed that uses these paths of the daemon."""
        return ApprovedFeed(self._decoder, own, paths, outbox, rng)


class ApprovedFeed:
    """Reads the newest approved bundle and offers it to peers."""

    def __init__(
        self,
        decoder: BundleDecoder,
        own: MemberRecord,
        paths: Paths,
        outbox: Outbox,
        rng: Random,
    ) -> None:
        """Start without a bundle."""
        self._decoder = decoder
        self._own = own
        self._paths = paths
        self._outbox = outbox
        self._rng = rng
        self._bundle: Bundle | None = None
        self._changed = False
        self._payload = b''
        self._offset = LogOffset(0)
        self._following = LogOffset(0)
        #: Restores of the log when it gave ``_following``.
        self._restores: int | None = None
        self._reading = False
        self._read_due = ZERO
        self._backoff = INITIAL_RETRY_DELAY
        self._log_failed_since: timedelta | None = None
        self._fetch_due = ZERO
        self._started_at: timedelta | None = None
        #: Newest offer, the stream it arrived on, and when to fetch it.
        self._offered: tuple[StreamId, BundleOffer, timedelta] | None = None

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force at this daemon."""
        return self._bundle

    def take_change(self) -> Bundle | None:
        """Return the bundle in force if it changed since the last call.

        Otherwise return ``None``.
        """
        if not self._changed:
            return None
        self._changed = False
        return self._bundle

    def connected(self, stream: StreamId) -> None:
        """Offer the bundle in force to a peer on a new stream.

        The log may have lost it, and a daemon that starts then finds only an
        older one there.
        """
        if self._bundle is not None:
            self._outbox.emit(Send(stream, self._build_offer(self._bundle)))

    def tick(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        """Start the fetch and the read of the log that are due."""
        if self._started_at is None:
            self._started_at = now
        self._fetch_from_peer(live, now)
        if self._reading or now < self._read_due:
            return
        self._reading = True
        # A log that has just failed may accept a long poll and not respond.
        wait = ZERO
        if self._log_failed_since is None:
            is_reader = reader_rank(self._own, live) < READERS_PER_DATA_CENTRE
            wait = READ_WAIT if is_reader else WATCH_WAIT
        self._outbox.emit(
            ReadLog(STREAM, self._following, wait, self._restores)
        )

    def advance(self) -> None:
        """Do nothing: records are opened at once."""

    def log_event(
        self,
        event: LogRead | LogAppended | LogFailed,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Process the result of a read."""
        if event.stream != STREAM or isinstance(event, LogAppended):
            return
        self._reading = False
        if isinstance(event, LogFailed):
            self._read_failed(event, now)
            return
        if self._log_failed_since is not None:
            away_ms = in_ms(now - self._log_failed_since)
            self._record_event('log-regained', away_ms=away_ms)
        self._log_failed_since = None
        self._backoff = INITIAL_RETRY_DELAY
        self._read_due = now
        self._following = event.following
        if self._restores is not None and event.restores != self._restores:
            self._record_event(
                'log-restored',
                restores=event.restores,
                previous=self._restores,
                following=event.following,
            )
        self._restores = event.restores
        for record in event.records:
            with self._outbox.contain('configuration-record'):
                self._process_record(record.offset, record.payload, 'log', live)

    def receive(
        self,
        message: BundleOffer | BundleFetch | BundleRecord,
        stream: StreamId,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Process a message of a peer about bundles."""
        if isinstance(message, BundleOffer):
            if self._is_newer(message.version):
                # The log mostly delivers it within this time; a fetch may
                # cross links between data centres, which are paid.
                due = now + OWN_READ_WAIT
                self._offered = (stream, message, due)
        elif isinstance(message, BundleRecord):
            self._process_record(message.offset, message.payload, 'peer', live)
        elif self._bundle is not None:
            record = BundleRecord(self._offset, self._payload)
            self._outbox.emit(Send(stream, record))

    def _fetch_from_peer(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        """Fetch a bundle that the log has not delivered in time."""
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
        if self._bundle is None and self._first_read_overdue(now):
            self._fetch_due = now + FETCH_RETRY_AFTER
            self._fetch_newest(live)

    def _first_read_overdue(self, now: timedelta) -> bool:
        return self._started_at is not None and (
            now - self._started_at >= FIRST_READ_LIMIT
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
        if self._log_failed_since is None:
            self._log_failed_since = now
            self._record_event('log-lost', failure=str(event.failure))
        self._read_due = now + self._backoff * self._rng.uniform(1, 1.5)
        self._backoff = min(self._backoff * 2, RETRY_DELAY_LIMIT)

    def _is_newer(self, version: int) -> bool:
        return self._bundle is None or version > self._bundle.version

    def _process_record(
        self,
        offset: LogOffset,
        payload: bytes,
        source: str,
        live: Mapping[DaemonId, MemberRecord],
    ) -> None:
        try:
            bundle = self._decoder(payload)
        except FailureError as error:
            kept = self._bundle.version if self._bundle else None
            self._record_event(
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
        self._record_event(
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
        offer = self._build_offer(self._bundle)
        for daemon in (*near, *others):
            self._paths.send(daemon, offer)

    def _build_offer(self, bundle: Bundle) -> BundleOffer:
        digest = xxhash.xxh3_64_digest(self._payload)
        return BundleOffer(self._offset, bundle.version, digest)

    def _record_event(self, name: str, **fields: object) -> None:
        self._outbox.emit(Record(name, fields))
