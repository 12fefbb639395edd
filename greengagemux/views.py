"""Builds the administration views of a daemon's state and bundle."""

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

#: Outcomes of records that are not listed as rejected.
_NOT_REJECTED = frozenset(
    (RecordOutcome.accepted, RecordOutcome.repeated, RecordOutcome.held)
)


def rollout_of(daemon: Daemon) -> Rollout:
    """Return the roll-out of a daemon that uses signed bundles.

    Raises ``TypeError`` if its bundles have another source.
    """
    distribution = daemon.distribution
    if isinstance(distribution, Distribution):
        return distribution.rollout
    raise TypeError(f'{type(distribution).__name__} has no roll-out')


def state_of(daemon: Daemon, now: timedelta) -> dict[str, Any]:
    """Return a daemon's state as a JSON object.

    It holds readiness, the bundle, the local upstreams with the reasons of
    their states, the candidates of each service, members and paths.
    """
    ready, reason = daemon.ready()
    rollout = rollout_of(daemon).status()
    return {
        'daemon': daemon.own.daemon,
        'incarnation': daemon.own.incarnation,
        'ready': ready,
        'why': reason,
        'bundle': {
            'in_force': rollout.in_force,
            'accepted': rollout.accepted,
            'offset': rollout.offset,
            'from_log': rollout.from_log,
            'reasons': rollout.reasons,
        },
        'upstreams': [
            _local_upstream(daemon, upstream)
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
        if decision.outcome not in _NOT_REJECTED
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


def _local_upstream(daemon: Daemon, upstream: Upstream) -> dict[str, Any]:
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
    services: dict[str, Any] = {}
    for service, view in daemon.ingress.candidates.views.items():
        usable = view.current()
        allowed = {candidate.upstream for candidate in usable.allowed}
        services[service] = [
            {
                'upstream': candidate.upstream,
                'daemon': candidate.daemon,
                'state': candidate.state.value,
                'reachable': candidate.reachable,
                'nearness': candidate.nearness.name,
                'usable': candidate.upstream in allowed,
                'forced': candidate.upstream in usable.forced,
                'outstanding': candidate.outstanding,
                'service_ms': round(candidate.service_ms, 3),
            }
            for candidate in view.candidates.values()
        ]
    return services


def _path(path: Path, now: timedelta) -> dict[str, Any]:
    return {
        'daemon': path.daemon,
        'address': path.address,
        'state': path.state.value,
        'waiting': path.waiting,
        'silent_ms': round(in_ms(now - path.received_at)),
    }
