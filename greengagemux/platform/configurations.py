"""Decodes the platform's JSON configuration into a bundle."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Annotated, Final, cast

import msgspec

from ..accounts.keys import Credentials, index_keys
from ..bundles import (
    ANONYMOUS,
    Bundle,
    Caller,
    Route,
    Service,
    WeightedService,
)
from ..ids import BundleVersion, CallerName, RouteName, ServiceName
from ..memory.limits import BODY_LIMIT_BYTES
from ..messages import Priority
from ..outcomes import Failure, FailureError, Step
from ..routes import RouteTable
from .settings import PlatformSettings

#: Body limit of a configuration that states none.
DEFAULT_BODY_LIMIT_BYTES: Final = 4 * 1024 * 1024
#: Requests in flight from the callers of one host. The platform configures
#: no such limit, so this one is high.
IN_FLIGHT_LIMIT: Final = 100_000
#: False-alarm probability of the slowness test. Slow episodes on this platform
#: last a few seconds, so late detection costs more than a false alarm.
FALSE_ALARM_PROBABILITY: Final = 1e-3
#: Requests queued at one upstream; deadlines usually bound the queue earlier.
QUEUE_LIMIT: Final = 64
#: Load of the nearer upstreams above which requests go further away. Above
#: 100: a short queue nearby costs less than traffic between data centres.
SPILL_PCT: Final = 200
#: Upstreams of the data centre that are tried for a free slot before a request
#: is queued. Messages within a data centre cost little, and hosts know little
#: of the load of upstreams that get few of their requests.
FREE_SLOT_TRIES: Final = 6
#: Number of regions from which on requests may use free slots of another one.
#: With more regions, each has fewer upstreams of a service.
OVERFLOW_REGIONS: Final = 3
#: Elapsed time, in percent of the expected service time, after which a request
#: is hedged. Gray upstreams on this platform often hang; 1% of the requests
#: of a healthy upstream take three times the mean.
HEDGE_PCT: Final = 300
#: Part of the platform's retry budget that the daemon uses; upstreams also
#: retry their own calls.
RETRY_SHARE_USED: Final = 0.8
#: The same of the retries that do not depend on the requests. The platform
#: counts calls that a retried request makes as retries too.
STEADY_RETRIES_USED: Final = 0.4
#: Largest version; messages between daemons hold integers of 64 bits.
VERSION_LIMIT: Final = 2**63 - 1
#: Largest rate of a client account; above it a rate is an error.
RATE_LIMIT_PER_S: Final = 1e9
#: Largest weight of a weighted service; larger ones overflow when added up.
WEIGHT_LIMIT: Final = 1e18
#: Longest time that a caller waits for a response, in milliseconds.
DEADLINE_LIMIT_MS: Final = 24 * 60 * 60 * 1000
PERCENT: Final = 100
#: Kind of a route with large responses.
DOWNLOAD: Final = 'download'
#: Kinds of routes whose requests may run more than once.
REPEATABLE_KINDS: Final = frozenset(('idempotent', DOWNLOAD))
#: Priorities by configured rank, 0 first. Larger ranks map to the last one.
_PRIORITIES: Final = (Priority.waiting, Priority.routine, Priority.internal)


_Rate = Annotated[float, msgspec.Meta(ge=0, le=RATE_LIMIT_PER_S)]


class _WeightedBackend(msgspec.Struct, frozen=True):
    service: str
    #: Checked with its route, so that an error names the route.
    weight: object


class _Route(msgspec.Struct, frozen=True):
    name: str
    #: Tells whether a request may run more than once: see ``REPEATABLE_KINDS``.
    kind: str
    path_prefix: str
    hostname: str = ''
    service: str = ''
    weighted_backends: tuple[_WeightedBackend, ...] = ()
    #: Longest time that a caller waits for a response.
    timeout_ms: int = 2000
    #: Latency target of a response; 0 if the route has none.
    target_latency_ms: int = 0
    #: How many upstreams may run one request; calls that did not run it are
    #: not counted.
    max_attempts: int = 1
    #: Rank; 0 is the most urgent.
    priority: int = 1
    #: Whether its requests need no API key.
    public: bool = False


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = '/healthz'


class _Tenant(msgspec.Struct, frozen=True):
    """A client account."""

    name: str
    api_keys: tuple[str, ...] = ()
    #: Rank that replaces that of the route; missing if the route's counts.
    priority: int | None = None
    #: Requests a second of all daemons together; 0 for no limit.
    rate_per_s: _Rate = 0
    #: Requests that idle time saves up.
    burst: _Rate = 0


class _Limits(msgspec.Struct, frozen=True):
    max_body_bytes: int = DEFAULT_BODY_LIMIT_BYTES


class _Configuration(msgspec.Struct, frozen=True):
    version: str
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


_decoder: Final = msgspec.json.Decoder(_Configuration)


class ConfigurationDecoder:
    """Decodes configuration records for one daemon."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Use the service as the caller's name, and the bounds."""
        self._caller_name = CallerName(settings.service)
        self._bounds = settings.bounds
        self._overflow = len(settings.regions) >= OVERFLOW_REGIONS
        self._hedge_extra_pct = settings.hedge_extra_pct

    def __call__(self, payload: bytes) -> Bundle:
        """Return the bundle for the JSON configuration in a log record.

        Raises ``FailureError`` at step ``bundle`` if it is malformed.
        """
        try:
            return self._bundle(payload)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            failure = Failure(Step.bundle, 'operator', str(error))
            raise FailureError(failure) from error

    def _bundle(self, payload: bytes) -> Bundle:
        configuration, version = _decode(payload)
        limit_bytes = min(configuration.limits.max_body_bytes, BODY_LIMIT_BYTES)
        routes = {
            RouteName(route.name): _route(route, limit_bytes)
            for route in configuration.routes
        }
        bundle = Bundle(
            version=version,
            follows=BundleVersion(0),
            retries_pct=round(
                PERCENT * RETRY_SHARE_USED * self._bounds.retry_share
            ),
            retries_per_s=STEADY_RETRIES_USED * self._bounds.retries_per_s,
            services=self._services(configuration),
            routes=routes,
            callers={
                ANONYMOUS: self._caller(routes),
                **_accounts(configuration, routes),
            },
            credentials=Credentials.api_key,
            api_keys=index_keys(
                {
                    CallerName(tenant.name): tenant.api_keys
                    for tenant in configuration.tenants
                }
            ),
            origin=self._caller_name,
        )
        return replace(bundle, table=RouteTable(bundle))

    def _services(
        self, configuration: _Configuration
    ) -> Mapping[ServiceName, Service]:
        floor_pct = round(PERCENT * self._bounds.floor_share)
        # Downloads are long and less urgent than the short calls that share
        # their slots.
        has_downloads = any(
            route.kind == DOWNLOAD for route in configuration.routes
        )
        return {
            ServiceName(service.name): Service(
                name=ServiceName(service.name),
                floor_pct=floor_pct,
                false_alarm=FALSE_ALARM_PROBABILITY,
                queue_limit=QUEUE_LIMIT,
                health_path=service.health_path,
                trials_count=True,
                spill_pct=SPILL_PCT,
                movable=False,
                # A request that an upstream has started is never preempted.
                preempts=False,
                hedge_pct=HEDGE_PCT,
                # Requests of one service come from people and from calls of
                # other upstreams; which host they enter at says nothing.
                fair=False,
                free_slot_tries=FREE_SLOT_TRIES,
                # Served more callers only where accounts exist; see
                # docs/design/nested-calls.md.
                calls_wait=bool(configuration.tenants),
                time_shares=has_downloads,
                overflow=self._overflow,
                hedge_extra_pct=self._hedge_extra_pct,
            )
            for service in configuration.services
        }

    def _caller(self, routes: Mapping[RouteName, Route]) -> Caller:
        return Caller(
            name=self._caller_name,
            priority=Priority.waiting,
            max_in_flight=IN_FLIGHT_LIMIT,
            routes=frozenset(routes),
        )


