"""Discrete-event simulation for overload experiments on a fake clock.

The ingress and egress reducers are those of the daemon. Streams between daemons
add latency, and a bandwidth limit between regions. Upstreams are simulated with
a log-normal service time. Changed member records are sent to all daemons, but
daemons that join or leave, the log and sockets are not simulated.
"""

import heapq
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from random import Random
from typing import Final

from .answers import Origin
from .bundles import Bundle
from .clocks import ZERO, in_ms, ms
from .poisonrequests import PoisonRequests
from .crashes import CrashReports
from .effects import AbortCall, CallUpstream, Effect, Outbox, Respond, Send
from .ingress import Ingress
from .events import (
    Announced,
    CallerRequest,
    CallFault,
    StreamOpened,
    UpstreamAnswered,
    UpstreamFailed,
)
from .headers import OUTCOME, REASON, get
from .ids import (
    CallId,
    DaemonId,
    DataCentre,
    ExchangeId,
    Incarnation,
    Region,
    ServiceName,
    StreamId,
    UpstreamId,
)
from .keyed import KeyedWrites
from .egress import Egress
from .messages import (
    PROTOCOL_VERSION,
    Cancel,
    Dispatch,
    Hello,
    MemberRecord,
    Message,
    UpstreamState,
)
from .outcomes import Failure, Step
from .paths import Paths
from .reducers import TICK
from .healthstates import HealthTracker

#: One-way latency between daemons of one region and between two regions.
NEAR_LATENCY: Final = ms(1)
FAR_LATENCY: Final = ms(8)
#: Size of a message without its body.
MESSAGE_OVERHEAD_BYTES: Final = 250
ANNOUNCE_EVERY: Final = ms(1000)
#: Time until a connection is refused.
REFUSED_AFTER: Final = ms(0.2)
FIRST_INCARNATION: Final = Incarnation(1)
NEAR_REGION: Final = Region('near')
FAR_REGION: Final = Region('far')
_STATUS_OK: Final = 200
_BITS_PER_BYTE: Final = 8


@dataclass(frozen=True, slots=True)
class RegionSize:
    """Daemons of one region; the first ``upstreams`` of them have one each."""

    name: Region
    daemons: int
    upstreams: int


@dataclass(frozen=True, slots=True)
class Layout:
    """Size of a simulated fleet; each upstream has its own egress daemon.

    ``daemons`` is the number of daemons, all of which are ingresses. The last
    ``far`` of them are in the region without upstreams. With ``regions``, these
    replace the two regions, and their sums must be ``daemons`` and ``upstreams``.
    """

    upstreams: int = 8
    slots: int = 3
    daemons: int = 40
    far: int = 0
    service_ms: float = 40
    sigma: float = 0.5
    #: Part of the calls that take ``tail_factor`` times as long.
    tail_share: float = 0
    tail_factor: float = 7
    answer_bytes: int = 2000
    link_kbit_s: int = 30_000
    service: ServiceName = ServiceName('dispatch')
    regions: tuple[RegionSize, ...] = ()

    def capacity_per_s(self) -> float:
        """Return the requests a second that all slots together can serve."""
        return self.upstreams * self.slots / self.service_ms * 1000

    def region_of(self, number: int) -> Region:
        """Return the region of a daemon; those with upstreams come first."""
        if not self.regions:
            is_far = number >= self.daemons - self.far
            return FAR_REGION if is_far else NEAR_REGION
        with_upstream = [
            each.name for each in self.regions for _ in range(each.upstreams)
        ]
        others = [
            each.name
            for each in self.regions
            for _ in range(each.daemons - each.upstreams)
        ]
        return (with_upstream + others)[number]


@dataclass(slots=True)
class Run:
    """One call that ran on an upstream.

    ``call`` is its number in the simulation, ``slot_ms`` the time for which it
    occupied a slot; ``finished`` is False if it was aborted.
    """

    call: int
    ended: timedelta
    slot_ms: float
    finished: bool
    #: Number of the request that it ran.
    exchange: int = -1


