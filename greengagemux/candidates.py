"""Candidates of one ingress: the upstreams of each service that it knows.

They follow the member records, the paths to other daemons, health updates
and the loads that come with answers.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from datetime import timedelta
from random import Random

import msgspec

from .admissions import RANK
from .selection import Candidate, Nearness, UsableView, age_loads
from .clocks import ZERO
from .gossip import Directed
from .ids import DaemonId, ServiceName, UpstreamId
from .limitedupstreams import LimitedUpstreams
from .messages import (
    HealthUpdate,
    Load,
    MemberDeltas,
    MemberRecord,
    Priority,
    UpstreamHealth,
    UpstreamRecord,
    UpstreamState,
)
from .paths import Path, Paths, PathState

#: Capacity floor of a service that no bundle has configured yet: no upstream
#: is ejected.
UNKNOWN_FLOOR_PCT = 100

#: Leaving upstreams that are remembered; the oldest are forgotten first.
LEAVING_LIMIT = 10_000
#: Loads that were not reported again within this interval are halved.
AGE_INTERVAL = timedelta(seconds=1)
#: Time since the last report of its state after which a sick upstream in
#: another data centre is put on probation. A gray episode lasts seconds.
PROBATION_AFTER = timedelta(seconds=2)
#: The same for one on probation, which is then taken as serving.
SERVING_AFTER = timedelta(seconds=6)


class Candidates:
    """Candidates of all services, updated from members, paths and loads."""

    def __init__(self, own: MemberRecord, paths: Paths, rng: Random) -> None:
        """Start with no service known."""
        #: Upstreams with a rate limit.
        self.limited = LimitedUpstreams(rng)
        self.views: dict[ServiceName, UsableView] = {}
        self._own = own
        self._paths = paths
        #: Whether health travels in health updates instead of member records.
        self.separate_health = False
        self._aged_at = ZERO
        #: Newest boot of each upstream that stated that it is leaving.
        self._leaving_boots: dict[UpstreamId, int] = {}
        #: Peers that list a leaving upstream as usable, with what they list.
        self._reminders: dict[DaemonId, MemberRecord] = {}
        self._queued_ahead: dict[UpstreamId, tuple[int, ...]] = {}
        self._queue_priority: dict[ServiceName, Priority] = {}

    def view(self, service: ServiceName) -> UsableView:
        """Return the candidates of a service; an unknown one gets none."""
        view = self.views.get(service)
        if view is None:
            view = UsableView(floor_pct=UNKNOWN_FLOOR_PCT)
            self.views[service] = view
        return view

    def view_of(self, service: ServiceName, priority: Priority) -> UsableView:
        """Return the candidates with the queue ahead of a priority class.

        A full queue of internal queries says nothing about the wait of an
        interactive request. The queue lengths of the candidates are rewritten
        only when the class changes.
        """
        view = self.view(service)
        if self._queue_priority.get(service) is not priority:
            self._queue_priority[service] = priority
            for candidate in view.candidates.values():
                self._set_queued(candidate, priority)
        return view

    def copies(
        self, service: ServiceName, priority: Priority
    ) -> tuple[Candidate, ...]:
        """Return copies of the candidates as ``view_of`` would show them.

        The candidates keep their queue lengths, and an unknown service is not
        added.
        """
        view = self.views.get(service)
        copied = (
            [replace(each) for each in view.candidates.values()] if view else []
        )
        for candidate in copied:
            self._set_queued(candidate, priority)
        return tuple(copied)

    def receive_health(self, update: HealthUpdate, now: timedelta) -> None:
        """Apply the health states that an egress reports."""
        for entry in update.entries:
            self._apply_health(entry, now)

    def _apply_health(self, entry: UpstreamHealth, now: timedelta) -> None:
        known = self.view(entry.service).candidates.get(entry.upstream)
        if known is not None:
            self._set_health(known, entry.state, entry.severity)
            known.state_updated_at = now

    def _set_health(
        self, candidate: Candidate, state: UpstreamState, severity: int
    ) -> None:
        """Set a reported health state, unless the record says draining.

        An egress that is stopping still reports the health of its upstream.
        """
        if candidate.announced is UpstreamState.draining:
            return
        view = self.view(candidate.service)
        view.update(candidate.upstream, state, severity)

    def age(self, now: timedelta) -> None:
        """Forget old loads and health states; call it at each tick."""
        if now - self._aged_at < AGE_INTERVAL:
            return
        self._aged_at = now
        for view in self.views.values():
            age_loads(view.candidates.values())
        self.age_health(now)

    def age_health(self, now: timedelta) -> None:
        """Move upstreams with an old bad state towards ``serving``.

        This applies to other data centres where health is not in the member
        records: there a recovery is learned only from the load that comes
        with an answer, so a request must be sent.
        """
        if not self.separate_health:
            return
        for view in self.views.values():
            for candidate in view.candidates.values():
                self._age_state(view, candidate, now)

    def _age_state(
        self, view: UsableView, candidate: Candidate, now: timedelta
    ) -> None:
        updated_at = candidate.state_updated_at
        if candidate.nearness <= Nearness.same_data_centre:
            return
        if (
            candidate.state is UpstreamState.sick
            and now - updated_at >= PROBATION_AFTER
        ):
            view.update(candidate.upstream, UpstreamState.probation, 0)
        elif (
            candidate.state is UpstreamState.probation
            and now - updated_at >= SERVING_AFTER
        ):
            view.update(candidate.upstream, UpstreamState.serving, 0)

    def report(
        self,
        candidate: Candidate,
        load: Load,
        now: timedelta = ZERO,
        *,
        limit_refused: bool = False,
    ) -> None:
        """Apply the load that came with an answer or a refusal.

        ``limit_refused`` marks a refusal because of the rate limit.
        """
        candidate.report(load)
        if load.leaving_boot is not None:
            self._remember_leaving(candidate.upstream, load.leaving_boot)
            self._drain_if_leaving(candidate)
        view = self.view(candidate.service)
        if candidate.upstream in view.candidates:
            self.limited.report(candidate, load, now, refused=limit_refused)
        if self.separate_health and load.state is not candidate.state:
            self._set_health(candidate, load.state, candidate.severity)
        candidate.state_updated_at = now
        self._queued_ahead[candidate.upstream] = load.ahead
        priority = self._queue_priority.get(candidate.service)
        if priority is not None:
            self._set_queued(candidate, priority)

    def _remember_leaving(self, upstream: UpstreamId, boot: int) -> None:
        newest = max(boot, self._leaving_boots.pop(upstream, boot))
        self._leaving_boots[upstream] = newest
        if len(self._leaving_boots) > LEAVING_LIMIT:
            self._leaving_boots.pop(next(iter(self._leaving_boots)))

    def _drain_if_leaving(self, candidate: Candidate) -> None:
        if candidate.boot <= self._leaving_boots[candidate.upstream]:
            candidate.announced = UpstreamState.draining
            view = self.view(candidate.service)
            view.update(candidate.upstream, UpstreamState.draining, 0)

    def _is_leaving(self, record: UpstreamRecord) -> bool:
        """Return whether this boot has stated that it is leaving.

        A new process of its egress may not know that.
        """
        if record.leaving:
            self._remember_leaving(record.upstream, record.boot)
        return record.boot <= self._leaving_boots.get(record.upstream, -1)

    def members_changed(
        self,
        members: Mapping[DaemonId, MemberRecord],
        changed: Iterable[DaemonId],
        now: timedelta,
    ) -> set[UpstreamId]:
        """Update the candidates of daemons whose records changed.

        Returns the upstreams that these daemons no longer list.
        """
        dropped: set[UpstreamId] = set()
        for daemon in changed:
            record = members.get(daemon)
            listed: set[UpstreamId] = set()
            if record is not None:
                self._list_upstreams(record, listed, now)
            dropped |= self._drop_others(daemon, listed)
        return dropped

    def take_reminders(self) -> list[Directed]:
        """Return messages that tell peers which upstreams are leaving.

        A peer that has started again does not know what its earlier process
        has acknowledged.
        """
        reminders = [
            Directed(daemon, MemberDeltas((record,)))
            for daemon, record in self._reminders.items()
        ]
        self._reminders.clear()
        return reminders

    def path_changed(self, path: Path) -> None:
        """Apply the reachability of one peer to its upstreams."""
        for view in self.views.values():
            affected = any(
                candidate.daemon == path.daemon
                and candidate.reachable != path.reachable
                for candidate in view.candidates.values()
            )
            if affected:
                view.set_reachable(path.daemon, reachable=path.reachable)

    def opening(self, service: ServiceName) -> bool:
        """Return whether a path to an upstream of the service is opening."""
        for candidate in self.view(service).candidates.values():
            path = self._paths.by_daemon.get(candidate.daemon)
            if path is not None and path.state is PathState.opening:
                return True
        return False

    def _set_queued(self, candidate: Candidate, priority: Priority) -> None:
        ahead = self._queued_ahead.get(candidate.upstream)
        if ahead:
            candidate.queued = ahead[RANK[priority]]

    def _remind(self, record: MemberRecord) -> None:
        """Note which upstreams of a peer are leaving without its knowledge."""
        if record.daemon == self._own.daemon or record.leaving:
            return
        forgotten = tuple(
            msgspec.structs.replace(each, leaving=True)
            for each in record.upstreams
            if not each.leaving
            and each.boot <= self._leaving_boots.get(each.upstream, -1)
        )
        if forgotten:
            self._reminders[record.daemon] = msgspec.structs.replace(
                record, upstreams=forgotten
            )

    def _list_upstreams(
        self, record: MemberRecord, listed: set[UpstreamId], now: timedelta
    ) -> None:
        self._remind(record)
        reachable = True
        if record.daemon != self._own.daemon and record.upstreams:
            reachable = self._want_path(record, now)
        for each in record.upstreams:
            listed.add(each.upstream)
            self._put(record, each, reachable=reachable)
            self.view(each.service).candidates[
                each.upstream
            ].state_updated_at = now

    def _want_path(self, record: MemberRecord, now: timedelta) -> bool:
        """Return whether a daemon is reachable; open a path in the region.

        Streams to other regions are charged by the byte and rarely used, so
        they are opened only when a request needs one.
        """
        if self._nearness(record) is Nearness.other_region:
            path = self._paths.by_daemon.get(record.daemon)
            return path is None or path.reachable
        path = self._paths.want(record.daemon, record.peer_address, now)
        return path.reachable

    def _put(
        self, record: MemberRecord, each: UpstreamRecord, *, reachable: bool
    ) -> None:
        # Requests to a daemon that is leaving would be interrupted, so its
        # upstreams count as draining.
        state = each.state
        if record.leaving or self._is_leaving(each):
            state = UpstreamState.draining
        view = self.view(each.service)
        known = view.candidates.get(each.upstream)
        if known is not None and known.daemon == record.daemon:
            known.boot = each.boot
            if self.separate_health and known.announced is state:
                # Health does not travel in the record.
                return
            known.announced = state
            view.update(each.upstream, state, each.severity)
            return
        view.put(
            Candidate(
                upstream=each.upstream,
                daemon=record.daemon,
                service=each.service,
                slots=each.slots,
                state=state,
                severity=each.severity,
                announced=state,
                nearness=self._nearness(record),
                boot=each.boot,
                address=record.peer_address,
                region=record.region,
                reachable=reachable,
            )
        )

    def _drop_others(
        self, daemon: DaemonId, listed: set[UpstreamId]
    ) -> set[UpstreamId]:
        dropped: set[UpstreamId] = set()
        for view in self.views.values():
            stale = [
                candidate.upstream
                for candidate in view.candidates.values()
                if candidate.daemon == daemon
                and candidate.upstream not in listed
            ]
            for upstream in stale:
                self.limited.drop(view.candidates[upstream])
                view.drop(upstream)
                self._queued_ahead.pop(upstream, None)
            dropped.update(stale)
        return dropped

    def _nearness(self, record: MemberRecord) -> Nearness:
        if record.daemon == self._own.daemon:
            return Nearness.same_host
        if record.data_centre == self._own.data_centre:
            return Nearness.same_data_centre
        if record.region == self._own.region:
            return Nearness.same_region
        return Nearness.other_region
