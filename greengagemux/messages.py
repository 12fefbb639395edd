"""Typed messages between daemons.

Each message is encoded as a msgpack array that starts with its type tag.
"""

from enum import Enum

from msgspec import Struct

from .ids import (
    BundleVersion,
    CallerName,
    DaemonId,
    DataCentre,
    Incarnation,
    LogOffset,
    Region,
    RequestId,
    RouteName,
    ServiceName,
    UpstreamId,
)
from .outcomes import Outcome, Reason
from .allotments.messages import TokenMessage
from .leases import KeyRecordsAccepted, LeaseGrant, LeaseRequest, SlotEpoch

#: Version of the protocol between daemons.
PROTOCOL_VERSION = 2

Headers = tuple[tuple[bytes, bytes], ...]


class Priority(Enum):
    """Priority class of a request, most urgent first.

    ``waiting`` is for interactive requests, ``internal`` for queries between
    services.
    """

    waiting = 'waiting'
    routine = 'routine'
    internal = 'internal'


class UpstreamState(Enum):
    """State of an upstream as announced to other daemons."""

    cold = 'cold'
    serving = 'serving'
    suspect = 'suspect'
    sick = 'sick'
    probation = 'probation'
    draining = 'draining'


class Load(Struct, frozen=True, array_like=True):
    """Load of one upstream, reported with each response.

    ``service_ms`` is the moving mean of its service times. ``ahead`` holds, for
    each priority class from the most urgent, how many queued requests would
    run before a new one of that class. ``rate_limit_per_s`` is the rate of
    requests that it takes from the whole fleet, None without a limit; a new
    request would have to wait ``limit_wait_ms`` for it. ``leaving_boot`` is its
    boot if it has stated that it is leaving, otherwise None.
    """

    in_flight: int
    queued: int
    slots: int
    service_ms: float
    state: UpstreamState
    ahead: tuple[int, ...] = ()
    rate_limit_per_s: float | None = None
    limit_wait_ms: int = 0
    leaving_boot: int | None = None


class UpstreamRecord(Struct, frozen=True, array_like=True):
    """State of an upstream as its daemon announces it.

    ``severity`` orders sick upstreams: a higher one is worse. ``boot`` grows
    with each start of the upstream. One that has stated that it is ``leaving``
    takes no requests any more in this boot.
    """

    upstream: UpstreamId
    service: ServiceName
    slots: int
    state: UpstreamState
    severity: int = 0
    boot: int = 0
    leaving: bool = False


class MemberRecord(Struct, frozen=True, array_like=True):
    """State of one daemon, owned by that daemon.

    A higher incarnation always wins; within one, a higher sequence wins.
    """

    daemon: DaemonId
    incarnation: Incarnation
    sequence: int
    data_centre: DataCentre
    region: Region
    peer_address: str
    leaving: bool = False
    upstreams: tuple[UpstreamRecord, ...] = ()


class UpstreamHealth(Struct, frozen=True, array_like=True):
    """Health state of one upstream, as its egress daemon evaluates it."""

    upstream: UpstreamId
    service: ServiceName
    state: UpstreamState
    severity: int = 0


class HealthUpdate(Struct, frozen=True, array_like=True, tag='health'):
    """Changed health states of upstreams, for the daemons of a region.

    Links between data centres are paid by the byte, so only one daemon of
    each other data centre gets the update and relays it there. Between
    regions the health state is sent with the load of each response.
    """

    entries: tuple[UpstreamHealth, ...]
    #: Whether the receiver relays the update in its own data centre.
    relayed: bool = False


class Hello(Struct, frozen=True, array_like=True, tag='hello'):
    """First message in each direction of a stream.

    ``number`` rises with each stream that one incarnation opens; a newer
    stream supersedes older ones of the same incarnation.
    """

    version: int
    daemon: DaemonId
    data_centre: DataCentre
    region: Region
    incarnation: Incarnation
    number: int


class Ping(Struct, frozen=True, array_like=True, tag='ping'):
    """Liveness check of a stream."""

    nonce: int


