"""Distribution of bundles from the log to every daemon."""

from collections import deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial, singledispatchmethod
from random import Random
from typing import TYPE_CHECKING


from .bundles import Bundle, Steps
from .clocks import ZERO
from .effects import Continue, Outbox, Record, Send
from .events import LogAppended, LogFailed, LogRead
from .ids import DaemonId, StreamId
from .messages import BundleFetch, BundleOffer, BundleRecord, MemberRecord
from .paths import Paths
from .readers import READERS_PER_DATA_CENTRE, rank_among, reader_rank

if TYPE_CHECKING:
    from .chains import Decision
    from .rollouts import Rollout

BUNDLE_STREAM = 'bundles'
#: The first reader uses long polls. The other readers read without a wait at
#: this interval; the other daemons check at it whether they became readers.
STANDBY_READ_INTERVAL = timedelta(seconds=2)
READ_WAIT = timedelta(seconds=2)
READ_RETRY_DELAY = timedelta(milliseconds=500)
#: A read without a result after this time is regarded as lost and repeated.
READ_TIMEOUT = timedelta(seconds=10)
#: Random peers to which a daemon that is not a reader offers a new bundle;
#: a reader offers it to all connected peers.
OFFER_PEERS = 3
#: The bundle is offered to one random peer at this interval, which makes up
#: for lost offers.
REPAIR_INTERVAL = timedelta(seconds=2)
#: Estimated processor time of one turn of work on bundles, in microseconds.
#: It bounds the delay of requests: the work continues after the other queued
#: events.
TURN_LIMIT_US = 500
#: Further offers of a bundle kept while it is fetched from one peer.
OFFER_QUEUE_LIMIT = 8

_Job = tuple[Steps[None], Callable[[], None]]


