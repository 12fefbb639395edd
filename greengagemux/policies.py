"""Interface of a health decision, and a naive one for comparison."""

from datetime import timedelta
from typing import Protocol

from .detectors import Sample, SampleKind
from .ids import RouteName, ServiceName, UpstreamId
from .messages import UpstreamState
from .healthstates import StateChange

NAIVE_ERRORS = 5
NAIVE_EJECTION = timedelta(seconds=30)
NAIVE_SWEEP = timedelta(seconds=10)
NAIVE_SILENCE_MS = 2000


class Policy(Protocol):
    """What a last hop asks of the health decision."""

    def observe(
        self, upstream: UpstreamId, sample: Sample, now: timedelta
    ) -> list[StateChange]:
        """Take in a sample."""

    def tick(self, now: timedelta) -> list[StateChange]:
        """Move on with time."""

    def admits(
        self,
        upstream: UpstreamId,
        running: int,
        *,
        idempotent: bool,
        forced: bool,
    ) -> bool:
        """Tell whether a request is taken."""

    def silence_limit_ms(
        self,
        upstream: UpstreamId,
        route: RouteName,
        expected_ms: float,
        started: timedelta,
        now: timedelta,
    ) -> float:
        """Return the age at which a request counts as silent."""

    def may_probe(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Tell whether a probe may be sent."""

    def probed(
        self, upstream: UpstreamId, *, alive: bool, now: timedelta
    ) -> list[StateChange]:
        """Take in the end of a probe."""


class NaivePolicy:
    """Five consecutive errors, fixed ejection time, sweep of probes."""

    def __init__(
        self, upstream: UpstreamId, service: ServiceName, swept: timedelta
    ) -> None:
        """Start in service; the last sweep was at ``swept``."""
        self._upstream = upstream
        self._service = service
        self.errors = 0
        self.until: timedelta | None = None
        self.swept = swept

    def observe(
        self, upstream: UpstreamId, sample: Sample, now: timedelta
    ) -> list[StateChange]:
        """Count consecutive errors."""
        if sample.kind is SampleKind.success:
            self.errors = 0
            return []
        self.errors += 1
        if self.errors < NAIVE_ERRORS or self.until is not None:
            return []
        return self._eject(upstream, now)

    def tick(self, now: timedelta) -> list[StateChange]:
        """End the ejection."""
        if self.until is None or now < self.until:
            return []
        self.until = None
        self.errors = 0
        return [
            StateChange(
                self._upstream,
                self._service,
                UpstreamState.serving,
                0,
                'time passed',
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
        """Take everything while in service."""
        return forced or self.until is None

    def silence_limit_ms(
        self,
        upstream: UpstreamId,
        route: RouteName,
        expected_ms: float,
        started: timedelta,
        now: timedelta,
    ) -> float:
        """Know only the deadline."""
        return NAIVE_SILENCE_MS

    def may_probe(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Probe at a fixed interval."""
        if now - self.swept < NAIVE_SWEEP:
            return False
        self.swept = now
        return True

    def probed(
        self, upstream: UpstreamId, *, alive: bool, now: timedelta
    ) -> list[StateChange]:
        """Believe the probe."""
        if alive or self.until is not None:
            return []
        return self._eject(upstream, now)

    def _eject(self, upstream: UpstreamId, now: timedelta) -> list[StateChange]:
        self.until = now + NAIVE_EJECTION
        return [
            StateChange(upstream, self._service, UpstreamState.sick, 1, 'naive')
        ]
