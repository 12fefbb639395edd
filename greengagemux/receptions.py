"""What a daemon does with each message of a peer."""

from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatch
from typing import TYPE_CHECKING

from .answers import Origin
from .assignments import Holder
from .attempts import is_by_home
from .effects import Send
from .ids import DaemonId, StreamId
from .messages import (
    Answer,
    BundleFetch,
    BundleOffer,
    BundleRecord,
    Cancel,
    Dispatch,
    HealthNews,
    HomeMessage,
    HomesSnapshot,
    HomesWanted,
    Inquire,
    KeyRecords,
    MemberBeats,
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
)
from .promises import KeyRecordsTaken, Promise, PromiseRequest

if TYPE_CHECKING:
    from .reducers import Daemon


@dataclass(frozen=True, slots=True)
class Sender:
    """The peer and the stream that a message came from."""

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
    if is_by_home(message):
        if daemon.last_hop.accepts(origin, sender.stream):
            daemon.entrance.by_home(origin, sender.stream, message, now)
        return
    daemon.last_hop.dispatch(origin, sender.stream, message, now)


@receive.register(Cancel)
def _cancel(
    message: Cancel, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    origin = _origin(daemon, sender, message)
    if origin is not None:
        daemon.last_hop.cancel(origin, now)


@receive.register(Inquire)
def _inquire(
    message: Inquire, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    origin = _origin(daemon, sender, message)
    if origin is None or daemon.entrance.inquire(origin, sender.stream):
        return
    daemon.last_hop.inquire(origin, sender.stream, now)


@receive.register(Answer)
@receive.register(Refusal)
@receive.register(Running)
@receive.register(NotSeen)
def _reply(
    message: Message, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.entrance.reply(sender.daemon, message, now)


@receive.register(Ping)
def _ping(
    message: Ping, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.outbox.emit(Send(sender.stream, Pong(message.nonce)))


@receive.register(Pong)
def _pong(
    message: Pong, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    """Do nothing: hearing the peer was all that counts."""


@receive.register(MemberDeltas)
@receive.register(MemberBeats)
@receive.register(MemberSummary)
@receive.register(MemberDigest)
@receive.register(MemberPull)
def _membership(
    message: MemberDeltas
    | MemberBeats
    | MemberSummary
    | MemberDigest
    | MemberPull,
    daemon: 'Daemon',
    sender: Sender,
    now: timedelta,
) -> None:
    replies = daemon.members.receive(message, sender.daemon, now)
    daemon.send_all(replies, now)


@receive.register(Suspects)
def _suspects(
    message: Suspects, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.crashes.received(message, now)


@receive.register(HealthNews)
def _health(
    message: HealthNews, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.entrance.candidates.hear(message, now)
    if message.relayed:
        daemon.relay_health(message)


@receive.register(PromiseRequest)
@receive.register(Promise)
@receive.register(KeyRecords)
@receive.register(KeyRecordsTaken)
def _home_message(
    message: HomeMessage, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    incarnation = daemon.incarnations.get(sender.stream)
    if incarnation is not None:
        holder = Holder(sender.daemon, incarnation)
        daemon.keyed.receive(message, holder, now)


@receive.register(HomesWanted)
def _homes_wanted(
    message: HomesWanted, daemon: 'Daemon', sender: Sender, now: timedelta
) -> None:
    daemon.keyed.wanted(sender.stream)


@receive.register(HomesSnapshot)
def _homes_snapshot(
    message: HomesSnapshot, daemon: 'Daemon', sender: Sender, now: timedelta
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
        # Requests come only on streams that the peer opened.
        return None
    return Origin(sender.daemon, incarnation, message.request)
