"""Views of a daemon's state for its administrators."""

from datetime import timedelta
from typing import Any

from .administration import BundleView, RejectedRecord
from .chains import RecordOutcome
from .clocks import in_ms
from .distribution import Distribution
from .jobs import Upstream
from .paths import Path
from .reducers import Daemon
from .rollouts import Rollout

_HARMLESS = frozenset(
    (RecordOutcome.accepted, RecordOutcome.repeated, RecordOutcome.held)
)


def rollout_of(daemon: Daemon) -> Rollout:
    """Return the roll-out of a daemon that has signed bundles.

    Raises ``TypeError`` for a daemon with another source of bundles.
    """
    feed = daemon.distribution
    if isinstance(feed, Distribution):
        return feed.rollout
    raise TypeError(f'no roll-out in {type(feed).__name__}')


def state_of(daemon: Daemon, now: timedelta) -> dict[str, Any]:
    """Return upstreams with reasons, bundle, members and paths as JSON."""
    ready, why = daemon.ready()
    rollout = rollout_of(daemon).status()
    return {
        'daemon': daemon.own.daemon,
        'incarnation': daemon.own.incarnation,
        'ready': ready,
        'why': why,
        'bundle': {
            'in_force': rollout.in_force,
            'accepted': rollout.accepted,
            'offset': rollout.offset,
            'from_log': rollout.from_log,
            'reasons': rollout.reasons,
        },
        'upstreams': [
            _local(daemon, upstream)
            for upstream in daemon.egress.upstreams.values()
        ],
        'services': _services(daemon),
        'members': [
            {
                'daemon': record.daemon,
                'incarnation': record.incarnation,
                'data_centre': record.data_centre,
                'region': record.region,
                'leaving': record.leaving,
                'upstreams': len(record.upstreams),
            }
            for record in daemon.members.live().values()
        ],
        'paths': [_path(path, now) for path in daemon.paths.by_daemon.values()],
    }


def bundle_of(daemon: Daemon) -> BundleView:
    """Return the bundle in force and the newest rejected records."""
    rollout = rollout_of(daemon)
    status = rollout.status()
    accepted = rollout.accepted
    rejected = tuple(
        RejectedRecord(decision.offset, decision.outcome.value)
        for decision in status.decisions
        if decision.outcome not in _HARMLESS
    )
    newest = max(
        (decision.offset for decision in status.decisions), default=None
    )
    return BundleView(
        version=status.in_force,
        offset=status.offset,
        newest_offset=newest,
        operator=accepted.signed.operator if accepted else '',
        text=accepted.signed.text if accepted else '',
        rejected=rejected,
    )


def _local(daemon: Daemon, upstream: Upstream) -> dict[str, Any]:
    return {
        'upstream': upstream.upstream,
        'service': upstream.service,
        'address': upstream.address,
        'announced': upstream.announced.value,
        'state': upstream.state.value,
        'why': daemon.egress.health_tracker.why(upstream.upstream),
        'slots': upstream.slots,
        'running': len(upstream.running),
        'queued': len(upstream.queue),
        'service_ms': round(upstream.service_ms, 3),
    }


def _services(daemon: Daemon) -> dict[str, Any]:
    views: dict[str, Any] = {}
    for service, view in daemon.ingress.views.items():
        usable = view.current()
        allowed = {each.upstream for each in usable.allowed}
        views[service] = [
            {
                'upstream': each.upstream,
                'daemon': each.daemon,
                'state': each.state.value,
                'reachable': each.reachable,
                'nearness': each.nearness.name,
                'usable': each.upstream in allowed,
                'forced': each.upstream in usable.forced,
                'outstanding': each.outstanding,
                'service_ms': round(each.service_ms, 3),
            }
            for each in view.candidates.values()
        ]
    return views


def _path(path: Path, now: timedelta) -> dict[str, Any]:
    return {
        'daemon': path.daemon,
        'address': path.address,
        'state': path.state.value,
        'waiting': path.waiting,
        'silent_ms': round(in_ms(now - path.received_at)),
    }
