"""How a daemon finds its first peers: through a stream of the log.

Each daemon writes its address to the stream when it starts and reads those
of the others. Gossip tells it of everything after that, so the stream is
read again only when no peer is connected.
"""

from datetime import timedelta
from random import Random
from typing import Final

import msgspec

from .clocks import ZERO
from .effects import AppendLog, OpenStream, Outbox, ReadLog, Record
from .events import LogAppended, LogFailed, LogRead
from .ids import DaemonId, LogOffset, Region
from .messages import MemberRecord

STREAM: Final = 'members'
#: Peers of the own region and of each other region that are opened first.
OWN_REGION_PEERS: Final = 3
OTHER_REGION_PEERS: Final = 1
#: Without a peer, others of the list are tried this often.
TRY_INTERVAL: Final = timedelta(milliseconds=700)
#: Waits after failed calls; each failure doubles the wait.
RETRY_FIRST: Final = timedelta(milliseconds=400)
RETRY_LIMIT: Final = timedelta(seconds=2)
#: Without a peer for this long, the list is read again.
READ_AGAIN_AFTER: Final = timedelta(seconds=3)

_UNKNOWN_DAEMON: Final = DaemonId('')


class PeerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Where a daemon accepts streams."""

    daemon: DaemonId
    region: Region
    peer_address: str


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerEntry] = msgspec.msgpack.Decoder(
    PeerEntry
)


class Discovery:
    """The list of daemons in the log, as known to one daemon."""

    def __init__(self, own: MemberRecord, outbox: Outbox, rng: Random) -> None:
        """Start without a list."""
        self._own = own
        self._outbox = outbox
        self._rng = rng
        self._known: dict[DaemonId, PeerEntry] = {}
        self._written = False
        self._busy = False
        self._due = ZERO
        self._try_due = ZERO
        self._read_at: timedelta | None = None
        self._backoff = RETRY_FIRST

    def tick(self, *, connected: bool, now: timedelta) -> None:
        """Write the own address, read the list, try peers."""
        if not self._busy and now >= self._due:
            self._call(connected=connected, now=now)
        if connected or now < self._try_due:
            return
        self._try_due = now + TRY_INTERVAL
        for peer in self._sample():
            self._outbox.emit(OpenStream(_UNKNOWN_DAEMON, peer.peer_address))

    def log_event(
        self, event: LogRead | LogAppended | LogFailed, now: timedelta
    ) -> None:
        """Take in the result of a call."""
        if event.stream != STREAM:
            return
        self._busy = False
        if isinstance(event, LogFailed):
            self._due = now + self._backoff * self._rng.uniform(1, 1.5)
            self._backoff = min(self._backoff * 2, RETRY_LIMIT)
            failure = str(event.failure)
            self._outbox.emit(Record('peer-list-failed', {'failure': failure}))
            return
        self._backoff = RETRY_FIRST
        self._due = now
        if isinstance(event, LogAppended):
            self._written = True
            return
        self._read_at = now
        self._take(event)
        self._try_due = now

    def leave(self) -> None:
        """Take the own address off the list."""
        if self._written:
            self._outbox.emit(AppendLog(STREAM, b'', key=self._own.daemon))

    def _call(self, *, connected: bool, now: timedelta) -> None:
        if not self._written:
            self._busy = True
            own = PeerEntry(
                self._own.daemon, self._own.region, self._own.peer_address
            )
            self._outbox.emit(
                AppendLog(STREAM, _encoder.encode(own), key=own.daemon)
            )
            if self._read_at is None:
                # The list helps even if the own address cannot be written.
                self._outbox.emit(ReadLog(STREAM, LogOffset(0), ZERO))
            return
        stale = self._read_at is None or (
            not connected and now - self._read_at >= READ_AGAIN_AFTER
        )
        if stale:
            self._busy = True
            self._outbox.emit(ReadLog(STREAM, LogOffset(0), ZERO))

    def _take(self, event: LogRead) -> None:
        self._known.clear()
        for record in event.records:
            if not record.payload:
                continue
            try:
                peer = _decoder.decode(record.payload)
            except msgspec.MsgspecError as error:
                fields = {'key': record.key, 'error': str(error)}
                self._outbox.emit(Record('peer-entry-rejected', fields))
                continue
            if peer.daemon != self._own.daemon:
                self._known[peer.daemon] = peer
        self._outbox.emit(Record('peer-list-read', {'peers': len(self._known)}))

    def _sample(self) -> list[PeerEntry]:
        by_region: dict[Region, list[PeerEntry]] = {}
        for peer in self._known.values():
            by_region.setdefault(peer.region, []).append(peer)
        picked: list[PeerEntry] = []
        for region, peers in by_region.items():
            near = region == self._own.region
            count = OWN_REGION_PEERS if near else OTHER_REGION_PEERS
            picked += self._rng.sample(peers, min(count, len(peers)))
        return picked
