"""Upstreams beside this daemon: announcements, leases and states."""

from collections.abc import Mapping
from datetime import timedelta

from .admissions import Queue
from .bundles import RETRIES_PCT, Service
from .clocks import ZERO
from .detectors import ErrorRates
from .effects import (
    HEALTH_PATH,
    DropConnections,
    Outbox,
    ProbeUpstream,
    Record,
)
from .events import Announced, UpstreamStated
from .ids import ServiceName, UpstreamId
from .jobs import Upstream
from .messages import UpstreamHealth, UpstreamRecord, UpstreamState
from .retries import RetryBudget, SteadyRetries
from .healthstates import StateChange, HealthTracker

#: An upstream whose newest announcement is older than this counts as gone.
ANNOUNCE_LEASE = timedelta(seconds=3)
#: A process that handled no event for this long was paused or starved.
STALL_THRESHOLD = timedelta(seconds=1)
#: Messages that arrive this soon after a stall may be from before it. Such an
#: announcement may be older than a drain that has not arrived yet.
STALL_BACKLOG = timedelta(milliseconds=250)
#: Part of the permitted retries that an upstream earns per call; the rest
#: covers retries saved up before an outage.
STEADY_RETRY_SHARE = 0.85
#: Most retries saved up for one upstream; its detector needs three calls on
#: new connections to detect that the upstream hangs.
SAVED_RETRIES_LIMIT = 4
#: Ended boots that are remembered; the oldest are forgotten first.
ENDED_LIMIT = 1000
#: Time whose steady retries a service may save up.
SAVED_RETRIES_WINDOW_S = 10


def saved_retries_limit(per_s: float, size: int) -> float:
    """Return how many retries one of ``size`` upstreams may save up.

    The sum over a large service would otherwise exceed what its steady rate
    ``per_s`` allows in one burst. Without such a rate only the share counts.
    """
    if not per_s:
        return SAVED_RETRIES_LIMIT
    saved = per_s * SAVED_RETRIES_WINDOW_S / size
    return min(max(saved, 1), SAVED_RETRIES_LIMIT)