class Pong(Struct, frozen=True, array_like=True, tag='pong'):
    """Response to a ``Ping`` with the same nonce."""

    nonce: int


class Dispatch(Struct, frozen=True, array_like=True, tag='dispatch'):
    """A request for one upstream beside the receiving daemon.

    ``remaining_ms`` is the time left until the deadline. ``forced`` marks a
    request placed on a sick upstream because the floor requires a share of
    the upstreams to stay in use. ``expected_ms`` is the median service time
    of the route over other upstreams, or 0 if unknown. ``echo`` names, in
    lower case, the request header that a correct response repeats; empty for
    none. ``team`` is the team of the caller; empty for none. ``retry`` marks
    a request that another upstream may have run or has refused. A
    ``movable`` request is refused rather than queued behind others of its
    priority class. ``peer_errors`` is the current share of errors of other
    upstreams. ``host`` is the virtual host that the caller named, ``tag`` the
    identity that it gave the request. ``target_ms`` is the remaining time
    within the route's target latency; 0 for none. A request that would wait
    for the rate limit of the upstream for more than ``limit_wait_ms`` is
    refused. ``rate_limit_per_s`` is that limit as the sender knows it, for an egress
    that has not heard from the upstream yet. With ``free_slot_only`` the
    request is refused rather than queued; after ``queue_turn_ms`` in a queue it
    is refused too, 0 for never. A ``hedge`` is a retry beside a running attempt
    and leaves half of the retry budget for failures.
    """

    request: RequestId
    upstream: UpstreamId
    service: ServiceName
    route: RouteName
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    remaining_ms: int
    answer_limit_bytes: int
    priority: Priority
    caller: CallerName
    idempotent: bool
    key: str = ''
    expected_ms: float = 0
    forced: bool = False
    echo: str = ''
    team: str = ''
    retry: bool = False
    movable: bool = False
    peer_errors: float = 0
    host: bytes = b''
    tag: str = ''
    target_ms: int = 0
    limit_wait_ms: int = 0
    rate_limit_per_s: float | None = None
    free_slot_only: bool = False
    queue_turn_ms: int = 0
    hedge: bool = False


class Answer(Struct, frozen=True, array_like=True, tag='answer'):
    """Complete response of an upstream.

    ``length`` and ``digest``, an xxh3-64 hash, are those of the body.
    ``usual_ms`` is the mean service time of the route at this upstream; 0 if
    it is unknown.
    """

    request: RequestId
    status: int
    headers: Headers
    body: bytes
    length: int
    digest: int
    service_ms: float
    load: Load
    usual_ms: float = 0


class Refusal(Struct, frozen=True, array_like=True, tag='refusal'):
    """States that a request ended without a response of the upstream."""

    request: RequestId
    reason: Reason
    outcome: Outcome
    retry_after_ms: int = 0
    detail: str = ''
    load: Load | None = None


class Cancel(Struct, frozen=True, array_like=True, tag='cancel'):
    """Cancels a request whose response is no longer needed."""

    request: RequestId


class Inquire(Struct, frozen=True, array_like=True, tag='inquire'):
    """Asks what became of a request whose stream was lost."""

    request: RequestId


class Running(Struct, frozen=True, array_like=True, tag='running'):
    """States that a request was received and has not ended."""

    request: RequestId


class NotSeen(Struct, frozen=True, array_like=True, tag='not-seen'):
    """States that a request never arrived; it will be refused if it does."""

    request: RequestId


class MemberDeltas(Struct, frozen=True, array_like=True, tag='deltas'):
    """Member records that changed or that the receiver pulled.

    ``heartbeats`` and ``ages_s`` belong to the record at the same position.
    """

    records: tuple[MemberRecord, ...]
    heartbeats: tuple[int, ...] = ()
    ages_s: tuple[int, ...] = ()