class Distribution:
    """Reads bundles from the log or fetches them from peers and offers them."""

    def __init__(
        self,
        own: MemberRecord,
        rollout: 'Rollout',
        paths: Paths,
        outbox: Outbox,
        rng: Random,
    ) -> None:
        """Start without a bundle."""
        self.rollout = rollout
        self._own = own
        self._paths = paths
        self._outbox = outbox
        self._rng = rng
        self._read_due = ZERO
        self._repair_due = ZERO
        self._offered_digest = b''
        self._in_force: Bundle | None = None
        self._changed = False
        self._jobs: deque[_Job] = deque()
        self._continue_queued = False
        #: Offers to fetch from next if the first peer does not respond.
        self._queued_offers: deque[tuple[StreamId, BundleOffer]] = deque(
            maxlen=OFFER_QUEUE_LIMIT
        )
        self._live: Mapping[DaemonId, MemberRecord] = {}
        #: Monotonic time of the last successful read of the log.
        self.log_seen_at: timedelta | None = None

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force at this daemon."""
        return self.rollout.bundle

    def take_change(self) -> Bundle | None:
        """Return the bundle in force if it changed since the last call.

        Otherwise return ``None``.
        """
        if not self._changed:
            return None
        self._changed = False
        return self.rollout.bundle

    def connected(self, stream: StreamId) -> None:
        """Offer the bundle to a peer on a new stream."""
        offer = self.rollout.offer()
        if offer is not None:
            self._outbox.emit(Send(stream, offer))

    def tick(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        """Start the reads, fetches, offers and statements that are due."""
        self._live = live
        if self._queued_offers:
            self._fetch_from_next(now)
        if now >= self._read_due:
            self._read(live, now)
        if now < self._repair_due:
            return
        self._repair_due = now + REPAIR_INTERVAL
        self._offer(live, 1)
        rank = rank_among(self._own, live)
        if self.rollout.statement_due(now, rank):
            self._run_steps(
                self.rollout.prepare_full_steps(),
                partial(self._append_statement, now, rank),
            )

    def advance(self) -> None:
        """Continue the queued work for one turn of ``TURN_LIMIT_US``."""
        self._continue_queued = False
        spent_us = 0
        while self._jobs:
            steps, done = self._jobs[0]
            for step_us in steps:
                spent_us += step_us
                if spent_us >= TURN_LIMIT_US:
                    self._continue_queued = True
                    self._outbox.emit(Continue())
                    return
            self._jobs.popleft()
            done()

    def log_event(
        self,
        event: LogRead | LogAppended | LogFailed,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Process the result of a read or an append."""
        self._log_event(event, live, now)

    def receive(
        self,
        message: BundleOffer | BundleFetch | BundleRecord,
        stream: StreamId,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Process a message of a peer about bundles."""
        self._live = live
        if isinstance(message, BundleOffer):
            if self.rollout.fetch_pending(message, now):
                self._queued_offers.append((stream, message))
            else:
                self._fetch(message, stream, now)
        elif isinstance(message, BundleFetch):
            self._respond(message, stream)
        else:
            self._run_steps(
                self.rollout.prepare_record_steps(message),
                partial(self._process_record, message),
            )

    def _run_steps(self, steps: Steps[None], done: Callable[[], None]) -> None:
        """Queue work, and call ``done`` after its last step."""
        self._jobs.append((steps, done))
        if not self._continue_queued:
            self.advance()

    def _fetch_from_next(self, now: timedelta) -> None:
        """Fetch from the next peer if the first one did not respond."""
        while self._queued_offers:
            stream, offer = self._queued_offers[0]
            if self.rollout.fetch_pending(offer, now):
                return
            self._queued_offers.popleft()
            self._fetch(offer, stream, now)

    def _fetch(
        self, offer: BundleOffer, stream: StreamId, now: timedelta
    ) -> None:
        fetch = self.rollout.on_offer(offer, now)
        if fetch is not None:
            self._outbox.emit(Send(stream, fetch))

    def _respond(self, fetch: BundleFetch, stream: StreamId) -> None:
        if self.rollout.sends_full(fetch):
            self._run_steps(
                self.rollout.prepare_full_steps(),
                partial(self._send_record, fetch, stream),
            )
        else:
            self._send_record(fetch, stream)

    def _send_record(self, fetch: BundleFetch, stream: StreamId) -> None:
        record = self.rollout.on_fetch(fetch)
        if record is not None:
            self._outbox.emit(Send(stream, record))

    def _process_record(self, record: BundleRecord) -> None:
        self._record_decision(self.rollout.on_record(record))
        self._check_change(self._live)

    def _process_read(self, event: LogRead, now: timedelta) -> None:
        # The next read starts after the records evaluated here.
        self._read_due = now
        if self._reader_rank(self._live):
            self._read_due = now + STANDBY_READ_INTERVAL
        for decision in self.rollout.read(event):
            self._record_decision(decision)
        self._check_change(self._live)

    def _append_statement(self, now: timedelta, rank: int) -> None:
        append = self.rollout.keep_alive(now, rank)
        if append is not None:
            self._outbox.emit(append)

    @singledispatchmethod
    def _log_event(
        self,
        event: object,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        raise TypeError(f'not a log event: {type(event).__name__}')

    @_log_event.register
    def _log_read(
        self,
        event: LogRead,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        if event.stream != BUNDLE_STREAM:
            return
        self.log_seen_at = now
        self._live = live
        self._run_steps(
            self.rollout.prepare_read_steps(event),
            partial(self._process_read, event, now),
        )

    @_log_event.register
    def _log_failed(
        self,
        event: LogFailed,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        if event.stream == BUNDLE_STREAM and event.payload is None:
            self._read_due = now + READ_RETRY_DELAY * self._rng.uniform(1, 3)

    @_log_event.register
    def _log_appended(
        self,
        event: LogAppended,
        live: Mapping[DaemonId, MemberRecord],
        now: timedelta,
    ) -> None:
        """Do nothing: the record takes effect once it is read."""

    def _read(
        self, live: Mapping[DaemonId, MemberRecord], now: timedelta
    ) -> None:
        rank = self._reader_rank(live)
        self._read_due = now + READ_TIMEOUT
        if rank >= READERS_PER_DATA_CENTRE:
            self._read_due = now + STANDBY_READ_INTERVAL
            return
        wait = ZERO if rank else READ_WAIT
        self._outbox.emit(self.rollout.next_read(wait))

    def _reader_rank(self, live: Mapping[DaemonId, MemberRecord]) -> int:
        return reader_rank(self._own, live)

    def _check_change(self, live: Mapping[DaemonId, MemberRecord]) -> None:
        offer = self.rollout.offer()
        if offer is not None and offer.digest != self._offered_digest:
            self._offered_digest = offer.digest
            is_reader = self._reader_rank(live) < READERS_PER_DATA_CENTRE
            self._offer(live, len(live) if is_reader else OFFER_PEERS)
        bundle = self.rollout.bundle
        if bundle != self._in_force:
            self._in_force = bundle
            self._changed = True
            version = bundle.version if bundle else None
            self._outbox.emit(Record('bundle-in-force', {'version': version}))

    def _offer(self, live: Mapping[DaemonId, MemberRecord], count: int) -> None:
        offer = self.rollout.offer()
        if offer is None:
            return
        peers = [daemon for daemon in live if self._paths.connected(daemon)]
        for daemon in self._rng.sample(peers, min(count, len(peers))):
            self._paths.send(daemon, offer)

    def _record_decision(self, decision: 'Decision') -> None:
        self._outbox.emit(
            Record(
                'bundle-record',
                {
                    'offset': decision.offset,
                    'outcome': decision.outcome.value,
                    'version': decision.version,
                    'operator': decision.operator,
                    'detail': decision.detail,
                },
            )
        )
