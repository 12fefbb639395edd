"""Discovery of the first peers of a daemon through a stream of the log.

Each daemon writes its address to the stream when it starts and reads the
records just before its own, so that what it reads does not grow with the fleet:
each daemon knows the one before it, and together they are connected. Later
changes arrive by gossip, so the stream is read again, and then whole, only
when no peer is connected, and after the log has come back from a copy, which
may have lost addresses.
"""

import re
from collections.abc import Container, Mapping
from datetime import timedelta
from random import Random
from typing import Final

import msgspec

from .addresses import NAME_PATTERN, NAME_RULE, Address
from .clocks import ZERO
from .effects import AppendLog, OpenStream, Outbox, ReadLog, Record
from .events import LogAppended, LogFailed, LogRead
from .ids import DaemonId, LogOffset, Region
from .messages import MemberRecord

STREAM: Final = 'members'
#: Number of peers of the own region and of each other region to which streams
#: are opened first.
OWN_REGION_PEERS: Final = 3
OTHER_REGION_PEERS: Final = 1
#: Records that are read before the own one.
PREDECESSORS: Final = 24
#: A daemon whose region knows none of another region connects to one of it
#: this long after a read, and up to twice as long. Most learn of the others from
#: their region by then, and links between regions are paid by the byte.
FAR_DELAY: Final = timedelta(seconds=1.5)
#: While no peer is connected, other peers of the list are tried at this
#: interval.
TRY_INTERVAL: Final = timedelta(milliseconds=700)
#: Delays after failed log calls; each failure doubles the delay.
INITIAL_RETRY_DELAY: Final = timedelta(milliseconds=400)
RETRY_DELAY_LIMIT: Final = timedelta(seconds=2)
#: After a restore of the log, daemons write their addresses within this time.
REWRITE_SPREAD: Final = timedelta(seconds=2)
#: While no peer is connected, the list is read again after this time.
READ_AGAIN_AFTER: Final = timedelta(seconds=3)

_UNKNOWN_DAEMON: Final = DaemonId('')
_NAME: Final = re.compile(NAME_PATTERN)


class PeerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Address at which a daemon accepts streams of peers."""

    daemon: DaemonId
    region: Region
    peer_address: str


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerEntry] = msgspec.msgpack.Decoder(
    PeerEntry
)


def decode_entry(payload: bytes) -> PeerEntry:
    """Return the entry in a record of the list.

    Raises ``ValueError`` for one that names no daemon to connect to. Other
    writers may leave anything in the list.
    """
    try:
        entry = _decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error
    if _NAME.fullmatch(entry.daemon) is None:
        raise ValueError(f'the daemon is not {NAME_RULE}')
    Address.parse(entry.peer_address)
    return entry


class Discovery:
    """Registers the own address in the log and connects to listed peers."""

    def __init__(self, own: MemberRecord, outbox: Outbox, rng: Random) -> None:
        """Start without a list."""
        self._own = own
        self._outbox = outbox
        self._rng = rng
        self._peers: dict[DaemonId, PeerEntry] = {}
        self._address_written = False
        #: Restores of the log, by its newest response.
        self._restores: int | None = None
        #: Whether the next list may name daemons that are unknown to members.
        self._rejoins = False
        self._call_pending = False
        self._call_due = ZERO
        self._try_due = ZERO
        #: When to connect to regions of which no member is known.
        self._far_due: timedelta | None = None
        self._read_at: timedelta | None = None
        self._backoff = INITIAL_RETRY_DELAY
        #: Offset of the own record, if it was the last one when it was written.
        self._own_offset = LogOffset(0)

    def tick(
        self,
        *,
        connected: bool,
        now: timedelta,
        live: Mapping[DaemonId, MemberRecord],
    ) -> None:
        """Start the log calls and open the streams that are due.

        ``live`` holds the known members.
        """
        if not self._call_pending and now >= self._call_due:
            self._call_log(connected=connected, now=now)
        if self._far_due is not None and now >= self._far_due:
            self._far_due = None
            self._open_regions({record.region for record in live.values()})
        if connected or now < self._try_due:
            return
        self._try_due = now + TRY_INTERVAL
        self._open_sample(self._own.region, OWN_REGION_PEERS)

    def log_event(
        self,
        event: LogRead | LogAppended | LogFailed,
        known: Container[DaemonId],
        now: timedelta,
    ) -> None:
        """Process the result of a log call, also of other streams.

        ``known`` holds the daemons that need not be found.
        """
        if not isinstance(event, LogFailed):
            self._check_restores(event, now)
        if event.stream != STREAM:
            return
        self._call_pending = False
        if isinstance(event, LogFailed):
            self._own_offset = LogOffset(0)
            self._call_due = now + self._backoff * self._rng.uniform(1, 1.5)
            self._backoff = min(self._backoff * 2, RETRY_DELAY_LIMIT)
            failure = str(event.failure)
            self._outbox.emit(Record('peer-list-failed', {'failure': failure}))
            return
        self._backoff = INITIAL_RETRY_DELAY
        if isinstance(event, LogAppended):
            lost = event.restores not in {None, self._restores}
            self._address_written = not lost
            self._own_offset = event.offset
            self._call_due = max(self._call_due, now)
            return
        self._call_due = max(self._call_due, now)
        self._read_at = now
        self._own_offset = LogOffset(0)
        self._update_peers(event)
        self._try_due = now
        self._far_due = now + FAR_DELAY * self._rng.uniform(1, 2)
        if self._rejoins:
            self._rejoins = False
            self._open_unknown(known)

    def leave(self) -> None:
        """Remove the own address from the list."""
        if self._address_written:
            self._outbox.emit(AppendLog(STREAM, b'', key=self._own.daemon))

    def _check_restores(
        self, event: LogRead | LogAppended, now: timedelta
    ) -> None:
        """Write the address again if the log has come back from a copy."""
        previous = self._restores
        if event.restores is None or event.restores == previous:
            return
        if previous is not None and event.restores < previous:
            # A response that was sent before the newest restore.
            return
        self._restores = event.restores
        if previous is None:
            return
        self._address_written = False
        self._read_at = None
        self._rejoins = True
        # All daemons write at about the same time, and the log limits calls.
        self._call_due = now + REWRITE_SPREAD * self._rng.random()
        fields = {'restores': event.restores, 'previous': previous}
        self._outbox.emit(Record('peer-address-lost', fields))

    def _open_unknown(self, known: Container[DaemonId]) -> None:
        """Connect to daemons that found no peer in a list without entries."""
        unknown = [
            peer for peer in self._peers.values() if peer.daemon not in known
        ]
        count = min(OWN_REGION_PEERS, len(unknown))
        for peer in self._rng.sample(unknown, count):
            self._outbox.emit(OpenStream(_UNKNOWN_DAEMON, peer.peer_address))

    def _call_log(self, *, connected: bool, now: timedelta) -> None:
        if not self._address_written:
            self._call_pending = True
            own = PeerEntry(
                self._own.daemon, self._own.region, self._own.peer_address
            )
            self._outbox.emit(
                AppendLog(STREAM, _encoder.encode(own), key=own.daemon)
            )
            if self._read_at is None and self._backoff > INITIAL_RETRY_DELAY:
                # The list is useful even if the append of the address fails.
                self._outbox.emit(ReadLog(STREAM, LogOffset(0), ZERO))
            return
        stale = self._read_at is None or (
            not connected and now - self._read_at >= READ_AGAIN_AFTER
        )
        if stale:
            self._call_pending = True
            start = LogOffset(0)
            if not self._rejoins:
                start = LogOffset(max(0, self._own_offset - PREDECESSORS))
            self._outbox.emit(ReadLog(STREAM, start, ZERO, self._restores))

    def _update_peers(self, event: LogRead) -> None:
        self._peers.clear()
        for record in event.records:
            if not record.payload:
                self._peers.pop(DaemonId(record.key), None)
                continue
            try:
                peer = decode_entry(record.payload)
            except ValueError as error:
                fields = {'key': record.key, 'error': str(error)}
                self._outbox.emit(Record('peer-entry-rejected', fields))
                continue
            if peer.daemon != self._own.daemon:
                self._peers[peer.daemon] = peer
        self._outbox.emit(Record('peer-list-read', {'peers': len(self._peers)}))

    def _open_regions(self, known: Container[Region]) -> None:
        """Connect to each region of the list of which no member is known."""
        listed = {peer.region for peer in self._peers.values()}
        for region in sorted(listed):
            if region not in known:
                self._open_sample(region, OTHER_REGION_PEERS)

    def _open_sample(self, region: Region, count: int) -> None:
        """Connect to some peers of a region; without any, to some others."""
        listed = list(self._peers.values())
        peers = [peer for peer in listed if peer.region == region] or listed
        for peer in self._rng.sample(peers, min(count, len(peers))):
            self._outbox.emit(OpenStream(_UNKNOWN_DAEMON, peer.peer_address))