class Upstreams:
    """The upstreams that announce themselves to this daemon."""

    def __init__(
        self,
        outbox: Outbox,
        health_tracker: HealthTracker,
        lease: timedelta = ANNOUNCE_LEASE,
    ) -> None:
        """Start with no upstream announced."""
        self._lease = lease
        #: Whether records hold only what upstreams announce, and health
        #: updates go to ``health_updates`` instead.
        self.separate_health = False
        self.health_updates: list[UpstreamHealth] = []
        #: Newest boot that was announced at each address.
        self._boots: dict[str, int] = {}
        #: Newest boot of each upstream that sent its last announcement.
        self._ended_boots: dict[UpstreamId, int] = {}
        self._outbox = outbox
        self._health_tracker = health_tracker
        self._services: Mapping[ServiceName, Service] = {}
        self._retry_share = STEADY_RETRY_SHARE * RETRIES_PCT / 100
        self._steady_retries = SteadyRetries()
        #: Known upstreams of each service in the fleet, those here included.
        self.service_sizes: dict[ServiceName, int] = {}
        self._last_active_at: timedelta | None = None
        self._backlog_until = ZERO
        self.by_id: dict[UpstreamId, Upstream] = {}
        #: Whether the records changed since they were last announced.
        self.changed = False
        #: Whether an upstream has announced since then that it departs.
        self.departed = False

    def configure(
        self,
        services: Mapping[ServiceName, Service],
        retries_pct: float = RETRIES_PCT,
        retries_per_s: float = 0,
    ) -> None:
        """Apply the services of a new bundle."""
        self._services = services
        self._steady_retries.per_s = retries_per_s
        self._retry_share = STEADY_RETRY_SHARE * retries_pct / 100
        for name, service in services.items():
            rates = ErrorRates(service.false_alarm, service.miss)
            self._health_tracker.configure(name, rates)
        for upstream in self.by_id.values():
            self._set_queue_limits(upstream)
            upstream.retries.share = self._retry_share

    def records(self) -> tuple[UpstreamRecord, ...]:
        """Return the records of these upstreams for the member table."""
        return tuple(
            UpstreamRecord(
                upstream=each.upstream,
                service=each.service,
                slots=each.slots,
                state=each.announced if self.separate_health else each.state,
                severity=0
                if self.separate_health
                else self._health_tracker.severity(each.upstream),
                boot=each.boot,
                leaving=each.leaving,
            )
            for each in self.by_id.values()
        )

    @property
    def running_count(self) -> int:
        """Number of requests that run on these upstreams."""
        return sum(len(each.running) for each in self.by_id.values())

    def add_retries(self, now: timedelta) -> None:
        """Give each upstream its part of the steady retries of its service."""
        amount = self._steady_retries.take(now)
        for upstream in self.by_id.values():
            size = max(1, self.service_sizes.get(upstream.service, 1))
            upstream.retries.saved_limit = saved_retries_limit(
                self._steady_retries.per_s, size
            )
            upstream.retries.add(amount / size)

    def notice(self, now: timedelta) -> None:
        """Note activity; after a stall, suspend leases until their renewal."""
        stalled = (
            self._last_active_at is not None
            and now - self._last_active_at >= STALL_THRESHOLD
        )
        self._last_active_at = now
        if not stalled:
            return
        self._outbox.emit(Record('stalled'))
        self._backlog_until = now + STALL_BACKLOG
        for upstream in self.by_id.values():
            upstream.confirmed = False

    def in_stall_backlog(self, now: timedelta) -> bool:
        """Return whether messages arriving now may be from before a stall."""
        return now < self._backlog_until

    def is_late(self, event: Announced) -> bool:
        """Return whether a newer announcement has come before this one."""
        known = self.by_id.get(event.upstream)
        if event.last:
            # Also the end of an unknown upstream counts: its announcements may
            # be late, or those to an earlier process of this daemon.
            return known is not None and 0 < event.boot < known.boot
        if event.boot < self._boots.get(event.address, 0):
            return True
        ended = self._ended_boots.get(event.upstream, 0)
        if event.boot and event.boot <= ended:
            return True
        if known is None or known.boot != event.boot:
            return False
        return bool(event.sequence) and event.sequence <= known.sequence

    def supersedes(self, event: Announced, old: Upstream) -> bool:
        """Return whether an announcement shows that an upstream has ended."""
        if event.last:
            return False
        if old.upstream == event.upstream:
            return old.address != event.address or old.boot != event.boot
        return bool(event.boot) and old.address == event.address

    def is_current(self, upstream: Upstream) -> bool:
        """Return whether an upstream is known and was not replaced."""
        return self.by_id.get(upstream.upstream) is upstream

    def current(self, upstream: Upstream) -> Upstream:
        """Return the upstream that has replaced one, or else this one."""
        return self.by_id.get(upstream.upstream, upstream)

    def preempts(self, service: ServiceName) -> bool:
        """Return whether interactive requests may preempt internal reads."""
        known = self._services.get(service)
        return known is None or known.preempts

    def is_fair(self, service: ServiceName) -> bool:
        """Return whether accounts get equal shares of its slots."""
        known = self._services.get(service)
        return known is None or known.fair

    def health_path(self, service: ServiceName) -> str:
        """Return the path of the health check of a service."""
        known = self._services.get(service)
        return known.health_path if known else HEALTH_PATH

    def probe(self, upstream: Upstream) -> None:
        """Ask an upstream whether its process is alive."""
        upstream.count_request(self._outbox.now)
        path = self.health_path(upstream.service)
        self._outbox.emit(
            ProbeUpstream(upstream.upstream, upstream.address, path)
        )

    def stated(self, event: UpstreamStated, now: timedelta) -> Upstream | None:
        """Apply what an upstream states about itself in a response.

        Returns the upstream, None for an unknown one.
        """
        upstream = self.by_id.get(event.upstream)
        if upstream is None:
            return None
        upstream.heard = True
        if event.rate_limit_per_s != upstream.rate_limit_per_s:
            limits = {
                'limit_per_s': event.rate_limit_per_s,
                'previous_per_s': upstream.rate_limit_per_s,
            }
            self._record('upstream-limit', upstream, limits)
            upstream.limit_rate(event.rate_limit_per_s, now)
        if event.leaving and not upstream.leaving:
            upstream.leaving = True
            self._record('upstream-leaving', upstream, {})
            self.drain(upstream, now)
            self.changed = True
        return upstream

    def announce(
        self, event: Announced, now: timedelta, *, departs: bool = False
    ) -> Upstream | None:
        """Renew a lease; return the upstream if it may take work now.

        One that ``departs`` does so for good, if it names its boot.
        """
        draining = event.state is UpstreamState.draining
        if self.in_stall_backlog(now) and not draining:
            return None
        if event.last and not self._end_boot(event):
            return None
        known = self.by_id.get(event.upstream)
        if known is None or self.supersedes(event, known):
            known = self._add(event, now)
        if not event.last:
            known.sequence = event.sequence
        if event.boot and not event.boot_limit:
            self._boots[event.address] = event.boot
        if departs and known.boot and not known.leaving:
            known.leaving = True
            self.departed = True
            self.changed = True
        known.expires = now + self._lease
        known.confirmed = True
        slots = known.slots if event.last else event.slots
        # Announcements may be late; responses are not.
        state = UpstreamState.draining if known.leaving else event.state
        if known.announced is not state or known.slots != slots:
            known.announced = state
            known.slots = slots
            self.announce_state(known, now)
        return known

    def remember_ended(self, upstream: UpstreamId, boot: int) -> None:
        """Ignore announcements of a boot and of earlier ones from now on."""
        newest = max(boot, self._ended_boots.pop(upstream, boot))
        self._ended_boots[upstream] = newest
        if len(self._ended_boots) > ENDED_LIMIT:
            self._ended_boots.pop(next(iter(self._ended_boots)))

    def departing_boot(self, event: Announced) -> int:
        """Return the newest boot that a departure ends; 0 if unknown."""
        known = self.by_id.get(event.upstream)
        if known is None:
            return event.boot
        return known.boot if event.boot_limit else event.boot or known.boot

    def _end_boot(self, event: Announced) -> bool:
        """Apply a last announcement; return whether its upstream is listed.

        It is listed as draining, so that peers know of it, unless a later
        process has its address.
        """
        self.remember_ended(event.upstream, self.departing_boot(event))
        if event.upstream in self.by_id:
            return True
        if not event.address or event.boot < self._boots.get(event.address, 0):
            return False
        return not any(
            each.address == event.address for each in self.by_id.values()
        )

    def drain(self, upstream: Upstream, now: timedelta) -> None:
        """Report an upstream as draining, as if it had announced that."""
        if upstream.announced is not UpstreamState.draining:
            upstream.announced = UpstreamState.draining
            self.announce_state(upstream, now)

    def announce_state(self, upstream: Upstream, now: timedelta) -> None:
        """Combine the announced state of an upstream with its health."""
        changes = self._health_tracker.announced(
            upstream.upstream,
            upstream.service,
            upstream.slots,
            upstream.announced,
            now,
        )
        self.apply(changes)
        self.changed = True

    def apply(self, changes: list[StateChange]) -> None:
        """Apply and report changes of health states."""
        for change in changes:
            upstream = self.by_id.get(change.upstream)
            if upstream is None:
                continue
            self._report_health(change)
            if upstream.state is not change.state:
                upstream.state = change.state
                reason = {'reason': change.reason}
                self._record('upstream-state', upstream, reason)

    def _report_health(self, change: StateChange) -> None:
        if not self.separate_health:
            self.changed = True
            return
        self.health_updates.append(
            UpstreamHealth(
                change.upstream, change.service, change.state, change.severity
            )
        )

    def remove(self, upstream: Upstream) -> None:
        """Remove an upstream that has ended and close its idle connections.

        One that was removed before is ignored.
        """
        if not self.is_current(upstream):
            return
        self.by_id.pop(upstream.upstream)
        if upstream.leaving and upstream.boot:
            self.remember_ended(upstream.upstream, upstream.boot)
        self._health_tracker.remove(upstream.upstream)
        self._outbox.emit(DropConnections(upstream.address))
        self.changed = True

    def _add(self, event: Announced, now: timedelta) -> Upstream:
        upstream = Upstream(
            upstream=event.upstream,
            service=event.service,
            address=event.address,
            slots=event.slots,
            announced=event.state,
            expires=now + self._lease,
            boot=event.boot,
            queue=Queue(0, 0),
            state=event.state,
            retries=RetryBudget(
                self._retry_share, saved_limit=SAVED_RETRIES_LIMIT
            ),
        )
        self._set_queue_limits(upstream)
        self.by_id[event.upstream] = upstream
        self._outbox.emit(
            Record(
                'upstream-added',
                {
                    'upstream': upstream.upstream,
                    'service': upstream.service,
                    'state': upstream.announced.value,
                },
            )
        )
        self.announce_state(upstream, now)
        return upstream

    def _set_queue_limits(self, upstream: Upstream) -> None:
        service = self._services.get(upstream.service)
        if service is not None:
            upstream.queue.limit = service.queue_limit
            upstream.queue.limit_bytes = service.queue_limit_bytes
            upstream.queue.time_shares = service.time_shares

    def _record(
        self, name: str, upstream: Upstream, fields: Mapping[str, object]
    ) -> None:
        known = {
            'upstream': upstream.upstream,
            'service': upstream.service,
            'state': upstream.state.value,
        }
        self._outbox.emit(Record(name, {**known, **fields}))