def _decode(payload: bytes) -> tuple[_Configuration, BundleVersion]:
    """Return a configuration and its version; ``r12`` is version 12."""
    configuration = _decoder.decode(payload)
    _check_names(configuration)
    version = int(configuration.version.removeprefix('r'))
    if not 0 <= version <= VERSION_LIMIT:
        raise ValueError(f'version is not from r0 to r{VERSION_LIMIT}')
    return configuration, BundleVersion(version)


def _check_names(configuration: _Configuration) -> None:
    """Raise ``ValueError`` for a name that comes twice or is not known."""
    _check_unique('route', configuration.routes)
    _check_unique('service', configuration.services)
    _check_unique('tenant', configuration.tenants)
    known = {service.name for service in configuration.services}
    for route in configuration.routes:
        named = {backend.service for backend in route.weighted_backends}
        unknown = (named | {route.service}) - known - {''}
        if unknown:
            raise ValueError(
                f'route {route.name!r}: unknown services {sorted(unknown)}'
            )


def _check_unique(
    kind: str, entries: Iterable[_Route | _Service | _Tenant]
) -> None:
    counts = Counter(entry.name for entry in entries)
    for name, count in counts.items():
        if count > 1:
            raise ValueError(f'{kind} {name!r} comes twice')


def _split(route: _Route) -> tuple[WeightedService, ...]:
    """Return the weighted services of a route, empty if it has one service.

    Raises ``ValueError``, which names the route, unless it has either.
    """
    if bool(route.service) == bool(route.weighted_backends):
        found = 'both' if route.service else 'neither'
        raise ValueError(
            f'route {route.name!r}: {found} of service and weighted_backends'
        )
    split = tuple(
        WeightedService(ServiceName(backend.service), _weight(route, backend))
        for backend in route.weighted_backends
    )
    if split and not any(share.weight for share in split):
        raise ValueError(f'route {route.name!r}: no weight is above 0')
    return split


