"""Message handlers: apply each message that a peer sends."""

from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatch
from typing import TYPE_CHECKING

from .allotments.messages import TokenReply, TokenRequest
from .answers import Origin
from .assignments import Holder
from .attempts import is_via_owner
from .effects import Send
from .events import Announced
from .ids import DaemonId, StreamId, UpstreamId
from .messages import (
    Answer,
    BundleFetch,
    BundleOffer,
    BundleRecord,
    Cancel,
    Dispatch,
    HealthUpdate,
    SlotMessage,
    OwnersSnapshot,
    OwnersRequest,
    Inquire,
    KeyRecords,
    MemberHeartbeats,
    MemberDeltas,
    MemberDigest,
    MemberPull,
    MemberSummary,
    Message,
    NotSeen,
    Ping,
    Pong,
    Refusal,
    Running,
    Suspects,
    UpstreamState,
)
from .leases import KeyRecordsAccepted, LeaseGrant, LeaseRequest

if TYPE_CHECKING:
    from .reducers import Daemon


@dataclass(frozen=True, slots=True)
class Sender:
    """The peer that sent a message, and the stream it arrived on."""

    daemon: DaemonId
    stream: StreamId


@singledispatch
def receive(
    message: object, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    """Apply a message of a peer; raises ``TypeError`` for an unknown one."""
    raise TypeError(f'not a message: {type(message).__name__}')


@receive.register(Dispatch)
def _dispatch(
    message: Dispatch, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    origin = _origin(daemon, sender, message)
    if origin is None:
        return
    if is_via_owner(message):
        if daemon.egress.accepts(origin, sender.stream):
            daemon.ingress.forwarded_request(
                origin, sender.stream, message, now
            )
        return
    daemon.egress.dispatch(origin, sender.stream, message, now)


@receive.register(Cancel)
def _cancel(
    message: Cancel, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    origin = _origin(daemon, sender, message)
    if origin is not None:
        daemon.egress.cancel(origin, now)


@receive.register(Inquire)
def _inquire(
    message: Inquire, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    origin = _origin(daemon, sender, message)
    if origin is None or daemon.ingress.inquire(origin, sender.stream):
        return
    daemon.egress.inquire(origin, sender.stream, now)


@receive.register(Answer)
@receive.register(Refusal)
@receive.register(Running)
@receive.register(NotSeen)
def _response(
    message: Message, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.ingress.reply(sender.daemon, message, now)


@receive.register(Ping)
def _ping(
    message: Ping, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.outbox.emit(Send(sender.stream, Pong(message.nonce)))


@receive.register(Pong)
def _pong(
    message: Pong, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    """Do nothing: ``Paths.received`` has noted that the peer is alive."""


@receive.register(MemberDeltas)
@receive.register(MemberHeartbeats)
@receive.register(MemberSummary)
@receive.register(MemberDigest)
@receive.register(MemberPull)
def _membership(
    message: MemberDeltas
    | MemberHeartbeats
    | MemberSummary
    | MemberDigest
    | MemberPull,
    daemon: 'Daemon',
    sender: Sender,
    now: timedelta,
) -> None:
    if isinstance(message, MemberDeltas):
        _recall_departures(message, daemon, now)
    replies = daemon.members.receive(message, sender.daemon, now)
    daemon.send_all(replies, now)


def _recall_departures(
    message: MemberDeltas, daemon: 'Daemon', now: timedelta
) -> None:
    """Apply what an earlier process of this daemon has acknowledged."""
    own = [each for each in message.records if each.daemon == daemon.own.daemon]
    for record in own:
        for each in record.upstreams:
            if each.leaving:
                end_boot(daemon, each.upstream, each.boot, now)


def end_boot(
    daemon: 'Daemon', upstream: UpstreamId, boot: int, now: timedelta
) -> None:
    """Apply a departure that an earlier process has acknowledged."""
    known = daemon.egress.upstreams.get(upstream)
    if known is None:
        daemon.egress.local_upstreams.remember_ended(upstream, boot)
    elif not known.leaving:
        ended = Announced(
            upstream=upstream,
            service=known.service,
            address=known.address,
            slots=known.slots,
            state=UpstreamState.draining,
            boot=boot,
            last=True,
        )
        daemon.egress.announce(ended, now)


@receive.register(Suspects)
def _suspects(
    message: Suspects, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.crashes.received(message, sender.daemon, now)


@receive.register(HealthUpdate)
def _health(
    message: HealthUpdate, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.ingress.candidates.receive_health(message, now)
    if message.relayed:
        daemon.relay_health(message)


@receive.register(LeaseRequest)
@receive.register(LeaseGrant)
@receive.register(KeyRecords)
@receive.register(KeyRecordsAccepted)
def _slot_message(
    message: SlotMessage, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    incarnation = daemon.incarnations.get(sender.stream)
    if incarnation is not None:
        holder = Holder(sender.daemon, incarnation)
        daemon.keyed.receive(message, holder, now)


@receive.register(TokenRequest)
def _token_request(
    message: TokenRequest, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.allotments.requested(sender.daemon, sender.stream, message, now)


@receive.register(TokenReply)
def _token_reply(
    message: TokenReply, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.allotments.replied(sender.daemon, message, now)


@receive.register(OwnersRequest)
def _owners_request(
    message: OwnersRequest, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.keyed.send_table(sender.stream)


@receive.register(OwnersSnapshot)
def _owners_snapshot(
    message: OwnersSnapshot, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.keyed.snapshot(message, now)


@receive.register(BundleOffer)
@receive.register(BundleFetch)
@receive.register(BundleRecord)
def _bundle_message(
    message: BundleOffer | BundleFetch | BundleRecord,
    daemon: 'Daemon',
    sender: Sender,
    now: timedelta,
) -> None:
    daemon.distribution.receive(
        message, sender.stream, daemon.members.live(), now
    )


def _origin(
    daemon: 'Daemon', sender: Sender, message: Dispatch | Cancel | Inquire
) -> Origin | None:
    incarnation = daemon.incarnations.get(sender.stream)
    if incarnation is None or sender.stream not in daemon.inbound:
        # Requests are accepted only on streams that the peer opened.
        return None
    return Origin(sender.daemon, incarnation, message.request)