class DigestEntry(Struct, frozen=True, array_like=True):
    """Version and heartbeat of one member, as the sender knows them.

    ``heartbeat`` is a counter that the member itself raises within an
    incarnation; ``age_s`` is the time since it did so, rounded up.
    """

    daemon: DaemonId
    incarnation: Incarnation
    sequence: int
    heartbeat: int = 0
    age_s: int = 0


class MemberHeartbeats(Struct, frozen=True, array_like=True, tag='beats'):
    """Heartbeats, or versions that the receiver may want to pull."""

    entries: tuple[DigestEntry, ...]


class MemberSummary(Struct, frozen=True, array_like=True, tag='summary'):
    """One hash for each bucket of the sender's members."""

    hashes: tuple[int, ...]


class MemberDigest(Struct, frozen=True, array_like=True, tag='digest'):
    """The sender's members in some hash buckets.

    Without ``buckets`` it lists members whose heartbeat is overdue.
    """

    entries: tuple[DigestEntry, ...]
    buckets: tuple[int, ...] = ()


class MemberPull(Struct, frozen=True, array_like=True, tag='pull'):
    """Asks for the records of some members."""

    daemons: tuple[DaemonId, ...]


MemberMessage = (
    MemberDeltas | MemberHeartbeats | MemberSummary | MemberDigest | MemberPull
)


class BundleOffer(Struct, frozen=True, array_like=True, tag='offer'):
    """Announces the newest accepted bundle that the sender knows."""

    offset: LogOffset
    version: BundleVersion
    digest: bytes


class BundleFetch(Struct, frozen=True, array_like=True, tag='fetch'):
    """Asks for the bundle record with this digest.

    ``base`` is the digest of the bundle text that the sender has; the
    response may be a delta to it.
    """

    digest: bytes
    base: bytes = b''


class BundleRecord(Struct, frozen=True, array_like=True, tag='bundle'):
    """An accepted bundle record of the log."""

    offset: LogOffset
    payload: bytes


class Suspect(Struct, frozen=True, array_like=True):
    """A request fingerprint that was in flight when an upstream crashed.

    ``crashes`` holds ids of crashes, so that a crash reported twice counts
    once; ``cleared`` are those after which the request ran to its end.
    """

    fingerprint: int
    crashes: tuple[int, ...]
    cleared: tuple[int, ...]
    expires_in_ms: int


class Suspects(Struct, frozen=True, array_like=True, tag='suspects'):
    """Suspected, blocked and cleared request fingerprints."""

    entries: tuple[Suspect, ...]


class KeyRecord(Struct, frozen=True, array_like=True):
    """What the owner of a key slot knows of one idempotency key.

    ``answer`` is None while the write runs and after an unknown outcome.
    """

    caller: CallerName
    key: str
    digest: int
    age_ms: int
    outcome: Outcome | None = None
    answer: Answer | None = None


class KeyRecords(Struct, frozen=True, array_like=True, tag='keys'):
    """Some of the ``total`` key records of an ownership that ended.

    ``slot`` names the slot and the epoch that ended. For another
    ``window_ms`` the sender itself could not have answered for keys without
    a record.
    """

    slot: SlotEpoch
    window_ms: int
    total: int
    records: tuple[KeyRecord, ...]


class OwnersRequest(Struct, frozen=True, array_like=True, tag='want-homes'):
    """Asks for the slot owners, because records of the log were lost."""


class OwnersSnapshot(Struct, frozen=True, array_like=True, tag='homes'):
    """Compressed table of slot owners before log offset ``following``."""

    following: int
    table: bytes


SlotMessage = LeaseRequest | LeaseGrant | KeyRecords | KeyRecordsAccepted


Message = (
    Hello
    | Ping
    | Pong
    | Dispatch
    | Answer
    | Refusal
    | Cancel
    | Inquire
    | Running
    | NotSeen
    | MemberMessage
    | BundleOffer
    | BundleFetch
    | BundleRecord
    | Suspects
    | HealthUpdate
    | SlotMessage
    | OwnersRequest
    | OwnersSnapshot
    | TokenMessage
)