def _weight(route: _Route, backend: _WeightedBackend) -> float:
    weight = backend.weight
    is_number = isinstance(weight, int | float) and not isinstance(weight, bool)
    if is_number and 0 <= cast(float, weight) <= WEIGHT_LIMIT:
        return cast(float, weight)
    raise ValueError(
        f'route {route.name!r}: weight {weight!r} of service'
        f' {backend.service!r} is not a number from 0 to {WEIGHT_LIMIT:g}'
    )


def _route(route: _Route, limit_bytes: int) -> Route:
    split = _split(route)
    service = split[0].service if split else route.service
    return Route(
        name=RouteName(route.name),
        service=ServiceName(service),
        prefix=route.path_prefix,
        methods=frozenset(),
        idempotent=route.kind in REPEATABLE_KINDS,
        priority=_priority(route.priority),
        deadline_ms=min(route.timeout_ms, DEADLINE_LIMIT_MS),
        body_limit_bytes=limit_bytes,
        attempt_limit=max(1, route.max_attempts),
        host=route.hostname,
        split=split,
        target_ms=min(route.target_latency_ms, DEADLINE_LIMIT_MS),
        public=route.public,
    )


def _accounts(
    configuration: _Configuration, routes: Mapping[RouteName, Route]
) -> Mapping[CallerName, Caller]:
    """Return the client accounts, which may use all routes.

    Raises ``ValueError`` for the name of the anonymous account.
    """
    accounts = {
        CallerName(tenant.name): _account(tenant, frozenset(routes))
        for tenant in configuration.tenants
    }
    if ANONYMOUS in accounts:
        raise ValueError(f'tenant {ANONYMOUS!r}: the name is reserved')
    return accounts


def _account(tenant: _Tenant, routes: frozenset[RouteName]) -> Caller:
    rank = tenant.priority
    return Caller(
        name=CallerName(tenant.name),
        priority=Priority.waiting if rank is None else _priority(rank),
        priority_first=rank is not None,
        max_in_flight=IN_FLIGHT_LIMIT,
        routes=routes,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
    )


def _priority(rank: int) -> Priority:
    return _PRIORITIES[min(max(rank, 0), len(_PRIORITIES) - 1)]
