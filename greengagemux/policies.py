"""Interface of a health policy, and a naive policy for comparison.

Experiments run the health tracker and the naive policy on the same faults.
"""

from datetime import timedelta
from typing import Protocol

from .detectors import Sample, SampleKind
from .ids import RouteName, ServiceName, UpstreamId
from .messages import UpstreamState
from .healthstates import StateChange

#: Consecutive errors after which the naive policy ejects an upstream.
NAIVE_ERRORS = 5
NAIVE_EJECTION = timedelta(seconds=30)
NAIVE_PROBE_INTERVAL = timedelta(seconds=10)
NAIVE_SILENCE_MS = 2000


class HealthPolicy(Protocol):
    """Health policy as the egress uses it."""

    def observe(
        self, upstream: UpstreamId, sample: Sample, now: timedelta
    ) -> list[StateChange]:
        """Evaluate a sample and return the state changes."""

    def tick(self, now: timedelta) -> list[StateChange]:
        """Return the state changes that are due at this time."""

    def admits(
        self,
        upstream: UpstreamId,
        running: int,
        *,
        idempotent: bool,
        forced: bool,
    ) -> bool:
        """Return whether the upstream may be given a request."""

    def silence_limit_ms(
        self,
        upstream: UpstreamId,
        route: RouteName,
        expected_ms: float,
        started: timedelta,
        now: timedelta,
    ) -> float:
        """Return the age in ms at which a request counts as silent."""

    def may_probe(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Return whether a probe may be sent now."""

    def probed(
        self, upstream: UpstreamId, *, alive: bool, now: timedelta
    ) -> list[StateChange]:
        """Evaluate the result of a probe and return the state changes."""


class NaivePolicy:
    """Ejects after consecutive errors, for a fixed time; probes regularly."""

    def __init__(
        self, upstream: UpstreamId, service: ServiceName, last_probe: timedelta
    ) -> None:
        """Start in service; the last probe was sent at ``last_probe``."""
        self._upstream = upstream
        self._service = service
        self.errors = 0
        self.ejected_until: timedelta | None = None
        self.last_probe = last_probe

    def observe(
        self, upstream: UpstreamId, sample: Sample, now: timedelta
    ) -> list[StateChange]:
        """Count consecutive errors and eject at the limit."""
        if sample.kind is SampleKind.success:
            self.errors = 0
            return []
        self.errors += 1
        if self.errors < NAIVE_ERRORS or self.ejected_until is not None:
            return []
        return self._eject(upstream, now)

    def tick(self, now: timedelta) -> list[StateChange]:
        """End the ejection once its time has passed."""
        if self.ejected_until is None or now < self.ejected_until:
            return []
        self.ejected_until = None
        self.errors = 0
        return [
            StateChange(
                self._upstream,
                self._service,
                UpstreamState.serving,
                0,
                'ejection time passed',
            )
        ]

    def admits(
        self,
        upstream: UpstreamId,
        running: int,
        *,
        idempotent: bool,
        forced: bool,
    ) -> bool:
        """Accept every request while in service, and forced ones always."""
        return forced or self.ejected_until is None

    def silence_limit_ms(
        self,
        upstream: UpstreamId,
        route: RouteName,
        expected_ms: float,
        started: timedelta,
        now: timedelta,
    ) -> float:
        """Return a fixed limit in ms."""
        return NAIVE_SILENCE_MS

    def may_probe(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Return whether the probe interval has passed, and restart it."""
        if now - self.last_probe < NAIVE_PROBE_INTERVAL:
            return False
        self.last_probe = now
        return True

    def probed(
        self, upstream: UpstreamId, *, alive: bool, now: timedelta
    ) -> list[StateChange]:
        """Eject an upstream that fails a probe."""
        if alive or self.ejected_until is not None:
            return []
        return self._eject(upstream, now)

    def _eject(self, upstream: UpstreamId, now: timedelta) -> list[StateChange]:
        self.ejected_until = now + NAIVE_EJECTION
        return [
            StateChange(upstream, self._service, UpstreamState.sick, 1, 'naive')
        ]