@dataclass(slots=True)
class Exchange:
    """One request of a caller, with its response.

    ``call`` is the number of the call that served it, -1 if none did.
    """

    account: str
    requested_at: timedelta
    responded_at: timedelta | None = None
    outcome: str = ''
    reason: str = ''
    status: int = 0
    retry_after_s: int = 0
    service_ms: float = 0
    call: int = -1

    def added_ms(self) -> float:
        """Return the response time without the service time.

        It is infinite if there was no response.
        """
        if self.responded_at is None:
            return math.inf
        return in_ms(self.responded_at - self.requested_at) - self.service_ms


_Event = tuple[timedelta, int, Callable[[], None]]


@dataclass(slots=True)
class _Call:
    exchange: int
    started: timedelta
    service_ms: float
    number: int


@dataclass(slots=True)
class Upstream:
    """A simulated upstream; ``fault`` is ``refuse``, ``hang`` or empty.

    Calls that start take ``slowness`` times as long.
    """

    name: str
    slots: int
    fault: str = ''
    slowness: float = 1
    running: dict[CallId, _Call] = field(default_factory=dict)
    attempts: int = 0
    most_running: int = 0


class Host:
    """A host with its daemon, which is both an ingress and an egress."""

    def __init__(self, world: 'World', number: int) -> None:
        """Create a daemon without upstreams, bundle or peers."""
        layout = world.layout
        self.number = number
        self.outbox = Outbox()
        region = layout.region_of(number)
        self.record = MemberRecord(
            daemon=DaemonId(f'd{number}'),
            incarnation=FIRST_INCARNATION,
            sequence=1,
            data_centre=DataCentre(f'{region}-a'),
            region=region,
            peer_address=f'd{number}',
        )
        rng = Random(f'{world.seed}/{number}')
        self.paths = Paths(self.outbox, rng)
        crashes = CrashReports(
            PoisonRequests(rng), self.paths, self.outbox, rng
        )
        self.egress = Egress(
            self.record.daemon, self.outbox, HealthTracker(TICK), crashes
        )
        self.ingress = Ingress(
            self.record,
            self.egress,
            self.paths,
            self.outbox,
            rng,
            KeyedWrites(self.record, self.paths, self.outbox),
        )
        self.upstream: Upstream | None = None


