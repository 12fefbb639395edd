"""Identification of callers and their request limits at one ingress."""

from collections import Counter
from dataclasses import dataclass

from ..bundles import ANONYMOUS, Bundle, Caller, Route, Service
from ..events import CallerRequest
from ..ids import RouteName, ServiceName
from ..messages import Priority
from ..outcomes import Reason
from ..routes import RouteTable, permitted, priority
from .keys import Credentials


@dataclass(frozen=True, slots=True)
class Admitted:
    """Caller, route and priority of an admitted request."""

    caller: Caller
    route: Route
    priority: Priority
    #: Name of the client account that its key belongs to; empty without one.
    account: str = ''


class Accounts:
    """Routes and callers of the bundle in force, and requests in flight."""

    def __init__(self) -> None:
        """Start without a bundle; requests are refused until there is one."""
        self._bundle: Bundle | None = None
        self._table: RouteTable | None = None
        self._in_flight: Counter[str] = Counter()

    @property
    def version(self) -> int:
        """Version of the bundle in force, 0 before the first one."""
        return self._bundle.version if self._bundle else 0

    @property
    def bundle(self) -> Bundle | None:
        """Bundle in force, None before the first one."""
        return self._bundle

    @property
    def table(self) -> RouteTable | None:
        """Index of the bundle in force, None before the first one."""
        return self._table

    def configure(self, bundle: Bundle) -> None:
        """Apply a new bundle."""
        self._bundle = bundle
        self._table = bundle.table or RouteTable(bundle)

    def admit(self, event: CallerRequest) -> Admitted | Reason:
        """Return caller, route and priority, or the reason of a refusal."""
        table = self._table
        if table is None:
            return Reason.no_bundle
        if table.credentials is Credentials.api_key:
            return self._admit_by_key(event, table)
        caller = table.identify(event.headers)
        if isinstance(caller, Reason):
            return caller
        route = table.match(event.method, event.target, event.host)
        if isinstance(route, Reason):
            return route
        return self._check(event, caller, route)

    def _admit_by_key(
        self, event: CallerRequest, table: RouteTable
    ) -> Admitted | Reason:
        """Admit a request; one for a public route needs no key."""
        route = table.match(event.method, event.target, event.host)
        if isinstance(route, Reason):
            return route
        caller = table.identify_by_key(event.headers, route)
        if isinstance(caller, Reason):
            return caller
        return self._check(event, caller, route)

    def _check(
        self, event: CallerRequest, caller: Caller, route: Route
    ) -> Admitted | Reason:
        if not permitted(caller, route):
            return Reason.unauthorized
        if len(event.body) > route.body_limit_bytes:
            return Reason.body_too_large
        if self.over_limit(caller):
            return Reason.caller_limit
        return Admitted(
            caller, route, priority(caller, route), self._account_of(caller)
        )

    @property
    def origin(self) -> str:
        """Name that upstreams get of the host on which requests begin."""
        return self._bundle.origin if self._bundle else ''

    def _account_of(self, caller: Caller) -> str:
        if self._bundle is None or not self._bundle.api_keys:
            return ''
        anonymous = self._bundle.callers.get(ANONYMOUS)
        return '' if caller is anonymous else caller.name

    def service(self, name: ServiceName) -> Service:
        """Return a service of the bundle in force, or its defaults."""
        known = self._bundle.services.get(name) if self._bundle else None
        return known or Service(name)

    def route(self, name: RouteName) -> Route | None:
        """Return a route of the bundle in force, None if it has none."""
        return self._bundle.routes.get(name) if self._bundle else None

    def count(self, caller: Caller, step: int) -> None:
        """Add ``step`` to the requests in flight of a caller and its team."""
        self._add(caller.name, step)
        if caller.team:
            self._add(_team_key(caller.team), step)

    def _add(self, key: str, step: int) -> None:
        total = self._in_flight[key] + step
        if total:
            self._in_flight[key] = total
        else:
            # Thousands of accounts are idle at any time and need no entry.
            self._in_flight.pop(key)

    def over_limit(self, caller: Caller) -> bool:
        """Return whether a caller or its team has too many in flight."""
        if self._in_flight[caller.name] >= caller.max_in_flight:
            return True
        if self._bundle is None or caller.team is None:
            return False
        team = self._bundle.teams[caller.team]
        return self._in_flight[_team_key(team.name)] >= team.max_in_flight


def _team_key(team: str) -> str:
    return f'team {team}'
