"""Upstreams that an entrance may choose from, by service."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from .admissions import RANK
from .selection import Candidate, Nearness, UsableView
from .clocks import ZERO
from .ids import DaemonId, ServiceName, UpstreamId
from .messages import (
    HealthUpdate,
    Load,
    MemberRecord,
    Priority,
    UpstreamHealth,
    UpstreamRecord,
    UpstreamState,
)
from .paths import Path, Paths, PathState

#: Before a bundle names the floor of a service, nothing is left out.
UNKNOWN_FLOOR_PCT = 100


#: A sick upstream of another data centre is tried again, and one on trial
#: trusted, this long after its state was told; a gray episode lasts seconds.
TRIAL_AFTER = timedelta(seconds=2)
TRUST_AFTER = timedelta(seconds=6)


class Candidates:
    """Candidates of all services, kept up with members and paths."""

    def __init__(self, own: MemberRecord, paths: Paths) -> None:
        """Start with no service known."""
        self.views: dict[ServiceName, UsableView] = {}
        self._own = own
        self._paths = paths
        #: Whether health is told apart from records.
        self.health_apart = False
        self._ahead: dict[UpstreamId, tuple[int, ...]] = {}
        self._shown: dict[ServiceName, Priority] = {}

    def view(self, service: ServiceName) -> UsableView:
        """Return the candidates of a service."""
        view = self.views.get(service)
        if view is None:
            view = UsableView(floor_pct=UNKNOWN_FLOOR_PCT)
            self.views[service] = view
        return view

    def view_of(self, service: ServiceName, priority: Priority) -> UsableView:
        """Return the candidates with the queues that a class would meet.

        A full queue of internal requests says nothing of how long a person
        would wait. The queues are rewritten only when the class changes.
        """
        view = self.view(service)
        if self._shown.get(service) is not priority:
            self._shown[service] = priority
            for candidate in view.candidates.values():
                self._show(candidate, priority)
        return view

    def receive_health(self, news: HealthUpdate, now: timedelta) -> None:
        """Take over the states that a last hop tells of its upstreams."""
        for told in news.entries:
            self._hear(told, now)

    def _hear(self, told: UpstreamHealth, now: timedelta) -> None:
        view = self.view(told.service)
        view.update(told.upstream, told.state, told.severity)
        known = view.candidates.get(told.upstream)
        if known is not None:
            known.told_at = now

    def age_health(self, now: timedelta) -> None:
        """Let a bad state be doubted that nobody has confirmed lately.

        Daemons in other data centres hear of a recovery only by trying, where
        records do not tell them.
        """
        if not self.health_apart:
            return
        for view in self.views.values():
            for candidate in view.candidates.values():
                self._doubt(view, candidate, now)

    def _doubt(
        self, view: UsableView, candidate: Candidate, now: timedelta
    ) -> None:
        told = candidate.told_at
        if candidate.nearness <= Nearness.same_data_centre:
            return
        if candidate.state is UpstreamState.sick and now - told >= TRIAL_AFTER:
            view.update(candidate.upstream, UpstreamState.probation, 0)
        elif (
            candidate.state is UpstreamState.probation
            and now - told >= TRUST_AFTER
        ):
            view.update(candidate.upstream, UpstreamState.serving, 0)

    def report(
        self, candidate: Candidate, load: Load, now: timedelta = ZERO
    ) -> None:
        """Take over the load that came with an answer or a refusal."""
        candidate.report(load)
        if self.health_apart and load.state is not candidate.state:
            self.view(candidate.service).update(
                candidate.upstream, load.state, candidate.severity
            )
        candidate.told_at = now
        self._ahead[candidate.upstream] = load.ahead
        shown = self._shown.get(candidate.service)
        if shown is not None:
            self._show(candidate, shown)

    def members_changed(
        self,
        members: Mapping[DaemonId, MemberRecord],
        changed: Iterable[DaemonId],
        now: timedelta,
    ) -> set[UpstreamId]:
        """Update the candidates of daemons whose records changed.

        Returns the upstreams that are no longer listed.
        """
        dropped: set[UpstreamId] = set()
        for daemon in changed:
            record = members.get(daemon)
            listed: set[UpstreamId] = set()
            if record is not None:
                self._list_upstreams(record, listed, now)
            dropped |= self._drop_others(daemon, listed)
        return dropped

    def path_changed(self, path: Path) -> None:
        """Take over the path evidence of one peer."""
        for view in self.views.values():
            affected = any(
                candidate.daemon == path.daemon
                and candidate.reachable != path.reachable
                for candidate in view.candidates.values()
            )
            if affected:
                view.reach(path.daemon, reachable=path.reachable)

    def opening(self, service: ServiceName) -> bool:
        """Return whether a path to an upstream of the service is opening."""
        for candidate in self.view(service).candidates.values():
            path = self._paths.by_daemon.get(candidate.daemon)
            if path is not None and path.state is PathState.opening:
                return True
        return False

    def _show(self, candidate: Candidate, priority: Priority) -> None:
        ahead = self._ahead.get(candidate.upstream)
        if ahead:
            candidate.queued = ahead[RANK[priority]]

    def _list_upstreams(
        self, record: MemberRecord, listed: set[UpstreamId], now: timedelta
    ) -> None:
        reachable = True
        if record.daemon != self._own.daemon and record.upstreams:
            reachable = self._reach(record, now)
        for each in record.upstreams:
            listed.add(each.upstream)
            self._put(record, each, reachable=reachable)
            self.view(each.service).candidates[each.upstream].told_at = now

    def _reach(self, record: MemberRecord, now: timedelta) -> bool:
        """Return whether a daemon may be reached, and open paths nearby.

        Streams to other regions are paid by the byte and rarely used, so they
        are opened when a request needs one.
        """
        if self._nearness(record) is Nearness.other_region:
            path = self._paths.by_daemon.get(record.daemon)
            return path is None or path.reachable
        path = self._paths.want(record.daemon, record.peer_address, now)
        return path.reachable

    def _put(
        self, record: MemberRecord, each: UpstreamRecord, *, reachable: bool
    ) -> None:
        # Work for a daemon that is leaving would be cut off, so its
        # upstreams count as draining.
        state = UpstreamState.draining if record.leaving else each.state
        view = self.view(each.service)
        known = view.candidates.get(each.upstream)
        if known is not None and known.daemon == record.daemon:
            if self.health_apart and known.announced is state:
                # The record says nothing of health.
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
                address=record.peer_address,
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
                view.drop(upstream)
                self._ahead.pop(upstream, None)
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