class World:
    """Daemons, upstreams and the clock.

    ``offers`` counts the requests that ingresses sent to other daemons,
    ``far_bytes`` the bytes sent between regions.
    """

    def __init__(self, layout: Layout, bundle: Bundle, seed: int) -> None:
        """Create all daemons, with open streams and announced upstreams."""
        self.layout = layout
        self.seed = seed
        self.rng = Random(seed)
        self.now = ZERO
        self.exchanges: list[Exchange] = []
        self.runs: list[Run] = []
        self.far_bytes = 0
        self.offers = 0
        self.on_response: Callable[[int, Exchange], None] | None = None
        self._events: list[_Event] = []
        self._order = 0
        self._link_free_at: dict[Region, timedelta] = {}
        self._calls = 0
        self._members: dict[DaemonId, MemberRecord] = {}
        self._streams: dict[StreamId, tuple[Host, Host]] = {}
        self.hosts = [Host(self, each) for each in range(layout.daemons)]
        self.upstreams: list[Upstream] = []
        for host in self.hosts:
            host.egress.local_upstreams.configure(
                bundle.services, bundle.retries_pct
            )
            host.ingress.configure(bundle)
        self._start_upstreams()
        self._exchange_member_records()
        for turn, ticking in enumerate(self.hosts):
            start = TICK * turn / layout.daemons
            self.after(start, partial(self._tick, ticking))

    def after(self, delay: timedelta, work: Callable[[], None]) -> None:
        """Schedule work after a delay."""
        self._order += 1
        entry = (self.now + delay, self._order, work)
        heapq.heappush(self._events, entry)

    def run(self, duration: timedelta) -> None:
        """Advance the clock and run the events that fall due."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            due, _order, work = heapq.heappop(self._events)
            self.now = due
            work()
        self.now = end

    def send_request(
        self, host: Host, account: str, request: tuple[bytes, str, bytes]
    ) -> int:
        """Send a caller's request (path, token, body) and return its number."""
        path, token, body = request
        number = len(self.exchanges)
        self.exchanges.append(Exchange(account, self.now))
        host.ingress.request(
            CallerRequest(
                ExchangeId(number),
                b'GET',
                b'%s%d' % (path, number),
                ((b'Authorization', f'Bearer {token}'.encode()),),
                body,
            ),
            self.now,
        )
        self._flush(host)
        return number

    def _start_upstreams(self) -> None:
        for host in self.hosts[: self.layout.upstreams]:
            name = f'u{host.number}'
            host.upstream = Upstream(name, self.layout.slots)
            self.upstreams.append(host.upstream)
            self._announce(host, host.upstream)

    def _announce(self, host: Host, upstream: Upstream) -> None:
        host.egress.announce(
            Announced(
                UpstreamId(upstream.name),
                self.layout.service,
                upstream.name,
                upstream.slots,
                UpstreamState.serving,
            ),
            self.now,
        )
        self._flush(host)
        self.after(ANNOUNCE_EVERY, partial(self._announce, host, upstream))

    def _tick(self, host: Host) -> None:
        host.egress.tick(self.now)
        host.ingress.tick(self.now)
        self._flush(host)
        self.after(TICK, partial(self._tick, host))

    def _exchange_member_records(self) -> None:
        members = self._members
        members.update((host.record.daemon, host.record) for host in self.hosts)
        for owner in self.hosts[: self.layout.upstreams]:
            members[owner.record.daemon] = self._record(owner)
        for host in self.hosts:
            host.ingress.members_changed(members, members, self.now)
            host.outbox.drain()
        for opener in self.hosts:
            for peer in self.hosts[: self.layout.upstreams]:
                if peer is not opener:
                    self._open_stream(opener, peer)

    def _record(self, host: Host) -> MemberRecord:
        own = host.record
        return MemberRecord(
            daemon=own.daemon,
            incarnation=own.incarnation,
            sequence=own.sequence,
            data_centre=own.data_centre,
            region=own.region,
            peer_address=own.peer_address,
            upstreams=host.egress.local_upstreams.records(),
        )

    def _open_stream(self, opener: Host, peer: Host) -> None:
        stream = StreamId(len(self._streams) + 1)
        self._streams[stream] = (opener, peer)
        event = StreamOpened(
            stream, _hello(peer, stream), True, peer.record.peer_address
        )
        path = opener.paths.opened(event, self.now)
        if path is not None:
            opener.ingress.path_opened(path, self.now)
        peer.egress.epochs.opened(
            stream, opener.record.daemon, FIRST_INCARNATION, stream
        )

    def _flush(self, host: Host) -> None:
        replies = host.egress.local_replies
        while replies:
            host.ingress.reply(host.record.daemon, replies.pop(0), self.now)
        if host.egress.local_upstreams.changed:
            host.egress.local_upstreams.changed = False
            self._publish_record(host)
        for effect in host.outbox.drain():
            self._carry_out(host, effect)

    def _publish_record(self, host: Host) -> None:
        """Send the member record with changed upstreams to all daemons."""
        if not self._streams:
            return
        self._members[host.record.daemon] = self._record(host)
        self.after(
            FAR_LATENCY, partial(self._receive_record, host.record.daemon)
        )

    def _receive_record(self, changed: DaemonId) -> None:
        for each in self.hosts:
            each.ingress.members_changed(self._members, [changed], self.now)
            self._update_peer_states(each)
            self._flush(each)

    def _update_peer_states(self, host: Host) -> None:
        view = host.ingress.candidates.views[self.layout.service]
        states = [
            candidate.state
            for candidate in view.candidates.values()
            if candidate.daemon != host.record.daemon
        ]
        host.egress.health_tracker.update_peer_states(
            self.layout.service, states
        )

    def _carry_out(self, host: Host, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._send(host, effect)
        elif isinstance(effect, CallUpstream):
            self._call(host, effect)
        elif isinstance(effect, AbortCall):
            self._abort(host, effect.call)
        elif isinstance(effect, Respond):
            self._respond(effect)

    def _send(self, host: Host, effect: Send) -> None:
        opener, peer = self._streams[effect.stream]
        target = peer if host is opener else opener
        message = effect.message
        delay = self._delay(host, target, message)
        self.after(
            delay,
            partial(self._receive, target, host, effect.stream, message),
        )

    def _delay(self, host: Host, target: Host, message: Message) -> timedelta:
        region = host.record.region
        if region == target.record.region:
            return NEAR_LATENCY
        size = MESSAGE_OVERHEAD_BYTES
        size += len(getattr(message, 'body', b''))
        self.far_bytes += size
        start = max(self._link_free_at.get(region, ZERO), self.now)
        free = start + ms(size * _BITS_PER_BYTE / self.layout.link_kbit_s)
        self._link_free_at[region] = free
        return free - self.now + FAR_LATENCY

    def _receive(
        self, host: Host, sender: Host, stream: StreamId, message: Message
    ) -> None:
        daemon = sender.record.daemon
        if isinstance(message, Dispatch):
            self.offers += 1
            origin = Origin(daemon, FIRST_INCARNATION, message.request)
            host.egress.dispatch(origin, stream, message, self.now)
        elif isinstance(message, Cancel):
            origin = Origin(daemon, FIRST_INCARNATION, message.request)
            host.egress.cancel(origin, self.now)
        else:
            host.ingress.reply(daemon, message, self.now)
        self._flush(host)

    def _call(self, host: Host, effect: CallUpstream) -> None:
        upstream = host.upstream
        if upstream is None:
            return
        upstream.attempts += 1
        if upstream.fault == 'refuse':
            self.after(REFUSED_AFTER, partial(self._fail, host, effect.call))
            return
        service_ms = self._draw_service_ms() * upstream.slowness
        self._calls += 1
        exchange = int(effect.target.rpartition(b'/')[2])
        call = _Call(exchange, self.now, service_ms, self._calls)
        upstream.running[effect.call] = call
        running = len(upstream.running)
        upstream.most_running = max(upstream.most_running, running)
        if upstream.fault != 'hang':
            ended = partial(self._finish, host, upstream, effect.call)
            self.after(ms(service_ms), ended)

    def _draw_service_ms(self) -> float:
        layout = self.layout
        log_mean = math.log(layout.service_ms) - layout.sigma**2 / 2
        drawn_ms = self.rng.lognormvariate(log_mean, layout.sigma)
        if layout.tail_share and self.rng.random() < layout.tail_share:
            drawn_ms *= layout.tail_factor
        return drawn_ms

    def _fail(self, host: Host, call: CallId) -> None:
        failure = Failure(Step.call, 'upstream', 'connection refused')
        host.egress.failed(
            UpstreamFailed(call, CallFault.refused, False, failure),
            self.now,
        )
        self._flush(host)

    def _finish(self, host: Host, upstream: Upstream, call: CallId) -> None:
        ended = upstream.running.pop(call, None)
        if ended is None:
            return
        self._record_run(ended, finished=True)
        numbers = b'%d %f' % (ended.number, ended.service_ms)
        body = numbers.ljust(self.layout.answer_bytes)
        host.egress.answered(
            UpstreamAnswered(call, _STATUS_OK, (), body), self.now
        )
        self._flush(host)

    def _abort(self, host: Host, call: CallId) -> None:
        upstream = host.upstream
        ended = upstream.running.pop(call, None) if upstream else None
        if ended is not None:
            self._record_run(ended, finished=False)

    def _record_run(self, call: _Call, *, finished: bool) -> None:
        slot_ms = in_ms(self.now - call.started)
        run = Run(call.number, self.now, slot_ms, finished, call.exchange)
        self.runs.append(run)

    def _respond(self, effect: Respond) -> None:
        exchange = self.exchanges[effect.exchange]
        exchange.responded_at = self.now
        exchange.status = effect.status
        exchange.outcome = (
            get(effect.headers, OUTCOME.lower()) or b''
        ).decode()
        exchange.reason = (get(effect.headers, REASON.lower()) or b'').decode()
        exchange.retry_after_s = int(get(effect.headers, b'retry-after') or 0)
        if effect.status == _STATUS_OK:
            number, service_ms = effect.body.split()
            exchange.call = int(number)
            exchange.service_ms = float(service_ms)
        if self.on_response is not None:
            self.on_response(effect.exchange, exchange)


def _hello(host: Host, stream: StreamId) -> Hello:
    own = host.record
    return Hello(
        PROTOCOL_VERSION,
        own.daemon,
        own.data_centre,
        own.region,
        own.incarnation,
        stream,
    )


def quantile(samples: Sequence[float], share: float) -> float:
    """Return a quantile by rank, or ``nan`` if there are no samples."""
    if not samples:
        return math.nan
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
