"""Read-only access to the state of an ingress for explanations."""

from collections.abc import Hashable, Set
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from ..accounts.admission import Accounts
from ..baselines import Baselines
from ..bundles import Bundle, Caller
from ..candidates import Candidates
from ..ids import DaemonId, RouteName, ServiceName, UpstreamId
from ..messages import Priority
from ..paths import Paths
from ..regionlinks import LinkBudget
from ..routes import RouteTable
from ..selection import Candidate
from ..throttles import Throttles


class PlacementState(Protocol):
    """What an explanation reads; no method changes the state."""

    def bundle(self) -> Bundle | None:
        """Return the bundle in force."""

    def table(self) -> RouteTable | None:
        """Return the index of the bundle in force."""

    def over_limit(self, caller: Caller) -> bool:
        """Return whether the caller has too many requests in flight."""

    def refused_share(self, key: Hashable) -> float:
        """Return the share of requests that the ingress refuses, 0 to 1."""

    def candidates(
        self, service: ServiceName, priority: Priority
    ) -> tuple[Candidate, ...]:
        """Return copies of the candidates, with the queue of the priority."""

    def rate_limited(self, service: ServiceName) -> Set[UpstreamId]:
        """Return the upstreams that have reached their rate limit."""

    def path_open(self, daemon: DaemonId) -> bool:
        """Return whether a request can be sent to a daemon at once."""

    def link_allows(self, priority: Priority) -> bool:
        """Return whether a priority may use the link between regions."""

    def usual_ms(self, route: RouteName) -> float:
        """Return the usual service time of a route, 0 if it is unknown."""


@dataclass(frozen=True, slots=True)
class PlacementParts:
    """The parts of an ingress that decide on placements."""

    accounts: Accounts
    candidates: Candidates
    link: LinkBudget
    paths: Paths
    baselines: Baselines
    throttles: Throttles
    own: DaemonId


@dataclass(frozen=True, slots=True)
class IngressView:
    """``PlacementState`` of an ingress at one time."""

    parts: PlacementParts
    now: timedelta

    def bundle(self) -> Bundle | None:
        """Return the bundle in force."""
        return self.parts.accounts.bundle

    def table(self) -> RouteTable | None:
        """Return the index of the bundle in force."""
        return self.parts.accounts.table

    def over_limit(self, caller: Caller) -> bool:
        """Return whether the caller has too many requests in flight."""
        return self.parts.accounts.over_limit(caller)

    def refused_share(self, key: Hashable) -> float:
        """Return the share of requests that the ingress refuses, 0 to 1."""
        return self.parts.throttles.refused_share(key, self.now)

    def candidates(
        self, service: ServiceName, priority: Priority
    ) -> tuple[Candidate, ...]:
        """Return copies of the candidates, with the queue of the priority."""
        return self.parts.candidates.copies(service, priority)

    def rate_limited(self, service: ServiceName) -> Set[UpstreamId]:
        """Return the upstreams that have reached their rate limit."""
        limited = self.parts.candidates.limited
        return limited.closed(service, self.now, every=False)

    def path_open(self, daemon: DaemonId) -> bool:
        """Return whether a request can be sent to a daemon at once."""
        return (
            daemon == self.parts.own
            or self.parts.paths.ready(daemon) is not None
        )

    def link_allows(self, priority: Priority) -> bool:
        """Return whether a priority may use the link between regions."""
        return self.parts.link.would_allow(priority, self.now)

    def usual_ms(self, route: RouteName) -> float:
        """Return the usual service time of a route, 0 if it is unknown."""
        return self.parts.baselines.shown_usual_ms(route)
