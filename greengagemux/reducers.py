"""The reducer of a daemon: applies an event and returns its effects."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatch
from random import Random
from types import MappingProxyType

from .allotments.buckets import Tolerance
from .allotments.clients import Allotments
from .answers import RETAINED_LIMIT_BYTES
from .clocks import ZERO
from .poisonrequests import PoisonRequests
from .crashes import CrashReports
from .departures.recorder import DepartureRecorder
from .departures.records import Departure
from .discoveries import Discovery
from .effects import (
    Acknowledge,
    CloseStream,
    Effect,
    Exit,
    OpenStream,
    Outbox,
    Record,
    ReleaseCallers,
)
from .bundles import Bundle
from .ingress import Ingress
from .episodes import EpisodeHealthTracker
from .events import (
    Advance,
    Announced,
    CallerDisconnected,
    CallerRequest,
    Event,
    ListeningChecked,
    LogAppended,
    LogFailed,
    LogRead,
    PeerMessage,
    PeerUnreachable,
    Probed,
    StopRequested,
    StreamClosed,
    StreamOpened,
    Tick,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamStated,
)
from .gossip import Directed
from .ids import (
    DaemonId,
    Incarnation,
    ServiceName,
    StreamId,
    UpstreamId,
)
from .keyed import KeyedWrites
from .egress import Egress
from .members import Members
from .messages import HealthUpdate, MemberRecord, UpstreamHealth
from .paths import Paths
from .handlers import Sender, end_boot, receive
from .requests import StopWindow
from .sources import RETENTION, BundleSource
from .upstreams import ANNOUNCE_LEASE
from .healthstates import HealthTracker
from .writes import LeaseTimings

#: Interval of ``Tick`` events.
TICK = timedelta(milliseconds=25)
#: Paths are checked less often than deadlines: there may be 650 of them.
PATH_CHECK_INTERVAL = timedelta(milliseconds=100)
#: Interval between attempts to connect to the seeds while no peer is
#: connected.
SEED_RETRY_INTERVAL = timedelta(seconds=1)
#: A new daemon is not ready before each key slot has an owner, which takes
#: seconds in a new fleet; after this time it is ready all the same.
SLOT_OWNERS_TIMEOUT = timedelta(seconds=15)
#: A stopping daemon accepts connections and dispatches for this long, so that
#: callers and peers learn of the stop.
STOP_NOTICE = timedelta(seconds=2)

_UNKNOWN_DAEMON = DaemonId('')


@dataclass(frozen=True, slots=True)
class DaemonOptions:
    """Options of a daemon, fixed while it runs.

    ``own`` is its first member record, ``seeds`` are the addresses of its
    first peers. A planned stop ends after ``stop_limit`` even if requests
    are unfinished. ``terms`` are the durations of keyed writes; tests
    shorten them.
    """

    own: MemberRecord
    seeds: tuple[str, ...]
    stop_limit: timedelta
    terms: LeaseTimings | None = None
    #: Time for which the log keeps a record.
    retention: timedelta = RETENTION
    #: Whether callers may make writes idempotent by a key.
    keyed: bool = True
    #: Whether the first peers are found through the log.
    discovers: bool = False
    #: Whether departures are kept in the log before they are acknowledged.
    records_departures: bool = False
    #: Interval of ``Tick`` events.
    tick: timedelta = TICK
    #: Whether short gray episodes of upstreams are common.
    episodes: bool = False
    #: An upstream is removed this long after its last announcement.
    announce_lease: timedelta = ANNOUNCE_LEASE
    #: A stopping daemon announces after this time that it is leaving; until
    #: then its upstreams get new requests.
    leave_after: timedelta = ZERO
    #: How far accounts may exceed their rates.
    tolerance: Tolerance = Tolerance()
    #: Most bytes of answers kept for ingress daemons that lost their stream.
    retained_bytes: int = RETAINED_LIMIT_BYTES


class Daemon:
    """State of one daemon; all changes go through ``reduce``."""

    def __init__(
        self, options: DaemonOptions, source: BundleSource, rng: Random
    ) -> None:
        """Start without peers, upstreams or bundle."""
        own = options.own
        self.options = options
        self.own = own
        self.outbox = Outbox()
        self.paths = Paths(self.outbox, rng)
        self.crashes = CrashReports(
            PoisonRequests(rng), self.paths, self.outbox, rng
        )
        self.egress = Egress(
            own.daemon,
            self.outbox,
            _build_health_tracker(options),
            self.crashes,
            options.announce_lease,
        )
        self.egress.finished.limit_bytes = options.retained_bytes
        self.egress.local_upstreams.separate_health = options.episodes
        self.keyed = KeyedWrites(
            own,
            self.paths,
            self.outbox,
            options.terms,
            options.retention,
            enabled=options.keyed,
        )
        self.ingress = Ingress(
            own, self.egress, self.paths, self.outbox, rng, self.keyed
        )
        self.allotments = Allotments(
            own, self.paths, self.outbox, options.tolerance
        )
        if options.episodes:
            self.ingress.candidates.separate_health = True
        self.members = Members(own, rng, by_data_centre=options.episodes)
        self.distribution = source.attach(own, self.paths, self.outbox, rng)
        self._unsent_far_health: dict[UpstreamId, UpstreamHealth] = {}
        self.discovery: Discovery | None = None
        if options.discovers:
            self.discovery = Discovery(own, self.outbox, rng)
        self.departures: DepartureRecorder | None = None
        if options.records_departures:
            self.departures = DepartureRecorder(own.daemon, self.outbox, rng)
        self.incarnations: dict[StreamId, Incarnation] = {}
        self.inbound: set[StreamId] = set()
        self.stopping_since: timedelta | None = None
        #: Whether the member record says that this daemon is leaving.
        self.leaving = False
        #: Whether callers and peers can no longer send new requests.
        self.notice_over = False
        #: Whether each key slot had an owner, or ``slots_deadline`` passed.
        self.slots_ready = False
        self.slots_deadline: timedelta | None = None
        self.seeds_due = ZERO
        self.paths_due = ZERO

    @property
    def stopping(self) -> bool:
        """Whether the daemon was asked to stop."""
        return self.stopping_since is not None

    def ready(self) -> tuple[bool, str]:
        """Return whether callers may be sent here, and the reason."""
        if self.stopping:
            return False, 'stopping'
        if self.distribution.bundle is None:
            return False, 'no bundle in force'
        if not self.slots_ready:
            return False, 'some key slots have no owner yet'
        return True, 'serving'

    def send_all(self, messages: Iterable[Directed], now: timedelta) -> None:
        """Send membership messages.

        A message to a peer without an open stream is discarded, and a stream
        is opened for later messages.
        """
        for directed in messages:
            if self.paths.send(directed.daemon, directed.message):
                continue
            record = self.members.record(directed.daemon)
            if record is not None:
                self.paths.want(record.daemon, record.peer_address, now)

    def settle(self, now: timedelta) -> None:
        """Pass results between the parts of the daemon after an event."""
        contain = self.outbox.contain
        with contain('allotments'):
            self._settle_allotments(now)
        while self.egress.local_replies:
            reply = self.egress.local_replies.pop(0)
            with contain('local-reply'):
                self.ingress.reply(self.own.daemon, reply, now)
        with contain('health'):
            self._settle_upstreams(now)
        changed = self.members.changes()
        if changed:
            with contain('members'):
                self._members_changed(changed, now)
        bundle = self.distribution.take_change()
        if bundle is not None:
            with contain('bundle'):
                self._configure(bundle, now)

    def _settle_allotments(self, now: timedelta) -> None:
        """Pass requests without a token and the decisions on them."""
        unasked = self.ingress.without_token
        while unasked:
            self.allotments.ask(unasked.pop(0), now)
        while self.allotments.verdicts:
            verdict = self.allotments.verdicts.pop(0)
            with self.outbox.contain('token-decided'):
                self.ingress.token_decided(verdict, now)

    def _settle_upstreams(self, now: timedelta) -> None:
        """Publish what has changed at the upstreams beside this daemon."""
        egress = self.egress
        if egress.local_upstreams.health_updates:
            self._publish_health(tuple(egress.local_upstreams.health_updates))
            egress.local_upstreams.health_updates.clear()
        if egress.local_upstreams.changed:
            egress.local_upstreams.changed = False
            self.members.set_own(
                egress.local_upstreams.records(), self.leaving, now
            )
        if egress.local_upstreams.departed:
            egress.local_upstreams.departed = False
            # The acknowledgement that follows binds a later process as well,
            # and only peers can tell that process.
            self.send_all(self.members.push(now), now)

    def _configure(self, bundle: Bundle, now: timedelta) -> None:
        """Apply a new bundle to all parts."""
        self.egress.local_upstreams.configure(
            bundle.services, bundle.retries_pct, bundle.retries_per_s
        )
        self.ingress.configure(bundle)
        self.allotments.configure(bundle, now)
        self.keyed.configure(bundle.services)
        if self.slots_deadline is None:
            self.slots_deadline = now + SLOT_OWNERS_TIMEOUT

    def relay_health(self, update: HealthUpdate) -> None:
        """Send a health update to the daemons of this data centre."""
        relayed = HealthUpdate(update.entries)
        for daemon, record in self.members.live().items():
            if record.data_centre == self.own.data_centre:
                self.paths.send(daemon, relayed)

    def publish_far_health(self) -> None:
        """Send changed health states to the region's other data centres.

        Changes are collected between ticks; only the last one of each
        upstream is sent, to one daemon of each data centre, which relays it.
        """
        if not self._unsent_far_health:
            return
        update = HealthUpdate(
            tuple(self._unsent_far_health.values()), relayed=True
        )
        self._unsent_far_health.clear()
        reached = {self.own.data_centre}
        for daemon, record in sorted(self.members.live().items()):
            if (
                record.region != self.own.region
                or record.data_centre in reached
            ):
                continue
            if self.paths.send(daemon, update):
                reached.add(record.data_centre)

    def _publish_health(self, entries: tuple[UpstreamHealth, ...]) -> None:
        update = HealthUpdate(entries)
        self.ingress.candidates.receive_health(update, self.outbox.now)
        self.relay_health(update)
        self._unsent_far_health.update(
            {each.upstream: each for each in entries}
        )

    def _members_changed(
        self, changed: Iterable[DaemonId], now: timedelta
    ) -> None:
        live = self.members.live()
        for daemon in changed:
            if daemon not in live:
                self.paths.forget(daemon)
        self.ingress.members_changed(live, changed, now)
        self.send_all(self.ingress.candidates.take_reminders(), now)
        self.crashes.configure(
            live, self.own.region, self.ingress.candidates.views
        )
        self.keyed.members_changed(live)
        self.allotments.members_changed(live, now)
        own = {each.service for each in self.egress.upstreams.values()}
        for service in own:
            self._update_peer_states(service)
            view = self.ingress.candidates.views.get(service)
            size = len(view.candidates) if view else 1
            self.egress.local_upstreams.service_sizes[service] = size

    def _update_peer_states(self, service: ServiceName) -> None:
        view = self.ingress.candidates.views.get(service)
        if view is None:
            return
        states = [
            candidate.state
            for candidate in view.candidates.values()
            if candidate.daemon != self.own.daemon
        ]
        self.egress.health_tracker.update_peer_states(service, states)


def reduce(daemon: Daemon, event: Event, now: timedelta) -> list[Effect]:
    """Apply an event at monotonic time ``now`` and return the effects.

    An exception in one step of the event is reported as ``StepFailed`` and
    ends no other step.
    """
    daemon.outbox.now = now
    daemon.egress.local_upstreams.notice(now)
    with daemon.outbox.contain(type(event).__name__):
        handle(event, daemon, now)
    daemon.settle(now)
    return daemon.outbox.drain()


@singledispatch
def handle(event: object, daemon: Daemon, now: timedelta) -> None:
    """Apply one event; raises ``TypeError`` for an unknown one."""
    raise TypeError(f'not an event: {type(event).__name__}')


@handle.register
def _tick(event: Tick, daemon: Daemon, now: timedelta) -> None:
    for name, step in _TICK_STEPS.items():
        with daemon.outbox.contain(name):
            step(daemon, now)


def _tick_paths(daemon: Daemon, now: timedelta) -> None:
    if now < daemon.paths_due:
        return
    daemon.paths_due = now + PATH_CHECK_INTERVAL
    for path in daemon.paths.tick(now):
        with daemon.outbox.contain('path-lost'):
            daemon.ingress.path_lost(path, now)


def _tick_slots(daemon: Daemon, now: timedelta) -> None:
    if not daemon.slots_ready and daemon.slots_deadline is not None:
        late = now >= daemon.slots_deadline
        daemon.slots_ready = late or daemon.keyed.has_all_owners


def _tick_departures(daemon: Daemon, now: timedelta) -> None:
    if daemon.departures is not None:
        daemon.departures.tick(now)


def _tick_discovery(daemon: Daemon, now: timedelta) -> None:
    if daemon.discovery is not None and not daemon.stopping:
        daemon.discovery.tick(
            connected=daemon.paths.any_open(),
            now=now,
            live=daemon.members.live(),
        )


def _tick_seeds(daemon: Daemon, now: timedelta) -> None:
    if now >= daemon.seeds_due:
        daemon.seeds_due = now + SEED_RETRY_INTERVAL
        _open_seeds(daemon)


def _tick_stop(daemon: Daemon, now: timedelta) -> None:
    if daemon.stopping_since is not None:
        _check_stop(daemon, daemon.stopping_since, now)


#: Steps of a tick, in this order; an exception in one ends no other.
_TICK_STEPS: Mapping[str, Callable[[Daemon, timedelta], None]] = (
    MappingProxyType(
        {
            'egress-tick': lambda daemon, now: daemon.egress.tick(now),
            'ingress-tick': lambda daemon, now: daemon.ingress.tick(now),
            'health-sent': lambda daemon, now: daemon.publish_far_health(),
            'crashes-tick': lambda daemon, now: daemon.crashes.tick(now),
            'members-tick': lambda daemon, now: daemon.send_all(
                daemon.members.tick(now), now
            ),
            'distribution-tick': lambda daemon, now: daemon.distribution.tick(
                daemon.members.live(), now
            ),
            'allotments-tick': lambda daemon, now: daemon.allotments.tick(now),
            'keyed-tick': lambda daemon, now: daemon.keyed.tick(now),
            'paths-tick': _tick_paths,
            'slots-tick': _tick_slots,
            'departures-tick': _tick_departures,
            'discovery-tick': _tick_discovery,
            'seeds-tick': _tick_seeds,
            'stop-tick': _tick_stop,
        }
    )
)


@handle.register
def _caller_request(
    event: CallerRequest, daemon: Daemon, now: timedelta
) -> None:
    step = daemon.outbox.contain('caller-request')
    with step:
        daemon.ingress.request(event, now)
    if step.failed:
        daemon.ingress.request_failed(event, now)


@handle.register
def _caller_disconnected(
    event: CallerDisconnected, daemon: Daemon, now: timedelta
) -> None:
    daemon.ingress.gone(event, now)


@handle.register
def _stream_opened(event: StreamOpened, daemon: Daemon, now: timedelta) -> None:
    hello = event.hello
    if hello.daemon == daemon.own.daemon:
        # A seed list may name every daemon, this one included.
        daemon.outbox.emit(CloseStream(event.stream))
        return
    path = daemon.paths.opened(event, now)
    daemon.incarnations[event.stream] = hello.incarnation
    if not event.outbound:
        daemon.inbound.add(event.stream)
        daemon.egress.epochs.opened(
            event.stream, hello.daemon, hello.incarnation, hello.number
        )
    if path is not None:
        daemon.ingress.path_opened(path, now)
    daemon.allotments.path_opened(hello.daemon, now)
    daemon.send_all(daemon.members.connected(hello.daemon, now), now)
    daemon.distribution.connected(event.stream)
    daemon.crashes.connected(event.stream, now)
    daemon.keyed.connected(event.stream)


@handle.register
def _stream_closed(event: StreamClosed, daemon: Daemon, now: timedelta) -> None:
    daemon.incarnations.pop(event.stream, None)
    daemon.inbound.discard(event.stream)
    path = daemon.paths.closed(event.stream, now)
    if path is not None:
        daemon.ingress.path_lost(path, now)


@handle.register
def _peer_unreachable(
    event: PeerUnreachable, daemon: Daemon, now: timedelta
) -> None:
    path = daemon.paths.unreachable(event.daemon, now, refused=event.refused)
    if path is not None:
        daemon.ingress.path_lost(path, now)


@handle.register
def _peer_message(event: PeerMessage, daemon: Daemon, now: timedelta) -> None:
    peer = daemon.paths.peer(event.stream)
    if peer is None:
        return
    daemon.paths.received(event.stream, now)
    receive(event.message, daemon, Sender(peer, event.stream), now)


@handle.register
def _upstream_answered(
    event: UpstreamAnswered, daemon: Daemon, now: timedelta
) -> None:
    daemon.egress.answered(event, now)


@handle.register
def _upstream_failed(
    event: UpstreamFailed, daemon: Daemon, now: timedelta
) -> None:
    daemon.egress.failed(event, now)


@handle.register
def _upstream_stated(
    event: UpstreamStated, daemon: Daemon, now: timedelta
) -> None:
    daemon.egress.stated(event, now)


@handle.register
def _probed(event: Probed, daemon: Daemon, now: timedelta) -> None:
    daemon.egress.probed(event, now)


@handle.register
def _listening_checked(
    event: ListeningChecked, daemon: Daemon, now: timedelta
) -> None:
    daemon.egress.listening_checked(event, now)


@handle.register
def _announced(event: Announced, daemon: Daemon, now: timedelta) -> None:
    departures = daemon.departures
    boot = 0
    if event.departs:
        boot = daemon.egress.local_upstreams.departing_boot(event)
    if departures is None or departures.admits(event, now):
        daemon.egress.announce(event, now)
    if event.announcement is None:
        return
    if departures is None or not boot:
        daemon.outbox.emit(Acknowledge(event.announcement, accepted=True))
        return
    departure = Departure(event.upstream, boot)
    departures.departed(departure, event.announcement, now)


@handle.register(LogRead)
@handle.register(LogAppended)
@handle.register(LogFailed)
def _log_event(
    event: LogRead | LogAppended | LogFailed, daemon: Daemon, now: timedelta
) -> None:
    live = daemon.members.live()
    contain = daemon.outbox.contain
    with contain('distribution-log'):
        daemon.distribution.log_event(event, live, now)
    if daemon.discovery is not None:
        with contain('discovery-log'):
            daemon.discovery.log_event(event, live, now)
    with contain('keyed-log'):
        daemon.keyed.log_event(event, now)
    if daemon.departures is not None:
        with contain('departures-log'):
            daemon.departures.log_event(event, now)
            _recall_departures(daemon, daemon.departures, now)


def _recall_departures(
    daemon: Daemon, departures: DepartureRecorder, now: timedelta
) -> None:
    """Apply the departures of earlier processes, then what they held back."""
    for departure in departures.take_recalled():
        end_boot(daemon, departure.upstream, departure.boot, now)
    for event in departures.take_released():
        daemon.egress.announce(event, now)


@handle.register
def _advance(event: Advance, daemon: Daemon, now: timedelta) -> None:
    daemon.distribution.advance()


@handle.register
def _stop_requested(
    event: StopRequested, daemon: Daemon, now: timedelta
) -> None:
    if daemon.stopping:
        return
    daemon.stopping_since = now
    _leave_when_due(daemon, now, now)
    daemon.keyed.stop()
    if daemon.discovery is not None:
        daemon.discovery.leave()
    daemon.outbox.emit(ReleaseCallers(accept=True))
    daemon.outbox.emit(Record('stopping'))


def _build_health_tracker(options: DaemonOptions) -> HealthTracker:
    if options.episodes:
        return EpisodeHealthTracker(options.tick)
    return HealthTracker(options.tick)


def _open_seeds(daemon: Daemon) -> None:
    if daemon.paths.any_open():
        return
    for address in daemon.options.seeds:
        if address != daemon.own.peer_address:
            daemon.outbox.emit(OpenStream(_UNKNOWN_DAEMON, address))


def _leave_when_due(daemon: Daemon, since: timedelta, now: timedelta) -> None:
    if not daemon.leaving and now - since >= daemon.options.leave_after:
        daemon.leaving = True
        records = daemon.egress.local_upstreams.records()
        daemon.members.set_own(records, True, now)


def _check_stop(daemon: Daemon, since: timedelta, now: timedelta) -> None:
    _leave_when_due(daemon, since, now)
    waited = now - since
    if waited < STOP_NOTICE:
        return
    if not daemon.notice_over:
        daemon.notice_over = True
        # An ingress that hasn't learned of the stop would keep the egress busy
        # until the stop limit, which cuts off the requests that run then.
        daemon.egress.stop(now)
        # Requests that were received in part are still read to their end.
        daemon.ingress.stop_window = StopWindow(
            now, since + daemon.options.stop_limit
        )
        daemon.outbox.emit(ReleaseCallers(accept=False))
        return
    busy = {
        'entrance_busy': daemon.ingress.busy,
        'last_hop_busy': daemon.egress.busy,
        'keyed_busy': daemon.keyed.busy,
    }
    idle = not any(busy.values())
    if idle or waited >= daemon.options.stop_limit:
        daemon.ingress.stop(now)
        daemon.outbox.emit(Record('stopped', {'idle': idle, **busy}))
        left = daemon.options.stop_limit - waited
        daemon.outbox.emit(Exit(max(left, ZERO)))
